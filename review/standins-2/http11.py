"""HTTP/1.1 over asyncio streams for the stand-ins: a server, and a client with one connection."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2

LOOPBACK = "127.0.0.1"


class Reply:
    """An answer to send; `None` in place of a Reply means: close the connection unanswered."""

    def __init__(self, status: int, body: Any = None) -> None:
        self.status = status
        self.data = b"" if body is None else cbor2.dumps(body)


Handler = Callable[[str, str, Any], Awaitable[Reply | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """Return the first line and the body of the next message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], body


def decoded(body: bytes) -> Any:
    """Return the value of a body, or None if it is empty."""
    return cbor2.loads(body) if body else None


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve on a loopback port; return the server and its port."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(" ", 2)
                reply = await handler(method, path, decoded(message[1]))
                if reply is None:
                    break
                head = f"HTTP/1.1 {reply.status} -\r\nContent-Length: {len(reply.data)}\r\n\r\n"
                writer.write(head.encode() + reply.data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, LOOPBACK, port)
    return server, server.sockets[0].getsockname()[1]


class NoAnswerError(Exception):
    """A request got no usable answer."""


class Connection:
    """A client's persistent connection to one address; opened when needed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def request(
        self, method: str, path: str, body: Any = None, timeout: float = 4.0
    ) -> tuple[int, Any]:
        """Return (status, decoded body); raises NoAnswerError and closes the connection."""
        data = b"" if body is None else cbor2.dumps(body)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            async with asyncio.timeout(timeout):
                if self.streams is None or self.streams[1].is_closing():
                    self.streams = await asyncio.open_connection(LOOPBACK, self.port)
                reader, writer = self.streams
                writer.write(head.encode() + data)
                message = await read_message(reader)
        except (OSError, TimeoutError):
            message = None
        if message is None:
            self.close()
            raise NoAnswerError(f"{method} {path}")
        status = int(message[0].split(" ")[1])
        return status, decoded(message[1])
