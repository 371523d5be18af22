"""The keeper's side: workers that report to us, their queues, offers and commands."""

import math
from typing import Any

from oakmux import constants, wire
from oakmux.core import teams
from oakmux.core.jobs import Binding, Job
from oakmux.core.membership import Membership
from oakmux.core.world import Machine, Task, World, event
from oakmux.wire import JobSpec, Report

Room = tuple[float, float, float]
STARTING = ("starting", "", False)
REFUSED = ("refused", "", False)


class Reservation:
    """A job's place in a machine's queue."""

    __slots__ = ("job_id", "count", "since")

    def __init__(self, job_id: str, count: int, since: float) -> None:
        self.job_id = job_id
        self.count = count
        self.since = since


class Kept:
    """What a keeper remembers of a machine that reports to it."""

    __slots__ = ("queue", "offers", "starting", "answered", "refused", "ordering", "direct_after",
                 "orphans", "stops", "known", "delayed")

    def __init__(self) -> None:
        self.queue: dict[str, Reservation] = {}
        self.offers: dict[int, tuple[str, float, int]] = {}
        self.starting: dict[Task, int] = {}
        self.answered: set[Task] = set()
        self.refused: set[Task] = set()
        self.ordering = False
        self.direct_after = 0.0
        self.orphans: dict[Task, float] = {}
        self.stops: dict[Task, float] = {}
        self.known: set[tuple[str, int, int]] = set()
        self.delayed: dict[Task, float] = {}


def room(world: World, machine: Machine, extra: list[JobSpec] | None = None) -> Room:
    """Return what is free on a machine: reported tasks, records and `extra` taken off."""
    free = world.replica.rooms.get(machine.name)
    if free is None:
        free = count_room(world, machine)
        world.replica.rooms[machine.name] = free
    for spec in extra or ():
        free = less(free, spec)
    return free


def count_room(world: World, machine: Machine) -> Room:
    """Count the room of a machine anew; `room` keeps the result until something changes."""
    kind = world.types.get(machine.type)
    if kind is None:
        return 0.0, 0.0, 0.0
    cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
    jobs = world.replica.jobs
    live = {task for (task, _), state in machine.tasks.items()
            if state[0] not in ("exited", "refused")}
    for (job_id, index), binding in world.replica.by_machine.get(machine.name, {}).items():
        task = f"{job_id}/{index}"
        if (binding.session >= machine.session
                and machine.tasks.get((task, binding.attempt), ("",))[0] != "exited"):
            live.add(task)
    for task in live:
        job = jobs.get(task.partition("/")[0])
        if job is not None and job.spec is not None:
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory -= job.spec.memory_gb
    return cpus, gpus, memory


def has_room(free: Room, spec: JobSpec) -> bool:
    """Whether one task fits into the free room."""
    slack = constants.EPSILON
    return (spec.cpus <= free[0] + slack and spec.gpus <= free[1] + slack
            and spec.memory_gb <= free[2] + slack)


def less(free: Room, spec: JobSpec, count: int = 1) -> Room:
    """Return the room that is left after `count` tasks."""
    return (free[0] - count * spec.cpus, free[1] - count * spec.gpus,
            free[2] - count * spec.memory_gb)


def times(free: Room, spec: JobSpec) -> int:
    """Return how many tasks fit."""
    counts = [math.floor((have + constants.EPSILON) / need)
              for have, need in zip(free, (spec.cpus, spec.gpus, spec.memory_gb), strict=True)
              if need > 0]
    return max(0, min(counts, default=1))


def gather_s(spec: JobSpec) -> float:
    """Return the seconds for which a gang gathers room; large ones may wait for machines."""
    if not spec.joint:
        return 0.0
    return min(constants.GANG_GATHER_S + spec.tasks * constants.GANG_GATHER_TASK_S,
               constants.GANG_GATHER_MOST_S)


