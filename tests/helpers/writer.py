"""A scheduler's record writer in front of a store whose answers the test gives."""

import random
from typing import Any

from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.formats import FORMAT
from oakmux.core.state.keys import FORMAT_KEY, job_key
from oakmux.core.state.record_writer import RecordWriter
from oakmux.core.state.records import Binding, Job
from oakmux.core.state.write_buffer import WriteBuffer
from oakmux.settings import StoreLimits, Team
from tests.fakes import spec
from tests.fakes.deployment import STORE_LIMITS, settings_for

TASKS_PER_RECORD = 64
BINDING = Binding(1, "m1", 1, 1, "a")


class DrivenWriter:
    """A record writer whose transactions stay in flight until the test answers them."""

    def __init__(
        self, teams: tuple[str, ...] = ("red",), limits: StoreLimits = STORE_LIMITS, count: int = 3
    ) -> None:
        settings = settings_for(
            "h0", count, teams=tuple(Team(team) for team in teams), store_limits=limits
        )
        self.context = Context(settings, random.Random(1), 0)
        self.context.now = 100.0
        self.revision = 0
        self.record(FORMAT_KEY, [FORMAT, TASKS_PER_RECORD])
        for team in teams:
            self.revision += 1
            self.context.held_roles[team] = self.revision
        self.buffer = WriteBuffer(self.context)
        self.writer = RecordWriter(self.context, self.buffer)

    def record(self, key: str, value: Any) -> int:
        """Deliver a change of a record, as the watch does; return its revision."""
        self.revision += 1
        self.context.replica.apply(key, value, self.revision)
        return self.revision

    def add_job(self, job_id: str, tasks: int = 1, **fields: Any) -> Job:
        """Record a job."""
        job_spec = spec("array", tasks, **fields)
        self.record(job_key(job_id), encode_job("queued", job_spec.team, job_spec, 0, tasks))
        return self.context.replica.jobs[job_id]

    def bind(self, job: Job, index: int = 0, machine: str = "m1") -> None:
        """Bind a task."""
        attempt = self.buffer.next_attempt(job)
        block = self.buffer.edit(job, index // TASKS_PER_RECORD)
        block.last_attempt = attempt
        block.bindings[index] = BINDING._replace(attempt=attempt, machine=machine)

    def complete(self, job: Job) -> None:
        """Let all tasks of a job complete."""
        for index in range(job.tasks):
            block = self.buffer.edit(job, index // TASKS_PER_RECORD)
            block.bindings.pop(index, None)
            block.completed_mask |= 1 << index % TASKS_PER_RECORD
        self.buffer.finished_jobs[job.id] = None

    def flush(self, after_s: float = 5.0) -> list[messages.Transaction]:
        """Let the writer write what is due `after_s` later; return the transactions sent."""
        self.context.now += after_s
        self.writer.flush()
        effects, self.context.effects = self.context.effects, []
        return [effect for effect in effects if isinstance(effect, messages.Transaction)]

    def answer(self, sent: messages.Transaction, status: int, result: Any = None) -> None:
        """Answer a transaction."""
        self.context.operations.pop(sent.operation)(status, result)

    def carry_out(self, sent: messages.Transaction) -> int:
        """Apply a transaction's writes to the records; return the revision."""
        self.revision += 1
        for write in sent.writes:
            value = write[1] if len(write) > 1 else None
            self.context.replica.apply(write[0], value, self.revision)
        return self.revision
