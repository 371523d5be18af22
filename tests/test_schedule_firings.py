"""Firings of schedules: each happens once and on time, whichever controller fails."""

import random
from collections import Counter
from zoneinfo import ZoneInfo

import pytest

from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import job_key
from oakmux.schedules import records, zones
from oakmux.schedules.messages import ServeScheduleRequest
from tests.fakes import spec
from tests.timed import JOB, SKEW_MS, ScheduleSimulation, settled_simulation, unix_time


def fired_entries(sim: ScheduleSimulation) -> list[str]:
    """Return the entry of each dispatched firing."""
    store = sim.cores[sim.clock_holder()].subsystems[0].store
    found = {}
    for name, entry in store.entries.items():
        for at, outcome, tries, note in store.slot(name).decisions:
            if outcome in ("m", "h"):
                found[records.job_id(entry, note if outcome == "h" else str(at), 0, tries)] = name
    return [found.get(job, "?") for _, job in sim.firings]


def store_entries(sim: ScheduleSimulation, count: int, text: str = "* * * * *", **policy) -> None:
    """Store `count` entries; by default they fire every minute."""
    for n in range(count):
        status, body = sim.put_cron_entry(f"red/n{n:03d}", text, **{"overlap": "allow", **policy})
        assert status == 200, body


def test_a_firing_happens_once_and_on_time():
    sim = settled_simulation("2026-12-01T02:59:40+00:00")
    assert sim.put_cron_entry("red/nightly", "0 3 * * *")[0] == 200
    sim.run(40)
    ((at, job),) = sim.firings
    assert 0 <= at - unix_time("2026-12-01T03:00:00+00:00") < 0.6
    assert sim.firing_history("red/nightly") == [("2026-12-01T03:00", "made")]
    sim.run(15)
    sim.query(job)
    sim.run(2)
    assert sim.reported_state[job] == "done"


@pytest.mark.parametrize(
    "start, before, firing",
    [
        ("2026-03-29T00:59:30+00:00", "2026-03-29", "03:00"),  # clocks skip 02:30 that day
        ("2026-10-25T00:29:30+00:00", "2026-10-25", "02:30"),  # shown twice: the first counts
    ],
)
def test_a_daylight_saving_change_neither_loses_nor_repeats_a_firing(start, before, firing):
    sim = settled_simulation(start)
    sim.put_cron_entry("red/night", "30 2 * * *", "Europe/Berlin")
    sim.put_cron_entry("red/often", "*/30 * * * *", "Europe/Berlin", overlap="allow")
    sim.run(80)
    assert sim.firing_history("red/night") == [(f"{before}T{firing}", "made")]
    sim.crash(sim.clock_holder())  # the next holder sees the repeated hour
    for _ in range(2):
        sim.advance_time_of_day(1740)
        sim.run(60)
    assert sim.firing_history("red/night") == [(f"{before}T{firing}", "made")]
    assert len(sim.firing_history("red/often")) == 3
    assert len(sim.firings) == 4


def test_a_burst_of_firings_continues_under_another_role_holder():
    sim = settled_simulation("2026-12-01T02:59:20+00:00")
    store_entries(sim, 60, "0 3 * * *")
    sim.run_until("2026-12-01T03:00:00+00:00")
    sim.run(0.104)
    assert 0 < len(sim.firings) < 60
    sim.crash(sim.clock_holder(), restart_s=None)
    sim.run(12)
    assert sorted(fired_entries(sim)) == [f"red/n{n:03d}" for n in range(60)]


def test_a_partitioned_role_holder_writes_nothing_late():
    sim = settled_simulation("2026-12-01T02:59:40+00:00", seed=4)
    store_entries(sim, 20, "0 3 * * *")
    sim.run_until("2026-12-01T02:59:59+00:00")
    old = sim.clock_holder()
    sim.cuts.add(frozenset((old, "state")))  # its messages arrive up to 40 s late
    sim.run(15)
    assert sim.clock_holder() != old
    assert sorted(fired_entries(sim)) == [f"red/n{n:03d}" for n in range(20)]
    sim.cuts.clear()
    sim.run(60)
    assert len(sim.firings) == 20


