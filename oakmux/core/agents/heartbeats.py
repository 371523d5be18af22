"""Handles worker heartbeats: answers them and updates the machines that they describe."""

import math
from typing import Any

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.command_batch import CommandBatch, CommandKind
from oakmux.core.agents.command_log import ANSWER, CommandLog
from oakmux.core.agents.late_starts import late_start_possible
from oakmux.core.agents.reachability import assess_heartbeat, assess_new_machine
from oakmux.core.agents.reservation_queue import ReservationQueue
from oakmux.core.agents.tracked_workers import TrackedWorker, WorkerTable
from oakmux.core.agents.worker_commands import WorkerCommands
from oakmux.core.agents.worker_terms import WorkerTerms, worker_term
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.machine import Machine, Task
from oakmux.core.model import Heartbeat, JobSpec
from oakmux.logs import event
from oakmux.task_status import (
    DONE,
    ERROR,
    EXITED,
    FETCHING,
    REFUSED,
    RUNNING,
    STARTING,
    TaskStatus,
)

STARTING_STATUS = TaskStatus(STARTING, "", False)
REFUSED_STATUS = TaskStatus(REFUSED, "", False)


class HeartbeatHandler:
    """Answers heartbeats and applies them to the machines."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        cancellations: CancellationLog,
        leadership: Leadership,
        commands: WorkerCommands,
        queue: ReservationQueue,
        terms: WorkerTerms,
        log: CommandLog,
    ) -> None:
        self.context = context
        self.workers = workers
        self.cancellations = cancellations
        self.leadership = leadership
        self.commands = commands
        self.queue = queue
        self.terms = terms
        self.log = log

    def receive(self, command: messages.ReceiveHeartbeat) -> None:
        """Apply a worker's heartbeat and answer it, or refuse it."""
        context = self.context
        request, heartbeat = command.request, command.heartbeat
        refusal = self._refusal(heartbeat)
        if refusal is not None:
            self._unavailable(request, refusal)
            return
        machine = context.machines.get(heartbeat.machine)
        tracked = self.workers.tracked.setdefault(heartbeat.machine, TrackedWorker())
        tracked.answered_starts.clear()
        if machine is None or machine.manager != context.controller_id:
            tracked.attached_at = context.now
        machine = self.accept_heartbeat(tracked, heartbeat)
        peer = self._peer_with_store()
        if peer is not None:
            self.log.heartbeat("heartbeats_redirected")
            context.answer(request, 421, ("report_to", peer))
        elif late_start_possible(context, self.cancellations, tracked, machine):
            self._unavailable(request, "a cancelled start is on its way")
        elif heartbeat.fencing_token > context.last_term or not context.term:
            self._answer_without_term(request, heartbeat, tracked, machine)
        else:
            self._answer_commands(request, tracked, machine)

    def _refusal(self, heartbeat: Heartbeat) -> str | None:
        """Return why a heartbeat is neither applied nor renews a lease, or None if accepted."""
        context = self.context
        machine = context.machines.get(heartbeat.machine)
        if machine is not None and (heartbeat.agent_epoch, heartbeat.sequence) <= machine.version:
            return "old report"
        if (
            heartbeat.machine in context.replica.terminated_machines
            or heartbeat.machine in context.terminated
        ):
            return "returned"
        if (
            not context.replica.loaded
            or context.replica.unknown_format
            or not self.cancellations.may_renew_leases()
        ):
            return "no current records"
        return None

    def _unavailable(self, request: Any, reason: str) -> None:
        self.log.heartbeat("heartbeats_" + reason.replace(" ", "_"))
        self.context.answer(request, 503, ("error", reason))

    def _peer_with_store(self) -> str | None:
        """Return a peer to hand workers over to, if only this controller has lost the store."""
        if self.cancellations.store_fresh():
            return None
        for peer, seen_at in self.cancellations.peer_store_seen_at.items():
            if self.context.now - seen_at < constants.STORE_STALE_S / 2:
                return peer
        return None

    def _answer_without_term(
        self, request: Any, heartbeat: Heartbeat, tracked: TrackedWorker, machine: Machine
    ) -> None:
        """Answer a worker whose fencing token is above this controller's terms."""
        self.leadership.need_term_above(heartbeat.fencing_token)
        if not heartbeat.fencing_token:
            self._unavailable(request, "no term yet")
            return
        # An answer under the worker's own token renews its lease but starts no task.
        batch = CommandBatch(heartbeat.fencing_token)
        self.commands.stop_cancelled(tracked, machine, set(), batch)
        self._answer(request, machine, batch)

    def _answer_commands(self, request: Any, tracked: TrackedWorker, machine: Machine) -> None:
        """Answer with the commands for a worker, and offer its machine's free resources."""
        context = self.context
        batch = self.commands.commands(tracked, machine, end_unbound=True)
        starts = batch.tasks(CommandKind.START)
        tracked.answered_starts.update(starts)
        self._answer(request, machine, batch)
        if starts:
            context.changed_workers.add(machine.name)
        self.queue.offer(machine.name)

    def _answer(self, request: Any, machine: Machine, batch: CommandBatch) -> None:
        """Answer 200, which renews the worker's lease, with commands."""
        own = self.context.owns_term(batch.term)
        self.log.heartbeat("heartbeats_own_term" if own else "heartbeats_other_term")
        self.log.sent(machine, ANSWER, batch)
        self.context.answer(request, 200, ("orders", batch.term, batch.bodies()))

    def accept_heartbeat(self, tracked: TrackedWorker, heartbeat: Heartbeat) -> Machine:
        """Apply a heartbeat newer than the last, and drop start commands that it resolves."""
        context = self.context
        for task, term in list(tracked.unresolved_starts.items()):
            # An unanswered start command is resolved once the worker reports the task, a newer
            # agent epoch, or a fencing token above the command's term: the worker has carried it
            # out, or will refuse it.
            if task in heartbeat.tasks or heartbeat.fencing_token > term:
                del tracked.unresolved_starts[task]
        machine = context.machines.get(heartbeat.machine)
        if machine is not None and heartbeat.agent_epoch > machine.agent_epoch:
            tracked.unresolved_starts.clear()
            tracked.refused_starts.clear()
            tracked.offers.clear()
            tracked.stops.clear()
        self.terms.note_shown(tracked, heartbeat.fencing_token)
        apply_heartbeat(
            context,
            heartbeat,
            context.controller_id,
            worker_term(context, tracked),
            context.owns_term(heartbeat.fencing_token),
        )
        return context.machines[heartbeat.machine]

    def visible_tasks(self, machine: Machine) -> dict[Task, tuple[str, str, bool]]:
        """Return a machine's tasks, with unresolved and refused starts added for schedulers."""
        tracked = self.workers.tracked.get(machine.name)
        if tracked is None or machine.manager != self.context.controller_id:
            return machine.tasks
        tasks = dict(machine.tasks)
        for task in [*tracked.unresolved_starts, *tracked.answered_starts]:
            tasks.setdefault(task, STARTING_STATUS)
        for task in tracked.refused_starts:
            tasks.setdefault(task, REFUSED_STATUS)
        return tasks


