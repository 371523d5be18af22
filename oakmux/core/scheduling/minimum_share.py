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
    """What an agent manager owes aged jobs of the capacity that its machines have granted.

    Each grant to a job by rank adds a share of it to the debt. Once the debt is worth a task of
    the oldest aged job with a reservation where capacity is free, that job comes first, and the
    grant is taken off the debt. So aged jobs get their share in the order of age whatever their
    rank, and never more. Gangs are left out: they gather capacity in their own way.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.debt = 0.0  # in machines
        self.share = context.settings.scheduling.minimum_share

    def due_job(self, kind: MachineType, free: Resources, jobs: Iterable[Job]) -> Job | None:
        """Return the oldest aged job that fits, if the debt is worth a task of it.

        Args:
            kind: the type of the machine with free capacity.
            free: what is free on it.
            jobs: the jobs with a reservation on it.
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
        """Take a grant to a job that was due by age off the debt."""
        self.debt -= machine_share(spec, kind)

    def granted_by_rank(self, spec: JobSpec, kind: MachineType) -> None:
        """Add the aged jobs' share of a grant to another job to the debt."""
        self.debt = min(
            constants.MINIMUM_SHARE_DEBT_MAX,
            self.debt + self.share / (1 - self.share) * machine_share(spec, kind),
        )
