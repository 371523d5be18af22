"""Meetings of the operators' second letter, and what the stricter checks of the fakes found."""

import random
from collections.abc import Callable

import msgspec
import pytest

from oakmux import constants
from oakmux.core.agents import reachability
from oakmux.core.context import Context, Machine
from oakmux.core.model import Heartbeat
from oakmux.core.state.records import (
    Binding,
    TaskBlock,
    block_key,
    job_key,
    job_value,
    parse_block,
    role_key,
)
from oakmux.core.state.replica import Replica
from oakmux.settings import Team
from tests.fakes import CANCEL_S, LEASE_S, PLACED, TYPE, Sim, settings_for, spec
from tests.test_meetings import (
    Twins,
    cancel_by,
    cut_off,
    gather,
    holder,
    kinds,
    leader,
    reset,
    running,
    well,
    with_newest_term,
)
from tests.test_oncall import deliver, moved, up

# A service and an array of four tasks each fill two teams' limits; the third has none.
FULL = (Team("red", gpus=4, gpus_max=8), Team("blue", gpus=4, gpus_max=8), Team("green"))


def at_limits(count: int, seed: int = 1, run_s: float = 300.0) -> Sim:
    """Return a deployment with both teams at their limits, by a service and an array each."""
    sim = Sim(seed, count, teams=FULL)
    sim.run(12)
    for number, team in enumerate(("red", "blue")):
        sim.submit(f"job-{number}", spec("service", 4, team, priority=3))
        sim.submit(f"job-{number + 2}", spec("array", 4, team, estimate_s=run_s))
    sim.run(14)
    assert len(sim.live()) == 16
    return sim


def with_room(sim: Sim) -> list[str]:
    """Let machines stand idle beside those that run what fills the limits; return the latter."""
    names = sorted({worker.name for worker, _, _ in sim.live()})
    sim.submit("job-8", spec("array", 16, "green", gpus=2.0, estimate_s=5.0))
    sim.run(25)
    assert len(up(sim)) >= len(names) + 4 and len(sim.live()) == 16
    return names


def trouble(sim: Sim, how: str, names: list[str], seconds: float) -> None:
    """Put machines out of reach in one of the ways that there are."""
    if how == "hang":
        for name in names:
            sim.workers[name].hang(seconds)
    elif how == "mute":
        sim.mute(names, seconds)
    elif how == "deaf":
        sim.deafen(names, seconds)
    else:
        cut_off(sim, names, seconds)


# --- every team at its limit, cancelled work out of reach, the leader changes ---


@pytest.mark.parametrize("who", ["owners", "leader", "all"])
@pytest.mark.parametrize("how", ["cut", "hang", "deaf", "mute"])
def test_a_limit_is_not_given_out_again_while_cancelled_work_is_out_of_reach(how, who):
    # A controller that started anew read a cancelled job's record before those of its tasks, let
    # go of what a task takes, and counted what was still on machines out of reach as nothing.
    for count, seconds in ((3, 0.6 * LEASE_S), (7, 2.5 * LEASE_S)):
        sim = at_limits(count)
        trouble(sim, how, with_room(sim), seconds)
        sim.cloud_down = True  # nor can the machines be returned
        for job_id in ("job-0", "job-3"):
            sim.cancel(job_id)
        sim.run(0.3)
        labels = {
            "owners": {holder(sim, "red"), holder(sim, "blue")},
            "leader": {leader(sim)},
            "all": set(sim.labels),
        }[who]
        for label in labels:
            sim.crash(label, 0.2)
        for number, team in enumerate(("red", "blue")):
            sim.submit(f"job-{number + 10}", spec("array", 8, team, priority=2, estimate_s=5.0))
        sim.run(seconds + 1)  # the fakes look at the limit whenever something starts
        sim.cloud_down = False
        sim.run(40)
        assert {t.partition("/")[0] for _, t, _, _ in sim.start_log} >= {"job-10", "job-11"}
        well(sim, 350)


