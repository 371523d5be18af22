"""Child processes of a run and their resource usage from /proc."""

import ctypes
import os
import shlex
import signal
import subprocess
import sys
import tomllib
from functools import partial
from pathlib import Path
from typing import IO, NamedTuple

from tools.scale.plan import Controller, Plan

ROOT = Path(__file__).resolve().parents[2]
# Option of prctl: the kernel signals a child whose parent ends for any reason.
PR_SET_PDEATHSIG = 1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LIBC = ctypes.CDLL(None, use_errno=True)


class Usage(NamedTuple):
    """Usage of a process: processor seconds, resident MB, open file descriptors (`sockets`)."""

    cpu_s: float
    memory_mb: float
    sockets: int


def end_with_parent(parent: int) -> None:
    """Make the kernel kill this process when its parent ends.

    Runs in the child before exec. A parent that ended before the call to prctl is detected too.
    """
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)


def environment() -> dict[str, str]:
    """Return the children's environment: this interpreter first in PATH, this repo importable."""
    return {
        **os.environ,
        "PATH": f"{Path(sys.executable).parent}:{os.environ.get('PATH', '')}",
        "PYTHONPATH": str(ROOT),
        "LOG_LEVEL": "error",
    }


def controller_command() -> list[str]:
    """Return the command that starts a controller, from deploy/service.toml."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return shlex.split(deploy["run"])


class Child:
    """A child process; its processor seconds add up over restarts."""

    def __init__(self, role: str, name: str, command: list[str], folder: Path) -> None:
        self.role = role
        self.name = name
        self.command = command
        self.log_path = folder / f"{name}.log"
        self.earlier_cpu_s = 0.0
        self.last_usage = Usage(0.0, 0.0, 0)
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        self.earlier_cpu_s += self.last_usage.cpu_s
        self.last_usage = Usage(0.0, 0.0, 0)
        errors: IO[bytes]
        with self.log_path.open("ab") as errors:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment(),
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                preexec_fn=partial(end_with_parent, os.getpid()),
            )

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        if self.process is not None and self.running:
            self.process.kill()
            self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        if self.process is not None and self.running:
            self.process.terminate()

    def sample_usage(self) -> Usage:
        """Return the process's current usage, or the last known usage once it has ended."""
        if self.process is not None and self.running:
            try:
                self.last_usage = read_usage(self.process.pid)
            except (OSError, ValueError, IndexError):
                pass  # the process ended in the meantime
        return self.last_usage._replace(cpu_s=self.earlier_cpu_s + self.last_usage.cpu_s)

    def last_log_line(self) -> str:
        """Return the last line of the process's output; empty if there is none."""
        try:
            lines = self.log_path.read_text(errors="replace").strip().splitlines()
        except OSError:
            return ""
        return lines[-1] if lines else ""

    def error_lines(self) -> int:
        """Return the number of lines at error level in the process's output."""
        try:
            return sum(
                1
                for line in self.log_path.read_text(errors="replace").splitlines()
                if line.startswith("ERROR")
            )
        except OSError:
            return 0


def read_usage(pid: int) -> Usage:
    """Read a process's usage; raise OSError if the process has ended."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    sockets = sum(1 for entry in os.scandir(f"/proc/{pid}/fd"))
    return Usage(
        (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S, pages * PAGE_BYTES / 1e6, sockets
    )


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has carried."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def stand_in_child(role: str, name: str, plan: Plan, *args: str) -> Child:
    """Return the child process of a stand-in; `args` follow the role and the plan."""
    return Child(
        role,
        name,
        [sys.executable, "-m", "tools.scale.child", role, str(plan.path), *args],
        Path(plan.folder),
    )


def controller_child(controller: Controller, plan: Plan) -> Child:
    """Return the child process of a controller."""
    return Child(
        "controller",
        controller.label,
        [*controller_command(), controller.settings],
        Path(plan.folder),
    )
