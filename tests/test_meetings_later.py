"""Meetings of the operators' second letter, and what the stricter checks of the fakes found."""

import random

import pytest

from oakmux import constants
from oakmux.core.jobs import Chunk, chunk_from, chunk_key, role_key
from oakmux.core.keeper import hearing
from oakmux.core.world import Machine, World
from oakmux.settings import Team
from oakmux.wire import Report
from tests.fakes import CANCEL_S, LEASE_S, Sim, settings_for, spec
from tests.test_meetings import (
    Holding,
    cancel_by,
    cut_off,
    gather,
    holder,
    leader,
    reset,
    running,
    well,
)
from tests.test_oncall import moved, up

# Both teams' arrays of eight tasks fill their limits.
FULL = (Team("red", gpus=4, gpus_max=8), Team("blue", gpus=4, gpus_max=8))


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
        trouble(sim, how, up(sim), seconds)
        sim.cloud_down = True  # nor can the machines be returned
        sim.capacity = 24
        for job_id in ("job-0", "job-3"):
            sim.cancel(job_id)
        sim.run(0.3)
        labels = {"owners": {holder(sim, "red"), holder(sim, "blue")}, "leader": {leader(sim)},
                  "all": set(sim.labels)}[who]
        for label in labels:
            sim.crash(label, 0.2)
        sim.cloud_down = False
        for number, team in enumerate(("red", "blue")):
            sim.submit(f"job-{number + 10}", spec("array", 8, team, priority=2, estimate_s=5.0))
        sim.run(seconds + 1)  # the fakes look at the limit whenever something starts
        sim.run(40)
        assert {t.partition("/")[0] for _, t, _, _ in sim.start_log} >= {"job-10", "job-11"}
        well(sim, 350)


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
    keeper, other = [label for label in sim.labels if label != owner]
    gather(sim, keeper)
    [name] = up(sim)
    sim.run(5)
    sim.cuts.add(frozenset((keeper, other)))
    reset(sim, name, other)
    sim.run(0.05)
    reset(sim, name, keeper)
    sim.run(1.5)
    seen = sim.cores[owner].world.machines[name]
    assert seen.keeper == other or not hearing.hears(seen)
    sim.run(constants.VIEW_AGAIN_S + 2)
    assert seen.keeper == keeper and hearing.hears(seen)
    sim.submit("job-2", spec("array", 2, estimate_s=2.0))
    sim.run(3)
    assert [task for _, task, _, _ in sim.start_log if task.startswith("job-2/")]
    sim.cuts.clear()
    well(sim)


def test_what_a_controller_says_again_of_a_machine_is_no_sign_that_it_hears():
    world = World(settings_for("h0"), random.Random(1), 0)
    machine = Machine(Report("m", "a:1", "big", "a", False, 1, 1, 5, None, {}), 0.0)
    machine.keeper, machine.keeper_term = "h1", 5
    moved(world, machine, "h2", token=5)
    moved(world, machine, "h1", token=5)  # it shows the term of its controller from before
    report = Report("m", "a:1", "big", "a", False, 1, machine.seq, 5, None, {})
    hearing.next_word(world, machine, report, "h1", 5)
    assert not hearing.hears(machine)


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
    core.owner.copies.write_after = sim.now + 1000.0
    sim.submit("job-1", spec("array", 1, estimate_s=300.0))
    while not core.owner.copies.work.get("job-1"):
        sim.run(0.2)
    sim.stuck = {owner}
    [binding] = core.owner.copies.work["job-1"][0].bound.values()
    theirs = binding._replace(attempt=5, session=binding.session + 1)
    chunk = Chunk(0, 5, 0, {0: theirs})
    state = sim.state
    mine, _, lease = state.rows[role_key("red")]
    for key, value in ((role_key("red"), None), (role_key("red"), [other, 1]),
                       (chunk_key("job-1", 0), chunk.to_value(2)), (role_key("red"), None),
                       (role_key("red"), mine)):
        state.epoch += 1
        if value is None:
            state.drop(key)
        else:
            state.put(key, value, lease)
    sim.stuck = set()
    sim.run(0.1)
    core.owner.copies.write_after = 0.0
    sim.run(2)
    assert not [row for row in sim.start_log if row[1] == "job-1/0"]
    assert chunk_from(*state.rows[chunk_key("job-1", 0)][:2]).bound == {0: theirs}


# --- a start of which our records never heard ---


@pytest.mark.parametrize("there", [True, False])
def test_a_start_that_nobody_we_hear_knows_of_does_not_act_after_its_jobs_cancellation(there):
    # It was bound after the state service had refused us, given by a controller with a newer term
    # and held up on its way; its worker comes to us in an outage. No newer term is to be had.
    sim = Holding(6, "launch", 2 * CANCEL_S)
    sim.capacity = 2
    sim.run(8)
    sim.crash("h1", 0.2)  # has the highest term from here on
    sim.submit("job-0", spec("service", 2, "blue"))
    sim.run(8)
    gather(sim, "h1")
    sim.state.refused = {"h2"}
    sim.armed = True
    sim.submit("job-1", spec("array", 2, estimate_s=1.0, gpus=1.0))
    sim.run(1.2)
    assert sim.held and not running(sim, "job-1")
    replica = sim.cores["h2"].world.replica
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
