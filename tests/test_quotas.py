"""Team quotas: which tasks count against them, also while the tasks are unreachable."""

import pytest

from oakmux import constants
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica
from oakmux.settings import Team
from tests.fakes import LEASE_S, Simulation, spec
from tests.helpers.clusters import (
    busiest_controller,
    check_recovered,
    idle_cluster,
    role_holder,
    running_machines,
    teams_at_quota,
    wait_for_state,
)
from tests.helpers.faults import inject_fault
from tests.helpers.random_faults import run_with_random_faults


def test_the_quota_holds_for_an_array_that_exceeds_it():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 30, "red"))
    sim.run(15)
    assert len(sim.running_tasks()) <= 8
    sim.run(90)
    assert wait_for_state(sim, "job-1", 1) == "done"


def test_incremental_free_resources_and_team_usage_agree_with_a_full_count():
    # They are incremental because full counts for each machine and job take most of the time at
    # 590 machines.
    assert run_with_random_faults(7, 100.0, verify_counts=True).starts > 10


def test_no_quota_is_reserved_where_preemption_could_not_free_enough():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 6, "red", priority=3))
    sim.run(10)
    sim.submit("job-2", spec("gang", 4, "red", priority=2))  # 6 and 4 exceed the quota
    sim.submit("job-3", spec("array", 4, "red"))
    sim.run(30)
    assert wait_for_state(sim, "job-3", 1) == "done"


def add_idle_machines(sim: Simulation) -> list[str]:
    """Add idle machines; return the machines whose tasks fill the quotas."""
    names = sorted({worker.name for worker, _, _ in sim.running_tasks()})
    sim.submit("job-8", spec("array", 16, "green", gpus=2.0, estimate_s=5.0))
    sim.run(25)
    assert len(running_machines(sim)) >= len(names) + 4
    assert len(sim.running_tasks()) == 16
    return names


@pytest.mark.parametrize("crashed", ["owners", "leader", "all"])
@pytest.mark.parametrize("fault", ["cut", "hang", "deaf", "mute"])
def test_a_quota_is_not_reused_while_cancelled_tasks_are_unreachable(fault, crashed):
    # Guards against a restarted controller that reads a cancelled job's record before those of its
    # tasks, drops the resources per task and counts tasks on unreachable machines as nothing.
    for count, seconds in ((3, 0.6 * LEASE_S), (7, 2.5 * LEASE_S)):
        sim = teams_at_quota(count)
        inject_fault(sim, fault, add_idle_machines(sim), seconds)
        sim.cloud_down = True  # nor can the machines be returned
        for job_id in ("job-0", "job-3"):
            sim.cancel(job_id)
        sim.run(0.3)
        labels = {
            "owners": {role_holder(sim, "red"), role_holder(sim, "blue")},
            "leader": {busiest_controller(sim)},
            "all": set(sim.labels),
        }[crashed]
        for label in labels:
            sim.crash(label, 0.2)
        for number, team in enumerate(("red", "blue")):
            sim.submit(f"job-{number + 10}", spec("array", 8, team, priority=2, estimate_s=5.0))
        sim.run(seconds + 1)  # the fakes check the quota at every start
        sim.cloud_down = False
        sim.run(40)
        assert {t.partition("/")[0] for _, t, _, _ in sim.start_log} >= {"job-10", "job-11"}
        check_recovered(sim, 350)


@pytest.mark.parametrize("order", [1, -1])
def test_bindings_of_a_finished_job_count_whichever_record_arrives_first(order):
    replica = Replica()
    bound = TaskBlock(0, 1, 0, {0: Binding(1, "m", 1, 1, "a"), 1: Binding(1, "m", 1, 1, "a")})
    rows = [
        (job_key("job-1"), encode_job("cancelled", "red", spec(cpus=2.0), 0, 2), 5),
        (block_key("job-1", 0), encode_block(bound, 2), 4),
    ]
    replica.load(rows[::order], 5)
    assert replica.usage.by_team == {"red": (4.0, 2.0)}
    assert replica.usage.preemptible["red"][1] == (4.0, 2.0)
    replica.apply(block_key("job-1", 0), None, 6)
    assert replica.usage.by_team["red"] == (0.0, 0.0)


def test_a_gang_that_needs_quota_used_by_services_does_not_reserve_it():
    # Guards against a gang that claims the rest of the quota forever because it counts on services
    # to end, and for all gangs of its size at once: other jobs of the team wait beside empty
    # machines.
    sim = Simulation(3, teams=(Team("red", gpus_max=6), Team("blue", gpus_max=6)))
    sim.run(10)
    sim.submit("job-1", spec("service", 3))
    sim.submit("job-2", spec("gang", 6))
    sim.submit("job-3", spec("gang", 6))
    sim.run(0.3 * constants.START_LIMIT_S + 10)  # by now they are starving
    sim.submit("job-4", spec("gang", 3, estimate_s=8.0))
    sim.submit("job-5", spec("array", 6, estimate_s=8.0))
    sim.run(60)
    assert {"job-4/2", "job-5/5"} <= sim.completed
    check_recovered(sim)
