"""Rate limits that are kept rather than run into: token buckets, advances and back-off."""

import asyncio
import random

from oakmux import constants


class TokenBucket:
    """Tokens that refill at a rate (tokens a second), up to `seconds` worth of it."""

    def __init__(self, rate: float, seconds: float = 1.0) -> None:
        self.rate = max(rate, 0.1)
        self.burst = max(rate * seconds, 1.0)
        self.level = self.burst
        self.refilled_at: float | None = None

    def wait(self, now: float, cost: float) -> float:
        """Return the seconds until there are `cost` tokens, or a full bucket for a higher cost."""
        if self.refilled_at is not None:
            self.level = min(self.burst, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        return max(0.0, (min(cost, self.burst) - self.level) / self.rate)

    def consume(self, cost: float) -> None:
        """Take tokens; the level may fall below zero for a cost above the bucket."""
        self.level -= cost


class BurstAllowance:
    """How many writes users may use in advance of a controller's share of the rate.

    All controllers going ahead at once would break the limit that the share keeps: at a cold
    start, after an outage, after a crash of all. So the allowance grows from nothing, and does so
    anew whenever the service refused or did not answer; what others do is independent by then.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.growing_since: float | None = None

    def reset(self, now: float) -> None:
        """Start again from nothing, since something was refused or not answered."""
        self.growing_since = now

    def allowed(self, now: float) -> float:
        """Return the writes that may be used in advance."""
        if self.growing_since is None:
            self.growing_since = now
        grown_share = min(1.0, (now - self.growing_since) / constants.USER_ADVANCE_GROWTH_S)
        return self.rate * constants.USER_ADVANCE_S * grown_share


async def pause(failures: int) -> None:
    """Wait before another try: doubling, bounded, with jitter."""
    max_delay_s = min(constants.BACKOFF_FIRST_S * 2 ** min(failures, 10), constants.BACKOFF_MAX_S)
    await asyncio.sleep(max_delay_s * random.uniform(0.5, 1.0))
