"""Calendar objects (RFC 5545): a stored object becomes one entry, or is rejected with a reason."""

from collections.abc import Iterable
from datetime import date, datetime, time, timedelta
from typing import Any, NamedTuple

from icalendar import Calendar as ICalendar

from oakmux import constants
from oakmux.schedules import zones
from oakmux.schedules.firings import Rule, RuleError, check_recurrence

COMPONENTS = ("VEVENT", "VTODO")
POLICY_PROPERTIES = {
    "X-OAKMUX-OVERLAP": "overlap",
    "X-OAKMUX-CATCH-UP": "catch_up",
    "X-OAKMUX-WINDOW-S": "window_s",
    "X-OAKMUX-JITTER-S": "jitter_s",
}


class CalendarError(ValueError):
    """A calendar object that cannot be stored; the message says why."""


class CalendarObject(NamedTuple):
    """The fields of a calendar object that define an entry."""

    uid: str
    component: str
    rule: Rule
    template: str  # as written in the object; may be empty
    policy: dict[str, Any]
    deadline_s: float | None
    inactive: bool  # cancelled or completed as a whole
    note: str


def parse(text: str, zone: str) -> CalendarObject:
    """Parse a calendar object; `zone` applies to times that name none.

    Raises CalendarError. An object is one event or to-do with its overridden instances (RFC 4791,
    section 4.1).
    """
    try:
        parsed = ICalendar.from_ical(text)
        components = [
            component for component in parsed.subcomponents if component.name != "VTIMEZONE"
        ]
        if parsed.name != "VCALENDAR":
            raise CalendarError("not a VCALENDAR")
        return _object(parsed, components, zone)
    except (CalendarError, RuleError, zones.UnknownZoneError) as error:
        raise CalendarError(str(error)) from None
    except Exception as error:  # the parser and its value types raise many kinds
        raise CalendarError(f"not iCalendar: {error!r}"[: constants.NOTE_CHARS]) from None


def _object(parsed: Any, components: list, zone: str) -> CalendarObject:
    if "METHOD" in parsed:
        raise CalendarError("METHOD: a stored object has none")
    if not components or any(component.name not in COMPONENTS for component in components):
        raise CalendarError("only VEVENT and VTODO are kept")
    if len({(component.name, str(component.get("UID", ""))) for component in components}) > 1:
        raise CalendarError("an object is one event or to-do")
    masters = [component for component in components if "RECURRENCE-ID" not in component]
    if len(masters) != 1 or not masters[0].get("UID"):
        raise CalendarError("one component with a UID and without RECURRENCE-ID is needed")
    master = masters[0]
    if "DTSTART" not in master:
        raise CalendarError("DTSTART: is missing: it says when to start")
    start = master["DTSTART"]
    rule_zone = _zone(start.dt, start.params, zone)
    first = _wall_time(start.dt, start.params, rule_zone, zone)
    recurrence = _recurrence(master, rule_zone, start.dt)
    check_recurrence(recurrence, first)
    moved = tuple(
        sorted(
            _override(component, rule_zone, zone)
            for component in components
            if component is not master
        )
    )
    rule = Rule(
        "calendar",
        rule_zone,
        recurrence,
        first,
        _wall_times(master, "RDATE", rule_zone, zone),
        _wall_times(master, "EXDATE", rule_zone, zone),
        moved,
    )
    template = str(master.get("X-OAKMUX-TEMPLATE", "")).strip() or _category(master)
    return CalendarObject(
        str(master["UID"]),
        master.name,
        rule,
        template,
        _policy(master),
        _deadline(master, first, rule_zone, zone),
        str(master.get("STATUS", "")).upper() in ("CANCELLED", "COMPLETED"),
        str(master.get("SUMMARY", ""))[: constants.NOTE_CHARS],
    )


