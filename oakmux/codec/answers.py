"""Bodies of the controller's answers to requests, by the kind of the answer."""

from collections.abc import Callable
from typing import Any

from oakmux.codec.users import error_body, health_body, job_summary_body
from oakmux.codec.workers import commands_answer_body, report_to_body


def _peer_answer_body(*fields: Any) -> list[Any]:
    return ["peer", *fields]


def _schedules_answer_body(value: Any) -> Any:
    return value


_BODIES: dict[str, Callable[..., Any]] = {
    "job": job_summary_body,
    "orders": commands_answer_body,
    "report_to": report_to_body,
    "error": error_body,
    "health": health_body,
    "peer": _peer_answer_body,
    "schedules": _schedules_answer_body,
}


def answer_body(answer: tuple[Any, ...]) -> Any:
    """Return the body of an answer (a kind followed by its fields); raises ValueError."""
    body_of = _BODIES.get(answer[0])
    if body_of is None:
        raise ValueError(f"unknown kind of answer: {answer[0]}")
    return body_of(*answer[1:])