def apply_heartbeat(
    context: Context, heartbeat: Heartbeat, manager: str, manager_term: int, shows_term: bool
) -> None:
    """Update a machine from a heartbeat; the caller has checked that it is newer than the last.

    Args:
        context: the controller's shared state.
        heartbeat: the heartbeat.
        manager: the controller that the heartbeat was sent to.
        manager_term: the term under which the manager commands the worker.
        shows_term: whether the heartbeat's fencing token is a term of the manager.
    """
    machine = context.machines.get(heartbeat.machine)
    before: dict[Task, tuple[str, str, bool]] = {}
    if machine is None:
        machine = context.machines[heartbeat.machine] = Machine(heartbeat, context.now)
        assess_new_machine(context, machine, manager == context.controller_id, shows_term)
        changed = True
    else:
        before = machine.tasks if machine.agent_epoch == heartbeat.agent_epoch else {}
        proven = assess_heartbeat(context, machine, heartbeat, manager, shows_term)
        changed = proven or (
            machine.agent_epoch,
            machine.fencing_token,
            machine.tasks,
            machine.manager,
            machine.manager_term,
            machine.notice_at is None,
        ) != (
            heartbeat.agent_epoch,
            heartbeat.fencing_token,
            heartbeat.tasks,
            manager,
            manager_term,
            heartbeat.notice_s is None,
        )
        machine.apply(heartbeat, context.now)
        context.note_heartbeat(machine)
    if machine.manager != manager:
        event(
            "worker_registered",
            machine=machine.name,
            manager=manager,
            agent_epoch=machine.agent_epoch,
            shown_term=machine.fencing_token,
            manager_term=manager_term,
        )
    machine.manager, machine.manager_term = manager, manager_term
    if changed:
        context.changed_workers.add(machine.name)
        context.replica.changes.touch(machine.name)
        record_task_results(context, machine, before)


