"""The measurements: each varies one variable over at least four sizes and returns the points.

Processor times are those that the process accounts for, on one core of the machine at hand.
Nothing here opens a socket; `python -m tools.scale` measures the cost of sockets.
"""

import gc
import multiprocessing
import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import cbor2
import msgspec

from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import decode, encode
from oakmux.codec.peers import decode_batch, encode_batch, encode_message
from oakmux.codec.users import parse_job, parse_job_id
from oakmux.codec.workers import parse_heartbeat
from oakmux.core import messages
from oakmux.core.controller import Controller
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import MachinesAlive, MachineView
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.formats import value_bytes
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.transport.http_server import render
from tools import cost
from tools.capacity.cell import (
    Cell,
    cell_settings,
    cpu_job,
    steady_arrivals,
    team_names,
    zone_names,
)
from tools.capacity.series import Point

SEED = 1
# Runs per point; the median is used, because other processes share the machine.
REPEATS = 3
# HTTP request head of a worker's report; its length counts towards the report's bytes.
REQUEST_HEAD = (
    b"POST /agent/beat HTTP/1.1\r\nHost: 10.0.0.1:8080\r\n"
    b"Content-Type: application/cbor\r\nContent-Length: 1000\r\n\r\n"
)
# TCP and IP headers of a request and its answer: two data packets and two acknowledgements.
PACKET_BYTES = 4 * 40


