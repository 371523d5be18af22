"""Scaling out: places pending tasks on expected capacity, and rents machines for the rest."""

import heapq
from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.autoscaling.demand_placement import DemandPlacement
from oakmux.core.autoscaling.expected_capacity import ExpectedCapacity
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.autoscaling.rental_requests import RentalRequests
from oakmux.core.autoscaling.slot_pool import UNNAMED, Slot
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_USAGE, Usage
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.pending_queues import PendingQueues, Shape
from oakmux.core.scheduling.queue_order import queue_rank
from oakmux.core.state.records import Job

TeamUsage = dict[str, Usage]
"""CPUs and GPUs that each team uses."""


class _QueueHead(NamedTuple):
    """The next job of a queue; heads of all queues are ordered by rank, age and job id."""

    rank: tuple[object, ...]
    since: float
    job_id: str
    shape: Shape
    position: int


class _NextJob(Enum):
    """Which job of a queue follows one that was placed or not."""

    BEHIND = auto()
    LEAST_DEMANDING = auto()
    NONE = auto()


class ScaleOut:
    """Determines missing capacity and rents it."""

    def __init__(
        self, context: Context, cancellations: CancellationLog, inventory: InstanceInventory
    ) -> None:
        self.context = context
        self.cancellations = cancellations
        self.rentals = RentalRequests(context, inventory)
        self.expected = ExpectedCapacity(context, inventory, self.rentals)
        # Whether the last pass found tasks without capacity on running or booting machines.
        self.unplaced = False
        # Unfinished jobs with unbound tasks, of all teams, according to the records.
        self.queues = PendingQueues(context)

    def on_role_acquired(self) -> None:
        """Rebuild the queues from the records when the fleet role is acquired."""
        self.rentals.on_role_acquired()
        self.queues.clear()
        for job_id in self.context.replica.active:
            self.changed(job_id)

    def changed(self, job_id: str) -> None:
        """Add a job to the queues or remove it after a change of its records."""
        job = self.context.replica.jobs.get(job_id)
        if (
            job is not None
            and job.spec is not None
            and not job.final
            and job.ready
            and job.unbound_count() > 0
        ):
            self.queues.put(job, job.spec)
        else:
            self.queues.drop(job_id)

    def plan(self) -> list[Slot]:
        """Place pending tasks on expected capacity, rent for the others, and return all slots."""
        placement = DemandPlacement(self.context, self.expected, self.rentals)
        self.unplaced = False
        self.queues.refresh_shapes()
        self.queues.promote_starving()
        self._place_pending(placement)
        self.rentals.rent_all(placement.to_rent)
        return placement.slots

    def _place_pending(self, placement: DemandPlacement) -> None:
        """Place the jobs of all queues in order of rank, at most MAX_DEMAND_TASKS tasks.

        A queue is abandoned at the first job that can't be placed: the jobs behind it fit the same
        machines when these are empty. If its team's limit is the reason, the job of the queue that
        needs the fewest CPUs is next.
        """
        usage = dict(quotas.usage(self.context))
        heads = [
            head
            for shape in self.queues.by_shape
            if (head := self._queue_head(shape, 0, usage)) is not None
        ]
        heapq.heapify(heads)
        budget = constants.MAX_DEMAND_TASKS
        while heads and budget > 0:
            head = heads[0]
            placed, next_job = self._place_job(head.job_id, placement, usage, budget)
            budget -= placed
            following = None
            if next_job is _NextJob.BEHIND:
                following = self._queue_head(head.shape, head.position + 1, usage)
            elif next_job is _NextJob.LEAST_DEMANDING:
                following = self._least_demanding(head, usage)
            if following is None:
                heapq.heappop(heads)
            else:
                heapq.heapreplace(heads, following)

    def _queue_head(self, shape: Shape, position: int, usage: TeamUsage) -> _QueueHead | None:
        queue = self.queues.by_shape[shape]
        if position >= len(queue):
            return None
        *_, job_id = queue[position]
        job, spec = self._pending(job_id)
        rank = queue_rank(self.context, job, spec, usage)
        return _QueueHead(rank, job.eligible_ms, job_id, shape, position)

    def _excluded_machines(self, job: Job) -> Collection[str]:
        """Return the machines in whose place others are rented for a job.

        None are once the job has failed on several: it would fail on the rented ones too.
        """
        excluded = self.context.failures.excluded_machines(job)
        return excluded if len(excluded) < constants.SUSPECT_MACHINES else ()

    def _least_demanding(self, head: _QueueHead, usage: TeamUsage) -> _QueueHead | None:
        """Return the job behind a head that needs the fewest CPUs, if it needs fewer."""
        _, spec = self._pending(head.job_id)
        sizes = self.queues.sizes[head.shape]
        least = sizes.least()[0]
        if least.cpus >= spec.cpus:
            return None
        position = self.queues.by_shape[head.shape].index(sizes.first(least))
        if position <= head.position:
            return None
        return self._queue_head(head.shape, position, usage)

    def _pending(self, job_id: str) -> tuple[Job, JobSpec]:
        """Return a queued job and its specification, which queued jobs always have."""
        job = self.context.replica.jobs[job_id]
        assert job.spec is not None
        return job, job.spec

    def _place_job(
        self, job_id: str, placement: DemandPlacement, usage: TeamUsage, budget: int
    ) -> tuple[int, _NextJob]:
        """Place a job; return how many tasks were placed and which job of its queue is next."""
        context = self.context
        job, spec = self._pending(job_id)
        wanted = min(
            job.unbound_count(), budget, quotas.tasks_left(context, job.team, spec, usage)
        )
        if context.failures.starts_one_at_a_time(job):
            wanted = min(wanted, 1)
        if wanted <= 0:
            return 0, _NextJob.LEAST_DEMANDING  # the team is at its limit
        if job_id in self.cancellations.cancelled:
            return 0, _NextJob.BEHIND
        zones = [binding.zone for binding in job.bindings()]
        slots = placement.place(spec, zones, wanted, self._excluded_machines(job))
        if len(slots) < wanted or any(slot.name == UNNAMED for slot in slots):
            self.unplaced = True
        for slot in slots:
            slot.needed = True
        cpus, gpus = usage.get(job.team, NO_USAGE)
        usage[job.team] = Usage(cpus + len(slots) * spec.cpus, gpus + len(slots) * spec.gpus)
        # A job with bindings may be limited to their zones; the jobs behind it may not be.
        return len(slots), _NextJob.BEHIND if slots or zones else _NextJob.NONE
