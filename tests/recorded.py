"""Builders for the recorded bytes: the only part of that test that uses internal names.

`outputs` returns the bytes that the present code writes, `inputs` the bytes given to it, `read`
the result of reading such bytes, and `summarize_run` the digest of a whole run. Results of reading
are plain lists by position: renaming an internal field changes nothing, moving or dropping one
does. Keys of maps are the keys on the wire.
"""

import asyncio
import hashlib
import math
import random
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from oakmux import settings
from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import decode, encode
from oakmux.codec.cloud import parse_catalogue
from oakmux.codec.peers import decode_message, encode_message
from oakmux.codec.store import transaction_body
from oakmux.codec.users import (
    job_description,
    parse_job_summary,
    submission_body,
)
from oakmux.codec.workers import command_body, commands_body
from oakmux.core import messages as core_messages
from oakmux.core.controller import Controller
from oakmux.core.messages import Command, Effect
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import PeerMessage
from oakmux.core.state.binding_batches import BatchRow
from oakmux.core.state.codecs import encode_block, encode_job
from oakmux.core.state.keys import (
    FORMAT_KEY,
    TERM_KEY,
    TYPES_KEY,
    batch_key,
    block_key,
    controller_key,
    job_key,
    role_key,
    termination_key,
    version_key,
)
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica
from oakmux.schedules import records
from oakmux.schedules.firings import Rule
from oakmux.service import Service
from oakmux.settings import SchedulingOptions
from oakmux.transport.cloud_client import CloudClient
from oakmux.transport.http_client import Client, ClientProtocol
from oakmux.transport.http_server import ServerProtocol
from oakmux.transport.peer_client import PeerClient
from oakmux.transport.request_router import RequestRouter
from oakmux.transport.store_client import StoreClient
from oakmux.transport.worker_client import WorkerClient
from tests.fakes import TYPE, Simulation, settings_for, spec

STAMP = 7
FULL = JobSpec(
    "train",
    "vision",
    "gang",
    2,
    16,
    8.0,
    1.5,
    64.0,
    "img-07",
    6.25,
    ["g8", "g4"],
    "a",
    True,
    True,
    True,
    240.0,
    30.0,
    4.0,
    900.0,
    ("job-7", "job-8"),
)
PLAIN = JobSpec(
    "serve",
    "red",
    "array",
    0,
    3,
    0.5,
    0.0,
    1.0,
    "i",
    0.0,
    None,
    None,
    False,
    False,
    False,
    5.0,
    0.0,
    0.0,
    None,
)
SUBMISSION = {
    "id": "job-000412",
    "lane": "train",
    "owner": "vision",
    "shape": "ensemble",
    "rank": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "accelerators": 1.5,
    "memory_gb": 64.0,
    "bundle": "img-07",
    "size_gb": 6.2,
    "flavours": ["g8"],
    "site": "a",
    "together": True,
    "spread": True,
    "loaner": True,
    "guess_s": 240.0,
    "save_every_s": 30.0,
    "save_cost_s": 4.0,
    "due_s": 900.0,
    "waits_on": ["job-7", "job-8", "job-7"],
}
HEARTBEAT = {
    "box": "n-000231",
    "addr": "10.1.0.232:9000",
    "flavour": "g8",
    "site": "a",
    "loaner": True,
    "tenure": 3,
    "tick": 88,
    "baton": 41,
    "warning_s": 25.5,
    "pieces": [
        {"piece": f"job-1/{i}", "try": i + 1, "status": state}
        for i, state in enumerate(("pulling", "waiting", "running", "flushing"))
    ]
    + [
        {"piece": f"job-2/{i}", "try": 5, "status": "ended", "cause": cause, "stored": i % 2 > 0}
        for i, cause in enumerate(
            ("done", "halted", "peers", "incomplete", "error", "no_room", "in_use", "unknown", "?")
        )
    ],
}
CATALOGUE = {
    "flavours": [
        {
            "sku": "g8",
            "vcpus": 96,
            "accelerators": 8,
            "memory_gb": 768,
            "local_gb": 200,
            "pull_gb_per_s": 1.5,
            "hourly": 12.0,
            "low_price": 4.5,
            "boot_s": 45,
            "sites": ["a", "b"],
        }
    ]
}
HOSTS = {
    "boxes": [
        {
            "id": "n-000231",
            "addr": "10.1.0.232:9000",
            "flavour": "g8",
            "site": "a",
            "loaner": True,
            "status": "running",
            "held_s": 61.5,
        },
        {
            "id": "n-000232",
            "flavour": "g4",
            "site": "b",
            "loaner": False,
            "status": "booting",
            "held_s": 1,
        },
    ],
    "has_next": False,
}
ROWS = {
    "rows": [{"path": "ox/term", "v": 3, "stamp": 4}, {"path": "ox/n/h0", "v": 2, "stamp": 5}],
    "has_next": False,
    "epoch": 431,
}
EVENTS = {
    "epoch": 433,
    "events": [
        {"write": "ox/term", "v": 9, "stamp": 433},
        {"delete": "ox/n/h0", "stamp": 432},
    ],
}


