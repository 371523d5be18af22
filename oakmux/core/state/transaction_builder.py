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
from oakmux.core.state.binding_batches import ONLY_BLOCK, BatchRow, BindingBatch
from oakmux.core.state.codecs import Value, encode_block, encode_job
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import batch_key, block_key, job_key, role_key
from oakmux.core.state.records import Job, TaskBlock
from oakmux.core.state.transactions import BlockId, Delete, Put, Transaction
from oakmux.core.state.write_buffer import WriteBuffer

log = logging.getLogger("oakmux.core")

# The limit on a transaction's conditions, as a multiple of the limit on its operations.
CONDITIONS_PER_WRITE = 4


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
        limits = context.facts.store.strictest
        # A transaction far above this controller's share of the write rate would delay all later
        # writes.
        share = int(constants.TRANSACTION_RATE_S * limits.write_rps / context.settings.size)
        self.max_writes = min(limits.txn_ops, max(constants.TRANSACTION_MIN_CHANGES, share))
        self.max_conditions = CONDITIONS_PER_WRITE * limits.txn_ops

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

    def _carry(self, partial: Transaction, block_id: BlockId) -> None:
        """Note that a transaction records the present version of a block."""
        partial.blocks[block_id] = self.buffer.versions[block_id]

    def _is_busy(self, transaction: Transaction, job: Job) -> bool:
        """Whether a job is in a transaction in flight, or in this one."""
        return job.id in self.busy_jobs or job.id in transaction.jobs

    def _batch_of(self, entry: DirtyJob) -> str | None:
        """Return the name of the batch that holds a job's only block, or None."""
        if entry.numbers != [ONLY_BLOCK]:
            return None
        return self.buffer.changed[entry.job.id][ONLY_BLOCK].batch

    # --- task blocks with records of their own ---

    def _add_blocks(self, transaction: Transaction, entry: DirtyJob) -> None:
        """Add a job's changed blocks, each as its own record."""
        job, numbers = entry.job, entry.numbers
        if len(transaction.writes) + len(numbers) + 1 > self.max_writes:
            if transaction.writes:
                return
            numbers = numbers[: self.context.facts.store.strictest.txn_ops - 1]
        record_format = self.buffer.record_format()
        changed = self.buffer.changed[job.id]
        values = {number: encode_block(changed[number], record_format) for number in numbers}
        numbers = [n for n in numbers if not self._postpone_too_large(job.id, n, values[n])]
        numbers = self._fitting_blocks(transaction, numbers, values)
        if not numbers:
            return
        partial = Transaction()
        partial.bytes = sum(value_bytes(values[number]) for number in numbers)
        finishing = (
            job.id in self.buffer.finished_jobs
            and not job.final
            and len(numbers) == len(entry.numbers)
        )
        self._add_job_conditions(partial, job)
        if finishing:
            self._record_completion(partial, job)
        for number in numbers:
            self._add_block(partial, job, number, values[number], finishing)
        partial.jobs.add(job.id)
        transaction.merge(partial)

    def _add_block(
        self, partial: Transaction, job: Job, number: int, value: Value, finishing: bool
    ) -> None:
        """Add one block: a write of its value, or its removal if it is obsolete."""
        key, old = block_key(job.id, number), job.blocks.get(number)
        partial.conditions[key] = old.mod_revision if old is not None else 0
        self._carry(partial, BlockId(job.id, number))
        if not self._is_obsolete(job, self.buffer.changed[job.id][number], finishing):
            partial.writes.append(Put(key, value))
        elif old is not None:
            partial.writes.append(Delete(key))

    @staticmethod
    def _fitting_blocks(
        transaction: Transaction, numbers: list[int], values: dict[int, Value]
    ) -> list[int]:
        """Return the blocks that fit into the transaction.

        If it already has writes, these are all blocks or none; if it is empty, as many as fit,
        and at least one.
        """
        remaining_bytes = constants.TRANSACTION_BYTES - transaction.bytes
        fitting: list[int] = []
        for number in numbers:
            remaining_bytes -= value_bytes(values[number])
            if remaining_bytes < 0 and (transaction.writes or fitting):
                return [] if transaction.writes else fitting
            fitting.append(number)
        return fitting

    def _add_job_conditions(self, partial: Transaction, job: Job) -> None:
        """Add the conditions that the team's role is held and the job's record is unchanged."""
        partial.conditions[role_key(job.team)] = self.context.held_roles[job.team]
        partial.conditions[job_key(job.id)] = job.mod_revision

    def _record_completion(self, partial: Transaction, job: Job) -> None:
        """Add the write that records a job as done."""
        spec = job.spec if self.buffer.bindings(job) else None
        value = encode_job("done", job.team, spec, job.submitted_ms, job.tasks)
        partial.writes.append(Put(job_key(job.id), value))
        partial.bytes += value_bytes(value)
        partial.completed_jobs.add(job.id)

    @staticmethod
    def _is_obsolete(job: Job, block: TaskBlock, finishing: bool) -> bool:
        """Whether a block is no longer needed: its job is over and no task is bound."""
        return (job.final or finishing) and not block.bindings

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
        for block in blocks:
            self.buffer.dirty[block] = self.context.now + constants.RETRY_MAX_S

    # --- task blocks in batches ---

    def _add_finished_jobs(self, transaction: Transaction) -> None:
        """Record finished jobs with rows in batches as done at once, since users wait for that.

        Their rows are removed by a later write of the batch. Until then their tasks still count as
        bound.
        """
        for job_id in self.buffer.finished_jobs:
            if len(transaction.writes) >= self.max_writes:
                return
            job = self.context.replica.jobs[job_id]
            block = self.buffer.changed.get(job_id, {}).get(ONLY_BLOCK)
            if (
                block is None
                or block.batch is None
                or job.final
                or not self.buffer.owns(job)
                or self._is_busy(transaction, job)
                or len(transaction.conditions) + 2 > self.max_conditions
            ):
                continue
            self._add_job_conditions(transaction, job)
            transaction.jobs.add(job_id)
            self._record_completion(transaction, job)

    def _add_batch(
        self, transaction: Transaction, name: str, team: str, dirty: list[DirtyJob]
    ) -> None:
        """Add a batch with all changed rows, due or not: the write costs no more.

        Other rows stay as recorded. A job's mod revision is a condition only if the write binds
        tasks of the job: ending bindings can't undo other changes to the job.
        """
        batch = self.context.replica.job_records.batches.get(name) or BindingBatch(0, {})
        rows = dict(batch.rows)
        partial = Transaction()
        partial.batches.add(name)
        partial.conditions[role_key(team)] = self.context.held_roles[team]
        partial.conditions[batch_key(name)] = batch.mod_revision
        for entry in dirty:
            if not self._has_room_for_condition(transaction, partial):
                break
            if not self._is_busy(transaction, entry.job):
                self._update_row(partial, rows, entry.job)
        if rows == batch.rows:  # recorded already, by a transaction whose answer was lost
            transaction.recorded_blocks |= partial.blocks
            return
        value = [row.to_value() for row in rows.values()]
        size = value_bytes(value)
        if size > self.buffer.max_value_bytes():
            self._postpone(batch_key(name), size, partial.blocks)
            return
        if transaction.writes and (
            transaction.bytes + size > constants.TRANSACTION_BYTES
            or len(transaction.writes) >= self.max_writes
        ):
            return
        partial.writes.append(Put(batch_key(name), value))
        partial.bytes = size
        transaction.merge(partial)

    def _has_room_for_condition(self, transaction: Transaction, partial: Transaction) -> bool:
        """Whether the transaction has room for the condition of another row."""
        return len(transaction.conditions.keys() | partial.conditions.keys()) < self.max_conditions

    def _update_row(self, partial: Transaction, rows: dict[str, BatchRow], job: Job) -> None:
        """Update the row of one job."""
        block = self.buffer.changed[job.id][ONLY_BLOCK]
        if block.adds_bindings_to(job.blocks.get(ONLY_BLOCK)):
            partial.conditions[job_key(job.id)] = job.mod_revision
        if self._is_obsolete(job, block, finishing=False):
            rows.pop(job.id, None)
        else:
            value = encode_block(block, self.buffer.record_format())
            rows[job.id] = BatchRow(job.id, job.tasks, value)
        self._carry(partial, BlockId(job.id, ONLY_BLOCK))
        partial.jobs.add(job.id)
