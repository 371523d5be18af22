"""Tests of the scale run: ledger, store, workers, and a small run with real controllers."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from oakmux.codec.cbor import decode
from tools.scale import __main__ as scale
from tools.scale.config import ConfigError, RunConfig, Service, load_config
from tools.scale.gangs import GangEvent, GangHub
from tools.scale.jobs import Job, Kind, parse_job, zone_name
from tools.scale.ledger import Event, Ledger, all_events
from tools.scale.report import RULES
from tools.scale.store import Refused, Store, watch_body
from tools.scale.worker import HollowWorker, TaskKey

DATA = Path(__file__).parent / "data" / "scale.toml"
ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture
def config() -> RunConfig:
    """Return the small run's configuration."""
    return load_config(DATA)


def make_job(kind: Kind, team: int = 0, tasks: int = 2, serial: int = 1) -> Job:
    """Return a job."""
    return Job(kind, team, tasks, 5.0, serial)


def placed_event(at: float, job: Job, number: int, machine: str, zone: int = 0) -> Event:
    """Return the event of a task whose image a machine has fetched."""
    return Event(at, "on", f"{job.id}/{number}", (1, machine, zone_name(zone), ""))


def ended_event(at: float, job: Job, number: int, machine: str, cause: str = "done") -> Event:
    """Return the event of a task that left a machine."""
    return Event(at, "off", f"{job.id}/{number}", (1, machine, zone_name(0), cause))


def user_event(at: float, verb: str, job: Job) -> Event:
    """Return an event of a user's job."""
    return Event(at, verb, job.id, ())


ARRAY, GANG = make_job(Kind.ARRAY), make_job(Kind.GANG, serial=2)
PINNED = make_job(Kind.PINNED, team=1, serial=3)

# Only the ledger decides whether a run broke a rule. Each list must break just its own rule; the
# similar events in CORRECT_EVENTS must break none.
BREAKING_EVENTS = {
    "ran_twice": [placed_event(1, ARRAY, 0, "m1"), placed_event(2, ARRAY, 0, "m2")],
    "quota": [placed_event(1, make_job(Kind.ARRAY, serial=n), 0, f"m{n}") for n in range(40)],
    "wrong_place": [placed_event(1, GANG, 0, "m1", 0), placed_event(2, GANG, 1, "m2", 1)],
    "ran_cancelled": [
        placed_event(1, ARRAY, 0, "m1"),
        user_event(2, "cancelled", ARRAY),
        user_event(30, "asked", GANG),
    ],
    "not_done": [
        placed_event(1, ARRAY, 0, "m1"),
        ended_event(2, ARRAY, 0, "m1"),
        user_event(3, "done", ARRAY),
    ],
    "forgotten": [user_event(1, "accepted", ARRAY), user_event(2, "forgotten", ARRAY)],
}
CORRECT_EVENTS = [
    placed_event(1, ARRAY, 0, "m1"),
    ended_event(2, ARRAY, 0, "m1", "lease"),
    placed_event(3, ARRAY, 0, "m2"),
    ended_event(4, ARRAY, 0, "m2"),
    placed_event(3, ARRAY, 1, "m2"),
    ended_event(4, ARRAY, 1, "m2"),
    user_event(5, "done", ARRAY),
    placed_event(5, GANG, 0, "m1", 1),
    placed_event(5, GANG, 1, "m2", 1),
    ended_event(6, GANG, 0, "m1"),
    user_event(6, "done", GANG),
    ended_event(6.1, GANG, 1, "m2"),
    placed_event(7, PINNED, 0, "m1", 1),
    user_event(8, "cancelled", PINNED),
    ended_event(16.9, PINNED, 0, "m1", "halted"),
    user_event(30, "asked", ARRAY),
]


@pytest.mark.parametrize("rule", RULES)
def test_ledger_reports_only_the_broken_rule(rule, config):
    ledger = Ledger(config)
    ledger.apply_events(BREAKING_EVENTS[rule])
    ledger.close(40.0)
    assert {name for name in RULES if ledger.counts[name]} == {rule}
    assert ledger.breaches[0].rule == rule


