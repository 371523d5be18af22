"""When which job of ours is sampled: by what changed, not by the clock.

A job is idle (nothing of it to start), waits for a time (it has just asked for room, or may not
start yet), or stands in a line. A line is open until its first job finds no room, or less than it
wants; then it is shut until a machine got room that may suit it, the team's use fell, its first
job left, or, as a safety net, some seconds have passed.
"""

import heapq
import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.scheduling.machine_index import CapacityClass
from oakmux.core.scheduling.pending_queues import PendingQueues, Shape
from oakmux.core.state.records import Job

if TYPE_CHECKING:  # the owner's parts import this one
    from oakmux.core.scheduling.pending_job import PendingJob


Turn = tuple[int, bool, float, bool, float, str, Shape]
"""The first job of a line among all: by priority, place in its line, name."""


class ClosedQueue:
    """Why a line is shut: until when at the latest, after which pause, and whether by its team's
    limit (then room that machines got does not open it)."""

    __slots__ = ("until", "pause", "limit")

    def __init__(self, until: float, pause: float, limit: bool) -> None:
        self.until = until
        self.pause = pause
        self.limit = limit


class SamplingSchedule:
    """The jobs of our teams, by when they are sampled next."""

    def __init__(self, context: Context, open_jobs: "dict[str, PendingJob]") -> None:
        self.context = context
        self.open = open_jobs
        self.queues = PendingQueues(context)
        self.closed: dict[Shape, ClosedQueue] = {}
        # Room that a line's jobs have asked for within RESAMPLE_S: [(until, tasks)].
        self.asked: dict[Shape, list[tuple[float, int]]] = {}
        self.timers: list[tuple[float, str]] = []
        # Gangs that hold or have asked for room: their time counts, whatever their line does.
        self.gathering: list[str] = []

    # --- single jobs ---

    def due(self, job: Job) -> None:
        """A job has something to start that has not been looked for. If it stands first, its line
        is opened: it may be another job than the one that found nothing."""
        state = self.open.get(job.id)
        if state is not None and job.spec is not None:
            state.next_sample_at = 0.0
            shape = self.queues.put(job, job.spec)
            if self.queues.head(shape) == self.queues.where[job.id][1]:
                self.closed.pop(shape, None)

    def moved(self, job: Job) -> None:
        """What decides a job's place in its line may have changed."""
        if job.id in self.queues.where and job.spec is not None:
            self.queues.put(job, job.spec)

    def defer(self, job_id: str, at: float) -> None:
        """Sample a job once a time has come; never, if that is infinite, until it is due."""
        self.open[job_id].next_sample_at = at
        self.leave(job_id)
        if at < math.inf:
            heapq.heappush(self.timers, (at, job_id))

    def leave(self, job_id: str) -> None:
        """A job leaves its line; if it stood first, the next has its turn."""
        known = self.queues.where.get(job_id)
        if known is not None:
            first = self.queues.head(known[0]) == known[1]
            self.queues.drop(job_id)
            if first:
                self.closed.pop(known[0], None)
            if known[0] not in self.queues.by_shape:
                self.closed.pop(known[0], None)
                self.asked.pop(known[0], None)

    # --- lines ---

    def close_queue(self, shape: Shape) -> None:
        """The first of a line found no room. The safety net's pause grows, for urgent work less:
        what may give way to it changes with time."""
        most = (
            constants.LINE_URGENT_S
            if shape.priority >= constants.URGENT
            else constants.LINE_MOST_S
        )
        old = self.closed.get(shape)
        pause = constants.WIDE_S if old is None else min(most, 2 * old.pause)
        self.closed[shape] = ClosedQueue(self.context.now + pause, pause, False)

    def exceeds_limit(self, shape: Shape) -> None:
        """The team's limit keeps a line back."""
        self.closed[shape] = ClosedQueue(
            self.context.now + constants.RESAMPLE_S, constants.WIDE_S, True
        )

    def found(self, shape: Shape, wanted: int, there: int | None) -> None:
        """A job of a line asked for room for so many tasks. Where all that there is was counted
        (`there`) and is asked for now, those behind it wait until more comes or some of it was not
        had: each would ask for the same."""
        now = self.context.now
        self.closed.pop(shape, None)
        asked = [row for row in self.asked.get(shape, ()) if row[0] > now]
        asked.append((now + constants.RESAMPLE_S, wanted))
        self.asked[shape] = asked
        if there is not None and sum(count for _, count in asked) >= there:
            self.closed[shape] = ClosedQueue(asked[0][0], constants.WIDE_S, False)

    def reopen_fitting(self, gained: Iterable[CapacityClass]) -> None:
        """Machines got room: open the lines that it may suit."""
        places = list(gained)
        if places:
            for shape in [
                shape
                for shape, closed in self.closed.items()
                if not closed.limit and any(shape.may_fit(place) for place in places)
            ]:
                self.closed[shape].until = 0.0  # the pause stays, should nothing be found

    def reopen_limited(self, teams: Iterable[str]) -> None:
        """The use of teams fell: open what their limits kept back."""
        fell = set(teams)
        for shape, closed in self.closed.items():
            if closed.limit and shape.team in fell:
                closed.until = 0.0

    # --- a tick ---

    def enqueue_due(self) -> None:
        """Put jobs whose time has come into their lines."""
        now = self.context.now
        if self.queues.resize():
            self.closed.clear()
            self.asked.clear()
        self.queues.promote_starving()
        jobs = self.context.replica.jobs
        while self.timers and self.timers[0][0] <= now:
            at, job_id = heapq.heappop(self.timers)
            state = self.open.get(job_id)
            if (
                state is not None
                and state.next_sample_at == at
                and job_id not in self.queues.where
            ):
                job = jobs[job_id]
                if state.hold_until:
                    self.gathering.append(job_id)
                elif job.spec is not None:
                    self.queues.put(job, job.spec)

    def turns(self) -> list[Turn]:
        """Return the first job of each open line as a heap, the most urgent first."""
        now = self.context.now
        rows: list[Turn] = []
        for shape in list(self.queues.by_shape):
            closed = self.closed.get(shape)
            if closed is None or closed.until <= now:
                head = self.queues.head(shape)
                if head is not None:
                    rows.append((-shape.priority, *head, shape))
        heapq.heapify(rows)
        return rows

    def turn(self, shape: Shape) -> Turn | None:
        """Return the turn of a line's first job, or None if the line is shut or empty."""
        closed = self.closed.get(shape)
        head = self.queues.head(shape)
        if head is None or (closed is not None and closed.until > self.context.now):
            return None
        return (-shape.priority, *head, shape)