def record_task_results(
    context: Context, machine: Machine, before: dict[Task, tuple[str, str, bool]]
) -> None:
    """Update a machine's images, failures, task run times and idle time from its task status."""
    live_specs = []
    for task, (state, why, _) in machine.tasks.items():
        job_id = task[0].partition("/")[0]
        job = context.replica.jobs.get(job_id)
        spec = None if job is None else job.spec
        old = before.get(task, ("", "", False))
        if state == RUNNING and old[0] != RUNNING and machine.manager == context.controller_id:
            event("task_running", task=task[0], attempt=task[1], machine=machine.name)
        if state != EXITED and spec is not None:
            live_specs.append(spec)
        if state == EXITED and old[0] != EXITED:
            _record_exit(context, machine, task, why, spec, old[0])
    for spec in live_specs:
        record_image_use(context, machine, spec.image, spec.image_gb)
    # When each task started running; for other tasks the current time, as they lose no work.
    machine.task_started_at = {
        task: machine.task_started_at.get(task, context.now)
        if RUNNING == state[0] == before.get(task, ("",))[0]
        else context.now
        for task, state in machine.tasks.items()
        if state[0] != EXITED
    }
    if machine.task_started_at:
        machine.idle_since = None
    elif machine.idle_since is None:
        machine.idle_since = context.now


def _record_exit(
    context: Context, machine: Machine, task: Task, why: str, spec: JobSpec | None, old_state: str
) -> None:
    """Record the result of an exited task, and drop its image if the fetch was aborted."""
    if machine.manager == context.controller_id:
        event("task_exited", task=task[0], attempt=task[1], machine=machine.name, why=why)
    if why == DONE:
        machine.errors.clear()
    elif why == ERROR:
        job_id = task[0].partition("/")[0]
        started_at = machine.task_started_at.get(task, context.now)
        run_s = context.now - started_at if old_state == RUNNING else 0.0
        context.failures.record(job_id, machine.name, run_s)
        if job_id not in machine.errors:
            machine.errors.append(job_id)
            del machine.errors[: -constants.FAILED_JOBS_KEPT]
    if old_state == FETCHING and why != DONE and spec is not None:
        machine.images.pop(spec.image, None)  # the worker aborts a fetch that no task needs


def record_image_use(context: Context, machine: Machine, image: str, size_gb: float) -> None:
    """Record that a machine uses an image, which may evict others from its image cache."""
    machine_type = context.types.get(machine.type)
    # No `touch`: the machine's free resources don't change.
    context.replica.changes.stale_machines.add(machine.name)
    machine.use_image(image, size_gb, math.inf if machine_type is None else machine_type.cache_gb)
