"""Binding of tasks to offered capacity, and the end of bindings.

`Binder._bind` is the only place that creates a binding and `Binder._unbind` the only one that
ends it.
"""

import math

from oakmux import constants
from oakmux.core.agents.capacity import free_resources, is_schedulable
from oakmux.core.agents.manager import AgentManager
from oakmux.core.agents.termination import Termination, prove_termination
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import DeclineOffer, Offer
from oakmux.core.scheduling.gangs import stop_attempt
from oakmux.core.scheduling.pending_job import CapacityOffer, PendingJob
from oakmux.core.scheduling.placement import choose_gang_offers, preference, zone_allowed
from oakmux.core.scheduling.quota_claims import QuotaClaims
from oakmux.core.scheduling.sampling_schedule import SamplingSchedule
from oakmux.core.state.formats import FORMAT_COMPACT
from oakmux.core.state.records import Binding, Job
from oakmux.core.state.write_buffer import WriteBuffer
from oakmux.logs import event
from oakmux.task_status import DONE, ERROR, RUNNING

NOT_ACCEPTED = frozenset(("unknown", "busy", "no_room"))
"""Termination reasons of tasks that the worker did not accept; a retry waits RETRY_FIRST_S."""


class Binder:
    """Binds tasks of the shard to offered capacity, and unbinds those with a termination proof."""

    def __init__(
        self,
        context: Context,
        agents: AgentManager,
        buffer: WriteBuffer,
        quota_claims: QuotaClaims,
        pending_jobs: dict[str, PendingJob],
        schedule: SamplingSchedule,
    ) -> None:
        self.context = context
        self.agents = agents
        self.buffer = buffer
        self.quota_claims = quota_claims
        self.pending_jobs = pending_jobs
        self.schedule = schedule
        # Jobs that collect offers before the best are bound, in the order of their first offers.
        self.collecting: dict[str, None] = {}

    # --- changes of the records ---

    def on_role_acquired(self) -> None:
        """Start scheduling the jobs of teams whose roles were acquired."""
        for job in list(self.context.replica.active.values()):
            if self.buffer.owns(job):
                self.on_job_changed(job.id)
                if self.buffer.record_format() >= FORMAT_COMPACT:
                    self.buffer.shrink(job)
                self.context.changed_workers.update(b.machine for b in job.bindings())

    def drop_lost(self, kept_roles: set[str]) -> None:
        """Drop the jobs of all teams but those in `kept_roles`, held without interruption."""
        jobs = self.context.replica.jobs
        for job_id in [
            job_id for job_id in self.pending_jobs if jobs[job_id].team not in kept_roles
        ]:
            self.schedule.remove(job_id)
            del self.pending_jobs[job_id]
            self.buffer.finished_jobs.pop(job_id, None)

    def on_job_changed(self, job_id: str) -> None:
        """Update the scheduling of a job after its records changed."""
        job = self.context.replica.jobs.get(job_id)
        if job is None or not self.buffer.owns(job):
            return
        if job.final:
            self._close_job(job)
        elif not job.ready:
            return  # no reservations while the job waits for its dependencies
        elif job_id not in self.pending_jobs:
            self.pending_jobs[job_id] = PendingJob()
            self.schedule.enqueue(job)
        elif self.pending_jobs[job_id].next_sample_at == math.inf:
            self.schedule.defer(job_id, self.context.now + constants.RESAMPLE_S)
        else:
            self.schedule.reposition(job)

    def _close_job(self, job: Job) -> None:
        """Stop scheduling a finished job, and have its task blocks without bindings deleted."""
        self.schedule.remove(job.id)
        state = self.pending_jobs.pop(job.id, None)
        if state is not None:
            self.decline_offers(state)
        self.buffer.finished_jobs.pop(job.id, None)
        for number in list(job.blocks):
            if not self.buffer.block(
                job, number
            ).bindings and number not in self.buffer.changed.get(job.id, ()):
                in_batch = job.blocks[number].batch is not None
                due = self.context.now + self.buffer.coalesce_s if in_batch else 0.0
                self.buffer.edit(job, number, due)

    # --- offers ---

    def on_offer(self, offer: Offer) -> None:
        """Accept an agent manager's offer of capacity on a machine, or decline it."""
        context = self.context
        machine = context.machines.get(offer.machine)
        if machine is None or not self._accept_offer(
            offer.job_id,
            machine,
            CapacityOffer(
                context.now,
                offer.machine,
                offer.offer_id,
                offer.agent_epoch,
                offer.term,
                offer.manager,
                machine.zone,
            ),
        ):
            context.send(offer.manager, DeclineOffer(offer.machine, offer.offer_id))

    def _accept_offer(self, job_id: str, machine: Machine, offer: CapacityOffer) -> bool:
        """Accept an offer if the job can still use it and the machine is still suitable."""
        context = self.context
        job = context.replica.jobs.get(job_id)
        state = self.pending_jobs.get(job_id)
        if job is None or job.spec is None or state is None:
            return False
        if (
            job.final
            or not job.ready
            or not self.buffer.owns(job)
            or job_id in self.agents.cancellations.cancelled
            or job_id in self.buffer.finished_jobs
        ):
            return False
        if (
            machine.agent_epoch != offer.agent_epoch
            or not is_schedulable(context, machine)
            or machine.name in context.failures.excluded_machines(job)
            or not context.is_eligible(job.spec, machine)
            or context.now < state.retry_at
        ):
            return False
        if self.quota_claims.exceeds_limit(
            job, job.spec, job.spec.tasks if job.spec.gang_scheduled else 1
        ):
            return False
        if job.spec.gang_scheduled:
            return self._accept_gang_offer(job, job.spec, state, offer)
        return self._collect_offer(job, job.spec, state, offer)

    def _collect_offer(
        self, job: Job, spec: JobSpec, state: PendingJob, offer: CapacityOffer
    ) -> bool:
        """Keep an offer until the best of the collected offers are bound."""
        zones = [binding.zone for binding in self.buffer.bindings(job)]
        if not zone_allowed(spec, zones, offer.zone) or not self.buffer.unbound_tasks(job):
            return False
        state.offers.append(offer)
        self.collecting[job.id] = None
        return True

    def _accept_gang_offer(
        self, job: Job, spec: JobSpec, state: PendingJob, offer: CapacityOffer
    ) -> bool:
        """Keep an offer to a gang; once there are enough offers, bind all tasks."""
        if self.buffer.bindings(job):
            return False
        if offer.machine not in state.requested:
            return False  # the offer answers a reservation of an earlier, abandoned gathering
        state.offers.append(offer)
        if len(state.offers) < spec.tasks:
            return True
        chosen = choose_gang_offers(spec, state.offers)
        size = self.buffer.tasks_per_record
        if chosen is not None and all(
            self.buffer.block_fits(job, first // size, chosen[first : first + size])
            for first in range(0, spec.tasks, size)
        ):
            state.offers = [offer for offer in state.offers if offer not in chosen]
            self.decline_offers(state)
            self._bind(job, list(range(spec.tasks)), chosen)
        return True

    def bind_best_offers(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Bind tasks to the best of the collected offers and decline the others."""
        context = self.context
        ranked = [
            (preference(context, job, spec, machine, free_resources(context, machine)), offer)
            for offer in state.offers
            if (machine := context.machines.get(offer.machine)) is not None
        ]
        # Offers of one machine stay together: its tasks share one image fetch.
        ranked.sort(key=lambda entry: (entry[0], entry[1].machine))
        startable = self.startable_tasks(job, spec, state, bool(self.buffer.bindings(job)))
        for _, offer in ranked:
            if startable <= 0:
                break
            zones = [binding.zone for binding in self.buffer.bindings(job)]
            if not zone_allowed(spec, zones, offer.zone):
                continue
            if self.quota_claims.exceeds_limit(job, spec):
                break
            index = self.buffer.next_unbound_task(job, state.next_task, offer)
            if index is None:
                break
            state.next_task = index + 1
            startable -= 1
            self._bind(job, [index], [offer])
            state.offers.remove(offer)
        self.decline_offers(state)

    def startable_tasks(self, job: Job, spec: JobSpec, state: PendingJob, bound: bool) -> int:
        """Return how many tasks of a job may start now; `bound` says whether any task is bound."""
        wanted = self.buffer.unbound_tasks(job)
        if spec.kind == "gang" and bound:
            return 0  # a new attempt waits until every task of the old attempt has ended
        if spec.gang_scheduled or not self.context.failures.starts_one_at_a_time(job):
            return wanted
        # The job may fail on every machine. Each attempt of a faulty array would occupy hundreds
        # of slots, and cause as many image fetches.
        since_last_s = self.context.now - state.last_bound_at
        held = bound and since_last_s < constants.SUSPECT_START_INTERVAL_S
        return 0 if held else min(wanted, 1)

    def decline_offers(self, state: PendingJob) -> None:
        """Decline all offers that a job holds."""
        for offer in state.offers:
            self.context.send(offer.manager, DeclineOffer(offer.machine, offer.offer_id))
        state.offers = []

    def _bind(self, job: Job, indexes: list[int], offers: list[CapacityOffer]) -> None:
        """Bind tasks to offered capacity.

        No binding is written before the records of all the job's dependencies are done (rule
        `too_early`). No other code writes bindings.
        """
        if not job.ready:
            return
        attempt = self.buffer.next_attempt(job)
        for index, offer in zip(indexes, offers, strict=True):
            block = self.buffer.edit(job, index // self.buffer.tasks_per_record)
            block.last_attempt = attempt
            block.bindings[index] = Binding(
                attempt, offer.machine, offer.agent_epoch, offer.term, offer.zone
            )
            event("task_bound", task=f"{job.id}/{index}", attempt=attempt, machine=offer.machine)
        state = self.pending_jobs.get(job.id)
        if state is not None:
            state.last_bound_at = self.context.now

    # --- ends of bindings ---

    def on_machine_changed(self, name: str) -> None:
        """End the shard's bindings on a machine that now have a termination proof."""
        context = self.context
        bound = context.replica.bindings.by_machine.get(name)
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
            block = self.buffer.block(job, index // self.buffer.tasks_per_record)
            current = block.bindings.get(index)
            if current is None or current.attempt != binding.attempt:
                continue
            task = (f"{job_id}/{index}", binding.attempt)
            termination = prove_termination(context, machine, task, binding, visible_tasks)
            if termination is not None:
                self._unbind(job, index, current, termination)
            elif machine is not None and machine.notice_at is not None:
                self._stop_gang_on_notice(job, task, visible_tasks)

    def _stop_gang_on_notice(
        self, job: Job, task: Task, visible_tasks: dict[Task, tuple[str, str, bool]]
    ) -> None:
        """Stop a gang when the cloud is about to reclaim one of its machines.

        The gang's checkpoint is then saved while all its tasks still run.
        """
        spec = job.spec
        if (
            spec is not None
            and spec.gang_scheduled
            and spec.checkpoint_s
            and visible_tasks.get(task, ("",))[0] == RUNNING
        ):
            stop_attempt(self.buffer, job, spec, task[1])

    def _unbind(self, job: Job, index: int, binding: Binding, termination: Termination) -> None:
        """End the binding of a task that is proven not to run, now or later."""
        reason, saved = termination
        number = index // self.buffer.tasks_per_record
        due = self._unbind_due(job, number, reason)
        block = self.buffer.edit(job, number, due)
        del block.bindings[index]
        event(
            "task_unbound",
            task=f"{job.id}/{index}",
            attempt=binding.attempt,
            machine=binding.machine,
            why=reason,
            saved=int(saved),
        )
        state = self.pending_jobs.get(job.id)
        spec = job.spec
        if spec is None or job.final:
            return
        if reason == DONE and spec.kind != "service":
            self._complete(job, spec, index, due)
        elif spec.kind == "gang":
            stop_attempt(self.buffer, job, spec, binding.attempt)
        if state is not None:
            self._schedule_retry(job, state, index, reason)

    def _unbind_due(self, job: Job, number: int, reason: str) -> float:
        """Return the time (s) by which the end of a binding in a task block is written.

        Starts are written first. Completed tasks of arrays, completed tasks in binding batches,
        and all other ends of a finished job in binding batches are written together with others
        `coalesce_s` later.
        """
        in_batch = self.buffer.block(job, number).batch is not None
        is_array = job.spec is not None and job.spec.kind == "array"
        coalesces = (reason == DONE and (is_array or in_batch)) or (job.final and in_batch)
        return self.context.now + (self.buffer.coalesce_s if coalesces else 0.0)

    def _complete(self, job: Job, spec: JobSpec, index: int, due: float) -> None:
        """Record that a task completed; the tasks of a gang complete together.

        The completion of a job outside binding batches is written at once.
        """
        size = self.buffer.tasks_per_record
        for completed in range(spec.tasks) if spec.kind == "gang" else (index,):
            block = self.buffer.edit(job, completed // size, due)
            block.completed_mask |= 1 << completed % size
        if (
            sum(block.completed_mask.bit_count() for block in self.buffer.blocks(job))
            >= spec.tasks
        ):
            self.buffer.finished_jobs[job.id] = None
            number = index // size
            in_batch = self.buffer.block(job, number).batch is not None
            self.buffer.edit(job, number, due if in_batch else self.context.now)

    def _schedule_retry(self, job: Job, state: PendingJob, index: int, reason: str) -> None:
        """Decide when a task that ended may start again."""
        if reason != DONE:
            self.schedule.enqueue(job)
        if reason == ERROR:
            state.next_task = index + 1  # the other tasks first: this one alone may be faulty
            self._back_off(job, state)
            return
        state.next_task = min(state.next_task, index)
        if reason in NOT_ACCEPTED:
            state.retry_at = self.context.now + constants.RETRY_FIRST_S

    def _back_off(self, job: Job, state: PendingJob) -> None:
        """Let a job pause after a failure; repeated failures back off exponentially.

        Failures during a pause don't lengthen it. Otherwise the tasks of a large array that fail
        one after the other would keep the tasks that could run from being started.
        """
        now = self.context.now
        if now < state.retry_at:
            return
        if now - state.retry_at > constants.RETRY_RESET_S:
            state.failures = 0
        state.failures += 1
        pause_s = 0.0
        if state.failures > 1:
            doublings = min(state.failures - 1, constants.RETRY_DOUBLINGS)
            pause_s = min(constants.RETRY_FIRST_S * 2**doublings, constants.RETRY_MAX_S)
        state.retry_at = now + pause_s
        event("job_backs_off", job=job.id, failures=state.failures, pause_s=pause_s)
