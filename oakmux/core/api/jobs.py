"""The job API: submit, query and cancel jobs, answered from current records."""

from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.api.answers import UNKNOWN_JOB, Answers, Refusal, RequestId
from oakmux.core.api.cancellation import Cancellation
from oakmux.core.api.current_reads import Continuation, CurrentReads
from oakmux.core.api.dependency_check import DependencyCheck
from oakmux.core.api.job_view import JobView
from oakmux.core.api.submission import Submission
from oakmux.core.context import Context
from oakmux.core.messages import CancelJob, QueryJob


class JobApi:
    """Handles users' requests; each is answered exactly once."""

    def __init__(self, context: Context, cancellation_log: CancellationLog) -> None:
        self.context = context
        self.answers = Answers(context)
        self.reads = CurrentReads(context, self.answers)
        self.cancellation = Cancellation(context, self.answers, self.reads)
        self.view = JobView(context, self.answers, self.cancellation, cancellation_log)
        self.submission = Submission(
            context,
            self.answers,
            self.reads,
            self.view,
            DependencyCheck(context, cancellation_log),
        )

    def query(self, command: QueryJob) -> None:
        """Show a job, or answer 404 if the current records do not contain it."""
        request_id, job_id = command.request, command.job_id
        self._with_current_job(
            request_id,
            job_id,
            lambda job: self.view.show_or_refuse(request_id, job, Refusal(404, UNKNOWN_JOB)),
        )

    def cancel(self, command: CancelJob) -> None:
        """Cancel a job; the answer is sent once the cancellation is recorded."""
        request_id, job_id = command.request, command.job_id
        self._with_current_job(
            request_id, job_id, lambda job: self.cancellation.cancel(request_id, job_id, job)
        )

    def _with_current_job(self, request_id: RequestId, job_id: str, resume: Continuation) -> None:
        """Show a final job at once; otherwise read its current record."""
        if self.view.show_final(request_id, job_id):
            return
        if self.reads.records_loaded(request_id):
            self.reads.read(request_id, job_id, resume)

    def flush(self) -> None:
        """Send the reads and writes collected in a step, and resume waiting requests."""
        self.reads.revision_waits.resume_due()
        self.cancellation.write_cascade()
        self.reads.send()
