"""Rolling upgrades: two versions side by side, and limits that are lowered."""

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

FIRST = json.loads((Path(__file__).parent / "data" / "first_version.json").read_text())
COMING = UpcomingLimits(value_kb=2.0, txn_ops=4)
ALL = ("h0", "h1", "h2")


class OldAnswer(msgspec.Struct, array_like=True):
    """A peer's answer as earlier versions read it."""

    tag: str
    label: str
    incarnation: int
    state_age: float
    cancelled: list[str]


def first_replica() -> Replica:
    """Return a replica of what the first version wrote."""
    replica = Replica()
    replica.load([(key, *row) for key, row in FIRST["rows"].items()], 30)
    return replica


def upgrade(sim: Simulation, *labels: str, gap: float = 4.0) -> None:
    """Replace controllers by new ones, one after the other."""
    for label in labels:
        sim.first_version.discard(label)
        sim.crash(label, 2.0)
        sim.run(gap)


def fall(sim: Simulation, value_kb: float = 2.0) -> None:
    """Lower the state service's limits."""
    sim.store.value_kb, sim.store.txn_ops = value_kb, 4


def small(tasks: int, **more):
    """Return an array that needs no GPU."""
    return spec("array", tasks, **{"gpus": 0.0, "cpus": 0.1, "memory_gb": 0.1, **more})


def test_records_of_the_first_version_are_read_and_written_alike():
    replica = first_replica()
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
        assert written == FIRST["rows"][job_key(job.id)][0]
        assert job.ready
        for number, block in job.blocks.items():
            assert encode_block(block, 1) == FIRST["rows"][block_key(job.id, number)][0]
            again = decode_block(encode_block(block, 2), block.mod_revision)
            assert (again.bindings, again.completed_mask, again.last_attempt) == (
                block.bindings,
                block.completed_mask,
                block.last_attempt,
            )
    assert len(replica.jobs["job-2"].blocks[0].bindings) == 30


