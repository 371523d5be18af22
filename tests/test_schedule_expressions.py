"""Firings of cron expressions and recurrences against an oracle, and robustness of parsers."""

from datetime import UTC, datetime, timedelta
from functools import cache

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from oakmux.schedules import calendars, crontab, zones
from oakmux.schedules.dav import tokens, xml
from oakmux.schedules.firings import Rule, RuleError, check_recurrence, cron_rule, firings, mark_at
from oakmux.schedules.replay.oracle import expected, minutes

ZONES = [
    "UTC",
    "Europe/Berlin",
    "America/New_York",
    "Australia/Lord_Howe",
    "Asia/Jakarta",
    "America/Santiago",
    "Africa/Casablanca",
    "Asia/Kathmandu",
    "Pacific/Apia",
    "Australia/Adelaide",
]
# Days near clock changes in these zones, and other days.
DAYS = [
    "2026-03-28",
    "2026-10-24",
    "2026-03-07",
    "2026-10-31",
    "2026-04-03",
    "2026-10-02",
    "2026-09-05",
    "2026-02-14",
    "2026-03-20",
    "2026-06-30",
    "2028-02-27",
]


def cron_part(low: int, high: int):
    number = st.integers(low, high)
    span = st.tuples(number, number).map(lambda p: f"{min(p)}-{max(p)}")
    step = st.integers(1, high)
    return st.one_of(
        number.map(str),
        span,
        st.tuples(span, step).map(lambda p: f"{p[0]}/{p[1]}"),
        step.map(lambda s: f"*/{s}"),
    )


def cron_field(low: int, high: int):
    return st.one_of(
        st.just("*"), st.lists(cron_part(low, high), min_size=1, max_size=3).map(",".join)
    )


@cache
def cached_minutes(zone: str, start: int, end: int) -> list:
    return list(minutes(zone, start, end))


def firings_between(rule: Rule, start: int, end: int) -> set[int]:
    instants = set()
    for firing in firings(rule, mark_at(rule, start - 60)):
        if firing.at >= end:
            break
        instants.add(firing.at)
    return instants


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.tuples(
        cron_field(0, 59),
        cron_field(0, 23),
        cron_field(1, 31),
        cron_field(1, 12),
        cron_field(0, 6),
    ),
    st.sampled_from(ZONES),
    st.sampled_from(DAYS),
)
def test_firings_of_a_cron_expression_agree_with_the_oracle(fields, zone, day):
    start = int(datetime.fromisoformat(day).replace(tzinfo=UTC).timestamp())
    end = start + 2 * 86_400
    try:
        rule = cron_rule(" ".join(fields), zone)
    except RuleError:
        assume(False)
    assert firings_between(rule, start, end) == expected(rule, cached_minutes(zone, start, end))


@pytest.mark.parametrize("day", ["2026-04-03", "2026-10-02"])
@pytest.mark.parametrize(
    "text",
    [
        "20 */2 * * *",
        "2 */4 * * *",
        "*/30 8-18 * * *",
        "49 * * * *",
        "15,45 1-2 * * *",
        "50 1 * * *",
        "* * * * *",
    ],
)
def test_half_hour_daylight_saving_change(text, day):
    """cronsim loses the firing after such a change if it is given the time zone."""
    rule = cron_rule(text, "Australia/Lord_Howe")
    start = int(datetime.fromisoformat(day).replace(tzinfo=UTC).timestamp())
    for shift in (0, 86_400 + 14 * 3600, 86_400 + 15 * 3600 + 600, 86_400 + 16 * 3600):
        span = (start + shift, start + 3 * 86_400)
        assert firings_between(rule, *span) == {
            at
            for at in expected(rule, cached_minutes(rule.zone, start - 86_400, span[1]))
            if at >= span[0]
        }


