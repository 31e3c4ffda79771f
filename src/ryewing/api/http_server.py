"""The HTTP server: bounded connections, cheap headers, large bodies refused unread.

It knows nothing of jobs or workers; `api` has the handlers.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ryewing.wire.codec import BODY_LIMIT

log = logging.getLogger(__name__)

Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], object]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024
_HEADERS_IN_ENVIRON = ("expect", "transfer-encoding", "connection", "upgrade")
"""The request headers that the WSGI server itself reads."""
STATUS_LINES = {
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
    """The request says that its body is above the limit."""


class RequestHeaders(dict[str, str]):
    """A request's headers by lower-case name, as `WSGIHandler` asks for them.

    The parser for mail that it comes with took a third of what a heartbeat costs, and a leader of
    hundreds of machines gets hundreds a second.
    """

    status = ""
    """What is wrong with them; `WSGIHandler` answers 400."""

    @classmethod
    def read(cls, stream: Any) -> RequestHeaders:
        """Read header lines up to the empty one."""
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
        """Look a header up, in whatever case it is asked for."""
        return super().get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type."""
        return super().get("content-type")

    @property
    def headers(self) -> Iterable[str]:
        """The lines from which the WSGI environment is made: those that the server reads."""
        return [f"{name}: {self[name]}" for name in _HEADERS_IN_ENVIRON if name in self]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """One connection: knows whether it is idle, and refuses large bodies unread."""

    _gathered: bytearray | None = None

    def MessageClass(  # noqa: N802  the name by which WSGIHandler calls it
        self, stream: Any, *_args: Any
    ) -> RequestHeaders:
        """Read the request's headers."""
        return RequestHeaders.read(stream)

    def read_requestline(self) -> Any:
        self.server.idle(self)
        line = super().read_requestline()
        self.server.busy(self)
        return line

    def read_request(self, raw_requestline: str) -> Any:
        result = super().read_request(raw_requestline)
        if self.content_length is not None and self.content_length > BODY_LIMIT:
            raise _BodyTooLargeError
        return result

    def _write_with_headers(self, data: bytes) -> None:
        """Send head and body in one piece: a packet and a system call less for each answer."""
        self._gathered = bytearray()
        super()._write_with_headers(data)
        gathered, self._gathered = bytes(self._gathered), None
        self._sendall(gathered)

    def _sendall(self, data: bytes) -> None:
        if self._gathered is None:
            super()._sendall(data)
        else:
            self._gathered += data

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, _BodyTooLargeError):
            status, body = STATUS_LINES[413], b'{"error":"body above 64 KiB"}'
        else:
            status, body = STATUS_LINES[400], b'{"error":"malformed request"}'
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return status[:3], head.encode("ascii") + body

    def log_request(self) -> None:
        """Requests are logged by what they do, not by line."""


class HttpServer(WSGIServer):  # type: ignore[misc]
    """A WSGI server that keeps its connections within bounds.

    When there are too many, the one that has been idle longest goes, so that a crowd of idle
    users can't keep workers out.
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

    def idle(self, handler: _Handler) -> None:
        """A connection waits for its next request."""
        self._idle[handler] = None

    def busy(self, handler: _Handler) -> None:
        """A connection has a request."""
        self._idle.pop(handler, None)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection until it ends."""
        if self._open >= self._limit:
            if not self._idle:
                sock.close()
                return
            oldest, _ = self._idle.popitem(last=False)
            stale = getattr(oldest, "socket", None)
            if stale is not None:
                try:
                    stale.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        self._open += 1
        handler = _Handler(sock, address, self)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handler.handle()
        finally:
            self._open -= 1
            self._idle.pop(handler, None)
