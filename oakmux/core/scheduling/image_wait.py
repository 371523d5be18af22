"""Whether a task waits for a machine that holds its image, or fetches the image elsewhere."""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec
from oakmux.core.scheduling.pending_job import PendingJob


def waits_for_image(context: Context, spec: JobSpec, state: PendingJob, machine: Machine) -> bool:
    """Whether to wait for machines that hold the image instead of fetching it to `machine`.

    Services don't wait: the machines that hold their image mostly run services, which don't end.
    """
    if spec.kind == "service":
        return False
    if state.image_wait_until is None:
        state.image_wait_until = context.now + _max_wait_s(context, spec, machine)
    return context.now < state.image_wait_until


def _max_wait_s(context: Context, spec: JobSpec, machine: Machine) -> float:
    """Return how long to wait at the most (s).

    That is a share of the fetch's duration, limited by those start objectives of the job's class
    that a fetch now may meet, and by the guarantee objective.
    """
    fetch_s = context.fetch_s(spec, machine.type)
    slow_fetch_s = fetch_s * constants.FETCH_TIME_FACTOR
    wait_s = fetch_s * constants.IMAGE_WAIT_SHARE
    for within_s in context.objectives.start_s.get(spec.job_class, ()):
        if fetch_s / constants.FETCH_TIME_FACTOR < within_s:
            wait_s = min(wait_s, max(0.0, within_s - slow_fetch_s))
    if context.objectives.guarantee_s is not None:
        wait_s = min(wait_s, context.objectives.guarantee_s / 2)
    return wait_s
