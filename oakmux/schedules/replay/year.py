"""Replays a year with faults, for entries in ten zones; the oracle checks every firing."""

import random
import time
from collections import Counter
from datetime import UTC, datetime
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from oakmux.core.model import JobSpec
from oakmux.schedules import policy, records, zones
from oakmux.schedules.firings import Rule, cron_rule, mark_at
from oakmux.schedules.records import Entry, Policy, Slot, Step, Template
from oakmux.schedules.replay.model import TEAM, Model
from oakmux.schedules.replay.oracle import expected, minutes

ZONES = (
    "UTC",
    "Africa/Nairobi",
    "Asia/Jakarta",
    "Europe/Berlin",
    "America/New_York",
    "America/Santiago",
    "Australia/Adelaide",
    "Australia/Lord_Howe",
    "Africa/Casablanca",
    "Pacific/Auckland",
)
DAY = 86_400
SHARD = 25
TEMPLATE, URGENT = f"{TEAM}/run", f"{TEAM}/urgent"


class Result(NamedTuple):
    """Result of a replay: counts, lateness, and firings that were wrong.

    A firing is lost, doubled (its job was created twice), early, or besides: decided although the
    oracle has none, or inconsistent with its job.
    """

    entries: int
    firings: int
    made: int
    skipped: int
    lost: list[str]
    besides: list[str]
    doubled: list[str]
    early: int
    troubles: dict[str, int]
    late_ms: dict[str, float]
    seconds: float

    @property
    def good(self) -> bool:
        """Whether every expected firing was decided exactly once, and no other, and none early."""
        return not (self.lost or self.besides or self.doubled or self.early)


def cron_text(rng: random.Random) -> str:
    """Draw a typical cron expression; few fire more often than hourly."""
    minute, hour = rng.randrange(60), rng.choice((0, 1, 2, 2, 2, 3, rng.randrange(24)))
    kind = rng.random()
    if kind < 0.5:
        return f"{minute} {hour} * * {rng.choice(('*', '*', '1-5', '0,6', '1'))}"
    if kind < 0.62:
        return f"{minute} {hour},{(hour + 6) % 24} * * *"
    if kind < 0.72:
        return f"{minute} {hour} {rng.randrange(1, 29)} * *"
    if kind < 0.8:
        return f"{minute} {hour} 1,15 * {rng.choice(('*', '1'))}"
    if kind < 0.9:
        return f"{minute} */{rng.choice((2, 3, 4, 6))} * * *"
    if kind < 0.97:
        return f"{minute} * * * *"
    return f"*/{rng.choice((15, 20, 30))} {rng.choice(('*', '1-4', '8-18'))} * * *"


