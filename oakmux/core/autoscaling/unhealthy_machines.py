"""Returns machines that did not boot, lost contact, or fail the tasks of several jobs."""

from collections import Counter

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import is_quarantined
from oakmux.core.agents.reachability import is_reachable, unreachable_s
from oakmux.core.autoscaling.instance_inventory import (
    FailedBoot,
    Instance,
    InstanceInventory,
)
from oakmux.core.autoscaling.machine_returns import MachineReturns, ReturnReason
from oakmux.core.context import Context
from oakmux.core.instances import InstanceState
from oakmux.core.machine import Machine


class UnhealthyMachines:
    """Finds unhealthy machines among the listed instances and returns them."""

    def __init__(
        self,
        context: Context,
        cancellations: CancellationLog,
        inventory: InstanceInventory,
        returns: MachineReturns,
    ) -> None:
        self.context = context
        self.cancellations = cancellations
        self.inventory = inventory
        self.returns = returns
        self.quarantined_since: dict[str, float] = {}
        # Zones where most machines were unreachable, and until when each still counts as such.
        self.zone_unreachable_until: dict[str, float] = {}

    def run(self) -> None:
        """Check all listed instances and return unhealthy ones."""
        context, inventory = self.context, self.inventory
        unreachable_zones = self._unreachable_zones()
        self.quarantined_since = {
            name: since
            for name, since in self.quarantined_since.items()
            if name in context.machines
        }
        for name, instance in list(inventory.instances.items()):
            if name in inventory.returning or not instance.listed:
                continue
            machine = context.machines.get(name)
            if machine is None:
                self._check_unregistered(name, instance)
                continue
            reason = self._lost_contact(machine, unreachable_zones)
            if reason is not None:
                self.returns.request(name, reason)
            else:
                self._check_quarantine(machine)

    @property
    def _contact_timeout_s(self) -> float:
        """Seconds without contact after which a machine is returned."""
        return constants.CONTACT_TIMEOUT_LEASES * self.context.facts.workers.lease_s

    def _check_unregistered(self, name: str, instance: Instance) -> None:
        """Return an instance to the cloud if its first heartbeat is overdue."""
        now, inventory = self.context.now, self.inventory
        machine_type = self.context.types.get(instance.kind.type)
        boot_timeout_s = (
            self._contact_timeout_s
            if machine_type is None
            else constants.BOOT_TIMEOUT_FACTOR * machine_type.boot_s
        )
        if instance.state == InstanceState.BOOTING and now - instance.created_at > boot_timeout_s:
            inventory.failed_boots.append(FailedBoot(now, instance.kind))
            self.returns.request(name, ReturnReason.BOOT_TIMEOUT)
        elif (
            instance.running_since is not None
            and now - max(instance.running_since, inventory.role_acquired_at)
            > self._contact_timeout_s
        ):
            self.returns.request(name, ReturnReason.NEVER_REGISTERED)

    def _lost_contact(self, machine: Machine, unreachable_zones: set[str]) -> ReturnReason | None:
        """Return why to return a machine that lost contact after its first heartbeat, or None."""
        context, inventory = self.context, self.inventory
        silent_s = context.now - max(
            machine.last_heartbeat_at, inventory.role_acquired_at, context.resumed_at
        )
        timeout_factor = 2 if self._manager_out_of_contact(machine) else 1
        if silent_s > self._contact_timeout_s * timeout_factor:
            return ReturnReason.HEARTBEAT_TIMEOUT
        unreachable_for_s = min(
            unreachable_s(context, machine), context.now - inventory.role_acquired_at
        )
        timeout_factor = 2 if machine.zone in unreachable_zones else 1
        if unreachable_for_s > self._contact_timeout_s * timeout_factor:
            return ReturnReason.UNREACHABLE
        return None

    def _manager_out_of_contact(self, machine: Machine) -> bool:
        """Whether a machine's manager is a live peer that this controller lost contact with."""
        context = self.context
        manager = machine.manager
        peer_seen_at = self.cancellations.peer_seen_at.get(manager, constants.NEVER)
        return (
            manager in context.replica.live_controllers
            and manager != context.controller_id
            and context.now - peer_seen_at > constants.PEER_HEARTBEAT_S * 3
        )

    def _check_quarantine(self, machine: Machine) -> None:
        """Drain a quarantined machine; return it unless its jobs soon fail elsewhere too."""
        context, name = self.context, machine.name
        if not is_quarantined(context, machine):
            if self.quarantined_since.pop(name, None) is not None:
                context.undrain(name)
        elif name not in self.quarantined_since:
            self.quarantined_since[name] = context.now
            context.drain(name)
        elif (
            self.returns.is_empty(name)
            and context.now - self.quarantined_since[name] > constants.QUARANTINE_HOLD_S
        ):
            self.returns.request(name, ReturnReason.QUARANTINED)

    def _unreachable_zones(self) -> set[str]:
        """Return the zones where most machines are unreachable, or were within the last lease.

        This indicates a network fault between the controllers and the zone. Such a fault ends for
        all machines of the zone, but not in the same second.
        """
        now = self.context.now
        total, unreachable = Counter[str](), Counter[str]()
        for machine in self.context.machines.values():
            total[machine.zone] += 1
            unreachable[machine.zone] += not is_reachable(machine)
        for zone, count in unreachable.items():
            if count > 1 and count > total[zone] * constants.UNREACHABLE_ZONE_SHARE:
                self.zone_unreachable_until[zone] = now + self.context.facts.workers.lease_s
        return {zone for zone, until in self.zone_unreachable_until.items() if until > now}
