"""Crashes, restarts and freezes of controllers and machines."""

import random
from collections.abc import Callable

import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents import reachability
from oakmux.core.agents.termination import prove_termination
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from oakmux.core.state.records import Binding
from oakmux.task_status import LOST, REFUSED
from tests.fakes import CANCEL_S, LEASE_S, REPORT_S, Simulation, settings_for, spec
from tests.helpers.clusters import (
    busiest_controller,
    busy_cluster,
    check_recovered,
    idle_cluster,
    move_workers_to,
    role_holder,
    running_machines,
    wait_for_state,
)
from tests.helpers.faults import QuickRestart, partition_machines, reconnect


@pytest.mark.parametrize("crashed", [["h0"], ["h1", "h2"], ["h0", "h1", "h2"]])
def test_jobs_survive_crashes_of_controllers(crashed):
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 12))
    sim.submit("job-2", spec("gang", 2, "blue"))
    sim.run(1.5)
    for label in crashed:
        sim.crash(label)
    sim.run(90)
    for job_id in ("job-1", "job-2"):
        sim.query(job_id)
    sim.run(2)
    assert sim.reported_state == {"job-1": "done", "job-2": "done"}


def test_a_dead_machine_is_returned_and_its_tasks_start_elsewhere():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 2))
    sim.run(10)
    victim = sim.running_tasks()[0][0]
    victim.dead = True
    sim.run(10 * LEASE_S)
    assert len(sim.running_tasks()) == 2


def test_a_start_without_an_answer_is_resolved_by_a_newer_term():
    # A start without an answer may be executed minutes later; only a newer term prevents that.
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1))
    sim.run(10)
    sim.cancel("job-1")
    sim.run(3)
    core = next(c for c in sim.cores.values() if c.agents.workers.tracked)
    term = core.context.term
    name, machine = next(
        (n, m) for n, m in core.context.machines.items() if m.manager == core.context.controller_id
    )
    core.agents.workers.tracked[name].unresolved_starts[("job-5/0", 1)] = term
    core.agents.commands._commands_answered(name, [("job-5/0", 1)], term, "lost", None)
    assert core.agents.heartbeats.visible_tasks(machine)[("job-5/0", 1)][0] == "starting"
    sim.run(6)
    assert core.context.term > term
    assert ("job-5/0", 1) not in core.agents.workers.tracked[name].unresolved_starts


def test_a_machine_lost_after_a_fleet_takeover_is_soon_proven_terminated():
    # Waiting for lists newer than the first that lacks the machine would delay its tasks, although
    # it has been known for long enough.
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1, "blue"))
    sim.run(10)
    sim.crash(
        next(label for label, core in sim.cores.items() if "#fleet" in core.context.held_roles),
        2.0,
    )
    sim.run(20)
    [(worker, _, _)] = sim.running_tasks()
    fleet = next(
        core.autoscaler for core in sim.cores.values() if "#fleet" in core.context.held_roles
    )
    lists_s = constants.ABSENT_LAGS * 2.0
    # From now on any list can prove the termination.
    assert sim.now - fleet.inventory.known_since[worker.name] > lists_s
    sim.kill(worker.name)
    killed = sim.now
    while any(
        worker.name in core.context.replica.bindings.by_machine for core in sim.cores.values()
    ):
        sim.run(0.1)
    # Silent for a lease according to the peers' views, then missing from two lists.
    assert sim.now - killed < LEASE_S + 2 * constants.PEER_HEARTBEAT_S + 2 * REPORT_S + 2.0


def test_an_exception_in_one_component_does_not_stop_the_others():
    sim = idle_cluster()
    sim.expects_exceptions = True

    def fail():
        raise KeyError("fault")

    for core in sim.cores.values():
        core.autoscaler.tick = fail
    answers = []
    sim.command("h0", messages.QueryJob(lambda s, a: answers.append(s), "job-1"))
    sim.run(2)
    assert answers == [404]


def test_absence_from_the_cloud_list_proves_termination_before_lease_expiry(
    monkeypatch,
):
    # A listed machine stays listed until it terminates, so newer lists without it are a proof.
    lease_s = 12.0
    monkeypatch.setattr("tests.fakes.deployment.LEASE_S", lease_s)
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1, "blue"))
    sim.run(20)
    [(worker, _, _)] = sim.running_tasks()
    sim.kill(worker.name)
    sim.run(lease_s - 2)
    assert not any(
        worker.name in core.context.replica.bindings.by_machine for core in sim.cores.values()
    )


