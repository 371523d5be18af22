"""Commands to workers: starts that the records say, stops, and forgetting what is over."""

from collections.abc import Callable

from oakmux import constants, wire
from oakmux.core.context import Context, Machine, Task, event
from oakmux.core.jobs import Binding, Job
from oakmux.core.keeper.kept import Kept, Ward
from oakmux.core.keeper.word import Word
from oakmux.core.membership import Membership
from oakmux.wire import Report


class Orders:
    """Gives commands, in answers to reports and straight to workers."""

    def __init__(self, context: Context, ward: Ward, word: Word, membership: Membership) -> None:
        self.context = context
        self.ward = ward
        self.word = word
        self.membership = membership
        # Takes a report that answers direct orders; set by the keeper, which joins the parts.
        self.take: Callable[[Kept, Report], Machine]
        # Machines where a start is held back until others of its gang have their image.
        self.delaying: set[str] = set()

    def orders(self, kept: Kept, machine: Machine, forget: bool) -> tuple[list[dict], list[Task]]:
        """Return the commands that a machine needs now, and which tasks they start."""
        context = self.context
        orders: list[dict] = []
        starts: list[Task] = []
        bound = context.replica.by_machine.get(machine.name, {})
        settled = machine.fencing_token == context.term
        names: set[Task] = set()
        for (job_id, index), binding in bound.items():
            task = (f"{job_id}/{index}", binding.attempt)
            names.add(task)
            job = context.replica.jobs.get(job_id)
            if job is None:
                continue
            ended = job.final or job_id in self.word.cancelled
            state = machine.tasks.get(task)
            if state is not None:
                if self._must_save(machine, job, state[0]):
                    kept.stops.setdefault(task, context.now)
                if state[0] != "exited" and (ended or binding.stop or task in kept.stops):
                    self._stop(kept, machine, orders, task, state[0], job, ended)
                continue
            if task in kept.starting or task in kept.answered or binding.term != context.term:
                continue
            if binding.agent_epoch != machine.agent_epoch or not settled:
                continue
            if ended or binding.stop:
                if task not in kept.refused:
                    kept.refused.add(task)
                    context.changed_workers.add(machine.name)
            elif self._too_soon(kept, machine, job, binding, task):
                self.delaying.add(machine.name)
            elif task not in kept.refused and self.word.state_fresh():
                orders.append(wire.order("start", *task))
                starts.append(task)
        orders += self.stop_cancelled(kept, machine, names)
        kept.refused &= names
        kept.delayed = {task: since for task, since in kept.delayed.items() if task in names}
        for task in [task for task in kept.stops if task not in machine.tasks]:
            del kept.stops[task]
        if forget:
            self._unbound(kept, machine, orders, names)
        return orders, starts

    def stop_cancelled(self, kept: Kept, machine: Machine, besides: set[Task]) -> list[dict]:
        """Return stops of all tasks of cancelled jobs on a machine (R ran_cancelled), but some.

        Our records may lack them: they were bound after the state service had refused us, and the
        worker came to us meanwhile. To a worker that has seen a term above ours they go under its
        own: with the state service out no newer one comes, and its lease is renewed all the while;
        whoever may command it besides, a stop of what a user was told is cancelled undoes nothing.
        """
        orders: list[dict] = []
        for task, state in machine.tasks.items():
            job_id = task[0].partition("/")[0]
            if task not in besides and state[0] != "exited" and self.word.is_cancelled(job_id):
                self._stop(kept, machine, orders, task, state[0], None, True)
        return orders

    def may_act_late(self, kept: Kept, machine: Machine) -> bool:
        """Whether a start of a cancelled job may still be on its way when it must be gone.

        Its answer was lost, or another controller gave it. A newer term would rule it out, and
        none can be had without the state service: then the worker's session has to end in time.
        """
        context = self.context
        if self.word.state_fresh():
            return False
        if (
            machine.fencing_token > context.term
            and kept.since + context.facts.workers.lease_s > context.store_seen_at
            and self.word.unseen(self.word.patience_s())
        ):
            # Whoever kept it before us, and gave orders for a lease after that at the most, may
            # have given a start of a job that was cancelled since, whose bindings we never saw.
            return True
        for (job_id, index), binding in context.replica.by_machine.get(machine.name, {}).items():
            task = (f"{job_id}/{index}", binding.attempt)
            sent = binding.term != context.term or task in kept.starting
            if (
                sent
                and binding.agent_epoch == machine.agent_epoch
                and machine.fencing_token <= binding.term
                and task not in machine.tasks
                and self.word.is_cancelled(job_id)
                and context.now - self.word.cancelled.get(job_id, -1e9) >= self.word.patience_s()
            ):
                return True
        return False

    def _too_soon(
        self, kept: Kept, machine: Machine, job: Job, binding: Binding, task: Task
    ) -> bool:
        """Whether a gang's task that has its image should be started later, since others fetch it.

        The task would wait for them, `gang_wait_s` at most, and end with the whole attempt: a
        fetch that takes longer was so given up and begun anew for ever.
        """
        context, spec = self.context, job.spec
        if spec is None or not spec.joint or spec.image not in machine.images:
            return False
        slowest = context.fetch_s(spec, machine.type) * constants.FETCH_SPREAD
        patience = slowest - context.facts.workers.gang_wait_s * constants.GANG_WAIT_SHARE
        if context.now - kept.delayed.setdefault(task, context.now) >= patience:
            return False
        for chunk in job.chunks.values():
            for index, other in chunk.bound.items():
                if other.attempt != binding.attempt or other.machine == machine.name:
                    continue
                there = context.machines.get(other.machine)
                state = there.tasks.get((f"{job.id}/{index}", other.attempt)) if there else None
                if there is None:
                    continue
                if state is None and spec.image not in there.images:
                    return True
                # Of a start on its way nobody can say yet whether the image is there.
                if state is not None and state[0] in ("fetching", "starting"):
                    return True
        return False

    def _must_save(self, machine: Machine, job: Job, state: str) -> bool:
        """Whether a task has to save now, since the cloud is about to take its machine.

        The tasks of a larger gang have to be stopped together: their owner sees to that.
        """
        spec = job.spec
        if (
            machine.notice_at is None
            or spec is None
            or not spec.checkpoint_s
            or state != "running"
            or spec.tasks > 1
        ):
            return False
        times_ = self.context.facts.workers
        return machine.notice_at - self.context.now <= spec.save_s + 2 * times_.report_s

    def _stop(
        self,
        kept: Kept,
        machine: Machine,
        orders: list[dict],
        task: Task,
        state: str,
        job: Job | None,
        ended: bool,
    ) -> None:
        grace = 0.0 if ended or job is None or job.spec is None else job.spec.save_s
        if state == "saving" and not ended:
            return
        orders.append(wire.order("stop", task[0], task[1], grace))
        kept.stops.setdefault(task, self.context.now)
        event("stop", task=task[0], attempt=task[1], machine=machine.name, grace=grace)

    def _unbound(self, kept: Kept, machine: Machine, orders: list[dict], names: set[Task]) -> None:
        """Forget exited tasks that the records have let go of; stop live ones."""
        context = self.context
        orphans = {t: kept.orphans.get(t, context.now) for t in machine.tasks if t not in names}
        kept.orphans = orphans
        if not self.word.state_fresh():
            return
        for task, since in orphans.items():
            # Our replica may lag behind the keeper that started the task: wait a while.
            if machine.tasks[task][0] == "exited":
                if context.now - since >= constants.ALIVE_S and task not in kept.starting:
                    orders.append(wire.order("forget", *task))
            elif context.now - since >= constants.ORPHAN_S:
                orders.append(wire.order("stop", task[0], task[1], 0.0))

    def direct(self, name: str) -> None:
        """Send starts and stops straight to a worker, when there are any."""
        context = self.context
        kept = self.ward.kept.get(name)
        machine = context.machines.get(name)
        if (
            kept is None
            or machine is None
            or machine.keeper != context.label
            or kept.ordering
            or context.now < kept.direct_after
            or not context.term
            or machine.fencing_token != context.term
            or context.now - machine.heard > context.facts.workers.lease_s
        ):
            return
        orders, starts = self.orders(kept, machine, forget=False)
        if not orders:
            return
        term = context.term
        for task in starts:
            kept.starting[task] = term
        context.changed_workers.add(name)
        kept.ordering = True
        context.call(
            lambda outcome, report: self._ordered(name, starts, term, outcome, report),
            "orders",
            machine.addr,
            term,
            machine.agent_epoch,
            orders,
        )

    def _ordered(
        self, name: str, starts: list[Task], term: int, outcome: str, report: Report | None
    ) -> None:
        context = self.context
        kept = self.ward.kept.setdefault(name, Kept())
        kept.ordering = False
        if outcome == "lost":
            # They may still be carried out, minutes later: only a newer term settles that.
            kept.direct_after = context.now + constants.ORDERS_TIMEOUT_S
            self.membership.need_term_above(term)
            return
        for task in starts:
            if kept.starting.get(task) == term:
                del kept.starting[task]
        if outcome == "unsent":
            kept.direct_after = context.now + constants.ORDERS_TIMEOUT_S
        if report is not None and report.machine == name:
            machine = context.machines.get(name)
            if machine is None or (report.agent_epoch, report.sequence) > machine.version:
                self.take(kept, report)
        context.changed_workers.add(name)
        if report is not None and report.fencing_token > context.term:
            self.membership.need_term_above(report.fencing_token)

    def move(self, name: str, task: str, attempt: int) -> None:
        """Stop a service so that its owner starts it on another machine."""
        kept = self.ward.kept.get(name)
        machine = self.context.machines.get(name)
        if kept is not None and machine is not None and (task, attempt) in machine.tasks:
            kept.stops[(task, attempt)] = self.context.now
            self.ward.poke.add(name)
