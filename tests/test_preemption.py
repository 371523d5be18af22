"""Preemption of lower-priority work and reclaimed spot machines."""

from tests.fakes import spec
from tests.helpers.clusters import idle_cluster, wait_for_state


def test_free_capacity_in_a_forbidden_zone_does_not_prevent_preemption():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "red", estimate_s=400.0, zone="a"))
    sim.run(15)
    sim.submit("job-2", spec("array", 4, "blue", estimate_s=400.0, zone="b"))
    sim.run(15)
    sim.submit("job-3", spec("array", 1, "blue", estimate_s=400.0, zone="c"))
    sim.run(15)
    for core in sim.cores.values():  # no more machines, so that only preemption helps
        core.autoscaler.scale_out.rentals.rent = lambda *a: None
    sim.submit("job-4", spec("service", 2, "blue", spread=True, priority=3))
    sim.run(15)
    zones = {w.zone for w, task, _ in sim.running_tasks() if task.startswith("job-4/")}
    assert len(zones) == 2


def test_a_task_with_checkpoints_saves_before_a_spot_machine_is_reclaimed():
    sim = idle_cluster()
    sim.submit("job-1", spec("gang", 1, spot=True, checkpoint_s=30.0, save_s=1.0, estimate_s=60.0))
    sim.run(20)
    worker = sim.running_tasks()[0][0]
    assert worker.spot
    worker.reclaim(10.0)
    sim.run(9.5)
    assert worker.name not in {
        w.name for w, _, _ in sim.running_tasks()
    }  # stopped in time to save
    sim.run(120)
    assert wait_for_state(sim, "job-1", 1) == "done"


def test_a_gang_saves_as_a_whole_before_a_spot_machine_is_reclaimed():
    sim = idle_cluster()
    sim.submit(
        "job-1",
        spec("gang", 4, cpus=8.0, spot=True, checkpoint_s=30.0, save_s=1.0, estimate_s=60.0),
    )
    sim.run(20)
    assert len(sim.running_tasks()) == 4
    worker = sim.running_tasks()[0][0]
    worker.reclaim(12.0)
    sim.run(4.0)
    assert all(attempt > 1 for _, _, attempt in sim.running_tasks())  # the first attempt has saved
    sim.run(150)
    assert wait_for_state(sim, "job-1", 1) == "done"


def test_an_urgent_gang_precedes_its_teams_array_at_the_quota():
    # Guards against the array's next task taking each quota share that an ended task frees.
    sim = idle_cluster()
    sim.run_s = lambda task: 20.0 if task.startswith("job-2/") else 6.0 + int(task[6:]) % 8
    sim.submit("job-1", spec("array", 90, "red"))
    sim.run(30)  # by now its tasks end one by one
    sim.submit("job-2", spec("gang", 4, "red", priority=2))
    sim.run(14)
    assert sum(task.startswith("job-2/") for _, task, _, _ in sim.start_log) == 4
    assert any(task.startswith("job-1/") for _, task, _ in sim.running_tasks())


def test_a_gang_preempts_lower_priority_work_rather_than_fetch_a_large_image():
    # One task that fetches makes the whole gang wait on idle machines.
    sim = idle_cluster()
    sim.simulate_fetches = True
    sim.run_s = lambda task: 300.0
    sim.submit("job-1", spec("array", 8, "red", image="x", image_gb=90.0, zone="a"))
    sim.submit("job-2", spec("service", 2, "blue", zone="b"))
    sim.run(115)
    holders = {w.name for w, task, _ in sim.running_tasks() if task.startswith("job-1/")}
    for core in sim.cores.values():
        core.autoscaler.scale_out.rentals.rent = lambda *a: None
    sim.submit("job-3", spec("gang", 2, "blue", image="x", image_gb=90.0, priority=2))
    sim.run(5)
    assert {w.name for w, task, _ in sim.running_tasks() if task.startswith("job-3/")} == holders
