"""Jobs with dependencies: their order, cancellation cascades and limits."""

import random

import pytest

from oakmux.core import messages
from oakmux.core.state.records import Job
from oakmux.settings import UpcomingLimits
from tests.fakes import CANCEL_S, Simulation, spec

UPCOMING_LIMITS = UpcomingLimits(write_rps=500.0, value_kb=2.0, txn_ops=4)


def settled_cluster(seed: int = 1) -> Simulation:
    """Return a settled deployment, on the new format and with the upcoming store limits."""
    sim = Simulation(seed, upcoming_limits=UPCOMING_LIMITS)
    sim.run(12)
    sim.store.lower_limits(value_kb=2.0, txn_ops=4)
    return sim


def cpu_job(tasks: int = 1, kind: str = "array", team: str = "red", **more):
    """Return a job that needs no GPU."""
    return spec(kind, tasks, team, **{"gpus": 0.0, "cpus": 0.5, "estimate_s": 3.0, **more})


def submit_in_turn(sim: Simulation, *jobs: tuple[int, dict], gap: float = 0.3) -> None:
    """Submit jobs one after another: (number, fields)."""
    for number, fields in jobs:
        sim.submit(f"job-{number}", cpu_job(**fields))
        sim.run(gap)


def query_states(sim: Simulation, *numbers: int) -> list[str]:
    """Query jobs and return the states reported to their users."""
    for number in numbers:
        sim.query(f"job-{number}")
    sim.run(2.5)
    return [sim.reported_state[f"job-{number}"] for number in numbers]


def start_times(sim: Simulation, number: int) -> list[float]:
    """Return the start times of a job's tasks."""
    return [at for at, task, _, _ in sim.start_log if task.startswith(f"job-{number}/")]


def submit_pipeline(sim: Simulation) -> None:
    """Submit jobs with a fan-out and a fan-in over two teams."""
    submit_in_turn(
        sim,
        (1, dict(tasks=3)),
        (2, dict(tasks=6, waits_on=("job-1",))),
        (3, dict(tasks=6, team="blue", waits_on=("job-1", "job-1"))),
        (4, dict(tasks=2, kind="gang", one_zone=True, waits_on=("job-1",))),
        (5, dict(tasks=2, team="blue", waits_on=("job-2", "job-3", "job-4"))),
    )


def test_fan_out_and_fan_in_run_in_dependency_order():
    sim = settled_cluster()
    submit_pipeline(sim)
    sim.run(45)
    assert query_states(sim, 1, 2, 3, 4, 5) == ["done"] * 5
    assert max(start_times(sim, 1)) < min(start_times(sim, 2))
    assert max(start_times(sim, 4)) < min(start_times(sim, 5))
    assert sim.store.too_large == 0


def test_a_job_whose_dependencies_are_done_starts_at_once():
    sim = settled_cluster()
    submit_in_turn(sim, (1, dict(tasks=2)))
    sim.run(12)  # well before its idle machine is returned
    assert query_states(sim, 1) == ["done"]
    submit_in_turn(sim, (2, dict(waits_on=("job-1",))))
    sim.run(8)
    assert query_states(sim, 2) == ["done"]


def test_a_job_with_pending_dependencies_holds_no_capacity():
    sim = settled_cluster()
    submit_in_turn(
        sim, (1, dict(estimate_s=60.0)), (2, dict(tasks=8, gpus=1.0, waits_on=("job-1",)))
    )
    sim.run(12)
    for core in sim.cores.values():
        job = core.context.replica.jobs["job-2"]
        assert not job.ready
        assert not job.blocks
        assert "job-2" not in core.scheduler.pending_jobs
        assert not any("job-2" in kept.queue for kept in core.agents.workers.tracked.values())
        assert core.context.replica.usage.by_team.get("red", (0, 0))[1] == 0