RECURRENCES = st.one_of(
    st.tuples(st.integers(1, 3), st.sampled_from(["", ";BYDAY=MO,WE,SA", ";COUNT=9"])).map(
        lambda p: f"FREQ=DAILY;INTERVAL={p[0]}{p[1]}"
    ),
    st.tuples(
        st.integers(1, 3),
        st.sampled_from(["", ";BYDAY=MO,SU", ";BYDAY=TU,SA;COUNT=7", ";UNTIL=20261101T000000"]),
    ).map(lambda p: f"FREQ=WEEKLY;INTERVAL={p[0]}{p[1]}"),
    st.sampled_from(
        [
            "FREQ=MONTHLY",
            "FREQ=MONTHLY;BYDAY=-1SU",
            "FREQ=MONTHLY;BYDAY=2SA,1MO",
            "FREQ=MONTHLY;BYMONTHDAY=-1,29",
            "FREQ=MONTHLY;INTERVAL=2",
            "FREQ=YEARLY",
            "FREQ=YEARLY;BYMONTH=3,10",
            "",
        ]
    ),
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    RECURRENCES,
    st.sampled_from(ZONES),
    st.sampled_from(DAYS),
    st.integers(-500, 2),
    st.integers(0, 47),
    st.booleans(),
)
def test_firings_of_a_recurrence_agree_with_the_oracle(text, zone, day, shift, half, moves):
    start = int(datetime.fromisoformat(day).replace(tzinfo=UTC).timestamp())
    first = zones.from_wall(start) + timedelta(days=shift, minutes=30 * half)
    at = zones.as_wall(first)
    moved = ((at, at + 5400), (at + 86_400, None)) if moves else ()
    rule = Rule("calendar", zone, text, at, (start + 86_400 + 7200,), (start + 7200,), moved)
    check_recurrence(text, at)
    end = start + 3 * 86_400
    expected_at = {
        a for a in expected(rule, cached_minutes(zone, start - 86_400, end)) if a >= start
    }
    assert firings_between(rule, start, end) == expected_at


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.tuples(
        cron_field(0, 59),
        cron_field(0, 23),
        cron_field(1, 31),
        cron_field(1, 12),
        cron_field(0, 6),
    ),
    st.text(st.characters(codec="ascii", exclude_characters="\n\r\\%"), min_size=1),
)
def test_parsed_cron_rules_parse_back_to_the_same_rule(fields, command):
    assume(command.strip())
    text = " ".join(fields) + " " + command.strip()
    lines, problems = crontab.parse(text)
    assert bool(lines) != bool(problems)
    for line in lines:
        again, none = crontab.parse(f"{line.rule.text} {line.command}")
        assert not none
        assert again[0].rule == line.rule
        assert again[0].command == line.command


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.text(max_size=200))
def test_arbitrary_input_raises_only_parse_errors(data, text):
    for sample in (data.decode("latin-1"), text, "0 3 * * " + text, "BEGIN:VCALENDAR\n" + text):
        crontab.parse(sample)
        crontab.parse(sample, system=True)
        with pytest.raises(calendars.CalendarError):
            calendars.parse(sample, "UTC")
    tokens.credentials(text)
    with pytest.raises(xml.XmlError):
        xml.read(data, xml.DAV + "propfind")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    "DTSTART",
                    "DTSTART;TZID=Europe/Berlin",
                    "DTSTART;VALUE=DATE",
                    "DUE",
                    "RRULE",
                    "EXDATE",
                    "RDATE",
                    "RECURRENCE-ID",
                    "STATUS",
                    "UID",
                    "X-OAKMUX-WINDOW-S",
                    "DURATION",
                    "CATEGORIES",
                ]
            ),
            st.one_of(
                st.sampled_from(
                    [
                        "20260101T100000",
                        "20260101T100000Z",
                        "20260101",
                        "FREQ=DAILY",
                        "FREQ=DAILY;COUNT=0",
                        "FREQ=WEEKLY;BYDAY=MO;UNTIL=20260301",
                        "PT1H",
                        "u",
                        "FREQ=YEARLY;BYWEEKNO=1",
                        "20261332T990000",
                    ]
                ),
                st.text(st.characters(codec="ascii", exclude_characters="\n\r"), max_size=12),
            ),
        ),
        max_size=8,
    ),
    st.sampled_from(["VEVENT", "VTODO"]),
)
def test_arbitrary_properties_give_a_rule_or_an_error(rows, kind):
    lines = "\r\n".join(f"{name}:{value}" for name, value in [("UID", "u"), *rows])
    text = f"BEGIN:VCALENDAR\r\nBEGIN:{kind}\r\n{lines}\r\nEND:{kind}\r\nEND:VCALENDAR\r\n"
    try:
        parsed = calendars.parse(text, "Asia/Jakarta")
    except calendars.CalendarError:
        return
    next(firings(parsed.rule, 0), None)


def calendar(*lines: str, kind: str = "VEVENT", more: str = "") -> str:
    body = "\r\n".join(["UID:u", *lines])
    return f"BEGIN:VCALENDAR\r\nBEGIN:{kind}\r\n{body}\r\nEND:{kind}\r\n{more}END:VCALENDAR\r\n"


def local_firings(text: str, count: int, zone: str = "Asia/Jakarta") -> list[str]:
    rule = calendars.parse(text, zone).rule
    return [
        zones.local(firing.at, rule.zone).isoformat()[:16]
        for firing, _ in zip(firings(rule, 0), range(count), strict=False)
    ]


