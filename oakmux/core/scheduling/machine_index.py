"""Index of machines by free capacity, updated after changes.

Batch sampling draws machines from the index; how many depends on the job and not on the size of
the fleet. Sets of machines are bitmaps over small integer ids. A machine is reclassified only
after its heartbeat, its bindings or its images change.
"""

import math
import random
from collections.abc import Callable, Collection, Hashable, Iterable, Iterator
from typing import NamedTuple, TypeVar

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.capacity import free_resources, is_schedulable
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, task_capacity
from oakmux.core.state.records import Job

KeyT = TypeVar("KeyT", bound=Hashable)

ClassRank = tuple[bool, int, bool, float]
"""Sort key of capacity classes for a task, the lowest first; see `MachineIndex._class_rank`."""

AvailableResources = Callable[[Machine, Resources], Resources]
"""Returns the part of a machine's free resources that a job may use."""


class CapacityClass(NamedTuple):
    """Machines that are alike for sampling.

    `gpus` is the number of whole free GPUs. The levels are the free shares of CPUs and of memory,
    in steps of 1 / CAPACITY_LEVELS, rounded down. `idle` machines run nothing.
    """

    type: str
    zone: str
    spot: bool
    gpus: int
    cpu_level: int
    memory_level: int
    idle: bool

    @property
    def level(self) -> int:
        """The free share of the scarcer of CPUs and memory."""
        return min(self.cpu_level, self.memory_level)

    @property
    def kind(self) -> InstanceKind:
        """The type, zone and spot flag."""
        return InstanceKind(self.type, self.zone, self.spot)

    def has_more_than(self, other: "CapacityClass") -> bool:
        """Whether more of any resource is free than in another class."""
        return (
            self.gpus > other.gpus
            or self.cpu_level > other.cpu_level
            or self.memory_level > other.memory_level
        )


class OrderKey(NamedTuple):
    """The fields of a job that decide the order of classes to draw from."""

    types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


class PreemptibleWork(NamedTuple):
    """Priorities and teams of the tasks on a machine that may be preempted at all."""

    priorities: set[int]
    teams: set[str]


class SampledMachine(NamedTuple):
    """A machine that was drawn, its available resources, and whether it holds the job's image."""

    machine: Machine
    free: Resources
    has_image: bool


def capacity_class(
    kind: MachineType, zone: str, spot: bool, free: Resources, idle: bool
) -> CapacityClass:
    """Return the class of a machine with these free resources."""
    return CapacityClass(
        kind.name,
        zone,
        spot,
        math.floor(free.gpus + constants.EPSILON),
        free_level(free.cpus / kind.cpus),
        free_level(free.memory_gb / kind.memory_gb),
        idle,
    )


def free_level(share: float) -> int:
    """Return a free share in steps of 1 / CAPACITY_LEVELS, rounded down."""
    return math.floor(share * constants.CAPACITY_LEVELS + constants.EPSILON)


def required_level(share: float) -> int:
    """Return a required share in steps of 1 / CAPACITY_LEVELS, rounded up."""
    return math.ceil(share * constants.CAPACITY_LEVELS - constants.EPSILON)


def may_fit(spec: JobSpec, kind: MachineType, capacity: CapacityClass) -> bool:
    """Whether a machine of a class may have capacity for a task; if not, none has.

    CPUs and memory are compared separately. If only the scarcer counted, more machines without
    free CPUs than a draw looks at could hide all machines that have capacity.
    """
    return (
        spec.gpus < capacity.gpus + 1
        and spec.cpus / kind.cpus * constants.CAPACITY_LEVELS < capacity.cpu_level + 1
        and spec.memory_gb / kind.memory_gb * constants.CAPACITY_LEVELS < capacity.memory_level + 1
    )


def sample_members(rng: random.Random, ids: BitMap, count: int) -> list[int]:
    """Return up to `count` members of a set, in random order."""
    size = len(ids)
    return [ids[position] for position in rng.sample(range(size), min(size, count))]


