"""In-memory fakes: state service, cloud, workers, users and a network that fails.

Time is the harness's own; chance comes from one seed, so that every story repeats.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from msgspec.structs import astuple

from oakmux import constants
from oakmux.core.agents.capacity import count_free_resources, is_schedulable
from oakmux.core.controller import Controller
from oakmux.core.model import Heartbeat, JobSpec, MachineType
from oakmux.core.scheduling.machine_index import MachineIndex
from oakmux.core.state.records import value_bytes, value_limit
from oakmux.settings import (
    CloudLimits,
    ComingLimits,
    External,
    Facts,
    Member,
    Settings,
    Spread,
    StateLimits,
    Team,
    WorkerClient,
)

ZONES = ["a", "b", "c"]
TYPE = MachineType("big", 8.0, 4.0, 64.0, 100.0, 1.0, 10.0, 3.0, 3.0, ZONES)
LEASE_S, REPORT_S, CANCEL_S, GANG_WAIT_S = 6.0, 1.0, 20.0, 8.0
ANSWER_S = 4.0  # a worker drops answers that come later
TEAMS = (Team("red", gpus=4, gpus_max=8), Team("blue", gpus=4, gpus_max=10))
# States in which a task is on its machine (PROTOCOL, "How aims are counted"): from when it has its
# image until it exits.
PLACED = ("waiting", "running", "saving")


def settings_for(
    label: str, count: int = 3, coming: ComingLimits | None = None, teams: tuple[Team, ...] = TEAMS
) -> Settings:
    """Return the settings of one controller of a small deployment."""
    members = [Member(f"h{i}", f"10.0.0.{i + 1}:81") for i in range(count) if f"h{i}" != label]
    return Settings(
        label,
        "10.0.0.1:80",
        "10.0.0.1:81",
        External("10.2.0.2:1", "10.2.0.1:2"),
        Facts(
            ZONES,
            list(teams),
            WorkerClient(REPORT_S, LEASE_S, GANG_WAIT_S, 3.0, CANCEL_S),
            StateLimits(1000, 1000, 8, 12, coming or ComingLimits()),
            CloudLimits(5, 2),
            count,
        ),
        members=members,
    )


def spec(kind: str = "array", tasks: int = 1, team: str = "red", **more: Any) -> JobSpec:
    """Return a job of small tasks."""
    fields: dict[str, Any] = dict(
        job_class="l",
        team=team,
        kind=kind,
        priority=1,
        tasks=tasks,
        cpus=1.0,
        gpus=1.0,
        memory_gb=4.0,
        image="i",
        image_gb=1.0,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=False,
        estimate_s=5.0,
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
    )
    return JobSpec(**{**fields, **more})


class FakeState:
    """The state service: guards, leases and a log of changes."""

    def __init__(self, sim: "Sim") -> None:
        self.sim = sim
        self.revision = 0
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[str, Any, int]] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 0
        self.down = False
        self.down_until = 0.0
        self.refused: set[str] = set()
        self.value_kb, self.txn_ops = 8.0, 12
        self.too_large = 0

    def put(self, key: str, value: Any, lease: int | None) -> None:
        self.sim.written(key, value)
        self.rows[key] = (value, self.revision, lease)
        self.log.append((key, value, self.revision))

    def drop(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.log.append((key, None, self.revision))

    def expire(self) -> None:
        for lease in [n for n, (end, _) in self.leases.items() if end <= self.sim.now]:
            del self.leases[lease]
            self.revision += 1
            for key in [k for k, row in self.rows.items() if row[2] == lease]:
                self.drop(key)

    def serve(self, label: str, kind: str, *args: Any) -> tuple[int, Any]:
        if self.down or label in self.refused:
            return 503, None
        self.expire()
        return getattr(self, kind)(*args)

    def txn(self, guards: list, writes: list, _: int) -> tuple[int, Any]:
        if (
            len(writes) > self.txn_ops
            or len(guards) > 4 * self.txn_ops
            or any(value_bytes(w[1]) > self.value_kb * 1024 for w in writes if len(w) > 1)
            or value_bytes([guards, writes]) > 64 * 1024
        ):
            self.too_large += 1
            return 400, None
        failed = [
            k for k, mod_revision in guards if self.rows.get(k, (0, 0, 0))[1] != mod_revision
        ]
        if any(len(w) == 3 and w[2] is not None and w[2] not in self.leases for w in writes):
            return 400, None
        if failed:
            return 409, (self.revision, failed)
        if writes:
            self.revision += 1
            for write in writes:
                if len(write) == 1:
                    self.drop(write[0])
                else:
                    self.put(*write)
        return 200, (self.revision, [])

    def get(self, key: str, _: int) -> tuple[int, Any]:
        row = self.rows.get(key)
        return (404, (None, self.revision)) if row is None else (200, row[:2])

    def grant(self, incarnation: float) -> tuple[int, Any]:
        self.next_lease += 1
        self.leases[self.next_lease] = [self.sim.now + incarnation, incarnation]
        return 200, self.next_lease

    def renew(self, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, None
        self.leases[lease][0] = self.sim.now + self.leases[lease][1]
        return 200, None

    def outage(self, seconds: float) -> None:
        self.down = True
        self.down_until = max(self.down_until, self.sim.now + seconds)

        def back() -> None:
            if self.sim.now < self.down_until:
                return  # another one has begun meanwhile
            self.down = False
            for lease in self.leases.values():
                lease[0] = self.sim.now + lease[1]

        self.sim.after(seconds, back)


class FakeWorker:
    """One machine: token, lease, session and tasks, as the protocol has them."""

    def __init__(self, sim: "Sim", name: str, zone: str, spot: bool) -> None:
        self.sim, self.name, self.zone, self.spot = sim, name, zone, spot
        self.agent_epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], list] = {}
        self.node = sim.rng.randrange(len(sim.labels))
        self.lease_from = sim.now
        self.dead = False
        self.images: set[str] = set()
        self.sick = False
        self.taken_at: float | None = None
        self.waiting = 0
        self.told_token = -1e9
        self.up = False
        self.hung_since = self.hung_until = -1.0
        self.held: list[Callable[[], None]] = []  # what reached it while it hung

    def start(self) -> None:
        if not self.dead:
            self.up = True
            self.lease_from = self.sim.now
            self.heartbeat()

    def snapshot(self) -> Heartbeat:
        self.advance()
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.name,
            "big",
            self.zone,
            self.spot,
            self.agent_epoch,
            self.sequence,
            self.fencing_token,
            self.notice_s(),
            {k: (v[0], v[1], False) for k, v in self.tasks.items()},
        )

    def peek(self) -> Heartbeat:
        """Return the report that it would send now, and leave it as it is."""
        sequence, tasks = self.sequence, {key: list(row) for key, row in self.tasks.items()}
        heartbeat = self.snapshot()
        self.sequence, self.tasks = sequence, tasks
        return heartbeat

    def notice_s(self) -> float | None:
        return None if self.taken_at is None else max(0.0, self.taken_at - self.sim.now)

    def take(self, seconds: float) -> None:
        """The cloud takes the machine back after a notice."""
        self.taken_at = self.sim.now + seconds
        self.sim.after(seconds, lambda: self.sim.kill(self.name))

    @property
    def hung(self) -> bool:
        """Whether the machine hangs: it does nothing, but may go on within its lease."""
        return self.sim.now < self.hung_until

    def hang(self, seconds: float) -> None:
        """Stand still; what comes meanwhile is kept, and the tasks go on where they were."""
        if self.dead or self.hung:
            return
        self.advance()
        self.hung_since, self.hung_until = self.sim.now, self.sim.now + seconds
        self.sim.after(seconds, self.go_on)

    def go_on(self) -> None:
        """The machine goes on: its lease is looked at first, then what it was sent."""
        if self.dead:
            return
        for row in self.tasks.values():
            row[2] += self.sim.now - self.hung_since
        self.advance()
        self.sim.check_cancelled()
        held, self.held = self.held, []
        for run in held:
            run()

    def awake(self, run: Callable[[], None]) -> None:
        """Do something now, or when the machine goes on."""
        if self.hung:
            self.held.append(run)
        else:
            run()

    @property
    def lease_over(self) -> bool:
        """Whether its tasks are as good as gone: they are killed before anything else happens."""
        return self.sim.now - self.lease_from > LEASE_S

    def advance(self) -> None:
        if self.hung:
            return
        now = self.sim.now
        if now - self.lease_from > LEASE_S:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_from = now
        for key, row in list(self.tasks.items()):
            job = self.sim.specs[key[0].partition("/")[0]]
            if row[0] == "fetching" and row[2] <= now:
                self.images.add(job.image)
                row[0], row[2] = "waiting", now + GANG_WAIT_S
                self.sim.check_place(self, key[0])
            if row[0] == "waiting":
                self.sim.meet(key, row, job)
            if row[0] == "saving" and row[2] <= now:
                row[:2] = ["exited", "stopped"]
            if row[0] == "running" and row[2] <= now:
                self.sim.finish(key, row, self.sick)

    def heartbeat(self) -> None:
        """Send a report and go on; the answer counts within 4 s."""
        if self.dead:
            return
        if self.hung:
            self.held.append(self.heartbeat)
            return
        sim, label = self.sim, self.sim.labels[self.node]
        heartbeat, sent = self.snapshot(), sim.now
        self.waiting += 1
        turn = self.waiting

        def answered(status: int, answer: tuple) -> None:
            if self.dead or turn != self.waiting or sim.now - sent > ANSWER_S:
                return
            self.waiting += 1
            self.advance()
            before = self.fencing_token
            if (
                status == 200
                and answer[0] == "orders"
                and heartbeat.agent_epoch == self.agent_epoch
            ):
                if answer[1] >= self.fencing_token:
                    self.lease_from = sent
                    self.obey(answer[1], answer[2])
            elif status == 421 and answer[1] in sim.labels:
                self.node = sim.labels.index(answer[1])
            elif status != 200:
                self.node = (self.node + 1) % len(sim.labels)
            # A higher token is a change, which is reported sooner, once in half a lease.
            sooner = self.fencing_token > before and sim.now - self.told_token > LEASE_S / 2
            if sooner:
                self.told_token = sim.now
            sim.after(0.5 if sooner else REPORT_S * sim.rng.uniform(0.75, 1.25), self.heartbeat)

        def lost() -> None:
            if turn == self.waiting and not self.dead:
                self.waiting += 1
                self.node = (self.node + 1) % len(sim.labels)
                sim.after(1.0, self.heartbeat)

        if self.name in sim.muted:  # no connection to any controller
            sim.after(0.01, lambda: self.awake(lost))
            return
        if sim.kept_back and sim.rng.random() < sim.kept_back and len(sim.for_next) < 40:
            sim.for_next.append(heartbeat)
        if sim.copies and sim.rng.random() < sim.copies:
            # To whom it may be, its answer goes nowhere; the machine may be gone by then.
            other = sim.rng.choice(sim.labels)
            sim.after(
                sim.rng.uniform(0.5, 4 * LEASE_S),
                lambda: sim.command(other, ("report", lambda *a: None, heartbeat)),
            )
        sim.after(ANSWER_S, lambda: self.awake(lost))
        sim.pass_on(
            self.name,
            label,
            lambda: sim.command(
                label,
                (
                    "report",
                    lambda *a: sim.pass_on(
                        label, self.name, lambda: self.awake(lambda: answered(*a))
                    ),
                    heartbeat,
                ),
            ),
        )

    def orders(self, fencing_token: int, agent_epoch: int, orders: list) -> tuple[str, Heartbeat]:
        self.advance()
        if fencing_token < self.fencing_token or agent_epoch != self.agent_epoch:
            return "refused", self.snapshot()
        self.obey(fencing_token, orders)
        return "ok", self.snapshot()

    def obey(self, fencing_token: int, orders: list) -> None:
        self.fencing_token = max(self.fencing_token, fencing_token)
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch" and key not in self.tasks:
                self.sim.started(self, key)
                self.tasks[key] = ["running", "", self.sim.now + self.sim.run_s(key[0])]
                job = self.sim.specs[key[0].partition("/")[0]]
                if self.sim.fetches:
                    fetch = 0.0 if job.image in self.images else job.image_gb
                    self.tasks[key] = ["fetching", "", self.sim.now + fetch]
            elif order["verb"] == "halt" and self.tasks.get(key, [""])[0] not in ("", "exited"):
                job = self.sim.specs[key[0].partition("/")[0]]
                row, grace = self.tasks[key], order["mercy_s"]
                if row[0] == "running" and job.checkpoint_s and grace >= job.save_s > 0:
                    row[0], row[2] = "saving", self.sim.now + job.save_s
                elif row[0] != "saving" or not grace:
                    row[:2] = ["exited", "stopped"]
            elif order["verb"] == "forget" and self.tasks.get(key, [""])[0] == "exited":
                del self.tasks[key]


class Sim:
    """Controllers, fakes and the rules, checked whenever something happens."""

    def __init__(
        self,
        seed: int = 1,
        count: int = 3,
        coming: ComingLimits | None = None,
        old: tuple[str, ...] = (),
        parts: tuple = (),
        spread: Spread | None = None,
        teams: tuple[Team, ...] = TEAMS,
        formats: int | None = None,
    ) -> None:
        self.parts = parts
        self.teams = {team.name: team for team in teams}
        self.spread = spread or Spread()
        self.rng = random.Random(seed)
        self.coming = coming
        self.old = set(old)
        # The latest format that a controller of an earlier version knows, by its label.
        self.formats: dict[str, int] = {}
        if formats is not None:
            self.formats = {f"h{i}": formats for i in range(count)}
        self.refusals: dict[str, int] = {}
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.state = FakeState(self)
        self.labels = [f"h{i}" for i in range(count)]
        self.cores: dict[str, Controller | None] = {}
        self.lives: dict[str, int] = dict.fromkeys(self.labels, 0)
        self.workers: dict[str, FakeWorker] = {}
        self.requests: dict[str, list[str]] = {}
        self.cloud_down = False
        self.capacity = 12
        self.history: list[tuple[float, list[tuple]]] = []
        self.cuts: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()  # from, to: held up
        self.copies = 0.0  # share of reports of which a copy comes much later
        self.kept_back = 0.0  # share of reports of which a copy comes to whoever next wins a role
        self.for_next: list[Heartbeat] = []
        self.muted: set[str] = set()  # machines that reach no controller, but hear direct orders
        self.close = 0.0  # share of news to users after which all controllers are asked at once
        self.broken: set[str] = set()  # jobs that fail on every machine
        self.boot_s: Callable[[], float | None] = lambda: self.rng.uniform(1.0, 4.0)
        self.submitted: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.frozen: dict[str, list[tuple]] = {}
        self.loss = self.twice = self.slow = 0.0
        self.late_writes = 0.0  # share of transactions carried out 2 to 12 s later, unanswered
        self.lost_answers = 0.0  # share of transactions carried out at once, unanswered
        self.state_slow = 0.0  # seconds by which answers of the state service come late, at most
        # By who asked, its life and the peer: the life that the peer last answered with.
        self.peer_lives: dict[tuple[str, int, str], int] = {}
        self.stuck: set[str] = set()  # controllers whose watch brings nothing for now
        self.specs: dict[str, JobSpec] = {}
        self.told: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.asked_cancel: set[str] = set()
        self.completed: set[str] = set()
        self.starts = 0
        self.fetches = False  # whether images take their time, 1 GB a second
        self.recount = False
        self.start_log: list[tuple[float, str, int, str]] = []
        # When a start was last given, by task and attempt; and starts that came after their job's
        # cancellation was confirmed, with the seconds from then to the giving and to the start.
        self.given: dict[tuple[str, int], float] = {}
        self.late_starts: list[tuple[str, float, float]] = []
        self.boot_all()
        self.list_machines()

    # --- time and network ---

    def after(self, seconds: float, run: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.now + seconds, self.serial, run))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, run = heapq.heappop(self.heap)
            run()
        self.now = end

    def delay(self) -> float:
        return self.rng.uniform(0.001, 0.01)

    def cut(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.cuts or (a, b) in self.one_way

    def pass_on(self, a: str, b: str, run: Callable[[], None]) -> None:
        """Carry a message: now, much later (held by a cut or a slow way), twice or never."""
        if self.cut(a, b):
            self.after(self.rng.uniform(1.0, 40.0), run)
        elif self.state_slow and "state" in (a, b):
            self.after(self.rng.uniform(0.0, self.state_slow), run)
        elif self.rng.random() < self.slow:
            self.after(self.rng.uniform(1.0, 30.0), run)
        elif self.rng.random() >= self.loss:
            self.after(self.delay(), run)
            if self.rng.random() < self.twice:
                self.after(self.rng.uniform(0.01, 5.0), run)

    def ask(
        self,
        a: str,
        b: str,
        serve: Callable[[], Any],
        done: Callable[[Any], None],
        lost: Any,
        timeout: float,
        when: Callable[[Callable[[], None]], None] = lambda run: run(),
    ) -> None:
        """A request that is served once, perhaps late, and its answer or a time-out; `when` lets
        the server serve later."""
        state = {"open": True, "served": False}

        def answer(value: Any) -> None:
            if state["open"]:
                state["open"] = False
                done(value)

        def at_server() -> None:
            if not state["served"]:
                state["served"] = True
                when(reply)

        def reply() -> None:
            value = serve()
            self.pass_on(b, a, lambda: answer(value))

        self.after(timeout, lambda: answer(lost))
        self.pass_on(a, b, at_server)

    def mute(self, names: list[str], seconds: float) -> None:
        """Machines reach no controller, while direct orders reach them."""
        self.muted.update(names)
        self.after(seconds, lambda: self.muted.difference_update(names))

    def deafen(self, names: list[str], seconds: float) -> None:
        """What machines say arrives; answers and orders do not reach them."""
        pairs = {(label, name) for label in self.labels for name in names}
        self.one_way |= pairs
        self.after(seconds, lambda: self.one_way.difference_update(pairs))

    def isolate(self, label: str, seconds: float) -> None:
        """A controller loses the state service and its peers, but not its workers."""
        pairs = {frozenset((label, other)) for other in [*self.labels, "state"] if other != label}
        self.cuts |= pairs
        self.after(seconds, lambda: self.cuts.difference_update(pairs))

    # --- controllers ---

    def boot_all(self) -> None:
        for label in self.labels:
            self.boot(label)

    def boot(self, label: str) -> None:
        self.lives[label] += 1
        incarnation = self.lives[label]
        core = Controller(self.settings(label), random.Random(self.rng.random()), 0, self.parts)
        if label in self.old:
            make_old(core)
        if label in self.formats:
            core.context.replica.known_format = self.formats[label]
        self.cores[label] = core
        if not self.cloud_down:
            self.command(label, ("catalogue", [TYPE]))
        self.follow(label, incarnation, None)
        self.tick(label, incarnation)

    def settings(self, label: str) -> Settings:
        """Return a controller's settings."""
        conf = settings_for(label, len(self.labels), self.coming, tuple(self.teams.values()))
        return msgspec.structs.replace(conf, spread=self.spread)

    def crash(self, label: str, back: float | None = 3.0) -> None:
        self.cores[label] = None
        self.lives[label] += 1
        if back is not None:
            self.after(back, lambda: self.boot(label) if self.cores[label] is None else None)

    def freeze(self, label: str, seconds: float) -> None:
        """Let a controller stand still while its clock runs on; what comes waits for it."""
        self.frozen[label] = []
        self.after(seconds, lambda: self.step(label, self.frozen.pop(label)))

    def tick(self, label: str, incarnation: int) -> None:
        if self.lives[label] == incarnation:
            self.step(label, self.clock_says(label))
            self.after(constants.TICK_S, lambda: self.tick(label, incarnation))

    def clock_says(self, label: str) -> list[tuple]:
        """Return what a controller hears of the time of day at a tick."""
        return []

    def follow(self, label: str, incarnation: int, since: int | None) -> None:
        """Stand in for the watch: news every 20 ms while the state service can be reached."""
        if self.lives[label] != incarnation:
            return
        state, asked = self.state, self.now
        if not (
            state.down or label in state.refused or self.cut(label, "state") or label in self.stuck
        ):
            state.expire()
            if since is None:
                rows = [(k, v[0], v[1]) for k, v in state.rows.items()]
                self.command(label, ("snapshot", rows, state.revision, asked))
            else:
                start = len(state.log)
                while start and state.log[start - 1][2] > since:
                    start -= 1
                events = state.log[start:]
                self.command(label, ("watch", events, state.revision, asked))
            since = state.revision
        late = self.rng.uniform(0.0, self.state_slow) if self.state_slow else 0.0
        self.after(0.02 + late, lambda: self.follow(label, incarnation, since))

    def command(self, label: str, command: tuple) -> None:
        self.step(label, [command])

    def step(self, label: str, commands: list[tuple]) -> None:
        core, incarnation = self.cores[label], self.lives[label]
        if core is None:
            return
        if label in self.frozen:
            self.frozen[label] += commands
            return
        for effect in core.step(self.now, commands):
            self.carry_out(label, incarnation, effect)
        if self.recount:
            check_counts(core)

    def carry_out(self, label: str, incarnation: int, effect: tuple) -> None:
        kind = effect[0]
        if kind == "orders" or (
            kind == "answer" and effect[2] == 200 and effect[3][0] == "orders"
        ):
            self.check_given(label, effect[5] if kind == "orders" else effect[3][2])
        if kind == "answer":
            effect[1](*effect[2:])
            return
        if kind == "send":
            self.send(label, incarnation, effect[1], effect[2])
            return

        def done(value: tuple) -> None:
            if self.lives[label] == incarnation:
                self.command(label, ("done", effect[1], *value))

        if kind == "orders":
            _, _, addr, fencing_token, agent_epoch, orders = effect
            worker = self.workers.get(addr)
            if worker is not None:
                self.ask(
                    label,
                    addr,
                    lambda: (
                        worker.orders(fencing_token, agent_epoch, orders)
                        if not worker.dead
                        else ("lost", None)
                    ),
                    done,
                    ("lost", None),
                    2.0,
                    worker.awake,
                )
        elif kind == "cloud":
            self.ask(label, "cloud", lambda: self.cloud(*effect[2:]), done, (0, None), 5.0)
        else:
            self.to_state(label, effect, done)

    def to_state(self, label: str, effect: tuple, done: Callable[[tuple], None]) -> None:
        """Carry an operation to the state service; some are carried out late and unanswered."""

        def serve() -> tuple[int, Any]:
            return self.state.serve(label, effect[0], *effect[2:])

        if effect[0] == "txn" and self.late_writes and self.rng.random() < self.late_writes:
            self.after(self.rng.uniform(2.0, 12.0), serve)
            self.after(constants.STATE_TIMEOUT_S, lambda: done((0, None)))
        elif effect[0] == "txn" and self.lost_answers and self.rng.random() < self.lost_answers:
            self.after(self.delay(), serve)
            self.after(constants.STATE_TIMEOUT_S, lambda: done((0, None)))
        else:
            self.ask(label, "state", serve, done, (0, None), constants.STATE_TIMEOUT_S)

    def send(self, label: str, incarnation: int, peer: str, message: tuple) -> None:
        asked, mine = self.now, self.cores[label]
        since = mine.agents.cancellations.revision if mine is not None else -1

        def serve() -> Any:
            if self.cores.get(peer) is None:
                return None
            box: list[tuple] = []
            self.command(peer, ("peer", lambda *a: box.append(a), label, [list(message)], since))
            return box[0][1] if box else None

        def done(word: Any) -> None:
            if self.lives[label] != incarnation:
                return
            if word is None:
                if message[0] == "view":
                    self.after(
                        0.5,
                        lambda: (
                            self.lives[label] == incarnation
                            and self.command(label, ("resend", peer, [message[2]]))
                        ),
                    )
                return
            new = self.peer_lives.get((label, incarnation, peer)) != word[2]
            self.peer_lives[(label, incarnation, peer)] = word[2]
            self.command(label, ("peer_alive", peer, word[2], word[3], word[4], asked, word[5]))
            if new:
                self.command(label, ("peer_new", peer))

        self.ask(label, peer, serve, done, None, 2.0)

    def written(self, key: str, value: Any) -> None:
        """The state service wrote a key: of a role, its holder gets the reports kept for it."""
        if key.startswith("ox/own/"):
            heartbeats, self.for_next = self.for_next, []
            for heartbeat in heartbeats:
                self.after(
                    self.rng.uniform(0.0, 1.0),
                    lambda heartbeat=heartbeat: self.command(
                        value[0], ("report", lambda *a: None, heartbeat)
                    ),
                )

    # --- cloud ---

    def list_machines(self) -> None:
        rows = [
            (w.name, w.name, "big", w.zone, w.spot, "running" if w.up else "booting", 1.0)
            for w in self.workers.values()
            if not w.dead
        ]
        self.history.append((self.now, rows))
        self.history = self.history[-40:]
        self.check_cancelled()
        self.after(0.5, self.list_machines)

    def cloud(self, kind: str, *args: Any) -> tuple[int, Any]:
        if self.cloud_down:
            return 503, None
        if kind == "list":
            seen = [rows for at, rows in self.history if at <= self.now - 2.0]
            return 200, seen[-1] if seen else []
        if kind == "return":
            for name in args[0]:
                if name in self.workers:
                    self.kill(name)
            return 200, None
        request, _, zone, spot, count = args
        if request not in self.requests:
            left = self.capacity - sum(1 for w in self.workers.values() if not w.dead)
            if left <= 0:
                return 503, "no capacity"
            names = [f"m{len(self.workers) + i}" for i in range(min(count, left))]
            self.requests[request] = names
            for name in names:
                self.workers[name] = FakeWorker(self, name, zone, spot)
                boot_s = self.boot_s()
                if boot_s is not None:
                    self.after(boot_s, self.workers[name].start)
        return 200, self.requests[request]

    def kill(self, name: str) -> None:
        self.workers[name].dead = True
        self.workers[name].tasks.clear()

    # --- users ---

    def run_s(self, task: str) -> float:
        job = self.specs[task.partition("/")[0]]
        return 1e9 if job.kind == "service" else job.estimate_s

    def meet(self, key: tuple[str, int], row: list, job: JobSpec) -> None:
        """Start a task that has its image; those of a gang together, or none after a while."""
        rows = [
            r
            for w in self.workers.values()
            if not w.dead and not w.hung
            for (task, attempt), r in w.tasks.items()
            if task.partition("/")[0] == key[0].partition("/")[0]
            and attempt == key[1]
            and r[0] in ("waiting", "running")
        ]
        if job.kind != "gang" or len(rows) == job.tasks:
            for one in rows if job.kind == "gang" else [row]:
                one[0], one[2] = "running", self.now + self.run_s(key[0])
        elif row[2] <= self.now:
            row[:2] = ["exited", "alone"]

    def finish(self, key: tuple[str, int], row: list, sick: bool) -> None:
        """End a task; a gang's tasks complete together or not at all."""
        job_id = key[0].partition("/")[0]
        job = self.specs[job_id]
        rows = [row]
        if job.kind == "gang":
            rows = [
                r
                for w in self.workers.values()
                if not w.dead and not w.hung
                for (task, attempt), r in w.tasks.items()
                if task.startswith(job_id + "/") and attempt == key[1] and r[0] == "running"
            ]
        whole = len(rows) == (job.tasks if job.kind == "gang" else 1)
        why = "error" if sick or job_id in self.broken else "done" if whole else "peers"
        for one in rows if why == "done" else [row]:
            one[:2] = ["exited", why]
        if why == "done":
            self.completed.update(
                f"{job_id}/{i}"
                for i in range(job.tasks)
                if job.kind == "gang" or f"{job_id}/{i}" == key[0]
            )

    def submit(self, job_id: str, job: JobSpec) -> None:
        self.specs[job_id] = job
        self.submitted.setdefault(job_id, self.now)
        self._user(
            job_id,
            lambda rid: ("submit", rid, job_id, job, ""),
            lambda s, a: s in (200, 201, 400, 422),
        )

    def cancel(self, job_id: str) -> None:
        self.asked_cancel.add(job_id)
        self._user(job_id, lambda rid: ("cancel", rid, job_id), lambda s, a: s == 200)

    def query(self, job_id: str) -> None:
        self._user(job_id, lambda rid: ("query", rid, job_id), lambda s, a: True)

    def tell(self, label: str, *command: Any) -> list[tuple[int, tuple]]:
        """Ask one controller once as a user, with all checks; return its answers as they come."""
        answers: list[tuple[int, tuple]] = []
        before, sent = self.told.get(command[1]), self.now

        def answered(status: int, answer: tuple) -> None:
            answers.append((status, answer))
            self.heard(command[1], status, answer, before, sent)

        self.command(label, (command[0], answered, *command[1:]))
        return answers

    def look_closely(self, job_id: str) -> None:
        """Right after a user was told something new, ask all controllers again and again within
        20 ms, and submit anew; some cancel at once."""
        for label in self.labels * 2:
            self.after(
                self.rng.uniform(0.001, 0.02),
                lambda label=label: self.tell(label, "query", job_id),
            )
        for label in self.labels:
            self.after(
                self.rng.uniform(0.001, 0.02),
                lambda label=label: self.tell(label, "submit", job_id, self.specs[job_id], ""),
            )
        if self.told[job_id] == "accepted" and self.rng.random() < 0.25:
            self.after(self.rng.uniform(0.001, 0.02), lambda: self.cancel(job_id))

    def idle_room(self, seconds: float = 90.0) -> set[str]:
        """Return the jobs that wait all the while though a machine has room for them and their
        team is under its limit; asked once all troubles are over."""
        found = set(self.specs)
        end = self.now + seconds
        while self.now < end and found:
            found = {job_id for job_id in found if self.could_start(job_id)}
            self.run(2.5)
        return found

    def could_start(self, job_id: str) -> bool:
        """Whether an accepted job lacks tasks for which there is room within all rules. A gang
        and a service's or array's next task are judged alike: by all that must start at once."""
        job = self.specs[job_id]
        if (
            self.told.get(job_id) != "accepted"
            or job_id in self.broken
            or any(self.told.get(name) != "done" for name in self.needs(job_id))
        ):
            return False
        there = [
            (w, key[0], row)
            for w in self.workers.values()
            if w.up and not w.dead
            for key, row in w.tasks.items()
            if row[0] != "exited"
        ]
        mine = {task for _, task, _ in there if task.startswith(job_id + "/")}
        left = [
            i
            for i in range(job.tasks)
            if (task := f"{job_id}/{i}") not in mine and task not in self.completed
        ]
        if not left or (job.kind == "gang" and mine):
            return False
        count = job.tasks if job.kind == "gang" else 1
        specs = [self.specs[task.partition("/")[0]] for _, task, _ in there]
        team, cpus, gpus = self.teams[job.team], count * job.cpus, count * job.gpus
        cpus += sum(s.cpus for s in specs if s.team == job.team)
        gpus += sum(s.gpus for s in specs if s.team == job.team)
        if (team.cpus_max and cpus > team.cpus_max) or (team.gpus_max and gpus > team.gpus_max):
            return False
        zones = [w.zone for w, task, _ in there if task.startswith(job_id + "/")]
        free_resources: dict[str, int] = {}
        for worker in self.workers.values():
            on = [self.specs[t.partition("/")[0]] for w, t, _ in there if w is worker]
            if (
                worker.up
                and not worker.dead
                and not worker.hung
                and job.zone in (None, worker.zone)
                and (job.spot or not worker.spot)
                and (not job.one_zone or set(zones) <= {worker.zone})
            ):
                free = (
                    TYPE.cpus - sum(s.cpus for s in on),
                    TYPE.gpus - sum(s.gpus for s in on),
                    TYPE.memory_gb - sum(s.memory_gb for s in on),
                )
                fit = min(
                    int(have / need)
                    for have, need in zip(free, (job.cpus, job.gpus, job.memory_gb), strict=True)
                    if need
                )
                free_resources[worker.zone] = free_resources.get(worker.zone, 0) + fit
        if job.spread:
            most = (job.tasks + 1) // 2
            free_resources = {
                zone: min(fit, most - zones.count(zone)) for zone, fit in free_resources.items()
            }
        return (
            max(free_resources.values(), default=0)
            if job.one_zone
            else sum(free_resources.values())
        ) >= count

    def unresponsive(self, seconds: float = 90.0) -> set[str]:
        """Ask for every job ever accepted, and return those about which no question was answered
        for 75 s."""
        found: set[str] = set()
        begun, end = self.now, self.now + seconds
        while self.now < end:
            for job_id in self.told:
                self.query(job_id)
            self.run(5)
            found |= {
                job_id
                for job_id in self.told
                if self.now - max(begun, self.answered.get(job_id, 0.0)) >= 75
            }
        return found

    def begun_at(self, job_id: str) -> float | None:
        """Return when a job began: an array with one task, else with all, one after the other."""
        first: dict[str, float] = {}
        for at, task, _, _ in self.start_log:
            if task.startswith(job_id + "/"):
                first.setdefault(task, at)
        job = self.specs[job_id]
        if len(first) < (1 if job.kind == "array" else job.tasks):
            return None
        return min(first.values()) if job.kind == "array" else max(first.values())

    def underserved(self, begin_s: float = 240.0) -> list[str]:
        """Return which classes, teams and classes' largest jobs had less than half served, and
        which of the largest did not begin in time. Served is what began in time."""
        groups: dict[str, list[str]] = {}
        jobs = {
            j: s
            for j, s in self.specs.items()
            if j in self.told
            and j not in self.broken
            and self.told[j] != "cancelled"
            and self.submitted[j] <= self.now - begin_s
        }
        for job_id, job in jobs.items():
            groups.setdefault(f"class {job.job_class}", []).append(job_id)
            groups.setdefault(f"team {job.team}", []).append(job_id)
            if job.tasks == max(s.tasks for s in jobs.values() if s.job_class == job.job_class):
                groups.setdefault(f"largest {job.job_class}", []).append(job_id)
        bad = []
        for name, ids in sorted(groups.items()):
            begun = [
                j
                for j in ids
                if (at := self.begun_at(j)) is not None and at - self.submitted[j] <= begin_s
            ]
            if 2 * len(begun) < len(ids):
                bad.append(f"{name}: {len(begun)} of {len(ids)}")
            elif name.startswith("largest") and len(begun) < len(ids):
                bad.append(f"{name}: late {sorted(set(ids) - set(begun))[0]}")
        return bad

    def unfinished(self, seconds: float) -> set[str]:
        """Cancel services, go on, ask for every job; return those not told done or cancelled."""
        for job_id, job in self.specs.items():
            if job.kind == "service":
                self.cancel(job_id)
        self.run(seconds)
        for job_id in self.specs:
            self.query(job_id)
        self.run(8)
        return {j for j in self.specs if self.told.get(j) not in ("done", "cancelled")}

    def _user(self, job_id: str, make: Callable, enough: Callable) -> None:
        label = self.rng.choice(self.labels)
        state = {"open": True}
        before, sent = self.told.get(job_id), self.now

        def answered(status: int, answer: tuple) -> None:
            self.heard(job_id, status, answer, before, sent)
            if state["open"]:
                state["open"] = False
                if not enough(status, answer):
                    self.after(1.0, lambda: self._user(job_id, make, enough))

        def again() -> None:
            if state["open"]:
                state["open"] = False
                self.after(1.0, lambda: self._user(job_id, make, enough))

        self.after(5.0, again)
        self.command(label, make(answered))

    # --- rules ---

    def needs(self, job_id: str) -> set[str]:
        """Return the jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [job_id]
        while stack:
            for name in self.specs[stack.pop()].waits_on:
                if name in self.specs and name not in found:
                    found.add(name)
                    stack.append(name)
        return found

    def heard(
        self, job_id: str, status: int, answer: tuple, before: str | None, sent: float
    ) -> None:
        """Check an answer against what the user had been told when the request was sent."""
        if status in (400, 404, 422):
            assert before is None, f"forgotten: {job_id}"
            self.refusals[job_id] = status
        if status not in (200, 201):
            return
        self.answered[job_id] = self.now
        assert job_id in self.specs, f"invented: {job_id}"
        state = answer[2]
        if before in ("done", "cancelled"):
            assert state == before, f"went_back: {job_id} from {before} to {state}"
        if state == "done":
            for index in range(self.specs[job_id].tasks):
                assert f"{job_id}/{index}" in self.completed, f"not_done: {job_id}/{index}"
        if state in ("queued", "running"):
            # Stricter than the rule, which allows cancel_s: nobody may hear an older answer.
            for name in self.needs(job_id):
                assert sent <= self.cancelled_at.get(name, sent), f"orphaned: {job_id} by {name}"
        if state == "cancelled":
            assert self.asked_cancel & {job_id, *self.needs(job_id)}, (
                f"went_back: {job_id} was never cancelled"
            )
            self.cancelled_at.setdefault(job_id, self.now)
        if self.told.get(job_id) not in ("done", "cancelled"):
            news = state if state in ("done", "cancelled") else "accepted"
            if news != self.told.get(job_id):
                self.told[job_id] = news
                if self.close and self.rng.random() < self.close:
                    self.look_closely(job_id)

    def check_cancelled(self) -> None:
        """Look for tasks that are on a machine more than cancel_s after the word; looked at twice
        a second, and when a machine that hung goes on. One that hangs beyond its lease can't go on
        with them."""
        if not self.cancelled_at:
            return
        for worker in self.workers.values():
            if worker.dead or (worker.hung and worker.lease_over):
                continue
            worker.advance()
            for (task, _), row in worker.tasks.items():
                at = self.cancelled_at.get(task.partition("/")[0])
                assert row[0] not in PLACED or at is None or self.now - at <= CANCEL_S, (
                    f"ran_cancelled: {task}"
                )

    def check_given(self, label: str, orders: list[dict]) -> None:
        """No controller gives a start of a job that it knows to be cancelled."""
        core = self.cores[label]
        for order in orders:
            if order["verb"] == "launch":
                job_id = order["piece"].partition("/")[0]
                self.given[(order["piece"], order["try"])] = self.now
                assert core is None or not core.agents.cancellations.is_cancelled(job_id), (
                    f"start given though cancelled: {order['piece']}"
                )

    def placed(self) -> list[tuple[FakeWorker, str, int]]:
        """Return the tasks that are on a machine by the rules' words: also while they wait for
        their gang, save, hang or can't be reached."""
        found = []
        for worker in self.workers.values():
            if not worker.dead:
                worker.advance()
                found += [
                    (worker, task, attempt)
                    for (task, attempt), row in worker.tasks.items()
                    if row[0] in PLACED
                ]
        return found

    def live(self) -> list[tuple[FakeWorker, str, int]]:
        found = []
        for worker in self.workers.values():
            if not worker.dead:
                worker.advance()
                found += [
                    (worker, task, attempt)
                    for (task, attempt), row in worker.tasks.items()
                    if row[0] == "running"
                ]
        return found

    def started(self, worker: FakeWorker, key: tuple[str, int]) -> None:
        """Check the rules at the moment a start is carried out."""
        task, attempt = key
        job_id = task.partition("/")[0]
        for name in self.specs[job_id].waits_on:
            missing = {f"{name}/{i}" for i in range(self.specs[name].tasks)} - self.completed
            assert not missing, f"too_early: {task} before {sorted(missing)[0]}"
        self.check_place(worker, task)
        at = self.cancelled_at.get(job_id)
        assert at is None or self.now - at <= CANCEL_S, f"ran_cancelled: {task}"
        if at is not None and at < self.now:
            self.late_starts.append((task, self.given.get(key, at) - at, self.now - at))
        self.starts += 1
        self.start_log.append((self.now, task, attempt, worker.name))

    def check_place(self, worker: FakeWorker, task: str) -> None:
        """Check the rules on where a task may be: when it is started and when it has its image."""
        job_id = task.partition("/")[0]
        job = self.specs[job_id]
        others = [row for row in self.placed() if row[:2] != (worker, task)]
        assert task not in [t for _, t, _ in others], f"ran_twice: {task}"
        mates = [self.specs[t.partition("/")[0]] for _, t, _ in others]
        mates = [mate for mate in mates if mate.team == job.team]
        limit = self.teams[job.team]
        for used, most in (
            (job.cpus + sum(s.cpus for s in mates), limit.cpus_max),
            (job.gpus + sum(s.gpus for s in mates), limit.gpus_max),
        ):
            assert not most or used <= most + 1e-6, f"quota: {job.team} {used}"
        zones = [w.zone for w, t, _ in others if t.partition("/")[0] == job_id]
        assert job.zone in (None, worker.zone), f"wrong_place: {task}"
        assert job.spot or not worker.spot, f"wrong_place: {task}"
        assert not job.one_zone or set(zones) <= {worker.zone}, f"wrong_place: {task}"
        assert not job.spread or zones.count(worker.zone) < (job.tasks + 1) // 2, (
            f"wrong_place: {task}"
        )


