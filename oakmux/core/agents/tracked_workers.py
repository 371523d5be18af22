"""What a agent manager remembers of the machines that report to it."""

import math

from oakmux.core.context import Task


class Reservation:
    """A job's place in a machine's queue."""

    __slots__ = ("job_id", "count", "since")

    def __init__(self, job_id: str, count: int, since: float) -> None:
        self.job_id = job_id
        self.count = count
        self.since = since


class TrackedWorker:
    """What a agent manager remembers of a machine that reports to it."""

    __slots__ = (
        "queue",
        "offers",
        "starting",
        "answered",
        "refused",
        "command_in_flight",
        "commands_after",
        "orphans",
        "stops",
        "known",
        "delayed",
        "not_preemptible",
        "since",
    )

    def __init__(self) -> None:
        self.queue: dict[str, Reservation] = {}
        self.offers: dict[int, tuple[str, float, int]] = {}
        self.starting: dict[Task, int] = {}
        self.answered: set[Task] = set()
        self.refused: set[Task] = set()
        self.command_in_flight = False
        self.commands_after = 0.0
        self.orphans: dict[Task, float] = {}
        self.stops: dict[Task, float] = {}
        self.known: set[tuple[str, int, int]] = set()
        self.delayed: dict[Task, float] = {}
        # Jobs that got room here by their age: what they run is not stopped for other work.
        self.not_preemptible: set[str] = set()
        # When it last came to us from another controller, or as one that we did not know.
        self.since = math.inf


class WorkerTable:
    """The machines that report to us, and the names of those with something due."""

    def __init__(self) -> None:
        self.tracked: dict[str, TrackedWorker] = {}
        self.to_reconcile: set[str] = set()
