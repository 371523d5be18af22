"""The protocol rules under random faults, and proof that each check can fail."""

import os

import pytest

from oakmux.core.agents import termination
from oakmux.settings import Team
from tests.fakes import CANCEL_S, LEASE_S, PLACED, spec
from tests.helpers.clusters import running_machines, teams_at_quota
from tests.helpers.random_faults import run_with_random_faults

# A longer soak is started by hand with FAULT_SEEDS=300.
SOAK_SEEDS = range(100, 100 + int(os.environ.get("FAULT_SEEDS", "0")))


# Seeds 18 and 24 guard against `orphaned`: jobs accepted behind a cancelled one (review/7).
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6, 18, 24, *SOAK_SEEDS])
def test_rules_hold_under_random_faults(seed):
    sim = run_with_random_faults(seed)
    assert sim.repeated_starts == []
    assert sim.unanswered_jobs() == set()
    assert sim.startable_jobs() == set()
    assert sim.unfinished_jobs(150) == set()
    assert sim.starts > 20


@pytest.mark.parametrize("seed", [11, 12])
def test_rules_hold_under_random_faults_with_seven_controllers(seed):
    sim = run_with_random_faults(seed, 100.0, count=7)
    assert sim.repeated_starts == []
    assert sim.unanswered_jobs() == set()
    assert sim.startable_jobs() == set()
    assert sim.unfinished_jobs(150) == set()


def test_random_faults_break_a_rule_without_termination_proofs(monkeypatch):
    # Without the proof, a task that the heartbeat does not list yet is started a second time.
    prove_termination = termination.prove_termination

    def assume_termination(context, machine, task, binding, shown):
        if (
            machine is not None
            and machine.agent_epoch == binding.agent_epoch
            and task not in shown
        ):
            return termination.Termination("lost", False)
        return prove_termination(
            context, machine, task, binding, {k: v for k, v in shown.items() if v[0] != "starting"}
        )

    monkeypatch.setattr("oakmux.core.scheduling.binding.prove_termination", assume_termination)
    with pytest.raises(AssertionError, match="ran_twice|quota|wrong_place"):
        for seed in range(1, 12):
            run_with_random_faults(seed)


def test_each_protocol_check_can_fail():
    sim = teams_at_quota(3)
    worker, task, attempt = sim.running_tasks()[0]
    other = next(sim.workers[name] for name in running_machines(sim) if name != worker.name)
    order = {"verb": "launch", "piece": task, "try": attempt + 1}
    for state in PLACED:  # any state in which the task is placed
        worker.tasks[(task, attempt)][0] = state
        with pytest.raises(AssertionError, match="ran_twice"):
            other.apply_commands(other.fencing_token, [order])
    worker.tasks[(task, attempt)][0] = "running"
    for kind, more in (
        ("quota", {"gpus": 1.0, "team": "red"}),
        ("quota", {"cpus": 1.0}),
        ("wrong_place", {"zone": "z", "gpus": 0.0, "cpus": 0.0}),
    ):
        sim.specs["job-9"] = spec(**more)
        sim.teams["red"] = Team("red", cpus_max=8, gpus_max=8)
        with pytest.raises(AssertionError, match=kind):
            other.apply_commands(
                other.fencing_token, [{"verb": "launch", "piece": "job-9/0", "try": 1}]
            )
    job_id = task.partition("/")[0]
    worker.hang(0.5 * LEASE_S)
    sim.cancelled_at[job_id] = sim.now - CANCEL_S - 1
    with pytest.raises(AssertionError, match="ran_cancelled"):
        sim.check_cancelled()
    sim.reported_state["job-9"] = "accepted"
    sim.specs["job-9"] = spec(team="blue", gpus=0.0, cpus=0.1, memory_gb=0.1)
    assert sim.could_start("job-9")
    for core in sim.cores.values():
        core.agents.cancellations.cancelled["job-9"] = 0.0
    with pytest.raises(AssertionError, match="start given"):
        sim.check_start_commands("h0", [{"verb": "launch", "piece": "job-9/0", "try": 1}])
