"""Answers to users' requests, and the texts of refusals, which are part of the HTTP interface."""

from typing import Any, NamedTuple

from oakmux.core.context import Context
from oakmux.core.state.records import Job
from oakmux.task_status import RUNNING

RequestId = Any
"""Identifies a user's request to the transport; opaque to the core."""

# Texts of answers with status 503, after which the user should retry.
RECORDS_NOT_LOADED = "starting"
TOO_MANY_REQUESTS = "busy"
TYPES_UNKNOWN = "machine types are not known yet"
RECORDS_NOT_CURRENT = "no current records"
WRITE_UNCONFIRMED = "not known to be written"
DEPENDENCIES_UNSUPPORTED = "an upgrade is under way: waits_on can't be recorded yet"

UNKNOWN_JOB = "unknown job"
"""Text of the answer with status 404."""


class Refusal(NamedTuple):
    """The answer to a request that is refused: an HTTP status and a text for the user."""

    status: int
    reason: str


class Answers:
    """Sends answers to users."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def refuse(self, request_id: RequestId, refusal: Refusal) -> None:
        """Answer that a request is refused."""
        self.context.answer(request_id, refusal.status, ("error", refusal.reason))

    def unavailable(self, request_id: RequestId, reason: str) -> None:
        """Answer that the request can't be served now and should be retried."""
        self.refuse(request_id, Refusal(503, reason))

    def accepted(self, request_id: RequestId, job_id: str, state: str) -> None:
        """Answer that a new job was recorded."""
        self.context.answer(request_id, 201, ("job", job_id, state, 0, 0))

    def cancelled(self, request_id: RequestId, job_id: str) -> None:
        """Answer that a cancellation was recorded."""
        self.context.answer(request_id, 200, ("job", job_id, "cancelled", 0, 0))

    def job(self, request_id: RequestId, job: Job) -> None:
        """Answer with a job's state and the counts of its completed and running tasks."""
        running = 0 if job.final else self._count_running(job)
        state = RUNNING if running else job.state
        unmet = [sorted(job.unmet_dependencies)] if job.unmet_dependencies else []
        self.context.answer(
            request_id, 200, ("job", job.id, state, job.done_count(), running, *unmet)
        )

    def _count_running(self, job: Job) -> int:
        """Count the bound tasks that their machines report as running."""
        machines = self.context.machines
        running = 0
        for block in job.blocks.values():
            for index, binding in block.bindings.items():
                machine = machines.get(binding.machine)
                task = (f"{job.id}/{index}", binding.attempt)
                if machine is not None and machine.tasks.get(task, ("",))[0] == RUNNING:
                    running += 1
        return running
