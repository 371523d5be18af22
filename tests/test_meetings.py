"""Two troubles at once: each meeting that the operators named, brought about."""

from typing import Any

import pytest

from oakmux import constants
from oakmux.core.jobs import Replica, job_key, job_value
from tests.fakes import CANCEL_S, Sim, spec
from tests.test_oncall import busy, up


def leader(sim: Sim) -> str:
    """Return the controller that most machines report to."""
    return max(sim.labels, key=lambda label: sum(
        1 for m in sim.cores[label].world.machines.values()
        if m.keeper == label and not sim.workers[m.name].dead))


def kept_by(sim: Sim, label: str) -> list[str]:
    """Return the machines that report to a controller."""
    return [name for name in up(sim) if sim.labels[sim.workers[name].node] == label]


def running(sim: Sim, job_id: str) -> list[str]:
    """Return the machines that run tasks of a job."""
    return [worker.name for worker, task, _ in sim.live() if task.startswith(job_id + "/")]


def tell(sim: Sim, label: str, *command: Any) -> list[tuple[int, tuple]]:
    """Ask one controller as a user, with all checks; return its answers as they come."""
    answers: list[tuple[int, tuple]] = []
    before, sent = sim.told.get(command[1]), sim.now

    def answered(status: int, answer: tuple) -> None:
        answers.append((status, answer))
        sim.heard(command[1], status, answer, before, sent)

    sim.command(label, (command[0], answered, *command[1:]))
    return answers


def cancel_by(sim: Sim, label: str, job_id: str) -> None:
    """Cancel a job through one controller, which confirms it."""
    sim.asked_cancel.add(job_id)
    answers = tell(sim, label, "cancel", job_id)
    sim.run(0.06)
    assert [status for status, _ in answers] == [200]


def gather(sim: Sim, label: str) -> None:
    """Let all machines report to one controller."""
    for worker in sim.workers.values():
        worker.node = sim.labels.index(label)
    sim.run(3)
    assert kept_by(sim, label) == up(sim)


def reset(sim: Sim, name: str, label: str) -> None:
    """A machine's connection is reset, and it reports to another controller."""
    worker = sim.workers[name]
    worker.waiting += 1
    worker.node = sim.labels.index(label)
    worker.report()


def well(sim: Sim, seconds: float = 150.0) -> None:
    """All troubles are over: every job is answered, and ends."""
    sim.cuts.clear()
    sim.one_way.clear()
    sim.stuck.clear()
    sim.state.refused = set()
    sim.late_writes = sim.state_slow = sim.copies = 0.0
    assert sim.silent() == set()
    assert sim.unfinished(seconds) == set()


# --- the gap: refused alone, cancelled elsewhere, then no state service for anybody ---


@pytest.mark.parametrize("count", [3, 7])
def test_what_another_cancelled_before_an_outage_ends_at_the_controller_that_was_refused(count):
    sim = busy(count, run_s=300.0)
    old = sim.labels[0]
    gather(sim, old)
    sim.state.refused = {old}
    sim.run(1)
    cancel_by(sim, sim.labels[1], "job-0")
    sim.run(0.4)
    sim.state.outage(2 * CANCEL_S)
    sim.state.refused = set()
    others = [task for _, task, _ in sim.live() if task.startswith("job-1/")]
    sim.run(CANCEL_S + 2)  # the fakes check that no task of job-0 is left by then
    assert not running(sim, "job-0")
    assert kept_by(sim, old) == up(sim)  # it could be, and was, answered for all the while
    assert [task for _, task, _ in sim.live() if task.startswith("job-1/")] == others
    well(sim, 350)


