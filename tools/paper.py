"""How a day could have gone on paper: the same arrivals, run times and machines, known in advance.

Reads the controllers' logs at LOG_LEVEL=info (see tools.recovery). A greedy that knows every run
time places the day's tasks anew, by priority, then least work first, on all GPUs that were up at
each moment, without packing, proof, writes or messages; first without image fetches, then with the
fetches that the day had. What each step loses is what prevents more; the rest is decisions. It is
an estimate, not a bound: no order is best for all classes, and tasks that were lost are run once.
"""

import heapq
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import click

from tools.recovery import Event, events, histogram, spread


class Work(NamedTuple):
    """A job as the log tells it: seconds that each task fetched and ran."""

    name: str
    job_class: str
    priority: int
    kind: str
    gpus: float
    at: float
    tasks: list[tuple[float, float]]


class Day:
    """A day's jobs and machines, and when each task first ran."""

    def __init__(self, log: Iterable[Event]) -> None:
        self.jobs: dict[str, dict[str, str]] = {}
        self.accepted: dict[str, float] = {}
        self.bound: dict[str, float] = {}
        self.fetched: dict[str, float] = {}
        self.began: dict[str, float] = {}
        self.first: dict[str, float] = {}
        self.ran: dict[str, float] = {}
        self.up: dict[str, float] = {}
        self.gone: dict[str, float] = {}
        self.end = 0.0
        for event in log:
            self.take(event)

    def take(self, event: Event) -> None:
        """Take one event."""
        at, fields = event.at, event.fields
        task = fields.get("task", "")
        self.end = max(self.end, at)
        if event.name == "job_accepted":
            self.jobs[fields["job"]] = fields
            self.accepted.setdefault(fields["job"], at)
        elif event.name == "task_bound":
            self.bound[task] = at
        elif event.name == "task_running":
            self.fetched[task] = at - self.bound.get(task, at)
            self.began[task] = at
            self.first.setdefault(task, at)
        elif event.name == "task_unbound" and task in self.began:
            began = self.began.pop(task)
            service = self.jobs.get(task.partition("/")[0], {}).get("kind") == "service"
            if fields["why"] == "done" or service:
                self.ran[task] = at - (self.first[task] if service else began)
        elif event.name == "worker_registered":
            self.up.setdefault(fields["machine"], at)
        elif event.name in ("instance_terminated", "instances_returned"):
            for name in (fields.get("machine") or fields.get("machines", "")).split(","):
                self.gone.setdefault(name, at)

    def work(self, fetches: bool) -> list[Work]:
        """Return the jobs whose tasks ran, with their fetches or without."""
        rows = []
        for name, fields in self.jobs.items():
            tasks = []
            for index in range(int(fields["tasks"])):
                task = f"{name}/{index}"
                if task in self.first:
                    ran = self.ran.get(task, self.end - self.first[task])
                    tasks.append((self.fetched[task] if fetches else 0.0, ran))
            if tasks:
                rows.append(
                    Work(
                        name,
                        fields["job_class"],
                        int(fields.get("priority", 1)),
                        fields["kind"],
                        float(fields.get("gpus", 1)),
                        self.accepted[name],
                        tasks,
                    )
                )
        return rows

    def capacity(self, gpus: float) -> list[tuple[float, float]]:
        """Return the changes of the GPUs that are up: [(time, change)]."""
        rows = []
        for name, at in self.up.items():
            rows += [(at, gpus), (self.gone.get(name, self.end + 1e6), -gpus)]
        return sorted(rows)


def replay(work: list[Work], capacity: list[tuple[float, float]]) -> dict[str, list[float]]:
    """Place all tasks; return the waits from acceptance to running, by class."""
    waits: dict[str, list[float]] = defaultdict(list)
    # (time, order, GPUs that come free or go, job that arrives)
    due: list[tuple[float, int, float, Work | None]] = [
        (at, number, change, None) for number, (at, change) in enumerate(capacity)
    ]
    due += [(job.at, len(due) + number, 0.0, job) for number, job in enumerate(work)]
    heapq.heapify(due)
    serial, free = len(due), 0.0
    waiting: list[tuple[int, float, int, Work, list[tuple[float, float]]]] = []
    while due:
        at, _, change, arrived = heapq.heappop(due)
        free += change
        if arrived is not None:
            size = arrived.gpus * sum(ran for _, ran in arrived.tasks)
            serial += 1
            heapq.heappush(
                waiting, (-arrived.priority, size, serial, arrived, list(arrived.tasks))
            )
        if due and due[0][0] == at:
            continue
        kept = []
        while waiting and free > 0:
            row = heapq.heappop(waiting)
            job, left = row[3], row[4]
            whole = job.kind == "gang"
            need = job.gpus * (len(left) if whole else 1)
            slowest = max(fetch for fetch, _ in left)
            while left and need <= free:
                for fetch, ran in left if whole else [left[-1]]:
                    held = slowest if whole else fetch
                    waits[job.job_class].append(at + held - job.at)
                    serial += 1
                    heapq.heappush(due, (at + held + ran, serial, job.gpus, None))
                free -= need
                if whole:
                    left.clear()
                else:
                    left.pop()
            if left:
                kept.append(row)
                if not whole:
                    break  # the next of less priority would take what this one waits for
        for row in kept:
            heapq.heappush(waiting, row)
    return waits


def lines(day: Day, gpus: float, within: Iterable[float]) -> Iterator[str]:
    """Yield the table: as it was, with fetches only, without any."""
    was: dict[str, list[float]] = defaultdict(list)
    for task, at in day.first.items():
        job = task.partition("/")[0]
        if job in day.jobs:
            was[day.jobs[job]["job_class"]].append(at - day.accepted[job])
    capacity = day.capacity(gpus)
    found = {
        "as it was": was,
        "on paper, fetches": replay(day.work(True), capacity),
        "on paper": replay(day.work(False), capacity),
    }
    marks = list(within)
    yield (
        "class               what               tasks   to running p50 p90 max (s)   within "
        + " ".join(f"{mark:g}" for mark in marks)
        + " s"
    )
    for job_class in sorted(was):
        for what, waits in found.items():
            row = waits.get(job_class, [])
            shares = " ".join(
                f"{sum(wait <= mark for wait in row) / max(1, len(row)):.2f}" for mark in marks
            )
            yield f"{job_class:18}  {what:17} {len(row):6}   {spread(histogram(row))}   {shares}"


@click.command(help=__doc__)
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--gpus", type=float, required=True, help="GPUs of a machine.")
@click.option(
    "--within",
    type=float,
    multiple=True,
    default=(10.0, 30.0, 50.0, 120.0, 250.0),
    show_default=True,
    help="Seconds for which the share of tasks is shown.",
)
def main(log: Path, gpus: float, within: tuple[float, ...]) -> None:
    """Print the table."""
    with log.open(errors="replace") as rows:
        day = Day(events(rows))
    if not day.jobs or not day.up:
        click.echo(f"{log}: no event of a controller at info", err=True)
        sys.exit(2)
    for line in lines(day, gpus, within):
        click.echo(line)


if __name__ == "__main__":
    main()
