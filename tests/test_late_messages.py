"""Heartbeats, worker commands and transactions that are late, repeated or unanswered."""

from collections.abc import Callable
from typing import Any

import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents import reachability
from oakmux.core.model import Heartbeat
from tests.fakes import LEASE_S, FakeWorker, Simulation, spec
from tests.helpers.clusters import (
    busiest_controller,
    busy_cluster,
    check_recovered,
    idle_cluster,
    role_holder,
    running_machines,
)
from tests.helpers.faults import (
    DelayedCommands,
    RepeatedTransactions,
    partition_machines,
    record_kinds,
)


def snapshot_heartbeat(sim: Simulation, name: str) -> Heartbeat:
    """Return the present heartbeat of a machine, for later delivery."""
    return sim.workers[name].snapshot()


def deliver(sim: Simulation, label: str, heartbeat: Heartbeat) -> list[int]:
    """Deliver a copy of a heartbeat; return the status of its answer, which no worker gets."""
    answers: list[int] = []
    sim.command(
        label, messages.ReceiveHeartbeat(lambda status, _: answers.append(status), heartbeat)
    )
    return answers


def test_a_late_heartbeat_does_not_revive_a_terminated_machine():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 4, estimate_s=1.0))
    sim.run(10)
    name = running_machines(sim)[0]
    heartbeat = snapshot_heartbeat(sim, name)
    sim.run(80 + constants.TERMINATION_KEEP_S)
    assert sim.workers[name].dead
    assert not any(key.startswith("ox/gone") for key in sim.store.rows)
    for label in sim.labels:
        assert deliver(sim, label, heartbeat) == [503]
    sim.run(3)
    assert not any(name in core.context.machines for core in sim.cores.values())


@pytest.mark.parametrize("count", [3, 7])
def test_late_heartbeats_at_a_restarted_controller_change_no_decision(count):
    sim = busy_cluster(count)
    name = running_machines(sim)[0]
    heartbeat = snapshot_heartbeat(sim, name)
    sim.run(90)  # the machine becomes idle and is returned
    sim.submit("job-2", spec("array", 4, "red", estimate_s=20.0))
    sim.run(12)
    for label in sim.labels:
        sim.crash(label, 0.2)
    sim.run(0.8)
    terms = sim.store.rows["ox/term"][0]
    for label in sim.labels:
        deliver(sim, label, heartbeat)
        machine = sim.cores[label].context.machines.get(name)
        assert machine is None or not reachability.is_reachable(machine)
    sim.run(3)
    # Each controller allocates one range of terms at its start.
    assert sim.store.rows["ox/term"][0] <= terms + count * constants.TERMS_PER_RANGE
    assert sim.unfinished_jobs(100) == set()
    assert not any(name in core.context.machines for core in sim.cores.values())


@pytest.mark.parametrize("verb", ["launch", "halt"])
@pytest.mark.parametrize("seconds", [3.0, LEASE_S - 1, 3 * LEASE_S])
def test_a_worker_command_delayed_across_a_controller_change_breaks_no_rule(verb, seconds):
    for controller_crash in (False, True):
        sim = DelayedCommands(6, verb, seconds)
        sim.capacity = 3
        sim.run(8)
        sim.submit("job-0", spec("service", 2, "blue"))
        sim.run(8)
        sim.armed = True
        sim.submit("job-1", spec("array", 3, estimate_s=6.0))
        sim.run(2)
        sim.cancel("job-0")
        sim.run(0.5)
        sim.submit("job-2", spec("gang", 2, "blue", estimate_s=4.0))
        sim.run(1)
        assert sim.delayed_at
        if controller_crash:
            sim.crash(busiest_controller(sim), 0.2)
        sim.run(seconds + 2)
        sim.armed = False
        check_recovered(sim, 60)


