"""The only writing of our teams' records: working copies into transactions, and their outcome.

What is due of many jobs goes into one transaction, and what is due of many small jobs into one
value of it, a page (group commit): while transactions are on their way, or wait for their share
of the rate, the next one gathers. Each is guarded by the role's stamp, by the stamp of each record
that it replaces, and by the stamp of each job that it binds or ends.
"""

import logging
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core.context import Context, event
from oakmux.core.state.binding_batches import ONLY_BLOCK, BatchRow, BindingBatch
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import batch_key, block_key, job_key, role_key
from oakmux.core.state.records import Job, TaskBlock
from oakmux.core.state.write_buffer import WriteBuffer

log = logging.getLogger("oakmux.core")

Write = tuple[Any, ...]
"""A change as the state service's transactions have it: (key, value, lease) or (key,)."""


class SentBlock(NamedTuple):
    """A working copy that a transaction brings into the records."""

    job_id: str
    number: int


class Dirty(NamedTuple):
    """A job with working copies to be written: their numbers, and when the first is due."""

    due: float
    job: Job
    numbers: list[int]


class Transaction:
    """What one transaction changes, and on which conditions."""

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.writes: list[Write] = []
        self.sent: list[SentBlock] = []
        self.jobs: set[str] = set()
        self.batches: set[str] = set()
        self.finishing: set[str] = set()
        self.bytes = 0

    def take(self, other: "Transaction") -> None:
        """Add all of another one."""
        self.guards.update(other.guards)
        self.writes += other.writes
        self.sent += other.sent
        self.jobs |= other.jobs
        self.batches |= other.batches
        self.finishing |= other.finishing
        self.bytes += other.bytes


