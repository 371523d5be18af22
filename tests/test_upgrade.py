"""Rolling upgrades: two versions side by side, and lowered limits of the store."""

import json
import logging
import random
from pathlib import Path

import msgspec
import pytest

from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import decode, encode
from oakmux.codec.peers import decode_batch, encode_message
from oakmux.core import messages
from oakmux.core.controller import Controller
from oakmux.core.state.codecs import decode_block, encode_block, encode_job
from oakmux.core.state.formats import FORMAT, value_bytes
from oakmux.core.state.keys import FORMAT_KEY, block_key, job_key, version_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica
from oakmux.settings import UpcomingLimits
from tests.fakes import TYPE, Simulation, settings_for, spec

FIRST_VERSION = json.loads((Path(__file__).parent / "data" / "first_version.json").read_text())
UPCOMING = UpcomingLimits(value_kb=2.0, txn_ops=4)
LABELS = ("h0", "h1", "h2")


class FirstVersionAnswer(msgspec.Struct, array_like=True):
    """A peer's answer as earlier versions read it."""

    tag: str
    label: str
    incarnation: int
    state_age: float
    cancelled: list[str]


def first_version_replica() -> Replica:
    """Return a replica of records that the first version wrote."""
    replica = Replica()
    replica.load([(key, *row) for key, row in FIRST_VERSION["rows"].items()], 30)
    return replica


def upgrade(sim: Simulation, *labels: str, gap_s: float = 4.0) -> None:
    """Upgrade controllers one after the other."""
    for label in labels:
        sim.first_version.discard(label)
        sim.crash(label, 2.0)
        sim.run(gap_s)


def lower_store_limits(sim: Simulation, value_kb: float = 2.0) -> None:
    """Lower the limits on the size of values and transactions."""
    sim.store.lower_limits(value_kb=value_kb, txn_ops=4)


def cpu_array(tasks: int, **fields):
    """Return an array that needs no GPU."""
    return spec("array", tasks, **{"gpus": 0.0, "cpus": 0.1, "memory_gb": 0.1, **fields})


def test_records_of_the_first_version_are_read_and_written_unchanged():
    replica = first_version_replica()
    assert replica.format == 1
    assert replica.tasks_per_record is None
    assert not replica.unreadable
    states = {job_id: job.state for job_id, job in replica.jobs.items()}
    assert states == {
        "job-1": "queued",
        "job-2": "queued",
        "job-3": "done",
        "job-4": "done",
        "job-5": "cancelled",
    }
    for job in replica.active.values():
        written = encode_job(job.state, job.team, job.spec, job.submitted_ms, job.tasks)
        assert written == FIRST_VERSION["rows"][job_key(job.id)][0]
        assert job.ready
        for number, block in job.blocks.items():
            assert encode_block(block, 1) == FIRST_VERSION["rows"][block_key(job.id, number)][0]
            decoded = decode_block(encode_block(block, 2), block.mod_revision)
            assert (decoded.bindings, decoded.completed_mask, decoded.last_attempt) == (
                block.bindings,
                block.completed_mask,
                block.last_attempt,
            )
    assert len(replica.jobs["job-2"].blocks[0].bindings) == 30


def test_peer_messages_are_compatible_with_the_first_version(caplog):
    core = Controller(settings_for("h1"), random.Random(1), 0)
    core.step(
        0.0,
        [
            messages.UpdateMachineTypes([TYPE]),
            messages.LoadSnapshot(
                [(key, *row) for key, row in FIRST_VERSION["rows"].items()], 30, 0.0
            ),
        ],
    )
    for sender, message in FIRST_VERSION["messages"].values():
        batch = decode_batch(encode(["batch", sender, [message]]))
        effects = core.step(
            1.0, [messages.ReceivePeerMessages(None, batch.sender, batch.messages, batch.since)]
        )
        answers = [
            encode(answer_body(effect.body))
            for effect in effects
            if isinstance(effect, messages.Answer)
        ]
        answer = msgspec.convert(decode(answers[0]), FirstVersionAnswer)
        assert (answer.label, batch.since) == ("h1", -1)
        assert answer.cancelled == [
            j.id for j in core.context.replica.jobs.values() if j.state == "cancelled"
        ]
    assert "message_failed" not in caplog.text
    assert "m1" in core.context.machines
    sim, lengths = Simulation(1), {}
    send = sim.send_to_peer

    def record_call(label, incarnation, peer, message):
        lengths[message.TAG] = len(encode_message(message))
        send(label, incarnation, peer, message)

    sim.send_to_peer = record_call
    sim.run(10)
    sim.submit("job-1", spec("array", 6))
    sim.run(15)
    for tag, (_, message) in FIRST_VERSION["messages"].items():
        assert lengths.get(tag, len(message)) == len(message)
    assert {"view", "reserve", "offer"} <= set(lengths)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_rolling_upgrade_while_jobs_run_and_are_cancelled(seed):
    sim = Simulation(seed, upcoming_limits=UPCOMING, first_version=LABELS)
    rng = random.Random(seed)
    sim.run(12)
    for number in range(6):
        sim.submit(
            f"job-{number}",
            rng.choice(
                [
                    cpu_array(40, estimate_s=30.0),
                    spec("gang", 3, "blue", estimate_s=12.0),
                    spec("array", 5, "blue", estimate_s=8.0),
                    spec("service", 2, "red"),
                ]
            ),
        )
    sim.run(8)
    for label in LABELS:
        assert FORMAT_KEY not in sim.store.rows  # only after the last controller is upgraded
        sim.cancel(f"job-{rng.randrange(6)}")
        upgrade(sim, label)
    sim.run(3)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    lower_store_limits(sim)
    sim.submit("job-7", cpu_array(3, waits_on=("job-1",)))
    assert sim.unfinished_jobs(120) == set()
    assert sim.store.too_large == 0


