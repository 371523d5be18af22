"""Measure the processor time of a controller as the fleet grows, on one core of this machine.

One controller is stepped without sockets; a stub grants its lease and accepts all transactions.
Machines report either to a peer, so that jobs keep waiting as in a burst, or to the controller
itself. Times are in milliseconds of processor time.
"""

import random
import resource
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import cbor2
import click
from hdrh.histogram import HdrHistogram

from oakmux.codec.peers import encode_message
from oakmux.core import messages
from oakmux.core.controller import Controller
from oakmux.core.leadership.roles import FLEET
from oakmux.core.model import Heartbeat, JobSpec, MachineType
from oakmux.core.peer_messages import MachineView, PeerMessage
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, JobState, TaskBlock
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

ZONES = ["a", "b", "c"]
MACHINE_TYPE = MachineType("big", 48.0, 4.0, 288.0, 120.0, 0.4, 10.0, 3.0, 30.0, ZONES)
IMAGE_COUNT = 12
REPORT_S = 2.5
# Longest recorded time: one minute, in microseconds. Histograms keep three significant digits.
MAX_TIME_US = 60_000_000


def job_spec(rng: random.Random, number: int) -> JobSpec:
    """Return a random job of a kind and size that occurs in deployments."""
    kind, tasks, cpus, gpus = rng.choice(
        (("array", 35, 10.0, 1.0), ("gang", 4, 21.0, 2.0), ("service", 4, 8.0, 1.0))
    )
    return JobSpec(
        job_class="l",
        team=rng.choice(("red", "blue")),
        kind=kind,
        priority=1,
        tasks=tasks,
        cpus=cpus,
        gpus=gpus,
        memory_gb=43.0,
        image=f"i{number % IMAGE_COUNT}",
        image_gb=4.0,
        types=None,
        zone=None,
        one_zone=kind == "gang",
        spread=kind == "service",
        spot=kind == "array",
        estimate_s=60.0,
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
    )