def calendar_rule(rng: random.Random, start: int, zone: str) -> Rule:
    """Draw a calendar rule that began within the two years before `start`."""
    wall = zones.as_wall(zones.local(start, zone).replace(second=0))
    first = wall // DAY * DAY - rng.randrange(730) * DAY + rng.randrange(1440) * 60
    if rng.random() < 0.5:  # hours in which clocks change
        first = first // DAY * DAY + rng.choice((0, 1, 2, 3)) * 3600 + rng.randrange(60) * 60
    text = rng.choice(
        (
            "FREQ=DAILY",
            "FREQ=DAILY;INTERVAL=2",
            "FREQ=WEEKLY;BYDAY=MO,WE,SU",
            "FREQ=WEEKLY",
            "FREQ=WEEKLY;INTERVAL=2;BYDAY=SA,SU",
            "FREQ=MONTHLY;BYDAY=-1SU",
            "FREQ=MONTHLY",
            "FREQ=MONTHLY;BYMONTHDAY=-1",
            "FREQ=MONTHLY;BYDAY=2SA",
            "FREQ=DAILY;BYDAY=MO,TU,WE",
        )
    )
    days = [first + (wall - first) // DAY * DAY + n * DAY for n in rng.sample(range(360), 6)]
    return Rule(
        "calendar",
        zone,
        text,
        first,
        (days[0] + 5400,),
        (days[1],),
        ((days[2], days[2] + 3 * 3600), (days[3], None)),
    )


def draw_entries(count: int, seed: int, start: int) -> list[Entry]:
    """Draw entries: three of four are cron entries, the others calendar entries."""
    rng = random.Random(seed)
    entries = []
    for n in range(count):
        zone = rng.choice(ZONES)
        rule = (
            cron_rule(cron_text(rng), zone)
            if rng.random() < 0.75
            else calendar_rule(rng, start, zone)
        )
        entries.append(
            Entry(
                f"{TEAM}/e{n:05d}",
                rule,
                TEMPLATE,
                Policy(
                    rng.choice(("allow", "allow", "skip", "queue")),
                    "all",
                    2 * DAY,
                    rng.choice((0, 0, 30)),
                ),
                created_ms=start * 1000,
                shard=n // SHARD,
            )
        )
    return entries


def write_records(model: Model, entries: list[Entry]) -> None:
    """Write the records of the entries and both templates; nobody holds the role yet."""
    pairs: list[tuple[str, Any]] = []
    for name, priority in ((TEMPLATE, 1), (URGENT, 2)):
        spec = JobSpec(
            "l",
            TEAM,
            "array",
            priority,
            1,
            1.0,
            0.0,
            1.0,
            "i",
            0.0,
            None,
            None,
            False,
            False,
            False,
            60.0,
            0.0,
            0.0,
            None,
        )
        pairs.append(
            (records.template_key(name), records.encode_record(Template((Step("main", spec),))))
        )
    shards: dict[int, list] = {}
    for entry in entries:
        pairs.append((records.entry_key(entry.name), records.encode_record(entry)))
        shards.setdefault(entry.shard, []).append(
            records.encode_record(Slot(entry.name, mark_at(entry.rule, model.start - 1)))
        )
    pairs += [(records.shard_key(n), rows) for n, rows in shards.items()]
    model.put(pairs)


def schedule_faults(model: Model, end: float) -> Counter:
    """Schedule faults until `end` and count them by kind.

    Some outages and crashes of all controllers span midnight or typical hours of clock changes.
    """
    rng = model.rng
    count: Counter[str] = Counter()

    def crash_all() -> None:
        for controller in model.controllers:
            model.crash(controller, rng.uniform(700, 7200))

    def crash_holder() -> None:
        holder = model.holder()
        if holder is not None:
            model.crash(holder, 10.0)

    def schedule_at(when: float, name: str, run: Any) -> None:
        if 0 < when < end:
            count[name] += 1
            model.call_later(when, run)

    day = 0.0
    while day < end:
        for _ in range(3):
            when = day + rng.uniform(0, DAY)
            controller = rng.choice(model.controllers)
            schedule_at(
                when,
                "crash",
                lambda controller=controller: model.crash(controller, rng.uniform(2, 30)),
            )
        controller = rng.choice(model.controllers)
        schedule_at(
            day + rng.uniform(0, DAY),
            "cut",
            lambda controller=controller: model.partition(controller, rng.uniform(5, 300)),
        )
        # Crash the holder just after a full minute, among the firings that are due.
        schedule_at(
            day + rng.randrange(1440) * 60 + rng.uniform(0.1, 0.4),
            "crash in a burst",
            crash_holder,
        )
        if rng.random() < 0.3:
            schedule_at(
                day + rng.uniform(0, DAY), "outage", lambda: model.outage(rng.uniform(5, 1800))
            )
        if rng.random() < 0.1:  # over hours (UTC) in which clocks change
            schedule_at(
                day + rng.choice((0, 1, 2, 15, 16)) * 3600 - rng.uniform(10, 900),
                "night outage",
                lambda: model.outage(rng.uniform(900, 4000)),
            )
        if rng.random() < 0.07:
            schedule_at(day + DAY - rng.uniform(10, 600), "all down", crash_all)
        if rng.random() < 0.15:
            when = day + rng.uniform(0, DAY)
            for n, controller in enumerate(model.controllers):
                schedule_at(
                    when + 20 * n,
                    "roll",
                    lambda controller=controller: model.crash(controller, 5.0),
                )
        day += DAY
    return count


def replay(entries: int, days: int, seed: int, start: int) -> Result:
    """Replay `days` days with `entries` entries and compare all firings with the oracle."""
    begin = time.monotonic()
    model = Model(start, seed)
    drawn = draw_entries(entries, seed, start)
    write_records(model, drawn)
    for controller in model.controllers:
        controller.boot()
    model.elect()
    end = float(days * DAY)
    troubles = schedule_faults(model, end)
    model.run(end + 4 * 3600)
    return compare(model, drawn, start, start + days * DAY, dict(troubles), begin)


def compare(
    model: Model,
    entries: list[Entry],
    start: int,
    end: int,
    troubles: dict[str, int],
    begin: float,
) -> Result:
    """Compare the decided firings with the expected ones."""
    lost, besides, doubled = [], [], list(model.duplicate_jobs)
    histogram = HdrHistogram(1, 7 * DAY * 1000, 3)
    made = skipped = early = firings = 0
    minutes_by_zone = {name: list(minutes(name, start - DAY, end)) for name in ZONES}
    final_outcomes = {records.MADE, records.SKIPPED}
    jobs = dict(model.created_jobs)
    for entry in entries:
        expected_at = {
            at for at in expected(entry.rule, minutes_by_zone[entry.rule.zone]) if at >= start
        }
        decided = model.outcomes.get(entry.name, {})
        decided_at = {at for at, seen in decided.items() if at < end}
        firings += len(expected_at)
        lost += [f"{entry.name} {format_instant(at)}" for at in sorted(expected_at - decided_at)]
        besides += [
            f"{entry.name} {format_instant(at)}" for at in sorted(decided_at - expected_at)
        ]
        for at, seen in decided.items():
            created_s = jobs.pop(records.job_id(entry, str(at), 0, 0), None)
            if at >= end:
                continue
            final = [outcome for outcome in seen if outcome in final_outcomes]
            if len(final) != 1:
                lost.append(f"{entry.name} {format_instant(at)}: {seen}")
            if (created_s is not None) != (records.MADE in seen):
                besides.append(f"{entry.name} {format_instant(at)}: {seen} without its job")
            skipped += records.SKIPPED in seen
            if created_s is None:
                continue
            made += 1
            late = (start + created_s - at) * 1000 - policy.jitter_ms(entry)
            early += late < 0
            if records.QUEUED not in seen:
                histogram.record_value(max(1, int(late)))
    besides += list(jobs)
    late_ms = {
        name: histogram.get_value_at_percentile(share)
        for name, share in (("p50", 50), ("p90", 90), ("p99", 99), ("p99.9", 99.9), ("most", 100))
    }
    return Result(
        len(entries),
        firings,
        made,
        skipped,
        lost,
        besides,
        doubled,
        early,
        troubles,
        late_ms,
        time.monotonic() - begin,
    )


def format_instant(at: int) -> str:
    """Return an instant as ISO text."""
    return datetime.fromtimestamp(at, UTC).isoformat()


class Burst(NamedTuple):
    """Cost of many simultaneous firings: lateness by priority (s), changes per firing, ticks."""

    entries: int
    rate: float
    made: int
    last_late_s: float
    urgent_late_s: float
    changes_a_turn: float
    tick_ms: dict[str, float]
    plan_s: float


def burst(entries: int, rate: float, seed: int, start: int) -> Burst:
    """Measure `entries` firings due in one second, a tenth of them urgent.

    `rate` limits the changes per second at the state service.
    """
    model = Model(start, seed)
    rule = cron_rule("0 3 * * *", "UTC")
    drawn = [
        Entry(
            f"{TEAM}/e{n:05d}",
            rule,
            TEMPLATE if n % 10 else URGENT,
            created_ms=start * 1000,
            shard=n // SHARD,
        )
        for n in range(entries)
    ]
    write_records(model, drawn)
    holder = model.controllers[0]
    holder.boot()
    model.elect()
    due = expected(rule, list(minutes("UTC", start, start + DAY))).pop()
    model.run(due - start - 5.0)
    planning = list(model.tick_s)
    model.tick_s.clear()
    model.rate = rate
    before = model.changes
    model.run(due - start + 2.0 * entries / rate + 60.0)
    entry_by_job = {records.job_id(entry, str(due), 0, 0): entry for entry in drawn}
    late = [
        (start + at - due, entry_by_job[job].template) for job, at in model.created_jobs.items()
    ]
    ticks = sorted(1000 * spent for spent in model.tick_s)
    return Burst(
        entries,
        rate,
        len(late),
        max(late)[0],
        max(late_s for late_s, template in late if template == URGENT),
        (model.changes - before) / len(late),
        {"p50": ticks[len(ticks) // 2], "p99": ticks[len(ticks) * 99 // 100], "most": ticks[-1]},
        sum(planning),
    )
