"""Operations for the store that wait until the rate limits allow them, the most urgent first."""

import asyncio
import heapq
from typing import NamedTuple

from oakmux.core.messages import ReadKey, StoreOperation, Transaction

LEASE_PRIORITY = -1
"""Priority of leases: before what users wait for (0) and all else."""


def priority_of(operation: StoreOperation) -> int:
    """Return an operation's priority.

    The lowest goes first; up to 0, users or other controllers wait for it.
    """
    if isinstance(operation, Transaction | ReadKey):
        return operation.priority
    return LEASE_PRIORITY


def count_writes_of(operation: StoreOperation) -> int:
    """Count an operation's writes, which count against the store's limit of writes."""
    return len(operation.writes) if isinstance(operation, Transaction) else 0


class QueuedOperation(NamedTuple):
    """An operation in its queue, in the order of the first two fields."""

    priority: int
    sequence: int
    queued_at: float
    writes: int
    operation: StoreOperation


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
