"""Binding batches: one record holds the bindings of many small jobs; faults of its writer."""

import random
from collections import Counter
from typing import Any

import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.state.binding_batches import BatchRow, reserved_bytes
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.formats import FORMAT, FORMAT_COMPACT, value_bytes
from oakmux.core.state.keys import FORMAT_KEY, batch_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica
from oakmux.settings import StoreLimits, UpcomingLimits
from tests.fakes import LEASE_S, Simulation, spec
from tests.fakes.store import exceeds_limits
from tests.helpers.clusters import check_recovered
from tests.helpers.faults import RepeatedTransactions, record_kinds
from tests.helpers.writer import DrivenWriter
from tools.capacity.cell import Cell, cpu_job

# Cases: the number of controllers and the n-th batch write, at which a fault occurs.
FAULT_CASES = [(3, 1), (3, 3), (7, 2)]


def settled_cluster(seed: int = 1, count: int = 3) -> Simulation:
    """Return a deployment that has machines and writes batches."""
    sim = Simulation(seed, count)
    sim.run(12)
    assert sim.store.rows[FORMAT_KEY][0][0] == FORMAT
    return sim


def small_job(team: str = "red", **more: Any):
    """Return a job of one small task."""
    fields = {"gpus": 0.0, "cpus": 0.1, "memory_gb": 0.1, "estimate_s": 4.0, **more}
    return spec("array", 1, team, **fields)


def submit_small_jobs(
    sim: Simulation, jobs: int, seconds: float, first: int = 0, **more: Any
) -> list[str]:
    """Submit jobs of one task, spread over some seconds; return their ids."""
    names = [f"job-{first + number}" for number in range(jobs)]
    for number, name in enumerate(names):
        team = "red" if number % 2 else "blue"
        sim.after(
            sim.rng.uniform(0.0, seconds),
            lambda n=name, t=team: sim.submit(n, small_job(t, **more)),
        )
    return names


def team_owner(sim: Simulation, team: str) -> str:
    """Return the label of a team's owner."""
    return sim.store.rows[f"ox/own/{team}"][0][0]


def batch_records(sim: Simulation) -> dict[str, tuple[list, int]]:
    """Return all batch records by key, with their revisions."""
    return {key: row[:2] for key, row in sim.store.rows.items() if key.startswith("ox/p/")}


def batch_row(job_id: str, machine: str = "m1", attempt: int = 1, tasks: int = 1) -> list:
    """Return a batch row with one bound task."""
    block = TaskBlock(last_attempt=attempt, bindings={0: Binding(attempt, machine, 1, 1, "a")})
    return BatchRow(job_id, tasks, encode_block(block, FORMAT)).to_value()


# --- writing batches ---


def test_jobs_submitted_together_share_transactions():
    sim = settled_cluster()
    before, changes = sim.store.revision, Counter[str]()
    put, drop = sim.store.put, sim.store.drop

    def count_put(key: str, *args: Any) -> None:
        changes[key.split("/")[1]] += 1
        put(key, *args)

    def count_drop(key: str) -> None:
        changes["-" + key.split("/")[1]] += 1
        drop(key)

    sim.store.put, sim.store.drop = count_put, count_drop
    submit_small_jobs(sim, 60, 4.0)
    assert sim.unfinished_jobs(40) == set()
    assert before
    assert sim.starts == 60
    assert changes["j"] == 120
    assert changes["t"] == changes["-t"] == 0
    assert changes["p"] < 80  # a record per job takes 120 writes: bind, unbind
    assert all(value == [] for value, _ in batch_records(sim).values())


def test_a_batch_has_space_for_all_tasks_of_its_jobs_before_the_first_is_bound():
    sim = settled_cluster()
    for number in range(40):
        sim.submit(f"job-{number}", small_job(estimate_s=400.0))
    sim.submit(
        "job-99", spec("array", constants.BATCH_JOB_TASKS, gpus=0.0, cpus=0.1, memory_gb=0.1)
    )
    sim.submit("job-100", spec("array", constants.BATCH_JOB_TASKS + 1, gpus=0.0, cpus=0.1))
    sim.run(15)
    least = sim.cores["h0"].scheduler.buffer.strictest_value_bytes
    batches = sim.cores["h0"].context.replica.job_records.batches
    assert len(batches) > 1
    for batch in batches.values():
        assert batch.reserved == sum(reserved_bytes(row.tasks) for row in batch.rows.values())
        assert batch.reserved <= min(constants.BATCH_BYTES, least)
    own = [key for key in sim.store.rows if key.startswith("ox/t/")]
    assert {key.split("/")[2] for key in own} <= {"job-100"}  # too many tasks for a batch
    assert sim.store.too_large == 0


