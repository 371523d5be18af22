"""Answers of controllers whose records are behind, about jobs that others cancelled meanwhile."""

from collections.abc import Callable

import pytest

from oakmux.core import messages
from oakmux.settings import UpcomingLimits
from tests.fakes import Simulation, spec
from tests.helpers.clusters import cancel_through, role_holder

# The controller that cancels, the one whose records are behind, and one that has all records.
CANCELS, BEHIND, CURRENT = "h0", "h1", "h2"
# With these limits a transaction holds 16 conditions.
FEW_CONDITIONS = UpcomingLimits(write_rps=500.0, value_kb=8.0, txn_ops=4)


def waiting_job(*waits_on: str, team: str = "red"):
    """Return a job that runs for long and waits on others."""
    return spec("array", 1, team, gpus=0.0, cpus=0.5, estimate_s=300.0, waits_on=waits_on)


def accepted_chain(upcoming_limits: UpcomingLimits | None = None) -> Simulation:
    """Return a deployment in which job-3 waits on job-2, which waits on job-1."""
    sim = Simulation(1, upcoming_limits=upcoming_limits)
    sim.run(12)
    for job_id, waits_on in (("job-1", ()), ("job-2", ("job-1",)), ("job-3", ("job-2",))):
        sim.submit(job_id, waiting_job(*waits_on))
        sim.run(2)
    assert set(sim.reported_state.values()) == {"accepted"}
    return sim


def cut_from_peers(sim: Simulation, label: str) -> None:
    sim.cuts |= {frozenset((label, other)) for other in sim.labels if other != label}


def submit_at(sim: Simulation, label: str, job_id: str, seconds: float = 2.0) -> list[str]:
    """Submit a job at one controller; return the states that it answers.

    The fakes check that no answer calls a job queued behind one that was cancelled before.
    """
    answers = sim.send_request(label, messages.SubmitJob, job_id, sim.specs[job_id], "")
    sim.run(seconds)
    assert answers
    assert {status for status, _ in answers} <= {200, 201, 503}
    return [answer[2] for status, answer in answers if status != 503]


@pytest.mark.parametrize("peers_tell", [True, False])
@pytest.mark.parametrize("named", ["job-1", "job-2", "job-3"])
def test_no_job_behind_a_cancelled_one_is_accepted_as_queued(named, peers_tell):
    """Guards against `orphaned`: judging dependencies by records that are behind (review/7)."""
    sim = accepted_chain()
    sim.stalled_watches = {BEHIND}
    if not peers_tell:
        cut_from_peers(sim, BEHIND)
    cancel_through(sim, CANCELS, "job-1")
    sim.run(2)
    assert sim.cores[BEHIND].context.replica.jobs[named].state == "queued"
    sim.specs["job-9"] = waiting_job(named, team="blue")
    assert submit_at(sim, BEHIND, "job-9") == (["cancelled"] if peers_tell else [])
    sim.stalled_watches.clear()
    sim.cuts.clear()
    sim.run(1)
    assert submit_at(sim, BEHIND, "job-9") == ["cancelled"]


def test_a_job_known_to_others_only_is_not_shown_as_queued_behind_a_cancelled_one():
    """Guards against `orphaned`: a repeated submission answered by one current record alone."""
    sim = accepted_chain()
    cut_from_peers(sim, BEHIND)
    sim.stalled_watches = {BEHIND, CANCELS}  # job-9 is unknown to both of them
    sim.specs["job-9"] = waiting_job("job-1", team="blue")
    assert submit_at(sim, CURRENT, "job-9", 0.1) == ["queued"]
    cancel_through(sim, CANCELS, "job-1")
    assert submit_at(sim, BEHIND, "job-9") == []
    sim.stalled_watches.clear()
    sim.run(1)
    assert submit_at(sim, BEHIND, "job-9") == ["cancelled"]


@pytest.mark.parametrize("through_others", [False, True])
def test_more_dependencies_than_a_transaction_compares_are_judged_by_current_records(
    through_others,
):
    """Guards against `orphaned`: a submission whose conditions don't fit one transaction."""
    sim = accepted_chain(FEW_CONDITIONS)
    names = [f"job-{number}" for number in range(10, 40)]
    for before, name in zip(["job-3", *names], names, strict=False):
        sim.submit(name, waiting_job(before if through_others else "job-3"))
        sim.run(0.2)
    sim.run(1)
    sim.specs["job-9"] = waiting_job(*(names[-1:] if through_others else names))
    sim.stalled_watches = {BEHIND}
    cut_from_peers(sim, BEHIND)
    cancel_through(sim, CANCELS, "job-1")
    assert submit_at(sim, BEHIND, "job-9") == []
    sim.stalled_watches.clear()
    sim.run(1)
    assert submit_at(sim, BEHIND, "job-9") == ["cancelled"]
    assert sim.store.too_large == 0


