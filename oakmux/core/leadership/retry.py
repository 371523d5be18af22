"""Backoff after failed store operations."""

from oakmux import constants
from oakmux.core.context import Context


class RetryTimer:
    """Delays all leadership operations on the store after one of them fails."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.retry_at = 0.0

    def due(self) -> bool:
        """Whether operations may start."""
        return self.context.now >= self.retry_at

    def back_off(self, seconds: float = constants.BACKOFF_FIRST_S) -> None:
        """Delay all operations by `seconds`."""
        self.retry_at = self.context.now + seconds