def test_firings_wait_for_the_store():
    sim = settled_simulation("2026-12-01T02:59:40+00:00")
    store_entries(sim, 5, "0 3 * * *")
    sim.run_until("2026-12-01T02:59:55+00:00")
    sim.store.outage(30)
    sim.run(29)
    assert not sim.firings
    sim.run(15)
    assert sorted(fired_entries(sim)) == [f"red/n{n:03d}" for n in range(5)]
    assert max(at for at, _ in sim.firings) < unix_time("2026-12-01T03:00:40+00:00")


def test_the_catch_up_policy_applies_after_a_full_outage():
    sim = settled_simulation("2026-12-01T23:58:00+00:00")
    store_entries(sim, 1, "* * * * *", catch_up="all", window_s=150)
    sim.put_cron_entry("red/last", "* * * * *", overlap="allow", catch_up="last")
    sim.put_cron_entry("red/none", "* * * * *", overlap="allow", catch_up="none")
    sim.put_cron_entry("red/daily", "0 0 * * *")
    sim.run(3)
    sim.firings.clear()
    for label in sim.labels:
        sim.crash(label, restart_s=250)  # from 23:58 until 00:02
    sim.run_until("2026-12-02T00:02:50+00:00")
    made = Counter(fired_entries(sim))
    # Back at about 00:02:13: by then the firing of 23:59 is too late for a window of 150 s.
    assert made["red/n000"] == 3
    assert made["red/daily"] == 1
    assert made["red/last"] == 1
    assert made["red/none"] == 1
    assert ("2026-12-01T23:59", "missed: too late to catch up") in sim.firing_history("red/n000")
    assert [row for row in sim.firing_history("red/last") if row[1] == "made"] == [
        ("2026-12-02T00:02", "made")
    ]


def test_years_of_missed_firings_are_skipped_at_once():
    sim = settled_simulation("2026-12-01T10:00:30+00:00")
    store_entries(sim, 1, window_s=120)
    for label in sim.labels:
        sim.crash(label, restart_s=30)
    sim.run(20)
    sim.advance_time_of_day(400 * 86_400)  # 400 days with all controllers off
    sim.run(90)
    rows = sim.firing_history("red/n000")
    assert [row for row in rows if "missed" in row[1]][0] == (
        "2026-12-01T10:01",
        "missed: too late to catch up",
    )
    assert [row[1] for row in rows[-3:]] == ["made"] * 3
    assert rows[-1][0].startswith("2028-01-05")


@pytest.mark.parametrize(
    "overlap, outcomes",
    [
        (
            "skip",
            ["made", "skipped: the one before still ran", "skipped: the one before still ran"],
        ),
        ("queue", ["made", "skipped: the one before still ran", "made"]),
        ("allow", ["made", "made", "made"]),
        ("replace", ["made", "made", "made"]),
    ],
)
def test_the_overlap_policy_applies_while_the_previous_firing_runs(overlap, outcomes):
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    sim.put_template("red/long", guess_s=140.0)
    sim.put_cron_entry("red/n", "* * * * *", template="red/long", overlap=overlap)
    sim.run(60 * 3 - 20)
    rows = sim.firing_history("red/n")
    if overlap == "queue":
        # The second is queued, so the third is skipped; the second starts when the first ends.
        assert [row[1] for row in rows] == ["made", "queued", outcomes[1]]
        sim.run_until("2026-12-01T03:03:50+00:00")
        assert sorted(row[1] for row in sim.firing_history("red/n")) == sorted(outcomes)
        assert len(sim.firings) == 2
    else:
        assert [row[1] for row in rows] == outcomes
    jobs = sim.cores["h0"].context.replica.jobs
    states = [jobs[job].state for _, job in sim.firings]
    if overlap == "replace":
        assert states[:2] == ["cancelled"] * 2
        for _, job in sim.firings:
            sim.cancel_requested.add(job)
        sim.run(25)
        assert len(sim.running_tasks()) == 1
    elif overlap == "allow":
        assert states == ["queued"] * 3


