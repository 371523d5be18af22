"""Sends and repeats rental requests to the cloud, and tracks kinds without capacity."""

from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core import messages
from oakmux.core.autoscaling.instance_inventory import Instance, InstanceInventory
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind, InstanceState
from oakmux.logs import event

NO_ANSWER = 0
"""Status of a call to the cloud without an answer."""

NO_CAPACITY = "no capacity"
"""Result of a rental refused with status 503 because the cloud has no such instances."""


class RentalRequest(NamedTuple):
    """A request that the cloud has not answered yet."""

    kind: InstanceKind
    size: int


class RentalRequests:
    """Rents instances. A request's name is its idempotency key: a repeat never rents twice."""

    def __init__(self, context: Context, inventory: InstanceInventory) -> None:
        self.context = context
        self.inventory = inventory
        # Unanswered requests by name.
        self.pending: dict[str, RentalRequest] = {}
        # Time before which a kind is not requested again because the cloud had none left.
        self.no_capacity_until: dict[InstanceKind, float] = {}
        self.last_number = 0

    def on_role_acquired(self) -> None:
        """Drop requests of an earlier tenure of the fleet role; the cloud's list covers them."""
        self.pending.clear()

    def rent_all(self, counts: dict[InstanceKind, int]) -> None:
        """Rent the given count of each kind, at most MAX_RENTAL_SIZE instances in one request."""
        for kind, count in counts.items():
            for start in range(0, count, constants.MAX_RENTAL_SIZE):
                self.rent(kind, min(count - start, constants.MAX_RENTAL_SIZE))

    def rent(self, kind: InstanceKind, count: int) -> None:
        """Send one rental request, unless calls to the cloud are backing off."""
        if self.context.now < self.inventory.cloud_retry_at:
            return
        self.last_number += 1
        # The incarnation makes the name unique among all controllers and their restarts.
        name = f"oakmux-{self.context.incarnation}-{self.last_number}"
        self.pending[name] = RentalRequest(kind, count)
        event(
            "rent_requested",
            request=name,
            type=kind.type,
            zone=kind.zone,
            spot=int(kind.spot),
            count=count,
        )
        self._send(name, 1)

    def _send(self, name: str, attempt: int) -> None:
        kind, size = self.pending[name]
        self.context.call(
            lambda status, result: self._on_answer(name, attempt, status, result),
            messages.RentInstances,
            name,
            *kind,
            size,
        )

    def _on_answer(self, name: str, attempt: int, status: int, result: Any) -> None:
        request = self.pending.get(name)
        if request is None:
            return
        if status == NO_ANSWER and attempt < constants.RENT_TRIES:
            self._send(name, attempt + 1)
            return
        del self.pending[name]
        now = self.context.now
        if status == 200:
            for machine in result:
                self.inventory.instances[machine] = Instance(
                    request.kind, InstanceState.BOOTING, now
                )
            if len(result) < request.size:
                self.no_capacity_until[request.kind] = now + constants.NO_CAPACITY_RETRY_S
        elif status == 503 and result == NO_CAPACITY:
            self.no_capacity_until[request.kind] = now + constants.NO_CAPACITY_RETRY_S
        else:
            self.inventory.back_off()
        event(
            "rent_answered", request=name, status=status, got=len(result) if status == 200 else 0
        )
