"""A replica of all records, kept up to date by the watch and by our own writes."""

import bisect
import logging
import math
from typing import Any, Protocol

import msgspec

from oakmux import constants
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import NO_USAGE, Resources, Usage
from oakmux.core.state.binding_batches import (
    ONLY_BLOCK,
    BindingBatch,
    decode_batch,
    decode_row_block,
)
from oakmux.core.state.codecs import decode_block
from oakmux.core.state.formats import FORMAT
from oakmux.core.state.keys import (
    PREFIX,
    batch_key,
    block_key,
    controller_key,
    job_key,
    role_key,
    termination_key,
)
from oakmux.core.state.records import Binding, Job, TaskBlock

log = logging.getLogger("oakmux.records")


class RecordNamespace(Protocol):
    """Keeps records of a further kind, of a subsystem that is switched on."""

    def keys(self) -> set[str]:
        """Return the keys of all its records."""

    def apply(self, rest: str, value: Any, mod_revision: int) -> None:
        """Take one change; `rest` is the key without what is common to its kind."""


class Replica:
    """All records as far as the watch has brought them, and what our own writes changed."""

    def __init__(self) -> None:
        self.revision = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
        # Records that hold the bindings of many small jobs, by team/number.
        self.batches: dict[str, BindingBatch] = {}
        self.active: dict[str, Job] = {}
        # Jobs that wait on others, by each that they need and that is not done.
        self.waiters: dict[str, set[str]] = {}
        # Unfinished jobs that need a cancelled one, directly or through others. They can never
        # have started, so that they are cancelled follows from final records alone.
        self.cascade_cancelled: dict[str, None] = {}
        # Cancelled jobs by the revision that made them so, in its order; older than the floor they
        # were dropped.
        self.cancellations_by_revision: list[tuple[int, str]] = []
        self.cancellations_floor = 0
        # Jobs whose last need was met, until the controller has taken note.
        self.released: list[str] = []
        self.versions: dict[str, int] = {}
        self.format = 1
        # The latest format that we can read and write.
        self.known_format = FORMAT
        self.format_revision = 0
        # Tasks to a chunk, as recorded with the format: the mapping never moves.
        self.tasks_per_record: int | None = None
        self.unreadable: set[str] = set()
        # Unfinished jobs that need no GPU: they fit where all GPUs are taken.
        self.jobs_without_gpus: set[str] = set()
        self.roles: dict[str, tuple[str, int, int]] = {}
        # Counts the changes of roles: they are looked at several times in each step.
        self.role_changes = 0
        self.live_controllers: dict[str, int] = {}
        self.terminated_machines: dict[str, int] = {}
        self.term = (0, 0)
        self.types: dict[str, MachineType] = {}
        self.by_machine: dict[str, dict[tuple[str, int], Binding]] = {}
        self.orphan_blocks: dict[str, dict[int, TaskBlock]] = {}
        self.removed: dict[str, int] = {}
        # Keepers of records of further kinds, by the kind in their keys.
        self.namespaces: dict[str, RecordNamespace] = {}
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        # What is bound of each team's tasks, kept up to date with every change of a chunk.
        self.team_usage: dict[str, Usage] = {}
        # Of that, what ends by itself (all but services), by the priority of the jobs:
        # {team: {priority: (cpus, gpus)}}.
        self.preemptible_usage: dict[str, dict[int, Usage]] = {}
        # Free room of machines, by name; taken out when their tasks or bindings change.
        self.free_resources: dict[str, Resources] = {}
        # Machines whose place among all others may have changed since the index was refreshed.
        self.stale_machines: set[str] = set()

    @property
    def unknown_format(self) -> bool:
        """Whether the records are of a later version: we can't be sure to read them."""
        return self.format > self.known_format

    def touch(self, machine: str) -> None:
        """Something changed of what is on a machine or of whether it may be used."""
        self.free_resources.pop(machine, None)
        self.stale_machines.add(machine)

    def load(self, rows: list[tuple[str, Any, int]], revision: int) -> None:
        """Take a complete list of all keys: what is missing was deleted."""
        names = {key for key, _, _ in rows}
        for key in self._keys() - names:
            self.apply(key, None, revision)
        for key, value, mod_revision in rows:
            self.apply(key, value, mod_revision)
        self.revision = max(self.revision, revision)
        self.loaded = True

    def _keys(self) -> set[str]:
        keys = {job_key(job) for job in self.jobs}
        keys.update(
            block_key(job.id, number)
            for job in self.jobs.values()
            for number, block in job.blocks.items()
            if block.batch is None
        )
        keys.update(batch_key(name) for name in self.batches)
        keys.update(role_key(role) for role in self.roles)
        keys.update(controller_key(label) for label in self.live_controllers)
        keys.update(termination_key(machine) for machine in self.terminated_machines)
        for guest in self.namespaces.values():
            keys.update(guest.keys())
        return keys

    def apply(self, key: str, value: Any, mod_revision: int) -> None:
        """Take one change; older news of a key than we have is dropped."""
        try:
            self._apply(key, value, mod_revision)
        except (TypeError, ValueError, LookupError, msgspec.ValidationError) as error:
            # Of a version that we don't know: said once a key, not at every change.
            if key not in self.unreadable and len(self.unreadable) < constants.MAX_QUEUE:
                self.unreadable.add(key)
                log.error("event=bad_record key=%s why=%r", key, str(error))

    def _apply(self, key: str, value: Any, mod_revision: int) -> None:
        kind, _, rest = key.removeprefix(PREFIX).partition("/")
        if kind == "j":
            self._apply_job(rest, value, mod_revision)
        elif kind == "t":
            job_id, _, number = rest.partition("/")
            self._apply_block(job_id, int(number), value, mod_revision)
        elif kind == "p":
            self._apply_batch(rest, value, mod_revision)
        elif kind == "own":
            self.role_changes += 1
            if value is None:
                if rest in self.roles and self.roles[rest][2] <= mod_revision:
                    del self.roles[rest]
            elif rest not in self.roles or self.roles[rest][2] < mod_revision:
                self.roles[rest] = (value[0], value[1], mod_revision)
        elif kind == "n":
            if value is None:
                self.live_controllers.pop(rest, None)
            else:
                self.live_controllers[rest] = value
        elif kind == "gone":
            if value is None:
                self.terminated_machines.pop(rest, None)
            else:
                self.terminated_machines[rest] = mod_revision
                self.touch(rest)
                self.changed_machines.add(rest)
        elif kind == "types" and value is not None:
            self.types = {row[0]: msgspec.convert(row, MachineType) for row in value}
        elif kind == "term" and value is not None and mod_revision > self.term[1]:
            self.term = (value, mod_revision)
        elif kind in self.namespaces:
            self.namespaces[kind].apply(rest, value, mod_revision)
        elif kind == "version" and value is not None:
            self.versions[rest] = value
        elif kind == "format" and value is not None:
            self._apply_format(value, mod_revision)

    def _apply_format(self, value: list, mod_revision: int) -> None:
        if mod_revision <= self.format_revision:
            return
        self.format, self.format_revision = value[0], mod_revision
        if self.unknown_format:
            log.error("event=unknown_format format=%s known=%s", self.format, self.known_format)
        else:
            self.tasks_per_record = value[1]

    def _apply_job(self, job_id: str, value: Any, mod_revision: int) -> None:
        if value is None:
            return  # records of jobs are never deleted
        job = self.jobs.get(job_id)
        if job is not None and job.mod_revision >= mod_revision:
            return
        state, team, raw, order, tasks = value
        spec = None if raw is None else msgspec.convert(raw, JobSpec)
        new = job is None
        if job is None:
            job = self.jobs[job_id] = Job(job_id, team, state, mod_revision, spec, order, tasks)
            job.blocks.update(self.orphan_blocks.pop(job_id, {}))
            self._count_usage(job, len(job.bindings()))
            for binding in job.bindings():
                self.touch(binding.machine)
        else:
            job.state, job.mod_revision = state, mod_revision
            job.set_spec(spec or job.spec)
        if job.state == "cancelled":
            self._note_cancel(mod_revision, job_id)
        if job.final:
            self._finish(job)
        elif new and spec is not None:
            self._add_dependencies(job, spec)
        self.changed_jobs.add(job_id)
        self._update_active(job)
        if job.final:
            self.changed_machines.update(b.machine for b in job.bindings())

    def _note_cancel(self, mod_revision: int, job_id: str) -> None:
        if mod_revision <= self.cancellations_floor:
            return
        bisect.insort(self.cancellations_by_revision, (mod_revision, job_id))
        if len(self.cancellations_by_revision) > 2 * constants.CANCELS_KEPT:
            old, self.cancellations_by_revision = (
                self.cancellations_by_revision[: constants.CANCELS_KEPT],
                self.cancellations_by_revision[constants.CANCELS_KEPT :],
            )
            self.cancellations_floor = old[-1][0]

    def cancelled_since(self, revision: int) -> list[str] | None:
        """Return all jobs cancelled after a revision, as far as we know; None if it is too old.

        Our own cancellations are among them from the moment that their write is answered, those
        of all others up to our own revision.
        """
        if revision < self.cancellations_floor:
            return None
        first = bisect.bisect_right(
            self.cancellations_by_revision, revision, key=lambda row: row[0]
        )
        return [job_id for _, job_id in self.cancellations_by_revision[first:]]

    # --- jobs that wait on others ---

    def _add_dependencies(self, job: Job, spec: JobSpec) -> None:
        """Note what an unfinished job waits on."""
        for name in spec.waits_on:
            other = self.jobs.get(name)
            if other is None or other.state != "done":
                job.unmet_dependencies.add(name)
                self.waiters.setdefault(name, set()).add(job.id)
                if other is not None and (
                    other.state == "cancelled" or name in self.cascade_cancelled
                ):
                    self._cascade(job.id)
        self._propagate_urgency(job.id, *job.unmet_dependencies)

    def _finish(self, job: Job) -> None:
        """A job is final: it waits no more; those that wait on it are ready or cancelled."""
        for name in job.unmet_dependencies:
            others = self.waiters.get(name, set())
            others.discard(job.id)
            if not others:
                self.waiters.pop(name, None)
        self._propagate_urgency(*job.unmet_dependencies)
        job.unmet_dependencies = set()
        self.cascade_cancelled.pop(job.id, None)
        if job.state == "cancelled":
            for name in list(self.waiters.get(job.id, ())):
                self._cascade(name)
            return
        for name in self.waiters.pop(job.id, ()):
            waiting = self.jobs[name]
            waiting.unmet_dependencies.discard(job.id)
            if waiting.ready:
                self.released.append(name)
                self.changed_jobs.add(name)
                self._update_active(waiting)

    def _cascade(self, job_id: str) -> None:
        """A job needs a cancelled one, and with it all that need this job."""
        stack = [job_id]
        while stack:
            name = stack.pop()
            if name not in self.cascade_cancelled and not self.jobs[name].final:
                self.cascade_cancelled[name] = None
                self.changed_jobs.add(name)
                stack += self.waiters.get(name, ())

    def _propagate_urgency(self, *names: str) -> None:
        """Bring up to date what those that need these jobs ask of them, and so on upwards."""
        stack = list(names)
        while stack:
            job = self.jobs.get(stack.pop())
            if job is None or job.final or job.spec is None:
                continue
            priority, due = job.spec.priority, math.inf
            if job.spec.deadline_s is not None:
                due = job.order + job.spec.deadline_s * 1000
            for name in self.waiters.get(job.id, ()):
                priority = max(priority, self.jobs[name].priority)
                due = min(due, self.jobs[name].latest_start_ms)
            if (priority, due) != (job.priority, job.due_ms):
                bound = sum(len(block.bound) for block in job.blocks.values())
                self._count_usage(job, -bound)
                job.priority, job.due_ms = priority, due
                self._count_usage(job, bound)
                self.changed_jobs.add(job.id)
                stack += job.unmet_dependencies

    def _update_active(self, job: Job) -> None:
        if job.final and not any(block.bound for block in job.blocks.values()):
            self.active.pop(job.id, None)
            self.jobs_without_gpus.discard(job.id)
            job.spec = None
        else:
            self.active[job.id] = job
            if job.spec is not None and not job.spec.gpus and job.ready:
                self.jobs_without_gpus.add(job.id)

    def _apply_block(self, job_id: str, number: int, value: Any, mod_revision: int) -> None:
        self._set_block(
            job_id,
            number,
            None if value is None else decode_block(value, mod_revision),
            mod_revision,
        )

    def _apply_batch(self, name: str, value: Any, mod_revision: int) -> None:
        """Take a page: of its rows those that changed, and those that are gone."""
        old = self.batches.get(name)
        if old is not None and old.mod_revision >= mod_revision:
            return
        before = old.rows if old is not None else {}
        batch = decode_batch(value or [], mod_revision)
        blocks = {
            job_id: decode_row_block(row, name, mod_revision)
            for job_id, row in batch.rows.items()
            if before.get(job_id) != row
        }
        if value is not None:
            self.batches[name] = batch
        else:  # not there: what writes it next is guarded by its absence
            self.batches.pop(name, None)
        for job_id in before.keys() - batch.rows.keys():
            self._set_block(job_id, ONLY_BLOCK, None, mod_revision)
        for job_id, block in blocks.items():
            self._set_block(job_id, ONLY_BLOCK, block, mod_revision)

    def _set_block(
        self, job_id: str, number: int, block: TaskBlock | None, mod_revision: int
    ) -> None:
        """Take the newer state of a chunk, or that it is gone."""
        job = self.jobs.get(job_id)
        blocks = job.blocks if job is not None else self.orphan_blocks.setdefault(job_id, {})
        old = blocks.get(number)
        if old is not None and old.mod_revision >= mod_revision:
            return
        key = f"{job_id}/{number}"
        if old is None and self.removed.get(key, -1) >= mod_revision:
            return  # a deletion that we know of is newer than this news
        bound = 0
        if old is not None:
            bound -= len(old.bound)
            for index, binding in old.bound.items():
                self._remove_binding(job_id, index, binding)
        if block is None:
            blocks.pop(number, None)
            self.removed[key] = mod_revision
            if len(self.removed) > constants.MAX_QUEUE:
                del self.removed[next(iter(self.removed))]
        else:
            blocks[number] = block
            bound += len(block.bound)
            for index, binding in block.bound.items():
                self.by_machine.setdefault(binding.machine, {})[(job_id, index)] = binding
                self.changed_machines.add(binding.machine)
                self.touch(binding.machine)
        self.changed_jobs.add(job_id)
        if job is not None:
            self._count_usage(job, bound)
            self._update_active(job)

    def _count_usage(self, job: Job, bound: int) -> None:
        """Add so many bound tasks to what the job's team uses."""
        if bound:
            more_cpus, more_gpus = bound * job.resources.cpus, bound * job.resources.gpus
            cpus, gpus = self.team_usage.get(job.team, NO_USAGE)
            self.team_usage[job.team] = Usage(cpus + more_cpus, gpus + more_gpus)
            if not job.service:
                at = self.preemptible_usage.setdefault(job.team, {})
                cpus, gpus = at.get(job.priority, NO_USAGE)
                at[job.priority] = Usage(cpus + more_cpus, gpus + more_gpus)

    def _remove_binding(self, job_id: str, index: int, binding: Binding) -> None:
        bound = self.by_machine.get(binding.machine)
        if bound and bound.get((job_id, index)) == binding:
            del bound[(job_id, index)]
            if not bound:
                del self.by_machine[binding.machine]
            self.changed_machines.add(binding.machine)
            self.touch(binding.machine)
