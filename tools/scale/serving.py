"""HTTP servers, counters, summaries and event logs of the stand-ins."""

import asyncio
import json
import logging
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from oakmux import settings
from oakmux.codec.cbor import encode
from oakmux.transport.http_server import Request, ServerProtocol

# Limits of a request body (bytes) and of the connections of one listener.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 16_000

log = logging.getLogger("scale")

Handler = Callable[[Request], None]


class CountingProtocol(ServerProtocol):
    """A connection that counts its requests and bytes."""

    def __init__(self, handler: Handler, live: set[ServerProtocol], counts: Counter[str]) -> None:
        super().__init__(handler, live, MAX_CONNECTIONS, MAX_BODY_BYTES)
        self.counts = counts

    def data_received(self, data: bytes) -> None:
        """Count the received bytes, headers included."""
        self.counts["bytes_in"] += len(data)
        super().data_received(data)

    def send(self, request: Request, status: int, body: bytes, retry_after: int | None) -> None:
        """Count the request and the bytes of the answer's body, without headers."""
        self.counts["requests"] += 1
        self.counts["bytes_out"] += len(body)
        super().send(request, status, body, retry_after)


async def listen(address: str, handler: Handler, counts: Counter[str]) -> asyncio.Server:
    """Serve a loopback address; raise ValueError for any other address."""
    host, port = settings.split_addr(address)
    if not host.startswith("127."):
        raise ValueError(f"not a loopback address: {address}")
    live: set[ServerProtocol] = set()
    return await asyncio.get_running_loop().create_server(
        lambda: CountingProtocol(handler, live, counts), host, port, backlog=512
    )


def send_response(request: Request, status: int, value: Any) -> None:
    """Answer a request with a CBOR body."""
    request.respond(status, encode(value))


def write_summary(folder: str, name: str, summary: dict[str, Any]) -> None:
    """Write a stand-in's measurements for the run's report."""
    (Path(folder) / f"{name}.summary.json").write_text(json.dumps(summary))


def run_child(main: Callable[[asyncio.Event], Coroutine[Any, Any, None]]) -> None:
    """Run a stand-in until it receives SIGTERM."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.WARNING, format="%(levelname)s %(name)s %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process stops its children

    async def run() -> None:
        stop_requested = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
        await main(stop_requested)

    asyncio.run(run())


class EventLog:
    """Writes events as lines of JSON; all processes use the machine's monotonic clock."""

    def __init__(self, folder: str, name: str) -> None:
        self.file = (Path(folder) / f"{name}.events").open("w", encoding="utf-8")
        self.lines: list[str] = []

    def add(self, *event: Any) -> None:
        """Buffer an event with the current time."""
        self.lines.append(json.dumps((round(time.monotonic(), 4), *event)))

    def flush(self) -> None:
        """Write the buffered events."""
        if self.lines:
            self.file.write("\n".join(self.lines) + "\n")
            self.file.flush()
            self.lines.clear()
