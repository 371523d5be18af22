"""The owner's side: sampling machines, binding tasks, writing the records."""

import heapq
import logging
import math
from collections.abc import Callable
from typing import Any

from oakmux import constants
from oakmux.core import teams
from oakmux.core.jobs import (
    Binding,
    Chunk,
    Job,
    chunk_key,
    chunk_tasks,
    job_key,
    job_value,
    role_key,
    value_bytes,
    value_limit,
)
from oakmux.core.machines import (
    Keeper,
    Room,
    full,
    gather_s,
    gone,
    has_room,
    room,
    times,
    usable,
    victims,
)
from oakmux.core.world import Machine, World, event
from oakmux.wire import JobSpec, MachineType

log = logging.getLogger("oakmux.core")


class Open:
    """What an owner remembers of an unfinished job; nothing here outlives it."""

    __slots__ = ("next_sample", "offers", "cursor", "failures", "retry_at", "avoid",
                 "quiet_until", "preempt_at", "next_wide", "patient_until")

    def __init__(self) -> None:
        self.next_sample = 0.0
        self.offers: list[tuple] = []
        self.cursor = 0
        self.failures = 0
        self.retry_at = 0.0
        self.avoid: set[str] = set()
        self.quiet_until = 0.0
        self.preempt_at = 0.0
        self.next_wide = 0.0
        self.patient_until: float | None = None


