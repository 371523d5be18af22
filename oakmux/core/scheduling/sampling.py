"""Batch sampling: sends reservations for pending jobs to sampled machines."""

import functools
import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import Usage, task_capacity
from oakmux.core.scheduling.binding import Binder
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.scheduling.gangs import GangScheduler
from oakmux.core.scheduling.image_wait import waits_for_image
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.passed_over import PassedOver
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.pending_queues import Shape, shape_of
from oakmux.core.scheduling.placement import (
    PreemptionRequest,
    choose_machines,
    preemption_budget_s,
    request_preemption,
    reserve,
    zone_allowed,
)
from oakmux.core.scheduling.queue_order import is_aged, is_starving
from oakmux.core.scheduling.sampling_schedule import SamplingSchedule
from oakmux.core.state.records import Job
from oakmux.core.state.write_buffer import WriteBuffer


class Sample(NamedTuple):
    """One attempt to find capacity for `wanted` tasks of a job.

    `zones` are the zones that the job's other tasks allow. `probes` is the number of reservations
    to send; extra ones give a choice between offers.
    """

    job: Job
    spec: JobSpec
    state: PendingJob
    shape: Shape
    zones: list[str]
    wanted: int
    probes: int


class Sampler:
    """Samples machines for the pending jobs of the shard."""

    def __init__(
        self,
        context: Context,
        index: MachineIndex,
        buffer: WriteBuffer,
        binder: Binder,
        gangs: GangScheduler,
        schedule: SamplingSchedule,
    ) -> None:
        self.context = context
        self.index = index
        self.pending_jobs = binder.pending_jobs
        self.buffer = buffer
        self.quota_claims = binder.quota_claims
        self.binder = binder
        self.gangs = gangs
        self.schedule = schedule
        self.claims = CapacityClaims(context, until_bound=True)
        self.passed_over = PassedOver(
            context,
            index,
            schedule.queues,
            self.pending_jobs,
            self.quota_claims,
            gangs.backfill_planner,
        )
        self.team_usage: dict[str, Usage] = {}

    def sample(self) -> None:
        """Sample machines for the jobs that are due.

        With thousands of pending jobs, the work of one tick stays bounded: jobs of higher
        priority and jobs that waited longest come first, and a few others are drawn at random.
        """
        self._bind_collected()
        self.schedule.enqueue_due()
        self.index.refresh()
        gained_classes, self.index.gained_classes = self.index.gained_classes, set()
        self.schedule.reopen_fitting(gained_classes)
        self.schedule.reopen_limited(self._teams_with_less_usage())
        gathering, self.schedule.gathering = self.schedule.gathering, []
        for job_id in gathering:
            self._sample(job_id)
        heads = self.schedule.heads()
        for _ in range(constants.SAMPLED_JOBS_PER_TICK - len(gathering)):
            if not heads:
                break
            head = heads[0]
            self._sample(head.position.job_id)
            next_head = self.schedule.head(head.shape)
            if next_head is None:
                heapq.heappop(heads)
            else:
                heapq.heapreplace(heads, next_head)
        others = self.context.rng.sample(heads, min(len(heads), constants.SAMPLED_EXTRA_QUEUES))
        for head in others:
            self._sample(head.position.job_id)

    def _bind_collected(self) -> None:
        """Bind tasks of the jobs that have collected offers for OFFER_WINDOW_S."""
        for job_id in list(self.binder.collecting):
            state = self.pending_jobs.get(job_id)
            job = self.context.replica.jobs[job_id]
            if state is None or not state.offers or job.spec is None:
                del self.binder.collecting[job_id]
            elif self.context.now - state.offers[0].received_at >= constants.OFFER_WINDOW_S:
                del self.binder.collecting[job_id]
                self.binder.bind_best_offers(job, job.spec, state)

    def _teams_with_less_usage(self) -> list[str]:
        """Return the shard's teams that use fewer CPUs or GPUs than at the last tick."""
        usage = {
            team: self.buffer.team_usage(team)
            for team in self.context.held_roles
            if team in self.context.teams
        }
        decreased = []
        for team, (cpus, gpus) in usage.items():
            old_cpus, old_gpus = self.team_usage.get(team, (cpus, gpus))
            if cpus < old_cpus or gpus < old_gpus:
                decreased.append(team)
        self.team_usage = usage
        return decreased

    def _sample(self, job_id: str) -> None:
        job = self.context.replica.jobs[job_id]
        state = self.pending_jobs.get(job_id)
        if state is not None and job.spec is not None:
            self._sample_job(job, job.spec, state)

    def _sample_job(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Look for capacity for one job.

        Afterwards the job is idle, deferred to a time, or in its queue, which is then closed.
        """
        context, schedule = self.context, self.schedule
        if state.hold_until and context.now >= state.hold_until:
            self._give_up_gathering(job, spec, state)
        not_before = max(state.backoff_until, state.retry_at)
        if context.now < not_before:
            schedule.defer(job.id, not_before)
            return
        zones = [binding.zone for binding in self.buffer.bindings(job)]
        wanted = self.binder.startable_tasks(job, spec, state, bool(zones))
        if not wanted:
            self._wait_for_bound_tasks(job, spec, state)
            return
        shape = schedule.queues.put(job, spec)
        if self.quota_claims.exceeds_limit(job, spec, spec.tasks if spec.kind == "gang" else 1):
            self._wait_for_limit(job, spec, state, shape)
            return
        # Zones that the job's other tasks rule out don't count. Free capacity there would hide
        # that work must be preempted in another zone, and a spread service would wait 50 s for
        # its second replica.
        allowed = [zone for zone in context.facts.zones if zone_allowed(spec, zones, zone)]
        state.next_sample_at = context.now + constants.RESAMPLE_S
        probes = min(math.ceil(constants.PROBE_RATIO * wanted), constants.MAX_RESERVATIONS_PER_JOB)
        sample = Sample(job, spec, state, shape, allowed, wanted, probes)
        if spec.gang_scheduled:
            self._sample_gang(sample)
        else:
            self._sample_tasks(sample)

    def _give_up_gathering(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Decline the offers that a gang gathered; it starts over after a random backoff.

        A gang that fits comes before the next one that would gather capacity in vain.
        """
        self.binder.decline_offers(state)
        self.gangs.end_gathering(job, state)
        state.backoff_until = self.context.now + self.context.rng.uniform(
            0, constants.GANG_BACKOFF_S
        )
        self._sample_smaller(job, spec, shape_of(self.context, job, spec))

    def _wait_for_bound_tasks(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Defer a job that may start no task until one of its bound tasks ends.

        A suspect job may start more tasks once one has run for long enough, so it is examined
        again.
        """
        self.gangs.end_gathering(job, state)
        self.gangs.end_backfill(job, state)
        until = math.inf
        if spec.kind != "gang" and self.buffer.unbound_tasks(job):
            until = self.context.now + constants.SUSPECT_EXAMINED_S
        self.schedule.defer(job.id, until)

    def _wait_for_limit(self, job: Job, spec: JobSpec, state: PendingJob, shape: Shape) -> None:
        """Close the queue of a job that can't start because of its team's limit."""
        if state.hold_until:  # other jobs can use the gathered capacity
            self.binder.decline_offers(state)
            self.gangs.end_gathering(job, state)
        self.gangs.end_backfill(job, state)
        self.quota_claims.claim(job, spec, self._tasks_wanted(shape, spec))
        self.schedule.close_by_limit(shape)
        if self.schedule.queues.is_first(job.id, shape):
            self._sample_behind(lambda: self.passed_over.job_within_limit(job, spec, shape))

    def _tasks_wanted(self, shape: Shape, spec: JobSpec) -> int:
        """Count the tasks that the first jobs of a queue have to start, up to a maximum."""
        max_tasks = max(
            constants.MAX_RESERVATIONS_PER_JOB, spec.tasks if spec.kind == "gang" else 1
        )
        wanted = 0
        for job_id in self.schedule.queues.first(shape, max_tasks):
            wanted += self.buffer.unbound_tasks(self.context.replica.jobs[job_id])
            if wanted >= max_tasks:
                break
        return min(wanted, max_tasks)

    def _sample_gang(self, sample: Sample) -> None:
        """Look for capacity for all tasks of a gang."""
        job, spec, state, shape, _, wanted, _ = sample
        if is_starving(self.context, job):
            # Claims the gang's part of the limit while it gathers capacity. Otherwise younger work
            # of its team takes that part, and the gang starts over for minutes.
            self.quota_claims.claim(job, spec, wanted)
        if self.gangs.sample(job, spec, state):
            self.schedule.defer(job.id, state.next_sample_at)
            self.schedule.capacity_requested(shape, 0, None)
        else:
            self.gangs.end_gathering(job, state)
            self._nothing_found(sample)

    def _sample_tasks(self, sample: Sample) -> None:
        """Look for capacity for tasks that start one by one."""
        job, spec, state, shape, zones, wanted, probes = sample
        sampled = self.index.draw(
            spec,
            zones,
            self.context.failures.excluded_machines(job),
            probes,
            functools.partial(self.claims.available, job, spec),
        )
        if sampled:
            claimed = self._request_capacity(sample, sampled)
            self.schedule.defer(job.id, state.next_sample_at)
            found = sum(task_capacity(candidate.free, spec) for candidate in sampled)
            all_drawn = found < probes * constants.SAMPLE_RATIO + constants.SAMPLE_EXTRA_TASKS
            self.schedule.capacity_requested(
                shape, wanted, found if all_drawn else None, claimed=claimed
            )
        elif self._sample_widely(sample):
            self.schedule.defer(job.id, state.preempt_at)
            self.schedule.capacity_requested(shape, 0, None)
        else:
            self._nothing_found(sample)

    def _nothing_found(self, sample: Sample) -> None:
        """Close the queue of a job that found no capacity, and sample one that needs less.

        If the job's own excluded machines or zones may be the reason, only the job is deferred.
        """
        job, spec, _, shape, zones, *_ = sample
        excluded = self.context.failures.excluded_machines(job)
        if excluded or len(zones) < len(self.context.facts.zones):
            self.schedule.defer(job.id, self.context.now + constants.FULL_SAMPLE_INTERVAL_S)
            return
        self.schedule.close_queue(shape)
        if self.schedule.queues.is_first(job.id, shape):
            self._sample_smaller(job, spec, shape)
            if not spec.gang_scheduled:
                self.passed_over.reserve_if_starving(job, spec)

    def _sample_smaller(self, job: Job, spec: JobSpec, shape: Shape) -> None:
        """Sample a job of a queue that fits where `job` does not, if there is one."""
        if not self.passed_over.any_needs_less(spec, shape):
            return
        due_at = self.pending_jobs[job.id].next_behind_at
        if self.context.now < due_at:
            self.schedule.reopen_by(shape, due_at)
            return
        claims = self.gangs.claims if spec.gang_scheduled else self.claims
        self._sample_behind(lambda: self.passed_over.job_that_fits(job, spec, shape, claims))

    def _sample_behind(self, find_job: Callable[[], str | None]) -> None:
        """Sample the job found behind the first of a queue.

        A job whose tasks are all bound leaves the queue when it is sampled; then the next is due.
        """
        for _ in range(constants.JOBS_BEHIND_FIRST):
            job_id = find_job()
            if job_id is None:
                return
            self._sample(job_id)
            if self.pending_jobs[job_id].next_sample_at < math.inf:
                return

    def _sample_widely(self, sample: Sample) -> bool:
        """Request preemption, and queue reservations at feasible machines although they are full.

        The reservations stay queued there until after the next sample. Returns whether preemption
        was requested for all wanted tasks.
        """
        job, spec, state, _, zones, wanted, probes = sample
        context = self.context
        if context.now < state.next_wide_sample_at:
            return False
        state.next_wide_sample_at = context.now + constants.FULL_SAMPLE_INTERVAL_S
        feasible = self.index.feasible(spec, zones)
        preempted = request_preemption(
            context,
            self.index,
            PreemptionRequest(job, spec, state, feasible, wanted, math.inf),
        )
        chosen: dict[str, int] = {}
        excluded = context.failures.excluded_machines(job)
        while probes > 0 and (machines := self.index.sample(feasible, probes, excluded)):
            for machine in machines:
                chosen[machine.name] = chosen.get(machine.name, 0) + 1
            probes -= len(machines)
        reserve(context, job, chosen)
        self._reserve_for_oldest(job, spec)
        return len(preempted) >= wanted

    def _reserve_for_oldest(self, job: Job, spec: JobSpec) -> None:
        """Also send reservations for the oldest job in the queue of `job`, once it is aged.

        Agent managers grant a minimum share of capacity to aged jobs with a reservation.
        """
        shape = self.schedule.queues.put(job, spec)
        oldest = self.context.replica.jobs[self.schedule.queues.oldest(shape)]
        if (
            oldest is not job
            and oldest.spec is not None
            and is_aged(self.context, oldest, oldest.spec)
        ):
            machines = self.index.sample(
                self.index.feasible(oldest.spec, self.context.facts.zones),
                constants.MAX_RESERVATIONS_PER_JOB,
                self.context.failures.excluded_machines(oldest),
            )
            reserve(self.context, oldest, {machine.name: 1 for machine in machines})

    def _request_capacity(self, sample: Sample, sampled: list[SampledMachine]) -> bool:
        """Reserve capacity on drawn machines, or wait for machines that hold the image.

        Returns whether the capacity is claimed.
        """
        job, spec, state, _, zones, wanted, probes = sample
        image_holders = self.index.feasible_with_image(spec, zones)
        with_image = [candidate for candidate in sampled if candidate.has_image]
        # A fetch occupies capacity too: preempting young work on an image holder costs less.
        if (
            image_holders
            and not with_image
            and request_preemption(
                self.context,
                self.index,
                PreemptionRequest(
                    job,
                    spec,
                    state,
                    image_holders,
                    wanted,
                    preemption_budget_s(self.context, spec, sampled[0].machine),
                ),
            )
        ):
            state.next_sample_at = state.preempt_at
            return False
        with_image_tasks = sum(task_capacity(candidate.free, spec) for candidate in with_image)
        waits = len(image_holders) >= wanted > with_image_tasks and waits_for_image(
            self.context, spec, state, sampled[0].machine
        )
        if waits:
            state.next_sample_at = self.context.now + constants.IMAGE_WAIT_RESAMPLE_S
            full = self.index.sample(
                image_holders, probes, self.context.failures.excluded_machines(job)
            )
            chosen = {machine.name: 1 for machine in full}
            chosen.update(choose_machines(self.context, job, spec, with_image, probes))
        else:
            chosen = choose_machines(self.context, job, spec, sampled, probes)
            until = self.context.now + constants.RESAMPLE_S
            self.claims.add(job.id, spec, chosen, until, wanted)
        reserve(self.context, job, chosen)
        return not waits
