"""Gangs get all of their capacity at once."""

import pytest

from oakmux.core import messages
from oakmux.core.peer_messages import DeclineOffer, Offer
from tests.fakes import spec
from tests.helpers.clusters import idle_cluster, wait_for_state


def test_small_jobs_do_not_starve_a_gang():
    # Guards against gangs of several tasks that never preempt: lower-priority arrays block them.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "red", estimate_s=300.0, zone="a"))
    sim.run(20)
    for core in sim.cores.values():  # no more machines, so that only preemption helps
        core.autoscaler.scale_out.rentals.rent = lambda *a: None
    sim.submit(
        "job-2", spec("gang", 2, "blue", one_zone=True, priority=2, gpus=2.0, estimate_s=300.0)
    )
    sim.run(15)
    placed = [w for w, task, _ in sim.running_tasks() if task.startswith("job-2/")]
    assert len(placed) == 2
    assert {w.zone for w in placed} == {"a"}


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_a_single_task_gang_takes_the_best_grant(seed):
    # Guards against taking the first offer, which mostly comes from a machine without the image.
    sim = idle_cluster(seed=seed)
    sim.submit("job-1", spec("array", 1, "red", cpus=8.0, image="rare", estimate_s=3.0))
    sim.submit("job-2", spec("array", 1, "blue", cpus=8.0, estimate_s=3.0))
    sim.run(14)
    sim.submit(
        "job-3", spec("gang", 1, "red", gpus=3.0, image="rare", one_zone=True, estimate_s=60.0)
    )
    sim.run(2)
    at = {task: name for _, task, _, name in sim.start_log}
    assert at["job-3/0"] == at["job-1/0"] != at["job-2/0"]


def test_a_gang_whose_image_fetch_outlasts_its_wait_does_not_restart_forever():
    # Guards against tasks with the image that give up after `gang_wait_s` and so abort the fetch.
    sim = idle_cluster()
    sim.simulate_fetches = True
    sim.submit("job-1", spec("service", 1, "blue", gpus=4.0, image="x", image_gb=14.0))
    sim.run(40)
    sim.cancel("job-1")
    sim.run(1)
    sim.submit("job-2", spec("gang", 2, "blue", gpus=4.0, image="x", image_gb=14.0))
    sim.run(45)
    names = {name for _, task, _, name in sim.start_log if task.startswith("job-2/")}
    attempts = [attempt for _, task, attempt, _ in sim.start_log if task.startswith("job-2/")]
    assert len(names) == 2
    assert attempts == [1, 1]
    assert wait_for_state(sim, "job-2", 3) == "done"


def test_a_gang_beyond_its_teams_quota_preempts_nothing():
    # Guards against a quota check of one more task instead of the whole gang: the gang preempts
    # other jobs again and again and can't start.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "red", estimate_s=300.0, zone="a"))
    sim.submit("job-2", spec("service", 5, "blue", zone="b"))
    sim.run(20)
    for core in sim.cores.values():
        core.autoscaler.scale_out.rentals.rent = lambda *a: None
    before = sim.start_log[:]
    sim.submit("job-3", spec("gang", 2, "blue", one_zone=True, priority=2, gpus=3.0))
    sim.run(20)
    assert sim.start_log == before
    assert len(sim.running_tasks()) == 13


def test_simultaneous_urgent_gangs_all_start_in_a_full_fleet():
    # Guards against two gangs of one owner that count the same capacity as free or preempt the
    # same tasks: each gets a part and releases it again, for minutes in a fleet of 625 machines.
    sim = idle_cluster()
    sim.run_s = lambda task: 200.0
    sim.submit("job-1", spec("array", 8, "red"))
    sim.submit("job-2", spec("array", 4, "blue"))
    sim.run(14)
    assert len(sim.running_tasks()) == 12
    for core in sim.cores.values():
        core.autoscaler.scale_out.rentals.rent = lambda *a: None
    for job_id in ("job-3", "job-4"):
        sim.submit(job_id, spec("gang", 2, "blue", cpus=3.0, priority=2))
        sim.run(0.3)
    sim.run(2)
    started = {task for _, task, _ in sim.running_tasks() if task.startswith(("job-3/", "job-4/"))}
    assert len(started) == 4


def test_an_abandoned_gang_reservation_takes_no_late_grant():
    # Guards against late offers for an earlier attempt that reserve capacity in two zones
    # for one gang.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "red", estimate_s=200.0))
    sim.run(8)
    core = next(c for c in sim.cores.values() if "blue" in c.context.held_roles)
    for other in sim.cores.values():
        other.autoscaler.scale_out.rentals.rent = lambda *a: None
    sim.submit("job-2", spec("gang", 6, "blue", cpus=3.0))
    sim.run(1)
    state, name = core.scheduler.pending_jobs["job-2"], next(iter(core.context.machines))
    core.scheduler.gangs.end_gathering(core.context.replica.jobs["job-2"], state)
    state.backoff_until = sim.now + 5
    agent_epoch = core.context.machines[name].agent_epoch
    core.context.now = sim.now
    core.scheduler.binder.on_offer(Offer(name, "job-2", 7, agent_epoch, 1, "h9"))
    assert messages.SendToPeer("h9", DeclineOffer(name, 7)) in core.context.effects


def test_a_spread_gang_is_not_limited_to_the_zone_that_holds_its_image():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 4, "red", image="x", zone="a"))
    sim.submit("job-2", spec("service", 1, "red", zone="b"))
    sim.run(20)
    sim.submit("job-3", spec("gang", 2, "blue", image="x", spread=True))
    sim.run(25)
    zones = {
        sim.workers[name].zone for _, task, _, name in sim.start_log if task.startswith("job-3/")
    }
    assert len(zones) == 2
