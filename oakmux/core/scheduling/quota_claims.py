"""Claims of pending jobs on their team's limit, while other jobs of the team use it."""

import math
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import Usage
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.records import Job
from oakmux.core.state.write_buffer import WriteBuffer


class LimitClaim(NamedTuple):
    """A part of a team's limit that is reserved for a job until `expires_at` (local time in s).

    The claim excludes jobs of lower priority, and jobs of the same priority that became ready
    after `since_ms`.
    """

    expires_at: float
    team: str
    priority: int
    since_ms: float
    cpus: float
    gpus: float


class QuotaClaims:
    """Checks jobs against the limits of their teams, including the claims of other jobs."""

    def __init__(self, context: Context, buffer: WriteBuffer) -> None:
        self.context = context
        self.buffer = buffer
        self.claims: dict[str, LimitClaim] = {}

    def exceeds_limit(self, job: Job, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether `tasks` more tasks of a job would exceed its team's limit.

        The claims of jobs that precede the job count as used.
        """
        quota = self.context.teams.get(job.team)
        if quota is not None and not quota.cpus_max and not quota.gpus_max:
            # Skips counting the usage: each offer to thousands of tiny jobs gets here.
            return False
        self._drop_expired()
        cpus, gpus = self.buffer.team_usage(job.team)
        for other_id, claim in self.claims.items():
            if (
                claim.team == job.team
                and other_id != job.id
                and (claim.priority, -claim.since_ms) > (job.priority, -job.eligible_ms)
            ):
                cpus += claim.cpus
                gpus += claim.gpus
        return quotas.exceeds_limit(
            self.context, job.team, cpus + tasks * spec.cpus, gpus + tasks * spec.gpus
        )

    def _drop_expired(self) -> None:
        for job_id, claim in list(self.claims.items()):
            if claim.expires_at <= self.context.now:
                del self.claims[job_id]

    def claim(self, job: Job, spec: JobSpec, wanted: int) -> None:
        """Reserve what jobs behind a job release, if the team's limit delays the job.

        Otherwise some gangs never start:

        - a gang beside an array of its own team, whose next task takes each place that a task
          leaves;
        - a gang that has waited long, beside smaller, younger gangs.

        Nothing is reserved if the resources of the jobs behind would not suffice: services keep
        what they use, and a gang that needs it would block the rest of the limit for ever without
        using it.
        """
        starving = is_starving(self.context, job)
        precedes_equals = starving or self._has_waited_long(job, spec)
        used = self.buffer.team_usage(job.team)
        usage_left = self._usage_without_jobs_behind(job, used, precedes_equals)
        min_tasks = spec.tasks if spec.kind == "gang" else 1
        if (usage_left == used and not starving) or quotas.exceeds_limit(
            self.context,
            job.team,
            usage_left.cpus + min_tasks * spec.cpus,
            usage_left.gpus + min_tasks * spec.gpus,
        ):
            return
        max_tasks = quotas.tasks_left(self.context, job.team, spec, {job.team: usage_left})
        tasks = max(min_tasks, min(wanted, constants.MAX_RESERVATIONS_PER_JOB, max_tasks))
        self.claims[job.id] = LimitClaim(
            self.context.now + constants.LIMIT_CLAIM_TTL_S,
            job.team,
            job.priority,
            job.eligible_ms if precedes_equals else math.inf,
            tasks * spec.cpus,
            tasks * spec.gpus,
        )

    def _has_waited_long(self, job: Job, spec: JobSpec) -> bool:
        """Whether a gang has waited so long that it precedes others of its priority."""
        waited_ms = self.context.wall_clock_ms - job.eligible_ms
        return spec.kind == "gang" and waited_ms > 1000 * constants.BACKFILL_MIN_WAIT_S

    def _usage_without_jobs_behind(self, job: Job, used: Usage, precedes_equals: bool) -> Usage:
        """Return the usage of a job's team once the tasks of jobs behind it have ended.

        Services don't end. With `precedes_equals`, the job precedes others of its priority.
        """
        cpus, gpus = used
        by_priority = self.context.replica.usage.preemptible.get(job.team, {})
        for priority, usage in by_priority.items():
            if priority < job.priority or (priority == job.priority and precedes_equals):
                cpus -= usage.cpus
                gpus -= usage.gpus
        return Usage(cpus, gpus)
