"""The one owner of all state: commands in, effects out."""

import bisect
import logging
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from oakmux import constants
from oakmux.core.agents.heartbeats import apply_heartbeat, hold_image
from oakmux.core.agents.manager import AgentManager
from oakmux.core.api.jobs import JobApi
from oakmux.core.autoscaling.autoscaler import Autoscaler
from oakmux.core.context import Context, event
from oakmux.core.leadership.leadership import FLEET, Leadership
from oakmux.core.model import Heartbeat, MachineType
from oakmux.core.scheduling.backfill_reservations import BackfillReservations
from oakmux.core.scheduling.scheduler import ShardScheduler
from oakmux.settings import Settings

log = logging.getLogger("oakmux.core")


class Subsystem(Protocol):
    """A subsystem that is switched on: takes commands of its own and has a turn in every tick."""

    commands: dict[str, Callable[..., None]]

    def tick(self) -> None:
        """Do what is due."""


class Controller:
    """One controller; `step` is its only entry."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        wall: int,
        parts: Sequence[Callable[[Context], Subsystem]] = (),
    ) -> None:
        self.context = Context(settings, rng, wall)
        self.context.backfill = BackfillReservations(self.context)
        self.leadership = Leadership(self.context)
        self.agents = AgentManager(self.context, self.leadership)
        self.scheduler = ShardScheduler(self.context, self.agents)
        self.autoscaler = Autoscaler(self.context, self.agents.cancellations)
        self.jobs_api = JobApi(self.context)
        self.next_alive = 0.0
        self.last_resent = ""  # the machine of which peers were told last in `_tell_again`
        self.next_tick = 0.0
        self.format = self.context.replica.format
        self.handlers: dict[str, Callable[..., None]] = {
            "submit": self.jobs_api.submit,
            "query": self.jobs_api.query,
            "cancel": self.jobs_api.cancel,
            "health": self._health,
            "status": self._status,
            "report": self.agents.heartbeats.receive,
            "done": self._done,
            "snapshot": self._snapshot,
            "watch": self._watch,
            "catalogue": self._catalogue,
            "peer": self._peer,
            "peer_alive": self.agents.cancellations.peer_alive,
            "peer_new": self._peer_new,
            "resend": self._resend,
            "short": self._short,
        }
        self.parts = [make(self.context) for make in parts]
        for more in self.parts:
            self.handlers.update(more.commands)
        self.messages: dict[str, Callable[..., None]] = {
            "heard": self._heard,
            "view": self._view,
            "reserve": self.agents.queue.reserve,
            "offer": self.scheduler.binder.offer,
            "decline": self.agents.queue.decline,
            "move": self.agents.commands.move,
            "drain": self._drain,
            "gone": self._gone,
            "opening": self.context.backfill.announced,
            "borrow": lambda label, wanted: self.context.emit("lend", label, wanted),
            "lent": lambda given: self.context.emit("credit", given),
        }

    def step(self, now: float, commands: Iterable[tuple]) -> list[tuple]:
        """Work through a batch of commands; return the effects."""
        context = self.context
        if now - context.now > constants.PROCESS_PAUSE_S:
            # The process stood still while its clocks ran on. What is in its queue was said at
            # some time meanwhile: machines heard before are not silent, only unheard by us.
            context.resumed_at = now
            event("stood_still", seconds=round(now - context.now, 1))
        context.now = max(context.now, now)
        for command in commands:
            try:
                self.handlers[command[0]](*command[1:])
            except Exception:  # one request or answer must not end the process
                log.exception("event=command_failed kind=%s", command[0])
        due = [self._settle]
        if context.now >= self.next_tick:
            self.next_tick = context.now + constants.TICK_S
            due += [
                self.leadership.tick,
                self.scheduler.sampler.sample,
                self.autoscaler.tick,
                self._say_alive,
                *(more.tick for more in self.parts),
                self._settle,
            ]
        for part in [*due, self.scheduler.writer.flush, self.jobs_api.flush]:
            try:
                part()
            except Exception:  # a fault in one part must end neither the others nor the process
                log.exception("event=part_failed part=%s", part.__qualname__)
        effects, context.effects = context.effects, []
        return effects

    # --- bringing all parts up to date ---

    def _settle(self) -> None:
        for _ in range(constants.SETTLE_ROUNDS):
            self._local()
            if not self._propagate():
                break
        self.agents.tick()
        self._local()
        self._propagate()

    def _local(self) -> None:
        """Deliver what we send to ourselves."""
        context = self.context
        for _ in range(constants.SETTLE_ROUNDS):
            if not context.inbox:
                return
            mine, context.inbox = context.inbox, []
            for message in mine:
                self._message(context.label, message)

    def _message(self, label: str, message: Any) -> None:
        try:
            handler = self.messages[message[0]]
            if message[0] in ("heard", "view"):
                handler(label, *message[1:])
            else:
                handler(*message[1:])
        except Exception:
            log.exception("event=message_failed peer=%s", label)

    def _propagate(self) -> bool:
        context = self.context
        replica = context.replica
        before = context.held_roles
        won = self.leadership.refresh_roles() if replica.loaded else []
        more = set(context.extra_roles)
        held = {
            role
            for role, mod_revision in before.items()
            if context.held_roles.get(role) == mod_revision
        }
        if set(before) - held - more or set(won) - more:
            self.scheduler.on_roles_lost(held)
        if set(won) - more:
            self.scheduler.binder.on_role_acquired()
            if FLEET in won:
                self.autoscaler.on_role_acquired()
        if replica.format != self.format:
            self.format = replica.format
            event("format", format=self.format)
            self.scheduler.buffer.on_format_change()
        freed, replica.changes.released_jobs = replica.changes.released_jobs, []
        for job_id in freed:  # age and the aims for starting count from now
            replica.jobs[job_id].since = context.wall + int(context.now * 1000)
            event("ready", job=job_id)
        jobs, replica.changes.jobs = replica.changes.jobs, set()
        machines, replica.changes.machines = replica.changes.machines, set()
        dirty, context.changed_workers = context.changed_workers, set()
        for job_id in jobs:
            job = replica.jobs.get(job_id)
            if job is not None and job.state == "cancelled" and job_id in replica.active:
                self.agents.cancellations.reconcile_job(job_id)
            self.scheduler.binder.changed(job_id)
            self.autoscaler.changed(job_id)
        for name in machines:
            self.agents.queue.records_changed(name)
        for name in machines | dirty:
            self.scheduler.binder.machine_changed(name)
        for name in dirty:
            self._tell(name, [m.controller_id for m in context.settings.peers])
        return bool(jobs or machines or dirty)

    # --- commands ---

    def _done(self, op: int, *result: Any) -> None:
        then = self.context.ops.pop(op, None)
        if then is not None:
            then(*result)

    def _snapshot(self, rows: list, revision: int, asked: float) -> None:
        self.context.replica.load(rows, revision)
        self._recorded_types()
        self.context.note_store_answer(asked)
        event("loaded", jobs=len(self.context.replica.jobs), revision=revision)

    def _watch(self, events: list, revision: int, asked: float) -> None:
        replica = self.context.replica
        for key, value, mod_revision in events:
            replica.apply(key, value, mod_revision)
        replica.revision = max(replica.revision, revision)
        self._recorded_types()
        self.context.note_store_answer(asked)

    def _recorded_types(self) -> None:
        """Until the cloud answers, the catalogue in the records has to do."""
        if not self.context.types:
            self.context.types = dict(self.context.replica.types)
            self.context.types_changed()

    def _catalogue(self, types: list[MachineType]) -> None:
        self.context.types = {t.name: t for t in types}
        self.context.types_changed()

    def _health(self, rid: Any) -> None:
        context = self.context
        fresh = self.agents.cancellations.store_fresh()
        served = any(
            context.now - at < constants.STORE_STALE_S
            for at in self.agents.cancellations.peer_store_seen_at.values()
        )
        # Without the state service alone, all may be: an outage. Without any peer as well, users
        # are served by whoever has them, if anybody: we can't tell, and could only refuse them.
        ready = (
            context.replica.loaded
            and not context.replica.unknown_format
            and bool(context.types)
            and (fresh or not (served or self.agents.cancellations.isolated()))
        )
        context.emit("answer", rid, 200 if ready else 503, self._summary(ready))

    def _status(self, rid: Any) -> None:
        self.context.emit(
            "answer", rid, 200, self._summary(self.agents.cancellations.store_fresh())
        )

    def _summary(self, ready: bool) -> tuple:
        context = self.context
        tracked = sum(1 for m in context.machines.values() if m.manager == context.label)
        return "health", context.label, ready, context.term, sorted(context.held_roles), tracked

    # --- peers ---

    def _peer(self, rid: Any, label: str, messages: list, since: int = -1) -> None:
        for message in messages:
            self._message(label, message)
        context = self.context
        cancelled, until = self.agents.cancellations.answer(since)
        context.emit(
            "answer",
            rid,
            200,
            (
                "peer",
                context.label,
                context.incarnation if context.replica.loaded else 0,
                min(context.now - context.store_seen_at, 1e6),
                cancelled,
                until,
            ),
        )

    def _peer_new(self, label: str) -> None:
        """A peer started anew: tell it all that we hear."""
        for machine in self.context.machines.values():
            if machine.manager == self.context.label:
                self._tell(machine.name, [label], images=True)

    def _resend(self, label: str, names: list[str]) -> None:
        for name in names:
            self._tell(name, [label])

    def _tell(self, name: str, labels: list[str], images: bool = False) -> None:
        context = self.context
        machine = context.machines.get(name)
        if machine is None or machine.manager != context.label:
            return
        notice = None if machine.notice_at is None else max(0.0, machine.notice_at - context.now)
        tasks = [
            [*task, *state]
            for task, state in self.agents.heartbeats.visible_tasks(machine).items()
        ]
        message = (
            "view",
            machine.manager_term,
            machine.name,
            machine.addr,
            machine.type,
            machine.zone,
            machine.spot,
            machine.agent_epoch,
            machine.sequence,
            machine.fencing_token,
            notice,
            tasks,
            list(machine.images.items()) if images else [],
        )
        for label in labels:
            context.emit("send", label, message)

    def _view(
        self,
        label: str,
        term: int,
        name: str,
        addr: str,
        type_name: str,
        zone: str,
        spot: bool,
        agent_epoch: int,
        sequence: int,
        fencing_token: int,
        notice: float | None,
        tasks: list,
        images: list,
    ) -> None:
        context = self.context
        machine = context.machines.get(name)
        if machine is not None:
            newer = (agent_epoch, sequence) > machine.version
            same = (agent_epoch, sequence) == machine.version and machine.manager == label
            if not newer and not same:
                return
        elif name in context.replica.terminated_machines or name in context.terminated:
            return
        heartbeat = Heartbeat(
            name,
            addr,
            type_name,
            zone,
            spot,
            agent_epoch,
            sequence,
            fencing_token,
            notice,
            {(row[0], row[1]): (row[2], row[3], row[4]) for row in tasks},
        )
        apply_heartbeat(context, heartbeat, label, term)
        for image, size_gb in images:
            hold_image(context, context.machines[name], image, size_gb)

    def _say_alive(self) -> None:
        context = self.context
        if context.now < self.next_alive:
            return
        self.next_alive = context.now + constants.PEER_HEARTBEAT_S
        self.agents.cancellations.forget()
        for name in [
            n
            for n, at in context.draining.items()
            if FLEET not in context.held_roles and context.now - at > constants.DRAIN_NOTICE_TTL_S
        ]:
            context.undrain(name)
        heard = [
            m.name
            for m in context.machines.values()
            if m.manager == context.label
            and context.now - m.last_heartbeat_at
            < 2 * constants.PEER_HEARTBEAT_S + context.facts.workers.heartbeat_interval_s
        ]
        labels = [member.controller_id for member in context.settings.peers]
        for label in labels:
            context.emit("send", label, ("heard", heard))
        self._tell_again(sorted(heard), labels)

    def _tell_again(self, mine: list[str], labels: list[str]) -> None:
        """Tell peers some of what we hear once more, all of it in turn, also where nothing
        changed: a peer that saw a machine come and go, of which we never heard, would take it for
        one that does not hear us, and leave its room unused for ever."""
        count = math.ceil(len(mine) * constants.PEER_HEARTBEAT_S / constants.VIEW_RESEND_S)
        first = bisect.bisect_right(mine, self.last_resent)
        chosen = mine[first : first + count]
        for name in chosen:
            self._tell(name, labels)
        self.last_resent = chosen[-1] if len(chosen) == count and chosen else ""

    def _short(self, wanted: float) -> None:
        """We lack changes at the state service: ask all peers for a part."""
        members = self.context.settings.peers
        for member in members:
            self.context.emit(
                "send",
                member.controller_id,
                ("borrow", self.context.label, constants.BORROW_FACTOR * wanted / len(members)),
            )

    def _heard(self, label: str, heard: list[str]) -> None:
        for name in heard:
            machine = self.context.machines.get(name)
            if machine is not None and machine.manager == label:
                self.context.note_heartbeat(machine)

    def _drain(self, names: list[str]) -> None:
        for name in names:
            self.context.drain(name)

    def _gone(self, names: list[str]) -> None:
        for name in names:
            self.context.mark_terminated(name)
            self.agents.workers.tracked.pop(name, None)
