"""The commands that schedules add to those of the controller."""

from typing import Any

from oakmux.core.messages import Command


class SetTimeOfDay(Command, frozen=True):
    """The machine's clock shows this time, in milliseconds since 1970."""

    time_ms: int


class ServeScheduleRequest(Command, frozen=True):
    """A request of the command line or of a calendar client."""

    request: Any
    operation: str
    args: Any
