"""Time zones from the pinned tzdata only, so that all controllers agree on every firing."""

import zoneinfo
from datetime import UTC, datetime, timedelta, tzinfo
from functools import lru_cache

from oakmux import constants

zoneinfo.reset_tzpath(to=[])  # the system's tzdata may be older or newer


class UnknownZoneError(ValueError):
    """A zone name that tzdata does not have."""


@lru_cache(maxsize=constants.CACHED_TIME_ZONES)
def zone(name: str) -> tzinfo:
    """Return the time zone with a name like `Africa/Nairobi`; raises UnknownZoneError."""
    if name == "UTC":
        return UTC
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        raise UnknownZoneError(f"unknown time zone {name[: constants.LOG_TEXT_CHARS]!r}") from None


def local(at: int, name: str) -> datetime:
    """Return an instant (s since 1970, UTC) as the local time of a zone."""
    return datetime.fromtimestamp(at, zone(name))


def as_wall(moment: datetime) -> int:
    """Return a local time as seconds since 1970, read as if it were UTC: orders local times."""
    return int(moment.replace(tzinfo=UTC).timestamp())


def from_wall(wall: int) -> datetime:
    """Return the local time, without a zone, of a value from `as_wall`."""
    return datetime.fromtimestamp(wall, UTC).replace(tzinfo=None)


def instant(wall: int, name: str, fold: int = 0) -> int:
    """Return the instant (s) at which a zone's clocks show a wall time.

    A wall time that occurs twice means the first occurrence, or the second if `fold` is 1. A wall
    time in a gap is read with the offset before the gap, so that it is shown later by the length
    of the gap (RFC 5545, 3.3.5).
    """
    return int(from_wall(wall).replace(tzinfo=zone(name), fold=fold).timestamp())


def latest_wall(at: int, name: str) -> int:
    """Return the latest wall time (s) that a zone's clocks have shown by an instant.

    While clocks repeat an hour, this is the end of the hour, which they have shown once in full.
    """
    here = local(at, name)
    wall = as_wall(here)
    if not here.fold:
        return wall
    return max(wall, as_wall(local(offset_change_before(at, name) - 1, name)))


def offset_change_before(at: int, name: str) -> int:
    """Return when the offset at an instant began: at most CLOCK_CHANGE_MAX_S earlier."""
    return offset_change_between(at - int(constants.CLOCK_CHANGE_MAX_S), at, name)


def offset_change_between(low: int, high: int, name: str) -> int:
    """Return the first instant after `low` with the offset of `high`; one change lies between."""
    shift = local(high, name).utcoffset()
    while high - low > 1:  # bisect
        middle = (low + high) // 2
        if local(middle, name).utcoffset() == shift:
            high = middle
        else:
            low = middle
    return high


def offset_change_near(at: int, name: str) -> tuple[timedelta, timedelta] | None:
    """Return the offsets before and after a change within CLOCK_CHANGE_MAX_S of an instant."""
    reach = int(constants.CLOCK_CHANGE_MAX_S)
    before = local(at - reach, name).utcoffset() or timedelta(0)
    after = local(at + reach, name).utcoffset() or timedelta(0)
    return (before, after) if before != after else None
