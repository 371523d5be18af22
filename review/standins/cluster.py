"""A small deployment: settings, free ports, and the controllers as processes."""

import os
import random
import shlex
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

from standins.machines import Cloud, Times
from standins.record import Record
from standins.state import Limits, State
from standins.users import Users

ROOT = Path(__file__).resolve().parents[2]
LABELS = ["host-0", "host-1", "host-2"]
ZONES = ["tembalang", "candisari", "genuk"]

BATIK = {
    "sku": "batik-box",
    "vcpus": 12.0,
    "accelerators": 2.0,
    "memory_gb": 48.0,
    "local_gb": 100.0,
    "pull_gb_per_s": 0.2,
    "hourly": 6.01,
    "low_price": 2.17,
    "boot_s": 25.0,
    "sites": ZONES,
}
"""The machine type of the small deployment `semarang-yearbook-utility`."""

GPU_LIMIT = 50.0
"""Each team's limit in the settings; the limit on CPUs is 0 there, which means none."""

FACTS = """
[external]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[facts]
size = 3
zones = ["candisari", "genuk", "tembalang"]
skew_ms = 1000.0

[[facts.teams]]
name = "arsip-team-00"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.teams]]
name = "arsip-team-01"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.teams]]
name = "arsip-team-02"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.teams]]
name = "arsip-team-03"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.teams]]
name = "arsip-team-04"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.teams]]
name = "arsip-team-05"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 50.0

[[facts.objectives]]
kind = "wait"
class = "face-tagger"
within_s = 50.0
share = 0.85

[[facts.objectives]]
kind = "finished"
class = "photo-retouch"
within_s = 120.0
share = 0.8

[[facts.objectives]]
kind = "guarantee"
within_s = 60.0
share = 0.96

[facts.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 46.0

[facts.state]
rps = 80.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12

[facts.cloud]
rps = 4.0
list_lag_s = 5.0

[facts.resources]
cores = 1.5
ram_mb = 186.0
fd_limit = 1500
"""
"""The settings of the small deployment, as its site file gives them."""


class Ports:
    """Free loopback ports, each given out once."""

    def __init__(self) -> None:
        self.given: set[int] = set()
        self.rng = random.SystemRandom()

    def __call__(self) -> int:
        """Return a free port."""
        while True:
            port = self.rng.randrange(12_000, 32_000)  # below the system's range for clients
            if port in self.given:
                continue
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.given.add(port)
            return port


class Deployment:
    """Stand-ins in this process, and three controllers started by the deploy file's command."""

    def __init__(
        self,
        folder: Path,
        *,
        capacity: int = 37,
        seed: int = 1,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.ports = Ports()
        self.temporary = tempfile.TemporaryDirectory()
        self.public = {label: self.ports() for label in LABELS}
        self.internal = {label: self.ports() for label in LABELS}
        self.state_ports = {label: self.ports() for label in LABELS}
        self.cloud_port = self.ports()
        nodes = list(self.public.items())
        self.state = State(self.record, Limits(80.0, 20.0, 8.0, 12), self.rng)
        self.cloud = Cloud(self.record, self.rng, [BATIK], nodes, self.ports, Times(), capacity)
        self.users = Users(self.record, self.cloud, nodes)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self) -> None:
        """Start the stand-ins and the controllers."""
        await self.state.start(self.state_ports)
        await self.cloud.start(self.cloud_port)
        for label in LABELS:
            self.start_controller(label)

    def settings(self, label: str) -> str:
        """Return a controller's settings."""
        number = LABELS.index(label)
        lines = [
            f'label = "{label}"',
            f'area = "{ZONES[number]}"',
            f'public_addr = "127.0.0.1:{self.public[label]}"',
            f'internal_addr = "127.0.0.1:{self.internal[label]}"',
        ]
        for other, zone in zip(LABELS, ZONES, strict=True):
            if other != label:
                lines += [
                    "[[members]]",
                    f'label = "{other}"',
                    f'area = "{zone}"',
                    f'peer_addr = "127.0.0.1:{self.internal[other]}"',
                ]
        facts = FACTS.format(cloud=self.cloud_port, state=self.state_ports[label])
        return "\n".join(lines) + "\n" + facts

    def start_controller(self, label: str) -> None:
        """Start a controller's process."""
        path = Path(self.temporary.name) / f"{label}.toml"
        path.write_text(self.settings(label))
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        log = (Path(self.temporary.name) / f"{label}.log").open("ab")
        self.processes[label] = subprocess.Popen(
            [*shlex.split(run), str(path)],
            cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": os.environ.get("CONTROLLER_LOG", "error")},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.line(f"{label}: started")

    def log_text(self, label: str) -> str:
        """Return what a controller logged."""
        return (Path(self.temporary.name) / f"{label}.log").read_text()

    def stop(self) -> None:
        """End all controllers."""
        for label, process in self.processes.items():
            ended = process.poll()
            if ended is not None:
                self.record.line(f"{label}: had ended by itself with {ended}")
            process.kill()
            process.wait()
            for line in self.log_text(label).splitlines()[:30]:
                self.record.line(f"{label} logged: {line[:300]}")
        self.temporary.cleanup()
