"""Messages, settings, HTTP and the command line at their edges."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from oakmux import constants, settings
from oakmux.cli import main
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.codec.store import PATH_LEASES, PATH_TRANSACTIONS
from oakmux.codec.users import parse_job, parse_job_id
from oakmux.codec.workers import parse_heartbeat
from oakmux.core.state.codecs import decode_block, encode_block
from oakmux.core.state.formats import tasks_per_block
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica
from oakmux.transport.http import ServerProtocol
from oakmux.transport.peer_client import PeerClient
from oakmux.transport.rate_limit import TokenBucket
from oakmux.transport.request_router import RequestRouter
from oakmux.transport.store_client import StoreClient
from tests.fakes import settings_for

GOOD = {
    "id": "job-000412",
    "lane": "train",
    "owner": "vision",
    "shape": "ensemble",
    "rank": "urgent",
    "pieces": 16,
    "vcpus": 8,
    "accelerators": 1.0,
    "memory_gb": 64.0,
    "bundle": "img",
    "size_gb": 6.2,
    "flavours": ["g8"],
    "site": None,
    "together": True,
    "spread": False,
    "loaner": True,
    "guess_s": 240.0,
    "save_every_s": 30.0,
    "save_cost_s": 4.0,
    "due_s": 900.0,
    "colour": "unknown fields are ignored",
}
CONFIG = """
label = "h0"
area = "a"
public_addr = "127.0.0.1:8080"
internal_addr = "127.0.0.1:8081"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
zones = ["a"]
[[facts.teams]]
name = "red"
gpus_max = 4
[facts.workers]
report_s = 1
lease_s = 10
gang_wait_s = 30
gang_peer_s = 8
cancel_s = 30
[facts.state]
rps = 100
write_rps = 20
value_kb = 8
txn_ops = 12
[facts.cloud]
rps = 5
list_lag_s = 5
"""


def test_a_good_job_is_understood():
    job = parse_job(GOOD)
    assert (job.kind, job.priority, job.tasks, job.cpus, job.types) == ("gang", 2, 16, 8.0, ["g8"])
    assert [
        parse_job({**GOOD, **more}).waits_on
        for more in (
            {},
            {"waits_on": None},
            {"waits_on": []},
            {"waits_on": ["job-2", "job-1", "job-2"]},
        )
    ] == [(), (), (), ("job-2", "job-1")]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("pieces", 0),
        ("pieces", 100_001),
        ("pieces", 1.5),
        ("pieces", True),
        ("vcpus", -1.0),
        ("vcpus", float("nan")),
        ("memory_gb", float("inf")),
        ("vcpus", "8"),
        ("shape", "blob"),
        ("rank", "first"),
        ("flavours", "g8"),
        ("together", 1),
        ("owner", ""),
        ("due_s", -1),
        ("lane", None),
        ("waits_on", "job-1"),
        ("waits_on", ["job-x"]),
        ("waits_on", [7]),
        ("waits_on", {"job-1": 1}),
    ],
)
def test_a_bad_field_is_malformed(field, value):
    with pytest.raises(Malformed):
        parse_job({**GOOD, field: value})


@pytest.mark.parametrize("job_id", ["job-", "job-1x", "JOB-1", "job-1/2", 7, None, "job-1\n"])
def test_a_bad_id_is_malformed(job_id):
    with pytest.raises(Malformed):
        parse_job_id({**GOOD, "id": job_id})


def test_a_bad_report_is_malformed():
    good = {
        "box": "n-1",
        "addr": "10.1.0.1:9000",
        "flavour": "g8",
        "site": "a",
        "loaner": True,
        "tenure": 1,
        "tick": 88,
        "baton": 41,
        "warning_s": None,
        "pieces": [{"piece": "job-1/3", "try": 2, "status": "ended", "cause": "done"}],
    }
    assert parse_heartbeat(good).tasks == {("job-1/3", 2): ("exited", "done", False)}
    for field, value in (
        ("tenure", -1),
        ("pieces", [{}]),
        ("box", ""),
        ("tick", "1"),
        ("pieces", [{"piece": "x", "try": 1, "status": "running"}]),
    ):
        with pytest.raises(Malformed):
            parse_heartbeat({**good, field: value})


class FakeTransport:
    def __init__(self):
        self.data, self.closed = b"", False

    def write(self, data):
        self.data += data

    def close(self):
        self.closed = True

    abort = close


def talk(data: bytes):
    """Send bytes to the front and return (response, commands, whether it was closed)."""
    commands = []
    front = RequestRouter(lambda command: not commands.append(command))
    proto = ServerProtocol(front.public, set(), 10)
    transport = FakeTransport()
    proto.connection_made(transport)
    for byte in range(0, len(data), 50_000):
        proto.data_received(data[byte : byte + 50_000])
    return transport.data, commands, transport.closed


def post(path: str, body: bytes, method: str = "POST") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"garbage\r\n\r\n", 400),
        (post("/nowhere", b""), 404),
        (post("/api/jobs", b"", "PUT"), 405),
        (post("/api/jobs", b"\xff\xff"), 400),
        (post("/api/jobs", encode([1])), 400),
        (post("/agent/beat", encode({})), 400),
        (post("/api/jobs", encode("x" * 70_000)), 400),
        (post("/api/jobs/job-1/cancel", b"", "GET"), 405),
    ],
)
def test_bad_requests_are_answered_and_reach_nobody(data, status):
    answer, commands, closed = talk(data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert commands == []
    assert closed == data.startswith(b"garbage")


def test_good_requests_become_commands():
    _, commands, _ = talk(post("/api/jobs", encode(GOOD)))
    assert commands[0][0] == "submit" and commands[0][2] == "job-000412"
    _, commands, _ = talk(post("/api/jobs/job-7/cancel", b""))
    assert commands[0][0] == "cancel" and commands[0][2] == "job-7"
    # A known job is answered 200 whatever else the body says, so the core must see the id.
    _, commands, _ = talk(post("/api/jobs", encode({"id": "job-5"})))
    assert commands[0][2:4] == ("job-5", None) and commands[0][4]


def test_settings_name_the_field_that_is_wrong(tmp_path):
    file = tmp_path / "c.toml"
    file.write_text(CONFIG)
    assert settings.load(str(file)).facts.teams[0].gpus_max == 4.0
    for old, new, field in (
        ("rps = 100", "rps = -1", "facts.state.rps"),
        ("[facts]", "[facts]\nsize = -1", "facts.size"),
        ("gpus_max = 4", "gpus_max = -4", "facts.teams.*gpus_max"),
        ("127.0.0.1:2", "nowhere", "external.state"),
        ("lease_s = 10", "", "lease_s"),
        ("[facts]", "[facts", "TOML"),
    ):
        file.write_text(CONFIG.replace(old, new, 1))
        with pytest.raises(settings.SettingsError, match=field):
            settings.load(str(file))


def test_the_smaller_of_present_and_coming_limits_counts(tmp_path):
    file = tmp_path / "c.toml"
    coming = "\n[facts.state.next]\nwrite_rps = 1e6\nvalue_kb = 2.0\ntxn_ops = 4\n"
    file.write_text(CONFIG + coming)
    present = settings.load(str(file)).facts.store
    least = present.strictest
    assert (least.rps, least.write_rps, least.value_kb, least.txn_ops) == (
        present.rps,
        present.write_rps,
        2.0,
        4,
    )
    for old, new, field in (
        ("value_kb = 2.0", "value_kb = 0", "facts.state.next.value_kb"),
        ("txn_ops = 4", "txn_ops = 1", "txn_ops"),
        ("txn_ops = 4", "txn_ops = 'x'", "txn_ops"),
    ):
        file.write_text(CONFIG + coming.replace(old, new))
        with pytest.raises(settings.SettingsError, match=field):
            settings.load(str(file))


def test_bad_settings_end_the_process_with_one_line_and_2(tmp_path):
    file = tmp_path / "c.toml"
    file.write_text(CONFIG.replace('zones = ["a"]', "zones = []"))
    done = subprocess.run(
        [sys.executable, "run.py", "--config", str(file)],
        text=True,
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "facts.zones" in done.stderr


def test_command_line(tmp_path, monkeypatch):
    asked, bodies = [], []

    def answer(server, method, path, body=None):
        asked.append((server, method, path))
        if body is not None:
            bodies.append(body)
        if server == "127.0.0.1:1":
            raise OSError("refused")
        if path == "/healthz":
            return 200, {"label": "h0", "term": 3, "machines": 2, "teams": ["red"]}
        if path.endswith("job-404"):
            return 404, {"error": "unknown job"}
        if path.endswith("job-7"):
            return 200, {
                "id": "job-7",
                "status": "queued",
                "done": 0,
                "running": 0,
                "waits_on": ["job-1", "job-5"],
            }
        return 200, {"id": "job-1", "status": "done", "done": 2, "running": 0}

    monkeypatch.setattr("oakmux.cli.client.request_one", answer)
    ini = tmp_path / "o.ini"
    ini.write_text("[oakmux]\nservers = 127.0.0.1:1, 127.0.0.1:2\n")
    job = tmp_path / "job.toml"
    job.write_text('id = "job-1"\nteam = "red"\ntasks = 2\n')
    run = CliRunner().invoke
    base = ["--ini", str(ini)]
    result = run(main, [*base, "submit", "--file", str(job), "--gpus", "1"])
    assert result.exit_code == 0 and "job-1: done" in result.output
    assert [a[0] for a in asked] == ["127.0.0.1:1", "127.0.0.1:2"]  # the second one answered
    run(main, [*base, "submit", "--file", str(job), "--waits-on", "job-5", "--waits-on", "job-6"])
    assert bodies[-1]["waits_on"] == ["job-5", "job-6"]
    waits = run(main, [*base, "status", "job-7"]).output
    assert waits == "job-7: queued (done 0, running 0), waits on job-1, job-5\n"
    assert json.loads(run(main, [*base, "--json", "status", "job-1"]).output)["done"] == 2
    assert run(main, [*base, "wait", "job-1"]).exit_code == 0
    assert run(main, [*base, "status", "job-404"]).exit_code == 1
    assert run(main, [*base, "status", "nonsense"]).exit_code == 2
    assert run(main, [*base, "submit", "--id", "job-2"]).exit_code == 2
    assert "NOT READY" in run(main, [*base, "controllers"]).output
    assert run(main, ["--server", "nowhere", "controllers"]).exit_code == 2


def test_records_survive_their_encoding_and_keep_the_value_limit():
    zone = "z" * 40
    per = tasks_per_block(8.0)
    bound = {
        i: Binding(2**40, f"n-{2**40}", 2**20, 2**40, zone) for i in range(100_000 - per, 100_000)
    }
    block = TaskBlock(9, 7, (1 << 63) | 5, bound)
    value = decode(encode(encode_block(block, 1)))
    again = decode_block(value, 9)
    assert (again.last, again.done, again.bound) == (block.last, block.done, block.bound)
    assert len(json.dumps(value)) <= 8 * 1024


def test_replica_drops_older_news():
    replica = Replica()
    bound = encode_block(TaskBlock(0, 1, 0, {0: Binding(1, "m", 1, 1, "a")}), 1)
    replica.apply(job_key("job-1"), ["queued", "red", None, 1, 2], 5)
    replica.apply(block_key("job-1", 0), bound, 6)
    replica.apply(block_key("job-1", 0), encode_block(TaskBlock(0, 1, 0, {}), 1), 4)
    assert replica.bindings.by_machine == {"m": {("job-1", 0): Binding(1, "m", 1, 1, "a")}}
    replica.apply(block_key("job-1", 0), None, 8)
    # A late answer must not bring a deleted chunk back.
    replica.apply(block_key("job-1", 0), bound, 7)
    assert replica.bindings.by_machine == {}
    replica.apply(job_key("job-1"), ["done", "red", None, 1, 2], 9)
    replica.apply(job_key("job-1"), ["queued", "red", None, 1, 2], 5)
    assert replica.jobs["job-1"].state == "done"


def test_bucket_keeps_the_rate():
    bucket, now, sent = TokenBucket(10.0), 0.0, 0
    while now < 10.0:
        if bucket.wait(now, 1) <= 0:
            bucket.take(1)
            sent += 1
        else:
            now += 0.01
    assert 100 <= sent <= 111


def test_failing_command_does_not_end_the_core():
    from tests.fakes import Simulation

    sim = Simulation()
    sim.run(5)
    sim.command("h0", ("report", None, None))
    sim.command("h0", ("peer", lambda *a: None, "h1", [["nonsense"], [], ["view", 1]]))
    sim.run(5)
    assert sim.cores["h0"].context.term


def test_constants_are_used():
    source = "".join(p.read_text() for p in Path("oakmux").rglob("*.py"))
    unused = [n for n in dir(constants) if n.isupper() and f"constants.{n}" not in source]
    assert unused == []


def with_state(play):
    """Let a story play with a state client whose requests are only noted."""

    async def run():
        sent, put = [], []
        state = StoreClient(settings_for("h0", 3), put.append)

        async def request(_, method, path, *rest):
            sent.append(path)
            return 200, encode({"epoch": 1})

        state.client.request = request
        tasks = [asyncio.create_task(state.pump(line)) for line in (state.reads, state.writes)]
        await play(state, sent, put)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


async def turns(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


def test_a_renewal_does_not_wait_for_a_change_that_lacks_its_share():
    # One line for all once let leases end behind a change that waited seconds for its rate.
    async def play(state, sent, put):
        state.changes.level = -1e6
        state.changes.at = asyncio.get_running_loop().time()
        state.submit("txn", 1, [], [("k", 1, None)], 1)
        await turns()
        state.submit("renew", 2, 7)
        await turns()
        assert sent == [f"{PATH_LEASES}/7/renew"]

    with_state(play)


def test_a_users_change_goes_ahead_of_the_share_but_not_for_ever():
    # Behind an owner's transaction of several changes, submissions waited up to two seconds.
    async def play(state, sent, put):
        state.changes.at = asyncio.get_running_loop().time()
        state.ahead.reset(state.changes.at - 2 * constants.USER_ADVANCE_GROWTH_S)
        state.changes.level = -state.changes.rate
        state.submit("txn", 1, [], [("k", 1, None)], 1)
        state.submit("txn", 2, [], [("user", 1, None)], 0)
        await turns()
        assert sent == [PATH_TRANSACTIONS] and state.changes.level < -state.changes.rate
        state.changes.level = -3 * state.changes.rate
        state.submit("txn", 3, [], [("user", 1, None)], 0)
        await turns()
        assert len(sent) == 1

    with_state(play)


def test_controllers_that_start_together_keep_within_the_burst_of_the_state_service():
    # Each went two seconds ahead of its share at once: thirty to forty submissions of a cold
    # start were refused 429. The service allows one second's worth of changes.
    async def play(state, sent, put):
        limit = settings_for("h0", 3).facts.store.write_rps
        for number in range(int(limit)):
            state.submit("txn", number, [], [("user", 1, None)], 0)
        await turns(int(limit))
        assert len(sent) > 0.2 * limit and 3 * len(sent) <= limit
        # The others come in time or hear at once that they can't be served.
        for number in range(int(4 * limit)):
            state.submit("txn", number, [], [("user", 1, None)], 0)
        assert sum(row[0] == "done" and row[2] == 503 for row in put) > 2 * limit
        waiting = len(state.writes.heap)
        assert waiting <= state.changes.rate * (constants.STORE_QUEUE_TIMEOUT_S + 1)

    with_state(play)


def test_a_refusal_takes_back_how_far_users_may_go_ahead():
    async def play(state, sent, put):
        now = asyncio.get_running_loop().time()
        state.ahead.reset(now - 2 * constants.USER_ADVANCE_GROWTH_S)
        assert state.ahead.allowed(now) == state.changes.rate * constants.USER_ADVANCE_S

        async def outage(*_):
            return 503, b""

        state.client.request = outage
        state.submit("txn", 1, [], [("k", 1, None)], 1)
        await turns()
        assert ("done", 1, 503, None) in put
        assert state.ahead.allowed(asyncio.get_running_loop().time()) < state.changes.rate

    with_state(play)


def test_changes_are_lent_once_and_only_by_who_has_them_to_spare():
    async def play(state, sent, put):
        state.changes.wait(asyncio.get_running_loop().time(), 0)
        before = state.changes.level
        given = state.lend(5.0)
        assert given == 5.0 and state.changes.level == pytest.approx(before - 5.0)
        assert state.lend(1e9) < before  # never more than there is
        state.changes.level = -1e6
        state.submit("txn", 1, [], [("k", 1, None)], 1)
        await turns()
        assert state.lend(1.0) == 0.0  # it waits itself
        assert put[0][0] == "short" and not sent
        state.credit(2e6)
        await turns()
        assert sent == [PATH_TRANSACTIONS]

    with_state(play)


def test_who_may_do_what_is_written_before_users_changes():
    # Roles of a controller that fell stayed free behind a flood of submissions to its heirs.
    async def play(state, sent, put):
        state.changes.at = asyncio.get_running_loop().time()
        state.changes.level = 0.0
        for number in range(50):
            state.submit("txn", number, [], [("user", 1, None)], 0)
        state.submit("txn", 99, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        assert state.writes.heap[0][4][1] == 99
        state.changes.level = -1e6  # the share is spent for a long time
        state.submit("txn", 100, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        assert not any(row[1] == 100 for row in put)  # refused is what users are, not this

    with_state(play)


def test_news_of_machines_is_gathered_unless_something_urgent_goes_to_that_peer():
    # Each changed report was a request to six peers by itself.
    sent: list[tuple[float, list]] = []

    async def story() -> None:
        loop = asyncio.get_running_loop()
        peer = PeerClient("h0", "h1", "10.0.0.2:81", lambda command: None, lambda: 7)

        async def request(addr, method, path, body, timeout, most):
            sent.append((loop.time() - start, [m[0] for m in decode(body)[2]]))
            return 200, encode(["peer", "h1", 1, 0.0, []])

        peer.client.request = request  # type: ignore[method-assign]
        start = loop.time()
        pump = asyncio.ensure_future(peer.pump())
        for name in ("m1", "m2"):
            peer.send(("view", 1, name))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.4)
        peer.send(("view", 1, "m1"))
        await asyncio.sleep(0.02)
        peer.send(("offer", "m1"))
        await asyncio.sleep(0.4)
        pump.cancel()

    asyncio.run(story())
    assert [names for _, names in sent] == [["view", "view"], ["view", "offer"]]
    assert sent[0][0] >= constants.PEER_UPDATE_WINDOW_S
