"""Discrete-event model of a deployment that runs schedules only, with faults.

Of each controller only the schedules subsystem runs, with its wall clock. Time jumps from event to
event, so that a year takes minutes. Leases are modelled by their outcome: when the holder of the
role has been down or partitioned for the lease time, another controller takes the role's record.
Writes that the old holder sent may still arrive later.
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
# Share of transactions whose answer is lost, apart from partitions.
LOST_ANSWER_SHARE = 0.01
# Seconds between checks of queued firings; real controllers check every second.
QUEUED_POLL_S = 30.0
SKEW_S = 0.1
# Ranges in seconds.
WATCH_DELAY_S, STORE_DELAY_S, LATE_WRITE_DELAY_S, JOB_RUN_S = (
    (0.02, 0.1),  # until watch events arrive
    (0.01, 0.08),  # of a transaction or its answer
    (1.0, 120.0),  # of a transaction that is held up, as by a partition
    (20.0, 5400.0),  # run time of a job
)
MACHINE = MachineType("plain", 64.0, 8.0, 256.0, 100.0, 1.0, 1.0, 1.0, 1.0, ["a"])


def settings_for(label: str) -> Settings:
    """Return the settings of a controller in the model."""
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
    """The schedules subsystem of one controller, with a wall clock that drifts."""

    def __init__(self, model: "Model", label: str) -> None:
        self.model = model
        self.label = label
        self.incarnation = 0
        self.partitioned = False
        self.clock_offset_s = 0.0
        self.wake_at = 0.0
        self.schedules: SchedulesSubsystem | None = None

    def boot(self) -> None:
        """Start a new incarnation and read all records."""
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
        """Stop without releasing the role."""
        self.incarnation += 1
        self.schedules = None

    def wake(self, seconds: float) -> None:
        """Schedule a tick after some seconds, unless an earlier one is scheduled."""
        at = self.model.now + seconds
        if self.wake_at <= self.model.now or at < self.wake_at:
            self.wake_at = at
            incarnation = self.incarnation
            self.model.call_later(seconds, lambda: self.run_tick(incarnation, at))

    def run_tick(self, incarnation: int, at: float) -> None:
        """Run one tick as a controller does, then schedule the next."""
        if self.schedules is None or incarnation != self.incarnation or at != self.wake_at:
            return
        model, context, dispatcher = self.model, self.context, self.schedules.dispatcher
        context.now = model.now
        drift = model.rng.uniform(-0.01, 0.01)
        self.clock_offset_s = max(-SKEW_S / 2, min(SKEW_S / 2, self.clock_offset_s + drift))
        if not (self.partitioned or model.store_down):
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
            assert isinstance(effect, Transaction)  # the only effect of schedules
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
        """Deliver a transaction to the state service and, unless lost, its outcome back."""
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

        # In a partition, or for one transaction in a hundred, the answer is lost. Half of these
        # transactions are also held up, often until long after the timeout.
        lost = self.partitioned or model.rng.random() < LOST_ANSWER_SHARE
        delay_range_s = LATE_WRITE_DELAY_S if lost and model.rng.random() < 0.5 else STORE_DELAY_S
        queue_s = model.queue_delay(len(writes))
        model.call_later(queue_s + model.rng.uniform(*delay_range_s), arrive)
        if lost or model.store_down:
            model.call_later(queue_s + constants.STORE_TIMEOUT_S, lambda: answer(0, None))

    def apply_events(self, events: list[tuple[str, Any, int]]) -> None:
        """Apply watch events; tick if the role changed, or records did while holding it."""
        if self.schedules is not None:
            for event in events:
                self.context.replica.apply(*event)
            role = self.context.replica.roles.get(CLOCK_ROLE)
            is_holder = role is not None and role[0] == self.label and role[1] == self.incarnation
            self.context.held_roles = (
                {CLOCK_ROLE: role[2]} if is_holder and role is not None else {}
            )
            if is_holder != (self.schedules.dispatcher.role_revision != 0) or (
                self.schedules.store.changed and is_holder
            ):
                self.wake(0.0)


class Model:
    """State service, controllers, jobs and faults, in true time from `start` (s since 1970)."""

    def __init__(self, start: int, seed: int) -> None:
        self.start = start
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.values: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.store_down = False
        # Limit of changes per second (None: no limit), and the time of the next change (s).
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
        """Run a callback after some seconds."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + seconds, self.count, run))

    def run(self, until: float) -> None:
        """Run all events up to a time (s from the start)."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, run = heapq.heappop(self.heap)
            run()
        self.now = until

    # --- state service ---

    def queue_delay(self, changes: int) -> float:
        """Return how long (s) a transaction waits because of the rate limit."""
        self.changes += changes
        if self.rate is None:
            return 0.0
        self.next_change = max(self.now, self.next_change) + changes / self.rate
        return self.next_change - self.now

    def write(self, guards: list, writes: list) -> tuple[int, Any]:
        """Apply a transaction atomically; return status and result."""
        if self.store_down:
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
        """Write keys and send the watch events to all reachable controllers."""
        self.revision += 1
        events = []
        for key, value in pairs:
            self.values[key] = (value, self.revision)
            events.append((key, value, self.revision))
            kind, _, name = key.removeprefix(PREFIX).partition("/")
            if kind == "j" and value[0] == "queued":
                self._start_job(name, value)
            elif kind == records.NAMESPACE and name.startswith("m/"):
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
        # Real deployments keep these records; here, drop them after a day to save memory.
        while self.finished and self.finished[0][0] < self.now - 86_400:
            _, old = self.finished.pop(0)
            self.values.pop(f"{PREFIX}j/{old}", None)
            for controller in self.controllers:
                if controller.schedules is not None:
                    controller.context.replica.jobs.pop(old, None)
                    controller.context.replica.changes.jobs.discard(old)

    def _collect_outcomes(self, value: list) -> None:
        """Collect the decisions in a shard's record."""
        for name, _, _, rows in value:
            known = self.outcomes.setdefault(name, {})
            for at, outcome, *_ in rows:
                seen = known.setdefault(at, [])
                if not seen or seen[-1] != outcome:
                    seen.append(outcome)

    # --- role holder ---

    def elect(self) -> None:
        """Give the role to a reachable controller; retry every second until one can take it."""
        candidates = [
            controller
            for controller in self.controllers
            if controller.schedules is not None and not controller.partitioned
        ]
        if candidates and not self.store_down:
            controller = self.rng.choice(candidates)
            self.put([(role_key(CLOCK_ROLE), [controller.label, controller.incarnation])])
        else:
            self.call_later(1.0, self.elect)

    def holder(self) -> Controller | None:
        """Return the controller that holds the role according to the records."""
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
        """Let another controller take the role once the holder's lease has expired."""
        self.call_later(constants.CONTROLLER_LEASE_S + self.rng.uniform(0.1, 1.0), self.elect)

    def crash(self, controller: Controller, restart_s: float) -> None:
        """Crash a controller; it restarts after a time."""
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
        """Partition a controller; its transactions are not answered and may arrive late."""
        if controller.schedules is None or controller.partitioned:
            return
        controller.partitioned = True
        if self.holder() is controller:
            self.takeover()

        def heal() -> None:
            controller.partitioned = False
            if controller.schedules is not None:
                controller.crash()  # restarts its watch and its plans
                controller.boot()
                if self.holder() is None:
                    self.elect()

        self.call_later(seconds, heal)

    def outage(self, seconds: float) -> None:
        """Make the state service unavailable for some seconds."""
        self.store_down = True

        def restore() -> None:
            self.store_down = False

        self.call_later(seconds, restore)
