"""The one owner of all state: commands in, effects out."""

import bisect
import logging
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from oakmux import constants
from oakmux.core.desk import Desk
from oakmux.core.fleet import Fleet
from oakmux.core.keeper import Keeper
from oakmux.core.keeper.reports import hold_image, take_report
from oakmux.core.membership import FLEET, Membership
from oakmux.core.owner import Owner
from oakmux.core.spread.openings import Openings
from oakmux.core.world import World, event
from oakmux.settings import Settings
from oakmux.wire import MachineType, Report

log = logging.getLogger("oakmux.core")


class Part(Protocol):
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
        parts: Sequence[Callable[[World], Part]] = (),
    ) -> None:
        self.world = World(settings, rng, wall)
        self.world.openings = Openings(self.world)
        self.membership = Membership(self.world)
        self.keeper = Keeper(self.world, self.membership)
        self.owner = Owner(self.world, self.keeper)
        self.fleet = Fleet(self.world, self.keeper.word)
        self.desk = Desk(self.world)
        self.next_alive = 0.0
        self.told_again = ""  # the machine of which peers were told last in `_tell_again`
        self.next_tick = 0.0
        self.format = self.world.replica.format
        self.handlers: dict[str, Callable[..., None]] = {
            "submit": self.desk.submit,
            "query": self.desk.query,
            "cancel": self.desk.cancel,
            "health": self._health,
            "status": self._status,
            "report": self.keeper.reports.report,
            "done": self._done,
            "snapshot": self._snapshot,
            "watch": self._watch,
            "catalogue": self._catalogue,
            "peer": self._peer,
            "peer_alive": self.keeper.word.peer_alive,
            "peer_new": self._peer_new,
            "resend": self._resend,
            "short": self._short,
        }
        self.parts = [make(self.world) for make in parts]
        for more in self.parts:
            self.handlers.update(more.commands)
        self.messages: dict[str, Callable[..., None]] = {
            "heard": self._heard,
            "view": self._view,
            "reserve": self.keeper.queue.reserve,
            "offer": self.owner.binder.offer,
            "decline": self.keeper.queue.decline,
            "move": self.keeper.orders.move,
            "drain": self._drain,
            "gone": self._gone,
            "opening": self.world.openings.take,
            "borrow": lambda label, wanted: self.world.emit("lend", label, wanted),
            "lent": lambda given: self.world.emit("credit", given),
        }

    def step(self, now: float, commands: Iterable[tuple]) -> list[tuple]:
        """Work through a batch of commands; return the effects."""
        world = self.world
        if now - world.now > constants.STOOD_STILL_S:
            # The process stood still while its clocks ran on. What is in its queue was said at
            # some time meanwhile: machines heard before are not silent, only unheard by us.
            world.resumed_at = now
            event("stood_still", seconds=round(now - world.now, 1))
        world.now = max(world.now, now)
        for command in commands:
            try:
                self.handlers[command[0]](*command[1:])
            except Exception:  # one request or answer must not end the process
                log.exception("event=command_failed kind=%s", command[0])
        due = [self._settle]
        if world.now >= self.next_tick:
            self.next_tick = world.now + constants.TICK_S
            due += [
                self.membership.tick,
                self.owner.sampler.sample,
                self.fleet.tick,
                self._say_alive,
                *(more.tick for more in self.parts),
                self._settle,
            ]
        for part in [*due, self.owner.writer.flush, self.desk.flush]:
            try:
                part()
            except Exception:  # a fault in one part must end neither the others nor the process
                log.exception("event=part_failed part=%s", part.__qualname__)
        effects, world.effects = world.effects, []
        return effects

    # --- bringing all parts up to date ---

    def _settle(self) -> None:
        for _ in range(constants.SETTLE_ROUNDS):
            self._local()
            if not self._propagate():
                break
        self.keeper.tick()
        self._local()
        self._propagate()

    def _local(self) -> None:
        """Deliver what we send to ourselves."""
        world = self.world
        for _ in range(constants.SETTLE_ROUNDS):
            if not world.inbox:
                return
            mine, world.inbox = world.inbox, []
            for message in mine:
                self._message(world.label, message)

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
        world = self.world
        replica = world.replica
        before = world.my_roles
        won = self.membership.refresh_roles() if replica.loaded else []
        more = set(world.more_roles)
        held = {role for role, stamp in before.items() if world.my_roles.get(role) == stamp}
        if set(before) - held - more or set(won) - more:
            self.owner.lost(held)
        if set(won) - more:
            self.owner.binder.won()
            if FLEET in won:
                self.fleet.won()
        if replica.format != self.format:
            self.format = replica.format
            event("format", format=self.format)
            self.owner.buffer.switched()
        freed, replica.freed = replica.freed, []
        for job_id in freed:  # age and the aims for starting count from now
            replica.jobs[job_id].since = world.wall + int(world.now * 1000)
            event("ready", job=job_id)
        jobs, replica.changed_jobs = replica.changed_jobs, set()
        machines, replica.changed_machines = replica.changed_machines, set()
        dirty, world.dirty_machines = world.dirty_machines, set()
        for job_id in jobs:
            job = replica.jobs.get(job_id)
            if job is not None and job.state == "cancelled" and job_id in replica.active:
                self.keeper.word.poke_job(job_id)
            self.owner.binder.changed(job_id)
            self.fleet.changed(job_id)
        for name in machines:
            self.keeper.queue.records_changed(name)
        for name in machines | dirty:
            self.owner.binder.machine_changed(name)
        for name in dirty:
            self._tell(name, [m.label for m in world.settings.members])
        return bool(jobs or machines or dirty)

    # --- commands ---

    def _done(self, op: int, *result: Any) -> None:
        then = self.world.ops.pop(op, None)
        if then is not None:
            then(*result)

    def _snapshot(self, rows: list, epoch: int, asked: float) -> None:
        self.world.replica.load(rows, epoch)
        self._recorded_types()
        self.world.state_said(asked)
        event("loaded", jobs=len(self.world.replica.jobs), epoch=epoch)

    def _watch(self, events: list, epoch: int, asked: float) -> None:
        replica = self.world.replica
        for key, value, stamp in events:
            replica.apply(key, value, stamp)
        replica.epoch = max(replica.epoch, epoch)
        self._recorded_types()
        self.world.state_said(asked)

    def _recorded_types(self) -> None:
        """Until the cloud answers, the catalogue in the records has to do."""
        if not self.world.types:
            self.world.types = dict(self.world.replica.types)
            self.world.types_changed()

    def _catalogue(self, types: list[MachineType]) -> None:
        self.world.types = {t.name: t for t in types}
        self.world.types_changed()

    def _health(self, rid: Any) -> None:
        world = self.world
        fresh = self.keeper.word.state_fresh()
        served = any(
            world.now - at < constants.STATE_STALE_S for at in self.keeper.word.peer_fresh.values()
        )
        # Without the state service alone, all may be: an outage. Without any peer as well, users
        # are served by whoever has them, if anybody: we can't tell, and could only refuse them.
        ready = (
            world.replica.loaded
            and not world.replica.foreign
            and bool(world.types)
            and (fresh or not (served or self.keeper.word.alone()))
        )
        world.emit("answer", rid, 200 if ready else 503, self._summary(ready))

    def _status(self, rid: Any) -> None:
        self.world.emit("answer", rid, 200, self._summary(self.keeper.word.state_fresh()))

    def _summary(self, ready: bool) -> tuple:
        world = self.world
        kept = sum(1 for m in world.machines.values() if m.keeper == world.label)
        return "health", world.label, ready, world.term, sorted(world.my_roles), kept

    # --- peers ---

    def _peer(self, rid: Any, label: str, messages: list, since: int = -1) -> None:
        for message in messages:
            self._message(label, message)
        world = self.world
        cancelled, until = self.keeper.word.answer(since)
        world.emit(
            "answer",
            rid,
            200,
            (
                "peer",
                world.label,
                world.life if world.replica.loaded else 0,
                min(world.now - world.state_heard, 1e6),
                cancelled,
                until,
            ),
        )

    def _peer_new(self, label: str) -> None:
        """A peer started anew: tell it all that we hear."""
        for machine in self.world.machines.values():
            if machine.keeper == self.world.label:
                self._tell(machine.name, [label], images=True)

    def _resend(self, label: str, names: list[str]) -> None:
        for name in names:
            self._tell(name, [label])

    def _tell(self, name: str, labels: list[str], images: bool = False) -> None:
        world = self.world
        machine = world.machines.get(name)
        if machine is None or machine.keeper != world.label:
            return
        notice = None if machine.notice_at is None else max(0.0, machine.notice_at - world.now)
        tasks = [[*task, *state] for task, state in self.keeper.reports.shown(machine).items()]
        message = (
            "view",
            machine.keeper_term,
            machine.name,
            machine.addr,
            machine.type,
            machine.zone,
            machine.spot,
            machine.session,
            machine.seq,
            machine.token,
            notice,
            tasks,
            list(machine.images.items()) if images else [],
        )
        for label in labels:
            world.emit("send", label, message)

    def _view(
        self,
        label: str,
        term: int,
        name: str,
        addr: str,
        type_name: str,
        zone: str,
        spot: bool,
        session: int,
        seq: int,
        token: int,
        notice: float | None,
        tasks: list,
        images: list,
    ) -> None:
        world = self.world
        machine = world.machines.get(name)
        if machine is not None:
            newer = (session, seq) > machine.version
            same = (session, seq) == machine.version and machine.keeper == label
            if not newer and not same:
                return
        elif name in world.replica.gone or name in world.departed:
            return
        report = Report(
            name,
            addr,
            type_name,
            zone,
            spot,
            session,
            seq,
            token,
            notice,
            {(row[0], row[1]): (row[2], row[3], row[4]) for row in tasks},
        )
        take_report(world, report, label, term)
        for image, size_gb in images:
            hold_image(world, world.machines[name], image, size_gb)

    def _say_alive(self) -> None:
        world = self.world
        if world.now < self.next_alive:
            return
        self.next_alive = world.now + constants.ALIVE_S
        self.keeper.word.forget()
        for name in [
            n
            for n, at in world.draining.items()
            if FLEET not in world.my_roles and world.now - at > constants.DRAIN_NOTICE_S
        ]:
            world.undrain(name)
        heard = [
            m.name
            for m in world.machines.values()
            if m.keeper == world.label
            and world.now - m.heard < 2 * constants.ALIVE_S + world.facts.workers.report_s
        ]
        labels = [member.label for member in world.settings.members]
        for label in labels:
            world.emit("send", label, ("heard", heard))
        self._tell_again(sorted(heard), labels)

    def _tell_again(self, mine: list[str], labels: list[str]) -> None:
        """Tell peers some of what we hear once more, all of it in turn, also where nothing
        changed: a peer that saw a machine come and go, of which we never heard, would take it for
        one that does not hear us, and leave its room unused for ever."""
        count = math.ceil(len(mine) * constants.ALIVE_S / constants.VIEW_AGAIN_S)
        first = bisect.bisect_right(mine, self.told_again)
        chosen = mine[first : first + count]
        for name in chosen:
            self._tell(name, labels)
        self.told_again = chosen[-1] if len(chosen) == count and chosen else ""

    def _short(self, wanted: float) -> None:
        """We lack changes at the state service: ask all peers for a part."""
        members = self.world.settings.members
        for member in members:
            self.world.emit(
                "send",
                member.label,
                ("borrow", self.world.label, constants.BORROW_MORE * wanted / len(members)),
            )

    def _heard(self, label: str, heard: list[str]) -> None:
        for name in heard:
            machine = self.world.machines.get(name)
            if machine is not None and machine.keeper == label:
                self.world.heard(machine)

    def _drain(self, names: list[str]) -> None:
        for name in names:
            self.world.drain(name)

    def _gone(self, names: list[str]) -> None:
        for name in names:
            self.world.depart(name)
            self.keeper.ward.kept.pop(name, None)
