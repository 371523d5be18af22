"""Machines whose heartbeats arrive while answers and commands do not reach them."""

import random

import pytest

from oakmux import constants
from oakmux.core.agents import reachability
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from tests.fakes import (
    LEASE_S,
    Simulation,
    settings_for,
    spec,
)
from tests.helpers.clusters import (
    busy_cluster,
    check_recovered,
    idle_cluster,
    move_workers_to,
    role_holder,
    running_machines,
    wait_for_state,
)
from tests.helpers.faults import reconnect, record_heartbeat


def test_a_silent_machine_does_not_attract_jobs_whose_image_it_holds():
    # Otherwise machines of a partitioned zone attract all reservations of jobs with that image
    # until the machines are returned.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 2, "red", cpus=8.0, estimate_s=3.0))
    sim.run(6)
    sim.submit("job-2", spec("array", 1, "red", image="rare", estimate_s=1.0))
    sim.run(5)
    image_holder = next(name for _, task, _, name in sim.start_log if task == "job-2/0")
    for core in sim.cores.values():
        core.autoscaler.scale_out.rentals.rent = lambda *a: None  # only the other machine is left
    sim.cuts |= {frozenset((label, image_holder)) for label in sim.labels}
    sim.run(8)  # a heartbeat in flight when the partition began may arrive late
    sim.submit("job-3", spec("array", 1, "red", image="rare", estimate_s=60.0))
    sim.run(3)
    assert [w.name for w, task, _ in sim.running_tasks() if task == "job-3/0"] not in (
        [],
        [image_holder],
    )


@pytest.mark.parametrize("count", [3, 7])
def test_machines_that_receive_no_answers_lose_their_tasks_and_get_none(count):
    sim = busy_cluster(count)
    unreachable = running_machines(sim)[:2]
    sim.drop_inbound(unreachable, 200.0)
    sim.run(2 * LEASE_S)
    before = len(sim.start_log)
    sim.submit("job-9", spec("array", 8, "blue", estimate_s=2.0))
    sim.run(10 * LEASE_S)
    assert not {name for *_, name in sim.start_log[before:]} & set(unreachable)
    assert wait_for_state(sim, "job-9", 1) == "done"
    # They are returned although their heartbeats arrive.
    assert all(sim.workers[name].dead for name in unreachable)


def test_a_machine_that_becomes_reachable_is_used_again():
    sim = busy_cluster(zone="a")
    sim.capacity = len(running_machines(sim))
    unreachable = running_machines(sim)
    sim.drop_inbound(unreachable, 5.5 * LEASE_S)
    sim.run(12 * LEASE_S)
    # A fault of all machines that ends by itself returns none of them.
    assert not any(sim.workers[name].dead for name in unreachable)
    assert sim.unfinished_jobs(60) == set()


def test_tasks_of_an_unreachable_machine_move_elsewhere():
    sim = busy_cluster(run_s=600.0)
    # Lost tasks have capacity only after the machine is replaced.
    sim.capacity = len(running_machines(sim))
    before = len(sim.running_tasks())
    sim.drop_inbound(running_machines(sim)[:1], 600.0)
    sim.run(8 * LEASE_S)
    assert len(sim.running_tasks()) == before


def test_without_the_reachability_check_unreachable_machines_stay_in_use(monkeypatch):
    monkeypatch.setattr("oakmux.core.agents.capacity.is_reachable", lambda machine: True)
    monkeypatch.setattr(
        "oakmux.core.autoscaling.unhealthy_machines.unreachable_s", lambda context, machine: 0.0
    )
    for module in ("scale_in", "unhealthy_machines"):
        monkeypatch.setattr(f"oakmux.core.autoscaling.{module}.is_reachable", lambda machine: True)
    with pytest.raises(AssertionError):
        test_tasks_of_an_unreachable_machine_move_elsewhere()


@pytest.mark.parametrize(
    "sign", ["changes controllers repeatedly", "lease expires despite heartbeats"]
)
def test_each_sign_alone_marks_a_machine_as_unreachable(sign):
    context = Context(settings_for("h0"), random.Random(1), 0)
    machine = Machine(Heartbeat("m", "a:1", "big", "a", False, 1, 1, 5, None, {}), 0.0)
    machine.manager, machine.manager_term = "h1", 5
    if sign == "changes controllers repeatedly":
        record_heartbeat(context, machine, "h2")
        assert reachability.is_reachable(machine)  # handed over, or its controller crashed
        record_heartbeat(context, machine, "h0")
    else:
        context.now = LEASE_S / 3
        record_heartbeat(context, machine, "h1", agent_epoch=2)
    assert not reachability.is_reachable(machine)
    # It stays with its controller, but does not show the controller's term.
    record_heartbeat(context, machine, machine.manager, machine.agent_epoch)
    assert not reachability.is_reachable(machine)
    record_heartbeat(context, machine, machine.manager, machine.agent_epoch, 5)
    assert reachability.is_reachable(machine)


def test_a_lease_that_expired_without_heartbeats_is_no_sign_of_unreachability():
    context = Context(settings_for("h0"), random.Random(1), 0)
    machine = Machine(Heartbeat("m", "a:1", "big", "a", False, 1, 1, 5, None, {}), 0.0)
    machine.manager = "h1"
    context.now = 1.5 * LEASE_S
    record_heartbeat(context, machine, "h1", agent_epoch=2)
    assert reachability.is_reachable(machine)


def test_a_machine_that_changed_controllers_and_returned_stays_usable():
    # Peers see the machine change to another controller and back, which marks it as unreachable.
    # Its own controller, cut off from the other, sees no change in the heartbeats. Unless that
    # controller resends its view, the capacity of the machine stays unused.
    sim = Simulation(1)
    sim.capacity = 1
    sim.run(8)
    sim.submit("job-1", spec("service", 1, "blue"))
    sim.run(8)
    owner = role_holder(sim, "red")
    manager, other = [label for label in sim.labels if label != owner]
    move_workers_to(sim, manager)
    [name] = running_machines(sim)
    sim.run(5)
    sim.cuts.add(frozenset((manager, other)))
    reconnect(sim, name, other)
    sim.run(0.05)
    reconnect(sim, name, manager)
    sim.run(1.5)
    owner_view = sim.cores[owner].context.machines[name]
    assert owner_view.manager == other or not reachability.is_reachable(owner_view)
    sim.run(constants.VIEW_RESEND_S + 2)
    assert owner_view.manager == manager
    assert reachability.is_reachable(owner_view)
    sim.submit("job-2", spec("array", 2, estimate_s=2.0))
    sim.run(3)
    assert [task for _, task, _, _ in sim.start_log if task.startswith("job-2/")]
    sim.cuts.clear()
    check_recovered(sim)


def test_a_repeated_machine_view_is_no_proof_of_reachability():
    context = Context(settings_for("h0"), random.Random(1), 0)
    machine = Machine(Heartbeat("m", "a:1", "big", "a", False, 1, 1, 5, None, {}), 0.0)
    machine.manager, machine.manager_term = "h1", 5
    record_heartbeat(context, machine, "h2", fencing_token=5)
    # It shows the term that its controller had before.
    record_heartbeat(context, machine, "h1", fencing_token=5)
    heartbeat = Heartbeat("m", "a:1", "big", "a", False, 1, machine.sequence, 5, None, {})
    reachability.assess_heartbeat(context, machine, heartbeat, "h1", True)
    assert not reachability.is_reachable(machine)