# Guards the sum behind BATCH_ROW_BYTES: a batch larger than the value limit can't be written.
def test_full_batch_rows_fit_in_their_reserved_bytes():
    for tasks in (1, 2, 7, constants.BATCH_JOB_TASKS):
        bound = {
            index: Binding(250 + index, f"n-{123000 + index:06d}", 31, 4100 + index, "tembalang")
            for index in range(tasks)
        }
        block = TaskBlock(0, 314, 2**tasks - 1, bound)
        row = BatchRow("job-" + "9" * 18, tasks, encode_block(block, FORMAT)).to_value()
        assert value_bytes(row) + 1 <= reserved_bytes(tasks)


def test_a_batch_at_the_smallest_value_limit_still_holds_a_job():
    sim = Simulation(1)
    sim.upcoming_limits = None
    sim.run(12)
    buffer = sim.cores[team_owner(sim, "red")].scheduler.buffer
    assert reserved_bytes(constants.BATCH_JOB_TASKS) <= buffer.batches.limit
    first = buffer.batches.choose("red", "job-1", constants.BATCH_JOB_TASKS)
    others = {
        buffer.batches.choose("red", f"job-{n}", constants.BATCH_JOB_TASKS) for n in range(2, 6)
    }
    assert first == "red/0"
    assert len(others) > 1
    buffer.batches.release("job-1")
    assert buffer.batches.choose("red", "job-9", 1) == "red/0"


# Guards against a controller that stands still for ever: it looked for a batch with room for a job
# whose bindings no batch can hold under the limit of a value, in force or announced.
@pytest.mark.parametrize(
    "limits",
    [
        StoreLimits(1000, 1000, 1.2, 12),
        StoreLimits(1000, 1000, 8.0, 12, UpcomingLimits(value_kb=1.2)),
    ],
)
@pytest.mark.parametrize("tasks", [1, 10, 11, 16, 17])
def test_a_job_too_large_for_any_batch_has_a_record_of_its_own(limits, tasks):
    driven = DrivenWriter(("red",), limits)
    job = driven.add_job("job-1", tasks)
    for index in range(tasks):
        driven.bind(job, index, f"n-{index:06d}")
    (sent,) = driven.flush()
    keys = {write.key.split("/")[1] for write in sent.writes}
    assert keys == ({"p"} if reserved_bytes(tasks) <= driven.buffer.batches.limit else {"t"})
    assert not exceeds_limits(limits.strictest, sent.conditions, sent.writes)


# --- reading batches ---


def test_a_replica_applies_changed_batch_rows_and_ignores_older_revisions():
    replica = Replica()
    for number, name in enumerate(("job-1", "job-2"), 1):
        replica.apply(job_key(name), encode_job("queued", "red", spec(), 0, 1), number)
    key = batch_key("red/0")
    replica.apply(key, [batch_row("job-1"), batch_row("job-2", "m2")], 10)
    assert {name: list(bound) for name, bound in replica.bindings.by_machine.items()} == {
        "m1": [("job-1", 0)],
        "m2": [("job-2", 0)],
    }
    kept = replica.jobs["job-2"].blocks[0]
    replica.changes.jobs.clear()
    replica.apply(key, [batch_row("job-1", "m3", 2), batch_row("job-2", "m2")], 12)
    assert replica.changes.jobs == {"job-1"}
    assert replica.jobs["job-2"].blocks[0] is kept
    # An older revision is ignored.
    replica.apply(key, [batch_row("job-1"), batch_row("job-2", "m9")], 11)
    assert list(replica.bindings.by_machine) == ["m2", "m3"]
    assert replica.job_records.batches["red/0"].mod_revision == 12
    replica.apply(key, [batch_row("job-2", "m2")], 13)
    assert not replica.jobs["job-1"].blocks
    assert list(replica.bindings.by_machine) == ["m2"]
    replica.apply(batch_key("red/7"), None, 13)  # read, but absent
    assert "red/7" not in replica.job_records.batches
    replica.apply(key, [batch_row("job-1"), ["torn"]], 14)  # malformed: not applied at all
    assert replica.job_records.batches["red/0"].mod_revision == 13
    assert list(replica.bindings.by_machine) == ["m2"]