def test_an_edit_a_pause_and_a_removal_race_with_a_firing():
    sim = settled_simulation("2026-12-01T02:59:30+00:00")
    for name in ("edit", "same", "pause", "remove", "later"):
        sim.put_cron_entry(f"red/{name}", "0 3 * * *", overlap="allow")
    sim.run_until("2026-12-01T02:59:58+00:00")
    assert sim.put_cron_entry("red/edit", "1 3 * * *", overlap="allow")[0] == 200
    assert (
        sim.put_cron_entry("red/same", "0 3 * * *", overlap="skip")[0] == 200
    )  # the time stays the same
    assert sim.request("pause", name="red/pause")[0] == 200
    assert sim.request("remove", name="red/remove")[0] == 200
    sim.run(4)
    assert sorted(fired_entries(sim)) == ["red/later", "red/same"]
    sim.put_cron_entry("red/pause", "0 3 * * *", overlap="skip")  # an edit without `paused`
    assert sim.request("show", name="red/pause")[1]["paused"]
    # An edit, a new entry of the same name and a resume repeat no past firing.
    sim.put_cron_entry("red/later", "0 3 * * *", "Etc/UTC", overlap="allow")
    sim.put_cron_entry("red/remove", "0 3 * * *")
    sim.request("resume", name="red/pause")
    sim.run_until("2026-12-01T03:02:00+00:00")
    assert sorted(fired_entries(sim)) == ["red/edit", "red/later", "red/same"]


def test_requests_that_race_with_a_firing_in_the_same_record_succeed():
    sim = settled_simulation("2026-12-01T02:59:30+00:00")
    store_entries(sim, 20, "0 3 * * *")
    sim.run_until("2026-12-01T03:00:00+00:00")
    for n in range(10):
        for label, operation in zip(sim.labels, ("pause", "remove", "run-now"), strict=True):
            sim.command(
                label,
                ServeScheduleRequest(
                    lambda *a: None, operation, {"name": f"red/n{n:03d}", "word": f"w{n}"}
                ),
            )
        sim.run(0.02)
    sim.run(10)
    counts = Counter(job for _, job in sim.firings)
    assert set(counts.values()) == {1}
    assert sum(1 for name in fired_entries(sim) if name >= "red/n010") == 10


def test_clock_skew_causes_no_early_or_repeated_firing():
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    store_entries(sim, 3)
    for at in range(6):
        for n, label in enumerate(sim.labels):  # some clocks behind, some ahead, drifting
            sim.offsets[label] = SKEW_MS / 1000 * ((n + at) % 3 - 1) / 2
        sim.run(25)
        sim.crash(sim.clock_holder())
        sim.run(35)
    assert len(sim.firings) == 18
    assert len({job for _, job in sim.firings}) == 18
    assert max(sim.lateness()) < 8.0
    assert min(Counter(fired_entries(sim)).values()) == 6


def test_a_clock_step_delays_firings_briefly():
    sim = settled_simulation("2026-12-01T03:00:20+00:00")
    store_entries(sim, 1)
    sim.offsets = dict.fromkeys(sim.labels, 600.0)
    sim.run(2)
    sim.offsets = {}
    sim.run(100)
    assert len(sim.firings) == 2  # of 03:01 and 03:02; none of the firings ten minutes ahead
    assert fired_entries(sim) == ["red/n000"] * 2


def test_changed_rules_of_a_time_zone_repeat_no_firing(monkeypatch):
    sim = settled_simulation("2026-11-30T18:59:30+00:00")  # 01:59:30 in Jakarta
    sim.put_cron_entry("red/night", "0 2,5 * * *", "Asia/Jakarta")
    sim.run(60)
    real = zones.zone
    monkeypatch.setattr(
        zones,
        "zone",
        lambda name: ZoneInfo("Asia/Dhaka") if name == "Asia/Jakarta" else real(name),
    )
    for label in sim.labels:
        sim.crash(label)
    for _ in range(5):  # at 02:00 by the new rules, an hour later, nothing repeats
        sim.run(60)
        sim.advance_time_of_day(3540)
    sim.run(10)
    assert [row[0] for row in sim.firing_history("red/night")] == [
        "2026-12-01T01:00",
        "2026-12-01T05:00",
    ]
    assert len(sim.firings) == 2


def test_controllers_without_schedules_do_not_block_the_schedule_roles():
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    store_entries(sim, 2)
    for n, label in enumerate(("h1", "h2", "h0")):  # disable schedules on one after another
        sim.without_schedules.add(label)
        sim.crash(label)
        sim.run(30)
        held = {role for core in sim.cores.values() if core for role in core.context.held_roles}
        assert held == {"red", "blue", "#fleet"} | ({"#clock"} if n < 2 else set())
    sim.without_schedules = {"h0", "h1"}  # and enable them again on one
    sim.crash("h2")
    sim.run(40)
    assert sim.clock_holder() == "h2"
    counts = Counter(fired_entries(sim))
    assert counts["red/n000"] == counts["red/n001"] == 2
    assert len(sim.firings) == 4


