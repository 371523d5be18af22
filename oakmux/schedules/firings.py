"""When a rule fires: cron expressions and calendar recurrences, without state.

Each firing has an instant and a mark. The mark orders and identifies the firings of one rule:

- For a rule that names hours and minutes, the mark is wall time. If the rules of the time zone
  change, a day's firing remains that day's.
- For a cron expression whose minute or hour is a star, the mark is the instant: the expression
  means "every so often", also in an hour that clocks show twice.
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
FIXED_PERIODS = {
    "HOURLY": timedelta(hours=1),
    "DAILY": timedelta(days=1),
    "WEEKLY": timedelta(weeks=1),
}
SINGLE_VALUE_RANGE = re.compile(r"\b(\d+)-\1(?!\d)(/\d+)?")
WEEKDAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")
SHOWN_TWICE = "clocks show this hour twice: only the first counts"
RULE_PART = re.compile(r"([A-Z]+)=([A-Z0-9+,:-]+)\Z")


class RuleError(ValueError):
    """A rule that is invalid or unsupported; the text gives the reason."""


class Rule(msgspec.Struct, frozen=True, array_like=True):
    """When to run. Wall times are seconds as of `zones.as_wall`.

    A cron rule has its five fields in `text`. A calendar rule has its RRULE (or none) in `text`,
    its first firing in `start`, its RDATEs and EXDATEs, and in `moved` the instances that are
    moved to another wall time or cancelled (None).
    """

    kind: str
    zone: str
    text: str = ""
    start: int = 0
    rdates: tuple[int, ...] = ()
    exdates: tuple[int, ...] = ()
    moved: tuple[tuple[int, int | None], ...] = ()


class Firing(NamedTuple):
    """One firing: its mark, its instant (s, UTC), and how a clock change affects it."""

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
    # CronSim reads a range of one value with a step, like 0-0/2 as weekday, as an open range.
    rule = Rule("cron", zone, " ".join(SINGLE_VALUE_RANGE.sub(r"\1", field) for field in fields))
    try:
        next(firings(rule, 0))
    except CronSimError as error:
        raise RuleError(str(error)) from None
    except StopIteration:
        raise RuleError("no such day ever comes") from None
    return rule


def by_instant(rule: Rule) -> bool:
    """Whether the rule means "every so often" rather than certain times of the day."""
    return rule.kind == "cron" and any(field.startswith("*") for field in rule.text.split()[:2])


def mark_at(rule: Rule, at: int) -> int:
    """Return the mark up to which all firings are over at an instant (s)."""
    return at if by_instant(rule) else zones.latest_wall(at, rule.zone)


def firings(rule: Rule, after: int, explain: bool = False) -> Iterator[Firing]:
    """Yield the firings whose mark is above `after`, in order.

    The effect of a clock change on a firing is fully explained only with `explain`: finding it
    takes as long as finding the firing.
    """
    if rule.kind == "cron":
        return _cron_firings(rule, after, explain)
    return _calendar_firings(rule, after, explain)


def _cron_firings(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    """Yield the firings of a cron expression; CronSim computes wall times without a zone.

    Clock changes are handled here: with a zone, CronSim omits a star expression's firing after
    Lord Howe's clock change of half an hour.
    """
    return (
        _instant_firings(rule, after, explain)
        if by_instant(rule)
        else _wall_time_firings(rule, after, explain)
    )


def _wall_time_firings(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
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
            why = SHOWN_TWICE
        if mark > last:
            last = mark
            yield Firing(mark, at, why)


def _instant_firings(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    start = zones.as_wall(zones.local(after, rule.zone))
    if zones.offset_change_near(after, rule.zone):
        start -= int(constants.CLOCK_CHANGE_MAX_S)
    pending: list[Firing] = []  # a second showing comes after first showings of later wall times
    shown_twice = "clocks show this hour twice: so often runs in both" if explain else ""
    for moment in CronSim(rule.text, zones.from_wall(start)):
        wall = zones.as_wall(moment)
        first, second = (zones.instant(wall, rule.zone, fold) for fold in (0, 1))
        if zones.as_wall(zones.local(first, rule.zone)) != wall:
            continue  # clocks skip this wall time
        while pending and pending[0].at < first:
            yield heapq.heappop(pending)
        for at in sorted({first, second}):
            if at > after:
                heapq.heappush(pending, Firing(at, at, shown_twice if first != second else ""))
    while pending:
        yield heapq.heappop(pending)


def skipped_by_clock_change(rule: Rule, start: int, end: int) -> list[int]:
    """Return a star rule's wall times that a clock change skips between two instants (s)."""
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
    """Check that an RRULE is supported; raises RuleError."""
    if not text:
        return
    parts = _rrule_parts(text)
    freq = parts.get("FREQ", "")
    if freq not in (*FIXED_PERIODS, "MONTHLY", "YEARLY"):
        raise RuleError(f"RRULE: FREQ={freq or 'none'}: hours are the finest that is kept")
    unsupported = {"BYWEEKNO", "BYYEARDAY", "BYEASTER"} & set(parts)
    if unsupported:
        raise RuleError(f"RRULE: {min(unsupported)} is not kept: name months and days")
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
        _parse_rrule(text, start)
        has_instance = _has_instance(parts, start)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise RuleError(f"RRULE: {error}") from None
    if not has_instance:
        raise RuleError("RRULE: has no instance in years")


