"""Starts of cancelled jobs that may still be on their way to a worker."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.tracked_workers import TrackedWorker
from oakmux.core.context import Context
from oakmux.core.machine import Machine


def late_start_possible(
    context: Context, cancellations: CancellationLog, tracked: TrackedWorker, machine: Machine
) -> bool:
    """Whether a start of a cancelled job may take effect after the job must have ended.

    This is possible if the answer to the command was lost or another controller sent it.
    Workers refuse it under a newer term, but without the store no term can be raised, so the
    lease has to expire.
    """
    if cancellations.store_fresh():
        return False
    if (
        machine.fencing_token > context.last_term
        and tracked.attached_at + context.facts.workers.lease_s > context.store_seen_at
        and cancellations.has_unrecorded_older_than(cancellations.staleness_bound_s())
    ):
        # The worker's former controller could command it for at most one more lease. It may
        # have started a task whose job is cancelled by now and whose binding is unknown here.
        return True
    for (job_id, index), binding in context.replica.bindings.by_machine.get(
        machine.name, {}
    ).items():
        task = (f"{job_id}/{index}", binding.attempt)
        start_sent = not context.owns_term(binding.term) or task in tracked.unresolved_starts
        if (
            start_sent
            and binding.agent_epoch == machine.agent_epoch
            and machine.fencing_token <= binding.term
            and task not in machine.tasks
            and cancellations.is_cancelled(job_id)
            and context.now - cancellations.cancelled.get(job_id, constants.NEVER)
            >= cancellations.staleness_bound_s()
        ):
            return True
    return False
