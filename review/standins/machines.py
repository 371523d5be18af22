"""The cloud and its machines: rentals, the machine list, and a worker on each machine."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.record import Record
from standins.state import Bucket
from standins.wire import Client, Exchange, serve

ANSWER_S = 4.0
"""Seconds after which a worker gives up a report."""

ACTIVE = ("pulling", "waiting", "running", "flushing")


class Times(NamedTuple):
    """The workers' times and the cloud's, as in the settings."""

    report_s: float = 2.5
    lease_s: float = 16.0
    list_lag_s: float = 5.0
    cloud_rps: float = 4.0
    boot_s: float = 2.0


class Task:
    """A task on a machine."""

    def __init__(self, status: str) -> None:
        self.status = status
        self.cause = ""
        self.timer: asyncio.TimerHandle | None = None

    def to_report(self, key: tuple[str, int]) -> dict[str, Any]:
        """Return the task as a report shows it."""
        row = {"piece": key[0], "try": key[1], "status": self.status}
        return {**row, "cause": self.cause} if self.cause else row


class Machine:
    """A machine and its worker, which follows PROTOCOL to the letter."""

    def __init__(self, cloud: "Cloud", name: str, port: int, kind: dict[str, Any]) -> None:
        self.cloud = cloud
        self.record = cloud.record
        self.name = name
        self.port = port
        self.kind = kind
        self.rented_at = cloud.record.now
        self.up = False
        self.gone = False
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.done: set[str] = set()
        self.images: set[str] = set()
        self.lease_from = 0.0
        self.target = cloud.rng.randrange(len(cloud.nodes))
        self.client = Client()
        self.soon = asyncio.Event()
        self.last_report = -10.0

    # --- life ---

    async def run(self, boot_s: float) -> None:
        """Boot, then report until the machine is gone."""
        await asyncio.sleep(boot_s)
        if self.gone:
            return
        self.up = True
        self.lease_from = self.record.now
        self.record.line(f"{self.name}: up at port {self.port}")
        if self.cloud.new_ones_are_faulty:
            self.record.line(f"trouble: {self.name} fails every task that it starts")
            self.cloud.faulty.add(self.name)
        await serve(self.port, self.receive)
        while not self.gone:
            await self.report()
            pause = self.cloud.times.report_s * self.cloud.rng.uniform(0.75, 1.25)
            try:
                async with asyncio.timeout(pause):
                    await self.soon.wait()
                    left = self.last_report + 0.5 - self.record.now
                    await asyncio.sleep(max(0.0, left))
            except TimeoutError:
                pass

    def end(self) -> None:
        """Take the machine away with everything on it."""
        self.gone = True
        self.client.close()
        self._clear("machine gone")

    def _clear(self, why: str) -> None:
        for key, task in self.tasks.items():
            if task.timer is not None:
                task.timer.cancel()
            if task.status in ACTIVE:
                self.cloud.left(self, key, why)
        self.tasks.clear()

    def lease_running(self) -> bool:
        """Whether the controllers have renewed the lease in time."""
        return self.record.now - self.lease_from <= self.cloud.times.lease_s

    def check_lease(self) -> None:
        """Begin the next session if the lease is over."""
        if not self.lease_running():
            self.record.line(
                f"{self.name}: lease over, session {self.tenure} ends with {len(self.tasks)} tasks"
            )
            self._clear("lease over")
            self.tenure += 1
            self.lease_from = self.record.now

    # --- reports ---

    def view(self) -> dict[str, Any]:
        """Return the worker's report."""
        self.tick += 1
        return {
            "box": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "flavour": self.kind["flavour"],
            "site": self.kind["site"],
            "loaner": self.kind["loaner"],
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "pieces": [task.to_report(key) for key, task in self.tasks.items()],
        }

    async def report(self) -> None:
        """Send one report and carry out the answer."""
        self.soon.clear()
        self.check_lease()
        sent, tenure = self.record.now, self.tenure
        self.last_report = sent
        port = self.cloud.nodes[self.target][1]
        status, body = await self.client.request(
            port, "POST", "/agent/beat", self.view(), ANSWER_S, 1.0
        )
        if self.gone:
            return
        self.check_lease()
        if status == 200:
            baton = (body or {}).get("baton")
            if baton is not None and baton >= self.baton and tenure == self.tenure:
                self.lease_from = sent
                self.baton = baton
                self.execute(body.get("orders", []), "report")
            return
        boss = (body or {}).get("boss") if status == 421 else None
        labels = [label for label, _ in self.cloud.nodes]
        if boss in labels and labels.index(boss) != self.target:
            self.target = labels.index(boss)
            self.client.close()
            self.soon.set()
            return
        self.target = (self.target + 1) % len(labels)
        self.client.close()
        await asyncio.sleep(1.0)
        self.soon.set()

    def receive(self, ex: Exchange) -> None:
        """Answer a direct request."""
        if self.gone:
            return
        self.check_lease()
        if ex.path == "/show":
            ex.answer(200, self.view())
            return
        body = ex.body
        if "baton" not in body or "tenure" not in body:
            ex.answer(400, {"error": "missing"})
        elif body["baton"] < self.baton or body["tenure"] != self.tenure:
            ex.answer(409, self.view())
        else:
            self.baton = body["baton"]
            self.execute(body["orders"], "direct")
            ex.answer(200, self.view())

    # --- orders ---

    def execute(self, orders: list[dict[str, Any]], way: str) -> None:
        """Carry out orders in their order."""
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch" and key not in self.tasks:
                self._launch(key, way)
            elif order["verb"] == "halt" and key in self.tasks:
                if self.tasks[key].status in ACTIVE:
                    self.exit(key, "halted")
            elif order["verb"] == "forget" and self._has_ended(key):
                del self.tasks[key]
        if orders:
            self.soon.set()

    def _has_ended(self, key: tuple[str, int]) -> bool:
        return key in self.tasks and self.tasks[key].status == "ended"

    def _launch(self, key: tuple[str, int], way: str) -> None:
        job_id = key[0].partition("/")[0]
        job = self.cloud.jobs.get(job_id)
        task = self.tasks[key] = Task("pulling")
        cause = self._refusal(key, job)
        if cause:
            task.status, task.cause = "ended", cause
            return
        assert job is not None
        self.cloud.about_to_start(self, key)
        rate = self.cloud.types[self.kind["flavour"]]["pull_gb_per_s"]
        seconds = 0.0 if job["bundle"] in self.images else job["size_gb"] / rate
        self.cloud.log_task(self, key, f"launch ({way})")
        loop = asyncio.get_running_loop()
        task.timer = loop.call_later(seconds, self._fetched, key, job)

    def _refusal(self, key: tuple[str, int], job: dict[str, Any] | None) -> str:
        if job is None:
            return "unknown"
        if any(k[0] == key[0] and k != key and t.status in ACTIVE for k, t in self.tasks.items()):
            return "in_use"
        used = [0.0, 0.0, 0.0]
        for other, task in self.tasks.items():
            if task.status in ACTIVE:
                spec = self.cloud.jobs[other[0].partition("/")[0]]
                for i, name in enumerate(("vcpus", "accelerators", "memory_gb")):
                    used[i] += spec[name]
        size = self.cloud.types[self.kind["flavour"]]
        for i, name in enumerate(("vcpus", "accelerators", "memory_gb")):
            if used[i] > size[name] + 1e-6:
                return "no_room"
        return ""

    def _fetched(self, key: tuple[str, int], job: dict[str, Any]) -> None:
        self.check_lease()
        task = self.tasks.get(key)
        if task is None or task.status != "pulling":
            return
        self.images.add(job["bundle"])
        task.status = "running"
        self.cloud.placed(self, key)
        self.soon.set()
        if key[0] in self.done:
            self.exit(key, "done")
            return
        outcome, seconds = self.cloud.outcome(self, key, job)
        if seconds is not None:
            loop = asyncio.get_running_loop()
            task.timer = loop.call_later(seconds, self._over, key, outcome)

    def _over(self, key: tuple[str, int], cause: str) -> None:
        self.check_lease()
        if key in self.tasks and self.tasks[key].status == "running":
            self.exit(key, cause)

    def exit(self, key: tuple[str, int], cause: str) -> None:
        """End a task."""
        task = self.tasks[key]
        if task.timer is not None:
            task.timer.cancel()
        placed = task.status in ("running", "waiting", "flushing")
        task.status, task.cause = "ended", cause
        if cause == "done":
            self.done.add(key[0])
            self.cloud.task_done.setdefault(key[0], self.record.now)
        if placed:
            self.cloud.left(self, key, cause)
        self.soon.set()


