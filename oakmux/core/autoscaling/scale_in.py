"""Scaling in: drains idle machines and returns them."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import is_quarantined
from oakmux.core.agents.reachability import is_reachable
from oakmux.core.autoscaling.consolidation import Consolidation
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.autoscaling.machine_returns import MachineReturns, ReturnReason
from oakmux.core.autoscaling.slot_pool import Slot
from oakmux.core.autoscaling.unhealthy_machines import UnhealthyMachines
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.peer_messages import DrainMachines


class ScaleIn:
    """Drains and returns idle machines."""

    def __init__(
        self, context: Context, cancellations: CancellationLog, inventory: InstanceInventory
    ) -> None:
        self.context = context
        self.inventory = inventory
        self.returns = MachineReturns(context, inventory)
        self.consolidation = Consolidation(context)
        self.unhealthy = UnhealthyMachines(context, cancellations, inventory, self.returns)

    def return_idle(self, slots: list[Slot]) -> None:
        """Drain machines without work, return drained ones, and announce drains to the peers."""
        context, inventory = self.context, self.inventory
        needed = {slot.name for slot in slots if slot.needed}
        for name, machine in context.machines.items():
            if name in inventory.returning or name in inventory.terminated_at:
                continue
            drained_at = context.draining.get(name)
            if drained_at is not None:
                self._check_drained(machine, drained_at)
            elif name not in needed and self._is_unused(machine):
                context.drain(name)
        names = [name for name in context.draining if name in context.machines]
        if names:
            for peer in inventory.controllers()[1:]:
                context.send(peer, DrainMachines(names))

    def _check_drained(self, machine: Machine, drained_at: float) -> None:
        context, name = self.context, machine.name
        if not self.returns.is_empty(name):
            # A task was bound before the drain reached all controllers, or a move timed out.
            if not is_quarantined(context, machine) and not self.consolidation.is_moving(name):
                context.undrain(name)
                self.consolidation.forget(name)
        elif (
            context.now - drained_at >= constants.DRAIN_GRACE_S
            and name not in self.unhealthy.quarantined_since
        ):
            self.returns.request(name, ReturnReason.IDLE)

    def _is_unused(self, machine: Machine) -> bool:
        """Whether a machine has been idle for IDLE_KEEP_S and is not reserved."""
        context = self.context
        return (
            machine.idle_since is not None
            and is_reachable(machine)
            and self.returns.is_empty(machine.name)
            and not context.backfill.is_reserved(machine.name)
            # No task can start during a store outage, so idle time counts from its end.
            and context.now - max(machine.idle_since, context.store_recovered_at)
            > constants.IDLE_KEEP_S
            and context.now - machine.first_heartbeat_at > constants.IDLE_KEEP_S
        )