def test_batch_bindings_count_before_the_job_record_is_known():
    replica = Replica()
    replica.apply(batch_key("red/0"), [batch_row("job-1")], 5)
    assert list(replica.bindings.by_machine) == ["m1"]
    replica.apply(job_key("job-1"), encode_job("queued", "red", spec(gpus=2.0), 0, 1), 4)
    assert replica.usage.by_team["red"] == (1.0, 2.0)
    replica.load([(job_key("job-1"), encode_job("queued", "red", spec(gpus=2.0), 0, 1), 4)], 9)
    assert replica.usage.by_team["red"] == (0.0, 0.0)
    assert not replica.bindings.by_machine


# --- rules: one binder; durable before reported; either cancellation or binding wins ---


def check_jobs_are_guarded(sent: list) -> None:
    """Check that each transaction that binds tasks of a job or ends the job is conditional on the
    job's record, and an end also on the team's role. So a cancellation and a binding can't both
    win, and a replaced owner can't end a job."""
    bound: set[tuple] = set()
    ends = 0
    for _, transaction in sent:
        guarded = {key for key, _ in transaction.conditions}
        for key, value, _ in [write for write in transaction.writes if len(write) == 3]:
            if key.startswith("ox/p/"):
                for row in value:
                    binding = (row[0], str(row[5]))
                    assert not row[5] or binding in bound or job_key(row[0]) in guarded
                    bound.add(binding)
            elif key.startswith("ox/j/") and value[0] == "done":
                ends += 1
                assert key in guarded
                assert f"ox/own/{value[1]}" in guarded
    assert bound
    assert ends


@pytest.mark.parametrize("count", [3, 7])
def test_each_batch_write_is_conditional_and_harmless_when_repeated(count):
    sim = RepeatedTransactions(3, count)
    sim.late_write_share = 0.15
    sim.run(12)
    names = submit_small_jobs(sim, 40, 12.0)
    for step in range(6):
        sim.run(2.5)
        sim.cancel(names[5 * step])
        if step in (2, 4):
            sim.crash(team_owner(sim, "red"), 0.5)
    sim.run(40)
    written = [row for row in sim.sent if "p" in record_kinds(row[1].writes)]
    assert len(written) > 10
    for _, transaction in written:
        guarded = {key for key, _ in transaction.conditions}
        for key, value, _ in [
            write for write in transaction.writes if write[0].startswith("ox/p/")
        ]:
            assert key in guarded
            assert f"ox/own/{key.split('/')[2]}" in guarded
            assert value_bytes(value) <= constants.BATCH_BYTES
    check_jobs_are_guarded(sim.sent)
    for core in sim.cores.values():  # no new writes; everything sent arrives again
        core.step = lambda now, commands: []  # type: ignore[method-assign]
    before = {key: row[:2] for key, row in sim.store.rows.items()}
    for label, transaction in [*written, *reversed(written)]:
        sim.store.serve(label, transaction)
    assert {key: row[:2] for key, row in sim.store.rows.items()} == before


def test_a_task_is_not_bound_after_another_controller_cancelled_its_job():
    sim = settled_cluster()
    owner_label = team_owner(sim, "red")
    core, replica = sim.cores[owner_label], sim.cores[owner_label].context.replica
    sim.submit("job-1", small_job(estimate_s=60.0))
    sim.submit("job-2", small_job(estimate_s=60.0))
    while not replica.jobs.get("job-2") or not replica.jobs.get("job-1"):
        sim.run(0.01)
    sim.stalled_watches = {owner_label}  # it receives no writes of others
    sim.cancel_requested.add("job-1")
    other = next(label for label in sim.labels if label != owner_label)
    answers = sim.send_request(other, messages.CancelJob, "job-1")
    sim.run(0.05)
    assert [status for status, _ in answers] == [200]
    sim.run(2)
    assert not core.context.replica.jobs["job-1"].bindings()
    sim.stalled_watches = set()
    sim.run(8)
    # Not blocked for good by job-1.
    assert [task for _, task, _ in sim.running_tasks()] == ["job-2/0"]
    assert sim.reported_state["job-1"] == "cancelled"


