"""Two troubles at once: each meeting that the operators named, brought about."""

from collections.abc import Callable
from typing import Any

import pytest

from oakmux import constants
from oakmux.core.state.records import job_key, job_value
from oakmux.core.state.replica import Replica
from tests.fakes import CANCEL_S, LEASE_S, REPORT_S, FakeWorker, Sim, spec
from tests.test_oncall import Blink, busy, deliver, up


def leader(sim: Sim) -> str:
    """Return the controller that most machines report to."""
    return max(
        (label for label, core in sim.cores.items() if core is not None),
        key=lambda label: len(kept_by(sim, label)),
    )


def kept_by(sim: Sim, label: str) -> list[str]:
    """Return the machines that report to a controller."""
    return [name for name in up(sim) if sim.labels[sim.workers[name].node] == label]


def running(sim: Sim, job_id: str) -> list[str]:
    """Return the machines that run tasks of a job."""
    return [worker.name for worker, task, _ in sim.live() if task.startswith(job_id + "/")]


def cancel_by(sim: Sim, label: str, job_id: str) -> None:
    """Cancel a job through one controller, which confirms it."""
    sim.asked_cancel.add(job_id)
    answers = sim.tell(label, "cancel", job_id)
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
    worker.heartbeat()


def cut_off(sim: Sim, names: list[str], seconds: float) -> None:
    """Nothing passes between machines and controllers; what is sent is held."""
    pairs = {frozenset((label, name)) for label in sim.labels for name in names}
    sim.cuts |= pairs
    sim.after(seconds, lambda: sim.cuts.difference_update(pairs))


def well(sim: Sim, seconds: float = 150.0) -> None:
    """All troubles are over: every job is answered, and ends."""
    sim.cuts.clear()
    sim.one_way.clear()
    sim.stuck.clear()
    sim.state.refused = set()
    sim.late_writes = sim.state_slow = sim.copies = 0.0
    assert sim.unresponsive() == set()
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
    other = next(
        label for label in sim.labels[1:] if "red" not in sim.cores[label].context.held_roles
    )
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
    ruled = [sim.workers[name].fencing_token <= sim.cores[ours].context.term for name in names]
    before = {name: sim.workers[name].agent_epoch for name in names}
    for name in names:
        reset(sim, name, ours)
    sim.run(CANCEL_S)
    # With a token above our term, a start that the other gave may be on its way as well: what is
    # true of the task that runs is not known of that one, and the lease has to end.
    for name, ours_counts in zip(names, ruled, strict=True):
        assert (sim.workers[name].agent_epoch == before[name]) == ours_counts
    if all(ruled):
        assert kept_by(sim, ours) == up(sim)
        assert len(running(sim, "job-0")) == 1  # nor did its machine lose the lease
    sim.run(2.5 * CANCEL_S)
    assert len(running(sim, "job-0")) == 1
    well(sim)


def job_of(sim: Sim, label: str, job_id: str) -> Any:
    """Return a job as a controller knows it, or None."""
    return sim.cores[label].context.replica.jobs.get(job_id)


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


def with_newest_term(label: str) -> "Holding":
    """Return a deployment that can hold up starts, all of whose machines report to a controller
    whose term is above all others'."""
    sim = Holding(6, "launch", 2 * CANCEL_S)
    sim.capacity = 2
    sim.run(8)
    sim.crash(label, 0.2)
    sim.submit("job-0", spec("service", 2, "blue"))
    sim.run(8)
    gather(sim, label)
    return sim


@pytest.mark.parametrize("there", [True, False])
def test_a_start_that_is_held_up_does_not_act_once_its_job_was_cancelled(there):
    """The worker goes to a controller with a lower term, which can't raise it in the outage; so
    nothing but the end of the worker's session rules out the start that is on its way."""
    sim = with_newest_term("h1")
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

    def carry_out(self, label: str, incarnation: int, effect: tuple) -> None:
        if (
            self.armed
            and effect[0] == "orders"
            and any(order["verb"] == self.verb for order in effect[5])
        ):
            self.held.append(self.now)
            worker = self.workers[effect[2]]

            def arrive() -> None:
                if not worker.dead:
                    worker.orders(*effect[3:])

            self.after(self.seconds, arrive)
            self.after(
                constants.ORDERS_TIMEOUT_S,
                lambda: (
                    self.lives[label] == incarnation
                    and self.command(label, ("done", effect[1], "lost", None))
                ),
            )
            return
        super().carry_out(label, incarnation, effect)


