"""Returns machines to the cloud."""

from enum import StrEnum

from oakmux.core import messages
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.context import Context
from oakmux.logs import event


class ReturnReason(StrEnum):
    """Why a machine is returned; logged as `why` in the event `instances_returned`."""

    IDLE = "idle"
    BOOT_TIMEOUT = "boot_timeout"
    NEVER_REGISTERED = "never_registered"
    HEARTBEAT_TIMEOUT = "heartbeat_timeout"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"


class MachineReturns:
    """Sends return requests; once confirmed, the inventory lists machines as terminated."""

    def __init__(self, context: Context, inventory: InstanceInventory) -> None:
        self.context = context
        self.inventory = inventory

    def is_empty(self, name: str) -> bool:
        """Whether a machine has neither bindings nor tasks."""
        machine = self.context.machines.get(name)
        return not self.context.replica.bindings.by_machine.get(name) and (
            machine is None or machine.idle_since is not None
        )

    def request(self, name: str, reason: ReturnReason) -> None:
        """Return a machine, unless calls to the cloud are backing off."""
        if self.context.now < self.inventory.cloud_retry_at:
            return
        self.inventory.returning.add(name)
        event("instances_returned", machines=name, why=reason)
        self.context.call(
            lambda status, _result: self._on_answer(name, status), messages.ReturnInstances, [name]
        )

    def _on_answer(self, name: str, status: int) -> None:
        self.inventory.returning.discard(name)
        if status == 200:
            self.inventory.terminate(name, "returned")
        else:
            self.inventory.back_off()
