"""How large a transaction may be: the store's limits, and less after it refused one.

The store refuses a transaction above its limits as a whole, each time that it is sent. Every
writer of more than a few records therefore asks before it adds a record, and after a refusal sends
less at a time. A transaction that was refused is never sent again as it was.
"""

import math
from collections import deque
from collections.abc import Callable

from oakmux import constants
from oakmux.core.state.transactions import Transaction, TransactionSize
from oakmux.logs import event
from oakmux.settings import StoreLimits

REFUSED = 400
"""Status of a transaction that the store does not accept, mostly for its size."""

CONDITIONS_PER_WRITE = 4
"""The limit on a transaction's conditions, as a multiple of the limit on its writes."""

MIN_CONDITIONS = 3
"""Conditions of the smallest write: the team's role, the job, and the record."""


def max_conditions(limits: StoreLimits) -> int:
    """Return the most conditions that a transaction may have, whatever their keys are."""
    longest = constants.CONDITION_BYTES + constants.MAX_KEY_BYTES
    return min(
        CONDITIONS_PER_WRITE * limits.txn_ops,
        constants.TRANSACTION_BYTES // longest,
    )


def max_writes(limits: StoreLimits) -> int:
    """Return the most writes that a transaction may have.

    The store takes no more writes at once than one second's worth of its rate.
    """
    return max(1, min(limits.txn_ops, int(limits.write_rps)))


def is_divisible(size: TransactionSize) -> bool:
    """Whether a transaction that was refused could be sent in smaller parts."""
    return size.writes > 1 or size.conditions > MIN_CONDITIONS


class TransactionLimits:
    """The limits on one writer's transactions.

    After a refusal they are halved, down to a single write, until REFUSAL_HOLD_S have passed
    without another one.
    """

    def __init__(self, limits: StoreLimits, clock: Callable[[], float]) -> None:
        self.configured = TransactionSize(
            max_writes(limits),
            CONDITIONS_PER_WRITE * limits.txn_ops,
            constants.TRANSACTION_BYTES,
        )
        self.clock = clock
        self._lowered = self.configured
        self._lowered_until = -math.inf
        # The newest refused transactions.
        self._refused: deque[Transaction] = deque(maxlen=constants.MAX_REFUSED_TRANSACTIONS)

    @property
    def current(self) -> TransactionSize:
        """The limits in force."""
        if self.clock() >= self._lowered_until:
            self._lowered = self.configured
        return self._lowered

    def allow(self, size: TransactionSize) -> bool:
        """Whether a transaction of this size keeps within all limits.

        A single write always has room: no value exceeds MAX_VALUE_BYTES.
        """
        current = self.current
        return (
            size.writes <= current.writes
            and size.conditions <= current.conditions
            and (size.writes <= 1 or size.bytes <= current.bytes)
        )

    def note_refused(self, transaction: Transaction) -> None:
        """Remember a transaction that the store refused (400), and send less at a time."""
        if not self.was_refused(transaction):
            self._refused.append(transaction)
        size, current = transaction.size, self.current
        self._lowered = TransactionSize(
            min(current.writes, max(1, size.writes // 2)),
            min(current.conditions, max(MIN_CONDITIONS, size.conditions // 2)),
            current.bytes,
        )
        self._lowered_until = self.clock() + constants.REFUSAL_HOLD_S
        event(
            "transaction_limits_lowered",
            refused_writes=size.writes,
            refused_conditions=size.conditions,
            refused_bytes=size.bytes,
            writes=self._lowered.writes,
            conditions=self._lowered.conditions,
            first_key=transaction.writes[0].key if transaction.writes else "none",
        )

    def may_send(self, transaction: Transaction) -> bool:
        """Whether to send a transaction; if it was refused before, the next is made smaller."""
        if not self.was_refused(transaction):
            return True
        self.note_refused(transaction)
        return False

    def was_refused(self, transaction: Transaction) -> bool:
        """Whether the store refused a transaction with the same conditions and writes."""
        return any(
            transaction.conditions == refused.conditions and transaction.writes == refused.writes
            for refused in self._refused
        )
