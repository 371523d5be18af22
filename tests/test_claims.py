"""Room that an owner's jobs have asked for counts as taken for its other jobs."""

import random

import pytest

from oakmux import constants
from oakmux.core.context import Context, Machine
from oakmux.core.model import Heartbeat
from oakmux.core.resources import Resources
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.state.records import Binding, TaskBlock, block_key, job_key, job_value
from tests.fakes import TYPE, settings_for, spec
from tools.capacity.cell import Cell, cpu_job

WHOLE = Resources(TYPE.cpus, TYPE.gpus, TYPE.memory_gb)


def claimed() -> tuple[Context, CapacityClaims, Machine]:
    """Return claims of one job, for two tasks on two machines, and the first machine."""
    context = Context(settings_for("h0"), random.Random(1), 0)
    for name in ("m1", "m2"):
        heartbeat = Heartbeat(name, name, "big", "a", False, 1, 1, 1, None, {})
        context.machines[name] = Machine(heartbeat, 0.0)
    context.replica.apply(job_key("job-1"), job_value("queued", "red", spec(), 0, 2), 1)
    claims = CapacityClaims(context)
    claims.ask("job-1", spec(cpus=3.0), {"m1": 2, "m2": 2}, 2)
    return context, claims, context.machines["m1"]


def test_what_one_job_asked_for_is_taken_for_the_others_and_not_for_itself():
    context, claims, machine = claimed()
    assert claims.left("job-2", machine, WHOLE).cpus == TYPE.cpus - 6.0
    assert claims.left("job-1", machine, WHOLE) == WHOLE
    # It needs two tasks and asked for more, to have a choice: the rest is nobody's.
    assert claims.left("job-2", context.machines["m2"], WHOLE) == WHOLE


@pytest.mark.parametrize("end", ["time", "bound"])
def test_a_claim_ends_with_its_time_or_once_the_records_show_the_binding(end):
    context, claims, machine = claimed()
    if end == "time":
        context.now += constants.RESAMPLE_S
    else:
        block = TaskBlock(last=1, bound={0: Binding(1, "m1", 1, 1, "a")})
        context.replica.apply(block_key("job-1", 0), block.to_value(2), 2)
    assert claims.left("job-2", machine, WHOLE) == WHOLE
    assert not claims.by_machine["m1"]


def test_claims_of_machines_that_are_gone_do_not_pile_up():
    context, claims, _ = claimed()
    for number in range(50):
        claims.ask("job-3", spec(), {f"gone-{number}": 1}, 1)
    assert len(claims.by_machine) <= 2 * len(context.machines) + 1


# One controller once began some 48 such jobs a second, however many came: all that were sampled in
# a tick asked for the same few machines.
def test_many_jobs_alike_begin_at_once_where_there_is_room():
    cell = Cell(100, teams=1, run_s=60.0)
    cell.run(4.0)
    for _ in range(150):
        cell.submit(cpu_job("team-0", 1, 60.0))
    cell.run(1.5)
    assert cell.starts == 150
