"""HTTP/1.1 with CBOR bodies, server and client, as PROTOCOL describes."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import cbor2
import httptools


def json_bytes(value: Any) -> int:
    """Return the size of a value in its JSON form, in which the pages count size limits."""
    return len(json.dumps(value, separators=(",", ":")).encode())


class Exchange:
    """One request that a server received, and its answer."""

    def __init__(self, conn: "ServerConnection", method: str, url: str, body: bytes) -> None:
        self.conn = conn
        self.method = method
        parts = urlsplit(url)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.body: Any = cbor2.loads(body) if body else None

    def answer(self, status: int, value: Any = None) -> None:
        """Send the answer; one on a closed connection is dropped."""
        data = b"" if value is None else cbor2.dumps(value)
        head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        if self.conn.transport is not None:
            self.conn.transport.write(head + data)


class ServerConnection(asyncio.Protocol):
    """A connection that a client opened."""

    def __init__(self, handler: Callable[[Exchange], None]) -> None:
        self.handler = handler
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.chunks: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.url, self.chunks = b"", []

    def on_url(self, url: bytes) -> None:
        """Collect the path."""
        self.url += url

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Pass the request on."""
        method = self.parser.get_method().decode()
        self.handler(Exchange(self, method, self.url.decode(), b"".join(self.chunks)))


async def serve(port: int, handler: Callable[[Exchange], None]) -> None:
    """Listen on a loopback port."""
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: ServerConnection(handler), "127.0.0.1", port, backlog=1024)


class ClientConnection(asyncio.Protocol):
    """A connection to a server; carries one request at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.parser: Any = None
        self.waiter: asyncio.Future[tuple[int, Any]] | None = None
        self.chunks: list[bytes] = []
        self.open = True

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self.open = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ConnectionError("closed"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the request in flight."""
        if self.waiter is not None and not self.waiter.done():
            body = b"".join(self.chunks)
            value = cbor2.loads(body) if body else None
            self.waiter.set_result((self.parser.get_status_code(), value))
        if not self.parser.should_keep_alive():
            self.open = False

    def send(self, method: str, path: str, body: Any) -> "asyncio.Future[tuple[int, Any]]":
        """Send a request; the future gives (status, body)."""
        data = b"" if body is None else cbor2.dumps(body)
        self.parser = httptools.HttpResponseParser(self)
        self.chunks = []
        self.waiter = asyncio.get_running_loop().create_future()
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        self.transport.write(head.encode() + data)
        return self.waiter


class Client:
    """A client with one persistent connection to one address at a time."""

    def __init__(self) -> None:
        self.connection: ClientConnection | None = None
        self.port = 0

    async def request(
        self, port: int, method: str, path: str, body: Any, timeout: float, connect_s: float = 0.5
    ) -> tuple[int, Any]:
        """Return (status, body); status 0 without an answer, -1 without a connection."""
        loop = asyncio.get_running_loop()
        connection = self.connection
        if connection is None or not connection.open or self.port != port:
            self.close()
            try:
                async with asyncio.timeout(connect_s):
                    _, connection = await loop.create_connection(
                        ClientConnection, "127.0.0.1", port
                    )
            except (OSError, TimeoutError):
                return -1, None
            self.connection, self.port = connection, port
        try:
            async with asyncio.timeout(timeout):
                return await connection.send(method, path, body)
        except (ConnectionError, TimeoutError):
            self.close()
            return 0, None

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.open = False
            self.connection.transport.abort()
            self.connection = None