def make_old(core: Controller) -> None:
    """Let a controller behave as the first version does where records are concerned: it neither
    says what it can read nor takes note of the format."""
    core.leadership._negotiate_format = lambda: None  # type: ignore[method-assign]
    core.scheduler.buffer.least_bytes = value_limit(core.context.facts.state)
    replica, apply = core.context.replica, core.context.replica.apply

    def old_apply(key: str, value: Any, mod_revision: int) -> None:
        if key.partition("/")[2].partition("/")[0] not in ("version", "format"):
            apply(key, value, mod_revision)

    replica.apply = old_apply  # type: ignore[method-assign]


def check_counts(core: Controller) -> None:
    """Compare what a controller keeps up to date with a full count."""
    context, replica = core.context, core.context.replica
    for name, free in replica.free_resources.items():
        counted = count_free_resources(context, context.machines[name])
        assert astuple(free) == pytest.approx(astuple(counted)), name
    check_index(core)
    used: dict[str, float] = {}
    mine: dict[str, float] = {}
    ending: dict[str, float] = {}
    for job in replica.jobs.values():
        bound = job.resources[1] * len(job.bindings())
        used[job.team] = used.get(job.team, 0.0) + bound
        ending[job.team] = ending.get(job.team, 0.0) + (0.0 if job.service else bound)
        mine[job.team] = mine.get(job.team, 0.0) + job.resources[1] * len(
            core.scheduler.buffer.bindings(job)
        )
    for team in context.teams:
        assert replica.team_usage.get(team, (0, 0))[1] == pytest.approx(used.get(team, 0)), team
        assert sum(
            at[1] for at in replica.preemptible_usage.get(team, {}).values()
        ) == pytest.approx(ending.get(team, 0)), team
        if team in context.held_roles:
            assert core.scheduler.buffer.team_use(team)[1] == pytest.approx(mine.get(team, 0)), (
                team
            )


def check_index(core: Controller) -> None:
    """Compare where the index has each machine with what an index made anew says."""
    context, index = core.context, core.scheduler.index
    index.refresh()
    fresh = MachineIndex(context)
    context.replica.stale_machines.update(context.machines)
    unresponsive = set(context.unresponsive)
    fresh.refresh()
    context.unresponsive = unresponsive

    def named(index: MachineIndex, sets: dict) -> dict:
        return {key: {index.machines[n].name for n in ids} for key, ids in sets.items() if ids}

    quiet = {n for n, m in context.machines.items() if not is_schedulable(context, m)}
    for attr in ("classes", "kinds", "holders", "weak", "teams"):
        kept, anew = (named(i, getattr(i, attr)) for i in (index, fresh))
        if attr != "holders":  # one that fell silent leaves when it is drawn
            kept = {key: names - quiet for key, names in kept.items() if names - quiet}
        assert kept == anew, attr
