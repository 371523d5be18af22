"""Free capacity for autoscaling plans, on machines that run, boot or are to be rented."""

from collections.abc import Callable

from oakmux import constants
from oakmux.core.agents.capacity import is_full
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, task_capacity
from oakmux.core.scheduling.machine_index import CapacityClass, capacity_class, may_fit

UNNAMED = ""
"""Name of a slot whose instance the cloud has not named yet."""


class Slot:
    """Free resources of one machine that is up, booting, or to be rented."""

    __slots__ = ("booting", "free", "kind", "name", "needed")

    def __init__(
        self, name: str, kind: InstanceKind, free: Resources, *, booting: bool = True
    ) -> None:
        self.name = name
        self.kind = kind
        self.free = free
        # Whether the current pass has placed a task here.
        self.needed = False
        # Whether the machine is not up yet: it is booting, requested or to be rented.
        self.booting = booting


def empty_slot(name: str, kind: InstanceKind, machine_type: MachineType) -> Slot:
    """Return the slot of an instance that is not up yet, with all its resources free."""
    free = Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    return Slot(name, kind, free)


class SlotPool:
    """Slots grouped by capacity class, so that finding one does not scan all slots."""

    def __init__(self, context: Context, slots: list[Slot]) -> None:
        self.context = context
        self.classes: dict[CapacityClass, list[Slot]] = {}
        for slot in slots:
            self.add(slot)

    def add(self, slot: Slot) -> None:
        """Add a slot to the class of its free resources; full slots are left out."""
        if is_full(self.context, slot.free):
            return
        machine_type = self.context.types[slot.kind.type]
        capacity = capacity_class(
            machine_type, slot.kind.zone, slot.kind.spot, slot.free, slot.booting
        )
        self.classes.setdefault(capacity, []).append(slot)

    def ranked_classes(self, spec: JobSpec, zones: list[str]) -> list[CapacityClass]:
        """Return the classes in these zones where a task may fit, best first.

        Jobs that need GPUs prefer spot instances if they allow them; other jobs prefer classes
        with few free GPUs. After that, machines that are up come before booting ones, and fuller
        machines before emptier ones.
        """
        ranked = []
        for capacity in self.classes:
            machine_type = self.context.types[capacity.type]
            if (
                capacity.zone in zones
                and (spec.spot or not capacity.spot)
                and may_fit(spec, machine_type, capacity)
                and self.context.fits_type(spec, capacity.type)
            ):
                # Free GPUs, and the CPUs that go with them, are left to jobs that need GPUs.
                ranked.append(
                    (
                        spec.spot and not capacity.spot if spec.gpus else capacity.gpus,
                        capacity.idle,
                        capacity.gpus,
                        capacity.level,
                        capacity,
                    )
                )
        ranked.sort()
        return [candidate[-1] for candidate in ranked]

    def estimate_tasks(self, spec: JobSpec, capacity: CapacityClass) -> int:
        """Return a lower bound for the number of a job's tasks that fit into a class."""
        machine_type = self.context.types[capacity.type]
        cpus = capacity.cpu_level / constants.CAPACITY_LEVELS * machine_type.cpus
        memory_gb = capacity.memory_level / constants.CAPACITY_LEVELS * machine_type.memory_gb
        free = Resources(cpus, float(capacity.gpus), memory_gb)
        return len(self.classes[capacity]) * task_capacity(free, spec)

    def fill_class(self, capacity: CapacityClass, fill: Callable[[Slot], bool]) -> bool:
        """Pass the slots of a class to `fill` until it returns True; return whether it did.

        Slots that `fill` took resources from move to the class of their remaining resources. The
        search ends after SAMPLE_EXTRA_MACHINES slots on which nothing was placed.
        """
        slots = self.classes.pop(capacity)
        unchanged: list[Slot] = []
        enough = False
        while slots and not enough and len(unchanged) < constants.SAMPLE_EXTRA_MACHINES:
            slot = slots.pop()
            before = slot.free
            enough = fill(slot)
            if slot.free == before:
                unchanged.append(slot)
            else:
                self.add(slot)
        if slots or unchanged:
            self.classes.setdefault(capacity, []).extend(slots + unchanged)
        return enough
