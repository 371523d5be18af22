"""Pending queues: jobs that wait for capacity, one queue for each shape of job.

If the first job of a queue finds no capacity, only jobs behind it that need less may find some:
their shapes are alike, but CPUs and memory are rounded. `QueueSizes` tells which need least. So
the cost of pending jobs depends on the number of queues and not on the number of jobs.
"""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedList

from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling.machine_index import CapacityClass, required_level
from oakmux.core.scheduling.queue_order import (
    effective_submission_ms,
    is_starving,
    misses_objective,
    starvation_s,
)
from oakmux.core.scheduling.queue_sizes import QueueSizes, TaskSize, size_of
from oakmux.core.state.records import Job


class Requirement(NamedTuple):
    """The share of a machine that a task takes, for one machine type that it fits.

    The levels are shares of CPUs and of memory in steps of 1 / CAPACITY_LEVELS, rounded up.
    """

    type: str
    cpu_level: int
    memory_level: int

    def may_fit(self, capacity: CapacityClass) -> bool:
        """Whether a machine of a capacity class may have enough free CPUs and memory."""
        return (
            self.type == capacity.type
            and self.cpu_level <= capacity.cpu_level + 1
            and self.memory_level <= capacity.memory_level + 1
        )


class Shape(NamedTuple):
    """The properties of a job that decide which capacity suits it.

    `tasks` is the size of a gang, and 0 where tasks start one by one.
    """

    team: str
    priority: int
    kind: str
    tasks: int
    requirements: tuple[Requirement, ...]
    gpus: float
    zone: str | None
    spot: bool
    one_zone: bool
    spread: bool

    def may_fit(self, capacity: CapacityClass) -> bool:
        """Whether machines of a capacity class may have room for a task; if False, none has."""
        return (
            self.gpus < capacity.gpus + 1
            and self.zone in (None, capacity.zone)
            and (self.spot or not capacity.spot)
            and any(requirement.may_fit(capacity) for requirement in self.requirements)
        )


class QueuePosition(NamedTuple):
    """Sort key of a job in a pending queue; the smallest comes first. Times are in ms."""

    not_starving: bool
    latest_start_ms: float
    misses_objective: bool
    effective_submission_ms: float
    job_id: str


class QueueEntry(NamedTuple):
    """A job's queue and its position there. `submitted_ms` orders the jobs of a queue by age."""

    shape: Shape
    position: QueuePosition
    submitted_ms: float
    size: TaskSize


class TypeSize(NamedTuple):
    """The resources of a machine type."""

    cpus: float
    gpus: float
    memory_gb: float


def requirements_of(context: Context, spec: JobSpec) -> tuple[Requirement, ...]:
    """Return a task's requirement for each machine type that it fits."""
    return tuple(
        [
            Requirement(
                kind.name,
                required_level(spec.cpus / kind.cpus),
                required_level(spec.memory_gb / kind.memory_gb),
            )
            for kind in context.types.values()
            if context.fits_type(spec, kind.name)
        ]
    )


def shape_of(context: Context, job: Job, spec: JobSpec) -> Shape:
    """Return the shape of a job, which selects its queue."""
    return Shape(
        job.team,
        job.priority,
        spec.kind,
        spec.tasks if spec.gang_scheduled else 0,
        requirements_of(context, spec),
        spec.gpus,
        spec.zone,
        spec.spot,
        spec.one_zone,
        spec.spread,
    )


def position_of(context: Context, job: Job, spec: JobSpec) -> QueuePosition:
    """Return a job's current position in its queue."""
    return QueuePosition(
        not is_starving(context, job),
        job.latest_start_ms,
        misses_objective(context, job, spec),
        effective_submission_ms(context, job, spec),
        job.id,
    )


