"""Decides when each job of the shard is sampled: after relevant changes, not by polling.

A job is in one of three states:
- idle: it has no task to start;
- deferred to a time: it has just requested capacity, or may not start yet;
- in a pending queue.

A queue is open until its first job finds no capacity, or less than it needs. A closed queue
reopens when a machine gains capacity that may fit, the team's usage falls, or the first job
leaves. It also reopens after some seconds, as a safety net for missed changes.
"""

import heapq
import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import Priority
from oakmux.core.scheduling.machine_index import CapacityClass
from oakmux.core.scheduling.pending_job import CapacityRequest, PendingJob
from oakmux.core.scheduling.pending_queues import PendingQueues, QueuePosition, Shape
from oakmux.core.state.records import Job


class QueueHead(NamedTuple):
    """The first job of a queue; sorts in the order in which queues are served."""

    negative_priority: int
    position: QueuePosition
    shape: Shape


class ClosedQueue(msgspec.Struct, eq=False):
    """A queue that is closed until `until` (local time, s) at the latest.

    `pause_s` is the length of the last pause. `by_limit`: the team's limit closed the queue, so
    capacity that machines gain does not reopen it.
    """

    until: float
    pause_s: float
    by_limit: bool


class SamplingSchedule:
    """The pending jobs of the shard by the time of their next sample."""

    def __init__(self, context: Context, pending_jobs: dict[str, PendingJob]) -> None:
        self.context = context
        self.pending_jobs = pending_jobs
        self.queues = PendingQueues(context)
        self.closed: dict[Shape, ClosedQueue] = {}
        # Capacity that a queue's jobs have requested within RESAMPLE_S; 0 tasks if it is claimed.
        self.requested: dict[Shape, list[CapacityRequest]] = {}
        # Heap of the times to which jobs are deferred. Stale entries are skipped when popped.
        self.timers: list[tuple[float, str]] = []
        # Gangs that hold or have requested capacity and are due: sampled even if their queue is
        # closed, so that the capacity that they hold is released in time.
        self.gathering: list[str] = []

    # --- single jobs ---

    def enqueue(self, job: Job) -> None:
        """Queue a job that has a task to start for which no machine was sampled yet.

        If the job comes first, its queue reopens: another job may have closed it.
        """
        state = self.pending_jobs.get(job.id)
        if state is not None and job.spec is not None:
            state.next_sample_at = 0.0
            shape = self.queues.put(job, job.spec)
            if self.queues.head(shape) == self.queues.entries[job.id].position:
                self.closed.pop(shape, None)

    def reposition(self, job: Job) -> None:
        """Update a queued job's position after a change of the job."""
        if job.id in self.queues.entries and job.spec is not None:
            self.queues.put(job, job.spec)

    def defer(self, job_id: str, until: float) -> None:
        """Sample a job at `until` (s); if infinite, not before the next `enqueue` or `defer`."""
        self.pending_jobs[job_id].next_sample_at = until
        self.remove(job_id)
        if until < math.inf:
            heapq.heappush(self.timers, (until, job_id))

    def remove(self, job_id: str) -> None:
        """Remove a job from its queue. If it was the first, the queue reopens for the next job."""
        entry = self.queues.entries.get(job_id)
        if entry is None:
            return
        shape = entry.shape
        was_first = self.queues.head(shape) == entry.position
        self.queues.drop(job_id)
        if was_first:
            self.closed.pop(shape, None)
        if shape not in self.queues.by_shape:
            self.closed.pop(shape, None)
            self.requested.pop(shape, None)

    # --- queues ---

    def close_queue(self, shape: Shape) -> None:
        """Close a queue whose first job found no capacity.

        The pause before the safety net reopens the queue doubles each time, up to a maximum. The
        maximum is smaller for urgent work, because the work that it may preempt changes with time.
        """
        max_pause_s = (
            constants.QUEUE_RESAMPLE_URGENT_S
            if shape.priority >= Priority.URGENT
            else constants.QUEUE_RESAMPLE_MAX_S
        )
        old = self.closed.get(shape)
        pause_s = (
            constants.FULL_SAMPLE_INTERVAL_S if old is None else min(max_pause_s, 2 * old.pause_s)
        )
        self.closed[shape] = ClosedQueue(self.context.now + pause_s, pause_s, False)

    def close_by_limit(self, shape: Shape) -> None:
        """Close a queue whose next task would exceed the team's limit."""
        self.closed[shape] = ClosedQueue(
            self.context.now + constants.RESAMPLE_S, constants.FULL_SAMPLE_INTERVAL_S, True
        )

    def capacity_requested(
        self, shape: Shape, tasks: int, found: int | None, *, claimed: bool = False
    ) -> None:
        """Record that a job of a queue requested capacity for `tasks` tasks.

        `found` is the number of tasks that fit into all free capacity that other jobs have not
        claimed; None if it was not fully counted. Once the queue has requested all of it, the
        queue is closed until the first request expires: the next jobs would request the same
        capacity. If the capacity is `claimed`, the next jobs' counts leave it out.
        """
        now = self.context.now
        self.closed.pop(shape, None)
        requests = [request for request in self.requested.get(shape, ()) if request.until > now]
        unclaimed = sum(request.tasks for request in requests)
        requests.append(CapacityRequest(now + constants.RESAMPLE_S, 0 if claimed else tasks))
        self.requested[shape] = requests
        if found is not None and unclaimed + tasks >= found:
            self.closed[shape] = ClosedQueue(
                requests[0].until, constants.FULL_SAMPLE_INTERVAL_S, False
            )

    def reopen_by(self, shape: Shape, at: float) -> None:
        """Reopen a closed queue at a time (s) at the latest."""
        closed = self.closed.get(shape)
        if closed is not None:
            closed.until = min(closed.until, at)

    def reopen_fitting(self, gained_classes: Collection[CapacityClass]) -> None:
        """Reopen the queues whose jobs may fit into capacity that machines gained."""
        if not gained_classes:
            return
        for shape, closed in self.closed.items():
            if not closed.by_limit and any(shape.may_fit(capacity) for capacity in gained_classes):
                closed.until = 0.0  # `pause_s` stays and doubles if nothing is found

    def reopen_limited(self, teams: Iterable[str]) -> None:
        """Reopen the queues closed by the limits of teams whose usage fell."""
        reopened = set(teams)
        for shape, closed in self.closed.items():
            if closed.by_limit and shape.team in reopened:
                closed.until = 0.0

    # --- each tick ---

    def enqueue_due(self) -> None:
        """Queue the deferred jobs whose time has come."""
        if self.queues.refresh_shapes():
            self.closed.clear()
            self.requested.clear()
        self.queues.promote_starving()
        while self.timers and self.timers[0][0] <= self.context.now:
            at, job_id = heapq.heappop(self.timers)
            state = self.pending_jobs.get(job_id)
            if (
                state is None
                or state.next_sample_at != at  # stale: the job was deferred again
                or job_id in self.queues.entries
            ):
                continue
            job = self.context.replica.jobs[job_id]
            if state.hold_until:
                self.gathering.append(job_id)
            elif job.spec is not None:
                self.queues.put(job, job.spec)

    def heads(self) -> list[QueueHead]:
        """Return the first job of each open queue as a heap."""
        heads = [
            head
            for shape in list(self.queues.by_shape)
            if not self._is_closed(shape) and (head := self.head(shape)) is not None
        ]
        heapq.heapify(heads)
        return heads

    def head(self, shape: Shape) -> QueueHead | None:
        """Return the first job of a queue, or None if the queue is closed or empty."""
        position = self.queues.head(shape)
        if position is None or self._is_closed(shape):
            return None
        return QueueHead(-shape.priority, position, shape)

    def _is_closed(self, shape: Shape) -> bool:
        closed = self.closed.get(shape)
        return closed is not None and closed.until > self.context.now
