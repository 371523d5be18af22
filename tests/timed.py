"""A simulation with schedules: skewed clocks, requests, and the results of firings."""

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


def seconds(text: str) -> int:
    """Return an ISO time with its offset as seconds since 1970."""
    return int(datetime.fromisoformat(text).timestamp())


class Timed(Simulation):
    """A Simulation whose controllers keep schedules; `start` is the true time at its begin."""

    def __init__(self, start: str, seed: int = 1, count: int = 3, **more: Any) -> None:
        self.start = seconds(start)
        self.gone_teams: set[str] = set()
        self.off: set[str] = set()  # controllers that run without schedules
        self.offsets: dict[str, float] = {}  # how far a controller's clock is ahead, in s
        self.made: list[tuple[float, str]] = []  # (time of writing, job) of turns
        self.running: dict[str, list] = {}
        super().__init__(seed, count, parts=(SchedulesSubsystem,), **more)

    def boot(self, label: str) -> None:
        self.parts = () if label in self.off else (SchedulesSubsystem,)
        super().boot(label)

    def clock_commands(self, label: str) -> list[Command]:
        if label in self.off:
            return []
        ahead = self.offsets.get(label, 0.0)
        return [SetTimeOfDay(int((self.start + self.now + ahead) * 1000))]

    def written(self, key: str, value: Any) -> None:
        name = key.removeprefix("ox/j/")
        if name != key and name not in self.specs and value[2] is not None:
            self.specs[name] = msgspec.convert(value[2], JobSpec)
            if name.startswith(RESERVED_JOB_PREFIX):
                self.made.append((self.start + self.now, name))

    def ask_for(self, operation: str, label: str | None = None, **args: Any) -> tuple[int, Any]:
        """Make a request and go on until it is answered; tries other controllers on a 503."""
        for turn in range(20):
            box: list[tuple] = []
            to = label or self.labels[turn % len(self.labels)]
            self.command(
                to,
                ServeScheduleRequest(lambda *answer, box=box: box.append(answer), operation, args),
            )
            end = self.now + 3
            while not box and self.now < end:
                self.run(0.1)
            if box and (box[0][0] != 503 or label):
                return box[0][0], box[0][1][1]
            self.run(0.5)
        return 0, None

    def template(self, name: str = "red/t", *steps: tuple, **fields: Any) -> tuple[int, Any]:
        rows = list(steps) or [["main", {**JOB, "owner": name.partition("/")[0], **fields}, []]]
        return self.ask_for("template", name=name, steps=rows)

    def cron(
        self,
        name: str,
        text: str,
        zone: str = "UTC",
        template: str = "red/t",
        until: int = 0,
        **policy: Any,
    ) -> tuple[int, Any]:
        return self.ask_for(
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

    def past(self, name: str) -> list[tuple[str, str]]:
        """Return (local time without its offset, outcome) of an entry's last turns."""
        _, body = self.ask_for("history", name=name)
        return [(row["local"][:16], row["outcome"]) for row in body["turns"]]

    def holder(self) -> str:
        """Return which controller makes the turns."""
        held = [
            label
            for label, core in self.cores.items()
            if core is not None
            and "#clock" in core.context.held_roles
            and not self.cut(label, "state")
        ]
        assert len(held) <= 1
        return held[0] if held else ""

    def settings(self, label: str) -> Settings:
        conf = super().settings(label)
        facts = msgspec.structs.replace(
            conf.facts,
            skew_ms=SKEW_MS,
            teams=[team for team in conf.facts.teams if team.name not in self.gone_teams],
        )
        return msgspec.structs.replace(conf, facts=facts)

    def until(self, text: str) -> None:
        """Go on until a true time."""
        self.run(seconds(text) - self.start - self.now)

    def skip(self, by: float) -> None:
        """Let the time of day run on while all else stands still, as if all machines slept."""
        self.start += by

    def late(self) -> list[float]:
        """Return by how many seconds after a full minute each turn was written."""
        return [at % 60 for at, _ in self.made]


def settled(start: str, **more: Any) -> Timed:
    """Return a deployment that has settled, with a template, at the time `start`."""
    sim = Timed(start, **more)
    sim.start -= WARM_S
    sim.run(WARM_S - 4)
    status, body = sim.template()
    assert status == 200, body
    sim.until(start)
    return sim
