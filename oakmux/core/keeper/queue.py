"""The queues at machines: reservations, offers of room, and work that gives way to other work."""

from collections.abc import Collection

from oakmux import constants
from oakmux.core import teams
from oakmux.core.context import Context, Machine, Task, event
from oakmux.core.jobs import Job
from oakmux.core.keeper.kept import Kept, Reservation, Ward
from oakmux.core.keeper.minimum_share import MinimumShare
from oakmux.core.keeper.room import Room, full, gather_s, has_room, less, room, usable
from oakmux.core.keeper.word import Word
from oakmux.core.spread.order import elder, late, turn_ms
from oakmux.wire import JobSpec


class Queue:
    """Queues reservations at the machines that we keep and offers their room."""

    def __init__(self, context: Context, ward: Ward, word: Word) -> None:
        self.context = context
        self.ward = ward
        self.word = word
        self.next_offer = 0
        self.minimum_share = MinimumShare(context)

    def reserve(self, name: str, job_id: str, count: int, preempt: bool = False) -> None:
        """Queue a reservation at a machine that we keep; make room for it if told to."""
        kept = self.ward.kept.get(name)
        machine = self.context.machines.get(name)
        if kept is None or machine is None or machine.keeper != self.context.label:
            return
        known = kept.queue.get(job_id)
        if known is not None:
            known.count = max(known.count, count)
        elif len(kept.queue) < constants.MAX_QUEUE_PER_MACHINE:
            kept.queue[job_id] = Reservation(job_id, count, self.context.now)
        if preempt:
            self._preempt(kept, machine, job_id)
        self.ward.poke.add(name)

    def _preempt(self, kept: Kept, machine: Machine, job_id: str) -> None:
        context = self.context
        job = context.replica.jobs.get(job_id)
        # A task that was stopped stays in the reports until it is forgotten; it stops nothing.
        stopping = any(machine.tasks.get(task, ("exited",))[0] != "exited" for task in kept.stops)
        if (
            job is None
            or job.spec is None
            or job.final
            or stopping
            or not usable(context, machine)
        ):
            return
        chosen = victims(
            context, machine, job, job.spec, teams.usage(context), self.held(kept), kept.firm
        )
        for task in chosen[1] if chosen is not None else ():
            kept.stops[task] = context.now
            event("preempt", task=task[0], attempt=task[1], machine=machine.name, by=job_id)

    def decline(self, name: str, offer_id: int) -> None:
        """The owner has no task for an offer: release the room, offer it to the next."""
        kept = self.ward.kept.get(name)
        if kept is not None and kept.offers.pop(offer_id, None) is not None:
            self.ward.poke.add(name)

    def held(self, kept: Kept) -> list[JobSpec]:
        """Return what is held for offers."""
        now = self.context.now
        specs = []
        for offer_id, (job_id, until, claim) in list(kept.offers.items()):
            job = self.context.replica.jobs.get(job_id)
            # Once the team has another owner, nothing can come of offers to the one before.
            if (
                until <= now
                or job is None
                or job.spec is None
                or self.context.replica.roles.get(job.team, ("", 0, 0))[2] != claim
            ):
                del kept.offers[offer_id]
            else:
                specs.append(job.spec)
        return specs

    def records_changed(self, name: str) -> None:
        """Bindings on a machine changed: those that answer an offer end its hold."""
        self.ward.poke.add(name)
        kept = self.ward.kept.get(name)
        if kept is None:
            return
        bound = self.context.replica.by_machine.get(name, {})
        known = {(job_id, index, b.attempt) for (job_id, index), b in bound.items()}
        for job_id, _, _ in known - kept.known:
            for offer_id, (held_for, _, _) in kept.offers.items():
                if held_for == job_id:
                    del kept.offers[offer_id]
                    break
        kept.known = known
        kept.firm &= {row[0] for row in known} | {row[0] for row in kept.offers.values()}

    def offer(self, name: str) -> None:
        """Offer free room to the owners of queued reservations, best rank first."""
        context = self.context
        kept = self.ward.kept.get(name)
        machine = context.machines.get(name)
        if (
            kept is None
            or not kept.queue
            or machine is None
            or machine.keeper != context.label
            or machine.fencing_token != context.term
            or not context.term
            or not self.word.state_fresh()
            or not usable(context, machine)
        ):
            return
        free = room(context, machine, self.held(kept))
        if full(context, free):
            return
        used = teams.usage(context)
        ranked = []
        for reservation in list(kept.queue.values()):
            job = context.replica.jobs.get(reservation.job_id)
            if (
                job is None
                or job.final
                or job.spec is None
                or context.now - reservation.since > constants.RETRY_MOST_S
            ):
                del kept.queue[reservation.job_id]
                continue
            if not has_room(free, job.spec) or context.openings.bars(name, job, job.spec):
                continue
            # The age of the job, not of the reservation: of two gangs that wait for the same
            # machines, one must come first at all of them.
            ranked.append(
                (rank(context, job, job.spec, used), job.since, job.id, reservation, job)
            )
        ranked.sort(key=lambda row: row[:3])
        kind = context.types[machine.type]
        oldest = self.minimum_share.oldest(
            kind, free, (row[-1] for row in ranked if row[-1].team in context.replica.roles)
        )
        if oldest is not None and oldest.spec is not None:
            # Work that came by its age is not stopped again for what stands above it.
            kept.firm.add(oldest.id)
            free = self._hand(kept, machine, oldest, oldest.spec, free)
            self.minimum_share.gave(oldest.spec, kind, True)
        for *_, reservation, job in ranked:
            spec = job.spec
            assert spec is not None
            if job.team not in context.replica.roles:
                continue
            while reservation.count > 0 and has_room(free, spec):
                free = self._hand(kept, machine, job, spec, free)
                self.minimum_share.gave(spec, kind, False)

    def _hand(self, kept: Kept, machine: Machine, job: Job, spec: JobSpec, free: Room) -> Room:
        """Offer room for one task of a job that has a reservation; return what is left."""
        context = self.context
        label, _, claim = context.replica.roles[job.team]
        reservation = kept.queue[job.id]
        reservation.count -= 1
        if reservation.count <= 0:
            del kept.queue[job.id]
        self.next_offer += 1
        hold = constants.OFFER_HOLD_S
        if spec.joint:
            hold += gather_s(spec) + constants.PREEMPT_S
        kept.offers[self.next_offer] = (job.id, context.now + hold, claim)
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
        return less(free, spec)


