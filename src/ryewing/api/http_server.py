"""The HTTP server: limits connections, parses headers fast, refuses large bodies unread.

It is independent of jobs and workers; the WSGI application is in `router`.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ryewing.wire.codec import MAX_BODY_BYTES
from ryewing.wire.responses import ErrorBody

log = logging.getLogger(__name__)

Headers = list[tuple[str, str]]
"""Names and values of a response's headers."""
StartResponse = Callable[[str, Headers], object]
"""WSGI's `start_response`."""
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]
"""A WSGI application."""

MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024
"""The maximum length of one header line, in bytes."""
BODY_TOO_LARGE = "body above 64 KiB"
"""The error in the 413 to a body above MAX_BODY_BYTES."""
_HEADERS_IN_ENVIRON = ("expect", "transfer-encoding", "connection", "upgrade")
"""The request headers copied into the WSGI environment: those that pywsgi itself reads."""
STATUS_LINES: dict[int, str] = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    422: "422 Unprocessable Content",
    503: "503 Service Unavailable",
}


class _BodyTooLargeError(ValueError):
    """The Content-Length of a request is above MAX_BODY_BYTES."""


class RequestHeaders(dict[str, str]):
    """A request's headers by lower-case name, with the interface that `WSGIHandler` expects.

    It replaces the email parser that `WSGIHandler` uses by default, which took a third of the time
    of handling a heartbeat; the leader of hundreds of machines gets hundreds of them a second.
    """

    status = ""
    """The parse error, or empty; `WSGIHandler` responds with 400 if it is not empty."""

    @classmethod
    def read(cls, stream: Any) -> RequestHeaders:
        """Read header lines up to the empty line; after an error, return with `status` set."""
        headers = cls()
        for _ in range(MAX_HEADERS):
            line = stream.readline(MAX_HEADER_BYTES + 1)
            if line in (b"\r\n", b"\n", b""):
                return headers
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or len(line) > MAX_HEADER_BYTES or not name or name != name.strip():
                headers.status = "malformed header"
                return headers
            name = name.lower()
            value = value.strip()
            if name in headers:
                if name in ("content-length", "transfer-encoding") and headers[name] != value:
                    headers.status = "contradicting headers"
                    return headers
                value = f"{headers[name]},{value}" if headers[name] != value else value
            headers[name] = value
        headers.status = "too many headers"
        return headers

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a header; names are case-insensitive."""
        return super().get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type; None if there is none."""
        return super().get("content-type")

    @property
    def headers(self) -> Iterable[str]:
        """The lines that `WSGIHandler` copies into the WSGI environment."""
        return [f"{name}: {self[name]}" for name in _HEADERS_IN_ENVIRON if name in self]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Serves one connection: marks it idle or busy, and refuses large bodies unread."""

    _buffer: bytearray | None = None
    """Collects headers and body while they are written, to send them in one call; else None."""

    def MessageClass(  # noqa: N802  WSGIHandler calls it by this name
        self, stream: Any, *_args: Any
    ) -> RequestHeaders:
        """Read the request's headers."""
        return RequestHeaders.read(stream)

    def read_requestline(self) -> Any:
        self.server.mark_idle(self)
        line = super().read_requestline()
        self.server.mark_busy(self)
        return line

    def read_request(self, raw_requestline: str) -> Any:
        result = super().read_request(raw_requestline)
        if self.content_length is not None and self.content_length > MAX_BODY_BYTES:
            raise _BodyTooLargeError
        return result

    def _write_with_headers(self, data: bytes) -> None:
        """Send headers and body together, which saves one packet and one system call."""
        self._buffer = bytearray()
        super()._write_with_headers(data)
        buffered, self._buffer = bytes(self._buffer), None
        self._sendall(buffered)

    def _sendall(self, data: bytes) -> None:
        if self._buffer is None:
            super()._sendall(data)
        else:
            self._buffer += data

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, _BodyTooLargeError):
            status, error = STATUS_LINES[413], BODY_TOO_LARGE
        else:
            status, error = STATUS_LINES[400], "malformed request"
        body = msgspec.json.encode(ErrorBody(error))
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return status[:3], head.encode("ascii") + body

    def log_request(self) -> None:
        """Log nothing, because the handlers log the effects of requests."""


class HttpServer(WSGIServer):  # type: ignore[misc]
    """A WSGI server with at most `max_connections` connections, one greenlet for each.

    At the limit, the connection that has been idle longest is closed, so that many idle users can't
    keep workers from connecting. If none is idle, the new connection is closed.
    """

    def __init__(
        self, address: tuple[str, int], application: Application, max_connections: int
    ) -> None:
        super().__init__(
            address,
            application,
            handler_class=_Handler,
            log=None,
            error_log=log,
            backlog=max_connections,
        )
        self._max_connections = max_connections
        self._open_connections = 0
        self._idle: OrderedDict[_Handler, None] = OrderedDict()
        """The connections that wait for a request, the one idle longest first."""

    def mark_idle(self, handler: _Handler) -> None:
        """Record that a connection waits for its next request."""
        self._idle[handler] = None

    def mark_busy(self, handler: _Handler) -> None:
        """Record that a connection has received a request line, or was closed."""
        self._idle.pop(handler, None)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection until it ends."""
        if self._open_connections >= self._max_connections:
            if not self._idle:
                sock.close()
                return
            self._shut_down_longest_idle()
        self._open_connections += 1
        handler = _Handler(sock, address, self)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler.handle()
        finally:
            self._open_connections -= 1
            self._idle.pop(handler, None)

    def _shut_down_longest_idle(self) -> None:
        longest_idle, _ = self._idle.popitem(last=False)
        sock = getattr(longest_idle, "socket", None)
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
