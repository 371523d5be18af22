"""The state service: keys, leases, transactions and watches."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from sortedcontainers import SortedDict

from standins.record import Record
from standins.wire import Exchange, json_bytes, serve

LOG_CHANGES = 10_000
PAGE_ITEMS = 1000
PAGE_BYTES = 512 * 1024


class Limits(NamedTuple):
    """The limits that the settings name."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class Bucket:
    """A rate limit with bursts worth one second."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.level = rate
        self.at = 0.0

    def take(self, now: float, cost: float) -> bool:
        """Take tokens if there are enough."""
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


class Lease:
    """A lease and its keys."""

    def __init__(self, life_s: float, now: float) -> None:
        self.life_s = life_s
        self.ends_at = now + life_s
        self.keys: set[str] = set()


class Item(NamedTuple):
    """A key's value, the revision of its last change and its lease."""

    value: Any
    stamp: int
    permit: int | None


class Watch(NamedTuple):
    """An open watch."""

    exchange: Exchange
    prefix: str
    since: int
    until: float


class State:
    """The state service; each controller reaches it under a port of its own."""

    def __init__(self, record: Record, limits: Limits, rng: random.Random) -> None:
        self.record = record
        self.limits = limits
        self.rng = rng
        self.items: SortedDict = SortedDict()
        self.leases: dict[int, Lease] = {}
        self.next_lease = 0
        self.epoch = 0
        self.log: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=LOG_CHANGES)
        self.requests = Bucket(limits.rps)
        self.changes = Bucket(limits.write_rps)
        self.watches: list[Watch] = []
        self.handlers: dict[str, Callable[[Exchange], None]] = {
            "kv": self._kv,
            "txn": self._transact,
            "grants": self._lease,
            "watch": self._watch,
        }

    async def start(self, ports: dict[str, int]) -> None:
        """Listen for each controller."""
        for port in ports.values():
            await serve(port, self.receive)
        self.task = asyncio.create_task(self._tick())

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.record.now

    # --- requests ---

    def receive(self, ex: Exchange) -> None:
        """Handle one request after a few milliseconds."""
        delay = self.rng.uniform(0.002, 0.008)
        asyncio.get_running_loop().call_later(delay, self._handle, ex)

    def _handle(self, ex: Exchange) -> None:
        if self.requests.take(self.now, 1):
            self.handlers[ex.path.split("/")[1]](ex)
        else:
            ex.answer(429, {"error": "rate"})

    def _kv(self, ex: Exchange) -> None:
        if ex.path.startswith("/kv/"):
            key = ex.path.removeprefix("/kv/")
            item = self.items.get(key)
            if item is None:
                ex.answer(404, {"epoch": self.epoch})
            else:
                ex.answer(200, self._row(key, item))
            return
        prefix, since = ex.query.get("prefix", ""), ex.query.get("since", "")
        page = min(int(ex.query.get("page", PAGE_ITEMS)), PAGE_ITEMS)
        rows: list[Any] = []
        size = 0
        more = False
        for key in self.items.irange(max(prefix, since)):
            if key <= since or not key.startswith(prefix):
                if key > since and not key.startswith(prefix):
                    break
                continue
            row = self._row(key, self.items[key])
            size += json_bytes(row)
            if len(rows) >= page or size > PAGE_BYTES:
                more = True
                break
            rows.append(row)
        ex.answer(200, {"rows": rows, "has_next": more, "epoch": self.epoch})

    @staticmethod
    def _row(key: str, item: Item) -> dict[str, Any]:
        row = {"path": key, "v": item.value, "stamp": item.stamp}
        return row if item.permit is None else {**row, "permit": item.permit}

    def _transact(self, ex: Exchange) -> None:
        ex.answer(*self._apply(ex.body))

    def _apply(self, body: Any) -> tuple[int, Any]:
        """Carry out a transaction; return status and body."""
        guards, writes = body.get("guards", []), body.get("writes", [])
        error = self._malformed(body, guards, writes)
        if error is not None:
            return 400, {"error": error}
        if writes and not self.changes.take(self.now, len(writes)):
            return 429, {"error": "rate"}
        failed = [
            guard["path"] for guard in guards if self._stamp(guard["path"]) != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for write in writes:
                self._write(write)
            self._notify()
        return 200, {"epoch": self.epoch}

    def _stamp(self, key: str) -> int:
        """Return the revision of a key's last change; 0 if the key does not exist."""
        item = self.items.get(key)
        return 0 if item is None else item.stamp

    def _malformed(self, body: Any, guards: list[Any], writes: list[Any]) -> str | None:
        """Return why a transaction gets 400, or None."""
        if len(writes) > self.limits.txn_ops or len(guards) > 4 * self.limits.txn_ops:
            return "too many"
        if json_bytes(body) > 64 * 1024:
            return "too large"
        for write in writes:
            if "v" in write and json_bytes(write["v"]) > self.limits.value_kb * 1024:
                return "value too large"
            permit = write.get("permit")
            if permit is not None and permit not in self.leases:
                return "no such lease"
        return None

    def _write(self, write: dict[str, Any]) -> None:
        key = write.get("write") or write["delete"]
        old = self.items.get(key)
        if old is not None and old.permit in self.leases:
            self.leases[old.permit].keys.discard(key)
        if "delete" in write:
            if old is not None:
                del self.items[key]
                self.log.append((self.epoch, key, {"delete": key, "stamp": self.epoch}))
            return
        permit = write.get("permit")
        self.items[key] = Item(write["v"], self.epoch, permit)
        if permit is not None:
            self.leases[permit].keys.add(key)
        event = {"write": key, "v": write["v"], "stamp": self.epoch}
        self.log.append((self.epoch, key, event))

    # --- leases ---

    def _lease(self, ex: Exchange) -> None:
        parts = ex.path.strip("/").split("/")
        if len(parts) == 1:
            self.next_lease += 1
            self.leases[self.next_lease] = Lease(ex.body["life_ms"] / 1000, self.now)
            ex.answer(200, {"permit": self.next_lease})
            return
        lease = self.leases.get(int(parts[1]))
        if lease is None:
            ex.answer(404, {"error": "no such lease"})
        elif ex.method == "DELETE":
            self._end_lease(int(parts[1]))
            ex.answer(200, {})
        else:
            lease.ends_at = self.now + lease.life_s
            ex.answer(200, {})

    def _end_lease(self, number: int) -> None:
        lease = self.leases.pop(number)
        if lease.keys:
            self.epoch += 1
            for key in sorted(lease.keys):
                del self.items[key]
                self.log.append((self.epoch, key, {"delete": key, "stamp": self.epoch}))
            self._notify()

    async def _tick(self) -> None:
        """End leases and watches whose time is over."""
        while True:
            await asyncio.sleep(0.05)
            for number in [n for n, lease in self.leases.items() if lease.ends_at < self.now]:
                self._end_lease(number)
            self._notify()

    # --- watches ---

    def _watch(self, ex: Exchange) -> None:
        until = self.now + int(ex.query.get("block_ms", 0)) / 1000
        watch = Watch(ex, ex.query.get("prefix", ""), int(ex.query["since"]), until)
        if self.log and len(self.log) == LOG_CHANGES and watch.since < self.log[0][0] - 1:
            ex.answer(410, {"epoch": self.epoch})
        elif not self._answer_watch(watch):
            self.watches.append(watch)

    def _answer_watch(self, watch: Watch) -> bool:
        events: list[Any] = []
        for epoch, key, event in reversed(self.log):
            if epoch <= watch.since:
                break
            if key.startswith(watch.prefix):
                events.append(event)
        if not events and self.now < watch.until:
            return False
        watch.exchange.answer(200, {"epoch": self.epoch, "events": events[::-1]})
        return True

    def _notify(self) -> None:
        self.watches = [watch for watch in self.watches if not self._answer_watch(watch)]
