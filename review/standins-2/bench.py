"""Starts a small deployment on loopback: real controllers, and stand-ins of all else."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import http11
from fleet import Fleet, Times
from http11 import Connection, NoAnswerError
from state import Limits, State

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run."""


class Site:
    """What a case needs of a deployment."""

    def __init__(self, **fields: Any) -> None:
        self.labels = ["host-0", "host-1", "host-2"]
        self.zones = ["a", "b", "c"]
        self.teams: list[dict[str, Any]] = []
        self.kinds: list[dict[str, Any]] = []
        self.capacity: dict[tuple[str, str], int] = {}
        self.times = Times(1.5, 10.0, 30.0)
        self.gang_wait_s, self.gang_peer_s = 30.0, 8.0
        self.limits = Limits(250.0, 80.0, 8.0, 48)
        self.next_limits: dict[str, float] = {}
        self.cloud_rps, self.list_lag_s = 5.0, 5.0
        self.__dict__.update(fields)


def free_ports(count: int) -> list[int]:
    """Return free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((http11.LOOPBACK, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Bench:
    """A running deployment and its record."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.site = site
        self.folder = folder
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_at = time.monotonic()
        self.rng = random.Random()
        self.state = State(site.limits, self.note)
        self.fleet = Fleet(site.kinds, site.times, site.list_lag_s, self.note, self.rng)
        self.fleet.capacity = site.capacity
        self.fleet.labels = site.labels
        self.temp = Path(tempfile.mkdtemp(prefix="oakmux-review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.public: dict[str, int] = {}
        self.told: dict[str, str] = {}  # job: last status told to its user

    @property
    def at(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.record.write(f"{self.at:8.3f} {text}\n")
        self.record.flush()

    # --- processes ---

    async def start(self) -> None:
        """Start all stand-ins and controllers, and wait until all controllers are healthy."""
        site = self.site
        self.expiry = asyncio.ensure_future(self.state.expire_for_ever())
        cloud = await self.fleet.start()
        state = {label: await self.state.start(label) for label in site.labels}
        ports = free_ports(2 * len(site.labels))
        public = dict(zip(site.labels, ports[::2], strict=True))
        internal = dict(zip(site.labels, ports[1::2], strict=True))
        self.public = public
        self.fleet.nodes = [public[label] for label in site.labels]
        for label in site.labels:
            text = self.settings(label, public, internal, cloud, state[label])
            (self.temp / f"{label}.toml").write_text(text, encoding="utf-8")
            self.launch(label)
        await self.until(self.all_healthy, 25.0, "the controllers are healthy")

    def settings(
        self,
        label: str,
        public: dict[str, int],
        internal: dict[str, int],
        cloud: int,
        state: int,
    ) -> str:
        """Return the settings file of a controller."""
        site, host = self.site, http11.LOOPBACK
        lines = [
            f'label = "{label}"',
            f'area = "{site.zones[0]}"',
            f'public_addr = "{host}:{public[label]}"',
            f'internal_addr = "{host}:{internal[label]}"',
        ]
        for other in site.labels:
            if other != label:
                lines += [
                    "[[members]]",
                    f'label = "{other}"',
                    f'area = "{site.zones[0]}"',
                    f'peer_addr = "{host}:{internal[other]}"',
                ]
        lines += [
            "[external]",
            f'cloud = "{host}:{cloud}"',
            f'state = "{host}:{state}"',
            "[facts]",
            f"size = {len(site.labels)}",
            f"zones = {site.zones!r}",
            "skew_ms = 25.0",
        ]
        for team in site.teams:
            lines += ["[[facts.teams]]"]
            lines += [f"{name} = {value!r}".replace("'", '"') for name, value in team.items()]
        limits = site.limits
        lines += [
            "[facts.workers]",
            f"report_s = {site.times.report_s}",
            f"lease_s = {site.times.lease_s}",
            f"gang_wait_s = {site.gang_wait_s}",
            f"gang_peer_s = {site.gang_peer_s}",
            f"cancel_s = {site.times.cancel_s}",
            "[facts.state]",
            f"rps = {limits.rps}",
            f"write_rps = {limits.write_rps}",
            f"value_kb = {limits.value_kb}",
            f"txn_ops = {limits.txn_ops}",
        ]
        if site.next_limits:
            lines += ["[facts.state.next]"]
            lines += [f"{name} = {value}" for name, value in site.next_limits.items()]
        lines += [
            "[facts.cloud]",
            f"rps = {site.cloud_rps}",
            f"list_lag_s = {site.list_lag_s}",
            "[facts.resources]",
            "cores = 1.0",
            "ram_mb = 186.0",
            "fd_limit = 1500",
        ]
        return "\n".join(lines) + "\n"

    def launch(self, label: str) -> None:
        """Start a controller as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self.temp / f"{label}.toml")]
        environment = {**os.environ, "LOG_LEVEL": "info"}
        with (self.temp / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note(f"started {label}")

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller of this case."""
        self.note(f"signal {number.name} to {label}")
        self.processes[label].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[label].wait()

    def close(self) -> None:
        """End all processes, and keep the end of their logs on request."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for worker in self.fleet.workers.values():
            worker.gone = True
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # --- waiting ---

    async def until(
        self, reached: Callable[[], Awaitable[bool] | bool], seconds: float, what: str
    ) -> None:
        """Wait for a state of the deployment that the case needs."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = reached()
            if not isinstance(result, bool):
                result = await result
            if result:
                self.note(f"reached: {what}")
                return
            for label, process in self.processes.items():
                if process.poll() not in (None, -signal.SIGKILL):
                    raise CannotRunError(f"{label} ended by itself")
            await asyncio.sleep(0.1)
        raise CannotRunError(f"not reached in {seconds} s: {what}")

    async def all_healthy(self) -> bool:
        """Whether all controllers are healthy and all roles have a holder."""
        roles: set[str] = set()
        for label in self.site.labels:
            try:
                status, body = await self.once(label, "GET", "/healthz")
            except NoAnswerError:
                return False
            if status != 200:
                return False
            roles |= set(body.get("teams") or [])
        return len(roles) > len(self.site.teams)

    # --- users ---

    async def once(
        self, label: str, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Send one request of a user to a controller."""
        connection = Connection(self.public[label])
        try:
            return await connection.request(method, path, body, timeout)
        finally:
            connection.close()

    async def ask(
        self, method: str, path: str, body: Any, final: tuple[int, ...], label: str | None = None
    ) -> tuple[int, Any]:
        """Send a request as users do: again after a second or more, for 60 s in total."""
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            chosen = label or self.rng.choice(self.site.labels)
            try:
                status, answer = await self.once(chosen, method, path, body)
                self.note(f"user: {method} {path} at {chosen}: {status} {answer}")
                if status in final:
                    return status, answer
            except NoAnswerError:
                self.note(f"user: {method} {path} at {chosen}: no answer")
            await asyncio.sleep(1.0)
        return 0, None

    async def submit(
        self, job: dict[str, Any], run_s: Callable[[str], float], label: str | None = None
    ) -> tuple[int, Any]:
        """Submit a job whose tasks run for `run_s(task)` seconds."""
        self.fleet.jobs[job["id"]] = job
        self.fleet.run_times[job["id"]] = run_s
        status, answer = await self.ask(
            "POST", "/api/jobs", job, (200, 201, 400, 422), label=label
        )
        if status in (200, 201):
            self.told[job["id"]] = answer["status"]
        return status, answer

    async def poll(self, job_id: str) -> str | None:
        """Ask for a job once; return its status, or None without an answer."""
        try:
            status, answer = await self.once(
                self.rng.choice(self.site.labels), "GET", f"/api/jobs/{job_id}", timeout=2.0
            )
        except NoAnswerError:
            return None
        if status != 200:
            return None
        self.told[job_id] = answer["status"]
        return answer["status"]

    async def cancel(self, job_id: str, label: str | None = None) -> str | None:
        """Cancel a job; return the status that the user is told."""
        status, answer = await self.ask(
            "POST", f"/api/jobs/{job_id}/cancel", None, (200,), label=label
        )
        return answer["status"] if status == 200 else None


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission; an array of one small task unless other fields say more."""
    return {
        "id": f"job-{number}",
        "lane": "batch",
        "owner": "team-0",
        "shape": "array",
        "rank": "standard",
        "pieces": 1,
        "vcpus": 1.0,
        "accelerators": 0.0,
        "memory_gb": 1.0,
        "bundle": "img-1",
        "size_gb": 0.1,
        "flavours": None,
        "site": None,
        "together": False,
        "spread": False,
        "loaner": False,
        "guess_s": 30.0,
        "save_every_s": 0.0,
        "save_cost_s": 0.0,
        "due_s": None,
        **fields,
    }


def run_case(folder: str, site: Site, play: Callable[[Bench], Awaitable[str | None]]) -> None:
    """Run a case and exit: 1 if `play` returns what was broken, 0 if all held, 2 on failure."""
    bench: Bench | None = None

    async def main() -> int:
        nonlocal bench
        bench = Bench(site, Path(folder))
        try:
            async with asyncio.timeout(118.0):
                await bench.start()
                broken = await play(bench)
        except (CannotRunError, TimeoutError) as error:
            bench.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        bench.note(f"broken: {broken}" if broken else "held")
        print(f"broken: {broken}" if broken else "held")
        return BROKEN if broken else HELD

    code = NOT_RUN
    try:
        code = asyncio.run(main())
    finally:
        if bench is not None:
            bench.close()
    sys.exit(code)
