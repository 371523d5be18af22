"""The run itself: starts the children, brings the troubles about, watches the bounds."""

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from oakmux.codec.cbor import encode
from oakmux.codec.users import PATH_HEALTH
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from tools.scale.config import RunConfig, Trouble
from tools.scale.plan import Plan, make_plan
from tools.scale.processes import (
    Child,
    Usage,
    controller,
    loopback_bytes,
    stand_in,
)

# Seconds for all controllers to be healthy, between two samples, for a stand-in to end.
HEALTHY_S = 60.0
SAMPLE_S = 1.0
END_S = 5.0
LOOK_S = 0.2
CONTROL_S = 15.0
# Machines that vanish at a time when many are replaced one by one.
RESTART_STEP_S = 1.0


class CannotStart(Exception):
    """The run can't start; the text says why in one line."""


class OutOfBounds(Exception):
    """The run took more of the machine than it may; the text says of what."""


class Sample(msgspec.Struct, frozen=True):
    """What all children used at a moment of the load (s after it began)."""

    at: float
    usage: dict[str, tuple[float, float, int]]
    loopback_bytes: int
    workers: int
    running: int
    starts: int
    unfinished: int


class Run:
    """One run; `go` plays it and leaves what was measured in `samples` and the folder."""

    def __init__(self, config: RunConfig, folder: Path, say: Callable[[str], None]) -> None:
        self.config = config
        self.folder = folder
        self.say = say
        self.plan: Plan = make_plan(config, folder)
        plan = self.plan
        self.controllers = [controller(row, plan) for row in plan.controllers]
        self.hollow = [
            stand_in("hollow", f"hollow-{number}", plan, str(number))
            for number in range(len(plan.hollow))
        ]
        self.state = stand_in("state", "state", plan)
        self.cloud = stand_in("cloud", "cloud", plan)
        self.users = stand_in("users", "users", plan)
        self.children: list[Child] = [
            *self.controllers,
            *self.hollow,
            self.state,
            self.cloud,
            self.users,
        ]
        self.samples: list[Sample] = []
        self.begun = 0.0
        self.ended = 0.0
        self.most_processes = 0
        self.most_memory_mb = 0.0
        self.client = Client(8)

    async def go(self) -> None:
        """Play the run; whatever ends it, no child outlives this."""
        troubles: list[asyncio.Task] = []
        try:
            await self._start()
            self.begun = time.monotonic()
            self.users.start()
            troubles = [asyncio.create_task(self._trouble(row)) for row in self.config.troubles]
            total = self.config.traffic.seconds + self.config.traffic.drain_s
            while time.monotonic() - self.begun < total:
                await asyncio.sleep(SAMPLE_S)
                self._sample()
        finally:
            for task in troubles:
                task.cancel()
            self.ended = time.monotonic()
            await self._stop()

    async def _start(self) -> None:
        for child in (self.state, self.cloud, *self.hollow):
            child.start()
        await asyncio.sleep(LOOK_S)
        for child in self.controllers:
            child.start()
        until = time.monotonic() + HEALTHY_S
        waiting = {row.label: row.public for row in self.plan.controllers}
        while waiting:
            await asyncio.sleep(LOOK_S)
            self._check_alive()
            for label, address in list(waiting.items()):
                if await self._healthy(address):
                    del waiting[label]
            if time.monotonic() > until:
                raise CannotStart(f"{', '.join(waiting)} not healthy within {HEALTHY_S:g} s")

    async def _healthy(self, address: str) -> bool:
        try:
            status, _ = await self.client.request(address, "GET", PATH_HEALTH, b"", 1.0)
        except (RequestNotSentError, NoResponseError):
            return False
        return status == 200

    def _check_alive(self) -> None:
        """Raise CannotStart if a stand-in or a controller ended by itself."""
        for child in self.children:
            if child.process is not None and not child.running:
                raise CannotStart(f"{child.name} ended: {child.last_words() or 'no word'}")

    async def _stop(self) -> None:
        for child in self.controllers:
            child.kill()
        stand_ins = [self.users, *self.hollow, self.cloud, self.state]
        for child in stand_ins:
            child.terminate()
        until = time.monotonic() + END_S
        while any(child.running for child in stand_ins) and time.monotonic() < until:
            await asyncio.sleep(LOOK_S)
        for child in stand_ins:
            child.kill()

    # --- measuring ---

    def _sample(self) -> None:
        usage = {child.name: child.look() for child in self.children}
        hollow = [self._summary(child.name) for child in self.hollow]
        users = self._summary("users")
        sample = Sample(
            round(time.monotonic() - self.begun, 2),
            {name: (row.cpu_s, row.memory_mb, row.sockets) for name, row in usage.items()},
            loopback_bytes(),
            sum(row.get("workers", 0) for row in hollow),
            sum(row.get("tasks", {}).get("running", 0) for row in hollow),
            sum(row.get("counts", {}).get("starts", 0) for row in hollow),
            users.get("unfinished", 0),
        )
        self._progress(sample)
        self.samples.append(sample)
        self._check_bounds(usage)

    def _summary(self, name: str) -> dict[str, Any]:
        return read_summary(self.folder, name)

    def _progress(self, sample: Sample) -> None:
        before = self.samples[-1] if self.samples else None
        rate = 0.0
        if before is not None and sample.at > before.at:
            rate = (sample.starts - before.starts) / (sample.at - before.at)
        up = sum(child.running for child in self.controllers)
        memory = sum(row[1] for row in sample.usage.values())
        self.say(
            f"{sample.at:6.1f} s  workers {sample.workers}  running {sample.running}  "
            f"starts/s {rate:.0f}  unfinished {sample.unfinished}  controllers {up}  "
            f"{memory:.0f} MB"
        )

    def _check_bounds(self, usage: dict[str, Usage]) -> None:
        processes = 1 + sum(child.running for child in self.children)
        memory = sum(row.memory_mb for row in usage.values())
        self.most_processes = max(self.most_processes, processes)
        self.most_memory_mb = max(self.most_memory_mb, memory)
        bounds = self.config.bounds
        if processes > bounds.processes:
            raise OutOfBounds(f"{processes} processes, {bounds.processes} allowed")
        if memory > bounds.memory_mb:
            raise OutOfBounds(f"{memory:.0f} MB, {bounds.memory_mb:.0f} allowed")
        for child in (self.state, self.cloud, *self.hollow, self.users):
            if not child.running:
                raise OutOfBounds(f"{child.name} ended: {child.last_words() or 'no word'}")

    # --- troubles ---

    async def _trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.begun + trouble.at_s - time.monotonic()))
        self.say(
            f"trouble: {trouble.kind} index={trouble.index} count={trouble.count} "
            f"for_s={trouble.for_s:g}"
        )
        if trouble.kind == "kill":
            child = self.controllers[trouble.index]
            child.kill()
            await asyncio.sleep(trouble.for_s)
            child.start()
        elif trouble.kind == "restarts":
            await self._restart_workers(trouble)
        elif trouble.kind in ("rack", "zone"):
            await self._control(self.plan.cloud, "/control", trouble)
        else:
            await self._control(self.plan.state_control, "/", trouble)

    async def _restart_workers(self, trouble: Trouble) -> None:
        """Take workers away one after the other, spread over the trouble's time."""
        steps = max(1, round(trouble.for_s / RESTART_STEP_S))
        left = trouble.count
        for step in range(steps):
            count = left // (steps - step)
            left -= count
            if count:
                await self._control(
                    self.plan.cloud, "/control", msgspec.structs.replace(trouble, count=count)
                )
            await asyncio.sleep(RESTART_STEP_S)

    async def _control(self, address: str, path: str, trouble: Trouble) -> None:
        body = encode(msgspec.to_builtins(trouble))
        try:
            await self.client.request(address, "POST", path, body, CONTROL_S)
        except (RequestNotSentError, NoResponseError) as error:
            self.say(f"trouble {trouble.kind} not brought about: {error}")


def read_summary(folder: Path, name: str) -> dict[str, Any]:
    """Return what a stand-in measured so far; nothing if it has not said it yet."""
    try:
        return json.loads((folder / f"{name}.summary.json").read_text())
    except (OSError, ValueError):
        return {}
