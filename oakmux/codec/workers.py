"""The protocol with workers: heartbeats, and the commands that workers receive."""

from typing import Any

import msgspec

from oakmux.codec.cbor import MAX_INT, MAX_TEXT, MalformedError, is_amount
from oakmux.core.model import Heartbeat, split_task
from oakmux.task_status import ERROR, EXITED

PATH_HEARTBEAT = "/agent/beat"
PATH_COMMANDS = "/orders"

STATES = {
    "pulling": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "exited",
}
"""States of a task on its machine: from the protocol's name to the name in the code."""

EXIT_REASONS = {
    "done": "done",
    "halted": "stopped",
    "peers": "peers",
    "incomplete": "alone",
    "error": "error",
    "no_room": "no_room",
    "in_use": "busy",
    "unknown": "unknown",
}
"""Reasons for which a task exited: from the protocol's name to the name in the code."""

COMMAND_VERBS = {"start": "launch", "stop": "halt", "forget": "forget"}
"""Commands to a worker: from the name in the code to the protocol's name."""

_TASK_FIELDS = {
    "task": "piece",
    "attempt": "try",
    "state": "status",
    "exit_reason": "cause",
    "saved": "stored",
}
_HEARTBEAT_FIELDS = {
    "machine": "box",
    "address": "addr",
    "type": "flavour",
    "zone": "site",
    "spot": "loaner",
    "agent_epoch": "tenure",
    "sequence": "tick",
    "fencing_token": "baton",
    "tasks": "pieces",
    "notice_s": "warning_s",
}


class _TaskReport(msgspec.Struct, rename=_TASK_FIELDS):
    """The status of one attempt at a task, in its wire form."""

    task: str
    attempt: int
    state: str
    exit_reason: str | None = None
    saved: bool | None = None


class _HeartbeatBody(msgspec.Struct, rename=_HEARTBEAT_FIELDS):
    """A heartbeat in its wire form, with its types checked."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    tasks: list[_TaskReport]
    notice_s: float | None = None


def parse_heartbeat(value: Any) -> Heartbeat:
    """Check a worker's heartbeat; raises MalformedError."""
    try:
        body = msgspec.convert(value, _HeartbeatBody)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise MalformedError(str(error)[:MAX_TEXT]) from None
    for number in (body.agent_epoch, body.sequence, body.fencing_token):
        if not 0 <= number < MAX_INT:
            raise MalformedError("integer out of range")
    if not is_amount(body.notice_s):
        raise MalformedError(f"{_HEARTBEAT_FIELDS['notice_s']}: out of range")
    if not 0 < len(body.machine) <= MAX_TEXT:
        raise MalformedError(f"{_HEARTBEAT_FIELDS['machine']}: out of range")
    return Heartbeat(
        body.machine,
        body.address,
        body.type,
        body.zone,
        body.spot,
        body.agent_epoch,
        body.sequence,
        body.fencing_token,
        body.notice_s,
        _parse_tasks(body.tasks),
    )


def _parse_tasks(reports: list[_TaskReport]) -> dict[tuple[str, int], tuple[str, str, bool]]:
    """Return (state, exit reason, saved) of each (task, attempt)."""
    tasks: dict[tuple[str, int], tuple[str, str, bool]] = {}
    for report in reports:
        state = STATES.get(report.state)
        if state is None:
            raise MalformedError(f"{_TASK_FIELDS['state']}: unknown")
        if not 0 <= report.attempt < MAX_INT:
            raise MalformedError(f"{_TASK_FIELDS['attempt']}: out of range")
        try:
            split_task(report.task)
        except ValueError:
            raise MalformedError(f"{_TASK_FIELDS['task']}: not a task") from None
        # A missing or unknown exit reason counts as an error of the task.
        unknown_reason = ERROR if state == EXITED else ""
        exit_reason = EXIT_REASONS.get(report.exit_reason or "", unknown_reason)
        tasks[(report.task, report.attempt)] = (state, exit_reason, bool(report.saved))
    return tasks


def command_body(kind: str, task: str, attempt: int, grace_s: float = 0.0) -> dict[str, Any]:
    """Return a command to a worker: start, stop or forget; only a stop has a grace period."""
    body: dict[str, Any] = {"verb": COMMAND_VERBS[kind], "piece": task, "try": attempt}
    if kind == "stop":
        body["mercy_s"] = grace_s
    return body


def commands_body(
    fencing_token: int, agent_epoch: int, commands: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the body of a request that sends commands to a worker."""
    return {"baton": fencing_token, "tenure": agent_epoch, "orders": commands}


def commands_answer_body(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the answer to a heartbeat: commands for the worker."""
    return {"baton": fencing_token, "orders": commands}


def report_to_body(controller_id: str | None) -> dict[str, Any]:
    """Return the answer to a heartbeat that names the controller to send heartbeats to."""
    return {"boss": controller_id} if controller_id else {}
