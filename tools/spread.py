"""How the load lay over the fleet, from the controllers' logs at LOG_LEVEL=info.

Reads what tools.recovery reads. Prints who began in time by class, team and the largest jobs of
a class, waits of each class and size, what the fleet's GPU time went into, who gave way to whom,
moves and backfill reservations, and how full machines were at some moments.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

import click

from oakmux import constants
from tools.recovery import Event, events, histogram, spread

WON = ("done",)


class Load:
    """What the logs say of tasks and machines, gathered event by event."""

    def __init__(self, log: Iterable[Event], moments: Iterable[float]) -> None:
        self.jobs: dict[str, dict[str, str]] = {}
        self.accepted: dict[str, float] = {}
        self.bound: dict[str, float] = {}
        self.running: dict[str, float] = {}
        self.waits: dict[tuple[str, int], list[float]] = defaultdict(list)
        self.spent: dict[tuple[str, str], float] = defaultdict(float)
        self.events: Counter[str] = Counter()
        self.gave_way: Counter[tuple[str, str]] = Counter()
        self.on: dict[str, set[str]] = defaultdict(set)
        self.rows: list[tuple[float, Counter[str], Counter[int]]] = []
        self.ran: dict[str, dict[str, float]] = defaultdict(dict)
        self.cancelled: dict[str, float] = {}
        self.last = 0.0
        due = sorted(moments)
        for event in log:
            while due and event.at >= due[0]:
                self.rows.append(self._look(due.pop(0)))
            self.take(event)

    def job_class(self, task: str) -> str:
        """Return the class of a task's job, or of a job."""
        return self.jobs.get(task.partition("/")[0], {}).get("job_class", "unknown")

    def gpus(self, task: str) -> float:
        """Return the GPUs that a task takes; 0 if the log does not tell."""
        return float(self.jobs.get(task.partition("/")[0], {}).get("gpus", 0))

    def take(self, event: Event) -> None:
        """Take one event."""
        at, fields = event.at, event.fields
        self.last = at
        task = fields.get("task", "")
        if event.name == "job_accepted":
            self.jobs[fields["job"]] = fields
            self.accepted[fields["job"]] = at
        elif event.name == "task_bound":
            job = task.partition("/")[0]
            if task not in self.bound and job in self.accepted:
                size = int(self.jobs[job]["tasks"]) if self.jobs[job]["kind"] == "gang" else 0
                self.waits[self.job_class(task), size].append(at - self.accepted[job])
            self.bound[task] = at
            self.on[fields["machine"]].add(task)
        elif event.name == "job_cancelled":
            self.cancelled.setdefault(fields["job"], at)
        elif event.name == "task_running" and task in self.bound:
            self.ran[task.partition("/")[0]].setdefault(task, at)
            self.running[task] = at
            self.spent[self.job_class(task), "fetch"] += self.gpus(task) * (at - self.bound[task])
        elif event.name == "task_unbound":
            self.on[fields["machine"]].discard(task)
            began = self.running.pop(task, None)
            if began is not None:
                what = "ran" if fields["why"] in WON else f"ended: {fields['why']}"
                self.spent[self.job_class(task), what] += self.gpus(task) * (at - began)
        elif event.name == "task_preempted":
            self.gave_way[self.job_class(task), self.job_class(fields.get("by", ""))] += 1
        elif event.name in ("backfill_reservation", "services_moved", "yielded"):
            self.events[event.name] += 1

    def _look(self, at: float) -> tuple[float, Counter[str], Counter[int]]:
        job_classes: Counter[str] = Counter()
        used: Counter[int] = Counter()
        for tasks in self.on.values():
            if tasks:
                used[round(sum(map(self.gpus, tasks)))] += 1
                for task in tasks:
                    job_classes[self.job_class(task)] += round(self.gpus(task))
        return at, job_classes, used

    def began(self, job: str) -> float | None:
        """Return after how many seconds a job began: an array with one task, else with all."""
        fields, first = self.jobs[job], self.ran.get(job, {})
        if len(first) < (1 if fields["kind"] == "array" else int(fields["tasks"])):
            return None
        return (min if fields["kind"] == "array" else max)(first.values()) - self.accepted[job]

    def served(self) -> Iterator[tuple[str, int, int, float]]:
        """Yield (group, jobs, of these begun in time, longest wait in s) of classes, teams, and
        the largest jobs of each class, but for what was cancelled or came too late to judge.
        """
        groups: dict[str, list[str]] = defaultdict(list)
        due = {job: self.accepted[job] + constants.START_LIMIT_S for job in self.jobs}
        jobs = [job for job in self.jobs if self.cancelled.get(job, self.last) >= due[job]]
        most: dict[str, int] = defaultdict(int)
        for job in jobs:
            most[self.job_class(job)] = max(
                most[self.job_class(job)], int(self.jobs[job]["tasks"])
            )
        for job in jobs:
            groups[f"class {self.job_class(job)}"].append(job)
            groups[f"team {self.jobs[job].get('team', 'unknown')}"].append(job)
            if int(self.jobs[job]["tasks"]) == most[self.job_class(job)]:
                groups[f"largest {self.job_class(job)} ({most[self.job_class(job)]})"].append(job)
        for name, members in sorted(groups.items()):
            waits = [
                self.last - self.accepted[job] if (wait := self.began(job)) is None else wait
                for job in members
            ]
            begun = sum(
                self.began(job) is not None and wait <= constants.START_LIMIT_S
                for job, wait in zip(members, waits, strict=True)
            )
            yield name, len(members), begun, max(waits)

    def lines(self) -> Iterator[str]:
        """Yield the tables."""
        yield f"{'group':36}  jobs  begun in {constants.START_LIMIT_S:g} s  longest (s)"
        for name, count, begun, longest in self.served():
            word = (
                "HALF"
                if 2 * begun < count
                else "late"
                if (name.startswith("largest") and begun < count)
                else ""
            )
            yield f"{name:36} {count:5} {begun:7} {begun / count:6.3f} {longest:9.1f}  {word}"
        yield ""
        yield "class and size of gang     tasks   accepted to bound p50 p90 max (s)"
        for (job_class, size), waits in sorted(self.waits.items()):
            yield f"{job_class:20} {size or '':5} {len(waits):6}   {spread(histogram(waits))}"
        yield "\nGPU seconds by class, and share of all"
        total = sum(self.spent.values()) or 1.0
        for (job_class, what), seconds in sorted(self.spent.items()):
            yield f"{job_class:20} {what:16} {seconds:9.0f}  {seconds / total:6.3f}"
        yield "\ngave way (tasks): to whom"
        for (job_class, other), count in self.gave_way.most_common():
            yield f"{job_class:20} {other:20} {count:6}"
        yield "\n" + ", ".join(f"{name}: {count}" for name, count in sorted(self.events.items()))
        for at, job_classes, used in self.rows:
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
    "moments",
    type=float,
    multiple=True,
    help="A moment at which the fleet is looked at (s); may be repeated.",
)
def main(log: Path, moments: tuple[float, ...]) -> None:
    """Print the tables."""
    with log.open(errors="replace") as lines:
        load = Load(events(lines), moments)
    if not load.accepted:
        click.echo(f"{log}: no event of a controller at info", err=True)
        sys.exit(2)
    for line in load.lines():
        click.echo(line)


if __name__ == "__main__":
    main()
