"""A model of a deployment for schedules alone: guarded records, clocks, and holders that die.

Only the clock's part of a controller runs here (records, daytime, clock), over time that jumps
from event to event, so that a year fits into minutes. Whoever holds the role is decided as the
lease would: when a holder is gone or cut off for the lease's time, another one takes the role's
record, and what the old one sent may still arrive later.
"""

import heapq
import random
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.messages import Transaction
from oakmux.core.model import MachineType
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import PREFIX, role_key
from oakmux.schedules import records
from oakmux.schedules.dispatcher import CLOCK_ROLE
from oakmux.schedules.subsystem import SchedulesSubsystem
from oakmux.settings import (
    CloudLimits,
    Facts,
    ServiceAddresses,
    Settings,
    StoreLimits,
    Team,
    WorkerTimings,
)

TEAM = "press"
# Share of transactions whose answer is lost.
LOST_ANSWER_SHARE = 0.01
# Seconds between two looks at queued firings: a real clock looks each second.
QUEUED_POLL_S = 30.0
SKEW_S = 0.1
# Seconds: a watch's news, a transaction's way, one that is held up by a cut, a job's run.
WATCH_DELAY_S, STORE_DELAY_S, LATE_WRITE_DELAY_S, JOB_RUN_S = (
    (0.02, 0.1),
    (0.01, 0.08),
    (1.0, 120.0),
    (20.0, 5400.0),
)
MACHINE = MachineType("plain", 64.0, 8.0, 256.0, 100.0, 1.0, 1.0, 1.0, 1.0, ["a"])


def settings_for(label: str) -> Settings:
    """Return the settings of a controller of the model."""
    return Settings(
        label,
        "10.0.0.1:80",
        "10.0.0.1:81",
        ServiceAddresses("10.0.0.2:1", "10.0.0.3:1"),
        Facts(
            ["a"],
            [Team(TEAM)],
            WorkerTimings(1, 10, 10, 10, 30),
            StoreLimits(700, 250, 8, 12),
            CloudLimits(5, 5),
            3,
            skew_ms=SKEW_S * 1000,
        ),
    )


