"""Copies of answered requests of every kind, arriving once more seconds or minutes later."""

import pytest

from oakmux.core import messages
from oakmux.core.agents.worker_terms import WorkerTerms, worker_term
from oakmux.core.model import Heartbeat
from oakmux.core.peer_messages import MachineView
from tests.fakes import FakeStore, Simulation, spec
from tests.fakes.network import RequestKind
from tests.helpers.clusters import busy_cluster, check_recovered, idle_cluster, running_machines
from tests.helpers.copies import Disruption, restart_soon, run_with_copied_commands


def run_with_copies(kinds: list[RequestKind], seed: int = 1) -> Simulation:
    """Run jobs of all kinds and restart controllers while every answered request is copied."""
    sim = Simulation(seed)
    sim.run(10)
    sim.copy_shares = dict.fromkeys(kinds, 1.0)
    sim.query_burst_share = 0.2
    for step in range(16):
        kind = ("array", "gang", "array", "service")[step % 4]
        team = ("red", "blue")[step % 2]
        sim.submit(f"job-{step}", spec(kind, 1 + step % 3, team, estimate_s=2.0 + step % 5))
        if kind == "service" or step % 5 == 1:
            sim.after(4.0, lambda n=step: sim.cancel(f"job-{n}"))
        if step % 4 == 2:
            restart_soon(sim, sim.rng)
        if step == 9:
            sim.kill(running_machines(sim)[0])
        sim.run(4)
    sim.run(45)
    sim.copy_shares = {}
    return sim


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", list(RequestKind))
def test_copies_of_every_answered_request_of_a_kind_break_no_rule(kind, seed):
    sim = run_with_copies([kind], seed)
    assert sim.copies > 10
    assert sim.repeated_starts == []
    check_recovered(sim, 100)


def test_copies_of_every_answered_request_of_all_kinds_break_no_rule():
    sim = run_with_copies(list(RequestKind))
    assert sim.repeated_starts == []
    check_recovered(sim, 100)


def test_without_a_raised_term_copied_starts_begin_twice(monkeypatch):
    def forget_under_current_term(terms, tracked, machine, exited, start_pending):
        return worker_term(terms.context, tracked)

    monkeypatch.setattr(WorkerTerms, "for_forgets", forget_under_current_term)
    failures = 0
    for seed in range(1, 4):
        try:
            sim = run_with_copied_commands(seed, Disruption.FAILURES)
            failures += bool(sim.repeated_starts)
        except AssertionError:
            failures += 1
    assert failures == 3


def test_without_conditions_copied_transactions_break_a_rule(monkeypatch):
    transact = FakeStore.transact

    def ignore_conditions_of_copies(store, guards, writes):
        return transact(store, [] if store.sim.serving_copy else guards, writes)

    monkeypatch.setattr(FakeStore, "transact", ignore_conditions_of_copies)
    with pytest.raises(AssertionError):
        for seed in range(1, 4):
            check_recovered(run_with_copies([RequestKind.STORE], seed), 100)


def test_a_copied_rental_request_rents_no_second_machine():
    sim = Simulation(1)
    sim.copy_shares = {RequestKind.CLOUD: 1.0}
    sim.run(20)
    sim.submit("job-1", spec("array", 4, estimate_s=20.0))
    sim.run(60)
    rented = [name for names in sim.requests.values() for name in names]
    assert rented
    assert sorted(rented) == sorted(sim.workers)


def view_of(heartbeat: Heartbeat, term: int) -> MachineView:
    """Return the view of a machine that its manager sends to the peers."""
    return MachineView(
        term,
        heartbeat.machine,
        heartbeat.addr,
        heartbeat.type,
        heartbeat.zone,
        heartbeat.spot,
        heartbeat.agent_epoch,
        heartbeat.sequence,
        heartbeat.fencing_token,
        heartbeat.notice_s,
        [[*task, *state] for task, state in heartbeat.tasks.items()],
        [],
    )


def test_a_copied_machine_view_does_not_replace_a_newer_one():
    sim = busy_cluster()
    name = running_machines(sim)[0]
    manager = sim.labels[sim.workers[name].controller_index]
    peer = next(label for label in sim.labels if label != manager)
    view = view_of(
        sim.workers[name].peek(), sim.cores[manager].context.machines[name].manager_term
    )
    sim.run(5)
    before = sim.cores[peer].context.machines[name].version
    answers: list[tuple] = []
    sim.command(
        peer,
        messages.ReceivePeerMessages(lambda *answer: answers.append(answer), manager, [view], 0),
    )
    assert [answer[0] for answer in answers] == [200]
    assert sim.cores[peer].context.machines[name].version == before > (1, view.sequence)


def test_a_copied_submission_does_not_bring_a_finished_or_cancelled_job_back():
    sim = idle_cluster()
    sim.submit("job-7", spec("array", 1, estimate_s=1.0))
    sim.submit("job-8", spec("service", 1, "blue"))
    sim.run(20)
    sim.cancel("job-8")
    sim.run(5)
    sim.query("job-7")
    sim.run(1)
    starts = sim.starts
    for label in sim.labels:
        for job_id, state in (("job-7", "done"), ("job-8", "cancelled")):
            answers = sim.send_request(label, messages.SubmitJob, job_id, sim.specs[job_id], "")
            sim.run(1)
            assert [(status, answer[2]) for status, answer in answers] == [(200, state)]
    sim.run(20)
    assert sim.starts == starts


def test_a_copied_cancellation_of_a_finished_job_changes_nothing():
    sim = idle_cluster()
    sim.submit("job-7", spec("array", 1, estimate_s=1.0))
    sim.run(20)
    sim.query("job-7")
    sim.run(1)
    for label in sim.labels:
        answers = sim.send_request(label, messages.CancelJob, "job-7")
        sim.run(1)
        assert [(status, answer[2]) for status, answer in answers] == [(200, "done")]
