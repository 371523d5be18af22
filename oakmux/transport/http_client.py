"""HTTP/1.1 client on asyncio protocols, with pooled connections; parsed by httptools."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httptools

from oakmux import constants, settings


class TransportError(Exception):
    """A request got no response; the text gives the reason."""


class RequestNotSentError(TransportError):
    """The request was certainly not sent: no connection could be opened."""


class NoResponseError(TransportError):
    """No response; the server may have carried out the request, or may still do so."""


class ClientProtocol(asyncio.Protocol):
    """A connection to a server; carries one request at a time."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.transport: Any = None
        self.parser: Any = None
        self.waiter: asyncio.Future[tuple[int, bytes]] | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.usable = True

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits for its response."""
        self.usable = False
        self._fail("connection closed")

    def _fail(self, reason: str) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(NoResponseError(reason))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, AttributeError):
            self.usable = False
            self._fail("malformed HTTP response")
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self.size += len(body)
        if self.size > self.limit:
            raise httptools.HttpParserError("body too large")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the request that waits for this response."""
        if self.waiter is None or self.waiter.done():
            self.usable = False
            return
        self.usable = self.usable and self.parser.should_keep_alive()
        self.waiter.set_result((self.parser.get_status_code(), b"".join(self.chunks)))

    def start(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send one request; the future's result is (status, body)."""
        self.parser = httptools.HttpResponseParser(self)
        self.chunks, self.size = [], 0
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiter


class Client:
    """Requests over pooled connections, bounded in number.

    At most IDLE_CONNECTIONS_PER_ADDRESS idle connections are kept for each address.
    """

    def __init__(self, max_connections: int) -> None:
        self.idle: dict[str, list[ClientProtocol]] = {}
        self.slots = asyncio.Semaphore(max_connections)

    async def _connect(self, addr: str, limit: int) -> ClientProtocol:
        host, port = settings.split_addr(addr)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(constants.CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientProtocol(limit), host, port
                )
        except (OSError, TimeoutError) as error:
            raise RequestNotSentError(str(error) or "timeout") from None
        return connection

    @asynccontextmanager
    async def _connection(self, addr: str, limit: int) -> AsyncIterator[ClientProtocol]:
        """Lend a connection; it returns to the pool if the body completes and it is usable."""
        async with self.slots:
            pool = self.idle.setdefault(addr, [])
            connection = _pop_usable(pool) or await self._connect(addr, limit)
            completed = False
            try:
                yield connection
                completed = True
            finally:
                self._release(addr, pool, connection, completed and connection.usable)

    def _release(
        self, addr: str, pool: list[ClientProtocol], connection: ClientProtocol, reusable: bool
    ) -> None:
        if reusable and len(pool) < constants.IDLE_CONNECTIONS_PER_ADDRESS:
            pool.append(connection)
            return
        connection.usable = False
        connection.transport.abort()
        if not pool:
            self.idle.pop(addr, None)

    async def request(
        self,
        addr: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        limit: int = constants.MAX_BODY_BYTES,
    ) -> tuple[int, bytes]:
        """Return (status, body).

        Args:
            addr: The server, as `host:port`.
            method: The HTTP method.
            path: The path with its query.
            body: The encoded body; may be empty.
            timeout: Seconds to wait for the response, once there is a connection.
            limit: Size of the largest accepted response body, in bytes.

        Raises:
            RequestNotSentError: No connection could be opened.
            NoResponseError: The response is missing, late or malformed.
            ValueError: The address is not `host:port`.
        """
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\n"
            f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        async with self._connection(addr, limit) as connection:
            try:
                async with asyncio.timeout(timeout):
                    return await connection.start(data)
            except TimeoutError:
                raise NoResponseError("timeout") from None


def _pop_usable(pool: list[ClientProtocol]) -> ClientProtocol | None:
    while pool:
        connection = pool.pop()
        if connection.usable:
            return connection
    return None
