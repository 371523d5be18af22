"""What an agent manager remembers of the workers that send it heartbeats."""

import math
from typing import NamedTuple

from oakmux.core.machine import Task


class Reservation:
    """A job's place in a machine's queue."""

    __slots__ = ("count", "job_id", "queued_at")

    def __init__(self, job_id: str, count: int, queued_at: float) -> None:
        self.job_id = job_id
        self.count = count  # tasks that the job would start on the machine
        self.queued_at = queued_at  # when it was queued (s)


class Offer(NamedTuple):
    """Resources for one task that are kept until the job's scheduler binds it or declines."""

    job_id: str
    expires_at: float
    role_claim: int
    """The claim of the team's role under which its scheduler was offered the resources."""


class TrackedWorker:
    """What an agent manager remembers of one worker; times are seconds on the steady clock."""

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
        "unbound_since",
        "unresolved_starts",
    )

    def __init__(self) -> None:
        # Reservations by job, in the order of their arrival.
        self.queue: dict[str, Reservation] = {}
        # Open offers by their id.
        self.offers: dict[int, Offer] = {}
        # Starts sent in direct commands whose outcome is not known, with the term of each.
        self.unresolved_starts: dict[Task, int] = {}
        # Starts given in the answer to the latest heartbeat.
        self.answered_starts: set[Task] = set()
        # Bound tasks that are never started: cancelled or stopped before their start was sent.
        self.refused_starts: set[Task] = set()
        # Whether direct commands are on their way; there is one such request at a time.
        self.command_in_flight = False
        # When direct commands may be sent again after a request that failed.
        self.next_command_at = 0.0
        # Reported tasks without a binding, with the time since which each has none.
        self.unbound_since: dict[Task, float] = {}
        # Tasks to stop, with the time when that was decided.
        self.stops: dict[Task, float] = {}
        # Bindings on the machine at the last change of the records: (job, index, attempt).
        self.bound_tasks: set[tuple[str, int, int]] = set()
        # Gang tasks whose start waits for the image fetches of others, with the time since which.
        self.delayed_since: dict[Task, float] = {}
        # Jobs that got resources here by the minimum share: preemption passes them over.
        self.not_preemptible: set[str] = set()
        # When the worker came from another controller, or first sent a heartbeat.
        self.attached_at = math.inf


class WorkerTable:
    """The workers that send us heartbeats, and the machines that need a reconciliation."""

    def __init__(self) -> None:
        self.tracked: dict[str, TrackedWorker] = {}
        self.to_reconcile: set[str] = set()