class PendingQueues:
    """Pending jobs in queues by shape. Empty queues are deleted."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_shape: dict[Shape, SortedList] = {}
        self.sizes: dict[Shape, QueueSizes] = {}
        # The jobs of each queue by age: (submission time in ms, job id).
        self.by_age: dict[Shape, SortedList] = {}
        self.entries: dict[str, QueueEntry] = {}
        self.type_sizes: dict[str, TypeSize] = {}
        # Heap of the times (ms) at which jobs begin to starve. It holds a job at most once,
        # however often the job leaves its queue and returns.
        self.starving_at: list[tuple[float, str]] = []
        self.in_starving_heap: set[str] = set()

    def refresh_shapes(self) -> bool:
        """Queue all jobs again if the machine types changed, since the shapes depend on them.

        Returns whether the machine types changed.
        """
        type_sizes = {
            kind.name: TypeSize(kind.cpus, kind.gpus, kind.memory_gb)
            for kind in self.context.types.values()
        }
        if type_sizes == self.type_sizes:
            return False
        self.type_sizes = type_sizes
        job_ids = list(self.entries)
        self.clear()
        for job_id in job_ids:
            job = self.context.replica.jobs[job_id]
            if job.spec is not None:
                self.put(job, job.spec)
        return True

    def put(self, job: Job, spec: JobSpec) -> Shape:
        """Queue a job, or move it to its current position; return the shape of its queue."""
        shape = shape_of(self.context, job, spec)
        position = position_of(self.context, job, spec)
        entry = QueueEntry(shape, position, job.eligible_ms, size_of(spec))
        if self.entries.get(job.id) != entry:
            self.drop(job.id)
            self._insert(entry)
            self._watch_starvation(job)
        return shape

    def _insert(self, entry: QueueEntry) -> None:
        shape, position, submitted_ms, size = entry
        queue = self.by_shape.get(shape)
        if queue is None:
            queue = self.by_shape[shape] = SortedList()
            self.by_age[shape] = SortedList()
            self.sizes[shape] = QueueSizes()
        queue.add(position)
        self.sizes[shape].add(size, position)
        self.by_age[shape].add((submitted_ms, position.job_id))
        self.entries[position.job_id] = entry

    def _watch_starvation(self, job: Job) -> None:
        """Let `promote_starving` move a job when it begins to starve."""
        at_ms = job.eligible_ms + 1000 * starvation_s(job)
        if at_ms >= self.context.wall_clock_ms and job.id not in self.in_starving_heap:
            self.in_starving_heap.add(job.id)
            heapq.heappush(self.starving_at, (at_ms, job.id))

    def promote_starving(self) -> None:
        """Move jobs that have begun to starve to the front of their queues."""
        while self.starving_at and self.starving_at[0][0] < self.context.wall_clock_ms:
            _, job_id = heapq.heappop(self.starving_at)
            self.in_starving_heap.discard(job_id)
            job = self.context.replica.jobs[job_id]
            if job_id in self.entries and job.spec is not None and is_starving(self.context, job):
                self.put(job, job.spec)

    def drop(self, job_id: str) -> None:
        """Remove a job from its queue."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return
        shape, position, submitted_ms, size = entry
        queue = self.by_shape[shape]
        queue.remove(position)
        self.sizes[shape].discard(size, position)
        self.by_age[shape].remove((submitted_ms, job_id))
        if not queue:
            del self.by_shape[shape]
            del self.by_age[shape]
            del self.sizes[shape]

    def oldest(self, shape: Shape) -> str:
        """Return the id of the oldest job of an existing queue."""
        job_id: str = self.by_age[shape][0][1]
        return job_id

    def head(self, shape: Shape) -> QueuePosition | None:
        """Return the position of a queue's first job, or None if there is no such queue.

        First moves jobs that can no longer meet their finish objective behind jobs that can.
        """
        # Moving the only job of a queue deletes the queue and creates a new one.
        while queue := self.by_shape.get(shape):
            head: QueuePosition = queue[0]
            job = self.context.replica.jobs[head.job_id]
            if (
                head.misses_objective
                or job.spec is None
                or not misses_objective(self.context, job, job.spec)
            ):
                return head
            self.put(job, job.spec)
        return None

    def is_first(self, job_id: str, shape: Shape) -> bool:
        """Whether a job is the first of a queue."""
        head = self.head(shape)
        return head is not None and head.job_id == job_id

    def first(self, shape: Shape, count: int) -> Iterator[str]:
        """Return the ids of up to `count` jobs at the front of a queue."""
        queue = self.by_shape.get(shape)
        return iter(()) if queue is None else (head.job_id for head in queue.islice(0, count))

    def first_of_size(self, shape: Shape, size: TaskSize) -> str:
        """Return the id of the first job of an existing size in a queue."""
        position: QueuePosition = self.sizes[shape].first(size)
        return position.job_id

    def clear(self) -> None:
        """Remove all jobs."""
        self.by_shape.clear()
        self.by_age.clear()
        self.sizes.clear()
        self.entries.clear()
        self.starving_at.clear()
        self.in_starving_heap.clear()
