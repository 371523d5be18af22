"""Limits, settings and jobs of the small deployment that tests run.

Tests may patch these constants; the fakes read them through this module.
"""

from typing import Any

import msgspec

from oakmux.core.model import JobSpec, MachineType
from oakmux.settings import (
    CloudLimits,
    Facts,
    Peer,
    ServiceAddresses,
    Settings,
    StoreLimits,
    Team,
    UpcomingLimits,
    WorkerTimings,
)

ZONES = ["a", "b", "c"]
TYPE = MachineType("big", 8.0, 4.0, 64.0, 100.0, 1.0, 10.0, 3.0, 3.0, ZONES)
LEASE_S, REPORT_S, CANCEL_S, GANG_WAIT_S = 6.0, 1.0, 20.0, 8.0
ANSWER_S = 4.0  # a worker drops answers that take longer
STORE_LIMITS = StoreLimits(1000, 1000, 8, 12)
TEAMS = (Team("red", gpus=4, gpus_max=8), Team("blue", gpus=4, gpus_max=10))
# States in which a task counts as placed on its machine: from the end of the image fetch until it
# exits.
PLACED = ("waiting", "running", "saving")


def settings_for(
    label: str,
    count: int = 3,
    upcoming_limits: UpcomingLimits | None = None,
    teams: tuple[Team, ...] = TEAMS,
    store_limits: StoreLimits = STORE_LIMITS,
) -> Settings:
    """Return the settings of one controller of a small deployment."""
    peers = [Peer(f"h{i}", f"10.0.0.{i + 1}:81") for i in range(count) if f"h{i}" != label]
    return Settings(
        label,
        "10.0.0.1:80",
        "10.0.0.1:81",
        ServiceAddresses("10.2.0.2:1", "10.2.0.1:2"),
        Facts(
            ZONES,
            list(teams),
            WorkerTimings(REPORT_S, LEASE_S, GANG_WAIT_S, 3.0, CANCEL_S),
            msgspec.structs.replace(
                store_limits, upcoming=upcoming_limits or store_limits.upcoming
            ),
            CloudLimits(5, 2),
            count,
        ),
        peers=peers,
    )


def spec(kind: str = "array", tasks: int = 1, team: str = "red", **overrides: Any) -> JobSpec:
    """Return a job of small tasks."""
    fields: dict[str, Any] = dict(
        job_class="l",
        team=team,
        kind=kind,
        priority=1,
        tasks=tasks,
        cpus=1.0,
        gpus=1.0,
        memory_gb=4.0,
        image="i",
        image_gb=1.0,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=False,
        estimate_s=5.0,
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
    )
    return JobSpec(**{**fields, **overrides})
