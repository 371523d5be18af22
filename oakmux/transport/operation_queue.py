"""Operations for the store that wait until the rate limits allow them, the most urgent first."""

import asyncio
import heapq
from enum import StrEnum
from typing import Any, NamedTuple


class OperationKind(StrEnum):
    """What an operation asks of the store."""

    TRANSACTION = "txn"
    READ = "get"
    GRANT_LEASE = "grant"
    RENEW_LEASE = "renew"


LEASE_PRIORITY = -1
"""Priority of leases: before what users wait for (0) and all else."""


class Operation(NamedTuple):
    """An operation of the core; its outcome is reported under its number."""

    kind: str
    number: int
    arguments: tuple[Any, ...]

    @property
    def priority(self) -> int:
        """The lowest goes first; up to 0, users or other controllers wait for it."""
        if self.kind == OperationKind.TRANSACTION:
            return self.arguments[2]
        if self.kind == OperationKind.READ:
            return self.arguments[1]
        return LEASE_PRIORITY

    @property
    def writes(self) -> int:
        """Number of the writes, which count against the store's limit of writes."""
        return len(self.arguments[1]) if self.kind == OperationKind.TRANSACTION else 0


class QueuedOperation(NamedTuple):
    """An operation in its queue, in the order of the first two fields."""

    priority: int
    sequence: int
    queued_at: float
    writes: int
    operation: Operation


class OperationQueue:
    """Operations that wait, and an event that is set when one is added or tokens arrive."""

    def __init__(self) -> None:
        self.heap: list[QueuedOperation] = []
        self.woken = asyncio.Event()
        self.writes = 0
        """Number of the writes of all operations."""
        self.urgent_writes = 0
        """Number of the writes that users or other controllers wait for."""

    def push(self, queued: QueuedOperation) -> None:
        """Add an operation."""
        heapq.heappush(self.heap, queued)
        self.writes += queued.writes
        if queued.priority <= 0:
            self.urgent_writes += queued.writes
        self.woken.set()

    def pop(self) -> QueuedOperation:
        """Remove and return the first operation; there must be one."""
        queued = heapq.heappop(self.heap)
        self.writes -= queued.writes
        if queued.priority <= 0:
            self.urgent_writes -= queued.writes
        return queued

    async def wait(self, timeout: float) -> None:
        """Wait until the queue is woken, for `timeout` seconds at most."""
        try:
            async with asyncio.timeout(timeout):
                await self.woken.wait()
        except TimeoutError:
            pass
