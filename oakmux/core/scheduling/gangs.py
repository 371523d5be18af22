"""Gang scheduling: capacity for all tasks of a gang at once or for none.

If a task of a gang is lost, `stop_attempt` stops all others.
"""

import functools
import math
from collections import Counter
from typing import NamedTuple

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.capacity import gang_hold_s
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, subtract, task_capacity
from oakmux.core.scheduling.backfill_planner import BackfillPlanner
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.pending_job import CapacityRequest, PendingJob
from oakmux.core.scheduling.placement import (
    PreemptionRequest,
    choose_machines,
    fetch_s,
    preemption_budget_s,
    request_preemption,
    reserve,
)
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.records import Job
from oakmux.core.state.write_buffer import WriteBuffer


class Group(NamedTuple):
    """Capacity for a gang in the zones that it may use together.

    `tasks` is the number of tasks that fit into held, requested and newly sampled capacity.
    `image_score` is how many of them need no image fetch, plus a random tie-breaker below 1.
    """

    image_score: float
    tasks: int
    sampled: list[SampledMachine]
    zones: list[str]


class Gang(NamedTuple):
    """A gang that is being sampled."""

    job: Job
    spec: JobSpec
    state: PendingJob


class GangScheduler:
    """Gathers capacity for the shard's gangs: free capacity first, then by preemption.

    Only one gang of the shard at a time may hold part of its capacity while it waits for the rest.
    """

    def __init__(
        self, context: Context, index: MachineIndex, pending_jobs: dict[str, PendingJob]
    ) -> None:
        self.context = context
        self.index = index
        self.pending_jobs = pending_jobs
        self.claims = CapacityClaims(context, until_bound=False)
        self.backfill_planner = BackfillPlanner(context, index)
        # Id of the gang that may hold part of its capacity; empty if there is none.
        self.holder = ""

    def end_gathering(self, job: Job, state: PendingJob) -> None:
        """Stop gathering capacity: the gang is bound, or starts over later."""
        if not state.backfill_machines:
            self._stop_holding(job)
        self.index.capacity_released(state.requested)
        for name in state.requested:
            self.claims.release(job.id, name)
        state.requested = {}
        state.hold_until = 0.0

    def end_backfill(self, job: Job, state: PendingJob) -> None:
        """End a job's backfill reservation: the job is bound, or can't start."""
        if self.backfill_planner.end(job, state):
            self._stop_holding(job)

    def _stop_holding(self, job: Job) -> None:
        """Let another gang hold capacity."""
        if self.holder == job.id:
            self.holder = ""

    def sample(self, job: Job, spec: JobSpec, state: PendingJob) -> bool:
        """Request the capacity that a gang still lacks; return whether any is requested or held.

        These steps are tried in order:
        1. Reserve in the zone, among those with capacity for all tasks, where the fewest tasks
           need an image fetch.
        2. Preempt in a zone where that makes capacity for all tasks.
        3. Make a backfill reservation.
        4. Hold the free capacity until there is more. Only one gang at a time, the oldest, may do
           so: several would each hold a part of what the others need.
        """
        gang = Gang(job, spec, state)
        if not state.hold_until:
            state.hold_until = self.context.now + gang_hold_s(spec)
        groups = self._sample_groups(gang)
        if groups is None:
            return True
        sufficient = [group for group in groups if group.tasks >= spec.tasks]
        if sufficient:
            best = max(sufficient, key=lambda group: min(group.image_score, spec.tasks))
            if not self._preempt_at_image_holders(gang, best):
                self._reserve(gang, best)
            return True
        groups.sort(key=lambda group: -group.tasks)
        if self._preempt_for_all(gang, groups):
            return True
        self._wait_for_capacity(gang, groups[0])
        return bool(state.requested or state.offers)

    def _sample_groups(self, gang: Gang) -> list[Group] | None:
        """Sample machines in each zone, or in all zones at once if the gang may span zones.

        Returns None if all tasks have an offer or may still get one.
        """
        spec, all_zones = gang.spec, self.context.facts.zones
        groups: list[Group] = []
        for zones in [[zone] for zone in all_zones] if spec.one_zone else [all_zones]:
            expected = self._expected_tasks(gang.state, zones)
            if expected >= spec.tasks:
                return None
            sampled = self._draw(gang, zones, spec.tasks - expected)
            counts = [
                (task_capacity(candidate.free, spec), candidate.has_image) for candidate in sampled
            ]
            with_image = sum(count for count, has_image in counts if has_image)
            groups.append(
                Group(
                    with_image + expected + self.context.rng.random(),
                    sum(count for count, _ in counts) + expected,
                    sampled,
                    zones,
                )
            )
        return groups

    def _preempt_for_all(self, gang: Gang, groups: list[Group]) -> bool:
        """Request preemption for all missing tasks of a gang in one of the groups.

        The group's free capacity is reserved. Returns whether there is such a group.
        """
        spec, state = gang.spec, gang.state
        if self.context.now < max(state.next_wide_sample_at, state.preempt_at):
            return False
        state.next_wide_sample_at = self.context.now + constants.FULL_SAMPLE_INTERVAL_S
        for group in groups:
            sampled_names = (candidate.machine.name for candidate in group.sampled)
            candidates = self.index.feasible(spec, group.zones) - self.index.bitmap(
                [*sampled_names, *state.requested]
            )
            if self._request_preemption(gang, candidates, spec.tasks - group.tasks, math.inf):
                self._reserve(gang, group)
                return True
        return False

    def _wait_for_capacity(self, gang: Gang, largest: Group) -> None:
        """Let a gang wait for more capacity, with a backfill reservation if it gets one.

        Otherwise the gang holds the largest group's capacity, unless another gang is the holder.
        A starving gang that precedes the holder replaces it.
        """
        job, spec, state = gang
        if (
            self.holder != job.id
            and self.backfill_planner.is_required(job, spec)
            and self.backfill_planner.update(job, spec, state)
        ):
            return  # several gangs may have a backfill reservation
        holder = self.pending_jobs.get(self.holder)
        if (
            holder is None
            or holder.next_sample_at == math.inf
            or (is_starving(self.context, job) and self._precedes_holder(job))
        ):
            self.holder = job.id
        if self.holder == job.id and not self.backfill_planner.update(job, spec, state):
            self._reserve(gang, largest)

    def _precedes_holder(self, job: Job) -> bool:
        """Whether a starving gang comes before the current holder."""
        candidate, holder = (
            (-other.priority, not is_starving(self.context, other), other.eligible_ms, other.id)
            for other in (job, self.context.replica.jobs[self.holder])
        )
        return candidate < holder

    def _expected_tasks(self, state: PendingJob, zones: list[str]) -> int:
        """Count the tasks of a gang that have an offer, or may still get one, in these zones."""
        now = self.context.now
        offered = Counter(offer.machine for offer in state.offers if offer.zone in zones)
        expected = offered.total()
        for name, request in state.requested.items():
            machine = self.context.machines.get(name)
            if request.until > now and machine is not None and machine.zone in zones:
                expected += max(0, request.tasks - offered[name])
        return expected

    def _preempt_at_image_holders(self, gang: Gang, group: Group) -> bool:
        """Request preemption on image holders, for all tasks that would otherwise fetch the image.

        One fetch delays the whole gang, so work is preempted if that costs less than the fetch.
        Returns whether preemption was requested.
        """
        spec, state = gang.spec, gang.state
        fetching = [candidate for candidate in group.sampled if not candidate.has_image]
        with_image = [candidate for candidate in group.sampled if candidate.has_image]
        missing = (
            spec.tasks
            - self._expected_tasks(state, group.zones)
            - sum(task_capacity(candidate.free, spec) for candidate in with_image)
        )
        if missing <= 0 or not fetching or spec.spread:
            return False
        first = fetching[0].machine
        if state.image_wait_until is None:  # tried for no longer than the fetch would take
            state.image_wait_until = self.context.now + fetch_s(self.context, spec, first)
        image_holders = self.index.feasible_with_image(spec, group.zones) - self.index.bitmap(
            [*(candidate.machine.name for candidate in with_image), *state.requested]
        )
        if self.context.now > state.image_wait_until:
            return False
        budget_s = preemption_budget_s(self.context, spec, first)
        if not self._request_preemption(gang, image_holders, missing, budget_s):
            return False
        self._reserve(gang, group._replace(sampled=with_image))
        return True

    def _request_preemption(
        self, gang: Gang, candidates: BitMap, wanted: int, max_cost_s: float
    ) -> bool:
        """Request preemption on `wanted` machines; return whether it was requested."""
        job, spec, state = gang
        now = self.context.now
        names = request_preemption(
            self.context,
            self.index,
            PreemptionRequest(job, spec, state, candidates, wanted, max_cost_s),
        )
        if names:
            wait_s = state.preempt_at - now
            state.hold_until = min(max(state.hold_until, now + wait_s), state.hold_until + wait_s)
            self._claim(gang, dict.fromkeys(names, 1), wait_s)
        return bool(names)

    def _claim(self, gang: Gang, tasks_by_machine: dict[str, int], answer_s: float) -> None:
        """Claim capacity and record requests that may be answered within `answer_s` seconds."""
        job, spec, state = gang
        self.claims.add(job.id, spec, tasks_by_machine, state.hold_until)
        until = self.context.now + answer_s
        for name, tasks in tasks_by_machine.items():
            state.requested[name] = CapacityRequest(until, tasks)

    def _draw(self, gang: Gang, zones: list[str], missing: int) -> list[SampledMachine]:
        """Draw machines with unclaimed capacity for a gang.

        If the gang is spread over zones, no zone gets more tasks than allowed there.
        """
        job, spec, state = gang
        available = functools.partial(self.claims.available, job, spec)
        excluded = {*self.context.failures.excluded_machines(job), *state.requested}
        if not spec.spread:
            return self.index.draw(spec, zones, excluded, missing, available)
        sampled: list[SampledMachine] = []
        for zone in zones:
            max_tasks = min(
                missing, math.ceil(spec.tasks / 2) - self._expected_tasks(state, [zone])
            )
            if max_tasks <= 0:
                continue
            for candidate in self.index.draw(spec, [zone], excluded, max_tasks, available):
                count = min(max_tasks, task_capacity(candidate.free, spec))
                if count:
                    max_tasks -= count
                    usable = subtract(NO_RESOURCES, spec, -count)
                    sampled.append(candidate._replace(free=usable))
        return sampled

    def _reserve(self, gang: Gang, group: Group) -> None:
        """Send reservations for the missing tasks to the sampled machines of a group."""
        job, spec, state = gang
        missing = spec.tasks - self._expected_tasks(state, group.zones)
        chosen = choose_machines(self.context, job, spec, group.sampled, missing)
        self._claim(gang, chosen, constants.GANG_ANSWER_S)
        reserve(self.context, job, chosen)


def stop_attempt(buffer: WriteBuffer, job: Job, spec: JobSpec, attempt: int) -> None:
    """Stop the remaining tasks of a gang's attempt; one task is lost or about to be."""
    for index in range(spec.tasks):
        number = index // buffer.tasks_per_record
        binding = buffer.block(job, number).bindings.get(index)
        if binding is not None and binding.attempt == attempt and not binding.stop:
            buffer.edit(job, number).bindings[index] = binding._replace(stop=True)
