"""Jobs of a run. A job's id holds its description, so that all processes know it without asking.

The 18 digits of an id: kind 1, team 2, tasks 4, run time in tenths of a second 5, serial 6.
"""

from enum import IntEnum
from typing import NamedTuple

from tools.scale.config import RunConfig


class Kind(IntEnum):
    """What sort of job it is; the number is the first digit of its id."""

    ARRAY = 1
    GANG = 2
    SERVICE = 3
    PINNED = 4
    URGENT = 5


class Job(NamedTuple):
    """A job as its id describes it."""

    kind: Kind
    team: int
    tasks: int
    run_s: float
    serial: int

    @property
    def coscheduled(self) -> bool:
        """Whether its tasks run together or not at all."""
        return self.kind == Kind.GANG and self.tasks > 1

    @property
    def id(self) -> str:
        """The id under which it is submitted."""
        return (
            f"job-{self.kind:d}{self.team:02}{self.tasks:04}{round(self.run_s * 10):05}"
            f"{self.serial:06}"
        )


def parse_job(job_id: str) -> Job:
    """Read an id; raises ValueError for one that is not of a run."""
    digits = job_id.removeprefix("job-")
    if len(digits) != 18 or not digits.isdigit():
        raise ValueError(job_id)
    return Job(
        Kind(int(digits[0])),
        int(digits[1:3]),
        int(digits[3:7]),
        int(digits[7:12]) / 10,
        int(digits[12:]),
    )


def team_name(number: int) -> str:
    """Return a team's name."""
    return f"team-{number:02}"


def zone_name(number: int) -> str:
    """Return a zone's name."""
    return f"zone-{number:02}"


def task_cpus(config: RunConfig, job: Job) -> float:
    """Return the CPUs that a task takes."""
    return config.machines.service_cpus if job.kind == Kind.SERVICE else config.machines.task_cpus


def pinned_zone(config: RunConfig, job: Job) -> str | None:
    """Return the only zone that the job allows, if there is one."""
    return zone_name(job.team % config.sizes.zones) if job.kind == Kind.PINNED else None


def submission(config: RunConfig, job: Job) -> dict:
    """Return a job as users submit it."""
    shape = {Kind.GANG: "ensemble", Kind.SERVICE: "daemon"}.get(job.kind, "array")
    priority = {Kind.GANG: "urgent", Kind.URGENT: "urgent", Kind.SERVICE: "production"}.get(
        job.kind, "standard"
    )
    return {
        "id": job.id,
        "lane": job.kind.name.lower(),
        "owner": team_name(job.team),
        "shape": shape,
        "rank": priority,
        "pieces": job.tasks,
        "vcpus": task_cpus(config, job),
        "accelerators": 0.0,
        "memory_gb": 1.0,
        "bundle": f"image-{job.team % 8}",
        "size_gb": 1.0,
        "flavours": None,
        "site": pinned_zone(config, job),
        "together": job.kind == Kind.GANG,
        "spread": False,
        "loaner": True,
        "guess_s": 0.0 if job.kind == Kind.SERVICE else job.run_s,
        "save_every_s": 0.0,
        "save_cost_s": 0.0,
        "due_s": None,
    }


def team_limits(config: RunConfig) -> list[float]:
    """Return the most CPUs that each team may use: twice its even part of all machines, and of a
    hot team what its share of the starts needs as well.
    """
    total = config.sizes.workers * config.machines.cpus
    even_share = 2 * total / config.sizes.teams
    limits = [min(total, even_share)] * config.sizes.teams
    limits[0] = min(total, even_share + total * config.traffic.hot_team_share)
    return limits
