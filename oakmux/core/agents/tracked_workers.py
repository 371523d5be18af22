"""State that an agent manager keeps about the workers that send it heartbeats."""

import math
from typing import NamedTuple

from oakmux.core.machine import Task


class Reservation:
    """A job's place in a machine's queue."""

    __slots__ = ("count", "job_id", "queued_at")

    def __init__(self, job_id: str, count: int, queued_at: float) -> None:
        self.job_id = job_id
        self.count = count  # tasks that the job would start on the machine
        self.queued_at = queued_at  # seconds on the steady clock


class Offer(NamedTuple):
    """Resources kept for one task until the job's scheduler binds it or declines the offer."""

    job_id: str
    expires_at: float
    role_claim: int
    """The claim number of the team's role when the offer was made."""


class TrackedWorker:
    """State kept about one worker; times are seconds on the steady clock."""

    __slots__ = (
        "answered_starts",
        "attached_at",
        "bound_tasks",
        "command_in_flight",
        "delayed_since",
        "next_command_at",
        "not_preemptible",
        "offers",
        "queue",
        "refused_starts",
        "stops",
        "term",
        "unbound_since",
        "unresolved_starts",
    )

    def __init__(self) -> None:
        # The highest term that this worker was commanded under or showed; it counts while it is
        # in the range of terms that the controller allocated last.
        self.term = 0
        # Reservations by job id, in the order of arrival.
        self.queue: dict[str, Reservation] = {}
        # Open offers by id.
        self.offers: dict[int, Offer] = {}
        # Starts sent in direct commands with unknown outcome, and the term of each command.
        self.unresolved_starts: dict[Task, int] = {}
        # Starts sent in the answer to the latest heartbeat.
        self.answered_starts: set[Task] = set()
        # Bound tasks that will never be started: cancelled or stopped before the start was sent.
        self.refused_starts: set[Task] = set()
        # Whether a request with direct commands is in flight; there is at most one at a time.
        self.command_in_flight = False
        # When direct commands may be sent again after a request that failed.
        self.next_command_at = 0.0
        # Reported tasks without a binding, and when each was first seen without one.
        self.unbound_since: dict[Task, float] = {}
        # Tasks to stop, and when each stop was decided.
        self.stops: dict[Task, float] = {}
        # Bindings on the machine at the last change of the records: (job, index, attempt).
        self.bound_tasks: set[tuple[str, int, int]] = set()
        # Gang tasks whose start waits for image fetches of other tasks, and since when.
        self.delayed_since: dict[Task, float] = {}
        # Jobs that got resources here by the minimum share; their tasks are not preempted.
        self.not_preemptible: set[str] = set()
        # When the worker came here from another controller, or first sent a heartbeat.
        self.attached_at = math.inf


class WorkerTable:
    """The workers that send heartbeats here, and the machines that need reconciliation."""

    def __init__(self) -> None:
        self.tracked: dict[str, TrackedWorker] = {}
        self.to_reconcile: set[str] = set()
