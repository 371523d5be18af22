"""Listening, counting and logging of the stand-ins."""

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

# Bytes of a body that a stand-in takes; connections that one listener takes.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 16_000

log = logging.getLogger("scale")

Handler = Callable[[Request], None]


class CountingProtocol(ServerProtocol):
    """A connection whose requests and bytes are counted."""

    def __init__(self, handler: Handler, live: set[ServerProtocol], counts: Counter[str]) -> None:
        super().__init__(handler, live, MAX_CONNECTIONS, MAX_BODY_BYTES)
        self.counts = counts

    def data_received(self, data: bytes) -> None:
        """Count what came in."""
        self.counts["bytes_in"] += len(data)
        super().data_received(data)

    def send(self, request: Request, status: int, body: bytes, retry_after: int | None) -> None:
        """Count what goes out, without the head."""
        self.counts["requests"] += 1
        self.counts["bytes_out"] += len(body)
        super().send(request, status, body, retry_after)


async def listen(address: str, handler: Handler, counts: Counter[str]) -> asyncio.Server:
    """Serve a loopback address."""
    host, port = settings.split_addr(address)
    if not host.startswith("127."):
        raise ValueError(f"not a loopback address: {address}")
    live: set[ServerProtocol] = set()
    return await asyncio.get_running_loop().create_server(
        lambda: CountingProtocol(handler, live, counts), host, port, backlog=512
    )


def send_response(request: Request, status: int, value: Any) -> None:
    """Answer with a CBOR body."""
    request.respond(status, encode(value))


def write_summary(folder: str, name: str, summary: dict[str, Any]) -> None:
    """Write what a stand-in measured, for the run's report."""
    (Path(folder) / f"{name}.summary.json").write_text(json.dumps(summary))


def run_child(main: Callable[[asyncio.Event], Coroutine[Any, Any, None]]) -> None:
    """Run a stand-in until it is told to end (SIGTERM), or its bound of time is over."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.WARNING, format="%(levelname)s %(name)s %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run's own process ends its children

    async def run() -> None:
        stop_requested = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
        await main(stop_requested)

    asyncio.run(run())


class EventLog:
    """Appends events as lines of JSON; the clock is the machine's steady one, alike for all."""

    def __init__(self, folder: str, name: str) -> None:
        self.file = (Path(folder) / f"{name}.events").open("w", encoding="utf-8")
        self.lines: list[str] = []

    def add(self, *event: Any) -> None:
        """Note an event at the present time."""
        self.lines.append(json.dumps((round(time.monotonic(), 4), *event)))

    def flush(self) -> None:
        """Write what was noted."""
        if self.lines:
            self.file.write("\n".join(self.lines) + "\n")
            self.file.flush()
            self.lines.clear()