class RecordWriter:
    """Writes the working copies of our teams' records."""

    def __init__(self, context: Context, buffer: WriteBuffer) -> None:
        self.context = context
        self.buffer = buffer
        # Jobs and pages of transactions without an outcome yet: each is in one at a time.
        self.writing: set[str] = set()
        self.writing_batches: set[str] = set()
        self.write_after = 0.0
        self.in_flight = 0
        self.outgrown: set[str] = set()
        limits = context.facts.store.strictest
        # A transaction far above our share of the rate would hold up all that comes after it.
        share = int(constants.TRANSACTION_RATE_S * limits.write_rps / context.settings.size)
        self.most_writes = min(limits.txn_ops, max(constants.TRANSACTION_MIN_CHANGES, share))
        self.most_guards = 4 * limits.txn_ops

    def flush(self) -> None:
        """Write what is due, many changes to a transaction."""
        if (
            self.context.now < self.write_after
            or self.in_flight >= constants.WRITES_IN_FLIGHT
            or not self._something_due()
        ):
            return
        transaction = self._gather()
        if transaction.writes:
            self._send(transaction)
        else:
            for block in transaction.sent:
                self.buffer.settled(block.job_id, block.number)

    def _something_due(self) -> bool:
        """Whether there is anything to write now."""
        now = self.context.now
        return bool(self.buffer.finished_jobs) or any(
            at <= now for at in self.buffer.dirty.values()
        )

    def _dirty(self) -> list[Dirty]:
        """Return all jobs with something to write, the first due before all others."""
        numbers: dict[str, list[int]] = {}
        due: dict[str, float] = {}
        for (job_id, number), at in self.buffer.dirty.items():
            numbers.setdefault(job_id, []).append(number)
            due[job_id] = min(at, due.get(job_id, math.inf))
        jobs = self.context.replica.jobs
        rows = [Dirty(due[job_id], jobs[job_id], found) for job_id, found in numbers.items()]
        return sorted(rows, key=lambda row: row.due)

    def _gather(self) -> Transaction:
        """Put together the next transaction."""
        rows = self._dirty()
        of_page: dict[str, list[Dirty]] = {}
        for row in rows:
            name = self._page_of(row)
            if name is not None:
                of_page.setdefault(name, []).append(row)
        found = Transaction()
        self._add_ends(found)
        for row in rows:
            if row.due > self.context.now:
                break
            if row.job.team not in self.context.held_roles or self._busy(found, row.job):
                continue
            name = self._page_of(row)
            if name is None:
                self._add_job(found, row)
            elif name not in found.batches and name not in self.writing_batches:
                self._add_page(found, name, row.job.team, of_page[name])
        for block in found.sent:
            self.buffer.dirty.pop(block, None)
        return found

    def _busy(self, found: Transaction, job: Job) -> bool:
        """Whether a job is in a transaction that has no outcome yet, or in this one."""
        return job.id in self.writing or job.id in found.jobs

    def _page_of(self, row: Dirty) -> str | None:
        """Return the page that holds a job's only chunk, if one does."""
        if row.numbers != [ONLY_BLOCK]:
            return None
        return self.buffer.work[row.job.id][ONLY_BLOCK].batch

    # --- chunks with records of their own ---

    def _add_job(self, found: Transaction, row: Dirty) -> None:
        """Add a job's chunks, each a record of its own."""
        job, numbers = row.job, row.numbers
        if len(found.writes) + len(numbers) + 1 > self.most_writes:
            if found.writes:
                return
            numbers = numbers[: self.context.facts.store.strictest.txn_ops - 1]
        form = self.buffer.form()
        work = self.buffer.work[job.id]
        values = {number: encode_block(work[number], form) for number in numbers}
        numbers = [n for n in numbers if not self._too_large(job.id, n, values[n])]
        numbers = self._within_bytes(found, numbers, values)
        if not numbers:
            return
        part = Transaction()
        part.bytes = sum(value_bytes(values[number]) for number in numbers)
        finishing = self._finishing(job) and len(numbers) == len(row.numbers)
        part.guards[role_key(job.team)] = self.context.held_roles[job.team]
        part.guards[job_key(job.id)] = job.mod_revision
        if finishing:
            self._finish(part, job)
        for number in numbers:
            key, old = block_key(job.id, number), job.blocks.get(number)
            part.guards[key] = old.mod_revision if old is not None else 0
            part.sent.append(SentBlock(job.id, number))
            if not self._over(job, work[number], finishing):
                part.writes.append((key, values[number], None))
            elif old is not None:
                part.writes.append((key,))
        part.jobs.add(job.id)
        found.take(part)

    @staticmethod
    def _within_bytes(
        found: Transaction, numbers: list[int], values: dict[int, list]
    ) -> list[int]:
        """Return the chunks that fit into the transaction: all, or none while it holds others; of
        a job that alone is too large, as many as fit."""
        left = constants.TRANSACTION_BYTES - found.bytes
        fit: list[int] = []
        for number in numbers:
            left -= value_bytes(values[number])
            if left < 0 and (found.writes or fit):
                return [] if found.writes else fit
            fit.append(number)
        return fit

    def _finishing(self, job: Job) -> bool:
        """Whether the job's end is to be written with its last chunks."""
        return job.id in self.buffer.finished_jobs and not job.final

    def _finish(self, part: Transaction, job: Job) -> None:
        """Add that a job is done."""
        spec = job.spec if self.buffer.bindings(job) else None
        value = encode_job("done", job.team, spec, job.order, job.tasks)
        part.writes.append((job_key(job.id), value, None))
        part.bytes += value_bytes(value)
        part.finishing.add(job.id)

    @staticmethod
    def _over(job: Job, block: TaskBlock, finishing: bool) -> bool:
        """Whether nothing of a chunk is needed any more."""
        return (job.final or finishing) and not block.bound

    def _too_large(self, job_id: str, number: int, value: list) -> bool:
        """Whether a record has outgrown the limit; it is written once more of its tasks ended."""
        limit = self.buffer.limit()
        bound = len(self.buffer.work[job_id][number].bound)
        if bound * constants.BINDING_BYTES <= limit or value_bytes(value) <= limit:
            return False
        self._postpone(block_key(job_id, number), value_bytes(value), [(job_id, number)])
        return True

    def _postpone(self, key: str, size: int, blocks: Iterable[tuple[str, int]]) -> None:
        """Try chunks again later, of a record that has outgrown the limit."""
        if key not in self.outgrown:
            self.outgrown.add(key)
            limit = self.buffer.limit()
            log.error("event=record_too_large key=%s bytes=%s limit=%s", key, size, limit)
        for block in blocks:
            self.buffer.dirty[block] = self.context.now + constants.RETRY_MAX_S

    # --- chunks in pages ---

    def _add_ends(self, found: Transaction) -> None:
        """Add that jobs with rows in pages are done, at once: users wait for it. Their rows go
        with a later write of the page; until then they count as bound, as before the end."""
        for job_id in self.buffer.finished_jobs:
            if len(found.writes) >= self.most_writes:
                return
            job = self.context.replica.jobs[job_id]
            work = self.buffer.work.get(job_id, {}).get(ONLY_BLOCK)
            if (
                work is None
                or work.batch is None
                or job.final
                or job.team not in self.context.held_roles
                or self._busy(found, job)
                or len(found.guards) + 2 > self.most_guards
            ):
                continue
            found.guards[role_key(job.team)] = self.context.held_roles[job.team]
            found.guards[job_key(job_id)] = job.mod_revision
            found.jobs.add(job_id)
            self._finish(found, job)

    def _add_page(self, found: Transaction, name: str, team: str, dirty: list[Dirty]) -> None:
        """Add a page with all that is to be written of its rows, due or not: it costs no more.

        Other rows stay as the records have them. A job's stamp guards what binds tasks of it; what
        only lets go of tasks can't undo anything that happened to the job.
        """
        batch = self.context.replica.job_records.batches.get(name) or BindingBatch(0, {})
        rows = dict(batch.rows)
        part = Transaction()
        part.batches.add(name)
        part.guards[role_key(team)] = self.context.held_roles[team]
        part.guards[batch_key(name)] = batch.mod_revision
        for row in dirty:
            if not self._fits(found, part):
                break
            if not self._busy(found, row.job):
                self._add_row(part, rows, row.job)
        if rows == batch.rows:
            found.sent += part.sent  # nothing of it has to be written
            return
        value = [row.to_value() for row in rows.values()]
        size = value_bytes(value)
        if size > self.buffer.limit():
            self._postpone(batch_key(name), size, part.sent)
            return
        if found.writes and (
            found.bytes + size > constants.TRANSACTION_BYTES
            or len(found.writes) >= self.most_writes
        ):
            return
        part.writes.append((batch_key(name), value, None))
        part.bytes = size
        found.take(part)

    def _fits(self, found: Transaction, part: Transaction) -> bool:
        """Whether the guard of one more row may go along."""
        return len(found.guards.keys() | part.guards.keys()) < self.most_guards

    def _add_row(self, part: Transaction, rows: dict[str, BatchRow], job: Job) -> None:
        """Bring one job's row up to date."""
        block = self.buffer.work[job.id][ONLY_BLOCK]
        if block.adds_bindings_to(job.blocks.get(ONLY_BLOCK)):
            part.guards[job_key(job.id)] = job.mod_revision
        if self._over(job, block, finishing=False):
            rows.pop(job.id, None)
        else:
            rows[job.id] = BatchRow(job.id, job.tasks, encode_block(block, self.buffer.form()))
        part.sent.append(SentBlock(job.id, ONLY_BLOCK))
        part.jobs.add(job.id)

    # --- outcome ---

    def _send(self, transaction: Transaction) -> None:
        self.writing |= transaction.jobs
        self.writing_batches |= transaction.batches
        self.in_flight += 1
        self.context.call(
            lambda status, result: self._written(transaction, status, result),
            "txn",
            list(transaction.guards.items()),
            transaction.writes,
            1,
        )

    def _written(self, transaction: Transaction, status: int, result: Any) -> None:
        self.writing -= transaction.jobs
        self.writing_batches -= transaction.batches
        self.in_flight -= 1
        if status == 200:
            self._take_over(transaction, result[0])
            return
        # Not written, or not known to be: the same again, guarded by the newest stamps. A late
        # twin then fails, since each successful write moves the stamps that guard it.
        for block in transaction.sent:
            if block.number in self.buffer.work.get(block.job_id, ()):
                self.buffer.dirty.setdefault((block.job_id, block.number), 0.0)
        self.write_after = self.context.now + constants.BACKOFF_FIRST_S
        if status == 400:
            # Certainly not written, and never will be as it is: the limits have fallen.
            self.buffer.refused = True
            self.write_after = self.context.now + constants.BACKOFF_MAX_S
        elif status == 409 and result is not None:
            self._reread(result[1])
        elif status != 503:  # 503: certainly not written
            event("write_unsure", status=status, jobs=len(transaction.jobs))
            self._reread(write[0] for write in transaction.writes)

    def _take_over(self, transaction: Transaction, revision: int) -> None:
        """A transaction was carried out: the records say what it wrote."""
        for key, *rest in transaction.writes:
            self.context.replica.apply(key, rest[0] if rest else None, revision)
        for job_id in transaction.finishing:
            self.buffer.finished_jobs.pop(job_id, None)
            event("job_done", job=job_id)
        for block in transaction.sent:
            if block not in self.buffer.dirty:
                self.buffer.settled(block.job_id, block.number)

    def _reread(self, keys: Iterable[str]) -> None:
        for key in keys:
            self.context.call(lambda s, r, key=key: self._take_row(key, s, r), "get", key, 1)

    def _take_row(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.context.replica.apply(key, *result)
        elif status == 404 and result is not None:
            self.context.replica.apply(key, None, result[1])
