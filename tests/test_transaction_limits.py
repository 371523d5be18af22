"""No transaction exceeds a limit of the store; none that it refused is sent again as it was."""

import random
from typing import Any

import pytest

from oakmux.codec.store import transaction_body
from oakmux.core import messages
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.transaction_limits import TransactionLimits
from oakmux.core.state.transactions import Delete, Put, Transaction
from oakmux.settings import StoreLimits, UpcomingLimits
from tests.fakes import Simulation, spec
from tests.fakes.store import exceeds_burst, exceeds_limits
from tests.helpers.random_faults import fill_before_outage, run_with_random_faults
from tests.helpers.writer import DrivenWriter

SMALL = StoreLimits(80, 20, 8.0, 12)
LIMITS = [
    SMALL,
    StoreLimits(1000, 1000, 8.0, 48),
    StoreLimits(1000, 1000, 8.0, 1000),  # the bytes of a transaction come first
    StoreLimits(80, 20, 8.0, 12, UpcomingLimits(value_kb=2.0, txn_ops=4)),
    StoreLimits(80, 5, 8.0, 12),  # a second's worth of changes comes first
    StoreLimits(80, 20, 2.0, 2),
    StoreLimits(80, 1, 8.0, 12),  # a job's end and its blocks are written one after the other
]
TEAMS = tuple(f"team-{number}" for number in range(6))


def change_at_random(driven: DrivenWriter, rng: random.Random, first_job: int) -> None:
    """Bind and end tasks of many new jobs of many teams, small and large, and complete some."""
    jobs, larger = rng.choice([1, 30, 90]), rng.choice([0.02, 0.5])
    teams = TEAMS[: rng.choice([1, 6])]
    for number in range(first_job, first_job + jobs):
        tasks = rng.choice([17, 20, 64, 65, 200] if rng.random() < larger else [1, 1, 1, 3, 16])
        team = rng.choice(teams)
        job = driven.add_job(f"job-{number}", tasks, team=team)
        for index in rng.sample(range(tasks), rng.randint(1, min(tasks, 40))):
            driven.bind(job, index, f"n-{rng.randrange(10**6):06d}")
        if rng.random() < 0.3:
            driven.complete(job)


def answer_at_random(
    driven: DrivenWriter, rng: random.Random, sent: list[messages.Transaction]
) -> None:
    """Carry transactions out, lose some answers, and refuse some for the moment."""
    for transaction in sent:
        outcome = rng.random()
        if outcome < 0.6:
            driven.answer(transaction, 200, (driven.carry_out(transaction), []))
        elif outcome < 0.8:
            driven.carry_out(transaction)
            driven.answer(transaction, 0)
        else:
            driven.answer(transaction, 503)


def write_all(driven: DrivenWriter, limits: StoreLimits, rounds: int = 400) -> list[Any]:
    """Write all changes to a store with these limits; return the transactions that it refused."""
    refused: list[Any] = []
    for _ in range(rounds):
        for sent in driven.flush(0.5):
            if exceeds_limits(limits, sent.conditions, sent.writes):
                assert (sent.conditions, sent.writes) not in refused, "sent again as it was"
                refused.append((sent.conditions, sent.writes))
                driven.answer(sent, 400)
            else:
                driven.answer(sent, 200, (driven.carry_out(sent), []))
        if not driven.buffer.changed and not unfinished(driven):
            break
    return refused


def unfinished(driven: DrivenWriter) -> list[str]:
    """Return the finished jobs that are not recorded as done."""
    jobs = driven.context.replica.jobs
    return [job_id for job_id in driven.buffer.finished_jobs if not jobs[job_id].final]


