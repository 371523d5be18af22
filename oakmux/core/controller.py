"""One controller: takes commands, returns effects, owns all state and does no I/O."""

import logging
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents.manager import AgentManager
from oakmux.core.api.jobs import JobApi
from oakmux.core.autoscaling.autoscaler import Autoscaler
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.leadership.roles import FLEET
from oakmux.core.messages import Command, Effect
from oakmux.core.peers.link import PeerLink
from oakmux.core.scheduling.backfill_reservations import BackfillReservations
from oakmux.core.scheduling.scheduler import ShardScheduler
from oakmux.logs import event
from oakmux.settings import Settings

log = logging.getLogger("oakmux.core")

CommandHandler = Callable[[Any], None]


class Subsystem(Protocol):
    """An optional component of a controller, with its own commands and a periodic tick."""

    commands: dict[type[Command], CommandHandler]

    def tick(self) -> None:
        """Run the periodic work; called every TICK_S."""


class Controller:
    """One controller; `step` is its only entry point."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        wall_start_ms: int,
        subsystems: Sequence[Callable[[Context], Subsystem]] = (),
    ) -> None:
        self.context = Context(settings, rng, wall_start_ms)
        self.context.backfill = BackfillReservations(self.context)
        self.leadership = Leadership(self.context)
        self.agents = AgentManager(self.context, self.leadership)
        self.scheduler = ShardScheduler(self.context, self.agents)
        self.autoscaler = Autoscaler(self.context, self.agents.cancellations)
        self.jobs_api = JobApi(self.context, self.agents.cancellations)
        self.peers = PeerLink(self.context, self.agents, self.scheduler)
        self.subsystems = [make(self.context) for make in subsystems]
        self.next_tick_at = 0.0
        self.format = self.context.replica.format
        self.handlers: dict[type[Command], CommandHandler] = {
            messages.SubmitJob: self.jobs_api.submission.submit,
            messages.QueryJob: self.jobs_api.query,
            messages.CancelJob: self.jobs_api.cancel,
            messages.CheckHealth: self._check_health,
            messages.GetStatus: self._get_status,
            messages.ReceiveHeartbeat: self.agents.heartbeats.receive,
            messages.OperationDone: self._operation_done,
            messages.LoadSnapshot: self._load_snapshot,
            messages.ApplyWatchEvents: self._apply_watch_events,
            messages.UpdateMachineTypes: self._update_machine_types,
            messages.ReceivePeerMessages: self.peers.receive,
            messages.PeerAnswered: self.agents.cancellations.peer_answered,
            messages.PeerRestarted: self.peers.views.send_all,
            messages.ResendViews: self.peers.views.resend,
            messages.BorrowQuota: self.peers.borrow_quota,
        }
        for subsystem in self.subsystems:
            self.handlers.update(subsystem.commands)

    def step(self, now: float, commands: Iterable[Command]) -> list[Effect]:
        """Handle a batch of commands, run the work that is due, and return the effects.

        `now` is the process's monotonic clock in seconds.
        """
        context = self.context
        self._advance_clock(now)
        for command in commands:
            try:
                self.handlers[type(command)](command)
            except Exception:  # one bad request or answer must not end the process
                log.exception("event=command_failed kind=%s", type(command).__name__)
        for run in self._due():
            try:
                run()
            except Exception:  # must end neither the other components nor the process
                log.exception("event=subsystem_failed part=%s", run.__qualname__)
        effects, context.effects = context.effects, []
        return effects

    def _advance_clock(self, now: float) -> None:
        context = self.context
        if now - context.now > constants.PROCESS_PAUSE_S:
            # The process was suspended while the clock advanced. Its queue holds inputs from the
            # time in between: the machines are alive, their heartbeats are not processed yet.
            context.resumed_at = now
            event("process_paused", seconds=round(now - context.now, 1))
        context.now = max(context.now, now)

    def _due(self) -> list[Callable[[], None]]:
        """Return the functions to run in this step, in order."""
        due: list[Callable[[], None]] = [self._settle]
        if self.context.now >= self.next_tick_at:
            self.next_tick_at = self.context.now + constants.TICK_S
            due += [
                self.leadership.tick,
                self.scheduler.sampler.sample,
                self.autoscaler.tick,
                self.peers.tick,
                *(subsystem.tick for subsystem in self.subsystems),
                self._settle,
            ]
        due += [self.scheduler.writer.flush, self.jobs_api.flush]
        return due

    # --- propagation of changes between components ---

    def _settle(self) -> None:
        """Propagate changes until there are none left, for PROPAGATION_ROUNDS at most."""
        for _ in range(constants.PROPAGATION_ROUNDS):
            self.peers.deliver_local()
            if not self._propagate():
                break
        self.agents.tick()
        self.peers.deliver_local()
        self._propagate()

    def _propagate(self) -> bool:
        """Notify components of changed records and workers; return whether anything changed."""
        if self.context.replica.loaded:
            self._update_roles()
        self._update_format()
        self._note_ready_jobs()
        return self._propagate_changes()

    def _update_roles(self) -> None:
        context = self.context
        before = context.held_roles
        acquired = set(self.leadership.refresh_roles()).difference(context.extra_roles)
        kept = {
            role
            for role, mod_revision in before.items()
            if context.held_roles.get(role) == mod_revision
        }
        lost = before.keys() - kept - set(context.extra_roles)
        if lost or acquired:
            self.scheduler.on_roles_lost(kept)
        if acquired:
            self.scheduler.binder.on_role_acquired()
        if FLEET in acquired:
            self.autoscaler.on_role_acquired()

    def _update_format(self) -> None:
        replica = self.context.replica
        if replica.format != self.format:
            self.format = replica.format
            event("format_switched", format=self.format)
            self.scheduler.buffer.on_format_change()

    def _note_ready_jobs(self) -> None:
        """Count age and objectives of jobs from now on if their last dependency is now done."""
        context, replica = self.context, self.context.replica
        ready, replica.changes.released_jobs = replica.changes.released_jobs, []
        for job_id in ready:
            replica.jobs[job_id].eligible_ms = context.wall_clock_ms
            event("job_ready", job=job_id)

    def _propagate_changes(self) -> bool:
        context, replica = self.context, self.context.replica
        jobs, replica.changes.jobs = replica.changes.jobs, set()
        machines, replica.changes.machines = replica.changes.machines, set()
        workers, context.changed_workers = context.changed_workers, set()
        for job_id in jobs:
            job = replica.jobs.get(job_id)
            if job is not None and job.state == "cancelled" and job_id in replica.active:
                self.agents.cancellations.reconcile_job(job_id)
            self.scheduler.binder.on_job_changed(job_id)
            self.autoscaler.changed(job_id)
        for name in machines:
            self.agents.queue.records_changed(name)
        for name in machines | workers:
            self.scheduler.binder.on_machine_changed(name)
        for name in workers:
            self.peers.views.send_to_all(name)
        return bool(jobs or machines or workers)

    # --- updates from the store and the cloud ---

    def _operation_done(self, command: messages.OperationDone) -> None:
        callback = self.context.operations.pop(command.operation, None)
        if callback is not None:
            callback(command.status, command.result)

    def _load_snapshot(self, command: messages.LoadSnapshot) -> None:
        replica = self.context.replica
        replica.load(command.records, command.revision)
        self._use_recorded_types()
        self.context.note_store_answer(command.requested_at)
        event("records_loaded", jobs=len(replica.jobs), revision=command.revision)

    def _apply_watch_events(self, command: messages.ApplyWatchEvents) -> None:
        replica = self.context.replica
        for key, value, mod_revision in command.events:
            replica.apply(key, value, mod_revision)
        replica.revision = max(replica.revision, command.revision)
        self._use_recorded_types()
        self.context.note_store_answer(command.requested_at)

    def _use_recorded_types(self) -> None:
        """Use the catalogue in the records until the cloud answers."""
        if not self.context.types:
            self.context.types = dict(self.context.replica.types)
            self.context.types_changed()

    def _update_machine_types(self, command: messages.UpdateMachineTypes) -> None:
        self.context.types = {machine_type.name: machine_type for machine_type in command.types}
        self.context.types_current = True
        self.context.types_changed()

    # --- health ---

    def _check_health(self, command: messages.CheckHealth) -> None:
        ready = self._ready()
        self.context.answer(command.request, 200 if ready else 503, self._status(ready))

    def _get_status(self, command: messages.GetStatus) -> None:
        status = self._status(self.agents.cancellations.store_fresh())
        self.context.answer(command.request, 200, status)

    def _ready(self) -> bool:
        """Whether the load balancer should send users to this controller.

        If only the store is unreachable, the outage may affect all controllers, and no other one
        would serve users better. If a peer reaches the store, or no peer is reachable either, this
        controller is probably cut off and would only refuse requests.
        """
        context, cancellations = self.context, self.agents.cancellations
        if not context.replica.loaded or context.replica.unknown_format or not context.types:
            return False
        if cancellations.store_fresh():
            return True
        peer_has_store = any(
            context.now - seen_at < constants.STORE_STALE_S
            for seen_at in cancellations.peer_store_seen_at.values()
        )
        return not peer_has_store and not cancellations.isolated()

    def _status(self, ready: bool) -> tuple[Any, ...]:
        context = self.context
        machines = sum(
            1 for machine in context.machines.values() if machine.manager == context.controller_id
        )
        roles = sorted(context.held_roles)
        return "health", context.controller_id, ready, context.term, roles, machines
