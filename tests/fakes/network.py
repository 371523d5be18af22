"""Simulated time and a network that delays, duplicates and loses messages."""

import heapq
import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any


class RequestKind(StrEnum):
    """Requests of which a copy may arrive after the original was answered."""

    WORKER = "worker"  # a controller's direct commands
    STORE = "store"  # transactions, reads, leases and their renewals
    CLOUD = "cloud"  # rentals, returns and lists
    PEER = "peer"  # messages between controllers
    USER = "user"  # submissions, cancellations and queries


class FakeNetwork:
    """The event queue and the links between controllers, workers, store and cloud.

    Names of links are names of hosts; "state" is the store.
    """

    def __init__(self, seed: int, labels: list[str]) -> None:
        self.rng = random.Random(seed)
        self.labels = labels
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.cuts: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = (
            set()
        )  # (from, to): messages are delayed in this direction
        self.loss_rate = self.duplicate_rate = self.slow_rate = 0.0
        self.store_delay_s = 0.0  # maximum delay of messages from and to the store
        # Share of answered requests of a kind of which a copy is served once more, and the range
        # of seconds after the answer. Nobody gets the answer to a copy.
        self.copy_shares: dict[RequestKind, float] = {}
        self.copy_delay_s = (0.5, 40.0)
        self.copies = 0  # copies served so far
        self.serving_copy = False
        self.muted: set[str] = set()  # machines that reach no controller but receive commands

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

    def is_cut(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.cuts or (a, b) in self.one_way

    def deliver(self, a: str, b: str, run: Callable[[], None]) -> None:
        """Deliver a message: soon, late (partition, slow link), twice or never."""
        if self.is_cut(a, b):
            self.after(self.rng.uniform(1.0, 40.0), run)
        elif self.store_delay_s and "state" in (a, b):
            self.after(self.rng.uniform(0.0, self.store_delay_s), run)
        elif self.rng.random() < self.slow_rate:
            self.after(self.rng.uniform(1.0, 30.0), run)
        elif self.rng.random() >= self.loss_rate:
            self.after(self.delay(), run)
            if self.rng.random() < self.duplicate_rate:
                self.after(self.rng.uniform(0.01, 5.0), run)

    def call(
        self,
        a: str,
        b: str,
        serve: Callable[[], Any],
        on_answer: Callable[[Any], None],
        timeout_answer: Any,
        timeout: float,
        kind: RequestKind,
        defer: Callable[[Callable[[], None]], None] = lambda run: run(),
    ) -> None:
        """Send a request that is served at most once and perhaps late.

        Passes the answer to `on_answer`, or `timeout_answer` after `timeout` seconds; `defer` lets
        the server postpone the work. A copy of an answered request may be served once more.
        """
        state = {"open": True, "served": False}

        def answer(value: Any) -> None:
            if state["open"]:
                state["open"] = False
                if value is not timeout_answer:
                    self.copy_later(kind, lambda: defer(serve))
                on_answer(value)

        def at_server() -> None:
            if not state["served"]:
                state["served"] = True
                defer(reply)

        def reply() -> None:
            value = serve()
            self.deliver(b, a, lambda: answer(value))

        self.after(timeout, lambda: answer(timeout_answer))
        self.deliver(a, b, at_server)

    def copy_later(self, kind: RequestKind, serve: Callable[[], Any]) -> None:
        """Serve a copy of an answered request later, if copies of its kind are drawn."""
        share = self.copy_shares.get(kind, 0.0)
        if not share or self.rng.random() >= share:
            return

        def serve_copy() -> None:
            self.copies += 1
            self.serving_copy = True
            try:
                serve()
            finally:
                self.serving_copy = False

        self.after(self.rng.uniform(*self.copy_delay_s), serve_copy)

    def mute(self, names: list[str], seconds: float) -> None:
        """Block messages from machines to controllers, but not commands to the machines."""
        self.muted.update(names)
        self.after(seconds, lambda: self.muted.difference_update(names))

    def drop_inbound(self, names: list[str], seconds: float) -> None:
        """Delay answers and commands to machines; their heartbeats still arrive."""
        pairs = {(label, name) for label in self.labels for name in names}
        self.one_way |= pairs
        self.after(seconds, lambda: self.one_way.difference_update(pairs))

    def isolate(self, label: str, seconds: float) -> None:
        """Partition a controller from the store and its peers, but not from its workers."""
        pairs = {frozenset((label, other)) for other in [*self.labels, "state"] if other != label}
        self.cuts |= pairs
        self.after(seconds, lambda: self.cuts.difference_update(pairs))
