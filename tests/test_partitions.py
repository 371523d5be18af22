"""Network partitions between controllers, workers and the store."""

import pytest

from oakmux import constants
from oakmux.core import messages
from tests.fakes import CANCEL_S, LEASE_S, Simulation, spec
from tests.helpers.clusters import (
    busy_cluster,
    cancel_through,
    check_recovered,
    idle_cluster,
    machines_reporting_to,
    move_workers_to,
    role_holder,
    running_machines,
    wait_for_state,
)


def test_tasks_of_a_partitioned_machine_wait_for_proof_of_termination():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1))
    sim.run(10)
    worker = sim.running_tasks()[0][0]
    sim.cloud_down = True  # the machine can't be returned either
    for label in sim.labels:
        sim.cuts.add(frozenset((label, worker.name)))
    sim.run(LEASE_S + 1)
    assert len({name for _, _, _, name in sim.start_log}) == 1
    sim.cuts.clear()
    sim.cloud_down = False
    sim.run(30)
    assert len(sim.running_tasks()) == 1


def test_a_controller_partitioned_from_the_store_hands_over_its_workers():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 3))
    sim.run(10)
    before = sim.start_log[:]
    sim.store.refused = {"h0"}
    sim.run(12)
    assert all(w.controller_index != 0 for w in sim.workers.values() if not w.dead)
    assert sim.start_log == before
    sim.submit("job-2", spec("array", 2))
    sim.run(15)
    sim.store.refused = set()
    sim.run(10)
    assert wait_for_state(sim, "job-2", 2) == "done"


@pytest.mark.parametrize("count", [3, 7])
def test_an_isolated_controller_releases_its_workers_in_time(count):
    sim = Simulation(5, count)
    sim.run(12)
    sim.submit("job-1", spec("service", 6, "blue"))
    sim.submit("job-2", spec("service", 6, "red"))
    sim.run(12)
    isolated = max(
        sim.labels,
        key=lambda label: sum(
            1 for m in sim.cores[label].context.machines.values() if m.manager == label
        ),
    )
    sim.isolate(isolated, 3 * CANCEL_S)
    # Its workers can't reach the other controllers, so they keep reporting to it.
    for name in running_machines(sim):
        for label in sim.labels:
            if label != isolated:
                sim.one_way.add((name, label))
    sim.run(1)
    isolated_machines, starts = running_machines(sim), len(sim.start_log)
    health: list[int] = []
    submit_status: list[int] = []
    sim.cancel("job-1")
    sim.run(constants.ISOLATION_S + 1)
    sim.command(isolated, messages.CheckHealth(lambda status, _: health.append(status)))
    sim.specs["job-3"] = spec()  # its record may be written late, without an answer to the user
    sim.command(
        isolated,
        messages.SubmitJob(lambda status, _: submit_status.append(status), "job-3", spec(), ""),
    )
    sim.run(CANCEL_S + 3)  # the fakes check that no task of job-1 is left
    assert health == [503]
    assert submit_status == [503]
    assert not {name for *_, name in sim.start_log[starts:]} & set(isolated_machines)
    sim.one_way.clear()
    sim.run(2 * CANCEL_S)
    assert sim.unfinished_jobs(60) == set()


@pytest.mark.parametrize("count", [3, 7])
def test_a_partitioned_zone_whose_controller_crashes_loses_its_tasks_only_once(count):
    sim = busy_cluster(count, run_s=40.0)
    inside, zone = sim.labels[0], running_machines(sim)[:2]
    links = {frozenset((label, name)) for label in sim.labels[1:] for name in zone}
    links |= {frozenset((inside, other)) for other in [*sim.labels[1:], "state"]}
    sim.cuts |= links
    sim.run(4)
    sim.crash(inside, 7.0)
    sim.run(2.5 * LEASE_S)
    sim.cuts -= links
    before = len(sim.start_log)
    sim.run(6)
    assert len(sim.start_log) > before  # as soon as heartbeats show that the tasks are gone
    assert sim.unanswered_jobs() == set()
    assert sim.unfinished_jobs(60) == set()


