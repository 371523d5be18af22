"""Batch sampling: which machines get a reservation for which job, and when again."""

import heapq
import math
from collections.abc import Callable

from oakmux import constants
from oakmux.core.context import Context, Machine
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, Resources, task_capacity
from oakmux.core.scheduling.binding import Binder
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.scheduling.gangs import GangScheduler
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.pending_queues import Shape
from oakmux.core.scheduling.placement import (
    best,
    preemption_budget_s,
    request_preemption,
    reserve,
    zone_allowed,
)
from oakmux.core.scheduling.queue_order import is_aged, is_starving
from oakmux.core.scheduling.sampling_schedule import SamplingSchedule
from oakmux.core.state.records import Job
from oakmux.core.state.write_buffer import WriteBuffer


class Sampler:
    """Draws machines for the jobs of the teams that we own."""

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
        self.open = binder.open
        self.buffer = buffer
        self.binder = binder
        self.gangs = gangs
        self.schedule = schedule
        self.claims = CapacityClaims(context)
        self.team_usage: dict[str, tuple[float, float]] = {}

    def sample(self) -> None:
        """Send out reservations for jobs whose turn it is."""
        context, schedule = self.context, self.schedule
        self._bind_collected()
        schedule.enqueue_due()
        self.index.refresh()
        gained, self.index.gained = self.index.gained, set()
        schedule.reopen_fitting(gained)
        schedule.reopen_limited(self._teams_with_less_usage())
        gathering, schedule.gathering = schedule.gathering, []
        for job_id in gathering:
            self._sample(job_id)
        # With thousands of jobs waiting, those of higher priority and those that waited longest
        # go first; the work of one tick stays bounded.
        turns = schedule.turns()
        for _ in range(constants.SAMPLES_PER_TICK - len(gathering)):
            if not turns:
                break
            *_, job_id, shape = turns[0]
            self._sample(job_id)
            turn = schedule.turn(shape)
            if turn is None:
                heapq.heappop(turns)
            else:
                heapq.heapreplace(turns, turn)
        for *_, job_id, _ in context.rng.sample(turns, min(len(turns), constants.SAMPLES_LOWER)):
            self._sample(job_id)  # nor do lines of lower priority go without

    def _bind_collected(self) -> None:
        """Bind tasks to the offers that were gathered for long enough."""
        for job_id in list(self.binder.collecting):
            state = self.open.get(job_id)
            job = self.context.replica.jobs[job_id]
            if state is None or not state.offers or job.spec is None:
                del self.binder.collecting[job_id]
            elif self.context.now - state.offers[0][0] >= constants.GATHER_S:
                del self.binder.collecting[job_id]
                self.binder.choose(job, job.spec, state)

    def _teams_with_less_usage(self) -> list[str]:
        """Return the teams of ours that use less than at the last tick."""
        used = {
            team: self.buffer.team_use(team)
            for team in self.context.held_roles
            if team in self.context.teams
        }
        fell = [
            team
            for team, use in used.items()
            if use[0] < self.team_usage.get(team, use)[0]
            or use[1] < self.team_usage.get(team, use)[1]
        ]
        self.team_usage = used
        return fell

    def _sample(self, job_id: str) -> None:
        job = self.context.replica.jobs[job_id]
        state = self.open.get(job_id)
        if state is not None and job.spec is not None:
            self._sample_job(job, job.spec, state)

    def _sample_job(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Look for room for one job. After this it is idle, waits for a time, or stands in its
        line, which is shut."""
        context, schedule = self.context, self.schedule
        if state.hold_until and context.now >= state.hold_until:
            self.binder.release(state)
            self.gangs.end(job, state)
            state.backoff_until = context.now + context.rng.uniform(0, constants.GANG_BACKOFF_S)
        if context.now < max(state.backoff_until, state.retry_at):
            schedule.defer(job.id, max(state.backoff_until, state.retry_at))
            return
        wanted = self.buffer.unstarted(job)
        zones = [b.zone for b in self.buffer.bindings(job)]
        if spec.kind == "gang" and zones:
            wanted = 0  # a new attempt only when every task of the old one is proven gone
        if not spec.joint and context.failures.suspect(job):
            # It fails wherever it starts: one task at a time, or a mistake in a large array takes
            # hundreds of places, and as many fetches, at each try.
            wanted = min(wanted, 0 if zones else 1)
        if not wanted:
            self.gangs.end(job, state)
            self.gangs.end_backfill(job, state)
            schedule.defer(job.id, math.inf)  # until a task of it is proven gone
            return
        shape = schedule.queues.put(job, spec)
        if self.buffer.exceeds_limit(job, spec, spec.tasks if spec.kind == "gang" else 1):
            if state.hold_until:  # it must not hold what others may use
                self.binder.release(state)
                self.gangs.end(job, state)
            self.gangs.end_backfill(job, state)
            self.buffer.claim_limit(job, spec, self._tasks_wanted(shape, spec))
            schedule.exceeds_limit(shape)
            return
        # Room in a zone that the job's other tasks rule out must not hide that room has to be
        # made in another: a spread service once waited 50 s for its second replica so.
        zones_left = [zone for zone in context.facts.zones if zone_allowed(spec, zones, zone)]
        state.next_sample_at = context.now + constants.RESAMPLE_S
        if spec.joint:
            if is_starving(context, job):
                # While it gathers room, its part of the limit is kept as well: younger work of
                # its team took it in that time, and the gang began anew for minutes.
                self.buffer.claim_limit(job, spec, wanted)
            if self.gangs.sample(job, spec, state):
                schedule.defer(job.id, state.next_sample_at)
                schedule.found(shape, 0, None)
            else:
                self.gangs.end(job, state)
                self._nothing_found(job, state, shape, zones_left)
            return
        count = min(math.ceil(constants.PROBE_RATIO * wanted), constants.MAX_RESERVATIONS_PER_JOB)
        rows = self.index.draw(
            spec, zones_left, state.excluded_machines, count, self._claims_filter(job, spec)
        )
        if rows:
            self._take_room(job, spec, state, zones_left, rows, wanted, count)
            schedule.defer(job.id, state.next_sample_at)
            there = sum(task_capacity(row.free, spec) for row in rows)
            all_drawn = there < count * constants.DRAW_RATIO + constants.DRAW_MORE
            schedule.found(shape, wanted, there if all_drawn else None)
        elif self._sample_widely(job, spec, state, zones_left, wanted, count):
            schedule.defer(job.id, state.preempt_at)
            schedule.found(shape, 0, None)
        else:
            self._nothing_found(job, state, shape, zones_left)

    def _claims_filter(self, job: Job, spec: JobSpec) -> Callable[[Machine, Resources], Resources]:
        """Return what takes off room that an opening keeps from a job, or that other jobs of ours
        have asked for."""
        backfill = self.context.backfill

        def left(machine: Machine, free: Resources) -> Resources:
            if backfill.by_machine and backfill.blocks_job(machine.name, job, spec):
                return NO_RESOURCES
            return self.claims.left(job.id, machine, free)

        return left

    def _tasks_wanted(self, shape: Shape, spec: JobSpec) -> int:
        """Count what the first jobs of a line have to start."""
        most = max(constants.MAX_RESERVATIONS_PER_JOB, spec.tasks if spec.kind == "gang" else 1)
        wanted = 0
        for job_id in self.schedule.queues.first(shape, most):
            wanted += self.buffer.unstarted(self.context.replica.jobs[job_id])
            if wanted >= most:
                break
        return min(wanted, most)

    def _nothing_found(self, job: Job, state: PendingJob, shape: Shape, zones: list[str]) -> None:
        """No room: nor would those behind the job find any, unless it has reasons of its own."""
        if state.excluded_machines or len(zones) < len(self.context.facts.zones):
            self.schedule.defer(job.id, self.context.now + constants.WIDE_S)
        else:
            self.schedule.close_queue(shape)

    def _sample_widely(
        self, job: Job, spec: JobSpec, state: PendingJob, zones: list[str], wanted: int, count: int
    ) -> bool:
        """Have room made, or queue at fitting machines, full as they are: reservations wait there
        for longer than it takes to look for room anew. Return whether room is made for all."""
        context = self.context
        if context.now < state.next_wide_sample_at:
            return False
        state.next_wide_sample_at = context.now + constants.WIDE_S
        fitting = self.index.fitting(spec, zones)
        made = request_preemption(context, self.index, job, spec, state, fitting, wanted, math.inf)
        chosen: dict[str, int] = {}
        while count > 0 and (some := self.index.some(fitting, count, state.excluded_machines)):
            for machine in some:
                chosen[machine.name] = chosen.get(machine.name, 0) + 1
            count -= len(some)
        reserve(context, job, chosen)
        self._queue_oldest(job, spec)
        return len(made) >= wanted

    def _queue_oldest(self, job: Job, spec: JobSpec) -> None:
        """Queue a line's oldest job as well, once it is aged: agent managers owe it a share."""
        shape = self.schedule.queues.put(job, spec)
        oldest = self.context.replica.jobs[self.schedule.queues.oldest(shape)]
        if (
            oldest is not job
            and oldest.spec is not None
            and is_aged(self.context, oldest, oldest.spec)
        ):
            fitting = self.index.fitting(oldest.spec, self.context.facts.zones)
            some = self.index.some(
                fitting, constants.MAX_RESERVATIONS_PER_JOB, self.open[oldest.id].excluded_machines
            )
            reserve(self.context, oldest, {machine.name: 1 for machine in some})

    def _take_room(
        self,
        job: Job,
        spec: JobSpec,
        state: PendingJob,
        zones: list[str],
        rows: list[SampledMachine],
        wanted: int,
        count: int,
    ) -> None:
        """Reserve room that was drawn, or wait a little where the image is."""
        context = self.context
        holders = self.index.holding(spec, zones)
        there = [row for row in rows if row.held]
        # A fetch blocks its place as well: stopping young work where the image is costs less.
        if (
            holders
            and not there
            and request_preemption(
                context,
                self.index,
                job,
                spec,
                state,
                holders,
                wanted,
                preemption_budget_s(context, spec, rows[0].machine),
            )
        ):
            state.next_sample_at = state.preempt_at
        elif len(holders) >= wanted > sum(
            task_capacity(row.free, spec) for row in there
        ) and self._waits_for_image(spec, state, rows[0].machine):
            state.next_sample_at = context.now + constants.WAIT_RESAMPLE_S
            queued = self.index.some(holders, count, state.excluded_machines)
            reserve(
                context,
                job,
                {**{m.name: 1 for m in queued}, **best(context, job, spec, there, count)},
            )
        else:
            chosen = best(context, job, spec, rows, count)
            self.claims.ask(job.id, spec, chosen, wanted)
            reserve(context, job, chosen)

    def _waits_for_image(self, spec: JobSpec, state: PendingJob, machine: Machine) -> bool:
        """Whether to wait at machines that hold the image rather than fetch it: for a part of the
        fetch, as far as the aims for starting this class and guaranteed work leave time. What
        holds a service's image are services mostly, which don't end."""
        now = self.context.now
        if spec.kind == "service":
            return False
        if state.image_wait_until is None:
            fetch = self.context.fetch_s(spec, machine.type)
            patience = fetch * constants.PATIENCE_SHARE
            for within in self.context.start_objectives.get(spec.job_class, ()):
                if fetch / constants.FETCH_SPREAD < within:  # a fetch at once may meet the aim
                    patience = min(patience, max(0.0, within - fetch * constants.FETCH_SPREAD))
            if self.context.guarantee_objective_s is not None:
                patience = min(patience, self.context.guarantee_objective_s / 2)
            state.image_wait_until = now + patience
        return now < state.image_wait_until