def test_a_start_command_is_not_resent_after_its_task_was_forgotten(monkeypatch):
    """A repeated `launch` after `forget` would run the task again.

    A controller sends the start of an attempt only while its binding exists and no earlier command
    for it is unresolved, and sends `forget` only after the binding has ended.
    """
    sim = Simulation(1)
    sim.run(12)
    sent: dict[tuple, set[str]] = {}
    repeated_starts: list[tuple] = []
    apply_commands = FakeWorker.apply_commands

    def record_commands(self: FakeWorker, fencing_token: int, orders: list) -> None:
        for order in orders:
            task = (self.name, order["piece"], order["try"])
            if order["verb"] == "launch" and "forget" in sent.get(task, ()):
                repeated_starts.append(task)
            sent.setdefault(task, set()).add(order["verb"])
        apply_commands(self, fencing_token, orders)

    monkeypatch.setattr(FakeWorker, "apply_commands", record_commands)
    sim.slow_rate = sim.duplicate_rate = 0.05
    for step in range(24):
        sim.submit(f"job-2{step}", spec("array", 3, "red" if step % 2 else "blue", estimate_s=2.0))
        if step % 3 == 2:
            sim.crash(sim.rng.choice(sim.labels), 0.2)
        sim.run(3)
    sim.slow_rate = sim.duplicate_rate = 0.0
    check_recovered(sim, 60)
    assert sum("forget" in verbs for verbs in sent.values()) >= 20
    assert not repeated_starts


@pytest.mark.parametrize("count", [3, 7])
def test_a_replayed_heartbeat_changes_nothing_at_any_controller(count):
    sim = busy_cluster(count, run_s=9.0)
    old_heartbeats: list[Any] = []

    for step in range(8):
        old_heartbeats += [sim.workers[name].peek() for name in running_machines(sim)]
        if step == 3:  # their leases expire
            sim.drop_inbound(running_machines(sim)[:2], 1.5 * LEASE_S)
        sim.submit(f"job-1{step}", spec("array", 3, "red" if step % 2 else "blue"))
        sim.run(3)
    sim.submit("job-9", spec("service", 3, "blue"))
    sim.run(25)
    sim.crash(sim.labels[-1], 0.1)
    sim.run(0.3)  # just started: no heartbeat has arrived yet
    for heartbeat in reversed(old_heartbeats):
        for label in sim.labels:
            machine = sim.cores[label].context.machines.get(heartbeat.machine)
            version = machine and machine.version
            deliver(sim, label, heartbeat)
            assert machine is None or machine.version >= version
        sim.run(0.02)
    before = sim.start_log[:]
    sim.run(20)
    assert [row for row in sim.start_log[len(before) :] if row[1].startswith("job-9")] == []
    check_recovered(sim, 60)


# Records of facts that never become false, and a controller's own key.
UNGUARDED = {"n", "gone", "types", "version"}


@pytest.mark.parametrize("count", [3, 7])
def test_each_kind_of_transaction_is_conditional_or_harmless_when_repeated(count):
    sim = RepeatedTransactions(5, count)
    sim.late_write_share = 0.1
    sim.run(12)
    for step in range(8):
        sim.submit(
            f"job-{step}",
            spec(
                ("array", "gang", "service")[step % 3],
                3,
                "red" if step % 2 else "blue",
                estimate_s=3.0,
                waits_on=("job-0",) if step == 6 else (),
            ),
        )
        if step in (0, 4):
            sim.cancel(f"job-{step}")
        if step in (3, 5):
            sim.crash(sim.labels[step - 3], 0.5)
        if step == 6:
            sim.store.refused = {sim.labels[1]}
            sim.after(6.0, lambda: setattr(sim.store, "refused", set()))
        sim.run(5)
    sim.submit("job-9", spec("array", 20, gpus=0.0, cpus=0.1))  # too large for a batch record
    sim.kill(sim.running_tasks()[0][0].name)  # so that its termination is recorded
    sim.run(40)
    written = set().union(*(record_kinds(transaction.writes) for _, transaction in sim.sent))
    assert written >= {"j", "t", "p", "own", "n", "term", "version", "format", "gone", "types"}
    for _, transaction in sim.sent:
        writes = transaction.writes
        keys = {write[0] for write in writes if write[0].split("/")[1] not in UNGUARDED}
        condition_keys = {key for key, _ in transaction.conditions}
        assert keys <= condition_keys, keys
        # A replaced role holder must not bind tasks in addition to its successor (rule `quota`).
        assert not record_kinds(writes) & {"t", "p"} or any(
            k.startswith("ox/own/") for k in condition_keys
        )
    for core in sim.cores.values():  # no new writes; only the recorded transactions are repeated
        core.step = lambda now, commands: []  # type: ignore[method-assign]
    rows = {k: v[:2] for k, v in sim.store.rows.items()}
    for label, transaction in [*sim.sent, *reversed(sim.sent)]:
        if record_kinds(transaction.writes) & UNGUARDED:
            assert len(record_kinds(transaction.writes) - UNGUARDED) == 0
            continue
        sim.store.serve(label, transaction)
    assert {k: v[:2] for k, v in sim.store.rows.items()} == rows


