"""Terms of single workers: no copy of a start command may revive a forgotten attempt.

A controller allocates a range of terms at a time and commands each worker under one of them. The
network may deliver a copy of a start command long after the command was carried out and answered.
While the worker lists the attempt, such a copy has no effect. An attempt is forgotten only under a
term above that of its start, and from then on the worker refuses the copy.
"""

from oakmux import constants
from oakmux.core.agents.tracked_workers import TrackedWorker
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.machine import Machine


def worker_term(context: Context, tracked: TrackedWorker) -> int:
    """Return the term under which this controller commands a worker now."""
    return max(context.term, tracked.term)


class WorkerTerms:
    """Chooses the terms under which workers are told to forget exited attempts."""

    def __init__(self, context: Context, leadership: Leadership) -> None:
        self.context = context
        self.leadership = leadership

    def note_shown(self, tracked: TrackedWorker, fencing_token: int) -> None:
        """Keep to the term that a worker shows, if it is one of this controller's."""
        if self.context.owns_term(fencing_token):
            tracked.term = max(tracked.term, fencing_token)

    def for_forgets(
        self, tracked: TrackedWorker, machine: Machine, exited: int, start_pending: bool
    ) -> int | None:
        """Return the term under which a worker may forget its exited attempts, or None for now.

        Each attempt in a heartbeat was started under the fencing token that the heartbeat shows or
        a lower one, so a term above that token suffices.

        Args:
            tracked: the state kept about the worker.
            machine: the machine as last reported, with the exited attempts.
            exited: how many attempts are to be forgotten.
            start_pending: whether a task may still be started under the current term; a higher
                term would rule that start out.
        """
        current = worker_term(self.context, tracked)
        if current > machine.fencing_token:
            return current
        raised = self._newest_term()
        if exited > constants.MAX_EXITED_ATTEMPTS:
            raised = max(raised, current + 1)
        elif start_pending or raised <= current:
            return None
        if raised > self.context.last_term:
            self.leadership.need_term_above(current)
            return None
        return raised

    def _newest_term(self) -> int:
        """Return the term that workers are raised to at present; it advances with time.

        Workers that are raised at about the same time share a term, so that records which hold
        the terms of many bindings stay small.
        """
        context = self.context
        steps = (context.now - context.term_allocated_at) / constants.WORKER_TERM_STEP_S
        return context.term + int(steps)
