"""Gathers changed records into transactions (group commit).

One transaction contains the changes of many jobs, and one binding batch, a single value in it,
those of many small jobs. Each transaction is conditional on the mod revisions of:

- the teams' roles,
- each record that it replaces, and
- each job whose tasks it binds or that it records as done.
"""

import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.state.binding_batches import ONLY_BLOCK, BindingBatch
from oakmux.core.state.codecs import Value
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import batch_key, block_key
from oakmux.core.state.record_writes import RecordWrites
from oakmux.core.state.records import Job
from oakmux.core.state.transaction_limits import TransactionLimits, is_divisible
from oakmux.core.state.transactions import BlockId, Put, Transaction
from oakmux.core.state.write_buffer import WriteBuffer

log = logging.getLogger("oakmux.core")


class DirtyJob(NamedTuple):
    """A job with changed task blocks: the earliest due time (s), and the blocks' numbers."""

    due: float
    job: Job
    numbers: list[int]


class TransactionBuilder:
    """Builds the next transaction from the write buffer."""

    def __init__(self, context: Context, buffer: WriteBuffer) -> None:
        self.context = context
        self.buffer = buffer
        # Jobs and batches of transactions in flight; each is in at most one transaction at a time.
        self.busy_jobs: set[str] = set()
        self.busy_batches: set[str] = set()
        # Keys of records that exceed the size limit, to log each once.
        self.too_large_keys: set[str] = set()
        strictest = context.facts.store.strictest
        self.limits = TransactionLimits(strictest, lambda: context.now)
        self.record_writes = RecordWrites(context, buffer)
        # Writes (count) up to which changes of several jobs and batches share a transaction: one
        # far above this controller's share of the write rate would delay all later writes.
        share = int(constants.TRANSACTION_RATE_S * strictest.write_rps / context.settings.size)
        self.shared_writes = max(constants.TRANSACTION_MIN_CHANGES, share)

    def build(self) -> Transaction:
        """Return a transaction with the due changes; its blocks are no longer dirty.

        Blocks that turn out to be recorded already are settled.
        """
        dirty = self._dirty_jobs()
        by_batch: dict[str, list[DirtyJob]] = {}
        for entry in dirty:
            name = self._batch_of(entry)
            if name is not None:
                by_batch.setdefault(name, []).append(entry)
        transaction = Transaction()
        visited_batches: set[str] = set()
        self._add_finished_jobs(transaction)
        for entry in dirty:
            if entry.due > self.context.now:
                break
            if not self.buffer.owns(entry.job) or self._is_busy(transaction, entry.job):
                continue
            name = self._batch_of(entry)
            if name is None:
                self._add_blocks(transaction, entry)
            elif name not in visited_batches and name not in self.busy_batches:
                visited_batches.add(name)
                self._add_batch(transaction, name, entry.job.team, by_batch[name])
        for block_id in transaction.blocks:
            self.buffer.dirty.pop(block_id, None)
        for block_id, version in transaction.recorded_blocks.items():
            self.buffer.settle(block_id, version)
        return transaction

    def _dirty_jobs(self) -> list[DirtyJob]:
        """Return all jobs with changed blocks, ordered by due time."""
        numbers: dict[str, list[int]] = {}
        due: dict[str, float] = {}
        for (job_id, number), block_due in self.buffer.dirty.items():
            numbers.setdefault(job_id, []).append(number)
            due[job_id] = min(block_due, due.get(job_id, math.inf))
        jobs = self.context.replica.jobs
        dirty_jobs = [
            DirtyJob(due[job_id], jobs[job_id], changed) for job_id, changed in numbers.items()
        ]
        return sorted(dirty_jobs, key=lambda entry: entry.due)

    def _is_busy(self, transaction: Transaction, job: Job) -> bool:
        """Whether a job is in a transaction in flight, or in this one."""
        return job.id in self.busy_jobs or job.id in transaction.jobs

    def _batch_of(self, entry: DirtyJob) -> str | None:
        """Return the name of the batch that holds a job's only block, or None."""
        if entry.numbers != [ONLY_BLOCK]:
            return None
        return self.buffer.changed[entry.job.id][ONLY_BLOCK].batch

    def _admit(
        self, transaction: Transaction, partial: Transaction, spare_writes: int = 0
    ) -> bool:
        """Add what belongs together to a transaction if it then keeps within all limits.

        One that has writes must also have room for `spare_writes`. What the store refused is left
        out until it changes; everything else is written meanwhile.
        """
        size = transaction.size_with(partial)
        if (
            (transaction.writes and size.writes + spare_writes > self.shared_writes)
            or not self.limits.allow(size)
            or self.limits.was_refused(partial)
        ):
            return False
        transaction.merge(partial)
        return True

    def _admit_alone(self, transaction: Transaction, partial: Transaction) -> None:
        """Add to an empty transaction what fits; if it was refused, divide or defer it."""
        if self._admit(transaction, partial):
            return
        if is_divisible(partial.size):
            self.limits.note_refused(partial)
        else:
            self._defer(partial.blocks)

    def _defer(self, blocks: Iterable[BlockId]) -> None:
        """Look at blocks that can't be written again after a pause, or once they change."""
        for block_id in blocks:
            self.buffer.dirty[block_id] = self.context.now + constants.RETRY_MAX_S

    # --- task blocks with records of their own ---

    def _add_blocks(self, transaction: Transaction, entry: DirtyJob) -> None:
        """Add a job's changed blocks, each as its own record.

        A transaction takes all of them, with the job's end if they complete it, or none. One that
        is empty takes as many as fit.
        """
        values = self._block_values(entry)
        complete = len(values) == len(entry.numbers) and self._is_completed(entry.job)
        partial = self.record_writes.blocks(entry.job, values, complete)
        if not values or self._admit(transaction, partial, spare_writes=0 if complete else 1):
            return
        if not transaction.writes:
            self._admit_alone(transaction, self._fitting_blocks(entry.job, values))

    def _block_values(self, entry: DirtyJob) -> dict[int, Value]:
        """Return the values of a job's changed blocks; postpones those that are too large."""
        values = self.record_writes.block_values(entry.job, entry.numbers)
        return {
            number: value
            for number, value in values.items()
            if not self._postpone_too_large(entry.job.id, number, value)
        }

    def _fitting_blocks(self, job: Job, values: dict[int, Value]) -> Transaction:
        """Return the writes of a job's first blocks, as many as an empty transaction takes."""
        fitting = Transaction()
        for number, value in values.items():
            partial = self.record_writes.blocks(job, {number: value}, complete=False)
            if fitting.blocks and not self.limits.allow(fitting.size_with(partial)):
                break
            fitting.merge(partial)
        return fitting

    def _is_completed(self, job: Job) -> bool:
        """Whether a job has to be recorded as done."""
        return job.id in self.buffer.finished_jobs and not job.final

    def _postpone_too_large(self, job_id: str, number: int, value: Value) -> bool:
        """Postpone a block whose value exceeds the limit; return whether it does.

        The block is retried later, when more of its tasks may have ended.
        """
        limit = self.buffer.max_value_bytes()
        bound_tasks = len(self.buffer.changed[job_id][number].bindings)
        if bound_tasks * constants.BINDING_BYTES <= limit or value_bytes(value) <= limit:
            return False
        self._postpone(block_key(job_id, number), value_bytes(value), [BlockId(job_id, number)])
        return True

    def _postpone(self, key: str, size: int, blocks: Iterable[BlockId]) -> None:
        """Schedule a later retry for the blocks of a record that exceeds the size limit."""
        if key not in self.too_large_keys:
            self.too_large_keys.add(key)
            limit = self.buffer.max_value_bytes()
            log.error("event=record_too_large key=%s bytes=%s limit=%s", key, size, limit)
        self._defer(blocks)

    # --- task blocks in batches ---

    def _add_finished_jobs(self, transaction: Transaction) -> None:
        """Record finished jobs as done at once, since users wait for that.

        Their rows in batches are removed by a later write of the batch. Until then their tasks
        still count as bound. A job with changed blocks of its own ends together with these.
        """
        for job_id in self.buffer.finished_jobs:
            if len(transaction.writes) >= self.shared_writes:
                return
            job = self.context.replica.jobs[job_id]
            if (
                not job.final
                and not self._has_own_changes(job)
                and self.buffer.owns(job)
                and not self._is_busy(transaction, job)
            ):
                self._admit(transaction, self.record_writes.end(job))

    def _has_own_changes(self, job: Job) -> bool:
        """Whether a job has changed blocks with records of their own."""
        changed = self.buffer.changed.get(job.id, {})
        return any(block.batch is None for block in changed.values())

    def _add_batch(
        self, transaction: Transaction, name: str, team: str, dirty: list[DirtyJob]
    ) -> None:
        """Add a batch with all changed rows, due or not: the write costs no more.

        Other rows stay as recorded. A job's mod revision is a condition only if the write binds
        tasks of the job: ending bindings can't undo other changes to the job.
        """
        batch = self.context.replica.job_records.batches.get(name) or BindingBatch(0, {})
        rows = dict(batch.rows)
        partial = self.record_writes.batch_conditions(name, team, batch)
        for entry in dirty:
            if not self._has_room_for_condition(transaction, partial):
                break
            if not self._is_busy(transaction, entry.job):
                self.record_writes.update_row(partial, rows, entry.job)
        if rows == batch.rows:  # recorded already, by a transaction whose answer was lost
            transaction.recorded_blocks |= partial.blocks
            return
        value = [row.to_value() for row in rows.values()]
        size = value_bytes(value)
        if size > self.buffer.max_value_bytes():
            self._postpone(batch_key(name), size, partial.blocks)
            return
        partial.add_write(Put(batch_key(name), value))
        if transaction.writes:
            self._admit(transaction, partial)
        else:
            self._admit_alone(transaction, partial)

    def _has_room_for_condition(self, transaction: Transaction, partial: Transaction) -> bool:
        """Whether the transaction has room for the condition of another row."""
        return transaction.size_with(partial).conditions < self.limits.current.conditions
