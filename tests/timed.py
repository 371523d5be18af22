"""A simulation with schedules: skewed clocks, requests and the results of firings."""

from datetime import datetime
from typing import Any

import msgspec

from oakmux.core.messages import Command
from oakmux.core.model import JobSpec
from oakmux.schedules.messages import ServeScheduleRequest, SetTimeOfDay
from oakmux.schedules.records import RESERVED_JOB_PREFIX
from oakmux.schedules.subsystem import SchedulesSubsystem
from oakmux.settings import Settings
from tests.fakes import Simulation

SKEW_MS, WARM_S = 100.0, 14
JOB = {
    "lane": "l",
    "owner": "red",
    "shape": "array",
    "rank": "standard",
    "pieces": 1,
    "vcpus": 0.5,
    "accelerators": 0.0,
    "memory_gb": 1.0,
    "bundle": "i",
    "size_gb": 0.0,
    "together": False,
    "spread": False,
    "loaner": False,
    "guess_s": 3.0,
    "save_every_s": 0.0,
    "save_cost_s": 0.0,
}


def unix_time(text: str) -> int:
    """Convert an ISO time with UTC offset to seconds since 1970."""
    return int(datetime.fromisoformat(text).timestamp())


class ScheduleSimulation(Simulation):
    """A Simulation whose controllers run schedules; `start` is the true time at its begin."""

    def __init__(self, start: str, seed: int = 1, count: int = 3, **overrides: Any) -> None:
        self.start = unix_time(start)
        self.removed_teams: set[str] = set()
        self.without_schedules: set[str] = set()  # controllers that run without schedules
        self.offsets: dict[str, float] = {}  # seconds by which a controller's clock is ahead
        self.firings: list[tuple[float, str]] = []  # (time of the write, job)
        self.running: dict[str, list] = {}
        super().__init__(seed, count, subsystems=(SchedulesSubsystem,), **overrides)

    def boot(self, label: str) -> None:
        self.subsystems = () if label in self.without_schedules else (SchedulesSubsystem,)
        super().boot(label)

    def clock_commands(self, label: str) -> list[Command]:
        if label in self.without_schedules:
            return []
        offset = self.offsets.get(label, 0.0)
        return [SetTimeOfDay(int((self.start + self.now + offset) * 1000))]

    def on_write(self, key: str, value: Any) -> None:
        name = key.removeprefix("ox/j/")
        if name != key and name not in self.specs and value[2] is not None:
            self.specs[name] = msgspec.convert(value[2], JobSpec)
            if name.startswith(RESERVED_JOB_PREFIX):
                self.firings.append((self.start + self.now, name))

    def request(self, operation: str, label: str | None = None, **args: Any) -> tuple[int, Any]:
        """Send a request until it is answered; a 503 is retried at another controller."""
        for attempt in range(20):
            answers: list[tuple] = []
            target = label or self.labels[attempt % len(self.labels)]
            self.command(
                target,
                ServeScheduleRequest(
                    lambda *answer, answers=answers: answers.append(answer), operation, args
                ),
            )
            end = self.now + 3
            while not answers and self.now < end:
                self.run(0.1)
            if answers and (answers[0][0] != 503 or label):
                return answers[0][0], answers[0][1][1]
            self.run(0.5)
        return 0, None

    def put_template(self, name: str = "red/t", *steps: tuple, **fields: Any) -> tuple[int, Any]:
        template_steps = list(steps) or [
            ["main", {**JOB, "owner": name.partition("/")[0], **fields}, []]
        ]
        return self.request("template", name=name, steps=template_steps)

    def put_cron_entry(
        self,
        name: str,
        text: str,
        zone: str = "UTC",
        template: str = "red/t",
        until: int = 0,
        **policy: Any,
    ) -> tuple[int, Any]:
        return self.request(
            "put",
            entries=[
                {
                    "name": name,
                    "rule": {"cron": text, "zone": zone},
                    "template": template,
                    "policy": policy,
                    "until": until,
                }
            ],
        )

    def firing_history(self, name: str) -> list[tuple[str, str]]:
        """Return (local time without offset, outcome) of an entry's last firings."""
        _, body = self.request("history", name=name)
        return [(row["local"][:16], row["outcome"]) for row in body["turns"]]

    def clock_holder(self) -> str:
        """Return the controller that dispatches firings, or an empty string."""
        holders = [
            label
            for label, core in self.cores.items()
            if core is not None
            and "#clock" in core.context.held_roles
            and not self.is_cut(label, "state")
        ]
        assert len(holders) <= 1
        return holders[0] if holders else ""

    def settings(self, label: str) -> Settings:
        settings = super().settings(label)
        facts = msgspec.structs.replace(
            settings.facts,
            skew_ms=SKEW_MS,
            teams=[team for team in settings.facts.teams if team.name not in self.removed_teams],
        )
        return msgspec.structs.replace(settings, facts=facts)

    def run_until(self, text: str) -> None:
        """Run until a true time."""
        self.run(unix_time(text) - self.start - self.now)

    def advance_time_of_day(self, by: float) -> None:
        """Advance the time of day alone, as if all machines had been suspended."""
        self.start += by

    def lateness(self) -> list[float]:
        """Return the seconds after the full minute at which each firing was written."""
        return [at % 60 for at, _ in self.firings]


def settled_simulation(start: str, **overrides: Any) -> ScheduleSimulation:
    """Return a settled deployment with one template, at the time `start`."""
    sim = ScheduleSimulation(start, **overrides)
    sim.start -= WARM_S
    sim.run(WARM_S - 4)
    status, body = sim.put_template()
    assert status == 200, body
    sim.run_until(start)
    return sim
