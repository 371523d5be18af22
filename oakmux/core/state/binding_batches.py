"""Pages: records that hold the bindings of many small jobs of one team.

Key p/<team>/<number>, value a list of rows [job, tasks, *chunk]. A row is the only chunk of its
job; a job whose chunk has a record of its own (t/<job>/0) has no row. Only the owner of the team
writes its pages, guarded by the role's stamp and the page's. A page is never deleted: its stamp
only grows, so a late copy of any earlier write of it fails.
"""

from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core.state.records import PREFIX, TaskBlock, parse_block

# A job's only chunk has this number.
ONLY_BLOCK = 0


class BatchRow(NamedTuple):
    """A job's row: its id, how many tasks it has, its chunk's value."""

    job_id: str
    tasks: int
    block: list[Any]

    def to_value(self) -> list[Any]:
        """Return the row as the page holds it."""
        return [self.job_id, self.tasks, *self.block]


class BindingBatch:
    """A page as the records have it: its revision and its rows by job."""

    __slots__ = ("mod_revision", "rows", "reserved")

    def __init__(self, mod_revision: int, rows: dict[str, BatchRow]) -> None:
        self.mod_revision = mod_revision
        self.rows = rows
        # Bytes that its rows may grow to take.
        self.reserved = sum(reserved_bytes(row.tasks) for row in rows.values())


def batch_key(name: str) -> str:
    """Return the key of a page, by its name (team/number)."""
    return f"{PREFIX}p/{name}"


def parse_batch_rows(value: list[list[Any]], mod_revision: int) -> BindingBatch:
    """Read a page's value; raises ValueError or TypeError."""
    rows: dict[str, BatchRow] = {}
    for job_id, tasks, *block in value:
        rows[job_id] = BatchRow(job_id, int(tasks), block)
    return BindingBatch(mod_revision, rows)


def row_block(row: BatchRow, name: str, mod_revision: int) -> TaskBlock:
    """Return the chunk that a row of a page holds."""
    block = parse_block(row.block, mod_revision)
    block.batch = name
    return block


def shares_batch(tasks: int, tasks_per_record: int) -> bool:
    """Whether the bindings of a job of so many tasks go into a page."""
    return tasks <= min(constants.PAGE_TASKS, tasks_per_record)


def reserved_bytes(tasks: int) -> int:
    """Return the bytes that the row of a job may take once all of its tasks are bound."""
    return constants.PAGE_ROW_BYTES + tasks * constants.BINDING_BYTES
