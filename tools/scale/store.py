"""The state service's store, without I/O: guards, leases, limits and a log of changes."""

from collections import Counter, deque
from collections.abc import Iterable
from typing import Any

import cbor2
import msgspec
from sortedcontainers import SortedDict

from oakmux.transport.rate_limit import TokenBucket
from tools.scale.config import Service

# Changes kept for watches; the real service keeps the last 10,000 too.
MAX_LOG_CHANGES = 10_000
# Limits of one page of a list.
PAGE_ITEMS = 1000
PAGE_BYTES = 512 * 1024
# Limit of the values of a transaction (bytes).
TRANSACTION_BYTES = 64 * 1024


class Refused(Exception):
    """A request is refused with this status and body."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(f"{status}")
        self.status = status
        self.body = body


class Lease:
    """A lease: its duration, its end (both in seconds) and its keys."""

    __slots__ = ("duration_s", "ends_at", "keys")

    def __init__(self, duration_s: float, now: float) -> None:
        self.duration_s = duration_s
        self.ends_at = now + duration_s
        self.keys: set[str] = set()


class Record:
    """A key's value, the revision of its last change and its lease."""

    __slots__ = ("value", "mod_revision", "lease")

    def __init__(self, value: Any, mod_revision: int, lease: int | None) -> None:
        self.value = value
        self.mod_revision = mod_revision
        self.lease = lease


