"""Jobs that wait, in lines: in each stand jobs for which the same room is room.

What none of a line's jobs finds, the next would not find either, so that the cost of waiting
follows the number of lines and not that of jobs.
"""

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedList

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling.machine_index import CapacityClass
from oakmux.core.scheduling.queue_order import (
    effective_submission_ms,
    is_starving,
    misses_objective,
    starvation_s,
)
from oakmux.core.state.records import Job


class Need(NamedTuple):
    """A machine type that a task fits, with the parts of its CPUs and its memory that the task
    takes, in steps of 1 / ROOM_LEVELS, rounded up."""

    type: str
    cpu_level: int
    memory_level: int

    def may_fit(self, place: CapacityClass) -> bool:
        """Whether a machine of a class may have as much."""
        return (
            self.type == place.type
            and self.cpu_level <= place.cpu_level + 1
            and self.memory_level <= place.memory_level + 1
        )


Needs = tuple[Need, ...]


class Shape(NamedTuple):
    """What decides which room suits a job. `tasks` is 0 for work that starts one by one."""

    team: str
    priority: int
    kind: str
    tasks: int
    needs: Needs
    gpus: float
    zone: str | None
    spot: bool
    one_zone: bool
    spread: bool

    def may_fit(self, place: CapacityClass) -> bool:
        """Whether a machine of a class may have room for a task; if not, none has."""
        return (
            self.gpus < place.gpus + 1
            and self.zone in (None, place.zone)
            and (self.spot or not place.spot)
            and any(need.may_fit(place) for need in self.needs)
        )


def needs_of(context: Context, spec: JobSpec) -> Needs:
    """Return what a task takes of each machine type that it fits."""
    return tuple(
        Need(kind.name, _level(spec.cpus / kind.cpus), _level(spec.memory_gb / kind.memory_gb))
        for kind in context.types.values()
        if context.fits_type(spec, kind.name)
    )


def _level(part: float) -> int:
    """Return a needed part as steps, rounded up."""
    return math.ceil(part * constants.ROOM_LEVELS - constants.EPSILON)


def shape_of(context: Context, job: Job, spec: JobSpec) -> Shape:
    """Return the line where a job stands."""
    return Shape(
        job.team,
        job.priority,
        spec.kind,
        spec.tasks if spec.joint else 0,
        needs_of(context, spec),
        spec.gpus,
        spec.zone,
        spec.spot,
        spec.one_zone,
        spec.spread,
    )


Place = tuple[bool, float, bool, float, str]
"""Where a job stands in its line: whether it is no elder, by when a chain's deadline has it start
(ms), whether its aim is lost, its turn (ms), and its name."""


class PendingQueues:
    """Lines of jobs by their shape."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_shape: dict[Shape, SortedList] = {}
        self.ages: dict[Shape, SortedList] = {}
        self.where: dict[str, tuple[Shape, Place, float]] = {}
        self.sizes: dict[str, tuple[float, float, float]] = {}
        # When each job that stood in a line becomes an elder, the first of them first; each is
        # there once, however often it leaves its line and comes back.
        self.starving_at: list[tuple[float, str]] = []
        self.growing: set[str] = set()

    def resize(self) -> bool:
        """Line all jobs up anew if the machine types changed, and with them the shapes; return
        whether they did."""
        sizes = {
            kind.name: (kind.cpus, kind.gpus, kind.memory_gb)
            for kind in self.context.types.values()
        }
        if sizes == self.sizes:
            return False
        self.sizes = sizes
        names = list(self.where)
        self.clear()
        for name in names:
            job = self.context.replica.jobs[name]
            if job.spec is not None:
                self.put(job, job.spec)
        return True

    def put(self, job: Job, spec: JobSpec) -> Shape:
        """Put a job where it belongs now; return its line."""
        shape = shape_of(self.context, job, spec)
        place = (
            not is_starving(self.context, job),
            job.latest_start_ms,
            misses_objective(self.context, job, spec),
            effective_submission_ms(self.context, job, spec),
            job.id,
        )
        if self.where.get(job.id) != (shape, place, job.since):
            self.drop(job.id)
            line = self.by_shape.get(shape)
            if line is None:
                line = self.by_shape[shape] = SortedList()
                self.ages[shape] = SortedList()
            line.add(place)
            self.ages[shape].add((job.since, job.id))
            self.where[job.id] = (shape, place, job.since)
            at = job.since + 1000 * starvation_s(job)
            if at >= self.context.wall_clock_ms and job.id not in self.growing:
                self.growing.add(job.id)
                heapq.heappush(self.starving_at, (at, job.id))
        return shape

    def promote_starving(self) -> None:
        """Put those anew that have waited for so long that they come first: their place in line
        was found when they were younger."""
        while self.starving_at and self.starving_at[0][0] < self.context.wall_clock_ms:
            _, job_id = heapq.heappop(self.starving_at)
            self.growing.discard(job_id)
            job = self.context.replica.jobs[job_id]
            if job_id in self.where and job.spec is not None and is_starving(self.context, job):
                self.put(job, job.spec)

    def drop(self, job_id: str) -> None:
        """Take a job out. An empty line goes."""
        known = self.where.pop(job_id, None)
        if known is None:
            return
        shape, place, since = known
        line = self.by_shape[shape]
        line.remove(place)
        self.ages[shape].remove((since, job_id))
        if not line:
            del self.by_shape[shape]
            del self.ages[shape]

    def oldest(self, shape: Shape) -> str:
        """Return the oldest job of a line that is not empty."""
        return self.ages[shape][0][1]

    def head(self, shape: Shape) -> Place | None:
        """Return who stands first in a line, or None."""
        while line := self.by_shape.get(shape):  # it is another once its only job was put anew
            place: Place = line[0]
            job = self.context.replica.jobs[place[4]]
            if place[2] or job.spec is None or not misses_objective(self.context, job, job.spec):
                return place
            self.put(job, job.spec)  # its aim was lost meanwhile: it goes behind the others
        return None

    def first(self, shape: Shape, count: int) -> Iterator[str]:
        """Return the jobs that stand first in a line."""
        line = self.by_shape.get(shape)
        return iter(()) if line is None else (place[4] for place in line.islice(0, count))

    def clear(self) -> None:
        """Forget all."""
        self.by_shape.clear()
        self.ages.clear()
        self.where.clear()
        self.starving_at.clear()
        self.growing.clear()