def usable(world: World, machine: Machine) -> bool:
    """Whether new tasks may be put on a machine: not on one that fell silent, where they would be
    stuck until it is proven gone."""
    silent = constants.SILENT_REPORTS * world.facts.workers.report_s + 2 * constants.ALIVE_S
    return (world.now - machine.heard < silent
            and machine.name not in world.draining and machine.notice_at is None
            and machine.name not in world.replica.gone
            and len(machine.errors) < constants.SICK_ERRORS)


class Keeper:
    """Hears workers, queues reservations, makes offers, gives commands."""

    def __init__(self, world: World, membership: Membership) -> None:
        self.world = world
        self.membership = membership
        self.kept: dict[str, Kept] = {}
        self.peer_fresh: dict[str, float] = {}
        self.peer_life: dict[str, int] = {}
        self.peer_heard: dict[str, float] = {}
        self.mesh_broken = False
        self.cancelled: dict[str, float] = {}
        self.next_offer = 0
        self.poke: set[str] = set()
        # Machines where a start is held back until others of its gang have their image.
        self.delaying: set[str] = set()
        self.next_look = 0.0

    # --- may we keep workers alive? ---

    def cancels_known_until(self) -> float:
        """Return the time up to which we know of every cancellation that was answered."""
        world = self.world
        known = max([world.state_heard, *self.peer_fresh.values()])
        members = world.settings.members
        if not self.mesh_broken and all(m.label in self.peer_heard for m in members):
            known = max(known, min((self.peer_heard[m.label] for m in members),
                                   default=world.now))
        return known

    def may_keep(self) -> bool:
        """Whether leases that we renew still end before a cancellation we can't know of."""
        times_ = self.world.facts.workers
        patience = times_.cancel_s - times_.lease_s - constants.CANCEL_MARGIN_S
        return self.world.now - self.cancels_known_until() < max(patience, 0.0)

    def state_fresh(self) -> bool:
        """Whether our own records are current."""
        return self.world.now - self.world.state_heard < constants.STATE_STALE_S

    def peer_alive(self, label: str, life: int, state_age: float, cancelled: list[str],
                   asked: float) -> None:
        """Take a peer's answer to a question asked at `asked`: it lives, and what was cancelled.

        The time of the question counts, so that an answer that was held up is not taken for new.
        """
        now = self.world.now
        if self.peer_life.get(label, life) != life and not self.state_fresh():
            # A peer that restarted may have answered a cancellation and died before telling us.
            self.mesh_broken = True
        self.peer_life[label] = life
        if life:
            self.peer_heard[label] = asked
            self.peer_fresh[label] = max(self.peer_fresh.get(label, -1e9), asked - state_age)
        for job_id in cancelled:
            if job_id not in self.cancelled:
                self.cancelled[job_id] = now
                self._poke_job(job_id)

    def note_cancelled(self, job_id: str) -> None:
        """Remember a cancellation, to stop its tasks and to tell peers."""
        self.cancelled.setdefault(job_id, self.world.now)
        self._poke_job(job_id)

    def _poke_job(self, job_id: str) -> None:
        job = self.world.replica.jobs.get(job_id)
        if job is not None:
            self.poke.update(b.machine for b in job.bindings())

    # --- reports ---

    def report(self, rid: Any, report: Report) -> None:
        """Take a worker's report and answer it."""
        world = self.world
        machine = world.machines.get(report.machine)
        if machine is not None and (report.session, report.seq) <= machine.version:
            world.emit("answer", rid, 503, ("error", "old report"))
            return
        if report.machine in world.replica.gone:
            world.emit("answer", rid, 503, ("error", "returned"))
            return
        if not world.replica.loaded or world.replica.foreign or not self.may_keep():
            world.emit("answer", rid, 503, ("error", "no current records"))
            return
        kept = self.kept.setdefault(report.machine, Kept())
        kept.answered.clear()
        machine = self._take(kept, report)
        if not self.state_fresh():
            # Refused by the state service alone: hand the worker over to a peer that is not.
            for label, fresh in self.peer_fresh.items():
                if world.now - fresh < constants.STATE_STALE_S / 2:
                    world.emit("answer", rid, 421, ("report_to", label))
                    return
        if report.token > world.term or not world.term:
            self.membership.need_term_above(report.token)
            if report.token:
                # The worker's own token keeps its lease; nothing starts under it.
                world.emit("answer", rid, 200, ("orders", report.token, []))
            else:
                world.emit("answer", rid, 503, ("error", "no term yet"))
            return
        orders, starts = self._orders(kept, machine, forget=True)
        kept.answered.update(starts)
        world.emit("answer", rid, 200, ("orders", world.term, orders))
        if starts:
            world.dirty_machines.add(machine.name)
        self.offer(machine.name)

    def _take(self, kept: Kept, report: Report) -> Machine:
        world = self.world
        for task, term in list(kept.starting.items()):
            # A start whose answer was lost is resolved once the worker shows the task, a newer
            # session or a token above the start's: it can't act any more, or it has.
            if task in report.tasks or report.token > term:
                del kept.starting[task]
        machine = world.machines.get(report.machine)
        if machine is not None and report.session > machine.session:
            kept.starting.clear()
            kept.refused.clear()
            kept.offers.clear()
            kept.stops.clear()
        take_report(world, report, world.label, world.term)
        return world.machines[report.machine]

    def shown(self, machine: Machine) -> dict[Task, tuple[str, str, bool]]:
        """Return the tasks as owners must see them: unresolved and refused starts added."""
        kept = self.kept.get(machine.name)
        if kept is None or machine.keeper != self.world.label:
            return machine.tasks
        tasks = dict(machine.tasks)
        for task in [*kept.starting, *kept.answered]:
            tasks.setdefault(task, STARTING)
        for task in kept.refused:
            tasks.setdefault(task, REFUSED)
        return tasks

    # --- commands ---

    def _orders(self, kept: Kept, machine: Machine, forget: bool) -> tuple[list[dict], list[Task]]:
        """Return the commands that a machine needs now, and which tasks they start."""
        world = self.world
        orders: list[dict] = []
        starts: list[Task] = []
        bound = world.replica.by_machine.get(machine.name, {})
        settled = machine.token == world.term
        names: set[Task] = set()
        for (job_id, index), binding in bound.items():
            task = (f"{job_id}/{index}", binding.attempt)
            names.add(task)
            job = world.replica.jobs.get(job_id)
            if job is None:
                continue
            ended = job.final or job_id in self.cancelled
            state = machine.tasks.get(task)
            if state is not None:
                if self._must_save(machine, job, state[0]):
                    kept.stops.setdefault(task, world.now)
                if state[0] != "exited" and (ended or binding.stop or task in kept.stops):
                    self._stop(kept, machine, orders, task, state[0], job, ended)
                continue
            if task in kept.starting or task in kept.answered or binding.term != world.term:
                continue
            if binding.session != machine.session or not settled:
                continue
            if ended or binding.stop:
                if task not in kept.refused:
                    kept.refused.add(task)
                    world.dirty_machines.add(machine.name)
            elif self._too_soon(kept, machine, job, binding, task):
                self.delaying.add(machine.name)
            elif task not in kept.refused and self.state_fresh():
                orders.append(wire.order("start", *task))
                starts.append(task)
        kept.refused &= names
        kept.delayed = {task: since for task, since in kept.delayed.items() if task in names}
        for task in [task for task in kept.stops if task not in machine.tasks]:
            del kept.stops[task]
        if forget:
            self._unbound(kept, machine, orders, names)
        return orders, starts

    def _too_soon(self, kept: Kept, machine: Machine, job: Job, binding: Binding,
                  task: Task) -> bool:
        """Whether a gang's task that has its image should be started later, since others fetch it.

        The task would wait for them, `gang_wait_s` at most, and end with the whole attempt: a
        fetch that takes longer was so given up and begun anew for ever.
        """
        world, spec = self.world, job.spec
        if spec is None or not spec.joint or spec.image not in machine.images:
            return False
        slowest = world.fetch_s(spec, machine.type) * constants.FETCH_SPREAD
        patience = slowest - world.facts.workers.gang_wait_s * constants.GANG_WAIT_SHARE
        if world.now - kept.delayed.setdefault(task, world.now) >= patience:
            return False
        for chunk in job.chunks.values():
            for index, other in chunk.bound.items():
                if other.attempt != binding.attempt or other.machine == machine.name:
                    continue
                there = world.machines.get(other.machine)
                state = there.tasks.get((f"{job.id}/{index}", other.attempt)) if there else None
                if there is not None and (state[0] == "fetching" if state is not None
                                          else spec.image not in there.images):
                    return True
        return False

    def _must_save(self, machine: Machine, job: Job, state: str) -> bool:
        """Whether a task has to save now, since the cloud is about to take its machine.

        The tasks of a larger gang have to be stopped together: their owner sees to that.
        """
        spec = job.spec
        if (machine.notice_at is None or spec is None or not spec.checkpoint_s
                or state != "running" or spec.tasks > 1):
            return False
        times_ = self.world.facts.workers
        return machine.notice_at - self.world.now <= spec.save_s + 2 * times_.report_s

    def _stop(self, kept: Kept, machine: Machine, orders: list[dict], task: Task, state: str,
              job: Job, ended: bool) -> None:
        grace = 0.0 if ended or job.spec is None else job.spec.save_s
        if state == "saving" and not ended:
            return
        orders.append(wire.order("stop", task[0], task[1], grace))
        kept.stops.setdefault(task, self.world.now)
        event("stop", task=task[0], attempt=task[1], machine=machine.name, grace=grace)

    def _unbound(self, kept: Kept, machine: Machine, orders: list[dict],
                 names: set[Task]) -> None:
        """Forget exited tasks that the records have let go of; stop live ones."""
        world = self.world
        orphans = {t: kept.orphans.get(t, world.now) for t in machine.tasks if t not in names}
        kept.orphans = orphans
        if not self.state_fresh():
            return
        for task, since in orphans.items():
            # Our replica may lag behind the keeper that started the task: wait a while.
            if machine.tasks[task][0] == "exited":
                if world.now - since >= constants.ALIVE_S and task not in kept.starting:
                    orders.append(wire.order("forget", *task))
            elif world.now - since >= constants.ORPHAN_S:
                orders.append(wire.order("stop", task[0], task[1], 0.0))

    def direct(self, name: str) -> None:
        """Send starts and stops straight to a worker, when there are any."""
        world = self.world
        kept = self.kept.get(name)
        machine = world.machines.get(name)
        if (kept is None or machine is None or machine.keeper != world.label or kept.ordering
                or world.now < kept.direct_after or not world.term
                or machine.token != world.term or world.now - machine.heard
                > world.facts.workers.lease_s):
            return
        orders, starts = self._orders(kept, machine, forget=False)
        if not orders:
            return
        term = world.term
        for task in starts:
            kept.starting[task] = term
        world.dirty_machines.add(name)
        kept.ordering = True
        world.call(lambda outcome, report: self._ordered(name, starts, term, outcome, report),
                   "orders", machine.addr, term, machine.session, orders)

    def _ordered(self, name: str, starts: list[Task], term: int, outcome: str,
                 report: Report | None) -> None:
        world = self.world
        kept = self.kept.setdefault(name, Kept())
        kept.ordering = False
        if outcome == "lost":
            # They may still be carried out, minutes later: only a newer term settles that.
            kept.direct_after = world.now + constants.ORDERS_TIMEOUT_S
            self.membership.need_term_above(term)
            return
        for task in starts:
            if kept.starting.get(task) == term:
                del kept.starting[task]
        if outcome == "unsent":
            kept.direct_after = world.now + constants.ORDERS_TIMEOUT_S
        if report is not None and report.machine == name:
            machine = world.machines.get(name)
            if machine is None or (report.session, report.seq) > machine.version:
                self._take(kept, report)
        world.dirty_machines.add(name)
        if report is not None and report.token > world.term:
            self.membership.need_term_above(report.token)

    # --- queues and offers ---

    def reserve(self, name: str, job_id: str, count: int, preempt: bool = False) -> None:
        """Queue a reservation at a machine that we keep; make room for it if told to."""
        kept = self.kept.get(name)
        machine = self.world.machines.get(name)
        if kept is None or machine is None or machine.keeper != self.world.label:
            return
        known = kept.queue.get(job_id)
        if known is not None:
            known.count = max(known.count, count)
        elif len(kept.queue) < constants.MAX_QUEUE_PER_MACHINE:
            kept.queue[job_id] = Reservation(job_id, count, self.world.now)
        if preempt:
            self._preempt(kept, machine, job_id)
        self.poke.add(name)

    def _preempt(self, kept: Kept, machine: Machine, job_id: str) -> None:
        world = self.world
        job = world.replica.jobs.get(job_id)
        if (job is None or job.spec is None or job.final or kept.stops
                or not usable(world, machine)):
            return
        chosen = victims(world, machine, job, job.spec, teams.usage(world), self.held(kept))
        for task in chosen[1] if chosen is not None else ():
            kept.stops[task] = world.now
            event("preempt", task=task[0], attempt=task[1], machine=machine.name, by=job_id)

    def move(self, name: str, task: str, attempt: int) -> None:
        """Stop a service so that its owner starts it on another machine."""
        kept = self.kept.get(name)
        machine = self.world.machines.get(name)
        if kept is not None and machine is not None and (task, attempt) in machine.tasks:
            kept.stops[(task, attempt)] = self.world.now
            self.poke.add(name)

    def decline(self, name: str, offer_id: int) -> None:
        """The owner has no task for an offer: release the room, offer it to the next."""
        kept = self.kept.get(name)
        if kept is not None and kept.offers.pop(offer_id, None) is not None:
            self.poke.add(name)

    def held(self, kept: Kept) -> list[JobSpec]:
        """Return what is held for offers."""
        now = self.world.now
        specs = []
        for offer_id, (job_id, until, claim) in list(kept.offers.items()):
            job = self.world.replica.jobs.get(job_id)
            # Once the team has another owner, nothing can come of offers to the one before.
            if (until <= now or job is None or job.spec is None
                    or self.world.replica.roles.get(job.team, ("", 0, 0))[2] != claim):
                del kept.offers[offer_id]
            else:
                specs.append(job.spec)
        return specs

    def records_changed(self, name: str) -> None:
        """Bindings on a machine changed: those that answer an offer end its hold."""
        self.poke.add(name)
        kept = self.kept.get(name)
        if kept is None:
            return
        bound = self.world.replica.by_machine.get(name, {})
        known = {(job_id, index, b.attempt) for (job_id, index), b in bound.items()}
        for job_id, _, _ in known - kept.known:
            for offer_id, (held_for, _, _) in kept.offers.items():
                if held_for == job_id:
                    del kept.offers[offer_id]
                    break
        kept.known = known

    def offer(self, name: str) -> None:
        """Offer free room to the owners of queued reservations, best rank first."""
        world = self.world
        kept = self.kept.get(name)
        machine = world.machines.get(name)
        if (kept is None or not kept.queue or machine is None or machine.keeper != world.label
                or machine.token != world.term or not world.term or not self.state_fresh()
                or not usable(world, machine)):
            return
        free = room(world, machine, self.held(kept))
        if full(world, free):
            return
        used = teams.usage(world)
        ranked = []
        for reservation in list(kept.queue.values()):
            job = world.replica.jobs.get(reservation.job_id)
            if (job is None or job.final or job.spec is None
                    or world.now - reservation.since > constants.RETRY_MOST_S):
                del kept.queue[reservation.job_id]
                continue
            ranked.append((rank(world, job, job.spec, used), reservation.since, reservation, job))
        ranked.sort(key=lambda row: row[:2])
        for _, _, reservation, job in ranked:
            spec = job.spec
            assert spec is not None
            owner = world.replica.roles.get(job.team)
            if owner is None:
                continue
            while reservation.count > 0 and has_room(free, spec):
                free = less(free, spec)
                reservation.count -= 1
                self.next_offer += 1
                hold = constants.OFFER_HOLD_S + gather_s(spec)
                kept.offers[self.next_offer] = (job.id, world.now + hold, owner[2])
                world.emit("send", owner[0], ("offer", name, job.id, self.next_offer,
                                              machine.session, world.term, world.label))
            if reservation.count <= 0:
                kept.queue.pop(reservation.job_id, None)

    def tick(self) -> None:
        """Send what is due to poked machines."""
        if self.delaying and self.world.now >= self.next_look:
            self.next_look = self.world.now + constants.TICK_S
            self.poke |= self.delaying
            self.delaying = set()
        poke, self.poke = self.poke, set()
        for name in poke:
            self.direct(name)
            self.offer(name)


