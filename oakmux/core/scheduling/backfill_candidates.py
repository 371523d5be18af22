"""Machines as an opening sees them: when what is on them ends, and what a stop would lose."""

import math
from collections.abc import Iterable

from oakmux import constants
from oakmux.core.agents.capacity import free_resources
from oakmux.core.context import Context, Machine, Task
from oakmux.core.model import JobSpec
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.backfill_plan import BackfillCandidate, Held
from oakmux.core.state.records import Binding, Job


def left_s(context: Context, machine: Machine, task: Task, spec: JobSpec) -> float:
    """Return the seconds until a task ends by itself, by its owner's estimate."""
    if spec.kind == "service":
        return math.inf
    state = machine.tasks.get(task, ("",))[0]
    ran = context.now - machine.since.get(task, context.now)
    if state != "running":  # it has yet to fetch its image, or to meet its gang
        return spec.estimate_s + context.fetch_s(spec, machine.type)
    overrun = max(constants.OVERRUN_LEAST_S, constants.OVERRUN_SHARE * ran)
    return max(spec.estimate_s - ran, overrun if ran > spec.estimate_s else 0.0)


def sites(
    context: Context, job: Job, spec: JobSpec, machines: Iterable[Machine]
) -> list[BackfillCandidate]:
    """Return machines for a job that looks for room on them."""
    beyond = quotas.beyond(context, job, spec, quotas.usage(context))
    found = []
    for machine in machines:
        held = []
        for (name, index), binding in context.replica.by_machine.get(machine.name, {}).items():
            other = context.replica.jobs.get(name)
            if other is not None and other.spec is not None and name != job.id:
                held.append(
                    _held(context, job, machine, other, other.spec, index, binding, beyond)
                )
        free = free_resources(context, machine)
        found.append(
            BackfillCandidate(
                machine.name, machine.zone, (free.cpus, free.gpus, free.memory_gb), tuple(held)
            )
        )
    return found


def _held(
    context: Context,
    job: Job,
    machine: Machine,
    other: Job,
    spec: JobSpec,
    index: int,
    binding: Binding,
    beyond: list[str],
) -> Held:
    task = (f"{other.id}/{index}", binding.attempt)
    takes = (spec.cpus, spec.gpus, spec.memory_gb)
    if binding.stop or other.final:
        return Held(takes, 0.0, 0.0)
    if (
        spec.kind != "service"
        and not spec.joint
        and (other.priority < job.priority or other.team in beyond)
    ):
        ran = context.now - machine.since.get(task, context.now)
        return Held(takes, 0.0, min(ran, spec.save_s) if spec.checkpoint_s else ran)
    return Held(takes, left_s(context, machine, task, spec), 0.0)
