"""Messages of workers: heartbeats, and the commands that they receive."""

from typing import Any

import msgspec

from oakmux.codec.cbor import MAX_INT, MAX_TEXT, Malformed, check_amount
from oakmux.core.model import Heartbeat, split_task

PATH_HEARTBEAT = "/agent/beat"
PATH_COMMANDS = "/orders"

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


COMMAND_VERBS = {"start": "launch", "stop": "halt", "forget": "forget"}


class _TaskStatus(msgspec.Struct):
    piece: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    stored: bool | None = None


class _HeartbeatBody(msgspec.Struct):
    box: str
    addr: str
    flavour: str
    site: str
    loaner: bool
    tenure: int
    tick: int
    baton: int
    pieces: list[_TaskStatus]
    warning_s: float | None = None


def parse_heartbeat(value: Any) -> Heartbeat:
    """Check a worker's report; raises Malformed."""
    try:
        raw = msgspec.convert(value, _HeartbeatBody)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise Malformed(str(error)[:MAX_TEXT]) from None
    for number in (raw.tenure, raw.tick, raw.baton):
        if not 0 <= number < MAX_INT:
            raise Malformed("integer out of range")
    check_amount("warning_s", raw.warning_s)
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


def command_body(op: str, task: str, attempt: int, grace_s: float = 0.0) -> dict:
    """Return one command for a worker."""
    made: dict[str, Any] = {"verb": COMMAND_VERBS[op], "piece": task, "try": attempt}
    if op == "stop":
        made["mercy_s"] = grace_s
    return made


def commands_body(fencing_token: int, agent_epoch: int, orders: list[dict]) -> dict:
    """Return the body of direct orders."""
    return {"baton": fencing_token, "tenure": agent_epoch, "orders": orders}
