"""Chooses the binding batch for the row of a job that has none yet."""

import itertools
from collections import Counter
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.state.binding_batches import reserved_bytes


class PendingRow(NamedTuple):
    """Room in a batch that is reserved for a job."""

    batch: str
    bytes: int


class BatchAllocator:
    """Reserves room for all bindings of a small job in a batch before the first is written.

    Otherwise a job might have to wait for others of its batch to end.
    """

    def __init__(self, context: Context, value_bytes: int) -> None:
        self.context = context
        self.limit = min(constants.BATCH_BYTES, value_bytes)
        # Rows that are not known to be recorded: their batch and bytes, by job.
        self.pending: dict[str, PendingRow] = {}
        self.pending_bytes: Counter[str] = Counter()

    def choose(self, team: str, job_id: str, tasks: int) -> str:
        """Return the name of a team's first batch with room for a job's row, and reserve it."""
        need = reserved_bytes(tasks)
        for number in itertools.count():
            name = f"{team}/{number}"
            if self._reserved(name) + need <= self.limit:
                break
        self.pending[job_id] = PendingRow(name, need)
        self.pending_bytes[name] += need
        return name

    def _reserved(self, name: str) -> int:
        batch = self.context.replica.job_records.batches.get(name)
        return self.pending_bytes[name] + (batch.reserved if batch is not None else 0)

    def release(self, job_id: str) -> None:
        """End a job's reservation.

        Its row is recorded and counts with its batch, or it will not be written.
        """
        row = self.pending.pop(job_id, None)
        if row is not None:
            name, need = row
            self.pending_bytes[name] -= need
            if not self.pending_bytes[name]:
                del self.pending_bytes[name]
