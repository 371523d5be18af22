"""The users' API: submissions and the state of jobs, and the command line's names for both."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from oakmux.codec.cbor import MAX_TEXT, MalformedError, is_amount
from oakmux.core.model import JOB_ID, JobSpec, Priority

PATH_JOBS = "/api/jobs"
CANCEL_SUFFIX = "/cancel"
PATH_HEALTH = "/healthz"

MAX_TASKS = 100_000
MAX_TYPES = 50

KINDS = {"array": "array", "ensemble": "gang", "daemon": "service"}
"""Kinds of jobs: from the protocol's name to the name in the code."""

PRIORITIES = {
    "production": Priority.PRODUCTION.value,
    "urgent": Priority.URGENT.value,
    "standard": Priority.STANDARD.value,
    "idle": Priority.IDLE.value,
}
"""Priorities of jobs: from the protocol's name to the level; higher levels go first."""

JOB_STATES = {"queued": "queued", "running": "running", "done": "done", "cancelled": "aborted"}
"""States of jobs: from the name in the code to the protocol's name."""

JOB_FIELDS = {
    "id": "id",
    "job_class": "lane",
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
"""Fields of a job: from the name in the code to the protocol's name."""

CLI_FIELDS = {
    "class" if name == "job_class" else name: wire_name for name, wire_name in JOB_FIELDS.items()
}
"""Fields of a job: from the command line's name to the protocol's name."""

CLI_KINDS = {name: wire_name for wire_name, name in KINDS.items()}
"""Kinds of jobs: from the command line's name, the same as in the code, to the protocol's name."""

CLI_PRIORITIES = {
    "production": "production",
    "high": "urgent",
    "normal": "standard",
    "low": "idle",
}
"""Priorities of jobs: from the command line's name to the protocol's name."""

_CLI_PRIORITY_OF_LEVEL = {
    PRIORITIES[wire_name]: name for name, wire_name in CLI_PRIORITIES.items()
}
_STATE_OF_ANSWER = {wire_name: name for name, wire_name in JOB_STATES.items()}


class _Submission(msgspec.Struct, rename=JOB_FIELDS):
    """A submission in its wire form, with its types checked.

    A field that may be null may also be omitted. Null is not the same as an empty list or text:
    `types` is null for any machine type, and an empty list allows none.
    """

    id: str
    job_class: str
    team: str
    kind: str
    priority: str
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    waits_on: list[str] | None = None


class _Check(NamedTuple):
    """A check of one field's value, and the reason for refusing a value that fails it."""

    field: str
    accepts: Callable[[Any], bool]
    reason: str


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_TEXT


def _is_zone(zone: str | None) -> bool:
    return zone is None or len(zone) <= MAX_TEXT


def _are_types(types: list[str] | None) -> bool:
    return types is None or (
        len(types) <= MAX_TYPES and all(len(name) <= MAX_TEXT for name in types)
    )


def _is_task_count(tasks: int) -> bool:
    return 1 <= tasks <= MAX_TASKS


def _are_job_ids(job_ids: list[str] | None) -> bool:
    return all(JOB_ID.match(job_id) for job_id in job_ids or ())


# In this order; a submission is refused for its first fault.
_CHECKS = (
    _Check("cpus", is_amount, "out of range"),
    _Check("gpus", is_amount, "out of range"),
    _Check("memory_gb", is_amount, "out of range"),
    _Check("image_gb", is_amount, "out of range"),
    _Check("estimate_s", is_amount, "out of range"),
    _Check("checkpoint_s", is_amount, "out of range"),
    _Check("save_s", is_amount, "out of range"),
    _Check("deadline_s", is_amount, "out of range"),
    _Check("job_class", _is_name, "out of range"),
    _Check("team", _is_name, "out of range"),
    _Check("image", _is_name, "out of range"),
    _Check("zone", _is_zone, "out of range"),
    _Check("types", _are_types, "out of range"),
    _Check("kind", KINDS.__contains__, "unknown"),
    _Check("priority", PRIORITIES.__contains__, "unknown"),
    _Check("tasks", _is_task_count, "out of range"),
    _Check("waits_on", _are_job_ids, "not a job id"),
)


def parse_job_id(value: Any) -> str:
    """Return the job id of a submission; raises MalformedError."""
    if not isinstance(value, dict):
        raise MalformedError("not a map")
    job_id = value.get("id")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise MalformedError("id: not a job id")
    return job_id


def parse_job(value: dict[str, Any]) -> JobSpec:
    """Return the job that a submission describes; raises MalformedError with a short reason."""
    submission = _read_submission(value)
    for field, accepts, reason in _CHECKS:
        if not accepts(getattr(submission, field)):
            raise MalformedError(f"{JOB_FIELDS[field]}: {reason}")
    return JobSpec(
        job_class=submission.job_class,
        team=submission.team,
        kind=KINDS[submission.kind],
        priority=PRIORITIES[submission.priority],
        tasks=submission.tasks,
        cpus=submission.cpus,
        gpus=submission.gpus,
        memory_gb=submission.memory_gb,
        image=submission.image,
        image_gb=submission.image_gb,
        types=submission.types,
        zone=submission.zone,
        one_zone=submission.one_zone,
        spread=submission.spread,
        spot=submission.spot,
        estimate_s=submission.estimate_s,
        checkpoint_s=submission.checkpoint_s,
        save_s=submission.save_s,
        deadline_s=submission.deadline_s,
        waits_on=tuple(dict.fromkeys(submission.waits_on or ())),
    )


def _read_submission(value: dict[str, Any]) -> _Submission:
    try:
        return msgspec.convert(value, _Submission)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise MalformedError(str(error)[:MAX_TEXT]) from None


def submission_body(job: dict[str, Any]) -> dict[str, Any]:
    """Return the submission of a job that is given with the command line's names."""
    body = {CLI_FIELDS[name]: value for name, value in job.items()}
    kind, priority = JOB_FIELDS["kind"], JOB_FIELDS["priority"]
    body[kind] = CLI_KINDS.get(body[kind], body[kind])
    body[priority] = CLI_PRIORITIES.get(body[priority], body[priority])
    return body


def job_description(spec: JobSpec) -> dict[str, Any]:
    """Return a job with the command line's names, without its id and its dependencies."""
    description = {}
    for name in CLI_FIELDS:
        if name not in ("id", "kind", "priority", "waits_on"):
            value = getattr(spec, "job_class" if name == "class" else name)
            if value is not None:
                description[name] = value
    description["kind"] = spec.kind
    description["priority"] = _CLI_PRIORITY_OF_LEVEL[spec.priority]
    return description


class JobSummary(NamedTuple):
    """The state of a job, as returned by a controller."""

    job_id: str
    state: str
    completed_tasks: int
    running_tasks: int
    waits_on: list[str]
    """Ids of the jobs that the job still waits on."""


def job_summary_body(
    job_id: str, state: str, completed_tasks: int, running_tasks: int, *waits_on: list[str]
) -> dict[str, Any]:
    """Return the answer to a job query; it lists dependencies only if they are given."""
    body: dict[str, Any] = {
        "id": job_id,
        "status": JOB_STATES[state],
        "done": completed_tasks,
        "running": running_tasks,
    }
    if waits_on:
        body["waits_on"] = waits_on[0]
    return body


def parse_job_summary(value: Any) -> JobSummary:
    """Read the answer to a job query; missing or unknown fields get default values."""
    if not isinstance(value, dict):
        return JobSummary("?", "unknown", 0, 0, [])
    waits_on = value.get("waits_on")
    return JobSummary(
        str(value.get("id")),
        _STATE_OF_ANSWER.get(value.get("status", ""), "unknown"),
        value.get("done", 0),
        value.get("running", 0),
        [str(name) for name in waits_on] if isinstance(waits_on, list) else [],
    )


def health_body(
    controller_id: str, ready: bool, term: int, roles: list[str], machines: int
) -> dict[str, Any]:
    """Return the answer to a health check."""
    return {
        "label": controller_id,
        "ready": ready,
        "term": term,
        "teams": roles,
        "machines": machines,
    }


def error_body(reason: str) -> dict[str, Any]:
    """Return the answer to a refused request."""
    return {"error": reason}