def _zone(moment: date, params: Any, zone: str) -> str:
    """Return the zone of a date or time; `zone` is the default for those that name none."""
    if not isinstance(moment, datetime):
        return zone
    name = str(params.get("TZID", ""))
    if not name:
        return "UTC" if moment.tzinfo is not None else zone
    for candidate in (name, "/".join(name.split("/")[-2:]), getattr(moment.tzinfo, "key", name)):
        try:
            zones.zone(candidate)
            return candidate
        except zones.UnknownZoneError:
            continue
    raise CalendarError(
        f"TZID {name[: constants.LOG_TEXT_CHARS]!r}: only zones of the tz database"
    )


def _wall_time(moment: date, params: Any, rule_zone: str, zone: str) -> int:
    """Return a date or time as wall time in the rule's zone."""
    if not isinstance(moment, datetime):
        return zones.as_wall(datetime.combine(moment, time()))
    written = _zone(moment, params, zone) if moment.tzinfo is not None else rule_zone
    plain = moment.replace(tzinfo=None)
    if written == rule_zone:
        return zones.as_wall(plain)
    return zones.as_wall(zones.local(zones.instant(zones.as_wall(plain), written), rule_zone))


def _values(component: Any, name: str) -> Iterable[Any]:
    value = component.get(name, [])
    return value if isinstance(value, list) else [value]


def _wall_times(component: Any, name: str, rule_zone: str, zone: str) -> tuple[int, ...]:
    walls = []
    for line in _values(component, name):
        for value in line.dts:
            moment = value.dt[0] if isinstance(value.dt, tuple) else value.dt
            walls.append(_wall_time(moment, line.params, rule_zone, zone))
    return tuple(sorted(set(walls)))


def _recurrence(master: Any, rule_zone: str, start: date) -> str:
    value = master.get("RRULE")
    if value is None:
        return ""
    if isinstance(value, list):
        raise CalendarError("RRULE: one at most")
    for until in value.get("UNTIL", []):
        if isinstance(until, datetime) and until.tzinfo is not None:
            value["UNTIL"] = [until.astimezone(zones.zone(rule_zone)).replace(tzinfo=None)]
        elif not isinstance(until, datetime) and isinstance(start, datetime):
            value["UNTIL"] = [datetime.combine(until, time(23, 59, 59))]
    text = str(value.to_ical().decode())
    if not text:
        raise CalendarError("RRULE: is empty")
    return text


def _override(component: Any, rule_zone: str, zone: str) -> tuple[int, int | None]:
    """Return (wall time of an instance, its new wall time or None if it is cancelled)."""
    recurrence_id = component["RECURRENCE-ID"]
    if "RANGE" in recurrence_id.params:
        raise CalendarError("RECURRENCE-ID: RANGE is not kept: split the series instead")
    instance = _wall_time(recurrence_id.dt, recurrence_id.params, rule_zone, zone)
    if str(component.get("STATUS", "")).upper() in ("CANCELLED", "COMPLETED"):
        return instance, None
    start = component.get("DTSTART", recurrence_id)
    return instance, _wall_time(start.dt, start.params, rule_zone, zone)


def _category(master: Any) -> str:
    for line in _values(master, "CATEGORIES"):
        for name in getattr(line, "cats", ()):
            if str(name).lower().startswith("oakmux:"):
                return str(name).partition(":")[2].strip()
    return ""


def _policy(master: Any) -> dict[str, Any]:
    policy: dict[str, Any] = {}
    for name, field in POLICY_PROPERTIES.items():
        if name in master:
            text = str(master[name]).strip()
            policy[field] = int(text) if field.endswith("_s") else text.lower()
    return policy


def _deadline(master: Any, first: int, rule_zone: str, zone: str) -> float | None:
    """Return the seconds from a firing to its deadline: a to-do's DUE or DURATION."""
    if master.name != "VTODO":
        return None
    if "DUE" in master:
        due = master["DUE"]
        end = zones.instant(_wall_time(due.dt, due.params, rule_zone, zone), rule_zone)
        length = end - zones.instant(first, rule_zone)
    elif "DURATION" in master and isinstance(master["DURATION"].dt, timedelta):
        length = int(master["DURATION"].dt.total_seconds())
    else:
        return None
    if length <= 0:
        raise CalendarError("DUE: is not after DTSTART")
    return float(length)