def test_what_a_peer_tells_begins_where_our_own_knowledge_ends(monkeypatch):
    monkeypatch.setattr(constants, "CANCELS_KEPT", 3)
    replica = Replica()
    for mod_revision, number in enumerate((4, 2, 7, 5, 1), 1):
        replica.apply(
            job_key(f"job-{number}"), job_value("cancelled", "red", None, 0, 1), 10 * mod_revision
        )
    replica.apply(job_key("job-9"), job_value("done", "red", None, 0, 1), 25)
    assert replica.cancelled_since(0) == ["job-4", "job-2", "job-7", "job-5", "job-1"]
    assert replica.cancelled_since(30) == ["job-5", "job-1"]
    for mod_revision, number in enumerate((11, 12), 6):
        replica.apply(
            job_key(f"job-{number}"), job_value("cancelled", "red", None, 0, 1), 10 * mod_revision
        )
    assert replica.cancelled_since(29) is None  # what was dropped must not look like nothing
    assert replica.cancelled_since(30) == ["job-5", "job-1", "job-11", "job-12"]


@pytest.mark.parametrize("first", ["written", "asked"])
def test_a_cancellation_is_told_to_peers_from_the_step_in_which_its_user_is_told(first):
    sim = busy()
    core = sim.cores["h1"]
    since = core.agents.cancellations.revision

    def asked_for(writes: bool, effects: list[tuple]) -> int:
        return next(e[1] for e in effects if e[0] == "txn" and bool(e[3]) == writes)

    read = asked_for(False, core.step(sim.now, [("cancel", "user", "job-0")]))
    write = asked_for(True, core.step(sim.now, [("done", read, 200, (since, []))]))
    batch = [("done", write, 200, (since + 1, [])), ("peer", "peer", "h0", [], since)]
    effects = core.step(sim.now, batch if first == "written" else batch[::-1])
    told = {e[1]: e[2:] for e in effects if e[0] == "answer"}
    assert told["user"] == (200, ("job", "job-0", "cancelled", 0, 0))
    # Asked before it was written, the answer speaks for the time before the user was told.
    assert told["peer"][1][4] == (["job-0"] if first == "written" else [])
    later = core.step(sim.now, [("peer", "peer", "h0", [], since)])
    assert [e[3][4:] for e in later if e[0] == "answer"] == [(["job-0"], since)]


@pytest.mark.parametrize("until", [-1, 40])
def test_a_peer_whose_list_has_a_gap_or_too_much_lets_nobody_keep_workers(until, monkeypatch):
    monkeypatch.setattr(constants, "CANCELS_KEPT", 3)
    sim = Sim(1)
    sim.run(3)
    word = sim.cores["h0"].agents.cancellations
    known = word.cancels_known_until()
    many = [f"job-{number}" for number in range(2 if until < 0 else 4)]
    word.peer_alive("h1", 7, 0.0, many, known + 50.0, until)
    assert word.cancels_known_until() == known
    word.peer_alive("h1", 7, 0.0, many[:2], known + 50.0, 40)
    assert word.cancels_known_until() == known + 50.0


# --- jobs of a few tasks that end far apart, across changes of owner and keeper ---


class Losing(Sim):
    """Loses the n-th message between hosts once armed."""

    def __init__(self, seed: int, at: int, count: int = 3) -> None:
        self.at, self.passed, self.armed = at, 0, False
        super().__init__(seed, count)

    def pass_on(self, a: str, b: str, run: Callable[[], None]) -> None:
        self.passed += self.armed
        if not self.armed or self.passed != self.at:
            super().pass_on(a, b, run)

    def run_s(self, task: str) -> float:
        return 3.0 + 9.0 * int(task.partition("/")[2])


def holder(sim: Sim, role: str) -> str:
    """Return the controller that holds a role."""
    return next(
        (
            label
            for label, core in sim.cores.items()
            if core is not None and role in core.context.held_roles
        ),
        sim.labels[0],
    )


@pytest.mark.parametrize("at", range(1, 200, 18))
def test_tasks_that_end_far_apart_across_two_changes_run_once_whatever_is_lost(at):
    sim = Losing(8, at)
    sim.run(12)
    sim.submit("job-1", spec("array", 3))
    sim.submit("job-2", spec("array", 2, "blue"))
    sim.run(4)
    sim.armed = True
    sim.crash(holder(sim, "red"), 0.3)
    sim.run(8)
    sim.crash(leader(sim), 0.1)
    sim.crash(holder(sim, "blue"), 0.1)
    sim.run(16)
    well(sim, 20)
    begun: dict[str, str] = {}
    for _, task, _, name in sim.start_log:  # anew only where a lease ended: no end was missed
        assert task not in begun or sim.workers[begun[task]].agent_epoch > 1, task
        begun[task] = name
    assert len(begun) == 5