class Cloud:
    """Rents machines, lists them with a lag, and sees what runs on them."""

    def __init__(
        self,
        record: Record,
        rng: random.Random,
        types: list[dict[str, Any]],
        nodes: list[tuple[str, int]],
        ports: Callable[[], int],
        times: Times,
        capacity: int,
    ) -> None:
        self.record = record
        self.rng = rng
        self.types = {kind["sku"]: kind for kind in types}
        self.nodes = nodes
        self.ports = ports
        self.times = times
        self.capacity = capacity
        self.bucket = Bucket(times.cloud_rps)
        self.machines: dict[str, Machine] = {}
        self.hires: dict[str, list[str]] = {}
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        # Jobs that users uploaded, by id: the submission, and `run_s` (None: until stopped).
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float | None] = {}
        # Where each task is now, when each was first done, and how often each was started.
        self.where: dict[str, set[tuple[str, int]]] = {}
        self.task_done: dict[str, float] = {}
        self.starts: dict[str, int] = {}
        # Machines that fail every task that they start, and after how many seconds.
        self.faulty: set[str] = set()
        self.fails_after_s = 1.0
        self.new_ones_are_faulty = False
        # A task whose next machines are faulty, one after the other, and how many of them.
        self.unlucky_task = ""
        self.unlucky_starts = 0
        self.running: set[asyncio.Task[None]] = set()
        self.next_number = 230

    async def start(self, port: int) -> None:
        """Listen, and take a picture of the machines every second for the list."""
        await serve(port, self.receive)
        self._spawn(self._pictures())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    # --- what the platform sees ---

    def outcome(
        self, machine: Machine, key: tuple[str, int], job: dict[str, Any]
    ) -> tuple[str, float | None]:
        """Return how a task that begins to run will end, and after how many seconds."""
        if machine.name in self.faulty:
            return "error", self.fails_after_s
        return "done", self.run_s[key[0].partition("/")[0]]

    def about_to_start(self, machine: Machine, key: tuple[str, int]) -> None:
        """Let a machine be faulty if it is the next one of the unlucky task."""
        if key[0] == self.unlucky_task and self.unlucky_starts > 0:
            self.unlucky_starts -= 1
            self.record.line(f"trouble: {machine.name} fails every task that it starts")
            self.faulty.add(machine.name)

    def log_task(self, machine: Machine, key: tuple[str, int], what: str) -> None:
        """Record what happens to a task."""
        self.record.line(f"{machine.name}: {key[0]} try {key[1]} {what}")

    def placed(self, machine: Machine, key: tuple[str, int]) -> None:
        """Note that a task is on a machine."""
        self.where.setdefault(key[0], set()).add((machine.name, key[1]))
        self.starts[key[0]] = self.starts.get(key[0], 0) + 1
        self.log_task(machine, key, "starts")

    def left(self, machine: Machine, key: tuple[str, int], why: str) -> None:
        """Note that a task left a machine."""
        self.where.get(key[0], set()).discard((machine.name, key[1]))
        if why == "error" and key[0] == self.unlucky_task:
            self.record.line(f"trouble over: {machine.name} is sound")
            self.faulty.discard(machine.name)
        self.log_task(machine, key, f"ends: {why}")

    # --- requests ---

    async def _pictures(self) -> None:
        while True:
            self.history.append((self.record.now, self._rows()))
            del self.history[:-60]
            await asyncio.sleep(0.5)

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {
                "id": m.name,
                "addr": f"127.0.0.1:{m.port}",
                "flavour": m.kind["flavour"],
                "site": m.kind["site"],
                "loaner": m.kind["loaner"],
                "status": "running" if m.up else "booting",
                "held_s": self.record.now - m.rented_at,
            }
            for m in self.machines.values()
            if not m.gone
        ]

    def receive(self, ex: Exchange) -> None:
        """Answer a request after some milliseconds."""
        asyncio.get_running_loop().call_later(self.rng.uniform(0.04, 0.1), self._handle, ex)

    def _handle(self, ex: Exchange) -> None:
        if not self.bucket.take(self.record.now, 1):
            ex.answer(429, {"error": "rate"})
        elif ex.path == "/catalog":
            ex.answer(200, {"flavours": list(self.types.values())})
        elif ex.path == "/hosts/return":
            self._return(ex)
        elif ex.method == "POST":
            self._rent(ex)
        else:
            self._list(ex)

    def _list(self, ex: Exchange) -> None:
        at = self.record.now - self.times.list_lag_s
        rows = next((rows for when, rows in reversed(self.history) if when <= at), [])
        since, page = ex.query.get("since", ""), int(ex.query.get("page", 500))
        rows = [row for row in rows if row["id"] > since]
        ex.answer(200, {"boxes": rows[:page], "has_next": len(rows) > page})

    def _rent(self, ex: Exchange) -> None:
        body = ex.body
        names = self.hires.get(body["hire"])
        if names is None:
            free = self.capacity - sum(not m.gone for m in self.machines.values())
            count = min(body["count"], 50, free)
            if count <= 0:
                ex.answer(503, {"error": "no capacity"})
                return
            names = self.hires[body["hire"]] = [self._new(body) for _ in range(count)]
        ex.answer(200, {"boxes": names})

    def _new(self, body: dict[str, Any]) -> str:
        self.next_number += 1
        name = f"n-{self.next_number:06d}"
        machine = self.machines[name] = Machine(self, name, self.ports(), body)
        self.record.line(f"cloud: {name} {body['flavour']} in {body['site']} rented")
        self._spawn(machine.run(self.times.boot_s * self.rng.uniform(0.6, 1.5)))
        return name

    def _return(self, ex: Exchange) -> None:
        for name in ex.body["boxes"]:
            machine = self.machines.get(name)
            if machine is not None and not machine.gone:
                self.record.line(f"cloud: {name} returned")
                machine.end()
        ex.answer(200, {})
