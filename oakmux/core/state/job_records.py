"""Applies the records of jobs, task blocks and binding batches to a replica."""

from typing import Any

from oakmux import constants
from oakmux.core.state.binding_batches import (
    ONLY_BLOCK,
    BindingBatch,
    decode_batch,
    decode_row_block,
)
from oakmux.core.state.binding_index import BindingIndex
from oakmux.core.state.cancellation_index import CancellationIndex
from oakmux.core.state.changes import ChangeTracker
from oakmux.core.state.codecs import JobRecord, decode_block, decode_job
from oakmux.core.state.dependencies import DependencyGraph
from oakmux.core.state.errors import MalformedKeyError
from oakmux.core.state.keys import batch_key, block_key, job_key
from oakmux.core.state.records import Job, TaskBlock
from oakmux.core.state.usage_accounting import UsageAccounting


class JobRecords:
    """All jobs with their task blocks, and the indexes over them."""

    def __init__(self, changes: ChangeTracker) -> None:
        self.changes = changes
        self.usage = UsageAccounting()
        self.bindings = BindingIndex(changes)
        self.cancellations = CancellationIndex()
        self.jobs: dict[str, Job] = {}
        self.dependencies = DependencyGraph(self.jobs, self.usage, changes)
        # Jobs that are not final or still have bindings.
        self.active: dict[str, Job] = {}
        # Active jobs that may start and need no GPU: they fit on machines without free GPUs.
        self.jobs_without_gpus: set[str] = set()
        # Binding batches by team/number.
        self.batches: dict[str, BindingBatch] = {}
        # Task blocks whose job record has not been read yet, by job.
        self.orphan_blocks: dict[str, dict[int, TaskBlock]] = {}
        # The revisions at which task blocks were deleted, by job/number; the newest are kept.
        self.deleted_blocks: dict[str, int] = {}

    def keys(self) -> set[str]:
        """Return the keys of all records of jobs, task blocks and batches."""
        keys = {job_key(job_id) for job_id in self.jobs}
        keys.update(
            block_key(job.id, number)
            for job in self.jobs.values()
            for number, block in job.blocks.items()
            if block.batch is None
        )
        keys.update(batch_key(name) for name in self.batches)
        return keys

    def apply_job(self, job_id: str, value: Any, mod_revision: int) -> None:
        """Apply a change of a job's record."""
        if value is None:
            return  # records of jobs are never deleted
        job = self.jobs.get(job_id)
        if job is not None and job.mod_revision >= mod_revision:
            return
        record = decode_job(value)
        new = job is None
        if job is None:
            job = self._add_job(job_id, record, mod_revision)
        else:
            job.state, job.mod_revision = record.state, mod_revision
            job.set_spec(record.spec or job.spec)
        if job.state == "cancelled":
            self.cancellations.add(mod_revision, job_id)
        if job.final:
            for ready in self.dependencies.finish(job):
                self._update_active(ready)
        elif new and record.spec is not None:
            self.dependencies.add(job, record.spec)
        self.changes.jobs.add(job_id)
        self._update_active(job)
        if job.final:
            self.changes.machines.update(b.machine for b in job.bindings())

    def _add_job(self, job_id: str, record: JobRecord, mod_revision: int) -> Job:
        """Add a job, with its task blocks that were read before it."""
        job = self.jobs[job_id] = Job(
            job_id,
            record.team,
            record.state,
            mod_revision,
            record.spec,
            record.submitted_ms,
            record.tasks,
        )
        job.blocks.update(self.orphan_blocks.pop(job_id, {}))
        bindings = job.bindings()
        self.usage.add(job, len(bindings))
        for binding in bindings:
            self.changes.touch(binding.machine)
        return job

    def _update_active(self, job: Job) -> None:
        """Update the sets of active jobs; a final job without bindings drops its specification."""
        if job.final and not any(block.bindings for block in job.blocks.values()):
            self.active.pop(job.id, None)
            self.jobs_without_gpus.discard(job.id)
            job.spec = None
        else:
            self.active[job.id] = job
            if job.spec is not None and not job.spec.gpus and job.ready:
                self.jobs_without_gpus.add(job.id)

    def apply_block(self, suffix: str, value: Any, mod_revision: int) -> None:
        """Apply a change of a task block that has its own record; `suffix` is job/number."""
        job_id, _, number = suffix.partition("/")
        if not number.isdecimal():
            raise MalformedKeyError("task block", suffix)
        block = None if value is None else decode_block(value, mod_revision)
        self._set_block(job_id, int(number), block, mod_revision)

    def apply_batch(self, name: str, value: Any, mod_revision: int) -> None:
        """Apply a change of a binding batch to the jobs whose rows changed or were removed."""
        old = self.batches.get(name)
        if old is not None and old.mod_revision >= mod_revision:
            return
        old_rows = old.rows if old is not None else {}
        batch = decode_batch(value or [], mod_revision)
        blocks = {
            job_id: decode_row_block(row, name, mod_revision)
            for job_id, row in batch.rows.items()
            if old_rows.get(job_id) != row
        }
        if value is not None:
            self.batches[name] = batch
        else:  # the next write requires that the batch does not exist
            self.batches.pop(name, None)
        for job_id in old_rows.keys() - batch.rows.keys():
            self._set_block(job_id, ONLY_BLOCK, None, mod_revision)
        for job_id, block in blocks.items():
            self._set_block(job_id, ONLY_BLOCK, block, mod_revision)

    def _set_block(
        self, job_id: str, number: int, block: TaskBlock | None, mod_revision: int
    ) -> None:
        """Replace a task block with a newer state; None means that it was deleted."""
        job = self.jobs.get(job_id)
        blocks = job.blocks if job is not None else self.orphan_blocks.setdefault(job_id, {})
        old = blocks.get(number)
        if old is not None and old.mod_revision >= mod_revision:
            return
        key = f"{job_id}/{number}"
        if old is None and self.deleted_blocks.get(key, -1) >= mod_revision:
            return  # it was deleted at a later revision
        added_bindings = 0
        if old is not None:
            added_bindings -= len(old.bindings)
            self.bindings.remove_block(job_id, old)
        if block is None:
            blocks.pop(number, None)
            self._note_deleted(key, mod_revision)
        else:
            blocks[number] = block
            added_bindings += len(block.bindings)
            self.bindings.add_block(job_id, block)
        self.changes.jobs.add(job_id)
        if job is not None:
            self.usage.add(job, added_bindings)
            self._update_active(job)

    def _note_deleted(self, key: str, mod_revision: int) -> None:
        self.deleted_blocks[key] = mod_revision
        if len(self.deleted_blocks) > constants.MAX_CACHE_ENTRIES:
            del self.deleted_blocks[next(iter(self.deleted_blocks))]
