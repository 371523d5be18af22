"""Openings that stand: what every controller knows of machines that wait for a gang."""

from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.records import Job


class BackfillReservation(NamedTuple):
    """An opening as its owner last said it; without word of it, it ends by itself."""

    priority: int
    since: float
    until: float
    ready_at: float
    machines: frozenset[str]


class BackfillReservations:
    """Openings of all owners. The older gang has a machine that two of them name."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_job: dict[str, BackfillReservation] = {}
        self.by_machine: dict[str, str] = {}

    def take(
        self, job_id: str, priority: int, since: float, names: list[str], ready_s: float
    ) -> None:
        """Take an owner's word; no names end the opening."""
        now = self.context.now
        self.by_job.pop(job_id, None)
        for other in [o for o, row in self.by_job.items() if row.until <= now]:
            del self.by_job[other]
        if names and len(self.by_job) < constants.OPENINGS_MOST:
            self.by_job[job_id] = BackfillReservation(
                priority, since, now + constants.OPENING_S, now + ready_s, frozenset(names)
            )
        self.by_machine = {}
        for other, row in sorted(
            self.by_job.items(), key=lambda entry: (entry[1].priority, -entry[1].since, entry[0])
        ):
            self.by_machine.update(dict.fromkeys(row.machines, other))

    def blocks_job(self, machine: str, job: Job, spec: JobSpec) -> bool:
        """Whether an opening keeps a job off a machine: what is younger, could not be stopped for
        it and may not end in time; and what could be stopped but would have to be very soon."""
        name = self.by_machine.get(machine)
        row = self.by_job.get(name or "")
        if row is None or name == job.id or row.until <= self.context.now:
            return False
        if job.priority > row.priority:
            return False
        if job.priority == row.priority and (job.since, job.id) < (row.since, name):
            # Older work goes first, but not on and on: what has begun lets the others begin.
            other = self.context.replica.jobs.get(name or "")
            if not job.begun or other is None or not is_starving(self.context, other):
                return False
        left = row.ready_at - self.context.now
        if job.priority < row.priority and spec.kind != "service" and not spec.joint:
            return left < constants.OPENING_SOON_S
        ends = spec.estimate_s * constants.OPENING_ERROR + max(
            (self.context.fetch_s(spec, name) for name in self.context.types), default=0.0
        )
        return spec.kind == "service" or ends > left

    def names(self, machine: str) -> bool:
        """Whether a machine waits for a gang: it is empty for that, not for want of work."""
        row = self.by_job.get(self.by_machine.get(machine, ""))
        return row is not None and row.until > self.context.now

    def held(self, job: Job) -> set[str]:
        """Return the machines that openings of jobs before this one name. What younger ones wait
        for it may have: else the oldest finds nothing where several smaller ones wait."""
        mine = (job.priority, -job.since, job.id)
        before = {
            name
            for name, row in self.by_job.items()
            if name != job.id and (row.priority, -row.since, name) > mine
        }
        return {machine for machine, name in self.by_machine.items() if name in before}
