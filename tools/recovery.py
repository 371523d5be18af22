"""How starts and recoveries went, from the controllers' logs at LOG_LEVEL=info.

Reads lines `TIME LABEL LEVEL LOGGER event=NAME key=value ...` of all controllers, as one stream
with a common time in seconds (the bench prints them so; logs of real machines are to be merged
first). `starts` shows how long tasks waited to be bound and then to run; `losses` follows the
tasks that ran at a moment and were lost soon after, until they ran again.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import click
from hdrh.histogram import HdrHistogram

LINE = re.compile(r"\s*([\d.]+) (\S+) \w+ \S+ event=(\w+) ?(.*)")
# Waits are recorded in milliseconds, up to a day, to three digits.
HIGHEST_MS = 86_400_000


class Event(NamedTuple):
    """One line of a log."""

    at: float
    label: str
    name: str
    fields: dict[str, str]


class Attempt:
    """One start of a task, from its binding to the proof that it is gone."""

    def __init__(self, bound: float, machine: str) -> None:
        self.bound = bound
        self.machine = machine
        self.running: float | None = None
        self.gone: float | None = None
        self.why = ""


def events(lines: Iterable[str]) -> Iterator[Event]:
    """Parse log lines; what is not an event of ours is passed over."""
    for line in lines:
        found = LINE.match(line)
        if found is not None:
            at, label, name, rest = found.groups()
            fields = dict(part.split("=", 1) for part in rest.split() if "=" in part)
            yield Event(float(at), label, name, fields)


class History:
    """What the logs say of each task."""

    def __init__(self, log: Iterable[Event]) -> None:
        self.classes: dict[str, str] = {}
        self.accepted: dict[str, float] = {}
        self.tasks: dict[str, dict[str, Attempt]] = defaultdict(dict)
        self.preempted: list[float] = []
        for event in log:
            self.take(event)

    def take(self, event: Event) -> None:
        """Take one event."""
        fields = event.fields
        if event.name == "job_accepted":
            self.classes[fields["job"]] = fields["job_class"]
            self.accepted[fields["job"]] = event.at
        elif event.name == "task_preempted":
            self.preempted.append(event.at)
        elif event.name in ("task_bound", "task_running", "task_unbound"):
            attempts = self.tasks[fields["task"]]
            known = attempts.get(fields["attempt"])
            if event.name == "task_bound":
                attempts[fields["attempt"]] = Attempt(event.at, fields["machine"])
            elif known is not None and event.name == "task_running":
                known.running = known.running or event.at
            elif known is not None:
                known.gone, known.why = event.at, fields.get("why", "")

    def job_class(self, task: str) -> str:
        """Return the class of a task's job."""
        return self.classes.get(task.partition("/")[0], "unknown")


def histogram(seconds: Iterable[float]) -> HdrHistogram:
    """Return the distribution of some waits, in milliseconds."""
    found = HdrHistogram(1, HIGHEST_MS, 3)
    for value in seconds:
        found.record_value(max(1, int(value * 1000)))
    return found


def spread(found: HdrHistogram) -> str:
    """Return median, p90 and greatest of a distribution, in seconds."""
    if not found.get_total_count():
        return "     -      -      -"
    return " ".join(
        f"{found.get_value_at_percentile(share) / 1000:6.1f}" for share in (50, 90, 100)
    )


def starts(history: History, window_s: float) -> Iterator[str]:
    """Yield a line for each class and window of acceptance."""
    rows: dict[tuple[str, int], tuple[list, list, list]] = defaultdict(lambda: ([], [], []))
    for task, attempts in history.tasks.items():
        job = task.partition("/")[0]
        if job in history.accepted:
            first = next(iter(attempts.values()))
            row = rows[history.job_class(task), int(history.accepted[job] / window_s)]
            row[0].append(first.bound - history.accepted[job])
            ran = next((a for a in attempts.values() if a.running is not None), None)
            if ran is not None and ran.running is not None:
                row[1].append(ran.running - ran.bound)
                row[2].append(ran.running - history.accepted[job])
    yield (
        "class               from s  tasks  to bound p50 p90 max   bound to running"
        "       to running"
    )
    for (job_class, window), waits in sorted(rows.items()):
        yield (
            f"{job_class:18} {window * window_s:7.0f} {len(waits[0]):6}  "
            + "   ".join(spread(histogram(wait)) for wait in waits)
        )


def losses(history: History, at: float, until: float) -> Iterator[str]:
    """Yield lines on the tasks that ran at a moment and were proven lost before `until`."""
    rows: dict[str, list[tuple[float, float | None, float | None]]] = defaultdict(list)
    for task, attempts in history.tasks.items():
        order = list(attempts.values())
        for index, attempt in enumerate(order):
            if (
                attempt.running is not None
                and attempt.running <= at
                and attempt.gone is not None
                and at < attempt.gone <= until
                and attempt.why in ("lost", "peers", "alone")
            ):
                later = order[index + 1 :]
                again = next((a.running for a in later if a.running is not None), None)
                rows[history.job_class(task)].append(
                    (
                        attempt.gone - at,
                        later[0].bound - at if later else None,
                        None if again is None else again - at,
                    )
                )
    yield (
        "class               lost  not yet again   to proof p50 p90 max   to new binding"
        "        running again 50% 95% all"
    )
    for job_class, found in sorted(rows.items()):
        back = sorted(row[2] for row in found if row[2] is not None)
        marks = [
            back[max(0, int(len(found) * share) - 1)] if len(back) >= len(found) * share else None
            for share in (0.5, 0.95, 1.0)
        ]
        yield (
            f"{job_class:18} {len(found):5} {len(found) - len(back):13}   "
            f"{spread(histogram(row[0] for row in found))}   "
            f"{spread(histogram(row[1] for row in found if row[1] is not None))}   "
            + " ".join("     -" if mark is None else f"{mark:6.1f}" for mark in marks)
        )


@click.command(help=__doc__)
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--window", default=30.0, show_default=True, help="Seconds of a window of starts.")
@click.option(
    "--loss-at",
    "moments",
    type=float,
    multiple=True,
    help="A moment at which machines were lost (s); may be repeated.",
)
@click.option(
    "--within",
    default=90.0,
    show_default=True,
    help="Seconds after it within which the losses count.",
)
def main(log: Path, window: float, moments: tuple[float, ...], within: float) -> None:
    """Print the tables."""
    with log.open(errors="replace") as lines:
        history = History(events(lines))
    if not history.accepted:
        click.echo(f"{log}: no event of a controller at info", err=True)
        sys.exit(2)
    for line in starts(history, window):
        click.echo(line)
    click.echo(f"preemptions: {len(history.preempted)}")
    for at in moments:
        click.echo(f"\nlost after {at:g} s, within {within:g} s")
        for line in losses(history, at, at + within):
            click.echo(line)


if __name__ == "__main__":
    main()
