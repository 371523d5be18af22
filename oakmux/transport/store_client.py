"""Client of the store: transactions, reads, leases and the watch, within its rate limits."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from oakmux import constants
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.store import (
    PATH_ITEMS,
    PATH_LEASES,
    PATH_TRANSACTIONS,
    PATH_WATCH,
    Item,
    WatchEvents,
    lease_body,
    parse_item_page,
    parse_lease,
    parse_missing_key,
    parse_transaction_result,
    parse_value,
    parse_watch_events,
    transaction_body,
)
from oakmux.core import messages
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import PREFIX
from oakmux.settings import Settings
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from oakmux.transport.operation_queue import (
    OperationQueue,
    QueuedOperation,
    count_writes_of,
    priority_of,
)
from oakmux.transport.rate_limit import BurstAllowance, TokenBucket, pause

log = logging.getLogger("oakmux.state")

REVISION_COMPACTED = 410
"""Status of a watch whose revision the store no longer keeps; all records are then read again."""

MAX_WATCH_BACKOFF = 3
"""Consecutive watch failures up to which the backoff grows."""


class StoreClient:
    """Carries out the core's store operations within the controller's share of the rate limits."""

    def __init__(self, settings: Settings, put: Callable[[messages.Command], None]) -> None:
        self.addr = settings.services.store
        self.put = put
        limits = settings.facts.store.strictest
        share = constants.RATE_LIMIT_SHARE / settings.size
        self.request_tokens = TokenBucket(limits.rps * share)
        self.write_tokens = TokenBucket(limits.write_rps * share)
        self.burst_allowance = BurstAllowance(self.write_tokens.rate)
        self.client = Client(constants.STORE_CONNECTIONS)
        self.reads = OperationQueue()
        self.writes = OperationQueue()
        self.sequence = 0
        self.next_borrow_at = 0.0
        self.watch_interval_s = max(
            constants.WATCH_MIN_INTERVAL_S, 1.0 / (limits.rps * share * constants.WATCH_RATE_SHARE)
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.logged_refusals: set[tuple[int, str]] = set()
        self._handlers: dict[
            type[messages.StoreOperation], Callable[[Any], Awaitable[tuple[int, Any]]]
        ] = {
            messages.Transaction: self._transact,
            messages.ReadKey: self._read_key,
            messages.GrantLease: self._grant_lease,
            messages.RenewLease: self._renew_lease,
        }

    def submit(self, operation: messages.StoreOperation) -> None:
        """Queue an operation: leases first, then those that users wait for, then all others."""
        priority, writes = priority_of(operation), count_writes_of(operation)
        queue = self.writes if writes else self.reads
        if len(queue.heap) >= constants.MAX_QUEUED_COMMANDS:
            self._unavailable(operation)
            return
        now = asyncio.get_running_loop().time()
        if writes and priority == 0 and self._would_expire(now, writes):
            self._unavailable(operation)  # at once rather than after the timeout
            return
        self.sequence += 1
        queue.push(QueuedOperation(priority, self.sequence, now, writes, operation))

    def _unavailable(self, operation: messages.StoreOperation) -> None:
        """Report to the core that an operation was dropped before it was sent."""
        self.put(messages.OperationDone(operation.operation, 503, None))

    def _would_expire(self, now: float, writes: int) -> bool:
        """Whether a user's writes would be queued for longer than STORE_QUEUE_TIMEOUT_S."""
        self.write_tokens.wait(now, 0)  # refills the bucket
        missing = (
            self.writes.urgent_writes
            + writes
            - self.write_tokens.level
            - self.burst_allowance.allowed(now)
        )
        return missing > self.write_tokens.rate * constants.STORE_QUEUE_TIMEOUT_S

    async def dispatch(self, queue: OperationQueue) -> None:
        """Start the operations of a queue for ever, as the limits allow, the most urgent first.

        Lease renewals and reads have a queue of their own: behind writes that wait for tokens,
        renewals would be late, and healthy controllers would lose their leases.
        """
        while True:
            queue.woken.clear()
            if queue.heap:
                await self._start_first(queue)
            else:
                await queue.woken.wait()

    async def _start_first(self, queue: OperationQueue) -> None:
        """Start the first operation, or wait for tokens or a more urgent one."""
        loop = asyncio.get_running_loop()
        first, now = queue.heap[0], loop.time()
        if now - first.queued_at > constants.STORE_QUEUE_TIMEOUT_S:
            queue.pop()
            self._unavailable(first.operation)
            return
        wait = self._wait_for_tokens(first, now)
        if wait > 0:
            self._borrow(now)
            await queue.wait(wait)
            return
        queue.pop()
        self.request_tokens.consume(1)
        self.write_tokens.consume(first.writes)
        self._borrow(now)
        task = loop.create_task(self._carry_out(first.operation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _wait_for_tokens(self, queued: QueuedOperation, now: float) -> float:
        """Return the seconds until the rate limits allow an operation.

        A user's write is sent ahead of the controller's share: behind a scheduler's transaction
        it would wait for up to two seconds. The next transaction waits longer by as much.
        """
        wait = self.request_tokens.wait(now, 1)
        if not queued.writes:
            return wait
        allowance = self.burst_allowance.allowed(now) if queued.priority <= 0 else 0.0
        return max(wait, self.write_tokens.wait(now, queued.writes - allowance))

    def _borrow(self, now: float) -> None:
        """Request spare write tokens from the peers.

        The rate is split evenly among controllers, but the work is not. Peers lend tokens of their
        own share, so that the sum stays within the limit.
        """
        missing = self.writes.writes - self.write_tokens.level
        if missing > 0 and now >= self.next_borrow_at:
            self.next_borrow_at = now + constants.BORROW_INTERVAL_S
            self.put(messages.BorrowQuota(missing))

    def lend(self, wanted: float) -> float:
        """Give up write tokens that are not needed now; return the number of tokens."""
        if self.writes.heap:
            return 0.0
        self.write_tokens.wait(asyncio.get_running_loop().time(), 0)
        tokens = min(wanted, self.write_tokens.level - constants.LENDER_RESERVE)
        if tokens < constants.LEND_MIN:
            return 0.0
        self.write_tokens.consume(tokens)
        return tokens

    def credit(self, tokens: float) -> None:
        """Add the write tokens that a peer lent; tokens beyond a full bucket are lost."""
        self.write_tokens.consume(-tokens)
        self.writes.woken.set()

    async def _carry_out(self, operation: messages.StoreOperation) -> None:
        """Make the request of an operation and report its outcome to the core."""
        kind = type(operation).__name__
        try:
            status, result = await self._handlers[type(operation)](operation)
        except RequestNotSentError:
            status, result = 503, None
        except (NoResponseError, MalformedError) as error:
            log.info("event=store_no_response kind=%s why=%s", kind, error)
            status, result = 0, None
        except Exception:
            log.exception("event=store_request_failed kind=%s", kind)
            status, result = 0, None
        if status in (0, 503):
            self.burst_allowance.reset(asyncio.get_running_loop().time())
        self.put(messages.OperationDone(operation.operation, status, result))

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

    async def _transact(self, operation: messages.Transaction) -> tuple[int, Any]:
        conditions, writes = operation.conditions, operation.writes
        body = transaction_body(conditions, writes)
        status, answer = await self._call("POST", PATH_TRANSACTIONS, body)
        if writes and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "event=transaction status=%s changes=%s",
                status,
                ",".join(write[0] if len(write) > 1 else f"-{write[0]}" for write in writes),
            )
        if status in (200, 409):
            return status, parse_transaction_result(answer)
        if status in (400, 429):
            self._log_refusal(status, conditions, writes, answer)
        return (status if status == 400 else 503 if status in (429, 503) else 0), None

    def _log_refusal(
        self, status: int, conditions: list[Any], writes: list[Any], answer: Any
    ) -> None:
        """Log a refused transaction, once per status and key; values are user data, not logged."""
        key = writes[0][0] if writes else conditions[0][0] if conditions else "none"
        if (status, key) in self.logged_refusals or len(
            self.logged_refusals
        ) >= constants.MAX_CACHE_ENTRIES:
            return
        self.logged_refusals.add((status, key))
        size = max((value_bytes(write[1]) for write in writes if len(write) > 1), default=0)
        log.error(
            "event=transaction_refused status=%s key=%s bytes=%s changes=%s conditions=%s why=%r",
            status,
            key,
            size,
            len(writes),
            len(conditions),
            str(answer)[: constants.LOG_TEXT_CHARS],
        )

    async def _read_key(self, operation: messages.ReadKey) -> tuple[int, Any]:
        status, answer = await self._call("GET", f"{PATH_ITEMS}/{quote(operation.key)}")
        if status == 200:
            return 200, parse_value(answer)
        if status == 404:
            return 404, (None, parse_missing_key(answer))
        return (503 if status in (429, 503) else 0), None

    async def _grant_lease(self, operation: messages.GrantLease) -> tuple[int, Any]:
        body = lease_body(operation.ttl_s)
        status, answer = await self._call("POST", PATH_LEASES, body)
        return (200, parse_lease(answer)) if status == 200 else (503, None)

    async def _renew_lease(self, operation: messages.RenewLease) -> tuple[int, Any]:
        path = f"{PATH_LEASES}/{operation.lease}/renew"
        status, _ = await self._call("POST", path, {})
        return status, None

    async def _rate_limited_get(self, path: str, timeout: float) -> tuple[int, Any]:
        """Make a GET request as soon as the rate limit allows it."""
        loop = asyncio.get_running_loop()
        while (wait := self.request_tokens.wait(loop.time(), 1)) > 0:
            await asyncio.sleep(wait)
        self.request_tokens.consume(1)
        return await self._call("GET", path, None, timeout)

    async def load_and_watch(self) -> None:
        """Read all records, then watch them for ever."""
        failures = 0
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._load()
                status, events = await self._watch(revision)
                if events is not None:
                    revision = events.revision
                    failures = 0
                    continue
                if status == REVISION_COMPACTED:
                    revision = None
                    continue
            except (RequestNotSentError, NoResponseError, MalformedError) as error:
                log.debug("event=watch_failed why=%s", error)
            except Exception:
                log.exception("event=watch_failed")
            await pause(failures)
            failures = min(failures + 1, MAX_WATCH_BACKOFF)

    async def _watch(self, revision: int) -> tuple[int, WatchEvents | None]:
        """Report the changes after a revision, and wait until the next watch is due.

        Returns:
            The status, and the changes if the status is 200.
        """
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        path = (
            f"{PATH_WATCH}?prefix={PREFIX}&since={revision}"
            f"&block_ms={int(constants.WATCH_TIMEOUT_S * 1000)}"
        )
        status, answer = await self._rate_limited_get(
            path, constants.WATCH_TIMEOUT_S + constants.STORE_TIMEOUT_S
        )
        if status != 200:
            return status, None
        events = parse_watch_events(answer)
        self.put(messages.ApplyWatchEvents(events.events, events.revision, requested_at))
        await asyncio.sleep(max(0.0, requested_at + self.watch_interval_s - loop.time()))
        return status, events

    async def _load(self) -> int:
        """Read and report all records; return the revision of the first page.

        The watch starts at that revision, so that no change made between two pages is missed.
        """
        items: list[Item] = []
        since = ""
        first_revision: int | None = None
        requested_at = asyncio.get_running_loop().time()
        while True:
            path = f"{PATH_ITEMS}?prefix={PREFIX}&page={constants.LIST_PAGE_ITEMS}"
            if since:
                path += f"&since={quote(since)}"
            status, answer = await self._rate_limited_get(path, 2 * constants.STORE_TIMEOUT_S)
            if status != 200:
                raise NoResponseError(f"status {status}")
            page = parse_item_page(answer)
            items += page.items
            if first_revision is None:
                first_revision = page.revision
            if not page.has_more or not page.items:
                break
            since = page.items[-1][0]
        self.put(messages.LoadSnapshot(items, first_revision, requested_at))
        return first_revision