@pytest.mark.parametrize("cancelled", [1, 2])
def test_cancelling_a_job_cancels_all_its_dependents(cancelled):
    sim = settled_cluster()
    submit_pipeline(sim)
    sim.cancel(f"job-{cancelled}")
    sim.run(1.5)
    assert query_states(sim, 2, 5) == ["cancelled"] * 2
    assert all(
        core.context.replica.jobs["job-5"].state == "cancelled" for core in sim.cores.values()
    )  # stored, not only derived
    sim.run(40)
    assert not start_times(sim, 5)
    assert query_states(sim, 3, 4) == (["cancelled"] * 2 if cancelled == 1 else ["done"] * 2)


def test_a_job_that_depends_on_a_cancelled_job_is_accepted_and_cancelled():
    sim = settled_cluster()
    submit_in_turn(sim, (1, dict(estimate_s=30.0)))
    sim.cancel("job-1")
    sim.run(1)
    submit_in_turn(sim, (2, dict(waits_on=("job-1",))), (3, dict(waits_on=("job-2",))))
    assert query_states(sim, 2, 3) == ["cancelled"] * 2
    assert not sim.refusals


def test_dependents_run_if_their_dependency_was_done_before_cancellation():
    sim = settled_cluster()
    submit_in_turn(sim, (1, {}))
    sim.run(15)
    sim.cancel("job-1")
    submit_in_turn(sim, (2, dict(waits_on=("job-1",))))
    sim.run(10)
    assert query_states(sim, 1, 2) == ["done"] * 2


def test_a_cascade_survives_a_crash_of_the_controller_that_confirmed_it():
    # The other controllers have only the record of the cancelled job.
    sim = settled_cluster()
    submit_pipeline(sim)
    answers: list[tuple] = []
    sim.cancel_requested.add("job-1")
    sim.command("h0", messages.CancelJob(lambda *a: answers.append(a), "job-1"))
    while not answers:
        sim.run(0.001)
    assert answers[0][1][2] == "cancelled"
    sim.cancelled_at["job-1"] = sim.now
    sim.crash("h0", None)
    for number in (2, 5):
        sim.query(f"job-{number}")
    sim.run(15)  # some users query the crashed controller first
    assert query_states(sim, 2, 5) == ["cancelled"] * 2


def test_a_cancellation_in_a_store_outage_reaches_all_dependents_afterwards():
    sim = settled_cluster()
    submit_pipeline(sim)
    sim.store.outage(8)
    sim.cancel("job-1")  # answered 503 and repeated until it is written
    sim.run(4)
    assert sim.reported_state["job-1"] == "accepted"
    sim.run(12)
    assert query_states(sim, 1, 2, 3, 4, 5) == ["cancelled"] * 5
    assert not start_times(sim, 2)


@pytest.mark.parametrize("first", ["cancel", "submit"])
def test_a_job_submitted_while_its_dependency_is_cancelled_is_cancelled(first):
    sim = settled_cluster()
    submit_in_turn(sim, (1, dict(estimate_s=30.0)))
    sim.specs["job-2"] = cpu_job(waits_on=("job-1",))
    sim.cancel_requested.add("job-1")
    answers = []
    commands = {
        "cancel": ("h0", messages.CancelJob(lambda *a: answers.append(a), "job-1")),
        "submit": (
            "h1",
            messages.SubmitJob(lambda *a: answers.append(a), "job-2", sim.specs["job-2"], ""),
        ),
    }
    for name in sorted(commands, key=lambda name: name != first):
        sim.command(*commands[name])
    sim.run(1)
    assert sorted(status for status, _ in answers) == [200, 201]
    sim.reported_state.update({"job-1": "cancelled", "job-2": "accepted"})
    sim.cancelled_at["job-1"] = sim.now
    assert query_states(sim, 1, 2) == ["cancelled"] * 2


