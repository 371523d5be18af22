"""Working copies of the records of our teams' jobs, until they are written."""

import math
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_USAGE, Usage
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.pending_job import CapacityOffer, PendingJob
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.batch_allocator import BatchAllocator
from oakmux.core.state.binding_batches import shares_batch
from oakmux.core.state.codecs import encode_block
from oakmux.core.state.formats import (
    FORMAT_BATCHES,
    FORMAT_COMPACT,
    FORMAT_FIRST,
    tasks_per_block,
    value_bytes,
    value_limit,
)
from oakmux.core.state.records import Binding, Job, TaskBlock


class LimitClaim(NamedTuple):
    """A part of a team's limit that is kept for a job, until a time: from work of lower priority,
    and from such of the same as came after `since` (ms)."""

    until: float
    team: str
    priority: int
    since: float
    cpus: float
    gpus: float


class WriteBuffer:
    """What we changed of the records of our teams' jobs, until the state service has it."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.work: dict[str, dict[int, TaskBlock]] = {}
        self.dirty: dict[tuple[str, int], float] = {}
        self.finished_jobs: dict[str, None] = {}
        # Whether a transaction was refused for its size.
        self.refused = False
        self.limit_claims: dict[str, LimitClaim] = {}
        limits = context.facts.store.strictest
        self.least_bytes = value_limit(limits)
        share = limits.write_rps / context.settings.size
        self.configured_tasks_per_record = tasks_per_block(context.facts.store.value_kb)
        self.coalesce_s = min(
            max(constants.COALESCE_MIN_S, constants.COALESCE_CHANGES / share),
            constants.COALESCE_MAX_S,
        )
        self.batches = BatchAllocator(context, self.least_bytes)

    @property
    def tasks_per_record(self) -> int:
        """How many tasks share a record. The mapping never moves with the limits: a task that is
        bound would look unbound (R ran_twice). Once the format is recorded, it stands there."""
        return self.context.replica.tasks_per_record or self.configured_tasks_per_record

    def limit(self) -> int:
        """Bytes that a value may take when it is written. What earlier versions left larger may
        be written so until the switch, unless a transaction was refused."""
        if self.form() >= FORMAT_COMPACT or self.refused:
            return self.least_bytes
        return value_limit(self.context.facts.store)

    def form(self) -> int:
        """Return the format that records are written in."""
        return self.context.replica.format

    def holds(self, job: Job, number: int, offers: list[CapacityOffer]) -> bool:
        """Whether a chunk's record can hold bindings to what is offered as well. The coming limit
        counts at any time: once the limits fell, bindings that can't be written would never go."""
        block = self.block(job, number)
        if block.batch is not None:
            return True  # its page has room for all of the job's bindings
        if (len(block.bound) + len(offers)) * constants.BINDING_BYTES <= self.least_bytes:
            return True
        trial = block.copy()
        trial.last = self.next_attempt(job)
        first = (number + 1) * self.tasks_per_record  # no task's number there is longer
        for index, offer in enumerate(offers, first):
            trial.bound[index] = Binding(
                trial.last, offer.machine, offer.agent_epoch, offer.term, offer.zone
            )
        return value_bytes(encode_block(trial, self.form())) <= self.least_bytes

    def next_attempt(self, job: Job) -> int:
        """Return an attempt number that no task of the job has used."""
        return 1 + max((c.last for c in self.blocks(job)), default=0)

    def switched(self) -> None:
        """A new format holds: write anew what earlier versions left larger than the limits."""
        for job in list(self.context.replica.active.values()):
            if self.owns(job):
                self.shrink(job)

    def shrink(self, job: Job) -> None:
        """See that chunks of format 1 keep within the limits to come."""
        for number, block in job.blocks.items():
            if (
                not block.compact
                and number not in self.work.get(job.id, ())
                and len(block.bound) * constants.BINDING_BYTES > self.least_bytes
                and value_bytes(encode_block(block, FORMAT_FIRST)) > self.least_bytes
            ):
                self.edit(job, number)

    def owns(self, job: Job) -> bool:
        """Whether the job's team is ours."""
        return job.team in self.context.held_roles

    def block(self, job: Job, number: int) -> TaskBlock:
        """Return a chunk as it will be written, or an empty one; only to be read."""
        return self.work.get(job.id, {}).get(number) or job.blocks.get(number) or TaskBlock()

    def edit(self, job: Job, number: int, due: float = 0.0) -> TaskBlock:
        """Return a working copy to change; it is written once `due`, the earliest first."""
        mine = self.work.setdefault(job.id, {})
        block = mine.get(number)
        if block is None:
            old = job.blocks.get(number)
            block = mine[number] = old.copy() if old is not None else self._new_chunk(job)
        self.dirty[(job.id, number)] = min(due, self.dirty.get((job.id, number), math.inf))
        return block

    def _new_chunk(self, job: Job) -> TaskBlock:
        """Return an empty chunk, in a page if the job is small."""
        block = TaskBlock()
        if self.form() >= FORMAT_BATCHES and shares_batch(job.tasks, self.tasks_per_record):
            block.batch = self.batches.choose(job.team, job.id, job.tasks)
        return block

    def settled(self, job_id: str, number: int) -> None:
        """Let go of a working copy: the records say the same."""
        mine = self.work.get(job_id, {})
        mine.pop(number, None)
        if not mine:
            self.work.pop(job_id, None)
            self.batches.release(job_id)

    def blocks(self, job: Job) -> list[TaskBlock]:
        """Return all chunks of a job as they will be written."""
        mine = self.work.get(job.id)
        if not mine:
            return list(job.blocks.values())
        return list({**job.blocks, **mine}.values())

    def bindings(self, job: Job) -> list[Binding]:
        """Return all bindings of a job as they will be written."""
        return [b for block in self.blocks(job) for b in block.bound.values()]

    def unstarted(self, job: Job) -> int:
        """Count the tasks that are neither done nor bound."""
        if job.spec is None or job.final:
            return 0
        left, size = job.spec.tasks, self.tasks_per_record
        for block in self.blocks(job):  # hundreds, of a huge array: most are over or not begun
            left -= block.done.bit_count()
            if block.bound:
                left -= sum(1 for i in block.bound if not block.done >> (i % size) & 1)
        return left

    def next_unstarted(self, job: Job, state: PendingJob, offer: CapacityOffer) -> int | None:
        """Return the number of a task that may be bound to an offer, or None."""
        assert job.spec is not None
        for start in (state.next_task, 0):
            index = start
            while index < job.spec.tasks:
                block = self.block(job, index // self.tasks_per_record)
                if (
                    index not in block.bound
                    and not block.done >> (index % self.tasks_per_record) & 1
                ):
                    if not self.holds(job, index // self.tasks_per_record, [offer]):
                        index = (index // self.tasks_per_record + 1) * self.tasks_per_record
                        continue  # wait until others of its record have ended
                    state.next_task = index + 1
                    return index
                index += 1
        return None

    def team_use(self, team: str) -> Usage:
        """Return what a team of ours uses: all that is bound and not proven gone. The records'
        count is corrected by the working copies, which are few."""
        cpus, gpus = quotas.usage(self.context).get(team, NO_USAGE)
        for job_id, mine in self.work.items():
            job = self.context.replica.jobs[job_id]
            if job.team == team:
                more = sum(len(block.bound) for block in mine.values()) - sum(
                    len(job.blocks[n].bound) for n in mine if n in job.blocks
                )
                cpus += more * job.resources.cpus
                gpus += more * job.resources.gpus
        return Usage(cpus, gpus)

    def exceeds_limit(self, job: Job, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether that many more tasks of a job would break its team's limit, with what is kept
        for jobs of higher priority that wait for it."""
        limits = self.context.teams.get(job.team)
        if limits is not None and not limits.cpus_max and not limits.gpus_max:
            return False  # nor is its use counted: asked at each offer to thousands of tiny jobs
        cpus, gpus = self.team_use(job.team)
        for other, claim in list(self.limit_claims.items()):
            if claim.until <= self.context.now:
                del self.limit_claims[other]
            elif (
                claim.team == job.team
                and other != job.id
                and (claim.priority, -claim.since) > (job.priority, -job.since)
            ):
                cpus += claim.cpus
                gpus += claim.gpus
        return quotas.exceeds_limit(
            self.context, job.team, cpus + tasks * spec.cpus, gpus + tasks * spec.gpus
        )

    def claim_limit(self, job: Job, spec: JobSpec, wanted: int) -> None:
        """A job is kept back by its team's limit: what its lower work lets go of is kept for it.

        Else a gang never gets in beside an array of its own team, whose next task takes each
        place that one leaves; nor one that has waited beside smaller, younger gangs. Nothing is
        kept where that work could not make up for it: what services use they keep, and a gang that
        needed it kept the rest of the limit from all others for ever, itself without use for it.
        """
        now = self.context.now
        least = spec.tasks if spec.kind == "gang" else 1
        use = cpus, gpus = self.team_use(job.team)
        first = is_starving(self.context, job)
        old = first or (
            spec.kind == "gang"
            and (self.context.wall_clock_ms - job.since > 1000 * constants.BACKFILL_MIN_WAIT_S)
        )
        for priority, lower in self.context.replica.usage.preemptible.get(job.team, {}).items():
            if priority < job.priority or (priority == job.priority and old):
                cpus -= lower[0]
                gpus -= lower[1]
        if (first or (cpus, gpus) != use) and not quotas.exceeds_limit(
            self.context, job.team, cpus + least * spec.cpus, gpus + least * spec.gpus
        ):
            tasks = max(
                least,
                min(
                    wanted,
                    constants.MAX_RESERVATIONS_PER_JOB,
                    quotas.tasks_left(self.context, job.team, spec, {job.team: Usage(cpus, gpus)}),
                ),
            )
            self.limit_claims[job.id] = LimitClaim(
                now + constants.LIMIT_CLAIM_TTL_S,
                job.team,
                job.priority,
                job.since if old else math.inf,
                tasks * spec.cpus,
                tasks * spec.gpus,
            )

    def drop_lost(self, held: set[str]) -> None:
        """Drop working copies but of teams that we hold all the while."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.work if jobs[j].team not in held]:
            for number in self.work.pop(job_id):
                self.dirty.pop((job_id, number), None)
            self.batches.release(job_id)
