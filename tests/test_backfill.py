"""Backfill reservations: compared with a solver's optimum, and while several machines fail."""

import math
import random

import highspy
import msgspec
import pytest

from oakmux import constants
from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.peer_messages import AnnounceBackfill
from oakmux.core.resources import Resources
from oakmux.core.scheduling.backfill_plan import (
    BackfillCandidate,
    CandidateTask,
    choose_plan,
    task_slots,
    tasks_that_fit,
)
from oakmux.core.scheduling.backfill_reservations import BackfillReservations
from oakmux.core.state.records import Job
from oakmux.settings import SchedulingOptions
from tests.fakes import Simulation, settings_for, spec
from tests.helpers.clusters import idle_cluster

NEED = Resources(2.0, 2.0, 8.0)


def fragmented_fleet(rng: random.Random) -> tuple[list[BackfillCandidate], int]:
    """Return a small fleet with scattered tasks, and a gang's number of tasks."""
    candidates = []
    for number in range(rng.randint(3, 9)):
        free, running = [4.0, 4.0, 16.0], []
        for _ in range(rng.randint(0, 4)):
            gpus = rng.choice([1.0, 1.0, 2.0])
            used = (gpus, gpus, 4.0 * gpus)
            if used[1] > free[1]:
                continue
            free = [have - want for have, want in zip(free, used, strict=True)]
            ready = rng.choice([0.0, 0.0, round(rng.uniform(1, 100)), math.inf])
            lost = round(rng.uniform(1, 60)) if not ready else 0.0
            running.append(CandidateTask(Resources(*used), ready, lost))
        candidates.append(
            BackfillCandidate(f"m{number}", rng.choice("ab"), Resources(*free), tuple(running))
        )
    return candidates, rng.randint(1, 6)


def amounts(resources: Resources) -> tuple[float, float, float]:
    """Return CPUs, GPUs and memory."""
    return msgspec.structs.astuple(resources)


def least_lost_work(candidates: list[BackfillCandidate], tasks: int, by: float) -> float | None:
    """Return the least work to lose so that a gang fits by a given time, or None if it can't."""
    model = highspy.Highs()
    model.setOptionValue("output_flag", False)
    placed, cost = [], []
    for candidate in candidates:
        count = model.addIntegral(lb=0, ub=tasks)
        ended = [(model.addBinary(), task) for task in candidate.tasks if task.ready_s <= by]
        for kind in ("cpus", "gpus", "memory_gb"):
            model.addConstr(
                getattr(NEED, kind) * count
                <= getattr(candidate.free, kind)
                + sum(getattr(task.resources, kind) * var for var, task in ended)
            )
        placed.append(count)
        cost += [task.lost_s * var for var, task in ended]
    model.addConstr(sum(placed) >= tasks)
    model.minimize(sum(cost) if cost else 0 * placed[0])
    if model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return None
    return model.getInfo().objective_function_value


def earliest_fit(candidates: list[BackfillCandidate], tasks: int) -> tuple[float, float] | None:
    """Return the earliest time at which a gang fits, and the least work to lose for that."""
    for by in sorted(
        {0.0, *(h.ready_s for s in candidates for h in s.tasks if h.ready_s < math.inf)}
    ):
        lost = least_lost_work(candidates, tasks, by)
        if lost is not None:
            return by, lost
    return None


def test_backfill_plans_are_close_to_a_solvers_optimum_and_never_infeasible():
    rng = random.Random(5)
    planned_lost_s = optimal_lost_s = 0.0
    planned = optimal = 0
    for _ in range(400):
        candidates, tasks = fragmented_fleet(rng)
        zones = [[s for s in candidates if s.zone == zone] for zone in "ab"]
        answers = [answer for zone in zones if zone and (answer := earliest_fit(zone, tasks))]
        plan = choose_plan(NEED, tasks, candidates, True)
        assert (plan is None) == (not answers)
        if plan is None:
            continue
        by = min(answer[0] for answer in answers)
        assert plan.ready_s <= by + min(by, constants.BACKFILL_MARGIN_S)
        assert sum(plan.machines.values()) == tasks
        for candidate in candidates:  # no protected tasks, no more than the free capacity
            if candidate.name in plan.machines:
                assert candidate.zone == plan.zone
                ended = [t.resources for t in candidate.tasks if t.ready_s <= plan.ready_s]
                rows = [amounts(resources) for resources in (candidate.free, *ended)]
                free = Resources(*(sum(column) for column in zip(*rows, strict=True)))
                assert tasks_that_fit(NEED, free) >= plan.machines[candidate.name]
        bound = least_lost_work(
            [s for s in candidates if s.zone == plan.zone], tasks, plan.ready_s
        )
        assert plan.lost_s >= bound - 1e-6
        planned += 1
        optimal += plan.lost_s <= bound + 1e-6
        planned_lost_s, optimal_lost_s = planned_lost_s + plan.lost_s, optimal_lost_s + bound
    assert planned > 200
    assert planned_lost_s <= 1.2 * optimal_lost_s
    assert optimal > 0.8 * planned


