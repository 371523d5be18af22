"""The stand-in of the state service: one address for each controller, so that it knows the caller.

A case may set `state.fault`, which is asked before each request and returns a Fault or None.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import http11
import msgspec
from http11 import Reply

KEPT_CHANGES = 10_000


class Fault(NamedTuple):
    """What happens to one request: delays on its way and on the answer's way (s), and its fate.

    `refuse`: 503, not executed. `lost`: executed, then the connection is closed unanswered.
    """

    before_s: float = 0.0
    after_s: float = 0.0
    refuse: bool = False
    lost: bool = False


class Limits:
    """The limits of the service; a case may change them while it runs."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.rps = rps
        self.write_rps = write_rps
        self.value_kb = value_kb
        self.txn_ops = txn_ops


class Bucket:
    """A rate limit with bursts of one second's worth."""

    def __init__(self) -> None:
        self.level: float | None = None
        self.at = 0.0

    def take(self, now: float, rate: float, cost: float) -> bool:
        """Take `cost` if the rate allows it; return whether it did."""
        if self.level is None:
            self.level = rate
        self.level = min(rate, self.level + (now - self.at) * rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


class State:
    """Keys, leases and the log of changes."""

    def __init__(self, limits: Limits, note: Callable[[str], None]) -> None:
        self.limits = limits
        self.note = note
        self.epoch = 0
        self.rows: dict[str, tuple[Any, int, int | None]] = {}  # value, stamp, permit
        self.changes: list[tuple[int, str, Any]] = []  # stamp, key, value or None
        self.permits: dict[int, list[float]] = {}  # end, life
        self.last_permit = 0
        self.requests, self.writes = Bucket(), Bucket()
        self.fault: Callable[[str, str, str, Any], Fault | None] = lambda *_: None
        self.refused_400 = 0
        self.changed = asyncio.Event()
        self.out = False
        self.refused: set[str] = set()  # controllers that are refused alone

    @property
    def now(self) -> float:
        """The time in seconds of the steady clock."""
        return asyncio.get_running_loop().time()

    async def start(self, label: str) -> int:
        """Serve one controller; return the port."""

        async def handler(method: str, path: str, body: Any) -> Reply | None:
            return await self.handle(label, method, path, body)

        _, port = await http11.serve(handler)
        return port

    async def expire_for_ever(self) -> None:
        """End permits that are not renewed in time; none ends during an outage."""
        while True:
            await asyncio.sleep(0.05)
            if not self.out:
                for permit in [p for p, (end, _) in self.permits.items() if end <= self.now]:
                    self.end_permit(permit)

    def end_permit(self, permit: int) -> None:
        """End a permit and remove the keys that are attached to it."""
        self.permits.pop(permit, None)
        keys = sorted(key for key, row in self.rows.items() if row[2] == permit)
        if keys:
            self.epoch += 1
            for key in keys:
                del self.rows[key]
                self.log(key, None)

    def set_out(self, out: bool) -> None:
        """Begin or end an outage; at its end, all permits have their full time again."""
        self.out = out
        if not out:
            for permit in self.permits.values():
                permit[0] = self.now + permit[1]

    def log(self, key: str, value: Any) -> None:
        """Add a change under the present epoch, and wake the watches."""
        self.changes.append((self.epoch, key, value))
        del self.changes[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, label: str, method: str, path: str, body: Any) -> Reply | None:
        """Serve one request."""
        fault = self.fault(label, method, path, body) or Fault()
        if fault.before_s:
            await asyncio.sleep(fault.before_s)
        reply = await self.serve_now(label, method, path, body, fault)
        if fault.after_s:
            await asyncio.sleep(fault.after_s)
        return None if fault.lost else reply

    def blocked(self, label: str) -> bool:
        """Whether a controller is refused now; its open watches wait."""
        return self.out or label in self.refused

    async def serve_now(
        self, label: str, method: str, path: str, body: Any, fault: Fault
    ) -> Reply:
        """Execute a request, or refuse it."""
        if fault.refuse or self.blocked(label):
            return Reply(503, {"error": "trouble"})
        if not self.requests.take(self.now, self.limits.rps, 1):
            return Reply(429, {"error": "requests"})
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/watch":
            block_s = int(query.get("block_ms", 0)) / 1000
            return await self.watch(label, query["prefix"], int(query["since"]), block_s)
        return self.route(method, parts.path, query, body)

    def route(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        """Execute a request."""
        if path == "/txn" and method == "POST":
            return self.transact(body.get("guards") or [], body.get("writes") or [])
        if path == "/kv":
            return self.page(query["prefix"], query.get("since", ""), int(query.get("page", 1000)))
        if path.startswith("/kv/"):
            key = unquote(path[4:])
            row = self.rows.get(key)
            if row is None:
                return Reply(404, {"epoch": self.epoch})
            return Reply(200, self.item(key))
        if path == "/grants":
            self.last_permit += 1
            life = body["life_ms"] / 1000
            self.permits[self.last_permit] = [self.now + life, life]
            return Reply(200, {"permit": self.last_permit})
        if path.startswith("/grants/"):
            permit = int(path.split("/")[2])
            if permit not in self.permits:
                return Reply(404, {"error": "no such lease"})
            if method == "DELETE":
                self.end_permit(permit)
            else:
                self.permits[permit][0] = self.now + self.permits[permit][1]
            return Reply(200, {})
        return Reply(400, {"error": "path"})

    def item(self, key: str) -> dict[str, Any]:
        """Return a key's row as it is sent."""
        value, stamp, permit = self.rows[key]
        row = {"path": key, "v": value, "stamp": stamp}
        return row if permit is None else {**row, "permit": permit}

    def page(self, prefix: str, since: str, limit: int) -> Reply:
        """List keys in order."""
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > since)
        rows = [self.item(key) for key in keys[: min(limit, 1000)]]
        return Reply(200, {"rows": rows, "has_next": len(keys) > len(rows), "epoch": self.epoch})

    def transact(self, guards: list[Any], writes: list[Any]) -> Reply:
        """Check the limits and the guards, then write."""
        limits = self.limits
        sizes = [len(msgspec.json.encode(w["v"])) for w in writes if "write" in w]
        if (
            len(writes) > limits.txn_ops
            or len(guards) > 4 * limits.txn_ops
            or any(size > limits.value_kb * 1024 for size in sizes)
            or len(msgspec.json.encode([guards, writes])) > 64 * 1024
        ):
            self.refused_400 += 1
            self.note(
                f"state: 400 to a transaction with {len(writes)} changes, {len(guards)} "
                f"conditions, largest value {max(sizes, default=0)} bytes"
            )
            return Reply(400, {"error": "too large"})
        if writes and not self.writes.take(self.now, limits.write_rps, len(writes)):
            return Reply(429, {"error": "changes"})
        if any(w.get("permit") not in (None, *self.permits) for w in writes):
            return Reply(400, {"error": "no such lease"})
        failed = [
            guard["path"]
            for guard in guards
            if self.rows.get(guard["path"], (None, 0))[1] != guard["stamp"]
        ]
        if failed:
            return Reply(409, {"failed": failed, "epoch": self.epoch})
        if writes:
            self.epoch += 1
        for write in writes:
            if "delete" in write:
                if self.rows.pop(write["delete"], None) is not None:
                    self.log(write["delete"], None)
            else:
                self.rows[write["write"]] = (write["v"], self.epoch, write.get("permit"))
                self.log(write["write"], write["v"])
        return Reply(200, {"epoch": self.epoch})

    async def watch(self, label: str, prefix: str, since: int, block_s: float) -> Reply:
        """Wait for changes under a prefix; an outage keeps the watch waiting."""
        deadline = self.now + min(block_s, 60.0)
        while True:
            if not self.blocked(label):
                if len(self.changes) == KEPT_CHANGES and self.changes[0][0] > since + 1:
                    return Reply(410)
                events = [
                    {"delete": key, "stamp": stamp}
                    if value is None
                    else {"write": key, "v": value, "stamp": stamp}
                    for stamp, key, value in self.changes
                    if stamp > since and key.startswith(prefix)
                ]
                if events or self.now >= deadline:
                    return Reply(200, {"epoch": self.epoch, "events": events})
            changed = self.changed
            try:
                async with asyncio.timeout(0.05 if self.blocked(label) else deadline - self.now):
                    await changed.wait()
            except TimeoutError:
                pass
