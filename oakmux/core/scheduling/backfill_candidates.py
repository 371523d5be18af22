"""Candidate machines for a backfill reservation: when tasks end, and what preemption loses."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from oakmux import constants
from oakmux.core.agents.capacity import free_resources
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.model import JobSpec
from oakmux.core.resources import Resources
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.backfill_plan import BackfillCandidate, CandidateTask
from oakmux.core.state.records import Binding, Job
from oakmux.task_status import RUNNING


class BoundTask(NamedTuple):
    """A task of another job, bound to a machine."""

    job: Job
    spec: JobSpec
    task_index: int
    binding: Binding

    @property
    def task(self) -> Task:
        """The task's name and attempt."""
        return f"{self.job.id}/{self.task_index}", self.binding.attempt


def remaining_s(context: Context, machine: Machine, task: Task, spec: JobSpec) -> float:
    """Return the seconds until a task ends by itself, by the job's estimate."""
    if spec.kind == "service":
        return math.inf
    state = machine.tasks.get(task, ("",))[0]
    if state != RUNNING:  # the task fetches its image or waits for the rest of its gang
        return spec.estimate_s + context.fetch_s(spec, machine.type)
    ran_s = context.now - machine.task_started_at.get(task, context.now)
    overrun_s = max(constants.OVERRUN_MIN_S, constants.OVERRUN_SHARE * ran_s)
    return max(spec.estimate_s - ran_s, overrun_s if ran_s > spec.estimate_s else 0.0)


def candidates_for(
    context: Context, job: Job, spec: JobSpec, machines: Iterable[Machine]
) -> list[BackfillCandidate]:
    """Return machines as candidates for a job's backfill reservation."""
    over_guarantee = quotas.teams_over_guarantee(context, job, spec, quotas.usage(context))
    candidates = []
    for machine in machines:
        tasks = []
        for (job_id, index), binding in context.replica.bindings.by_machine.get(
            machine.name, {}
        ).items():
            other = context.replica.jobs.get(job_id)
            if other is not None and other.spec is not None and job_id != job.id:
                bound = BoundTask(other, other.spec, index, binding)
                tasks.append(_candidate_task(context, job, machine, bound, over_guarantee))
        free = free_resources(context, machine)
        candidates.append(BackfillCandidate(machine.name, machine.zone, free, tuple(tasks)))
    return candidates


def _candidate_task(
    context: Context, job: Job, machine: Machine, bound: BoundTask, over_guarantee: list[str]
) -> CandidateTask:
    other, spec, _, binding = bound
    resources = Resources(spec.cpus, spec.gpus, spec.memory_gb)
    if binding.stop or other.final:
        return CandidateTask(resources, 0.0, 0.0)
    is_preemptible = (
        spec.kind != "service"
        and not spec.gang_scheduled
        and (other.priority < job.priority or other.team in over_guarantee)
    )
    if not is_preemptible:
        return CandidateTask(resources, remaining_s(context, machine, bound.task, spec), 0.0)
    ran_s = context.now - machine.task_started_at.get(bound.task, context.now)
    return CandidateTask(resources, 0.0, min(ran_s, spec.save_s) if spec.checkpoint_s else ran_s)
