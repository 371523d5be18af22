"""Rate limits enforced before sending, to avoid refusals: token buckets, bursts and backoff."""

import asyncio
import random

from oakmux import constants


class TokenBucket:
    """Tokens that refill at `rate` (tokens a second), up to `seconds` worth of tokens."""

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
        """Consume tokens; a cost above the bucket's size takes the level below zero."""
        self.level -= cost


class BurstAllowance:
    """Number of writes that users may make ahead of the controller's share of the rate.

    If all controllers used the full allowance at once, at a cold start, after an outage or after a
    crash of all, they would exceed the store's limit. So the allowance grows from zero, and again
    from zero when the store refused a request or did not answer. Once it has grown, the
    controllers' bursts are independent of each other.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.growing_since: float | None = None

    def reset(self, now: float) -> None:
        """Start again from zero, after a refused or unanswered request."""
        self.growing_since = now

    def allowed(self, now: float) -> float:
        """Return the number of writes allowed ahead of the share."""
        if self.growing_since is None:
            self.growing_since = now
        grown_share = min(1.0, (now - self.growing_since) / constants.USER_ADVANCE_GROWTH_S)
        return self.rate * constants.USER_ADVANCE_S * grown_share


async def pause(failures: int) -> None:
    """Wait before a retry: exponential backoff, bounded, with jitter."""
    max_delay_s = min(constants.BACKOFF_FIRST_S * 2 ** min(failures, 10), constants.BACKOFF_MAX_S)
    await asyncio.sleep(max_delay_s * random.uniform(0.5, 1.0))