@pytest.mark.parametrize("fault", ["owner", "state", "cut"])
def test_a_pipeline_survives_faults(fault):
    sim = settled_cluster(3)
    submit_pipeline(sim)
    if fault == "owner":
        sim.crash(
            next(label for label, core in sim.cores.items() if "red" in core.context.held_roles)
        )
    elif fault == "state":
        sim.store.outage(6)
    else:
        sim.cuts.add(frozenset(("h0", "state")))
        sim.after(10, sim.cuts.clear)
    sim.run(70)
    assert query_states(sim, 1, 2, 3, 4, 5) == ["done"] * 5


def test_invalid_dependencies_are_rejected():
    sim = settled_cluster()
    submit_in_turn(sim, (1, dict(kind="service")), (2, {}))
    for number, waits_on in ((3, ("job-99",)), (4, ("job-4",)), (5, ("job-2", "job-1"))):
        submit_in_turn(sim, (number, dict(waits_on=waits_on)))
    sim.run(2)
    assert sim.refusals == {"job-3": 422, "job-4": 422, "job-5": 422}
    sim.cancel("job-1")  # rejected also once the service has ended
    sim.run(8)
    submit_in_turn(sim, (6, dict(waits_on=("job-1",))))
    sim.run(2)
    assert sim.refusals["job-6"] == 422


def test_a_dependency_just_accepted_by_another_controller_is_known():
    sim = settled_cluster()
    sim.specs.update({"job-1": cpu_job(), "job-2": cpu_job(waits_on=("job-1",))})
    answers = []
    sim.command(
        "h0", messages.SubmitJob(lambda *a: answers.append(a[0]), "job-1", sim.specs["job-1"], "")
    )
    while not answers:
        sim.run(0.0005)
    assert "job-1" not in sim.cores["h1"].context.replica.jobs
    sim.command(
        "h1", messages.SubmitJob(lambda *a: answers.append(a[0]), "job-2", sim.specs["job-2"], "")
    )
    sim.run(1)
    assert answers == [201, 201]
    sim.store.down = True  # an unknown dependency can't be checked now: 503
    sim.command(
        "h2",
        messages.SubmitJob(
            lambda *a: answers.append(a[0]), "job-3", cpu_job(waits_on=("job-77",)), ""
        ),
    )
    sim.run(3)
    assert answers[2] == 503


def test_a_job_may_have_dozens_of_dependencies_and_be_resubmitted():
    sim = settled_cluster()
    names = tuple(f"job-{number:06d}" for number in range(60))
    for name in names:
        sim.submit(name, cpu_job(estimate_s=1.0))
    sim.run(2)
    submit_in_turn(sim, (700, dict(waits_on=names)))
    sim.cancel(names[7])
    sim.run(2)
    sim.submit("job-700", sim.specs["job-700"])  # accepted in whatever state its dependencies are
    sim.run(1)
    assert not sim.refusals
    assert query_states(sim, 700) == ["cancelled"]
    many = tuple(f"job-{number:018d}" for number in range(200))
    submit_in_turn(sim, (701, dict(waits_on=many)))
    sim.run(1)
    assert sim.refusals == {"job-701": 422}  # more than a record can hold


def test_dependencies_inherit_priority_and_deadline_until_cancellation():
    sim = settled_cluster()
    submit_in_turn(
        sim,
        (1, dict(estimate_s=50.0)),
        (2, dict(estimate_s=20.0, waits_on=("job-1",))),
        (3, dict(estimate_s=5.0, team="blue", priority=2, deadline_s=100.0, waits_on=("job-2",))),
    )
    jobs = sim.cores["h0"].context.replica.jobs
    order = jobs["job-3"].submitted_ms
    assert [jobs[f"job-{n}"].priority for n in (1, 2, 3)] == [2, 2, 2]
    assert [jobs[f"job-{n}"].due_ms - order for n in (1, 2, 3)] == [75e3, 95e3, 100e3]
    assert jobs["job-1"].latest_start_ms - order == 25e3
    sim.cancel("job-3")
    sim.run(1)
    assert [jobs[f"job-{n}"].priority for n in (1, 2)] == [1, 1]
    assert jobs["job-1"].due_ms == float("inf")


