"""The stand-ins of the cloud and of the workers."""

import asyncio
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import http11
from http11 import Connection, NoAnswerError, Reply

ON_MACHINE = ("waiting", "running", "flushing")
ACTIVE = ("pulling", *ON_MACHINE)
MIN_REPORT_S = 0.5


class Times:
    """The times of the workers, as in the settings."""

    def __init__(self, report_s: float, lease_s: float, cancel_s: float) -> None:
        self.report_s = report_s
        self.lease_s = lease_s
        self.cancel_s = cancel_s


class Worker:
    """One machine with its worker; jobs are arrays, services or gangs of one task."""

    def __init__(self, fleet: "Fleet", name: str, kind: dict[str, Any], site: str) -> None:
        self.fleet = fleet
        self.name = name
        self.kind = kind
        self.site = site
        self.tenure, self.tick, self.baton = 1, 0, 0
        # By (piece, try): [state, cause, time of the end of the state].
        self.pieces: dict[tuple[str, int], list[Any]] = {}
        self.images: set[str] = set()
        self.renewed_at = fleet.now
        self.gone = False
        self.port = 0
        self.node = fleet.rng.randrange(len(fleet.nodes))
        self.changed = asyncio.Event()
        self.token_told_at = -1e9
        self.reported_at = -1e9
        self.server: asyncio.Server | None = None

    async def run(self) -> None:
        """Come up, then report until the machine is gone."""
        self.server, self.port = await http11.serve(self.serve)
        self.renewed_at = self.fleet.now
        connections: dict[int, Connection] = {}
        while not self.gone:
            self.advance()
            body, sent_at, tenure = self.report(), self.fleet.now, self.tenure
            self.reported_at = sent_at
            self.changed.clear()
            connection = connections.setdefault(self.node, Connection(self.fleet.nodes[self.node]))
            pause = self.fleet.times.report_s * self.fleet.rng.uniform(0.75, 1.25)
            try:
                status, answer = await connection.request("POST", "/agent/beat", body)
            except NoAnswerError:
                status, answer = 0, None
            if self.gone:
                break
            self.advance()
            if status == 200:
                self.take_answer(answer, sent_at, tenure)
            else:
                boss = (answer or {}).get("boss") if status == 421 else None
                connection.close()
                if boss in self.fleet.labels:
                    self.node, pause = self.fleet.labels.index(boss), 0.1
                else:
                    self.node, pause = (self.node + 1) % len(self.fleet.nodes), 1.0
                await asyncio.sleep(pause)
                continue
            await asyncio.sleep(max(0.0, sent_at + MIN_REPORT_S - self.fleet.now))
            while not self.changed.is_set() and self.fleet.now < sent_at + pause and not self.gone:
                self.advance()
                await asyncio.sleep(0.02)
        for connection in connections.values():
            connection.close()

    def stop(self) -> None:
        """Take the machine away with all that is on it."""
        if self.gone:
            return
        self.clear("machine gone")
        self.gone = True
        if self.server is not None:
            self.server.close()

    def clear(self, why: str) -> None:
        """Kill and forget all tasks."""
        for key, row in list(self.pieces.items()):
            if row[0] in ON_MACHINE:
                self.fleet.left(self, key, why)
        self.pieces.clear()

    def advance(self) -> None:
        """Bring lease and tasks to the present."""
        now = self.fleet.now
        if now - self.renewed_at > self.fleet.times.lease_s:
            self.clear("lease ended")
            self.tenure += 1
            self.renewed_at = now
            self.fleet.note(f"{self.name}: lease ended, tenure {self.tenure}")
            self.changed.set()
        for key, row in list(self.pieces.items()):
            if row[0] == "pulling" and row[2] <= now:
                job = self.fleet.jobs[key[0].partition("/")[0]]
                self.images.add(job["bundle"])
                row[0], row[2] = "running", now + self.fleet.run_s(key[0])
                self.changed.set()
                self.fleet.came(self, key)
            if row[0] == "running" and row[2] <= now:
                self.end(key, "done")

    def end(self, key: tuple[str, int], cause: str) -> None:
        """End a task."""
        row = self.pieces[key]
        if row[0] in ON_MACHINE:
            self.fleet.left(self, key, cause)
        row[:2] = ["ended", cause]
        self.changed.set()

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tick += 1
        pieces = []
        for (piece, attempt), (state, cause, _) in self.pieces.items():
            row = {"piece": piece, "try": attempt, "status": state}
            pieces.append({**row, "cause": cause} if cause else row)
        return {
            "box": self.name,
            "addr": f"{http11.LOOPBACK}:{self.port}",
            "flavour": self.kind["sku"],
            "site": self.site,
            "loaner": False,
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "pieces": pieces,
        }

    def take_answer(self, answer: Any, sent_at: float, tenure: int) -> None:
        """Execute the commands of an answer, and renew the lease."""
        baton = (answer or {}).get("baton")
        if tenure != self.tenure or not isinstance(baton, int) or baton < self.baton:
            return
        self.renewed_at = max(self.renewed_at, sent_at)
        self.execute(baton, answer.get("orders") or [])

    async def serve(self, method: str, path: str, body: Any) -> Reply | None:
        """Serve direct commands."""
        if self.gone:
            return None
        self.advance()
        if path == "/show":
            return Reply(200, self.report())
        if path != "/orders" or not isinstance(body, dict):
            return Reply(400)
        if not isinstance(body.get("baton"), int) or not isinstance(body.get("tenure"), int):
            return Reply(400)
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return Reply(409, self.report())
        self.execute(body["baton"], body.get("orders") or [])
        return Reply(200, self.report())

    def execute(self, baton: int, orders: list[Any]) -> None:
        """Execute commands in order."""
        now = self.fleet.now
        if baton > self.baton:
            self.baton = baton
            if now - self.token_told_at > self.fleet.times.lease_s / 2:
                self.token_told_at = now
                self.changed.set()
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch" and key not in self.pieces:
                self.launch(key)
            elif order["verb"] == "halt" and self.pieces.get(key, [""])[0] in ACTIVE:
                self.fleet.note(f"{self.name}: halt {key[0]} try {key[1]}")
                self.end(key, "halted")
            elif order["verb"] == "forget" and self.pieces.get(key, [""])[0] == "ended":
                del self.pieces[key]

    def launch(self, key: tuple[str, int]) -> None:
        """Start a task, or refuse to."""
        job = self.fleet.jobs.get(key[0].partition("/")[0])
        self.changed.set()
        self.fleet.note(f"{self.name}: launch {key[0]} try {key[1]}")
        if job is None:
            self.pieces[key] = ["ended", "unknown", 0.0]
            return
        used = {"vcpus": 0.0, "accelerators": 0.0, "memory_gb": 0.0}
        for other, row in self.pieces.items():
            if row[0] not in ACTIVE:
                continue
            if other[0] == key[0]:
                self.pieces[key] = ["ended", "in_use", 0.0]
                return
            other_job = self.fleet.jobs[other[0].partition("/")[0]]
            for name in used:
                used[name] += other_job[name]
        if any(used[name] + job[name] > self.kind[name] + 1e-6 for name in used):
            self.pieces[key] = ["ended", "no_room", 0.0]
            return
        pull_s = (
            0.0 if job["bundle"] in self.images else job["size_gb"] / self.kind["pull_gb_per_s"]
        )
        self.pieces[key] = ["pulling", None, self.fleet.now + pull_s]
        self.advance()

    def room(self, job: dict[str, Any]) -> bool:
        """Whether one more task of a job fits."""
        if job["flavours"] is not None and self.kind["sku"] not in job["flavours"]:
            return False
        if job["site"] not in (None, self.site) or self.gone:
            return False
        for name in ("vcpus", "accelerators", "memory_gb"):
            used = sum(
                self.fleet.jobs[key[0].partition("/")[0]][name]
                for key, row in self.pieces.items()
                if row[0] in ACTIVE
            )
            if used + job[name] > self.kind[name] + 1e-6:
                return False
        return True


