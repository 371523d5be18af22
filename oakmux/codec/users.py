"""The API for users: submissions, the state of jobs, and the command line's words for both."""

from typing import Any

import msgspec

from oakmux.codec.cbor import MAX_TEXT, Malformed, check_amount
from oakmux.core.model import JOB_ID, JobSpec

MAX_TASKS = 100_000

PATH_JOBS = "/api/jobs"
CANCEL_SUFFIX = "/cancel"
PATH_HEALTH = "/healthz"

PRIORITIES = {"production": 3, "urgent": 2, "standard": 1, "idle": 0}


KINDS = {"array": "array", "ensemble": "gang", "daemon": "service"}


JOB_STATES = {"queued": "queued", "running": "running", "done": "done", "cancelled": "aborted"}


CLI_FIELDS = {
    "id": "id",
    "class": "lane",
    "team": "owner",
    "kind": "shape",
    "priority": "rank",
    "tasks": "pieces",
    "cpus": "vcpus",
    "gpus": "accelerators",
    "memory_gb": "memory_gb",
    "image": "bundle",
    "image_gb": "size_gb",
    "types": "flavours",
    "zone": "site",
    "one_zone": "together",
    "spread": "spread",
    "spot": "loaner",
    "estimate_s": "guess_s",
    "checkpoint_s": "save_every_s",
    "save_s": "save_cost_s",
    "deadline_s": "due_s",
    "waits_on": "waits_on",
}


CLI_KINDS = {inside: platform for platform, inside in KINDS.items()}


CLI_PRIORITIES = {
    "production": "production",
    "high": "urgent",
    "normal": "standard",
    "low": "idle",
}


class _Submission(msgspec.Struct):
    id: str
    lane: str
    owner: str
    shape: str
    rank: str
    pieces: int
    vcpus: float
    accelerators: float
    memory_gb: float
    bundle: str
    size_gb: float
    together: bool
    spread: bool
    loaner: bool
    guess_s: float
    save_every_s: float
    save_cost_s: float
    flavours: list[str] | None = None
    site: str | None = None
    due_s: float | None = None
    waits_on: list[str] | None = None


def parse_job_id(value: Any) -> str:
    """Return the job id of a submission; raises Malformed."""
    if not isinstance(value, dict):
        raise Malformed("not a map")
    job_id = value.get("id")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise Malformed("id: not a job id")
    return job_id


def parse_job(value: dict) -> JobSpec:
    """Check a submission; raises Malformed with a short reason."""
    try:
        raw = msgspec.convert(value, _Submission)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise Malformed(str(error)[:MAX_TEXT]) from None
    for name in (
        "vcpus",
        "accelerators",
        "memory_gb",
        "size_gb",
        "guess_s",
        "save_every_s",
        "save_cost_s",
        "due_s",
    ):
        check_amount(name, getattr(raw, name))
    for name in ("lane", "owner", "bundle"):
        if not 0 < len(getattr(raw, name)) <= MAX_TEXT:
            raise Malformed(f"{name}: out of range")
    if raw.site is not None and len(raw.site) > MAX_TEXT:
        raise Malformed("site: out of range")
    if raw.flavours is not None and (
        len(raw.flavours) > 50 or any(len(name) > MAX_TEXT for name in raw.flavours)
    ):
        raise Malformed("flavours: out of range")
    if raw.shape not in KINDS:
        raise Malformed("shape: unknown")
    if raw.rank not in PRIORITIES:
        raise Malformed("rank: unknown")
    if not 1 <= raw.pieces <= MAX_TASKS:
        raise Malformed("pieces: out of range")
    waits_on = tuple(dict.fromkeys(raw.waits_on or ()))
    if not all(JOB_ID.match(name) for name in waits_on):
        raise Malformed("waits_on: not a job id")
    return JobSpec(
        raw.lane,
        raw.owner,
        KINDS[raw.shape],
        PRIORITIES[raw.rank],
        raw.pieces,
        raw.vcpus,
        raw.accelerators,
        raw.memory_gb,
        raw.bundle,
        raw.size_gb,
        raw.flavours or None,
        raw.site,
        raw.together,
        raw.spread,
        raw.loaner,
        raw.guess_s,
        raw.save_every_s,
        raw.save_cost_s,
        raw.due_s,
        waits_on,
    )


def submission_body(job: dict) -> dict:
    """Translate a job in the command line's words into a submission."""
    made = {CLI_FIELDS[name]: value for name, value in job.items()}
    made["shape"] = CLI_KINDS.get(made["shape"], made["shape"])
    made["rank"] = CLI_PRIORITIES.get(made["rank"], made["rank"])
    return made


def job_description(spec: JobSpec) -> dict:
    """Return a job in the command line's words, without an id."""
    priority = {level: name for name, level in PRIORITIES.items()}[spec.priority]
    row = {
        "lane": spec.job_class,
        "owner": spec.team,
        "pieces": spec.tasks,
        "vcpus": spec.cpus,
        "accelerators": spec.gpus,
        "memory_gb": spec.memory_gb,
        "bundle": spec.image,
        "size_gb": spec.image_gb,
        "flavours": spec.types,
        "site": spec.zone,
        "together": spec.one_zone,
        "spread": spec.spread,
        "loaner": spec.spot,
        "guess_s": spec.estimate_s,
        "save_every_s": spec.checkpoint_s,
        "save_cost_s": spec.save_s,
        "due_s": spec.deadline_s,
    }
    words = {platform: word for word, platform in CLI_FIELDS.items()}
    made = {words[name]: value for name, value in row.items() if value is not None}
    kind = {inside: platform for platform, inside in KINDS.items()}[spec.kind]
    return {
        **made,
        "kind": {v: k for k, v in CLI_KINDS.items()}[kind],
        "priority": {v: k for k, v in CLI_PRIORITIES.items()}[priority],
    }


def parse_job_state(value: Any) -> tuple[str, str, int, int]:
    """Return (job, state, done, running) of an answer to a user."""
    if not isinstance(value, dict):
        return "?", "unknown", 0, 0
    words = {platform: inside for inside, platform in JOB_STATES.items()}
    return (
        str(value.get("id")),
        words.get(value.get("status", ""), "unknown"),
        value.get("done", 0),
        value.get("running", 0),
    )


def parse_dependencies(value: Any) -> list[str]:
    """Return the jobs that a job still waits on, from an answer to a user."""
    names = value.get("waits_on") if isinstance(value, dict) else None
    return [str(name) for name in names] if isinstance(names, list) else []
