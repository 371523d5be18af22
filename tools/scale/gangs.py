"""Where the tasks of gangs find each other: hollow processes tell the hub, the hub tells them."""

from collections.abc import Iterable
from typing import NamedTuple

from tools.scale.jobs import parse_job


class GangEvent(NamedTuple):
    """What a hollow process says of a gang's task: it is `ready`, or has `left`."""

    verb: str
    job_id: str
    attempt: int
    number: int


class GangOrder(NamedTuple):
    """What the hub says of an attempt: `go`, `finish` (done) or `peers` (a task was lost)."""

    verb: str
    job_id: str
    attempt: int


class Gang:
    """An attempt: which tasks are ready, which processes have some, when it ends (s)."""

    def __init__(self, tasks: int, run_s: float) -> None:
        self.tasks = tasks
        self.run_s = run_s
        self.ready: set[int] = set()
        self.processes: set[int] = set()
        self.ends: float | None = None


class GangHub:
    """All attempts that have tasks somewhere."""

    def __init__(self, processes: int) -> None:
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.outboxes: list[list[GangOrder]] = [[] for _ in range(processes)]

    def take(self, process: int, events: Iterable[GangEvent], now: float) -> list[GangOrder]:
        """Take a process's events; return what it has to do."""
        for event in events:
            if event.verb == "ready":
                self._ready(process, event, now)
            else:
                self._left(event)
        self._finish(now)
        orders, self.outboxes[process] = self.outboxes[process], []
        return orders

    def _ready(self, process: int, event: GangEvent, now: float) -> None:
        job = parse_job(event.job_id)
        key = (event.job_id, event.attempt)
        gang = self.gangs.setdefault(key, Gang(job.tasks, job.run_s))
        gang.processes.add(process)
        gang.ready.add(event.number)
        if gang.ends is None and len(gang.ready) == gang.tasks:
            gang.ends = now + gang.run_s
            self._tell(gang, GangOrder("go", *key))

    def _left(self, event: GangEvent) -> None:
        key = (event.job_id, event.attempt)
        gang = self.gangs.get(key)
        if gang is None:
            return
        gang.ready.discard(event.number)
        if gang.ends is not None:
            del self.gangs[key]
            self._tell(gang, GangOrder("peers", *key))
        elif not gang.ready:
            del self.gangs[key]

    def _finish(self, now: float) -> None:
        for key, gang in list(self.gangs.items()):
            if gang.ends is not None and gang.ends <= now:
                del self.gangs[key]
                self._tell(gang, GangOrder("finish", *key))

    def _tell(self, gang: Gang, order: GangOrder) -> None:
        for process in gang.processes:
            self.outboxes[process].append(order)
