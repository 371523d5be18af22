"""Users' requests: accept, show and cancel jobs, always from current records."""

import math
from collections.abc import Callable
from typing import Any

from oakmux import constants
from oakmux.core.context import Context, event
from oakmux.core.scheduling import quotas
from oakmux.core.state.records import (
    FORMAT_COMPACT,
    Job,
    job_key,
    job_value,
    value_bytes,
    value_limit,
)
from oakmux.wire import JobSpec

Then = Callable[[Job | None], None]


class JobApi:
    """Answers users. A read is current: it compares versions after the request arrived."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.waiting: list[tuple[Any, str, Then]] = []
        self.reading = 0
        # Reads that have to see all changes up to a revision: (revision, until, request, ...).
        self.behind: list[tuple[int, float, Any, str, Then]] = []
        # When to write that a job is cancelled with one that it needs.
        self.cascade_at: dict[str, float] = {}
        self.writing_cascade = False
        limits = context.facts.state.least
        self.most_writes, self.most_guards = limits.txn_ops, 4 * limits.txn_ops
        self.most_bytes = value_limit(limits)

    def unavailable(self, rid: Any, why: str) -> None:
        """Tell a user to come back."""
        self.context.emit("answer", rid, 503, ("error", why))

    def submit(self, rid: Any, job_id: str, spec: JobSpec | None, reason: str) -> None:
        """Accept a job, once."""
        if not self.readable(rid):
            return
        job = self.context.replica.jobs.get(job_id)
        if job is not None and job.final:
            self._show(rid, job)
        elif job is not None or spec is None:
            self._read(rid, job_id, lambda now: self._known(rid, now, reason))
        elif not self.context.types:
            self.unavailable(rid, "machine types are not known yet")
        else:
            never = (
                quotas.infeasible_reason(self.context, spec)
                or self._wrong_needs(job_id, spec)
                or self._too_large(spec)
                or self._reserved(job_id)
            )
            if never is not None:
                self._read(rid, job_id, lambda now: self._known(rid, now, never, 422))
            elif spec.waits_on and self.context.replica.format < FORMAT_COMPACT:
                self.unavailable(rid, "an upgrade is under way: waits_on can't be recorded yet")
            elif self._unknown_needs(spec):
                # Accepted elsewhere a moment ago, or never: only current records tell.
                self._read(rid, job_id, lambda now: self._named(rid, job_id, spec, now))
            else:
                self._create(rid, job_id, spec)

    def readable(self, rid: Any) -> bool:
        """Whether we have records to answer from; tells the user to come back if not."""
        replica = self.context.replica
        if not replica.loaded or replica.unknown_format:
            self.unavailable(rid, "starting")
            return False
        return True

    def _wrong_needs(self, job_id: str, spec: JobSpec) -> str | None:
        """Return why a job can't wait on those that it names, as far as that never changes."""
        if job_id in spec.waits_on:
            return "waits_on: the job itself"
        jobs = self.context.replica.jobs
        for name in spec.waits_on:
            if name in jobs and jobs[name].service:
                return f"waits_on: {name} is a service"
        return None

    def _reserved(self, job_id: str) -> str | None:
        """Return why no user can have a job of this id: turns of schedules make theirs there.

        Of 18 digits, all that they make: whoever had such a job before is still told its state.
        """
        reserved = self.context.reserved
        if reserved and job_id.startswith(reserved) and len(job_id) == constants.RESERVED_TEXT:
            return f"id: {reserved}... of 18 digits is kept for schedules"
        return None

    def _too_large(self, spec: JobSpec) -> str | None:
        size = value_bytes(job_value("queued", spec.team, spec, self._order(), spec.tasks))
        if size <= self.most_bytes:
            return None
        return f"description of {size} bytes: a record holds {self.most_bytes}"

    def _unknown_needs(self, spec: JobSpec) -> list[str]:
        return [name for name in spec.waits_on if name not in self.context.replica.jobs]

    def _named(self, rid: Any, job_id: str, spec: JobSpec, job: Job | None) -> None:
        """Go on with a submission: the records are now current."""
        unknown = self._unknown_needs(spec)
        never = self._wrong_needs(job_id, spec)
        if job is not None:
            self._show(rid, job)
        elif unknown or never:
            self.context.emit(
                "answer",
                rid,
                422,
                ("error", never or f"waits_on: {unknown[0]} was never accepted"),
            )
        else:
            self._create(rid, job_id, spec)

    def _order(self) -> int:
        return self.context.wall + int(self.context.now * 1000)

    def _known(self, rid: Any, job: Job | None, reason: str, status: int = 400) -> None:
        if job is not None:
            self._show(rid, job)
        else:
            self.context.emit("answer", rid, status, ("error", reason))

    def _create(self, rid: Any, job_id: str, spec: JobSpec) -> None:
        context = self.context
        # A job that needs a cancelled one is accepted, and cancelled with it.
        cascaded = any(
            context.replica.jobs[name].state == "cancelled"
            or name in context.replica.cascade_cancelled
            for name in spec.waits_on
        )
        state = "cancelled" if cascaded else "queued"
        value = job_value(state, spec.team, spec, self._order(), spec.tasks)

        def done(status: int, result: Any) -> None:
            if status == 200:
                context.replica.apply(job_key(job_id), value, result[0])
                event(
                    "accepted",
                    job=job_id,
                    lane=spec.lane,
                    team=spec.team,
                    kind=spec.kind,
                    tasks=spec.tasks,
                    gpus=spec.gpus,
                    priority=spec.priority,
                    state=state,
                    **({"waits_on": ",".join(spec.waits_on)} if spec.waits_on else {}),
                )
                context.emit("answer", rid, 201, ("job", job_id, state, 0, 0))
            elif status == 409:
                self._get(rid, job_id, lambda job: self._known(rid, job, "", 503))
            else:
                self.unavailable(rid, "not known to be written")

        context.call(done, "txn", [(job_key(job_id), 0)], [(job_key(job_id), value, None)], 0)

    def query(self, rid: Any, job_id: str) -> None:
        """Show a job, or 404 from a current read."""
        self._final_or_read(rid, job_id, lambda job: self._known(rid, job, "unknown job", 404))

    def cancel(self, rid: Any, job_id: str) -> None:
        """Cancel a job: written first, then answered."""
        self._final_or_read(rid, job_id, lambda job: self._cancel(rid, job_id, job))

    def _final_or_read(self, rid: Any, job_id: str, then: Then) -> None:
        job = self.context.replica.jobs.get(job_id)
        if job is not None and job.final:
            self._show(rid, job)
        elif self.readable(rid):
            self._read(rid, job_id, then)

    def _cancel(self, rid: Any, job_id: str, job: Job | None) -> None:
        context = self.context
        if job is None or job.final:
            self._known(rid, job, "unknown job", 404)
            return
        value = job_value("cancelled", job.team, job.spec, job.order, job.tasks)

        def done(status: int, result: Any) -> None:
            if status == 200:
                context.replica.apply(job_key(job_id), value, result[0])
                event("cancelled", job=job_id)
                self._cascade_now()
                context.emit("answer", rid, 200, ("job", job_id, "cancelled", 0, 0))
            elif status == 409:
                self._get(rid, job_id, lambda now: self._cancel(rid, job_id, now))
            else:
                self.unavailable(rid, "not known to be written")

        context.call(
            done, "txn", [(job_key(job_id), job.mod_revision)], [(job_key(job_id), value, None)], 0
        )

    def _cascade_now(self) -> None:
        """We cancelled a job: write at once that those are cancelled that need it."""
        for name in self.context.replica.cascade_cancelled:
            self.cascade_at[name] = min(self.context.now, self.cascade_at.get(name, math.inf))

    def _write_cascade(self) -> None:
        """Write down that jobs are cancelled with one that they need, many to a transaction.

        Whoever asks is told so anyway; the owner's controller sees to it if the one that took
        the cancellation did not.
        """
        context = self.context
        cascaded = context.replica.cascade_cancelled
        for name in cascaded:
            if context.replica.jobs[name].team in context.held_roles:
                self.cascade_at.setdefault(name, context.now + constants.CASCADE_S)
        for name in [name for name in self.cascade_at if name not in cascaded]:
            del self.cascade_at[name]
        due = [name for name, at in self.cascade_at.items() if at <= context.now][
            : self.most_writes
        ]
        if not due or self.writing_cascade:
            return
        self.writing_cascade = True
        guards, writes = [], []
        for name in due:
            job = context.replica.jobs[name]
            self.cascade_at[name] = context.now + constants.CASCADE_S
            guards.append((job_key(name), job.mod_revision))
            writes.append(
                (
                    job_key(name),
                    job_value("cancelled", job.team, job.spec, job.order, job.tasks),
                    None,
                )
            )
        context.call(lambda s, r: self._cascade_written(writes, s, r), "txn", guards, writes, 1)

    def _cascade_written(self, writes: list[tuple], status: int, result: Any) -> None:
        self.writing_cascade = False
        if status == 200:  # else the watch brings what changed, or we try again
            for key, value, _ in writes:
                self.context.replica.apply(key, value, result[0])
                event("cancelled", job=key.rpartition("/")[2], why="needs_cancelled")

    def _show(self, rid: Any, job: Job) -> None:
        if job.id in self.context.replica.cascade_cancelled:
            self._cancel(rid, job.id, job)  # written before it is said
            return
        running = 0
        if not job.final:
            for block in job.blocks.values():
                for index, binding in block.bound.items():
                    machine = self.context.machines.get(binding.machine)
                    task = (f"{job.id}/{index}", binding.attempt)
                    if machine is not None and machine.tasks.get(task, ("",))[0] == "running":
                        running += 1
        state = "running" if running else job.state
        waits_on = [sorted(job.unmet_dependencies)] if job.unmet_dependencies else []
        self.context.emit(
            "answer", rid, 200, ("job", job.id, state, job.done_count(), running, *waits_on)
        )

    def _read(self, rid: Any, job_id: str, then: Then) -> None:
        if len(self.waiting) >= constants.MAX_WAITING:
            self.unavailable(rid, "busy")
        else:
            self.waiting.append((rid, job_id, then))

    def flush(self) -> None:
        """Check the versions that we know of all waiting jobs in one transaction."""
        context = self.context
        if self.behind:
            self._catch_up()
        if context.replica.cascade_cancelled or self.cascade_at:
            self._write_cascade()
        if len(self.waiting) > self.most_guards and self.reading < constants.READS_IN_FLIGHT:
            # More than one transaction can compare: one that only brings the service's revision
            # serves any number of them, once the watch has brought all changes up to it. So what
            # polls cost the service does not follow their rate.
            batch, self.waiting = self.waiting, []
            self.reading += 1
            job_id = batch[0][1]
            job = context.replica.jobs.get(job_id)
            context.call(
                lambda s, r: self._revision(batch, s, r),
                "txn",
                [(job_key(job_id), job.mod_revision if job is not None else 0)],
                [],
                0,
            )
        while self.waiting and self.reading < constants.READS_IN_FLIGHT:
            most = self.most_guards
            batch, self.waiting = self.waiting[:most], self.waiting[most:]
            known = {}
            for _, job_id, _ in batch:
                job = context.replica.jobs.get(job_id)
                known[job_id] = job.mod_revision if job is not None else 0
            self.reading += 1
            context.call(
                lambda s, r, batch=batch: self._compared(batch, s, r),
                "txn",
                [(job_key(job_id), mod_revision) for job_id, mod_revision in known.items()],
                [],
                0,
            )

    def _compared(self, batch: list, status: int, result: Any) -> None:
        self.reading -= 1
        failed = set(result[1]) if status == 409 else set()
        for rid, job_id, then in batch:
            if status not in (200, 409):
                self.unavailable(rid, "no current records")
            elif job_key(job_id) in failed:
                self._get(rid, job_id, self._after_get(result[0], rid, job_id, then))
            else:
                self._settled(result[0], rid, job_id, then)

    def _revision(self, batch: list, status: int, result: Any) -> None:
        """Answer requests once we have all changes up to the revision that was told."""
        self.reading -= 1
        for rid, job_id, then in batch:
            if status not in (200, 409):
                self.unavailable(rid, "no current records")
            else:
                self._once_reached(result[0], rid, job_id, then)

    def _after_get(self, revision: int, rid: Any, job_id: str, then: Then) -> Then:
        return lambda _: self._settled(revision, rid, job_id, then)

    def _settled(self, revision: int, rid: Any, job_id: str, then: Then) -> None:
        """A job's own record is current. What depends on other jobs' records is said only once
        we have all changes up to that revision: a job may be cancelled with one far before it
        (R orphaned, went_back), a name unknown here may have been accepted elsewhere."""
        job = self.context.replica.jobs.get(job_id)
        if job is not None and (job.ready or job.final):
            then(job)
        else:
            self._once_reached(revision, rid, job_id, then)

    def _once_reached(self, revision: int, rid: Any, job_id: str, then: Then) -> None:
        """Go on with a read once the watch has brought all changes up to a revision."""
        if self.context.replica.revision >= revision:
            then(self.context.replica.jobs.get(job_id))
        elif len(self.behind) >= constants.MAX_WAITING:
            self.unavailable(rid, "busy")
        else:
            self.behind.append(
                (revision, self.context.now + constants.STATE_TIMEOUT_S, rid, job_id, then)
            )

    def _catch_up(self) -> None:
        """Go on with reads whose revision the watch has reached."""
        context = self.context
        waiting, self.behind = self.behind, []
        for row in waiting:
            revision, until, rid, job_id, then = row
            if context.replica.revision >= revision:
                then(context.replica.jobs.get(job_id))
            elif context.now > until:
                self.unavailable(rid, "no current records")
            else:
                self.behind.append(row)

    def _get(self, rid: Any, job_id: str, then: Then) -> None:
        def done(status: int, result: Any) -> None:
            if status == 200:
                self.context.replica.apply(job_key(job_id), *result)
                then(self.context.replica.jobs.get(job_id))
            else:  # a job's record is never deleted, so 404 can't be after a failed compare
                self.unavailable(rid, "no current records")

        self.context.call(done, "get", job_key(job_id), 0)