def test_jobs_with_dependencies_wait_until_every_controller_is_upgraded():
    sim = Simulation(1, upcoming_limits=UPCOMING, first_version=LABELS)
    sim.run(12)
    sim.submit("job-1", cpu_array(1))
    upgrade(sim, "h0", "h1")
    answers = []
    job = cpu_array(1, waits_on=("job-1",))
    sim.command("h0", messages.SubmitJob(lambda *a: answers.append(a[0]), "job-2", job, ""))
    sim.run(1)
    assert answers == [503]
    upgrade(sim, "h2")
    sim.run(3)
    sim.submit("job-2", job)
    sim.run(12)
    sim.query("job-2")
    sim.run(1)
    assert sim.reported_state["job-2"] == "done"


def test_late_writes_of_old_controllers_change_no_record():
    # A delayed transaction may be executed minutes after its sender is gone. If its conditions
    # still held, it would drop fields that only new versions know.
    sim = Simulation(2, upcoming_limits=UPCOMING, first_version=LABELS)
    sent = []
    serve = sim.store.serve

    def record_call(label, operation):
        if (
            isinstance(operation, messages.Transaction)
            and label in sim.first_version
            and operation.writes
        ):
            sent.append(operation)
        return serve(label, operation)

    sim.store.serve = record_call
    sim.run(12)
    sim.submit("job-1", cpu_array(30, estimate_s=60.0))
    sim.submit("job-2", spec("service", 2, "blue"))
    sim.run(8)
    sim.cancel("job-2")
    sim.run(2)
    upgrade(sim, *LABELS)
    sim.run(3)
    rows = {
        key: row[:2]
        for key, row in sim.store.rows.items()
        if key.startswith(("ox/j/", "ox/t/", "ox/own/", "ox/format", "ox/term"))
    }
    assert len(sent) > 5
    for transaction in sent:
        sim.store.transact(transaction.conditions, transaction.writes)
    for key, row in rows.items():
        assert sim.store.rows[key][:2] == row, key


@pytest.mark.parametrize("crashed", [LABELS, ("h0",)])
def test_a_crash_during_the_format_switch_leaves_one_format(crashed):
    sim = Simulation(4, upcoming_limits=UPCOMING, first_version=LABELS)
    sim.run(12)
    sim.submit("job-1", cpu_array(40, estimate_s=25.0))
    sim.run(8)
    upgrade(sim, "h1", "h2")
    sim.first_version.discard("h0")
    sim.crash("h0", 2.0)
    while FORMAT_KEY not in sim.store.rows:
        sim.run(0.002)
    for label in crashed:  # the writer has not received the answer yet
        sim.crash(label, 2.0)
    sim.run(40)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    sim.query("job-1")
    sim.run(6)
    assert sim.reported_state["job-1"] == "done"
    assert all(core.context.replica.format == FORMAT for core in sim.cores.values())


def test_a_controller_partitioned_during_the_format_switch_continues():
    sim = Simulation(5, upcoming_limits=UPCOMING, first_version=LABELS)
    sim.run(12)
    sim.submit("job-1", cpu_array(40, estimate_s=30.0))
    sim.run(6)
    upgrade(sim, "h0", "h1")
    sim.cuts.add(frozenset(("h0", "state")))
    upgrade(sim, "h2")
    sim.run(3)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    assert sim.cores["h0"].context.replica.format == 1
    sim.cuts.clear()
    sim.run(45)
    sim.query("job-1")
    sim.run(3)
    assert sim.reported_state["job-1"] == "done"
    assert sim.cores["h0"].context.replica.format == FORMAT


