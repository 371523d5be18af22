"""The state service: transactions, reads, leases and the watch."""

import asyncio
import heapq
import logging
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from oakmux import constants
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.codec.store import (
    PATH_ITEMS,
    PATH_LEASES,
    PATH_TRANSACTIONS,
    PATH_WATCH,
    lease_body,
    parse_item_page,
    parse_lease,
    parse_missing_key,
    parse_transaction_result,
    parse_value,
    parse_watch_events,
    transaction_body,
)
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import PREFIX
from oakmux.settings import Settings
from oakmux.transport.http_client import Client, NoResponse, RequestNotSent
from oakmux.transport.rate_limit import BurstAllowance, TokenBucket, pause

log = logging.getLogger("oakmux.state")


class Line:
    """Operations that wait for their turn."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, float, int, tuple]] = []
        self.woken = asyncio.Event()


class StoreClient:
    """Carries out the core's operations within our share of the limits."""

    def __init__(self, settings: Settings, put: Callable[[tuple], None]) -> None:
        self.addr = settings.services.store
        self.put = put
        # Of the present and the coming limits the smaller: they change without notice.
        limits = settings.facts.store.strictest
        share = constants.RATE_LIMIT_SHARE / settings.size
        self.requests = TokenBucket(limits.rps * share)
        self.changes = TokenBucket(limits.write_rps * share)
        self.ahead = BurstAllowance(self.changes.rate)
        self.client = Client(constants.STORE_CONNECTIONS)
        self.reads = Line()
        self.writes = Line()
        self.count = 0
        self.next_borrow = 0.0
        self.watch_gap = max(
            constants.WATCH_MIN_INTERVAL_S, 1.0 / (limits.rps * share * constants.WATCH_RATE_SHARE)
        )
        self.tasks: set[asyncio.Task] = set()
        self.refused: set[tuple[int, str]] = set()

    def submit(self, kind: str, op: int, *args: Any) -> None:
        """Queue an operation: leases first, then what users wait for, then the rest."""
        if kind == "txn":
            priority, cost = args[2], len(args[1])
        elif kind == "get":
            priority, cost = args[1], 0
        else:
            priority, cost = -1, 0
        line = self.writes if cost else self.reads
        if len(line.heap) >= constants.MAX_QUEUED_COMMANDS:
            self.put(("done", op, 503, None))
            return
        now = asyncio.get_running_loop().time()
        if cost and priority == 0 and self._hopeless(now, cost):
            self.put(("done", op, 503, None))  # at once, rather than when its time is over
            return
        self.count += 1
        heapq.heappush(line.heap, (priority, self.count, now, cost, (kind, op, *args)))
        line.woken.set()

    def _hopeless(self, now: float, cost: int) -> bool:
        """Whether a user's change would wait for its turn for longer than it may."""
        before = sum(op[3] for op in self.writes.heap if op[0] <= 0)
        self.changes.wait(now, 0)  # brings the level up to date
        short = before + cost - self.changes.level - self.ahead.allowed(now)
        return short > self.changes.rate * constants.STORE_QUEUE_TIMEOUT_S

    async def pump(self, line: Line) -> None:
        """Start the operations of a line as the limits allow, the most urgent first.

        Renewals and reads have a line of their own: when they stood behind changes that waited
        for their share of the rate, controllers lost their leases for no other reason.
        """
        loop = asyncio.get_running_loop()
        while True:
            line.woken.clear()
            if not line.heap:
                await line.woken.wait()
                continue
            priority, _, since, cost, op = line.heap[0]
            now = loop.time()
            if now - since > constants.STORE_QUEUE_TIMEOUT_S:
                heapq.heappop(line.heap)
                self.put(("done", op[1], 503, None))
                continue
            # A user's change goes ahead of its share: behind an owner's transaction it waited
            # for up to two seconds. The next transaction waits so much longer.
            ahead = self.ahead.allowed(now) if priority <= 0 else 0.0
            wait = max(
                self.requests.wait(now, 1), self.changes.wait(now, cost - ahead) if cost else 0.0
            )
            if wait > 0:
                self._borrow(now)
                try:  # something more urgent may come meanwhile
                    async with asyncio.timeout(wait):
                        await line.woken.wait()
                except TimeoutError:
                    pass
                continue
            heapq.heappop(line.heap)
            self.requests.take(1)
            self.changes.take(cost)
            self._borrow(now)
            task = loop.create_task(self._carry_out(op))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _borrow(self, now: float) -> None:
        """Ask the peers for changes that they can spare: the rate is split evenly, the work is
        not. What is lent was their own share, so that the sum keeps within the limit."""
        short = sum(op[3] for op in self.writes.heap) - self.changes.level
        if short > 0 and now >= self.next_borrow:
            self.next_borrow = now + constants.BORROW_INTERVAL_S
            self.put(("short", short))

    def lend(self, wanted: float) -> float:
        """Give up changes that we don't need now; return how many."""
        if self.writes.heap:
            return 0.0
        self.changes.wait(asyncio.get_running_loop().time(), 0)
        given = min(wanted, self.changes.level - constants.LENDER_RESERVE)
        if given < constants.LEND_MIN:
            return 0.0
        self.changes.take(given)
        return given

    def credit(self, given: float) -> None:
        """Take what a peer lent; what we have no use for any more is lost."""
        self.changes.take(-given)
        self.writes.woken.set()

    async def _carry_out(self, op: tuple) -> None:
        kind, number, *args = op
        try:
            status, result = await getattr(self, f"_{kind}")(*args)
        except RequestNotSent:
            status, result = 503, None
        except (NoResponse, Malformed) as error:
            log.info("event=state_no_answer kind=%s why=%s", kind, error)
            status, result = 0, None
        except Exception:
            log.exception("event=state_failed kind=%s", kind)
            status, result = 0, None
        if status in (0, 503):
            self.ahead.reset(asyncio.get_running_loop().time())
        self.put(("done", number, status, result))

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: float = constants.STORE_TIMEOUT_S
    ) -> tuple[int, Any]:
        data = b"" if body is None else encode(body)
        status, answer = await self.client.request(
            self.addr, method, path, data, timeout, constants.MAX_STORE_BODY_BYTES
        )
        if status == 503:
            return 503, None
        return status, decode(answer) if answer else None

    async def _txn(self, guards: list, writes: list, _: int) -> tuple[int, Any]:
        body = transaction_body(guards, writes)
        status, answer = await self._call("POST", PATH_TRANSACTIONS, body)
        if writes and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "event=txn status=%s changes=%s",
                status,
                ",".join(write[0] if len(write) > 1 else f"-{write[0]}" for write in writes),
            )
        if status in (200, 409):
            return status, parse_transaction_result(answer)
        if status in (400, 429):
            self._refused(status, guards, writes, answer)
        return (status if status == 400 else 503 if status in (429, 503) else 0), None

    def _refused(self, status: int, guards: list, writes: list, answer: Any) -> None:
        """Say once a key that we went beyond a limit; the value itself is the users'."""
        key = writes[0][0] if writes else guards[0][0] if guards else "none"
        if (status, key) in self.refused or len(self.refused) >= constants.MAX_REMEMBERED:
            return
        self.refused.add((status, key))
        size = max((value_bytes(write[1]) for write in writes if len(write) > 1), default=0)
        log.error(
            "event=txn_refused status=%s key=%s bytes=%s changes=%s conditions=%s why=%r",
            status,
            key,
            size,
            len(writes),
            len(guards),
            str(answer)[: constants.LOG_TEXT_CHARS],
        )

    async def _get(self, key: str, _: int) -> tuple[int, Any]:
        status, answer = await self._call("GET", f"{PATH_ITEMS}/{quote(key)}")
        if status == 200:
            return 200, parse_value(answer)
        if status == 404:
            return 404, (None, parse_missing_key(answer))
        return (503 if status in (429, 503) else 0), None

    async def _grant(self, life_s: float) -> tuple[int, Any]:
        status, answer = await self._call("POST", PATH_LEASES, lease_body(life_s))
        return (200, parse_lease(answer)) if status == 200 else (503, None)

    async def _renew(self, lease: int) -> tuple[int, Any]:
        status, _ = await self._call("POST", f"{PATH_LEASES}/{lease}/renew", {})
        return status, None

    async def _paced(self, path: str, timeout: float) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        while (wait := self.requests.wait(loop.time(), 1)) > 0:
            await asyncio.sleep(wait)
        self.requests.take(1)
        return await self._call("GET", path, None, timeout)

    async def follow(self) -> None:
        """Read all records, then watch them for ever."""
        tries = 0
        revision: int | None = None
        loop = asyncio.get_running_loop()
        while True:
            try:
                if revision is None:
                    revision = await self._load()
                asked = loop.time()
                path = (
                    f"{PATH_WATCH}?prefix={PREFIX}&since={revision}"
                    f"&block_ms={int(constants.WATCH_TIMEOUT_S * 1000)}"
                )
                status, answer = await self._paced(
                    path, constants.WATCH_TIMEOUT_S + constants.STORE_TIMEOUT_S
                )
                if status == 200:
                    events, revision = parse_watch_events(answer)
                    self.put(("watch", events, revision, asked))
                    tries = 0
                    await asyncio.sleep(max(0.0, asked + self.watch_gap - loop.time()))
                    continue
                if status == 410:
                    revision = None
                    continue
            except (RequestNotSent, NoResponse, Malformed) as error:
                log.debug("event=watch_failed why=%s", error)
            except Exception:
                log.exception("event=watch_failed")
            await pause(tries)
            tries = min(tries + 1, 3)

    async def _load(self) -> int:
        """Read all records; the watch goes on from the first page's revision."""
        rows: list[tuple[str, Any, int]] = []
        since, first = "", None
        asked = asyncio.get_running_loop().time()
        while True:
            path = f"{PATH_ITEMS}?prefix={PREFIX}&page={constants.LIST_PAGE_ITEMS}"
            if since:
                path += f"&since={quote(since)}"
            status, answer = await self._paced(path, 2 * constants.STORE_TIMEOUT_S)
            if status != 200:
                raise NoResponse(f"status {status}")
            items, more, revision = parse_item_page(answer)
            rows += items
            first = revision if first is None else first
            if not more or not items:
                break
            since = items[-1][0]
        self.put(("snapshot", rows, first, asked))
        return first
