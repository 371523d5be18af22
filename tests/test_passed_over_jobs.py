"""Jobs that fit start although the first job of their queue does not fit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakmux import constants
from oakmux.core.scheduling.queue_sizes import QueueSizes, TaskSize
from oakmux.settings import Team
from tests.fakes import Simulation, spec
from tests.helpers.clusters import idle_cluster

WAITING_LIMIT_S = 90.0
"""No job is left waiting for longer while a machine that fits has room."""


def one_machine(team_of_service: str = "blue", **service) -> Simulation:
    """Return a deployment with one machine, part of which a service takes for good."""
    sim = idle_cluster()
    sim.capacity = 1
    sim.submit("job-1", spec("service", 1, team_of_service, priority=3, **service))
    sim.run(15)
    assert len(sim.running_tasks()) == 1
    return sim


def start_time(sim: Simulation, job_id: str) -> float | None:
    """Return when the first task of a job started."""
    return next((at for at, task, *_ in sim.start_log if task.startswith(job_id + "/")), None)


@pytest.mark.parametrize("in_front", [1, 40])
@pytest.mark.parametrize("kind", ["array", "service", "gang"])
@pytest.mark.parametrize(
    ("large", "small"),
    [
        (dict(cpus=3.3), dict(cpus=3.1)),
        (dict(cpus=3.0, memory_gb=31.0), dict(cpus=3.0, memory_gb=29.0)),
        (dict(cpus=3.3, memory_gb=28.5), dict(cpus=3.1, memory_gb=29.5)),
        (dict(cpus=3.1, memory_gb=31.0), dict(cpus=3.15, memory_gb=29.0)),
    ],
)
def test_a_job_that_fits_starts_behind_larger_ones_of_its_queue(kind, in_front, large, small):
    # Guards against review/3: a job waited for ever behind one of the same rounded size.
    sim = one_machine(cpus=4.8, memory_gb=34.2)
    tasks = 2 if kind == "gang" else 1
    scale = 1.0 / tasks
    for number in range(in_front):
        sizes = {name: value * scale for name, value in large.items()}
        sizes["cpus"] += 0.001 * number * scale
        sizes["memory_gb"] = sizes.get("memory_gb", 4.0 * scale)
        gpus = dict(gpus=0.25)
        sim.submit(f"job-{number + 100}", spec(kind, tasks, estimate_s=400.0, **sizes, **gpus))
    sim.run(5)
    sizes = {name: value * scale for name, value in small.items()}
    sizes["memory_gb"] = sizes.get("memory_gb", 4.0 * scale)
    sim.submit("job-2", spec(kind, tasks, estimate_s=400.0, gpus=0.25, **sizes))
    submitted_at = sim.now
    sim.run(WAITING_LIMIT_S)
    started_at = start_time(sim, "job-2")
    assert started_at is not None
    assert started_at - submitted_at < WAITING_LIMIT_S
    assert all(start_time(sim, f"job-{number + 100}") is None for number in range(in_front))


@pytest.mark.parametrize("memory_gb", [4.0, 62.0])  # beside the service, or on a new machine
def test_a_job_within_its_teams_limit_starts_behind_one_that_exceeds_it(memory_gb):
    # Guards against review/3 where the team's limit, not the machine, is too small for the first.
    sim = Simulation(1, teams=(Team("red", cpus_max=8.0), Team("blue")))
    sim.run(12)
    sim.submit("job-1", spec("service", 1, priority=3, cpus=4.8, memory_gb=memory_gb))
    sim.run(15)
    sim.submit("job-2", spec("array", 1, cpus=3.3, estimate_s=400.0))
    sim.run(5)
    sim.submit("job-3", spec("array", 1, cpus=3.1, estimate_s=400.0))
    sim.run(WAITING_LIMIT_S)
    assert start_time(sim, "job-3") is not None
    assert start_time(sim, "job-2") is None


def test_forty_jobs_that_fit_start_soon_behind_one_that_does_not():
    # Guards against starting the jobs behind the first one no faster than they are searched.
    sim = one_machine(cpus=4.8)
    sim.submit("job-2", spec("array", 1, cpus=3.3, gpus=0.0, estimate_s=400.0))
    sim.run(5)
    for number in range(40):
        cpus = 3.01 + 0.002 * number
        sim.submit(f"job-{number + 100}", spec("array", 1, cpus=cpus, gpus=0.0, estimate_s=0.3))
    sim.run(WAITING_LIMIT_S)
    assert all(start_time(sim, f"job-{number + 100}") is not None for number in range(40))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_larger_job_does_not_starve_behind_smaller_ones_of_its_queue(seed):
    # Guards against smaller jobs that take each bit of capacity for which the first one waits.
    sim = idle_cluster(seed=seed)
    sim.capacity = 1
    # Five of the jobs fill the machine. One ends every six seconds, which is not enough room.
    small = spec("array", 1, "blue", cpus=1.6, gpus=0.5, estimate_s=30.0)
    for number in range(100, 105):
        sim.submit(f"job-{number}", small)
        sim.run(6)
    sim.submit("job-2", spec("array", 1, "blue", cpus=1.95, gpus=0.5, estimate_s=3.0))
    submitted_at = sim.now
    sim.run(1)
    for number in range(105, 165):
        sim.submit(f"job-{number}", small)
    sim.run(constants.START_LIMIT_S)
    started_at = start_time(sim, "job-2")
    assert started_at is not None
    assert started_at - submitted_at < constants.START_LIMIT_S
    assert len(sim.completed) > 30  # the smaller ones went on meanwhile


SIZES = st.lists(st.tuples(st.integers(1, 6), st.integers(1, 6)), max_size=30)


@given(SIZES, st.data())
def test_the_least_sizes_cover_all_jobs_of_a_queue(sizes, data):
    queue = QueueSizes()
    jobs = [(TaskSize(cpus, memory), number) for number, (cpus, memory) in enumerate(sizes)]
    for size, number in jobs:
        queue.add(size, number)
    for size, number in data.draw(st.lists(st.sampled_from(jobs), unique=True)) if jobs else ():
        queue.discard(size, number)
        jobs.remove((size, number))
    least = queue.least()
    for size, _ in jobs:
        assert any(not size.needs_less_than(other) for other in least)
        assert queue.first(size) == min(number for other, number in jobs if other == size)
    tried = [size for _ in least for size in queue.next_least(1)]
    assert sorted(tried) == sorted(least)
