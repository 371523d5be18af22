"""One controller that owns all teams and manages all workers, stepped without sockets.

Workers, the state service and the cloud are stubs in this process. Each transaction succeeds one
step later; changes are counted by the kind of record.
"""

import random
import time
from collections import Counter

import cbor2

from oakmux.codec.workers import COMMAND_VERBS
from oakmux.core import messages
from oakmux.core.controller import Controller
from oakmux.core.model import Heartbeat, JobSpec, MachineType
from oakmux.core.state.keys import PREFIX
from oakmux.settings import (
    CloudLimits,
    Facts,
    Peer,
    ServiceAddresses,
    Settings,
    StoreLimits,
    Team,
    WorkerTimings,
)

# Seconds between steps of the core; a transaction is answered one step later.
STEP_S = 0.02
# Seconds between periodic reports of a worker.
REPORT_S = 2.5
# Shortest time between two reports, in seconds, when changes cause them.
MIN_REPORT_GAP_S = 0.5
# Quotas and service limits too high to take effect, so that only the controller is measured.
UNLIMITED = 1e6
# Tasks of one CPU that fit on a machine.
TASKS_PER_MACHINE = 16
IMAGE = "image"


def zone_names(count: int) -> list[str]:
    """Return the names of `count` zones."""
    return [f"zone-{number}" for number in range(count)]


def team_names(count: int) -> list[str]:
    """Return the names of `count` teams."""
    return [f"team-{number}" for number in range(count)]


def cell_settings(teams: int, zones: int, controllers: int) -> Settings:
    """Return the settings of one controller of a deployment."""
    peers = [Peer(f"h{number}", f"10.0.0.{number + 1}:81") for number in range(1, controllers)]
    facts = Facts(
        zone_names(zones),
        [Team(name, cpus=UNLIMITED) for name in team_names(teams)],
        WorkerTimings(REPORT_S, 15.0, 30.0, 8.0, 35.0),
        StoreLimits(UNLIMITED, UNLIMITED, 8, 48),
        CloudLimits(5, 5),
        controllers,
    )
    return Settings(
        "h0",
        "10.0.0.1:80",
        "10.0.0.1:81",
        ServiceAddresses("10.2.0.2:1", "10.2.0.1:2"),
        facts,
        peers=peers,
    )


def cpu_job(team: str, tasks: int, run_s: float, kind: str = "array") -> JobSpec:
    """Return a job of tasks that take one CPU each."""
    return JobSpec(
        job_class="measured",
        team=team,
        kind=kind,
        priority=1,
        tasks=tasks,
        cpus=1.0,
        gpus=0.0,
        memory_gb=1.0,
        image=IMAGE,
        image_gb=1.0,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=True,
        estimate_s=run_s,
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
    )