# --- hand over and back, all end, one returns ---


class OneReturns(Blink):
    """At the n-th operation all end, and all but one stay away for a while."""

    def crash(self, label: str, back: float | None = 3.0) -> None:
        super().crash(label, (back or 0.0) + (0.0 if label == "h0" else 6.0))


@pytest.mark.parametrize("at", range(1, 31, 3))
def test_roles_and_work_survive_a_hand_over_and_back_in_which_all_end(at):
    for back in (0.05, 0.3, 1.0):
        sim = OneReturns(at, 3, back, bool(at % 2))
        sim.run(10)
        sim.submit("job-1", spec("array", 4, estimate_s=25.0))
        sim.submit("job-2", spec("gang", 3, "blue", estimate_s=25.0))
        sim.run(5)
        sim.state.refused = {"h0"}
        sim.run(5)
        sim.state.refused = set()
        sim.armed = True
        sim.run(20)
        assert sim.calls >= at
        held = sorted(r for core in sim.cores.values() for r in core.context.held_roles)
        assert held == ["#fleet", "blue", "red"], (at, back)
        assert sim.unfinished(60) == set()


# --- a leader with only its workers and users ---


@pytest.mark.parametrize(
    "seconds", [LEASE_S, CANCEL_S - LEASE_S - constants.CANCEL_MARGIN_S, CANCEL_S, 2.5 * CANCEL_S]
)
def test_a_leader_with_only_workers_and_users_acts_on_nothing_that_another_undid(seconds):
    sim = busy(run_s=200.0)
    gather(sim, "h0")
    sim.isolate("h0", seconds)
    sim.one_way |= {(name, label) for name in up(sim) for label in sim.labels[1:]}
    starts = len(sim.start_log)
    sim.run(0.3)
    cancel_by(sim, "h1", "job-0")
    sim.specs["job-7"] = sim.specs["job-8"] = spec("array", 2)
    late = [
        sim.tell("h0", "submit", "job-7", spec("array", 2), ""),
        sim.tell("h0", "query", "job-0"),
        sim.tell("h0", "cancel", "job-1"),
    ]
    sim.asked_cancel.add("job-1")
    sim.submit("job-8", spec("array", 2))
    sim.run(seconds - 0.4)
    assert not {name for *_, name in sim.start_log[starts:]} & set(kept_by(sim, "h0"))
    assert all(status == 503 for answers in late for status, _ in answers)
    sim.run(CANCEL_S)
    sim.submit("job-7", spec("array", 2))
    well(sim, 220)


# --- the state service: slow, then refusing one, then all ---


@pytest.mark.parametrize("count", [3, 7])
def test_users_are_told_nothing_old_while_the_state_service_is_slow_refuses_and_is_out(count):
    sim = busy(count, run_s=20.0)
    sim.state_slow = 0.6 * constants.STATE_TIMEOUT_S
    for step in range(24):
        if step == 6:
            sim.state_slow = 2 * constants.STATE_TIMEOUT_S
        elif step == 10:
            sim.state.refused = {leader(sim)}
        elif step == 13:
            sim.state.outage(1.3 * CANCEL_S)
            sim.state_slow = 0.0
        sim.submit(f"job-1{step}", spec("array", 2, "red", estimate_s=8.0))
        if step % 3 == 0:
            sim.cancel(f"job-1{step}")
        for number in range(step + 1):
            sim.query(f"job-1{number}")
        sim.run(2)
    assert "cancelled" in sim.told.values()
    well(sim)


# --- commands, or their answers, held up ---


@pytest.mark.parametrize("verb", ["launch", "halt"])
@pytest.mark.parametrize("seconds", [3.0, LEASE_S - 1, 3 * LEASE_S])
def test_a_command_that_comes_late_across_a_change_of_keeper_does_no_harm(verb, seconds):
    for moved in (False, True):
        sim = Holding(6, verb, seconds)
        sim.capacity = 3
        sim.run(8)
        sim.submit("job-0", spec("service", 2, "blue"))
        sim.run(8)
        sim.armed = True
        sim.submit("job-1", spec("array", 3, estimate_s=6.0))
        sim.run(2)
        sim.cancel("job-0")
        sim.run(0.5)
        sim.submit("job-2", spec("gang", 2, "blue", estimate_s=4.0))
        sim.run(1)
        assert sim.held
        if moved:
            sim.crash(leader(sim), 0.2)
        sim.run(seconds + 2)
        sim.armed = False
        well(sim, 60)


