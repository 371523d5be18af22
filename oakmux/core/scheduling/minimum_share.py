"""A minimum share for work that waited longest: so much of the room that frees up is its own."""

from collections.abc import Iterable

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, fits_resources
from oakmux.core.scheduling.queue_order import is_aged
from oakmux.core.state.records import Job


def machine_share(spec: JobSpec, kind: MachineType) -> float:
    """Return the part of a machine that a task takes, of what it takes most of."""
    return max(
        spec.cpus / kind.cpus,
        spec.memory_gb / kind.memory_gb,
        spec.gpus / kind.gpus if kind.gpus else 0.0,
    )


class MinimumShare:
    """What is owed to aged work of the room that a agent manager's machines freed: a share of it.

    While work of more right is offered room, the debt grows by that share; once it is worth a
    task of the oldest aged job with a reservation where room is, that task comes first and the
    debt falls by it. So aged work gets its share in the order of age whatever stands above it, and
    never more. Gangs gather room in their own way.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.owed = 0.0
        self.share = context.settings.spread.minimum_share

    def oldest(self, kind: MachineType, free: Resources, jobs: Iterable[Job]) -> Job | None:
        """Return who is due by age among jobs that have a reservation on a machine, or None."""
        if self.owed <= 0:
            return None
        due = [
            job
            for job in jobs
            if job.spec is not None
            and not job.spec.joint
            and fits_resources(free, job.spec)
            and is_aged(self.context, job, job.spec)
        ]
        job = min(due, key=lambda job: (job.since, job.id), default=None)
        if job is None or job.spec is None or machine_share(job.spec, kind) > self.owed:
            return None
        return job

    def gave(self, spec: JobSpec, kind: MachineType, by_age: bool) -> None:
        """A task was offered room: by its age, or by its rank."""
        part = machine_share(spec, kind)
        if by_age:
            self.owed -= part
        else:
            self.owed = min(
                constants.MINIMUM_SHARE_OWED, self.owed + self.share / (1 - self.share) * part
            )
