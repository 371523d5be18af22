"""Transactions on the store that write changed records."""

from typing import Any, NamedTuple


class Put(NamedTuple):
    """Write of a value; the record vanishes with the lease, if it has one."""

    key: str
    value: Any
    lease: int | None = None


class Delete(NamedTuple):
    """Removal of a record."""

    key: str


Write = Put | Delete


class BlockId(NamedTuple):
    """Names a task block: its job and its number there."""

    job_id: str
    number: int


class Transaction:
    """The writes of one transaction and its conditions, with what they change."""

    def __init__(self) -> None:
        # The mod revisions that keys must have; 0 means that the key must not exist.
        self.conditions: dict[str, int] = {}
        self.writes: list[Write] = []
        # Changed task blocks whose state the transaction records.
        self.blocks: list[BlockId] = []
        self.jobs: set[str] = set()
        self.batches: set[str] = set()
        # Jobs that it records as done.
        self.completed_jobs: set[str] = set()
        self.bytes = 0

    def merge(self, other: "Transaction") -> None:
        """Add all of another transaction."""
        self.conditions.update(other.conditions)
        self.writes += other.writes
        self.blocks += other.blocks
        self.jobs |= other.jobs
        self.batches |= other.batches
        self.completed_jobs |= other.completed_jobs
        self.bytes += other.bytes