@pytest.mark.parametrize("seconds", [3.0, 9.0])  # within its lease, and beyond it
def test_a_frozen_controller_breaks_no_rule_when_it_resumes(seconds):
    # It answers queued requests first, with outdated records, roles and commands.
    sim = idle_cluster(seed=3)
    sim.submit("job-1", spec("array", 20, "red"))
    sim.submit("job-2", spec("gang", 3, "blue", priority=2))
    sim.submit("job-3", spec("service", 2, "blue", spread=True))
    for label in sim.labels:
        sim.run(4)
        sim.freeze(label, seconds)
        sim.cancel("job-3") if label == sim.labels[1] else sim.query("job-1")
        sim.run(seconds + 2)
    sim.run(60)
    for job_id in ("job-1", "job-2", "job-3"):
        sim.query(job_id)
    sim.run(2)
    assert sim.reported_state == {"job-1": "done", "job-2": "done", "job-3": "cancelled"}
    assert sorted(len(core.context.held_roles) for core in sim.cores.values()) == [1, 1, 1]


def test_a_restarted_controller_adopts_its_workers_within_two_heartbeats():
    sim = busy_cluster()
    sim.submit("job-5", spec("array", 8, estimate_s=3.0))
    for label in sim.labels:
        sim.crash(label, 0.3)
    sim.run(0.3 + 2 * REPORT_S + 1.5)  # workers try another controller after 1 s
    core = sim.cores["h0"]
    known = [m for n, m in core.context.machines.items() if n in running_machines(sim)]
    assert known
    assert all(reachability.is_reachable(machine) for machine in known)


@pytest.mark.parametrize("count", [3, 7])
def test_machines_and_controllers_that_return_together_run_all_accepted_jobs(count):
    sim = busy_cluster(count)
    for step in range(6):
        sim.submit(f"job-1{step}", spec("array", 4, "red" if step % 2 else "blue"))
        for label in sim.labels if step == 3 else sim.rng.sample(sim.labels, 2):
            sim.crash(label, sim.rng.uniform(0.05, 0.5))
        worker = sim.workers[sim.rng.choice(running_machines(sim))]
        worker.tasks.clear()  # a machine that restarts at once: no tasks, a new agent epoch
        worker.agent_epoch += 1
        worker.lease_renewed_at = sim.now
        sim.run(2)
    assert sim.unanswered_jobs() == set()
    assert sim.unfinished_jobs(60) == set()


def test_a_controller_frozen_for_a_minute_acts_on_no_stale_state():
    sim = busy_cluster()
    sim.freeze("h0", 60.0)
    sim.run(10)
    sim.submit("job-7", spec("array", 6, "blue", estimate_s=3.0))
    sim.crash("h1", 5.0)
    sim.run(55)
    assert wait_for_state(sim, "job-7", 3) == "done"
    assert sim.unanswered_jobs() == set()
    assert sim.unfinished_jobs(60) == set()


class LostMessages(Simulation):
    """Loses the n-th message between hosts once armed."""

    def __init__(self, seed: int, at: int, count: int = 3) -> None:
        self.at, self.message_count, self.armed = at, 0, False
        super().__init__(seed, count)

    def deliver(self, a: str, b: str, run: Callable[[], None]) -> None:
        self.message_count += self.armed
        if not self.armed or self.message_count != self.at:
            super().deliver(a, b, run)

    def run_s(self, task: str) -> float:
        return 3.0 + 9.0 * int(task.partition("/")[2])


@pytest.mark.parametrize("at", range(1, 200, 18))
def test_tasks_run_once_across_two_role_changes_whichever_message_is_lost(at):
    sim = LostMessages(8, at)
    sim.run(12)
    sim.submit("job-1", spec("array", 3))
    sim.submit("job-2", spec("array", 2, "blue"))
    sim.run(4)
    sim.armed = True
    sim.crash(role_holder(sim, "red"), 0.3)
    sim.run(8)
    sim.crash(busiest_controller(sim), 0.1)
    sim.crash(role_holder(sim, "blue"), 0.1)
    sim.run(16)
    check_recovered(sim, 20)
    last_machine: dict[str, str] = {}
    for _, task, _, name in sim.start_log:  # a restart needs an ended lease: no exit was missed
        assert task not in last_machine or sim.workers[last_machine[task]].agent_epoch > 1, task
        last_machine[task] = name
    assert len(last_machine) == 5


class OneRestart(QuickRestart):
    """Crashes all controllers at the n-th operation; all but h0 stay down 6 s longer."""

    def crash(self, label: str, restart_s: float | None = 3.0) -> None:
        super().crash(label, (restart_s or 0.0) + (0.0 if label == "h0" else 6.0))