@pytest.mark.parametrize("kind", sorted(UNGUARDED))
def test_an_unconditional_record_written_or_deleted_late_is_corrected(kind):
    sim = RepeatedTransactions(5)
    sim.run(12)
    sim.submit("job-1", spec("service", 4))
    sim.run(10)
    sim.kill(sim.running_tasks()[0][0].name)
    sim.run(70 + constants.TERMINATION_KEEP_S)
    sim.submit("job-2", spec("array", 4, "blue", estimate_s=60.0))
    sim.run(10)
    before = len(sim.start_log)
    transactions = [row for row in sim.sent if kind in record_kinds(row[1].writes)]
    assert transactions
    for label, transaction in transactions:
        sim.store.serve(label, transaction)
        sim.run(0.2)
    sim.run(20 + constants.TERMINATION_KEEP_S)
    assert len(sim.start_log) == before  # the repeated write lost no role, machine or task
    gone = [key for key in sim.store.rows if key.startswith("ox/gone/")]
    assert not gone
    assert sorted(sim.cores["h0"].context.replica.live_controllers) == sim.labels
    check_recovered(sim, 80)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_writes_of_crashed_controllers_and_late_heartbeats_together(seed):
    sim = Simulation(seed, 7 if seed == 3 else 3)
    sim.run(10)
    sim.late_write_share, sim.late_copy_share = 0.25, 0.3
    for step in range(14):
        sim.submit(
            f"job-{step}",
            spec(
                ("array", "gang", "array")[step % 3],
                2 + step % 2,
                "red" if step % 2 else "blue",
                estimate_s=4.0 + step,
            ),
        )
        if step % 4 == 1:
            sim.after(3.0, lambda n=step: sim.cancel(f"job-{n}"))  # type: ignore[misc]
        if step % 3 == 0:
            sim.crash(sim.rng.choice(sim.labels), sim.rng.uniform(0.05, 1.0))
        if step % 5 == 2:
            sim.drop_inbound(
                sim.rng.sample(running_machines(sim), min(2, len(running_machines(sim)))),
                2 * LEASE_S,
            )
        if step == 9:  # a zone is partitioned while all controllers restart
            zone = [name for name in running_machines(sim) if sim.workers[name].zone == "a"]
            partition_machines(sim, zone, 1.3 * LEASE_S)
            for label in sim.labels:
                sim.crash(label, sim.rng.uniform(0.05, 1.0))
        sim.run(4)
    check_recovered(sim, 200)


