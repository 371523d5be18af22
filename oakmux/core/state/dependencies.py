"""Dependencies between jobs, and the priorities and deadlines inherited through them."""

import math
from collections.abc import Iterable

from oakmux.core.model import JobSpec
from oakmux.core.state.changes import ChangeTracker
from oakmux.core.state.records import Job
from oakmux.core.state.usage_accounting import UsageAccounting


class DependencyGraph:
    """The graph of unfinished jobs and the jobs that they depend on."""

    def __init__(
        self, jobs: dict[str, Job], usage: UsageAccounting, changes: ChangeTracker
    ) -> None:
        self.jobs = jobs
        self.usage = usage
        self.changes = changes
        # For each dependency that is not done, the unfinished jobs that depend on it.
        self.dependents: dict[str, set[str]] = {}
        # Unfinished jobs that depend on a cancelled job, directly or through other jobs. They
        # can't have started, so their cancellation follows from final records alone.
        self.cascade_cancelled: dict[str, None] = {}

    def add(self, job: Job, spec: JobSpec) -> None:
        """Add an unfinished job with its dependencies."""
        for name in spec.waits_on:
            dependency = self.jobs.get(name)
            if dependency is not None and dependency.state == "done":
                continue
            job.unmet_dependencies.add(name)
            self.dependents.setdefault(name, set()).add(job.id)
            if dependency is not None and (
                dependency.state == "cancelled" or name in self.cascade_cancelled
            ):
                self._cascade(job.id)
        self._propagate_urgency(job.id, *job.unmet_dependencies)

    def finish(self, job: Job) -> list[Job]:
        """Remove a final job; return its dependents that became ready.

        If the job is cancelled, all jobs that depend on it are marked for cancellation instead.
        """
        self._remove_edges(job)
        self.cascade_cancelled.pop(job.id, None)
        if job.state == "cancelled":
            for name in list(self.dependents.get(job.id, ())):
                self._cascade(name)
            return []
        ready = []
        for name in self.dependents.pop(job.id, ()):
            dependent = self.jobs[name]
            dependent.unmet_dependencies.discard(job.id)
            if dependent.ready:
                self.changes.released_jobs.append(name)
                self.changes.jobs.add(name)
                ready.append(dependent)
        return ready

    def unfinished(self, names: Iterable[str]) -> set[str]:
        """Return the given jobs and all that they depend on, directly or through others.

        Final jobs are left out, since their state can't change; unknown jobs are included.
        """
        found: set[str] = set()
        stack = list(names)
        while stack:
            name = stack.pop()
            job = self.jobs.get(name)
            if name in found or (job is not None and job.final):
                continue
            found.add(name)
            if job is not None:
                stack += job.unmet_dependencies
        return found

    def _remove_edges(self, job: Job) -> None:
        """Remove the edges from a job to its dependencies."""
        for name in job.unmet_dependencies:
            dependents = self.dependents.get(name, set())
            dependents.discard(job.id)
            if not dependents:
                self.dependents.pop(name, None)
        self._propagate_urgency(*job.unmet_dependencies)
        job.unmet_dependencies = set()

    def _cascade(self, job_id: str) -> None:
        """Mark a job that depends on a cancelled job, and all jobs that depend on it in turn."""
        stack = [job_id]
        while stack:
            name = stack.pop()
            if name not in self.cascade_cancelled and not self.jobs[name].final:
                self.cascade_cancelled[name] = None
                self.changes.jobs.add(name)
                stack += self.dependents.get(name, ())

    def _propagate_urgency(self, *names: str) -> None:
        """Update priority and deadline of jobs from their dependents; recurse to dependencies."""
        stack = list(names)
        while stack:
            job = self.jobs.get(stack.pop())
            if job is None or job.final or job.spec is None:
                continue
            priority, due_ms = self._urgency(job, job.spec)
            if (priority, due_ms) != (job.priority, job.due_ms):
                bound_tasks = job.bound_count()
                self.usage.add(job, -bound_tasks)
                job.priority, job.due_ms = priority, due_ms
                self.usage.add(job, bound_tasks)
                self.changes.jobs.add(job.id)
                stack += job.unmet_dependencies

    def _urgency(self, job: Job, spec: JobSpec) -> tuple[int, float]:
        """Return the priority of a job and the time (ms) by which it must end.

        Jobs that depend on it pass on a higher priority and an earlier deadline.
        """
        priority, due_ms = spec.priority, math.inf
        if spec.deadline_s is not None:
            due_ms = job.submitted_ms + spec.deadline_s * 1000
        for name in self.dependents.get(job.id, ()):
            priority = max(priority, self.jobs[name].priority)
            due_ms = min(due_ms, self.jobs[name].latest_start_ms)
        return priority, due_ms
