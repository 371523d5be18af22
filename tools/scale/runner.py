"""Executes a run: starts the child processes, injects the faults and enforces the bounds."""

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
    controller_child,
    loopback_bytes,
    stand_in_child,
)

# Seconds until all controllers must be healthy, between two samples, until a stand-in must end,
# between two checks while waiting, and to wait for the answer to a fault's order.
HEALTH_TIMEOUT_S = 60.0
SAMPLE_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2
CONTROL_TIMEOUT_S = 15.0
# Seconds between two steps of `restarts`.
RESTART_INTERVAL_S = 1.0


class CannotStart(Exception):
    """The run can't start; the text gives the reason in one line."""


class LimitExceeded(Exception):
    """The run exceeded a bound, or a stand-in ended early; the text says which."""


class Sample(msgspec.Struct, frozen=True):
    """Usage of all children at `at` seconds after the start of the load."""

    at: float
    usage: dict[str, tuple[float, float, int]]
    loopback_bytes: int
    workers: int
    running: int
    starts: int
    unfinished: int


class Run:
    """One run; `execute` leaves the measurements in `samples` and in the folder."""

    def __init__(self, config: RunConfig, folder: Path, print_line: Callable[[str], None]) -> None:
        self.config = config
        self.folder = folder
        self.print_line = print_line
        self.plan: Plan = make_plan(config, folder)
        plan = self.plan
        self.controllers = [controller_child(controller, plan) for controller in plan.controllers]
        self.hollow = [
            stand_in_child("hollow", f"hollow-{number}", plan, str(number))
            for number in range(len(plan.hollow))
        ]
        self.state = stand_in_child("state", "state", plan)
        self.cloud = stand_in_child("cloud", "cloud", plan)
        self.users = stand_in_child("users", "users", plan)
        self.children: list[Child] = [
            *self.controllers,
            *self.hollow,
            self.state,
            self.cloud,
            self.users,
        ]
        self.samples: list[Sample] = []
        self.started_at = 0.0
        self.ended_at = 0.0
        self.max_processes = 0
        self.max_memory_mb = 0.0
        self.client = Client(8)

    async def execute(self) -> None:
        """Execute the run; no child outlives this call, however the run ends."""
        troubles: list[asyncio.Task] = []
        try:
            await self._start()
            self.started_at = time.monotonic()
            self.users.start()
            troubles = [
                asyncio.create_task(self._inject_trouble(trouble))
                for trouble in self.config.troubles
            ]
            total = self.config.traffic.seconds + self.config.traffic.drain_s
            while time.monotonic() - self.started_at < total:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
                self._sample()
        finally:
            for task in troubles:
                task.cancel()
            self.ended_at = time.monotonic()
            await self._stop()

    async def _start(self) -> None:
        for child in (self.state, self.cloud, *self.hollow):
            child.start()
        await asyncio.sleep(POLL_INTERVAL_S)
        for child in self.controllers:
            child.start()
        deadline = time.monotonic() + HEALTH_TIMEOUT_S
        waiting = {controller.label: controller.public for controller in self.plan.controllers}
        while waiting:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._check_alive()
            for label, address in list(waiting.items()):
                if await self._healthy(address):
                    del waiting[label]
            if time.monotonic() > deadline:
                raise CannotStart(
                    f"{', '.join(waiting)} not healthy within {HEALTH_TIMEOUT_S:g} s"
                )

    async def _healthy(self, address: str) -> bool:
        try:
            status, _ = await self.client.request(address, "GET", PATH_HEALTH, b"", 1.0)
        except (RequestNotSentError, NoResponseError):
            return False
        return status == 200

    def _check_alive(self) -> None:
        """Raise CannotStart if a started child has ended."""
        for child in self.children:
            if child.process is not None and not child.running:
                raise CannotStart(f"{child.name} ended: {child.last_log_line() or 'no output'}")

    async def _stop(self) -> None:
        for child in self.controllers:
            child.kill()
        stand_ins = [self.users, *self.hollow, self.cloud, self.state]
        for child in stand_ins:
            child.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while any(child.running for child in stand_ins) and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        for child in stand_ins:
            child.kill()

    # --- measurements ---

    def _sample(self) -> None:
        usage = {child.name: child.sample_usage() for child in self.children}
        hollow = [self._summary(child.name) for child in self.hollow]
        users = self._summary("users")
        sample = Sample(
            round(time.monotonic() - self.started_at, 2),
            {name: (used.cpu_s, used.memory_mb, used.sockets) for name, used in usage.items()},
            loopback_bytes(),
            sum(summary.get("workers", 0) for summary in hollow),
            sum(summary.get("tasks", {}).get("running", 0) for summary in hollow),
            sum(summary.get("counts", {}).get("starts", 0) for summary in hollow),
            users.get("unfinished", 0),
        )
        self._progress(sample)
        self.samples.append(sample)
        self._check_bounds(usage)

    def _summary(self, name: str) -> dict[str, Any]:
        return read_summary(self.folder, name)

    def _progress(self, sample: Sample) -> None:
        previous = self.samples[-1] if self.samples else None
        rate = 0.0
        if previous is not None and sample.at > previous.at:
            rate = (sample.starts - previous.starts) / (sample.at - previous.at)
        running = sum(child.running for child in self.controllers)
        memory = sum(used[1] for used in sample.usage.values())
        self.print_line(
            f"{sample.at:6.1f} s  workers {sample.workers}  running {sample.running}  "
            f"starts/s {rate:.0f}  unfinished {sample.unfinished}  controllers {running}  "
            f"{memory:.0f} MB"
        )

    def _check_bounds(self, usage: dict[str, Usage]) -> None:
        processes = 1 + sum(child.running for child in self.children)
        memory = sum(used.memory_mb for used in usage.values())
        self.max_processes = max(self.max_processes, processes)
        self.max_memory_mb = max(self.max_memory_mb, memory)
        bounds = self.config.bounds
        if processes > bounds.processes:
            raise LimitExceeded(
                f"{processes} processes, {bounds.processes} allowed (bounds.processes)"
            )
        if memory > bounds.memory_mb:
            raise LimitExceeded(
                f"{memory:.0f} MB, {bounds.memory_mb:.0f} allowed (bounds.memory_mb)"
            )
        for child in (self.state, self.cloud, *self.hollow, self.users):
            if not child.running:
                raise LimitExceeded(f"{child.name} ended: {child.last_log_line() or 'no output'}")

    # --- injected faults ---

    async def _inject_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.started_at + trouble.at_s - time.monotonic()))
        self.print_line(
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
            await self._send_control(self.plan.cloud, "/control", trouble)
        else:
            await self._send_control(self.plan.state_control, "/", trouble)

    async def _restart_workers(self, trouble: Trouble) -> None:
        """Remove workers in small steps, spread evenly over the fault's duration."""
        steps = max(1, round(trouble.for_s / RESTART_INTERVAL_S))
        remaining = trouble.count
        for step in range(steps):
            count = remaining // (steps - step)
            remaining -= count
            if count:
                await self._send_control(
                    self.plan.cloud, "/control", msgspec.structs.replace(trouble, count=count)
                )
            await asyncio.sleep(RESTART_INTERVAL_S)

    async def _send_control(self, address: str, path: str, trouble: Trouble) -> None:
        body = encode(msgspec.to_builtins(trouble))
        try:
            await self.client.request(address, "POST", path, body, CONTROL_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            self.print_line(f"trouble {trouble.kind} could not be injected: {error}")


def read_summary(folder: Path, name: str) -> dict[str, Any]:
    """Return a stand-in's latest summary; empty if there is none or it is partly written."""
    try:
        return json.loads((folder / f"{name}.summary.json").read_text())
    except (OSError, ValueError):
        return {}