class Fleet:
    """The cloud, its machines, and what is on them at each moment."""

    def __init__(
        self,
        kinds: list[dict[str, Any]],
        times: Times,
        list_lag_s: float,
        note: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.kinds = {kind["sku"]: kind for kind in kinds}
        self.times = times
        self.list_lag_s = list_lag_s
        self.note = note
        self.rng = rng
        self.nodes: list[int] = []  # ports of the controllers' public addresses
        self.labels: list[str] = []
        self.jobs: dict[str, dict[str, Any]] = {}  # as submitted
        self.run_times: dict[str, Callable[[str], float]] = {}
        self.workers: dict[str, Worker] = {}
        self.rented_at: dict[str, float] = {}
        self.hires: dict[str, list[str]] = {}
        self.capacity: dict[tuple[str, str], int] = {}
        self.boot_s: Callable[[Worker], float] = lambda _: self.rng.uniform(1.0, 2.0)
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        self.background: set[asyncio.Task[None]] = set()
        # The machine and the try of each task that is on a machine.
        self.placed: dict[str, dict[str, int]] = {}
        self.done: set[str] = set()
        self.breaches: list[str] = []
        self.starts: list[tuple[float, str, str]] = []
        self.on_came: Callable[[Worker, str], None] = lambda *_: None

    @property
    def now(self) -> float:
        """The time in seconds of the steady clock."""
        return asyncio.get_running_loop().time()

    def run_s(self, piece: str) -> float:
        """Return the run time of a task."""
        return self.run_times[piece.partition("/")[0]](piece)

    # --- what is on the machines ---

    def came(self, worker: Worker, key: tuple[str, int]) -> None:
        """Note that a task is on a machine from now on."""
        piece, attempt = key
        on = self.placed.setdefault(piece, {})
        for other in on:
            self.breach(
                f"ran_twice: {piece} starts on {worker.name} (try {attempt}) while it is on "
                f"{other} (try {on[other]})"
            )
        on[worker.name] = attempt
        self.starts.append((self.now, piece, worker.name))
        self.note(f"{worker.name}: {piece} try {attempt} runs")
        self.on_came(worker, piece)

    def left(self, worker: Worker, key: tuple[str, int], why: str) -> None:
        """Note that a task has left its machine."""
        self.placed.get(key[0], {}).pop(worker.name, None)
        if why == "done":
            self.done.add(key[0])
        self.note(f"{worker.name}: {key[0]} try {key[1]} off: {why}")

    def breach(self, text: str) -> None:
        """Note a broken rule."""
        self.breaches.append(text)
        self.note(f"BROKEN {text}")

    # --- the cloud's interface ---

    async def start(self) -> int:
        """Serve the cloud; return its port."""
        self.background.add(asyncio.ensure_future(self.keep_history()))
        _, port = await http11.serve(self.serve)
        return port

    async def keep_history(self) -> None:
        """Keep what the list shows later."""
        while True:
            rows = [
                {
                    "id": worker.name,
                    "addr": f"{http11.LOOPBACK}:{worker.port}",
                    "flavour": worker.kind["sku"],
                    "site": worker.site,
                    "loaner": False,
                    "status": "running" if worker.port else "booting",
                    "held_s": self.now - self.rented_at[worker.name],
                }
                for worker in self.workers.values()
                if not worker.gone
            ]
            self.history.append((self.now, rows))
            del self.history[:-200]
            await asyncio.sleep(0.2)

    async def serve(self, method: str, path: str, body: Any) -> Reply | None:
        """Serve one request of a controller."""
        parts = urlsplit(path)
        if parts.path == "/catalog":
            return Reply(200, {"flavours": list(self.kinds.values())})
        if parts.path == "/hosts/return":
            for name in body["boxes"]:
                if name in self.workers:
                    self.note(f"cloud: {name} returned")
                    self.workers[name].stop()
            return Reply(200, {})
        if parts.path == "/hosts" and method == "POST":
            return self.hire(body)
        if parts.path == "/hosts":
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            shown = [rows for at, rows in self.history if at <= self.now - self.list_lag_s]
            rows = [
                row for row in (shown[-1] if shown else []) if row["id"] > query.get("since", "")
            ]
            page = min(500, int(query.get("page", 500)))
            return Reply(200, {"boxes": rows[:page], "has_next": len(rows) > page})
        return Reply(400)

    def hire(self, body: dict[str, Any]) -> Reply:
        """Rent machines; a repeat of a request rents nothing."""
        if body["hire"] not in self.hires:
            place = (body["flavour"], body["site"])
            used = sum(
                not worker.gone and (worker.kind["sku"], worker.site) == place
                for worker in self.workers.values()
            )
            count = min(body["count"], 50, self.capacity.get(place, 0) - used)
            if count <= 0 or body["loaner"]:
                return Reply(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                name = f"n-{len(self.workers):06}"
                worker = Worker(self, name, self.kinds[body["flavour"]], body["site"])
                self.workers[name], self.rented_at[name] = worker, self.now
                self.background.add(asyncio.ensure_future(self.boot(worker)))
                names.append(name)
            self.note(f"cloud: rented {names[0]} to {names[-1]} ({place[0]}, {place[1]})")
            self.hires[body["hire"]] = names
        return Reply(200, {"boxes": self.hires[body["hire"]]})

    async def boot(self, worker: Worker) -> None:
        """Boot a machine and run its worker."""
        await asyncio.sleep(self.boot_s(worker))
        if not worker.gone:
            await worker.run()