def save_s(context: Context, tasks: list[Task]) -> float:
    """Return the seconds for which tasks save once they are told to stop. A gang that did not
    wait for that let the room go that it had made, for minutes."""
    specs = [context.replica.jobs[name.partition("/")[0]].spec for name, _ in tasks]
    return max(
        (spec.save_s for spec in specs if spec is not None and spec.checkpoint_s), default=0.0
    )


def victims(
    context: Context,
    machine: Machine,
    job: Job,
    spec: JobSpec,
    used: dict[str, tuple[float, float]],
    held: list[JobSpec] | None = None,
    firm: Collection[str] = (),
) -> tuple[float, list[Task]] | None:
    """Return (lost work, tasks) whose end makes room for one task of a job, or None.

    Only work of lower priority may go, and, for a job within its team's guarantee, work that
    another team runs beyond its own guarantee. What has least to lose goes first, and nothing of
    the jobs in `firm`.
    """
    beyond = teams.beyond(context, job, spec, used)
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
            or other.id in firm
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
    free = room(context, machine, held)
    chosen: list[Task] = []
    total = 0.0
    for _, lost, task, other_spec in rows:
        if has_room(free, spec):
            break
        free = less(free, other_spec, -1)
        chosen.append(task)
        total += lost
    if not chosen or not has_room(free, spec):
        return None
    for _, lost, task, other_spec in reversed(rows[: len(chosen)]):
        less_free = less(free, other_spec)
        if len(chosen) > 1 and has_room(less_free, spec):  # made needless by what came after it
            free = less_free
            chosen.remove(task)
            total -= lost
    return total, chosen


def rank(context: Context, job: Job, spec: JobSpec, used: dict[str, tuple[float, float]]) -> tuple:
    """Return the order in a queue: guaranteed work and priority first, then what must begin at
    last, what has to start first for a deadline, what can meet its aim, fair between teams, and
    by turn."""
    return (
        not teams.inside(context, job, spec, used),
        -job.priority,
        not elder(context, job),
        job.latest,
        late(context, job, spec),
        teams.share(context, job.team, used),
        turn_ms(context, job, spec),
    )
