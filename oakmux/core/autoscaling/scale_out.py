"""What to rent: unstarted tasks are placed on what is there or coming, and the rest rented for."""

import heapq
from collections import Counter
from collections.abc import Callable
from typing import Any

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import (
    Resources,
    counts_as_capacity,
    fits_resources,
    free_resources,
    is_full,
    subtract,
    task_capacity,
)
from oakmux.core.agents.reservation_queue import queue_rank
from oakmux.core.autoscaling.instance_inventory import Instance, InstanceInventory
from oakmux.core.context import Context, event
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.machine_index import CapacityClass, capacity_class, may_fit
from oakmux.core.scheduling.pending_queues import PendingQueues, Shape
from oakmux.core.scheduling.placement import zone_allowed
from oakmux.wire import JobSpec

Key = tuple[str, str, bool]
"""What is rented: type, zone, spot."""


class Slot:
    """Room on a machine that is up, on its way, or to be rented."""

    __slots__ = ("name", "type", "zone", "spot", "free", "team_usage", "coming")

    def __init__(
        self,
        name: str,
        type_name: str,
        zone: str,
        spot: bool,
        free: Resources,
        coming: bool = True,
    ) -> None:
        self.name = name
        self.type = type_name
        self.zone = zone
        self.spot = spot
        self.free = free
        self.team_usage = False
        self.coming = coming


class Pool:
    """Slots by what tells them apart, so that a task finds one without a look at all."""

    def __init__(self, context: Context, slots: list[Slot]) -> None:
        self.context = context
        self.classes: dict[CapacityClass, list[Slot]] = {}
        for slot in slots:
            self.add(slot)

    def add(self, slot: Slot) -> None:
        """Put a slot where its room says; one without room is left out."""
        if not is_full(self.context, slot.free):
            kind = self.context.types[slot.type]
            self.classes.setdefault(
                capacity_class(kind, slot.zone, slot.spot, slot.free, slot.coming), []
            ).append(slot)

    def order(self, spec: JobSpec, zones: list[str]) -> list[CapacityClass]:
        """Return the classes where a task may find room in these zones, the best first: spot
        where the job may use it and needs GPUs, those that are up, fullest."""
        rows = []
        for place in self.classes:
            kind = self.context.types[place.type]
            if (
                place.zone in zones
                and (spec.spot or not place.spot)
                and may_fit(spec, kind, place)
                and self.context.fits_type(spec, place.type)
            ):
                # Free GPUs, and the CPUs that they need, are left to work that needs them.
                rows.append(
                    (
                        spec.spot and not place.spot if spec.gpus else place.gpus,
                        place.idle,
                        place.gpus,
                        place.level,
                        place,
                    )
                )
        rows.sort()
        return [row[-1] for row in rows]

    def estimate(self, spec: JobSpec, place: CapacityClass) -> int:
        """Return how many tasks of a job find room in a class, at least."""
        kind = self.context.types[place.type]
        cpus = place.cpu_level / constants.ROOM_LEVELS * kind.cpus
        memory_gb = place.memory_level / constants.ROOM_LEVELS * kind.memory_gb
        return len(self.classes[place]) * task_capacity((cpus, float(place.gpus), memory_gb), spec)

    def visit(self, place: CapacityClass, fill: Callable[[Slot], bool]) -> bool:
        """Hand out the slots of a class until `fill` says that it has enough; return that. Each
        goes back to where its room then belongs."""
        slots = self.classes.pop(place)
        kept: list[Slot] = []
        enough = False
        while slots and not enough and len(kept) < constants.DRAW_LOOKS:
            slot = slots.pop()
            before = slot.free
            enough = fill(slot)
            if slot.free == before:
                kept.append(slot)
            else:
                self.add(slot)
        if slots or kept:
            self.classes.setdefault(place, []).extend(slots + kept)
        return enough


