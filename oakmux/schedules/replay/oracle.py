"""Slow oracle for the expected firings; it shares no code with the computation in `firings`.

It goes minute by minute, with its own cron parser, and tries recurrences day by day. A clock
change appears as wall minutes that no instant shows, or that two instants show.
"""

from collections.abc import Iterator
from datetime import UTC, date, datetime, timedelta
from typing import NamedTuple

from oakmux.schedules.firings import Rule
from oakmux.schedules.zones import zone

RANGES = ((0, 59), (0, 23), (1, 31), (1, 12), (0, 7))
WEEKDAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")


class Minute(NamedTuple):
    """One minute of a zone.

    `at` is its instant (s) and `wall` the time that clocks show; `again` means that they show it
    for the second time. `left_out` are the wall minutes skipped just before it.
    """

    at: int
    wall: datetime
    again: bool
    left_out: tuple[datetime, ...]


def minutes(name: str, start: int, end: int) -> Iterator[Minute]:
    """Yield the minutes of a zone whose instants lie in [start, end)."""
    tz = zone(name)
    latest = datetime.fromtimestamp(start - 60, UTC).astimezone(tz).replace(tzinfo=None)
    for at in range(start, end, 60):
        wall = datetime.fromtimestamp(at, UTC).astimezone(tz).replace(tzinfo=None)
        left_out = []
        step = latest + timedelta(minutes=1)
        while step < wall:
            left_out.append(step)
            step += timedelta(minutes=1)
        again = wall <= latest
        yield Minute(at, wall, again, tuple(left_out))
        latest = max(latest, wall)


def _field(text: str, low: int, high: int) -> set[int]:
    values: set[int] = set()
    for part in text.split(","):
        base, _, step = part.partition("/")
        if base == "*":
            first, last = low, high
        else:
            low_text, _, high_text = base.partition("-")
            first = int(low_text)
            last = int(high_text) if high_text else first
        values.update(range(first, last + 1, int(step or 1)))
    return values


class CronOracle:
    """Matches minutes against one cron expression."""

    def __init__(self, text: str) -> None:
        fields = text.split()
        self.minutes, self.hours, self.days, self.months, weekdays = (
            _field(field, *span) for field, span in zip(fields, RANGES, strict=True)
        )
        self.weekdays = {day % 7 for day in weekdays}
        self.wildcard_time = fields[0].startswith("*") or fields[1].startswith("*")
        self.either_day = not (fields[2].startswith("*") or fields[4].startswith("*"))

    def matches_day(self, wall: date) -> bool:
        """Whether the expression matches a day."""
        of_month, of_week = wall.day in self.days, wall.isoweekday() % 7 in self.weekdays
        return wall.month in self.months and (
            of_month or of_week if self.either_day else of_month and of_week
        )

    def matches_wall(self, wall: datetime) -> bool:
        """Whether the expression matches a wall minute, regardless of clock changes."""
        return wall.minute in self.minutes and wall.hour in self.hours and self.matches_day(wall)

    def fires_in(self, minute: Minute) -> bool:
        """Whether the expression fires in a minute."""
        if self.wildcard_time:
            return self.matches_wall(minute.wall)
        if minute.again:
            return False
        return self.matches_wall(minute.wall) or any(
            self.matches_wall(wall) for wall in minute.left_out
        )


