"""A replica of all records, kept up to date by the watch and by our own writes."""

import bisect
import logging
import math
from typing import Any, Protocol

import msgspec

from oakmux import constants
from oakmux.core.jobs import (
    FORMAT,
    PREFIX,
    Binding,
    Chunk,
    Job,
    chunk_from,
    chunk_key,
    gone_key,
    job_key,
    node_key,
    role_key,
)
from oakmux.core.pages import ONLY_CHUNK, Page, page_from, page_key, row_chunk
from oakmux.wire import JobSpec, MachineType

log = logging.getLogger("oakmux.records")


class Guest(Protocol):
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
        self.pages: dict[str, Page] = {}
        self.active: dict[str, Job] = {}
        # Jobs that wait on others, by each that they need and that is not done.
        self.waiters: dict[str, set[str]] = {}
        # Unfinished jobs that need a cancelled one, directly or through others. They can never
        # have started, so that they are cancelled follows from final records alone.
        self.cascaded: dict[str, None] = {}
        # Cancelled jobs by the revision that made them so, in its order; older than the floor they
        # were dropped.
        self.cancels: list[tuple[int, str]] = []
        self.cancels_floor = 0
        # Jobs whose last need was met, until the controller has taken note.
        self.freed: list[str] = []
        self.versions: dict[str, int] = {}
        self.format = 1
        # The latest format that we can read and write.
        self.known_format = FORMAT
        self.format_revision = 0
        # Tasks to a chunk, as recorded with the format: the mapping never moves.
        self.per_chunk: int | None = None
        self.bad: set[str] = set()
        # Unfinished jobs that need no GPU: they fit where all GPUs are taken.
        self.gpuless: set[str] = set()
        self.roles: dict[str, tuple[str, int, int]] = {}
        # Counts the changes of roles: they are looked at several times in each step.
        self.role_changes = 0
        self.nodes: dict[str, int] = {}
        self.gone: dict[str, int] = {}
        self.term = (0, 0)
        self.types: dict[str, MachineType] = {}
        self.by_machine: dict[str, dict[tuple[str, int], Binding]] = {}
        self.loose: dict[str, dict[int, Chunk]] = {}
        self.removed: dict[str, int] = {}
        # Keepers of records of further kinds, by the kind in their keys.
        self.guests: dict[str, Guest] = {}
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        # What is bound of each team's tasks, kept up to date with every change of a chunk.
        self.used: dict[str, tuple[float, float]] = {}
        # Of that, what ends by itself (all but services), by the priority of the jobs:
        # {team: {priority: (cpus, gpus)}}.
        self.used_ending: dict[str, dict[int, tuple[float, float]]] = {}
        # Free room of machines, by name; taken out when their tasks or bindings change.
        self.rooms: dict[str, tuple[float, float, float]] = {}
        # Machines whose place among all others may have changed since the index was refreshed.
        self.stale: set[str] = set()

    @property
    def foreign(self) -> bool:
        """Whether the records are of a later version: we can't be sure to read them."""
        return self.format > self.known_format

    def touch(self, machine: str) -> None:
        """Something changed of what is on a machine or of whether it may be used."""
        self.rooms.pop(machine, None)
        self.stale.add(machine)

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
            chunk_key(job.id, number)
            for job in self.jobs.values()
            for number, chunk in job.chunks.items()
            if chunk.page is None
        )
        keys.update(page_key(name) for name in self.pages)
        keys.update(role_key(role) for role in self.roles)
        keys.update(node_key(label) for label in self.nodes)
        keys.update(gone_key(machine) for machine in self.gone)
        for guest in self.guests.values():
            keys.update(guest.keys())
        return keys

    def apply(self, key: str, value: Any, mod_revision: int) -> None:
        """Take one change; older news of a key than we have is dropped."""
        try:
            self._apply(key, value, mod_revision)
        except (TypeError, ValueError, LookupError, msgspec.ValidationError) as error:
            # Of a version that we don't know: said once a key, not at every change.
            if key not in self.bad and len(self.bad) < constants.MAX_QUEUE:
                self.bad.add(key)
                log.error("event=bad_record key=%s why=%r", key, str(error))

    def _apply(self, key: str, value: Any, mod_revision: int) -> None:
        kind, _, rest = key.removeprefix(PREFIX).partition("/")
        if kind == "j":
            self._apply_job(rest, value, mod_revision)
        elif kind == "t":
            job_id, _, number = rest.partition("/")
            self._apply_chunk(job_id, int(number), value, mod_revision)
        elif kind == "p":
            self._apply_page(rest, value, mod_revision)
        elif kind == "own":
            self.role_changes += 1
            if value is None:
                if rest in self.roles and self.roles[rest][2] <= mod_revision:
                    del self.roles[rest]
            elif rest not in self.roles or self.roles[rest][2] < mod_revision:
                self.roles[rest] = (value[0], value[1], mod_revision)
        elif kind == "n":
            if value is None:
                self.nodes.pop(rest, None)
            else:
                self.nodes[rest] = value
        elif kind == "gone":
            if value is None:
                self.gone.pop(rest, None)
            else:
                self.gone[rest] = mod_revision
                self.touch(rest)
                self.changed_machines.add(rest)
        elif kind == "types" and value is not None:
            self.types = {row[0]: msgspec.convert(row, MachineType) for row in value}
        elif kind == "term" and value is not None and mod_revision > self.term[1]:
            self.term = (value, mod_revision)
        elif kind in self.guests:
            self.guests[kind].apply(rest, value, mod_revision)
        elif kind == "version" and value is not None:
            self.versions[rest] = value
        elif kind == "format" and value is not None:
            self._apply_format(value, mod_revision)

    def _apply_format(self, value: list, mod_revision: int) -> None:
        if mod_revision <= self.format_revision:
            return
        self.format, self.format_revision = value[0], mod_revision
        if self.foreign:
            log.error("event=unknown_format format=%s known=%s", self.format, self.known_format)
        else:
            self.per_chunk = value[1]

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
            job.chunks.update(self.loose.pop(job_id, {}))
            self._count(job, len(job.bindings()))
            for binding in job.bindings():
                self.touch(binding.machine)
        else:
            job.state, job.mod_revision = state, mod_revision
            job.describe(spec or job.spec)
        if job.state == "cancelled":
            self._note_cancel(mod_revision, job_id)
        if job.final:
            self._ended(job)
        elif new and spec is not None:
            self._needs(job, spec)
        self.changed_jobs.add(job_id)
        self._index(job)
        if job.final:
            self.changed_machines.update(b.machine for b in job.bindings())

    def _note_cancel(self, mod_revision: int, job_id: str) -> None:
        if mod_revision <= self.cancels_floor:
            return
        bisect.insort(self.cancels, (mod_revision, job_id))
        if len(self.cancels) > 2 * constants.CANCELS_KEPT:
            old, self.cancels = (
                self.cancels[: constants.CANCELS_KEPT],
                self.cancels[constants.CANCELS_KEPT :],
            )
            self.cancels_floor = old[-1][0]

    def cancelled_since(self, revision: int) -> list[str] | None:
        """Return all jobs cancelled after a revision, as far as we know; None if it is too old.

        Our own cancellations are among them from the moment that their write is answered, those
        of all others up to our own revision.
        """
        if revision < self.cancels_floor:
            return None
        first = bisect.bisect_right(self.cancels, revision, key=lambda row: row[0])
        return [job_id for _, job_id in self.cancels[first:]]

    # --- jobs that wait on others ---

    def _needs(self, job: Job, spec: JobSpec) -> None:
        """Note what an unfinished job waits on."""
        for name in spec.waits_on:
            other = self.jobs.get(name)
            if other is None or other.state != "done":
                job.unmet.add(name)
                self.waiters.setdefault(name, set()).add(job.id)
                if other is not None and (other.state == "cancelled" or name in self.cascaded):
                    self._cascade(job.id)
        self._press(job.id, *job.unmet)

    def _ended(self, job: Job) -> None:
        """A job is final: it waits no more; those that wait on it are ready or cancelled."""
        for name in job.unmet:
            others = self.waiters.get(name, set())
            others.discard(job.id)
            if not others:
                self.waiters.pop(name, None)
        self._press(*job.unmet)
        job.unmet = set()
        self.cascaded.pop(job.id, None)
        if job.state == "cancelled":
            for name in list(self.waiters.get(job.id, ())):
                self._cascade(name)
            return
        for name in self.waiters.pop(job.id, ()):
            waiting = self.jobs[name]
            waiting.unmet.discard(job.id)
            if waiting.ready:
                self.freed.append(name)
                self.changed_jobs.add(name)
                self._index(waiting)

    def _cascade(self, job_id: str) -> None:
        """A job needs a cancelled one, and with it all that need this job."""
        stack = [job_id]
        while stack:
            name = stack.pop()
            if name not in self.cascaded and not self.jobs[name].final:
                self.cascaded[name] = None
                self.changed_jobs.add(name)
                stack += self.waiters.get(name, ())

    def _press(self, *names: str) -> None:
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
                due = min(due, self.jobs[name].latest)
            if (priority, due) != (job.priority, job.due):
                bound = sum(len(chunk.bound) for chunk in job.chunks.values())
                self._count(job, -bound)
                job.priority, job.due = priority, due
                self._count(job, bound)
                self.changed_jobs.add(job.id)
                stack += job.unmet

    def _index(self, job: Job) -> None:
        if job.final and not any(chunk.bound for chunk in job.chunks.values()):
            self.active.pop(job.id, None)
            self.gpuless.discard(job.id)
            job.spec = None
        else:
            self.active[job.id] = job
            if job.spec is not None and not job.spec.gpus and job.ready:
                self.gpuless.add(job.id)

    def _apply_chunk(self, job_id: str, number: int, value: Any, mod_revision: int) -> None:
        self._set_chunk(
            job_id,
            number,
            None if value is None else chunk_from(value, mod_revision),
            mod_revision,
        )

    def _apply_page(self, name: str, value: Any, mod_revision: int) -> None:
        """Take a page: of its rows those that changed, and those that are gone."""
        old = self.pages.get(name)
        if old is not None and old.mod_revision >= mod_revision:
            return
        before = old.rows if old is not None else {}
        page = page_from(value or [], mod_revision)
        chunks = {
            job_id: row_chunk(row, name, mod_revision)
            for job_id, row in page.rows.items()
            if before.get(job_id) != row
        }
        if value is not None:
            self.pages[name] = page
        else:  # not there: what writes it next is guarded by its absence
            self.pages.pop(name, None)
        for job_id in before.keys() - page.rows.keys():
            self._set_chunk(job_id, ONLY_CHUNK, None, mod_revision)
        for job_id, chunk in chunks.items():
            self._set_chunk(job_id, ONLY_CHUNK, chunk, mod_revision)

    def _set_chunk(self, job_id: str, number: int, chunk: Chunk | None, mod_revision: int) -> None:
        """Take the newer state of a chunk, or that it is gone."""
        job = self.jobs.get(job_id)
        chunks = job.chunks if job is not None else self.loose.setdefault(job_id, {})
        old = chunks.get(number)
        if old is not None and old.mod_revision >= mod_revision:
            return
        key = f"{job_id}/{number}"
        if old is None and self.removed.get(key, -1) >= mod_revision:
            return  # a deletion that we know of is newer than this news
        bound = 0
        if old is not None:
            bound -= len(old.bound)
            for index, binding in old.bound.items():
                self._unbind(job_id, index, binding)
        if chunk is None:
            chunks.pop(number, None)
            self.removed[key] = mod_revision
            if len(self.removed) > constants.MAX_QUEUE:
                del self.removed[next(iter(self.removed))]
        else:
            chunks[number] = chunk
            bound += len(chunk.bound)
            for index, binding in chunk.bound.items():
                self.by_machine.setdefault(binding.machine, {})[(job_id, index)] = binding
                self.changed_machines.add(binding.machine)
                self.touch(binding.machine)
        self.changed_jobs.add(job_id)
        if job is not None:
            self._count(job, bound)
            self._index(job)

    def _count(self, job: Job, bound: int) -> None:
        """Add so many bound tasks to what the job's team uses."""
        if bound:
            more_cpus, more_gpus = bound * job.takes[0], bound * job.takes[1]
            cpus, gpus = self.used.get(job.team, (0.0, 0.0))
            self.used[job.team] = (cpus + more_cpus, gpus + more_gpus)
            if not job.service:
                at = self.used_ending.setdefault(job.team, {})
                cpus, gpus = at.get(job.priority, (0.0, 0.0))
                at[job.priority] = (cpus + more_cpus, gpus + more_gpus)

    def _unbind(self, job_id: str, index: int, binding: Binding) -> None:
        bound = self.by_machine.get(binding.machine)
        if bound and bound.get((job_id, index)) == binding:
            del bound[(job_id, index)]
            if not bound:
                del self.by_machine[binding.machine]
            self.changed_machines.add(binding.machine)
            self.touch(binding.machine)
