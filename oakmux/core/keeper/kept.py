"""What a keeper remembers of the machines that report to it."""

import math

from oakmux.core.context import Task


class Reservation:
    """A job's place in a machine's queue."""

    __slots__ = ("job_id", "count", "since")

    def __init__(self, job_id: str, count: int, since: float) -> None:
        self.job_id = job_id
        self.count = count
        self.since = since


class Kept:
    """What a keeper remembers of a machine that reports to it."""

    __slots__ = (
        "queue",
        "offers",
        "starting",
        "answered",
        "refused",
        "ordering",
        "direct_after",
        "orphans",
        "stops",
        "known",
        "delayed",
        "firm",
        "since",
    )

    def __init__(self) -> None:
        self.queue: dict[str, Reservation] = {}
        self.offers: dict[int, tuple[str, float, int]] = {}
        self.starting: dict[Task, int] = {}
        self.answered: set[Task] = set()
        self.refused: set[Task] = set()
        self.ordering = False
        self.direct_after = 0.0
        self.orphans: dict[Task, float] = {}
        self.stops: dict[Task, float] = {}
        self.known: set[tuple[str, int, int]] = set()
        self.delayed: dict[Task, float] = {}
        # Jobs that got room here by their age: what they run is not stopped for other work.
        self.firm: set[str] = set()
        # When it last came to us from another controller, or as one that we did not know.
        self.since = math.inf


class Ward:
    """The machines that report to us, and the names of those with something due."""

    def __init__(self) -> None:
        self.kept: dict[str, Kept] = {}
        self.poke: set[str] = set()
