"""The time of day, in which schedules are written."""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.logs import event


class WallClock:
    """The time of day: the last reading of the machine's clock plus the monotonic time since."""

    def __init__(self, context: Context) -> None:
        self.context = context
        # The time of day last read (ms since 1970), and the monotonic time (s) of that reading.
        self.last_reading: tuple[int, float] | None = None
        self.hold_until = 0.0

    def synchronize(self, time_of_day_ms: int) -> None:
        """Take a reading of the machine's clock (ms since 1970).

        After a step of the clock, all firings wait for CLOCK_STEP_HOLD_S.
        """
        if self.last_reading is not None:
            step_ms = time_of_day_ms - self.now_ms()
            if abs(step_ms) > constants.CLOCK_STEP_S * 1000:
                self.hold_until = self.context.now + constants.CLOCK_STEP_HOLD_S
                event("clock_step", step_ms=step_ms)
        self.last_reading = (time_of_day_ms, self.context.now)

    def now_ms(self) -> int:
        """Return the time of day (ms since 1970)."""
        if self.last_reading is None:
            return self.context.wall_start_ms + int(self.context.now * 1000)
        time_of_day_ms, read_at = self.last_reading
        return time_of_day_ms + int((self.context.now - read_at) * 1000)

    @property
    def is_steady(self) -> bool:
        """Whether the clock has been read, and has not stepped recently."""
        return self.last_reading is not None and self.context.now >= self.hold_until