class InterruptedWrites(Simulation):
    """Injects a fault at the n-th write of a batch."""

    def __init__(self, seed: int, count: int, nth_write: int, fault: str) -> None:
        self.writes_left, self.fault, self.armed = nth_write, fault, False
        self.failed_label = ""
        super().__init__(seed, count)

    def send_to_store(self, label: str, effect: messages.StoreOperation, done: Any) -> None:
        writes_batch = isinstance(effect, messages.Transaction) and any(
            write[0].startswith("ox/p/") for write in effect.writes
        )
        if not (self.armed and writes_batch and not self.failed_label):
            super().send_to_store(label, effect, done)
            return
        self.writes_left -= 1
        if self.writes_left:
            super().send_to_store(label, effect, done)
            return
        self.failed_label = label
        self.after(0.0, lambda: self.fail_writer(label, effect, done))

    def fail_writer(self, label: str, effect: messages.StoreOperation, done: Any) -> None:
        """Carry out the write at once, late or never, and make its writer fail."""
        restart_s = 3.0 if "back" in self.fault else 0.1

        def serve() -> Any:
            return self.store.serve(label, effect)

        if "at once" in self.fault:
            serve()
        elif "late" in self.fault:
            self.after(7.0, serve)
        if "ends" in self.fault:
            self.crash(label, restart_s)
        elif "frozen" in self.fault:
            self.freeze(label, LEASE_S + 2.0)
            self.after(LEASE_S + 2.5, lambda: done((0, None)))
        elif "refused" in self.fault:
            self.store.refused = {label}
            self.after(12.0, lambda: setattr(self.store, "refused", set()))
            self.after(1.5, lambda: done((503, None)))
        elif "all end" in self.fault:
            for name in self.labels:
                self.crash(name, self.rng.uniform(0.1, 3.0))
        else:
            self.after(constants.STORE_TIMEOUT_S, lambda: done((0, None)))


# Guards, among others, against a batch that a read after "no answer" does not find: if the writer
# takes it for an empty batch of that revision, its jobs wait forever.
@pytest.mark.parametrize(("count", "nth_write"), FAULT_CASES)
@pytest.mark.parametrize(
    "fault",
    [
        "written at once, its writer ends and is back",
        "written at once, its writer ends",
        "written late, its writer ends and is back",
        "written late, its writer ends",
        "never written, its writer ends",
        "written at once, no answer",
        "written late, no answer",
        "never written, its writer is frozen",
        "written late, its writer is frozen",
        "written late, its writer is refused",
        "written at once, all end",
        "written late, all end",
    ],
)
def test_each_task_is_bound_once_whichever_fault_meets_the_batch_write(count, nth_write, fault):
    sim = InterruptedWrites(10 * nth_write + count, count, nth_write, fault)
    sim.run(12)
    sim.armed = True
    names = submit_small_jobs(sim, 16, 3.0, estimate_s=6.0)
    sim.submit("job-90", spec("gang", 3, "blue", gpus=0.0, cpus=0.5, estimate_s=6.0))
    sim.submit("job-91", spec("service", 2, "red", gpus=0.0, cpus=0.5))
    for seconds in (1.0, 2.5, 5.0, 9.0):
        sim.after(seconds, lambda: sim.cancel(sim.rng.choice(names)))
    sim.run(30)
    assert sim.failed_label
    sim.cancel("job-91")
    check_recovered(sim)
    assert all(value == [] for value, _ in batch_records(sim).values())


