"""Binding batches: records that hold the task blocks of many small jobs of one team.

The value of a batch is a list of rows [job, tasks, *block]. A row holds the only block of its job;
a job whose blocks have records of their own has no row. Only the controller that holds the team's
role writes its batches, conditional on the mod revisions of the role and of the batch. A batch is
never deleted: its mod revision only grows, so a delayed duplicate of an earlier write fails.
"""

from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core.state.codecs import CONVERSION_ERRORS, Value, decode_block
from oakmux.core.state.errors import MalformedValueError
from oakmux.core.state.records import TaskBlock

# The block number of a job's only block.
ONLY_BLOCK = 0


class BatchRow(NamedTuple):
    """A row of a batch: a job, its number of tasks, and the value of its block."""

    job_id: str
    tasks: int
    block: Value

    def to_value(self) -> Value:
        """Return the row in the form stored in the batch's value."""
        return [self.job_id, self.tasks, *self.block]


class BindingBatch:
    """A recorded batch: its mod revision and its rows by job."""

    __slots__ = ("mod_revision", "reserved", "rows")

    def __init__(self, mod_revision: int, rows: dict[str, BatchRow]) -> None:
        self.mod_revision = mod_revision
        self.rows = rows
        # The bytes to which its rows may grow.
        self.reserved = sum(reserved_bytes(row.tasks) for row in rows.values())


def decode_batch(value: Any, mod_revision: int) -> BindingBatch:
    """Decode a batch's value; raises MalformedValueError."""
    rows: dict[str, BatchRow] = {}
    try:
        for job_id, tasks, *block in value:
            rows[job_id] = BatchRow(job_id, int(tasks), block)
    except CONVERSION_ERRORS as error:
        raise MalformedValueError("binding batch", error) from error
    return BindingBatch(mod_revision, rows)


def decode_row_block(row: BatchRow, batch: str, mod_revision: int) -> TaskBlock:
    """Decode the task block in a row of a batch; raises MalformedValueError."""
    block = decode_block(row.block, mod_revision)
    block.batch = batch
    return block


def shares_batch(tasks: int, tasks_per_record: int, batch_bytes: int) -> bool:
    """Whether a job stores its only block in a batch, by its number of tasks.

    All of its bindings must fit into a batch of at most `batch_bytes`.
    """
    return (
        tasks <= min(constants.BATCH_JOB_TASKS, tasks_per_record)
        and reserved_bytes(tasks) <= batch_bytes
    )


def reserved_bytes(tasks: int) -> int:
    """Return the maximum bytes of a job's row, reached when all of its tasks are bound."""
    return constants.BATCH_ROW_BYTES + tasks * constants.BINDING_BYTES