def test_tasks_without_gpus_leave_machines_with_free_gpus_alone():
    sim = settled_cluster()
    sim.submit("job-1", spec("service", 2, "blue", gpus=4.0, cpus=4.0, spread=True))
    sim.run(15)
    rented = len(sim.workers)
    submit_in_turn(sim, (2, dict(tasks=8, estimate_s=4.0)))
    sim.run(10)
    busy = {name for _, task, _, name in sim.start_log if task.startswith("job-1/")}
    used = {name for _, task, _, name in sim.start_log if task.startswith("job-2/")}
    assert used <= busy
    assert len(sim.workers) == rented


def test_tasks_without_gpus_avoid_spot_machines_while_others_have_capacity():
    # If spot machines are reclaimed together, tasks of job chains on them miss their deadline.
    sim = settled_cluster()
    sim.submit("job-2", spec("array", 1, "red", gpus=4.0, cpus=4.0, spot=True, estimate_s=60.0))
    sim.run(12)
    sim.submit("job-1", spec("service", 1, "blue", gpus=4.0, cpus=4.0))
    sim.run(12)
    assert {worker.spot for worker, _, _ in sim.running_tasks()} == {True, False}
    submit_in_turn(sim, (3, dict(tasks=6, spot=True)))
    sim.run(3)
    used = [sim.workers[name].spot for _, task, _, name in sim.start_log if "job-3/" in task]
    assert used == [False] * 6


def run_chains_with_random_faults(seed: int) -> Simulation:
    """Run job chains under crashes, outages, partitions and cancellations."""
    sim = settled_cluster(seed)
    sim.loss_rate, sim.duplicate_rate, sim.slow_rate = 0.01, 0.01, 0.005
    rng = random.Random(seed)
    for number in range(24):
        others = [f"job-{n}" for n in range(number) if sim.reported_state.get(f"job-{n}")]
        names = tuple(rng.sample(others, min(len(others), rng.randrange(3))))
        sim.submit(
            f"job-{number}",
            cpu_job(
                rng.choice([1, 3, 8]),
                rng.choice(["array", "array", "gang"]),
                rng.choice(["red", "blue"]),
                waits_on=names,
                estimate_s=rng.uniform(1, 8),
            ),
        )
        if rng.random() < 0.15:
            sim.after(rng.uniform(0, 8), lambda n=number: sim.cancel(f"job-{n}"))
        fault = rng.choice(["none", "none", "crash", "state", "cut", "die"])
        if fault == "crash":
            sim.crash(rng.choice(sim.labels), rng.uniform(1, 6))
        elif fault == "state":
            sim.store.outage(rng.uniform(1, 6))
        elif fault == "cut":
            pair = frozenset((rng.choice(sim.labels), "state"))
            sim.cuts.add(pair)
            sim.after(rng.uniform(2, 12), lambda p=pair: sim.cuts.discard(p))
        elif fault == "die" and sim.workers:
            sim.kill(rng.choice(sorted(sim.workers)))
        for _ in range(4):
            sim.query(f"job-{rng.randrange(number + 1)}")
            sim.run(0.8)
    sim.loss_rate = sim.duplicate_rate = sim.slow_rate = 0.0
    sim.cuts.clear()
    return sim


@pytest.mark.parametrize("seed", [11, 12, 13, 14])
def test_rules_hold_for_dependencies_under_random_faults(seed):
    sim = run_chains_with_random_faults(seed)
    assert sim.unfinished_jobs(200 + CANCEL_S) == set()
    assert sim.starts > 10


def test_random_faults_break_a_rule_without_the_dependency_check(monkeypatch):
    monkeypatch.setattr(Job, "ready", property(lambda job: True))
    with pytest.raises(AssertionError, match="too_early"):
        for seed in (11, 12):
            run_chains_with_random_faults(seed)
