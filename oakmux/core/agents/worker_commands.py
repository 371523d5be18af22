"""Reconciliation: commands that make a worker's tasks match the records."""

from collections.abc import Callable

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.command_batch import CommandBatch, CommandKind
from oakmux.core.agents.command_log import DIRECT, CommandLog
from oakmux.core.agents.gang_starts import waits_for_gang_images
from oakmux.core.agents.orphaned_tasks import OrphanedTasks
from oakmux.core.agents.tracked_workers import TrackedWorker, WorkerTable
from oakmux.core.agents.worker_terms import WorkerTerms, worker_term
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.machine import Machine, Task
from oakmux.core.model import CommandOutcome, Heartbeat
from oakmux.core.peer_messages import MoveTask
from oakmux.core.state.records import Binding, Job
from oakmux.logs import event
from oakmux.task_status import EXITED, RUNNING, SAVING


class WorkerCommands:
    """Sends commands to workers, in answers to heartbeats and in direct requests."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        cancellations: CancellationLog,
        leadership: Leadership,
        terms: WorkerTerms,
        log: CommandLog,
    ) -> None:
        self.context = context
        self.workers = workers
        self.cancellations = cancellations
        self.leadership = leadership
        self.orphans = OrphanedTasks(context, cancellations, terms)
        self.log = log
        # Applies a heartbeat that answers direct commands; set by the agent manager.
        self.accept_heartbeat: Callable[[TrackedWorker, Heartbeat], Machine]
        # Machines where a start is delayed until other tasks of the gang have their image.
        self.machines_with_delayed_starts: set[str] = set()

    def commands(
        self, tracked: TrackedWorker, machine: Machine, end_unbound: bool
    ) -> CommandBatch:
        """Return the commands that a machine needs now.

        Args:
            tracked: the state kept about the machine's worker.
            machine: the machine as last reported.
            end_unbound: whether to end tasks without a binding as well.
        """
        replica = self.context.replica
        batch = CommandBatch(worker_term(self.context, tracked))
        bound_tasks: set[Task] = set()
        for (job_id, index), binding in replica.bindings.by_machine.get(machine.name, {}).items():
            task = (f"{job_id}/{index}", binding.attempt)
            bound_tasks.add(task)
            job = replica.jobs.get(job_id)
            if job is None:
                continue
            ended = job.final or job_id in self.cancellations.cancelled
            status = machine.tasks.get(task)
            if status is None:
                self._start_or_refuse(tracked, machine, task, job, binding, ended, batch)
                continue
            if self._must_checkpoint(machine, job, status[0]):
                tracked.stops.setdefault(task, self.context.now)
            if status[0] != EXITED and (ended or binding.stop or task in tracked.stops):
                self._stop(tracked, machine, batch, task, status[0], job, ended)
        self.stop_cancelled(tracked, machine, bound_tasks, batch)
        self._drop_outdated(tracked, machine, bound_tasks)
        if end_unbound:
            self.orphans.end(tracked, machine, batch, bound_tasks)
        return batch

    def _start_or_refuse(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        task: Task,
        job: Job,
        binding: Binding,
        ended: bool,
        batch: CommandBatch,
    ) -> None:
        """Start a bound task that its worker does not report, or refuse its start permanently."""
        context = self.context
        if (
            task in tracked.unresolved_starts
            or task in tracked.answered_starts
            or binding.term != batch.term
            or binding.agent_epoch != machine.agent_epoch
            or not context.owns_term(machine.fencing_token)
        ):
            return
        if ended or binding.stop:
            if task not in tracked.refused_starts:
                tracked.refused_starts.add(task)
                context.changed_workers.add(machine.name)
        elif waits_for_gang_images(context, tracked, machine, job, binding, task):
            self.machines_with_delayed_starts.add(machine.name)
        elif task not in tracked.refused_starts and self.cancellations.store_fresh():
            batch.start(task)

    def _drop_outdated(
        self, tracked: TrackedWorker, machine: Machine, bound_tasks: set[Task]
    ) -> None:
        """Drop state about tasks that are no longer bound or no longer reported."""
        tracked.refused_starts &= bound_tasks
        tracked.delayed_since = {
            task: since for task, since in tracked.delayed_since.items() if task in bound_tasks
        }
        for task in [task for task in tracked.stops if task not in machine.tasks]:
            del tracked.stops[task]

    def stop_cancelled(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        excluded: set[Task],
        batch: CommandBatch,
    ) -> None:
        """Stop a machine's tasks of cancelled jobs (rule `ran_cancelled`).

        Tasks in `excluded` are left out. Local records may lack the bindings of the others: they
        were made after the store refused this controller, and the worker was handed over to it
        meanwhile. A worker that has accepted a higher term gets the stops under that term: during
        a store outage this controller can't raise its own, and yet renews the worker's lease.
        Stopping a cancelled task is harmless even if another controller commands the worker too.
        """
        for task, state in machine.tasks.items():
            job_id = task[0].partition("/")[0]
            if (
                task not in excluded
                and state[0] != EXITED
                and self.cancellations.is_cancelled(job_id)
            ):
                self._stop(tracked, machine, batch, task, state[0], None, True)

    def _must_checkpoint(self, machine: Machine, job: Job, state: str) -> bool:
        """Whether a task must save a checkpoint now because the cloud reclaims its machine soon.

        The scheduler that owns the job stops the tasks of a larger gang together.
        """
        spec = job.spec
        if (
            machine.notice_at is None
            or spec is None
            or not spec.checkpoint_s
            or state != RUNNING
            or spec.tasks > 1
        ):
            return False
        worker_times = self.context.facts.workers
        return (
            machine.notice_at - self.context.now
            <= spec.save_s + 2 * worker_times.heartbeat_interval_s
        )

    def _stop(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        batch: CommandBatch,
        task: Task,
        state: str,
        job: Job | None,
        ended: bool,
    ) -> None:
        """Stop a task; unless its job has ended, the task gets time to save a checkpoint."""
        grace = 0.0 if ended or job is None or job.spec is None else job.spec.save_s
        if state == SAVING and not ended:
            return
        batch.stop(task, grace)
        tracked.stops.setdefault(task, self.context.now)
        event(
            "task_stop",
            task=task[0],
            attempt=task[1],
            machine=machine.name,
            grace=grace,
            why="job_ended" if ended else "requested",
        )

    def reconcile(self, name: str) -> None:
        """Send a direct request with the starts and stops that a worker needs, if any."""
        context = self.context
        tracked = self.workers.tracked.get(name)
        machine = context.machines.get(name)
        if (
            tracked is None
            or machine is None
            or machine.manager != context.controller_id
            or tracked.command_in_flight
            or context.now < tracked.next_command_at
            or not context.owns_term(machine.fencing_token)
            or context.now - machine.last_heartbeat_at > context.facts.workers.lease_s
        ):
            return
        batch = self.commands(tracked, machine, end_unbound=False)
        if not batch:
            return
        term = batch.term
        starts = batch.tasks(CommandKind.START)
        self.log.sent(machine, DIRECT, batch)
        for task in starts:
            tracked.unresolved_starts[task] = term
        context.changed_workers.add(name)
        tracked.command_in_flight = True
        context.call(
            lambda outcome, heartbeat: self._commands_answered(
                name, starts, term, outcome, heartbeat
            ),
            messages.SendWorkerCommands,
            machine.addr,
            term,
            machine.agent_epoch,
            batch.bodies(),
        )

    def _commands_answered(
        self,
        name: str,
        starts: list[Task],
        term: int,
        outcome: CommandOutcome,
        heartbeat: Heartbeat | None,
    ) -> None:
        context = self.context
        self.log.answered(name, term, outcome, heartbeat)
        tracked = self.workers.tracked.setdefault(name, TrackedWorker())
        tracked.command_in_flight = False
        if outcome == CommandOutcome.LOST:
            # Delayed commands may be executed minutes later unless a newer term prevents it.
            tracked.next_command_at = context.now + constants.COMMAND_TIMEOUT_S
            self.leadership.need_term_above(term)
            return
        for task in starts:
            if tracked.unresolved_starts.get(task) == term:
                del tracked.unresolved_starts[task]
        if outcome == CommandOutcome.UNSENT:
            tracked.next_command_at = context.now + constants.COMMAND_TIMEOUT_S
        if heartbeat is not None and heartbeat.machine == name:
            machine = context.machines.get(name)
            if machine is None or (heartbeat.agent_epoch, heartbeat.sequence) > machine.version:
                self.accept_heartbeat(tracked, heartbeat)
        context.changed_workers.add(name)
        if heartbeat is not None and heartbeat.fencing_token > context.last_term:
            self.leadership.need_term_above(heartbeat.fencing_token)

    def move(self, request: MoveTask) -> None:
        """Stop a service task so that the job's scheduler starts it on another machine."""
        name = request.machine
        tracked = self.workers.tracked.get(name)
        machine = self.context.machines.get(name)
        task = (request.task, request.attempt)
        if tracked is not None and machine is not None and task in machine.tasks:
            tracked.stops[task] = self.context.now
            self.workers.to_reconcile.add(name)
