"""Tasks that a worker lists without a binding: exited ones are forgotten, others stopped."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.command_batch import CommandBatch
from oakmux.core.agents.tracked_workers import TrackedWorker
from oakmux.core.agents.worker_terms import WorkerTerms
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.logs import event
from oakmux.task_status import EXITED


class OrphanedTasks:
    """Ends tasks on workers that no binding allows, or no longer."""

    def __init__(
        self, context: Context, cancellations: CancellationLog, terms: WorkerTerms
    ) -> None:
        self.context = context
        self.cancellations = cancellations
        self.terms = terms

    def end(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        batch: CommandBatch,
        bound_tasks: set[Task],
    ) -> None:
        """Forget exited tasks without a binding, and stop the others."""
        context = self.context
        orphans = {
            task: tracked.unbound_since.get(task, context.now)
            for task in machine.tasks
            if task not in bound_tasks
        }
        tracked.unbound_since = orphans
        if not self.cancellations.store_fresh():
            return
        exited = []
        for task, since in orphans.items():
            # Wait a while: the binding may not have reached the local replica yet.
            if machine.tasks[task][0] == EXITED:
                if (
                    context.now - since >= constants.PEER_HEARTBEAT_S
                    and task not in tracked.unresolved_starts
                ):
                    exited.append(task)
            elif context.now - since >= constants.ORPHAN_GRACE_S:
                self._stop_orphan(machine, batch, task)
        if exited:
            self._forget(tracked, machine, batch, exited)

    def _stop_orphan(self, machine: Machine, batch: CommandBatch, task: Task) -> None:
        batch.stop(task, 0.0)
        event(
            "task_stop",
            task=task[0],
            attempt=task[1],
            machine=machine.name,
            grace=0.0,
            why="unbound",
        )

    def _forget(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        batch: CommandBatch,
        exited: list[Task],
    ) -> None:
        """Forget exited attempts, if there is a term that rules out copies of their starts."""
        pending = self._start_pending(tracked, machine, batch.term)
        term = self.terms.for_forgets(tracked, machine, len(exited), pending)
        if term is None:
            return
        batch.raise_term(term)
        tracked.term = term
        for task in exited:
            batch.forget(task)

    def _start_pending(self, tracked: TrackedWorker, machine: Machine, term: int) -> bool:
        """Whether a task may still be started, or its start be refused, under a worker's term."""
        context = self.context
        if tracked.command_in_flight or tracked.unresolved_starts or tracked.refused_starts:
            return True
        if any(offer.expires_at > context.now for offer in tracked.offers.values()):
            return True
        bindings = context.replica.bindings.by_machine.get(machine.name, {})
        return any(
            binding.term == term
            and binding.agent_epoch == machine.agent_epoch
            and (f"{job_id}/{index}", binding.attempt) not in machine.tasks
            for (job_id, index), binding in bindings.items()
        )