def victims(world: World, machine: Machine, job: Job, spec: JobSpec,
            used: dict[str, tuple[float, float]],
            held: list[JobSpec] | None = None) -> tuple[float, list[Task]] | None:
    """Return (lost work, tasks) whose end makes room for one task of a job, or None.

    Only work of lower priority may go, and, for a job within its team's guarantee, work that
    another team runs beyond its own guarantee. What has least to lose goes first.
    """
    cpus, gpus = used.get(job.team, (0.0, 0.0))
    count = spec.tasks if spec.kind == "gang" else 1
    inside = teams.within_guarantee(world, job.team, cpus + count * spec.cpus,
                                    gpus + count * spec.gpus)
    rows = []
    for (job_id, index), binding in world.replica.by_machine.get(machine.name, {}).items():
        other = world.replica.jobs.get(job_id)
        task = (f"{job_id}/{index}", binding.attempt)
        state = machine.tasks.get(task)
        if (other is None or other.spec is None or state is None or binding.stop
                or state[0] not in ("fetching", "waiting", "running")
                or other.spec.kind == "service" or other.id == job.id
                or other.spec.joint):
            continue
        borrowed = (inside and other.team != job.team and not teams.within_guarantee(
            world, other.team, *used.get(other.team, (0.0, 0.0))))
        if other.priority >= job.priority and not borrowed:
            continue
        lost = world.now - machine.since.get(task, world.now)
        young = lost < constants.START_COUNTS_S
        if other.spec.checkpoint_s and state[0] == "running":
            lost = min(lost, other.spec.save_s)
        # What is urgent itself has to start again too, and a start undone so soon was no start.
        lost += other.priority ** 2 * constants.VICTIM_RANK_S * (2 if young else 1)
        rows.append((other.priority, lost, task, other.spec))
    rows.sort(key=lambda row: row[:3])
    free = room(world, machine, held)
    chosen: list[Task] = []
    total = 0.0
    for _, lost, task, other_spec in rows:
        if has_room(free, spec):
            break
        free = less(free, other_spec, -1)
        chosen.append(task)
        total += lost
    return (total, chosen) if chosen and has_room(free, spec) else None