@pytest.mark.parametrize(
    "seconds",
    [LEASE_S, CANCEL_S - LEASE_S - constants.CANCELLATION_MARGIN_S, CANCEL_S, 2.5 * CANCEL_S],
)
def test_an_isolated_controller_does_not_act_on_outdated_state(seconds):
    sim = busy_cluster(run_s=200.0)
    move_workers_to(sim, "h0")
    sim.isolate("h0", seconds)
    sim.one_way |= {(name, label) for name in running_machines(sim) for label in sim.labels[1:]}
    starts = len(sim.start_log)
    sim.run(0.3)
    cancel_through(sim, "h1", "job-0")
    sim.specs["job-7"] = sim.specs["job-8"] = spec("array", 2)
    late_answers = [
        sim.send_request("h0", messages.SubmitJob, "job-7", spec("array", 2), ""),
        sim.send_request("h0", messages.QueryJob, "job-0"),
        sim.send_request("h0", messages.CancelJob, "job-1"),
    ]
    sim.cancel_requested.add("job-1")
    sim.submit("job-8", spec("array", 2))
    sim.run(seconds - 0.4)
    assert not {name for *_, name in sim.start_log[starts:]} & set(
        machines_reporting_to(sim, "h0")
    )
    assert all(status == 503 for answers in late_answers for status, _ in answers)
    sim.run(CANCEL_S)
    sim.submit("job-7", spec("array", 2))
    check_recovered(sim, 220)


@pytest.mark.parametrize("seconds", [0.8 * LEASE_S, 1.3 * LEASE_S, 3 * LEASE_S])
@pytest.mark.parametrize("count", [3, 7])
def test_a_long_partition_of_a_zone_with_its_controller_breaks_no_rule(seconds, count):
    # Must not happen: a cancelled task keeps running in the zone because the controller there
    # renews its lease; a task starts outside while it runs inside; a job never starts afterwards.
    sim = busy_cluster(count, run_s=90.0)
    inside, outside = sim.labels[0], sim.labels[1]
    names = [
        name
        for name in running_machines(sim)
        if sim.workers[name].zone == sim.workers[running_machines(sim)[0]].zone
    ]
    for name in names:
        sim.workers[name].controller_index = 0
    sim.run(3)
    others = [label for label in sim.labels if label != inside]
    outside_machines = [name for name in running_machines(sim) if name not in names]
    links = {frozenset((inside, end)) for end in [*others, "state", *outside_machines]}
    links |= {frozenset((label, name)) for label in others for name in names}
    sim.cuts |= links
    sim.after(seconds, lambda: sim.cuts.difference_update(links))
    sim.run(0.3)
    sim.cancel("job-0")
    sim.submit("job-5", spec("gang", 3, "red", one_zone=True, estimate_s=5.0))
    if count == 7:
        sim.crash(outside, 0.5)
    sim.run(seconds + CANCEL_S)
    assert sim.reported_state["job-0"] == "cancelled"
    assert not [task for _, task, _ in sim.placed_tasks() if task.startswith("job-0/")]
    assert sim.startable_jobs() == set()
    check_recovered(sim, 200)


@pytest.mark.parametrize("count", [3, 7])
def test_jobs_constrained_to_a_zone_that_loses_its_machines_resume_there(count):
    # Must not happen: `wrong_place`, tasks of one job in two zones, a job that never starts.
    sim = Simulation(4, count)
    sim.run(10)
    sim.submit("job-1", spec("array", 6, "red", zone="a", estimate_s=30.0))
    sim.submit("job-2", spec("array", 4, "blue", one_zone=True, estimate_s=30.0))
    sim.submit("job-3", spec("gang", 3, "blue", one_zone=True, estimate_s=30.0))
    sim.submit("job-4", spec("service", 2, "red", spread=True))
    sim.run(14)
    for round_number in range(2):
        zones = {
            w.zone for w, task, _ in sim.running_tasks() if task.startswith(("job-1/", "job-2/"))
        }
        for name in running_machines(sim):
            if sim.workers[name].zone in zones:
                sim.kill(name)
        sim.crash(role_holder(sim, "#fleet" if round_number else "red"), 0.5)
        sim.run(8 * LEASE_S)
    assert sim.startable_jobs() == set()
    check_recovered(sim, 150)
    assert {f"job-{n}/0" for n in (1, 2, 3)} <= sim.completed
