"""Outages of the store and of the cloud API."""

from oakmux.core import messages
from tests.fakes import Simulation, spec
from tests.helpers.clusters import idle_cluster, wait_for_state


def test_a_store_outage_answers_requests_503_and_keeps_tasks_running():
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 3))
    sim.run(10)
    before = sim.start_log[:]
    sim.store.outage(9.0)
    answers = []
    sim.run(1)
    sim.command("h1", messages.QueryJob(lambda s, a: answers.append(s), "job-1"))
    sim.command("h1", messages.SubmitJob(lambda s, a: answers.append(s), "job-2", spec(), ""))
    sim.run(6)
    assert answers == [503, 503]
    sim.run(20)
    assert sim.start_log == before
    assert len(sim.running_tasks()) == 3


def test_a_restart_during_a_cloud_outage_uses_the_recorded_machine_types():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 2, estimate_s=1.0))
    sim.run(12)
    sim.cloud_down = True
    for label in sim.labels:
        sim.crash(label, 2.0)
    sim.run(8)
    sim.submit("job-2", spec("array", 2, estimate_s=1.0))
    sim.run(10)
    assert wait_for_state(sim, "job-2", 1) == "done"


def test_seven_controllers_crash_in_a_store_outage_while_a_zone_is_partitioned():
    sim = Simulation(3, 7)
    sim.run(12)
    for number in range(1, 7):
        sim.submit(
            f"job-{number}",
            spec(
                ["array", "gang", "service"][number % 3],
                2,
                ["red", "blue"][number % 2],
                one_zone=number % 3 == 1,
                estimate_s=8.0,
            ),
        )
    sim.run(6)
    assert len(sim.reported_state) == 6
    sim.store.outage(8.0)
    for label in sim.labels:
        sim.after(2.0, lambda name=label: sim.crash(name, 4.0))
    links = {
        frozenset((label, w.name))
        for label in sim.labels
        for w in sim.workers.values()
        if w.zone == "a"
    }
    sim.cuts |= links
    sim.after(25.0, lambda: sim.cuts.difference_update(links))
    sim.run(120)
    for number in range(1, 7):
        sim.query(f"job-{number}")
    sim.run(2)
    assert {sim.reported_state[f"job-{n}"] for n in (1, 3, 4, 6)} == {"done"}
    assert sum(len(core.context.held_roles) for core in sim.cores.values()) == 3
    running = [task for _, task, _ in sim.running_tasks()]
    assert sorted(running) == ["job-2/0", "job-2/1", "job-5/0", "job-5/1"]  # the services


def test_a_store_outage_shared_by_all_controllers_leaves_all_healthy():
    sim = idle_cluster()
    sim.store.outage(12.0)
    sim.run(8)
    health: list[int] = []
    for label in sim.labels:
        sim.command(label, messages.CheckHealth(lambda status, _: health.append(status)))
    assert health == [200] * 3
