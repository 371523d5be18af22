"""Calendar objects (RFC 5545): what a client stores becomes one entry, or is refused with why."""

from collections.abc import Iterable
from datetime import date, datetime, time, timedelta
from typing import Any, NamedTuple

from icalendar import Calendar as Parsed

from oakmux import constants
from oakmux.schedules import zones
from oakmux.schedules.firings import Rule, RuleError, check_recurrence

KEPT = ("VEVENT", "VTODO")
POLICY = {
    "X-OAKMUX-OVERLAP": "overlap",
    "X-OAKMUX-CATCH-UP": "catch_up",
    "X-OAKMUX-WINDOW-S": "window_s",
    "X-OAKMUX-JITTER-S": "jitter_s",
}


class BadCalendar(ValueError):
    """A calendar object that can't be kept; the text says why."""


class Object(NamedTuple):
    """What a calendar object says of firings."""

    uid: str
    component: str
    rule: Rule
    template: str  # as the object names it: may be empty
    policy: dict[str, Any]
    deadline_s: float | None
    off: bool  # cancelled or completed as a whole
    note: str


def parse(text: str, zone: str) -> Object:
    """Return what a calendar object means; `zone` is that of times without one.

    Raises BadCalendar. An object is one event or to-do with its overridden instances (RFC 4791,
    section 4.1).
    """
    try:
        parsed = Parsed.from_ical(text)
        components = [part for part in parsed.subcomponents if part.name != "VTIMEZONE"]
        if parsed.name != "VCALENDAR":
            raise BadCalendar("not a VCALENDAR")
        return _object(parsed, components, zone)
    except (BadCalendar, RuleError, zones.UnknownZoneError) as error:
        raise BadCalendar(str(error)) from None
    except Exception as error:  # the parser's and its values' errors are of many kinds
        raise BadCalendar(f"not iCalendar: {error!r}"[: constants.NOTE_CHARS]) from None


def _object(parsed: Any, components: list, zone: str) -> Object:
    if "METHOD" in parsed:
        raise BadCalendar("METHOD: a stored object has none")
    if not components or any(part.name not in KEPT for part in components):
        raise BadCalendar("only VEVENT and VTODO are kept")
    if len({(part.name, str(part.get("UID", ""))) for part in components}) > 1:
        raise BadCalendar("an object is one event or to-do")
    masters = [part for part in components if "RECURRENCE-ID" not in part]
    if len(masters) != 1 or not masters[0].get("UID"):
        raise BadCalendar("one component with a UID and without RECURRENCE-ID is needed")
    master = masters[0]
    if "DTSTART" not in master:
        raise BadCalendar("DTSTART: is missing: it says when to start")
    start = master["DTSTART"]
    own = _zone(start.dt, start.params, zone)
    first = _wall(start.dt, start.params, own, zone)
    recurrence = _recurrence(master, own, start.dt)
    check_recurrence(recurrence, first)
    moved = tuple(sorted(_override(part, own, zone) for part in components if part is not master))
    rule = Rule(
        "calendar",
        own,
        recurrence,
        first,
        _walls(master, "RDATE", own, zone),
        _walls(master, "EXDATE", own, zone),
        moved,
    )
    template = str(master.get("X-OAKMUX-TEMPLATE", "")).strip() or _category(master)
    return Object(
        str(master["UID"]),
        master.name,
        rule,
        template,
        _policy(master),
        _deadline(master, first, own, zone),
        str(master.get("STATUS", "")).upper() in ("CANCELLED", "COMPLETED"),
        str(master.get("SUMMARY", ""))[: constants.NOTE_CHARS],
    )


def _zone(moment: date, params: Any, zone: str) -> str:
    """Return the zone in which a recurrence goes on: its start's."""
    if not isinstance(moment, datetime):
        return zone
    name = str(params.get("TZID", ""))
    if not name:
        return "UTC" if moment.tzinfo is not None else zone
    for tried in (name, "/".join(name.split("/")[-2:]), getattr(moment.tzinfo, "key", name)):
        try:
            zones.zone(tried)
            return tried
        except zones.UnknownZoneError:
            continue
    raise BadCalendar(f"TZID {name[: constants.LOG_TEXT_CHARS]!r}: only zones of the tz database")


def _wall(moment: date, params: Any, own: str, zone: str) -> int:
    """Return a date or time of an object as wall time in its zone."""
    if not isinstance(moment, datetime):
        return zones.as_wall(datetime.combine(moment, time()))
    written = _zone(moment, params, zone) if moment.tzinfo is not None else own
    plain = moment.replace(tzinfo=None)
    if written == own:
        return zones.as_wall(plain)
    return zones.as_wall(zones.local(zones.instant(zones.as_wall(plain), written), own))


def _many(part: Any, name: str) -> Iterable[Any]:
    value = part.get(name, [])
    return value if isinstance(value, list) else [value]


def _walls(part: Any, name: str, own: str, zone: str) -> tuple[int, ...]:
    found = []
    for line in _many(part, name):
        for one in line.dts:
            moment = one.dt[0] if isinstance(one.dt, tuple) else one.dt
            found.append(_wall(moment, line.params, own, zone))
    return tuple(sorted(set(found)))


def _recurrence(master: Any, own: str, start: date) -> str:
    value = master.get("RRULE")
    if value is None:
        return ""
    if isinstance(value, list):
        raise BadCalendar("RRULE: one at most")
    for until in value.get("UNTIL", []):
        if isinstance(until, datetime) and until.tzinfo is not None:
            value["UNTIL"] = [until.astimezone(zones.zone(own)).replace(tzinfo=None)]
        elif not isinstance(until, datetime) and isinstance(start, datetime):
            value["UNTIL"] = [datetime.combine(until, time(23, 59, 59))]
    return str(value.to_ical().decode())


def _override(part: Any, own: str, zone: str) -> tuple[int, int | None]:
    """Return (wall time of an instance, where it was moved to or None if cancelled)."""
    which = part["RECURRENCE-ID"]
    if "RANGE" in which.params:
        raise BadCalendar("RECURRENCE-ID: RANGE is not kept: split the series instead")
    place = _wall(which.dt, which.params, own, zone)
    if str(part.get("STATUS", "")).upper() in ("CANCELLED", "COMPLETED"):
        return place, None
    start = part.get("DTSTART", which)
    return place, _wall(start.dt, start.params, own, zone)


def _category(master: Any) -> str:
    for line in _many(master, "CATEGORIES"):
        for name in getattr(line, "cats", ()):
            if str(name).lower().startswith("oakmux:"):
                return str(name).partition(":")[2].strip()
    return ""


def _policy(master: Any) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, field in POLICY.items():
        if name in master:
            text = str(master[name]).strip()
            found[field] = int(text) if field.endswith("_s") else text.lower()
    return found


def _deadline(master: Any, first: int, own: str, zone: str) -> float | None:
    """Return the seconds from a firing to its deadline: a to-do's DUE, or DURATION."""
    if master.name != "VTODO":
        return None
    if "DUE" in master:
        due = master["DUE"]
        end = zones.instant(_wall(due.dt, due.params, own, zone), own)
        length = end - zones.instant(first, own)
    elif "DURATION" in master and isinstance(master["DURATION"].dt, timedelta):
        length = int(master["DURATION"].dt.total_seconds())
    else:
        return None
    if length <= 0:
        raise BadCalendar("DUE: is not after DTSTART")
    return float(length)