def rank(world: World, job: Job, spec: JobSpec, used: dict[str, tuple[float, float]]) -> tuple:
    """Return the order in a queue: guaranteed work and priority first, then what has to start
    first for a deadline, then fair between teams."""
    cpus, gpus = used.get(job.team, (0.0, 0.0))
    inside = teams.within_guarantee(world, job.team, cpus + spec.cpus, gpus + spec.gpus)
    return (not inside, -job.priority, job.latest, teams.share(world, job.team, used))


def take_report(world: World, report: Report, keeper: str, keeper_term: int) -> None:
    """Bring the view of a machine up to date; the caller has checked that it is newer."""
    machine = world.machines.get(report.machine)
    before: dict[Task, tuple[str, str, bool]] = {}
    if machine is None:
        machine = world.machines[report.machine] = Machine(report, world.now)
        changed = True
    else:
        before = machine.tasks if machine.session == report.session else {}
        changed = (machine.session, machine.token, machine.tasks, machine.keeper,
                   machine.keeper_term, machine.notice_at is None) != (
                       report.session, report.token, report.tasks, keeper, keeper_term,
                       report.notice_s is None)
        machine.take(report, world.now)
    if machine.keeper != keeper:
        event("heard", machine=machine.name, keeper=keeper, session=machine.session)
    machine.keeper, machine.keeper_term = keeper, keeper_term
    if changed:
        world.dirty_machines.add(machine.name)
        world.replica.rooms.pop(machine.name, None)
        note_results(world, machine, before)


