"""Gangs: room for all tasks at once or for none, and an end for all when one is lost."""

import math
from collections import Counter
from typing import NamedTuple

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.capacity import Resources, gang_hold_s, subtract, task_capacity
from oakmux.core.context import Context, Machine, event
from oakmux.core.index import Drawn, Index
from oakmux.core.jobs import FORMAT_COMPACT, Job
from oakmux.core.owner.places import best, fetch_s, make_room, reserve, worth_s
from oakmux.core.owner.state import Open
from oakmux.core.owner.write_buffer import WriteBuffer
from oakmux.core.scheduling.minimum_share import weight
from oakmux.core.spread.opening import choose
from oakmux.core.spread.order import elder
from oakmux.core.spread.sites import sites
from oakmux.wire import JobSpec

Group = tuple[float, int, list[Drawn], list[str]]
"""Room for a gang: tasks that hold the image there (and chance), tasks in all, machines, zones."""


class Claim(NamedTuple):
    """Room that a gang of ours has asked for; other gangs of ours count it as taken."""

    until: float
    tasks: int
    spec: JobSpec


class Gangs:
    """Gathers room for gangs: what is missing is asked for, from free room first, then from work
    that has to give way. One gang of ours at a time may hold a part of what it needs for long."""

    def __init__(self, context: Context, index: Index, open_jobs: dict[str, Open]) -> None:
        self.context = context
        self.index = index
        self.open = open_jobs
        self.gathering = ""
        # By machine, then by job. Two gangs of ours once saw the same room as free, each got a
        # part of it, and both began anew: for minutes in a full fleet.
        self.claims: dict[str, dict[str, Claim]] = {}

    def end_turn(self, job: Job) -> None:
        """Let another gang hold room."""
        if self.gathering == job.id:
            self.gathering = ""

    def end(self, job: Job, state: Open) -> None:
        """A gathering is over: the job is bound, or begins anew later."""
        if not state.opening:
            self.end_turn(job)
        self.index.freed(state.asked)
        for name in state.asked:
            claims = self.claims.get(name, {})
            claims.pop(job.id, None)
            if not claims:
                self.claims.pop(name, None)
        state.asked = {}
        state.gather_until = 0.0

    def left(self, job: Job, machine: Machine, free: Resources) -> Resources:
        """Return the room on a machine that other gangs of ours have not asked for."""
        if job.spec is not None and self.context.openings.bars(machine.name, job, job.spec):
            return 0.0, 0.0, 0.0
        claims = self.claims.get(machine.name)
        if not claims:
            return free
        for other, claim in list(claims.items()):
            if claim.until <= self.context.now:
                del claims[other]
            elif other != job.id:
                free = subtract(free, claim.spec, claim.tasks)
        return free

    def _ask(
        self, job: Job, spec: JobSpec, state: Open, chosen: dict[str, int], wait_s: float
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
            state.asked[name] = (now + wait_s, count)
            self.claims.setdefault(name, {})[job.id] = Claim(state.gather_until, count, spec)

    def _coming(self, state: Open, zones: list[str]) -> int:
        """Count the tasks of a gang for which room is held or may still be offered there."""
        now = self.context.now
        held = Counter(offer[1] for offer in state.offers if offer[6] in zones)
        coming = sum(held.values())
        for name, (until, count) in state.asked.items():
            machine = self.context.machines.get(name)
            if until > now and machine is not None and machine.zone in zones:
                coming += max(0, count - held[name])
        return coming

    def sample(self, job: Job, spec: JobSpec, state: Open) -> bool:
        """Ask for the room that a gang still lacks, in one zone where it asks for that; return
        whether there was any to ask for.

        Where a zone has room for all, the one that holds the image most often is taken; else one
        where stopping work of less right makes room for all. If there is none, one gang of ours at
        a time, the oldest, holds the room that there is until more comes: several would each hold
        a part of what the others need.
        """
        context = self.context
        if not state.gather_until:
            state.gather_until = context.now + gang_hold_s(spec)
        groups: list[Group] = []
        all_zones = context.facts.zones
        for zones in [[zone] for zone in all_zones] if spec.one_zone else [all_zones]:
            coming = self._coming(state, zones)
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
            if not self._spare_fetch(job, spec, state, group):
                self._reserve(job, spec, state, group)
            return True
        groups.sort(key=lambda group: -group[1])
        if context.now >= max(state.next_wide, state.preempt_at):
            state.next_wide = context.now + constants.WIDE_S
            for group in groups:
                _, there, rows, zones = group
                fitting = self.index.fitting(spec, zones) - self.index.numbers(
                    [*(row.machine.name for row in rows), *state.asked]
                )
                if self._make_room(job, spec, state, fitting, spec.tasks - there, math.inf):
                    self._reserve(job, spec, state, group)
                    return True
        if (
            self.gathering != job.id
            and self._must_open(job, spec)
            and self._open(job, spec, state)
        ):
            return bool(state.asked or state.offers)  # no turn is needed to have machines named
        waiting = self.open.get(self.gathering)
        if (
            waiting is None
            or waiting.next_sample == math.inf
            or (elder(context, job) and self._before(job, self.gathering))
        ):
            self.gathering = job.id
        if self.gathering == job.id and not self._open(job, spec, state):
            self._reserve(job, spec, state, groups[0])
        return bool(state.asked or state.offers)

    def _must_open(self, job: Job, spec: JobSpec) -> bool:
        """Whether a gang is to have machines opened for it though openings are off: a large one
        that must begin at last. Smaller ones find room without, and many openings at a time cost
        other work more than they gain."""
        if not elder(self.context, job):
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

    def _before(self, job: Job, name: str) -> bool:
        """Whether a gang that must begin at last goes before the one that gathers now."""
        mine, other = (
            (-one.priority, not elder(self.context, one), one.since, one.id)
            for one in (job, self.context.replica.jobs[name])
        )
        return mine < other

    def _open(self, job: Job, spec: JobSpec, state: Open) -> bool:
        """Name the machines that are to be opened for a gang; return whether there are such.

        Only where there is no room for all even with what can be stopped. Then nothing is held:
        the gang asks for all at once when all is ready.
        """
        context = self.context
        if (
            not (context.settings.spread.openings or self._must_open(job, spec))
            or context.replica.format < FORMAT_COMPACT
            or spec.tasks < constants.OPENING_TASKS
            or spec.spread
            or context.wall_clock_ms - job.since < 1000 * constants.OPENING_AFTER_S
        ):
            return False
        if context.now < state.next_open:  # its word stands for longer than that
            return bool(state.opening)
        state.next_open = context.now + constants.OPENING_EVERY_S
        fitting = self.index.fitting(spec, context.facts.zones)
        others = context.openings.held(job)
        taken = self.index.numbers(others)
        rows = sites(
            context,
            job,
            spec,
            self.index.some(fitting - taken, constants.OPENING_LOOKS, state.avoid),
        )
        spare = math.ceil(spec.tasks * constants.OPENING_SPARE)
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        chosen = choose(need, spec.tasks + spare, rows, spec.one_zone, state.opening) or choose(
            need, spec.tasks, rows, spec.one_zone, state.opening
        )
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
        if set(chosen.machines) != set(state.opening):
            event(
                "opening",
                job=job.id,
                zone=chosen.zone,
                machines=len(chosen.machines),
                ready_s=round(chosen.ready_s),
                lost_s=round(chosen.lost_s),
                kept=len(chosen.machines.keys() & state.opening.keys()),
            )
        state.opening = chosen.machines
        self._say(job, list(chosen.machines), chosen.ready_s)
        return True

    def _say(self, job: Job, names: list[str], ready_s: float) -> None:
        """Tell all controllers of an opening, or that it is over."""
        for label in (self.context.label, *(m.label for m in self.context.settings.members)):
            self.context.emit(
                "send", label, ("opening", job.id, job.priority, job.since, names, ready_s)
            )

    def close(self, job: Job, state: Open) -> None:
        """End a job's opening: it is bound, or over."""
        if state.opening:
            state.opening = {}
            self.end_turn(job)
            self._say(job, [], 0.0)

    def _make_room(
        self, job: Job, spec: JobSpec, state: Open, among: BitMap, wanted: int, most: float
    ) -> bool:
        """Ask for work to stop on as many machines as tasks lack room; return whether it was."""
        now = self.context.now
        names = make_room(self.context, self.index, job, spec, state, among, wanted, most)
        if names:
            wait_s = state.preempt_at - now
            state.gather_until = min(
                max(state.gather_until, now + wait_s), state.gather_until + wait_s
            )
            self._ask(job, spec, state, dict.fromkeys(names, 1), wait_s)
        return bool(names)

    def _spare_fetch(self, job: Job, spec: JobSpec, state: Open, group: Group) -> bool:
        """Make room where the image is for all tasks that would fetch it, if that costs less than
        the fetch: one task that fetches keeps the whole gang waiting."""
        _, there, rows, zones = group
        fetching = [row for row in rows if not row.held]
        held = [row for row in rows if row.held]
        missing = (
            spec.tasks
            - self._coming(state, zones)
            - sum(task_capacity(row.free, spec) for row in held)
        )
        if missing <= 0 or not fetching or spec.spread:
            return False
        if state.patient_until is None:  # tried for no longer than the fetch would take
            state.patient_until = self.context.now + fetch_s(
                self.context, spec, fetching[0].machine
            )
        holders = self.index.holding(spec, zones) - self.index.numbers(
            [*(row.machine.name for row in held), *state.asked]
        )
        if self.context.now > state.patient_until or not self._make_room(
            job, spec, state, holders, missing, worth_s(self.context, spec, fetching[0].machine)
        ):
            return False
        self._reserve(job, spec, state, (0.0, there, held, zones))
        return True

    def _draw(
        self, job: Job, spec: JobSpec, state: Open, zones: list[str], missing: int
    ) -> list[Drawn]:
        """Draw machines with room that is still free for a gang; of a zone no more than its
        tasks may have there."""

        def left(machine: Machine, free: Resources) -> Resources:
            return self.left(job, machine, free)

        out = {*state.avoid, *state.asked}
        if not spec.spread:
            return self.index.draw(spec, zones, out, missing, left)
        rows: list[Drawn] = []
        for zone in zones:
            most = min(missing, math.ceil(spec.tasks / 2) - self._coming(state, [zone]))
            for row in self.index.draw(spec, [zone], out, most, left) if most > 0 else ():
                count = min(most, task_capacity(row.free, spec))
                if count:
                    most -= count
                    rows.append(row._replace(free=subtract((0.0, 0.0, 0.0), spec, -count)))
        return rows

    def _reserve(self, job: Job, spec: JobSpec, state: Open, group: Group) -> None:
        """Reserve what was drawn in a zone, as far as it is still missing."""
        _, _, rows, zones = group
        chosen = best(self.context, job, spec, rows, spec.tasks - self._coming(state, zones))
        self._ask(job, spec, state, chosen, constants.GANG_ANSWER_S)
        reserve(self.context, job, chosen)


def stop_rest(buffer: WriteBuffer, job: Job, spec: JobSpec, attempt: int) -> None:
    """Stop what is left of a gang's attempt that lost a task."""
    for index in range(spec.tasks):
        number = index // buffer.per_chunk
        binding = buffer.chunk(job, number).bound.get(index)
        if binding is not None and binding.attempt == attempt and not binding.stop:
            buffer.edit(job, number).bound[index] = binding._replace(stop=True)
