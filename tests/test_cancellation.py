"""Cancellations reach every task in time, across crashes, partitions and store outages."""

from typing import Any

import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import job_key
from oakmux.core.state.replica import Replica
from tests.fakes import CANCEL_S, LEASE_S, Simulation, spec
from tests.helpers.clusters import (
    busiest_controller,
    busy_cluster,
    cancel_through,
    check_recovered,
    idle_cluster,
    machines_reporting_to,
    machines_running,
    move_workers_to,
    role_holder,
    running_machines,
    teams_at_quota,
)
from tests.helpers.faults import DelayedCommands, inject_fault, reconnect


def test_cancelled_job_stops_and_stays_cancelled():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 2))
    sim.run(10)
    assert len(sim.running_tasks()) == 2
    sim.cancel("job-1")
    sim.run(CANCEL_S)
    assert not sim.running_tasks()
    sim.query("job-1")
    sim.submit("job-1", sim.specs["job-1"])
    sim.run(2)
    assert sim.reported_state["job-1"] == "cancelled"


def test_cancelled_tasks_on_an_unreachable_machine_end_in_time():
    sim = Simulation(3)
    sim.run(12)
    sim.submit("job-1", spec("service", 4))
    sim.run(10)
    sim.drop_inbound(running_machines(sim), 100.0)
    sim.cancel("job-1")
    sim.run(CANCEL_S + 2)  # the fakes check the time limit too
    assert sim.reported_state["job-1"] == "cancelled"
    assert not sim.running_tasks()


@pytest.mark.parametrize("count", [3, 7])
def test_cancellation_before_an_outage_reaches_a_controller_the_store_refused(count):
    sim = busy_cluster(count, run_s=300.0)
    refused_label = sim.labels[0]
    move_workers_to(sim, refused_label)
    sim.store.refused = {refused_label}
    sim.run(1)
    cancel_through(sim, sim.labels[1], "job-0")
    sim.run(0.4)
    sim.store.outage(2 * CANCEL_S)
    sim.store.refused = set()
    others = [task for _, task, _ in sim.running_tasks() if task.startswith("job-1/")]
    sim.run(CANCEL_S + 2)  # the fakes check that no task of job-0 is left by then
    assert not machines_running(sim, "job-0")
    # The controller could answer its workers throughout the outage, and did.
    assert machines_reporting_to(sim, refused_label) == running_machines(sim)
    assert [task for _, task, _ in sim.running_tasks() if task.startswith("job-1/")] == others
    check_recovered(sim, 350)


@pytest.mark.parametrize("count", [3, 7])
def test_a_controller_without_the_bindings_forwards_a_cancellation(count):
    # Guards against a controller that confirms the cancellation with the job's record but without
    # its bindings: it takes the job for one without tasks and forwards the cancellation to nobody.
    sim = busy_cluster(count)
    refused_label = sim.labels[0]
    other = next(
        label for label in sim.labels[1:] if "red" not in sim.cores[label].context.held_roles
    )
    move_workers_to(sim, refused_label)
    for job_id in ("job-0", "job-1"):
        sim.cancel(job_id)
    sim.run(4)
    sim.stalled_watches = {other}
    sim.submit("job-5", spec("array", 4, estimate_s=300.0))
    sim.run(2)
    assert len(machines_running(sim, "job-5")) == 4
    sim.store.refused = {refused_label}
    sim.stalled_watches = {*sim.labels} - {refused_label}  # peers receive no changes any more
    cancel_through(sim, other, "job-5")
    sim.store.outage(2 * CANCEL_S)
    sim.store.refused, sim.stalled_watches = set(), set()
    sim.run(CANCEL_S + 2)
    assert machines_reporting_to(sim, refused_label) == running_machines(sim)
    check_recovered(sim)


