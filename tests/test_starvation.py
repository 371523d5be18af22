"""Starvation: jobs are answered, the largest start in time, half of each group is served."""

import random

import pytest

from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.peer_messages import AnnounceBackfill
from oakmux.core.scheduling import queue_order
from oakmux.core.scheduling.backfill_reservations import BackfillReservations
from oakmux.core.scheduling.pending_queues import PendingQueues
from oakmux.core.scheduling.quota_claims import QuotaClaims
from oakmux.core.state.records import Binding, Job, TaskBlock
from oakmux.core.state.write_buffer import WriteBuffer
from tests.fakes import LEASE_S, TYPE, Simulation, settings_for, spec
from tests.helpers.clusters import running_machines

BEGIN_WITHIN_S = 240.0


def submit_small_arrays(sim: Simulation, seconds: float, **fields) -> None:
    """Submit a small array every second, by alternating teams: more than the capacity."""
    started_at = sim.now
    for number in range(int(seconds)):
        team = ("red", "blue")[number % 2]
        sim.after(
            number,
            lambda n=number, t=team: sim.submit(
                f"job-9{n:03}",
                spec("array", 2, t, job_class="small", **{"estimate_s": 8.0, **fields}),
            ),
        )
    assert sim.now == started_at


def overloaded_cluster(seed: int, count: int, **fields) -> Simulation:
    """Return a small deployment with more small arrays than it has capacity for."""
    sim = Simulation(seed, count)
    sim.capacity = 3
    sim.run(12)
    submit_small_arrays(sim, 250, **fields)
    sim.run(20)
    return sim


@pytest.mark.parametrize("count", [3, 7])
def test_the_largest_jobs_start_among_many_small_ones_despite_failures(
    count,
):
    sim = overloaded_cluster(1, count)
    sim.submit("job-1", spec("array", 40, "blue", job_class="scan", estimate_s=20.0))
    sim.submit("job-2", spec("gang", 8, "red", job_class="press", priority=1))
    sim.submit("job-3", spec("array", 300, "red", job_class="visit", priority=0, estimate_s=10.0))
    sim.run(30)
    sim.kill(running_machines(sim)[0])
    sim.crash(sim.labels[0], 0.3)
    sim.run(40)
    sim.drop_inbound(running_machines(sim)[:1], 2 * LEASE_S)
    sim.run(BEGIN_WITHIN_S - 70)
    late = [
        name
        for name in sim.underserved(BEGIN_WITHIN_S)
        if "small" not in name and "team" not in name
    ]
    assert late == []


@pytest.mark.parametrize("count", [3, 7])
def test_a_gang_of_the_whole_fleet_starts_among_younger_gangs(count):
    sim = Simulation(2, count)
    sim.capacity = 2
    sim.run(12)
    for number in range(110):  # each leaves half a machine to the next
        sim.after(
            2.0 * number,
            lambda n=number: sim.submit(
                f"job-9{n:03}",
                spec("gang", 2, "blue", job_class="pair", priority=2, estimate_s=6.0),
            ),
        )
    sim.run(20)
    sim.submit("job-1", spec("gang", 8, "red", job_class="book", priority=2, one_zone=False))
    sim.run(BEGIN_WITHIN_S)
    assert sim.begun_at("job-1") is not None
    assert sim.begun_at("job-1") - sim.submitted["job-1"] < BEGIN_WITHIN_S


def test_a_gang_waits_for_preempted_tasks_that_save_a_checkpoint():
    # Guards against a gang that repeatedly declines its offers just before the capacity is free.
    sim = Simulation(6)
    sim.capacity = 2
    sim.run(12)
    sim.submit(
        "job-1",
        spec(
            "array",
            60,
            "red",
            job_class="scan",
            priority=0,
            estimate_s=300.0,
            checkpoint_s=5.0,
            save_s=12.0,
        ),
    )
    sim.run(15)
    assert len(sim.running_tasks()) == 8
    sim.submit("job-9", spec("gang", 2, "blue", job_class="press", priority=2))
    scheduler = next(
        core for core in sim.cores.values() if "blue" in core.context.held_roles
    ).scheduler
    sim.run(2)
    until = scheduler.pending_jobs["job-9"].hold_until
    sim.run(8)
    assert scheduler.pending_jobs["job-9"].hold_until == until > sim.now  # not started over
    sim.run(7)
    assert sim.begun_at("job-9") is not None


def test_the_largest_jobs_may_never_start_without_starvation_precedence(monkeypatch):
    for module in (
        "core.scheduling.queue_order",
        "core.scheduling.pending_queues",
        "core.scheduling.quota_claims",
        "core.scheduling.gangs",
        "core.scheduling.backfill_planner",
    ):
        monkeypatch.setattr(f"oakmux.{module}.is_starving", lambda context, job: False)
    with pytest.raises(AssertionError):
        for count in (3, 7):
            test_the_largest_jobs_start_among_many_small_ones_despite_failures(count)


