"""Records of jobs, as the state service holds them, and a replica of all of them.

Keys: j/<job> (state, team, description), t/<job>/<chunk> (bindings and completed tasks),
own/<role> (who owns a team or the fleet), n/<controller>, gone/<machine>, term, types (the
cloud's catalogue, so that a controller that starts while the cloud is out knows it),
version/<controller> (what a controller can read), format (what all write).
"""

import bisect
import logging
import math
from typing import Any, NamedTuple, Protocol

import msgspec

from oakmux import constants
from oakmux.settings import StateLimits
from oakmux.wire import JobSpec, MachineType

PREFIX = "ox/"
# The format of the records that this version can write. Format 1, that of the first version, is
# read for ever and written until every controller is known to read format 2.
FORMAT = 2

log = logging.getLogger("oakmux.records")


class Binding(NamedTuple):
    """A task that may be on a machine, until it is proven gone."""

    attempt: int
    machine: str
    session: int
    term: int
    zone: str
    stop: bool = False


class Chunk:
    """A run of a job's tasks: bindings, completed tasks, highest attempt used."""

    __slots__ = ("stamp", "last", "done", "bound", "compact")

    def __init__(
        self,
        stamp: int = 0,
        last: int = 0,
        done: int = 0,
        bound: dict[int, Binding] | None = None,
        compact: bool = True,
    ) -> None:
        self.stamp = stamp
        self.last = last
        self.done = done
        self.bound = bound if bound is not None else {}
        self.compact = compact

    def copy(self) -> "Chunk":
        """Return a copy that can be worked on."""
        return Chunk(self.stamp, self.last, self.done, dict(self.bound), self.compact)

    def to_value(self, form: int) -> list:
        """Return the value for the state service.

        Format 2 names what bindings share once: session, term, zone and stop in a list of
        heads, the machine and its head before all pairs of task and attempt there.
        """
        if form < 2:
            return [
                self.last,
                f"{self.done:x}",
                [
                    [i, b.attempt, b.machine, b.session, b.term, b.zone, b.stop]
                    for i, b in sorted(self.bound.items())
                ],
            ]
        heads: dict[tuple, int] = {}
        groups: dict[tuple[str, int], list] = {}
        for i, b in sorted(self.bound.items()):
            head = heads.setdefault((b.session, b.term, b.zone, int(b.stop)), len(heads))
            groups.setdefault((b.machine, head), [b.machine, head]).extend((i, b.attempt))
        return [self.last, f"{self.done:x}", [list(head) for head in heads], list(groups.values())]


def chunk_from(value: Any, stamp: int) -> Chunk:
    """Read a chunk's value, of either format."""
    last, done, *rest = value
    bound: dict[int, Binding] = {}
    if len(rest) == 1:
        bound = {row[0]: Binding(*row[1:]) for row in rest[0]}
    else:
        heads, groups = rest
        for machine, head, *pairs in groups:
            session, term, zone, stop = heads[head]
            for i, attempt in zip(pairs[::2], pairs[1::2], strict=True):
                bound[i] = Binding(attempt, machine, session, term, zone, bool(stop))
    return Chunk(stamp, last, int(done, 16), bound, len(rest) > 1)


def value_bytes(value: Any) -> int:
    """Return a value's size as the state service counts it: in JSON."""
    return len(msgspec.json.encode(value))


def value_limit(limits: StateLimits) -> int:
    """Return the bytes that a value of ours may take."""
    return int(limits.value_kb * 1024) - constants.VALUE_SLACK_BYTES


