"""Batch sampling: which machines get a reservation for which job, and when again."""

import heapq
import math

from oakmux import constants
from oakmux.core.index import Drawn, Index
from oakmux.core.jobs import Job
from oakmux.core.keeper.room import times
from oakmux.core.owner.binding import Binder
from oakmux.core.owner.copies import Copies
from oakmux.core.owner.gangs import Gangs
from oakmux.core.owner.places import best, make_room, reserve, worth_s, zone_allowed
from oakmux.core.owner.state import Open
from oakmux.core.world import Machine, World
from oakmux.wire import JobSpec


class Sampler:
    """Draws machines for the jobs of the teams that we own."""

    def __init__(self, world: World, index: Index, copies: Copies, binder: Binder,
                 gangs: Gangs) -> None:
        self.world = world
        self.index = index
        self.open = binder.open
        self.copies = copies
        self.binder = binder
        self.gangs = gangs

    def sample(self) -> None:
        """Send out reservations for jobs whose turn it is."""
        now = self.world.now
        due = []
        for job_id, state in list(self.open.items()):
            job = self.world.replica.jobs[job_id]
            if job.spec is None:
                continue
            if (state.offers and not job.spec.joint
                    and now - state.offers[0][0] >= constants.GATHER_S):
                self.binder.choose(job, job.spec, state)
            if now >= state.next_sample and now >= state.retry_at:
                due.append((-job.priority, job.latest, state.next_sample, job.since, job_id))
        # With thousands of jobs waiting, those of higher priority and those that waited longest
        # go first; the work of one tick stays bounded.
        self.index.refresh()
        for *_, job_id in heapq.nsmallest(constants.SAMPLES_PER_TICK, due):
            job = self.world.replica.jobs[job_id]
            if job.spec is not None:
                self._sample_job(job, job.spec, self.open[job_id])

    def _sample_job(self, job: Job, spec: JobSpec, state: Open) -> None:
        world = self.world
        if state.gather_until and world.now >= state.gather_until:
            self.binder.release(state)
            self.gangs.end(job, state)
            state.quiet_until = world.now + world.rng.uniform(0, constants.GANG_BACKOFF_S)
        if world.now < state.quiet_until:
            return
        wanted = self.copies.unstarted(job)
        zones = [b.zone for b in self.copies.bindings(job)]
        if spec.kind == "gang" and zones:
            wanted = 0  # a new attempt only when every task of the old one is proven gone
        if not wanted:
            self.gangs.end(job, state)
            state.next_sample = math.inf  # until a task of it is proven gone
            return
        if self.copies.beyond_limit(job, spec, spec.tasks if spec.kind == "gang" else 1):
            self.gangs.end_turn(job)
            self.copies.claim_limit(job, spec, wanted)
            state.next_sample = world.now + constants.RESAMPLE_S
            return
        # Room in a zone that the job's other tasks rule out must not hide that room has to be
        # made in another: a spread service once waited 50 s for its second replica so.
        zones_left = [zone for zone in world.facts.zones if zone_allowed(spec, zones, zone)]
        state.next_sample = world.now + constants.RESAMPLE_S
        if spec.joint:
            self.gangs.sample(job, spec, state)
            return
        count = min(math.ceil(constants.PROBE_RATIO * wanted), constants.MAX_RESERVATIONS_PER_JOB)
        rows = self.index.draw(spec, zones_left, state.avoid, count)
        if rows:
            self._take_room(job, spec, state, zones_left, rows, wanted, count)
        elif world.now >= state.next_wide:
            # Reservations wait at full machines for longer than it takes to look for room anew.
            state.next_wide = world.now + constants.WIDE_S
            fitting = self.index.fitting(spec, zones_left)
            make_room(world, self.index, job, spec, state, fitting, wanted, math.inf)
            chosen: dict[str, int] = {}
            while count > 0 and (some := self.index.some(fitting, count, state.avoid)):
                for machine in some:
                    chosen[machine.name] = chosen.get(machine.name, 0) + 1
                count -= len(some)
            reserve(world, job, chosen)

    def _take_room(self, job: Job, spec: JobSpec, state: Open, zones: list[str],
                   rows: list[Drawn], wanted: int, count: int) -> None:
        """Reserve room that was drawn, or wait a little where the image is."""
        world = self.world
        holders = self.index.holding(spec, zones)
        there = [row for row in rows if row.held]
        # A fetch blocks its place as well: stopping young work where the image is costs less.
        if holders and not there and make_room(world, self.index, job, spec, state, holders,
                                               wanted, worth_s(world, spec, rows[0].machine)):
            state.next_sample = world.now + constants.PREEMPT_S
        elif (len(holders) >= wanted > sum(times(row.free, spec) for row in there)
                and self._patient(spec, state, rows[0].machine)):
            state.next_sample = world.now + constants.WAIT_RESAMPLE_S
            queued = self.index.some(holders, count, state.avoid)
            reserve(world, job, {**{m.name: 1 for m in queued},
                                 **best(world, job, spec, there, count)})
        else:
            reserve(world, job, best(world, job, spec, rows, count))

    def _patient(self, spec: JobSpec, state: Open, machine: Machine) -> bool:
        """Whether to wait at machines that hold the image rather than fetch it: for a part of the
        fetch, as far as the aims for starting this class and guaranteed work leave time. What
        holds a service's image are services mostly, which don't end."""
        now = self.world.now
        if spec.kind == "service":
            return False
        if state.patient_until is None:
            fetch = self.world.fetch_s(spec, machine.type)
            patience = fetch * constants.PATIENCE_SHARE
            for within in self.world.wait_aims.get(spec.lane, ()):
                if fetch / constants.FETCH_SPREAD < within:  # a fetch at once may meet the aim
                    patience = min(patience, max(0.0, within - fetch * constants.FETCH_SPREAD))
            if self.world.guarantee_s is not None:
                patience = min(patience, self.world.guarantee_s / 2)
            state.patient_until = now + patience
        return now < state.patient_until
