"""Machine capacity: free resources, and whether a machine accepts new tasks."""

from oakmux import constants
from oakmux.core.agents.reachability import is_reachable
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, Resources, subtract
from oakmux.task_status import EXITED, REFUSED


def free_resources(
    context: Context, machine: Machine, extra: list[JobSpec] | None = None
) -> Resources:
    """Return the free resources of a machine.

    Args:
        context: the controller's shared state; the result is cached in its replica.
        machine: the machine whose resources are counted.
        extra: jobs that each count as one task running on the machine, such as open offers.
    """
    free = context.replica.changes.free_resources.get(machine.name)
    if free is None:
        free = count_free_resources(context, machine)
        context.replica.changes.free_resources[machine.name] = free
    for spec in extra or ():
        free = subtract(free, spec)
    return free


def count_free_resources(context: Context, machine: Machine) -> Resources:
    """Compute a machine's free resources without the cache that `free_resources` uses."""
    machine_type = context.types.get(machine.type)
    if machine_type is None:
        return NO_RESOURCES
    cpus, gpus, memory_gb = machine_type.cpus, machine_type.gpus, machine_type.memory_gb
    jobs = context.replica.jobs
    for task in _tasks_taking_resources(context, machine):
        job = jobs.get(task.partition("/")[0])
        if job is not None:
            cpus -= job.resources.cpus
            gpus -= job.resources.gpus
            memory_gb -= job.resources.memory_gb
    return Resources(cpus, gpus, memory_gb)


def _tasks_taking_resources(context: Context, machine: Machine) -> set[str]:
    """Return the tasks that occupy a machine: reported and not exited, or bound to it."""
    tasks = {
        task for (task, _), status in machine.tasks.items() if status[0] not in (EXITED, REFUSED)
    }
    for (job_id, index), binding in context.replica.bindings.by_machine.get(
        machine.name, {}
    ).items():
        task = f"{job_id}/{index}"
        if (
            binding.agent_epoch >= machine.agent_epoch
            and machine.tasks.get((task, binding.attempt), ("",))[0] != EXITED
        ):
            tasks.add(task)
    return tasks


def is_full(context: Context, free: Resources) -> bool:
    """Whether no task of any unfinished job could fit into the free resources."""
    return (
        free.cpus <= constants.EPSILON
        or free.memory_gb <= constants.EPSILON
        or (free.gpus <= constants.EPSILON and not context.replica.job_records.jobs_without_gpus)
    )


def gang_hold_s(spec: JobSpec) -> float:
    """Return the seconds for which a gang may hold capacity until it has enough for all tasks.

    Large gangs may wait for machines that are being rented. Jobs that are not gangs hold nothing.
    """
    if not spec.gang_scheduled:
        return 0.0
    return min(
        constants.GANG_GATHER_S + spec.tasks * constants.GANG_GATHER_TASK_S,
        constants.GANG_GATHER_MAX_S,
    )


def heartbeat_timeout_s(context: Context) -> float:
    """Return the seconds without a heartbeat after which a machine counts as silent."""
    return (
        constants.MISSED_HEARTBEATS * context.facts.workers.heartbeat_interval_s
        + 2 * constants.PEER_HEARTBEAT_S
    )


def is_schedulable(context: Context, machine: Machine) -> bool:
    """Whether new tasks may be placed on a machine.

    Tasks placed on a silent or unreachable machine would be stuck there until it is proven to
    be terminated.
    """
    return is_reachable(machine) and _accepts_tasks(context, machine)


def counts_as_capacity(context: Context, machine: Machine) -> bool:
    """Whether a machine has capacity now or soon, so that none need be rented in its place.

    Besides schedulable machines, new machines count. They need a heartbeat or two to show that
    they receive answers.
    """
    new = context.now - machine.first_heartbeat_at < heartbeat_timeout_s(context)
    return (new or is_reachable(machine)) and _accepts_tasks(context, machine)


def _accepts_tasks(context: Context, machine: Machine) -> bool:
    """Whether a machine accepts new tasks, regardless of its reachability."""
    return (
        context.now - machine.last_heartbeat_at < heartbeat_timeout_s(context)
        and machine.name not in context.draining
        and machine.notice_at is None
        and machine.name not in context.replica.terminated_machines
        and not is_quarantined(context, machine)
    )


def is_quarantined(context: Context, machine: Machine) -> bool:
    """Whether tasks of several jobs failed on a machine, and the machine is the likely cause.

    A machine with running tasks can't be returned. It is tried again after QUARANTINE_MAX_S, and
    the next failure puts it back into quarantine.
    """
    return (
        len(machine.errors) >= constants.QUARANTINE_FAILED_JOBS
        and context.failures.last_failure_s(machine) <= constants.QUARANTINE_MAX_S
        and sum(
            context.failures.counts_against_machine(job_id, machine.name)
            for job_id in machine.errors
        )
        >= constants.QUARANTINE_FAILED_JOBS
    )
