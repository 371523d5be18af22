"""Store transactions that write changed records."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core.state.formats import value_bytes


class Put(NamedTuple):
    """Write of a value; a record with a lease is deleted when the lease ends."""

    key: str
    value: Any
    lease: int | None = None


class Delete(NamedTuple):
    """Removal of a record."""

    key: str


Write = Put | Delete


class BlockId(NamedTuple):
    """Identifies a task block by its job and its number in the job."""

    job_id: str
    number: int


class TransactionSize(NamedTuple):
    """What the store limits in a transaction; `bytes` is an upper bound of its size as JSON."""

    writes: int
    conditions: int
    bytes: int


def _condition_bytes(key: str) -> int:
    return constants.CONDITION_BYTES + len(key.encode())


def _write_bytes(write: Write) -> int:
    size = constants.WRITE_BYTES + len(write.key.encode())
    return size + value_bytes(write.value) if isinstance(write, Put) else size


def as_transaction(
    conditions: Iterable[tuple[str, int]], writes: Iterable[tuple[Any, ...]]
) -> "Transaction":
    """Return a transaction of conditions and writes: (key, value, lease), or (key,) to delete."""
    transaction = Transaction()
    for key, mod_revision in conditions:
        transaction.require(key, mod_revision)
    for write in writes:
        transaction.add_write(Delete(*write) if len(write) == 1 else Put(*write))
    return transaction


class Transaction:
    """The writes and conditions of one transaction, and the blocks, jobs and batches involved."""

    def __init__(self) -> None:
        # The mod revisions that keys must have; 0 means that the key must not exist.
        self.conditions: dict[str, int] = {}
        self.writes: list[Write] = []
        # Task blocks whose changes the transaction records, and the versions that it records.
        self.blocks: dict[BlockId, int] = {}
        # Task blocks that need no write: the records already show these versions.
        self.recorded_blocks: dict[BlockId, int] = {}
        self.jobs: set[str] = set()
        self.batches: set[str] = set()
        # Jobs that the transaction records as done.
        self.completed_jobs: set[str] = set()
        self._bytes = 0

    def require(self, key: str, mod_revision: int) -> None:
        """Add the condition that a key has a mod revision."""
        if key not in self.conditions:
            self._bytes += _condition_bytes(key)
        self.conditions[key] = mod_revision

    def add_write(self, write: Write) -> None:
        """Add a write."""
        self._bytes += _write_bytes(write)
        self.writes.append(write)

    @property
    def size(self) -> TransactionSize:
        """What the store limits in this transaction."""
        return TransactionSize(len(self.writes), len(self.conditions), self._bytes)

    def size_with(self, other: "Transaction") -> TransactionSize:
        """Return the size of both transactions in one; common conditions count once."""
        common = self.conditions.keys() & other.conditions.keys()
        return TransactionSize(
            len(self.writes) + len(other.writes),
            len(self.conditions) + len(other.conditions) - len(common),
            self._bytes + other._bytes - sum(_condition_bytes(key) for key in common),
        )

    def merge(self, other: "Transaction") -> None:
        """Add everything in another transaction to this one."""
        self._bytes = self.size_with(other).bytes
        self.conditions.update(other.conditions)
        self.writes += other.writes
        self.blocks |= other.blocks
        self.recorded_blocks |= other.recorded_blocks
        self.jobs |= other.jobs
        self.batches |= other.batches
        self.completed_jobs |= other.completed_jobs
