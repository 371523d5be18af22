"""Load spread over the fleet: lines of waiting jobs, and hot teams while machines fail."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakmux import constants
from oakmux.core.jobs import Job
from oakmux.core.spread.lines import Lines
from oakmux.core.world import World
from tests.fakes import TYPE, Sim, settings_for, spec
from tests.test_stories import quiet

JOBS = st.lists(st.tuples(st.integers(0, 20), st.integers(0, 2), st.sampled_from([1.0, 1.1, 4.0]),
                          st.integers(0, 3)), max_size=60)


@given(JOBS)
def test_a_line_holds_its_jobs_by_what_has_to_start_first_then_age(moves):
    world = World(settings_for("h0"), random.Random(1), 0)
    world.types = {"big": TYPE}
    lines, expected = Lines(world), {}
    for number, priority, cpus, move in moves:
        name = f"job-{number}"
        if move == 0:
            lines.drop(name)
            expected.pop(name, None)
            continue
        job = Job(name, "red", "queued", 1, spec(cpus=cpus, priority=priority), 0, 1)
        job.since, job.due = move * 10, 100.0 - move
        shape = lines.put(job, job.spec)
        expected[name] = (shape, (job.latest, job.since, name))
    by_line = {}
    for shape, place in expected.values():
        by_line.setdefault(shape, []).append(place)
    assert {shape: list(line) for shape, line in lines.lines.items()} == {
        shape: sorted(places) for shape, places in by_line.items()}


def samples(sim: Sim, seconds: float) -> list[str]:
    """Return the jobs that are sampled from now on, in all controllers."""
    found: list[str] = []
    for core in sim.cores.values():
        real = core.owner.sampler._sample_job
        core.owner.sampler._sample_job = lambda job, spec, state, real=real: (
            found.append(job.id), real(job, spec, state))
    sim.run(seconds)
    return found


def test_jobs_that_found_no_room_cost_nothing_until_something_changes():
    # Every tick sampled 40 of 1,500 waiting jobs anew and drew for each: 80 % of a hot day's time.
    sim = quiet()
    sim.submit("job-0", spec("array", 10, "blue", estimate_s=500.0))
    sim.run(15)
    for number in range(1, 301):
        sim.submit(f"job-{number}", spec("array", 1, "blue", cpus=1.0 + number % 2,
                                         estimate_s=1.0))
    sim.run(15)
    assert len(samples(sim, 20.0)) < 20 / constants.RESAMPLE_S * 2 * 1.5  # two lines at the limit


def test_who_waits_longest_goes_first_once_there_is_room_again():
    sim = quiet()
    sim.submit("job-0", spec("array", 10, "blue", estimate_s=40.0))
    sim.run(15)
    for number in range(1, 41):
        sim.submit(f"job-{number}", spec("array", 1, "blue", estimate_s=1.0))
        sim.run(0.2)
    assert sim.unfinished(60) == set()
    order = [int(task[4:-2]) for _, task, _, _ in sim.start_log if not task.startswith("job-0/")]
    late = [abs(place - number) for place, number in enumerate(order, 1)]
    assert max(late) <= 12  # ten at a time, and offers cross one another


@pytest.mark.parametrize("guard", ["open_fitting", "use_fell", "none"])
def test_a_line_is_opened_again_whichever_sign_of_room_is_missed(monkeypatch, guard):
    # The safety net: news that a keeper lost must not keep a line shut for ever.
    if guard != "none":
        monkeypatch.setattr(f"oakmux.core.spread.waiting.Waiting.{guard}", lambda self, what: None)
    sim = quiet()
    sim.submit("job-0", spec("array", 10, "blue", estimate_s=15.0))
    for number in range(1, 31):
        sim.submit(f"job-{number}", spec("array", 2, "blue", estimate_s=1.0))
    assert sim.unfinished(90) == set()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_hot_team_leaves_another_its_guarantee_while_machines_and_an_owner_die(seed):
    sim = quiet(seed=seed)
    dice = random.Random(seed)
    for number in range(80):
        sim.submit(f"job-{number}", spec("array", dice.choice([1, 3, 6]), "blue",
                                         estimate_s=dice.uniform(2, 8)))
    sim.run(15)
    for name in dice.sample(sorted(n for n, w in sim.workers.items() if not w.dead), 2):
        sim.kill(name)
    sim.crash(next(label for label, core in sim.cores.items() if "blue" in core.world.my_roles))
    waits = []
    for number in range(100, 110):
        at = sim.now
        sim.submit(f"job-{number}", spec("array", 2, "red", estimate_s=3.0))
        sim.run(6)
        waits += [when - at for when, task, _, _ in sim.start_log
                  if task.startswith(f"job-{number}/")]
    assert len(waits) >= 18 and sorted(waits)[len(waits) // 2] < 3.0
    assert sim.unfinished(250) == set()
