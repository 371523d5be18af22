"""Reservations queued at machines, and offers of free resources to the jobs that hold them."""

from typing import NamedTuple

from oakmux import constants
from oakmux.core import peer_messages
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import free_resources, gang_hold_s, is_full, is_schedulable
from oakmux.core.agents.preemption import plan_preemption
from oakmux.core.agents.tracked_workers import Offer, Reservation, TrackedWorker, WorkerTable
from oakmux.core.agents.worker_terms import worker_term
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import DeclineOffer, Reserve
from oakmux.core.resources import Resources, fits_resources, subtract
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.minimum_share import MinimumShare
from oakmux.core.scheduling.queue_order import QueueRank, queue_rank
from oakmux.core.state.records import Job
from oakmux.logs import event
from oakmux.task_status import EXITED


class RankedReservation(NamedTuple):
    """A reservation whose job has a task that fits now; ordered by the first three fields."""

    rank: QueueRank
    submitted_ms: float
    job_id: str
    reservation: Reservation
    job: Job
    spec: JobSpec


class ReservationQueue:
    """Queues reservations at the machines that this controller manages, and offers resources."""

    def __init__(
        self, context: Context, workers: WorkerTable, cancellations: CancellationLog
    ) -> None:
        self.context = context
        self.workers = workers
        self.cancellations = cancellations
        self.next_offer = 0
        self.minimum_share = MinimumShare(context)

    def reserve(self, request: Reserve) -> None:
        """Queue a reservation for `count` tasks at a machine, and preempt for one on request."""
        name, job_id, count = request.machine, request.job_id, request.count
        tracked = self.workers.tracked.get(name)
        machine = self.context.machines.get(name)
        if tracked is None or machine is None or machine.manager != self.context.controller_id:
            return
        queued = tracked.queue.get(job_id)
        if queued is not None:
            queued.count = max(queued.count, count)
        elif len(tracked.queue) < constants.MAX_RESERVATIONS_PER_MACHINE:
            tracked.queue[job_id] = Reservation(job_id, count, self.context.now)
        if request.preempt:
            self._preempt(tracked, machine, job_id)
        self.workers.to_reconcile.add(name)

    def _preempt(self, tracked: TrackedWorker, machine: Machine, job_id: str) -> None:
        """Stop tasks so that one task of a job fits, unless tasks are being stopped already."""
        context = self.context
        job = context.replica.jobs.get(job_id)
        # A stopped task is reported as exited until the worker gets a `forget` command for it.
        stopping = any(machine.tasks.get(task, (EXITED,))[0] != EXITED for task in tracked.stops)
        if (
            job is None
            or job.spec is None
            or job.final
            or stopping
            or not is_schedulable(context, machine)
        ):
            return
        preemption = plan_preemption(
            context,
            machine,
            job,
            job.spec,
            quotas.usage(context),
            self._offered(tracked),
            tracked.not_preemptible,
        )
        for task in preemption.tasks if preemption is not None else ():
            tracked.stops[task] = context.now
            event("task_preempted", task=task[0], attempt=task[1], machine=machine.name, by=job_id)

    def decline(self, answer: DeclineOffer) -> None:
        """Withdraw an offer declined by the job's scheduler, and offer to the next job."""
        tracked = self.workers.tracked.get(answer.machine)
        if tracked is not None and tracked.offers.pop(answer.offer_id, None) is not None:
            self.workers.to_reconcile.add(answer.machine)

    def _offered(self, tracked: TrackedWorker) -> list[JobSpec]:
        """Drop invalid offers of a worker, and return the job of each remaining offer."""
        replica = self.context.replica
        specs = []
        for offer_id, offer in list(tracked.offers.items()):
            job = replica.jobs.get(offer.job_id)
            # Once another controller holds the team's role, the former holder can't bind any more.
            if (
                offer.expires_at <= self.context.now
                or job is None
                or job.spec is None
                or replica.roles.get(job.team, ("", 0, 0))[2] != offer.role_claim
            ):
                del tracked.offers[offer_id]
            else:
                specs.append(job.spec)
        return specs

    def records_changed(self, name: str) -> None:
        """Remove a machine's offers that its new bindings have used."""
        self.workers.to_reconcile.add(name)
        tracked = self.workers.tracked.get(name)
        if tracked is None:
            return
        bindings = self.context.replica.bindings.by_machine.get(name, {})
        bound_tasks = {
            (job_id, index, binding.attempt) for (job_id, index), binding in bindings.items()
        }
        for job_id, _, _ in bound_tasks - tracked.bound_tasks:
            for offer_id, offer in tracked.offers.items():
                if offer.job_id == job_id:
                    del tracked.offers[offer_id]
                    break
        tracked.bound_tasks = bound_tasks
        tracked.not_preemptible &= {job_id for job_id, _, _ in bound_tasks} | {
            offer.job_id for offer in tracked.offers.values()
        }

    def offer(self, name: str) -> None:
        """Offer a machine's free resources to the schedulers of the jobs in its queue.

        Aged jobs come first while they are owed part of the minimum share, then the best rank.
        """
        context = self.context
        tracked = self.workers.tracked.get(name)
        machine = context.machines.get(name)
        if tracked is None or not tracked.queue or machine is None or not self._may_offer(machine):
            return
        free = free_resources(context, machine, self._offered(tracked))
        if is_full(context, free):
            return
        ranked = self._rank(tracked, name, free)
        free = self._grant_aged(tracked, machine, ranked, free)
        machine_type = context.types[machine.type]
        for entry in ranked:
            if entry.job.team not in context.replica.roles:
                continue
            while entry.reservation.count > 0 and fits_resources(free, entry.spec):
                free = self._grant(tracked, machine, entry.job, entry.spec, free)
                self.minimum_share.granted_by_rank(entry.spec, machine_type)

    def _may_offer(self, machine: Machine) -> bool:
        """Whether this controller could start tasks that are bound to a machine now."""
        context = self.context
        return (
            machine.manager == context.controller_id
            and context.owns_term(machine.fencing_token)
            and self.cancellations.store_fresh()
            and is_schedulable(context, machine)
        )

    def _rank(self, tracked: TrackedWorker, name: str, free: Resources) -> list[RankedReservation]:
        """Drop ended reservations, and return those with a task that fits, best first."""
        context = self.context
        usage = quotas.usage(context)
        ranked = []
        for reservation in list(tracked.queue.values()):
            job = context.replica.jobs.get(reservation.job_id)
            if (
                job is None
                or job.final
                or job.spec is None
                or context.now - reservation.queued_at > constants.RETRY_MAX_S
            ):
                del tracked.queue[reservation.job_id]
                continue
            spec = job.spec
            if not fits_resources(free, spec) or context.backfill.blocks_job(name, job, spec):
                continue
            # The age of the job decides, not that of the reservation: of two gangs that wait for
            # the same machines, the same one must come first on all of them.
            rank = queue_rank(context, job, spec, usage)
            ranked.append(RankedReservation(rank, job.eligible_ms, job.id, reservation, job, spec))
        ranked.sort(key=lambda entry: entry[:3])
        return ranked

    def _grant_aged(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        ranked: list[RankedReservation],
        free: Resources,
    ) -> Resources:
        """Offer a task to the oldest aged job that is owed one by share; return what is left."""
        roles = self.context.replica.roles
        machine_type = self.context.types[machine.type]
        oldest = self.minimum_share.due_job(
            machine_type, free, (entry.job for entry in ranked if entry.job.team in roles)
        )
        if oldest is None or oldest.spec is None:
            return free
        # Its tasks must not be preempted by the jobs that it was preferred to.
        tracked.not_preemptible.add(oldest.id)
        free = self._grant(tracked, machine, oldest, oldest.spec, free)
        self.minimum_share.granted_by_age(oldest.spec, machine_type)
        return free

    def _grant(
        self, tracked: TrackedWorker, machine: Machine, job: Job, spec: JobSpec, free: Resources
    ) -> Resources:
        """Offer resources for one task of a job with a reservation; return what is left."""
        context = self.context
        controller_id, _, role_claim = context.replica.roles[job.team]
        reservation = tracked.queue[job.id]
        reservation.count -= 1
        if reservation.count <= 0:
            del tracked.queue[job.id]
        self.next_offer += 1
        hold_s = constants.OFFER_HOLD_S
        if spec.gang_scheduled:
            hold_s += gang_hold_s(spec) + constants.PREEMPTION_RETRY_S
        tracked.offers[self.next_offer] = Offer(job.id, context.now + hold_s, role_claim)
        context.send(
            controller_id,
            peer_messages.Offer(
                machine.name,
                job.id,
                self.next_offer,
                machine.agent_epoch,
                worker_term(context, tracked),
                context.controller_id,
            ),
        )
        return subtract(free, spec)