class Controller:
    """One controller's clock, with a clock of its own that wanders."""

    def __init__(self, model: "Model", label: str) -> None:
        self.model = model
        self.label = label
        self.incarnation = 0
        self.partitioned = False
        self.clock_offset_s = 0.0
        self.wake_at = 0.0
        self.schedules: SchedulesSubsystem | None = None

    def boot(self) -> None:
        """Start anew: read all records."""
        self.incarnation += 1
        self.context = Context(settings_for(self.label), random.Random(self.incarnation), 0)
        self.context.types = {MACHINE.name: MACHINE}
        self.schedules = SchedulesSubsystem(self.context)
        self.context.replica.load(
            [
                (key, value, mod_revision)
                for key, (value, mod_revision) in self.model.values.items()
            ],
            self.model.revision,
        )
        self.wake(0.0)

    def crash(self) -> None:
        """End without a word."""
        self.incarnation += 1
        self.schedules = None

    def wake(self, seconds: float) -> None:
        """Have a turn in so many seconds, unless one comes before."""
        at = self.model.now + seconds
        if self.wake_at <= self.model.now or at < self.wake_at:
            self.wake_at = at
            incarnation = self.incarnation
            self.model.call_later(seconds, lambda: self.run_tick(incarnation, at))

    def run_tick(self, incarnation: int, at: float) -> None:
        """Have a turn as a controller has in every tick."""
        if self.schedules is None or incarnation != self.incarnation or at != self.wake_at:
            return
        model, context, dispatcher = self.model, self.context, self.schedules.dispatcher
        context.now = model.now
        drift = model.rng.uniform(-0.01, 0.01)
        self.clock_offset_s = max(-SKEW_S / 2, min(SKEW_S / 2, self.clock_offset_s + drift))
        if not (self.partitioned or model.down):
            context.store_seen_at = model.now
        self.schedules.wall_clock.last_reading = None
        self.schedules.wall_clock.synchronize(
            int((model.start + model.now + self.clock_offset_s) * 1000)
        )
        begin = time.perf_counter()
        self.schedules.tick()
        model.tick_s.append(time.perf_counter() - begin)
        effects, context.effects = context.effects, []
        for effect in effects:
            assert isinstance(effect, Transaction)  # schedules ask for nothing else
            self.send(effect, incarnation)
        self.wake_at = 0.0
        if dispatcher.due or dispatcher.to_plan or dispatcher.shards_in_flight:
            self.wake(constants.TICK_S if context.store_seen_at == model.now else 1.0)
            return
        wait_s = 3600.0 if not dispatcher.queued else QUEUED_POLL_S
        if dispatcher.heap:
            wait_s = min(
                wait_s,
                dispatcher.heap[0][0] / 1000 - model.start - model.now - self.clock_offset_s,
            )
        self.wake(max(constants.TICK_S, wait_s))

    def send(self, transaction: Transaction, incarnation: int) -> None:
        """Carry a transaction to the state service, and its outcome back if there is one."""
        conditions, writes = transaction.conditions, transaction.writes
        model = self.model
        on_answer = self.context.operations.pop(transaction.operation)

        def answer(status: int, result: Any) -> None:
            if incarnation == self.incarnation:
                self.context.now = model.now
                on_answer(status, result)
                self.wake(0.0)

        def arrive() -> None:
            outcome = model.write(conditions, writes)
            if not lost:
                model.call_later(model.rng.uniform(*STORE_DELAY_S), lambda: answer(*outcome))

        # Cut off, or one in a hundred: carried out long after it was given up, or without a word.
        lost = self.partitioned or model.rng.random() < LOST_ANSWER_SHARE
        delay_range_s = LATE_WRITE_DELAY_S if lost and model.rng.random() < 0.5 else STORE_DELAY_S
        queue_s = model.queue_delay(len(writes))
        model.call_later(queue_s + model.rng.uniform(*delay_range_s), arrive)
        if lost or model.down:
            model.call_later(queue_s + constants.STORE_TIMEOUT_S, lambda: answer(0, None))

    def apply_events(self, events: list[tuple[str, Any, int]]) -> None:
        """Take news of the watch."""
        if self.schedules is not None:
            for event in events:
                self.context.replica.apply(*event)
            role = self.context.replica.roles.get(CLOCK_ROLE)
            is_holder = role is not None and role[0] == self.label and role[1] == self.incarnation
            self.context.held_roles = (
                {CLOCK_ROLE: role[2]} if is_holder and role is not None else {}
            )
            if is_holder != (self.schedules.dispatcher.held != 0) or (
                self.schedules.store.changed and is_holder
            ):
                self.wake(0.0)


