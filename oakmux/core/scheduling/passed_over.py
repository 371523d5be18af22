"""Finds jobs that fit although the first job of their queue does not.

The jobs of a queue need about the same, not exactly: CPUs and memory are rounded to levels. So a
job behind the first one may fit where the first one does not. It starts then, and the first job is
passed over. A first job that starves meanwhile gets a backfill reservation, or else smaller jobs
would take each bit of capacity before there is enough for it.
"""

import functools
from collections.abc import Iterator

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import fits_resources, task_capacity
from oakmux.core.scheduling.backfill_planner import BackfillPlanner
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.pending_queues import PendingQueues, Shape
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.scheduling.queue_sizes import size_of
from oakmux.core.scheduling.quota_claims import QuotaClaims
from oakmux.core.state.records import Job
from oakmux.logs import event


class PassedOver:
    """Looks behind the first job of a queue that found no capacity or is at its team's limit."""

    def __init__(
        self,
        context: Context,
        index: MachineIndex,
        queues: PendingQueues,
        pending_jobs: dict[str, PendingJob],
        quota_claims: QuotaClaims,
        planner: BackfillPlanner,
    ) -> None:
        self.context = context
        self.index = index
        self.queues = queues
        self.pending_jobs = pending_jobs
        self.quota_claims = quota_claims
        self.planner = planner

    def any_needs_less(self, spec: JobSpec, shape: Shape) -> bool:
        """Whether a task of any job in a queue needs less CPUs or memory than `spec`."""
        sizes = self.queues.sizes.get(shape)
        return sizes is not None and any(
            size.needs_less_than(size_of(spec)) for size in sizes.least()
        )

    def job_that_fits(
        self, first: Job, spec: JobSpec, shape: Shape, claims: CapacityClaims
    ) -> str | None:
        """Return a job of a queue that fits where its first job does not, or None.

        After a search in vain, the next one is due in FULL_SAMPLE_INTERVAL_S, at `next_behind_at`.
        """
        state = self.pending_jobs[first.id]
        for job, other in self._least_demanding(spec, shape):
            room = self._room(job, other, claims)
            if room:
                return self._pass_over(first, state, self._first_fitting(first, shape, job, room))
        state.next_behind_at = self.context.now + constants.FULL_SAMPLE_INTERVAL_S
        return None

    def job_within_limit(self, first: Job, spec: JobSpec, shape: Shape) -> str | None:
        """Return a job of a queue that its team's limit allows, unlike the first one, or None."""
        state = self.pending_jobs[first.id]
        if self.context.now < state.next_behind_at:
            return None
        for job, other in self._least_demanding(spec, shape):
            tasks = other.tasks if other.kind == "gang" else 1
            if other.cpus < spec.cpus and not self.quota_claims.exceeds_limit(job, other, tasks):
                return self._pass_over(first, state, job.id)
        state.next_behind_at = self.context.now + constants.FULL_SAMPLE_INTERVAL_S
        return None

    def _least_demanding(self, spec: JobSpec, shape: Shape) -> Iterator[tuple[Job, JobSpec]]:
        """Yield the first job of each of the least sizes that needs less than `spec`."""
        sizes = self.queues.sizes.get(shape)
        if sizes is None:
            return
        for size in sizes.next_least(constants.SIZES_BEHIND_FIRST):
            if not size.needs_less_than(size_of(spec)):
                continue
            job = self.context.replica.jobs[self.queues.first_of_size(shape, size)]
            if job.spec is not None and job.id in self.pending_jobs:
                yield job, job.spec

    def _room(self, job: Job, spec: JobSpec, claims: CapacityClaims) -> list[SampledMachine]:
        """Return machines with room for a job's next task, or for all tasks of a gang."""
        wanted = spec.tasks if spec.gang_scheduled else 1
        drawn = self.index.draw(
            spec,
            self.context.facts.zones,
            self.context.failures.excluded_machines(job),
            wanted,
            functools.partial(claims.available, job, spec),
        )
        found = sum(task_capacity(machine.free, spec) for machine in drawn)
        return drawn if found >= wanted else []

    def _first_fitting(
        self, first: Job, shape: Shape, job: Job, room: list[SampledMachine]
    ) -> str:
        """Return the first job behind `first` that fits where `job` does; for a gang, itself."""
        if job.spec is None or job.spec.gang_scheduled:
            return job.id
        for job_id in self.queues.first(shape, constants.JOBS_BEHIND_FIRST):
            spec = self.context.replica.jobs[job_id].spec
            if (
                job_id != first.id
                and spec is not None
                and any(fits_resources(machine.free, spec) for machine in room)
            ):
                return job_id
        return job.id

    def _pass_over(self, first: Job, state: PendingJob, job_id: str) -> str:
        """Note that a job is tried before the first one of its queue."""
        if not state.passed_over:
            event("job_passed_over", job=first.id, by=job_id)
        state.passed_over = True
        return job_id

    def reserve_if_starving(self, job: Job, spec: JobSpec) -> None:
        """Keep a machine for the next task of a starving job that others passed over.

        Not for longer than PASSED_OVER_RESERVE_S at a time: the machine may have room for the
        others meanwhile, and the tasks on it may run for longer than estimated.
        """
        state = self.pending_jobs[job.id]
        now = self.context.now
        if not state.passed_over or not is_starving(self.context, job):
            return
        if now - state.reserved_since >= 2 * constants.PASSED_OVER_RESERVE_S:
            state.reserved_since = now
        if now - state.reserved_since < constants.PASSED_OVER_RESERVE_S:
            self.planner.update_for_task(job, spec, state)
        else:
            self.planner.end(job, state)