def _rrule_parts(text: str) -> dict[str, str]:
    """Return the parts of an RRULE by name; raises RuleError."""
    parts = {}
    for part in text.upper().split(";"):
        match = RULE_PART.match(part)
        if match is None:
            raise RuleError(f"RRULE: {part[: constants.LOG_TEXT_CHARS]!r} is not a part of a rule")
        parts[match[1]] = match[2]
    return parts


def _parse_rrule(text: str, start: int) -> rrule.rrule:
    rule = rrule.rrulestr(text.upper(), dtstart=zones.from_wall(start))
    assert isinstance(rule, rrule.rrule)
    return rule


def _has_instance(parts: dict[str, str], start: int) -> bool:
    """Whether a recurrence has an instance within its horizon, by its days alone.

    For a recurrence without instances, like 30 February, dateutil searches up to the year 9999:
    30 s for a daily rule, during which the controller would do nothing else.
    """
    freq, interval = parts["FREQ"], int(parts.get("INTERVAL", "1"))
    first = zones.from_wall(start).date()
    months = _numbers(parts.get("BYMONTH", ""))
    month_days = _numbers(parts.get("BYMONTHDAY", ""))
    weekdays = [
        (int(text[:-2] or 0), WEEKDAYS.index(text[-2:]))
        for text in parts.get("BYDAY", "").split(",")
        if text
    ]
    if not (months or month_days or weekdays) and freq not in ("MONTHLY", "YEARLY"):
        return True
    if not (month_days or weekdays):
        month_days = [first.day]
        if freq == "YEARLY" and not months:
            months = [first.month]
    position = max((abs(n) for n in _numbers(parts.get("BYSETPOS", ""))), default=1)
    times = [len(_numbers(parts.get(name, ""))) or 1 for name in ("BYHOUR", "BYMINUTE")]
    found: dict[tuple, int] = {}
    for shift in range(constants.RECURRENCE_HORIZON_DAYS[freq]):
        day = first + timedelta(days=shift)
        phase, period = _period(freq, first, day)
        length = calendar.monthrange(day.year, day.month)[1]
        if (
            (phase % interval and freq != "HOURLY")
            or (months and day.month not in months)
            or (
                month_days and day.day not in month_days and day.day - length - 1 not in month_days
            )
            or (
                weekdays
                and not any(
                    _is_nth(day, n, weekday, freq == "YEARLY" and not months)
                    for n, weekday in weekdays
                )
            )
        ):
            continue
        found[period] = found.get(period, 0) + times[0] * times[1]
        if found[period] >= position:
            return True
    return False


def _numbers(text: str) -> list[int]:
    return [int(number) for number in text.split(",") if number]