@pytest.mark.parametrize("terms", ["lower", "higher"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_task_missing_from_the_replica_is_stopped_when_its_job_is_cancelled(count, terms):
    # The store refuses a controller, then a task is bound. In the outage its worker moves to the
    # refused controller, with the token of a controller that runs but that the worker can't reach.
    sim = Simulation(4, count)
    sim.capacity = 3
    sim.run(8)
    refused_label, binder = sim.labels[0], sim.labels[1]
    sim.submit("job-0", spec("service", 1, "blue"))
    sim.run(8)
    if terms == "higher":  # the controller that starts last has the highest term
        sim.crash(refused_label, 0.2)
    else:
        sim.crash(binder, 0.2)
    sim.run(8)
    move_workers_to(sim, binder)
    sim.store.refused = {refused_label}
    sim.run(8)  # its roles have moved to others
    sim.submit("job-1", spec("array", 3, estimate_s=300.0))
    sim.run(3)
    names = machines_running(sim, "job-1")
    assert len(names) == 3
    assert job_in_replica(sim, refused_label, "job-1") is None
    sim.cuts |= {frozenset((label, name)) for label in sim.labels[1:] for name in names}
    cancel_through(sim, sim.labels[-1], "job-1")
    sim.store.outage(2 * CANCEL_S)
    sim.run(1.7)  # no records are fresh any more: controllers keep their workers
    token_within_term = [
        sim.workers[name].fencing_token <= sim.cores[refused_label].context.term for name in names
    ]
    before = {name: sim.workers[name].agent_epoch for name in names}
    for name in names:
        reconnect(sim, name, refused_label)
    sim.run(CANCEL_S)
    # If the worker's token is above the refused controller's term, another start command of the
    # binder may still be in flight. Stopping the running task does not cover that start, so the
    # worker's lease has to end.
    for name, keeps_lease in zip(names, token_within_term, strict=True):
        assert (sim.workers[name].agent_epoch == before[name]) == keeps_lease
    if all(token_within_term):
        assert machines_reporting_to(sim, refused_label) == running_machines(sim)
        assert len(machines_running(sim, "job-0")) == 1  # its machine did not lose its lease
    sim.run(2.5 * CANCEL_S)
    assert len(machines_running(sim, "job-0")) == 1
    check_recovered(sim)


def job_in_replica(sim: Simulation, label: str, job_id: str) -> Any:
    """Return a job from a controller's replica, or None."""
    return sim.cores[label].context.replica.jobs.get(job_id)


@pytest.mark.parametrize("restarted", ["confirmer", "others", "all others"])
def test_a_cancellation_is_enforced_after_its_confirmer_or_peers_restart(restarted):
    sim = busy_cluster(run_s=300.0)
    move_workers_to(sim, "h0")
    sim.store.refused = {"h0"}
    sim.cuts |= {frozenset(("h0", "h1")), frozenset(("h0", "h2"))}
    cancel_through(sim, "h1", "job-0")
    for label in {"confirmer": ["h1"], "others": ["h2"], "all others": ["h1", "h2"]}[restarted]:
        sim.crash(label, 0.1)
    sim.run(1.5)  # restarted, with records that include the cancellation
    sim.cuts.clear()
    sim.run(0.3)
    sim.store.outage(2 * CANCEL_S)
    sim.run(CANCEL_S + 2)
    sim.run(CANCEL_S)
    check_recovered(sim, 350)


@pytest.mark.parametrize("crash_count", [1, 2])
def test_no_lease_is_renewed_after_the_confirmer_of_a_cancellation_crashes(crash_count):
    sim = busy_cluster(run_s=300.0)
    move_workers_to(sim, "h0")
    sim.store.refused = {"h0"}
    sim.run(1)
    sim.cuts |= {frozenset(("h0", "h1"))}
    sim.stalled_watches = {"h2"}  # h2 does not receive the cancellation but still answers h0
    cancel_through(sim, "h1", "job-0")
    sim.store.outage(2 * CANCEL_S)
    for label in sim.labels[1:][:crash_count]:
        sim.crash(label, 0.1)  # it can't load its records, so its answers don't count
    sim.cuts.clear()
    sim.run(1.7)
    for name in running_machines(sim):
        reconnect(sim, name, "h0")
    sim.run(CANCEL_S + 2)
    check_recovered(sim, 350)


def delayed_starts_with_highest_term(label: str) -> "DelayedCommands":
    """Return a deployment that can delay starts; all machines report to the controller with the
    highest term."""
    sim = DelayedCommands(6, "launch", 2 * CANCEL_S)
    sim.capacity = 2
    sim.run(8)
    sim.crash(label, 0.2)
    sim.submit("job-0", spec("service", 2, "blue"))
    sim.run(8)
    move_workers_to(sim, label)
    return sim


@pytest.mark.parametrize("sender_alive", [True, False])
def test_a_delayed_start_command_has_no_effect_after_its_job_was_cancelled(sender_alive):
    """The worker moves to a controller with a lower term, which can't raise it in the outage.
    Only the end of the worker's agent epoch rules out the start that is in flight."""
    sim = delayed_starts_with_highest_term("h1")
    sim.armed = True
    sim.submit("job-1", spec("array", 2, estimate_s=1.0, gpus=1.0))
    sim.run(0.6)
    assert sim.delayed_at
    assert not machines_running(sim, "job-1")
    sim.cuts |= {frozenset(("h1", name)) for name in running_machines(sim)}
    cancel_through(sim, "h2", "job-1")
    sim.store.outage(3 * CANCEL_S)
    if not sender_alive:  # the sender of the start is down too
        sim.crash("h1", 3 * CANCEL_S)
    sim.run(1.7)
    for name in running_machines(sim):
        reconnect(sim, name, "h2")
    sim.run(2 * CANCEL_S + 5)  # the fakes check that no start comes later than that
    assert all(sim.now - at > 2 * CANCEL_S for at in sim.delayed_at)
    check_recovered(sim)


def test_cancellations_are_listed_from_a_revision_unless_some_were_dropped(monkeypatch):
    monkeypatch.setattr(constants, "CANCELLATIONS_KEPT", 3)
    replica = Replica()
    for mod_revision, number in enumerate((4, 2, 7, 5, 1), 1):
        replica.apply(
            job_key(f"job-{number}"), encode_job("cancelled", "red", None, 0, 1), 10 * mod_revision
        )
    replica.apply(job_key("job-9"), encode_job("done", "red", None, 0, 1), 25)
    assert replica.cancellations.cancelled_after(0) == [
        "job-4",
        "job-2",
        "job-7",
        "job-5",
        "job-1",
    ]
    assert replica.cancellations.cancelled_after(30) == ["job-5", "job-1"]
    for mod_revision, number in enumerate((11, 12), 6):
        replica.apply(
            job_key(f"job-{number}"), encode_job("cancelled", "red", None, 0, 1), 10 * mod_revision
        )
    # Dropped entries give None, not an empty list.
    assert replica.cancellations.cancelled_after(29) is None
    assert replica.cancellations.cancelled_after(30) == ["job-5", "job-1", "job-11", "job-12"]


@pytest.mark.parametrize("order", ["written", "asked"])
def test_peers_receive_a_cancellation_in_the_step_that_confirms_it(order):
    sim = busy_cluster()
    core = sim.cores["h1"]
    revision = core.agents.cancellations.revision

    def operation_with(writes: bool, effects: list[messages.Effect]) -> int:
        return next(
            effect.operation
            for effect in effects
            if isinstance(effect, messages.Transaction) and bool(effect.writes) == writes
        )

    read = operation_with(False, core.step(sim.now, [messages.CancelJob("user", "job-0")]))
    write = operation_with(
        True, core.step(sim.now, [messages.OperationDone(read, 200, (revision, []))])
    )
    batch = [
        messages.OperationDone(write, 200, (revision + 1, [])),
        messages.ReceivePeerMessages("peer", "h0", [], revision),
    ]
    effects = core.step(sim.now, batch if order == "written" else batch[::-1])
    answered = {e.request: (e.status, e.body) for e in effects if isinstance(e, messages.Answer)}
    assert answered["user"] == (200, ("job", "job-0", "cancelled", 0, 0))
    # If the peer's request precedes the write, the answer covers only the time before it.
    assert answered["peer"][1][4] == (["job-0"] if order == "written" else [])
    later = core.step(sim.now, [messages.ReceivePeerMessages("peer", "h0", [], revision)])
    assert [e.body[4:] for e in later if isinstance(e, messages.Answer)] == [(["job-0"], revision)]


@pytest.mark.parametrize("until", [-1, 40])
def test_an_incomplete_or_oversized_cancellation_list_renews_no_worker_lease(until, monkeypatch):
    monkeypatch.setattr(constants, "CANCELLATIONS_KEPT", 3)
    sim = Simulation(1)
    sim.run(3)
    cancellations = sim.cores["h0"].agents.cancellations
    known = cancellations.cancels_known_until()
    job_ids = [f"job-{number}" for number in range(2 if until < 0 else 4)]
    cancellations.peer_answered(messages.PeerAnswered("h1", 7, 0.0, job_ids, known + 50.0, until))
    assert cancellations.cancels_known_until() == known
    cancellations.peer_answered(messages.PeerAnswered("h1", 7, 0.0, job_ids[:2], known + 50.0, 40))
    assert cancellations.cancels_known_until() == known + 50.0


@pytest.mark.parametrize("sender_alive", [True, False])
def test_an_unrecorded_delayed_start_has_no_effect_after_cancellation(sender_alive):
    # The store refuses h2. Then h1, which has a higher term, binds a task, and its start command
    # is delayed. In an outage the worker moves to h2, which can't get a higher term.
    sim = delayed_starts_with_highest_term("h1")
    sim.store.refused = {"h2"}
    sim.armed = True
    sim.submit("job-1", spec("array", 2, estimate_s=1.0, gpus=1.0))
    sim.run(1.2)
    assert sim.delayed_at
    assert not machines_running(sim, "job-1")
    replica = sim.cores["h2"].context.replica
    assert "job-1" not in replica.jobs or not replica.jobs["job-1"].bindings()
    sim.cuts |= {frozenset(("h1", name)) for name in running_machines(sim)}
    cancel_through(sim, "h0", "job-1")
    sim.run(0.5)  # peers receive the cancellation
    sim.store.outage(3 * CANCEL_S)
    sim.store.refused = set()
    if not sender_alive:
        sim.crash("h1", 3 * CANCEL_S)
    sim.run(1.7)
    for name in running_machines(sim):
        reconnect(sim, name, "h2")
    sim.run(2 * CANCEL_S + 5)  # the fakes check that no start comes later than that
    assert all(sim.now - at > 2 * CANCEL_S for at in sim.delayed_at)
    check_recovered(sim)


@pytest.mark.parametrize("fault", ["yield", "expiry", "restart", "keeper", "all"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_cancellation_during_a_role_change_ends_every_task(fault, count):
    """Cancels a job every 0.2 s around the role change. Must not happen: `ran_cancelled`, a start
    by a controller that could know of the cancellation, a quota granted twice, a cancelled job
    that becomes active again."""
    sim = teams_at_quota(count)
    for step in range(12):
        sim.submit(
            f"job-{step + 10}",
            spec("array", 2, "red" if step % 2 else "blue", priority=2, estimate_s=30.0),
        )
    sim.run(4)
    owner = role_holder(sim, "red")
    if fault == "yield":
        core = sim.cores[owner]
        core.leadership.roles._rebalance(
            {"red": owner, "blue": owner, "#fleet": owner}, sorted(sim.labels)
        )
        sim.step(owner, [])
    elif fault == "expiry":
        sim.store.refused = {owner}
        sim.after(8.0, sim.store.refused.clear)
    elif fault == "keeper":
        for name in running_machines(sim):
            reconnect(
                sim, name, next(label for label in sim.labels if label != busiest_controller(sim))
            )
    else:
        for label in sim.labels if fault == "all" else [owner]:
            sim.crash(label, 0.3)
    for step in range(12):
        sim.cancel(f"job-{step + 10}")
        if step == 6:
            sim.cancel("job-2")
        sim.run(0.2 if step < 10 else 2.0)
    sim.run(CANCEL_S)
    assert not [task for _, task, _ in sim.placed_tasks() if int(task[4:].partition("/")[0]) >= 10]
    check_recovered(sim, 350)


@pytest.mark.parametrize("seconds", [2.0, 0.9 * LEASE_S, 1.5 * LEASE_S, 1.2 * CANCEL_S])
@pytest.mark.parametrize("fault", ["hang", "mute"])
def test_unreachable_cancelled_tasks_end_in_time_even_if_the_leader_crashes(fault, seconds):
    # Must not happen: a cancelled task continues after its machine hung, direct commands keep a
    # lease alive, a task that still runs is taken for ended.
    for leader_crashes in (False, True):
        sim = teams_at_quota(3)
        names = running_machines(sim)[:2]
        sim.cloud_down = True
        sim.cancel("job-2")
        sim.cancel("job-1")
        sim.run(0.02)
        inject_fault(sim, fault, names, seconds)
        if leader_crashes:
            sim.crash(busiest_controller(sim), 0.3)
        sim.submit("job-9", spec("array", 4, "red", priority=2, estimate_s=5.0))
        sim.run(seconds + 1)
        sim.cloud_down = False
        sim.run(CANCEL_S)
        assert not machines_running(sim, "job-2")
        assert not machines_running(sim, "job-1")
        check_recovered(sim, 350)


@pytest.mark.parametrize("moment", [round(-0.4 + 0.1 * step, 1) for step in range(10)])
def test_cancellations_around_a_store_refusal_before_an_outage_end_in_time(moment):
    """The store refuses the leader at second 0 and is down for all from second 1, for longer than
    `cancel_s`. Must not happen: `ran_cancelled`, whether the cancellation comes before or after
    the refusal and whichever controller confirms it."""
    for count in (3, 7):
        sim = busy_cluster(count, run_s=300.0)
        sim.submit("job-2", spec("array", 2, "red", estimate_s=300.0))  # waits for quota
        refused_label = sim.labels[0]
        move_workers_to(sim, refused_label)
        refused_at = sim.now + 1.0
        sim.after(
            1.0, lambda sim=sim, refused_label=refused_label: sim.store.refused.add(refused_label)
        )
        sim.after(2.0, lambda sim=sim: sim.store.outage(1.6 * CANCEL_S))
        sim.run(max(0.0, 1.0 + moment))
        for job_id in ("job-0", "job-1", "job-2"):
            sim.cancel(job_id)
        sim.run(0.2)
        if moment >= 0.4:
            sim.crash(sim.labels[-1], 0.2)
        sim.run(refused_at + 1.6 * CANCEL_S + 12 - sim.now)
        sim.store.refused.clear()
        sim.run(CANCEL_S)
        check_recovered(sim, 350)