# A new owner crashes while it takes over its predecessor's batches, and so does the next owner.
@pytest.mark.parametrize("gap", [0.05, 0.3, 0.8, 2.0])
@pytest.mark.parametrize("count", [3, 7])
def test_batch_rows_are_correct_after_successive_crashes_of_role_holders(count, gap):
    sim = settled_cluster(4, count)
    names = submit_small_jobs(sim, 24, 6.0, estimate_s=8.0)
    sim.run(3)
    for _ in range(4):
        sim.crash(team_owner(sim, "red") if "ox/own/red" in sim.store.rows else sim.labels[0], 1.0)
        sim.cancel(sim.rng.choice(names))
        sim.run(gap + constants.CONTROLLER_LEASE_S * (gap > 1))
    sim.run(15)
    check_recovered(sim)
    assert all(value == [] for value, _ in batch_records(sim).values())


# --- together with the previous version ---


def upgrade_controllers(sim: Simulation, *labels: str, gap: float) -> None:
    """Upgrade controllers of the previous version, one after another."""
    for label in labels:
        sim.known_formats.pop(label, None)
        sim.crash(label, 1.0)
        sim.run(gap)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_rolling_upgrade_switches_to_batches_once_all_can_read_them(count, seed):
    sim = Simulation(seed, count, known_format=FORMAT_COMPACT)
    rng = random.Random(seed)
    sim.run(12)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT_COMPACT, 64]
    names = submit_small_jobs(sim, 12, 4.0, estimate_s=60.0)
    for label in sim.labels:
        sim.run(1)
        assert not batch_records(sim)
        assert sim.store.rows[FORMAT_KEY][0][0] == FORMAT_COMPACT
        sim.cancel(rng.choice(names))
        upgrade_controllers(sim, label, gap=4.0)
    sim.run(3)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT, 64]
    kept = {key for key in sim.store.rows if key.startswith("ox/t/")}
    assert kept  # records of the previous version stay until their jobs end
    submit_small_jobs(sim, 12, 3.0, first=50, estimate_s=5.0)
    sim.run(4)
    assert batch_records(sim)
    check_recovered(sim)
    assert not [key for key in sim.store.rows if key.startswith("ox/t/")]


def test_a_rollback_before_the_switch_keeps_the_earlier_records():
    sim = Simulation(2, known_format=FORMAT_COMPACT)
    sim.run(12)
    upgrade_controllers(sim, "h0", "h1", gap=4.0)
    names = submit_small_jobs(sim, 8, 2.0, estimate_s=10.0)
    for label in ("h0", "h1"):
        sim.known_formats[label] = FORMAT_COMPACT
        sim.crash(label, 1.0)
        sim.run(4)
    assert not batch_records(sim)
    assert sim.store.rows[FORMAT_KEY][0] == [FORMAT_COMPACT, 64]
    check_recovered(sim)
    assert all(sim.reported_state[name] == "done" for name in names)


def test_a_controller_that_cannot_read_written_batches_serves_nothing():
    sim = settled_cluster()
    sim.known_formats["h0"] = FORMAT_COMPACT
    sim.crash("h0", 1.0)
    sim.run(10)
    submit_small_jobs(sim, 6, 1.0)
    sim.run(5)
    answers = sim.send_request("h0", messages.QueryJob, "job-1")
    assert [status for status, _ in answers] == [503]
    check_recovered(sim)


# Guards the byte limit of a transaction: a transaction with the maximum number of records could
# exceed what the store accepts and would be refused forever.
@pytest.mark.parametrize("limit", [4, 8, 1000])
def test_no_transaction_exceeds_the_byte_limit(limit, monkeypatch):
    monkeypatch.setattr(constants, "TRANSACTION_BYTES", limit * 1024)
    sizes: list[int] = []
    cell = Cell(200, run_s=1000.0)
    transaction = cell._transaction

    def record_size(effect: messages.Transaction) -> None:
        sizes.append(sum(value_bytes(write[1]) for write in effect.writes if len(write) > 1))
        transaction(effect)

    monkeypatch.setattr(cell, "_transaction", record_size)
    # Otherwise the autoscaler returns idle machines.
    monkeypatch.setattr(cell.core.autoscaler, "tick", lambda: None)
    cell.run(5.0)
    cell.submit(cpu_job("team-0", 1600, 60.0, "gang"))
    cell.run(5.0)
    for _ in range(100):
        cell.submit(cpu_job("team-0", 1, 60.0))
    cell.run(5.0)
    assert cell.starts == 1700
    assert max(sizes) <= limit * 1024
    assert limit < 100 or max(sizes) > 8 * 1024