class ScaleOut:
    """Counts what is missing, and rents it."""

    def __init__(
        self, context: Context, cancellations: CancellationLog, inventory: InstanceInventory
    ) -> None:
        self.context = context
        self.cancellations = cancellations
        self.inventory = inventory
        self.no_capacity: dict[Key, float] = {}
        self.renting: dict[str, tuple[str, str, bool, int]] = {}
        self.requests = 0
        self.unplaced = False
        # Kinds of machines that came up late or never of late: others are rented where they do.
        self.troubled: set[Key] = set()
        self.machines_by_zone: Counter[str] = Counter()
        # Unfinished jobs of all teams that have tasks which are not bound, by the records.
        self.queues = PendingQueues(context)

    def on_role_acquired(self) -> None:
        """Begin to hold the role."""
        self.renting.clear()
        self.queues.clear()
        for job_id in self.context.replica.active:
            self.changed(job_id)

    def changed(self, job_id: str) -> None:
        """The records of a job changed."""
        job = self.context.replica.jobs.get(job_id)
        if (
            job is not None
            and job.spec is not None
            and not job.final
            and job.ready
            and job.unbound() > 0
        ):
            self.queues.put(job, job.spec)
        else:
            self.queues.drop(job_id)

    def _slots(self) -> list[Slot]:
        context = self.context
        slots = []
        unresponsive = context.facts.workers.lease_s
        for machine in context.machines.values():
            if (
                counts_as_capacity(context, machine)
                and context.now - machine.last_heartbeat_at < unresponsive
            ):
                slots.append(
                    Slot(
                        machine.name,
                        machine.type,
                        machine.zone,
                        machine.spot,
                        free_resources(context, machine),
                        False,
                    )
                )
        misses_objective: Counter[Key] = Counter()
        for name, known in self.inventory.instances.items():
            kind = context.types.get(known.type)
            if (
                name in context.machines
                or name in self.inventory.returned
                or kind is None
                or known.state == "failed"
                or context.now - known.since > constants.BOOT_PATIENCE * kind.boot_s
            ):
                continue
            if context.now - known.since > constants.BOOT_LATE * kind.boot_s:
                # Neither room nor nothing: all of them counted on, work waits for what never
                # comes; none, and a late hour rents everything twice.
                misses_objective[(known.type, known.zone, known.spot)] += 1
                if misses_objective.total() % 2:
                    continue
            slots.append(
                Slot(
                    name,
                    known.type,
                    known.zone,
                    known.spot,
                    (kind.cpus, kind.gpus, kind.memory_gb),
                )
            )
        self._note_boot_trouble(misses_objective)
        for type_name, zone, spot, plan in self.renting.values():
            kind = context.types[type_name]
            slots.extend(
                Slot("", type_name, zone, spot, (kind.cpus, kind.gpus, kind.memory_gb))
                for _ in range(plan)
            )
        return slots

    def _note_boot_trouble(self, misses_objective: Counter[Key]) -> None:
        """Note the kinds of machines that come up late or never, zone by zone, for a while."""
        inventory, now = self.inventory, self.context.now
        inventory.failed_boots = [
            row for row in inventory.failed_boots if now - row[0] < constants.BOOT_TROUBLE_S
        ]
        misses_objective.update(key for _, key in inventory.failed_boots)
        troubled = {
            key for key, plan in misses_objective.items() if plan >= constants.BOOT_TROUBLE
        }
        for key in troubled - self.troubled:
            event(
                "boot_trouble",
                type=key[0],
                zone=key[1],
                spot=int(key[2]),
                misses_objective=misses_objective[key],
            )
        self.troubled = troubled

    def plan(self) -> list[Slot]:
        """Place unstarted tasks on what is there or coming; rent for the rest."""
        context = self.context
        slots = self._slots()
        self.machines_by_zone = Counter(slot.zone for slot in slots)
        pool = Pool(context, slots)
        used = dict(quotas.usage(context))
        rent: dict[Key, int] = {}
        left = constants.DEMAND_TASKS
        self.unplaced = False
        self.queues.resize()
        self.queues.promote_starving()
        turns = [
            turn
            for shape in self.queues.by_shape
            if (turn := self._turn(shape, 0, used)) is not None
        ]
        heapq.heapify(turns)
        while turns and left > 0:
            _, _, job_id, shape, number = turns[0]
            job = context.replica.jobs[job_id]
            spec = job.spec
            assert spec is not None
            wanted = min(job.unbound(), left, quotas.tasks_left(context, job.team, spec, used))
            if context.failures.suspect(job):
                wanted = min(wanted, 1)  # it is tried one task at a time
            more = wanted > 0  # at its team's limit, no other of the line may start either
            if more and job_id not in self.cancellations.cancelled:
                zones = [b.zone for b in job.bindings()]
                placed, new = self._place(spec, zones, wanted, pool, rent)
                slots += new
                self.unplaced = (
                    self.unplaced or len(placed) < wanted or any(not slot.name for slot in placed)
                )
                for slot in placed:
                    slot.team_usage = True
                cpus, gpus = used.get(job.team, (0.0, 0.0))
                used[job.team] = (cpus + len(placed) * spec.cpus, gpus + len(placed) * spec.gpus)
                left -= len(placed)
                # Where nothing is left for one of a line, nothing is for those behind it.
                more = bool(placed) or bool(zones)
            turn = self._turn(shape, number + 1, used) if more else None
            if turn is None:
                heapq.heappop(turns)
            else:
                heapq.heapreplace(turns, turn)
        for key, plan in rent.items():
            while plan > 0:
                self._rent(*key, min(plan, constants.MAX_RENT))
                plan -= constants.MAX_RENT
        return slots

    def _turn(
        self, shape: Shape, number: int, used: dict[str, tuple[float, float]]
    ) -> tuple[tuple, float, str, Shape, int] | None:
        """Return the turn of a line's job: (rank, age, name, line, number in it), or None."""
        line = self.queues.by_shape[shape]
        if number >= len(line):
            return None
        *_, job_id = line[number]
        job = self.context.replica.jobs[job_id]
        assert job.spec is not None
        return queue_rank(self.context, job, job.spec, used), job.since, job_id, shape, number

    def _place(
        self, spec: JobSpec, zones: list[str], wanted: int, pool: Pool, rent: dict[Key, int]
    ) -> tuple[list[Slot], list[Slot]]:
        """Return a slot for each task that finds one, present ones first, and the new ones."""
        context = self.context
        zones = list(zones)
        allowed = context.facts.zones if spec.zone is None else [spec.zone]
        order = pool.order(spec, [z for z in allowed if zone_allowed(spec, zones, z)])
        if spec.one_zone and not zones:
            # All go to one zone: to where most of them find room already or can be rented for.
            room_in = Counter[str]()
            for place in order:
                room_in[place.zone] += pool.estimate(spec, place)
            allowed = [
                max(
                    allowed,
                    key=lambda zone: (
                        room_in[zone] >= wanted,
                        self._cheapest(spec, zones, [zone]) is not None,
                        room_in[zone],
                    ),
                )
            ]
            order = [place for place in order if place.zone in allowed]
        placed: list[Slot] = []
        new: list[Slot] = []
        for place in order:
            if pool.visit(place, lambda slot: self._fill(spec, slot, zones, placed, wanted)):
                break
        while len(placed) < wanted:
            key = self._cheapest(spec, zones, allowed)
            if key is None:
                break
            kind = context.types[key[0]]
            rent[key] = rent.get(key, 0) + 1
            self.machines_by_zone[key[1]] += 1
            slot = Slot("", *key, (kind.cpus, kind.gpus, kind.memory_gb))
            new.append(slot)
            self._fill(spec, slot, zones, placed, wanted)
            pool.add(slot)
        return placed, new

    def _fill(
        self, spec: JobSpec, slot: Slot, zones: list[str], placed: list[Slot], wanted: int
    ) -> bool:
        """Put as many tasks into a slot as it has room for; return whether all have one."""
        while (
            len(placed) < wanted
            and fits_resources(slot.free, spec)
            and zone_allowed(spec, zones, slot.zone)
        ):
            slot.free = subtract(slot.free, spec)
            zones.append(slot.zone)
            placed.append(slot)
        return len(placed) >= wanted

    def _cheapest(self, spec: JobSpec, zones: list[str], allowed: list[str]) -> Key | None:
        """Return the cheapest type, zone and kind to rent for a task, the emptier zone first."""
        context = self.context
        best = None
        for kind in context.types.values():
            if not context.fits_type(spec, kind.name):
                continue
            for zone in kind.zones:
                if zone not in allowed or not zone_allowed(spec, zones, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    key = (kind.name, zone, spot)
                    if self.no_capacity.get(key, 0.0) > context.now:
                        continue
                    price = kind.spot_price if spot else kind.price
                    row = (
                        key in self.troubled,
                        price,
                        self.machines_by_zone[zone],
                        context.rng.random(),
                        key,
                    )
                    if best is None or row < best:
                        best = row
        return None if best is None else best[4]

    def _rent(self, type_name: str, zone: str, spot: bool, plan: int) -> None:
        if self.context.now < self.inventory.cloud_after:
            return
        self.requests += 1
        # The name holds our life's term, so no controller and no life uses it again.
        name = f"oakmux-{self.context.incarnation}-{self.requests}"
        self.renting[name] = (type_name, zone, spot, plan)
        event("rent", request=name, type=type_name, zone=zone, spot=int(spot), plan=plan)
        self._ask(name, 1)

    def _ask(self, name: str, tries: int) -> None:
        type_name, zone, spot, plan = self.renting[name]
        self.context.call(
            lambda s, r: self._rented(name, tries, s, r),
            "cloud",
            "rent",
            name,
            type_name,
            zone,
            spot,
            plan,
        )

    def _rented(self, name: str, tries: int, status: int, result: Any) -> None:
        context = self.context
        wanted = self.renting.get(name)
        if wanted is None:
            return
        if status == 0 and tries < constants.RENT_TRIES:
            self._ask(name, tries + 1)  # repeating a name never rents twice
            return
        del self.renting[name]
        type_name, zone, spot, plan = wanted
        if status == 200:
            for machine in result:
                self.inventory.instances[machine] = Instance(
                    type_name, zone, spot, "booting", context.now
                )
            if len(result) < plan:
                self.no_capacity[(type_name, zone, spot)] = context.now + constants.NO_CAPACITY_S
        elif status == 503 and result == "no capacity":
            self.no_capacity[(type_name, zone, spot)] = context.now + constants.NO_CAPACITY_S
        else:
            self.inventory.cloud_after = context.now + constants.BACKOFF_MOST_S
        event("rented", request=name, status=status, got=len(result) if status == 200 else 0)
