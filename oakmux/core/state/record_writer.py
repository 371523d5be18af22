"""Writes changed records to the store, and handles the outcome of each transaction.

While transactions are in flight, or wait for the controller's share of the write rate, changes
accumulate for the next transaction.
"""

import logging
from collections.abc import Iterable
from typing import Any

from oakmux import constants
from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.state.transaction_builder import TransactionBuilder
from oakmux.core.state.transaction_limits import REFUSED
from oakmux.core.state.transactions import Put, Transaction
from oakmux.core.state.write_buffer import WriteBuffer
from oakmux.logs import event

log = logging.getLogger("oakmux.core")


class RecordWriter:
    """The only writer of changed task blocks and completed jobs of teams whose roles are held."""

    def __init__(self, context: Context, buffer: WriteBuffer) -> None:
        self.context = context
        self.buffer = buffer
        self.builder = TransactionBuilder(context, buffer)
        # The earliest local time (s) of the next write.
        self.write_after = 0.0
        # Transactions in flight, by number.
        self.in_flight: dict[int, Transaction] = {}
        self._last_number = 0

    def flush(self) -> None:
        """Write changes that are due, many in one transaction."""
        if (
            self.context.now < self.write_after
            or len(self.in_flight) >= constants.WRITES_IN_FLIGHT
            or not self._is_due()
        ):
            return
        transaction = self.builder.build()
        if not transaction.writes:
            for block_id, version in transaction.blocks.items():
                self.buffer.settle(block_id, version)
        elif self.builder.limits.may_send(transaction):
            self._send(transaction)
        else:
            self._make_dirty(transaction)

    def _is_due(self) -> bool:
        """Whether a finished job or a changed block is due for writing."""
        now = self.context.now
        return bool(self.buffer.finished_jobs) or any(
            due <= now for due in self.buffer.dirty.values()
        )

    def _send(self, transaction: Transaction) -> None:
        self.builder.busy_jobs |= transaction.jobs
        self.builder.busy_batches |= transaction.batches
        self._last_number += 1
        number = self._last_number
        self.in_flight[number] = transaction
        self._log_sent(number, transaction)
        self.context.call(
            lambda status, result: self._on_outcome(number, status, result),
            messages.Transaction,
            list(transaction.conditions.items()),
            transaction.writes,
            1,
        )

    @staticmethod
    def _log_sent(number: int, transaction: Transaction) -> None:
        """Log what a transaction contains."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "event=records_sent number=%s conditions=%s writes=%s bytes=%s blocks=%s "
                "batches=%s jobs=%s",
                number,
                len(transaction.conditions),
                len(transaction.writes),
                transaction.size.bytes,
                ",".join(f"{block.job_id}/{block.number}" for block in transaction.blocks),
                ",".join(sorted(transaction.batches)),
                ",".join(sorted(transaction.jobs)),
            )

    def _on_outcome(self, number: int, status: int, result: Any) -> None:
        transaction = self.in_flight.pop(number)
        log.debug("event=records_answered number=%s status=%s", number, status)
        self.builder.busy_jobs -= transaction.jobs
        self.builder.busy_batches -= transaction.batches
        if status == 200:
            self._commit(transaction, result[0])
            return
        # The write failed or its outcome is unknown: retry it, conditional on the newest mod
        # revisions. A delayed duplicate then fails, since each successful write changes the mod
        # revisions that it checks.
        self.write_after = self.context.now + constants.BACKOFF_FIRST_S
        self._make_dirty(transaction)
        if status == REFUSED:
            # Not written, and can't be in this form: the store's limits have fallen.
            self.buffer.refused = True
            self.builder.limits.note_refused(transaction)
        elif status == 409 and result is not None:
            self._read_again(result[1])
        elif status != 503:  # 503 guarantees that nothing was written
            event("write_outcome_unknown", status=status, jobs=len(transaction.jobs))
            self._read_again(write.key for write in transaction.writes)

    def _make_dirty(self, transaction: Transaction) -> None:
        """Mark the blocks of a transaction that was not carried out as not written."""
        for block_id in transaction.blocks:
            if block_id in self.buffer.versions:
                self.buffer.dirty.setdefault(block_id, 0.0)

    def _commit(self, transaction: Transaction, revision: int) -> None:
        """Apply a committed transaction to the replica."""
        for write in transaction.writes:
            value = write.value if isinstance(write, Put) else None
            self.context.replica.apply(write.key, value, revision)
        for job_id in transaction.completed_jobs:
            self.buffer.finished_jobs.pop(job_id, None)
            event("job_done", job=job_id)
        for block_id, version in transaction.blocks.items():
            if self.buffer.settle(block_id, version):
                log.debug(
                    "event=record_settled block=%s/%s revision=%s",
                    block_id.job_id,
                    block_id.number,
                    revision,
                )

    def _read_again(self, keys: Iterable[str]) -> None:
        """Read records whose state in the store is unknown."""
        for key in keys:
            self.context.call(
                lambda status, record, key=key: self._on_record(key, status, record),
                messages.ReadKey,
                key,
                1,
            )

    def _on_record(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.context.replica.apply(key, *result)
        elif status == 404 and result is not None:
            self.context.replica.apply(key, None, result[1])
