"""Minimum share: a part of the capacity that becomes free goes to the jobs that waited longest."""

from collections.abc import Iterable

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, fits_resources
from oakmux.core.scheduling.queue_order import is_aged
from oakmux.core.state.records import Job


def machine_share(spec: JobSpec, kind: MachineType) -> float:
    """Return the share of a machine that a task takes, of the resource it takes most of."""
    return max(
        spec.cpus / kind.cpus,
        spec.memory_gb / kind.memory_gb,
        spec.gpus / kind.gpus if kind.gpus else 0.0,
    )


class MinimumShare:
    """The debt of an agent manager to aged jobs: their share of the capacity granted to others.

    Each grant by rank adds a share of its size to the debt. When capacity on a machine is free and
    the debt covers a task of the oldest aged job with a reservation there, that job comes first,
    and its grant is subtracted from the debt. So aged jobs get their share in the order of age
    whatever their rank, and never more. Gangs are excluded: they gather capacity in another way.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.debt = 0.0  # in machines
        self.share = context.settings.scheduling.minimum_share

    def due_job(self, kind: MachineType, free: Resources, jobs: Iterable[Job]) -> Job | None:
        """Return the oldest aged job that fits, if the debt covers one of its tasks.

        Args:
            kind: the type of the machine with free capacity.
            free: the machine's free resources.
            jobs: the jobs with a reservation on the machine.
        """
        if self.debt <= 0:
            return None
        aged = [
            job
            for job in jobs
            if job.spec is not None
            and not job.spec.gang_scheduled
            and fits_resources(free, job.spec)
            and is_aged(self.context, job, job.spec)
        ]
        oldest = min(aged, key=lambda job: (job.eligible_ms, job.id), default=None)
        if oldest is None or oldest.spec is None or machine_share(oldest.spec, kind) > self.debt:
            return None
        return oldest

    def granted_by_age(self, spec: JobSpec, kind: MachineType) -> None:
        """Subtract a grant to a job that was due by age from the debt."""
        self.debt -= machine_share(spec, kind)

    def granted_by_rank(self, spec: JobSpec, kind: MachineType) -> None:
        """Add the aged jobs' share of a grant by rank to the debt."""
        self.debt = min(
            constants.MINIMUM_SHARE_DEBT_MAX,
            self.debt + self.share / (1 - self.share) * machine_share(spec, kind),
        )
