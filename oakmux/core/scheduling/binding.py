"""Offers, bindings and their end. `_bind` is the only maker of bindings, `_unbind` ends them."""

import math

from oakmux import constants
from oakmux.core.agents.capacity import free_resources, is_schedulable
from oakmux.core.agents.manager import AgentManager
from oakmux.core.agents.termination import Termination, prove_termination
from oakmux.core.context import Context, Machine, event
from oakmux.core.model import JobSpec
from oakmux.core.scheduling.gangs import stop_rest
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.placement import choose_gang, preference, zone_allowed
from oakmux.core.scheduling.sampling_schedule import SamplingSchedule
from oakmux.core.state.records import FORMAT_COMPACT, Binding, Job
from oakmux.core.state.write_buffer import WriteBuffer


class Binder:
    """Binds tasks to offered room, and unbinds what is proven gone."""

    def __init__(
        self,
        context: Context,
        agents: AgentManager,
        buffer: WriteBuffer,
        open_jobs: dict[str, PendingJob],
        schedule: SamplingSchedule,
    ) -> None:
        self.context = context
        self.agents = agents
        self.buffer = buffer
        self.open = open_jobs
        self.schedule = schedule
        # Jobs that hold offers of which the best are taken soon, in the order of the first.
        self.collecting: dict[str, None] = {}

    def on_role_acquired(self) -> None:
        """Begin with the records of a team just won."""
        for job in list(self.context.replica.active.values()):
            if self.buffer.owns(job):
                self.changed(job.id)
                if self.buffer.form() >= FORMAT_COMPACT:
                    self.buffer.shrink(job)
                self.context.changed_workers.update(b.machine for b in job.bindings())

    def changed(self, job_id: str) -> None:
        """The records of a job changed."""
        job = self.context.replica.jobs.get(job_id)
        if job is None or not self.buffer.owns(job):
            return
        if job.final:
            self.schedule.leave(job_id)
            state = self.open.pop(job_id, None)
            if state is not None:
                self.release(state)
            self.buffer.finished_jobs.pop(job_id, None)
            for number in list(job.blocks):
                if not self.buffer.block(job, number).bound and number not in self.buffer.work.get(
                    job_id, ()
                ):
                    # A finished job needs no chunks any more.
                    in_batch = job.blocks[number].batch is not None
                    due = self.context.now + self.buffer.coalesce_s if in_batch else 0.0
                    self.buffer.edit(job, number, due)
        elif not job.ready:
            return  # no reservations while it waits on others
        elif job_id not in self.open:
            self.open[job_id] = PendingJob()
            self.schedule.due(job)
        elif self.open[job_id].next_sample_at == math.inf:
            self.schedule.defer(job_id, self.context.now + constants.RESAMPLE_S)
        else:
            self.schedule.moved(job)

    def offer(
        self, name: str, job_id: str, offer_id: int, agent_epoch: int, term: int, manager: str
    ) -> None:
        """Bind a task to offered room, or decline."""
        context = self.context
        job = context.replica.jobs.get(job_id)
        machine = context.machines.get(name)
        state = self.open.get(job_id)
        if (
            job is None
            or job.spec is None
            or state is None
            or machine is None
            or job.final
            or not job.ready
            or not self.buffer.owns(job)
            or machine.agent_epoch != agent_epoch
            or context.now < state.retry_at
            or not is_schedulable(context, machine)
            or name in state.excluded_machines
            or not context.fits(job.spec, machine)
            or job_id in self.agents.cancellations.cancelled
            or job_id in self.buffer.finished_jobs
            or not self._take_offer(
                job,
                job.spec,
                state,
                machine,
                (context.now, name, offer_id, agent_epoch, term, manager, machine.zone),
            )
        ):
            context.emit("send", manager, ("decline", name, offer_id))

    def _take_offer(
        self, job: Job, spec: JobSpec, state: PendingJob, machine: Machine, offer: tuple
    ) -> bool:
        gang = spec.joint
        bound = self.buffer.bindings(job)
        if gang and bound:
            return False
        if self.buffer.exceeds_limit(job, spec, spec.tasks if gang else 1):
            return False
        if not gang:
            if not zone_allowed(
                spec, [b.zone for b in bound], machine.zone
            ) or not self.buffer.unstarted(job):
                return False
            state.offers.append(offer)
            self.collecting[job.id] = None
            return True
        if machine.name not in state.requested:
            return False  # left over from a gathering that was given up
        state.offers.append(offer)
        if len(state.offers) < spec.tasks:
            return True
        chosen = choose_gang(spec, state.offers)
        size = self.buffer.tasks_per_record
        if chosen is not None and all(
            self.buffer.holds(job, first // size, chosen[first : first + size])
            for first in range(0, spec.tasks, size)
        ):
            spare = [o for o in state.offers if o not in chosen]
            state.offers = spare
            self.release(state)
            self._bind(job, list(range(spec.tasks)), chosen)
        return True

    def choose(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Bind tasks to the best of the offers that came in; decline the others."""
        offers = [
            (
                preference(
                    self.context, job, spec, machine, free_resources(self.context, machine)
                ),
                offer,
            )
            for offer in state.offers
            if (machine := self.context.machines.get(offer[1])) is not None
        ]
        # Offers of one machine stay together: its tasks share one fetch.
        offers.sort(key=lambda row: (row[0], row[1][1]))
        for _, offer in offers:
            zones = [b.zone for b in self.buffer.bindings(job)]
            if not zone_allowed(spec, zones, offer[6]):
                continue
            if self.buffer.exceeds_limit(job, spec):
                break
            index = self.buffer.next_unstarted(job, state, offer)
            if index is None:
                break
            self._bind(job, [index], [offer])
            state.offers.remove(offer)
        self.release(state)

    def release(self, state: PendingJob) -> None:
        """Decline all offers that a job holds."""
        for offer in state.offers:
            self.context.emit("send", offer[5], ("decline", offer[1], offer[2]))
        state.offers = []

    def _bind(self, job: Job, indexes: list[int], offers: list[tuple]) -> None:
        """Bind tasks to offered room. Guards against too_early: no other place writes a binding,
        and none is written before the record of every job that this one needs is done."""
        if not job.ready:
            return
        attempt = self.buffer.next_attempt(job)
        for index, offer in zip(indexes, offers, strict=True):
            _, name, _, agent_epoch, term, _, zone = offer
            block = self.buffer.edit(job, index // self.buffer.tasks_per_record)
            block.last = attempt
            block.bound[index] = Binding(attempt, name, agent_epoch, term, zone)
            event("bind", task=f"{job.id}/{index}", attempt=attempt, machine=name)

    def machine_changed(self, name: str) -> None:
        """Go through our bindings on a machine whose news changed."""
        context = self.context
        bound = context.replica.by_machine.get(name)
        if not bound:
            return
        machine = context.machines.get(name)
        visible_tasks = (
            self.agents.heartbeats.visible_tasks(machine) if machine is not None else {}
        )
        for (job_id, index), binding in list(bound.items()):
            job = context.replica.jobs.get(job_id)
            if job is None or not self.buffer.owns(job):
                continue
            number = index // self.buffer.tasks_per_record
            current = self.buffer.block(job, number).bound.get(index)
            if current is None or current.attempt != binding.attempt:
                continue
            task = (f"{job_id}/{index}", binding.attempt)
            termination = prove_termination(context, machine, task, binding, visible_tasks)
            if termination is not None:
                self._unbind(job, index, current, termination)
            elif (
                machine is not None
                and machine.notice_at is not None
                and job.spec is not None
                and job.spec.joint
                and job.spec.checkpoint_s
                and visible_tasks.get(task, ("",))[0] == "running"
            ):
                # The cloud takes this machine: the gang saves while all its tasks still can.
                stop_rest(self.buffer, job, job.spec, binding.attempt)

    def _unbind(self, job: Job, index: int, binding: Binding, termination: Termination) -> None:
        context = self.context
        why, saved = termination
        number, bit = divmod(index, self.buffer.tasks_per_record)
        # Starts go first; the ends of an array's tasks wait a little for one another, and so do
        # all of a page's: that a job is done is written at once, its row may go later.
        in_batch = self.buffer.block(job, number).batch is not None
        array = job.spec is not None and job.spec.kind == "array"
        lazy = (why == "done" and (array or in_batch)) or (job.final and in_batch)
        due = context.now + (self.buffer.coalesce_s if lazy else 0.0)
        block = self.buffer.edit(job, number, due)
        del block.bound[index]
        event(
            "unbind",
            task=f"{job.id}/{index}",
            attempt=binding.attempt,
            machine=binding.machine,
            why=why,
            saved=int(saved),
        )
        state = self.open.get(job.id)
        spec = job.spec
        if spec is None or job.final:
            return
        if why == "done" and spec.kind != "service":
            if spec.kind == "gang":  # the tasks of a gang complete together
                for other in range(spec.tasks):
                    part = self.buffer.edit(job, other // self.buffer.tasks_per_record, due)
                    part.done |= 1 << other % self.buffer.tasks_per_record
            else:
                block.done |= 1 << bit
            if sum(c.done.bit_count() for c in self.buffer.blocks(job)) >= spec.tasks:
                self.buffer.finished_jobs[job.id] = None
                self.buffer.edit(job, number, due if in_batch else context.now)
        elif spec.kind == "gang":
            stop_rest(self.buffer, job, spec, binding.attempt)
        if state is not None:
            if why != "done":
                self.schedule.due(job)
            state.next_task = min(state.next_task, index)
            if why == "error":
                state.failures += 1
                state.excluded_machines.add(binding.machine)
                if len(state.excluded_machines) > max(1, len(context.machines) // 2):
                    state.excluded_machines.clear()
                pause = min(
                    constants.RETRY_FIRST_S * 2 ** (state.failures - 1), constants.RETRY_MOST_S
                )
                state.retry_at = context.now + (pause if state.failures > 1 else 0.0)
            elif why in ("unknown", "busy", "no_room"):
                state.retry_at = context.now + constants.RETRY_FIRST_S

    def drop_lost(self, held: set[str]) -> None:
        """Forget jobs but of teams that we hold all the while."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.open if jobs[j].team not in held]:
            self.schedule.leave(job_id)
            del self.open[job_id]
            self.buffer.finished_jobs.pop(job_id, None)
