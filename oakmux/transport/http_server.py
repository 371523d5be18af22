"""HTTP/1.1 server on asyncio protocols, parsed by httptools."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import httptools

from oakmux import constants

log = logging.getLogger("oakmux.http")

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def render(status: int, body: bytes, retry_after: int | None = None, close: bool = False) -> bytes:
    """Return the bytes of a response."""
    head = [
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
        "Content-Type: application/cbor",
        f"Content-Length: {len(body)}",
    ]
    if retry_after is not None:
        head.append(f"Retry-After: {retry_after}")
    if close:
        head.append("Connection: close")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Request:
    """One request of a client; respond() sends its response once."""

    __slots__ = ("_conn", "body", "method", "path", "too_large")

    def __init__(
        self, method: str, path: str, body: bytes, too_large: bool, conn: "ServerProtocol"
    ) -> None:
        self.method = method
        self.path = path
        self.body = body
        self.too_large = too_large
        self._conn: ServerProtocol | None = conn

    def respond(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Send the response; a second one, or one on a closed connection, is dropped."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.send(self, status, body, retry_after)


class ServerProtocol(asyncio.Protocol):
    """A connection that a client opened."""

    def __init__(
        self,
        handler: Callable[[Request], None],
        open_connections: set["ServerProtocol"],
        max_connections: int,
        max_body: int = constants.MAX_BODY_BYTES,
    ) -> None:
        self.handler = handler
        self.max_body = max_body
        self.open_connections = open_connections
        self.max_connections = max_connections
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.chunks: list[bytes] = []
        self.size = 0
        self.current: Request | None = None
        self.keep_alive = True

    def connection_made(self, transport: Any) -> None:
        """Accept the connection unless the limit is reached."""
        self.transport = transport
        if len(self.open_connections) >= self.max_connections:
            transport.abort()
            return
        self.open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self.open_connections.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Feed the parser; malformed HTTP gets status 400 and the connection is closed."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport is not None:
                self.transport.write(render(400, b"", close=True))
                self.transport.close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.url, self.chunks, self.size = b"", [], 0

    def on_url(self, url: bytes) -> None:
        """Collect the path."""
        self.url += url
        if len(self.url) > constants.MAX_BODY_BYTES:
            raise httptools.HttpParserError("path too long")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self.size += len(body)
        if self.size <= self.max_body:
            self.chunks.append(body)
        else:
            self.chunks.clear()

    def on_message_complete(self) -> None:
        """Pass a complete request to the handler."""
        if self.current is not None:  # pipelining is not allowed
            raise httptools.HttpParserError("pipelined request")
        self.keep_alive = self.parser.should_keep_alive()
        request = self.request(
            self.parser.get_method().decode("ascii", "replace"),
            self.url.decode("latin-1"),
            b"".join(self.chunks),
            self.size > self.max_body,
        )
        self.chunks = []
        self.current = request
        try:
            self.handler(request)
        except Exception:  # one request must not end the process
            log.exception("event=request_failed path=%s", request.path)
            request.respond(500, b"")

    def request(self, method: str, path: str, body: bytes, too_large: bool) -> Request:
        """Return the request object for the handler."""
        return Request(method, path, body, too_large, self)

    def send(self, request: Request, status: int, body: bytes, retry_after: int | None) -> None:
        """Write the response to the current request."""
        if self.transport is None or self.current is not request:
            return
        self.current = None
        self.transport.write(render(status, body, retry_after, not self.keep_alive))
        if not self.keep_alive:
            self.transport.close()