class Job:
    """A job as the records have it."""

    __slots__ = (
        "id",
        "team",
        "state",
        "stamp",
        "spec",
        "chunks",
        "order",
        "tasks",
        "service",
        "unmet",
        "since",
        "priority",
        "due",
        "takes",
    )

    def __init__(
        self,
        job_id: str,
        team: str,
        state: str,
        stamp: int,
        spec: JobSpec | None,
        order: int,
        tasks: int,
    ) -> None:
        self.id = job_id
        self.team = team
        self.state = state
        self.stamp = stamp
        self.spec: JobSpec | None = None
        self.chunks: dict[int, Chunk] = {}
        self.order = order
        self.tasks = tasks
        self.service = spec is not None and spec.kind == "service"
        self.takes = (0.0, 0.0, 0.0)
        self.describe(spec)
        # The jobs that it needs and that are not done; it may not start before there are none.
        self.unmet: set[str] = set()
        # Since when it could start (ms): its age among others.
        self.since = order
        # The highest priority of those that need it, itself included, and the time (ms) by which
        # it must end for the most pressing deadline among them.
        self.priority = 0 if spec is None else spec.priority
        self.due = math.inf

    def describe(self, spec: JobSpec | None) -> None:
        """Take the description. What a task takes (CPUs, GPUs, GB) outlives it: a job that is
        over may still have bindings, also such as we hear of later, and they count (R quota)."""
        self.spec = spec
        if spec is not None:
            self.takes = (spec.cpus, spec.gpus, spec.memory_gb)

    @property
    def ready(self) -> bool:
        """Whether all jobs that it needs are done (R too_early). A job that is done stays so:
        records that are behind can only err on the safe side."""
        return not self.unmet

    @property
    def latest(self) -> float:
        """The time (ms) by which it must start, by its owner's estimate."""
        return self.due - (0.0 if self.spec is None else self.spec.estimate_s * 1000)

    @property
    def final(self) -> bool:
        """Whether the state can't change any more."""
        return self.state != "queued"

    @property
    def begun(self) -> bool:
        """Whether a task is bound or done."""
        return any(chunk.bound or chunk.done for chunk in self.chunks.values())

    def bindings(self) -> list[Binding]:
        """Return all that the records say is bound."""
        return [b for chunk in self.chunks.values() for b in chunk.bound.values()]

    def done_count(self) -> int:
        """Count completed tasks."""
        if self.state == "done":
            return self.tasks
        return sum(chunk.done.bit_count() for chunk in self.chunks.values())

    def unbound(self) -> int:
        """Count tasks that are neither done nor bound."""
        return (
            self.tasks
            - self.done_count()
            - sum(len(chunk.bound) for chunk in self.chunks.values())
        )


def job_value(state: str, team: str, spec: JobSpec | None, order: int, tasks: int) -> list:
    """Return the value of a job's record; order is its place among submissions, roughly."""
    if spec is None:
        return [state, team, None, order, tasks]
    if state != "queued":
        # What only matters before a start is left out: it must not keep an end from fitting.
        spec = msgspec.structs.replace(spec, types=None, waits_on=())
    row = list(msgspec.to_builtins(spec))
    return [state, team, row if spec.waits_on else row[:-1], order, tasks]


def chunk_tasks(value_kb: float) -> int:
    """Return how many tasks share a record, so that it keeps within the value limit."""
    return max(1, min(constants.CHUNK_TASKS, int(value_kb * 1024 / constants.BINDING_BYTES)))


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{PREFIX}j/{job_id}"


def chunk_key(job_id: str, number: int) -> str:
    """Return the key of a chunk's record."""
    return f"{PREFIX}t/{job_id}/{number}"


def role_key(role: str) -> str:
    """Return the key that says who holds a role."""
    return f"{PREFIX}own/{role}"


def node_key(label: str) -> str:
    """Return the key that stands while a controller lives."""
    return f"{PREFIX}n/{label}"


def gone_key(machine: str) -> str:
    """Return the key that says a machine is certainly gone."""
    return f"{PREFIX}gone/{machine}"


def version_key(label: str) -> str:
    """Return the key that says what a controller can read; it stands for good."""
    return f"{PREFIX}version/{label}"


TERM_KEY = PREFIX + "term"
TYPES_KEY = PREFIX + "types"
FORMAT_KEY = PREFIX + "format"


class Guest(Protocol):
    """Keeps records of a further kind, of a subsystem that is switched on."""

    def keys(self) -> set[str]:
        """Return the keys of all its records."""

    def apply(self, rest: str, value: Any, stamp: int) -> None:
        """Take one change; `rest` is the key without what is common to its kind."""