def test_a_task_is_not_preempted_if_a_larger_one_frees_enough_capacity():
    small, large = (
        CandidateTask(Resources(gpus, gpus, 4.0), 0.0, 5.0 * gpus) for gpus in (1.0, 2.0)
    )
    [slot] = task_slots(
        NEED, BackfillCandidate("m", "a", Resources(0.0, 0.0, 8.0), (small, large)), 1
    )
    assert slot.lost_s == large.lost_s


def test_a_backfill_reservation_does_not_oscillate():
    rng = random.Random(6)
    for _ in range(200):
        candidates, tasks = fragmented_fleet(rng)
        first = choose_plan(NEED, tasks, candidates, False)
        if first is not None:
            again = choose_plan(NEED, tasks, candidates, False, first.machines)
            assert set(again.machines) == set(first.machines)


def crowded_cluster(seed: int, capacity: int = 4) -> Simulation:
    """Return a fleet full of small gangs, with more submitted later."""
    sim = Simulation(seed, scheduling=SchedulingOptions(backfill=True))
    sim.run(12)
    sim.capacity = capacity
    rng = random.Random(seed)
    sim.run_s = lambda task: 5.0 + (int(task[4:].split("/")[0]) * 7) % 9
    for number in range(1, 90):
        sim.after(
            number * 0.7,
            lambda n=number: sim.submit(
                f"job-{n}",
                spec("gang", 2, rng.choice(["red", "blue"]), priority=2, gpus=1.0, cpus=1.0),
            ),
        )
    sim.run(30)
    return sim


@pytest.mark.parametrize("fault", ["none", "machines", "scheduler", "frozen", "zone"])
def test_a_large_gang_starts_among_small_ones_whichever_fault_occurs(fault):
    # Without reservations gangs of 32 wait 230 s and more in a full fleet, because younger small
    # gangs take the capacity that becomes free.
    sim = crowded_cluster(3)
    sim.submit("job-100", spec("gang", 4, "blue", priority=2, cpus=2.0, one_zone=True))
    sim.run(6)
    holder = next(label for label, core in sim.cores.items() if "blue" in core.context.held_roles)
    alive = sorted(name for name, worker in sim.workers.items() if not worker.dead)
    if fault == "machines":
        for name in alive[:3]:
            sim.kill(name)
    elif fault == "scheduler":
        sim.crash(holder)
        sim.kill(alive[0])
        sim.kill(alive[-1])
    elif fault == "frozen":
        sim.freeze(holder, 12.0)
        sim.kill(alive[0])
    elif fault == "zone":
        cut = {
            frozenset((label, name))
            for label in sim.labels
            for name in alive
            if sim.workers[name].zone == "a"
        }
        sim.cuts |= cut
        sim.after(15.0, lambda: sim.cuts.difference_update(cut))
        sim.kill(alive[-1])
    sim.run(80)
    started = [at for at, task, _, _ in sim.start_log if task.startswith("job-100/")]
    assert started
    assert sim.unfinished_jobs(150) == set()