class CalendarOracle:
    """Matches minutes against one calendar rule: RRULE, EXDATE, RDATE, moved instances."""

    def __init__(self, rule: Rule, last: datetime) -> None:
        self.parts = dict(part.split("=") for part in rule.text.split(";")) if rule.text else {}
        self.start = datetime.fromtimestamp(rule.start, UTC).replace(tzinfo=None)
        walls = {
            w
            for w in self._walls(last)
            if int(w.replace(tzinfo=UTC).timestamp()) not in rule.exdates
        }
        walls.update(
            datetime.fromtimestamp(w, UTC).replace(tzinfo=None)
            for w in rule.rdates
            if w not in rule.exdates
        )
        for old, new in rule.moved:
            walls.discard(datetime.fromtimestamp(old, UTC).replace(tzinfo=None))
            if new is not None:
                walls.add(datetime.fromtimestamp(new, UTC).replace(tzinfo=None))
        self.walls = walls

    def fires_in(self, minute: Minute) -> bool:
        """Whether the rule fires in a minute.

        An instance in a gap fires later by the length of the gap; see `shift_gaps`.
        """
        return not minute.again and minute.wall in self.walls

    def _walls(self, last: datetime) -> Iterator[datetime]:
        """Yield the wall times of all RRULE instances up to `last`, in order."""
        yield self.start
        if not self.parts:
            return
        count = int(self.parts.get("COUNT", 10**9))
        until = self.parts.get("UNTIL")
        end = min(last, datetime.strptime(until, "%Y%m%dT%H%M%S")) if until else last
        seen = 1
        moment = self.start
        while moment <= end and seen < count:
            moment += timedelta(days=1)
            if moment <= end and self._matches_day(moment.date()):
                seen += 1
                yield moment

    def _matches_day(self, day: date) -> bool:
        first, interval = self.start.date(), int(self.parts.get("INTERVAL", 1))
        by_month = [int(m) for m in self.parts.get("BYMONTH", "").split(",") if m]
        by_days = [d for d in self.parts.get("BYDAY", "").split(",") if d]
        of_month = [int(d) for d in self.parts.get("BYMONTHDAY", "").split(",") if d]
        if by_month and day.month not in by_month:
            return False
        kind = self.parts["FREQ"]
        if kind == "DAILY":
            return (day - first).days % interval == 0 and (
                not by_days or WEEKDAYS[day.weekday()] in by_days
            )
        if kind == "WEEKLY":
            weeks = (
                day - timedelta(days=day.weekday()) - (first - timedelta(days=first.weekday()))
            ).days // 7
            return weeks % interval == 0 and WEEKDAYS[day.weekday()] in (
                by_days or [WEEKDAYS[first.weekday()]]
            )
        if kind == "MONTHLY":
            months = (day.year - first.year) * 12 + day.month - first.month
            if months % interval:
                return False
            if by_days:
                return any(self._matches_weekday(day, text) for text in by_days)
            length = (
                (day.replace(day=28) + timedelta(days=4)).replace(day=1) - timedelta(days=1)
            ).day
            return day.day in [d if d > 0 else length + 1 + d for d in of_month or [first.day]]
        return (day.year - first.year) % interval == 0 and (
            day.day == first.day and (bool(by_month) or day.month == first.month)
        )

    def _matches_weekday(self, day: date, text: str) -> bool:
        if WEEKDAYS[day.weekday()] != text[-2:]:
            return False
        number = int(text[:-2] or 0)
        if number > 0:
            return (day.day - 1) // 7 + 1 == number
        if number < 0:
            following = day + timedelta(days=7 * -number)
            before = day + timedelta(days=7 * (-number - 1))
            return following.month != day.month and before.month == day.month
        return True


def shift_gaps(oracle: CalendarOracle, all_minutes: list[Minute]) -> None:
    """Move instances in a gap, which no clock shows, later by the length of the gap."""
    for minute in all_minutes:
        if minute.left_out:
            gap = timedelta(minutes=len(minute.left_out))
            for wall in minute.left_out:
                if wall in oracle.walls:
                    oracle.walls.discard(wall)
                    oracle.walls.add(wall + gap)


def expected(rule: Rule, all_minutes: list[Minute]) -> set[int]:
    """Return the instants (s) of all firings of a rule within these minutes."""
    if rule.kind == "cron":
        cron = CronOracle(rule.text)
        return {minute.at for minute in all_minutes if cron.fires_in(minute)}
    calendar = CalendarOracle(rule, all_minutes[-1].wall)
    shift_gaps(calendar, all_minutes)
    return {minute.at for minute in all_minutes if calendar.fires_in(minute)}
