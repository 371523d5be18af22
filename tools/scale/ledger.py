"""Checks the rules on the events of hollow workers and users, independently of controllers."""

import heapq
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from tools.scale.config import RunConfig
from tools.scale.jobs import Job, Kind, parse_job, pinned_zone, task_cpus, team_limits

# Breaches of each rule that are kept as examples.
EXAMPLES = 3
# Rounded times may put events of two processes into the wrong order by up to this (s).
CLOCK_TOLERANCE_S = 0.01
# Tolerance for sums of CPUs.
CPU_TOLERANCE = 1e-6


class Event(NamedTuple):
    """One line of a log: time (s), verb, name of the job or task, and the other fields."""

    at: float
    verb: str
    name: str
    fields: tuple


class Breach(NamedTuple):
    """A broken rule, and the time and description of the event that broke it."""

    rule: str
    at: float
    text: str


class Placement(NamedTuple):
    """The attempt, machine and zone of a task that is on a machine."""

    attempt: int
    machine: str
    zone: str


def read_events(path: Path) -> Iterator[Event]:
    """Read a log up to its end or the first truncated line."""
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            try:
                at, verb, name, *fields = json.loads(line)
            except ValueError:
                return
            yield Event(at, verb, name, tuple(fields))


def all_events(folder: Path) -> Iterator[Event]:
    """Return the events of all processes in order of time."""
    return heapq.merge(*(read_events(path) for path in sorted(folder.glob("*.events"))))