def test_a_launch_is_never_sent_again_once_its_task_was_forgotten(monkeypatch):
    """A repeated launch after `forget` runs the task anew. Of one keeper and term each attempt is
    sent while its binding stands and nothing of it is unresolved; forgotten once it is gone."""
    sim = Sim(1)
    sim.run(12)
    sent: dict[tuple, set[str]] = {}
    twice: list[tuple] = []
    obey = FakeWorker.obey

    def noted(self: FakeWorker, fencing_token: int, orders: list) -> None:
        for order in orders:
            task = (self.name, order["piece"], order["try"])
            if order["verb"] == "launch" and "forget" in sent.get(task, ()):
                twice.append(task)
            sent.setdefault(task, set()).add(order["verb"])
        obey(self, fencing_token, orders)

    monkeypatch.setattr(FakeWorker, "obey", noted)
    sim.slow = sim.twice = 0.05
    for step in range(12):
        sim.submit(f"job-2{step}", spec("array", 3, "red" if step % 2 else "blue", estimate_s=2.0))
        if step % 3 == 2:
            sim.crash(sim.rng.choice(sim.labels), 0.2)
        sim.run(3)
    sim.slow = sim.twice = 0.0
    well(sim, 60)
    assert sum("forget" in verbs for verbs in sent.values()) >= 20 and not twice


# --- a leader ends while machines with long tasks can't be reached, or don't hear the next ---


@pytest.mark.parametrize("how", ["cut", "deaf"])
@pytest.mark.parametrize("count", [3, 7])
def test_long_tasks_out_of_reach_while_their_leader_ends_are_found_again(how, count):
    sim = busy(count, run_s=300.0)
    sim.cloud_down = True  # nor can the machines be returned
    gather(sim, sim.labels[0])
    names = up(sim)
    where = sorted((task, worker.name) for worker, task, _ in sim.live())
    starts = len(sim.start_log)

    def away(seconds: float) -> None:
        if how == "deaf":
            sim.deafen(names, seconds)
        else:
            cut_off(sim, names, seconds)

    away(LEASE_S - 4 * REPORT_S)
    sim.crash(sim.labels[0], 20.0)
    sim.run(LEASE_S - 4 * REPORT_S + 0.1)
    for name in names:  # back before their leases end, with whom they reach first
        reset(sim, name, sim.labels[1])
    sim.run(8)
    assert sorted((task, worker.name) for worker, task, _ in sim.live()) == where
    assert len(sim.start_log) == starts
    away(3 * LEASE_S)
    sim.crash(leader(sim), 0.2)
    sim.run(LEASE_S - 1)
    assert len(sim.start_log) == starts  # nothing elsewhere before it is proven gone
    sim.run(4 * LEASE_S)
    sim.cloud_down = False
    sim.run(20)
    assert sorted(task for _, task, _ in sim.live()) == [task for task, _ in where]
    well(sim, 350)


# --- old reports after newer ones ---


@pytest.mark.parametrize("count", [3, 7])
def test_every_old_report_come_again_changes_nothing_whoever_gets_it(count):
    sim = busy(count, run_s=9.0)
    old: list[Any] = []

    for step in range(8):
        old += [sim.workers[name].peek() for name in up(sim)]
        if step == 3:  # the sessions end
            sim.deafen(up(sim)[:2], 1.5 * LEASE_S)
        sim.submit(f"job-1{step}", spec("array", 3, "red" if step % 2 else "blue"))
        sim.run(3)
    sim.submit("job-9", spec("service", 3, "blue"))
    sim.run(25)
    sim.crash(sim.labels[-1], 0.1)
    sim.run(0.3)  # just started: it has not heard the machines
    for heartbeat in reversed(old):
        for label in sim.labels:
            machine = sim.cores[label].context.machines.get(heartbeat.machine)
            known = machine and machine.version
            deliver(sim, label, heartbeat)
            assert machine is None or machine.version >= known
        sim.run(0.02)
    before = sim.start_log[:]
    sim.run(20)
    assert [row for row in sim.start_log[len(before) :] if row[1].startswith("job-9")] == []
    well(sim, 60)


# --- transactions that come late ---

UNGUARDED = {"n", "gone", "types", "version"}  # facts that stay true, and a node's own key


