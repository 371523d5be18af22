"""Submissions and queries: accepted and rejected jobs, and answers that are never stale."""

import msgspec
import pytest

from oakmux import constants
from oakmux.core import messages
from tests.fakes import CANCEL_S, TYPE, Simulation, spec
from tests.helpers.clusters import (
    busiest_controller,
    busy_cluster,
    check_recovered,
    idle_cluster,
    machines_running,
)


def test_jobs_of_every_kind_run_and_are_reported_done():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 5))
    sim.submit("job-2", spec("gang", 3, "blue", one_zone=True))
    sim.submit("job-3", spec("service", 3, "blue", spread=True))
    sim.run(60)
    for job_id in ("job-1", "job-2", "job-3"):
        sim.query(job_id)
    sim.run(1)
    assert sim.reported_state == {"job-1": "done", "job-2": "done", "job-3": "accepted"}
    assert sum(t.startswith("job-3/") for _, t, _ in sim.running_tasks()) == 3
    attempts = {attempt for _, task, attempt, _ in sim.start_log if task.startswith("job-2/")}
    assert len(attempts) == 1  # the tasks of a gang share an attempt


def test_unknown_jobs_get_404_and_invalid_new_submissions_are_rejected():
    sim = idle_cluster()
    answers = []

    def send(command, *fields):
        sim.command("h0", command(lambda s, a: answers.append(s), *fields))
        sim.run(1)
        return answers[-1]

    assert send(messages.QueryJob, "job-9") == 404
    assert send(messages.SubmitJob, "job-9", spec(team="nobody"), "") == 422
    assert send(messages.SubmitJob, "job-9", spec(gpus=5.0), "") == 422
    assert send(messages.SubmitJob, "job-9", spec("gang", 9), "") == 422
    assert send(messages.SubmitJob, "job-9", None, "pieces: missing") == 400
    sim.specs["job-9"] = spec()
    assert send(messages.SubmitJob, "job-9", spec(), "") == 201
    # The body of a known job is not checked.
    assert send(messages.SubmitJob, "job-9", None, "pieces: missing") == 200


def test_store_reads_do_not_grow_with_the_number_of_polls():
    sim = idle_cluster()
    for number in range(60):
        sim.submit(f"job-{number}", spec("service", 1, "blue"))
    sim.run(10)
    reads: list[messages.Transaction] = []
    carry_out = sim.carry_out

    def count_reads(label: str, incarnation: int, effect: messages.Effect) -> None:
        if isinstance(effect, messages.Transaction) and not effect.writes:
            reads.append(effect)
        carry_out(label, incarnation, effect)

    sim.carry_out = count_reads  # type: ignore[method-assign]
    answers: list[int] = []
    for _ in range(10):
        sim.step(
            "h0",
            [
                messages.QueryJob(lambda status, _: answers.append(status), f"job-{n % 60}")
                for n in range(400)
            ],
        )
        sim.run(1.0)
    assert answers == [200] * 4000
    assert len(reads) == 10


def test_a_coalesced_read_is_never_older_than_an_answer_already_given():
    sim = idle_cluster()
    for number in range(60):
        sim.submit(f"job-{number}", spec("service", 1, "blue"))
    sim.run(10)
    sim.cuts.add(frozenset(("h0", "state")))  # its records are behind, without a sign of that
    sim.cancel_requested.add("job-7")
    sim.command(
        "h1",
        messages.CancelJob(
            lambda s, a: sim.check_answer("job-7", s, a, "accepted", sim.now), "job-7"
        ),
    )
    sim.run(3)
    assert sim.reported_state["job-7"] == "cancelled"
    sim.cuts.clear()
    before = sim.answered_at["job-7"]
    for number in range(60):
        sim.step(
            "h0",
            [
                messages.QueryJob(
                    lambda s, a, n=number: sim.check_answer(
                        f"job-{n}", s, a, sim.reported_state.get(f"job-{n}"), sim.now
                    ),
                    f"job-{number}",
                )
                for _ in range(4)
            ],
        )
    sim.run(2)
    assert sim.answered_at["job-7"] > before  # the fakes compared the answers


