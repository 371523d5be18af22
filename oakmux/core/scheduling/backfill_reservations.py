"""Backfill reservations of all controllers: which machines are reserved for which gang."""

from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import AnnounceBackfill
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.records import Job


class BackfillReservation(NamedTuple):
    """A gang's reservation as last announced; it expires unless announced again.

    `submitted_ms` is the gang's submission time; `expires_at` and `ready_at` are local times (s).
    """

    priority: int
    submitted_ms: float
    expires_at: float
    ready_at: float
    machines: frozenset[str]


class BackfillReservations:
    """Reservations by job and by machine.

    If two gangs reserve a machine, the one with the higher priority gets it, or else the older.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_job: dict[str, BackfillReservation] = {}
        self.by_machine: dict[str, str] = {}

    def announced(self, message: AnnounceBackfill) -> None:
        """Replace a gang's reservation by the announced one; an empty list of machines ends it."""
        now = self.context.now
        job_id, machines = message.job_id, message.machines
        self.by_job.pop(job_id, None)
        for gang_id in [
            gang_id
            for gang_id, reservation in self.by_job.items()
            if reservation.expires_at <= now
        ]:
            del self.by_job[gang_id]
        if machines and len(self.by_job) < constants.BACKFILL_MAX_RESERVATIONS:
            self.by_job[job_id] = BackfillReservation(
                message.priority,
                message.submitted_ms,
                now + constants.BACKFILL_RESERVATION_TTL_S,
                now + message.ready_s,
                frozenset(machines),
            )
        self.by_machine = {}
        for gang_id, reservation in sorted(
            self.by_job.items(),
            key=lambda entry: (entry[1].priority, -entry[1].submitted_ms, entry[0]),
        ):
            self.by_machine.update(dict.fromkeys(reservation.machines, gang_id))

    def blocks_job(self, machine: str, job: Job, spec: JobSpec) -> bool:
        """Whether a reservation keeps a job off a machine.

        - Jobs that precede the gang are never kept off.
        - Preemptible jobs are kept off if the machines are ready so soon that the jobs would be
          preempted at once.
        - Other jobs are kept off unless they end in time.
        """
        gang_id = self.by_machine.get(machine)
        reservation = self.by_job.get(gang_id or "")
        if (
            gang_id is None
            or reservation is None
            or gang_id == job.id
            or reservation.expires_at <= self.context.now
            or self._precedes(job, gang_id, reservation)
        ):
            return False
        left_s = reservation.ready_at - self.context.now
        if (
            job.priority < reservation.priority
            and spec.kind != "service"
            and not spec.gang_scheduled
        ):
            return left_s < constants.BACKFILL_FREEZE_S
        fetch_s = max(
            (self.context.fetch_s(spec, name) for name in self.context.types), default=0.0
        )
        ends_s = spec.estimate_s * constants.BACKFILL_ESTIMATE_FACTOR + fetch_s
        return spec.kind == "service" or ends_s > left_s

    def _precedes(self, job: Job, gang_id: str, reservation: BackfillReservation) -> bool:
        """Whether a job precedes a gang with a reservation."""
        if job.priority != reservation.priority:
            return job.priority > reservation.priority
        if (job.eligible_ms, job.id) >= (reservation.submitted_ms, gang_id):
            return False
        # An older job precedes the gang, but not for ever: once some of its tasks have started,
        # its other tasks no longer delay a starving gang.
        gang = self.context.replica.jobs.get(gang_id)
        return not job.begun or gang is None or not is_starving(self.context, gang)

    def is_reserved(self, machine: str) -> bool:
        """Whether a machine is reserved for a gang, so that it may be idle although jobs wait."""
        reservation = self.by_job.get(self.by_machine.get(machine, ""))
        return reservation is not None and reservation.expires_at > self.context.now

    def reserved_before(self, job: Job) -> set[str]:
        """Return the machines reserved for gangs that precede a job.

        The job may take the machines of later gangs. Otherwise the oldest gang finds no machines
        when several smaller gangs wait.
        """
        own_rank = (job.priority, -job.eligible_ms, job.id)
        earlier = {
            gang_id
            for gang_id, reservation in self.by_job.items()
            if gang_id != job.id
            and (reservation.priority, -reservation.submitted_ms, gang_id) > own_rank
        }
        return {machine for machine, gang_id in self.by_machine.items() if gang_id in earlier}