def test_a_job_with_many_dependencies_is_accepted_at_once_by_current_records():
    sim = accepted_chain(FEW_CONDITIONS)
    names = [f"job-{number}" for number in range(10, 40)]
    for name in names:
        sim.submit(name, waiting_job("job-3"))
        sim.run(0.2)
    sim.specs["job-9"] = waiting_job(*names)
    answers = sim.send_request(CURRENT, messages.SubmitJob, "job-9", sim.specs["job-9"], "")
    sim.run(0.2)
    assert [(status, answer[2]) for status, answer in answers] == [(201, "queued")]
    assert sim.store.too_large == 0


def test_a_dependency_done_meanwhile_delays_a_submission_by_no_more_than_the_watch():
    # The write fails, since the record of job-1 has changed; the controller decides once more.
    sim = Simulation(1)
    sim.run(12)
    sim.submit("job-1", spec("array", 1, gpus=0.0, cpus=0.5, estimate_s=3.0))
    sim.run(1)
    holder = role_holder(sim, "red")
    behind = next(label for label in sim.labels if label != holder)
    sim.stalled_watches = {behind}
    while not sim.cores[holder].context.replica.jobs["job-1"].final:
        sim.run(0.1)
    assert not sim.cores[behind].context.replica.jobs["job-1"].final
    sim.specs["job-9"] = waiting_job("job-1")
    answers = sim.send_request(behind, messages.SubmitJob, "job-9", sim.specs["job-9"], "")
    sim.run(0.5)
    assert answers == []
    sim.stalled_watches.clear()
    sim.run(0.1)
    assert [(status, answer[2]) for status, answer in answers] == [(201, "queued")]


@pytest.mark.parametrize("watch_delay_s", [0.0, 0.5, 1.0])
def test_a_new_role_holder_accepts_no_job_as_queued_behind_a_cancelled_one(watch_delay_s):
    """Guards against `orphaned` in the seconds after a controller confirmed and ended."""
    sim = accepted_chain()
    holder = role_holder(sim, "red")
    others = [label for label in sim.labels if label != holder]
    sim.stalled_watches = set(others)
    for label in others:
        cut_from_peers(sim, label)
    cancel_through(sim, holder, "job-1")
    sim.crash(holder, 8.0)
    sim.after(watch_delay_s, sim.stalled_watches.clear)
    for number in range(60):
        job_id = f"job-{100 + number}"
        sim.specs[job_id] = waiting_job("job-3")
        label = others[number % len(others)]
        sim.send_request(label, messages.SubmitJob, job_id, sim.specs[job_id], "")
        sim.run(0.1)
    assert role_holder(sim, "red") in others
    assert submit_at(sim, others[0], "job-159") == ["cancelled"]


def test_submissions_after_an_outage_are_judged_by_what_others_cancelled_before_it():
    """Guards against `orphaned`: the store refuses one controller, then everybody (review/7)."""
    sim = accepted_chain()
    sim.store.refused = {BEHIND}
    sim.run(1)
    cancel_through(sim, CANCELS, "job-1")
    sim.run(1)
    sim.store.outage(35.0)
    sim.store.refused = set()
    sim.run(34.0)
    sim.stalled_watches = {BEHIND}  # its watch pauses between its tries
    sim.after(2.0, sim.stalled_watches.clear)
    for number in range(30):
        job_id = f"job-{100 + number}"
        sim.specs[job_id] = waiting_job(("job-1", "job-2", "job-3")[number % 3])
        sim.send_request(BEHIND, messages.SubmitJob, job_id, sim.specs[job_id], "")
        sim.run(0.1)
    assert sim.reported_state["job-129"] == "cancelled"


REQUESTS: list[tuple[str, Callable]] = [
    ("query", lambda sim: (messages.QueryJob, ())),
    ("cancel", lambda sim: (messages.CancelJob, ())),
    ("submit", lambda sim: (messages.SubmitJob, (sim.specs["job-1"], ""))),
]


@pytest.mark.parametrize("make", [make for _, make in REQUESTS], ids=[n for n, _ in REQUESTS])
def test_a_cancellation_that_peers_told_is_answered_while_the_store_is_out(make):
    """Guards against forgetting what peers told: a confirmed cancellation can't be taken back."""
    sim = accepted_chain()
    sim.store.refused = {BEHIND}
    sim.run(1)
    cancel_through(sim, CANCELS, "job-1")
    sim.run(2)
    sim.store.outage(10.0)
    command, fields = make(sim)
    answers = sim.send_request(BEHIND, command, "job-1", *fields)
    sim.run(0.1)
    assert [(status, answer[2]) for status, answer in answers] == [(200, "cancelled")]
