"""The objects kept in the store's records: jobs, task blocks and bindings."""

import math
from typing import Literal, NamedTuple

from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, Resources

# The recorded states of a job; all except `queued` are final.
JobState = Literal["queued", "done", "cancelled"]


class Binding(NamedTuple):
    """Assigns a task to a machine; the task may run there until its termination is proven."""

    attempt: int
    machine: str
    agent_epoch: int
    term: int
    zone: str
    stop: bool = False


class TaskBlock:
    """Consecutive tasks of a job: their bindings, completed tasks and the last attempt."""

    __slots__ = ("batch", "bindings", "compact", "completed_mask", "last_attempt", "mod_revision")

    def __init__(
        self,
        mod_revision: int = 0,
        last_attempt: int = 0,
        completed_mask: int = 0,
        bindings: dict[int, Binding] | None = None,
        compact: bool = True,
    ) -> None:
        self.mod_revision = mod_revision
        # The highest attempt number in use.
        self.last_attempt = last_attempt
        # A bit for each completed task.
        self.completed_mask = completed_mask
        # Bindings by the index of the task in its job.
        self.bindings = bindings if bindings is not None else {}
        # Whether the block was read from a compact value (format 2 or later).
        self.compact = compact
        # The name of the binding batch that holds the block; None if it has its own record.
        self.batch: str | None = None

    def copy(self) -> "TaskBlock":
        """Return a copy that can be changed without changing this one."""
        copy = TaskBlock(
            self.mod_revision,
            self.last_attempt,
            self.completed_mask,
            dict(self.bindings),
            self.compact,
        )
        copy.batch = self.batch
        return copy

    def adds_bindings_to(self, old: "TaskBlock | None") -> bool:
        """Whether this block has a binding that its older state `old` lacks."""
        old_bindings = old.bindings if old is not None else {}
        return any(
            index not in old_bindings or old_bindings[index].attempt != binding.attempt
            for index, binding in self.bindings.items()
        )


class Job:
    """A recorded job, with the priority and deadline inherited from jobs that depend on it."""

    __slots__ = (
        "blocks",
        "due_ms",
        "eligible_ms",
        "id",
        "mod_revision",
        "priority",
        "resources",
        "service",
        "spec",
        "state",
        "submitted_ms",
        "tasks",
        "team",
        "unmet_dependencies",
    )

    def __init__(
        self,
        job_id: str,
        team: str,
        state: JobState,
        mod_revision: int,
        spec: JobSpec | None,
        submitted_ms: int,
        tasks: int,
    ) -> None:
        self.id = job_id
        self.team = team
        self.state = state
        self.mod_revision = mod_revision
        self.spec: JobSpec | None = None
        self.blocks: dict[int, TaskBlock] = {}
        # The time of submission (ms).
        self.submitted_ms = submitted_ms
        self.tasks = tasks
        self.service = spec is not None and spec.kind == "service"
        self.resources = NO_RESOURCES
        self.set_spec(spec)
        # Dependencies that are not done; the job may not start while there are any.
        self.unmet_dependencies: set[str] = set()
        # The time (ms) from which the job could start; its age counts from then.
        self.eligible_ms = submitted_ms
        # The highest priority among the job and the jobs that depend on it.
        self.priority = 0 if spec is None else spec.priority
        # The time (ms) by which the job must end to meet the earliest deadline among these jobs.
        self.due_ms = math.inf

    def set_spec(self, spec: JobSpec | None) -> None:
        """Set the specification; with None, the resources stay.

        A final job may still have bindings, and more may be read later. They count against the
        quota (rule `quota`).
        """
        self.spec = spec
        if spec is not None:
            self.resources = Resources(spec.cpus, spec.gpus, spec.memory_gb)

    @property
    def ready(self) -> bool:
        """Whether all dependencies are done (rule `too_early`).

        A job that is done stays done, so a replica that lags can only start dependents too late.
        """
        return not self.unmet_dependencies

    @property
    def latest_start_ms(self) -> float:
        """The time (ms) by which the job must start to meet `due_ms`, by its owner's estimate."""
        return self.due_ms - (0.0 if self.spec is None else self.spec.estimate_s * 1000)

    @property
    def final(self) -> bool:
        """Whether the state can't change any more."""
        return self.state != "queued"

    @property
    def begun(self) -> bool:
        """Whether a task is bound or completed."""
        return any(block.bindings or block.completed_mask for block in self.blocks.values())

    def bindings(self) -> list[Binding]:
        """Return all recorded bindings."""
        return [b for block in self.blocks.values() for b in block.bindings.values()]

    def bound_count(self) -> int:
        """Count the recorded bindings."""
        return sum(len(block.bindings) for block in self.blocks.values())

    def done_count(self) -> int:
        """Count the completed tasks."""
        if self.state == "done":
            return self.tasks
        return sum(block.completed_mask.bit_count() for block in self.blocks.values())

    def unbound_count(self) -> int:
        """Count the tasks that are neither completed nor bound."""
        return self.tasks - self.done_count() - self.bound_count()