def _period(freq: str, first: date, day: date) -> tuple[int, tuple]:
    """Return how many periods after the first a day lies, and the key of its period."""
    if freq == "YEARLY":
        return day.year - first.year, (day.year,)
    if freq == "MONTHLY":
        return ((day.year - first.year) * 12 + day.month - first.month, (day.year, day.month))
    if freq == "WEEKLY":
        begin = first - timedelta(days=first.weekday())
        return (day - begin).days // 7, day.isocalendar()[:2]
    return (day - first).days, (day,)


def _is_nth(day: date, number: int, weekday: int, of_year: bool) -> bool:
    """Whether a day is this weekday and, unless `number` is 0, that one of its month or year."""
    if day.weekday() != weekday or not number:
        return day.weekday() == weekday
    if of_year:
        position, length = day.timetuple().tm_yday, 366 if calendar.isleap(day.year) else 365
    else:
        position, length = day.day, calendar.monthrange(day.year, day.month)[1]
    return number in ((position - 1) // 7 + 1, -((length - position) // 7 + 1))


def _instances(rule: Rule, after: int) -> Iterator[int]:
    """Yield the wall times of an RRULE in order, without those before `after` where it is cheap.

    An hourly, daily or weekly rule without COUNT is started a whole number of its intervals
    later. This yields the same instances without iterating over years of them.
    """
    start = rule.start
    parts = _rrule_parts(rule.text)
    step = FIXED_PERIODS.get(parts.get("FREQ", ""))
    if step is not None and "COUNT" not in parts:
        interval_s = int(step.total_seconds()) * int(parts.get("INTERVAL", "1"))
        start += max(0, (after - start) // interval_s - 1) * interval_s
    # The first instance is the start itself, whether it matches the rule or not.
    if start == rule.start:
        yield start
    unmatched = 0
    for moment in _parse_rrule(rule.text, start):
        wall = zones.as_wall(moment)
        unmatched += 1
        if wall <= rule.start or wall <= after:
            if unmatched > constants.RRULE_MAX_COUNT:
                return
            continue
        unmatched = 0
        yield wall


def _calendar_firings(rule: Rule, after: int, explain: bool) -> Iterator[Firing]:
    """Yield firings in the order of their instants, each instant once.

    The mark is the wall time that clocks show at the firing.
    """
    moved = dict(rule.moved)
    excluded = set(rule.exdates)
    extra = sorted(
        {w for w in rule.rdates if w not in moved and w not in excluded}
        | {new for new in moved.values() if new is not None}
    )
    margin_s = int(constants.CLOCK_CHANGE_MAX_S)
    instances = _instances(rule, after - margin_s) if rule.text else iter([rule.start])
    regular = (wall for wall in instances if wall not in moved and wall not in excluded)
    last = after
    # A firing in a gap is shown later, and may come after firings of later wall times.
    pending: list[Firing] = []
    for wall in _merge(extra, regular):
        while pending and pending[0].mark <= wall:
            firing = heapq.heappop(pending)
            if firing.mark > last:
                last = firing.mark
                yield firing
        at = zones.instant(wall, rule.zone)
        shown = zones.as_wall(zones.local(at, rule.zone))
        if shown > last:
            why = _clock_change_note(wall, shown, at, rule.zone) if explain else ""
            heapq.heappush(pending, Firing(shown, at, why))
    while pending:
        firing = heapq.heappop(pending)
        if firing.mark > last:
            last = firing.mark
            yield firing


def _merge(extra: list[int], regular: Iterator[int]) -> Iterator[int]:
    """Merge two ascending sequences of wall times."""
    queue = list(reversed(extra))
    for wall in regular:
        while queue and queue[-1] <= wall:
            yield queue.pop()
        yield wall
    while queue:
        yield queue.pop()


def _clock_change_note(wall: int, shown: int, at: int, zone: str) -> str:
    if shown != wall:
        return f"{zones.from_wall(wall):%H:%M} is not shown that day: clocks go ahead"
    return SHOWN_TWICE if zones.instant(wall, zone, 1) != at else ""