def plain(value: Any) -> Any:
    """Convert a value for JSON: positional structs become lists, settings maps by file key."""
    if isinstance(value, msgspec.Struct):
        if value.__struct_config__.array_like:
            return [plain(item) for item in msgspec.structs.astuple(value)]
        return {
            field.encode_name: plain(getattr(value, field.name))
            for field in msgspec.structs.fields(value)
        }
    if isinstance(value, dict):
        return [[plain(key), plain(item)] for key, item in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(plain(item) for item in value)
    if isinstance(value, (list, tuple)):
        return [plain(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, bytes):
        return value.hex()
    return value


# --- stored records ---------------------------------------------------------------------------


def bindings() -> dict[int, Binding]:
    """Return bindings: three differ in the attempt only, one of them is to stop."""
    return {
        0: Binding(3, "m1", 1, 41, "a"),
        1: Binding(4, "m1", 1, 41, "a"),
        2: Binding(5, "m1", 1, 41, "a", True),
        5: Binding(6, "m2", 2, 42, "b"),
        9: Binding(2**40, "n-000231", 9, 2**33, "zone c"),
    }


def stored_records() -> dict[str, list]:
    """Return [key, value] of each kind and format of record."""
    block = TaskBlock(STAMP, 2**40, 0b1010011000, bindings())
    small = TaskBlock(STAMP, 1, 0, {0: Binding(1, "m3", 1, 2, "c")})
    done = TaskBlock(STAMP, 2, 2**64 - 1, {})
    values: dict[str, list] = {
        f"chunk/{name}/format-{form}": [block_key("job-5", 3), encode_block(value, form)]
        for form in (1, 2, 3)
        for name, value in (("full", block), ("small", small), ("done", done))
    }
    for state in ("queued", "running", "done", "cancelled"):
        for name, job in (("full", FULL), ("plain", PLAIN)):
            value = encode_job(state, job.team, job, 12_000, job.tasks)
            values[f"job/{name}/{state}"] = [job_key("job-5"), value]
        values[f"job/bare/{state}"] = [
            job_key("job-6"),
            encode_job(state, "red", None, 1, 100_000),
        ]
    rows = [
        BatchRow(job_id, tasks, encode_block(value, 3)).to_value()
        for job_id, tasks, value in (("job-5", 10, block), ("job-6", 1, small), ("job-9", 2, done))
    ]
    values["page/rows"] = [batch_key("red/4"), rows]
    values["page/empty"] = [batch_key("red/5"), []]
    values["role/team"] = [role_key("red"), ["h1", 41]]
    values["role/fleet"] = [role_key("#fleet"), ["h2", 42]]
    values["node"] = [controller_key("h1"), 41]
    values["gone"] = [termination_key("n-000231"), True]
    values["term"] = [TERM_KEY, 42]
    values["types"] = [TYPES_KEY, msgspec.to_builtins([TYPE, *parse_catalogue(CATALOGUE)])]
    values["version"] = [version_key("h1"), 3]
    values["format"] = [FORMAT_KEY, [3, 64]]
    return values


def schedule_records() -> dict[str, list]:
    """Return [key, value] of each kind of schedule record."""
    calendar = Rule(
        "ical", "Europe/Berlin", "FREQ=DAILY", 1000, (2000,), (3000,), ((4000, 5000), (6000, None))
    )
    full = records.Entry(
        "red/cal/e1",
        calendar,
        "red/t",
        records.Policy("queue", "last", 600, 30),
        2_000_000_000,
        True,
        1_700_000_000_123,
        5,
        90.5,
        "note",
        2,
        "etag",
        "VTODO",
        "uid-1",
    )
    bare = records.Entry("red/e2", Rule("cron", "UTC", "*/5 * * * *"), "red/t")
    steps = (records.Step("one", PLAIN), records.Step("two", FULL, (0,)))
    slot = records.Slot("red/e2", 1000, 1300, [(700, records.MADE, 1, "")])
    slot = slot.with_decision(1300, 0, 1300, records.QUEUED).with_decision(
        1400, 0, 1400, records.MANUAL, 2, "w"
    )
    return {
        "schedule/entry/full": [records.entry_key(full.name), records.encode_record(full)],
        "schedule/entry/bare": [records.entry_key(bare.name), records.encode_record(bare)],
        "schedule/template": [
            records.template_key("red/t"),
            records.encode_record(records.Template(steps)),
        ],
        "schedule/shard": [records.shard_key(5), [records.encode_record(slot)]],
        "schedule/calendar": [
            records.calendar_key("red/cal"),
            records.encode_record(records.Calendar("Title", "Europe/Berlin", "red/t")),
        ],
        "schedule/part": [records.part_key("red/cal/e1", 1), "BEGIN:VCALENDAR"],
        "schedule/ids": [
            records.job_id(full, "1300", 1, 2),
            records.submitted_job_ids(bare, (1300, records.MADE, 1, ""), 2)
            + records.submitted_job_ids(bare, (1300, records.MANUAL, 0, "w"), 1)
            + records.submitted_job_ids(bare, (1300, records.SKIPPED, 0, ""), 1),
        ],
    }


def read_record(data: bytes) -> Any:
    """Return the contents of the replica and of the schedule store after one record."""
    key, value = decode(data)
    replica, store = Replica(), records.ScheduleStore()
    replica.namespaces[records.NAMESPACE] = store
    replica.apply(key, value, STAMP)
    blocks = [
        [job_id, number, *plain_block(block)]
        for job_id, found in replica.job_records.orphan_blocks.items()
        for number, block in found.items()
    ]
    jobs = [
        [
            job.id,
            job.team,
            job.state,
            job.mod_revision,
            job.spec,
            job.submitted_ms,
            job.tasks,
            job.service,
        ]
        + [job.unmet_dependencies, job.eligible_ms, job.priority, job.due_ms]
        + [list(msgspec.structs.astuple(job.resources)), job.final]
        for job in replica.jobs.values()
    ]
    pages = [
        [name, page.mod_revision, list(page.rows.values())]
        for name, page in replica.job_records.batches.items()
    ]
    return plain(
        [
            jobs,
            blocks,
            pages,
            replica.roles,
            replica.live_controllers,
            replica.terminated_machines,
            replica.term,
        ]
        + [
            replica.types,
            replica.versions,
            [replica.format, replica.tasks_per_record],
            replica.unreadable,
        ]
        + [
            replica.cancellations.by_revision,
            store.entries,
            store.templates,
            store.calendars,
            store.shards,
        ]
        + [store.text_parts, store.mod_revisions]
    )


def plain_block(block: TaskBlock) -> list:
    """Return all fields of a task block."""
    return [
        block.mod_revision,
        block.last_attempt,
        block.completed_mask,
        block.bindings,
        block.compact,
        block.batch,
    ]


# --- whole runs -------------------------------------------------------------------------------


def outgoing_form(effect: Effect, numbered: bool = True) -> list:
    """Return an effect in the form that leaves the process, without operation numbers.

    Without `numbered`, numbers of offers are left out as well.
    """
    if isinstance(effect, core_messages.Answer):
        return ["answer", effect.status, answer_body(effect.body)]
    if isinstance(effect, core_messages.SendToPeer):
        message = encode_message(effect.message)
        if not numbered and message[0] in ("offer", "decline"):
            message[3 if message[0] == "offer" else 2] = 0
        return ["send", effect.controller_id, message]
    if isinstance(effect, core_messages.SendWorkerCommands):
        body = commands_body(effect.fencing_token, effect.agent_epoch, effect.commands)
        return ["orders", effect.addr, body]
    if isinstance(effect, core_messages.Transaction):
        body = transaction_body(effect.conditions, effect.writes)
        ordered = {name: sorted(rows, key=encode) for name, rows in body.items()}
        return ["txn", ordered, effect.priority]
    fields = list(msgspec.structs.astuple(effect))
    if not isinstance(effect, core_messages.LendQuota | core_messages.CreditQuota):
        del fields[0]  # the number of the operation
    return [*EFFECT_TAGS[type(effect)], *fields]


# Tags of commands and effects in the recorded values.
EFFECT_TAGS: dict[type, tuple[str, ...]] = {
    core_messages.LendQuota: ("lend",),
    core_messages.CreditQuota: ("credit",),
    core_messages.ReadKey: ("get",),
    core_messages.GrantLease: ("grant",),
    core_messages.RenewLease: ("renew",),
    core_messages.ListInstances: ("cloud", "list"),
    core_messages.RentInstances: ("cloud", "rent"),
    core_messages.ReturnInstances: ("cloud", "return"),
}
COMMAND_TAGS: dict[type, str] = {
    core_messages.SubmitJob: "submit",
    core_messages.QueryJob: "query",
    core_messages.CancelJob: "cancel",
    core_messages.CheckHealth: "health",
    core_messages.GetStatus: "status",
    core_messages.ReceiveHeartbeat: "report",
    core_messages.ReceivePeerMessages: "peer",
    core_messages.OperationDone: "done",
    core_messages.LoadSnapshot: "snapshot",
    core_messages.ApplyWatchEvents: "watch",
    core_messages.UpdateMachineTypes: "catalogue",
    core_messages.PeerAnswered: "peer_alive",
    core_messages.PeerRestarted: "peer_new",
}


def command_row(command: Command) -> list:
    """Return a command as its tag and its fields."""
    return [COMMAND_TAGS[type(command)], *msgspec.structs.astuple(command)]


class RecordedSimulation(Simulation):
    """A Simulation that computes a digest of all effects of controllers and their times.

    The effects of one step are sorted by their bytes, and numbers of offers and operations are
    left out: both depend on the hash seed of the process, because controllers iterate over sets of
    names.
    """

    def __init__(self, *args: Any, **more: Any) -> None:
        self.digest = hashlib.sha256()
        self.count = 0
        self.kinds: dict[str, int] = {}
        self.first: dict[str, Any] = {}
        super().__init__(*args, **more)

    def step(self, label: str, commands: list[Command]) -> None:
        core, incarnation = self.cores[label], self.incarnations[label]
        if core is None:
            return
        rows = [(outgoing_form(effect, False), effect) for effect in core.step(self.now, commands)]
        for row, effect in sorted(rows, key=lambda one: encode(one[0])):
            self.add_to_digest(label, row)
            self.carry_out(label, incarnation, effect)

    def add_to_digest(self, label: str, row: list) -> None:
        """Add one effect to the digest."""
        self.digest.update(encode([round(self.now, 6), label, *row]))
        self.count += 1
        for kind in effect_kinds(row):
            self.kinds[kind] = self.kinds.get(kind, 0) + 1
            if kind not in self.first:
                self.first[kind] = plain(row)


def effect_kinds(row: list) -> list[str]:
    """Return the kinds of an effect: message tag and length, command verbs or record kinds."""
    if row[0] == "send":
        return [f"send {row[2][0]} of {len(row[2])}"]
    if row[0] == "answer":
        return [
            f"answer {row[1]} {' '.join(row[2])}" if isinstance(row[2], dict) else "answer peer"
        ]
    if row[0] == "orders":
        return sorted({f"order {one['verb']}" for one in row[2]["orders"]})
    if row[0] == "txn":
        keys = [one.get("write") or "-" + one["delete"] for one in row[1]["writes"]]
        return sorted({"txn " + "/".join(key.split("/")[:2]) for key in keys})
    return [f"cloud {row[1]}" if row[0] == "cloud" else row[0]]


def run_mixed_jobs(seed: int, count: int, final_s: float) -> RecordedSimulation:
    """Run jobs of all kinds with one crash, one cancellation and one lost machine."""
    sim = RecordedSimulation(seed, count)
    sim.simulate_fetches = True
    sim.run(12)
    sim.submit("job-1", spec("array", 20, estimate_s=6.0))
    sim.submit("job-2", spec("gang", 3, "blue", one_zone=True, checkpoint_s=2.0, save_s=0.5))
    sim.submit("job-3", spec("service", 2, "blue", spread=True))
    sim.submit("job-4", spec("array", 4, "red", waits_on=("job-1",), priority=2, spot=True))
    sim.submit("job-5", spec("gang", 6, "red", priority=3, deadline_s=60.0))
    sim.run(5)
    sim.cancel("job-3")
    sim.crash("h1", 3.0)
    sim.run(12)
    sim.submit("job-6", spec("array", 90, "blue", gpus=0.0, cpus=0.1, memory_gb=0.1))
    sim.run(1)
    sim.kill(min(worker.name for worker, _, _ in sim.running_tasks()))
    sim.run(final_s)
    for job_id in list(sim.specs):
        sim.query(job_id)
    sim.run(2)
    return sim


def run_crowded(seed: int) -> RecordedSimulation:
    """Run three full machines: tasks are preempted, gangs wait for openings, services move."""
    sim = RecordedSimulation(seed, 3, scheduling=SchedulingOptions(backfill=True))
    sim.capacity = 3
    sim.run(12)
    sim.submit("job-1", spec("array", 8, "red", estimate_s=14.0, priority=0))
    sim.submit("job-2", spec("service", 1, "blue", gpus=0.0, cpus=0.5))
    sim.run(3)
    sim.submit("job-5", spec("service", 1, "blue", gpus=0.0, cpus=0.5, priority=2))
    sim.submit("job-3", spec("gang", 8, "blue"))
    sim.run(6)
    sim.submit("job-4", spec("array", 1, "red", gpus=4.0, priority=3))
    sim.run(45)
    for job_id in list(sim.specs):
        sim.query(job_id)
    sim.run(2)
    return sim


RUNS: dict[str, Callable[[], RecordedSimulation]] = {
    "three controllers": lambda: run_mixed_jobs(4, 3, 55),
    "seven controllers": lambda: run_mixed_jobs(3, 7, 12),
    "crowded, with openings": lambda: run_crowded(1),
    "crowded, with moves": lambda: run_crowded(3),
}


def summarize_run(name: str) -> dict[str, Any]:
    """Return the digest of a run, the number of messages of each kind and the first of each."""
    sim = RUNS[name]()
    return {
        "digest": sim.digest.hexdigest(),
        "count": sim.count,
        "kinds": dict(sorted(sim.kinds.items())),
        "first": dict(sorted(sim.first.items())),
        "told": dict(sorted(sim.reported_state.items())),
    }


# --- incoming requests ------------------------------------------------------------------------


class MemoryTransport(asyncio.Transport):
    """An in-memory transport that records writes and answers each from a list of replies."""

    def __init__(self, replies: list[bytes]) -> None:
        self.replies = replies
        self.sent: list[bytes] = []
        self.protocol: asyncio.Protocol | None = None

    def write(self, data: Any) -> None:
        """Record the data; the next reply is delivered in the next loop iteration."""
        self.sent.append(bytes(data))
        if self.replies and self.protocol is not None:
            asyncio.get_running_loop().call_soon(self.protocol.data_received, self.replies.pop(0))

    def close(self) -> None:
        """There is nothing to close."""

    def abort(self) -> None:
        """There is nothing to close."""


def request(method: str, path: str, body: Any = None) -> bytes:
    """Return a request as a client sends it."""
    data = b"" if body is None else encode(body)
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


def reply(status: int, body: Any = None) -> bytes:
    """Return an answer as a server sends it."""
    data = b"" if body is None else encode(body)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def route_request(data: bytes, internal: bool = False) -> tuple[list[Command], list[bytes]]:
    """Return the commands that a request becomes, and the data that is answered at once."""
    commands: list[Command] = []
    router = RequestRouter(lambda command: commands.append(command) is None)
    transport = MemoryTransport([])
    server = ServerProtocol(router.handle_internal if internal else router.handle_public, set(), 1)
    server.connection_made(transport)
    server.data_received(data)
    return commands, transport.sent


def read_request(data: bytes, internal: bool = False) -> Any:
    """Return a request's commands without their handles, and the data answered at once."""
    commands, sent = route_request(data, internal)
    rows = [command_row(command) for command in commands]
    return plain([[[tag, *fields] for tag, _, *fields in rows], sent])


def requests() -> dict[str, bytes]:
    """Return valid and invalid requests of users and workers."""
    bad = {
        "shape": "x",
        "rank": "x",
        "pieces": 0,
        "vcpus": -1.0,
        "owner": "",
        "site": "x" * 201,
        "flavours": ["x"] * 51,
        "waits_on": ["x"],
        "due_s": "soon",
    }
    found = {
        "submit/full": request("POST", "/api/jobs", SUBMISSION),
        "submit/least": request(
            "POST",
            "/api/jobs",
            {
                key: value
                for key, value in SUBMISSION.items()
                if key not in ("flavours", "site", "due_s", "waits_on")
            }
            | {"more": 1},
        ),
        "submit/bad-id": request("POST", "/api/jobs", {**SUBMISSION, "id": "x"}),
        "submit/bad-body": request("POST", "/api/jobs", [1]),
        "submit/wrong-method": request("GET", "/api/jobs"),
        "query": request("GET", "/api/jobs/job-000412"),
        "query/bad-id": request("GET", "/api/jobs/x"),
        "cancel": request("POST", "/api/jobs/job-000412/cancel"),
        "cancel/bad-id": request("POST", "/api/jobs/x/cancel"),
        "health": request("GET", "/healthz"),
        "status": request("GET", "/oakmux/status"),
        "unknown": request("GET", "/x"),
        "report": request("POST", "/agent/beat", HEARTBEAT),
        "report/no-tasks": request(
            "POST", "/agent/beat", {**HEARTBEAT, "warning_s": None, "pieces": []}
        ),
        "report/bad": request("POST", "/agent/beat", {**HEARTBEAT, "tick": -1}),
    }
    for key, value in bad.items():
        found[f"submit/bad-{key}"] = request("POST", "/api/jobs", {**SUBMISSION, key: value})
    for shape in ("array", "daemon", "ensemble"):
        for rank in ("production", "urgent", "standard", "idle"):
            body = {**SUBMISSION, "shape": shape, "rank": rank}
            found[f"submit/{shape}/{rank}"] = request("POST", "/api/jobs", body)
    return {f"request/{name}": data for name, data in found.items()}


# --- outgoing answers -------------------------------------------------------------------------


def orders() -> list[dict]:
    """Return one command of each kind."""
    return [
        command_body("start", "job-1/3", 2),
        command_body("stop", "job-1/4", 1, 10.5),
        command_body("stop", "job-1/5", 1),
        command_body("forget", "job-2/0", 7),
    ]


def answers() -> dict[str, bytes]:
    """Return the whole response for each kind of answer."""
    answers_by_name: dict[str, tuple[int, tuple]] = {
        f"job/{state}": (200, ("job", "job-1", state, 3, 13))
        for state in ("queued", "running", "done", "cancelled")
    }
    answers_by_name |= {
        "job/accepted": (201, ("job", "job-1", "queued", 0, 0)),
        "job/waits": (200, ("job", "job-1", "queued", 0, 0, ["job-7", "job-8"])),
        "orders": (200, ("orders", 41, orders())),
        "orders/none": (200, ("orders", 2**40, [])),
        "report-to": (421, ("report_to", "h2")),
        "report-to/unknown": (421, ("report_to", "")),
        "health": (200, ("health", "h1", True, 41, ["#fleet", "red"], 7)),
        "health/not-ready": (503, ("health", "h1", False, 0, [], 0)),
        "peer": (200, ("peer", "h1", 41, 0.25, ["job-1"], 433)),
        "schedules": (200, ("schedules", {"entries": [1]})),
    }
    for status in (400, 404, 421, 422, 503):
        answers_by_name[f"error/{status}"] = (status, ("error", "why"))
    values = {}
    for name, (status, answer) in answers_by_name.items():
        commands: list[Any] = []
        router = RequestRouter(lambda command, commands=commands: commands.append(command) is None)
        transport = MemoryTransport([])
        server = ServerProtocol(router.handle_public, set(), 1)
        server.connection_made(transport)
        server.data_received(request("GET", "/healthz"))
        router.answer(commands[0].request, status, answer)
        values[f"answer/{name}"] = transport.sent[0]
    return values


# --- outgoing requests and the handling of their answers --------------------------------------


class ScriptedClient(Client):
    """A client whose connections are answered from a list."""

    def __init__(self, replies: list[bytes]) -> None:
        super().__init__(1)
        self.transport = MemoryTransport(replies)
        self.addrs: list[str] = []

    async def _connect(self, addr: str, limit: int) -> ClientProtocol:
        protocol = ClientProtocol(limit)
        self.addrs.append(addr)
        self.transport.protocol = protocol
        protocol.connection_made(self.transport)
        return protocol


class FrozenLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still, so that no timer fires."""

    def time(self) -> float:
        """Return a constant time."""
        return 100.0


PutCommand = Callable[[Command], None]
ClientCall = Callable[[Client, PutCommand], Coroutine]


def store_call(make: Callable[[StoreClient], Coroutine]) -> ClientCall:
    """Return a call that uses the store client."""

    def call(client: Client, put: PutCommand) -> Coroutine:
        state = StoreClient(settings_for("h0"), put)
        state.client = client
        return make(state)

    return call


def cloud_call(make: Callable[[CloudClient], Coroutine]) -> ClientCall:
    """Return a call that uses the cloud client."""

    def call(client: Client, put: PutCommand) -> Coroutine:
        cloud = CloudClient(settings_for("h0"), put)
        cloud.client = client
        return make(cloud)

    return call


def call_worker(client: Client, put: PutCommand) -> Coroutine:
    """Send one command of each kind to a worker."""
    workers = WorkerClient(put)
    workers.client = client
    return workers.send_commands(
        core_messages.SendWorkerCommands(5, "10.1.0.232:9000", 41, 3, orders())
    )


def call_peer(client: Client, put: PutCommand) -> Coroutine:
    """Send one message of each kind to a peer."""
    peer = PeerClient("h0", "h1", "10.0.0.2:81", put, lambda: 433)
    peer.client = client
    return peer._send([message_from(row) for row in messages("m0", "h0")])


class UnknownMessage(PeerMessage, frozen=True):
    """A message kind that this version can't decode."""

    TAG = "unknown"
    value: int


def message_from(row: list) -> PeerMessage:
    """Return the message for an encoded row."""
    return UnknownMessage(*row[1:]) if row[0] == UnknownMessage.TAG else decode_message(row)


GUARDS = [("ox/own/red", 7), ("ox/j/job-1", 0)]
WRITES: list[tuple] = [
    ("ox/t/job-1/0", [1, "0", [], []], None),
    ("ox/n/h0", 41, 7),
    ("ox/gone/m1",),
]
RENT = core_messages.RentInstances(5, "r-17", "g8", "a", True, 12)


def exchanges() -> dict[str, tuple[ClientCall, list[bytes]]]:
    """Return each call and its replies, by name."""

    def txn(
        status: int, body: Any = None, writes: list | None = None
    ) -> tuple[ClientCall, list[bytes]]:
        op = core_messages.Transaction(5, GUARDS, WRITES if writes is None else writes, 1)
        return store_call(lambda state: state._carry_out(op)), [reply(status, body)]

    def state(op: core_messages.StoreOperation) -> ClientCall:
        return store_call(lambda state: state._carry_out(op))

    def cloud(op: core_messages.CloudOperation) -> ClientCall:
        return cloud_call(lambda cloud: cloud.carry_out(op))

    list_more = {**ROWS, "has_next": True}
    hosts_more = {**HOSTS, "has_next": True}
    old = ["peer", "h1", 41, 0.5, ["job-1"]]
    return {
        "state/txn/200": txn(200, {"epoch": 432}),
        "state/txn/compare": txn(200, {"epoch": 432}, []),
        "state/txn/409": txn(409, {"failed": ["ox/j/job-1"], "epoch": 431}),
        "state/txn/400": txn(400, {"error": "no such lease"}),
        "state/txn/429": txn(429),
        "state/txn/503": txn(503),
        "state/txn/garbled": txn(200, ["x"]),
        "state/get/200": (
            state(core_messages.ReadKey(5, "ox/j/job-1 é", 0)),
            [reply(200, {"path": "ox/j/job-1", "v": ["done"], "stamp": 412, "permit": 7})],
        ),
        "state/get/404": (
            state(core_messages.ReadKey(5, "ox/j/job-1", 0)),
            [reply(404, {"epoch": 431})],
        ),
        "state/get/429": (state(core_messages.ReadKey(5, "ox/j/job-1", 0)), [reply(429)]),
        "state/grant/200": (state(core_messages.GrantLease(5, 4.5)), [reply(200, {"permit": 7})]),
        "state/grant/429": (state(core_messages.GrantLease(5, 4.5)), [reply(429)]),
        "state/renew/200": (state(core_messages.RenewLease(5, 7)), [reply(200, {})]),
        "state/renew/404": (state(core_messages.RenewLease(5, 7)), [reply(404)]),
        "state/list": (
            store_call(lambda state: state._load()),
            [reply(200, list_more), reply(200, {**ROWS, "epoch": 435})],
        ),
        "state/watch": (
            store_call(lambda state: state.load_and_watch()),
            [reply(200, ROWS), reply(410), reply(200, ROWS), reply(200, EVENTS)],
        ),
        "cloud/catalogue": (
            cloud_call(lambda cloud: cloud.poll_catalogue()),
            [reply(200, CATALOGUE)],
        ),
        "cloud/list": (
            cloud(core_messages.ListInstances(5)),
            [reply(200, hosts_more), reply(200, HOSTS)],
        ),
        "cloud/list/429": (cloud(core_messages.ListInstances(5)), [reply(429)]),
        "cloud/list/garbled": (
            cloud(core_messages.ListInstances(5)),
            [reply(200, {"boxes": [{}]})],
        ),
        "cloud/rent/200": (cloud(RENT), [reply(200, {"boxes": ["n-1", "n-2"]})]),
        "cloud/rent/none": (cloud(RENT), [reply(503, {"error": "no capacity"})]),
        "cloud/rent/503": (cloud(RENT), [reply(503, {"error": "trouble"})]),
        "cloud/rent/400": (cloud(RENT), [reply(400)]),
        "cloud/return": (cloud(core_messages.ReturnInstances(5, ["n-1", "n-2"])), [reply(200)]),
        "worker/200": (call_worker, [reply(200, HEARTBEAT)]),
        "worker/409": (call_worker, [reply(409, HEARTBEAT)]),
        "worker/400": (call_worker, [reply(400)]),
        "peer/answer": (call_peer, [reply(200, [*old, 433])]),
        "peer/old-answer": (call_peer, [reply(200, old)]),
    }


def read_exchange(name: str, data: bytes) -> Any:
    """Make a call with these replies.

    Returns the addresses, the data sent, the resulting commands and the number of unused replies.
    """
    call, _ = exchanges()[name]
    client = ScriptedClient(list(decode(data)))
    commands: list[Command] = []

    async def run() -> None:
        endless = asyncio.Event()

        def put(command: Command) -> None:
            commands.append(command)
            if isinstance(
                command, core_messages.ApplyWatchEvents | core_messages.UpdateMachineTypes
            ):
                endless.set()  # these calls never end by themselves

        call_task = asyncio.ensure_future(call(client, put))
        endless_task = asyncio.ensure_future(endless.wait())
        await asyncio.wait([call_task, endless_task], return_when=asyncio.FIRST_COMPLETED)
        for task in (call_task, endless_task):
            task.cancel()
        await asyncio.gather(call_task, endless_task, return_exceptions=True)

    with asyncio.Runner(loop_factory=FrozenLoop) as runner:
        runner.run(run())
    sent = [data.decode("latin-1") for data in client.transport.sent]
    rows = [command_row(command) for command in commands]
    return plain([client.addrs, sent, rows, len(client.transport.replies)])


# --- messages between controllers -------------------------------------------------------------


def messages(machine: str, sender: str) -> list[list]:
    """Return one message of each kind and form, with fields that differ from the defaults."""
    tasks = [["job-1/0", 1, "running", "", False], ["job-2/0", 3, "exited", "stopped", True]]
    return [
        ["heard", [machine, "m8", "m9"]],
        ["view", 3, "m8", "10.1.0.8:9", "big", "b", True, 2, 5, 3, 30.5, tasks, [["img", 1.5]]],
        ["view", 3, "m9", "10.1.0.9:9", "big", "c", False, 1, 6, 3, None, [], []],
        ["heard", ["m8", "m9"]],
        ["reserve", machine, "job-2", 2],
        ["reserve", machine, "job-1", 1],
        ["reserve", machine, "job-1", 1, True],
        ["offer", "m8", "job-2", 28, 2, 3, sender],
        ["offer", "m9", "job-2", 29, 1, 3, sender],
        *(["decline", machine, number] for number in range(1, 9)),
        ["move", machine, "job-1/0", 1],
        ["drain", [machine, "m8"]],
        ["opening", "job-2", 2, 12_000, [machine, "m8"], 4.5],
        ["opening", "job-2", 2, 12_000, [], 0.0],
        ["gone", ["m8"]],
        ["borrow", sender, 3.5],
        ["lent", 0.75],
        ["unknown", 1],
    ]


def controller_state(core: Any) -> list:
    """Return the state of a controller that peer messages can change."""
    context = core.context
    machines = [
        [
            m.name,
            m.addr,
            m.type,
            m.zone,
            m.spot,
            m.agent_epoch,
            m.sequence,
            m.fencing_token,
            m.notice_at,
            m.tasks,
        ]
        + [m.manager, m.manager_term, m.last_heartbeat_at, m.images]
        for m in context.machines.values()
    ]
    tracked = [
        [name, [[r.job_id, r.count] for r in one.queue.values()], one.offers, one.stops]
        for name, one in core.agents.workers.tracked.items()
    ]
    offers = [
        [job_id, state.offers] for job_id, state in core.scheduler.binder.pending_jobs.items()
    ]
    return plain(
        [
            machines,
            context.draining,
            context.terminated,
            context.backfill.by_job,
            tracked,
            sorted(offers),
        ]
    )


def read_messages(data: bytes, to_owner: bool) -> Any:
    """Deliver messages one by one to a controller of a deployment with one machine.

    The receiver is the controller that manages the machine, or the owner of the team whose tasks
    wait. With a single machine, no set order matters.
    """
    sim = Simulation(2)
    sim.capacity = 1
    sim.run(12)
    sim.submit("job-1", spec("service", 1, "blue"))
    sim.run(4)
    sim.submit("job-2", spec("array", 5, "red", gpus=2.0))
    sim.run(3)
    (machine,) = [worker for worker in sim.workers.values() if worker.up and not worker.dead]
    label = sim.labels[machine.controller_index]
    if to_owner:
        (label,) = [
            name for name, core in sim.cores.items() if core and "red" in core.context.held_roles
        ]
    core = sim.cores[label]
    assert core is not None
    results = []
    previous = controller_state(core)
    for index, body in enumerate(decode(data)):
        now = sim.now + index * 0.05
        commands, sent = route_request(request_bytes("POST", "/peer", body), internal=True)
        effects = [outgoing_form(effect) for effect in core.step(now, commands)]
        current = controller_state(core)
        changes = [new for old, new in zip(previous, current, strict=True) if old != new]
        results.append([effects, changes, sent])
        previous = current
    return plain([label, results])


def request_bytes(method: str, path: str, data: bytes) -> bytes:
    """Return a request with an encoded body."""
    return f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def batches() -> dict[str, list[bytes]]:
    """Return requests of a peer with one message each, in the present and the earlier form."""
    bodies = [encode(["batch", "h9", [one], 5]) for one in messages("m0", "h9")]
    more = [encode(["batch", "h9", [["heard", []]]]), encode(["batch"]), b"\xff"]
    return {"messages/keeper": bodies + more, "messages/owner": bodies}


def quota_messages() -> dict[str, Any]:
    """Return the messages sent when write quota of the store is borrowed, lent and credited."""
    conf = settings_for("h0")
    core = Controller(conf, random.Random(1), 0)
    borrowed = [
        outgoing_form(effect) for effect in core.step(0.0, [core_messages.BorrowQuota(3.5)])
    ]

    async def lend() -> list:
        service = Service(conf)
        previous = service.store.write_tokens.level
        service.carry_out(core_messages.LendQuota("h1", 3.5))
        lent = previous - service.store.write_tokens.level
        service.carry_out(core_messages.CreditQuota(0.75))
        return [
            [encode_message(one) for one in service.peers["h1"].outbox],
            lent,
            previous - service.store.write_tokens.level,
        ]

    with asyncio.Runner(loop_factory=FrozenLoop) as runner:
        return {"lending/borrow": borrowed, "lending/lend": runner.run(lend())}


# --- settings ---------------------------------------------------------------------------------

SETTINGS = """
label = "host-0"
area = "arusha"
public_addr = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
unknown = 1
[[members]]
label = "host-1"
area = "moshi"
peer_addr = "10.0.0.2:8081"
[[members]]
label = "host-2"
peer_addr = "10.0.0.3:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
size = 4
zones = ["arusha", "dodoma"]
skew_ms = 25.0
[[facts.teams]]
name = "treasury-desk"
cpus = 1.0
cpus_max = 2.0
gpus = 16.0
gpus_max = 40.0
[[facts.teams]]
name = "audit-panel"
[[facts.objectives]]
kind = "wait"
class = "pledge-matcher"
within_s = 1.0
share = 0.85
[[facts.objectives]]
kind = "guarantee"
[facts.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 31.0
[facts.state]
rps = 250.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 48
[facts.state.next]
rps = 300.0
write_rps = 40.0
value_kb = 2.0
txn_ops = 24
[facts.cloud]
rps = 5.0
list_lag_s = 6.0
[facts.resources]
cores = 0.5
ram_mb = 146.0
fd_limit = 800
"""


def settings_files() -> dict[str, str]:
    """Return valid and invalid settings files, by name."""
    minimal = "\n".join(
        row
        for row in SETTINGS.replace("[facts.state.next]\n", "[more]\n").splitlines()
        if not row.startswith(("area", "size", "skew_ms", "cores", "ram_mb", "fd_limit"))
    )
    return {
        "settings/full": SETTINGS,
        "settings/least": minimal.replace("[facts.resources]", ""),
        "settings/bad-addr": SETTINGS.replace("10.2.0.1:2379", "x"),
        "settings/bad-limit": SETTINGS.replace("txn_ops = 24", "txn_ops = 1"),
        "settings/missing": SETTINGS.replace("lease_s = 10.0\n", ""),
        "settings/bad-toml": "label =",
        "spread/full": "[spread]\nopenings = yes\nfloor_share = 0.25\n",
        "spread/none": "",
        "spread/bad": "[spread]\nfloor_share = 0.75\n",
        "spread/unknown": "[spread]\nx = 1\n",
    }


def read_settings(name: str, data: bytes) -> Any:
    """Return the settings that a file gives, or the error text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file"
        path.write_bytes(data)
        try:
            if name.startswith("spread/"):
                return plain(settings.load_scheduling_options(str(path)))
            conf = settings.load(str(path))
        except settings.SettingsError as error:
            return str(error).replace(str(path), "FILE")
    return [plain(conf), conf.size, plain(conf.facts.store.strictest)]


# --- command line fields ---------------------------------------------------------------------


def cli_jobs() -> dict[str, Any]:
    """Return jobs in the fields of the command line, as submissions and back."""
    values: dict[str, Any] = {}
    for name, job in (("full", FULL), ("plain", PLAIN)):
        description = job_description(job)
        values[f"words/{name}"] = description
        values[f"words/{name}/submission"] = submission_body({"id": "job-1", **description})
    for state in ("queued", "running", "done", "aborted", "x"):
        body = {"id": "job-1", "status": state, "done": 3, "running": 4, "waits_on": ["job-2"]}
        values[f"words/state/{state}"] = [*parse_job_summary(body)]
    values["words/state/none"] = [*parse_job_summary(None)]
    return values


# --- all cases --------------------------------------------------------------------------------


def outputs() -> dict[str, bytes]:
    """Return the bytes that the present code writes: records, responses, command line fields."""
    values = {**stored_records(), **schedule_records(), **cli_jobs(), **quota_messages()}
    return {name: encode(value) for name, value in values.items()} | answers()


def inputs() -> dict[str, bytes]:
    """Return the bytes that other programs and earlier versions give to the present code."""
    rows = {**stored_records(), **schedule_records()}
    del rows["schedule/ids"]
    return (
        {f"record/{name}": encode(row) for name, row in rows.items()}
        | requests()
        | {f"exchange/{name}": encode(row[1]) for name, row in exchanges().items()}
        | {name: encode(bodies) for name, bodies in batches().items()}
        | {name: text.encode() for name, text in settings_files().items()}
    )


def read(name: str, data: bytes) -> Any:
    """Return the result of reading an input with the present code."""
    kind, _, case = name.partition("/")
    if kind == "record":
        return read_record(data)
    if kind == "request":
        return read_request(data)
    if kind == "exchange":
        return read_exchange(case, data)
    if kind == "messages":
        return read_messages(data, case == "owner")
    return read_settings(name, data)
