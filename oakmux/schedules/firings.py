"""When a rule fires: cron expressions and recurrences of calendars, without state.

Each firing has a mark, which orders the firings of one rule and identifies them, and an instant.
The mark of a rule that names hours and minutes is wall time: should the zone's own rules change,
a day's firing stays that day's. The mark of a cron expression whose minute or hour is a star is
the instant: it means "every so often", also in an hour that clocks show twice.
"""

import calendar
import heapq
import re
from collections.abc import Iterator
from datetime import date, timedelta
from typing import NamedTuple

import msgspec
from cronsim import CronSim, CronSimError
from dateutil import rrule

from oakmux import constants
from oakmux.schedules import zones

ALIASES = {
    "@hourly": "0 * * * *",
    "@daily": "0 0 * * *",
    "@midnight": "0 0 * * *",
    "@weekly": "0 0 * * 0",
    "@monthly": "0 0 1 * *",
    "@yearly": "0 0 1 1 *",
    "@annually": "0 0 1 1 *",
}
STEPS = {"HOURLY": timedelta(hours=1), "DAILY": timedelta(days=1), "WEEKLY": timedelta(weeks=1)}
ONE = re.compile(r"\b(\d+)-\1(?!\d)(/\d+)?")
WEEKDAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")
FIRST_COUNTS = "clocks show this hour twice: only the first counts"
RULE_PART = re.compile(r"([A-Z]+)=([A-Z0-9+,:-]+)\Z")


class RuleError(ValueError):
    """A rule that can't be kept; the text says why."""


class Rule(msgspec.Struct, frozen=True, array_like=True):
    """When to run. Wall times are seconds as of `zones.as_wall`.

    A cron rule is its five fields in `text`. A calendar's rule is its RRULE (or none), the first
    firing, RDATEs, EXDATEs, and instances that are moved to another wall time or cancelled (None).
    """

    kind: str
    zone: str
    text: str = ""
    start: int = 0
    more: tuple[int, ...] = ()
    without: tuple[int, ...] = ()
    moved: tuple[tuple[int, int | None], ...] = ()


class Firing(NamedTuple):
    """One firing: what orders it, when it is (s, UTC), and what a change of clocks did to it."""

    mark: int
    at: int
    why: str = ""


def cron_rule(text: str, zone: str) -> Rule:
    """Return the rule of a cron expression or alias; raises RuleError."""
    fields = ALIASES.get(text.strip().lower(), text).split()
    if fields == ["@reboot"]:
        raise RuleError("@reboot: nothing is booted here; submit a job instead")
    if len(fields) != 5:
        raise RuleError(f"five fields are needed, not {len(fields)}")
    # A range of one value with a step, like 0-0/2 among days of the week, is read as an open one.
    made = Rule("cron", zone, " ".join(ONE.sub(r"\1", field) for field in fields))
    try:
        next(firings(made, 0))
    except CronSimError as error:
        raise RuleError(str(error)) from None
    except StopIteration:
        raise RuleError("no such day ever comes") from None
    return made


def by_instant(rule: Rule) -> bool:
    """Whether the rule means "every so often" rather than certain times of the day."""
    return rule.kind == "cron" and any(field.startswith("*") for field in rule.text.split()[:2])


def mark_at(rule: Rule, at: int) -> int:
    """Return the mark up to which all firings are over at an instant (s)."""
    return at if by_instant(rule) else zones.latest_wall(at, rule.zone)


def firings(rule: Rule, after: int, explain: bool = False) -> Iterator[Firing]:
    """Yield the firings whose mark is above `after`, in order.

    What a change of clocks did to one is told only if asked for: it takes as long as the firing.
    """
    if rule.kind == "cron":
        return _cron(rule, after, explain)
    return _calendar(rule, after, explain)