class Measurement(NamedTuple):
    """A series to measure: `measure` returns the quantity at one of `sizes`."""

    name: str
    variable: str
    quantity: str
    unit: str
    fixed: str
    sizes: Sequence[float]
    measure: Callable[[float], float]
    repeats: int = REPEATS

    def points(self) -> list[Point]:
        """Measure all sizes, each run in a new process.

        In a shared process, memory freed by one run would hide what the next run allocates.
        """
        context = multiprocessing.get_context("fork")
        points = []
        for size in self.sizes:
            with context.Pool(1, maxtasksperchild=1) as pool:
                values = sorted(pool.map(self.measure, [size] * self.repeats, chunksize=1))
            points.append(Point(size, values[len(values) // 2]))
        return points


def mean_ms(run: Callable[[], float], times: int) -> float:
    """Return the mean processor time of a run in milliseconds, after one warm-up run."""
    run()
    return sum(run() for _ in range(times)) / times * 1000


def cpu_s(run: Callable[[], object]) -> float:
    """Return the processor time of one call in seconds."""
    gc.collect()
    start = time.process_time()
    run()
    return time.process_time() - start


# --- workers and their reports ---


def report_value(tasks: int) -> dict:
    """Return the decoded body of a worker's report."""
    return {
        "box": "n-000231",
        "addr": "10.1.0.232:9000",
        "flavour": "g8",
        "site": "a",
        "loaner": True,
        "tenure": 1,
        "tick": 88,
        "baton": 41,
        "warning_s": None,
        "pieces": [
            {"piece": f"job-{412_000 + number}/3", "try": 2, "status": "running"}
            for number in range(tasks)
        ],
    }


def report_bytes(tasks: float) -> float:
    """Bytes of one report and its answer, with HTTP and packet headers."""
    body = encode(report_value(int(tasks)))
    answer = render(200, encode({"baton": 41, "orders": []}))
    return len(REQUEST_HEAD) + len(body) + len(answer) + PACKET_BYTES


def report_parse_ms(tasks: float) -> float:
    """Processor time to decode a report and to encode its answer."""
    body = encode(report_value(int(tasks)))

    def run() -> None:
        for _ in range(300):
            parse_heartbeat(decode(body))
            encode(answer_body(("orders", 41, [])))

    return cpu_s(run) / 300 * 1000


def keeper_report_ms(machines: float) -> float:
    """Processor time of the core for a report that changes the running tasks."""
    times_us, _ = cost.heartbeats(int(machines), 300, SEED)
    return times_us.get_mean_value() / 1000


def machines_mb(machines: float) -> float:
    """Memory of the views of machines that report to peers."""
    before = cost.resident_mb()
    bench = cost.Bench(int(machines), False, SEED)
    used_mb = cost.resident_mb() - before
    assert len(bench.core.context.machines) == machines
    return used_mb


# --- messages between controllers ---


def view_message(number: int, sequence: int, tasks: int = 3) -> MachineView:
    """Return the view of a machine that its manager sends to peers."""
    rows = [[f"job-{412_000 + task}/3", 2, "running", "", False] for task in range(tasks)]
    return MachineView(
        41,
        f"n-{number:06}",
        "10.1.0.232:9000",
        "big",
        "zone-0",
        True,
        1,
        sequence,
        41,
        None,
        rows,
        [],
    )


def view_bytes(tasks: float) -> float:
    """Bytes of the view of one machine, sent to one peer."""
    return len(cbor2.dumps(encode_message(view_message(231, 88, int(tasks)))))


def views_ms(views: float) -> float:
    """Processor time to decode and apply a batch of changed views from a peer."""
    bench = cost.Bench(int(views), False, SEED)
    body = encode_batch("h1", [view_message(number, 10) for number in range(int(views))], 0)

    def run() -> None:
        batch = decode_batch(body)
        command = messages.ReceivePeerMessages(None, batch.sender, batch.messages, batch.since)
        bench.core.step(bench.now, [command])

    return cpu_s(run) * 1000


def peer_sends(controllers: float) -> float:
    """Messages that a controller sends for each report that changes the running tasks."""
    core = Controller(cell_settings(2, 3, int(controllers)), random.Random(SEED), 0)
    core.step(
        0.0, [messages.UpdateMachineTypes([cost.MACHINE_TYPE]), messages.LoadSnapshot([], 0, 0.0)]
    )
    core.context.term = core.context.incarnation = 1
    sent = 0
    for sequence in range(1, 21):
        heartbeat = parse_heartbeat({**report_value(sequence % 3), "tick": sequence})
        effects = core.step(
            0.01 * sequence,
            [
                messages.ApplyWatchEvents([], 0, 0.01 * sequence),
                messages.ReceiveHeartbeat(sequence, heartbeat),
            ],
        )
        sent += sum(
            1
            for effect in effects
            if isinstance(effect, messages.SendToPeer) and isinstance(effect.message, MachineView)
        )
    return sent / 20


def heartbeat_bytes(machines: float) -> float:
    """Bytes of the message to one peer that lists the machines which report to a controller."""
    names = [f"n-{number:06}" for number in range(int(machines))]
    return len(cbor2.dumps(encode_message(MachinesAlive(names))))


# --- owners ---


def sampling_ms(machines: float) -> float:
    """Processor time of a tick in which 200 jobs search for capacity on idle machines."""
    return cost.burst(int(machines), 200, 20, SEED).get_mean_value() / 1000


def waiting_ms(jobs: float) -> float:
    """Processor time of a tick with waiting jobs while all machines are full."""
    return cost.waiting(430, int(jobs), 20, SEED).get_mean_value() / 1000


class GangPlacement(NamedTuple):
    """The cost of placing a gang: processor time, and changes of records of task blocks."""

    cpu_ms: float
    changes: int


def place_gang(tasks: int) -> GangPlacement:
    """Submit a gang with a worker for each task, and wait until all tasks run."""
    cell = Cell(tasks, run_s=1000.0)
    cell.run(5.0)
    cpu_s_before, changes_before = cell.cpu_s, cell.changes["t"]
    cell.submit(cpu_job("team-0", tasks, 60.0, "gang"))
    cell.run(4.0)
    assert cell.starts == tasks, f"{cell.starts} of {tasks} tasks started"
    return GangPlacement((cell.cpu_s - cpu_s_before) * 1000, cell.changes["t"] - changes_before)


def gang_ms(tasks: float) -> float:
    """Processor time from a gang's submission until all of its tasks are bound."""
    return place_gang(int(tasks)).cpu_ms


def gang_changes(tasks: float) -> float:
    """Changes of the records that bind a gang: one for each block of its tasks."""
    return place_gang(int(tasks)).changes


class LoadRates(NamedTuple):
    """Rates per second that a load causes on one controller."""

    starts: float
    changes: float
    cores: float
    event_bytes: float


def run_load(starts: float, tasks: int, teams: int = 4) -> LoadRates:
    """Run jobs of `tasks` tasks each, at `starts` task starts per second, on 430 workers."""
    seconds = 15.0
    cell = Cell(430, teams=teams, run_s=5.0)
    cell.run(4.0)
    before = (cell.starts, cell.changes.total(), cell.cpu_s, cell.event_bytes)
    specs = [cpu_job(team, tasks, 5.0) for team in team_names(teams)]
    cell.run(seconds + 6.0, steady_arrivals(starts / tasks, seconds, specs, random.Random(SEED)))
    after = (cell.starts, cell.changes.total(), cell.cpu_s, cell.event_bytes)
    planned = round(starts / tasks * seconds) * tasks
    assert cell.starts - before[0] == planned, f"{cell.starts - before[0]} of {planned} started"
    return LoadRates(*((now - then) / seconds for now, then in zip(after, before, strict=True)))


def alike_starts(offered: float) -> float:
    """Starts per second that are reached when `offered` one-task jobs arrive per second.

    Jobs arrive for twenty seconds; the result is the mean of the last ten.
    """
    cell = Cell(430, run_s=5.0)
    cell.run(4.0)
    specs = [cpu_job(team, 1, 5.0) for team in team_names(4)]
    cell.run(10.0, steady_arrivals(offered, 10.0, specs, random.Random(SEED)))
    before = cell.starts
    cell.run(10.0, steady_arrivals(offered, 10.0, specs, random.Random(SEED + 1)))
    return (cell.starts - before) / 10.0


def single_task_changes(starts: float) -> float:
    """Changes of records per second, from submission to end, for jobs of one task."""
    return run_load(starts, 1).changes


def array_changes(starts: float) -> float:
    """Changes of records per second for arrays of ten tasks."""
    return run_load(starts, 10).changes


def load_cores(starts: float) -> float:
    """Processor cores that the core needs at a start rate, for arrays of ten tasks."""
    return run_load(starts, 10).cores


def hot_team_cores(starts: float) -> float:
    """Processor cores needed at a start rate, for one team's arrays of ten tasks."""
    return run_load(starts, 10, teams=1).cores


def event_bytes(starts: float) -> float:
    """Bytes per second that a watch sends to one controller, for arrays of ten tasks."""
    return run_load(starts, 10).event_bytes


def teams_ms(teams: float) -> float:
    """Processor time of a tick if a controller owns all teams and each has one waiting job."""
    cell = Cell(100, teams=int(teams))
    cell.run(4.0)
    for name in team_names(int(teams)):
        cell.submit(cpu_job(name, 200, 1000.0))
    cell.run(4.0)
    before = cell.cpu_s
    cell.run(4.0)
    return (cell.cpu_s - before) / 40 * 1000


def zones_ms(zones: float) -> float:
    """Processor time of a tick in which 200 jobs search 990 idle machines by zones."""
    old_zones, old_type = cost.ZONES, cost.MACHINE_TYPE
    cost.ZONES = zone_names(int(zones))
    cost.MACHINE_TYPE = msgspec.structs.replace(old_type, zones=cost.ZONES)
    try:
        return cost.burst(990, 200, 20, SEED).get_mean_value() / 1000
    finally:
        cost.ZONES, cost.MACHINE_TYPE = old_zones, old_type


# --- fleet ---


def fleet_pass_ms(machines: float) -> float:
    """Processor time of the fleet pass, due once per second, with 200 waiting jobs."""
    return cost.fleet_pass(int(machines), 200, 5, SEED).get_mean_value() / 1000


# --- users ---


def submission(number: int) -> bytes:
    """Return the encoded body of a submission."""
    return encode(
        {
            "id": f"job-{number:06}",
            "lane": "train",
            "owner": "team-0",
            "shape": "array",
            "rank": "standard",
            "pieces": 10,
            "vcpus": 1.0,
            "accelerators": 0.0,
            "memory_gb": 1.0,
            "bundle": "img-07",
            "size_gb": 1.0,
            "flavours": None,
            "site": None,
            "together": False,
            "spread": False,
            "loaner": True,
            "guess_s": 20.0,
            "save_every_s": 0.0,
            "save_cost_s": 0.0,
            "due_s": None,
        }
    )


def submissions_ms(count: float) -> float:
    """Processor time to decode and accept submissions, up to their transactions."""
    cell = Cell(1)
    cell.run(4.0)
    bodies = [submission(number) for number in range(int(count))]

    def run() -> None:
        commands = []
        for body in bodies:
            value = decode(body)
            commands.append(messages.SubmitJob(None, parse_job_id(value), parse_job(value), ""))
        cell.core.step(cell.now, commands)

    return cpu_s(run) * 1000


def queries_ms(count: float) -> float:
    """Processor time of status queries on unfinished jobs, up to their answers."""
    cell = Cell(1)
    cell.run(4.0)
    for number in range(int(count)):
        cell.pending.append(
            messages.SubmitJob(None, f"job-{number}", cpu_job("team-0", 1, 5.0), "")
        )
    cell.run(1.0)

    def run() -> None:
        cell.pending += [messages.QueryJob(None, f"job-{number}") for number in range(int(count))]
        cell.run(0.2)

    idle = cpu_s(lambda: cell.run(0.2))
    return max(0.0, cpu_s(run) - idle) * 1000


# --- records ---


def history_rows(count: int) -> list[tuple]:
    """Return the records of `count` finished jobs."""
    return [
        (job_key(f"job-{number}"), encode_job("done", "team-0", None, number, 10), number + 1)
        for number in range(count)
    ]


def history_s(jobs: float) -> float:
    """Processor time in which a starting controller loads the records of finished jobs."""
    rows = history_rows(int(jobs))
    core = Controller(cell_settings(4, 3, 1), random.Random(SEED), 0)
    return cpu_s(lambda: core.step(0.0, [messages.LoadSnapshot(rows, len(rows), 0.0)]))


def history_mb(jobs: float) -> float:
    """Memory that the records of finished jobs take in a controller."""
    rows = history_rows(int(jobs))
    core = Controller(cell_settings(4, 3, 1), random.Random(SEED), 0)
    gc.collect()
    before = cost.resident_mb()
    core.step(0.0, [messages.LoadSnapshot(rows, len(rows), 0.0)])
    return cost.resident_mb() - before


def history_bytes(jobs: float) -> float:
    """Bytes of the records of finished jobs at the state service, keys included."""
    return sum(len(key) + value_bytes(value) for key, value, _ in history_rows(int(jobs)))


def live_rows(tasks: int) -> list[tuple]:
    """Return the records of running tasks, ten per job."""
    rows: list[tuple] = []
    for number in range(tasks // 10):
        spec: JobSpec = cpu_job("team-0", 10, 60.0)
        bound = {
            index: Binding(index + 1, f"n-{(number * 10 + index) % 4300:06}", 1, 41, "zone-0")
            for index in range(10)
        }
        job_id = f"job-{number:06}"
        rows.append(
            (job_key(job_id), encode_job("queued", "team-0", spec, number, 10), 2 * number + 1)
        )
        rows.append(
            (
                block_key(job_id, 0),
                encode_block(TaskBlock(last_attempt=10, bindings=bound), 2),
                2 * number + 2,
            )
        )
    return rows


def live_mb(tasks: float) -> float:
    """Memory of the records of running tasks in a controller."""
    rows = live_rows(int(tasks))
    core = Controller(cell_settings(4, 3, 1), random.Random(SEED), 0)
    gc.collect()
    before = cost.resident_mb()
    core.step(0.0, [messages.LoadSnapshot(rows, len(rows), 0.0)])
    return cost.resident_mb() - before


def live_bytes(tasks: float) -> float:
    """Bytes of the records of running tasks at the state service, keys included."""
    return sum(len(key) + value_bytes(value) for key, value, _ in live_rows(int(tasks)))


WORKER_SIZES = (250, 500, 1000, 2000)
FLEET_SIZES = (500, 1000, 2000, 4300)
TASK_SIZES = (0, 2, 4, 8, 16)
START_SIZES = (20, 40, 80, 160)
# At higher rates one controller starts one-task jobs slower than they arrive (`alike_starts`).
SINGLE_SIZES = (5, 10, 20, 40)
OFFERED_SIZES = (20, 40, 80, 160, 320)
HISTORY_SIZES = (15_250, 30_500, 61_000, 122_000, 244_000)
LIVE_SIZES = (2_000, 4_000, 8_000, 14_000)

MEASUREMENTS = (
    Measurement(
        "report_bytes",
        "tasks on the worker",
        "a report and its answer",
        "bytes",
        "no orders",
        TASK_SIZES,
        report_bytes,
        1,
    ),
    Measurement(
        "report_parse_ms",
        "tasks on the worker",
        "reading a report",
        "ms",
        "one core",
        TASK_SIZES,
        report_parse_ms,
    ),
    Measurement(
        "keeper_report_ms",
        "workers heard",
        "a report that changes what runs",
        "ms",
        "one task changed, one peer",
        WORKER_SIZES,
        keeper_report_ms,
    ),
    Measurement(
        "machines_mb",
        "workers known",
        "memory of the view of all workers",
        "MB",
        "idle, three images each",
        FLEET_SIZES,
        machines_mb,
        1,
    ),
    Measurement(
        "view_bytes",
        "tasks on the worker",
        "news of a worker to a peer",
        "bytes",
        "no images",
        TASK_SIZES,
        view_bytes,
        1,
    ),
    Measurement(
        "views_ms",
        "workers changed",
        "taking a peer's news of workers",
        "ms",
        "three tasks on each",
        WORKER_SIZES,
        views_ms,
    ),
    Measurement(
        "peer_sends",
        "controllers",
        "messages to peers for a changed report",
        "messages",
        "one worker",
        (3, 5, 9, 13, 17),
        peer_sends,
        1,
    ),
    Measurement(
        "heartbeat_bytes",
        "workers heard",
        "a heartbeat to a peer",
        "bytes",
        "",
        (100, 200, 400, 800),
        heartbeat_bytes,
        1,
    ),
    Measurement(
        "sampling_ms",
        "workers",
        "a tick of 40 samples",
        "ms",
        "200 jobs that look for room, idle workers",
        FLEET_SIZES,
        sampling_ms,
    ),
    Measurement(
        "waiting_ms",
        "jobs that wait",
        "a tick while nothing changes",
        "ms",
        "430 full workers",
        (250, 500, 1000, 2000),
        waiting_ms,
    ),
    Measurement(
        "gang_ms",
        "tasks of the gang",
        "placing a gang",
        "ms",
        "a worker for each task",
        (64, 128, 256, 512),
        gang_ms,
        1,
    ),
    Measurement(
        "gang_changes",
        "tasks of the gang",
        "records that bind a gang",
        "changes",
        "a worker for each task",
        (64, 128, 256, 512),
        gang_changes,
        1,
    ),
    Measurement(
        "single_task_changes",
        "starts a second",
        "changes of records, jobs of one task",
        "changes/s",
        "430 workers, 4 teams",
        SINGLE_SIZES,
        single_task_changes,
        1,
    ),
    Measurement(
        "alike_starts",
        "jobs of one task that come a second",
        "starts a second that one controller reaches",
        "starts/s",
        "430 workers, 4 teams, tasks of 5 s",
        OFFERED_SIZES,
        alike_starts,
        1,
    ),
    Measurement(
        "array_changes",
        "starts a second",
        "changes of records, arrays of ten",
        "changes/s",
        "430 workers, 4 teams",
        START_SIZES,
        array_changes,
        1,
    ),
    Measurement(
        "load_cores",
        "starts a second",
        "the core as owner and keeper",
        "cores",
        "430 workers, 4 teams, arrays of ten",
        START_SIZES,
        load_cores,
    ),
    Measurement(
        "hot_team_cores",
        "starts a second",
        "the core, one team",
        "cores",
        "430 workers, arrays of ten",
        START_SIZES,
        hot_team_cores,
    ),
    Measurement(
        "event_bytes",
        "starts a second",
        "what a watch brings to a controller",
        "bytes/s",
        "430 workers, arrays of ten",
        START_SIZES,
        event_bytes,
        1,
    ),
    Measurement(
        "teams_ms",
        "teams",
        "a tick, one waiting array for each team",
        "ms",
        "100 workers",
        (5, 10, 20, 41),
        teams_ms,
    ),
    Measurement(
        "zones_ms",
        "zones",
        "a tick of 40 samples",
        "ms",
        "990 idle workers, 200 jobs",
        (3, 6, 11, 22),
        zones_ms,
    ),
    Measurement(
        "fleet_pass_ms",
        "workers",
        "a pass over the fleet",
        "ms",
        "200 jobs waiting",
        FLEET_SIZES,
        fleet_pass_ms,
    ),
    Measurement(
        "submissions_ms",
        "submissions",
        "taking submissions",
        "ms",
        "one core",
        (100, 200, 400, 800),
        submissions_ms,
    ),
    Measurement(
        "queries_ms",
        "questions",
        "answering questions about unfinished jobs",
        "ms",
        "one core",
        (50, 100, 200, 400),
        queries_ms,
    ),
    Measurement(
        "history_s",
        "finished jobs",
        "taking the records at a start",
        "s",
        "one core",
        HISTORY_SIZES,
        history_s,
        1,
    ),
    Measurement(
        "history_mb",
        "finished jobs",
        "memory of finished jobs",
        "MB",
        "",
        HISTORY_SIZES,
        history_mb,
        1,
    ),
    Measurement(
        "history_bytes",
        "finished jobs",
        "records of finished jobs",
        "bytes",
        "",
        HISTORY_SIZES,
        history_bytes,
        1,
    ),
    Measurement(
        "live_mb",
        "running tasks",
        "memory of running tasks",
        "MB",
        "ten tasks a job",
        LIVE_SIZES,
        live_mb,
        1,
    ),
    Measurement(
        "live_bytes",
        "running tasks",
        "records of running tasks",
        "bytes",
        "ten tasks a job",
        LIVE_SIZES,
        live_bytes,
        1,
    ),
)