class MachineIndex:
    """Sets of machines by the properties that batch sampling and preemption look for."""

    def __init__(self, context: Context) -> None:
        self.context = context
        # Machines have small integer ids; the ids of removed machines are reused.
        self.ids: dict[str, int] = {}
        self.machines: list[Machine | None] = []
        self.free_ids: list[int] = []
        self.classes: dict[CapacityClass, BitMap] = {}
        self.kinds: dict[InstanceKind, BitMap] = {}
        self.image_holders: dict[str, BitMap] = {}
        # Machines with work that may be preempted, by the work's priority and by its team.
        self.preemptible_by_priority: dict[int, BitMap] = {}
        self.preemptible_by_team: dict[str, BitMap] = {}
        # The reverse, by machine id: its class, its images, and its preemptible work.
        self.class_of: dict[int, CapacityClass] = {}
        self.images_of: dict[int, set[str]] = {}
        self.preemptible_of: dict[int, PreemptibleWork] = {}
        # Cached orders of classes to draw from, valid until the classes or machine types change.
        self.class_orders: dict[OrderKey, list[CapacityClass]] = {}
        self.types = context.types
        # Classes that machines have entered by gaining capacity since the sampler's last reset.
        self.gained_classes: set[CapacityClass] = set()

    # --- updates ---

    def refresh(self) -> None:
        """Reclassify the machines that changed."""
        if self.types is not self.context.types:
            self.types = self.context.types
            self.class_orders.clear()
        stale, self.context.replica.changes.stale_machines = (
            self.context.replica.changes.stale_machines,
            set(),
        )
        for name in stale:
            machine = self.context.machines.get(name)
            if machine is None or machine.type not in self.context.types:
                self._remove(name)
            else:
                self._update(machine)

    def _remove(self, name: str) -> None:
        """Remove a machine and free its id."""
        machine_id = self.ids.pop(name, None)
        if machine_id is not None:
            self._withdraw(machine_id)
            self._update_images(machine_id, set())
            self.machines[machine_id] = None
            self.free_ids.append(machine_id)

    def _machine_id(self, machine: Machine) -> int:
        """Return a machine's id; assign one to a new machine."""
        machine_id = self.ids.get(machine.name)
        if machine_id is None:
            if self.free_ids:
                machine_id = self.free_ids.pop()
            else:
                machine_id = len(self.machines)
                self.machines.append(None)
            self.ids[machine.name] = machine_id
        self.machines[machine_id] = machine
        return machine_id

    def _update(self, machine: Machine) -> None:
        machine_id = self._machine_id(machine)
        self._update_images(machine_id, set(machine.images))
        if not is_schedulable(self.context, machine):
            self._withdraw(machine_id)
            self.context.unresponsive.add(machine.name)
            return
        self._update_preemptible(machine_id, machine)
        self._update_class(machine_id, machine)

    def _update_class(self, machine_id: int, machine: Machine) -> None:
        new = capacity_class(
            self.context.types[machine.type],
            machine.zone,
            machine.spot,
            free_resources(self.context, machine),
            machine.idle_since is not None,
        )
        old = self.class_of.get(machine_id)
        if old == new:
            return
        if old is not None:
            self._leave_class(machine_id, old)
        if old is None or new.has_more_than(old):
            self.gained_classes.add(new)
        self.class_of[machine_id] = new
        members = self.classes.get(new)
        if members is None:
            members = self.classes[new] = BitMap()
            self.class_orders.clear()
        members.add(machine_id)
        self.kinds.setdefault(new.kind, BitMap()).add(machine_id)

    def _leave_class(self, machine_id: int, old: CapacityClass) -> None:
        members = self.classes[old]
        members.discard(machine_id)
        if not members:
            del self.classes[old]
            self.class_orders.clear()
        self.kinds[old.kind].discard(machine_id)

    def _withdraw(self, machine_id: int) -> None:
        """Remove a machine from the sets that are used for draws and preemption."""
        old = self.class_of.pop(machine_id, None)
        if old is not None:
            self._leave_class(machine_id, old)
        work = self.preemptible_of.pop(machine_id, None)
        if work is not None:
            _discard(self.preemptible_by_priority, work.priorities, machine_id)
            _discard(self.preemptible_by_team, work.teams, machine_id)

    def _update_images(self, machine_id: int, images: set[str]) -> None:
        old = self.images_of.get(machine_id, set())
        if old != images:
            _discard(self.image_holders, old - images, machine_id)
            _add(self.image_holders, images - old, machine_id)
            self.images_of[machine_id] = images

    def _update_preemptible(self, machine_id: int, machine: Machine) -> None:
        """Record which work on a machine may be preempted at all."""
        work = self._preemptible_work(machine)
        old = self.preemptible_of.get(machine_id)
        if old == work:
            return
        old = old or PreemptibleWork(set(), set())
        _discard(self.preemptible_by_priority, old.priorities - work.priorities, machine_id)
        _discard(self.preemptible_by_team, old.teams - work.teams, machine_id)
        _add(self.preemptible_by_priority, work.priorities - old.priorities, machine_id)
        _add(self.preemptible_by_team, work.teams - old.teams, machine_id)
        self.preemptible_of[machine_id] = work

    def _preemptible_work(self, machine: Machine) -> PreemptibleWork:
        replica = self.context.replica
        work = PreemptibleWork(set(), set())
        for job_id, _ in replica.bindings.by_machine.get(machine.name, ()):
            job = replica.jobs.get(job_id)
            if (
                job is not None
                and job.spec is not None
                and job.spec.kind != "service"
                and not job.spec.gang_scheduled
            ):
                work.priorities.add(job.priority)
                work.teams.add(job.team)
        return work

    # --- draws ---

    def _class_order(self, spec: JobSpec) -> list[CapacityClass]:
        """Return the classes that may fit a task, the best first.

        The order prefers the cheaper of spot and on-demand for the job, then machines in use, then
        the fullest machines.
        """
        key = OrderKey(
            None if spec.types is None else tuple(spec.types),
            spec.zone,
            spec.spot,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
        )
        order = self.class_orders.get(key)
        if order is None:
            if len(self.class_orders) >= constants.MAX_CACHE_ENTRIES:
                self.class_orders.clear()
            ranked = [
                (rank, capacity)
                for capacity in self.classes
                if (rank := self._class_rank(spec, capacity)) is not None
            ]
            ranked.sort()
            order = self.class_orders[key] = [capacity for _, capacity in ranked]
        return order

    def _class_rank(self, spec: JobSpec, capacity: CapacityClass) -> ClassRank | None:
        """Return the rank of a class for a task, or None if the task never fits it.

        The rank compares in this order: whether the class's machines cost more than others, how
        many GPUs a task without GPUs would leave unused, whether the machines are idle, and which
        share of them is free.
        """
        kind = self.context.types.get(capacity.type)
        if (
            kind is None
            or not self.context.fits_type(spec, capacity.type)
            or spec.zone not in (None, capacity.zone)
            or (capacity.spot and not spec.spot)
            or not may_fit(spec, kind, capacity)
        ):
            return None
        return (
            not capacity.spot if spec.gpus else capacity.spot,
            0 if spec.gpus else capacity.gpus,
            capacity.idle,
            max(capacity.gpus / (kind.gpus or 1.0), capacity.level / constants.CAPACITY_LEVELS),
        )

    def draw(
        self,
        spec: JobSpec,
        zones: Collection[str],
        excluded: Collection[str],
        wanted: int,
        available: AvailableResources | None = None,
    ) -> list[SampledMachine]:
        """Draw machines at random with capacity for `wanted` tasks and some more.

        Machines that hold the image come before all others, better classes before worse ones.
        `available` may reduce a machine's free resources by capacity promised to other jobs.
        """
        missing = wanted * constants.SAMPLE_RATIO + constants.SAMPLE_EXTRA_TASKS
        probes_left = constants.SAMPLE_EXTRA_MACHINES + math.ceil(missing)
        drawn: list[SampledMachine] = []
        for members, has_image in self._member_sets(spec, zones):
            for machine_id in sample_members(self.context.rng, members, probes_left):
                probes_left -= 1
                machine = self._schedulable(machine_id)
                if machine is None or machine.name in excluded:
                    continue
                free = free_resources(self.context, machine)
                if available is not None:
                    free = available(machine, free)
                count = task_capacity(free, spec)
                if count:
                    drawn.append(SampledMachine(machine, free, has_image))
                    missing -= count
                    if missing <= 0:
                        return drawn
            if probes_left <= 0:
                return drawn
        return drawn

    def _member_sets(self, spec: JobSpec, zones: Collection[str]) -> Iterator[tuple[BitMap, bool]]:
        """Yield the sets to draw from in order, and whether their machines hold the image.

        Each set is read only when it is reached, since the draw may withdraw machines meanwhile.
        """
        holders = self.image_holders.get(spec.image)
        for has_image in (True, False) if holders is not None else (False,):
            for capacity in self._class_order(spec):
                members = self.classes.get(capacity)
                if members is None or capacity.zone not in zones:
                    continue
                if holders is not None:
                    members = members & holders if has_image else members - holders
                yield members, has_image

    def _schedulable(self, machine_id: int) -> Machine | None:
        """Return a machine, or None if it is not schedulable any more.

        A machine that is not schedulable is withdrawn until its next heartbeat.
        """
        machine = self.machines[machine_id]
        if machine is not None and not is_schedulable(self.context, machine):
            self._withdraw(machine_id)
            self.context.unresponsive.add(machine.name)
            return None
        return machine

    def feasible(self, spec: JobSpec, zones: Collection[str]) -> BitMap:
        """Return the machines that satisfy a job's constraints, including full machines."""
        return BitMap.union(
            BitMap(),
            *(
                members
                for (type_name, zone, spot), members in self.kinds.items()
                if zone in zones
                and spec.zone in (None, zone)
                and (spec.spot or not spot)
                and self.context.fits_type(spec, type_name)
            ),
        )

    def feasible_with_image(self, spec: JobSpec, zones: Collection[str]) -> BitMap:
        """Return the machines that satisfy a job's constraints and hold its image."""
        holders = self.image_holders.get(spec.image)
        return BitMap() if holders is None else holders & self.feasible(spec, zones)

    def preemptible(self, job: Job, over_guarantee: Iterable[str]) -> BitMap:
        """Return the machines with work that a job may preempt.

        That is work of lower priority, or of the teams in `over_guarantee`.
        """
        return BitMap.union(
            BitMap(),
            *(
                ids
                for priority, ids in self.preemptible_by_priority.items()
                if priority < job.priority
            ),
            *(
                self.preemptible_by_team[team]
                for team in over_guarantee
                if team in self.preemptible_by_team
            ),
        )

    def capacity_released(self, names: Iterable[str]) -> None:
        """Record that machines gained capacity because claims on them have ended."""
        for machine_id in self.bitmap(names):
            if machine_id in self.class_of:
                self.gained_classes.add(self.class_of[machine_id])

    def bitmap(self, names: Iterable[str]) -> BitMap:
        """Return a set of machine names as a bitmap."""
        return BitMap(self.ids[name] for name in names if name in self.ids)

    def sample(self, ids: BitMap, count: int, excluded: Collection[str] = ()) -> list[Machine]:
        """Return up to `count` schedulable machines of a set, in random order."""
        return [
            machine
            for machine_id in sample_members(self.context.rng, ids, count)
            if (machine := self._schedulable(machine_id)) is not None
            and machine.name not in excluded
        ]


def _add(sets: dict[KeyT, BitMap], keys: Iterable[KeyT], machine_id: int) -> None:
    """Add a machine to the sets under these keys."""
    for key in keys:
        sets.setdefault(key, BitMap()).add(machine_id)


def _discard(sets: dict[KeyT, BitMap], keys: Iterable[KeyT], machine_id: int) -> None:
    """Remove a machine from the sets under these keys; delete sets that become empty."""
    for key in keys:
        members = sets[key]
        members.discard(machine_id)
        if not members:
            del sets[key]
