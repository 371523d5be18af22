"""Preemption: chooses running tasks to stop so that a task of a preferred job fits."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from oakmux import constants
from oakmux.core.agents.capacity import free_resources
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.model import JobSpec
from oakmux.core.resources import Resources, fits_resources, subtract
from oakmux.core.scheduling import quotas
from oakmux.core.state.records import Job
from oakmux.task_status import FETCHING, RUNNING, WAITING

PREEMPTIBLE_STATES = (FETCHING, WAITING, RUNNING)


class PreemptionCandidate(NamedTuple):
    """A task that may be stopped; candidates are ordered by the first three fields."""

    priority: int
    lost_work_s: float
    task: Task
    spec: JobSpec


class Preemption(NamedTuple):
    """The tasks to stop, and the work that is lost with them."""

    lost_work_s: float
    tasks: list[Task]


def checkpoint_cost_s(context: Context, tasks: Sequence[Task]) -> float:
    """Return the longest time (s) that any of the tasks needs to save a checkpoint.

    A gang that waits for less than this releases its other offers, and the preemption is useless.
    """
    specs = [context.replica.jobs[name.partition("/")[0]].spec for name, _ in tasks]
    return max(
        (spec.save_s for spec in specs if spec is not None and spec.checkpoint_s), default=0.0
    )


def plan_preemption(
    context: Context,
    machine: Machine,
    job: Job,
    spec: JobSpec,
    usage: quotas.TeamUsage,
    offered: list[JobSpec] | None = None,
    not_preemptible: Collection[str] = (),
) -> Preemption | None:
    """Choose the tasks to stop on a machine so that one task of a job fits there.

    Only tasks of lower priority may be stopped. A job within its team's guarantee may also stop
    tasks of teams that exceed theirs. Tasks of the lowest priority are stopped first, and among
    these, tasks that lose the least work.

    Args:
        context: the controller's shared state.
        machine: the machine on which the task is to fit.
        job: the job that needs to start a task.
        spec: the specification of that job.
        usage: CPUs and GPUs that each team uses.
        offered: the jobs of open offers, each of which keeps resources for one task.
        not_preemptible: ids of jobs whose tasks are not stopped.

    Returns:
        The tasks to stop, or None if the task fits already or can't be made to fit.
    """
    candidates = _candidates(context, machine, job, spec, usage, not_preemptible)
    free = free_resources(context, machine, offered)
    chosen: list[PreemptionCandidate] = []
    lost_work_s = 0.0
    for candidate in candidates:
        if fits_resources(free, spec):
            break
        free = subtract(free, candidate.spec, -1)
        chosen.append(candidate)
        lost_work_s += candidate.lost_work_s
    if not chosen or not fits_resources(free, spec):
        return None
    return _drop_unneeded(chosen, lost_work_s, free, spec)


def _candidates(
    context: Context,
    machine: Machine,
    job: Job,
    spec: JobSpec,
    usage: quotas.TeamUsage,
    not_preemptible: Collection[str],
) -> list[PreemptionCandidate]:
    """Return the tasks on a machine that may be stopped for a job, in the order of stopping."""
    teams_above_guarantee = quotas.teams_over_guarantee(context, job, spec, usage)
    jobs = context.replica.jobs
    candidates = []
    on_machine = context.replica.bindings.by_machine.get(machine.name, {})
    for (job_id, index), binding in on_machine.items():
        other = jobs.get(job_id)
        if other is None or other.spec is None or binding.stop:
            continue
        if other.priority >= job.priority and other.team not in teams_above_guarantee:
            continue
        if (
            other.spec.kind == "service"
            or other.spec.gang_scheduled
            or job_id == job.id
            or job_id in not_preemptible
        ):
            continue
        task = (f"{job_id}/{index}", binding.attempt)
        status = machine.tasks.get(task)
        if status is not None and status[0] in PREEMPTIBLE_STATES:
            lost_work_s = _lost_work_s(context, machine, task, status[0], other, other.spec)
            candidates.append(PreemptionCandidate(other.priority, lost_work_s, task, other.spec))
    candidates.sort(key=lambda candidate: candidate[:3])
    return candidates


def _lost_work_s(
    context: Context, machine: Machine, task: Task, state: str, job: Job, spec: JobSpec
) -> float:
    """Return the work (s) lost if a task is stopped, plus a cost that grows with its priority."""
    lost_work_s = context.now - machine.task_started_at.get(task, context.now)
    # A start shorter than START_COUNTS_S does not count for the objectives and must be repeated.
    start_counts = lost_work_s >= constants.START_COUNTS_S
    if spec.checkpoint_s and state == RUNNING:
        lost_work_s = min(lost_work_s, spec.save_s)
    weight = 1 if start_counts else 2
    return lost_work_s + job.priority**2 * constants.VICTIM_PRIORITY_COST_S * weight


def _drop_unneeded(
    chosen: list[PreemptionCandidate], lost_work_s: float, free: Resources, spec: JobSpec
) -> Preemption:
    """Drop chosen tasks without which the task still fits, the last chosen first."""
    kept = list(chosen)
    for candidate in reversed(chosen):
        free_without = subtract(free, candidate.spec)
        if len(kept) > 1 and fits_resources(free_without, spec):
            free = free_without
            kept.remove(candidate)
            lost_work_s -= candidate.lost_work_s
    return Preemption(lost_work_s, [candidate.task for candidate in kept])