@pytest.mark.parametrize("at", range(1, 31, 3))
def test_roles_and_tasks_survive_crashes_of_all_controllers_during_handovers(at):
    for restart_s in (0.05, 0.3, 1.0):
        sim = OneRestart(at, 3, restart_s, bool(at % 2))
        sim.run(10)
        sim.submit("job-1", spec("array", 4, estimate_s=25.0))
        sim.submit("job-2", spec("gang", 3, "blue", estimate_s=25.0))
        sim.run(5)
        sim.store.refused = {"h0"}
        sim.run(5)
        sim.store.refused = set()
        sim.armed = True
        sim.run(20)
        assert sim.calls >= at
        held_roles = sorted(r for core in sim.cores.values() for r in core.context.held_roles)
        assert held_roles == ["#fleet", "blue", "red"], (at, restart_s)
        assert sim.unfinished_jobs(60) == set()


@pytest.mark.parametrize("fault", ["cut", "deaf"])
@pytest.mark.parametrize("count", [3, 7])
def test_unreachable_long_tasks_are_recovered_after_their_leader_crashes(fault, count):
    sim = busy_cluster(count, run_s=300.0)
    sim.cloud_down = True  # the machines can't be returned either
    move_workers_to(sim, sim.labels[0])
    names = running_machines(sim)
    placement = sorted((task, worker.name) for worker, task, _ in sim.running_tasks())
    starts = len(sim.start_log)

    def make_unreachable(seconds: float) -> None:
        if fault == "deaf":
            sim.drop_inbound(names, seconds)
        else:
            partition_machines(sim, names, seconds)

    make_unreachable(LEASE_S - 4 * REPORT_S)
    sim.crash(sim.labels[0], 20.0)
    sim.run(LEASE_S - 4 * REPORT_S + 0.1)
    for name in names:  # reachable before their leases end, at another controller
        reconnect(sim, name, sim.labels[1])
    sim.run(8)
    assert sorted((task, worker.name) for worker, task, _ in sim.running_tasks()) == placement
    assert len(sim.start_log) == starts
    make_unreachable(3 * LEASE_S)
    sim.crash(busiest_controller(sim), 0.2)
    sim.run(LEASE_S - 1)
    assert len(sim.start_log) == starts  # no start elsewhere before termination is proven
    sim.run(4 * LEASE_S)
    sim.cloud_down = False
    sim.run(20)
    assert sorted(task for _, task, _ in sim.running_tasks()) == [task for task, _ in placement]
    check_recovered(sim, 350)


@pytest.mark.parametrize("at", range(1, 22, 4))
def test_new_machines_are_used_once_while_writes_lag_and_the_leader_crashes(at):
    # Must not happen: a task is bound by two incarnations, an unknown machine is used.
    for restart_s in (0.1, 4.0):
        sim = Simulation(at, 7 if at % 3 == 0 else 3)
        sim.boot_s = lambda sim=sim: sim.rng.uniform(0.05, 1.5)
        sim.run(6)
        sim.late_write_share, sim.lost_answer_share = 0.3, 0.2
        for number in range(6):
            sim.submit(
                f"job-{number}",
                spec(
                    ("array", "gang", "service")[number % 3],
                    3,
                    "red" if number % 2 else "blue",
                    estimate_s=6.0,
                ),
            )
        sim.run(at * 0.1)
        sim.crash(role_holder(sim, "#fleet"), restart_s)
        sim.run(1.0)
        sim.crash(busiest_controller(sim), restart_s)
        sim.run(20)
        check_recovered(sim, 120)


@pytest.mark.parametrize("seconds", [LEASE_S + 1, 3 * LEASE_S, 1.5 * CANCEL_S])
@pytest.mark.parametrize("count", [3, 7])
def test_all_accepted_jobs_run_after_all_controllers_were_down_beyond_a_lease(seconds, count):
    # Must not happen: `forgotten`, `ran_cancelled`, `ran_twice` on machines with expired leases.
    sim = busy_cluster(count, run_s=20.0)
    sim.cancel("job-1")
    sim.submit("job-5", spec("service", 2, "blue"))
    sim.run(0.3)
    for label in sim.labels:
        sim.crash(label, seconds + sim.rng.uniform(0.0, 1.0))
    sim.run(seconds + 12)
    assert sim.reported_state["job-1"] == "cancelled"
    assert sim.startable_jobs() == set()
    check_recovered(sim, 200)


def test_a_refused_start_frees_its_binding_after_its_managers_term_was_raised():
    context = Context(settings_for("h0"), random.Random(1), 0)
    binding = Binding(1, "m0", 1, 3, "a", False)
    machine = Machine(Heartbeat("m0", "a:1", "big", "a", False, 1, 1, 3, None, {}), 0.0)
    machine.manager_term = 5  # raised before the scheduler saw the refusal
    visible = {("job-1/0", 1): (REFUSED, "", False)}
    assert prove_termination(context, machine, ("job-1/0", 1), binding, visible) is None
    machine.fencing_token = 5
    proof = prove_termination(context, machine, ("job-1/0", 1), binding, visible)
    assert proof is not None
    assert proof.reason == LOST