def test_overrides_and_exclusions_of_calendar_instances():
    moved = (
        "BEGIN:VEVENT\r\nUID:u\r\nRECURRENCE-ID;TZID=Europe/Berlin:20260107T100000\r\n"
        "DTSTART;TZID=Europe/Berlin:20260107T153000\r\nEND:VEVENT\r\n"
        "BEGIN:VEVENT\r\nUID:u\r\nRECURRENCE-ID:20260108T090000Z\r\n"
        "STATUS:CANCELLED\r\nEND:VEVENT\r\n"
    )
    text = calendar(
        "DTSTART;TZID=Europe/Berlin:20260105T100000",
        "RRULE:FREQ=DAILY;UNTIL=20260111T090000Z",
        "EXDATE:20260106T090000Z",
        "RDATE;TZID=Europe/Berlin:20260106T120000",
        more=moved,
    )
    assert local_firings(text, 20) == [
        "2026-01-05T10:00",
        "2026-01-06T12:00",
        "2026-01-07T15:30",
        "2026-01-09T10:00",
        "2026-01-10T10:00",
        "2026-01-11T10:00",
    ]


def test_zone_of_floating_times_dates_and_utc_times():
    assert local_firings(calendar("DTSTART:20260105T100000"), 2) == ["2026-01-05T10:00"]
    assert local_firings(calendar("DTSTART;VALUE=DATE:20260105"), 2) == ["2026-01-05T00:00"]
    parsed = calendars.parse(calendar("DTSTART:20260105T100000Z"), "Asia/Jakarta")
    assert parsed.rule.zone == "UTC"
    assert local_firings(calendar("DTSTART;TZID=Europe/Berlin:20260329T023000"), 2) == [
        "2026-03-29T03:30"
    ]  # in a gap: later by its length


def test_to_do_sets_a_deadline_and_policy():
    parsed = calendars.parse(
        calendar(
            "DTSTART:20260105T100000Z",
            "DUE:20260105T120000Z",
            "X-OAKMUX-OVERLAP:queue",
            "CATEGORIES:oakmux:print",
            kind="VTODO",
        ),
        "UTC",
    )
    assert (parsed.component, parsed.deadline_s, parsed.template) == ("VTODO", 7200.0, "print")
    assert parsed.policy == {"overlap": "queue"}
    for lines, word in (
        (("DUE:20260105T120000Z",), "DTSTART"),
        (("DTSTART:20260105T100000Z", "DUE:20260105T090000Z"), "after"),
    ):
        with pytest.raises(calendars.CalendarError, match=word):
            calendars.parse(calendar(*lines, kind="VTODO"), "UTC")
    assert calendars.parse(
        calendar("DTSTART:20260105T100000Z", "STATUS:CANCELLED"), "UTC"
    ).inactive


def test_old_rule_is_not_expanded_from_its_start():
    rule_start = zones.as_wall(datetime(1990, 1, 1, 3, 30))
    rule = Rule("calendar", "Europe/Berlin", "FREQ=HOURLY;INTERVAL=5", rule_start)
    start = int(datetime(2026, 6, 1, tzinfo=UTC).timestamp())
    first = next(firings(rule, mark_at(rule, start)))
    assert start < first.at <= start + 5 * 3600
    assert (first.mark - rule_start) % (5 * 3600) == 0


@pytest.mark.parametrize(
    "text",
    [
        "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
        "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30",
        "FREQ=DAILY;BYMONTH=4;BYMONTHDAY=31",
        "FREQ=MONTHLY;BYDAY=MO;BYSETPOS=6",
        "FREQ=YEARLY;INTERVAL=4;BYMONTH=2;BYMONTHDAY=29",
        "FREQ=MONTHLY;INTERVAL=12;BYMONTH=7",
    ],
)
def test_a_recurrence_without_occurrences_is_rejected_at_once(text):
    """dateutil searches up to the year 9999 for some of these, which blocks a controller."""
    with pytest.raises(RuleError, match="no instance"):
        check_recurrence(text, zones.as_wall(datetime(1990, 1, 1, 3, 30)))


@pytest.mark.parametrize(
    "text",
    [
        "FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1",
        "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29",
        "FREQ=MONTHLY;BYDAY=5FR",
        "FREQ=YEARLY;BYDAY=20MO",
        "FREQ=YEARLY;BYDAY=-1SU;BYMONTH=10",
        "FREQ=WEEKLY;INTERVAL=3;BYDAY=SA",
        "FREQ=DAILY;BYMONTH=2",
        "FREQ=MONTHLY;BYMONTHDAY=-31",
        "FREQ=HOURLY;BYHOUR=9,17",
        "FREQ=MONTHLY;BYDAY=FR;BYMONTHDAY=13",
    ],
)
def test_rare_recurrences_are_accepted(text):
    start = zones.as_wall(datetime(1990, 1, 1, 3, 30))
    check_recurrence(text, start)
    assert (
        len(
            list(zip(range(4), firings(Rule("calendar", "UTC", text, start), start), strict=False))
        )
        == 4
    )
