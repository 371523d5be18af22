"""Jobs whose tasks fail on a few machines start again once the failures are over."""

import pytest

from oakmux import constants
from tests.fakes import Simulation, spec
from tests.helpers.clusters import idle_cluster, role_holder

WAITING_LIMIT_S = 90.0
"""No job is left waiting for longer while a machine that fits has room."""


def cluster_with_idle_machines(count: int) -> Simulation:
    """Return a deployment with `count` idle machines that may rent no more."""
    sim = idle_cluster()
    sim.capacity = count
    sim.submit("job-1", spec("array", count, cpus=8.0, gpus=1.0, estimate_s=1.0))
    sim.run(12)
    assert len(sim.completed) == count
    return sim


def missing_at_worst(sim: Simulation, job_id: str, seconds: float) -> float:
    """Return the longest time (s) for which one task of a job was neither running nor done."""
    tasks = {f"{job_id}/{index}" for index in range(sim.specs[job_id].tasks)}
    waiting_since: dict[str, float] = {}
    worst = 0.0
    end = sim.now + seconds
    while sim.now < end:
        started = {task for _, task in sim.unfinished_tasks()} | sim.completed
        waiting_since = {
            task: waiting_since.get(task, sim.now) for task in sorted(tasks - started)
        }
        worst = max([worst, *(sim.now - since for since in waiting_since.values())])
        sim.run(0.5)
    return worst


@pytest.mark.parametrize("kind", ["service", "array"])
@pytest.mark.parametrize(("tasks", "failing"), [(1, 1), (2, 1), (3, 2), (8, 1), (8, 7)])
def test_a_task_that_failed_on_three_machines_starts_again_while_others_run(kind, tasks, failing):
    # Guards against review/2: a replica stayed away for as long as any other replica ran.
    sim = cluster_with_idle_machines(4)
    for index in range(failing):
        sim.failing_starts[f"job-2/{index}"] = constants.SUSPECT_MACHINES
    sim.submit("job-2", spec(kind, tasks, cpus=2.0, priority=3, estimate_s=400.0))
    waited_s = missing_at_worst(sim, "job-2", 150.0)
    assert not any(sim.failing_starts.values())
    assert waited_s < WAITING_LIMIT_S
    assert len(sim.running_tasks()) == tasks


@pytest.mark.parametrize("failures", [1, 2])
@pytest.mark.parametrize("kind", ["service", "array"])
def test_a_job_whose_first_starts_all_failed_runs_once_the_machines_are_sound(kind, failures):
    # Guards against review/2 where no other task runs when the job becomes suspect.
    sim = cluster_with_idle_machines(4)
    for index in range(8):
        sim.failing_starts[f"job-2/{index}"] = failures
    sim.submit("job-2", spec(kind, 8, cpus=2.0, priority=3, estimate_s=400.0))
    while any(sim.failing_starts.values()):
        sim.run(0.5)
        assert sim.now < 150.0
    assert missing_at_worst(sim, "job-2", 100.0) < WAITING_LIMIT_S
    assert len(sim.running_tasks()) == 8


@pytest.mark.parametrize("holder_ends", [False, True])
@pytest.mark.parametrize("kind", ["array", "service", "gang"])
@pytest.mark.parametrize("machines", [1, 2])
def test_a_job_that_failed_once_starts_again_on_the_same_machine(kind, machines, holder_ends):
    # Guards against review/1: a machine on which a job failed once was excluded for ever.
    sim = idle_cluster()
    sim.capacity = machines
    if machines == 2:
        sim.submit("job-1", spec("service", 1, "blue", cpus=8.0))
        sim.run(15)
    tasks = 2 if kind == "gang" else 1
    sim.failing_starts["job-2/0"] = 1
    sim.submit("job-2", spec(kind, tasks, cpus=4.0 / tasks, estimate_s=400.0))
    sim.run(15)
    assert not sim.failing_starts["job-2/0"]
    if holder_ends:
        sim.crash(role_holder(sim, "red"))
    assert missing_at_worst(sim, "job-2", 110.0) < WAITING_LIMIT_S
    assert len([task for _, task, _ in sim.running_tasks() if "job-2/" in task]) == tasks


def test_another_machine_is_rented_for_a_job_that_failed_on_the_only_one_with_room():
    # Guards against review/1: the autoscaler took the excluded machine for the job's capacity.
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1, "blue", cpus=8.0))
    sim.run(15)
    sim.failing_starts["job-2/0"] = 1
    sim.submit("job-2", spec("array", 1, cpus=4.0, estimate_s=400.0))
    sim.run(constants.EXCLUSION_S / 2)
    starts = [machine for _, task, _, machine in sim.start_log if task == "job-2/0"]
    assert len(starts) == 2
    assert starts[0] != starts[1]


