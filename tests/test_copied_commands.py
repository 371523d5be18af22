"""Copies of start commands that were carried out and answered, arriving at the worker again."""

import os

import pytest

from tests.fakes import spec
from tests.helpers.clusters import idle_cluster
from tests.helpers.copies import Disruption, run_with_copied_commands

# Seeds of the random runs; a longer soak is started by hand with COPY_SEEDS=200.
SEEDS = range(1, 1 + int(os.environ.get("COPY_SEEDS", "4")))


@pytest.mark.parametrize("disruption", list(Disruption))
@pytest.mark.parametrize("seed", SEEDS)
def test_copied_start_commands_start_nothing_twice_under_random_faults(seed, disruption):
    sim = run_with_copied_commands(seed, disruption)
    assert sim.copies > 10
    assert sim.starts > 20
    assert sim.repeated_starts == []


def test_a_copied_start_command_does_not_revive_a_failed_task_that_runs_elsewhere():
    sim = idle_cluster()
    sim.submit("job-0", spec("service", 2, "blue", spread=True))
    sim.run(15)
    sim.submit("job-1", spec("array", 1, estimate_s=4.0))
    sim.run(3)
    worker, task, attempt = next(row for row in sim.running_tasks() if row[1] == "job-1/0")
    worker.fails_tasks = True
    sim.specs["job-1"] = spec("array", 1, estimate_s=2000.0)
    sim.run(30)
    assert (task, attempt) not in worker.tasks  # forgotten
    assert [other for other, name, _ in sim.running_tasks() if name == task] != [worker]
    for seconds in (0.0, 5.2, 300.0):
        sim.run(seconds)
        sim.repeat_answered_commands()
        assert sim.repeated_starts == []
