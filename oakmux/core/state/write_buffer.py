"""Changed task blocks of the teams whose roles are held, until they are recorded."""

import math
from collections.abc import Sequence
from typing import Protocol

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.resources import NO_USAGE, Usage
from oakmux.core.state.batch_allocator import BatchAllocator
from oakmux.core.state.binding_batches import shares_batch
from oakmux.core.state.codecs import encode_block
from oakmux.core.state.formats import (
    FORMAT_BATCHES,
    FORMAT_COMPACT,
    FORMAT_FIRST,
    tasks_per_block,
    value_bytes,
    value_limit,
)
from oakmux.core.state.records import Binding, Job, TaskBlock
from oakmux.core.state.transactions import BlockId


class OfferedCapacity(Protocol):
    """Capacity offered for one task; the values below become part of the binding."""

    @property
    def machine(self) -> str:
        """The name of the machine."""

    @property
    def agent_epoch(self) -> int:
        """The machine's agent epoch."""

    @property
    def term(self) -> int:
        """The term of the offering controller."""

    @property
    def zone(self) -> str:
        """The machine's zone."""


class WriteBuffer:
    """Task block changes and finished jobs that are not recorded yet.

    Readers that need the state as it will be recorded use the buffer instead of the replica.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        # Changed copies of task blocks, by job and number.
        self.changed: dict[str, dict[int, TaskBlock]] = {}
        # When to write each changed block (local time, s); blocks in flight are not included.
        self.dirty: dict[BlockId, float] = {}
        # The version of each changed block: every edit makes a new one, and none is used twice.
        self.versions: dict[BlockId, int] = {}
        self._last_version = 0
        # Jobs whose tasks are all completed but that are not recorded as done yet.
        self.finished_jobs: dict[str, None] = {}
        # Whether the store refused a transaction because of its size.
        self.refused = False
        limits = context.facts.store.strictest
        self.strictest_value_bytes = value_limit(limits)
        share = limits.write_rps / context.settings.size
        self.configured_tasks_per_record = tasks_per_block(context.facts.store.value_kb)
        self.coalesce_s = min(
            max(constants.COALESCE_MIN_S, constants.COALESCE_CHANGES / share),
            constants.COALESCE_MAX_S,
        )
        self.batches = BatchAllocator(context, self.strictest_value_bytes)

    @property
    def tasks_per_record(self) -> int:
        """The number of tasks in a task block, as recorded with the format.

        It never changes with the limits of the store: a bound task would look unbound and could
        run twice (rule `ran_twice`).
        """
        return self.context.replica.tasks_per_record or self.configured_tasks_per_record

    def max_value_bytes(self) -> int:
        """Return the maximum bytes of a written value.

        Larger values left by earlier versions may be rewritten at their size until the format
        changes, unless a transaction was refused.
        """
        if self.record_format() >= FORMAT_COMPACT or self.refused:
            return self.strictest_value_bytes
        return value_limit(self.context.facts.store)

    def record_format(self) -> int:
        """Return the format in which records are written."""
        return self.context.replica.format

    def block_fits(self, job: Job, number: int, offers: Sequence[OfferedCapacity]) -> bool:
        """Whether a block's record has room for bindings to the offers.

        The strictest announced limit always applies: once it is in force, larger blocks can no
        longer be written.
        """
        block = self.block(job, number)
        if block.batch is not None:
            return True  # its batch has room for all of the job's bindings
        if (
            len(block.bindings) + len(offers)
        ) * constants.BINDING_BYTES <= self.strictest_value_bytes:
            return True
        trial = block.copy()
        trial.last_attempt = self.next_attempt(job)
        first = (number + 1) * self.tasks_per_record  # no task index in the block has more digits
        for index, offer in enumerate(offers, first):
            trial.bindings[index] = Binding(
                trial.last_attempt, offer.machine, offer.agent_epoch, offer.term, offer.zone
            )
        return value_bytes(encode_block(trial, self.record_format())) <= self.strictest_value_bytes

    def next_attempt(self, job: Job) -> int:
        """Return an attempt number that no task of the job has used."""
        return 1 + max((block.last_attempt for block in self.blocks(job)), default=0)

    def on_format_change(self) -> None:
        """Rewrite, in the new format, blocks that earlier versions left larger than the limits."""
        for job in list(self.context.replica.active.values()):
            if self.owns(job):
                self.shrink(job)

    def shrink(self, job: Job) -> None:
        """Rewrite blocks of format 1 that exceed the strictest announced limit."""
        for number, block in job.blocks.items():
            if (
                not block.compact
                and number not in self.changed.get(job.id, ())
                and len(block.bindings) * constants.BINDING_BYTES > self.strictest_value_bytes
                and value_bytes(encode_block(block, FORMAT_FIRST)) > self.strictest_value_bytes
            ):
                self.edit(job, number)

    def owns(self, job: Job) -> bool:
        """Whether this controller holds the role of the job's team."""
        return job.team in self.context.held_roles

    def block(self, job: Job, number: int) -> TaskBlock:
        """Return a block as it will be recorded, or an empty block; callers must not modify it."""
        return self.changed.get(job.id, {}).get(number) or job.blocks.get(number) or TaskBlock()

    def edit(self, job: Job, number: int, due: float = 0.0) -> TaskBlock:
        """Return a copy of a block to modify, written at `due` (local time, s) or earlier."""
        changed = self.changed.setdefault(job.id, {})
        block = changed.get(number)
        if block is None:
            old = job.blocks.get(number)
            block = changed[number] = old.copy() if old is not None else self._new_block(job)
        block_id = BlockId(job.id, number)
        self.dirty[block_id] = min(due, self.dirty.get(block_id, math.inf))
        self._last_version += 1
        self.versions[block_id] = self._last_version
        return block

    def _new_block(self, job: Job) -> TaskBlock:
        """Return an empty block, assigned to a batch if the job is small."""
        block = TaskBlock()
        if self.record_format() >= FORMAT_BATCHES and shares_batch(
            job.tasks, self.tasks_per_record, self.batches.limit
        ):
            block.batch = self.batches.choose(job.team, job.id, job.tasks)
        return block

    def settle(self, block_id: BlockId, version: int) -> bool:
        """Drop the changed copy of a block that is recorded in this version.

        A copy that was edited since stays: its newer version is not recorded yet, whether or not a
        transaction with it is in flight. Returns whether the copy was dropped.
        """
        if self.versions.get(block_id) != version:
            return False
        self.dirty.pop(block_id, None)
        self._drop(block_id)
        return True

    def _drop(self, block_id: BlockId) -> None:
        """Drop the changed copy of a block."""
        job_id, number = block_id
        del self.versions[block_id]
        changed = self.changed[job_id]
        del changed[number]
        if not changed:
            del self.changed[job_id]
            self.batches.release(job_id)

    def blocks(self, job: Job) -> list[TaskBlock]:
        """Return all blocks of a job as they will be recorded."""
        changed = self.changed.get(job.id)
        if not changed:
            return list(job.blocks.values())
        return list({**job.blocks, **changed}.values())

    def bindings(self, job: Job) -> list[Binding]:
        """Return all bindings of a job as they will be recorded."""
        return [b for block in self.blocks(job) for b in block.bindings.values()]

    def unbound_tasks(self, job: Job) -> int:
        """Count the tasks that are neither completed nor bound."""
        if job.spec is None or job.final:
            return 0
        unbound, block_size = job.spec.tasks, self.tasks_per_record
        for block in self.blocks(job):  # a huge array has hundreds, most without bindings
            unbound -= block.completed_mask.bit_count()
            if block.bindings:
                unbound -= sum(
                    1 for i in block.bindings if not block.completed_mask >> (i % block_size) & 1
                )
        return unbound

    def next_unbound_task(self, job: Job, first: int, offer: OfferedCapacity) -> int | None:
        """Return the index of a task that may be bound to an offer, or None.

        The search starts at the index `first`; if it finds none, it restarts at 0.
        """
        assert job.spec is not None
        for start in (first, 0):
            index = self._unbound_task_from(job, start, job.spec.tasks, offer)
            if index is not None:
                return index
        return None

    def _unbound_task_from(
        self, job: Job, start: int, end: int, offer: OfferedCapacity
    ) -> int | None:
        block_size = self.tasks_per_record
        index = start
        while index < end:
            number, bit = divmod(index, block_size)
            block = self.block(job, number)
            if index in block.bindings or block.completed_mask >> bit & 1:
                index += 1
            elif self.block_fits(job, number, [offer]):
                return index
            else:  # wait until other tasks of this block have ended
                index = (number + 1) * block_size
        return None

    def team_usage(self, team: str) -> Usage:
        """Return the usage of a team whose role is held.

        All bound tasks without a termination proof count: the recorded usage, corrected by the
        few changed blocks.
        """
        cpus, gpus = self.context.replica.usage.by_team.get(team, NO_USAGE)
        for job_id, changed in self.changed.items():
            job = self.context.replica.jobs[job_id]
            if job.team == team:
                added_bindings = sum(len(block.bindings) for block in changed.values()) - sum(
                    len(job.blocks[number].bindings) for number in changed if number in job.blocks
                )
                cpus += added_bindings * job.resources.cpus
                gpus += added_bindings * job.resources.gpus
        return Usage(cpus, gpus)

    def drop_lost(self, held: set[str]) -> None:
        """Drop the changes of all teams except those whose roles were `held` continuously."""
        jobs = self.context.replica.jobs
        lost = [job_id for job_id in self.changed if jobs[job_id].team not in held]
        for job_id in lost:
            for number in list(self.changed[job_id]):
                block_id = BlockId(job_id, number)
                self.dirty.pop(block_id, None)
                self._drop(block_id)
