"""Random jobs whose tasks fail at times: none is left waiting beside a machine that fits."""

import random

import pytest

from tests.fakes import Simulation, spec

WAITING_LIMIT_S = 90.0
"""No job is left waiting for longer while a machine that fits has room."""


def random_job(rng: random.Random):
    """Return a job of random size and kind, so that several share a rounded size."""
    kind = rng.choice(["array", "array", "service", "gang"])
    return spec(
        kind,
        rng.choice([1, 2, 3, 6]) if kind == "array" else rng.choice([1, 2, 3]),
        rng.choice(["red", "blue"]),
        cpus=rng.uniform(0.8, 3.4),
        memory_gb=rng.uniform(4.0, 24.0),
        gpus=rng.choice([0.0, 0.25, 0.5]),
        priority=rng.choice([0, 1, 1, 2, 3]),
        estimate_s=rng.choice([2.0, 20.0, 400.0]),
    )


@pytest.mark.parametrize("seed", range(12))
def test_no_job_is_left_waiting_beside_room_after_failures(seed):
    # Guards against any state after a failure, or of a queue, that keeps a job from being tried.
    rng = random.Random(seed)
    sim = Simulation(seed)
    sim.capacity = rng.choice([1, 2, 4])
    sim.run(12)
    for number in range(rng.choice([10, 25, 40])):
        job = random_job(rng)
        for index in range(job.tasks):
            if rng.random() < 0.3:
                sim.failing_starts[f"job-{number}/{index}"] = rng.choice([1, 2, 3, 5])
        sim.submit(f"job-{number}", job)
        sim.run(rng.uniform(0.1, 2.0))
    sim.run(30)
    sim.failing_starts.clear()
    sim.run(1)  # attempts that fail end; from now on all is sound
    assert sim.startable_jobs(WAITING_LIMIT_S) == set()
