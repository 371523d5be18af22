"""Terms of single workers: when they are raised, and what a raise may cost."""

import random

import pytest

from oakmux import constants
from oakmux.core.agents.command_batch import CommandBatch, CommandKind
from oakmux.core.agents.tracked_workers import TrackedWorker
from oakmux.core.agents.worker_terms import WorkerTerms
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from tests.fakes import Simulation, settings_for, spec
from tests.helpers.clusters import check_recovered

TERM = 100_001


@pytest.fixture
def terms() -> WorkerTerms:
    context = Context(settings_for("h0"), random.Random(1), 0)
    context.term, context.now = TERM, 25.0
    return WorkerTerms(context, Leadership(context))


def machine_showing(fencing_token: int) -> Machine:
    heartbeat = Heartbeat("m0", "a:1", "big", "a", False, 1, 1, fencing_token, None, {})
    return Machine(heartbeat, 0.0)


def test_attempts_are_forgotten_only_above_the_term_that_their_heartbeat_shows(terms):
    tracked = TrackedWorker()
    assert terms.for_forgets(tracked, machine_showing(7), 1, True) == TERM
    steps = int(25.0 / constants.WORKER_TERM_STEP_S)
    assert terms.for_forgets(tracked, machine_showing(TERM), 1, False) == TERM + steps
    tracked.term = TERM + steps
    assert terms.for_forgets(tracked, machine_showing(TERM + steps), 1, False) is None


def test_a_pending_start_delays_forgets_until_too_many_attempts_are_listed(terms):
    tracked, machine = TrackedWorker(), machine_showing(TERM)
    assert terms.for_forgets(tracked, machine, constants.MAX_EXITED_ATTEMPTS, True) is None
    term = terms.for_forgets(tracked, machine, constants.MAX_EXITED_ATTEMPTS + 1, True)
    assert term is not None
    assert term > TERM


def test_a_raised_term_leaves_out_starts_whose_bindings_name_the_lower_one():
    batch = CommandBatch(TERM)
    batch.start(("job-1/0", 1))
    batch.stop(("job-1/1", 1), 0.0)
    batch.raise_term(TERM + 1)
    assert [command.kind for command in batch.commands] == [CommandKind.STOP]
    assert batch.term == TERM + 1


def test_a_used_up_range_of_terms_is_replaced_before_more_is_forgotten(terms):
    terms.context.now = constants.WORKER_TERM_STEP_S * constants.TERMS_PER_RANGE
    last = terms.context.last_term
    tracked = TrackedWorker()
    tracked.term = last
    terms.leadership.terms.raise_needed = False
    assert terms.for_forgets(tracked, machine_showing(last), 1, False) is None
    assert terms.leadership.terms.raise_needed


def test_jobs_run_on_while_ranges_of_two_terms_are_used_up(monkeypatch):
    monkeypatch.setattr(constants, "TERMS_PER_RANGE", 2)
    sim = Simulation(1)
    sim.run(12)
    for step in range(20):
        sim.submit(f"job-{step}", spec("array", 3, ("red", "blue")[step % 2], estimate_s=2.0))
        sim.run(4)
    sim.repeat_answered_commands()
    assert sim.repeated_starts == []
    assert sim.store.rows["ox/term"][0] > 2 * len(sim.labels)
    check_recovered(sim, 60)