@pytest.mark.parametrize("order", [1, -1])
def test_what_is_bound_of_a_job_that_is_over_counts_whichever_record_came_first(order):
    replica = Replica()
    bound = TaskBlock(0, 1, 0, {0: Binding(1, "m", 1, 1, "a"), 1: Binding(1, "m", 1, 1, "a")})
    rows = [
        (job_key("job-1"), job_value("cancelled", "red", spec(cpus=2.0), 0, 2), 5),
        (block_key("job-1", 0), bound.to_value(2), 4),
    ]
    replica.load(rows[::order], 5)
    assert replica.team_usage == {"red": (4.0, 2.0)}
    assert replica.preemptible_usage["red"][1] == (4.0, 2.0)
    replica.apply(block_key("job-1", 0), None, 6)
    assert replica.team_usage["red"] == (0.0, 0.0)


# --- machines that a peer misjudges ---


def test_a_machine_that_went_to_and_fro_unseen_by_its_controller_is_used_by_all():
    # Peers saw it go to another controller, some also back: two signs that it does not hear. Its
    # own had not heard of that, saw nothing new in its reports and never spoke of it again: its
    # room stood empty for as long as nothing changed there.
    sim = Sim(1)
    sim.capacity = 1
    sim.run(8)
    sim.submit("job-1", spec("service", 1, "blue"))
    sim.run(8)
    owner = holder(sim, "red")
    manager, other = [label for label in sim.labels if label != owner]
    gather(sim, manager)
    [name] = up(sim)
    sim.run(5)
    sim.cuts.add(frozenset((manager, other)))
    reset(sim, name, other)
    sim.run(0.05)
    reset(sim, name, manager)
    sim.run(1.5)
    seen = sim.cores[owner].context.machines[name]
    assert seen.manager == other or not reachability.is_reachable(seen)
    sim.run(constants.VIEW_AGAIN_S + 2)
    assert seen.manager == manager and reachability.is_reachable(seen)
    sim.submit("job-2", spec("array", 2, estimate_s=2.0))
    sim.run(3)
    assert [task for _, task, _, _ in sim.start_log if task.startswith("job-2/")]
    sim.cuts.clear()
    well(sim)


def test_what_a_controller_says_again_of_a_machine_is_no_sign_that_it_hears():
    context = Context(settings_for("h0"), random.Random(1), 0)
    machine = Machine(Heartbeat("m", "a:1", "big", "a", False, 1, 1, 5, None, {}), 0.0)
    machine.manager, machine.manager_term = "h1", 5
    moved(context, machine, "h2", fencing_token=5)
    moved(
        context, machine, "h1", fencing_token=5
    )  # it shows the term of its controller from before
    heartbeat = Heartbeat("m", "a:1", "big", "a", False, 1, machine.sequence, 5, None, {})
    reachability.assess_heartbeat(context, machine, heartbeat, "h1", 5)
    assert not reachability.is_reachable(machine)


# --- limits that are kept for nobody's use ---


def test_a_gang_that_needs_what_services_use_of_the_limit_keeps_it_from_nobody():
    # It claimed the rest of the limit for ever, counting on services to end, and for all gangs of
    # its size at once: whatever else its team had to do waited beside empty machines.
    sim = Sim(3, teams=(Team("red", gpus_max=6), Team("blue", gpus_max=6)))
    sim.run(10)
    sim.submit("job-1", spec("service", 3))
    sim.submit("job-2", spec("gang", 6))
    sim.submit("job-3", spec("gang", 6))
    sim.run(0.3 * constants.BEGIN_S + 10)  # by now they are elders
    sim.submit("job-4", spec("gang", 3, estimate_s=8.0))
    sim.submit("job-5", spec("array", 6, estimate_s=8.0))
    sim.run(60)
    assert {"job-4/2", "job-5/5"} <= sim.completed
    well(sim)


# --- a role that is lost and won again within one look ---


def test_what_was_not_written_in_an_earlier_tenure_is_not_written_over_another_owners_work():
    # A late twin of a claim can win a role back in the moment in which its next holder lets go.
    sim = Sim(2)
    sim.capacity = 2
    sim.run(10)
    owner = holder(sim, "red")
    core, other = sim.cores[owner], next(la for la in sim.labels if la != owner)
    core.scheduler.writer.write_after = sim.now + 1000.0
    sim.submit("job-1", spec("array", 1, estimate_s=300.0))
    while not core.scheduler.buffer.work.get("job-1"):
        sim.run(0.2)
    sim.stuck = {owner}
    [binding] = core.scheduler.buffer.work["job-1"][0].bound.values()
    theirs = binding._replace(attempt=5, agent_epoch=binding.agent_epoch + 1)
    block = TaskBlock(0, 5, 0, {0: theirs})
    state = sim.state
    mine, _, lease = state.rows[role_key("red")]
    for key, value in (
        (role_key("red"), None),
        (role_key("red"), [other, 1]),
        (block_key("job-1", 0), block.to_value(2)),
        (role_key("red"), None),
        (role_key("red"), mine),
    ):
        state.revision += 1
        if value is None:
            state.drop(key)
        else:
            state.put(key, value, lease)
    sim.stuck = set()
    sim.run(0.1)
    core.scheduler.writer.write_after = 0.0
    sim.run(2)
    assert not [row for row in sim.start_log if row[1] == "job-1/0"]
    assert parse_block(*state.rows[block_key("job-1", 0)][:2]).bound == {0: theirs}


