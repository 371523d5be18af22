"""The writes that record changed task blocks and the ends of jobs, with their conditions."""

from collections.abc import Iterable

from oakmux.core.context import Context
from oakmux.core.state.binding_batches import ONLY_BLOCK, BatchRow, BindingBatch
from oakmux.core.state.codecs import Value, encode_block, encode_job
from oakmux.core.state.keys import batch_key, block_key, job_key, role_key
from oakmux.core.state.records import Job, TaskBlock
from oakmux.core.state.transactions import BlockId, Delete, Put, Transaction
from oakmux.core.state.write_buffer import WriteBuffer


class RecordWrites:
    """Builds the parts of transactions from the write buffer, whatever their size."""

    def __init__(self, context: Context, buffer: WriteBuffer) -> None:
        self.context = context
        self.buffer = buffer

    def block_values(self, job: Job, numbers: Iterable[int]) -> dict[int, Value]:
        """Return the values of some of a job's changed blocks."""
        record_format = self.buffer.record_format()
        changed = self.buffer.changed[job.id]
        return {number: encode_block(changed[number], record_format) for number in numbers}

    def blocks(self, job: Job, values: dict[int, Value], complete: bool) -> Transaction:
        """Return the writes of a job's blocks, with the end of the job if they complete it."""
        partial = self.end(job) if complete else self._of_job(job)
        for number, value in values.items():
            self._add_block(partial, job, number, value, complete)
        return partial

    def end(self, job: Job) -> Transaction:
        """Return the write that records a job as done."""
        partial = self._of_job(job)
        spec = job.spec if self.buffer.bindings(job) else None
        value = encode_job("done", job.team, spec, job.submitted_ms, job.tasks)
        partial.add_write(Put(job_key(job.id), value))
        partial.completed_jobs.add(job.id)
        return partial

    def batch_conditions(self, name: str, team: str, batch: BindingBatch) -> Transaction:
        """Return the conditions of each write of a batch."""
        partial = Transaction()
        partial.batches.add(name)
        partial.require(role_key(team), self.context.held_roles[team])
        partial.require(batch_key(name), batch.mod_revision)
        return partial

    def update_row(self, partial: Transaction, rows: dict[str, BatchRow], job: Job) -> None:
        """Update the row of one job in the rows of its batch."""
        block = self.buffer.changed[job.id][ONLY_BLOCK]
        if block.adds_bindings_to(job.blocks.get(ONLY_BLOCK)):
            partial.require(job_key(job.id), job.mod_revision)
        if _is_obsolete(job, block, finishing=False):
            rows.pop(job.id, None)
        else:
            value = encode_block(block, self.buffer.record_format())
            rows[job.id] = BatchRow(job.id, job.tasks, value)
        self._carry(partial, BlockId(job.id, ONLY_BLOCK))
        partial.jobs.add(job.id)

    def _of_job(self, job: Job) -> Transaction:
        """Return the conditions that the team's role is held and the job's record is unchanged."""
        partial = Transaction()
        partial.jobs.add(job.id)
        partial.require(role_key(job.team), self.context.held_roles[job.team])
        partial.require(job_key(job.id), job.mod_revision)
        return partial

    def _add_block(
        self, partial: Transaction, job: Job, number: int, value: Value, finishing: bool
    ) -> None:
        """Add one block: a write of its value, or its removal if it is obsolete."""
        key, old = block_key(job.id, number), job.blocks.get(number)
        partial.require(key, old.mod_revision if old is not None else 0)
        self._carry(partial, BlockId(job.id, number))
        if not _is_obsolete(job, self.buffer.changed[job.id][number], finishing):
            partial.add_write(Put(key, value))
        elif old is not None:
            partial.add_write(Delete(key))

    def _carry(self, partial: Transaction, block_id: BlockId) -> None:
        """Note that a transaction records the present version of a block."""
        partial.blocks[block_id] = self.buffer.versions[block_id]


def _is_obsolete(job: Job, block: TaskBlock, finishing: bool) -> bool:
    """Whether a block is no longer needed: its job is over and no task is bound."""
    return (job.final or finishing) and not block.bindings
