"""Report the load on the fleet, from the controllers' logs at LOG_LEVEL=info.

Reads the same input as tools.recovery. Prints the jobs that start in time (by class, by team, and
for the largest jobs of each class), waits by class and gang size, how GPU time is used, and
preemptions by class of victim and preemptor. Counts moved services and backfill reservations, and
shows the GPUs bound per class and per machine at the times given with --at.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

import click

from oakmux import constants
from tools.recovery import Event, histogram, parse_events, percentiles_text

# Values of `why` in `task_unbound` that mean success.
SUCCESS_REASONS = ("done",)


class Load:
    """State of tasks and machines, built up event by event from the logs."""

    def __init__(self, log: Iterable[Event], snapshot_times: Iterable[float]) -> None:
        self.jobs: dict[str, dict[str, str]] = {}
        self.accepted_at: dict[str, float] = {}
        self.bound_at: dict[str, float] = {}
        self.running_since: dict[str, float] = {}
        self.waits: dict[tuple[str, int], list[float]] = defaultdict(list)
        self.gpu_seconds: dict[tuple[str, str], float] = defaultdict(float)
        self.events: Counter[str] = Counter()
        self.preemptions: Counter[tuple[str, str]] = Counter()
        self.tasks_by_machine: dict[str, set[str]] = defaultdict(set)
        self.snapshots: list[tuple[float, Counter[str], Counter[int]]] = []
        self.first_running_at: dict[str, dict[str, float]] = defaultdict(dict)
        self.cancelled_at: dict[str, float] = {}
        self.last_event_at = 0.0
        pending_times = sorted(snapshot_times)
        for event in log:
            while pending_times and event.at >= pending_times[0]:
                self.snapshots.append(self._snapshot(pending_times.pop(0)))
            self.add_event(event)

    def job_class(self, task: str) -> str:
        """Return the class of a job, given its id or the id of one of its tasks."""
        return self.jobs.get(task.partition("/")[0], {}).get("job_class", "unknown")

    def gpus(self, task: str) -> float:
        """Return the GPUs that a task takes; 0 if the log lacks its job."""
        return float(self.jobs.get(task.partition("/")[0], {}).get("gpus", 0))

    def add_event(self, event: Event) -> None:
        """Update the state from one event."""
        at, fields = event.at, event.fields
        self.last_event_at = at
        task = fields.get("task", "")
        if event.name == "job_accepted":
            self.jobs[fields["job"]] = fields
            self.accepted_at[fields["job"]] = at
        elif event.name == "task_bound":
            job = task.partition("/")[0]
            if task not in self.bound_at and job in self.accepted_at:
                size = int(self.jobs[job]["tasks"]) if self.jobs[job]["kind"] == "gang" else 0
                self.waits[self.job_class(task), size].append(at - self.accepted_at[job])
            self.bound_at[task] = at
            self.tasks_by_machine[fields["machine"]].add(task)
        elif event.name == "job_cancelled":
            self.cancelled_at.setdefault(fields["job"], at)
        elif event.name == "task_running" and task in self.bound_at:
            self.first_running_at[task.partition("/")[0]].setdefault(task, at)
            self.running_since[task] = at
            self.gpu_seconds[self.job_class(task), "fetch"] += self.gpus(task) * (
                at - self.bound_at[task]
            )
        elif event.name == "task_unbound":
            self.tasks_by_machine[fields["machine"]].discard(task)
            started_at = self.running_since.pop(task, None)
            if started_at is not None:
                use = "ran" if fields["why"] in SUCCESS_REASONS else f"ended: {fields['why']}"
                self.gpu_seconds[self.job_class(task), use] += self.gpus(task) * (at - started_at)
        elif event.name == "task_preempted":
            self.preemptions[self.job_class(task), self.job_class(fields.get("by", ""))] += 1
        elif event.name in ("backfill_reservation", "services_moved", "yielded"):
            self.events[event.name] += 1

    def _snapshot(self, at: float) -> tuple[float, Counter[str], Counter[int]]:
        job_classes: Counter[str] = Counter()
        used: Counter[int] = Counter()
        for tasks in self.tasks_by_machine.values():
            if tasks:
                used[round(sum(map(self.gpus, tasks)))] += 1
                for task in tasks:
                    job_classes[self.job_class(task)] += round(self.gpus(task))
        return at, job_classes, used

    def start_delay(self, job: str) -> float | None:
        """Return the seconds from a job's acceptance to its start, or None before the start.

        An array starts when its first task runs, any other job when all its tasks run.
        """
        fields, times = self.jobs[job], self.first_running_at.get(job, {})
        if len(times) < (1 if fields["kind"] == "array" else int(fields["tasks"])):
            return None
        return (min if fields["kind"] == "array" else max)(times.values()) - self.accepted_at[job]

    def starts_by_group(self) -> Iterator[tuple[str, int, int, float]]:
        """Yield (group, jobs, jobs started in time, longest wait in s) for each class, each team,
        and the largest jobs of each class.

        Jobs cancelled before their start limit, and jobs whose limit lies after the end of the
        log, are left out.
        """
        groups: dict[str, list[str]] = defaultdict(list)
        deadlines = {job: self.accepted_at[job] + constants.START_LIMIT_S for job in self.jobs}
        jobs = [
            job
            for job in self.jobs
            if self.cancelled_at.get(job, self.last_event_at) >= deadlines[job]
        ]
        largest: dict[str, int] = defaultdict(int)
        for job in jobs:
            largest[self.job_class(job)] = max(
                largest[self.job_class(job)], int(self.jobs[job]["tasks"])
            )
        for job in jobs:
            groups[f"class {self.job_class(job)}"].append(job)
            groups[f"team {self.jobs[job].get('team', 'unknown')}"].append(job)
            if int(self.jobs[job]["tasks"]) == largest[self.job_class(job)]:
                groups[f"largest {self.job_class(job)} ({largest[self.job_class(job)]})"].append(
                    job
                )
        for name, members in sorted(groups.items()):
            waits = [
                self.last_event_at - self.accepted_at[job]
                if (wait := self.start_delay(job)) is None
                else wait
                for job in members
            ]
            in_time = sum(
                self.start_delay(job) is not None and wait <= constants.START_LIMIT_S
                for job, wait in zip(members, waits, strict=True)
            )
            yield name, len(members), in_time, max(waits)

    def report(self) -> Iterator[str]:
        """Yield the lines of all tables."""
        yield f"{'group':36}  jobs  started in {constants.START_LIMIT_S:g} s  longest (s)"
        for name, count, in_time, longest in self.starts_by_group():
            verdict = (
                "UNDER HALF"
                if 2 * in_time < count
                else "late"
                if (name.startswith("largest") and in_time < count)
                else ""
            )
            yield (
                f"{name:36} {count:5} {in_time:7} {in_time / count:6.3f} {longest:9.1f}  {verdict}"
            )
        yield ""
        yield "class and gang size        tasks   accepted to bound p50 p90 max (s)"
        for (job_class, size), waits in sorted(self.waits.items()):
            yield (
                f"{job_class:20} {size or '':5} {len(waits):6}   "
                f"{percentiles_text(histogram(waits))}"
            )
        yield "\nGPU seconds by class and use, and share of the total"
        total = sum(self.gpu_seconds.values()) or 1.0
        for (job_class, use), seconds in sorted(self.gpu_seconds.items()):
            yield f"{job_class:20} {use:16} {seconds:9.0f}  {seconds / total:6.3f}"
        yield "\npreempted tasks: class, class of the preemptor, count"
        for (job_class, preemptor), count in self.preemptions.most_common():
            yield f"{job_class:20} {preemptor:20} {count:6}"
        yield "\n" + ", ".join(f"{name}: {count}" for name, count in sorted(self.events.items()))
        for at, job_classes, used in self.snapshots:
            yield (
                f"\nat {at:g} s, GPUs bound: "
                + ", ".join(
                    f"{job_class} {count}" for job_class, count in sorted(job_classes.items())
                )
            )
            yield "machines by GPUs bound: " + ", ".join(
                f"{gpus}: {count}" for gpus, count in sorted(used.items())
            )


@click.command(help=__doc__)
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--at",
    "snapshot_times",
    type=float,
    multiple=True,
    help="Time for which bound GPUs are shown (s); may be repeated.",
)
def main(log: Path, snapshot_times: tuple[float, ...]) -> None:
    """Print the tables of load, waits and preemptions."""
    with log.open(errors="replace") as lines:
        load = Load(parse_events(lines), snapshot_times)
    if not load.accepted_at:
        click.echo(
            f"{log}: no event `job_accepted`; controllers log it at LOG_LEVEL=info", err=True
        )
        sys.exit(2)
    for line in load.report():
        click.echo(line)


if __name__ == "__main__":
    main()
