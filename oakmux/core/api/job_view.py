"""Answers that show a job to a user."""

from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.api.answers import Answers, Refusal, RequestId
from oakmux.core.api.cancellation import Cancellation
from oakmux.core.context import Context
from oakmux.core.state.records import Job


class JobView:
    """Answers with the state of jobs."""

    def __init__(
        self,
        context: Context,
        answers: Answers,
        cancellation: Cancellation,
        cancellation_log: CancellationLog,
    ) -> None:
        self.context = context
        self.answers = answers
        self.cancellation = cancellation
        self.cancellation_log = cancellation_log

    def show_final(self, request_id: RequestId, job_id: str) -> bool:
        """Answer with a job's state if it is known to be final; return whether it is.

        A final state can't change, so neither current records nor the store are needed. Peers
        report only cancellations that the store holds.
        """
        job = self.context.replica.jobs.get(job_id)
        if job is not None and job.final:
            self.answers.job(request_id, job)
        elif self.cancellation_log.is_cancelled(job_id):
            self.answers.cancelled(request_id, job_id)
        else:
            return False
        return True

    def show(self, request_id: RequestId, job: Job) -> None:
        """Answer with a job's state; a cancellation by cascade is recorded before it is shown."""
        if job.id in self.context.replica.dependencies.cascade_cancelled:
            self.cancellation.cancel(request_id, job.id, job)
        else:
            self.answers.job(request_id, job)

    def show_or_refuse(self, request_id: RequestId, job: Job | None, refusal: Refusal) -> None:
        """Answer with a job's state, or with the refusal if there is no such job."""
        if job is not None:
            self.show(request_id, job)
        else:
            self.answers.refuse(request_id, refusal)
