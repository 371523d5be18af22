"""Order of the jobs of one priority, and which of them have waited for too long.

In a burst above the fleet's capacity, some jobs miss their class's finish objective in any order.
In order of age alone, all of them miss it, since each is served just when its time is over. So:

- An array counts as younger the larger it is, as if it had a small part of the fleet to itself.
- Jobs that can no longer meet their objective come after jobs that can.

Both rules would starve large arrays. So jobs that have waited for too long are granted a share of
the capacity whatever their position (`oakmux.core.scheduling.minimum_share`), and starving jobs
come first.
"""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling import quotas
from oakmux.core.state.records import Job

QueueRank = tuple[bool, int, bool, float, bool, float, float]
"""Sort key of jobs in a queue, the smallest first; see `queue_rank`."""


def is_starving(context: Context, job: Job) -> bool:
    """Whether a job is starving, so that it precedes all others of its priority.

    A job is starving if none of its tasks has started and a large share of START_LIMIT_S, within
    which even the largest jobs must have started, is over.
    """
    return (
        context.wall_clock_ms - job.eligible_ms > 1000 * starvation_s(job)
        and not job.begun
        and not context.failures.is_suspect(job)
    )


def starvation_s(job: Job) -> float:
    """Return the seconds after which a job is starving.

    The time is shorter for gangs: they need capacity for all tasks at once, and most of the work
    that runs on it has to end first.
    """
    joint = job.spec is not None and job.spec.gang_scheduled
    return constants.START_LIMIT_S * (
        constants.STARVATION_GANG_SHARE if joint else constants.STARVATION_SHARE
    )


def effective_submission_ms(context: Context, job: Job, spec: JobSpec) -> float:
    """Return the time (ms) from which a job's age counts: later for an array with much work."""
    if spec.kind != "array" or is_starving(context, job):
        return job.eligible_ms
    work = spec.tasks * spec.estimate_s * max(spec.gpus, constants.CPU_TASK_GPUS)
    return job.eligible_ms + 1000 * min(
        constants.ARRAY_AGE_REDUCTION_MAX_S, work / context.array_share_gpus
    )


def misses_objective(context: Context, job: Job, spec: JobSpec) -> bool:
    """Whether an array, by its estimate, can no longer meet its class's finish objective."""
    within_s = context.objectives.finish_s.get(spec.job_class)
    return (
        spec.kind == "array"
        and within_s is not None
        and context.wall_clock_ms > job.eligible_ms + 1000 * (within_s - spec.estimate_s)
        and not is_starving(context, job)
    )


def is_aged(context: Context, job: Job, spec: JobSpec) -> bool:
    """Whether a job has waited for so long that it is granted a minimum share of capacity."""
    objectives_s = context.objectives.start_s.get(spec.job_class)
    aged_after_s = (
        constants.AGED_OBJECTIVES * max(objectives_s) if objectives_s else constants.AGED_S
    )
    return context.wall_clock_ms - job.eligible_ms > 1000 * aged_after_s or is_starving(
        context, job
    )


def queue_rank(context: Context, job: Job, spec: JobSpec, usage: quotas.TeamUsage) -> QueueRank:
    """Return the sort key of a job in a queue, the smallest first.

    Criteria in order: guaranteed work, priority, starving jobs, the latest start that meets the
    deadline, jobs that can still meet their objective, teams that use little of their guarantee,
    and the age of the job.
    """
    return (
        not quotas.is_guaranteed(context, job, spec, usage),
        -job.priority,
        not is_starving(context, job),
        job.latest_start_ms,
        misses_objective(context, job, spec),
        quotas.guarantee_share(context, job.team, usage),
        effective_submission_ms(context, job, spec),
    )