def _cron(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    """Yield the firings of an expression: the library counts on the clock's face alone.

    What a change of clocks does is decided here: given a zone, the library lost a star's firing
    after Lord Howe's change by half an hour.
    """
    return _stars(rule, after, explain) if by_instant(rule) else _fixed(rule, after, explain)


def _fixed(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    last = after
    for moment in CronSim(rule.text, zones.from_wall(after)):
        wall = zones.as_wall(moment)
        at = zones.instant(wall, rule.zone)
        mark, why = zones.as_wall(zones.local(at, rule.zone)), ""
        if mark != wall:
            at = zones.offset_change_before(at, rule.zone)
            mark = zones.as_wall(zones.local(at, rule.zone))
            why = "its time is not shown that day: clocks go ahead, so at the gap's end"
        elif explain and zones.instant(wall, rule.zone, 1) != at:
            why = FIRST_COUNTS
        if mark > last:
            last = mark
            yield Firing(mark, at, why)


def _stars(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    start = zones.as_wall(zones.local(after, rule.zone))
    if zones.offset_change_near(after, rule.zone):
        start -= int(constants.CLOCK_CHANGE_MAX_S)
    held: list[Firing] = []  # second showings come after first ones of later wall times
    twice = "clocks show this hour twice: so often runs in both" if explain else ""
    for moment in CronSim(rule.text, zones.from_wall(start)):
        wall = zones.as_wall(moment)
        first, second = (zones.instant(wall, rule.zone, fold) for fold in (0, 1))
        if zones.as_wall(zones.local(first, rule.zone)) != wall:
            continue  # not shown
        while held and held[0].at < first:
            yield heapq.heappop(held)
        for at in sorted({first, second}):
            if at > after:
                heapq.heappush(held, Firing(at, at, twice if first != second else ""))
    while held:
        yield heapq.heappop(held)


def skipped(rule: Rule, start: int, end: int) -> list[int]:
    """Return the wall times in a span of instants (s) that a star rule would have had in a gap."""
    if rule.kind != "cron" or not by_instant(rule):
        return []
    change = zones.offset_change_near((start + end) // 2, rule.zone)
    if change is None or change[1] <= change[0]:
        return []
    at = zones.offset_change_between(start, end, rule.zone)
    first = zones.as_wall(zones.local(at - 1, rule.zone))
    last = zones.as_wall(zones.local(at, rule.zone))
    found: list[int] = []
    for moment in CronSim(rule.text, zones.from_wall(first)):
        wall = zones.as_wall(moment)
        if wall >= last or len(found) >= constants.SHOWN_FIRINGS:
            break
        found.append(wall)
    return found


# --- calendars ---


def check_recurrence(text: str, start: int) -> None:
    """Refuse a RRULE that we can't keep; raises RuleError."""
    if not text:
        return
    parts = _parts(text)
    freq = parts.get("FREQ", "")
    if freq not in (*STEPS, "MONTHLY", "YEARLY"):
        raise RuleError(f"RRULE: FREQ={freq or 'none'}: hours are the finest that is kept")
    rare = {"BYWEEKNO", "BYYEARDAY", "BYEASTER"} & set(parts)
    if rare:
        raise RuleError(f"RRULE: {min(rare)} is not kept: name months and days")
    if "COUNT" in parts and "UNTIL" in parts:
        raise RuleError("RRULE: COUNT and UNTIL exclude each other")
    for name in ("COUNT", "INTERVAL"):
        value = parts.get(name, "1")
        if not value.isdigit() or not 0 < int(value) <= constants.RRULE_MAX_COUNT:
            raise RuleError(f"RRULE: {name} must be 1 to {constants.RRULE_MAX_COUNT}")
    if "BYSECOND" in parts or ("BYMINUTE" in parts and freq == "HOURLY"):
        raise RuleError("RRULE: minutes are not the finest that is kept")
    if start < 0:
        raise RuleError("DTSTART: a rule that recurs begins in 1970 or later")
    try:
        _parse(text, start)
        comes = _comes(parts, start)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise RuleError(f"RRULE: {error}") from None
    if not comes:
        raise RuleError("RRULE: has no instance in years")


def _parts(text: str) -> dict[str, str]:
    """Return the parts of a RRULE; raises RuleError."""
    parts = {}
    for part in text.upper().split(";"):
        match = RULE_PART.match(part)
        if match is None:
            raise RuleError(f"RRULE: {part[: constants.LOG_TEXT_CHARS]!r} is not a part of a rule")
        parts[match[1]] = match[2]
    return parts


def _parse(text: str, start: int) -> rrule.rrule:
    made = rrule.rrulestr(text.upper(), dtstart=zones.from_wall(start))
    assert isinstance(made, rrule.rrule)
    return made


def _comes(parts: dict[str, str], start: int) -> bool:
    """Whether a recurrence has an instance within its horizon, by its days alone.

    The library goes on to the year 9999 for one that has none, like 30 February: for a rule by
    days that took 30 s, in which a controller would have stood still.
    """
    freq, interval = parts["FREQ"], int(parts.get("INTERVAL", "1"))
    first = zones.from_wall(start).date()
    months = _numbers(parts.get("BYMONTH", ""))
    of_month = _numbers(parts.get("BYMONTHDAY", ""))
    days = [
        (int(text[:-2] or 0), WEEKDAYS.index(text[-2:]))
        for text in parts.get("BYDAY", "").split(",")
        if text
    ]
    if not (months or of_month or days) and freq not in ("MONTHLY", "YEARLY"):
        return True
    if not (of_month or days):
        of_month = [first.day]
        if freq == "YEARLY" and not months:
            months = [first.month]
    place = max((abs(n) for n in _numbers(parts.get("BYSETPOS", ""))), default=1)
    times = [len(_numbers(parts.get(name, ""))) or 1 for name in ("BYHOUR", "BYMINUTE")]
    found: dict[tuple, int] = {}
    for shift in range(constants.RECURRENCE_HORIZON_DAYS[freq]):
        day = first + timedelta(days=shift)
        phase, period = _period(freq, first, day)
        length = calendar.monthrange(day.year, day.month)[1]
        if (
            (phase % interval and freq != "HOURLY")
            or (months and day.month not in months)
            or (of_month and day.day not in of_month and day.day - length - 1 not in of_month)
            or (
                days
                and not any(
                    _is_nth(day, n, weekday, freq == "YEARLY" and not months)
                    for n, weekday in days
                )
            )
        ):
            continue
        found[period] = found.get(period, 0) + times[0] * times[1]
        if found[period] >= place:
            return True
    return False


def _numbers(text: str) -> list[int]:
    return [int(number) for number in text.split(",") if number]


def _period(freq: str, first: date, day: date) -> tuple[int, tuple]:
    """Return how many periods a day is after the first, and which it lies in."""
    if freq == "YEARLY":
        return day.year - first.year, (day.year,)
    if freq == "MONTHLY":
        return ((day.year - first.year) * 12 + day.month - first.month, (day.year, day.month))
    if freq == "WEEKLY":
        begin = first - timedelta(days=first.weekday())
        return (day - begin).days // 7, day.isocalendar()[:2]
    return (day - first).days, (day,)


def _is_nth(day: date, number: int, weekday: int, of_year: bool) -> bool:
    """Whether a day is such a weekday, and which of its month or year if that is said."""
    if day.weekday() != weekday or not number:
        return day.weekday() == weekday
    if of_year:
        place, length = day.timetuple().tm_yday, 366 if calendar.isleap(day.year) else 365
    else:
        place, length = day.day, calendar.monthrange(day.year, day.month)[1]
    return number in ((place - 1) // 7 + 1, -((length - place) // 7 + 1))


def _instances(rule: Rule, after: int) -> Iterator[int]:
    """Yield the wall times of a RRULE in order, those before `after` left out where it is cheap.

    A rule by hours, days or weeks without COUNT is started a whole number of its own intervals
    later: the same instances, without going through years of them.
    """
    start = rule.start
    parts = _parts(rule.text)
    step = STEPS.get(parts.get("FREQ", ""))
    if step is not None and "COUNT" not in parts:
        unit = int(step.total_seconds()) * int(parts.get("INTERVAL", "1"))
        start += max(0, (after - start) // unit - 1) * unit
    # The first instance is the start itself, whether the rule names it or not.
    if start == rule.start:
        yield start
    seen = 0
    for moment in _parse(rule.text, start):
        wall = zones.as_wall(moment)
        seen += 1
        if wall <= rule.start or wall <= after:
            if seen > constants.RRULE_MAX_COUNT:
                return
            continue
        seen = 0
        yield wall


def _calendar(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    """Yield firings in the order of their instants, each instant once.

    The mark is the wall time that clocks show at the firing.
    """
    moved = dict(rule.moved)
    gone = set(rule.without)
    extra = sorted(
        {w for w in rule.more if w not in moved and w not in gone}
        | {new for new in moved.values() if new is not None}
    )
    reach = int(constants.CLOCK_CHANGE_MAX_S)
    regular = _instances(rule, after - reach) if rule.text else iter([rule.start])
    plain = (wall for wall in regular if wall not in moved and wall not in gone)
    last = after
    held: list[Firing] = []  # one that clocks skip may come after others that are later on paper
    for wall in _merge(extra, plain):
        while held and held[0].mark <= wall:
            firing = heapq.heappop(held)
            if firing.mark > last:
                last = firing.mark
                yield firing
        at = zones.instant(wall, rule.zone)
        shown = zones.as_wall(zones.local(at, rule.zone))
        if shown > last:
            why = _why_wall(wall, shown, at, rule.zone) if explain else ""
            heapq.heappush(held, Firing(shown, at, why))
    while held:
        firing = heapq.heappop(held)
        if firing.mark > last:
            last = firing.mark
            yield firing


def _merge(extra: list[int], plain: Iterator[int]) -> Iterator[int]:
    """Merge two ascending runs of wall times."""
    queue = list(reversed(extra))
    for wall in plain:
        while queue and queue[-1] <= wall:
            yield queue.pop()
        yield wall
    while queue:
        yield queue.pop()


def _why_wall(wall: int, shown: int, at: int, zone: str) -> str:
    if shown != wall:
        return f"{zones.from_wall(wall):%H:%M} is not shown that day: clocks go ahead"
    return FIRST_COUNTS if zones.instant(wall, zone, 1) != at else ""
