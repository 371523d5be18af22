"""The room on a machine: what is free, what fits, whether it may be used at all."""

import math

from oakmux import constants
from oakmux.core.agents.reachability import is_reachable
from oakmux.core.context import Context, Machine
from oakmux.wire import JobSpec

Resources = tuple[float, float, float]
"""Free CPUs, GPUs and memory (GB)."""


def free_resources(
    context: Context, machine: Machine, extra: list[JobSpec] | None = None
) -> Resources:
    """Return what is free on a machine: reported tasks, records and `extra` taken off."""
    free = context.replica.free_resources.get(machine.name)
    if free is None:
        free = count_free_resources(context, machine)
        context.replica.free_resources[machine.name] = free
    for spec in extra or ():
        free = subtract(free, spec)
    return free


def count_free_resources(context: Context, machine: Machine) -> Resources:
    """Count a machine's free resources anew; `free_resources` caches the result."""
    kind = context.types.get(machine.type)
    if kind is None:
        return 0.0, 0.0, 0.0
    cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
    jobs = context.replica.jobs
    live = {
        task for (task, _), state in machine.tasks.items() if state[0] not in ("exited", "refused")
    }
    for (job_id, index), binding in context.replica.by_machine.get(machine.name, {}).items():
        task = f"{job_id}/{index}"
        if (
            binding.agent_epoch >= machine.agent_epoch
            and machine.tasks.get((task, binding.attempt), ("",))[0] != "exited"
        ):
            live.add(task)
    for task in live:
        job = jobs.get(task.partition("/")[0])
        if job is not None:
            cpus -= job.resources[0]
            gpus -= job.resources[1]
            memory -= job.resources[2]
    return cpus, gpus, memory


def fits_resources(free: Resources, spec: JobSpec) -> bool:
    """Whether one task fits into the free room."""
    slack = constants.EPSILON
    return (
        spec.cpus <= free[0] + slack
        and spec.gpus <= free[1] + slack
        and spec.memory_gb <= free[2] + slack
    )


def subtract(free: Resources, spec: JobSpec, count: int = 1) -> Resources:
    """Return the room that is left after `count` tasks."""
    return (
        free[0] - count * spec.cpus,
        free[1] - count * spec.gpus,
        free[2] - count * spec.memory_gb,
    )


def task_capacity(free: Resources, spec: JobSpec) -> int:
    """Return how many tasks fit; 1 of a task that needs nothing."""
    most = math.inf
    if spec.gpus > 0:
        most = (free[1] + constants.EPSILON) / spec.gpus
    if spec.cpus > 0:
        most = min(most, (free[0] + constants.EPSILON) / spec.cpus)
    if spec.memory_gb > 0:
        most = min(most, (free[2] + constants.EPSILON) / spec.memory_gb)
    return 1 if most == math.inf else max(0, math.floor(most))


def is_full(context: Context, free: Resources) -> bool:
    """Whether no task of any unfinished job can have room here."""
    cpus, gpus, memory = free
    return (
        cpus <= constants.EPSILON
        or memory <= constants.EPSILON
        or (gpus <= constants.EPSILON and not context.replica.jobs_without_gpus)
    )


def gang_hold_s(spec: JobSpec) -> float:
    """Return the seconds for which a gang gathers room; large ones may wait for machines."""
    if not spec.joint:
        return 0.0
    return min(
        constants.GANG_GATHER_S + spec.tasks * constants.GANG_GATHER_TASK_S,
        constants.GANG_GATHER_MOST_S,
    )


def heartbeat_timeout_s(context: Context) -> float:
    """Return the seconds after which a machine that nobody hears is called silent."""
    return constants.SILENT_REPORTS * context.facts.workers.report_s + 2 * constants.ALIVE_S


def is_schedulable(context: Context, machine: Machine) -> bool:
    """Whether new tasks may be put on a machine: not on one that fell silent or does not hear us,
    where they would be stuck until it is proven gone."""
    return is_reachable(machine) and _accepts_tasks(context, machine)


def counts_as_capacity(context: Context, machine: Machine) -> bool:
    """Whether a machine counts as room, there or soon: also one that is new and has yet to show
    that it hears us, which takes a report or two. Else as much would be rented anew."""
    new = context.now - machine.first_heartbeat_at < heartbeat_timeout_s(context)
    return (new or is_reachable(machine)) and _accepts_tasks(context, machine)


def _accepts_tasks(context: Context, machine: Machine) -> bool:
    """Whether nothing but not hearing us could keep new tasks off a machine."""
    return (
        context.now - machine.last_heartbeat_at < heartbeat_timeout_s(context)
        and machine.name not in context.draining
        and machine.notice_at is None
        and machine.name not in context.replica.terminated_machines
        and not is_quarantined(context, machine)
    )


def is_quarantined(context: Context, machine: Machine) -> bool:
    """Whether tasks of several jobs failed on a machine, and none that fails elsewhere too."""
    return (
        len(machine.errors) >= constants.SICK_ERRORS
        and sum(context.failures.blames(job_id, machine.name) for job_id in machine.errors)
        >= constants.SICK_ERRORS
    )