# Guards against firings that wait for ever: those of one time exceeded the bytes of a transaction,
# or limits that fell without notice, and were sent again as they were.
@pytest.mark.parametrize("fallen", [{}, {"txn_ops": 4}])
def test_firings_of_large_jobs_at_the_same_time_all_happen(fallen):
    sim = settled_simulation("2026-12-01T02:59:30+00:00")
    sim.put_template("red/t", flavours=["big", *(f"{n:0190d}" for n in range(30))])
    store_entries(sim, 40, "0 3 * * *")
    sim.store.lower_limits(**fallen)
    sim.run(90)
    assert sorted(fired_entries(sim)) == [f"red/n{n:03d}" for n in range(40)]
    assert bool(sim.store.too_large) == bool(fallen)


def test_firings_are_refused_while_the_team_is_removed():
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    sim.put_template("blue/t")
    sim.put_cron_entry("blue/n", "* * * * *", template="blue/t")
    sim.removed_teams.add("blue")
    for label in sim.labels:
        sim.crash(label)
    sim.run(90)
    assert [row[1] for row in sim.firing_history("blue/n")][-1] == "refused"
    assert not sim.firings
    sim.removed_teams.clear()
    for label in sim.labels:
        sim.crash(label)
    sim.run(60)
    assert [row[1] for row in sim.firing_history("blue/n")][-1] == "made"


def test_a_firing_gets_another_job_id_if_an_older_job_has_it():
    sim = settled_simulation("2026-12-01T02:59:30+00:00")
    sim.put_cron_entry("red/n", "0 3 * * *")
    entry = sim.cores["h0"].subsystems[0].store.entries["red/n"]
    taken = records.job_id(entry, str(unix_time("2026-12-01T03:00:00+00:00")), 0, 0)
    old = spec(gpus=0.0)
    sim.specs[taken] = old
    sim.store.revision += 1
    sim.store.put(job_key(taken), encode_job("queued", "red", old, 0, 1), None)
    sim.run(50)
    ((_, job),) = sim.firings
    assert job != taken
    assert sim.firing_history("red/n") == [("2026-12-01T03:00", "made")]


def test_users_cannot_take_the_id_of_a_firing():
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    store_entries(sim, 1)
    sim.submit("job-970000000000000001", spec())
    sim.submit("job-97", spec(gpus=0.0))  # fewer digits: not reserved
    sim.run(45)
    assert sim.refusals == {"job-970000000000000001": 422}
    ((_, job),) = sim.firings
    sim.submit(job, spec())  # a resubmission is answered with the state of the job
    sim.run(5)
    assert job not in sim.refusals


def test_a_step_of_a_template_waits_on_the_step_before():
    sim = settled_simulation("2026-12-01T02:59:30+00:00")
    status, body = sim.put_template("red/chain", ["first", JOB, []], ["then", JOB, ["first"]])
    assert status == 200, body
    sim.put_cron_entry("red/n", "0 3 * * *", template="red/chain")
    sim.run(60)
    (_, first), (_, then) = sim.firings
    assert sim.specs[then].waits_on == (first,)
    for job in (first, then):
        sim.query(job)
    sim.run(3)
    assert sim.reported_state[first] == sim.reported_state[then] == "done"


def test_a_chain_waits_for_an_upgrade_and_delays_no_other():
    sim = ScheduleSimulation("2026-12-01T02:59:20+00:00", first_version=("h2",))
    sim.run(14)
    for name, steps in (
        ("red/chain", (["first", JOB, []], ["then", JOB, ["first"]])),
        ("red/t", (["main", JOB, []],)),
    ):
        assert sim.put_template(name, *steps)[0] == 200
    for n in range(6):  # in more shards than can be written at once
        sim.put_cron_entry(f"red/c{n}", "0 3 * * *", template="red/chain")
    sim.put_cron_entry("red/z", "0 3 * * *")
    sim.run_until("2026-12-01T03:00:10+00:00")
    assert fired_entries(sim) == ["red/z"]
    sim.first_version.clear()
    sim.crash("h2")
    sim.run(30)
    assert len(sim.firings) == 13


