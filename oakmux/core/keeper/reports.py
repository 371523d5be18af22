"""Reports of workers: what they say of their machine and how they are answered."""

import math
from typing import Any

from oakmux import constants
from oakmux.core.context import Context, Machine, Task, event
from oakmux.core.keeper.hearing import first_word, next_word
from oakmux.core.keeper.kept import Kept, Ward
from oakmux.core.keeper.orders import Orders
from oakmux.core.keeper.queue import Queue
from oakmux.core.keeper.word import Word
from oakmux.core.membership import Membership
from oakmux.wire import Report

STARTING = ("starting", "", False)
REFUSED = ("refused", "", False)


class Reports:
    """Takes workers' reports."""

    def __init__(
        self,
        context: Context,
        ward: Ward,
        word: Word,
        membership: Membership,
        orders: Orders,
        queue: Queue,
    ) -> None:
        self.context = context
        self.ward = ward
        self.word = word
        self.membership = membership
        self.orders = orders
        self.queue = queue

    def report(self, rid: Any, report: Report) -> None:
        """Take a worker's report and answer it."""
        context = self.context
        machine = context.machines.get(report.machine)
        if machine is not None and (report.agent_epoch, report.sequence) <= machine.version:
            context.emit("answer", rid, 503, ("error", "old report"))
            return
        if report.machine in context.replica.gone or report.machine in context.terminated:
            context.emit("answer", rid, 503, ("error", "returned"))
            return
        if not context.replica.loaded or context.replica.foreign or not self.word.may_keep():
            context.emit("answer", rid, 503, ("error", "no current records"))
            return
        kept = self.ward.kept.setdefault(report.machine, Kept())
        kept.answered.clear()
        if machine is None or machine.keeper != context.label:
            kept.since = context.now
        machine = self.take(kept, report)
        if not self.word.state_fresh():
            # Refused by the state service alone: hand the worker over to a peer that is not.
            for label, fresh in self.word.peer_fresh.items():
                if context.now - fresh < constants.STATE_STALE_S / 2:
                    context.emit("answer", rid, 421, ("report_to", label))
                    return
        if self.orders.may_act_late(kept, machine):
            context.emit("answer", rid, 503, ("error", "a cancelled start is on its way"))
            return
        if report.fencing_token > context.term or not context.term:
            self.membership.need_term_above(report.fencing_token)
            if report.fencing_token:
                # The worker's own token keeps its lease; nothing starts under it.
                stops = self.orders.stop_cancelled(kept, machine, set())
                context.emit("answer", rid, 200, ("orders", report.fencing_token, stops))
            else:
                context.emit("answer", rid, 503, ("error", "no term yet"))
            return
        orders, starts = self.orders.orders(kept, machine, forget=True)
        kept.answered.update(starts)
        context.emit("answer", rid, 200, ("orders", context.term, orders))
        if starts:
            context.changed_workers.add(machine.name)
        self.queue.offer(machine.name)

    def take(self, kept: Kept, report: Report) -> Machine:
        """Take a report newer than what we know, and settle those of our starts that it shows."""
        context = self.context
        for task, term in list(kept.starting.items()):
            # A start whose answer was lost is resolved once the worker shows the task, a newer
            # session or a token above the start's: it can't act any more, or it has.
            if task in report.tasks or report.fencing_token > term:
                del kept.starting[task]
        machine = context.machines.get(report.machine)
        if machine is not None and report.agent_epoch > machine.agent_epoch:
            kept.starting.clear()
            kept.refused.clear()
            kept.offers.clear()
            kept.stops.clear()
        take_report(context, report, context.label, context.term)
        return context.machines[report.machine]

    def shown(self, machine: Machine) -> dict[Task, tuple[str, str, bool]]:
        """Return the tasks as owners must see them: unresolved and refused starts added."""
        kept = self.ward.kept.get(machine.name)
        if kept is None or machine.keeper != self.context.label:
            return machine.tasks
        tasks = dict(machine.tasks)
        for task in [*kept.starting, *kept.answered]:
            tasks.setdefault(task, STARTING)
        for task in kept.refused:
            tasks.setdefault(task, REFUSED)
        return tasks


def take_report(context: Context, report: Report, keeper: str, keeper_term: int) -> None:
    """Bring the view of a machine up to date; the caller has checked that it is newer."""
    machine = context.machines.get(report.machine)
    before: dict[Task, tuple[str, str, bool]] = {}
    if machine is None:
        machine = context.machines[report.machine] = Machine(report, context.now)
        first_word(context, machine, keeper == context.label, keeper_term)
        changed = True
    else:
        before = machine.tasks if machine.agent_epoch == report.agent_epoch else {}
        proven = next_word(context, machine, report, keeper, keeper_term)
        changed = proven or (
            machine.agent_epoch,
            machine.fencing_token,
            machine.tasks,
            machine.keeper,
            machine.keeper_term,
            machine.notice_at is None,
        ) != (
            report.agent_epoch,
            report.fencing_token,
            report.tasks,
            keeper,
            keeper_term,
            report.notice_s is None,
        )
        machine.take(report, context.now)
        context.heard(machine)
    if machine.keeper != keeper:
        event("heard", machine=machine.name, keeper=keeper, agent_epoch=machine.agent_epoch)
    machine.keeper, machine.keeper_term = keeper, keeper_term
    if changed:
        context.changed_workers.add(machine.name)
        context.replica.touch(machine.name)
        note_results(context, machine, before)


def note_results(context: Context, machine: Machine, before: dict[Task, tuple]) -> None:
    """Remember images that a machine holds and whether tasks fail on it."""
    live = []
    for task, (state, why, _) in machine.tasks.items():
        job_id = task[0].partition("/")[0]
        job = context.replica.jobs.get(job_id)
        spec = None if job is None else job.spec
        old = before.get(task, ("", "", False))
        if state == "running" and old[0] != "running" and machine.keeper == context.label:
            event("running", task=task[0], attempt=task[1], machine=machine.name)
        if state != "exited" and spec is not None:
            live.append(spec)
        if state == "exited" and old[0] != "exited":
            if machine.keeper == context.label:
                event("exited", task=task[0], attempt=task[1], machine=machine.name, why=why)
            if why == "done":
                machine.errors.clear()
            elif why == "error":
                context.failures.note(job_id, machine.name)
                if job_id not in machine.errors:
                    machine.errors.append(job_id)
                    del machine.errors[: -constants.ERRORS_KEPT]
            if old[0] == "fetching" and why != "done" and spec is not None:
                machine.images.pop(spec.image, None)  # a fetch that nobody waits for is given up
    for spec in live:
        hold_image(context, machine, spec.image, spec.image_gb)
    # Since when a task runs; until then since now: what stops it then loses no work but a fetch.
    machine.since = {
        task: machine.since.get(task, context.now)
        if "running" == state[0] == before.get(task, ("",))[0]
        else context.now
        for task, state in machine.tasks.items()
        if state[0] != "exited"
    }
    if machine.since:
        machine.idle_since = None
    elif machine.idle_since is None:
        machine.idle_since = context.now


def hold_image(context: Context, machine: Machine, image: str, size_gb: float) -> None:
    """Remember that a machine uses an image now."""
    kind = context.types.get(machine.type)
    context.replica.stale.add(machine.name)  # no `touch`: its room stays as it is
    machine.hold(image, size_gb, math.inf if kind is None else kind.cache_gb)