class Ledger:
    """Tasks on machines and answers to users, updated by one event at a time."""

    def __init__(self, config: RunConfig) -> None:
        self.config = config
        self.cpu_limits = team_limits(config)
        self.placements: dict[str, Placement] = {}
        self.by_job: dict[str, set[str]] = {}
        self.cpus_used = [0.0] * config.sizes.teams
        self.cancelled_at: dict[str, float] = {}
        # Heap of (time, job): at this time no task of the cancelled job may be on a machine (s).
        self.cancel_deadlines: list[tuple[float, str]] = []
        self.done_tasks: dict[str, set[str]] = {}
        self.submitted_at: dict[str, float] = {}
        self.start_times: dict[str, list[float]] = {}
        self.reported_status: dict[str, str] = {}
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.max_placed = 0

    def apply_events(self, events: Iterable[Event]) -> None:
        """Apply events in order of time; an event's verb selects the method `_<verb>`."""
        for event in events:
            self._check_cancelled(event.at)
            getattr(self, f"_{event.verb}")(event)

    def close(self, at: float) -> None:
        """End the run at a time: check the tasks that are still on machines."""
        self._check_cancelled(at)

    def _record_breach(self, rule: str, event_at: float, text: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= EXAMPLES:
            self.breaches.append(Breach(rule, event_at, text))

    # --- tasks ---

    def _on(self, event: Event) -> None:
        attempt, machine, zone, _ = event.fields
        job = parse_job(event.name.partition("/")[0])
        other = self.placements.get(event.name)
        if other is not None:
            self._record_breach(
                "ran_twice", event.at, f"{event.name} on {machine}, still on {other.machine}"
            )
            return
        self._check_zone(event, job, zone)
        cancelled_at = self.cancelled_at.get(job.id)
        if cancelled_at is not None and (event.at - cancelled_at > self.config.times.cancel_s):
            self._record_breach(
                "ran_cancelled",
                event.at,
                f"{event.name} starts on {machine}, {event.at - cancelled_at:.1f} s after",
            )
        self.placements[event.name] = Placement(attempt, machine, zone)
        self.by_job.setdefault(job.id, set()).add(event.name)
        self.max_placed = max(self.max_placed, len(self.placements))
        self.counts["starts"] += 1
        self.start_times.setdefault(job.id, []).append(event.at)
        self.cpus_used[job.team] += task_cpus(self.config, job)
        if self.cpus_used[job.team] > self.cpu_limits[job.team] + CPU_TOLERANCE:
            self._record_breach(
                "quota",
                event.at,
                f"team {job.team} uses {self.cpus_used[job.team]:g} of "
                f"{self.cpu_limits[job.team]:g} with {event.name}",
            )

    def _check_zone(self, event: Event, job: Job, zone: str) -> None:
        required_zone = pinned_zone(self.config, job)
        if required_zone is not None and zone != required_zone:
            self._record_breach(
                "wrong_place", event.at, f"{event.name} in {zone}, allowed is {required_zone}"
            )
        if job.kind == Kind.GANG:
            for name in self.by_job.get(job.id, ()):
                if self.placements[name].zone != zone:
                    self._record_breach(
                        "wrong_place",
                        event.at,
                        f"{event.name} in {zone}, {name} in {self.placements[name].zone}",
                    )
                    return

    def _off(self, event: Event) -> None:
        attempt, machine, _, cause = event.fields
        job = parse_job(event.name.partition("/")[0])
        if cause == "done":
            self.done_tasks.setdefault(job.id, set()).add(event.name)
        placement = self.placements.get(event.name)
        if placement is None or (placement.attempt, placement.machine) != (attempt, machine):
            return
        del self.placements[event.name]
        self.by_job[job.id].discard(event.name)
        self.cpus_used[job.team] -= task_cpus(self.config, job)
        self.counts[f"ended: {cause}"] += 1

    def _run(self, event: Event) -> None:
        self.counts["gang tasks ran"] += 1

    # --- users ---

    def _asked(self, event: Event) -> None:
        self.submitted_at[event.name] = event.at

    def _accepted(self, event: Event) -> None:
        self.reported_status[event.name] = "accepted"

    def _cancelling(self, event: Event) -> None:
        self.counts["cancellations asked"] += 1

    def _cancelled(self, event: Event) -> None:
        self.reported_status[event.name] = "cancelled"
        self.cancelled_at[event.name] = event.at
        heapq.heappush(self.cancel_deadlines, (event.at + self.config.times.cancel_s, event.name))

    def _done(self, event: Event) -> None:
        self.reported_status[event.name] = "done"
        job = parse_job(event.name)
        ended = len(self.done_tasks.get(event.name, ()))
        # The tasks of a gang complete together: if one is done, all are.
        if ended < (1 if job.kind == Kind.GANG else job.tasks):
            self._record_breach(
                "not_done",
                event.at,
                f"{event.name} is called done with {ended} of {job.tasks} tasks",
            )

    def _forgotten(self, event: Event) -> None:
        self._record_breach("forgotten", event.at, event.name)

    def _check_cancelled(self, now: float) -> None:
        """Record a breach for each task on a machine `cancel_s` after its job was cancelled."""
        while self.cancel_deadlines and self.cancel_deadlines[0][0] + CLOCK_TOLERANCE_S < now:
            at, job_id = heapq.heappop(self.cancel_deadlines)
            for name in sorted(self.by_job.get(job_id, ())):
                self._record_breach(
                    "ran_cancelled", at, f"{name} is on {self.placements[name].machine}"
                )

    # --- times ---

    def wait_times(self, kind: Kind, all_tasks: bool) -> list[float]:
        """Return how long each job of a kind waited for its first or for all tasks to start.

        Times are in seconds since the user's first submission.
        """
        wait_times_s = []
        for job_id, times in self.start_times.items():
            job = parse_job(job_id)
            if job.kind != kind or job_id not in self.submitted_at:
                continue
            if not all_tasks:
                wait_times_s.append(times[0] - self.submitted_at[job_id])
            elif len(times) >= job.tasks:
                wait_times_s.append(sorted(times)[job.tasks - 1] - self.submitted_at[job_id])
        return wait_times_s

    def start_delays(self, job_id: str) -> list[float]:
        """Return the seconds from a job's first submission to the start of each of its tasks."""
        return [at - self.submitted_at[job_id] for at in self.start_times.get(job_id, ())]

    def peak_start_rate(self, seconds: float) -> float:
        """Return the highest mean of starts per second over any span of `seconds`."""
        times = sorted(at for job_times in self.start_times.values() for at in job_times)
        max_starts, first = 0, 0
        for last, at in enumerate(times):
            while times[first] < at - seconds:
                first += 1
            max_starts = max(max_starts, last - first + 1)
        return max_starts / seconds