# Guards against a transaction that the store refuses for ever, and with it all writes of a
# controller: blocks of larger jobs were added without regard to the conditions (review/5).
@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_transaction_exceeds_a_limit_with_any_mix_of_jobs(limits, seed):
    driven = DrivenWriter(TEAMS, limits)
    rng = random.Random(seed)
    transactions = 0
    for round_number in range(12):
        change_at_random(driven, rng, 1000 * round_number)
        for _ in range(8):
            sent = driven.flush(0.5)
            transactions += len(sent)
            for transaction in sent:
                assert not exceeds_limits(
                    limits.strictest, transaction.conditions, transaction.writes
                )
                assert not exceeds_burst(limits.strictest, transaction.writes)
            answer_at_random(driven, rng, sent)
    assert transactions >= 12
    assert write_all(driven, limits.strictest, 2000) == []
    assert not driven.buffer.changed
    assert unfinished(driven) == []


# Guards against a controller that stops writing when limits fall without notice: it sent the same
# transaction again and again.
@pytest.mark.parametrize("fallen", [{"txn_ops": 4}, {"txn_ops": 2}, {"value_kb": 2.0}])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_changes_are_written_after_limits_fell_without_notice(fallen, seed):
    driven = DrivenWriter(TEAMS, StoreLimits(1000, 1000, 8.0, 48))
    change_at_random(driven, random.Random(seed), 0)
    change_at_random(driven, random.Random(seed + 10), 1000)
    lower = {"rps": 1000, "write_rps": 1000, "value_kb": 8.0, "txn_ops": 48, **fallen}
    refused = write_all(driven, StoreLimits(**lower))
    assert len(refused) < 40
    if "txn_ops" in fallen:
        assert refused
        assert not driven.buffer.changed


# Guards against one record that the store refuses whatever is beside it: all others are written,
# and it is sent again once it has changed.
@pytest.mark.parametrize("tasks", [3, 20])
def test_a_record_that_is_refused_alone_holds_up_no_other(tasks):
    driven = DrivenWriter(TEAMS, SMALL)
    jobs = [driven.add_job(f"job-{n}", tasks, team=TEAMS[n % 6]) for n in range(12)]
    for job in jobs:
        driven.bind(job)
    refused: list[Any] = []

    def flush_all() -> None:
        for _ in range(200):
            for sent in driven.flush(0.5):
                if any("job-3" in str(write) for write in sent.writes):
                    assert (sent.conditions, sent.writes) not in refused
                    refused.append((sent.conditions, sent.writes))
                    driven.answer(sent, 400)
                else:
                    driven.answer(sent, 200, (driven.carry_out(sent), []))

    flush_all()
    assert set(driven.buffer.changed) == {"job-3"}
    known = len(refused)
    flush_all()
    assert len(refused) == known  # nothing changed, nothing is sent
    driven.bind(jobs[3], 1, "m2")
    flush_all()
    assert len(refused) > known


# Guards against changes that wait for ever because the store was away for longer after a refusal:
# once the limits were used in full again, the same records made up the refused transaction again.
@pytest.mark.parametrize(("job_count", "tasks"), [(1, 400), (12, 5), (12, 400)])
def test_changes_refused_before_a_pause_are_written_in_parts_after_it(job_count, tasks):
    driven = DrivenWriter(TEAMS, StoreLimits(1000, 1000, 8.0, 48))
    fallen = StoreLimits(1000, 1000, 8.0, 2)
    jobs = [driven.add_job(f"job-{n}", tasks, team=TEAMS[0]) for n in range(job_count)]
    for job in jobs:
        for index in range(0, tasks, 60):
            driven.bind(job, index, f"n-{index}")
    for sent in driven.flush():
        assert exceeds_limits(fallen, sent.conditions, sent.writes)
        driven.answer(sent, 400)
    driven.context.now += 300.0
    write_all(driven, fallen)
    assert not driven.buffer.changed


def test_the_limits_are_used_in_full_again_some_time_after_a_refusal():
    now = 0.0
    limits = TransactionLimits(StoreLimits(100, 100, 8.0, 48), lambda: now)
    large = Transaction()
    for number in range(40):
        large.require(f"ox/j/job-{number}", 1)
        large.add_write(Put(f"ox/j/job-{number}", ["done"]))
    assert limits.allow(large.size)
    limits.note_refused(large)
    assert not limits.allow(large.size)
    assert limits.current.writes == 20
    now = 1000.0
    assert limits.allow(large.size)
    assert not limits.may_send(large)  # but not in the same transaction
    assert limits.current.writes == 20