class Store:
    """All keys and leases; callers pass the time, in seconds of a monotonic clock."""

    def __init__(self, limits: Service) -> None:
        self.limits = limits
        self.revision = 0
        self.records: SortedDict = SortedDict()
        self.leases: dict[int, Lease] = {}
        self.next_lease = 0
        # (revision, key, encoded event), the oldest first.
        self.log: deque[tuple[int, str, bytes]] = deque()
        self.request_limit = TokenBucket(limits.rps)
        self.change_limit = TokenBucket(limits.write_rps)
        self.counts: Counter[str] = Counter()
        self.largest_value = 0

    def admit(self, now: float) -> None:
        """Count one request against the rate limit; raise Refused above it."""
        if self.request_limit.wait(now, 1) > 0:
            raise Refused(429, {"error": "requests"})
        self.request_limit.consume(1)

    def expire(self, now: float) -> bool:
        """End the expired leases; return whether any key was deleted."""
        removed = False
        for number in [n for n, lease in self.leases.items() if lease.ends_at <= now]:
            removed = self.drop_lease(number) or removed
        return removed

    def drop_lease(self, number: int) -> bool:
        """End a lease and delete its keys; return whether it had any."""
        lease = self.leases.pop(number, None)
        if lease is None or not lease.keys:
            return False
        self.revision += 1
        for key in sorted(lease.keys):
            self._delete(key)
        return True

    def restore_leases(self, now: float) -> None:
        """Restart the full duration of all leases, as after an outage."""
        for lease in self.leases.values():
            lease.ends_at = now + lease.duration_s

    def grant(self, now: float, life_ms: int) -> int:
        """Grant a lease and return its number; raise Refused if `life_ms` is out of range."""
        if not 100 <= life_ms <= 600_000:
            raise Refused(400, {"error": "life_ms"})
        self.next_lease += 1
        self.leases[self.next_lease] = Lease(life_ms / 1000, now)
        return self.next_lease

    def renew(self, now: float, number: int) -> None:
        """Renew a lease; raise Refused if it does not exist or has expired."""
        lease = self.leases.get(number)
        if lease is None:
            raise Refused(404, {"error": "no such lease"})
        lease.ends_at = now + lease.duration_s

    def get(self, key: str) -> dict[str, Any]:
        """Return a key's item; raise Refused if there is no such key."""
        record = self.records.get(key)
        if record is None:
            raise Refused(404, {"epoch": self.revision})
        return item(key, record)

    def page(self, prefix: str, since: str, limit: int) -> dict[str, Any]:
        """Return one page of the keys with a prefix, after the key `since` if it is not empty."""
        limit = min(limit, PAGE_ITEMS)
        items: list[dict[str, Any]] = []
        size, has_next = 0, False
        for key in self.records.irange(max(prefix, since), None, (not since, True)):
            if not key.startswith(prefix):
                break
            entry = item(key, self.records[key])
            size += len(msgspec.json.encode(entry))
            if len(items) >= limit or (items and size > PAGE_BYTES):
                has_next = True
                break
            items.append(entry)
        return {"rows": items, "has_next": has_next, "epoch": self.revision}

    def transact(self, now: float, guards: list[dict], writes: list[dict]) -> int:
        """Execute a transaction and return the revision; raise Refused if it is not executed."""
        limits = self.limits
        self._check_size(guards, writes)
        if writes and self.change_limit.wait(now, len(writes)) > 0:
            self.counts["refused_changes"] += 1
            raise Refused(429, {"error": "changes"})
        self.change_limit.consume(len(writes))
        for write in writes:
            if "write" in write and write.get("permit") not in (None, *self.leases):
                raise Refused(400, {"error": "no such lease"})
        failed = [
            guard["path"]
            for guard in guards
            if self._mod_revision(guard["path"]) != guard["stamp"]
        ]
        if failed:
            self.counts["failed_changes"] += len(writes)
            raise Refused(409, {"failed": failed, "epoch": self.revision})
        if writes:
            self.revision += 1
            self.counts["transactions"] += 1
        for write in writes:
            if "delete" in write:
                self._delete(write["delete"])
            else:
                self._put(write["write"], write["v"], write.get("permit"))
        assert len(writes) <= limits.txn_ops
        return self.revision

    def _check_size(self, guards: list[dict], writes: list[dict]) -> None:
        limits = self.limits
        if len(writes) > limits.txn_ops or len(guards) > 4 * limits.txn_ops:
            raise Refused(400, {"error": "too many operations"})
        total = 0
        for write in writes:
            size = len(msgspec.json.encode(write["v"])) if "write" in write else 0
            if size > limits.value_kb * 1024:
                raise Refused(400, {"error": "value too large"})
            self.largest_value = max(self.largest_value, size)
            total += size
        if total > TRANSACTION_BYTES:
            raise Refused(400, {"error": "transaction too large"})

    def _mod_revision(self, key: str) -> int:
        record = self.records.get(key)
        return 0 if record is None else record.mod_revision

    def _put(self, key: str, value: Any, lease: int | None) -> None:
        old = self.records.get(key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease is not None:
            self.leases[lease].keys.add(key)
        self.records[key] = Record(value, self.revision, lease)
        self._log_change(key, {"write": key, "v": value, "stamp": self.revision}, "")

    def _delete(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is None:
            return
        if record.lease in self.leases:
            self.leases[record.lease].keys.discard(key)
        self._log_change(key, {"delete": key, "stamp": self.revision}, "-")

    def _log_change(self, key: str, event: dict[str, Any], prefix: str) -> None:
        self.counts[f"changes {prefix}{'/'.join(key.split('/')[:2])}"] += 1
        self.counts["changes"] += 1
        self.log.append((self.revision, key, cbor2.dumps(event)))
        if len(self.log) > MAX_LOG_CHANGES:
            self.log.popleft()

    def events_since(self, prefix: str, since: int) -> list[bytes] | None:
        """Return the encoded changes of a prefix after a revision; None if it is too old."""
        if self.log and len(self.log) == MAX_LOG_CHANGES and self.log[0][0] > since + 1:
            return None
        events: list[bytes] = []
        for revision, key, event in reversed(self.log):
            if revision <= since:
                break
            if key.startswith(prefix):
                events.append(event)
        events.reverse()
        return events


def item(key: str, record: Record) -> dict[str, Any]:
    """Return a key's item as sent over the wire."""
    fields = {"path": key, "v": record.value, "stamp": record.mod_revision}
    return fields if record.lease is None else {**fields, "permit": record.lease}


def watch_body(revision: int, events: Iterable[bytes]) -> bytes:
    """Return the body of a watch's answer from encoded events."""
    encoded = list(events)
    head = cbor2.dumps(len(encoded))
    # The head of a CBOR array is the head of its length, with another major type in byte 0.
    array = bytes([head[0] | 0x80]) + head[1:]
    return (
        b"\xa2"
        + cbor2.dumps("epoch")
        + cbor2.dumps(revision)
        + cbor2.dumps("events")
        + array
        + b"".join(encoded)
    )