def test_oversized_records_shrink_after_the_format_switch_and_can_be_deleted():
    sim = Simulation(
        1, upcoming_limits=UpcomingLimits(value_kb=1.2, txn_ops=4), first_version=LABELS
    )
    sim.run(12)
    sim.submit("job-1", cpu_array(64, estimate_s=500.0))
    sim.run(8)
    key = block_key("job-1", 0)
    assert value_bytes(sim.store.rows[key][0]) > 1.2 * 1024
    upgrade(sim, *LABELS)
    sim.run(4)
    assert value_bytes(sim.store.rows[key][0]) <= 1.2 * 1024
    lower_store_limits(sim, 1.2)
    sim.cancel("job-1")
    sim.run(30)
    assert key not in sim.store.rows
    assert sim.store.too_large == 0


def test_limits_lowered_before_the_format_switch_do_not_block_writes():
    # Otherwise the same transaction is resent unchanged until its job ends in another way.
    sim = Simulation(
        1, upcoming_limits=UpcomingLimits(value_kb=1.0, txn_ops=4), first_version=LABELS
    )
    sim.run(12)
    sim.submit("job-1", cpu_array(64, estimate_s=20.0))
    sim.run(8)
    upgrade(sim, "h0", "h1")
    lower_store_limits(sim, 1.0)
    sim.store.too_large = 0
    sim.first_version.discard("h2")
    sim.crash("h2", None)
    sim.run(60)
    assert sim.store.too_large < 25
    sim.boot("h2")
    sim.run(30)
    sim.query("job-1")
    sim.run(2)
    assert sim.reported_state["job-1"] == "done"


def test_a_job_of_many_records_ends_with_four_writes_per_transaction():
    sim = Simulation(1, upcoming_limits=UPCOMING)
    sim.run(12)
    lower_store_limits(sim)
    sim.submit("job-1", cpu_array(64 * 6, estimate_s=2.0, cpus=0.02, memory_gb=0.02))
    sim.submit("job-2", spec("gang", 130, "blue", gpus=0.0, cpus=0.02, memory_gb=0.02))
    sim.run(60)
    for job_id in ("job-1", "job-2"):
        sim.query(job_id)
    sim.run(4)
    assert sim.reported_state == {"job-1": "done", "job-2": "done"}
    assert sim.store.too_large == 0
    assert not [key for key in sim.store.rows if key.startswith("ox/t/")]


def test_full_records_fit_the_upcoming_limit():
    bindings = {
        i: Binding(
            250 + i,
            f"n-{123000 + i:06d}",
            3,
            4100 + i % 7,
            ["tembalang", "candisari", "genuk"][i % 3],
        )
        for i in range(64)
    }
    assert value_bytes(encode_block(TaskBlock(0, 314, 2**64 - 1, bindings), 2)) <= 2048


def test_the_mapping_of_tasks_to_records_does_not_depend_on_limits():
    # A bound task that is looked up in the wrong record looks unbound and is started twice.
    sim = Simulation(1, upcoming_limits=UPCOMING)
    sim.run(12)
    core = sim.cores["h0"]
    assert core.scheduler.buffer.tasks_per_record == 64
    settings = settings_for("h0")
    limits = msgspec.structs.replace(settings.facts.store, value_kb=2.0)  # after the change
    facts = msgspec.structs.replace(settings.facts, store=limits)
    upgraded = Controller(msgspec.structs.replace(settings, facts=facts), random.Random(1), 0)
    assert upgraded.scheduler.buffer.tasks_per_record == 18
    upgraded.step(0.0, [messages.LoadSnapshot([(FORMAT_KEY, [2, 64], 3)], 3, 0.0)])
    assert upgraded.scheduler.buffer.tasks_per_record == 64


def test_records_of_a_later_version_are_logged_once_and_requests_get_503(caplog):
    core = Controller(settings_for("h0"), random.Random(1), 0)
    later_format = FORMAT + 1
    rows = [
        (version_key("h1"), later_format, 1),
        (FORMAT_KEY, [later_format, "other"], 2),
        (job_key("job-1"), {}, 3),
    ]
    with caplog.at_level(logging.ERROR):
        core.step(0.0, [messages.UpdateMachineTypes([TYPE]), messages.LoadSnapshot(rows, 3, 0.0)])
        effects = core.step(
            1.0,
            [
                messages.ApplyWatchEvents(rows, 4, 1.0),
                messages.CheckHealth("a"),
                messages.QueryJob("b", "job-1"),
            ],
        )
    assert [line.split()[0] for line in caplog.messages] == [
        "event=unknown_format",
        "event=unreadable_record",
    ]
    answers = [(e.request, e.status) for e in effects if isinstance(e, messages.Answer)]
    assert answers == [("a", 503), ("b", 503)]
