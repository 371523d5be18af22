"""Places pending tasks on expected capacity, and chooses instances to rent for the others."""

from collections import Counter
from collections.abc import Collection

from oakmux.core.autoscaling.expected_capacity import ExpectedCapacity
from oakmux.core.autoscaling.rental_requests import RentalRequests
from oakmux.core.autoscaling.slot_pool import UNNAMED, Slot, SlotPool, empty_slot
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind
from oakmux.core.model import JobSpec
from oakmux.core.resources import fits_resources, subtract
from oakmux.core.scheduling.placement import zone_allowed


class _TaskGroup:
    """Tasks of one job that are placed together, and the slots found for them so far."""

    __slots__ = ("excluded", "slots", "spec", "wanted", "zones")

    def __init__(
        self, spec: JobSpec, wanted: int, zones: list[str], excluded: Collection[str]
    ) -> None:
        self.spec = spec
        self.excluded = excluded
        self.wanted = wanted
        # Zones of the job's bindings and of the slots found.
        self.zones = list(zones)
        self.slots: list[Slot] = []

    def fill(self, slot: Slot) -> bool:
        """Place as many tasks in a slot as fit; return whether all tasks of the group have one."""
        if slot.name in self.excluded:
            return False
        spec, zones, zone, free = self.spec, self.zones, slot.kind.zone, slot.free
        missing = self.wanted - len(self.slots)
        while missing > 0 and fits_resources(free, spec) and zone_allowed(spec, zones, zone):
            free = subtract(free, spec)
            zones.append(zone)
            self.slots.append(slot)
            missing -= 1
        slot.free = free
        return missing <= 0


class DemandPlacement:
    """Hypothetical placements of one pass; instances to be rented are added to `slots`."""

    def __init__(
        self, context: Context, expected: ExpectedCapacity, rentals: RentalRequests
    ) -> None:
        self.context = context
        self.rentals = rentals
        self.slots = expected.slots()
        self.unreliable_kinds = expected.unreliable_kinds
        self.pool = SlotPool(context, self.slots)
        # Number of instances to rent, by kind.
        self.to_rent: dict[InstanceKind, int] = {}
        self.machines_by_zone = Counter(slot.kind.zone for slot in self.slots)

    def place(
        self, spec: JobSpec, zones: list[str], wanted: int, excluded: Collection[str] = ()
    ) -> list[Slot]:
        """Return a slot for each task that fits; `zones` are the zones of the job's bindings.

        Expected capacity outside the `excluded` machines is used first, then instances to rent.
        """
        group = _TaskGroup(spec, wanted, zones, excluded)
        allowed = self.context.facts.zones if spec.zone is None else [spec.zone]
        ranked = self.pool.ranked_classes(
            spec, [zone for zone in allowed if zone_allowed(spec, group.zones, zone)]
        )
        if spec.one_zone and not group.zones:
            tasks_by_zone = Counter[str]()
            for capacity in ranked:
                tasks_by_zone[capacity.zone] += self.pool.estimate_tasks(spec, capacity)
            allowed = [self._best_single_zone(group, allowed, tasks_by_zone)]
            ranked = [capacity for capacity in ranked if capacity.zone in allowed]
        for capacity in ranked:
            if self.pool.fill_class(capacity, group.fill):
                break
        self._rent_missing(group, allowed)
        return group.slots

    def _best_single_zone(
        self, group: _TaskGroup, allowed: list[str], tasks_by_zone: Counter[str]
    ) -> str:
        """Return the best zone for all tasks: they fit now, or else instances can be rented."""
        return max(
            allowed,
            key=lambda zone: (
                tasks_by_zone[zone] >= group.wanted,
                self._cheapest(group, [zone]) is not None,
                tasks_by_zone[zone],
            ),
        )

    def _rent_missing(self, group: _TaskGroup, allowed: list[str]) -> None:
        while len(group.slots) < group.wanted:
            kind = self._cheapest(group, allowed)
            if kind is None:
                return
            self.to_rent[kind] = self.to_rent.get(kind, 0) + 1
            self.machines_by_zone[kind.zone] += 1
            slot = empty_slot(UNNAMED, kind, self.context.types[kind.type])
            self.slots.append(slot)
            group.fill(slot)
            self.pool.add(slot)

    def _cheapest(self, group: _TaskGroup, allowed: list[str]) -> InstanceKind | None:
        """Return the cheapest kind to rent for one task, in the zone with the fewest machines.

        Kinds with boot problems come last; kinds that the cloud has run out of are left out.
        """
        context, spec = self.context, group.spec
        no_capacity_until, now = self.rentals.no_capacity_until, context.now
        best = None
        for machine_type in context.types.values():
            if not context.fits_type(spec, machine_type.name):
                continue
            for zone in machine_type.zones:
                if zone not in allowed or not zone_allowed(spec, group.zones, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    kind = InstanceKind(machine_type.name, zone, spot)
                    if no_capacity_until.get(kind, 0.0) > now:
                        continue
                    candidate = (
                        kind in self.unreliable_kinds,
                        machine_type.spot_price if spot else machine_type.price,
                        self.machines_by_zone[zone],
                        context.rng.random(),
                        kind,
                    )
                    if best is None or candidate < best:
                        best = candidate
        return None if best is None else best[-1]
