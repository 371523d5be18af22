"""Reports of workers: what they say of their machine and how they are answered."""

import math
from typing import Any

from oakmux import constants
from oakmux.core.keeper.hearing import first_word, next_word
from oakmux.core.keeper.kept import Kept, Ward
from oakmux.core.keeper.orders import Orders
from oakmux.core.keeper.queue import Queue
from oakmux.core.keeper.word import Word
from oakmux.core.membership import Membership
from oakmux.core.world import Machine, Task, World, event
from oakmux.wire import Report

STARTING = ("starting", "", False)
REFUSED = ("refused", "", False)


class Reports:
    """Takes workers' reports."""

    def __init__(
        self,
        world: World,
        ward: Ward,
        word: Word,
        membership: Membership,
        orders: Orders,
        queue: Queue,
    ) -> None:
        self.world = world
        self.ward = ward
        self.word = word
        self.membership = membership
        self.orders = orders
        self.queue = queue

    def report(self, rid: Any, report: Report) -> None:
        """Take a worker's report and answer it."""
        world = self.world
        machine = world.machines.get(report.machine)
        if machine is not None and (report.session, report.seq) <= machine.version:
            world.emit("answer", rid, 503, ("error", "old report"))
            return
        if report.machine in world.replica.gone or report.machine in world.departed:
            world.emit("answer", rid, 503, ("error", "returned"))
            return
        if not world.replica.loaded or world.replica.foreign or not self.word.may_keep():
            world.emit("answer", rid, 503, ("error", "no current records"))
            return
        kept = self.ward.kept.setdefault(report.machine, Kept())
        kept.answered.clear()
        if machine is None or machine.keeper != world.label:
            kept.since = world.now
        machine = self.take(kept, report)
        if not self.word.state_fresh():
            # Refused by the state service alone: hand the worker over to a peer that is not.
            for label, fresh in self.word.peer_fresh.items():
                if world.now - fresh < constants.STATE_STALE_S / 2:
                    world.emit("answer", rid, 421, ("report_to", label))
                    return
        if self.orders.may_act_late(kept, machine):
            world.emit("answer", rid, 503, ("error", "a cancelled start is on its way"))
            return
        if report.token > world.term or not world.term:
            self.membership.need_term_above(report.token)
            if report.token:
                # The worker's own token keeps its lease; nothing starts under it.
                stops = self.orders.stop_cancelled(kept, machine, set())
                world.emit("answer", rid, 200, ("orders", report.token, stops))
            else:
                world.emit("answer", rid, 503, ("error", "no term yet"))
            return
        orders, starts = self.orders.orders(kept, machine, forget=True)
        kept.answered.update(starts)
        world.emit("answer", rid, 200, ("orders", world.term, orders))
        if starts:
            world.dirty_machines.add(machine.name)
        self.queue.offer(machine.name)

    def take(self, kept: Kept, report: Report) -> Machine:
        """Take a report newer than what we know, and settle those of our starts that it shows."""
        world = self.world
        for task, term in list(kept.starting.items()):
            # A start whose answer was lost is resolved once the worker shows the task, a newer
            # session or a token above the start's: it can't act any more, or it has.
            if task in report.tasks or report.token > term:
                del kept.starting[task]
        machine = world.machines.get(report.machine)
        if machine is not None and report.session > machine.session:
            kept.starting.clear()
            kept.refused.clear()
            kept.offers.clear()
            kept.stops.clear()
        take_report(world, report, world.label, world.term)
        return world.machines[report.machine]

    def shown(self, machine: Machine) -> dict[Task, tuple[str, str, bool]]:
        """Return the tasks as owners must see them: unresolved and refused starts added."""
        kept = self.ward.kept.get(machine.name)
        if kept is None or machine.keeper != self.world.label:
            return machine.tasks
        tasks = dict(machine.tasks)
        for task in [*kept.starting, *kept.answered]:
            tasks.setdefault(task, STARTING)
        for task in kept.refused:
            tasks.setdefault(task, REFUSED)
        return tasks


def take_report(world: World, report: Report, keeper: str, keeper_term: int) -> None:
    """Bring the view of a machine up to date; the caller has checked that it is newer."""
    machine = world.machines.get(report.machine)
    before: dict[Task, tuple[str, str, bool]] = {}
    if machine is None:
        machine = world.machines[report.machine] = Machine(report, world.now)
        first_word(world, machine, keeper == world.label, keeper_term)
        changed = True
    else:
        before = machine.tasks if machine.session == report.session else {}
        proven = next_word(world, machine, report, keeper, keeper_term)
        changed = proven or (
            machine.session,
            machine.token,
            machine.tasks,
            machine.keeper,
            machine.keeper_term,
            machine.notice_at is None,
        ) != (
            report.session,
            report.token,
            report.tasks,
            keeper,
            keeper_term,
            report.notice_s is None,
        )
        machine.take(report, world.now)
        world.heard(machine)
    if machine.keeper != keeper:
        event("heard", machine=machine.name, keeper=keeper, session=machine.session)
    machine.keeper, machine.keeper_term = keeper, keeper_term
    if changed:
        world.dirty_machines.add(machine.name)
        world.replica.touch(machine.name)
        note_results(world, machine, before)


def note_results(world: World, machine: Machine, before: dict[Task, tuple]) -> None:
    """Remember images that a machine holds and whether tasks fail on it."""
    live = []
    for task, (state, why, _) in machine.tasks.items():
        job_id = task[0].partition("/")[0]
        job = world.replica.jobs.get(job_id)
        spec = None if job is None else job.spec
        old = before.get(task, ("", "", False))
        if state == "running" and old[0] != "running" and machine.keeper == world.label:
            event("running", task=task[0], attempt=task[1], machine=machine.name)
        if state != "exited" and spec is not None:
            live.append(spec)
        if state == "exited" and old[0] != "exited":
            if machine.keeper == world.label:
                event("exited", task=task[0], attempt=task[1], machine=machine.name, why=why)
            if why == "done":
                machine.errors.clear()
            elif why == "error":
                world.failures.note(job_id, machine.name)
                if job_id not in machine.errors:
                    machine.errors.append(job_id)
                    del machine.errors[: -constants.ERRORS_KEPT]
            if old[0] == "fetching" and why != "done" and spec is not None:
                machine.images.pop(spec.image, None)  # a fetch that nobody waits for is given up
    for spec in live:
        hold_image(world, machine, spec.image, spec.image_gb)
    # Since when a task runs; until then since now: what stops it then loses no work but a fetch.
    machine.since = {
        task: machine.since.get(task, world.now)
        if "running" == state[0] == before.get(task, ("",))[0]
        else world.now
        for task, state in machine.tasks.items()
        if state[0] != "exited"
    }
    if machine.since:
        machine.idle_since = None
    elif machine.idle_since is None:
        machine.idle_since = world.now


def hold_image(world: World, machine: Machine, image: str, size_gb: float) -> None:
    """Remember that a machine uses an image now."""
    kind = world.types.get(machine.type)
    world.replica.stale.add(machine.name)  # no `touch`: its room stays as it is
    machine.hold(image, size_gb, math.inf if kind is None else kind.cache_gb)
