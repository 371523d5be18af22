"""Assigns the row of a job to a binding batch."""

import itertools
from collections import Counter
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.state.binding_batches import reserved_bytes


class RowReservation(NamedTuple):
    """Bytes in a batch that are reserved for a job's row."""

    batch: str
    bytes: int


class BatchAllocator:
    """Reserves space for all bindings of a small job in a batch before its first one is written.

    Without a reservation, a job might have to wait until other jobs of its batch end.
    """

    def __init__(self, context: Context, value_bytes: int) -> None:
        self.context = context
        self.limit = min(constants.BATCH_BYTES, value_bytes)
        # Reservations for rows that are not known to be recorded, by job.
        self.reservations: dict[str, RowReservation] = {}
        self.reserved_bytes_by_batch: Counter[str] = Counter()

    def choose(self, team: str, job_id: str, tasks: int) -> str:
        """Reserve space for a job's row in its team's first batch with room; return the name.

        The row must fit into an empty batch (`shares_batch`).
        """
        row_bytes = reserved_bytes(tasks)
        for number in itertools.count():
            name = f"{team}/{number}"
            if self._reserved(name) + row_bytes <= self.limit:
                break
        self.reservations[job_id] = RowReservation(name, row_bytes)
        self.reserved_bytes_by_batch[name] += row_bytes
        return name

    def _reserved(self, name: str) -> int:
        batch = self.context.replica.job_records.batches.get(name)
        return self.reserved_bytes_by_batch[name] + (batch.reserved if batch is not None else 0)

    def release(self, job_id: str) -> None:
        """End a job's reservation.

        Called once the row is recorded, and so counted in its batch, or will never be written.
        """
        reservation = self.reservations.pop(job_id, None)
        if reservation is not None:
            name, row_bytes = reservation
            self.reserved_bytes_by_batch[name] -= row_bytes
            if not self.reserved_bytes_by_batch[name]:
                del self.reserved_bytes_by_batch[name]