class Replica:
    """All records as far as the watch has brought them, and what our own writes changed."""

    def __init__(self) -> None:
        self.epoch = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, Job] = {}
        # Jobs that wait on others, by each that they need and that is not done.
        self.waiters: dict[str, set[str]] = {}
        # Unfinished jobs that need a cancelled one, directly or through others. They can never
        # have started, so that they are cancelled follows from final records alone.
        self.doomed: dict[str, None] = {}
        # Cancelled jobs by the revision that made them so, in its order; older than the floor they
        # were dropped.
        self.cancels: list[tuple[int, str]] = []
        self.cancels_floor = 0
        # Jobs whose last need was met, until the controller has taken note.
        self.freed: list[str] = []
        self.versions: dict[str, int] = {}
        self.format = 1
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
        return self.format > FORMAT

    def touch(self, machine: str) -> None:
        """Something changed of what is on a machine or of whether it may be used."""
        self.rooms.pop(machine, None)
        self.stale.add(machine)

    def load(self, rows: list[tuple[str, Any, int]], epoch: int) -> None:
        """Take a complete list of all keys: what is missing was deleted."""
        names = {key for key, _, _ in rows}
        for key in self._keys() - names:
            self.apply(key, None, epoch)
        for key, value, stamp in rows:
            self.apply(key, value, stamp)
        self.epoch = max(self.epoch, epoch)
        self.loaded = True

    def _keys(self) -> set[str]:
        keys = {job_key(job) for job in self.jobs}
        keys.update(chunk_key(j.id, n) for j in self.jobs.values() for n in j.chunks)
        keys.update(role_key(role) for role in self.roles)
        keys.update(node_key(label) for label in self.nodes)
        keys.update(gone_key(machine) for machine in self.gone)
        for guest in self.guests.values():
            keys.update(guest.keys())
        return keys

    def apply(self, key: str, value: Any, stamp: int) -> None:
        """Take one change; older news of a key than we have is dropped."""
        try:
            self._apply(key, value, stamp)
        except (TypeError, ValueError, LookupError, msgspec.ValidationError) as error:
            # Of a version that we don't know: said once a key, not at every change.
            if key not in self.bad and len(self.bad) < constants.MAX_QUEUE:
                self.bad.add(key)
                log.error("event=bad_record key=%s why=%r", key, str(error))

    def _apply(self, key: str, value: Any, stamp: int) -> None:
        kind, _, rest = key.removeprefix(PREFIX).partition("/")
        if kind == "j":
            self._apply_job(rest, value, stamp)
        elif kind == "t":
            job_id, _, number = rest.partition("/")
            self._apply_chunk(job_id, int(number), value, stamp)
        elif kind == "own":
            self.role_changes += 1
            if value is None:
                if rest in self.roles and self.roles[rest][2] <= stamp:
                    del self.roles[rest]
            elif rest not in self.roles or self.roles[rest][2] < stamp:
                self.roles[rest] = (value[0], value[1], stamp)
        elif kind == "n":
            if value is None:
                self.nodes.pop(rest, None)
            else:
                self.nodes[rest] = value
        elif kind == "gone":
            if value is None:
                self.gone.pop(rest, None)
            else:
                self.gone[rest] = stamp
                self.touch(rest)
                self.changed_machines.add(rest)
        elif kind == "types" and value is not None:
            self.types = {row[0]: msgspec.convert(row, MachineType) for row in value}
        elif kind == "term" and value is not None and stamp > self.term[1]:
            self.term = (value, stamp)
        elif kind in self.guests:
            self.guests[kind].apply(rest, value, stamp)
        elif kind == "version" and value is not None:
            self.versions[rest] = value
        elif kind == "format" and value is not None and value[0] != self.format:
            self.format = value[0]
            if self.foreign:
                log.error("event=unknown_format format=%s known=%s", self.format, FORMAT)
            else:
                self.per_chunk = value[1]

    def _apply_job(self, job_id: str, value: Any, stamp: int) -> None:
        if value is None:
            return  # records of jobs are never deleted
        job = self.jobs.get(job_id)
        if job is not None and job.stamp >= stamp:
            return
        state, team, raw, order, tasks = value
        spec = None if raw is None else msgspec.convert(raw, JobSpec)
        new = job is None
        if job is None:
            job = self.jobs[job_id] = Job(job_id, team, state, stamp, spec, order, tasks)
            job.chunks.update(self.loose.pop(job_id, {}))
            self._count(job, len(job.bindings()))
            for binding in job.bindings():
                self.touch(binding.machine)
        else:
            job.state, job.stamp = state, stamp
            job.describe(spec or job.spec)
        if job.state == "cancelled":
            self._note_cancel(stamp, job_id)
        if job.final:
            self._ended(job)
        elif new and spec is not None:
            self._needs(job, spec)
        self.changed_jobs.add(job_id)
        self._index(job)
        if job.final:
            self.changed_machines.update(b.machine for b in job.bindings())

    def _note_cancel(self, stamp: int, job_id: str) -> None:
        if stamp <= self.cancels_floor:
            return
        bisect.insort(self.cancels, (stamp, job_id))
        if len(self.cancels) > 2 * constants.CANCELS_KEPT:
            old, self.cancels = (
                self.cancels[: constants.CANCELS_KEPT],
                self.cancels[constants.CANCELS_KEPT :],
            )
            self.cancels_floor = old[-1][0]

    def cancelled_since(self, epoch: int) -> list[str] | None:
        """Return all jobs cancelled after a revision, as far as we know; None if it is too old.

        Our own cancellations are among them from the moment that their write is answered, those
        of all others up to our own revision.
        """
        if epoch < self.cancels_floor:
            return None
        first = bisect.bisect_right(self.cancels, epoch, key=lambda row: row[0])
        return [job_id for _, job_id in self.cancels[first:]]

    # --- jobs that wait on others ---

    def _needs(self, job: Job, spec: JobSpec) -> None:
        """Note what an unfinished job waits on."""
        for name in spec.waits_on:
            other = self.jobs.get(name)
            if other is None or other.state != "done":
                job.unmet.add(name)
                self.waiters.setdefault(name, set()).add(job.id)
                if other is not None and (other.state == "cancelled" or name in self.doomed):
                    self._doom(job.id)
        self._press(job.id, *job.unmet)

    def _ended(self, job: Job) -> None:
        """A job is final: it waits no more, and those that wait on it are ready or doomed."""
        for name in job.unmet:
            others = self.waiters.get(name, set())
            others.discard(job.id)
            if not others:
                self.waiters.pop(name, None)
        self._press(*job.unmet)
        job.unmet = set()
        self.doomed.pop(job.id, None)
        if job.state == "cancelled":
            for name in list(self.waiters.get(job.id, ())):
                self._doom(name)
            return
        for name in self.waiters.pop(job.id, ()):
            waiting = self.jobs[name]
            waiting.unmet.discard(job.id)
            if waiting.ready:
                self.freed.append(name)
                self.changed_jobs.add(name)
                self._index(waiting)

    def _doom(self, job_id: str) -> None:
        """A job needs a cancelled one, and with it all that need this job."""
        stack = [job_id]
        while stack:
            name = stack.pop()
            if name not in self.doomed and not self.jobs[name].final:
                self.doomed[name] = None
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

    def _apply_chunk(self, job_id: str, number: int, value: Any, stamp: int) -> None:
        job = self.jobs.get(job_id)
        chunks = job.chunks if job is not None else self.loose.setdefault(job_id, {})
        old = chunks.get(number)
        if old is not None and old.stamp >= stamp:
            return
        key = f"{job_id}/{number}"
        if old is None and self.removed.get(key, -1) >= stamp:
            return  # a deletion that we know of is newer than this news
        bound = 0
        if old is not None:
            bound -= len(old.bound)
            for index, binding in old.bound.items():
                self._unbind(job_id, index, binding)
        if value is None:
            chunks.pop(number, None)
            self.removed[key] = stamp
            if len(self.removed) > constants.MAX_QUEUE:
                del self.removed[next(iter(self.removed))]
        else:
            chunk = chunks[number] = chunk_from(value, stamp)
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