class Bench:
    """One controller and stubs of the services around it.

    If `managed` is set, machines report to this controller, otherwise to its peer.
    """

    def __init__(self, machines: int, managed: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        settings = Settings(
            "h0",
            "10.0.0.1:80",
            "10.0.0.1:81",
            ServiceAddresses("10.2.0.2:1", "10.2.0.1:2"),
            Facts(
                ZONES,
                [Team("red", gpus=1e6), Team("blue", gpus=1e6)],
                WorkerTimings(REPORT_S, 15.0, 30.0, 8.0, 35.0),
                StoreLimits(1e6, 1e6, 8, 48),
                CloudLimits(5, 5),
                2,
            ),
            peers=[Peer("h1", "10.0.0.2:81")],
        )
        self.core = Controller(settings, random.Random(seed), 0)
        self.now, self.revision, self.managed = 0.0, 0, managed
        self.sent: list[PeerMessage] = []
        self.machine_names = [f"n-{number:06}" for number in range(machines)]
        self.sequence = dict.fromkeys(self.machine_names, 0)
        self.tasks: dict[str, dict] = {name: {} for name in self.machine_names}
        self.step([messages.UpdateMachineTypes([MACHINE_TYPE]), messages.LoadSnapshot([], 0, 0.0)])
        self.advance(2.0)
        self.step(self.report(name) for name in self.machine_names)

    def step(self, commands: Iterable[messages.Command]) -> float:
        """Run one step; return its processor time in seconds.

        The stub answers at once; the time of the steps that take its answers is included.
        """
        batch = list(commands)
        start = time.process_time()
        effects = self.core.step(self.now, batch)
        cpu_s = time.process_time() - start
        answers: list[messages.Command] = []
        for effect in effects:
            match effect:
                case messages.GrantLease(operation):
                    answers.append(messages.OperationDone(operation, 200, 1))
                case messages.RenewLease(operation):
                    answers.append(messages.OperationDone(operation, 200, None))
                case messages.Transaction(operation):
                    self.revision += 1
                    answers.append(messages.OperationDone(operation, 200, (self.revision, [])))
                    answers.append(messages.ApplyWatchEvents([], self.revision, self.now))
                case messages.RentInstances(operation):
                    answers.append(messages.OperationDone(operation, 503, "no capacity"))
                case messages.SendToPeer(_, message):
                    self.sent.append(message)
        return cpu_s + (self.step(answers) if answers else 0.0)

    def advance(self, seconds: float) -> None:
        """Run ticks for some seconds of simulated time."""
        for _ in range(int(seconds * 10)):
            self.tick()

    def tick(self) -> float:
        """Advance 0.1 s with records and machines up to date; return the step's processor time."""
        self.now += 0.1
        for machine in self.core.context.machines.values():
            machine.last_heartbeat_at = self.now
        return self.step([messages.ApplyWatchEvents([], self.revision, self.now)])

    def report(self, name: str) -> messages.Command:
        """Return a machine's report, or a peer's view of the machine if it reports to the peer."""
        number = int(name[2:])
        self.sequence[name] += 1
        zone, spot = ZONES[number % 3], number % 5 == 0
        if self.managed:
            return messages.ReceiveHeartbeat(
                number,
                Heartbeat(
                    name,
                    "10.1.0.1:1",
                    "big",
                    zone,
                    spot,
                    1,
                    self.sequence[name],
                    self.core.context.term,
                    None,
                    dict(self.tasks[name]),
                ),
            )
        images = [[f"i{(number + step) % IMAGE_COUNT}", 4.0] for step in range(3)]
        return messages.ReceivePeerMessages(
            number,
            "h1",
            [
                MachineView(
                    1,
                    name,
                    "10.1.0.1:1",
                    "big",
                    zone,
                    spot,
                    1,
                    self.sequence[name],
                    1,
                    None,
                    [],
                    images,
                )
            ],
        )

    def fill_machines(self) -> None:
        """Bind to each machine one service that uses all its resources."""
        rows: list[tuple[str, Any, int]] = []
        for number, name in enumerate(self.machine_names):
            self.revision += 1
            spec = JobSpec(
                job_class="l",
                team="red",
                kind="service",
                priority=3,
                tasks=1,
                cpus=MACHINE_TYPE.cpus,
                gpus=MACHINE_TYPE.gpus,
                memory_gb=MACHINE_TYPE.memory_gb,
                image="i0",
                image_gb=4.0,
                types=None,
                zone=None,
                one_zone=False,
                spread=False,
                spot=True,
                estimate_s=0.0,
                checkpoint_s=0.0,
                save_s=0.0,
                deadline_s=None,
            )
            job_id = f"job-9{number:06}"
            rows.append((job_key(job_id), encode_job("queued", "red", spec, 0, 1), self.revision))
            block = TaskBlock(
                last_attempt=1, bindings={0: Binding(1, name, 1, 1, ZONES[number % 3])}
            )
            rows.append((block_key(job_id, 0), encode_block(block, 2), self.revision))
        self.step([messages.ApplyWatchEvents(rows, self.revision, self.now)])

    def submit_jobs(self, jobs: int) -> None:
        """Add jobs to the records, of kinds and sizes that occur in deployments."""
        rows: list[tuple[str, Any, int]] = []
        for number in range(jobs):
            self.revision += 1
            spec = job_spec(self.rng, number)
            rows.append(
                (
                    job_key(f"job-{number}"),
                    encode_job("queued", spec.team, spec, number, spec.tasks),
                    self.revision,
                )
            )
        self.step([messages.ApplyWatchEvents(rows, self.revision, self.now)])


def measure(run: Callable[[], float], count: int) -> HdrHistogram:
    """Return the distribution of `count` runs in microseconds, after one warm-up run."""
    run()
    times_us = HdrHistogram(1, MAX_TIME_US, 3)
    for _ in range(count):
        times_us.record_value(max(1, int(run() * 1e6)))
    return times_us


def burst(machines: int, jobs: int, ticks: int, seed: int) -> HdrHistogram:
    """Measure ticks with waiting jobs and idle machines at a peer: the cost of sampling."""
    bench = Bench(machines, False, seed)
    bench.submit_jobs(jobs)
    bench.core.autoscaler.tick = lambda: None  # type: ignore[method-assign]
    return measure(bench.tick, ticks)


def waiting(machines: int, jobs: int, ticks: int, seed: int) -> HdrHistogram:
    """Measure ticks while jobs wait, all machines are full and the cloud has no capacity.

    Nothing changes meanwhile. The fleet pass, once per second, and the retries that guard against
    missed changes are included.
    """
    bench = Bench(machines, False, seed)
    bench.fill_machines()
    bench.submit_jobs(jobs)
    bench.advance(20.0)
    return measure(bench.tick, ticks)


def quiet(machines: int, ticks: int, seed: int) -> HdrHistogram:
    """Measure ticks with nothing to do."""
    bench = Bench(machines, False, seed)
    bench.core.autoscaler.tick = lambda: None  # type: ignore[method-assign]
    return measure(bench.tick, ticks)


def fleet_pass(machines: int, jobs: int, passes: int, seed: int) -> HdrHistogram:
    """Measure the fleet pass, which runs once per second, with waiting jobs."""
    bench = Bench(machines, False, seed)
    bench.submit_jobs(jobs)
    bench.advance(1.0)
    assert FLEET in bench.core.context.held_roles

    def run() -> float:
        bench.now += 1.0
        bench.core.context.now = bench.core.context.store_seen_at = bench.now
        for machine in bench.core.context.machines.values():
            machine.last_heartbeat_at = bench.now
        start = time.process_time()
        bench.core.autoscaler.tick()
        bench.core.context.effects.clear()
        return time.process_time() - start

    return measure(run, passes)


def load(records: int, seed: int) -> tuple[float, float]:
    """Return the seconds to load all records, as after a start, and the memory used in MB.

    Of ten jobs, nine are done and one has 35 bound tasks.
    """
    rng = random.Random(seed)
    rows: list[tuple[str, Any, int]] = []
    for number in range(records):
        job_id = f"job-{number}"
        state: JobState = "queued" if number % 10 == 0 else "done"
        spec = job_spec(rng, number) if state == "queued" else None
        rows.append((job_key(job_id), encode_job(state, "red", spec, number, 35), number + 1))
        if spec is not None:
            block = TaskBlock(
                last_attempt=35,
                bindings={
                    index: Binding(index + 1, f"n-{rng.randrange(600):06}", 1, 1, "a")
                    for index in range(35)
                },
            )
            rows.append((block_key(job_id, 0), encode_block(block, 2), number + 1))
    bench = Bench(0, False, seed)
    before = resident_mb()
    cpu_s = bench.step([messages.LoadSnapshot(rows, records + 1, bench.now)])
    return cpu_s, resident_mb() - before


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def heartbeats(machines: int, count: int, seed: int) -> tuple[HdrHistogram, float]:
    """Measure reports that change the running tasks of a managed machine.

    Also return the bytes sent to the one peer for each report.
    """
    bench = Bench(machines, True, seed)
    bench.sent.clear()
    serial = 0

    def run() -> float:
        nonlocal serial
        serial += 1
        name = bench.rng.choice(bench.machine_names)
        bench.tasks[name] = {(f"job-{serial}/0", 1): ("running", "", False)}
        return bench.step([bench.report(name)])

    times_us = measure(run, count)
    return times_us, sum(
        len(cbor2.dumps(encode_message(message))) for message in bench.sent
    ) / count


@click.command(help=__doc__)
@click.option(
    "--machines", "sizes", type=int, multiple=True, default=(600, 2000, 6000), show_default=True
)
@click.option("--jobs", default=200, show_default=True, help="Waiting jobs.")
@click.option(
    "--ticks",
    default=40,
    show_default=True,
    help="Ticks per measurement; ten times as many reports, a quarter of the fleet passes.",
)
@click.option(
    "--records",
    type=int,
    multiple=True,
    default=(1000, 10_000),
    show_default=True,
    help="Jobs in the records that a controller loads at its start.",
)
@click.option(
    "--waiting",
    "waiting_counts",
    type=int,
    multiple=True,
    default=(4000, 40_000),
    show_default=True,
    help="Jobs waiting while the fleet is full.",
)
@click.option("--seed", default=1, show_default=True)
def main(
    sizes: tuple[int, ...],
    jobs: int,
    ticks: int,
    records: tuple[int, ...],
    waiting_counts: tuple[int, ...],
    seed: int,
) -> None:
    """Print the table of processor times."""
    click.echo("machines  measured      mean ms  median ms  p99 ms")

    def show(size: int, label: str, times_us: HdrHistogram) -> None:
        click.echo(
            f"{size:8}  {label:12} {times_us.get_mean_value() / 1000:8.3f} "
            f"{times_us.get_value_at_percentile(50) / 1000:10.3f} "
            f"{times_us.get_value_at_percentile(99) / 1000:7.3f}"
        )

    for size in sizes:
        show(size, "burst tick", burst(size, jobs, ticks, seed))
        show(size, "quiet tick", quiet(size, ticks, seed))
        show(size, "fleet pass", fleet_pass(size, jobs, max(1, ticks // 4), seed))
        times_us, sent_bytes = heartbeats(size, ticks * 10, seed)
        show(size, "report", times_us)
        click.echo(f"{size:8}  bytes to a peer for each changed report: {sent_bytes:.0f}")
    for count in waiting_counts:
        show(sizes[0], f"{count} wait", waiting(sizes[0], count, ticks, seed))
    for count in records:
        cpu_s, memory_mb = load(count, seed)
        click.echo(
            f"{count:8}  records loaded at a start: {cpu_s * 1000:.0f} ms, {memory_mb:.1f} MB"
        )


if __name__ == "__main__":
    main()
