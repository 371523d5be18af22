"""Report start and recovery times from the controllers' logs at LOG_LEVEL=info.

The input is one stream of lines `TIME LABEL LEVEL LOGGER event=NAME key=value ...` from all
controllers, with TIME in seconds on a common clock. The bench prints this format; logs of real
machines have to be merged first. `starts` shows how long tasks wait to be bound and then to run.
`losses` follows the tasks that run at a given time and are lost soon after, until they run again.
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
# Longest recorded wait: one day, in milliseconds. Histograms keep three significant digits.
MAX_WAIT_MS = 86_400_000


class Event(NamedTuple):
    """One log line; `at` is its time in seconds, `label` names the controller."""

    at: float
    label: str
    name: str
    fields: dict[str, str]


class Attempt:
    """One attempt of a task, from its binding to the proof that it is gone (`unbound_at`)."""

    def __init__(self, bound_at: float, machine: str) -> None:
        self.bound_at = bound_at
        self.machine = machine
        self.running_at: float | None = None
        self.unbound_at: float | None = None
        self.reason = ""


def parse_events(lines: Iterable[str]) -> Iterator[Event]:
    """Parse log lines; skip lines that are not events."""
    for line in lines:
        match = LINE.match(line)
        if match is not None:
            at, label, name, pairs = match.groups()
            fields = dict(pair.split("=", 1) for pair in pairs.split() if "=" in pair)
            yield Event(float(at), label, name, fields)


class History:
    """The attempts of each task, and when each job is accepted."""

    def __init__(self, log: Iterable[Event]) -> None:
        self.classes: dict[str, str] = {}
        self.accepted_at: dict[str, float] = {}
        self.tasks: dict[str, dict[str, Attempt]] = defaultdict(dict)
        self.preempted: list[float] = []
        for event in log:
            self.add_event(event)

    def add_event(self, event: Event) -> None:
        """Update the history from one event."""
        fields = event.fields
        if event.name == "job_accepted":
            self.classes[fields["job"]] = fields["job_class"]
            self.accepted_at[fields["job"]] = event.at
        elif event.name == "task_preempted":
            self.preempted.append(event.at)
        elif event.name in ("task_bound", "task_running", "task_unbound"):
            attempts = self.tasks[fields["task"]]
            attempt = attempts.get(fields["attempt"])
            if event.name == "task_bound":
                attempts[fields["attempt"]] = Attempt(event.at, fields["machine"])
            elif attempt is not None and event.name == "task_running":
                attempt.running_at = attempt.running_at or event.at
            elif attempt is not None:
                attempt.unbound_at, attempt.reason = event.at, fields.get("why", "")

    def job_class(self, task: str) -> str:
        """Return the class of a task's job."""
        return self.classes.get(task.partition("/")[0], "unknown")


def histogram(seconds: Iterable[float]) -> HdrHistogram:
    """Return the distribution of waits given in seconds; it counts in milliseconds."""
    waits = HdrHistogram(1, MAX_WAIT_MS, 3)
    for value in seconds:
        waits.record_value(max(1, int(value * 1000)))
    return waits


def percentiles_text(waits: HdrHistogram) -> str:
    """Return the median, 90th percentile and maximum of a distribution, in seconds."""
    if not waits.get_total_count():
        return "     -      -      -"
    return " ".join(
        f"{waits.get_value_at_percentile(percentile) / 1000:6.1f}" for percentile in (50, 90, 100)
    )


def starts(history: History, window_s: float) -> Iterator[str]:
    """Yield a table with one row per job class and window of acceptance times."""
    waits_by_window: dict[tuple[str, int], tuple[list, list, list]] = defaultdict(
        lambda: ([], [], [])
    )
    for task, attempts in history.tasks.items():
        job = task.partition("/")[0]
        if job in history.accepted_at:
            first = next(iter(attempts.values()))
            waits = waits_by_window[
                history.job_class(task), int(history.accepted_at[job] / window_s)
            ]
            waits[0].append(first.bound_at - history.accepted_at[job])
            running = next((a for a in attempts.values() if a.running_at is not None), None)
            if running is not None and running.running_at is not None:
                waits[1].append(running.running_at - running.bound_at)
                waits[2].append(running.running_at - history.accepted_at[job])
    yield (
        "class               from s  tasks  to bound p50 p90 max   bound to running"
        "       to running"
    )
    for (job_class, window), waits in sorted(waits_by_window.items()):
        yield (
            f"{job_class:18} {window * window_s:7.0f} {len(waits[0]):6}  "
            + "   ".join(percentiles_text(histogram(wait)) for wait in waits)
        )


def losses(history: History, at: float, until: float) -> Iterator[str]:
    """Yield a table of the tasks that run at time `at` and are proven lost by `until`."""
    delays_by_class: dict[str, list[tuple[float, float | None, float | None]]] = defaultdict(list)
    for task, attempts in history.tasks.items():
        in_order = list(attempts.values())
        for index, attempt in enumerate(in_order):
            if (
                attempt.running_at is not None
                and attempt.running_at <= at
                and attempt.unbound_at is not None
                and at < attempt.unbound_at <= until
                and attempt.reason in ("lost", "peers", "alone")
            ):
                later = in_order[index + 1 :]
                rerun_at = next((a.running_at for a in later if a.running_at is not None), None)
                delays_by_class[history.job_class(task)].append(
                    (
                        attempt.unbound_at - at,
                        later[0].bound_at - at if later else None,
                        None if rerun_at is None else rerun_at - at,
                    )
                )
    yield (
        "class               lost  not yet again   to proof p50 p90 max   to new binding"
        "        running again 50% 95% all"
    )
    for job_class, delays in sorted(delays_by_class.items()):
        rerun_delays = sorted(row[2] for row in delays if row[2] is not None)
        rerun_marks = [
            rerun_delays[max(0, int(len(delays) * share) - 1)]
            if len(rerun_delays) >= len(delays) * share
            else None
            for share in (0.5, 0.95, 1.0)
        ]
        yield (
            f"{job_class:18} {len(delays):5} {len(delays) - len(rerun_delays):13}   "
            f"{percentiles_text(histogram(row[0] for row in delays))}   "
            f"{percentiles_text(histogram(row[1] for row in delays if row[1] is not None))}   "
            + " ".join("     -" if mark is None else f"{mark:6.1f}" for mark in rerun_marks)
        )


@click.command(help=__doc__)
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--window", default=30.0, show_default=True, help="Length of an acceptance window (s)."
)
@click.option(
    "--loss-at",
    "loss_times",
    type=float,
    multiple=True,
    help="Time at which machines were lost (s); may be repeated.",
)
@click.option(
    "--within",
    default=90.0,
    show_default=True,
    help="Losses count up to this long after the time of loss (s).",
)
def main(log: Path, window: float, loss_times: tuple[float, ...], within: float) -> None:
    """Print the tables of starts and losses."""
    with log.open(errors="replace") as lines:
        history = History(parse_events(lines))
    if not history.accepted_at:
        click.echo(
            f"{log}: no event `job_accepted`; controllers log it at LOG_LEVEL=info", err=True
        )
        sys.exit(2)
    for line in starts(history, window):
        click.echo(line)
    click.echo(f"preemptions: {len(history.preempted)}")
    for at in loss_times:
        click.echo(f"\ntasks lost within {within:g} s after {at:g} s")
        for line in losses(history, at, at + within):
            click.echo(line)


if __name__ == "__main__":
    main()
