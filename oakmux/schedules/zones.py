"""Time zones from the pinned tzdata alone, so that all controllers agree on every firing."""

import zoneinfo
from datetime import UTC, datetime, timedelta, tzinfo
from functools import lru_cache

from oakmux import constants

zoneinfo.reset_tzpath(to=[])  # what the machine has installed may be older, or newer


class UnknownZoneError(ValueError):
    """A name that tzdata does not know; the text says so."""


@lru_cache(maxsize=constants.CACHED_TIME_ZONES)
def zone(name: str) -> tzinfo:
    """Return the time zone of a name like `Africa/Nairobi`; raises UnknownZoneError."""
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
    """Return the hands of a clock as seconds, as if they showed UTC: what orders local times."""
    return int(moment.replace(tzinfo=UTC).timestamp())


def from_wall(wall: int) -> datetime:
    """Return the local time, without a zone, of seconds made by `as_wall`."""
    return datetime.fromtimestamp(wall, UTC).replace(tzinfo=None)


def instant(wall: int, name: str, fold: int = 0) -> int:
    """Return the instant (s) at which a zone's clocks show a wall time.

    Shown twice: the first, or the second if `fold` is 1. Never shown: by the offset before the
    gap, thus as long after the gap's end as it would have been before it (RFC 5545, 3.3.5).
    """
    return int(from_wall(wall).replace(tzinfo=zone(name), fold=fold).timestamp())


def latest_wall(at: int, name: str) -> int:
    """Return the latest wall time (s) that a zone's clocks have shown by an instant.

    Within an hour that clocks show again, it is the hour's end: all of its first showing is over.
    """
    here = local(at, name)
    wall = as_wall(here)
    if not here.fold:
        return wall
    return max(wall, as_wall(local(offset_change_before(at, name) - 1, name)))


def offset_change_before(at: int, name: str) -> int:
    """Return the first instant of an offset that began within hours before an instant."""
    return offset_change_between(at - int(constants.CLOCK_CHANGE_MAX_S), at, name)


def offset_change_between(low: int, high: int, name: str) -> int:
    """Return the first instant after `low` that has the offset of `high`."""
    shift = local(high, name).utcoffset()
    while high - low > 1:  # the change lies between the two
        middle = (low + high) // 2
        if local(middle, name).utcoffset() == shift:
            high = middle
        else:
            low = middle
    return high


def offset_change_near(at: int, name: str) -> tuple[timedelta, timedelta] | None:
    """Return the offsets before and after if clocks were changed in the hours round an instant."""
    reach = int(constants.CLOCK_CHANGE_MAX_S)
    before = local(at - reach, name).utcoffset() or timedelta(0)
    after = local(at + reach, name).utcoffset() or timedelta(0)
    return (before, after) if before != after else None
