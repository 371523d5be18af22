"""A fake cloud whose machines boot, are listed two seconds late, and can be returned."""

from collections.abc import Callable
from typing import Any

from oakmux.core import messages
from oakmux.core.instances import ListedInstance
from tests.fakes.network import FakeNetwork
from tests.fakes.worker import FakeWorker


class FakeCloud(FakeNetwork):
    """Rents machines up to its capacity; a repeated request returns the same machines."""

    def __init__(self, seed: int, labels: list[str]) -> None:
        super().__init__(seed, labels)
        self.workers: dict[str, FakeWorker] = {}
        self.requests: dict[str, list[str]] = {}
        self.cloud_down = False
        self.capacity = 12
        self.history: list[tuple[float, list[ListedInstance]]] = []
        self.boot_s: Callable[[], float | None] = lambda: self.rng.uniform(1.0, 4.0)

    def record_machines(self) -> None:
        """Record the current machine list; answers show the list of two seconds ago."""
        rows = [
            ListedInstance(
                w.name, w.name, "big", w.zone, w.spot, "running" if w.up else "booting", 1.0
            )
            for w in self.workers.values()
            if not w.dead
        ]
        self.history.append((self.now, rows))
        self.history = self.history[-40:]

    def cloud(self, operation: messages.CloudOperation) -> tuple[int, Any]:
        if self.cloud_down:
            return 503, None
        if isinstance(operation, messages.ListInstances):
            visible = [rows for at, rows in self.history if at <= self.now - 2.0]
            return 200, visible[-1] if visible else []
        if isinstance(operation, messages.ReturnInstances):
            for name in operation.names:
                if name in self.workers:
                    self.kill(name)
            return 200, None
        assert isinstance(operation, messages.RentInstances)
        request, zone, spot = operation.name, operation.zone, operation.spot
        if request not in self.requests:
            available = self.capacity - sum(1 for w in self.workers.values() if not w.dead)
            if available <= 0:
                return 503, "no capacity"
            names = [f"m{len(self.workers) + i}" for i in range(min(operation.count, available))]
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