def test_ledger_reports_no_breach_for_a_correct_run(config):
    ledger = Ledger(config)
    ledger.apply_events(CORRECT_EVENTS)
    ledger.close(60.0)
    assert not ledger.breaches
    assert ledger.counts["starts"] == 6
    ledger.apply_events([placed_event(61, PINNED, 0, "m1", 0)])
    assert {breach.rule for breach in ledger.breaches} == {"wrong_place", "ran_cancelled"}


def test_task_launched_on_two_workers_breaks_a_rule(config):
    # Injects the fault through the workers instead of listing the events.
    ledger, now = Ledger(config), 0.0

    def observe(verb: str, key: TaskKey, worker: HollowWorker, cause: str) -> None:
        fields = (key.attempt, worker.name, worker.zone, cause)
        ledger.apply_events([Event(now, verb, key.task, fields)])

    workers = [HollowWorker(config, name, "", zone_name(0), 0.0, observe) for name in ("m1", "m2")]
    order = {"verb": "launch", "piece": f"{ARRAY.id}/0", "try": 1}
    for worker in workers:
        assert worker.apply_direct_orders({"baton": 3, "tenure": 1, "orders": [order]}, now) == 200
    now = 1.0
    for worker in workers:
        worker.advance(now)
    assert ledger.counts["ran_twice"] == 1


def test_worker_checks_lease_agent_epoch_and_fencing_token(config):
    worker = HollowWorker(config, "m1", "", zone_name(0), 0.0, lambda *_: None)
    launch = {"verb": "launch", "piece": f"{ARRAY.id}/0", "try": 1}
    worker.apply_answer(0.0, 1, {"baton": 5, "orders": [launch]}, 0.1)
    assert worker.fencing_token == 5
    assert len(worker.tasks) == 1
    assert worker.apply_direct_orders({"baton": 4, "tenure": 1, "orders": []}, 0.2) == 409
    assert worker.apply_direct_orders({"tenure": 1, "orders": []}, 0.2) == 400
    second_launch = {**launch, "try": 2}
    # Dropped: a lower token.
    worker.apply_answer(0.2, 1, {"baton": 4, "orders": [second_launch]}, 0.3)
    assert worker.lease_renewed_at == 0.0
    assert len(worker.tasks) == 1
    worker.apply_answer(0.4, 1, {"baton": 5, "orders": [second_launch]}, 0.5)
    assert worker.tasks[TaskKey(second_launch["piece"], 2)].cause == "in_use"
    worker.advance(0.4 + config.times.lease_s + 0.1)
    assert worker.agent_epoch == 2
    assert not worker.tasks
    worker.apply_answer(9.0, 1, {"baton": 5, "orders": [launch]}, 9.1)  # of an earlier epoch
    assert not worker.tasks


def test_gang_starts_and_ends_together_across_processes():
    hub, job = GangHub(2), make_job(Kind.GANG)
    assert not hub.exchange(0, [GangEvent("ready", job.id, 1, 0)], 0.0)
    assert [order.verb for order in hub.exchange(1, [GangEvent("ready", job.id, 1, 1)], 1.0)] == [
        "go"
    ]
    assert [order.verb for order in hub.exchange(0, [], 6.1)] == ["go", "finish"]
    hub.exchange(0, [GangEvent("ready", job.id, 2, 0)], 7.0)
    hub.exchange(1, [GangEvent("ready", job.id, 2, 1)], 7.0)
    hub.exchange(1, [GangEvent("left", job.id, 2, 1)], 8.0)
    assert [order.verb for order in hub.exchange(0, [], 20.0)] == ["go", "peers"]


