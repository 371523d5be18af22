"""Compare a recorded day with an ideal schedule of the same jobs, run times and machines.

Reads the controllers' logs at LOG_LEVEL=info (see tools.recovery). A greedy scheduler that knows
all run times places the day's tasks again, by priority, then least work first, on all GPUs that
are up at each time. It ignores packing, proofs that tasks are gone, writes and messages.

It runs twice: without image fetches, and with the fetches of the recorded day. The difference
between the two is the cost of fetches; the rest of the gap to the recorded day comes from
scheduling decisions and the costs ignored above. The result is an estimate, not a bound: no order
is best for all classes, and a task that was lost and repeated runs only once.
"""

import heapq
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import click

from tools.recovery import Event, histogram, parse_events, percentiles_text


class JobRun(NamedTuple):
    """A job from the log; `tasks` holds (fetch time, run time) of each task in seconds."""

    name: str
    job_class: str
    priority: int
    kind: str
    gpus: float
    accepted_at: float
    tasks: list[tuple[float, float]]


class Day:
    """Jobs and machines of a recorded day, and when each task first runs."""

    def __init__(self, log: Iterable[Event]) -> None:
        self.jobs: dict[str, dict[str, str]] = {}
        self.accepted_at: dict[str, float] = {}
        self.bound_at: dict[str, float] = {}
        self.fetch_s: dict[str, float] = {}
        self.running_since: dict[str, float] = {}
        self.first_running_at: dict[str, float] = {}
        self.run_s: dict[str, float] = {}
        self.registered_at: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}
        self.end = 0.0
        for event in log:
            self.add_event(event)

    def add_event(self, event: Event) -> None:
        """Update the day from one event."""
        at, fields = event.at, event.fields
        task = fields.get("task", "")
        self.end = max(self.end, at)
        if event.name == "job_accepted":
            self.jobs[fields["job"]] = fields
            self.accepted_at.setdefault(fields["job"], at)
        elif event.name == "task_bound":
            self.bound_at[task] = at
        elif event.name == "task_running":
            self.fetch_s[task] = at - self.bound_at.get(task, at)
            self.running_since[task] = at
            self.first_running_at.setdefault(task, at)
        elif event.name == "task_unbound" and task in self.running_since:
            started_at = self.running_since.pop(task)
            service = self.jobs.get(task.partition("/")[0], {}).get("kind") == "service"
            if fields["why"] == "done" or service:
                self.run_s[task] = at - (self.first_running_at[task] if service else started_at)
        elif event.name == "worker_registered":
            self.registered_at.setdefault(fields["machine"], at)
        elif event.name in ("instance_terminated", "instances_returned"):
            for name in (fields.get("machine") or fields.get("machines", "")).split(","):
                self.removed_at.setdefault(name, at)

    def job_runs(self, with_fetches: bool) -> list[JobRun]:
        """Return the jobs with tasks that ran; without `with_fetches`, fetch times are 0."""
        runs = []
        for name, fields in self.jobs.items():
            tasks = []
            for index in range(int(fields["tasks"])):
                task = f"{name}/{index}"
                if task in self.first_running_at:
                    run_s = self.run_s.get(task, self.end - self.first_running_at[task])
                    tasks.append((self.fetch_s[task] if with_fetches else 0.0, run_s))
            if tasks:
                runs.append(
                    JobRun(
                        name,
                        fields["job_class"],
                        int(fields.get("priority", 1)),
                        fields["kind"],
                        float(fields.get("gpus", 1)),
                        self.accepted_at[name],
                        tasks,
                    )
                )
        return runs

    def capacity(self, gpus: float) -> list[tuple[float, float]]:
        """Return when GPUs come up or go, as sorted (time, change); a machine has `gpus` GPUs."""
        changes = []
        for name, at in self.registered_at.items():
            changes += [(at, gpus), (self.removed_at.get(name, self.end + 1e6), -gpus)]
        return sorted(changes)


