"""Batch sampling: which machines get a reservation for which job, and when again."""

import heapq
import math

from oakmux import constants
from oakmux.core.jobs import Job
from oakmux.core.keeper.room import Room, full, gather_s, has_room, room, times, usable
from oakmux.core.owner.binding import Binder
from oakmux.core.owner.copies import Copies
from oakmux.core.owner.gangs import Gangs
from oakmux.core.owner.places import best, make_room, reserve, worth_s, zone_allowed
from oakmux.core.owner.state import Open
from oakmux.core.world import Machine, World
from oakmux.wire import JobSpec


class Sampler:
    """Draws machines for the jobs of the teams that we own."""

    def __init__(self, world: World, copies: Copies, binder: Binder, gangs: Gangs) -> None:
        self.world = world
        self.copies = copies
        self.binder = binder
        self.gangs = gangs

    def sample(self) -> None:
        """Send out reservations for jobs whose turn it is."""
        now = self.world.now
        due = []
        for job_id, state in list(self.binder.open.items()):
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
        roomy = self._roomy() if due else []
        for *_, job_id in heapq.nsmallest(constants.SAMPLES_PER_TICK, due):
            job = self.world.replica.jobs[job_id]
            if job.spec is not None:
                self._sample_job(job, job.spec, self.binder.open[job_id], roomy)

    def _roomy(self) -> list[tuple[Machine, Room]]:
        """Return the machines that may be used and have any room."""
        world = self.world
        return [(machine, free) for machine in world.machines.values()
                if not full(world, free := room(world, machine))
                and usable(world, machine)]

    def _sample_job(self, job: Job, spec: JobSpec, state: Open,
                    roomy: list[tuple[Machine, Room]]) -> None:
        world = self.world
        if (spec.joint and state.offers
                and state.offers[0][0] + gather_s(spec) <= world.now):
            self.binder.release(state)
            self.gangs.end_turn(job)
            state.quiet_until = world.now + world.rng.uniform(0, constants.GANG_BACKOFF_S)
        if world.now < state.quiet_until:
            return
        wanted = self.copies.unstarted(job)
        zones = [b.zone for b in self.copies.bindings(job)]
        if spec.kind == "gang" and zones:
            wanted = 0  # a new attempt only when every task of the old one is proven gone
        if not wanted:
            state.next_sample = math.inf  # until a task of it is proven gone
            return
        if self.copies.beyond_limit(job, spec, spec.tasks if spec.kind == "gang" else 1):
            self.gangs.end_turn(job)
            state.next_sample = world.now + constants.RESAMPLE_S
            return
        # Room in a zone that the job's other tasks rule out must not hide that room has to be
        # made in another: a spread service once waited 50 s for its second replica so.
        def allowed(machine: Machine) -> bool:
            return (world.fits(spec, machine) and machine.name not in state.avoid
                    and (not zones or zone_allowed(spec, zones, machine.zone)))

        count = min(math.ceil(constants.PROBE_RATIO * wanted), constants.MAX_RESERVATIONS_PER_JOB)
        ready = [(m, free) for m, free in roomy if has_room(free, spec) and allowed(m)]
        state.next_sample = world.now + constants.RESAMPLE_S
        if spec.joint:
            self.gangs.sample(job, spec, state, ready, allowed)
        elif ready:
            holders = [m for m in world.machines.values()
                       if spec.image in m.images and usable(world, m) and allowed(m)]
            there = [(m, free) for m, free in ready if spec.image in m.images]
            # A fetch blocks its place as well: stopping young work where the image is costs less.
            if not there and make_room(world, job, spec, state, holders, wanted,
                                             worth_s(world, spec, ready[0][0])):
                state.next_sample = world.now + constants.PREEMPT_S
            elif (len(holders) >= wanted > sum(times(free, spec) for _, free in there)
                    and self._patient(spec, state, ready[0][0])):
                state.next_sample = world.now + constants.WAIT_RESAMPLE_S
                queued = world.rng.sample(holders, min(count, len(holders)))
                reserve(world, job, {**{m.name: 1 for m in queued},
                                    **best(world, job, spec, there, count)})
            else:
                reserve(world, job, best(world, job, spec, ready, count))
        elif world.now >= state.next_wide:
            # Reservations wait at full machines for longer than it takes to look for room anew.
            state.next_wide = world.now + constants.WIDE_S
            fitting = [m for m in world.machines.values() if usable(world, m) and allowed(m)]
            make_room(world, job, spec, state, fitting, wanted, math.inf)
            chosen: dict[str, int] = {}
            while fitting and count > 0:
                for machine in world.rng.sample(fitting, min(count, len(fitting))):
                    chosen[machine.name] = chosen.get(machine.name, 0) + 1
                    count -= 1
            reserve(world, job, chosen)

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
