"""Records as the state service holds them: jobs, chunks of their tasks, keys.

Keys: j/<job> (state, team, description), t/<job>/<chunk> (bindings and completed tasks),
p/<team>/<number> (a page: the same of many small jobs), own/<role> (who owns a team or the
fleet), n/<controller>, gone/<machine>, term, types (the cloud's catalogue, so that a controller
that starts while the cloud is out knows it), version/<controller> (what a controller can read),
format (what all write).
"""

import math
from typing import Any, NamedTuple

import msgspec

from oakmux import constants
from oakmux.core.model import JobSpec
from oakmux.settings import StateLimits

PREFIX = "ox/"
# The format of the records that this version can write. Those before are read for ever, and each
# is written until every controller is known to read a later one: 1, that of the first version; 2,
# with compact chunks and jobs that wait on others; 3, with pages.
FORMAT = 3
FORMAT_COMPACT = 2
FORMAT_BATCHES = 3


class Binding(NamedTuple):
    """A task that may be on a machine, until it is proven gone."""

    attempt: int
    machine: str
    agent_epoch: int
    term: int
    zone: str
    stop: bool = False


class TaskBlock:
    """A run of a job's tasks: bindings, completed tasks, highest attempt used."""

    __slots__ = ("mod_revision", "last", "done", "bound", "compact", "batch")

    def __init__(
        self,
        mod_revision: int = 0,
        last: int = 0,
        done: int = 0,
        bound: dict[int, Binding] | None = None,
        compact: bool = True,
    ) -> None:
        self.mod_revision = mod_revision
        self.last = last
        self.done = done
        self.bound = bound if bound is not None else {}
        self.compact = compact
        # The page that holds it; None if it has a record of its own.
        self.batch: str | None = None

    def copy(self) -> "TaskBlock":
        """Return a copy that can be worked on."""
        made = TaskBlock(self.mod_revision, self.last, self.done, dict(self.bound), self.compact)
        made.batch = self.batch
        return made

    def adds_bindings_to(self, old: "TaskBlock | None") -> bool:
        """Whether it has a binding that an older state of it lacks."""
        before = old.bound if old is not None else {}
        return any(
            index not in before or before[index].attempt != binding.attempt
            for index, binding in self.bound.items()
        )

    def to_value(self, form: int) -> list:
        """Return the value for the state service.

        Format 2 names what bindings share once: session, term, zone and stop in a list of
        heads, the machine and its head before all pairs of task and attempt there.
        """
        if form < 2:
            return [
                self.last,
                f"{self.done:x}",
                [
                    [i, b.attempt, b.machine, b.agent_epoch, b.term, b.zone, b.stop]
                    for i, b in sorted(self.bound.items())
                ],
            ]
        heads: dict[tuple, int] = {}
        groups: dict[tuple[str, int], list] = {}
        for i, b in sorted(self.bound.items()):
            head = heads.setdefault((b.agent_epoch, b.term, b.zone, int(b.stop)), len(heads))
            groups.setdefault((b.machine, head), [b.machine, head]).extend((i, b.attempt))
        return [self.last, f"{self.done:x}", [list(head) for head in heads], list(groups.values())]


def parse_block(value: Any, mod_revision: int) -> TaskBlock:
    """Read a chunk's value, of either format."""
    last, done, *rest = value
    bound: dict[int, Binding] = {}
    if len(rest) == 1:
        bound = {row[0]: Binding(*row[1:]) for row in rest[0]}
    else:
        heads, groups = rest
        for machine, head, *pairs in groups:
            agent_epoch, term, zone, stop = heads[head]
            for i, attempt in zip(pairs[::2], pairs[1::2], strict=True):
                bound[i] = Binding(attempt, machine, agent_epoch, term, zone, bool(stop))
    return TaskBlock(mod_revision, last, int(done, 16), bound, len(rest) > 1)


def value_bytes(value: Any) -> int:
    """Return a value's size as the state service counts it: in JSON."""
    return len(msgspec.json.encode(value))


def value_limit(limits: StateLimits) -> int:
    """Return the bytes that a value of ours may take."""
    return int(limits.value_kb * 1024) - constants.VALUE_SLACK_BYTES