class Twins(Sim):
    """Keeps every transaction that changes something."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.sent: list[tuple[str, list, list, int]] = []
        super().__init__(seed, count)

    def to_state(self, label: str, effect: tuple, done: Callable[[tuple], None]) -> None:
        if effect[0] == "txn" and effect[3]:
            self.sent.append((label, *effect[2:]))
        super().to_state(label, effect, done)


def kinds(writes: list) -> set[str]:
    """Return the kinds of records that a transaction changes."""
    return {write[0].split("/")[1] for write in writes}


@pytest.mark.parametrize("count", [3, 7])
def test_each_kind_of_transaction_is_guarded_or_harmless_when_it_comes_again(count):
    sim = Twins(5, count)
    sim.late_writes = 0.1
    sim.run(12)
    for step in range(8):
        sim.submit(
            f"job-{step}",
            spec(
                ("array", "gang", "service")[step % 3],
                3,
                "red" if step % 2 else "blue",
                estimate_s=3.0,
                waits_on=("job-0",) if step == 6 else (),
            ),
        )
        if step in (0, 4):
            sim.cancel(f"job-{step}")
        if step in (3, 5):
            sim.crash(sim.labels[step - 3], 0.5)
        if step == 6:
            sim.state.refused = {sim.labels[1]}
            sim.after(6.0, lambda: setattr(sim.state, "refused", set()))
        sim.run(5)
    sim.submit("job-9", spec("array", 20, gpus=0.0, cpus=0.1))  # too large for a page
    sim.kill(sim.live()[0][0].name)  # so that a machine is recorded as gone
    sim.run(40)
    seen = set().union(*(kinds(writes) for _, _, writes, _ in sim.sent))
    assert seen >= {"j", "t", "p", "own", "n", "term", "version", "format", "gone", "types"}
    for _, guards, writes, _ in sim.sent:
        keys = {write[0] for write in writes if write[0].split("/")[1] not in UNGUARDED}
        guarded = {key for key, _ in guards}
        assert keys <= guarded, keys
        # Who was replaced must not bind a task beside what its successor has bound (R quota).
        assert not kinds(writes) & {"t", "p"} or any(k.startswith("ox/own/") for k in guarded)
    for core in sim.cores.values():  # nobody writes for a while, but what was sent comes again
        core.step = lambda now, commands: []  # type: ignore[method-assign]
    rows = {k: v[:2] for k, v in sim.state.rows.items()}
    for label, *txn in [*sim.sent, *reversed(sim.sent)]:
        if kinds(txn[1]) & UNGUARDED:
            assert len(kinds(txn[1]) - UNGUARDED) == 0
            continue
        sim.state.serve(label, "txn", *txn)
    assert {k: v[:2] for k, v in sim.state.rows.items()} == rows


@pytest.mark.parametrize("kind", sorted(UNGUARDED))
def test_an_unguarded_record_written_or_deleted_late_comes_right(kind):
    sim = Twins(5)
    sim.run(12)
    sim.submit("job-1", spec("service", 4))
    sim.run(10)
    sim.kill(sim.live()[0][0].name)
    sim.run(70 + constants.GONE_KEEP_S)
    sim.submit("job-2", spec("array", 4, "blue", estimate_s=60.0))
    sim.run(10)
    before = len(sim.start_log)
    again = [row for row in sim.sent if kind in kinds(row[2])]
    assert again
    for label, *txn in again:
        sim.state.serve(label, "txn", *txn)
        sim.run(0.2)
    sim.run(20 + constants.GONE_KEEP_S)
    assert len(sim.start_log) == before  # no role, machine or task was lost by it
    gone = [key for key in sim.state.rows if key.startswith("ox/gone/")]
    assert not gone and sorted(sim.cores["h0"].context.replica.live_controllers) == sim.labels
    well(sim, 80)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_writes_whose_writers_end_and_late_copies_of_machines_that_do_not_hear(seed):
    sim = Sim(seed, 7 if seed == 3 else 3)
    sim.run(10)
    sim.late_writes, sim.copies = 0.25, 0.3
    for step in range(14):
        sim.submit(
            f"job-{step}",
            spec(
                ("array", "gang", "array")[step % 3],
                2 + step % 2,
                "red" if step % 2 else "blue",
                estimate_s=4.0 + step,
            ),
        )
        if step % 4 == 1:
            sim.after(3.0, lambda n=step: sim.cancel(f"job-{n}"))  # type: ignore[misc]
        if step % 3 == 0:
            sim.crash(sim.rng.choice(sim.labels), sim.rng.uniform(0.05, 1.0))
        if step % 5 == 2:
            sim.deafen(sim.rng.sample(up(sim), min(2, len(up(sim)))), 2 * LEASE_S)
        if step == 9:  # a zone cut off while all controllers are started anew
            zone = [name for name in up(sim) if sim.workers[name].zone == "a"]
            cut_off(sim, zone, 1.3 * LEASE_S)
            for label in sim.labels:
                sim.crash(label, sim.rng.uniform(0.05, 1.0))
        sim.run(4)
    well(sim, 200)