class Owner:
    """Places the jobs of the teams that we own."""

    def __init__(self, world: World, keeper: Keeper) -> None:
        self.world = world
        self.keeper = keeper
        self.open: dict[str, Open] = {}
        self.work: dict[str, dict[int, Chunk]] = {}
        self.dirty: dict[tuple[str, int], float] = {}
        self.finish: dict[str, None] = {}
        self.gathering = ""
        self.writing: set[str] = set()
        self.write_after = 0.0
        self.in_flight = 0
        self.refused = False
        self.outgrown: set[str] = set()
        limits = world.facts.state.least
        self.least_bytes = value_limit(limits)
        share = limits.write_rps / world.settings.size
        self.coalesce_s = min(max(constants.COALESCE_S, constants.COALESCE_CHANGES / share),
                              constants.COALESCE_MOST_S)
        # A transaction far above our share of the rate would hold up all that comes after it.
        self.most_writes = min(limits.txn_ops, max(constants.WRITES_LEAST, int(
            constants.WRITES_S * limits.write_rps / world.settings.size)))

    # --- the working copy of the records ---

    @property
    def per_chunk(self) -> int:
        """How many tasks share a record. The mapping never moves with the limits: a task that is
        bound would look unbound (R ran_twice). Once the format is recorded, it stands there."""
        return self.world.replica.per_chunk or chunk_tasks(self.world.facts.state.value_kb)

    def _limit(self) -> int:
        """Bytes that a value may take when it is written. What earlier versions left larger may
        be written so until the switch, unless a transaction was refused."""
        if self._form() >= 2 or self.refused:
            return self.least_bytes
        return value_limit(self.world.facts.state)

    def _form(self) -> int:
        return self.world.replica.format

    def _holds(self, job: Job, number: int, offers: list[tuple]) -> bool:
        """Whether a chunk's record can hold bindings to what is offered as well. The coming limit
        counts at any time: once the limits fell, bindings that can't be written would never go."""
        chunk = self._chunk(job, number)
        if (len(chunk.bound) + len(offers)) * constants.BINDING_BYTES <= self.least_bytes:
            return True
        trial = chunk.copy()
        trial.last = self._next_attempt(job)
        first = (number + 1) * self.per_chunk  # no task's number there is longer
        for index, (_, name, _, session, term, _, zone) in enumerate(offers, first):
            trial.bound[index] = Binding(trial.last, name, session, term, zone)
        return value_bytes(trial.to_value(self._form())) <= self.least_bytes

    def _next_attempt(self, job: Job) -> int:
        return 1 + max((c.last for c in self._chunks(job)), default=0)

    def switched(self) -> None:
        """Format 2 holds: write anew what earlier versions left larger than the limits to come."""
        for job in list(self.world.replica.active.values()):
            if self.owns(job):
                self._shrink(job)

    def _shrink(self, job: Job) -> None:
        """See that chunks of format 1 keep within the limits to come."""
        for number, chunk in job.chunks.items():
            if (not chunk.compact and number not in self.work.get(job.id, ())
                    and len(chunk.bound) * constants.BINDING_BYTES > self.least_bytes
                    and value_bytes(chunk.to_value(1)) > self.least_bytes):
                self._edit(job, number)

    def owns(self, job: Job) -> bool:
        """Whether the job's team is ours."""
        return job.team in self.world.my_roles

    def lost(self) -> None:
        """Drop what belongs to teams that are no longer ours."""
        jobs = self.world.replica.jobs
        for job_id in [j for j in self.work if not self.owns(jobs[j])]:
            for number in self.work.pop(job_id):
                self.dirty.pop((job_id, number), None)
        for job_id in [j for j in self.open if not self.owns(jobs[j])]:
            del self.open[job_id]
            self.finish.pop(job_id, None)

    def won(self) -> None:
        """Begin with the records of a team just won."""
        for job in list(self.world.replica.active.values()):
            if self.owns(job):
                self.changed(job.id)
                if self._form() >= 2:
                    self._shrink(job)
                self.world.dirty_machines.update(b.machine for b in job.bindings())

    def changed(self, job_id: str) -> None:
        """The records of a job changed."""
        job = self.world.replica.jobs.get(job_id)
        if job is None or not self.owns(job):
            return
        if job.final:
            state = self.open.pop(job_id, None)
            if state is not None:
                self._release(state)
            self.finish.pop(job_id, None)
            for number in list(job.chunks):
                if not self._chunk(job, number).bound and number not in self.work.get(job_id, ()):
                    self._edit(job, number)  # a finished job needs no chunks any more
        elif not job.ready:
            return  # no reservations while it waits on others
        elif job_id not in self.open:
            self.open[job_id] = Open()
        else:
            state = self.open[job_id]
            state.next_sample = min(state.next_sample, self.world.now + constants.RESAMPLE_S)

    def _chunk(self, job: Job, number: int) -> Chunk:
        return (self.work.get(job.id, {}).get(number) or job.chunks.get(number)
                or Chunk())

    def _edit(self, job: Job, number: int, due: float = 0.0) -> Chunk:
        """Return a working copy to change; it is written once `due`, the earliest first."""
        mine = self.work.setdefault(job.id, {})
        chunk = mine.get(number)
        if chunk is None:
            old = job.chunks.get(number)
            chunk = mine[number] = old.copy() if old is not None else Chunk()
        self.dirty[(job.id, number)] = min(due, self.dirty.get((job.id, number), math.inf))
        return chunk

    def _settled(self, job_id: str, number: int) -> None:
        """Let go of a working copy: the records say the same."""
        mine = self.work.get(job_id, {})
        mine.pop(number, None)
        if not mine:
            self.work.pop(job_id, None)

    def _chunks(self, job: Job) -> list[Chunk]:
        mine = self.work.get(job.id)
        if not mine:
            return list(job.chunks.values())
        return list({**job.chunks, **mine}.values())

    def _bindings(self, job: Job) -> list[Binding]:
        return [b for chunk in self._chunks(job) for b in chunk.bound.values()]

    def unstarted(self, job: Job) -> int:
        """Count the tasks that are neither done nor bound."""
        if job.spec is None or job.final:
            return 0
        return job.spec.tasks - sum(c.done.bit_count() + len(
            [i for i in c.bound if not c.done >> (i % self.per_chunk) & 1])
            for c in self._chunks(job))

    def _next_unstarted(self, job: Job, state: Open, offer: tuple) -> int | None:
        assert job.spec is not None
        for start in (state.cursor, 0):
            index = start
            while index < job.spec.tasks:
                chunk = self._chunk(job, index // self.per_chunk)
                if index not in chunk.bound and not chunk.done >> (index % self.per_chunk) & 1:
                    if not self._holds(job, index // self.per_chunk, [offer]):
                        index = (index // self.per_chunk + 1) * self.per_chunk
                        continue  # wait until others of its record have ended
                    state.cursor = index + 1
                    return index
                index += 1
        return None

    def team_use(self, team: str) -> tuple[float, float]:
        """Return what a team of ours uses: all that is bound and not proven gone. The records'
        count is corrected by the working copies, which are few."""
        cpus, gpus = teams.usage(self.world).get(team, (0.0, 0.0))
        for job_id, mine in self.work.items():
            job = self.world.replica.jobs[job_id]
            if job.team == team and job.spec is not None:
                more = sum(len(chunk.bound) for chunk in mine.values()) - sum(
                    len(job.chunks[n].bound) for n in mine if n in job.chunks)
                cpus += more * job.spec.cpus
                gpus += more * job.spec.gpus
        return cpus, gpus

    def _beyond_limit(self, job: Job, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether that many more tasks of a job would break its team's limit."""
        cpus, gpus = self.team_use(job.team)
        return teams.beyond_limit(self.world, job.team, cpus + tasks * spec.cpus,
                                  gpus + tasks * spec.gpus)

    # --- sampling ---

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
                self._choose(job, job.spec, state)
            if now >= state.next_sample and now >= state.retry_at:
                due.append((-job.priority, job.latest, state.next_sample, job.since, job_id))
        # With thousands of jobs waiting, those of higher priority and those that waited longest
        # go first; the work of one tick stays bounded.
        roomy = self._roomy() if due else []
        for *_, job_id in heapq.nsmallest(constants.SAMPLES_PER_TICK, due):
            job = self.world.replica.jobs[job_id]
            if job.spec is not None:
                self._sample_job(job, job.spec, self.open[job_id], roomy)

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
            self._release(state)
            self._end_turn(job)
            state.quiet_until = world.now + world.rng.uniform(0, constants.GANG_BACKOFF_S)
        if world.now < state.quiet_until:
            return
        wanted = self.unstarted(job)
        zones = [b.zone for b in self._bindings(job)]
        if spec.kind == "gang" and zones:
            wanted = 0  # a new attempt only when every task of the old one is proven gone
        if not wanted:
            state.next_sample = math.inf  # until a task of it is proven gone
            return
        if self._beyond_limit(job, spec, spec.tasks if spec.kind == "gang" else 1):
            self._end_turn(job)
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
            self._sample_gang(job, spec, state, ready, allowed)
        elif ready:
            holders = [m for m in world.machines.values()
                       if spec.image in m.images and usable(world, m) and allowed(m)]
            there = [(m, free) for m, free in ready if spec.image in m.images]
            # A fetch blocks its place as well: stopping young work where the image is costs less.
            if not there and self._make_room(job, spec, state, holders, wanted,
                                             self._worth_s(spec, ready[0][0])):
                state.next_sample = world.now + constants.PREEMPT_S
            elif (len(holders) >= wanted > sum(times(free, spec) for _, free in there)
                    and self._patient(spec, state, ready[0][0])):
                state.next_sample = world.now + constants.WAIT_RESAMPLE_S
                queued = world.rng.sample(holders, min(count, len(holders)))
                self._reserve(job, {**{m.name: 1 for m in queued},
                                    **self._best(job, spec, there, count)})
            else:
                self._reserve(job, self._best(job, spec, ready, count))
        elif world.now >= state.next_wide:
            # Reservations wait at full machines for longer than it takes to look for room anew.
            state.next_wide = world.now + constants.WIDE_S
            fitting = [m for m in world.machines.values() if usable(world, m) and allowed(m)]
            self._make_room(job, spec, state, fitting, wanted, math.inf)
            chosen: dict[str, int] = {}
            while fitting and count > 0:
                for machine in world.rng.sample(fitting, min(count, len(fitting))):
                    chosen[machine.name] = chosen.get(machine.name, 0) + 1
                    count -= 1
            self._reserve(job, chosen)

    def _end_turn(self, job: Job) -> None:
        """Let another gang hold room."""
        if self.gathering == job.id:
            self.gathering = ""

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

    def _sample_gang(self, job: Job, spec: JobSpec, state: Open,
                     ready: list[tuple[Machine, Room]],
                     allowed: Callable[[Machine], bool]) -> None:
        """Reserve room for all tasks of a gang, in one zone where it asks for that.

        Where a zone has room for all, the one that holds the image most often is taken; else one
        where stopping work of less right makes room for all. If there is none, one gang of ours at
        a time, the oldest, holds the room that there is until more comes: several would each hold
        a part of what the others need.
        """
        world = self.world
        groups: list[tuple[float, int, list[tuple[Machine, Room]], str | None]] = []
        for zone in (world.facts.zones if spec.one_zone else [None]):
            rows = [(m, free) for m, free in ready if zone in (None, m.zone)]
            counts = [(times(free, spec), spec.image in m.images) for m, free in rows]
            groups.append((sum(count for count, held in counts if held) + world.rng.random(),
                           sum(count for count, _ in counts), rows, zone))
        enough = [group for group in groups if group[1] >= spec.tasks]
        if enough:
            _, _, rows, _ = max(enough, key=lambda group: min(group[0], spec.tasks))
            self._reserve(job, self._best(job, spec, rows, spec.tasks))
            return
        groups.sort(key=lambda group: -group[1])
        if world.now >= max(state.next_wide, state.preempt_at):
            state.next_wide = world.now + constants.WIDE_S
            for _, there, rows, zone in groups:
                names = {m.name for m, _ in rows}
                fitting = [m for m in world.machines.values()
                           if zone in (None, m.zone) and m.name not in names
                           and usable(world, m) and allowed(m)]
                if self._make_room(job, spec, state, fitting, spec.tasks - there, math.inf):
                    self._reserve(job, self._best(job, spec, rows, there))
                    return
        waiting = self.open.get(self.gathering)
        if waiting is None or waiting.next_sample == math.inf:
            self.gathering = job.id
        if self.gathering == job.id:
            _, there, rows, _ = groups[0]
            self._reserve(job, self._best(job, spec, rows, there))

    def _make_room(self, job: Job, spec: JobSpec, state: Open, fitting: list[Machine],
                   wanted: int, most: float) -> int:
        """Ask the keepers of as many machines as tasks wait to stop work of less right, where
        that costs less than `most` seconds; return how many were asked. For a gang, all its
        tasks must find room so."""
        world = self.world
        if world.now < state.preempt_at:
            return 0
        used = teams.usage(world)
        rows = []
        for machine in fitting:
            found = victims(world, machine, job, spec, used)
            if found is not None:
                cost = found[0] + fetch_s(world, spec, machine)
                if cost < most:
                    rows.append((cost, world.rng.random(), machine))
        rows.sort(key=lambda row: row[:2])
        if spec.kind == "gang" and len(rows) < wanted:
            return 0
        for _, _, machine in rows[:wanted]:
            state.preempt_at = world.now + constants.PREEMPT_S
            world.emit("send", machine.keeper, ("reserve", machine.name, job.id, 1, True))
        return len(rows[:wanted])

    def _worth_s(self, spec: JobSpec, machine: Machine) -> float:
        """Return the lost work that is worth sparing a job the fetch on a machine: the fetch, and
        more if only without it an aim for starting this class can be met."""
        fetch = fetch_s(self.world, spec, machine)
        slow = fetch * constants.FETCH_SPREAD
        if any(within < slow for within in self.world.wait_aims.get(spec.lane, ())):
            return fetch + constants.AIM_WORTH_S
        return fetch

    def _best(self, job: Job, spec: JobSpec, ready: list[tuple[Machine, Room]],
              count: int) -> dict[str, int]:
        """Choose among machines with room: image held, spot if allowed, fullest; chance decides
        between equals."""
        rows = [(self._preference(job, spec, machine, free), self.world.rng.random(), machine.name,
                 free) for machine, free in ready]
        rows.sort(key=lambda row: row[:3])
        chosen: dict[str, int] = {}
        for _, _, name, free in rows:
            if count <= 0:
                break
            chosen[name] = min(count, times(free, spec))
            count -= chosen[name]
        return chosen

    def _preference(self, job: Job, spec: JobSpec, machine: Machine, free: Room) -> tuple:
        """Return what orders machines for a task: for one without GPUs, CPUs that the free GPUs
        can spare; image held, no other fetch under way where either is urgent (they would share
        the rate), spot if allowed, fullest. Spot machines are cheaper, but what needs no GPU takes
        what is left over on any, and may be lost with them."""
        kind = self.world.types[machine.type]
        urgent = job.priority >= constants.URGENT
        left = max(free[0] / kind.cpus, free[1] / (kind.gpus or 1.0))
        missing = spec.image not in machine.images
        fetching = missing and any(
            state[0] == "fetching" and (urgent or self._urgent(task[0]))
            for task, state in machine.tasks.items())
        dearer = spec.spot and not machine.spot if spec.gpus else machine.spot
        return (strands(spec, kind, free), missing, fetching, dearer,
                machine.idle_since is not None, left)

    def _urgent(self, task: str) -> bool:
        job = self.world.replica.jobs.get(task.partition("/")[0])
        return job is not None and job.spec is not None and job.priority >= constants.URGENT

    def _reserve(self, job: Job, chosen: dict[str, int]) -> None:
        for name, number in chosen.items():
            self.world.emit("send", self.world.machines[name].keeper,
                            ("reserve", name, job.id, number))

    # --- offers ---

    def offer(self, name: str, job_id: str, offer_id: int, session: int, term: int,
              keeper: str) -> None:
        """Bind a task to offered room, or decline."""
        world = self.world
        job = world.replica.jobs.get(job_id)
        machine = world.machines.get(name)
        state = self.open.get(job_id)
        if (job is None or job.spec is None or state is None or machine is None or job.final
                or not job.ready or not self.owns(job) or machine.session != session
                or world.now < state.retry_at or not usable(world, machine)
                or name in state.avoid or not world.fits(job.spec, machine)
                or job_id in self.keeper.cancelled
                or job_id in self.finish or not self._take_offer(
                    job, job.spec, state, machine, (world.now, name, offer_id, session, term,
                                                    keeper, machine.zone))):
            world.emit("send", keeper, ("decline", name, offer_id))

    def _take_offer(self, job: Job, spec: JobSpec, state: Open, machine: Machine,
                    offer: tuple) -> bool:
        gang = spec.joint
        bound = self._bindings(job)
        if gang and bound:
            return False
        if self._beyond_limit(job, spec, spec.tasks if gang else 1):
            return False
        if not gang:
            if (not zone_allowed(spec, [b.zone for b in bound], machine.zone)
                    or not self.unstarted(job)):
                return False
            state.offers.append(offer)
            return True
        state.offers = [o for o in state.offers
                        if o[0] + gather_s(spec) > self.world.now] + [offer]
        chosen = choose_gang(spec, state.offers)
        size = self.per_chunk
        if chosen is not None and all(
                self._holds(job, first // size, chosen[first:first + size])
                for first in range(0, spec.tasks, size)):
            spare = [o for o in state.offers if o not in chosen]
            state.offers = spare
            self._release(state)
            self._bind(job, list(range(spec.tasks)), chosen)
        return True

    def _choose(self, job: Job, spec: JobSpec, state: Open) -> None:
        """Bind tasks to the best of the offers that came in; decline the others."""
        offers = [(self._preference(job, spec, machine, room(self.world, machine)), offer)
                  for offer in state.offers
                  if (machine := self.world.machines.get(offer[1])) is not None]
        # Offers of one machine stay together: its tasks share one fetch.
        offers.sort(key=lambda row: (row[0], row[1][1]))
        for _, offer in offers:
            zones = [b.zone for b in self._bindings(job)]
            if not zone_allowed(spec, zones, offer[6]):
                continue
            if self._beyond_limit(job, spec):
                break
            index = self._next_unstarted(job, state, offer)
            if index is None:
                break
            self._bind(job, [index], [offer])
            state.offers.remove(offer)
        self._release(state)

    def _release(self, state: Open) -> None:
        for offer in state.offers:
            self.world.emit("send", offer[5], ("decline", offer[1], offer[2]))
        state.offers = []

    def _bind(self, job: Job, indexes: list[int], offers: list[tuple]) -> None:
        """Bind tasks to offered room. Guards against too_early: no other place writes a binding,
        and none is written before the record of every job that this one needs is done."""
        if not job.ready:
            return
        attempt = self._next_attempt(job)
        for index, offer in zip(indexes, offers, strict=True):
            _, name, _, session, term, _, zone = offer
            chunk = self._edit(job, index // self.per_chunk)
            chunk.last = attempt
            chunk.bound[index] = Binding(attempt, name, session, term, zone)
            event("bind", task=f"{job.id}/{index}", attempt=attempt, machine=name)

    # --- proof that tasks are gone ---

    def machine_changed(self, name: str) -> None:
        """Go through our bindings on a machine whose news changed."""
        world = self.world
        bound = world.replica.by_machine.get(name)
        if not bound:
            return
        machine = world.machines.get(name)
        shown = self.keeper.shown(machine) if machine is not None else {}
        for (job_id, index), binding in list(bound.items()):
            job = world.replica.jobs.get(job_id)
            if job is None or not self.owns(job):
                continue
            number = index // self.per_chunk
            current = self._chunk(job, number).bound.get(index)
            if current is None or current.attempt != binding.attempt:
                continue
            task = (f"{job_id}/{index}", binding.attempt)
            proof = gone(world, machine, task, binding, shown)
            if proof is not None:
                self._unbind(job, index, current, *proof)
            elif (machine is not None and machine.notice_at is not None and job.spec is not None
                    and job.spec.joint and job.spec.checkpoint_s
                    and shown.get(task, ("",))[0] == "running"):
                # The cloud takes this machine: the gang saves while all its tasks still can.
                self._stop_rest(job, job.spec, binding.attempt)

    def _unbind(self, job: Job, index: int, binding: Binding, why: str, saved: bool) -> None:
        world = self.world
        number, bit = divmod(index, self.per_chunk)
        # Starts go first; the ends of an array's tasks wait a little for one another.
        lazy = why == "done" and job.spec is not None and job.spec.kind == "array"
        chunk = self._edit(job, number, world.now + (self.coalesce_s if lazy else 0.0))
        del chunk.bound[index]
        event("unbind", task=f"{job.id}/{index}", attempt=binding.attempt,
              machine=binding.machine, why=why, saved=int(saved))
        state = self.open.get(job.id)
        spec = job.spec
        if spec is None or job.final:
            return
        if why == "done" and spec.kind != "service":
            if spec.kind == "gang":  # the tasks of a gang complete together
                for other in range(spec.tasks):
                    part = self._edit(job, other // self.per_chunk)
                    part.done |= 1 << other % self.per_chunk
            else:
                chunk.done |= 1 << bit
            if sum(c.done.bit_count() for c in self._chunks(job)) >= spec.tasks:
                self.finish[job.id] = None
                self._edit(job, number, world.now)
        elif spec.kind == "gang":
            self._stop_rest(job, spec, binding.attempt)
        if state is not None:
            state.next_sample = 0.0
            state.cursor = min(state.cursor, index)
            if why == "error":
                state.failures += 1
                state.avoid.add(binding.machine)
                if len(state.avoid) > max(1, len(world.machines) // 2):
                    state.avoid.clear()
                pause = min(constants.RETRY_FIRST_S * 2 ** (state.failures - 1),
                            constants.RETRY_MOST_S)
                state.retry_at = world.now + (pause if state.failures > 1 else 0.0)
            elif why in ("unknown", "busy", "no_room"):
                state.retry_at = world.now + constants.RETRY_FIRST_S

    def _stop_rest(self, job: Job, spec: JobSpec, attempt: int) -> None:
        """Stop what is left of a gang's attempt that lost a task."""
        for index in range(spec.tasks):
            number = index // self.per_chunk
            binding = self._chunk(job, number).bound.get(index)
            if binding is not None and binding.attempt == attempt and not binding.stop:
                self._edit(job, number).bound[index] = binding._replace(stop=True)

    # --- writing ---

    def flush(self) -> None:
        """Write changed chunks, many to a transaction, each job in at most one at a time."""
        world = self.world
        if (world.now < self.write_after or not self.dirty
                or self.in_flight >= constants.WRITES_IN_FLIGHT):
            return
        guards: dict[str, int] = {}
        writes: list[tuple] = []
        sent: list[tuple[str, int, Chunk]] = []
        jobs_in: dict[str, str] = {}
        form, limit = self._form(), self._limit()
        by_job: dict[str, list[int]] = {}
        due: dict[str, float] = {}
        for (job_id, number), at in self.dirty.items():
            by_job.setdefault(job_id, []).append(number)
            due[job_id] = min(at, due.get(job_id, math.inf))
        for job_id, numbers in sorted(by_job.items(), key=lambda row: due[row[0]]):
            if due[job_id] > world.now:
                break
            job = world.replica.jobs[job_id]
            if job_id in self.writing or job.team not in world.my_roles:
                continue
            if len(writes) + len(numbers) + 1 > self.most_writes:
                if writes:
                    continue
                numbers = numbers[: world.facts.state.least.txn_ops - 1]
            values = {number: self.work[job_id][number].to_value(form) for number in numbers}
            numbers = [n for n in numbers if not self._too_large(job_id, n, values[n], limit)]
            if not numbers:
                continue
            finishing = job_id in self.finish and not job.final and len(numbers) == len(
                by_job[job_id])
            guards[role_key(job.team)] = world.my_roles[job.team]
            guards[job_key(job_id)] = job.stamp
            jobs_in[job_id] = "done" if finishing else ""
            if finishing:
                spec = job.spec if self._bindings(job) else None
                writes.append((job_key(job_id),
                               job_value("done", job.team, spec, job.order, job.tasks), None))
            for number in numbers:
                chunk = self.work[job_id][number]
                key = chunk_key(job_id, number)
                old = job.chunks.get(number)
                guards[key] = old.stamp if old is not None else 0
                sent.append((job_id, number, chunk.copy()))
                if (job.final or finishing) and not chunk.bound:
                    if old is not None:
                        writes.append((key,))
                else:
                    writes.append((key, values[number], None))
                del self.dirty[(job_id, number)]
        if not sent:
            return
        if not writes:
            for job_id, number, _ in sent:
                self._settled(job_id, number)
            return
        self.writing.update(jobs_in)
        self.in_flight += 1
        world.call(lambda status, result: self._written(writes, sent, jobs_in, status, result),
                   "txn", list(guards.items()), writes, 1)

    def _too_large(self, job_id: str, number: int, value: list, limit: int) -> bool:
        """Whether a record has outgrown the limit; it is written once more of its tasks ended."""
        chunk = self.work[job_id][number]
        if len(chunk.bound) * constants.BINDING_BYTES <= limit or value_bytes(value) <= limit:
            return False
        key = chunk_key(job_id, number)
        if key not in self.outgrown:
            self.outgrown.add(key)
            log.error("event=record_too_large key=%s bytes=%s limit=%s", key, value_bytes(value),
                      limit)
        self.dirty[(job_id, number)] = self.world.now + constants.RETRY_MOST_S
        return True

    def _written(self, writes: list[tuple], sent: list, jobs_in: dict[str, str], status: int,
                 result: Any) -> None:
        world = self.world
        self.writing.difference_update(jobs_in)
        self.in_flight -= 1
        if status == 200:
            for write in writes:
                world.replica.apply(write[0], write[1] if len(write) > 1 else None, result[0])
            for job_id, state in jobs_in.items():
                if state == "done":
                    self.finish.pop(job_id, None)
                    event("job_done", job=job_id)
            for job_id, number, _ in sent:
                if (job_id, number) not in self.dirty:
                    self._settled(job_id, number)
            return
        # Not written, or not known to be: the same again, guarded by the newest stamps. A late
        # twin then fails, since each successful write moves the stamps that guard it.
        for job_id, number, _ in sent:
            if number in self.work.get(job_id, ()):
                self.dirty.setdefault((job_id, number), 0.0)
        self.write_after = world.now + constants.BACKOFF_FIRST_S
        if status == 400:
            # Certainly not written, and never will be as it is: the limits have fallen.
            self.refused = True
            self.write_after = world.now + constants.BACKOFF_MOST_S
            return
        if status == 409 and result is not None:
            for key in result[1]:
                world.call(lambda s, r, key=key: self._reread(key, s, r), "get", key, 1)
        elif status != 503:  # 503: certainly not written
            event("write_unsure", status=status, jobs=len(jobs_in))
            for write in writes:
                world.call(lambda s, r, key=write[0]: self._reread(key, s, r), "get", write[0], 1)

    def _reread(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.world.replica.apply(key, *result)
        elif status == 404 and result is not None:
            self.world.replica.apply(key, None, result[1])


def fetch_s(world: World, spec: JobSpec, machine: Machine) -> float:
    """Return the seconds until a machine has the job's image, as far as we know."""
    return 0.0 if spec.image in machine.images else world.fetch_s(spec, machine.type)


def strands(spec: JobSpec, kind: MachineType, free: Room) -> bool:
    """Whether a task without GPUs would take CPUs that a machine's free GPUs need, by the share
    that falls to each."""
    return (not spec.gpus and free[1] > constants.EPSILON
            and (free[0] - spec.cpus) * kind.gpus < free[1] * kind.cpus - constants.EPSILON)


def zone_allowed(spec: JobSpec, zones: list[str], zone: str) -> bool:
    """Whether one more task may start in a zone, given where the job's others may be."""
    if spec.one_zone and any(other != zone for other in zones):
        return False
    return not spec.spread or zones.count(zone) + 1 <= math.ceil(spec.tasks / 2)


def choose_gang(spec: JobSpec, offers: list[tuple]) -> list[tuple] | None:
    """Return offers for all tasks of a gang that keep its constraints, or None."""
    groups = [offers]
    if spec.one_zone:
        groups = [[o for o in offers if o[6] == zone] for zone in {o[6] for o in offers}]
    for group in groups:
        chosen: list[tuple] = []
        for offer in group:
            if len(chosen) < spec.tasks and zone_allowed(spec, [o[6] for o in chosen], offer[6]):
                chosen.append(offer)
        if len(chosen) == spec.tasks:
            return chosen
    return None
