"""What the dependencies of a submitted job say about it.

The replica may be behind the store. What it shows is enough where it can't change any more: that
a job is a service, done or cancelled. For all other dependencies, direct and through others, the
write of the new job depends on the records that the decision was based on.
"""

from collections.abc import Iterable

from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.context import Context
from oakmux.core.messages import Condition
from oakmux.core.model import JobSpec
from oakmux.core.state.keys import job_key


class DependencyCheck:
    """Looks up dependencies in the records and in what peers report as cancelled."""

    def __init__(self, context: Context, cancellation_log: CancellationLog) -> None:
        self.context = context
        self.cancellation_log = cancellation_log

    def invalid_reason(self, job_id: str, spec: JobSpec) -> str | None:
        """Return why a job can't depend on those that it names, or None.

        Only reasons that can never change count.
        """
        if job_id in spec.waits_on:
            return "waits_on: the job itself"
        jobs = self.context.replica.jobs
        for name in spec.waits_on:
            if name in jobs and jobs[name].service:
                return f"waits_on: {name} is a service"
        return None

    def unknown(self, spec: JobSpec) -> list[str]:
        """Return the jobs named by a submission that are not in the replica."""
        return [name for name in spec.waits_on if name not in self.context.replica.jobs]

    def unfinished(self, spec: JobSpec) -> set[str]:
        """Return all direct and indirect dependencies whose state may still change."""
        return self.context.replica.dependencies.unfinished(spec.waits_on)

    def any_cancelled(self, spec: JobSpec, unfinished: Iterable[str]) -> bool:
        """Whether a dependency, direct or through others, is known to be cancelled."""
        cascade_cancelled = self.context.replica.dependencies.cascade_cancelled
        return any(
            name in cascade_cancelled or self.cancellation_log.is_cancelled(name)
            for name in (*spec.waits_on, *unfinished)
        )

    def conditions(self, unfinished: Iterable[str]) -> list[Condition]:
        """Return conditions that hold while the records of these jobs are those in the replica."""
        jobs = self.context.replica.jobs
        return [
            (job_key(name), jobs[name].mod_revision if name in jobs else 0)
            for name in sorted(unfinished)
        ]