def test_a_pending_job_starves_in_time_and_a_started_one_does_not():
    sim = overloaded_cluster(3, 3)
    sim.submit("job-1", spec("array", 40, "blue", job_class="scan", estimate_s=20.0))
    sim.run(10)
    core = sim.cores["h0"]
    job = core.context.replica.jobs["job-1"]
    assert not queue_order.is_starving(core.context, job)
    job.eligible_ms -= 1000 * queue_order.starvation_s(job)
    assert queue_order.is_starving(core.context, job) == (not job.begun)


def pending_jobs(**jobs: tuple[float, dict]) -> tuple[Context, dict[str, Job]]:
    """Return a context at 100 s, and pending jobs by name: (age at that time in s, fields)."""
    context = Context(settings_for("h0"), random.Random(1), 0)
    context.types = {"big": TYPE}
    context.now = 100.0
    jobs_by_name = {}
    for name, (age, fields) in jobs.items():
        job_spec = spec(**fields)
        jobs_by_name[name] = Job(
            name,
            job_spec.team,
            "queued",
            1,
            job_spec,
            round(1000 * (context.now - age)),
            job_spec.tasks,
        )
        context.replica.jobs[name] = context.replica.active[name] = jobs_by_name[name]
    return context, jobs_by_name


def test_a_large_array_comes_first_in_its_queue_once_it_is_starving():
    context, jobs = pending_jobs(big=(100.0, dict(tasks=5000)), small=(90.0, dict(tasks=1)))
    context.now = 20.0
    queues = PendingQueues(context)
    for job in jobs.values():
        shape = queues.put(job, job.spec)
    assert queues.head(shape).job_id == "small"  # a large array counts as younger
    context.now = 100.0
    queues.promote_starving()
    assert queues.head(shape).job_id == "big"


def test_a_starving_job_is_aged_whatever_the_objectives_of_its_class():
    context, jobs = pending_jobs(old=(97.0, {}), young=(50.0, {}))
    context.objectives.start_s["l"] = [400.0]
    assert queue_order.is_aged(context, jobs["old"], jobs["old"].spec)
    assert not queue_order.is_aged(context, jobs["young"], jobs["young"].spec)


def test_a_starving_gang_keeps_its_quota_claim_while_it_gathers_capacity():
    context, jobs = pending_jobs(gang=(70.0, dict(kind="gang", tasks=8)), young=(10.0, {}))
    claims = QuotaClaims(context, WriteBuffer(context))
    assert not claims.exceeds_limit(jobs["young"], jobs["young"].spec)
    claims.claim(jobs["gang"], jobs["gang"].spec, 8)  # no task of the team runs
    assert claims.exceeds_limit(jobs["young"], jobs["young"].spec)
    assert not claims.exceeds_limit(jobs["gang"], jobs["gang"].spec, 8)


def test_an_older_started_job_does_not_block_a_starving_gang():
    context, jobs = pending_jobs(
        gang=(70.0, dict(kind="gang", tasks=8)), older=(80.0, dict(tasks=40, estimate_s=60.0))
    )
    reservations = BackfillReservations(context)
    reservations.announced(AnnounceBackfill("gang", 1, jobs["gang"].eligible_ms, ["m1"], 10.0))
    assert not reservations.blocks_job("m1", jobs["older"], jobs["older"].spec)
    jobs["older"].blocks[0] = TaskBlock(1, 1, 0, {0: Binding(1, "m2", 1, 1, "a")})
    assert reservations.blocks_job("m1", jobs["older"], jobs["older"].spec)


def test_the_objectives_check_reports_underserved_groups():
    sim = Simulation(4)
    sim.run(12)
    sim.cloud_down = True  # no machines are rented, so no job can start
    sim.submit("job-1", spec("array", 2, "red", job_class="scan"))
    sim.run(BEGIN_WITHIN_S + 1)
    assert sim.underserved(BEGIN_WITHIN_S) == [
        "class scan: 0 of 1",
        "largest scan: 0 of 1",
        "team red: 0 of 1",
    ]


def test_the_objectives_check_reports_starved_jobs():
    sim = Simulation(5)
    sim.run(12)
    sim.submit("job-1", spec("array", 2, "red"))
    sim.submit("job-2", spec("array", 2, "blue"))
    sim.run(20)
    for core in sim.cores.values():  # each answers queries, but never for job-2
        query = core.jobs_api.query
        core.handlers[messages.QueryJob] = lambda command, query=query, core=core: (
            core.jobs_api.answers.unavailable(command.request, "busy")
            if command.job_id == "job-2"
            else query(command)
        )
    assert sim.unanswered_jobs() == {"job-2"}
