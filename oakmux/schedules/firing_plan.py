"""Planned firings: those of one entry, those due by shard, and those of one transaction."""

from collections.abc import Iterator
from itertools import takewhile
from typing import Any, NamedTuple

from oakmux.core.state.transactions import Transaction
from oakmux.schedules.firings import Firing, firings
from oakmux.schedules.records import Entry, Slot


class Urgency(NamedTuple):
    """Sort key of firings that are due together; the smallest goes first."""

    negative_priority: int
    # The latest time (s since 1970) at which the firing may begin; infinite without a deadline.
    deadline: float
    fires_at: int


class FiringPlan:
    """The upcoming firings of one entry; `firing` is the next."""

    __slots__ = ("entry", "firing", "prefetched", "slot", "tries", "upcoming", "urgency")

    def __init__(self, entry: Entry, slot: Slot) -> None:
        self.entry = entry
        self.slot = slot
        self.upcoming: Iterator[Firing] = firings(entry.rule, slot.mark)
        if entry.until:
            self.upcoming = takewhile(lambda firing: firing.at <= entry.until, self.upcoming)
        self.firing = next(self.upcoming, None)
        # The firing after the next, once `peek_following` has computed it.
        self.prefetched: list[Firing | None] = []
        self.tries = 0
        self.urgency = Urgency(0, 0.0, 0)

    def peek_following(self) -> Firing | None:
        """Return the firing after the next."""
        if not self.prefetched:
            self.prefetched.append(next(self.upcoming, None))
        return self.prefetched[0]

    def advance(self, slot: Slot) -> None:
        """Advance to the following firing; `slot` has the outcome of the previous one."""
        self.slot = slot
        self.firing = self.prefetched.pop() if self.prefetched else next(self.upcoming, None)
        self.tries = 0


class DueFirings:
    """Plans whose next firing is due, by shard; the most urgent of each shard is cached."""

    def __init__(self) -> None:
        self.shards: dict[int, dict[str, FiringPlan]] = {}
        self.shard_of: dict[str, int] = {}
        self._most_urgent: dict[int, Urgency] = {}

    def __bool__(self) -> bool:
        """Whether any firing is due."""
        return bool(self.shard_of)

    def put(self, plan: FiringPlan) -> None:
        """Add a plan; it replaces an older plan of the same entry."""
        name, shard = plan.entry.name, plan.entry.shard
        self.pop(name)
        self.shard_of[name] = shard
        self.shards.setdefault(shard, {})[name] = plan
        self._most_urgent.pop(shard, None)

    def pop(self, name: str) -> None:
        """Remove an entry's plan, if there is one."""
        shard = self.shard_of.pop(name, None)
        if shard is not None:
            plans = self.shards[shard]
            del plans[name]
            if not plans:
                del self.shards[shard]
            self._most_urgent.pop(shard, None)

    def plans_of(self, shard: int) -> list[FiringPlan]:
        """Return a shard's plans, the most urgent first."""
        return sorted(self.shards.get(shard, {}).values(), key=lambda plan: plan.urgency)

    def most_urgent(self) -> dict[int, Urgency]:
        """Return the urgency of the most urgent plan of each shard."""
        for shard, plans in self.shards.items():
            if shard not in self._most_urgent:
                self._most_urgent[shard] = min(plan.urgency for plan in plans.values())
        return self._most_urgent

    def clear(self) -> None:
        """Remove all plans."""
        self.shards.clear()
        self.shard_of.clear()
        self._most_urgent.clear()


class FiringBatch:
    """Firings of one shard that are written in one transaction."""

    def __init__(self, shard: int) -> None:
        self.shard = shard
        # The jobs' records and the conditions, without the record of the shard.
        self.contents = Transaction()
        self.slots: dict[str, Slot] = {}
        # Fields of the log events that are written once the transaction has succeeded.
        self.log_fields: list[dict[str, Any]] = []
        # The entry of each job id in the batch, in case the id is already taken.
        self.entry_of_job: dict[str, str] = {}
