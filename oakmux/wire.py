"""The platform's field names and their translation; no other module knows them.

Inside, the field's standard terms are used: job, task, attempt, machine, zone, team, priority,
gang, service, array, spot, lease, token, term.
"""

import math
import re
from typing import Any

import cbor2
import msgspec

JOB_ID = re.compile(r"job-[0-9]{1,18}\Z")
MAX_TASKS = 100_000
MAX_INT = 2**64
MAX_TEXT = 200

PRIORITIES = {"production": 3, "urgent": 2, "standard": 1, "idle": 0}
KINDS = {"array": "array", "ensemble": "gang", "daemon": "service"}
STATES = {
    "pulling": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "exited",
}
CAUSES = {
    "done": "done",
    "halted": "stopped",
    "peers": "peers",
    "incomplete": "alone",
    "error": "error",
    "no_room": "no_room",
    "in_use": "busy",
    "unknown": "unknown",
}
JOB_STATES = {"queued": "queued", "running": "running", "done": "done", "cancelled": "aborted"}
OPS = {"start": "launch", "stop": "halt", "forget": "forget"}
# The words that our command line uses for a job's fields and their values.
JOB_FIELDS = {
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
KIND_WORDS = {inside: platform for platform, inside in KINDS.items()}
PRIORITY_WORDS = {
    "production": "production",
    "high": "urgent",
    "normal": "standard",
    "low": "idle",
}

PATH_JOBS = "/api/jobs"
CANCEL = "/cancel"
PATH_HEALTH = "/healthz"
PATH_REPORT = "/agent/beat"
PATH_ORDERS = "/orders"
PATH_CATALOGUE = "/catalog"
PATH_MACHINES = "/hosts"
PATH_RETURN = "/hosts/return"
PATH_KV = "/kv"
PATH_TXN = "/txn"
PATH_LEASES = "/grants"
PATH_WATCH = "/watch"


class Malformed(Exception):
    """A message that can't be understood; the text is the short reason."""


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as its user described it."""

    lane: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    # The version before has no such field: it reads records that lack it, and ignores it.
    waits_on: tuple[str, ...] = ()

    @property
    def joint(self) -> bool:
        """Whether several tasks must start at once; a gang of one is placed like any task."""
        return self.kind == "gang" and self.tasks > 1


class Heartbeat(msgspec.Struct, array_like=True):
    """A worker's report; tasks maps (task, attempt) to (state, why, saved)."""

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
    """A type of the cloud's catalogue."""

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


class _Order(msgspec.Struct):
    piece: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    stored: bool | None = None


class _Beat(msgspec.Struct):
    box: str
    addr: str
    flavour: str
    site: str
    loaner: bool
    tenure: int
    tick: int
    baton: int
    pieces: list[_Order]
    warning_s: float | None = None


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


def encode(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """Decode a body; raises Malformed."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds for hostile bytes
        raise Malformed("not CBOR") from error


def job_id_of(value: Any) -> str:
    """Return the job id of a submission; raises Malformed."""
    if not isinstance(value, dict):
        raise Malformed("not a map")
    job_id = value.get("id")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise Malformed("id: not a job id")
    return job_id


def _amount(name: str, value: float | None) -> None:
    if value is not None and not (math.isfinite(value) and 0 <= value < 1e12):
        raise Malformed(f"{name}: out of range")


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
        _amount(name, getattr(raw, name))
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


def parse_heartbeat(value: Any) -> Heartbeat:
    """Check a worker's report; raises Malformed."""
    try:
        raw = msgspec.convert(value, _Beat)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise Malformed(str(error)[:MAX_TEXT]) from None
    for number in (raw.tenure, raw.tick, raw.baton):
        if not 0 <= number < MAX_INT:
            raise Malformed("integer out of range")
    _amount("warning_s", raw.warning_s)
    if not raw.box or len(raw.box) > MAX_TEXT:
        raise Malformed("box: out of range")
    tasks: dict[tuple[str, int], tuple[str, str, bool]] = {}
    for piece in raw.pieces:
        state = STATES.get(piece.status)
        if state is None:
            raise Malformed("status: unknown")
        if not 0 <= piece.attempt < MAX_INT:
            raise Malformed("try: out of range")
        try:
            split_task(piece.piece)
        except ValueError:
            raise Malformed("piece: not a task") from None
        why = CAUSES.get(piece.cause or "", "error" if state == "exited" else "")
        tasks[(piece.piece, piece.attempt)] = (state, why, bool(piece.stored))
    return Heartbeat(
        raw.box,
        raw.addr,
        raw.flavour,
        raw.site,
        raw.loaner,
        raw.tenure,
        raw.tick,
        raw.baton,
        raw.warning_s,
        tasks,
    )


def split_task(task: str) -> tuple[str, int]:
    """Split `job-1/3`; raises ValueError."""
    job_id, _, index = task.partition("/")
    if not JOB_ID.match(job_id) or not index.isdigit():
        raise ValueError(task)
    return job_id, int(index)


def order(op: str, task: str, attempt: int, grace_s: float = 0.0) -> dict:
    """Return one command for a worker."""
    made: dict[str, Any] = {"verb": OPS[op], "piece": task, "try": attempt}
    if op == "stop":
        made["mercy_s"] = grace_s
    return made


def orders_body(fencing_token: int, agent_epoch: int, orders: list[dict]) -> dict:
    """Return the body of direct orders."""
    return {"baton": fencing_token, "tenure": agent_epoch, "orders": orders}


def answer_body(answer: tuple) -> Any:
    """Turn a tagged answer of the core into a body."""
    tag = answer[0]
    if tag == "job":
        _, job_id, state, done, running, *waits_on = answer
        body = {"id": job_id, "status": JOB_STATES[state], "done": done, "running": running}
        return {**body, "waits_on": waits_on[0]} if waits_on else body
    if tag == "orders":
        return {"baton": answer[1], "orders": answer[2]}
    if tag == "report_to":
        return {"boss": answer[1]} if answer[1] else {}
    if tag == "error":
        return {"error": answer[1]}
    if tag == "health":
        return {
            "label": answer[1],
            "ready": answer[2],
            "term": answer[3],
            "teams": answer[4],
            "machines": answer[5],
        }
    if tag == "peer":
        return list(answer)
    if tag == "schedules":
        return answer[1]
    raise ValueError(f"unknown answer {tag}")


# --- state service ---------------------------------------------------------------------------


def txn_body(guards: list[tuple[str, int]], writes: list[tuple]) -> dict:
    """Return a transaction; a write is (key, value, lease) or (key,) to delete."""
    then = []
    for write in writes:
        if len(write) == 1:
            then.append({"delete": write[0]})
        else:
            put = {"write": write[0], "v": write[1]}
            if write[2] is not None:
                put["permit"] = write[2]
            then.append(put)
    return {"guards": [{"path": k, "stamp": s} for k, s in guards], "writes": then}


def parse_txn(value: Any) -> tuple[int, list[str]]:
    """Return (revision, failed keys) of a transaction's answer."""
    try:
        return int(value["epoch"]), [str(k) for k in value.get("failed", ())]
    except (TypeError, KeyError, ValueError, AttributeError):
        raise Malformed("transaction's answer") from None


def parse_rows(value: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    """Return (items, more, revision) of a list."""
    try:
        rows = [(row["path"], row["v"], row["stamp"]) for row in value["rows"]]
        return rows, bool(value["has_next"]), int(value["epoch"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("list's answer") from None


def parse_item(value: Any) -> tuple[Any, int]:
    """Return (value, version) of a key."""
    try:
        return value["v"], int(value["stamp"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("key's answer") from None


def parse_events(value: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Return (events, revision) of a watch; a deleted key has the value None."""
    try:
        events = []
        for event in value["events"]:
            if "delete" in event:
                events.append((event["delete"], None, event["stamp"]))
            else:
                events.append((event["write"], event["v"], event["stamp"]))
        return events, int(value["epoch"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("watch's answer") from None


def lease_body(life_s: float) -> dict:
    """Return the request for a lease."""
    return {"life_ms": int(life_s * 1000)}


def parse_lease(value: Any) -> int:
    """Return the lease that was granted."""
    try:
        return int(value["permit"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("lease's answer") from None


# --- cloud -----------------------------------------------------------------------------------


def parse_catalogue(value: Any) -> list[MachineType]:
    """Return the cloud's machine types."""
    try:
        return [
            MachineType(
                t["sku"],
                float(t["vcpus"]),
                float(t["accelerators"]),
                float(t["memory_gb"]),
                float(t["local_gb"]),
                float(t["pull_gb_per_s"]),
                float(t["hourly"]),
                float(t["low_price"]),
                float(t["boot_s"]),
                [str(z) for z in t["sites"]],
            )
            for t in value["flavours"]
        ]
    except (TypeError, KeyError, ValueError):
        raise Malformed("catalogue") from None


def rent_body(request: str, type_name: str, zone: str, spot: bool, count: int) -> dict:
    """Return a rental request."""
    return {"hire": request, "flavour": type_name, "site": zone, "loaner": spot, "count": count}


def return_body(machines: list[str]) -> dict:
    """Return the request that gives machines back."""
    return {"boxes": machines}


def parse_rented(value: Any) -> list[str]:
    """Return the names of rented machines."""
    try:
        return [str(name) for name in value["boxes"]]
    except (TypeError, KeyError):
        raise Malformed("rental's answer") from None


def parse_machines(value: Any) -> tuple[list[tuple], bool]:
    """Return ([(machine, addr, type, zone, spot, state, age_s)], more) of the machine list."""
    try:
        rows = [
            (
                b["id"],
                b.get("addr", ""),
                b["flavour"],
                b["site"],
                bool(b["loaner"]),
                b["status"],
                float(b["held_s"]),
            )
            for b in value["boxes"]
        ]
        return rows, bool(value["has_next"])
    except (TypeError, KeyError, ValueError, AttributeError):
        raise Malformed("machine list") from None


def is_no_capacity(value: Any) -> bool:
    """Whether a refused rental says that there are no machines."""
    return isinstance(value, dict) and value.get("error") == "no capacity"


def job_body(job: dict) -> dict:
    """Translate a job in the command line's words into a submission."""
    made = {JOB_FIELDS[name]: value for name, value in job.items()}
    made["shape"] = KIND_WORDS.get(made["shape"], made["shape"])
    made["rank"] = PRIORITY_WORDS.get(made["rank"], made["rank"])
    return made


def plain(record: Any) -> Any:
    """Return a record as values that a body can hold."""
    return msgspec.to_builtins(record)


def job_words(spec: JobSpec) -> dict:
    """Return a job in the command line's words, without an id."""
    priority = {level: name for name, level in PRIORITIES.items()}[spec.priority]
    row = {
        "lane": spec.lane,
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
    words = {platform: word for word, platform in JOB_FIELDS.items()}
    made = {words[name]: value for name, value in row.items() if value is not None}
    kind = {inside: platform for platform, inside in KINDS.items()}[spec.kind]
    return {
        **made,
        "kind": {v: k for k, v in KIND_WORDS.items()}[kind],
        "priority": {v: k for k, v in PRIORITY_WORDS.items()}[priority],
    }


def job_state(value: Any) -> tuple[str, str, int, int]:
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


def job_waits(value: Any) -> list[str]:
    """Return the jobs that a job still waits on, from an answer to a user."""
    names = value.get("waits_on") if isinstance(value, dict) else None
    return [str(name) for name in names] if isinstance(names, list) else []
