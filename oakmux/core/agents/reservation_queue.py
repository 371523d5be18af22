"""The queues at machines: reservations, offers of room, and work that gives way to other work."""

from collections.abc import Collection

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import free_resources, gang_hold_s, is_full, is_schedulable
from oakmux.core.agents.tracked_workers import Reservation, TrackedWorker, WorkerTable
from oakmux.core.context import Context, Machine, Task, event
from oakmux.core.model import JobSpec
from oakmux.core.resources import Resources, fits_resources, subtract
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.minimum_share import MinimumShare
from oakmux.core.scheduling.queue_order import (
    effective_submission_ms,
    is_starving,
    misses_objective,
)
from oakmux.core.state.records import Job


class ReservationQueue:
    """Queues reservations at the machines that we keep and offers their room."""

    def __init__(
        self, context: Context, workers: WorkerTable, cancellations: CancellationLog
    ) -> None:
        self.context = context
        self.workers = workers
        self.cancellations = cancellations
        self.next_offer = 0
        self.minimum_share = MinimumShare(context)

    def reserve(self, name: str, job_id: str, count: int, preempt: bool = False) -> None:
        """Queue a reservation at a machine that we keep; make room for it if told to."""
        tracked = self.workers.tracked.get(name)
        machine = self.context.machines.get(name)
        if tracked is None or machine is None or machine.manager != self.context.label:
            return
        known = tracked.queue.get(job_id)
        if known is not None:
            known.count = max(known.count, count)
        elif len(tracked.queue) < constants.MAX_QUEUE_PER_MACHINE:
            tracked.queue[job_id] = Reservation(job_id, count, self.context.now)
        if preempt:
            self._preempt(tracked, machine, job_id)
        self.workers.to_reconcile.add(name)

    def _preempt(self, tracked: TrackedWorker, machine: Machine, job_id: str) -> None:
        context = self.context
        job = context.replica.jobs.get(job_id)
        # A task that was stopped stays in the reports until it is forgotten; it stops nothing.
        stopping = any(
            machine.tasks.get(task, ("exited",))[0] != "exited" for task in tracked.stops
        )
        if (
            job is None
            or job.spec is None
            or job.final
            or stopping
            or not is_schedulable(context, machine)
        ):
            return
        chosen = preemption_candidates(
            context,
            machine,
            job,
            job.spec,
            quotas.usage(context),
            self.held(tracked),
            tracked.not_preemptible,
        )
        for task in chosen[1] if chosen is not None else ():
            tracked.stops[task] = context.now
            event("preempt", task=task[0], attempt=task[1], machine=machine.name, by=job_id)

    def decline(self, name: str, offer_id: int) -> None:
        """The owner has no task for an offer: release the room, offer it to the next."""
        tracked = self.workers.tracked.get(name)
        if tracked is not None and tracked.offers.pop(offer_id, None) is not None:
            self.workers.to_reconcile.add(name)

    def held(self, tracked: TrackedWorker) -> list[JobSpec]:
        """Return what is held for offers."""
        now = self.context.now
        specs = []
        for offer_id, (job_id, until, claim) in list(tracked.offers.items()):
            job = self.context.replica.jobs.get(job_id)
            # Once the team has another owner, nothing can come of offers to the one before.
            if (
                until <= now
                or job is None
                or job.spec is None
                or self.context.replica.roles.get(job.team, ("", 0, 0))[2] != claim
            ):
                del tracked.offers[offer_id]
            else:
                specs.append(job.spec)
        return specs

    def records_changed(self, name: str) -> None:
        """Bindings on a machine changed: those that answer an offer end its hold."""
        self.workers.to_reconcile.add(name)
        tracked = self.workers.tracked.get(name)
        if tracked is None:
            return
        bound = self.context.replica.by_machine.get(name, {})
        known = {(job_id, index, b.attempt) for (job_id, index), b in bound.items()}
        for job_id, _, _ in known - tracked.known:
            for offer_id, (held_for, _, _) in tracked.offers.items():
                if held_for == job_id:
                    del tracked.offers[offer_id]
                    break
        tracked.known = known
        tracked.not_preemptible &= {row[0] for row in known} | {
            row[0] for row in tracked.offers.values()
        }

    def offer(self, name: str) -> None:
        """Offer free room to the owners of queued reservations, best rank first."""
        context = self.context
        tracked = self.workers.tracked.get(name)
        machine = context.machines.get(name)
        if (
            tracked is None
            or not tracked.queue
            or machine is None
            or machine.manager != context.label
            or machine.fencing_token != context.term
            or not context.term
            or not self.cancellations.store_fresh()
            or not is_schedulable(context, machine)
        ):
            return
        free = free_resources(context, machine, self.held(tracked))
        if is_full(context, free):
            return
        used = quotas.usage(context)
        ranked = []
        for reservation in list(tracked.queue.values()):
            job = context.replica.jobs.get(reservation.job_id)
            if (
                job is None
                or job.final
                or job.spec is None
                or context.now - reservation.since > constants.RETRY_MOST_S
            ):
                del tracked.queue[reservation.job_id]
                continue
            if not fits_resources(free, job.spec) or context.backfill.blocks_job(
                name, job, job.spec
            ):
                continue
            # The age of the job, not of the reservation: of two gangs that wait for the same
            # machines, one must come first at all of them.
            ranked.append(
                (queue_rank(context, job, job.spec, used), job.since, job.id, reservation, job)
            )
        ranked.sort(key=lambda row: row[:3])
        kind = context.types[machine.type]
        oldest = self.minimum_share.due_job(
            kind, free, (row[-1] for row in ranked if row[-1].team in context.replica.roles)
        )
        if oldest is not None and oldest.spec is not None:
            # Work that came by its age is not stopped again for what stands above it.
            tracked.not_preemptible.add(oldest.id)
            free = self._grant(tracked, machine, oldest, oldest.spec, free)
            self.minimum_share.granted_by_age(oldest.spec, kind)
        for *_, reservation, job in ranked:
            spec = job.spec
            assert spec is not None
            if job.team not in context.replica.roles:
                continue
            while reservation.count > 0 and fits_resources(free, spec):
                free = self._grant(tracked, machine, job, spec, free)
                self.minimum_share.granted_by_rank(spec, kind)

    def _grant(
        self, tracked: TrackedWorker, machine: Machine, job: Job, spec: JobSpec, free: Resources
    ) -> Resources:
        """Offer room for one task of a job that has a reservation; return what is left."""
        context = self.context
        label, _, claim = context.replica.roles[job.team]
        reservation = tracked.queue[job.id]
        reservation.count -= 1
        if reservation.count <= 0:
            del tracked.queue[job.id]
        self.next_offer += 1
        hold = constants.OFFER_HOLD_S
        if spec.joint:
            hold += gang_hold_s(spec) + constants.PREEMPT_S
        tracked.offers[self.next_offer] = (job.id, context.now + hold, claim)
        context.emit(
            "send",
            label,
            (
                "offer",
                machine.name,
                job.id,
                self.next_offer,
                machine.agent_epoch,
                context.term,
                context.label,
            ),
        )
        return subtract(free, spec)


