"""Users' requests: accept, show and cancel jobs, always from current records."""

from collections.abc import Callable
from typing import Any

from oakmux import constants
from oakmux.core import teams
from oakmux.core.jobs import Job, job_key, job_value
from oakmux.core.machines import Keeper
from oakmux.core.world import World, event
from oakmux.wire import JobSpec

Then = Callable[[Job | None], None]


class Desk:
    """Answers users. A read is current: it compares versions after the request arrived."""

    def __init__(self, world: World, keeper: Keeper) -> None:
        self.world = world
        self.keeper = keeper
        self.waiting: list[tuple[Any, str, Then]] = []
        self.reading = 0

    def unavailable(self, rid: Any, why: str) -> None:
        """Tell a user to come back."""
        self.world.emit("answer", rid, 503, ("error", why))

    def submit(self, rid: Any, job_id: str, spec: JobSpec | None, reason: str) -> None:
        """Accept a job, once."""
        if not self.world.replica.loaded:
            self.unavailable(rid, "starting")
            return
        job = self.world.replica.jobs.get(job_id)
        if job is not None and job.final:
            self._show(rid, job)
        elif job is not None or spec is None:
            self._read(rid, job_id, lambda now: self._known(rid, now, reason))
        elif not self.world.types:
            self.unavailable(rid, "machine types are not known yet")
        else:
            never = teams.never_fits(self.world, spec)
            if never is not None:
                self._read(rid, job_id, lambda now: self._known(rid, now, never, 422))
            else:
                self._create(rid, job_id, spec)

    def _known(self, rid: Any, job: Job | None, reason: str, status: int = 400) -> None:
        if job is not None:
            self._show(rid, job)
        else:
            self.world.emit("answer", rid, status, ("error", reason))

    def _create(self, rid: Any, job_id: str, spec: JobSpec) -> None:
        world = self.world
        order = world.wall + int(world.now * 1000)
        value = job_value("queued", spec.team, spec, order, spec.tasks)

        def done(status: int, result: Any) -> None:
            if status == 200:
                world.replica.apply(job_key(job_id), value, result[0])
                event("accepted", job=job_id, lane=spec.lane, team=spec.team, kind=spec.kind,
                      tasks=spec.tasks)
                world.emit("answer", rid, 201, ("job", job_id, "queued", 0, 0))
            elif status == 409:
                self._get(rid, job_id, lambda job: self._known(rid, job, "", 503))
            else:
                self.unavailable(rid, "not known to be written")

        world.call(done, "txn", [(job_key(job_id), 0)], [(job_key(job_id), value, None)], 0)

    def query(self, rid: Any, job_id: str) -> None:
        """Show a job, or 404 from a current read."""
        self._final_or_read(rid, job_id, lambda job: self._known(rid, job, "unknown job", 404))

    def cancel(self, rid: Any, job_id: str) -> None:
        """Cancel a job: written first, then answered."""
        self._final_or_read(rid, job_id, lambda job: self._cancel(rid, job_id, job))

    def _final_or_read(self, rid: Any, job_id: str, then: Then) -> None:
        job = self.world.replica.jobs.get(job_id)
        if job is not None and job.final:
            self._show(rid, job)
        elif not self.world.replica.loaded:
            self.unavailable(rid, "starting")
        else:
            self._read(rid, job_id, then)

    def _cancel(self, rid: Any, job_id: str, job: Job | None) -> None:
        world = self.world
        if job is None or job.final:
            self._known(rid, job, "unknown job", 404)
            return
        value = job_value("cancelled", job.team, job.spec, job.order, job.tasks)

        def done(status: int, result: Any) -> None:
            if status == 200:
                world.replica.apply(job_key(job_id), value, result[0])
                event("cancelled", job=job_id)
                world.emit("answer", rid, 200, ("job", job_id, "cancelled", 0, 0))
            elif status == 409:
                self._get(rid, job_id, lambda now: self._cancel(rid, job_id, now))
            else:
                self.unavailable(rid, "not known to be written")

        world.call(done, "txn", [(job_key(job_id), job.stamp)],
                   [(job_key(job_id), value, None)], 0)

    def _show(self, rid: Any, job: Job) -> None:
        running = 0
        if not job.final:
            for chunk in job.chunks.values():
                for index, binding in chunk.bound.items():
                    machine = self.world.machines.get(binding.machine)
                    task = (f"{job.id}/{index}", binding.attempt)
                    if machine is not None and machine.tasks.get(task, ("",))[0] == "running":
                        running += 1
        state = "running" if running else job.state
        self.world.emit("answer", rid, 200, ("job", job.id, state, job.done_count(), running))

    def _read(self, rid: Any, job_id: str, then: Then) -> None:
        if len(self.waiting) >= constants.MAX_WAITING:
            self.unavailable(rid, "busy")
        else:
            self.waiting.append((rid, job_id, then))

    def flush(self) -> None:
        """Check the versions that we know of all waiting jobs in one transaction."""
        world = self.world
        while self.waiting and self.reading < constants.READS_IN_FLIGHT:
            most = 4 * world.facts.state.txn_ops
            batch, self.waiting = self.waiting[:most], self.waiting[most:]
            known = {}
            for _, job_id, _ in batch:
                job = world.replica.jobs.get(job_id)
                known[job_id] = job.stamp if job is not None else 0
            self.reading += 1
            world.call(lambda s, r, batch=batch: self._compared(batch, s, r), "txn",
                       [(job_key(job_id), stamp) for job_id, stamp in known.items()], [], 0)

    def _compared(self, batch: list, status: int, result: Any) -> None:
        self.reading -= 1
        failed = set(result[1]) if status == 409 else set()
        for rid, job_id, then in batch:
            if status not in (200, 409):
                self.unavailable(rid, "no current records")
            elif job_key(job_id) in failed:
                self._get(rid, job_id, then)
            else:
                then(self.world.replica.jobs.get(job_id))

    def _get(self, rid: Any, job_id: str, then: Then) -> None:
        def done(status: int, result: Any) -> None:
            if status == 200:
                self.world.replica.apply(job_key(job_id), *result)
                then(self.world.replica.jobs.get(job_id))
            else:  # a job's record is never deleted, so 404 can't be after a failed compare
                self.unavailable(rid, "no current records")

        self.world.call(done, "get", job_key(job_id), 0)
