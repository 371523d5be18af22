"""Compare a controller's incremental counts and machine index with full recomputations."""

import logging

import pytest
from msgspec.structs import astuple

from oakmux.core.agents.capacity import count_free_resources, is_schedulable
from oakmux.core.controller import Controller
from oakmux.core.scheduling.machine_index import MachineIndex
from oakmux.core.state.keys import role_key
from oakmux.core.state.transactions import BlockId


class ExceptionRecorder(logging.Handler):
    """Records exceptions that a controller logged and survived."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.texts: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info is not None:
            self.texts.append(f"{record.getMessage()}: {record.exc_info[1]!r}")


exceptions = ExceptionRecorder()
logging.getLogger("oakmux.core").addHandler(exceptions)


def check_no_exception(expected: bool) -> None:
    """Check that no command and no subsystem of a controller raised one that is not expected."""
    texts, exceptions.texts = exceptions.texts, []
    assert expected or not texts, texts


def check_counts(core: Controller) -> None:
    """Compare the incremental counts of a controller with a full count."""
    context, replica = core.context, core.context.replica
    for name, free in replica.changes.free_resources.items():
        counted = count_free_resources(context, context.machines[name])
        assert astuple(free) == pytest.approx(astuple(counted)), name
    check_machine_index(core)
    used: dict[str, float] = {}
    buffered: dict[str, float] = {}
    preemptible: dict[str, float] = {}
    for job in replica.jobs.values():
        gpus = job.resources.gpus * len(job.bindings())
        used[job.team] = used.get(job.team, 0.0) + gpus
        preemptible[job.team] = preemptible.get(job.team, 0.0) + (0.0 if job.service else gpus)
        buffered[job.team] = buffered.get(job.team, 0.0) + job.resources.gpus * len(
            core.scheduler.buffer.bindings(job)
        )
    for team in context.teams:
        assert replica.usage.by_team.get(team, (0, 0))[1] == pytest.approx(used.get(team, 0)), team
        assert sum(
            at[1] for at in replica.usage.preemptible.get(team, {}).values()
        ) == pytest.approx(preemptible.get(team, 0)), team
        if team in context.held_roles:
            assert core.scheduler.buffer.team_usage(team)[1] == pytest.approx(
                buffered.get(team, 0)
            ), team


def check_unsettled_records(core: Controller) -> None:
    """Check that changed blocks are due or in flight, and those in flight count as changed."""
    buffer, held_roles = core.scheduler.buffer, core.context.held_roles
    changed = {
        BlockId(job_id, number) for job_id, blocks in buffer.changed.items() for number in blocks
    }
    assert changed == buffer.versions.keys()
    assert buffer.dirty.keys() <= changed
    in_flight: set[BlockId] = set()
    for transaction in core.scheduler.writer.in_flight.values():
        for block_id in transaction.blocks:
            role = role_key(core.context.replica.jobs[block_id.job_id].team)
            held = held_roles.get(role.rpartition("/")[2])
            if held is not None and transaction.conditions.get(role) == held:
                in_flight.add(block_id)
    assert in_flight <= changed, "counts as recorded while a write of it is in flight"
    assert changed <= buffer.dirty.keys() | in_flight, "changed, but neither due nor in flight"


def check_machine_index(core: Controller) -> None:
    """Compare the machine index with one that is rebuilt from scratch."""
    context, index = core.context, core.scheduler.index
    index.refresh()
    rebuilt_index = MachineIndex(context)
    context.replica.changes.stale_machines.update(context.machines)
    unresponsive = set(context.unresponsive)
    rebuilt_index.refresh()
    context.unresponsive = unresponsive

    def named(index: MachineIndex, sets: dict) -> dict:
        return {key: {index.machines[n].name for n in ids} for key, ids in sets.items() if ids}

    unschedulable = {n for n, m in context.machines.items() if not is_schedulable(context, m)}
    for attr in (
        "classes",
        "kinds",
        "image_holders",
        "preemptible_by_priority",
        "preemptible_by_team",
    ):
        maintained, rebuilt = (named(i, getattr(i, attr)) for i in (index, rebuilt_index))
        if attr != "image_holders":  # an unschedulable machine leaves the index when it is drawn
            maintained = {
                key: names - unschedulable
                for key, names in maintained.items()
                if names - unschedulable
            }
        assert maintained == rebuilt, attr
