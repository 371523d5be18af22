"""Who goes first among jobs of one priority, and who has waited for too long.

In a burst above the fleet's capacity some jobs miss their class's aim for finishing whatever the
order. By age alone all miss it: each is served just as its time is over. So an array counts as
younger by its size, as if each had a small part of the fleet to itself, and what can't meet its
aim any more goes behind what can. Both would starve large arrays: what has waited for too long
is owed a share whatever its place (core/keeper/minimum_share.py).
"""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.state.records import Job


def is_starving(context: Context, job: Job) -> bool:
    """Whether a job of which nothing has started comes before all others of its priority: it is
    well on its way to the time by which all work must have begun, the largest too."""
    return (
        context.wall_clock_ms - job.since > 1000 * starvation_s(job)
        and not job.begun
        and not context.failures.suspect(job)
    )


def starvation_s(job: Job) -> float:
    """Return the seconds after which a job is an elder. A gang needs room for all its tasks at
    once, and most of what runs there has to end first."""
    joint = job.spec is not None and job.spec.joint
    return constants.BEGIN_S * (constants.ELDER_GANG_SHARE if joint else constants.ELDER_SHARE)


def effective_submission_ms(context: Context, job: Job, spec: JobSpec) -> float:
    """Return the time (ms) by which a job's age counts: an array of much work is younger."""
    if spec.kind != "array" or is_starving(context, job):
        return job.since
    work = spec.tasks * spec.estimate_s * max(spec.gpus, constants.GPULESS_WEIGHT)
    return job.since + 1000 * min(constants.SIZE_MOST_S, work / context.array_share_gpus)


def misses_objective(context: Context, job: Job, spec: JobSpec) -> bool:
    """Whether an array can't meet its class's aim for finishing any more, by its estimate."""
    within = context.finish_objectives.get(spec.job_class)
    return (
        spec.kind == "array"
        and within is not None
        and context.wall_clock_ms > job.since + 1000 * (within - spec.estimate_s)
        and not is_starving(context, job)
    )


def is_aged(context: Context, job: Job, spec: JobSpec) -> bool:
    """Whether a job has waited for so long that a share of what frees up is for it."""
    aims = context.start_objectives.get(spec.job_class)
    patience = constants.AGED_AIMS * max(aims) if aims else constants.AGED_S
    return context.wall_clock_ms - job.since > 1000 * patience or is_starving(context, job)
