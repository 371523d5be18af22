"""This controller's terms: the fencing tokens of its commands, allocated in the store."""

from typing import Any

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.leadership.retry import RetryTimer
from oakmux.core.messages import ReadKey, Transaction
from oakmux.core.state.keys import TERM_KEY
from oakmux.logs import event


class TermAllocator:
    """Allocates unique ranges of terms by compare-and-swap on one key.

    The key holds the highest allocated term. Earlier versions allocate one term at a time in the
    same way, so that ranges and single terms never overlap.
    """

    def __init__(self, context: Context, retry: RetryTimer) -> None:
        self.context = context
        self.retry = retry
        self.in_flight = False
        self.raise_needed = True
        self.highest_token = 0

    def need_above(self, fencing_token: int) -> None:
        """Request a term above a fencing token that a worker has accepted."""
        if fencing_token >= self.context.term:
            self.highest_token = max(self.highest_token, fencing_token)
            self.raise_needed = True

    def tick(self) -> None:
        """Raise the term if needed."""
        if not self.raise_needed or self.in_flight:
            return
        recorded, mod_revision = self.context.replica.term
        new_term = max(recorded, self.highest_token, self.context.last_term) + 1
        last_term = self.context.range_end(new_term)
        self.in_flight = True
        self.context.call(
            lambda status, result: self._on_raised(new_term, status, result),
            Transaction,
            [(TERM_KEY, mod_revision)],
            [(TERM_KEY, last_term, None)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _on_raised(self, new_term: int, status: int, result: Any) -> None:
        context = self.context
        self.in_flight = False
        if status == 200:
            context.term = new_term
            context.term_allocated_at = context.now
            context.replica.apply(TERM_KEY, context.last_term, result[0])
            context.incarnation = context.incarnation or new_term
            self.raise_needed = new_term <= self.highest_token
            event("term_raised", term=new_term, last_term=context.last_term)
        elif status == 409:
            # Other controllers raise the term too, all of them at a cold start. Retries are spread
            # over time because failed transactions count as changes.
            spread_s = constants.TERM_RETRY_SPREAD_S * context.settings.size
            self.retry.back_off(context.rng.uniform(0.0, spread_s))
            context.call(self._on_read, ReadKey, TERM_KEY, 0)
            self.in_flight = True
        else:
            # The write may still be applied late; that term then stays unused.
            self.retry.back_off()

    def _on_read(self, status: int, result: Any) -> None:
        self.in_flight = False
        if status == 200:
            self.context.replica.apply(TERM_KEY, *result)
