"""Reads of jobs that reflect all changes made before the request arrived.

The replica may lag behind the store. A read therefore compares the replica's mod revisions with
the store's, for many jobs in one transaction.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core import messages
from oakmux.core.api.answers import (
    RECORDS_NOT_CURRENT,
    RECORDS_NOT_LOADED,
    TOO_MANY_REQUESTS,
    Answers,
    RequestId,
)
from oakmux.core.api.revision_waits import CONFLICT, RevisionWaits
from oakmux.core.context import Context
from oakmux.core.state.keys import job_key
from oakmux.core.state.records import Job
from oakmux.core.state.transaction_limits import REFUSED, TransactionLimits, max_conditions
from oakmux.core.state.transactions import as_transaction

Continuation = Callable[[Job | None], None]
"""Called with the current job, or None if there is no such job."""


class _Read(NamedTuple):
    """A request that needs the current record of a job."""

    request_id: RequestId
    job_id: str
    resume: Continuation


class CurrentReads:
    """Batches reads into few transactions, whose results resume the requests."""

    def __init__(self, context: Context, answers: Answers) -> None:
        self.context = context
        self.answers = answers
        self.queued: list[_Read] = []
        self.in_flight = 0
        self.revision_waits = RevisionWaits(context, answers)
        strictest = context.facts.store.strictest
        self.limits = TransactionLimits(strictest, lambda: context.now)
        self.most_jobs = max_conditions(strictest)

    @property
    def max_conditions(self) -> int:
        """The number of jobs that one transaction may compare."""
        return min(self.most_jobs, self.limits.current.conditions)

    def records_loaded(self, request_id: RequestId) -> bool:
        """Whether records are loaded; if not, answers that the user should retry."""
        replica = self.context.replica
        if replica.loaded and not replica.unknown_format:
            return True
        self.answers.unavailable(request_id, RECORDS_NOT_LOADED)
        return False

    def read(self, request_id: RequestId, job_id: str, resume: Continuation) -> None:
        """Call `resume` with the current job, or refuse the request if the read fails."""
        if len(self.queued) >= constants.MAX_WAITING_REQUESTS:
            self.answers.unavailable(request_id, TOO_MANY_REQUESTS)
        else:
            self.queued.append(_Read(request_id, job_id, resume))

    def fetch(self, request_id: RequestId, job_id: str, resume: Continuation) -> None:
        """Fetch a record that is missing or outdated in the replica."""

        def on_answer(status: int, result: Any) -> None:
            if status == 200:
                self.context.replica.apply(job_key(job_id), *result)
                resume(self.context.replica.jobs.get(job_id))
            else:
                # Even 404 does not mean that the job is unknown: records of jobs are never
                # deleted, and the failed comparison showed that this one exists.
                self.answers.unavailable(request_id, RECORDS_NOT_CURRENT)

        self.context.call(on_answer, messages.ReadKey, job_key(job_id), 0)

    def read_at(
        self, revision: int, request_id: RequestId, job_id: str, resume: Continuation
    ) -> None:
        """Call `resume` once the replica has all changes up to a revision, or refuse."""
        self._resume_at_revision(revision, _Read(request_id, job_id, resume))

    def refresh(
        self, revision: int, request_id: RequestId, job_id: str, resume: Continuation
    ) -> None:
        """Call `resume` with a job whose record has changed by `revision`, or refuse."""
        self._fetch_and_resume(revision, _Read(request_id, job_id, resume))

    def send(self) -> None:
        """Send the queued reads, with at most READS_IN_FLIGHT transactions in flight."""
        if len(self.queued) > self.max_conditions and self.in_flight < constants.READS_IN_FLIGHT:
            self._send_revision_query()
        while self.queued and self.in_flight < constants.READS_IN_FLIGHT:
            self._send_comparison()

    def _send_revision_query(self) -> None:
        """Query only the store's revision, for all queued reads.

        There are more jobs than one transaction can compare. Once the watch has delivered all
        changes up to the revision, the replica can serve any number of reads, so the load on the
        store does not grow with the rate of queries.
        """
        batch, self.queued = self.queued, []
        self._compare(
            [batch[0].job_id], lambda status, result: self._on_revision(batch, status, result)
        )

    def _send_comparison(self) -> None:
        size = self.max_conditions
        batch, self.queued = self.queued[:size], self.queued[size:]
        self._compare(
            dict.fromkeys(read.job_id for read in batch),
            lambda status, result: self._on_comparison(batch, status, result),
        )

    def _compare(self, job_ids: Iterable[str], on_answer: Callable[[int, Any], None]) -> None:
        """Send a transaction that compares the mod revisions of jobs and writes nothing."""
        jobs = self.context.replica.jobs
        conditions = []
        for job_id in job_ids:
            job = jobs.get(job_id)
            conditions.append((job_key(job_id), 0 if job is None else job.mod_revision))
        self.in_flight += 1
        self.context.call(on_answer, messages.Transaction, conditions, [], 0)

    def _on_comparison(self, batch: list[_Read], status: int, result: Any) -> None:
        self.in_flight -= 1
        if status == REFUSED:
            conditions = ((job_key(read.job_id), 0) for read in batch)
            self.limits.note_refused(as_transaction(conditions, ()))
        failed = set(result[1]) if status == CONFLICT else set()
        for read in batch:
            if status not in (200, CONFLICT):
                self.answers.unavailable(read.request_id, RECORDS_NOT_CURRENT)
            elif job_key(read.job_id) in failed:
                self._fetch_and_resume(result[0], read)
            else:
                self._resume_current(result[0], read)

    def _fetch_and_resume(self, revision: int, read: _Read) -> None:
        self.fetch(read.request_id, read.job_id, lambda _job: self._resume_current(revision, read))

    def _on_revision(self, batch: list[_Read], status: int, result: Any) -> None:
        self.in_flight -= 1
        for read in batch:
            if status in (200, CONFLICT):
                self._resume_at_revision(result[0], read)
            else:
                self.answers.unavailable(read.request_id, RECORDS_NOT_CURRENT)

    def _resume_current(self, revision: int, read: _Read) -> None:
        """Resume a read whose job's own record is current.

        If the answer also depends on the records of other jobs, the read waits for all changes up
        to the revision. The job may be cancelled because of an indirect dependency (rules
        `orphaned` and `went_back`), and a peer may have accepted a job id that is unknown here.
        """
        job = self.context.replica.jobs.get(read.job_id)
        if job is not None and (job.ready or job.final):
            read.resume(job)
        else:
            self._resume_at_revision(revision, read)

    def _resume_at_revision(self, revision: int, read: _Read) -> None:
        """Resume a read once the watch has delivered all changes up to a revision."""
        self.revision_waits.add(
            revision,
            read.request_id,
            lambda: read.resume(self.context.replica.jobs.get(read.job_id)),
        )
