"""The HTTP server: bounded connections, cheap parsing of headers, large bodies refused unread.

It knows nothing about jobs or workers: `router` is the application.
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
"""The most bytes that one line of the headers may have."""
BODY_TOO_LARGE = "body above 64 KiB"
"""The error in the 413 to a body above MAX_BODY_BYTES."""
_HEADERS_IN_ENVIRON = ("expect", "transfer-encoding", "connection", "upgrade")
"""The request headers that the WSGI server itself reads."""
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
    """A request's headers by lower-case name, as `WSGIHandler` asks for them.

    The mail parser that `WSGIHandler` uses by default took a third of the time of a heartbeat, and
    the leader of hundreds of machines gets hundreds a second.
    """

    status = ""
    """What is malformed, or empty; `WSGIHandler` responds with 400 if it is not empty."""

    @classmethod
    def read(cls, stream: Any) -> RequestHeaders:
        """Read header lines up to the empty line."""
        found = cls()
        for _ in range(MAX_HEADERS):
            line = stream.readline(MAX_HEADER_BYTES + 1)
            if line in (b"\r\n", b"\n", b""):
                return found
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or len(line) > MAX_HEADER_BYTES or not name or name != name.strip():
                found.status = "malformed header"
                return found
            name = name.lower()
            value = value.strip()
            if name in found:
                if name in ("content-length", "transfer-encoding") and found[name] != value:
                    found.status = "contradicting headers"
                    return found
                value = f"{found[name]},{value}" if found[name] != value else value
            found[name] = value
        found.status = "too many headers"
        return found

    def get(self, name: str, default: Any = None) -> Any:
        """Return a header by its name in any case."""
        return super().get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type; None if there is none."""
        return super().get("content-type")

    @property
    def headers(self) -> Iterable[str]:
        """The lines that go into the WSGI environment: those that the server itself reads."""
        return [f"{name}: {self[name]}" for name in _HEADERS_IN_ENVIRON if name in self]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Serves one connection: tells the server when it is idle, and refuses large bodies unread."""

    _buffer: bytearray | None = None
    """What is to be sent in one piece, while headers and body are written."""

    def MessageClass(  # noqa: N802  the name by which WSGIHandler calls it
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
        """Send headers and body in one piece: one packet and one system call fewer."""
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
        """Log nothing: the handlers log what requests do."""


class HttpServer(WSGIServer):  # type: ignore[misc]
    """A WSGI server with at most `connections` connections, one greenlet for each.

    When there are too many, the one that has been idle longest is closed, so that many idle users
    can't keep workers out. If none is idle, the new one is closed.
    """

    def __init__(
        self, address: tuple[str, int], application: Application, connections: int
    ) -> None:
        super().__init__(
            address,
            application,
            handler_class=_Handler,
            log=None,
            error_log=log,
            backlog=connections,
        )
        self._limit = connections
        self._open = 0
        self._idle: OrderedDict[_Handler, None] = OrderedDict()

    def mark_idle(self, handler: _Handler) -> None:
        """Note that a connection waits for its next request."""
        self._idle[handler] = None

    def mark_busy(self, handler: _Handler) -> None:
        """Note that a connection has a request."""
        self._idle.pop(handler, None)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection until it ends."""
        if self._open >= self._limit:
            if not self._idle:
                sock.close()
                return
            self._shut_down_longest_idle()
        self._open += 1
        handler = _Handler(sock, address, self)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler.handle()
        finally:
            self._open -= 1
            self._idle.pop(handler, None)

    def _shut_down_longest_idle(self) -> None:
        oldest, _ = self._idle.popitem(last=False)
        stale = getattr(oldest, "socket", None)
        if stale is not None:
            try:
                stale.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
