"""Gangs: room for all tasks at once or for none, and an end for all when one is lost."""

import math
from collections import Counter
from typing import NamedTuple

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.capacity import gang_hold_s
from oakmux.core.context import Context, Machine, event
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, Resources, subtract, task_capacity
from oakmux.core.scheduling.backfill_candidates import sites
from oakmux.core.scheduling.backfill_plan import choose
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.minimum_share import weight
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.placement import (
    best,
    fetch_s,
    preemption_budget_s,
    request_preemption,
    reserve,
)
from oakmux.core.scheduling.queue_order import is_starving
from oakmux.core.state.records import FORMAT_COMPACT, Job
from oakmux.core.state.write_buffer import WriteBuffer

Group = tuple[float, int, list[SampledMachine], list[str]]
"""Room for a gang: tasks that hold the image there (and chance), tasks in all, machines, zones."""


class Claim(NamedTuple):
    """Room that a gang of ours has asked for; other gangs of ours count it as taken."""

    until: float
    tasks: int
    spec: JobSpec


class GangScheduler:
    """Gathers room for gangs: what is missing is asked for, from free room first, then from work
    that has to give way. One gang of ours at a time may hold a part of what it needs for long."""

    def __init__(
        self, context: Context, index: MachineIndex, open_jobs: dict[str, PendingJob]
    ) -> None:
        self.context = context
        self.index = index
        self.open = open_jobs
        self.holder = ""
        # By machine, then by job. Two gangs of ours once saw the same room as free, each got a
        # part of it, and both began anew: for minutes in a full fleet.
        self.claims: dict[str, dict[str, Claim]] = {}

    def end_turn(self, job: Job) -> None:
        """Let another gang hold room."""
        if self.holder == job.id:
            self.holder = ""

    def end(self, job: Job, state: PendingJob) -> None:
        """A gathering is over: the job is bound, or begins anew later."""
        if not state.backfill_machines:
            self.end_turn(job)
        self.index.freed(state.requested)
        for name in state.requested:
            claims = self.claims.get(name, {})
            claims.pop(job.id, None)
            if not claims:
                self.claims.pop(name, None)
        state.requested = {}
        state.hold_until = 0.0

    def unclaimed(self, job: Job, machine: Machine, free: Resources) -> Resources:
        """Return the room on a machine that other gangs of ours have not asked for."""
        if job.spec is not None and self.context.backfill.blocks_job(machine.name, job, job.spec):
            return NO_RESOURCES
        claims = self.claims.get(machine.name)
        if not claims:
            return free
        for other, claim in list(claims.items()):
            if claim.until <= self.context.now:
                del claims[other]
            elif other != job.id:
                free = subtract(free, claim.spec, claim.tasks)
        return free

    def _claim(
        self, job: Job, spec: JobSpec, state: PendingJob, chosen: dict[str, int], wait_s: float
    ) -> None:
        """Note that machines were asked for room, and for how long an answer may take."""
        now = self.context.now
        if len(self.claims) > 2 * len(self.context.machines):  # of machines that are gone
            self.claims = {
                name: claims
                for name, claims in self.claims.items()
                if name in self.context.machines
            }
        for name, count in chosen.items():
            state.requested[name] = (now + wait_s, count)
            self.claims.setdefault(name, {})[job.id] = Claim(state.hold_until, count, spec)

    def _expected_tasks(self, state: PendingJob, zones: list[str]) -> int:
        """Count the tasks of a gang for which room is held or may still be offered there."""
        now = self.context.now
        held = Counter(offer[1] for offer in state.offers if offer[6] in zones)
        coming = sum(held.values())
        for name, (until, count) in state.requested.items():
            machine = self.context.machines.get(name)
            if until > now and machine is not None and machine.zone in zones:
                coming += max(0, count - held[name])
        return coming

    def sample(self, job: Job, spec: JobSpec, state: PendingJob) -> bool:
        """Ask for the room that a gang still lacks, in one zone where it asks for that; return
        whether there was any to ask for.

        Where a zone has room for all, the one that holds the image most often is taken; else one
        where stopping work of less right makes room for all. If there is none, one gang of ours at
        a time, the oldest, holds the room that there is until more comes: several would each hold
        a part of what the others need.
        """
        context = self.context
        if not state.hold_until:
            state.hold_until = context.now + gang_hold_s(spec)
        groups: list[Group] = []
        all_zones = context.facts.zones
        for zones in [[zone] for zone in all_zones] if spec.one_zone else [all_zones]:
            coming = self._expected_tasks(state, zones)
            if coming >= spec.tasks:
                return True
            rows = self._draw(job, spec, state, zones, spec.tasks - coming)
            counts = [(task_capacity(row.free, spec), row.held) for row in rows]
            groups.append(
                (
                    sum(count for count, held in counts if held) + coming + context.rng.random(),
                    sum(count for count, _ in counts) + coming,
                    rows,
                    zones,
                )
            )
        enough = [group for group in groups if group[1] >= spec.tasks]
        if enough:
            group = max(enough, key=lambda group: min(group[0], spec.tasks))
            if not self._preempt_at_image_holders(job, spec, state, group):
                self._reserve(job, spec, state, group)
            return True
        groups.sort(key=lambda group: -group[1])
        if context.now >= max(state.next_wide_sample_at, state.preempt_at):
            state.next_wide_sample_at = context.now + constants.WIDE_S
            for group in groups:
                _, there, rows, zones = group
                fitting = self.index.fitting(spec, zones) - self.index.numbers(
                    [*(row.machine.name for row in rows), *state.requested]
                )
                if self._request_preemption(
                    job, spec, state, fitting, spec.tasks - there, math.inf
                ):
                    self._reserve(job, spec, state, group)
                    return True
        if (
            self.holder != job.id
            and self._needs_backfill(job, spec)
            and self._plan_backfill(job, spec, state)
        ):
            return bool(
                state.requested or state.offers
            )  # no turn is needed to have machines named
        waiting = self.open.get(self.holder)
        if (
            waiting is None
            or waiting.next_sample_at == math.inf
            or (is_starving(context, job) and self._precedes(job, self.holder))
        ):
            self.holder = job.id
        if self.holder == job.id and not self._plan_backfill(job, spec, state):
            self._reserve(job, spec, state, groups[0])
        return bool(state.requested or state.offers)

    def _needs_backfill(self, job: Job, spec: JobSpec) -> bool:
        """Whether a gang is to have machines opened for it though openings are off: a large one
        that must begin at last. Smaller ones find room without, and many openings at a time cost
        other work more than they gain."""
        if not is_starving(self.context, job):
            return False
        machines = max(
            (
                spec.tasks * weight(spec, kind)
                for kind in self.context.types.values()
                if self.context.fits_type(spec, kind.name)
            ),
            default=0.0,
        )
        large = min(
            constants.OPENING_MACHINES,
            constants.OPENING_SHARE * len(self.index.fitting(spec, self.context.facts.zones)),
        )
        return machines >= large

    def _precedes(self, job: Job, name: str) -> bool:
        """Whether a gang that must begin at last goes before the one that gathers now."""
        mine, other = (
            (-one.priority, not is_starving(self.context, one), one.since, one.id)
            for one in (job, self.context.replica.jobs[name])
        )
        return mine < other

    def _plan_backfill(self, job: Job, spec: JobSpec, state: PendingJob) -> bool:
        """Name the machines that are to be opened for a gang; return whether there are such.

        Only where there is no room for all even with what can be stopped. Then nothing is held:
        the gang asks for all at once when all is ready.
        """
        context = self.context
        if (
            not (context.settings.spread.openings or self._needs_backfill(job, spec))
            or context.replica.format < FORMAT_COMPACT
            or spec.tasks < constants.OPENING_TASKS
            or spec.spread
            or context.wall_clock_ms - job.since < 1000 * constants.OPENING_AFTER_S
        ):
            return False
        if context.now < state.next_backfill_at:  # its word stands for longer than that
            return bool(state.backfill_machines)
        state.next_backfill_at = context.now + constants.OPENING_EVERY_S
        fitting = self.index.fitting(spec, context.facts.zones)
        others = context.backfill.held(job)
        taken = self.index.numbers(others)
        rows = sites(
            context,
            job,
            spec,
            self.index.some(fitting - taken, constants.OPENING_LOOKS, state.excluded_machines),
        )
        spare = math.ceil(spec.tasks * constants.OPENING_SPARE)
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        chosen = choose(
            need, spec.tasks + spare, rows, spec.one_zone, state.backfill_machines
        ) or choose(need, spec.tasks, rows, spec.one_zone, state.backfill_machines)
        # One opening may always be; with others, enough must be left for other work.
        if (
            chosen is None
            or chosen.ready_s > constants.OPENING_MOST_S
            or (
                taken
                and len(taken) + len(chosen.machines) > constants.OPENING_SHARE * len(fitting)
            )
        ):
            return False
        if set(chosen.machines) != set(state.backfill_machines):
            event(
                "opening",
                job=job.id,
                zone=chosen.zone,
                machines=len(chosen.machines),
                ready_s=round(chosen.ready_s),
                lost_s=round(chosen.lost_s),
                kept=len(chosen.machines.keys() & state.backfill_machines.keys()),
            )
        state.backfill_machines = chosen.machines
        self._announce_backfill(job, list(chosen.machines), chosen.ready_s)
        return True

    def _announce_backfill(self, job: Job, names: list[str], ready_s: float) -> None:
        """Tell all controllers of an opening, or that it is over."""
        for label in (self.context.label, *(m.label for m in self.context.settings.members)):
            self.context.emit(
                "send", label, ("opening", job.id, job.priority, job.since, names, ready_s)
            )

    def end_backfill(self, job: Job, state: PendingJob) -> None:
        """End a job's opening: it is bound, or over."""
        if state.backfill_machines:
            state.backfill_machines = {}
            self.end_turn(job)
            self._announce_backfill(job, [], 0.0)

    def _request_preemption(
        self, job: Job, spec: JobSpec, state: PendingJob, among: BitMap, wanted: int, most: float
    ) -> bool:
        """Ask for work to stop on as many machines as tasks lack room; return whether it was."""
        now = self.context.now
        names = request_preemption(self.context, self.index, job, spec, state, among, wanted, most)
        if names:
            wait_s = state.preempt_at - now
            state.hold_until = min(max(state.hold_until, now + wait_s), state.hold_until + wait_s)
            self._claim(job, spec, state, dict.fromkeys(names, 1), wait_s)
        return bool(names)

    def _preempt_at_image_holders(
        self, job: Job, spec: JobSpec, state: PendingJob, group: Group
    ) -> bool:
        """Make room where the image is for all tasks that would fetch it, if that costs less than
        the fetch: one task that fetches keeps the whole gang waiting."""
        _, there, rows, zones = group
        fetching = [row for row in rows if not row.held]
        held = [row for row in rows if row.held]
        missing = (
            spec.tasks
            - self._expected_tasks(state, zones)
            - sum(task_capacity(row.free, spec) for row in held)
        )
        if missing <= 0 or not fetching or spec.spread:
            return False
        if state.image_wait_until is None:  # tried for no longer than the fetch would take
            state.image_wait_until = self.context.now + fetch_s(
                self.context, spec, fetching[0].machine
            )
        holders = self.index.holding(spec, zones) - self.index.numbers(
            [*(row.machine.name for row in held), *state.requested]
        )
        if self.context.now > state.image_wait_until or not self._request_preemption(
            job,
            spec,
            state,
            holders,
            missing,
            preemption_budget_s(self.context, spec, fetching[0].machine),
        ):
            return False
        self._reserve(job, spec, state, (0.0, there, held, zones))
        return True

    def _draw(
        self, job: Job, spec: JobSpec, state: PendingJob, zones: list[str], missing: int
    ) -> list[SampledMachine]:
        """Draw machines with room that is still free for a gang; of a zone no more than its
        tasks may have there."""

        def unclaimed(machine: Machine, free: Resources) -> Resources:
            return self.unclaimed(job, machine, free)

        out = {*state.excluded_machines, *state.requested}
        if not spec.spread:
            return self.index.draw(spec, zones, out, missing, unclaimed)
        rows: list[SampledMachine] = []
        for zone in zones:
            most = min(missing, math.ceil(spec.tasks / 2) - self._expected_tasks(state, [zone]))
            for row in self.index.draw(spec, [zone], out, most, unclaimed) if most > 0 else ():
                count = min(most, task_capacity(row.free, spec))
                if count:
                    most -= count
                    rows.append(row._replace(free=subtract(NO_RESOURCES, spec, -count)))
        return rows

    def _reserve(self, job: Job, spec: JobSpec, state: PendingJob, group: Group) -> None:
        """Reserve what was drawn in a zone, as far as it is still missing."""
        _, _, rows, zones = group
        chosen = best(
            self.context, job, spec, rows, spec.tasks - self._expected_tasks(state, zones)
        )
        self._claim(job, spec, state, chosen, constants.GANG_ANSWER_S)
        reserve(self.context, job, chosen)


def stop_rest(buffer: WriteBuffer, job: Job, spec: JobSpec, attempt: int) -> None:
    """Stop what is left of a gang's attempt that lost a task."""
    for index in range(spec.tasks):
        number = index // buffer.tasks_per_record
        binding = buffer.block(job, number).bound.get(index)
        if binding is not None and binding.attempt == attempt and not binding.stop:
            buffer.edit(job, number).bound[index] = binding._replace(stop=True)
