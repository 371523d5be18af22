"""The rules, checked on what hollow workers and users noted; the controllers have no say."""

import heapq
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from tools.scale.config import RunConfig
from tools.scale.jobs import Job, Kind, parse_job, pinned_zone, task_cpus, team_limits

# Examples that are kept of each broken rule.
EXAMPLES = 3
# Seconds by which the clocks' rounding may put events of two processes into the wrong order, and
# a tolerance for sums of CPUs.
ORDER_S = 0.01
EPSILON = 1e-6


class Event(NamedTuple):
    """One line of a log: when (s), what, of which job or task, and the rest."""

    at: float
    verb: str
    name: str
    rest: tuple


class Breach(NamedTuple):
    """A rule that was broken, and the event that showed it."""

    rule: str
    at: float
    text: str


class Placed(NamedTuple):
    """A task on a machine."""

    attempt: int
    machine: str
    zone: str


def read_events(path: Path) -> Iterator[Event]:
    """Read a log; a line that was cut short ends it."""
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            try:
                at, verb, name, *rest = json.loads(line)
            except ValueError:
                return
            yield Event(at, verb, name, tuple(rest))


def all_events(folder: Path) -> Iterator[Event]:
    """Return the events of all processes in the order of their times."""
    return heapq.merge(*(read_events(path) for path in sorted(folder.glob("*.events"))))


class Ledger:
    """What is on which machine, and what users were told, event by event."""

    def __init__(self, config: RunConfig) -> None:
        self.config = config
        self.limits = team_limits(config)
        self.placed: dict[str, Placed] = {}
        self.by_job: dict[str, set[str]] = {}
        self.used = [0.0] * config.sizes.teams
        self.cancelled: dict[str, float] = {}
        # Cancelled jobs whose time is over, to be looked at: (when, job).
        self.due_ms: list[tuple[float, str]] = []
        self.done_tasks: dict[str, set[str]] = {}
        self.asked: dict[str, float] = {}
        self.begun: dict[str, list[float]] = {}
        self.told: dict[str, str] = {}
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.most_placed = 0

    def take(self, events: Iterable[Event]) -> None:
        """Take all events, in their order."""
        for event in events:
            self._look_at_cancelled(event.at)
            getattr(self, f"_{event.verb}")(event)

    def close(self, at: float) -> None:
        """The run is over at a time: look at what is still on machines."""
        self._look_at_cancelled(at)

    def _breach(self, rule: str, event_at: float, text: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= EXAMPLES:
            self.breaches.append(Breach(rule, event_at, text))

    # --- tasks ---

    def _on(self, event: Event) -> None:
        attempt, machine, zone, _ = event.rest
        job = parse_job(event.name.partition("/")[0])
        other = self.placed.get(event.name)
        if other is not None:
            self._breach(
                "ran_twice", event.at, f"{event.name} on {machine}, still on {other.machine}"
            )
            return
        self._check_zone(event, job, zone)
        cancelled_at = self.cancelled.get(job.id)
        if cancelled_at is not None and (event.at - cancelled_at > self.config.times.cancel_s):
            self._breach(
                "ran_cancelled",
                event.at,
                f"{event.name} starts on {machine}, {event.at - cancelled_at:.1f} s after",
            )
        self.placed[event.name] = Placed(attempt, machine, zone)
        self.by_job.setdefault(job.id, set()).add(event.name)
        self.most_placed = max(self.most_placed, len(self.placed))
        self.counts["starts"] += 1
        self.begun.setdefault(job.id, []).append(event.at)
        self.used[job.team] += task_cpus(self.config, job)
        if self.used[job.team] > self.limits[job.team] + EPSILON:
            self._breach(
                "quota",
                event.at,
                f"team {job.team} uses {self.used[job.team]:g} of "
                f"{self.limits[job.team]:g} with {event.name}",
            )

    def _check_zone(self, event: Event, job: Job, zone: str) -> None:
        only = pinned_zone(self.config, job)
        if only is not None and zone != only:
            self._breach("wrong_place", event.at, f"{event.name} in {zone}, allowed is {only}")
        if job.kind == Kind.GANG:
            for name in self.by_job.get(job.id, ()):
                if self.placed[name].zone != zone:
                    self._breach(
                        "wrong_place",
                        event.at,
                        f"{event.name} in {zone}, {name} in {self.placed[name].zone}",
                    )
                    return

    def _off(self, event: Event) -> None:
        attempt, machine, _, cause = event.rest
        job = parse_job(event.name.partition("/")[0])
        if cause == "done":
            self.done_tasks.setdefault(job.id, set()).add(event.name)
        known = self.placed.get(event.name)
        if known is None or (known.attempt, known.machine) != (attempt, machine):
            return
        del self.placed[event.name]
        self.by_job[job.id].discard(event.name)
        self.used[job.team] -= task_cpus(self.config, job)
        self.counts[f"ended: {cause}"] += 1

    def _run(self, event: Event) -> None:
        self.counts["gang tasks ran"] += 1

    # --- users ---

    def _asked(self, event: Event) -> None:
        self.asked[event.name] = event.at

    def _accepted(self, event: Event) -> None:
        self.told[event.name] = "accepted"

    def _cancelling(self, event: Event) -> None:
        self.counts["cancellations asked"] += 1

    def _cancelled(self, event: Event) -> None:
        self.told[event.name] = "cancelled"
        self.cancelled[event.name] = event.at
        heapq.heappush(self.due_ms, (event.at + self.config.times.cancel_s, event.name))

    def _done(self, event: Event) -> None:
        self.told[event.name] = "done"
        job = parse_job(event.name)
        ended = len(self.done_tasks.get(event.name, ()))
        # The tasks of a gang complete together: if one is done, all are (PROTOCOL, Gangs).
        if ended < (1 if job.kind == Kind.GANG else job.tasks):
            self._breach(
                "not_done",
                event.at,
                f"{event.name} is called done with {ended} of {job.tasks} tasks",
            )

    def _forgotten(self, event: Event) -> None:
        self._breach("forgotten", event.at, event.name)

    def _look_at_cancelled(self, now: float) -> None:
        """Look at what is on machines of jobs whose time after the cancellation is over."""
        while self.due_ms and self.due_ms[0][0] + ORDER_S < now:
            at, job_id = heapq.heappop(self.due_ms)
            for name in sorted(self.by_job.get(job_id, ())):
                self._breach("ran_cancelled", at, f"{name} is on {self.placed[name].machine}")

    # --- times ---

    def waits(self, kind: Kind, whole: bool) -> list[float]:
        """Return how long the jobs of a kind waited for their first task, or for all of them, in
        seconds from when users first asked.
        """
        found = []
        for job_id, times in self.begun.items():
            job = parse_job(job_id)
            if job.kind != kind or job_id not in self.asked:
                continue
            if not whole:
                found.append(times[0] - self.asked[job_id])
            elif len(times) >= job.tasks:
                found.append(sorted(times)[job.tasks - 1] - self.asked[job_id])
        return found

    def waits_of(self, job_id: str) -> list[float]:
        """Return how long each start of one job came after its users first asked."""
        return [at - self.asked[job_id] for at in self.begun.get(job_id, ())]

    def busiest(self, seconds: float) -> float:
        """Return the most starts a second over any span of so many seconds."""
        times = sorted(at for row in self.begun.values() for at in row)
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] < at - seconds:
                first += 1
            most = max(most, last - first + 1)
        return most / seconds
