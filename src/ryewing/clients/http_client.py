"""HTTP/1.1 requests over gevent sockets, with deadlines and persistent connections.

`http.client` implements the protocol. This module adds one deadline for the whole exchange, and a
limit on the number of idle connections that are kept open.
"""

from __future__ import annotations

import errno
import http.client
import logging
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent import socket

from ryewing.clients.errors import ClientError
from ryewing.config.settings import Address
from ryewing.wire.codec import MalformedError, decode

T = TypeVar("T")


class UnreachableError(ClientError):
    """There was no response; the request may have been executed, or may still be executed."""


class Reply:
    """Status and body of a response."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


def decode_json_body(
    reply: Reply, body_type: type[T], source: str, failure: Callable[[str], Exception]
) -> T:
    """Decode the body of a response from `source`, a module of `ryewing.clients`.

    An unreadable body is logged, and raises the same error as a missing response, made by
    `failure`.
    """
    try:
        return decode(reply.body, body_type)
    except MalformedError as error:
        log = logging.getLogger(f"ryewing.clients.{source}")
        log.warning("event=unreadable-answer from=%s error=%s", source, error)
        raise failure(f"unreadable response: {error}") from None


class _Connection(http.client.HTTPConnection):
    """An HTTP connection over a gevent socket."""

    def __init__(self, address: Address) -> None:
        super().__init__(address[0], address[1])
        self._address = address
        self._unsent = b""

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Buffer headers and body to send them together, which saves a packet and a system call."""
        self._unsent += data

    def getresponse(self) -> http.client.HTTPResponse:
        """Send the buffered request, and read the response."""
        unsent, self._unsent = self._unsent, b""
        super().send(unsent)
        return super().getresponse()

    def connect(self) -> None:
        """Open a gevent socket without Nagle's algorithm."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect(self._address)
        except BaseException:
            sock.close()
            raise
        self.sock = sock


class HttpClient:
    """Requests to one address; up to `max_idle` idle connections are kept for later requests."""

    def __init__(self, address: Address, max_idle: int) -> None:
        self._address = address
        self._max_idle = max_idle
        self._idle: deque[_Connection] = deque()

    def request(self, method: str, path: str, body: bytes | None, deadline_s: float) -> Reply:
        """Send a request and return its response, whatever the status.

        Raise UnreachableError if there is no complete response within `deadline_s` seconds.
        """
        connection = self._idle.pop() if self._idle else _Connection(self._address)
        reusable = False
        try:
            with gevent.Timeout(deadline_s, TimeoutError("deadline exceeded")):
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body=body, headers=headers)
                response = connection.getresponse()
                data = response.read()
                reusable = not response.will_close
                return Reply(response.status, data)
        except (OSError, http.client.HTTPException) as error:
            if isinstance(error, OSError) and error.errno == errno.EMFILE:
                raise UnreachableError("out of file descriptors") from None
            raise UnreachableError(f"{type(error).__name__}: {error}") from None
        finally:
            if reusable and len(self._idle) < self._max_idle:
                self._idle.append(connection)
            else:
                connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
