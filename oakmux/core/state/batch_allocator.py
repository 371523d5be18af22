"""Which page holds the row of a job that has none yet."""

import itertools
from collections import Counter

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.state.binding_batches import reserved_bytes


class BatchAllocator:
    """Gives each small job of ours room in a page for all of its bindings, before the first is
    written: a job must not wait for others of its page to end."""

    def __init__(self, context: Context, value_bytes: int) -> None:
        self.context = context
        self.limit = min(constants.BATCH_BYTES, value_bytes)
        # Rows that are not written yet, or not known to be: their page and bytes, by job.
        self.pending: dict[str, tuple[str, int]] = {}
        self.pending_bytes: Counter[str] = Counter()

    def choose(self, team: str, job_id: str, tasks: int) -> str:
        """Return the name of the first page of a team with room for a job's row, and take it."""
        need = reserved_bytes(tasks)
        for number in itertools.count():
            name = f"{team}/{number}"
            if self._taken(name) + need <= self.limit:
                break
        self.pending[job_id] = (name, need)
        self.pending_bytes[name] += need
        return name

    def _taken(self, name: str) -> int:
        batch = self.context.replica.job_records.batches.get(name)
        return self.pending_bytes[name] + (batch.reserved if batch is not None else 0)

    def release(self, job_id: str) -> None:
        """A job's row is written, or will not be: its page alone says what it takes."""
        name, need = self.pending.pop(job_id, ("", 0))
        if need:
            self.pending_bytes[name] -= need
            if not self.pending_bytes[name]:
                del self.pending_bytes[name]
