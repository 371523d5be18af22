"""Coordinates the tasks of gangs that run in several processes of hollow workers."""

from collections.abc import Iterable
from typing import NamedTuple

from tools.scale.jobs import parse_job


class GangEvent(NamedTuple):
    """A change of a gang's task that a hollow process sends: the task is `ready` or has `left`."""

    verb: str
    job_id: str
    attempt: int
    task_index: int


class GangOrder(NamedTuple):
    """An order of the hub to an attempt: `go`, `finish` (done) or `peers` (a task was lost)."""

    verb: str
    job_id: str
    attempt: int


class Gang:
    """An attempt: its ready tasks, the processes that run them, and when it ends (s)."""

    def __init__(self, tasks: int, run_s: float) -> None:
        self.tasks = tasks
        self.run_s = run_s
        self.ready: set[int] = set()
        self.processes: set[int] = set()
        self.ends_at: float | None = None


class GangHub:
    """All attempts with a ready task, and the orders that wait for each process."""

    def __init__(self, processes: int) -> None:
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.outboxes: list[list[GangOrder]] = [[] for _ in range(processes)]

    def exchange(self, process: int, events: Iterable[GangEvent], now: float) -> list[GangOrder]:
        """Apply a process's events; return the orders for this process."""
        for event in events:
            if event.verb == "ready":
                self._task_ready(process, event, now)
            else:
                self._task_left(event)
        self._finish_due(now)
        orders, self.outboxes[process] = self.outboxes[process], []
        return orders

    def _task_ready(self, process: int, event: GangEvent, now: float) -> None:
        job = parse_job(event.job_id)
        key = (event.job_id, event.attempt)
        gang = self.gangs.setdefault(key, Gang(job.tasks, job.run_s))
        gang.processes.add(process)
        gang.ready.add(event.task_index)
        if gang.ends_at is None and len(gang.ready) == gang.tasks:
            gang.ends_at = now + gang.run_s
            self._queue_order(gang, GangOrder("go", *key))

    def _task_left(self, event: GangEvent) -> None:
        key = (event.job_id, event.attempt)
        gang = self.gangs.get(key)
        if gang is None:
            return
        gang.ready.discard(event.task_index)
        if gang.ends_at is not None:
            del self.gangs[key]
            self._queue_order(gang, GangOrder("peers", *key))
        elif not gang.ready:
            del self.gangs[key]

    def _finish_due(self, now: float) -> None:
        for key, gang in list(self.gangs.items()):
            if gang.ends_at is not None and gang.ends_at <= now:
                del self.gangs[key]
                self._queue_order(gang, GangOrder("finish", *key))

    def _queue_order(self, gang: Gang, order: GangOrder) -> None:
        for process in gang.processes:
            self.outboxes[process].append(order)
