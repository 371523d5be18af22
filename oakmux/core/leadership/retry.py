"""When operations on the store that failed may be tried again."""

from oakmux import constants
from oakmux.core.context import Context


class RetryTimer:
    """Holds up all of leadership's operations for a while after one of them failed."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.retry_at = 0.0

    def due(self) -> bool:
        """Whether operations may be started."""
        return self.context.now >= self.retry_at

    def back_off(self, seconds: float = constants.BACKOFF_FIRST_S) -> None:
        """Start nothing for so many seconds."""
        self.retry_at = self.context.now + seconds