class UnansweredTransactions(RepeatedTransactions):
    """Loses the answer of the n-th transaction that changes records of a kind."""

    def __init__(self, kind: str, at: int, count: int) -> None:
        self.kind, self.remaining, self.armed = kind, at, False
        super().__init__(5, count)

    def send_to_store(
        self, label: str, effect: messages.StoreOperation, done: Callable[[tuple], None]
    ) -> None:
        if (
            self.armed
            and isinstance(effect, messages.Transaction)
            and self.kind in record_kinds(effect.writes)
        ):
            self.remaining -= 1
            if self.remaining == 0:
                self.after(self.delay(), lambda: self.store.serve(label, effect))
                self.after(constants.STORE_TIMEOUT_S, lambda: done((0, None)))
                return
        super().send_to_store(label, effect, done)


@pytest.mark.parametrize("kind", ["j", "t", "p", "own", "term", "n"])
@pytest.mark.parametrize("count", [3, 7])
def test_an_unanswered_write_is_neither_reverted_nor_repeated(kind, count):
    # Must not happen: a task bound or a job accepted twice, a cancellation or an end undone.
    # Small jobs have their bindings in shared batch records, larger jobs in their own records.
    tasks, gpus = (constants.BATCH_JOB_TASKS + 1, 0.1) if kind == "t" else (2, 1.0)
    for at in {"j": (1, 2, 4, 7), "t": (1, 2, 3), "p": (1, 2, 3)}.get(kind, (1,)):
        sim = UnansweredTransactions(kind, at, count)
        sim.run(12)
        sim.query_burst_share = 1.0
        sim.armed = True
        sim.crash(role_holder(sim, "red"), 0.4)
        for step in range(5):
            sim.submit(
                f"job-{step}",
                spec(
                    ("array", "gang")[step % 2],
                    tasks,
                    "red" if step % 2 else "blue",
                    estimate_s=2.0,
                    gpus=gpus,
                    cpus=gpus,
                    memory_gb=1.0,
                ),
            )
            if step in (1, 3):
                sim.after(1.2, lambda n=step, sim=sim: sim.cancel(f"job-{n}"))
            sim.run(2)
        sim.run(6)
        assert sim.remaining <= 0
        sim.query_burst_share = 0.0
        attempts = [(task, attempt) for _, task, attempt, _ in sim.start_log]
        assert len(attempts) == len(set(attempts))
        check_recovered(sim, 40)


@pytest.mark.parametrize("delay_s", [0.05, 0.3, 0.7, 1.2, 2.0, 4.0])
@pytest.mark.parametrize("count", [3, 7])
def test_stale_heartbeats_at_a_new_leader_change_nothing(delay_s, count):
    """The heartbeats show old agent epochs, fencing tokens and attempts.

    They arrive before or after the first heartbeat to the new leader. Must not happen: a running
    task counts as gone or done, a terminated machine counts as alive.
    """
    sim = Simulation(5, count)
    sim.run(12)
    for number in range(4):
        sim.submit(
            f"job-{number}", spec("array", 3, "red" if number < 2 else "blue", estimate_s=300.0)
        )
    old_heartbeats = []
    for step in range(5):
        sim.run(3)
        old_heartbeats += [sim.workers[name].peek() for name in running_machines(sim)]
        if step == 1:
            sim.drop_inbound(running_machines(sim)[:1], 1.2 * LEASE_S)
        if step == 3:
            sim.kill(running_machines(sim)[0])
    sim.run(50)
    placement = sorted((task, worker.name) for worker, task, _ in sim.running_tasks())
    starts = len(sim.start_log)
    crashed = {busiest_controller(sim), role_holder(sim, "red"), role_holder(sim, "#fleet")}
    for label in crashed:
        sim.crash(label, 0.2)
    sim.run(0.2 + delay_s)
    for heartbeat in [*old_heartbeats, *reversed(old_heartbeats)]:
        for label in sim.labels:
            if sim.cores[label] is not None:
                deliver(sim, label, heartbeat)
    sim.run(8)
    final_placement = sorted((task, worker.name) for worker, task, _ in sim.running_tasks())
    assert final_placement == placement
    assert len(sim.start_log) == starts
    check_recovered(sim, 350)
