"""This controller's term: the fencing token of its commands, raised through the store."""

from typing import Any

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.leadership.retry import RetryTimer
from oakmux.core.messages import ReadKey, Transaction
from oakmux.core.state.keys import TERM_KEY
from oakmux.logs import event


class TermAllocator:
    """Allocates terms by compare-and-swap on one key, so that no two controllers have the same."""

    def __init__(self, context: Context, retry: RetryTimer) -> None:
        self.context = context
        self.retry = retry
        self.in_flight = False
        self.wanted = True
        self.above = 0

    def need_above(self, fencing_token: int) -> None:
        """Have a term above a token that a worker obeys."""
        if fencing_token >= self.context.term:
            self.above = max(self.above, fencing_token)
            self.wanted = True

    def tick(self) -> None:
        """Raise the term if that is wanted."""
        if not self.wanted or self.in_flight:
            return
        value, mod_revision = self.context.replica.term
        new = max(value, self.above, self.context.term) + 1
        self.in_flight = True
        self.context.call(
            lambda status, result: self._on_raised(new, status, result),
            Transaction,
            [(TERM_KEY, mod_revision)],
            [(TERM_KEY, new, None)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _on_raised(self, new: int, status: int, result: Any) -> None:
        context = self.context
        self.in_flight = False
        if status == 200:
            context.replica.apply(TERM_KEY, new, result[0])
            context.term = new
            context.incarnation = context.incarnation or new
            self.wanted = new <= self.above
            event("term_raised", term=new)
        elif status == 409:
            # Others raise it too, as all do at a cold start; failed transactions count as changes.
            spread_s = constants.TERM_RETRY_SPREAD_S * context.settings.size
            self.retry.back_off(context.rng.uniform(0.0, spread_s))
            context.call(self._on_read, ReadKey, TERM_KEY, 0)
            self.in_flight = True
        else:
            # The write may still be carried out late; its number is then simply unused.
            self.retry.back_off()

    def _on_read(self, status: int, result: Any) -> None:
        self.in_flight = False
        if status == 200:
            self.context.replica.apply(TERM_KEY, *result)
