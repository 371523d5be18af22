"""HTTP/1.1 on asyncio protocols, both sides, parsed by httptools."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import httptools

from oakmux import constants, settings

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


class RequestNotSent(Exception):
    """The request was certainly not sent: no connection came about."""


class NoResponse(Exception):
    """The request may have been or may yet be carried out."""


def render(status: int, body: bytes, retry_after: int | None = None, close: bool = False) -> bytes:
    """Return a whole response."""
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
    """One request of a client; respond() answers it once."""

    __slots__ = ("method", "path", "body", "too_large", "_conn")

    def __init__(
        self, method: str, path: str, body: bytes, too_large: bool, conn: "ServerProtocol"
    ) -> None:
        self.method = method
        self.path = path
        self.body = body
        self.too_large = too_large
        self._conn: ServerProtocol | None = conn

    def respond(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Answer; a second answer and one to a closed connection are dropped."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.send(self, status, body, retry_after)


class ServerProtocol(asyncio.Protocol):
    """A connection that somebody opened to us."""

    def __init__(
        self,
        handler: Callable[[Request], None],
        live: set["ServerProtocol"],
        limit: int,
        max_body: int = constants.MAX_BODY_BYTES,
    ) -> None:
        self.handler = handler
        self.max_body = max_body
        self.live = live
        self.limit = limit
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.chunks: list[bytes] = []
        self.size = 0
        self.current: Request | None = None
        self.keep = True

    def connection_made(self, transport: Any) -> None:
        """Take the connection unless there are too many."""
        self.transport = transport
        if len(self.live) >= self.limit:
            transport.abort()
            return
        self.live.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.live.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bad HTTP is answered 400 and closed."""
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
        """Hand a whole request over."""
        if self.current is not None:  # pipelining is not allowed
            raise httptools.HttpParserError("pipelined")
        self.keep = self.parser.should_keep_alive()
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
        """Return what the handler gets."""
        return Request(method, path, body, too_large, self)

    def send(self, request: Request, status: int, body: bytes, retry_after: int | None) -> None:
        """Write the answer of the current request."""
        if self.transport is None or self.current is not request:
            return
        self.current = None
        self.transport.write(render(status, body, retry_after, not self.keep))
        if not self.keep:
            self.transport.close()


class ClientProtocol(asyncio.Protocol):
    """A connection that we opened."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.transport: Any = None
        self.parser: Any = None
        self.waiter: asyncio.Future | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.usable = True

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits."""
        self.usable = False
        self._fail("closed")

    def _fail(self, why: str) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(NoResponse(why))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, AttributeError):
            self.usable = False
            self._fail("bad HTTP")
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self.size += len(body)
        if self.size > self.limit:
            raise httptools.HttpParserError("body too large")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer over."""
        if self.waiter is None or self.waiter.done():
            self.usable = False
            return
        self.usable = self.usable and self.parser.should_keep_alive()
        self.waiter.set_result((self.parser.get_status_code(), b"".join(self.chunks)))

    def start(self, data: bytes) -> asyncio.Future:
        """Send one request; the future brings (status, body)."""
        self.parser = httptools.HttpResponseParser(self)
        self.chunks, self.size = [], 0
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiter


class Client:
    """Requests to other processes over reused connections, bounded in number."""

    def __init__(self, max_connections: int) -> None:
        self.idle: dict[str, list[ClientProtocol]] = {}
        self.slots = asyncio.Semaphore(max_connections)

    async def _connect(self, addr: str, limit: int) -> ClientProtocol:
        host, port = settings.split_addr(addr)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(constants.CONNECT_TIMEOUT_S):
                _, proto = await loop.create_connection(lambda: ClientProtocol(limit), host, port)
        except (OSError, TimeoutError) as error:
            raise RequestNotSent(str(error) or "timeout") from None
        return proto

    async def request(
        self,
        addr: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        limit: int = constants.MAX_BODY_BYTES,
    ) -> tuple[int, bytes]:
        """Return (status, body); raises NotSent or NoAnswer."""
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\n"
            f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        async with self.slots:
            pool = self.idle.setdefault(addr, [])
            proto = None
            while pool and proto is None:
                proto = pool.pop()
                if not proto.usable:
                    proto = None
            if proto is None:
                proto = await self._connect(addr, limit)
            kept = False
            try:
                async with asyncio.timeout(timeout):
                    result = await proto.start(data)
                kept = proto.usable
                return result
            except TimeoutError:
                raise NoResponse("timeout") from None
            finally:
                if kept and len(pool) < constants.IDLE_CONNECTIONS_PER_ADDRESS:
                    pool.append(proto)
                else:
                    proto.usable = False
                    proto.transport.abort()
                    if not pool:
                        self.idle.pop(addr, None)