# Guards the sums behind the limit of bytes: a size that is counted too small exceeds it.
@pytest.mark.parametrize("seed", range(5))
def test_the_size_of_a_transaction_is_never_counted_too_small(seed):
    rng = random.Random(seed)
    total, parts = Transaction(), []
    for _ in range(rng.randint(1, 60)):
        part = Transaction()
        name = "".join(rng.choice("abcé-/0123") for _ in range(rng.randint(1, 100)))
        for key in ("ox/own/red", f"ox/j/{name}"):
            part.require(key, rng.randrange(2**64))
        part.add_write(
            rng.choice(
                [Delete(name), Put(name, [name, rng.random()]), Put(name, {"a": [1] * 50}, 2**40)]
            )
        )
        parts.append(part)
    for part in parts:
        expected = total.size_with(part)
        total.merge(part)
        assert total.size == expected
    body = transaction_body(list(total.conditions.items()), total.writes)
    assert value_bytes(body) <= total.size.bytes + len('{"guards":[],"writes":[]}')


# Guards against jobs left waiting: bindings that an outage collected became one transaction with
# too many conditions, which was sent again for ever (review/5).
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("limits", [SMALL, LIMITS[3]])
def test_jobs_start_after_an_outage_that_collects_their_bindings(seed, limits):
    sim = Simulation(seed, 3, store_limits=limits)
    sim.run(12)
    if limits.upcoming.txn_ops:
        sim.store.lower_limits(value_kb=2.0, txn_ops=4)
    fill_before_outage(sim, random.Random(seed), 1000, 5.0)
    sim.run(60)
    assert sim.store.too_large == 0
    assert sim.startable_jobs(30.0) == set()
    assert sim.unfinished_jobs(60) == set()


# Guards `left_waiting` and all rules where limits are small, or fall as announced, under faults.
@pytest.mark.parametrize("seed", [21, 22, 23])
def test_rules_hold_under_random_faults_with_small_and_falling_limits(seed):
    limits = [StoreLimits(1000, 1000, 8.0, 4), SMALL, LIMITS[3]][seed % 3]
    sim = run_with_random_faults(seed, 100.0, store_limits=limits)
    assert sim.unanswered_jobs() == set()
    assert sim.startable_jobs() == set()
    assert sim.unfinished_jobs(150) == set()


# Guards users' answers and cascades: they compare, or cancel, many jobs in one transaction, which
# the store refused for its bytes, or for more changes than it takes in a second.
@pytest.mark.parametrize(
    ("limits", "fallen"),
    [
        (StoreLimits(1000, 1000, 8.0, 1000), {}),
        (StoreLimits(80, 5, 8.0, 48), {}),
        (StoreLimits(1000, 1000, 8.0, 48), {"txn_ops": 4}),
    ],
)
def test_reads_and_cascades_of_many_jobs_keep_within_the_limits(limits, fallen):
    sim = Simulation(1, 3, store_limits=limits)
    sim.run(12)
    sim.submit("job-0", spec("array", 1, estimate_s=500.0))
    sim.run(2)
    for number in range(1, 400):
        chain = spec("array", 1, waits_on=("job-0",), estimate_s=1.0)
        sim.after(0.02 * number, lambda n=number, job=chain: sim.submit(f"job-{n}", job))
    sim.run(15)
    sim.store.lower_limits(**fallen)
    for label in sim.labels:
        for number in range(400):
            sim.send_request(label, messages.QueryJob, f"job-{number}")
    sim.run(1)
    sim.cancel("job-0")
    sim.run(100)
    states = [row[0][0] for key, row in sim.store.rows.items() if key.startswith("ox/j/")]
    assert states == ["cancelled"] * 400
    assert bool(sim.store.too_large) == bool(fallen)
