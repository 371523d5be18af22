"""Pages: records that hold the bindings of many small jobs of one team.

Key p/<team>/<number>, value a list of rows [job, tasks, *chunk]. A row is the only chunk of its
job; a job whose chunk has a record of its own (t/<job>/0) has no row. Only the owner of the team
writes its pages, guarded by the role's stamp and the page's. A page is never deleted: its stamp
only grows, so a late copy of any earlier write of it fails.
"""

from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core.jobs import PREFIX, Chunk, chunk_from

# A job's only chunk has this number.
ONLY_CHUNK = 0


class PageRow(NamedTuple):
    """A job's row: its id, how many tasks it has, its chunk's value."""

    job_id: str
    tasks: int
    chunk: list[Any]

    def to_value(self) -> list[Any]:
        """Return the row as the page holds it."""
        return [self.job_id, self.tasks, *self.chunk]


class Page:
    """A page as the records have it: its revision and its rows by job."""

    __slots__ = ("mod_revision", "rows", "reserved")

    def __init__(self, mod_revision: int, rows: dict[str, PageRow]) -> None:
        self.mod_revision = mod_revision
        self.rows = rows
        # Bytes that its rows may grow to take.
        self.reserved = sum(reserved_bytes(row.tasks) for row in rows.values())


def page_key(name: str) -> str:
    """Return the key of a page, by its name (team/number)."""
    return f"{PREFIX}p/{name}"


def page_from(value: list[list[Any]], mod_revision: int) -> Page:
    """Read a page's value; raises ValueError or TypeError."""
    rows: dict[str, PageRow] = {}
    for job_id, tasks, *chunk in value:
        rows[job_id] = PageRow(job_id, int(tasks), chunk)
    return Page(mod_revision, rows)


def row_chunk(row: PageRow, name: str, mod_revision: int) -> Chunk:
    """Return the chunk that a row of a page holds."""
    chunk = chunk_from(row.chunk, mod_revision)
    chunk.page = name
    return chunk


def shares_page(tasks: int, per_chunk: int) -> bool:
    """Whether the bindings of a job of so many tasks go into a page."""
    return tasks <= min(constants.PAGE_TASKS, per_chunk)


def reserved_bytes(tasks: int) -> int:
    """Return the bytes that the row of a job may take once all of its tasks are bound."""
    return constants.PAGE_ROW_BYTES + tasks * constants.BINDING_BYTES
