"""Store operations that wait until the rate limits allow them, the most urgent first."""

import asyncio
import heapq
from typing import NamedTuple

from oakmux.core.messages import ReadKey, StoreOperation, Transaction

LEASE_PRIORITY = -1
"""Priority of lease operations: before operations that users wait for (0), and all others."""


def priority_of(operation: StoreOperation) -> int:
    """Return an operation's priority.

    The lowest goes first. At 0 or below, users or other controllers wait for the operation.
    """
    if isinstance(operation, Transaction | ReadKey):
        return operation.priority
    return LEASE_PRIORITY


def count_writes_of(operation: StoreOperation) -> int:
    """Count an operation's writes, to which the store's limit of writes applies."""
    return len(operation.writes) if isinstance(operation, Transaction) else 0


class QueuedOperation(NamedTuple):
    """An operation in its queue, ordered by the first two fields."""

    priority: int
    sequence: int
    queued_at: float
    writes: int
    operation: StoreOperation


class OperationQueue:
    """Queued operations, and an event that is set when one is added or tokens arrive."""

    def __init__(self) -> None:
        self.heap: list[QueuedOperation] = []
        self.woken = asyncio.Event()
        self.writes = 0
        """Number of writes in all operations."""
        self.urgent_writes = 0
        """Number of writes that users or other controllers wait for."""

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
        """Wait until `woken` is set, for `timeout` seconds at most."""
        try:
            async with asyncio.timeout(timeout):
                await self.woken.wait()
        except TimeoutError:
            pass
