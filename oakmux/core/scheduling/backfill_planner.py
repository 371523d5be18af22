"""Keeps the backfill reservations of the shard's gangs up to date and announces them to peers."""

import math

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import AnnounceBackfill
from oakmux.core.resources import Resources
from oakmux.core.scheduling.backfill_candidates import candidates_for
from oakmux.core.scheduling.backfill_plan import BackfillPlan, choose_plan
from oakmux.core.scheduling.machine_index import MachineIndex
from oakmux.core.scheduling.minimum_share import machine_share
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.formats import FORMAT_COMPACT
from oakmux.core.state.records import Job
from oakmux.logs import event


class BackfillPlanner:
    """Plans which machines are reserved for a gang until capacity for all its tasks is free."""

    def __init__(self, context: Context, index: MachineIndex) -> None:
        self.context = context
        self.index = index

    def is_required(self, job: Job, spec: JobSpec) -> bool:
        """Whether a gang gets a backfill reservation although the setting is off.

        A large starving gang does. Smaller gangs find capacity without a reservation, and many
        reservations at a time cost other work more than the gangs gain.
        """
        if not is_starving(self.context, job):
            return False
        machines = max(
            (
                spec.tasks * machine_share(spec, kind)
                for kind in self.context.types.values()
                if self.context.fits_type(spec, kind.name)
            ),
            default=0.0,
        )
        large_machines = min(
            constants.BACKFILL_MIN_MACHINES,
            constants.BACKFILL_FLEET_SHARE
            * len(self.index.feasible(spec, self.context.facts.zones)),
        )
        return machines >= large_machines

    def update(self, job: Job, spec: JobSpec, state: PendingJob) -> bool:
        """Update and announce a gang's backfill reservation; return whether the gang has one.

        Called when there is no capacity for all tasks even with preemption. A gang with a
        reservation holds no capacity, and requests all of it at once when all of it is ready.
        """
        context = self.context
        if not self._is_eligible(job, spec):
            return False
        if context.now < state.next_backfill_at:  # announcements are valid for longer
            return bool(state.backfill_machines)
        state.next_backfill_at = context.now + constants.BACKFILL_PLAN_INTERVAL_S
        return self._reserve(job, spec, state, spec.tasks)

    def update_for_task(self, job: Job, spec: JobSpec, state: PendingJob) -> None:
        """Update and announce the reservation of one machine for a job's next task."""
        if (
            self.context.replica.format >= FORMAT_COMPACT
            and self.context.now >= state.next_backfill_at
        ):
            state.next_backfill_at = self.context.now + constants.BACKFILL_PLAN_INTERVAL_S
            self._reserve(job, spec, state, 1)

    def _reserve(self, job: Job, spec: JobSpec, state: PendingJob, tasks: int) -> bool:
        """Plan and announce machines for a number of tasks; return whether there is a plan."""
        plan = self._plan(job, spec, state, tasks)
        if plan is None:
            return False
        if set(plan.machines) != set(state.backfill_machines):
            event(
                "backfill_reservation",
                job=job.id,
                zone=plan.zone,
                machines=len(plan.machines),
                ready_s=round(plan.ready_s),
                lost_s=round(plan.lost_s),
                kept=len(plan.machines.keys() & state.backfill_machines.keys()),
            )
        state.backfill_machines = plan.machines
        self._announce(job, list(plan.machines), plan.ready_s)
        return True

    def _is_eligible(self, job: Job, spec: JobSpec) -> bool:
        """Whether a gang may have a backfill reservation at all."""
        return (
            (self.context.settings.scheduling.backfill or self.is_required(job, spec))
            and self.context.replica.format >= FORMAT_COMPACT
            and spec.tasks >= constants.BACKFILL_MIN_TASKS
            and not spec.spread
            and self.context.wall_clock_ms - job.eligible_ms
            >= 1000 * constants.BACKFILL_MIN_WAIT_S
        )

    def _plan(self, job: Job, spec: JobSpec, state: PendingJob, tasks: int) -> BackfillPlan | None:
        """Choose the machines to reserve, or None if there is no acceptable plan.

        Spare capacity is reserved too if there is enough, since machines may fail meanwhile.
        """
        context = self.context
        feasible = self.index.feasible(spec, context.facts.zones)
        reserved = self.index.bitmap(context.backfill.reserved_before(job))
        candidates = candidates_for(
            context,
            job,
            spec,
            self.index.sample(
                feasible - reserved,
                constants.BACKFILL_CANDIDATES,
                context.failures.excluded_machines(job),
            ),
        )
        need = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        spare = math.ceil(tasks * constants.BACKFILL_SPARE_SHARE) if tasks > 1 else 0
        plan = choose_plan(
            need, tasks + spare, candidates, spec.one_zone, state.backfill_machines
        ) or choose_plan(need, tasks, candidates, spec.one_zone, state.backfill_machines)
        if plan is None or plan.ready_s > constants.BACKFILL_HORIZON_S:
            return None
        # The first reservation is always allowed. Others must leave enough machines to other work.
        if reserved and len(reserved) + len(plan.machines) > constants.BACKFILL_FLEET_SHARE * len(
            feasible
        ):
            return None
        return plan

    def end(self, job: Job, state: PendingJob) -> bool:
        """End a job's backfill reservation; return whether it had one."""
        if not state.backfill_machines:
            return False
        state.backfill_machines = {}
        self._announce(job, [], 0.0)
        return True

    def _announce(self, job: Job, machines: list[str], ready_s: float) -> None:
        """Send a backfill reservation to all controllers; an empty list of machines ends it."""
        for label in (
            self.context.controller_id,
            *(peer.controller_id for peer in self.context.settings.peers),
        ):
            self.context.send(
                label, AnnounceBackfill(job.id, job.priority, job.eligible_ms, machines, ready_s)
            )
