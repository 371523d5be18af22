"""Failures are attributed to unhealthy machines or to faulty jobs."""

import pytest

from oakmux import constants
from oakmux.core.failure_attribution import FailureAttribution
from tests.fakes import Simulation, spec
from tests.helpers.clusters import busy_cluster, idle_cluster, running_machines, wait_for_state


def test_a_machine_that_fails_every_task_is_returned():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, estimate_s=2.0))
    sim.run(6)
    next(iter(sim.workers.values())).fails_tasks = True
    for number in range(2, 8):
        sim.submit(f"job-{number}", spec("array", 3, estimate_s=2.0))
    sim.run(120)
    for number in range(1, 8):
        sim.query(f"job-{number}")
    sim.run(2)
    assert set(sim.reported_state.values()) == {"done"}


def test_jobs_that_fail_everywhere_neither_quarantine_machines_nor_delay_jobs(caplog):
    caplog.set_level("INFO")
    sim = Simulation(2)
    sim.capacity = 4
    sim.run(12)
    sim.submit("job-0", spec("service", 2, "blue"))  # its machine never completes a task
    sim.run(10)
    for number in range(1, 7):
        sim.failing_jobs.add(f"job-{number}")
        sim.submit(f"job-{number}", spec("array", 6, "red", estimate_s=0.5))
    sim.run(60)
    before = len(sim.start_log)
    sim.submit("job-8", spec("array", 8, "red", estimate_s=2.0))
    sim.run(30)
    assert wait_for_state(sim, "job-8", 1) == "done"
    attempts = [
        row for row in sim.start_log[before:] if row[1].startswith(tuple(sim.failing_jobs))
    ]
    assert len(attempts) <= 6 * 4  # with a backoff, one task at a time
    assert "why=quarantined" not in caplog.text
    assert sum(t.startswith("job-0/") for _, t, _ in sim.running_tasks()) == 2
    for number in range(1, 7):
        assert sim.reported_state[f"job-{number}"] == "accepted"
        sim.cancel(f"job-{number}")
    sim.run(3)
    assert all(sim.reported_state[f"job-{number}"] == "cancelled" for number in range(1, 7))


def test_a_job_that_failed_everywhere_is_retried_one_task_at_a_time(caplog):
    caplog.set_level("INFO")
    sim = busy_cluster(run_s=500.0)
    # The machines are full: at first, job-7 preempts other tasks.
    sim.capacity = len(running_machines(sim))
    sim.failing_jobs.add("job-7")
    sim.submit("job-7", spec("array", 8, "red", priority=2, estimate_s=0.5, gpus=0.0, cpus=6.0))
    sim.run(20)
    assert len({name for _, task, _, name in sim.start_log if task.startswith("job-7/")}) >= 3
    caplog.clear()
    before = len(sim.start_log)
    sim.run(140)
    attempts = sorted(at for at, task, _, _ in sim.start_log[before:] if task.startswith("job-7/"))
    assert "by=job-7" not in caplog.text
    assert all(
        later - at > constants.RETRY_FIRST_S
        for at, later in zip(attempts, attempts[1:], strict=False)
    )


def test_a_machine_is_returned_as_unhealthy_only_after_a_confirmation_delay():
    for fails_elsewhere in (True, False):
        sim = busy_cluster(run_s=500.0)
        name = running_machines(sim)[0]
        for number in range(10, 13):
            sim.failing_jobs.add(f"job-{number}")
            sim.submit(f"job-{number}", spec("array", 1, estimate_s=900.0, gpus=0.0, cpus=0.1))
        sim.run(3)
        for core in sim.cores.values():
            core.context.machines[name].errors = [f"job-{number}" for number in range(10, 13)]
        for task in [key for key in sim.workers[name].tasks]:
            sim.workers[name].tasks[task][:2] = ["exited", "stopped"]
        sim.run(constants.QUARANTINE_HOLD_S - 2)
        assert not sim.workers[name].dead
        for core in sim.cores.values():
            for number in range(10, 13) if fails_elsewhere else ():
                core.context.failures.record(f"job-{number}", "m-other")
        sim.run(6)
        assert sim.workers[name].dead is not fails_elsewhere


def test_without_failure_attribution_faulty_jobs_quarantine_machines(monkeypatch, caplog):
    monkeypatch.setattr(
        FailureAttribution, "counts_against_machine", lambda self, job_id, machine: True
    )
    with pytest.raises(AssertionError):
        test_jobs_that_fail_everywhere_neither_quarantine_machines_nor_delay_jobs(caplog)


def test_an_unhealthy_machine_is_found_while_faulty_jobs_run():
    sim = busy_cluster()
    for number in range(10, 14):
        sim.failing_jobs.add(f"job-{number}")
        sim.submit(f"job-{number}", spec("array", 3, "red", estimate_s=0.5))
    unhealthy = sim.workers[running_machines(sim)[0]]
    unhealthy.fails_tasks = True
    for number in range(20, 32):
        sim.submit(f"job-{number}", spec("array", 2, "blue", estimate_s=1.0))
        sim.run(6)
    for number in range(10, 14):
        sim.cancel(f"job-{number}")
    sim.run(40)
    assert unhealthy.dead
    assert sim.unfinished_jobs(60) == set()
