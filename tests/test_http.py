"""The HTTP server: malformed requests, and how requests become commands."""

import pytest

from oakmux.codec.cbor import encode
from oakmux.core import messages
from oakmux.transport.http_server import ServerProtocol
from oakmux.transport.request_router import RequestRouter
from tests.helpers.samples import SUBMISSION


class FakeTransport:
    def __init__(self):
        self.data, self.closed = b"", False

    def write(self, data):
        self.data += data

    def close(self):
        self.closed = True

    abort = close


def send_bytes(data: bytes):
    """Send bytes to the public endpoint; return (response, commands, whether it closed)."""
    commands = []
    router = RequestRouter(lambda command: not commands.append(command))
    protocol = ServerProtocol(router.handle_public, set(), 10)
    transport = FakeTransport()
    protocol.connection_made(transport)
    for byte in range(0, len(data), 50_000):
        protocol.data_received(data[byte : byte + 50_000])
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
def test_invalid_requests_are_answered_and_not_passed_on(data, status):
    answer, commands, closed = send_bytes(data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert commands == []
    assert closed == data.startswith(b"garbage")


def test_valid_requests_become_commands():
    _, commands, _ = send_bytes(post("/api/jobs", encode(SUBMISSION)))
    assert isinstance(commands[0], messages.SubmitJob)
    assert commands[0].job_id == "job-000412"
    _, commands, _ = send_bytes(post("/api/jobs/job-7/cancel", b""))
    assert isinstance(commands[0], messages.CancelJob)
    assert commands[0].job_id == "job-7"
    # A known job is answered 200 whatever else the body contains, so the core needs the id.
    _, commands, _ = send_bytes(post("/api/jobs", encode({"id": "job-5"})))
    assert (commands[0].job_id, commands[0].spec) == ("job-5", None)
    assert commands[0].malformed
