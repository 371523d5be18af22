"""Capacity that the autoscaler expects: machines that are up, booting or requested."""

from collections import Counter

from oakmux import constants
from oakmux.core.agents.capacity import counts_as_capacity, free_resources
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.autoscaling.rental_requests import RentalRequests
from oakmux.core.autoscaling.slot_pool import UNNAMED, Slot, empty_slot
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind, InstanceState
from oakmux.logs import event


class ExpectedCapacity:
    """Lists the slots of a pass, and records which kinds of instances boot late or never."""

    def __init__(
        self, context: Context, inventory: InstanceInventory, rentals: RentalRequests
    ) -> None:
        self.context = context
        self.inventory = inventory
        self.rentals = rentals
        # Kinds with recent late or failed boots; other kinds are preferred.
        self.unreliable_kinds: set[InstanceKind] = set()

    def slots(self) -> list[Slot]:
        """Return the slots of all machines that are up, booting or requested."""
        return [*self._running(), *self._booting(), *self._requested()]

    def _running(self) -> list[Slot]:
        context = self.context
        lease_s = context.facts.workers.lease_s
        return [
            Slot(
                machine.name,
                InstanceKind(machine.type, machine.zone, machine.spot),
                free_resources(context, machine),
                booting=False,
            )
            for machine in context.machines.values()
            if counts_as_capacity(context, machine)
            and context.now - machine.last_heartbeat_at < lease_s
        ]

    def _booting(self) -> list[Slot]:
        context = self.context
        slots = []
        late: Counter[InstanceKind] = Counter()
        for name, instance in self.inventory.instances.items():
            machine_type = context.types.get(instance.kind.type)
            if (
                name in context.machines
                or name in self.inventory.terminated_at
                or machine_type is None
                or instance.state == InstanceState.FAILED
            ):
                continue
            age_s = context.now - instance.created_at
            if age_s > constants.BOOT_TIMEOUT_FACTOR * machine_type.boot_s:
                continue
            if age_s > constants.BOOT_LATE_FACTOR * machine_type.boot_s:
                # Every second late instance counts as capacity. If all did, jobs would wait for
                # instances that never come up; if none did, a period of slow boots would rent
                # everything twice.
                late[instance.kind] += 1
                if late.total() % 2:
                    continue
            slots.append(empty_slot(name, instance.kind, machine_type))
        self._update_unreliable_kinds(late)
        return slots

    def _requested(self) -> list[Slot]:
        return [
            empty_slot(UNNAMED, request.kind, self.context.types[request.kind.type])
            for request in self.rentals.pending.values()
            for _ in range(request.size)
        ]

    def _update_unreliable_kinds(self, late: Counter[InstanceKind]) -> None:
        """Find kinds with several boots that are late now or failed within BOOT_TROUBLE_S."""
        inventory, now = self.inventory, self.context.now
        inventory.failed_boots = [
            failed
            for failed in inventory.failed_boots
            if now - failed.at < constants.BOOT_TROUBLE_S
        ]
        late.update(failed.kind for failed in inventory.failed_boots)
        unreliable_kinds = {
            kind for kind, count in late.items() if count >= constants.BOOT_TROUBLE_COUNT
        }
        for kind in unreliable_kinds - self.unreliable_kinds:
            event(
                "slow_boots",
                type=kind.type,
                zone=kind.zone,
                spot=int(kind.spot),
                late=late[kind],
            )
        self.unreliable_kinds = unreliable_kinds
