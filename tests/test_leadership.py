"""Roles: their election, spread, handover and loss."""

import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.leadership.roles import FLEET
from oakmux.core.state.codecs import decode_block, encode_block
from oakmux.core.state.keys import block_key, controller_key, role_key
from oakmux.core.state.records import TaskBlock
from tests.fakes import LEASE_S, Simulation, spec
from tests.helpers.clusters import (
    busiest_controller,
    busy_cluster,
    check_recovered,
    idle_cluster,
    role_holder,
    running_machines,
)
from tests.helpers.faults import QuickRestart


def test_roles_and_workers_are_spread_over_controllers():
    sim = idle_cluster()
    roles = [r for core in sim.cores.values() for r in core.context.held_roles]
    assert sorted(roles) == ["#fleet", "blue", "red"]  # each role has one holder


def test_roles_are_rebalanced_after_a_controller_returns():
    # Otherwise roles stay where a takeover put them, and one controller writes for all teams.
    sim = idle_cluster()
    for label in ("h0", "h1"):
        sim.crash(label, 8.0)
    sim.run(7)
    assert len(sim.cores["h2"].context.held_roles) == 3
    sim.run(30)
    role_counts = sorted(len(core.context.held_roles) for core in sim.cores.values())
    assert role_counts == [1, 1, 1]


def test_capacity_offered_to_a_crashed_role_holder_is_freed_after_takeover():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 1, "red", estimate_s=3.0))
    sim.run(12)
    owner = next(label for label, core in sim.cores.items() if "red" in core.context.held_roles)
    worker = next(w for w in sim.workers.values() if not w.dead)
    # Another controller keeps the machine.
    worker.controller_index = (sim.labels.index(owner) + 1) % 3
    sim.run(2)
    for core in sim.cores.values():
        core.autoscaler.scale_out.rentals.rent = lambda *a: None  # no second machine is rented
    sim.cores[owner].scheduler.writer.flush = lambda: None
    sim.submit("job-2", spec("array", 1, "red", gpus=4.0, estimate_s=60.0))
    sim.run(0.5)
    sim.crash(owner, 30.0)
    sim.run(constants.OFFER_HOLD_S - 1.5)
    assert [task for _, task, _ in sim.running_tasks()] == ["job-2/0"]


@pytest.mark.parametrize("at", range(1, 25))
def test_each_role_has_one_holder_after_candidates_restart_at_any_message(at):
    for crashes in (1, 2, 3):
        for served in (True, False):
            sim = QuickRestart(at, crashes, 0.05 + 0.1 * (at % 3), served)
            sim.run(5)
            sim.armed = True
            for label in sim.labels:  # all roles become free at once, and all controllers claim
                sim.crash(label, 0.1)
            sim.run(14)
            held_roles = sorted(r for core in sim.cores.values() for r in core.context.held_roles)
            assert held_roles == ["#fleet", "blue", "red"], (at, crashes, served)
            assert sorted(sim.cores["h0"].context.replica.live_controllers) == sim.labels, (
                at,
                crashes,
                served,
            )


def test_a_late_write_of_an_old_incarnation_does_not_deregister_a_controller():
    sim = idle_cluster()
    core = sim.cores["h1"]
    old_write = (controller_key("h1"), core.context.incarnation, core.leadership.lease.lease_id)
    sim.crash("h1", 0.1)
    sim.run(1.5)
    late_write = messages.Transaction(0, [], [old_write], constants.LEADERSHIP_WRITE_PRIORITY)
    assert sim.store.serve("h1", late_write)[0] == 200
    sim.run(constants.CONTROLLER_LEASE_S + 6)
    assert "h1" in sim.cores["h0"].context.replica.live_controllers
    assert sim.store.rows[controller_key("h1")][0] == sim.cores["h1"].context.incarnation


def test_a_frozen_fleet_holder_returns_no_machines_when_it_resumes():
    # With the store down as well, its lease and its role still exist afterwards. Its own silence
    # must not count as silence of the machines.
    sim = busy_cluster()
    holder = next(label for label, core in sim.cores.items() if FLEET in core.context.held_roles)
    names = running_machines(sim)
    sim.store.outage(4 * LEASE_S)
    sim.run(1)
    sim.freeze(holder, 4 * LEASE_S - 1)
    # The connections are closed by then, so queued messages are lost.
    sim.after(4 * LEASE_S - 1.001, lambda: sim.frozen[holder].clear())
    sim.run(4 * LEASE_S + 1.5)
    assert not any(sim.workers[name].dead for name in names)


def test_unwritten_changes_do_not_overwrite_those_of_a_later_role_holder():
    # A duplicate of an old claim can win a role back when its next holder releases it.
    sim = Simulation(2)
    sim.capacity = 2
    sim.run(10)
    owner = role_holder(sim, "red")
    core, other = sim.cores[owner], next(la for la in sim.labels if la != owner)
    core.scheduler.writer.write_after = sim.now + 1000.0
    sim.submit("job-1", spec("array", 1, estimate_s=300.0))
    while not core.scheduler.buffer.changed.get("job-1"):
        sim.run(0.2)
    sim.stalled_watches = {owner}
    [binding] = core.scheduler.buffer.changed["job-1"][0].bindings.values()
    next_binding = binding._replace(attempt=5, agent_epoch=binding.agent_epoch + 1)
    block = TaskBlock(0, 5, 0, {0: next_binding})
    store = sim.store
    own_value, _, lease = store.rows[role_key("red")]
    for key, value in (
        (role_key("red"), None),
        (role_key("red"), [other, 1]),
        (block_key("job-1", 0), encode_block(block, 2)),
        (role_key("red"), None),
        (role_key("red"), own_value),
    ):
        store.revision += 1
        if value is None:
            store.drop(key)
        else:
            store.put(key, value, lease)
    sim.stalled_watches = set()
    sim.run(0.1)
    core.scheduler.writer.write_after = 0.0
    sim.run(2)
    assert not [row for row in sim.start_log if row[1] == "job-1/0"]
    assert decode_block(*store.rows[block_key("job-1", 0)][:2]).bindings == {0: next_binding}


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("count", [3, 7])
def test_ten_leader_changes_in_two_minutes_lose_and_repeat_no_task(count, outage):
    # Must not happen: a task of a live machine starts again, a cancelled job is restored.
    sim = busy_cluster(count, run_s=400.0)
    sim.late_copy_share = 0.2
    if outage:
        sim.after(30.0, lambda: sim.store.outage(20.0))
    for step in range(10):
        sim.submit(
            f"job-{step + 10}",
            spec(("array", "gang")[step % 2], 2, "red" if step % 2 else "blue", estimate_s=4.0),
        )
        if step % 3 == 0:
            sim.cancel(f"job-{step + 10}")
        sim.run(2.0)
        sim.crash(busiest_controller(sim), 0.3 if step % 2 else 4.0)
        sim.run(10.0)
    sim.late_copy_share = 0.0
    last_start: dict[str, tuple[str, int]] = {}
    for _, task, attempt, name in sim.start_log:
        before = last_start.get(task)
        assert before is None or before[1] != attempt, task
        last_start[task] = (name, attempt)
    check_recovered(sim, 450)