def note_results(world: World, machine: Machine, before: dict[Task, tuple]) -> None:
    """Remember images that a machine holds and whether tasks fail on it."""
    live = []
    for task, (state, why, _) in machine.tasks.items():
        job_id = task[0].partition("/")[0]
        job = world.replica.jobs.get(job_id)
        spec = None if job is None else job.spec
        old = before.get(task, ("", "", False))
        if state == "running" and old[0] != "running" and machine.keeper == world.label:
            event("running", task=task[0], attempt=task[1], machine=machine.name)
        if state != "exited" and spec is not None:
            live.append(spec)
        if state == "exited" and old[0] != "exited":
            if machine.keeper == world.label:
                event("exited", task=task[0], attempt=task[1], machine=machine.name, why=why)
            if why == "done":
                machine.errors.clear()
            elif why == "error" and job_id not in machine.errors:
                machine.errors.append(job_id)
            if old[0] == "fetching" and why != "done" and spec is not None:
                machine.images.pop(spec.image, None)  # a fetch that nobody waits for is given up
    for spec in live:
        hold_image(world, machine, spec.image, spec.image_gb)
    machine.since = {task: machine.since.get(task, world.now)
                     for task, state in machine.tasks.items() if state[0] != "exited"}
    if machine.since:
        machine.idle_since = None
    elif machine.idle_since is None:
        machine.idle_since = world.now


def hold_image(world: World, machine: Machine, image: str, size_gb: float) -> None:
    """Remember that a machine uses an image now."""
    kind = world.types.get(machine.type)
    machine.hold(image, size_gb, math.inf if kind is None else kind.cache_gb)


def full(world: World, free: Room) -> bool:
    """Whether no task of any unfinished job can have room here."""
    cpus, gpus, memory = free
    return (cpus <= constants.EPSILON or memory <= constants.EPSILON
            or (gpus <= constants.EPSILON and not world.replica.gpuless))


def gone(world: World, machine: Machine | None, task: Task, binding: Binding,
         shown: dict[Task, tuple[str, str, bool]]) -> tuple[str, bool] | None:
    """Return (why, saved) if a bound task is proven gone from its machine, else None."""
    if binding.machine in world.replica.gone:
        return "lost", False
    if machine is None or machine.session < binding.session:
        return None
    if machine.session > binding.session:
        return "lost", False
    state = shown.get(task)
    if state is None:
        # No start under an older term can be carried out once the worker has a newer token.
        return ("lost", False) if machine.token > binding.term else None
    if state[0] == "exited":
        return state[1], state[2]
    if state[0] == "refused" and machine.keeper_term == binding.term:
        return "refused", False
    return None
