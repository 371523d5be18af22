"""Domain types: jobs, machine types and heartbeats."""

import re
from enum import IntEnum, StrEnum

import msgspec

JOB_ID = re.compile(r"job-[0-9]{1,18}\Z")


class Priority(IntEnum):
    """Levels of a job's priority; a higher one goes first and may preempt lower ones."""

    IDLE = 0
    STANDARD = 1
    URGENT = 2
    PRODUCTION = 3


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as its user described it."""

    job_class: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    # The allowed machine types; None allows any, an empty list none.
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    # The previous version lacks this field: it reads records without it, and ignores it in others.
    waits_on: tuple[str, ...] = ()

    @property
    def gang_scheduled(self) -> bool:
        """Whether several tasks must start together; a gang of one is placed like any task."""
        return self.kind == "gang" and self.tasks > 1


class Heartbeat(msgspec.Struct, array_like=True):
    """A worker's report; `tasks` maps (task, attempt) to (state, reason, saved)."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    notice_s: float | None
    tasks: dict[tuple[str, int], tuple[str, str, bool]]


class MachineType(msgspec.Struct, frozen=True, array_like=True):
    """A machine type of the cloud's catalogue."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


def split_task(task: str) -> tuple[str, int]:
    """Split a task id such as `job-1/3` into job id and index; raises ValueError."""
    job_id, _, index = task.partition("/")
    if not JOB_ID.match(job_id) or not index.isdigit():
        raise ValueError(task)
    return job_id, int(index)


class CommandOutcome(StrEnum):
    """The outcome of commands sent to a worker."""

    OK = "ok"
    """The worker carried out all of them."""

    REFUSED = "refused"
    """The worker refused all of them: it follows a newer term, or its agent epoch differs."""

    UNSENT = "unsent"
    """There was no connection: none was carried out."""

    LOST = "lost"
    """No usable answer: each may have been carried out, or may still be minutes later."""
