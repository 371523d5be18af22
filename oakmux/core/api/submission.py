"""Job submission: validation, then a compare-and-swap, so that each id is accepted once."""

from typing import Any

from oakmux import constants
from oakmux.core import messages
from oakmux.core.api.answers import (
    DEPENDENCIES_UNSUPPORTED,
    TYPES_UNKNOWN,
    WRITE_UNCONFIRMED,
    Answers,
    Refusal,
    RequestId,
)
from oakmux.core.api.current_reads import CurrentReads
from oakmux.core.api.dependency_check import DependencyCheck
from oakmux.core.api.job_view import JobView
from oakmux.core.api.revision_waits import CONFLICT
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling import quotas
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.formats import FORMAT_COMPACT, value_bytes, value_limit
from oakmux.core.state.keys import job_key
from oakmux.core.state.records import Job, JobState
from oakmux.core.state.transaction_limits import REFUSED
from oakmux.core.state.transactions import as_transaction
from oakmux.logs import event


class Submission:
    """Handles submitted jobs."""

    def __init__(
        self,
        context: Context,
        answers: Answers,
        reads: CurrentReads,
        view: JobView,
        dependencies: DependencyCheck,
    ) -> None:
        self.context = context
        self.answers = answers
        self.reads = reads
        self.view = view
        self.dependencies = dependencies
        self.max_value_bytes = value_limit(context.facts.store.strictest)

    def submit(self, command: messages.SubmitJob) -> None:
        """Accept a job, or show the existing job with its id."""
        request_id, job_id, spec = command.request, command.job_id, command.spec
        if self.view.show_final(request_id, job_id) or not self.reads.records_loaded(request_id):
            return
        if job_id in self.context.replica.jobs or spec is None:
            self._show_current_or_refuse(request_id, job_id, Refusal(400, command.malformed))
        elif not self.context.types:
            self.answers.unavailable(request_id, TYPES_UNKNOWN)
        else:
            self._submit_new(request_id, job_id, spec)

    def _show_current_or_refuse(
        self, request_id: RequestId, job_id: str, refusal: Refusal
    ) -> None:
        self.reads.read(
            request_id, job_id, lambda job: self.view.show_or_refuse(request_id, job, refusal)
        )

    def _submit_new(self, request_id: RequestId, job_id: str, spec: JobSpec) -> None:
        """Accept a job that is not in the replica."""
        refusal = self._refusal(job_id, spec)
        if refusal is not None:
            self._show_current_or_refuse(request_id, job_id, refusal)
        elif spec.waits_on and self.context.replica.format < FORMAT_COMPACT:
            self.answers.unavailable(request_id, DEPENDENCIES_UNSUPPORTED)
        elif self.dependencies.unknown(spec):
            # A peer may have just accepted them; only current records show that.
            self.reads.read(
                request_id,
                job_id,
                lambda job: self._submit_current(request_id, job_id, spec, job),
            )
        else:
            self._create(request_id, job_id, spec)

    def _submit_current(
        self, request_id: RequestId, job_id: str, spec: JobSpec, job: Job | None
    ) -> None:
        """Accept a job with dependencies, now that the records are current."""
        unknown = self.dependencies.unknown(spec)
        invalid = self.dependencies.invalid_reason(job_id, spec)
        if job is not None:
            self.view.show(request_id, job)
        elif unknown or invalid:
            reason = invalid or f"waits_on: {unknown[0]} was never accepted"
            self.answers.refuse(request_id, Refusal(422, reason))
        else:
            self._create(request_id, job_id, spec)

    def _refusal(self, job_id: str, spec: JobSpec) -> Refusal | None:
        """Return why a job can't be accepted, or None.

        That it can never run (422) is final for its user, so it is not said by a recorded
        catalogue, which may be behind the cloud's.
        """
        reason = (
            quotas.disallowed_reason(self.context, spec)
            or self.dependencies.invalid_reason(job_id, spec)
            or self._oversized(spec)
            or self._reserved_id(job_id)
        )
        if reason is not None:
            return Refusal(422, reason)
        reason = quotas.unplaceable_reason(self.context, spec)
        if reason is None:
            return None
        return Refusal(422, reason) if self.context.types_current else Refusal(503, TYPES_UNKNOWN)

    def _oversized(self, spec: JobSpec) -> str | None:
        value = encode_job("queued", spec.team, spec, self.context.wall_clock_ms, spec.tasks)
        size = value_bytes(value)
        if size <= self.max_value_bytes:
            return None
        return f"description of {size} bytes: a record holds {self.max_value_bytes}"

    def _reserved_id(self, job_id: str) -> str | None:
        """Return why an id is reserved for the jobs of schedules, or None.

        All ids of schedules have 18 digits. Shorter ids with the same prefix are not reserved.
        A job with a reserved id that a user submitted before the reservation is still shown.
        """
        prefix = self.context.reserved_job_prefix
        if prefix and job_id.startswith(prefix) and len(job_id) == constants.RESERVED_ID_CHARS:
            return f"id: {prefix}... of 18 digits is kept for schedules"
        return None

    def _create(self, request_id: RequestId, job_id: str, spec: JobSpec) -> None:
        """Write the job's record if it does not exist yet.

        A job that depends on a cancelled one is accepted and cancelled at once. The replica may
        not show the cancellation yet, so the write of any other job depends on the records of its
        unfinished dependencies. If one transaction can't hold so many conditions, the job is
        shown only once the replica has all changes up to the write.
        """
        unfinished = self.dependencies.unfinished(spec)
        cancelled = self.dependencies.any_cancelled(spec, unfinished)
        state: JobState = "cancelled" if cancelled else "queued"
        conditions = [(job_key(job_id), 0)]
        guarded = cancelled or len(unfinished) < self.reads.max_conditions
        if guarded and not cancelled:
            conditions += self.dependencies.conditions(unfinished)
        value = encode_job(state, spec.team, spec, self.context.wall_clock_ms, spec.tasks)
        writes = [(job_key(job_id), value, None)]

        def on_answer(status: int, result: Any) -> None:
            if status == 200:
                self.context.replica.apply(job_key(job_id), value, result[0])
                self._log_accepted(job_id, spec, state, result[0])
                self._answer_accepted(request_id, job_id, None if guarded else result[0])
            elif status == CONFLICT:
                self._on_conflict(request_id, job_id, spec, *result)
            else:
                if status == REFUSED and len(conditions) > 1:
                    self.reads.limits.note_refused(as_transaction(conditions, writes))
                self.answers.unavailable(request_id, WRITE_UNCONFIRMED)

        self.context.call(on_answer, messages.Transaction, conditions, writes, 0)

    def _answer_accepted(self, request_id: RequestId, job_id: str, revision: int | None) -> None:
        """Answer that a new job was recorded, once the replica has a revision if one is given."""
        if revision is not None:
            self.reads.read_at(
                revision,
                request_id,
                job_id,
                lambda _: self._answer_accepted(request_id, job_id, None),
            )
            return
        job = self.context.replica.jobs[job_id]
        if job_id in self.context.replica.dependencies.cascade_cancelled:
            self.view.show(request_id, job)
        else:
            self.answers.accepted(request_id, job_id, job.state)

    def _on_conflict(
        self,
        request_id: RequestId,
        job_id: str,
        spec: JobSpec,
        revision: int,
        failed_keys: list[str],
    ) -> None:
        """Decide anew with the records of `revision`: the job exists, or a dependency changed."""
        if job_key(job_id) in failed_keys:
            self.reads.refresh(
                revision,
                request_id,
                job_id,
                lambda job: self.view.show_or_refuse(request_id, job, Refusal(503, "")),
            )
            return
        event(
            "dependencies_changed",
            job=job_id,
            keys=",".join(failed_keys),
            revision=revision,
            known_revision=self.context.replica.revision,
        )
        self.reads.read_at(
            revision,
            request_id,
            job_id,
            lambda job: self._submit_current(request_id, job_id, spec, job),
        )

    def _log_accepted(self, job_id: str, spec: JobSpec, state: str, revision: int) -> None:
        """Log an accepted job, with the known types and the zone that it is restricted to.

        With dependencies, the log also shows how far the records were known.
        """
        restrictions: dict[str, Any] = {}
        if spec.types is not None:
            known_types = (name for name in spec.types if name in self.context.types)
            restrictions["types"] = ",".join(known_types)
        if spec.zone is not None:
            restrictions["zone"] = spec.zone
        if spec.waits_on:
            restrictions["waits_on"] = ",".join(spec.waits_on)
            restrictions["revision"] = revision
            restrictions["known_revision"] = self.context.replica.revision
        event(
            "job_accepted",
            job=job_id,
            job_class=spec.job_class,
            team=spec.team,
            kind=spec.kind,
            tasks=spec.tasks,
            gpus=spec.gpus,
            priority=spec.priority,
            state=state,
            **restrictions,
        )