def test_a_manual_firing_happens_once():
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    sim.put_cron_entry("red/n", "0 5 * * *")
    sim.request("pause", name="red/n")
    answers = [sim.request("run-now", label, name="red/n", word="w1") for label in sim.labels]
    assert [status for status, _ in answers] == [201, 200, 200]
    assert len({tuple(body["jobs"]) for _, body in answers}) == 1
    assert len(sim.firings) == 1
    assert sim.request("run-now", name="red/n", word="w2")[0] == 201
    assert sim.firing_history("red/n")[-1][1] == "by hand"


@pytest.mark.parametrize(
    "fields, status, expected",
    [
        (dict(name="green/t", steps=[["a", {**JOB, "owner": "green"}, []]]), 422, "unknown team"),
        (dict(name="red/t2", steps=[["a", {**JOB, "vcpus": 99.0}, []]]), 422, "fits no"),
        (
            dict(
                name="red/t2",
                steps=[["a", {**JOB, "accelerators": 4.0, "shape": "ensemble", "pieces": 3}, []]],
            ),
            422,
            "limit",
        ),
        (dict(name="red/t2", steps=[["a", JOB, ["a"]]]), 422, "itself"),
        (dict(name="red/t2", steps=[["a", JOB, ["b"]], ["b", JOB, ["a"]]]), 422, "before it"),
        (dict(name="red/t2", steps=[[str(n), JOB, []] for n in range(9)]), 422, "a turn can make"),
        (dict(name="red/t2", steps=[]), 422, "one job"),
        (dict(name="red/t2"), 400, "steps"),
    ],
)
def test_a_template_that_could_never_run_is_refused_when_it_is_stored(fields, status, expected):
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    answered, body = sim.request("template", **fields)
    assert answered == status
    assert expected in body


@pytest.mark.parametrize(
    "text, zone, options, expected",
    [
        ("61 * * * *", "UTC", {}, "minute"),
        ("@reboot", "UTC", {}, "booted"),
        ("0 0 30 2 *", "UTC", {}, "day"),
        ("* * * *", "UTC", {}, "five"),
        ("0 3 * * *", "Mars/Base", {}, "zone"),
        ("0 3 * * *", "UTC", {"overlap": "no"}, "overlap"),
        ("0 3 * * *", "UTC", {"window_s": 0}, "window"),
        ("0 3 * * *", "UTC", {"t": 1}, "template"),
    ],
)
def test_an_entry_that_could_never_run_is_refused(text, zone, options, expected):
    sim = settled_simulation("2026-12-01T03:00:30+00:00")
    template = "red/none" if options.pop("t", None) else "red/t"
    status, body = sim.put_cron_entry("red/n", text, zone, template, **options)
    assert status == 422
    assert expected in body
    assert sim.request("list", prefix="red/")[1]["entries"] == []


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_lose_and_repeat_no_firing(seed):
    rng = random.Random(seed)
    sim = settled_simulation("2026-12-01T03:00:30+00:00", seed=seed + 1)
    store_entries(sim, 8, jitter_s=5)
    sim.run(5)
    sim.loss_rate = sim.duplicate_rate = sim.slow_rate = 0.02
    for _ in range(6):
        label = rng.choice(sim.labels)
        fault = rng.randrange(5)
        if fault == 0 and sim.cores[label]:
            sim.crash(label, restart_s=rng.uniform(1, 20))
        elif fault == 1 and label not in sim.frozen:
            sim.freeze(label, rng.uniform(1, 12))
        elif fault == 2:
            cut = frozenset((label, "state"))
            sim.cuts.add(cut)
            sim.after(rng.uniform(2, 25), lambda cut=cut: sim.cuts.discard(cut))
        elif fault == 3 and not sim.store.down:
            sim.store.outage(rng.uniform(2, 20))
        sim.run(rng.uniform(10, 40))
    sim.loss_rate = sim.duplicate_rate = sim.slow_rate = 0.0
    sim.run(45)
    sim.run(60 - (sim.start + sim.now) % 60 + 12)
    last = int((sim.start + sim.now) // 60 * 60)
    first = int(sim.start // 60 * 60 + 60)
    store = next(core for core in sim.cores.values() if core).subsystems[0].store
    expected = {
        records.job_id(entry, str(at), 0, 0)
        for entry in store.entries.values()
        for at in range(first, last + 1, 60)
    }
    made = [job for _, job in sim.firings]
    assert len(made) == len(set(made))
    assert set(made) == expected