class StubWorker:
    """A machine that starts each task it is ordered to and ends it after `run_s`."""

    def __init__(self, name: str, zone: str, first_report: float, run_s: float) -> None:
        self.name = name
        self.zone = zone
        self.run_s = run_s
        self.sequence = 0
        self.fencing_token = 0
        self.tasks: dict[tuple[str, int], tuple[str, str, bool]] = {}
        self.end_times: dict[tuple[str, int], float] = {}
        self.next_report = first_report
        self.last_report = -MIN_REPORT_GAP_S

    def report_soon(self, now: float) -> None:
        """Report a change now, or MIN_REPORT_GAP_S after the last report if that is later."""
        self.next_report = min(self.next_report, max(now, self.last_report + MIN_REPORT_GAP_S))

    def advance(self, now: float) -> None:
        """End the tasks whose run time is over."""
        for task in [task for task, end in self.end_times.items() if end <= now]:
            del self.end_times[task]
            self.tasks[task] = ("exited", "done", False)
            self.report_soon(now)

    def heartbeat(self, now: float) -> Heartbeat:
        """Return a report, and schedule the next periodic one."""
        self.sequence += 1
        self.last_report = now
        self.next_report = now + REPORT_S
        return Heartbeat(
            self.name,
            self.name,
            "big",
            self.zone,
            False,
            1,
            self.sequence,
            self.fencing_token,
            None,
            dict(self.tasks),
        )

    def execute(self, fencing_token: int, orders: list[dict], now: float) -> int:
        """Execute orders; return how many tasks they started."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self.report_soon(now)
        started = 0
        for order in orders:
            task = (order["piece"], order["try"])
            if order["verb"] == COMMAND_VERBS["start"] and task not in self.tasks:
                self.tasks[task] = ("running", "", False)
                self.end_times[task] = now + self.run_s
                self.report_soon(now)
                started += 1
            elif order["verb"] == COMMAND_VERBS["forget"]:
                self.tasks.pop(task, None)
        return started


class Cell:
    """A controller with stub workers; counts record changes, starts and processor time."""

    def __init__(
        self, machines: int, teams: int = 4, zones: int = 3, run_s: float = 10.0, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.core = Controller(cell_settings(teams, zones, 1), random.Random(seed), 0)
        self.now = 0.0
        self.revision = 0
        self.cpu_s = 0.0
        self.starts = 0
        self.changes: Counter[str] = Counter()
        self.transactions = 0
        self.event_bytes = 0
        self.pending: list[messages.Command] = []
        names = zone_names(zones)
        self.workers = [
            StubWorker(
                f"n-{number:06}", names[number % zones], self.rng.uniform(0.0, REPORT_S), run_s
            )
            for number in range(machines)
        ]
        self.by_name = {worker.name: worker for worker in self.workers}
        machine_type = MachineType(
            "big", float(TASKS_PER_MACHINE), 0.0, 64.0, 100.0, 1.0, 10.0, 3.0, 30.0, names
        )
        self.pending.append(messages.UpdateMachineTypes([machine_type]))
        self.pending.append(messages.LoadSnapshot([], 0, 0.0))

    def run(self, seconds: float, arrivals: dict[int, list[JobSpec]] | None = None) -> None:
        """Simulate some seconds; `arrivals` maps a step's number to the jobs submitted in it."""
        for number in range(round(seconds / STEP_S)):
            for spec in (arrivals or {}).get(number, ()):
                self.submit(spec)
            self._step()

    def submit(self, spec: JobSpec) -> None:
        """Submit a job in the next step."""
        job_id = f"job-{self.rng.randrange(10**12)}"
        self.pending.append(messages.SubmitJob(None, job_id, spec, ""))

    def _step(self) -> None:
        self.now += STEP_S
        commands, self.pending = self.pending, []
        for worker in self.workers:
            worker.advance(self.now)
            if worker.next_report <= self.now:
                commands.append(messages.ReceiveHeartbeat(worker.name, worker.heartbeat(self.now)))
        commands.append(messages.ApplyWatchEvents([], self.revision, self.now))
        start = time.process_time()
        effects = self.core.step(self.now, commands)
        self.cpu_s += time.process_time() - start
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: messages.Effect) -> None:
        match effect:
            case messages.Answer(name, _, ("orders", fencing_token, commands)):
                if name in self.by_name:
                    worker = self.by_name[name]
                    self.starts += worker.execute(fencing_token, commands, self.now)
            case messages.SendWorkerCommands():
                self._execute_direct(effect)
            case messages.GrantLease(operation):
                self.pending.append(messages.OperationDone(operation, 200, 1))
            case messages.RenewLease(operation):
                self.pending.append(messages.OperationDone(operation, 200, None))
            case messages.Transaction():
                self._transaction(effect)
            case messages.RentInstances(operation):
                self.pending.append(messages.OperationDone(operation, 503, "no capacity"))

    def _execute_direct(self, effect: messages.SendWorkerCommands) -> None:
        """Execute commands sent directly to a worker; a stub worker's address is its name."""
        worker = self.by_name[effect.addr]
        self.starts += worker.execute(effect.fencing_token, effect.commands, self.now)
        self.pending.append(
            messages.OperationDone(effect.operation, "ok", worker.heartbeat(self.now))
        )

    def _transaction(self, effect: messages.Transaction) -> None:
        writes = effect.writes
        if writes:
            self.revision += 1
            self.transactions += 1
        for write in writes:
            group = write[0].removeprefix(PREFIX).partition("/")[0]
            self.changes[group if len(write) > 1 else f"-{group}"] += 1
            self.event_bytes += len(
                cbor2.dumps(
                    {"write": write[0], "v": write[1], "stamp": self.revision}
                    if len(write) > 1
                    else {"delete": write[0], "stamp": self.revision}
                )
            )
        self.pending.append(messages.OperationDone(effect.operation, 200, (self.revision, [])))


def steady_arrivals(
    jobs_a_second: float, seconds: float, specs: list[JobSpec], rng: random.Random
) -> dict[int, list[JobSpec]]:
    """Return random jobs from `specs` at a rate, by the number of the step they arrive in."""
    arrivals: dict[int, list[JobSpec]] = {}
    for _ in range(round(jobs_a_second * seconds)):
        arrivals.setdefault(rng.randrange(round(seconds / STEP_S)), []).append(rng.choice(specs))
    return arrivals