def test_messages_of_the_first_version_are_understood_and_ours_have_their_form(caplog):
    core = Controller(settings_for("h1"), random.Random(1), 0)
    core.step(
        0.0,
        [
            messages.UpdateMachineTypes([TYPE]),
            messages.LoadSnapshot([(key, *row) for key, row in FIRST["rows"].items()], 30, 0.0),
        ],
    )
    for sender, message in FIRST["messages"].values():
        batch = decode_batch(encode(["batch", sender, [message]]))
        effects = core.step(
            1.0, [messages.ReceivePeerMessages(None, batch.sender, batch.messages, batch.since)]
        )
        answers = [
            encode(answer_body(effect.body))
            for effect in effects
            if isinstance(effect, messages.Answer)
        ]
        old = msgspec.convert(decode(answers[0]), OldAnswer)
        assert (old.label, batch.since) == ("h1", -1)
        assert old.cancelled == [
            j.id for j in core.context.replica.jobs.values() if j.state == "cancelled"
        ]
    assert "message_failed" not in caplog.text
    assert "m1" in core.context.machines
    sim, forms = Simulation(1), {}
    send = sim.send_to_peer

    def noted(label, incarnation, peer, message):
        forms[message.TAG] = len(encode_message(message))
        send(label, incarnation, peer, message)

    sim.send_to_peer = noted
    sim.run(10)
    sim.submit("job-1", spec("array", 6))
    sim.run(15)
    for tag, (_, message) in FIRST["messages"].items():
        assert forms.get(tag, len(message)) == len(message)
    assert {"view", "reserve", "offer"} <= set(forms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_rolling_upgrade_while_jobs_run_and_are_cancelled(seed):
    sim = Simulation(seed, upcoming_limits=COMING, first_version=ALL)
    dice = random.Random(seed)
    sim.run(12)
    for number in range(6):
        sim.submit(
            f"job-{number}",
            dice.choice(
                [
                    small(40, estimate_s=30.0),
                    spec("gang", 3, "blue", estimate_s=12.0),
                    spec("array", 5, "blue", estimate_s=8.0),
                    spec("service", 2, "red"),
                ]
            ),
        )
    sim.run(8)
    for label in ALL:
        assert FORMAT_KEY not in sim.store.rows  # not before the last of them is new
        sim.cancel(f"job-{dice.randrange(6)}")
        upgrade(sim, label)
    sim.run(3)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    fall(sim)
    sim.submit("job-7", small(3, waits_on=("job-1",)))
    assert sim.unfinished_jobs(120) == set()
    assert sim.store.too_large == 0


def test_jobs_with_dependencies_wait_until_every_controller_is_upgraded():
    sim = Simulation(1, upcoming_limits=COMING, first_version=ALL)
    sim.run(12)
    sim.submit("job-1", small(1))
    upgrade(sim, "h0", "h1")
    answers = []
    job = small(1, waits_on=("job-1",))
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
    # A transaction that the network held may be carried out minutes after its sender is gone. Had
    # it been built on a record that still stands, it would drop what only new versions know.
    sim = Simulation(2, upcoming_limits=COMING, first_version=ALL)
    sent = []
    serve = sim.store.serve

    def noted(label, operation):
        if (
            isinstance(operation, messages.Transaction)
            and label in sim.first_version
            and operation.writes
        ):
            sent.append(operation)
        return serve(label, operation)

    sim.store.serve = noted
    sim.run(12)
    sim.submit("job-1", small(30, estimate_s=60.0))
    sim.submit("job-2", spec("service", 2, "blue"))
    sim.run(8)
    sim.cancel("job-2")
    sim.run(2)
    upgrade(sim, *ALL)
    sim.run(3)
    kept = {
        key: row[:2]
        for key, row in sim.store.rows.items()
        if key.startswith(("ox/j/", "ox/t/", "ox/own/", "ox/format", "ox/term"))
    }
    assert len(sent) > 5
    for transaction in sent:
        sim.store.transact(transaction.conditions, transaction.writes)
    for key, row in kept.items():
        assert sim.store.rows[key][:2] == row, key


@pytest.mark.parametrize("crashed", [ALL, ("h0",)])
def test_a_crash_around_the_switch_leaves_one_format(crashed):
    sim = Simulation(4, upcoming_limits=COMING, first_version=ALL)
    sim.run(12)
    sim.submit("job-1", small(40, estimate_s=25.0))
    sim.run(8)
    upgrade(sim, "h1", "h2")
    sim.first_version.discard("h0")
    sim.crash("h0", 2.0)
    while FORMAT_KEY not in sim.store.rows:
        sim.run(0.002)
    for label in crashed:  # whoever wrote it has not heard so yet
        sim.crash(label, 2.0)
    sim.run(40)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    sim.query("job-1")
    sim.run(6)
    assert sim.reported_state["job-1"] == "done"
    assert all(core.context.replica.format == FORMAT for core in sim.cores.values())


def test_a_new_controller_partitioned_during_the_switch_continues_after_it():
    sim = Simulation(5, upcoming_limits=COMING, first_version=ALL)
    sim.run(12)
    sim.submit("job-1", small(40, estimate_s=30.0))
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


def test_records_left_too_large_are_shrunk_after_the_switch_and_can_be_released():
    sim = Simulation(1, upcoming_limits=UpcomingLimits(value_kb=1.2, txn_ops=4), first_version=ALL)
    sim.run(12)
    sim.submit("job-1", small(64, estimate_s=500.0))
    sim.run(8)
    key = block_key("job-1", 0)
    assert value_bytes(sim.store.rows[key][0]) > 1.2 * 1024
    upgrade(sim, *ALL)
    sim.run(4)
    assert value_bytes(sim.store.rows[key][0]) <= 1.2 * 1024
    fall(sim, 1.2)
    sim.cancel("job-1")
    sim.run(30)
    assert key not in sim.store.rows
    assert sim.store.too_large == 0


def test_lowered_limits_before_the_switch_do_not_block_writes_forever():
    # The same transaction was once sent again unchanged until its job ended otherwise.
    sim = Simulation(1, upcoming_limits=UpcomingLimits(value_kb=1.0, txn_ops=4), first_version=ALL)
    sim.run(12)
    sim.submit("job-1", small(64, estimate_s=20.0))
    sim.run(8)
    upgrade(sim, "h0", "h1")
    fall(sim, 1.0)
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


def test_a_job_of_many_records_ends_within_four_changes():
    sim = Simulation(1, upcoming_limits=COMING)
    sim.run(12)
    fall(sim)
    sim.submit("job-1", small(64 * 6, estimate_s=2.0, cpus=0.02, memory_gb=0.02))
    sim.submit("job-2", spec("gang", 130, "blue", gpus=0.0, cpus=0.02, memory_gb=0.02))
    sim.run(60)
    for job_id in ("job-1", "job-2"):
        sim.query(job_id)
    sim.run(4)
    assert sim.reported_state == {"job-1": "done", "job-2": "done"}
    assert sim.store.too_large == 0
    assert not [key for key in sim.store.rows if key.startswith("ox/t/")]


def test_full_records_keep_within_the_coming_limit():
    bound = {
        i: Binding(
            250 + i,
            f"n-{123000 + i:06d}",
            3,
            4100 + i % 7,
            ["tembalang", "candisari", "genuk"][i % 3],
        )
        for i in range(64)
    }
    assert value_bytes(encode_block(TaskBlock(0, 314, 2**64 - 1, bound), 2)) <= 2048


def test_the_mapping_of_tasks_to_records_does_not_move_with_the_limits():
    # A bound task that is looked for in another record looks unbound (ran_twice).
    sim = Simulation(1, upcoming_limits=COMING)
    sim.run(12)
    core = sim.cores["h0"]
    assert core.scheduler.buffer.tasks_per_record == 64
    page = settings_for("h0")
    limits = msgspec.structs.replace(page.facts.store, value_kb=2.0)  # the new limits, one day
    facts = msgspec.structs.replace(page.facts, store=limits)
    later = Controller(msgspec.structs.replace(page, facts=facts), random.Random(1), 0)
    assert later.scheduler.buffer.tasks_per_record == 18
    later.step(0.0, [messages.LoadSnapshot([(FORMAT_KEY, [2, 64], 3)], 3, 0.0)])
    assert later.scheduler.buffer.tasks_per_record == 64


def test_records_of_a_later_version_are_logged_once_and_nothing_is_served(caplog):
    core = Controller(settings_for("h0"), random.Random(1), 0)
    later = FORMAT + 1
    rows = [
        (version_key("h1"), later, 1),
        (FORMAT_KEY, [later, "other"], 2),
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
