"""Working copies of the records, and the writing of them: the only place that does."""

import logging
import math
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core import teams
from oakmux.core.jobs import (
    Binding,
    Chunk,
    Job,
    chunk_key,
    chunk_tasks,
    job_key,
    job_value,
    role_key,
    value_bytes,
    value_limit,
)
from oakmux.core.owner.state import Open
from oakmux.core.spread.order import elder
from oakmux.core.world import World, event
from oakmux.wire import JobSpec

log = logging.getLogger("oakmux.core")


class LimitClaim(NamedTuple):
    """A part of a team's limit that is kept for a job, until a time: from work of lower priority,
    and from such of the same as came after `since` (ms)."""

    until: float
    team: str
    priority: int
    since: float
    cpus: float
    gpus: float


class Copies:
    """What we changed of the records of our teams' jobs, until the state service has it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.work: dict[str, dict[int, Chunk]] = {}
        self.dirty: dict[tuple[str, int], float] = {}
        self.finish: dict[str, None] = {}
        self.writing: set[str] = set()
        self.write_after = 0.0
        self.in_flight = 0
        self.refused = False
        self.outgrown: set[str] = set()
        self.limit_claims: dict[str, LimitClaim] = {}
        limits = world.facts.state.least
        self.least_bytes = value_limit(limits)
        share = limits.write_rps / world.settings.size
        self.own_chunk = chunk_tasks(world.facts.state.value_kb)
        self.coalesce_s = min(
            max(constants.COALESCE_S, constants.COALESCE_CHANGES / share),
            constants.COALESCE_MOST_S,
        )
        # A transaction far above our share of the rate would hold up all that comes after it.
        self.most_writes = min(
            limits.txn_ops,
            max(
                constants.WRITES_LEAST,
                int(constants.WRITES_S * limits.write_rps / world.settings.size),
            ),
        )

    @property
    def per_chunk(self) -> int:
        """How many tasks share a record. The mapping never moves with the limits: a task that is
        bound would look unbound (R ran_twice). Once the format is recorded, it stands there."""
        return self.world.replica.per_chunk or self.own_chunk

    def _limit(self) -> int:
        """Bytes that a value may take when it is written. What earlier versions left larger may
        be written so until the switch, unless a transaction was refused."""
        if self.form() >= 2 or self.refused:
            return self.least_bytes
        return value_limit(self.world.facts.state)

    def form(self) -> int:
        """Return the format that records are written in."""
        return self.world.replica.format

    def holds(self, job: Job, number: int, offers: list[tuple]) -> bool:
        """Whether a chunk's record can hold bindings to what is offered as well. The coming limit
        counts at any time: once the limits fell, bindings that can't be written would never go."""
        chunk = self.chunk(job, number)
        if (len(chunk.bound) + len(offers)) * constants.BINDING_BYTES <= self.least_bytes:
            return True
        trial = chunk.copy()
        trial.last = self.next_attempt(job)
        first = (number + 1) * self.per_chunk  # no task's number there is longer
        for index, (_, name, _, session, term, _, zone) in enumerate(offers, first):
            trial.bound[index] = Binding(trial.last, name, session, term, zone)
        return value_bytes(trial.to_value(self.form())) <= self.least_bytes

    def next_attempt(self, job: Job) -> int:
        """Return an attempt number that no task of the job has used."""
        return 1 + max((c.last for c in self.chunks(job)), default=0)

    def switched(self) -> None:
        """Format 2 holds: write anew what earlier versions left larger than the limits to come."""
        for job in list(self.world.replica.active.values()):
            if self.owns(job):
                self.shrink(job)

    def shrink(self, job: Job) -> None:
        """See that chunks of format 1 keep within the limits to come."""
        for number, chunk in job.chunks.items():
            if (
                not chunk.compact
                and number not in self.work.get(job.id, ())
                and len(chunk.bound) * constants.BINDING_BYTES > self.least_bytes
                and value_bytes(chunk.to_value(1)) > self.least_bytes
            ):
                self.edit(job, number)

    def owns(self, job: Job) -> bool:
        """Whether the job's team is ours."""
        return job.team in self.world.my_roles

    def chunk(self, job: Job, number: int) -> Chunk:
        """Return a chunk as it will be written, or an empty one; only to be read."""
        return self.work.get(job.id, {}).get(number) or job.chunks.get(number) or Chunk()

    def edit(self, job: Job, number: int, due: float = 0.0) -> Chunk:
        """Return a working copy to change; it is written once `due`, the earliest first."""
        mine = self.work.setdefault(job.id, {})
        chunk = mine.get(number)
        if chunk is None:
            old = job.chunks.get(number)
            chunk = mine[number] = old.copy() if old is not None else Chunk()
        self.dirty[(job.id, number)] = min(due, self.dirty.get((job.id, number), math.inf))
        return chunk

    def _settled(self, job_id: str, number: int) -> None:
        """Let go of a working copy: the records say the same."""
        mine = self.work.get(job_id, {})
        mine.pop(number, None)
        if not mine:
            self.work.pop(job_id, None)

    def chunks(self, job: Job) -> list[Chunk]:
        """Return all chunks of a job as they will be written."""
        mine = self.work.get(job.id)
        if not mine:
            return list(job.chunks.values())
        return list({**job.chunks, **mine}.values())

    def bindings(self, job: Job) -> list[Binding]:
        """Return all bindings of a job as they will be written."""
        return [b for chunk in self.chunks(job) for b in chunk.bound.values()]

    def unstarted(self, job: Job) -> int:
        """Count the tasks that are neither done nor bound."""
        if job.spec is None or job.final:
            return 0
        left, size = job.spec.tasks, self.per_chunk
        for chunk in self.chunks(job):  # hundreds, of a huge array: most are over or not begun
            left -= chunk.done.bit_count()
            if chunk.bound:
                left -= sum(1 for i in chunk.bound if not chunk.done >> (i % size) & 1)
        return left

    def next_unstarted(self, job: Job, state: Open, offer: tuple) -> int | None:
        """Return the number of a task that may be bound to an offer, or None."""
        assert job.spec is not None
        for start in (state.cursor, 0):
            index = start
            while index < job.spec.tasks:
                chunk = self.chunk(job, index // self.per_chunk)
                if index not in chunk.bound and not chunk.done >> (index % self.per_chunk) & 1:
                    if not self.holds(job, index // self.per_chunk, [offer]):
                        index = (index // self.per_chunk + 1) * self.per_chunk
                        continue  # wait until others of its record have ended
                    state.cursor = index + 1
                    return index
                index += 1
        return None

    def team_use(self, team: str) -> tuple[float, float]:
        """Return what a team of ours uses: all that is bound and not proven gone. The records'
        count is corrected by the working copies, which are few."""
        cpus, gpus = teams.usage(self.world).get(team, (0.0, 0.0))
        for job_id, mine in self.work.items():
            job = self.world.replica.jobs[job_id]
            if job.team == team:
                more = sum(len(chunk.bound) for chunk in mine.values()) - sum(
                    len(job.chunks[n].bound) for n in mine if n in job.chunks
                )
                cpus += more * job.takes[0]
                gpus += more * job.takes[1]
        return cpus, gpus

    def beyond_limit(self, job: Job, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether that many more tasks of a job would break its team's limit, with what is kept
        for jobs of higher priority that wait for it."""
        limits = self.world.teams.get(job.team)
        if limits is not None and not limits.cpus_max and not limits.gpus_max:
            return False  # nor is its use counted: asked at each offer to thousands of tiny jobs
        cpus, gpus = self.team_use(job.team)
        for other, claim in list(self.limit_claims.items()):
            if claim.until <= self.world.now:
                del self.limit_claims[other]
            elif (
                claim.team == job.team
                and other != job.id
                and (claim.priority, -claim.since) > (job.priority, -job.since)
            ):
                cpus += claim.cpus
                gpus += claim.gpus
        return teams.beyond_limit(
            self.world, job.team, cpus + tasks * spec.cpus, gpus + tasks * spec.gpus
        )

    def claim_limit(self, job: Job, spec: JobSpec, wanted: int) -> None:
        """A job is kept back by its team's limit: what its lower work lets go of is kept for it.

        Else a gang never gets in beside an array of its own team, whose next task takes each
        place that one leaves; nor one that has waited beside smaller, younger gangs. Nothing is
        kept where that work could not make up for it: what services use they keep, and a gang that
        needed it kept the rest of the limit from all others for ever, itself without use for it.
        """
        now = self.world.now
        least = spec.tasks if spec.kind == "gang" else 1
        use = cpus, gpus = self.team_use(job.team)
        first = elder(self.world, job)
        old = first or (
            spec.kind == "gang"
            and (self.world.clock_ms - job.since > 1000 * constants.OPENING_AFTER_S)
        )
        for priority, lower in self.world.replica.used_ending.get(job.team, {}).items():
            if priority < job.priority or (priority == job.priority and old):
                cpus -= lower[0]
                gpus -= lower[1]
        if (first or (cpus, gpus) != use) and not teams.beyond_limit(
            self.world, job.team, cpus + least * spec.cpus, gpus + least * spec.gpus
        ):
            tasks = max(
                least,
                min(
                    wanted,
                    constants.MAX_RESERVATIONS_PER_JOB,
                    teams.tasks_left(self.world, job.team, spec, {job.team: (cpus, gpus)}),
                ),
            )
            self.limit_claims[job.id] = LimitClaim(
                now + constants.LIMIT_CLAIM_S,
                job.team,
                job.priority,
                job.since if old else math.inf,
                tasks * spec.cpus,
                tasks * spec.gpus,
            )

    # --- writing ---

    def flush(self) -> None:
        """Write changed chunks, many to a transaction, each job in at most one at a time."""
        world = self.world
        if (
            world.now < self.write_after
            or not self.dirty
            or self.in_flight >= constants.WRITES_IN_FLIGHT
        ):
            return
        guards: dict[str, int] = {}
        writes: list[tuple] = []
        sent: list[tuple[str, int, Chunk]] = []
        jobs_in: dict[str, str] = {}
        form, limit = self.form(), self._limit()
        by_job: dict[str, list[int]] = {}
        due: dict[str, float] = {}
        for (job_id, number), at in self.dirty.items():
            by_job.setdefault(job_id, []).append(number)
            due[job_id] = min(at, due.get(job_id, math.inf))
        for job_id, numbers in sorted(by_job.items(), key=lambda row: due[row[0]]):
            if due[job_id] > world.now:
                break
            job = world.replica.jobs[job_id]
            if job_id in self.writing or job.team not in world.my_roles:
                continue
            if len(writes) + len(numbers) + 1 > self.most_writes:
                if writes:
                    continue
                numbers = numbers[: world.facts.state.least.txn_ops - 1]
            values = {number: self.work[job_id][number].to_value(form) for number in numbers}
            numbers = [n for n in numbers if not self._too_large(job_id, n, values[n], limit)]
            if not numbers:
                continue
            finishing = (
                job_id in self.finish and not job.final and len(numbers) == len(by_job[job_id])
            )
            guards[role_key(job.team)] = world.my_roles[job.team]
            guards[job_key(job_id)] = job.stamp
            jobs_in[job_id] = "done" if finishing else ""
            if finishing:
                spec = job.spec if self.bindings(job) else None
                writes.append(
                    (
                        job_key(job_id),
                        job_value("done", job.team, spec, job.order, job.tasks),
                        None,
                    )
                )
            for number in numbers:
                chunk = self.work[job_id][number]
                key = chunk_key(job_id, number)
                old = job.chunks.get(number)
                guards[key] = old.stamp if old is not None else 0
                sent.append((job_id, number, chunk.copy()))
                if (job.final or finishing) and not chunk.bound:
                    if old is not None:
                        writes.append((key,))
                else:
                    writes.append((key, values[number], None))
                del self.dirty[(job_id, number)]
        if not sent:
            return
        if not writes:
            for job_id, number, _ in sent:
                self._settled(job_id, number)
            return
        self.writing.update(jobs_in)
        self.in_flight += 1
        world.call(
            lambda status, result: self._written(writes, sent, jobs_in, status, result),
            "txn",
            list(guards.items()),
            writes,
            1,
        )

    def _too_large(self, job_id: str, number: int, value: list, limit: int) -> bool:
        """Whether a record has outgrown the limit; it is written once more of its tasks ended."""
        chunk = self.work[job_id][number]
        if len(chunk.bound) * constants.BINDING_BYTES <= limit or value_bytes(value) <= limit:
            return False
        key = chunk_key(job_id, number)
        if key not in self.outgrown:
            self.outgrown.add(key)
            log.error(
                "event=record_too_large key=%s bytes=%s limit=%s", key, value_bytes(value), limit
            )
        self.dirty[(job_id, number)] = self.world.now + constants.RETRY_MOST_S
        return True

    def _written(
        self, writes: list[tuple], sent: list, jobs_in: dict[str, str], status: int, result: Any
    ) -> None:
        world = self.world
        self.writing.difference_update(jobs_in)
        self.in_flight -= 1
        if status == 200:
            for write in writes:
                world.replica.apply(write[0], write[1] if len(write) > 1 else None, result[0])
            for job_id, state in jobs_in.items():
                if state == "done":
                    self.finish.pop(job_id, None)
                    event("job_done", job=job_id)
            for job_id, number, _ in sent:
                if (job_id, number) not in self.dirty:
                    self._settled(job_id, number)
            return
        # Not written, or not known to be: the same again, guarded by the newest stamps. A late
        # twin then fails, since each successful write moves the stamps that guard it.
        for job_id, number, _ in sent:
            if number in self.work.get(job_id, ()):
                self.dirty.setdefault((job_id, number), 0.0)
        self.write_after = world.now + constants.BACKOFF_FIRST_S
        if status == 400:
            # Certainly not written, and never will be as it is: the limits have fallen.
            self.refused = True
            self.write_after = world.now + constants.BACKOFF_MOST_S
            return
        if status == 409 and result is not None:
            for key in result[1]:
                world.call(lambda s, r, key=key: self._reread(key, s, r), "get", key, 1)
        elif status != 503:  # 503: certainly not written
            event("write_unsure", status=status, jobs=len(jobs_in))
            for write in writes:
                world.call(lambda s, r, key=write[0]: self._reread(key, s, r), "get", write[0], 1)

    def _reread(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.world.replica.apply(key, *result)
        elif status == 404 and result is not None:
            self.world.replica.apply(key, None, result[1])

    def drop_lost(self, held: set[str]) -> None:
        """Drop working copies but of teams that we hold all the while."""
        jobs = self.world.replica.jobs
        for job_id in [j for j in self.work if jobs[j].team not in held]:
            for number in self.work.pop(job_id):
                self.dirty.pop((job_id, number), None)