@pytest.mark.parametrize("count", [3, 7])
def test_answers_are_never_stale_while_the_store_is_slow_refusing_or_down(count):
    sim = busy_cluster(count, run_s=20.0)
    sim.store_delay_s = 0.6 * constants.STORE_TIMEOUT_S
    for step in range(24):
        if step == 6:
            sim.store_delay_s = 2 * constants.STORE_TIMEOUT_S
        elif step == 10:
            sim.store.refused = {busiest_controller(sim)}
        elif step == 13:
            sim.store.outage(1.3 * CANCEL_S)
            sim.store_delay_s = 0.0
        sim.submit(f"job-1{step}", spec("array", 2, "red", estimate_s=8.0))
        if step % 3 == 0:
            sim.cancel(f"job-1{step}")
        for number in range(step + 1):
            sim.query(f"job-1{number}")
        sim.run(2)
    assert "cancelled" in sim.reported_state.values()
    check_recovered(sim)


@pytest.mark.parametrize("fault", ["watch behind", "peers cut", "roles change", "refused", "lost"])
@pytest.mark.parametrize("count", [3, 7])
def test_no_controller_answers_with_an_older_state_than_already_reported(count, fault):
    # Must not happen: `went_back`, `forgotten`, a cancellation undone by a repeated submission.
    sim = Simulation(count, count)
    sim.run(12)
    sim.query_burst_share = 1.0
    for step in range(16):
        label = sim.labels[step % count]
        if fault == "watch behind":  # for a moment, or for longer than a user waits
            sim.stalled_watches = {label, sim.labels[(step + 1) % count]}
            sim.after(0.3 if step % 2 else 1.5, sim.stalled_watches.clear)
        elif fault == "peers cut":
            pair = {frozenset((label, sim.labels[(step + 1) % count]))}
            sim.cuts |= pair
            sim.after(1.5, lambda pair=pair: sim.cuts.difference_update(pair))
        elif fault == "roles change" and step % 2:
            sim.crash(label, sim.rng.uniform(0.05, 1.0))
        elif fault == "refused" and step % 3 == 0:
            sim.store.refused = {label}
            sim.after(3.0, sim.store.refused.clear)
        elif fault == "lost":
            sim.lost_answer_share = 0.4
        sim.submit(
            f"job-{step}",
            spec(
                ("array", "gang")[step % 2],
                1 + step % 3,
                "red" if step % 2 else "blue",
                estimate_s=1.5,
            ),
        )
        if step % 4 == 2:
            sim.after(sim.rng.uniform(0.0, 3.0), lambda n=step: sim.cancel(f"job-{n}"))
        for number in range(step):
            sim.query(f"job-{number}")
        sim.run(2)
    sim.query_burst_share = sim.lost_answer_share = 0.0
    assert {"done", "cancelled"} <= set(sim.reported_state.values())
    check_recovered(sim, 60)


@pytest.mark.parametrize("offset_s", [-0.03, -0.01, 0.0, 0.005, 0.01, 0.02, 0.04, 0.1, 0.5, 1.5])
def test_a_final_job_state_is_stable_when_commands_race_with_the_jobs_end(offset_s):
    """Sends a cancellation, a query or a repeated submission at moments around the job's end. Must
    not happen: `done` and then `cancelled`, or the reverse, or `done` too early."""
    for kind in ("array", "gang"):
        for command in (messages.CancelJob, messages.QueryJob, messages.SubmitJob):
            sim = Simulation(5)
            sim.run(12)
            sim.submit("job-1", spec(kind, 2, estimate_s=3.0))
            while "job-1/1" not in sim.completed and not sim.running_tasks():
                sim.run(0.01)
            end = max(row[2] for w in sim.workers.values() for row in w.tasks.values())
            sim.run(max(0.0, end - sim.now + offset_s))
            if command is messages.CancelJob:
                sim.cancel_requested.add("job-1")
            submission = (sim.specs["job-1"], "") if command is messages.SubmitJob else ()
            for label in sim.labels:
                sim.send_request(label, command, "job-1", *submission)
                sim.run(0.004)
            for _ in range(30):  # the fakes compare each answer with earlier ones
                for label in sim.labels:
                    sim.send_request(label, messages.QueryJob, "job-1")
                sim.run(0.1)
            cancelled = command is messages.CancelJob
            assert sim.reported_state["job-1"] in (
                ("done", "cancelled") if cancelled else ("done",)
            )
            check_recovered(sim, 20)