def save_s(context: Context, tasks: list[Task]) -> float:
    """Return the seconds for which tasks save once they are told to stop. A gang that did not
    wait for that let the room go that it had made, for minutes."""
    specs = [context.replica.jobs[name.partition("/")[0]].spec for name, _ in tasks]
    return max(
        (spec.save_s for spec in specs if spec is not None and spec.checkpoint_s), default=0.0
    )


def preemption_candidates(
    context: Context,
    machine: Machine,
    job: Job,
    spec: JobSpec,
    used: quotas.TeamUsage,
    held: list[JobSpec] | None = None,
    not_preemptible: Collection[str] = (),
) -> tuple[float, list[Task]] | None:
    """Return (lost work, tasks) whose end makes room for one task of a job, or None.

    Only work of lower priority may go, and, for a job within its team's guarantee, work that
    another team runs beyond its own guarantee. What has least to lose goes first, and nothing of
    the jobs in `not_preemptible`.
    """
    beyond = quotas.teams_over_guarantee(context, job, spec, used)
    rows = []
    for (job_id, index), binding in context.replica.by_machine.get(machine.name, {}).items():
        other = context.replica.jobs.get(job_id)
        task = (f"{job_id}/{index}", binding.attempt)
        state = machine.tasks.get(task)
        if (
            other is None
            or other.spec is None
            or state is None
            or binding.stop
            or state[0] not in ("fetching", "waiting", "running")
            or other.spec.kind == "service"
            or other.id == job.id
            or other.spec.joint
            or other.id in not_preemptible
        ):
            continue
        if other.priority >= job.priority and other.team not in beyond:
            continue
        lost = context.now - machine.since.get(task, context.now)
        young = lost < constants.START_COUNTS_S
        if other.spec.checkpoint_s and state[0] == "running":
            lost = min(lost, other.spec.save_s)
        # What is urgent itself has to start again too, and a start undone so soon was no start.
        lost += other.priority**2 * constants.VICTIM_RANK_S * (2 if young else 1)
        rows.append((other.priority, lost, task, other.spec))
    rows.sort(key=lambda row: row[:3])
    free = free_resources(context, machine, held)
    chosen: list[Task] = []
    total = 0.0
    for _, lost, task, other_spec in rows:
        if fits_resources(free, spec):
            break
        free = subtract(free, other_spec, -1)
        chosen.append(task)
        total += lost
    if not chosen or not fits_resources(free, spec):
        return None
    for _, lost, task, other_spec in reversed(rows[: len(chosen)]):
        less_free = subtract(free, other_spec)
        if len(chosen) > 1 and fits_resources(
            less_free, spec
        ):  # made needless by what came after it
            free = less_free
            chosen.remove(task)
            total -= lost
    return total, chosen


def queue_rank(context: Context, job: Job, spec: JobSpec, used: quotas.TeamUsage) -> tuple:
    """Return the order in a queue: guaranteed work and priority first, then what must begin at
    last, what has to start first for a deadline, what can meet its aim, fair between teams, and
    by turn."""
    return (
        not quotas.is_guaranteed(context, job, spec, used),
        -job.priority,
        not is_starving(context, job),
        job.latest_start_ms,
        misses_objective(context, job, spec),
        quotas.guarantee_share(context, job.team, used),
        effective_submission_ms(context, job, spec),
    )
