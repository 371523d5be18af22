"""Which machines have room, by what tells them apart, kept up to date with what changes.

Sampling draws from here a number of machines that depends on the job, not on the fleet. Sets of
machines are bitmaps over small numbers; a machine's place is computed anew only after its report,
bindings or images changed.
"""

import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.capacity import free_resources, is_schedulable
from oakmux.core.context import Context, Machine
from oakmux.core.instances import InstanceKind
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, task_capacity
from oakmux.core.state.records import Job


class CapacityClass(NamedTuple):
    """Machines that are alike for sampling.

    `gpus` are whole GPUs free; the levels say which part of CPUs and of memory is free, in steps
    of 1 / ROOM_LEVELS; `idle` machines have nothing to do.
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
        """Which part is free of the scarcer of CPUs and memory."""
        return min(self.cpu_level, self.memory_level)

    def more_than(self, other: "CapacityClass") -> bool:
        """Whether it has more free of anything than another class."""
        return (
            self.gpus > other.gpus
            or self.cpu_level > other.cpu_level
            or self.memory_level > other.memory_level
        )


def capacity_class(
    kind: MachineType, zone: str, spot: bool, free: Resources, idle: bool
) -> CapacityClass:
    """Return the class of a machine with so much room."""
    return CapacityClass(
        kind.name,
        zone,
        spot,
        math.floor(free.gpus + constants.EPSILON),
        _level(free.cpus / kind.cpus),
        _level(free.memory_gb / kind.memory_gb),
        idle,
    )


def _level(part: float) -> int:
    """Return a free part as whole steps."""
    return math.floor(part * constants.ROOM_LEVELS + constants.EPSILON)


def may_fit(spec: JobSpec, kind: MachineType, place: CapacityClass) -> bool:
    """Whether a machine of a class may have room for a task; if not, none has.

    Both CPUs and memory are asked for: machines whose CPUs were all taken, more of them than a
    draw looks at, once hid all that had room.
    """
    return (
        spec.gpus < place.gpus + 1
        and spec.cpus / kind.cpus * constants.ROOM_LEVELS < place.cpu_level + 1
        and spec.memory_gb / kind.memory_gb * constants.ROOM_LEVELS < place.memory_level + 1
    )


class SampledMachine(NamedTuple):
    """A machine with room that was drawn, and whether it holds the job's image."""

    machine: Machine
    free: Resources
    held: bool


def pick(rng: random.Random, ids: BitMap, count: int) -> list[int]:
    """Return up to `count` members, at random and in random order."""
    have = len(ids)
    return [ids[i] for i in rng.sample(range(have), min(have, count))]