class Job:
    """A job as the records have it."""

    __slots__ = (
        "id",
        "team",
        "state",
        "mod_revision",
        "spec",
        "blocks",
        "order",
        "tasks",
        "service",
        "unmet_dependencies",
        "since",
        "priority",
        "due_ms",
        "resources",
    )

    def __init__(
        self,
        job_id: str,
        team: str,
        state: str,
        mod_revision: int,
        spec: JobSpec | None,
        order: int,
        tasks: int,
    ) -> None:
        self.id = job_id
        self.team = team
        self.state = state
        self.mod_revision = mod_revision
        self.spec: JobSpec | None = None
        self.blocks: dict[int, TaskBlock] = {}
        self.order = order
        self.tasks = tasks
        self.service = spec is not None and spec.kind == "service"
        self.resources = (0.0, 0.0, 0.0)
        self.set_spec(spec)
        # The jobs that it needs and that are not done; it may not start before there are none.
        self.unmet_dependencies: set[str] = set()
        # Since when it could start (ms): its age among others.
        self.since = order
        # The highest priority of those that need it, itself included, and the time (ms) by which
        # it must end for the most pressing deadline among them.
        self.priority = 0 if spec is None else spec.priority
        self.due_ms = math.inf

    def set_spec(self, spec: JobSpec | None) -> None:
        """Take the description. What a task takes (CPUs, GPUs, GB) outlives it: a job that is
        over may still have bindings, also such as we hear of later, and they count (R quota)."""
        self.spec = spec
        if spec is not None:
            self.resources = (spec.cpus, spec.gpus, spec.memory_gb)

    @property
    def ready(self) -> bool:
        """Whether all jobs that it needs are done (R too_early). A job that is done stays so:
        records that are behind can only err on the safe side."""
        return not self.unmet_dependencies

    @property
    def latest_start_ms(self) -> float:
        """The time (ms) by which it must start, by its owner's estimate."""
        return self.due_ms - (0.0 if self.spec is None else self.spec.estimate_s * 1000)

    @property
    def final(self) -> bool:
        """Whether the state can't change any more."""
        return self.state != "queued"

    @property
    def begun(self) -> bool:
        """Whether a task is bound or done."""
        return any(block.bound or block.done for block in self.blocks.values())

    def bindings(self) -> list[Binding]:
        """Return all that the records say is bound."""
        return [b for block in self.blocks.values() for b in block.bound.values()]

    def done_count(self) -> int:
        """Count completed tasks."""
        if self.state == "done":
            return self.tasks
        return sum(block.done.bit_count() for block in self.blocks.values())

    def unbound(self) -> int:
        """Count tasks that are neither done nor bound."""
        return (
            self.tasks
            - self.done_count()
            - sum(len(block.bound) for block in self.blocks.values())
        )


def job_value(state: str, team: str, spec: JobSpec | None, order: int, tasks: int) -> list:
    """Return the value of a job's record; order is its place among submissions, roughly."""
    if spec is None:
        return [state, team, None, order, tasks]
    if state != "queued":
        # What only matters before a start is left out: it must not keep an end from fitting.
        spec = msgspec.structs.replace(spec, types=None, waits_on=())
    row = list(msgspec.to_builtins(spec))
    return [state, team, row if spec.waits_on else row[:-1], order, tasks]


def tasks_per_block(value_kb: float) -> int:
    """Return how many tasks share a record, so that it keeps within the value limit."""
    return max(1, min(constants.CHUNK_TASKS, int(value_kb * 1024 / constants.BINDING_BYTES)))


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{PREFIX}j/{job_id}"


def block_key(job_id: str, number: int) -> str:
    """Return the key of a chunk's record."""
    return f"{PREFIX}t/{job_id}/{number}"


def role_key(role: str) -> str:
    """Return the key that says who holds a role."""
    return f"{PREFIX}own/{role}"


def controller_key(label: str) -> str:
    """Return the key that stands while a controller lives."""
    return f"{PREFIX}n/{label}"


def termination_key(machine: str) -> str:
    """Return the key that says a machine is certainly gone."""
    return f"{PREFIX}gone/{machine}"


def version_key(label: str) -> str:
    """Return the key that says what a controller can read; it stands for good."""
    return f"{PREFIX}version/{label}"


TERM_KEY = PREFIX + "term"
TYPES_KEY = PREFIX + "types"
FORMAT_KEY = PREFIX + "format"