def replay(job_runs: list[JobRun], capacity: list[tuple[float, float]]) -> dict[str, list[float]]:
    """Place all tasks; return the waits from acceptance to running in seconds, by class."""
    waits: dict[str, list[float]] = defaultdict(list)
    # (time, tie-breaker, change in free GPUs, arriving job)
    timeline: list[tuple[float, int, float, JobRun | None]] = [
        (at, number, change, None) for number, (at, change) in enumerate(capacity)
    ]
    timeline += [
        (job.accepted_at, len(timeline) + number, 0.0, job) for number, job in enumerate(job_runs)
    ]
    heapq.heapify(timeline)
    serial, free_gpus = len(timeline), 0.0
    waiting: list[tuple[int, float, int, JobRun, list[tuple[float, float]]]] = []
    while timeline:
        at, _, change, arrival = heapq.heappop(timeline)
        free_gpus += change
        if arrival is not None:
            total_work = arrival.gpus * sum(run_s for _, run_s in arrival.tasks)
            serial += 1
            heapq.heappush(
                waiting, (-arrival.priority, total_work, serial, arrival, list(arrival.tasks))
            )
        if timeline and timeline[0][0] == at:
            continue
        blocked = []
        while waiting and free_gpus > 0:
            entry = heapq.heappop(waiting)
            job, unplaced = entry[3], entry[4]
            is_gang = job.kind == "gang"
            needed_gpus = job.gpus * (len(unplaced) if is_gang else 1)
            slowest = max(fetch for fetch, _ in unplaced)
            while unplaced and needed_gpus <= free_gpus:
                for fetch, run_s in unplaced if is_gang else [unplaced[-1]]:
                    fetch_wait = slowest if is_gang else fetch
                    waits[job.job_class].append(at + fetch_wait - job.accepted_at)
                    serial += 1
                    heapq.heappush(timeline, (at + fetch_wait + run_s, serial, job.gpus, None))
                free_gpus -= needed_gpus
                if is_gang:
                    unplaced.clear()
                else:
                    unplaced.pop()
            if unplaced:
                blocked.append(entry)
                if not is_gang:
                    break  # jobs of lower priority must not take the GPUs that this job waits for
        for entry in blocked:
            heapq.heappush(waiting, entry)
    return waits


def lines(day: Day, gpus: float, within: Iterable[float]) -> Iterator[str]:
    """Yield the table: recorded waits, ideal waits with fetches, ideal waits without."""
    actual: dict[str, list[float]] = defaultdict(list)
    for task, at in day.first_running_at.items():
        job = task.partition("/")[0]
        if job in day.jobs:
            actual[day.jobs[job]["job_class"]].append(at - day.accepted_at[job])
    capacity = day.capacity(gpus)
    waits_by_case = {
        "recorded": actual,
        "ideal, fetches": replay(day.job_runs(True), capacity),
        "ideal": replay(day.job_runs(False), capacity),
    }
    limits = list(within)
    yield (
        "class               schedule           tasks   to running p50 p90 max (s)   within "
        + " ".join(f"{limit:g}" for limit in limits)
        + " s"
    )
    for job_class in sorted(actual):
        for case, waits in waits_by_case.items():
            class_waits = waits.get(job_class, [])
            shares = " ".join(
                f"{sum(wait <= limit for wait in class_waits) / max(1, len(class_waits)):.2f}"
                for limit in limits
            )
            yield (
                f"{job_class:18}  {case:17} {len(class_waits):6}   "
                f"{percentiles_text(histogram(class_waits))}   {shares}"
            )


@click.command(help=__doc__)
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--gpus", type=float, required=True, help="GPUs per machine.")
@click.option(
    "--within",
    type=float,
    multiple=True,
    default=(10.0, 30.0, 50.0, 120.0, 250.0),
    show_default=True,
    help="Show the share of tasks that run within this time (s); may be repeated.",
)
def main(log: Path, gpus: float, within: tuple[float, ...]) -> None:
    """Print the table of waits."""
    with log.open(errors="replace") as log_lines:
        day = Day(parse_events(log_lines))
    if not day.jobs or not day.registered_at:
        click.echo(
            f"{log}: no event `job_accepted` or `worker_registered`; controllers log them at "
            "LOG_LEVEL=info",
            err=True,
        )
        sys.exit(2)
    for line in lines(day, gpus, within):
        click.echo(line)


if __name__ == "__main__":
    main()
