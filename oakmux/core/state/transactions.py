"""Store transactions that write changed records."""

from typing import Any, NamedTuple


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
        self.bytes = 0

    def merge(self, other: "Transaction") -> None:
        """Add everything in another transaction to this one."""
        self.conditions.update(other.conditions)
        self.writes += other.writes
        self.blocks |= other.blocks
        self.recorded_blocks |= other.recorded_blocks
        self.jobs |= other.jobs
        self.batches |= other.batches
        self.completed_jobs |= other.completed_jobs
        self.bytes += other.bytes