@pytest.mark.parametrize("count", [3, 7])
def test_a_cancellation_is_passed_on_by_one_that_does_not_know_where_its_tasks_are(count):
    # Whoever confirmed it had read the job's record, but was behind with the bindings: it took
    # the job for one without tasks, and told nobody.
    sim = busy(count)
    old = sim.labels[0]
    other = next(label for label in sim.labels[1:] if "red" not in sim.cores[label].world.my_roles)
    gather(sim, old)
    for job_id in ("job-0", "job-1"):
        sim.cancel(job_id)
    sim.run(4)
    sim.stuck = {other}
    sim.submit("job-5", spec("array", 4, estimate_s=300.0))
    sim.run(2)
    assert len(running(sim, "job-5")) == 4
    sim.state.refused = {old}
    sim.stuck = {*sim.labels} - {old}  # its news reaches nobody any more
    cancel_by(sim, other, "job-5")
    sim.state.outage(2 * CANCEL_S)
    sim.state.refused, sim.stuck = set(), set()
    sim.run(CANCEL_S + 2)
    assert kept_by(sim, old) == up(sim)
    well(sim)


@pytest.mark.parametrize("terms", ["lower", "higher"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_task_that_our_records_never_showed_is_stopped_when_its_job_is_cancelled(count, terms):
    # It was bound after we had been refused, and its worker comes to us in the outage, with the
    # token of a controller that is there but can't be reached by it.
    sim = Sim(4, count)
    sim.capacity = 3
    sim.run(8)
    ours, theirs = sim.labels[0], sim.labels[1]
    sim.submit("job-0", spec("service", 1, "blue"))
    sim.run(8)
    if terms == "higher":  # whoever started last has the highest term
        sim.crash(ours, 0.2)
    else:
        sim.crash(theirs, 0.2)
    sim.run(8)
    gather(sim, theirs)
    sim.state.refused = {ours}
    sim.run(8)  # what it owned has gone to others
    sim.submit("job-1", spec("array", 3, estimate_s=300.0))
    sim.run(3)
    names = running(sim, "job-1")
    assert len(names) == 3 and job_of(sim, ours, "job-1") is None
    sim.cuts |= {frozenset((label, name)) for label in sim.labels[1:] for name in names}
    cancel_by(sim, sim.labels[-1], "job-1")
    sim.state.outage(2 * CANCEL_S)
    sim.run(1.7)  # nobody's records are fresh any more: we keep whom we have
    for name in names:
        reset(sim, name, ours)
    sim.run(CANCEL_S)
    assert kept_by(sim, ours) == up(sim)
    assert len(running(sim, "job-0")) == 1  # nor did its machine lose the lease
    well(sim)


def job_of(sim: Sim, label: str, job_id: str) -> Any:
    """Return a job as a controller knows it, or None."""
    return sim.cores[label].world.replica.jobs.get(job_id)


@pytest.mark.parametrize("who", ["confirmer", "others", "all others"])
def test_a_peer_that_restarts_after_it_confirmed_leaves_no_gap(who):
    sim = busy(run_s=300.0)
    gather(sim, "h0")
    sim.state.refused = {"h0"}
    sim.cuts |= {frozenset(("h0", "h1")), frozenset(("h0", "h2"))}
    cancel_by(sim, "h1", "job-0")
    for label in {"confirmer": ["h1"], "others": ["h2"], "all others": ["h1", "h2"]}[who]:
        sim.crash(label, 0.1)
    sim.run(1.5)  # back, with records of which the cancellation is a part
    sim.cuts.clear()
    sim.run(0.3)
    sim.state.outage(2 * CANCEL_S)
    sim.run(CANCEL_S + 2)
    sim.run(CANCEL_S)
    well(sim, 350)


@pytest.mark.parametrize("who", [1, 2])
def test_one_that_confirms_and_ends_before_it_told_us_leaves_no_lease_running(who):
    sim = busy(run_s=300.0)
    gather(sim, "h0")
    sim.state.refused = {"h0"}
    sim.run(1)
    sim.cuts |= {frozenset(("h0", "h1"))}
    sim.stuck = {"h2"}  # nor does the third hear of it, whatever it goes on saying to us
    cancel_by(sim, "h1", "job-0")
    sim.state.outage(2 * CANCEL_S)
    for label in sim.labels[1:][:who]:
        sim.crash(label, 0.1)  # it can't load its records, and so speaks for nobody
    sim.cuts.clear()
    sim.run(1.7)
    for name in up(sim):
        reset(sim, name, "h0")
    sim.run(CANCEL_S + 2)
    well(sim, 350)


@pytest.mark.parametrize("there", [True, False])
def test_a_start_that_is_held_up_does_not_act_once_its_job_was_cancelled(there):
    """The worker goes to a controller with a lower term, which can't raise it in the outage; so
    nothing but the end of the worker's session rules out the start that is on its way."""
    sim = Holding(6, "launch", 2 * CANCEL_S)
    sim.capacity = 2
    sim.run(8)
    sim.crash("h1", 0.2)  # has the highest term from here on
    sim.submit("job-0", spec("service", 2, "blue"))
    sim.run(8)
    gather(sim, "h1")
    sim.armed = True
    sim.submit("job-1", spec("array", 2, estimate_s=1.0, gpus=1.0))
    sim.run(0.6)
    assert sim.held and not running(sim, "job-1")
    sim.cuts |= {frozenset(("h1", name)) for name in up(sim)}
    cancel_by(sim, "h2", "job-1")
    sim.state.outage(3 * CANCEL_S)
    if not there:  # the controller that gave it is gone as well
        sim.crash("h1", 3 * CANCEL_S)
    sim.run(1.7)
    for name in up(sim):
        reset(sim, name, "h2")
    sim.run(2 * CANCEL_S + 5)  # the fakes check that no start comes later than that
    assert all(sim.now - at > 2 * CANCEL_S for at in sim.held)
    well(sim)


class Holding(Sim):
    """Holds direct orders with one kind of command for so many seconds, while armed."""

    def __init__(self, seed: int, verb: str, seconds: float, count: int = 3) -> None:
        self.verb, self.seconds, self.armed = verb, seconds, False
        self.held: list[float] = []
        super().__init__(seed, count)

    def carry_out(self, label: str, life: int, effect: tuple) -> None:
        if self.armed and effect[0] == "orders" and any(
                order["verb"] == self.verb for order in effect[5]):
            self.held.append(self.now)
            worker = self.workers[effect[2]]

            def arrive() -> None:
                if not worker.dead:
                    worker.orders(*effect[3:])

            self.after(self.seconds, arrive)
            self.after(constants.ORDERS_TIMEOUT_S, lambda: self.lives[label] == life and
                       self.command(label, ("done", effect[1], "lost", None)))
            return
        super().carry_out(label, life, effect)


def test_what_a_peer_tells_begins_where_our_own_knowledge_ends(monkeypatch):
    monkeypatch.setattr(constants, "CANCELS_KEPT", 3)
    replica = Replica()
    for stamp, number in enumerate((4, 2, 7, 5, 1), 1):
        replica.apply(job_key(f"job-{number}"),
                      job_value("cancelled", "red", None, 0, 1), 10 * stamp)
    replica.apply(job_key("job-9"), job_value("done", "red", None, 0, 1), 25)
    assert replica.cancelled_since(0) == ["job-4", "job-2", "job-7", "job-5", "job-1"]
    assert replica.cancelled_since(30) == ["job-5", "job-1"]
    for stamp, number in enumerate((11, 12), 6):
        replica.apply(job_key(f"job-{number}"),
                      job_value("cancelled", "red", None, 0, 1), 10 * stamp)
    assert replica.cancelled_since(29) is None  # what was dropped must not look like nothing
    assert replica.cancelled_since(30) == ["job-5", "job-1", "job-11", "job-12"]


@pytest.mark.parametrize("until", [-1, 40])
def test_a_peer_whose_list_has_a_gap_or_too_much_lets_nobody_keep_workers(until, monkeypatch):
    monkeypatch.setattr(constants, "CANCELS_KEPT", 3)
    sim = Sim(1)
    sim.run(3)
    word = sim.cores["h0"].keeper.word
    known = word.cancels_known_until()
    many = [f"job-{number}" for number in range(2 if until < 0 else 4)]
    word.peer_alive("h1", 7, 0.0, many, known + 50.0, until)
    assert word.cancels_known_until() == known
    word.peer_alive("h1", 7, 0.0, many[:2], known + 50.0, 40)
    assert word.cancels_known_until() == known + 50.0
