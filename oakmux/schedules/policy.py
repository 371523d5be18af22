"""Decides on one firing from its entry, the entry's slot and the time alone."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from oakmux import constants
from oakmux.schedules import records
from oakmux.schedules.firings import Firing
from oakmux.schedules.records import Entry, Slot


class Decision(NamedTuple):
    """The slot after a firing, and whether to submit its jobs and to cancel earlier ones."""

    slot: Slot
    submit: bool
    cancel_earlier: bool = False


def jitter_ms(entry: Entry) -> int:
    """Return the intended delay (ms) of all firings of an entry: always the same."""
    if not entry.policy.jitter_s:
        return 0
    digest = hashlib.blake2b(entry.name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % (entry.policy.jitter_s * 1000)


def planned_ms(entry: Entry, firing: Firing) -> int:
    """Return when a firing is to be dispatched (ms), without the allowance for clock skew."""
    return firing.at * 1000 + jitter_ms(entry)


def window_s(entry: Entry) -> int:
    """Return how late a firing may be (s); without catch-up, at most NO_CATCH_UP_S."""
    window = entry.policy.window_s
    return min(window, constants.NO_CATCH_UP_S) if entry.policy.catch_up == "none" else window


def expired(entry: Entry, firing: Firing, now_ms: int) -> bool:
    """Whether a firing is too late to be dispatched."""
    return now_ms - planned_ms(entry, firing) > window_s(entry) * 1000


def decide(
    entry: Entry,
    slot: Slot,
    firing: Firing,
    peek_following: Callable[[], Firing | None],
    now_ms: int,
    has_unfinished_jobs: Callable[[], bool],
    tries: int = 0,
) -> Decision:
    """Decide on the next firing of an entry; `peek_following` returns the firing after it.

    `has_unfinished_jobs`, whether jobs of an earlier firing may still run, is called only if the
    decision depends on it. The catch-up policy `last` dispatches the latest of several past
    firings.
    """
    following = peek_following() if entry.policy.catch_up == "last" else None
    overtaken = following is not None and planned_ms(entry, following) <= now_ms
    if overtaken or expired(entry, firing, now_ms):
        return Decision(
            slot.with_decision(
                firing.mark,
                slot.pending,
                firing.at,
                records.MISSED,
                note="overtaken" if overtaken else "",
            ),
            False,
        )
    overlap = entry.policy.overlap
    if overlap in ("skip", "queue") and (slot.pending or has_unfinished_jobs()):
        if overlap == "queue" and not slot.pending:
            return Decision(
                slot.with_decision(firing.mark, firing.at, firing.at, records.QUEUED), False
            )
        return Decision(
            slot.with_decision(firing.mark, slot.pending, firing.at, records.SKIPPED), False
        )
    submitted = slot.with_decision(firing.mark, slot.pending, firing.at, records.MADE, tries)
    return Decision(submitted, True, overlap == "replace")


def release_pending(slot: Slot, tries: int = 0) -> Decision:
    """Decide to dispatch the firing that waited for the previous one to finish."""
    return Decision(slot.with_decision(slot.mark, 0, slot.pending, records.MADE, tries), True)