class MachineIndex:
    """Sets of machines for one controller."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.ids: dict[str, int] = {}
        self.machines: list[Machine | None] = []
        self.spare: list[int] = []
        self.classes: dict[CapacityClass, BitMap] = {}
        self.kinds: dict[InstanceKind, BitMap] = {}
        self.holders: dict[str, BitMap] = {}
        # Machines with work that may be stopped for others: by its priority, and by its team.
        self.weak: dict[int, BitMap] = {}
        self.teams: dict[str, BitMap] = {}
        # Where each machine stands: its class, its images, and what may be stopped on it.
        self.place: dict[int, CapacityClass] = {}
        self.images: dict[int, set[str]] = {}
        self.victims: dict[int, tuple[set[int], set[str]]] = {}
        # The classes where a task finds room, by what it needs, as long as neither these nor the
        # machine types change.
        self.orders: dict[tuple, list[CapacityClass]] = {}
        self.types = context.types
        # Classes that a machine with more room than before has come to, until somebody takes note.
        self.gained: set[CapacityClass] = set()

    # --- keeping up ---

    def refresh(self) -> None:
        """Find the place of every machine of which something changed."""
        if self.types is not self.context.types:
            self.types = self.context.types
            self.orders.clear()
        stale, self.context.replica.stale_machines = self.context.replica.stale_machines, set()
        for name in stale:
            machine = self.context.machines.get(name)
            if machine is None or machine.type not in self.context.types:
                self._drop(name)
            else:
                self._set(machine)

    def _drop(self, name: str) -> None:
        number = self.ids.pop(name, None)
        if number is not None:
            self._leave(number)
            self._hold(number, set())
            self.machines[number] = None
            self.spare.append(number)

    def _number(self, machine: Machine) -> int:
        number = self.ids.get(machine.name)
        if number is None:
            if self.spare:
                number = self.spare.pop()
            else:
                number = len(self.machines)
                self.machines.append(None)
            self.ids[machine.name] = number
        self.machines[number] = machine
        return number

    def _set(self, machine: Machine) -> None:
        number = self._number(machine)
        self._hold(number, set(machine.images))
        if not is_schedulable(self.context, machine):
            self._leave(number)
            self.context.unresponsive.add(machine.name)
            return
        place = capacity_class(
            self.context.types[machine.type],
            machine.zone,
            machine.spot,
            free_resources(self.context, machine),
            machine.idle_since is not None,
        )
        self._weigh(number, machine)
        old = self.place.get(number)
        if old == place:
            return
        if old is not None:
            self._take_out(number, old)
        if old is None or place.more_than(old):
            self.gained.add(place)
        self.place[number] = place
        members = self.classes.get(place)
        if members is None:
            members = self.classes[place] = BitMap()
            self.orders.clear()
        members.add(number)
        self.kinds.setdefault(InstanceKind(*place[:3]), BitMap()).add(number)

    def _take_out(self, number: int, place: CapacityClass) -> None:
        members = self.classes[place]
        members.discard(number)
        if not members:
            del self.classes[place]
            self.orders.clear()
        self.kinds[InstanceKind(*place[:3])].discard(number)

    def _leave(self, number: int) -> None:
        """Take a machine out of all that may be drawn from."""
        place = self.place.pop(number, None)
        if place is not None:
            self._take_out(number, place)
        priorities, teams = self.victims.pop(number, (set(), set()))
        _discard(self.weak, priorities, number)
        _discard(self.teams, teams, number)

    def _hold(self, number: int, images: set[str]) -> None:
        old = self.images.get(number, set())
        if old != images:
            _discard(self.holders, old - images, number)
            for image in images - old:
                self.holders.setdefault(image, BitMap()).add(number)
            self.images[number] = images

    def _weigh(self, number: int, machine: Machine) -> None:
        """Note what of a machine's work may be stopped at all, by priority and team."""
        replica = self.context.replica
        priorities: set[int] = set()
        teams: set[str] = set()
        for job_id, _ in replica.by_machine.get(machine.name, ()):
            job = replica.jobs.get(job_id)
            if (
                job is not None
                and job.spec is not None
                and job.spec.kind != "service"
                and not job.spec.joint
            ):
                priorities.add(job.priority)
                teams.add(job.team)
        old = self.victims.get(number)
        if old != (priorities, teams):
            was = old or (set(), set())
            _discard(self.weak, was[0] - priorities, number)
            _discard(self.teams, was[1] - teams, number)
            for priority in priorities - was[0]:
                self.weak.setdefault(priority, BitMap()).add(number)
            for team in teams - was[1]:
                self.teams.setdefault(team, BitMap()).add(number)
            self.victims[number] = (priorities, teams)

    # --- drawing ---

    def _order(self, spec: JobSpec) -> list[CapacityClass]:
        """Return the classes where a task may find room, the best first: spot where it is
        cheaper for the job, in use rather than idle, fullest."""
        key = (
            spec.types and tuple(spec.types),
            spec.zone,
            spec.spot,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
        )
        order = self.orders.get(key)
        if order is None:
            if len(self.orders) >= constants.MAX_QUEUE:
                self.orders.clear()
            rows = []
            for place in self.classes:
                kind = self.context.types.get(place.type)
                if (
                    kind is None
                    or not self.context.fits_type(spec, place.type)
                    or spec.zone not in (None, place.zone)
                    or (place.spot and not spec.spot)
                    or not may_fit(spec, kind, place)
                ):
                    continue
                dearer = not place.spot if spec.gpus else place.spot
                left = max(place.gpus / (kind.gpus or 1.0), place.level / constants.ROOM_LEVELS)
                rows.append(((dearer, 0 if spec.gpus else place.gpus, place.idle, left), place))
            rows.sort()
            order = self.orders[key] = [place for _, place in rows]
        return order

    def draw(
        self,
        spec: JobSpec,
        zones: Collection[str],
        avoid: Collection[str],
        wanted: int,
        left: Callable[[Machine, Resources], Resources] | None = None,
    ) -> list[SampledMachine]:
        """Draw machines with room for `wanted` tasks and some more, at random from the best
        classes first, those that hold the image before all others. `left` may take off what is
        promised of a machine's room."""
        enough = wanted * constants.DRAW_RATIO + constants.DRAW_MORE
        looks = constants.DRAW_LOOKS + math.ceil(enough)
        rows: list[SampledMachine] = []
        held = self.holders.get(spec.image)
        for with_image in (True, False):
            if with_image and held is None:
                continue
            for place in self._order(spec):
                if place.zone not in zones:
                    continue
                members = self.classes.get(place)
                if members is None:
                    continue  # its last machine fell silent while we drew
                if held is not None:
                    members = members & held if with_image else members - held
                for number in pick(self.context.rng, members, looks):
                    looks -= 1
                    machine = self._fresh(number)
                    if machine is None or machine.name in avoid:
                        continue
                    free = free_resources(self.context, machine)
                    if left is not None:
                        free = left(machine, free)
                    count = task_capacity(free, spec)
                    if count:
                        rows.append(SampledMachine(machine, free, with_image))
                        enough -= count
                        if enough <= 0:
                            return rows
                if looks <= 0:
                    return rows
        return rows

    def _fresh(self, number: int) -> Machine | None:
        """Return a machine unless it fell silent meanwhile: then it stays out until it speaks."""
        machine = self.machines[number]
        if machine is not None and not is_schedulable(self.context, machine):
            self._leave(number)
            self.context.unresponsive.add(machine.name)
            return None
        return machine

    def fitting(self, spec: JobSpec, zones: Collection[str]) -> BitMap:
        """Return the machines that a job allows, with room or not."""
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

    def holding(self, spec: JobSpec, zones: Collection[str]) -> BitMap:
        """Return the machines that a job allows and that hold its image."""
        held = self.holders.get(spec.image)
        return BitMap() if held is None else held & self.fitting(spec, zones)

    def yielding(self, job: Job, beyond: Iterable[str]) -> BitMap:
        """Return machines with work that may give way to a job: of lower priority, or of the
        teams in `beyond`."""
        return BitMap.union(
            BitMap(),
            *(ids for priority, ids in self.weak.items() if priority < job.priority),
            *(self.teams[team] for team in beyond if team in self.teams),
        )

    def freed(self, names: Iterable[str]) -> None:
        """Room on machines that was promised is free for others again."""
        for number in self.numbers(names):
            if number in self.place:
                self.gained.add(self.place[number])

    def numbers(self, names: Iterable[str]) -> BitMap:
        """Return a set of machines as a bitmap."""
        return BitMap(self.ids[name] for name in names if name in self.ids)

    def some(self, ids: BitMap, count: int, avoid: Collection[str] = ()) -> list[Machine]:
        """Return up to `count` usable machines of a set, at random."""
        return [
            machine
            for number in pick(self.context.rng, ids, count)
            if (machine := self._fresh(number)) is not None and machine.name not in avoid
        ]


def _discard(sets: dict, keys: Iterable, number: int) -> None:
    """Take a machine out of the sets under these keys; empty ones go."""
    for key in keys:
        members = sets[key]
        members.discard(number)
        if not members:
            del sets[key]
