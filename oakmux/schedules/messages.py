"""The controller commands that schedules add."""

from typing import Any

from oakmux.core.messages import Command


class SetTimeOfDay(Command, frozen=True):
    """A reading of the machine's clock, in milliseconds since 1970."""

    time_ms: int


class ServeScheduleRequest(Command, frozen=True):
    """A request of the command line or of a calendar client."""

    request: Any
    operation: str
    args: Any