class Model:
    """State service, controllers, jobs and troubles over true time from `start` (s since 1970)."""

    def __init__(self, start: int, seed: int) -> None:
        self.start = start
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.values: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.down = False
        # Changes a second that firings may use, if they are bounded, and when the next may go.
        self.rate: float | None = None
        self.next_change = 0.0
        self.changes = 0
        self.tick_s: deque[float] = deque(maxlen=100_000)
        self.outcomes: dict[str, dict[int, list[str]]] = {}
        self.created_jobs: dict[str, float] = {}
        self.duplicate_jobs: list[str] = []
        self.finished: list[tuple[float, str]] = []
        self.controllers = [Controller(self, f"h{n}") for n in range(3)]

    def call_later(self, seconds: float, run: Callable[[], None]) -> None:
        """Run something in so many seconds."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + seconds, self.count, run))

    def run(self, until: float) -> None:
        """Go on until a time (s from the start)."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, run = heapq.heappop(self.heap)
            run()
        self.now = until

    # --- state service ---

    def queue_delay(self, changes: int) -> float:
        """Return how long a transaction waits for its share of the rate of changes."""
        self.changes += changes
        if self.rate is None:
            return 0.0
        self.next_change = max(self.now, self.next_change) + changes / self.rate
        return self.next_change - self.now

    def write(self, guards: list, writes: list) -> tuple[int, Any]:
        """Carry out a transaction, or none of it."""
        if self.down:
            return 503, None
        failed = [
            key
            for key, mod_revision in guards
            if self.values.get(key, (None, 0))[1] != mod_revision
        ]
        if failed:
            return 409, (self.revision, failed)
        self.put([(write[0], write[1]) for write in writes])
        return 200, (self.revision, [])

    def put(self, pairs: list[tuple[str, Any]]) -> None:
        """Write keys, and bring the news to all."""
        self.revision += 1
        events = []
        for key, value in pairs:
            self.values[key] = (value, self.revision)
            events.append((key, value, self.revision))
            kind, _, name = key.removeprefix(PREFIX).partition("/")
            if kind == "j" and value[0] == "queued":
                self._start_job(name, value)
            elif kind == records.KIND and name.startswith("m/"):
                self._collect_outcomes(value)
        for controller in self.controllers:
            if not controller.partitioned:
                self.call_later(
                    self.rng.uniform(*WATCH_DELAY_S), partial(controller.apply_events, events)
                )

    def _start_job(self, name: str, value: list) -> None:
        if name in self.created_jobs:
            self.duplicate_jobs.append(name)
        self.created_jobs[name] = self.now
        low, high = JOB_RUN_S
        self.call_later(self.rng.uniform(low, high), lambda: self._finish_job(name, value))

    def _finish_job(self, name: str, value: list) -> None:
        self.put([(f"{PREFIX}j/{name}", encode_job("done", value[1], None, value[3], value[4]))])
        self.finished.append((self.now, name))
        # A real deployment keeps the records; here they only would fill the memory.
        while self.finished and self.finished[0][0] < self.now - 86_400:
            _, old = self.finished.pop(0)
            self.values.pop(f"{PREFIX}j/{old}", None)
            for controller in self.controllers:
                if controller.schedules is not None:
                    controller.context.replica.jobs.pop(old, None)
                    controller.context.replica.changes.jobs.discard(old)

    def _collect_outcomes(self, value: list) -> None:
        """Collect the decisions that a shard's record shows."""
        for name, _, _, rows in value:
            known = self.outcomes.setdefault(name, {})
            for at, outcome, *_ in rows:
                seen = known.setdefault(at, [])
                if not seen or seen[-1] != outcome:
                    seen.append(outcome)

    # --- who holds the clock ---

    def elect(self) -> None:
        """Give the role to a controller that lives, as its lease's end would."""
        candidates = [
            controller
            for controller in self.controllers
            if controller.schedules is not None and not controller.partitioned
        ]
        if candidates and not self.down:
            controller = self.rng.choice(candidates)
            self.put([(role_key(CLOCK_ROLE), [controller.label, controller.incarnation])])
        else:
            self.call_later(1.0, self.elect)

    def holder(self) -> Controller | None:
        """Return who holds the role by the records."""
        role = self.values.get(role_key(CLOCK_ROLE))
        return next(
            (
                controller
                for controller in self.controllers
                if role and role[0] == [controller.label, controller.incarnation]
            ),
            None,
        )

    def takeover(self) -> None:
        """The holder is gone: its lease ends, another takes the role."""
        self.call_later(constants.CONTROLLER_LEASE_S + self.rng.uniform(0.1, 1.0), self.elect)

    def crash(self, controller: Controller, restart_s: float) -> None:
        """End a controller; it comes back after a time."""
        if controller.schedules is None:
            return
        was_holder = self.holder() is controller
        controller.crash()
        self.call_later(
            restart_s, lambda: controller.boot() if controller.schedules is None else None
        )
        if was_holder:
            self.takeover()

    def partition(self, controller: Controller, seconds: float) -> None:
        """Cut a controller off; what it sends meanwhile arrives late."""
        if controller.schedules is None or controller.partitioned:
            return
        controller.partitioned = True
        if self.holder() is controller:
            self.takeover()

        def heal() -> None:
            controller.partitioned = False
            if controller.schedules is not None:
                controller.crash()  # its watch starts anew; so do its plans
                controller.boot()
                if self.holder() is None:
                    self.elect()

        self.call_later(seconds, heal)

    def outage(self, seconds: float) -> None:
        """Take the state service away for a while."""
        self.down = True

        def restore() -> None:
            self.down = False

        self.call_later(seconds, restore)
