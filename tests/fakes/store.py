"""A fake state service: conditional transactions, leases and a log of changes."""

from typing import TYPE_CHECKING, Any

import msgspec

from oakmux.codec.store import transaction_body
from oakmux.core import messages
from oakmux.core.state.formats import value_bytes
from oakmux.settings import StoreLimits

# Bytes of a transaction and of a key that the store accepts, and conditions a write.
TRANSACTION_BYTES, KEY_BYTES, CONDITIONS_PER_WRITE = 64 * 1024, 200, 4


def exceeds_limits(limits: StoreLimits, guards: list, writes: list) -> bool:
    """Whether the store refuses a transaction for its size (400)."""
    keys = [key for key, _ in guards] + [write[0] for write in writes]
    return (
        len(writes) > limits.txn_ops
        or len(guards) > CONDITIONS_PER_WRITE * limits.txn_ops
        or any(value_bytes(w[1]) > limits.value_kb * 1024 for w in writes if len(w) > 1)
        or any(not 1 <= len(key.encode()) <= KEY_BYTES or " " in key for key in keys)
        or value_bytes(transaction_body(guards, writes)) > TRANSACTION_BYTES
    )


def exceeds_burst(limits: StoreLimits, writes: list) -> bool:
    """Whether a transaction has more changes than the store ever takes at once (429)."""
    return len(writes) > limits.write_rps


if TYPE_CHECKING:
    from tests.fakes.simulation import Simulation


class FakeStore:
    """An in-memory key-value store."""

    def __init__(self, sim: "Simulation") -> None:
        self.sim = sim
        self.revision = 0
        # Value, revision of the last change and lease, by key.
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[str, Any, int]] = []
        self.leases: dict[int, list[float]] = {}  # [end, duration in s]
        self.next_lease = 0
        self.down = False
        self.down_until = 0.0
        self.refused: set[str] = set()  # controllers whose requests get 503
        self.limits = sim.store_limits
        self.too_large = 0  # transactions rejected for their size, or for too many changes at once
        # Transactions rejected for their size: none may be sent again as it was.
        self.rejected: list[tuple[list, list]] = []

    def put(self, key: str, value: Any, lease: int | None) -> None:
        self.sim.on_write(key, value)
        self.rows[key] = (value, self.revision, lease)
        self.log.append((key, value, self.revision))

    def drop(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.log.append((key, None, self.revision))

    def expire(self) -> None:
        for lease in [n for n, (end, _) in self.leases.items() if end <= self.sim.now]:
            del self.leases[lease]
            self.revision += 1
            for key in [k for k, row in self.rows.items() if row[2] == lease]:
                self.drop(key)

    def serve(self, label: str, operation: messages.StoreOperation) -> tuple[int, Any]:
        if self.down or label in self.refused:
            return 503, None
        self.expire()
        match operation:
            case messages.Transaction(_, conditions, writes):
                return self.transact(conditions, writes)
            case messages.ReadKey(_, key):
                return self.read_key(key)
            case messages.GrantLease(_, ttl_s):
                return self.grant_lease(ttl_s)
            case messages.RenewLease(_, lease):
                return self.renew_lease(lease)
        raise TypeError(operation)

    def transact(self, guards: list, writes: list) -> tuple[int, Any]:
        if exceeds_limits(self.limits, guards, writes):
            self.reject(guards, writes)
            return 400, None
        if exceeds_burst(self.limits, writes):
            self.too_large += 1
            return 503, None
        failed = [
            k for k, mod_revision in guards if self.rows.get(k, (0, 0, 0))[1] != mod_revision
        ]
        if any(len(w) == 3 and w[2] is not None and w[2] not in self.leases for w in writes):
            return 400, None
        if failed:
            return 409, (self.revision, failed)
        if writes:
            self.revision += 1
            for write in writes:
                if len(write) == 1:
                    self.drop(write[0])
                else:
                    self.put(*write)
        return 200, (self.revision, [])

    def lower_limits(self, **limits: float) -> None:
        """Replace some of the limits that the store enforces."""
        self.limits = msgspec.structs.replace(self.limits, **limits)

    def reject(self, guards: list, writes: list) -> None:
        """Note a transaction that is too large; its sender must not repeat it."""
        self.too_large += 1
        if not self.sim.serving_copy:
            assert (guards, writes) not in self.rejected, (
                f"sent again as it was refused: {len(writes)} writes, {len(guards)} conditions"
            )
            self.rejected.append((guards, writes))

    def read_key(self, key: str) -> tuple[int, Any]:
        row = self.rows.get(key)
        return (404, (None, self.revision)) if row is None else (200, row[:2])

    def grant_lease(self, ttl_s: float) -> tuple[int, Any]:
        self.next_lease += 1
        self.leases[self.next_lease] = [self.sim.now + ttl_s, ttl_s]
        return 200, self.next_lease

    def renew_lease(self, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, None
        self.leases[lease][0] = self.sim.now + self.leases[lease][1]
        return 200, None

    def outage(self, seconds: float) -> None:
        self.down = True
        self.down_until = max(self.down_until, self.sim.now + seconds)

        def back() -> None:
            if self.sim.now < self.down_until:
                return  # a longer outage is in progress
            self.down = False
            for lease in self.leases.values():
                lease[0] = self.sim.now + lease[1]

        self.sim.after(seconds, back)