def test_store_enforces_guards_leases_and_limits_and_logs_changes():
    store = Store(Service(rps=100, write_rps=6, value_kb=1, txn_ops=2))
    lease = store.grant(0.0, 1000)
    put = {"write": "a/1", "v": [1], "permit": lease}
    assert store.transact(0.0, [{"path": "a/1", "stamp": 0}], [put]) == 1
    with pytest.raises(Refused) as refused:
        store.transact(0.0, [{"path": "a/1", "stamp": 0}], [put])
    assert refused.value.status == 409
    assert refused.value.body["failed"] == ["a/1"]
    with pytest.raises(Refused) as refused:
        store.transact(0.0, [], [{"write": "a/2", "v": "x" * 2000}])
    assert refused.value.status == 400
    with pytest.raises(Refused) as refused:
        store.transact(0.0, [], [{"write": "a/2", "v": 1, "permit": 99}])
    assert refused.value.status == 400
    store.renew(0.9, lease)
    assert not store.expire(1.5)
    assert store.expire(2.0)
    assert not store.records
    with pytest.raises(Refused) as refused:
        store.renew(2.0, lease)
    assert refused.value.status == 404
    events = store.events_since("a/", 0)
    assert events is not None
    assert len(events) == 2
    assert decode(watch_body(store.revision, events))["events"][1] == {
        "delete": "a/1",
        "stamp": 2,
    }
    with pytest.raises(Refused) as refused:
        for _ in range(9):
            store.transact(2.0, [], [{"write": "b", "v": 1}])
    assert refused.value.status == 429


def test_job_ids_decode_to_their_jobs():
    for kind in Kind:
        job = Job(kind, 40, 512, 16.3, 999_999)
        assert parse_job(job.id) == job
    with pytest.raises(ValueError):
        parse_job("job-12")


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("", "missing required field `sizes`"),
        ("[sizes", "Expected"),
        ("controllers = 300", "bounds.processes"),
    ],
)
def test_invalid_configuration_gives_a_one_line_error(text, error, tmp_path):
    path = tmp_path / "run.toml"
    path.write_text(
        DATA.read_text().replace("controllers = 3", text) if "controllers" in text else text
    )
    with pytest.raises(ConfigError, match=error):
        load_config(path)
    result = CliRunner().invoke(scale.main, [str(path)])
    assert result.exit_code == 2
    assert len(result.output.strip().splitlines()) == 1


def test_small_run_with_real_controllers_and_faults_breaks_no_rule(tmp_path):
    out = tmp_path / "report.json"
    result = CliRunner().invoke(scale.main, [str(DATA), "--out", str(out)])
    assert result.exit_code == 0, result.output
    report = json.loads(out.read_bytes())
    assert report["complete"]
    assert report["starts"] > 10
    assert report["accepted"] > 5
    assert set(report["rules"]) == set(RULES)
    assert not any(report["rules"].values())
    assert report["changes"] > 0
    assert report["times"]["submission"]["count"] > 5
    assert 0 < report["most_processes"] <= 9
    assert report["most_memory_mb"] < 2000
    assert "workers" in result.output  # the progress line of each second


def test_children_end_when_the_run_is_killed(tmp_path):
    environment = {**os.environ, "TMPDIR": str(tmp_path)}
    run = subprocess.Popen(
        [sys.executable, "-m", "tools.scale", str(DATA), "--quiet"], cwd=ROOT, env=environment
    )
    try:
        until = time.monotonic() + 90
        while len(processes_of_run(tmp_path)) < 7 and time.monotonic() < until:
            time.sleep(0.1)
        assert len(processes_of_run(tmp_path)) >= 7
    finally:
        run.send_signal(signal.SIGKILL)
        run.wait()
    until = time.monotonic() + 20
    while processes_of_run(tmp_path) and time.monotonic() < until:
        time.sleep(0.05)
    assert not processes_of_run(tmp_path)


def processes_of_run(folder: Path) -> list[str]:
    """Return the command lines of Python processes that mention a run's folder."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = path.read_bytes().decode(errors="replace")
        except OSError:
            continue
        if str(folder) in words and "python" in words:
            found.append(words)
    return found


def test_truncated_line_ends_a_log(tmp_path, config):
    lines = [msgspec.json.encode([1.0, "asked", ARRAY.id]).decode(), '[2.0, "acc']
    (tmp_path / "users.events").write_text("\n".join(lines))
    (tmp_path / "hollow-0.events").write_text('[0.5, "asked", "x"]\n')
    assert [event.name for event in all_events(tmp_path)] == ["x", ARRAY.id]