# --- a start of which our records never heard ---


@pytest.mark.parametrize("there", [True, False])
def test_a_start_that_nobody_we_hear_knows_of_does_not_act_after_its_jobs_cancellation(there):
    # It was bound after the state service had refused us, given by a controller with a newer term
    # and held up on its way; its worker comes to us in an outage. No newer term is to be had.
    sim = with_newest_term("h1")
    sim.state.refused = {"h2"}
    sim.armed = True
    sim.submit("job-1", spec("array", 2, estimate_s=1.0, gpus=1.0))
    sim.run(1.2)
    assert sim.held and not running(sim, "job-1")
    replica = sim.cores["h2"].context.replica
    assert "job-1" not in replica.jobs or not replica.jobs["job-1"].bindings()
    sim.cuts |= {frozenset(("h1", name)) for name in up(sim)}
    cancel_by(sim, "h0", "job-1")
    sim.run(0.5)  # the word is passed on
    sim.state.outage(3 * CANCEL_S)
    sim.state.refused = set()
    if not there:
        sim.crash("h1", 3 * CANCEL_S)
    sim.run(1.7)
    for name in up(sim):
        reset(sim, name, "h2")
    sim.run(2 * CANCEL_S + 5)  # the fakes check that no start comes later than that
    assert all(sim.now - at > 2 * CANCEL_S for at in sim.held)
    well(sim)


# --- users ask at all nodes, again and again, right after they were told something ---


@pytest.mark.parametrize("how", ["watch behind", "peers cut", "roles change", "refused", "lost"])
@pytest.mark.parametrize("count", [3, 7])
def test_no_node_answers_anything_older_right_after_a_user_was_told(count, how):
    # Must not happen: went_back, forgotten, a cancellation undone by a repeated submission.
    sim = Sim(count, count)
    sim.run(12)
    sim.close = 1.0
    for step in range(16):
        label = sim.labels[step % count]
        if how == "watch behind":  # an instant, or for longer than a user waits
            sim.stuck = {label, sim.labels[(step + 1) % count]}
            sim.after(0.3 if step % 2 else 1.5, sim.stuck.clear)
        elif how == "peers cut":
            pair = {frozenset((label, sim.labels[(step + 1) % count]))}
            sim.cuts |= pair
            sim.after(1.5, lambda pair=pair: sim.cuts.difference_update(pair))
        elif how == "roles change" and step % 2:
            sim.crash(label, sim.rng.uniform(0.05, 1.0))
        elif how == "refused" and step % 3 == 0:
            sim.state.refused = {label}
            sim.after(3.0, sim.state.refused.clear)
        elif how == "lost":
            sim.lost_answers = 0.4
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
    sim.close = sim.lost_answers = 0.0
    assert {"done", "cancelled"} <= set(sim.told.values())
    well(sim, 60)


@pytest.mark.parametrize("late", [-0.03, -0.01, 0.0, 0.005, 0.01, 0.02, 0.04, 0.1, 0.5, 1.5])
def test_whatever_meets_the_end_of_a_jobs_last_task_its_state_is_final_once(late):
    """A cancellation, a question or a repeated submission at each moment about the end. Must not
    happen: done and then cancelled or the other way round, done too early."""
    for kind in ("array", "gang"):
        for what in ("cancel", "query", "submit"):
            sim = Sim(5)
            sim.run(12)
            sim.submit("job-1", spec(kind, 2, estimate_s=3.0))
            while "job-1/1" not in sim.completed and not sim.live():
                sim.run(0.01)
            end = max(row[2] for w in sim.workers.values() for row in w.tasks.values())
            sim.run(max(0.0, end - sim.now + late))
            if what == "cancel":
                sim.asked_cancel.add("job-1")
            more = (sim.specs["job-1"], "") if what == "submit" else ()
            for label in sim.labels:
                sim.tell(label, what, "job-1", *more)
                sim.run(0.004)
            for _ in range(30):  # the fakes compare each answer with what was told before
                for label in sim.labels:
                    sim.tell(label, "query", "job-1")
                sim.run(0.1)
            assert sim.told["job-1"] in (("done", "cancelled") if what == "cancel" else ("done",))
            well(sim, 20)


