"""Cancellation of a job and, by cascade, of all unfinished jobs that depend on it."""

import math
from typing import Any

from oakmux import constants
from oakmux.core import messages
from oakmux.core.api.answers import (
    UNKNOWN_JOB,
    WRITE_UNCONFIRMED,
    Answers,
    Refusal,
    RequestId,
)
from oakmux.core.api.current_reads import CurrentReads
from oakmux.core.api.revision_waits import CONFLICT
from oakmux.core.context import Context
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import job_key
from oakmux.core.state.records import Job
from oakmux.core.state.transaction_limits import REFUSED, TransactionLimits
from oakmux.core.state.transactions import Put, Transaction
from oakmux.logs import event


class Cancellation:
    """Records cancellations: the requested one before the answer, its cascade soon afterwards."""

    def __init__(self, context: Context, answers: Answers, reads: CurrentReads) -> None:
        self.context = context
        self.answers = answers
        self.reads = reads
        # When to write the cancellation of a job whose dependency was cancelled.
        self.cascade_due: dict[str, float] = {}
        self.cascade_in_flight = False
        self.limits = TransactionLimits(context.facts.store.strictest, lambda: context.now)

    def cancel(self, request_id: RequestId, job_id: str, job: Job | None) -> None:
        """Record that a job is cancelled, then answer; `job` is its current record."""
        if job is None:
            self.answers.refuse(request_id, Refusal(404, UNKNOWN_JOB))
            return
        if job.final:
            self.answers.job(request_id, job)
            return
        context = self.context
        value = _cancelled_value(job)

        def on_answer(status: int, result: Any) -> None:
            if status == 200:
                context.replica.apply(job_key(job_id), value, result[0])
                event("job_cancelled", job=job_id)
                self._make_cascade_due()
                self.answers.cancelled(request_id, job_id)
            elif status == CONFLICT:
                self.reads.fetch(
                    request_id, job_id, lambda job: self.cancel(request_id, job_id, job)
                )
            else:
                self.answers.unavailable(request_id, WRITE_UNCONFIRMED)

        context.call(
            on_answer,
            messages.Transaction,
            [(job_key(job_id), job.mod_revision)],
            [(job_key(job_id), value, None)],
            0,
        )

    def _make_cascade_due(self) -> None:
        """Make the whole cascade due at once: this controller recorded the first cancellation."""
        for job_id in self.context.replica.dependencies.cascade_cancelled:
            due = self.cascade_due.get(job_id, math.inf)
            self.cascade_due[job_id] = min(self.context.now, due)

    def write_cascade(self) -> None:
        """Record the cancellations of a cascade, many in one transaction.

        Users see them as cancelled in any case. If the controller that recorded the first
        cancellation fails to write the cascade, the controllers that schedule the jobs write it
        CASCADE_RETRY_S later.
        """
        if not (self.context.replica.dependencies.cascade_cancelled or self.cascade_due):
            return
        due = self._due_jobs()
        if not due or self.cascade_in_flight:
            return
        transaction = self._cascade_transaction(due)
        if not transaction.writes or not self.limits.may_send(transaction):
            return
        self.cascade_in_flight = True
        self.context.call(
            lambda status, result: self._on_cascade_written(transaction, status, result),
            messages.Transaction,
            list(transaction.conditions.items()),
            transaction.writes,
            1,
        )

    def _cascade_transaction(self, due: list[str]) -> Transaction:
        """Return the cancellations of the due jobs, as many as fit into one transaction."""
        transaction = Transaction()
        for job_id in due:
            job = self.context.replica.jobs[job_id]
            cancellation = Transaction()
            cancellation.require(job_key(job_id), job.mod_revision)
            cancellation.add_write(Put(job_key(job_id), _cancelled_value(job)))
            if not self.limits.allow(transaction.size_with(cancellation)):
                break
            self.cascade_due[job_id] = self.context.now + constants.CASCADE_RETRY_S
            if not self.limits.was_refused(cancellation):
                transaction.merge(cancellation)
        return transaction

    def _due_jobs(self) -> list[str]:
        """Update the due times; return the jobs whose cancellation is due."""
        context = self.context
        cascade = context.replica.dependencies.cascade_cancelled
        for job_id in cascade:
            if context.replica.jobs[job_id].team in context.held_roles:
                self.cascade_due.setdefault(job_id, context.now + constants.CASCADE_RETRY_S)
        for job_id in [job_id for job_id in self.cascade_due if job_id not in cascade]:
            del self.cascade_due[job_id]
        return [job_id for job_id, at in self.cascade_due.items() if at <= context.now]

    def _on_cascade_written(self, transaction: Transaction, status: int, result: Any) -> None:
        self.cascade_in_flight = False
        if status == REFUSED:
            self.limits.note_refused(transaction)
        if status != 200:
            return  # the watch delivers the changes, or the jobs become due again
        for write in transaction.writes:
            value = write.value if isinstance(write, Put) else None
            self.context.replica.apply(write.key, value, result[0])
            event("job_cancelled", job=write.key.rpartition("/")[2], why="dependency_cancelled")


def _cancelled_value(job: Job) -> list[Any]:
    return encode_job("cancelled", job.team, job.spec, job.submitted_ms, job.tasks)