def test_only_preemptible_or_short_work_goes_to_reserved_machines():
    context = Context(settings_for("h0"), random.Random(1), 0)
    reservations = BackfillReservations(context)

    def job(name: str, since: int, **more) -> Job:
        result = Job(name, "red", "queued", 1, spec(**more), 0, 1)
        result.eligible_ms = since
        return result

    def blocked(other: Job) -> bool:
        return reservations.blocks_job("m1", other, other.spec)

    reservations.announced(AnnounceBackfill("job-2", 2, 50.0, ["m1", "m2"], 30.0))
    older, younger = (
        job(name, since, kind="gang", priority=2, estimate_s=25.0)
        for name, since in (("job-1", 40), ("job-3", 60))
    )
    assert not blocked(job("job-7", 60, kind="gang", priority=2, estimate_s=10.0))  # ends in time
    above, array, service = (
        job("job-4", 60, priority=3),
        job("job-5", 60),
        job("job-6", 60, kind="service"),
    )
    assert [blocked(j) for j in (older, younger, above, array, service)] == [
        False,
        True,
        False,
        False,
        True,
    ]
    assert not reservations.blocks_job("m3", younger, younger.spec)
    # Now m1 is reserved for the older gang.
    reservations.announced(AnnounceBackfill("job-1", 2, 40.0, ["m1"], 30.0))
    assert reservations.by_machine == {"m1": "job-1", "m2": "job-2"}
    reservations.announced(AnnounceBackfill("job-1", 2, 40.0, [], 0.0))
    context.now = 26.0
    assert not blocked(younger)  # the reservation expired: no more announcements
    reservations.announced(AnnounceBackfill("job-2", 2, 50.0, ["m1"], 1.0))
    assert blocked(array)  # the array would soon be preempted


def test_the_oldest_gang_may_take_machines_reserved_for_younger_ones():
    # Guards against a wait for other machines: with 72 machines reserved by two younger gangs, the
    # other 36 are ready only in 260 s.
    context = Context(settings_for("h0"), random.Random(1), 0)
    reservations = BackfillReservations(context)
    jobs = {}
    for name, since, priority in (
        ("job-1", 40, 2),
        ("job-2", 50, 2),
        ("job-3", 60, 2),
        ("job-4", 60, 1),
    ):
        jobs[name] = Job(name, "red", "queued", 1, spec("gang", 4, priority=priority), 0, 4)
        jobs[name].eligible_ms = since
    reservations.announced(AnnounceBackfill("job-1", 2, 40.0, ["m1"], 30.0))
    reservations.announced(AnnounceBackfill("job-3", 2, 60.0, ["m2", "m3"], 30.0))
    assert reservations.reserved_before(jobs["job-1"]) == set()
    assert reservations.reserved_before(jobs["job-2"]) == {"m1"}
    assert reservations.reserved_before(jobs["job-3"]) == {"m1"}
    assert reservations.reserved_before(jobs["job-4"]) == {"m1", "m2", "m3"}


def test_a_large_gang_starts_at_its_teams_quota_beside_younger_small_ones():
    # Guards against the next small gang always taking the quota that a small gang frees.
    sim = idle_cluster(seed=3)
    sim.run_s = lambda task: 5.0 + (int(task[4:].split("/")[0]) * 7) % 9
    for number in range(1, 120):
        sim.after(
            number * 0.7,
            lambda n=number: sim.submit(f"job-{n}", spec("gang", 2, "blue", priority=2)),
        )
    sim.run(30)
    sim.submit("job-200", spec("gang", 6, "blue", priority=2))
    sim.run(80)  # about thirty gangs are older
    assert [at for at, task, _, _ in sim.start_log if task.startswith("job-200/")]


def test_machines_reserved_for_a_gang_are_not_returned_as_idle():
    # Guards against returning some of the 32 machines that a gang waits for while others become
    # free.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "blue", estimate_s=3.0))
    sim.run(14)
    first, *others = sorted(name for name, worker in sim.workers.items() if not worker.dead)
    assert others
    for _ in range(40):
        for label in sim.labels:
            sim.command(
                label,
                messages.ReceivePeerMessages(
                    lambda *a: None, "h9", [AnnounceBackfill("job-9", 2, 0.0, [first], 30.0)]
                ),
            )
        sim.run(2)
    assert not sim.workers[first].dead
    assert all(sim.workers[name].dead for name in others)
    sim.run(30)
    assert sim.workers[first].dead  # nobody announces the reservation any more


def test_machines_that_fell_idle_in_a_store_outage_are_kept_until_it_ends():
    # No task can start during the outage, and users submit jobs again right after it.
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, "blue", estimate_s=3.0))
    sim.run(8)
    names = [name for name, worker in sim.workers.items() if not worker.dead]
    sim.store.outage(2 * constants.IDLE_KEEP_S)
    sim.run(2 * constants.IDLE_KEEP_S + 8)
    assert not any(sim.workers[name].dead for name in names)
    sim.run(constants.IDLE_KEEP_S + 10)
    assert all(sim.workers[name].dead for name in names)
