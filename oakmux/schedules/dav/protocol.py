"""HTTP for CalDAV clients: extends the user protocol by headers and text bodies."""

from typing import Any

import httptools

from oakmux import constants
from oakmux.transport.http_server import REASONS, Request, ServerProtocol

PHRASES = {
    **REASONS,
    204: "No Content",
    207: "Multi-Status",
    301: "Moved Permanently",
    401: "Unauthorized",
    403: "Forbidden",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    501: "Not Implemented",
}


class DavRequest(Request):
    """A request with its headers, keyed by lower-case name."""

    __slots__ = ("headers",)

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes,
        too_large: bool,
        conn: "DavProtocol",
        headers: dict[str, str],
    ) -> None:
        super().__init__(method, path, body, too_large, conn)
        self.headers = headers

    def reply(self, status: int, body: bytes = b"", /, **headers: str) -> None:
        """Answer once; an underscore in a header's name stands for a hyphen."""
        conn, self._conn = self._conn, None
        if isinstance(conn, DavProtocol):
            conn.write(self, status, body, headers)

    def respond(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Answer without a body; called by code that serves all kinds of requests."""
        self.reply(status, b"")


class DavProtocol(ServerProtocol):
    """A connection opened by a CalDAV client."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.headers: dict[str, str] = {}
        self.header_bytes = 0

    def on_message_begin(self) -> None:
        """Reset the headers for a new request."""
        super().on_message_begin()
        self.headers, self.header_bytes = {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; the number and total size of headers are limited."""
        self.header_bytes += len(name) + len(value)
        if (
            self.header_bytes > constants.DAV_HEADER_BYTES
            or len(self.headers) >= constants.DAV_HEADERS
        ):
            raise httptools.HttpParserError("too many headers")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue`, so that the client sends its body."""
        if self.headers.get("expect", "").lower() == "100-continue" and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request(self, method: str, path: str, body: bytes, too_large: bool) -> Request:
        """Return the request object for the handler."""
        return DavRequest(method, path, body, too_large, self, self.headers)

    def write(self, request: Request, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Write the answer to the current request."""
        if self.transport is None or self.current is not request:
            return
        self.current = None
        lines = [
            f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}",
            f"Content-Length: {len(body)}",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        if not self.keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        self.transport.write(head if request.method == "HEAD" else head + body)
        if not self.keep_alive:
            self.transport.close()