@pytest.mark.parametrize("count", [3, 7])
def test_a_flood_of_one_task_jobs_does_not_delay_leases_starts_or_answers(count):
    # Must not happen: a lease, a start or a confirmation starves behind the changes of other jobs.
    sim = Simulation(3, count)
    sim.run(12)
    sim.submit("job-0", spec("service", 2, "blue"))
    sim.run(8)
    for number in range(1, 241):
        sim.submit(
            f"job-{number}",
            spec("array", 1, ("red", "blue")[number % 2], cpus=0.5, gpus=0.25, estimate_s=3.0),
        )
        if number % 4 == 0:
            sim.after(sim.rng.uniform(0.0, 5.0), lambda n=number: sim.cancel(f"job-{n}"))
        if number == 120:
            sim.crash(busiest_controller(sim), 2.0)
        if number == 160:
            sim.late_write_share = 0.1
        sim.run(0.25)
    assert len(machines_running(sim, "job-0")) == 2
    start_delays = [
        at - sim.submitted[f"job-{n}"]
        for n in range(1, 241)
        if (at := sim.begun_at(f"job-{n}")) is not None
    ]
    assert len(start_delays) >= 180
    assert sorted(start_delays)[len(start_delays) // 2] < 6.0
    assert max(start_delays) < 30.0
    sim.late_write_share = 0.0
    check_recovered(sim, 60)


IMPOSSIBLE_JOBS = [
    spec(team="nobody"),
    spec(zone="z"),
    spec(types=["none"]),
    spec(types=[]),
    spec(zone=""),
    spec(cpus=9.0),
    spec(gpus=5.0),
    spec(memory_gb=65.0),
    spec("gang", 9),
    spec("service", 9),
    spec("gang", 2, spread=True, one_zone=True),
    spec("service", 2, spread=True, zone="a"),
]


@pytest.mark.parametrize("job", IMPOSSIBLE_JOBS, ids=range(len(IMPOSSIBLE_JOBS)))
def test_a_job_that_can_never_run_is_rejected_by_every_controller(job):
    sim = Simulation(1)
    sim.run(8)
    for label in sim.labels:
        answers = sim.send_request(label, messages.SubmitJob, "job-1", job, "")
        sim.run(0.5)
        assert [status for status, _ in answers] == [422]
    sim.specs["job-1"] = spec()
    sim.submit("job-1", spec())
    sim.run(1)
    for label in sim.labels:  # known by now: the answer is its state, whatever the body
        answers = [
            *sim.send_request(label, messages.SubmitJob, "job-1", job, ""),
            *sim.send_request(label, messages.SubmitJob, "job-1", None, "pieces: missing"),
        ]
        sim.run(0.5)
        assert sim.reported_state["job-1"] == "accepted"
    sim.run(30)
    sim.cancel_requested.add("job-1")
    for label in sim.labels:  # cancelling a finished job changes nothing
        answers = sim.send_request(label, messages.CancelJob, "job-1")
        sim.run(0.5)
        assert [(status, answer[2]) for status, answer in answers] == [(200, "done")]


def test_a_job_whose_zone_offers_no_suitable_machine_type_is_rejected(monkeypatch):
    kind = msgspec.structs.replace(TYPE, zones=["a", "b"])
    monkeypatch.setattr("tests.fakes.deployment.TYPE", kind)
    sim = Simulation(1)
    sim.run(8)
    for zone, status in (("c", 422), ("b", 201)):
        sim.specs["job-1"] = spec(zone=zone)
        answers = sim.send_request("h0", messages.SubmitJob, "job-1", spec(zone=zone), "")
        sim.run(0.5)
        assert [row[0] for row in answers] == [status]


def test_a_recorded_catalogue_refuses_no_job_for_good():
    """Guards against 422 by records of machine types that are older than the cloud's."""
    sim = Simulation(1)
    sim.run(8)
    large_type = msgspec.structs.replace(TYPE, name="large", cpus=64.0)
    sim.cloud_down = True  # the next process reads the types from the records
    sim.crash("h0", 0.5)
    sim.run(3)
    sim.specs["job-1"] = spec(types=["large"], cpus=32.0, gpus=0.0)

    def submitted(job) -> list[int]:
        answers = sim.send_request("h0", messages.SubmitJob, "job-1", job, "")
        sim.run(0.5)
        return [status for status, _ in answers]

    assert submitted(sim.specs["job-1"]) == [503]
    assert submitted(spec(team="nobody")) == [422]
    sim.reported_state.clear()
    sim.cloud_down = False
    sim.command("h0", messages.UpdateMachineTypes([TYPE, large_type]))
    assert submitted(spec(types=["none"])) == [422]
    sim.reported_state.clear()
    assert submitted(sim.specs["job-1"]) == [201]