# --- a transaction is carried out at once, and only its answer is lost ---


class Unanswered(Twins):
    """Loses the answer of the n-th transaction that changes something of a kind."""

    def __init__(self, kind: str, at: int, count: int) -> None:
        self.kind, self.left, self.armed = kind, at, False
        super().__init__(5, count)

    def to_state(self, label: str, effect: tuple, done: Callable[[tuple], None]) -> None:
        if self.armed and effect[0] == "txn" and self.kind in kinds(effect[3]):
            self.left -= 1
            if self.left == 0:
                self.after(self.delay(), lambda: self.state.serve(label, "txn", *effect[2:]))
                self.after(constants.STATE_TIMEOUT_S, lambda: done((0, None)))
                return
        super().to_state(label, effect, done)


@pytest.mark.parametrize("kind", ["j", "t", "p", "own", "term", "n"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_writer_that_had_no_answer_neither_undoes_nor_repeats_what_others_read(kind, count):
    # Must not happen: a task bound or a job accepted twice, a cancellation or an end taken back.
    # Small jobs have their bindings in pages, larger ones in records of their own.
    tasks, gpus = (constants.PAGE_TASKS + 1, 0.1) if kind == "t" else (2, 1.0)
    for at in {"j": (1, 2, 4, 7), "t": (1, 2, 3), "p": (1, 2, 3)}.get(kind, (1,)):
        sim = Unanswered(kind, at, count)
        sim.run(12)
        sim.close = 1.0
        sim.armed = True
        sim.crash(holder(sim, "red"), 0.4)
        for step in range(5):
            sim.submit(
                f"job-{step}",
                spec(
                    ("array", "gang")[step % 2],
                    tasks,
                    "red" if step % 2 else "blue",
                    estimate_s=2.0,
                    gpus=gpus,
                    cpus=gpus,
                    memory_gb=1.0,
                ),
            )
            if step in (1, 3):
                sim.after(1.2, lambda n=step, sim=sim: sim.cancel(f"job-{n}"))
            sim.run(2)
        sim.run(6)
        assert sim.left <= 0
        sim.close = 0.0
        attempts = [(task, attempt) for _, task, attempt, _ in sim.start_log]
        assert len(attempts) == len(set(attempts))
        well(sim, 40)


# --- cancellations in the seconds in which work changes hands ---


@pytest.mark.parametrize("how", ["yield", "expiry", "restart", "keeper", "all"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_cancellation_while_work_changes_hands_ends_all_of_it(how, count):
    """At every fifth of a second about the change. Must not happen: ran_cancelled, a task that
    starts though its giver could know, a limit given out twice, a job that comes back."""
    sim = at_limits(count)
    for step in range(12):
        sim.submit(
            f"job-{step + 10}",
            spec("array", 2, "red" if step % 2 else "blue", priority=2, estimate_s=30.0),
        )
    sim.run(4)
    owner = holder(sim, "red")
    if how == "yield":
        core = sim.cores[owner]
        core.leadership._rebalance(
            {"red": owner, "blue": owner, "#fleet": owner}, sorted(sim.labels)
        )
        sim.step(owner, [])
    elif how == "expiry":
        sim.state.refused = {owner}
        sim.after(8.0, sim.state.refused.clear)
    elif how == "keeper":
        for name in up(sim):
            reset(sim, name, next(label for label in sim.labels if label != leader(sim)))
    else:
        for label in sim.labels if how == "all" else [owner]:
            sim.crash(label, 0.3)
    for step in range(12):
        sim.cancel(f"job-{step + 10}")
        if step == 6:
            sim.cancel("job-2")
        sim.run(0.2 if step < 10 else 2.0)
    sim.run(CANCEL_S)
    assert not [task for _, task, _ in sim.placed() if int(task[4:].partition("/")[0]) >= 10]
    well(sim, 350)


# --- machines up within two seconds, writes late, the leader ends ---


@pytest.mark.parametrize("at", range(1, 22, 4))
def test_machines_up_at_once_are_used_once_while_writes_lag_and_the_leader_ends(at):
    # Must not happen: a task bound by two lives, a machine that is known under no name and used.
    for back in (0.1, 4.0):
        sim = Sim(at, 7 if at % 3 == 0 else 3)
        sim.boot_s = lambda sim=sim: sim.rng.uniform(0.05, 1.5)
        sim.run(6)
        sim.late_writes, sim.lost_answers = 0.3, 0.2
        for number in range(6):
            sim.submit(
                f"job-{number}",
                spec(
                    ("array", "gang", "service")[number % 3],
                    3,
                    "red" if number % 2 else "blue",
                    estimate_s=6.0,
                ),
            )
        sim.run(at * 0.1)
        sim.crash(holder(sim, "#fleet"), back)
        sim.run(1.0)
        sim.crash(leader(sim), back)
        sim.run(20)
        well(sim, 120)


# --- an old report reaches every controller just as a new leader begins ---


@pytest.mark.parametrize("when", [0.05, 0.3, 0.7, 1.2, 2.0, 4.0])
@pytest.mark.parametrize("count", [3, 7])
def test_old_reports_that_come_as_a_leader_begins_change_nothing(when, count):
    """Of earlier sessions, tokens and attempts, before and after its first own report. Must not
    happen: a task taken for gone or for done, a machine back that is gone."""
    sim = Sim(5, count)
    sim.run(12)
    for number in range(4):
        sim.submit(
            f"job-{number}", spec("array", 3, "red" if number < 2 else "blue", estimate_s=300.0)
        )
    old = []
    for step in range(5):
        sim.run(3)
        old += [sim.workers[name].peek() for name in up(sim)]
        if step == 1:
            sim.deafen(up(sim)[:1], 1.2 * LEASE_S)
        if step == 3:
            sim.kill(up(sim)[0])
    sim.run(50)
    where = sorted((task, worker.name) for worker, task, _ in sim.live())
    starts = len(sim.start_log)
    ended = {leader(sim), holder(sim, "red"), holder(sim, "#fleet")}
    for label in ended:
        sim.crash(label, 0.2)
    sim.run(0.2 + when)
    for heartbeat in [*old, *reversed(old)]:
        for label in sim.labels:
            if sim.cores[label] is not None:
                deliver(sim, label, heartbeat)
    sim.run(8)
    left = sorted((task, worker.name) for worker, task, _ in sim.live())
    assert left == where and len(sim.start_log) == starts
    well(sim, 350)


# --- cancelled work on machines that hang and go on, or are mute ---


@pytest.mark.parametrize("seconds", [2.0, 0.9 * LEASE_S, 1.5 * LEASE_S, 1.2 * CANCEL_S])
@pytest.mark.parametrize("how", ["hang", "mute"])
def test_cancelled_work_out_of_reach_ends_in_time_whoever_falls(how, seconds):
    # Must not happen: cancelled work that goes on after its machine hung, a session that is kept
    # alive by direct orders, a task found gone that is not.
    for falls in (False, True):
        sim = at_limits(3)
        names = up(sim)[:2]
        sim.cloud_down = True
        sim.cancel("job-2")
        sim.cancel("job-1")
        sim.run(0.02)
        trouble(sim, how, names, seconds)
        if falls:
            sim.crash(leader(sim), 0.3)
        sim.submit("job-9", spec("array", 4, "red", priority=2, estimate_s=5.0))
        sim.run(seconds + 1)
        sim.cloud_down = False
        sim.run(CANCEL_S)
        assert not running(sim, "job-2") and not running(sim, "job-1")
        well(sim, 350)


# --- one-task jobs, four a second, a quarter cancelled ---


@pytest.mark.parametrize("count", [3, 7])
def test_swarms_of_one_task_jobs_leave_leases_starts_and_answers_to_all(count):
    # Must not happen: a lease, a start or a confirmation that starves behind the others' changes.
    sim = Sim(3, count)
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
            sim.crash(leader(sim), 2.0)
        if number == 160:
            sim.late_writes = 0.1
        sim.run(0.25)
    assert len(running(sim, "job-0")) == 2
    waits = [
        at - sim.submitted[f"job-{n}"]
        for n in range(1, 241)
        if (at := sim.begun_at(f"job-{n}")) is not None
    ]
    assert len(waits) >= 180 and sorted(waits)[len(waits) // 2] < 6.0 and max(waits) < 30.0
    sim.late_writes = 0.0
    well(sim, 60)


# --- what is accepted ---

NEVER = [
    spec(team="nobody"),
    spec(zone="z"),
    spec(types=["none"]),
    spec(cpus=9.0),
    spec(gpus=5.0),
    spec(memory_gb=65.0),
    spec("gang", 9),
    spec("service", 9),
    spec("gang", 2, spread=True, one_zone=True),
    spec("service", 2, spread=True, zone="a"),
]


@pytest.mark.parametrize("job", NEVER, ids=range(len(NEVER)))
def test_what_can_never_run_is_not_accepted_by_any_node(job):
    sim = Sim(1)
    sim.run(8)
    for label in sim.labels:
        answers = sim.tell(label, "submit", "job-1", job, "")
        sim.run(0.5)
        assert [status for status, _ in answers] == [422]
    sim.specs["job-1"] = spec()
    sim.submit("job-1", spec())
    sim.run(1)
    for label in sim.labels:  # known by now: its state, whatever the body says
        answers = [
            *sim.tell(label, "submit", "job-1", job, ""),
            *sim.tell(label, "submit", "job-1", None, "pieces: missing"),
        ]
        sim.run(0.5)
        assert sim.told["job-1"] == "accepted"
    sim.run(30)
    sim.asked_cancel.add("job-1")
    for label in sim.labels:  # a cancellation of what is done changes nothing
        answers = sim.tell(label, "cancel", "job-1")
        sim.run(0.5)
        assert [(status, answer[2]) for status, answer in answers] == [(200, "done")]


def test_a_job_whose_zone_has_no_machine_type_for_it_is_not_accepted(monkeypatch):
    kind = msgspec.structs.replace(TYPE, zones=["a", "b"])
    monkeypatch.setattr("tests.fakes.deployment.TYPE", kind)
    sim = Sim(1)
    sim.run(8)
    for zone, status in (("c", 422), ("b", 201)):
        sim.specs["job-1"] = spec(zone=zone)
        answers = sim.tell("h0", "submit", "job-1", spec(zone=zone), "")
        sim.run(0.5)
        assert [row[0] for row in answers] == [status]


# --- the checks can fail ---


def test_each_check_of_the_judge_can_fail():
    sim = at_limits(3)
    worker, task, attempt = sim.live()[0]
    other = next(sim.workers[name] for name in up(sim) if name != worker.name)
    order = {"verb": "launch", "piece": task, "try": attempt + 1}
    for state in PLACED:  # on its machine, whatever it does there
        worker.tasks[(task, attempt)][0] = state
        with pytest.raises(AssertionError, match="ran_twice"):
            other.obey(other.fencing_token, [order])
    worker.tasks[(task, attempt)][0] = "running"
    for kind, more in (
        ("quota", {"gpus": 1.0, "team": "red"}),
        ("quota", {"cpus": 1.0}),
        ("wrong_place", {"zone": "z", "gpus": 0.0, "cpus": 0.0}),
    ):
        sim.specs["job-9"] = spec(**more)
        sim.teams["red"] = Team("red", cpus_max=8, gpus_max=8)
        with pytest.raises(AssertionError, match=kind):
            other.obey(other.fencing_token, [{"verb": "launch", "piece": "job-9/0", "try": 1}])
    job_id = task.partition("/")[0]
    worker.hang(0.5 * LEASE_S)
    sim.cancelled_at[job_id] = sim.now - CANCEL_S - 1
    with pytest.raises(AssertionError, match="ran_cancelled"):
        sim.check_cancelled()
    sim.told["job-9"] = "accepted"
    sim.specs["job-9"] = spec(team="blue", gpus=0.0, cpus=0.1, memory_gb=0.1)
    assert sim.could_start("job-9")
    for core in sim.cores.values():
        core.agents.cancellations.cancelled["job-9"] = 0.0
    with pytest.raises(AssertionError, match="start given"):
        sim.check_given("h0", [{"verb": "launch", "piece": "job-9/0", "try": 1}])
