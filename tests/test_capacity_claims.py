"""Capacity that a job of a shard has requested counts as used for the shard's other jobs."""

import random

import pytest

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from oakmux.core.resources import Resources
from oakmux.core.scheduling.capacity_claims import CapacityClaims
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from tests.fakes import TYPE, settings_for, spec
from tools.capacity.cell import Cell, cpu_job

WHOLE = Resources(TYPE.cpus, TYPE.gpus, TYPE.memory_gb)


def claims_of_one_job() -> tuple[Context, CapacityClaims, Machine]:
    """Return the claims of one job for two tasks on two machines, and the first machine."""
    context = Context(settings_for("h0"), random.Random(1), 0)
    for name in ("m1", "m2"):
        heartbeat = Heartbeat(name, name, "big", "a", False, 1, 1, 1, None, {})
        context.machines[name] = Machine(heartbeat, 0.0)
    context.replica.apply(job_key("job-1"), encode_job("queued", "red", spec(), 0, 2), 1)
    claims = CapacityClaims(context, until_bound=True)
    claims.add("job-1", spec(cpus=3.0), {"m1": 2, "m2": 2}, constants.RESAMPLE_S, 2)
    return context, claims, context.machines["m1"]


def test_a_claim_counts_for_other_jobs_and_not_for_the_job_itself():
    context, claims, machine = claims_of_one_job()
    assert claims.remaining("job-2", machine, WHOLE).cpus == TYPE.cpus - 6.0
    assert claims.remaining("job-1", machine, WHOLE) == WHOLE
    # The job needs two tasks and requested four to have a choice: only two are claimed.
    assert claims.remaining("job-2", context.machines["m2"], WHOLE) == WHOLE


@pytest.mark.parametrize("end", ["time", "bound"])
def test_a_claim_ends_when_it_expires_or_the_records_show_the_binding(end):
    context, claims, machine = claims_of_one_job()
    if end == "time":
        context.now += constants.RESAMPLE_S
    else:
        block = TaskBlock(last_attempt=1, bindings={0: Binding(1, "m1", 1, 1, "a")})
        context.replica.apply(block_key("job-1", 0), encode_block(block, 2), 2)
    assert claims.remaining("job-2", machine, WHOLE) == WHOLE
    assert not claims.by_machine["m1"]


def test_claims_on_vanished_machines_are_pruned():
    context, claims, _ = claims_of_one_job()
    for number in range(50):
        claims.add("job-3", spec(), {f"vanished-{number}": 1}, constants.RESAMPLE_S, 1)
    assert len(claims.by_machine) <= 2 * len(context.machines) + 1


# Without claims one controller starts about 48 such jobs a second, however many are submitted: all
# jobs sampled in a tick request the same few machines.
def test_many_similar_jobs_start_at_once_where_there_is_capacity():
    cell = Cell(100, teams=1, run_s=60.0)
    cell.run(4.0)
    for _ in range(150):
        cell.submit(cpu_job("team-0", 1, 60.0))
    cell.run(1.5)
    assert cell.starts == 150