def test_no_machine_is_rented_for_a_job_that_failed_on_several():
    # Guards against renting one machine after the other for a job that fails everywhere.
    sim = idle_cluster()
    sim.submit("job-1", spec("service", 1, "blue", cpus=8.0))
    sim.run(15)
    before = len(sim.workers)
    sim.failing_starts["job-2/0"] = 1000
    sim.submit("job-2", spec("array", 1, cpus=4.0, estimate_s=400.0))
    sim.run(400)
    assert sum(task == "job-2/0" for _, task, _, _ in sim.start_log) >= 6
    assert len(sim.workers) - before <= constants.SUSPECT_MACHINES + 400 / constants.RETRY_MAX_S


def test_a_task_that_always_fails_does_not_keep_the_others_of_its_job_from_starting():
    # Guards against a suspect job that tries the same faulty task again and again.
    sim = cluster_with_idle_machines(1)
    sim.failing_starts["job-2/0"] = 1000
    sim.submit("job-2", spec("array", 6, cpus=7.0, estimate_s=5.0))
    sim.run(150)
    assert {f"job-2/{index}" for index in range(1, 6)} <= sim.completed


def test_failures_one_after_the_other_do_not_keep_a_job_from_retrying():
    # Guards against a backoff that each further failure of a large array began anew.
    sim = cluster_with_idle_machines(4)
    for index in range(2):
        sim.failing_starts[f"job-2/{index}"] = 1000
    sim.submit("job-2", spec("array", 8, cpus=2.0, estimate_s=300.0))
    sim.run(60)
    starts_before = len(sim.start_log)
    sim.run(WAITING_LIMIT_S)
    retried = {task for _, task, _, _ in sim.start_log[starts_before:]}
    assert {"job-2/0", "job-2/1"} <= retried


def test_a_suspect_job_starts_another_task_although_the_last_one_never_runs():
    # Guards against a suspect job that waits for as long as the machine of its only task hangs.
    sim = cluster_with_idle_machines(4)
    sim.submit("job-2", spec("array", 40, "red", estimate_s=300.0))
    sim.run(3)
    core = sim.cores[role_holder(sim, "red")]
    binder, job = core.scheduler.binder, core.context.replica.jobs["job-2"]
    for number in range(constants.SUSPECT_MACHINES):
        core.context.failures.record("job-2", f"m-{number}")
    state = binder.pending_jobs["job-2"]
    state.last_bound_at = core.context.now
    assert binder.startable_tasks(job, job.spec, state, bound=True) == 0
    state.last_bound_at -= constants.SUSPECT_START_INTERVAL_S
    assert binder.startable_tasks(job, job.spec, state, bound=True) == 1


def test_the_backoff_of_a_job_that_fails_for_days_stays_finite():
    # Guards against an OverflowError from 2 ** failures, after which the task stays bound.
    sim = cluster_with_idle_machines(4)
    sim.submit("job-2", spec("array", 2, "red", estimate_s=300.0))
    sim.run(3)
    core = sim.cores[role_holder(sim, "red")]
    binder, job = core.scheduler.binder, core.context.replica.jobs["job-2"]
    state = binder.pending_jobs["job-2"]
    state.failures, state.retry_at = 5000, core.context.now
    binder._back_off(job, state)
    assert state.retry_at == core.context.now + constants.RETRY_MAX_S


@pytest.mark.parametrize("machines", [1, 2, 6])
@pytest.mark.parametrize("run_s", [0.5, 5.0, 9.0])
@pytest.mark.parametrize("kind", ["array", "service"])
def test_a_job_that_fails_everywhere_starts_few_tasks(kind, run_s, machines, monkeypatch):
    # Guards against clearing a job by runs that are no longer than those that failed.
    sim = cluster_with_idle_machines(machines)
    monkeypatch.setattr("tests.fakes.tasks.FAILING_RUN_S", run_s)
    for index in range(12):
        sim.failing_starts[f"job-2/{index}"] = 1000
    before = len(sim.start_log)
    sim.submit("job-2", spec(kind, 12, cpus=1.0, gpus=0.5, estimate_s=300.0))
    sim.run(60)
    within_minute = len(sim.start_log) - before
    # All tasks in each of two rounds, then one task after each pause.
    assert within_minute <= 12 * constants.SUSPECT_ROUNDS + 6
    sim.run(240)
    later = len(sim.start_log) - before - within_minute
    assert 240 / constants.RETRY_MAX_S - 1 <= later <= 240 / constants.RETRY_MAX_S + 2
