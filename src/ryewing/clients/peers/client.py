"""The clients of the other controllers: requests over a few kept connections."""

from __future__ import annotations

import logging
from collections import deque

import gevent
import msgspec
from gevent import socket

from ryewing.clients.errors import ClientError
from ryewing.clients.peers.framing import read_frame, write_frame
from ryewing.clients.peers.messages import Request, Response
from ryewing.config.settings import Address
from ryewing.wire.codec import DECODE_ERRORS

log = logging.getLogger(__name__)
KEPT_CONNECTIONS = 4
"""Idle connections that are kept to each peer."""
PEER_DEADLINE_S = 0.6
"""The deadline of a request to a peer."""
MAX_REQUESTS_IN_FLIGHT = 32
"""The least bound of requests to one peer that wait for a response.

Each takes a socket and a greenlet until its deadline. A controller that is silent answers none,
while users go on asking many times as often.
"""

_response_decoder = msgspec.msgpack.Decoder(Response)


class PeerUnavailableError(ClientError):
    """There was no response from the other controller."""


def max_requests_in_flight(sockets: int, peers: int) -> int:
    """Return the bound of requests to one peer, given the sockets for all peers together.

    Found in a trial with 3,600 machines: while a cycle held the leader up for a fifth of a second,
    more users asked at another controller than 32, and the rest got 503.
    """
    return max(MAX_REQUESTS_IN_FLIGHT, sockets // max(1, peers))


class PeerClient:
    """Requests to one other controller, over a few kept connections.

    At most `max_in_flight` requests wait for a response at any time.
    """

    def __init__(self, address: Address, max_in_flight: int = MAX_REQUESTS_IN_FLIGHT) -> None:
        self._address = address
        self._max_in_flight = max_in_flight
        self._idle: deque[socket.socket] = deque()
        self.in_flight = 0
        """Requests that wait for a response."""

    @property
    def idle_connections(self) -> int:
        """How many connections are kept for the next requests."""
        return len(self._idle)

    def request(self, request: Request, deadline_s: float) -> Response:
        """Send a request and wait for its response; raise PeerUnavailableError without one."""
        if self.in_flight >= self._max_in_flight:
            raise PeerUnavailableError("too many requests under way")
        self.in_flight += 1
        try:
            return self._exchange(request, deadline_s)
        finally:
            self.in_flight -= 1

    def _exchange(self, request: Request, deadline_s: float) -> Response:
        sock: socket.socket | None = self._idle.pop() if self._idle else None
        done = False
        try:
            with gevent.Timeout(deadline_s, TimeoutError("deadline")):
                if sock is None:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sock.connect(self._address)
                write_frame(sock, request)
                response = _response_decoder.decode(read_frame(sock))
                done = True
                return response
        except (OSError, EOFError, *DECODE_ERRORS) as error:
            # The kept connections fail as this one did: each would cost one more deadline.
            self._close_idle()
            raise PeerUnavailableError(f"{type(error).__name__}: {error}") from None
        finally:
            if sock is not None and done and len(self._idle) < KEPT_CONNECTIONS:
                self._idle.append(sock)
            elif sock is not None:
                sock.close()

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()


class Peers:
    """All other controllers, by name."""

    def __init__(self, members: dict[str, PeerClient]) -> None:
        self.members = members

    def request(self, node: str | None, request: Request) -> Response | None:
        """Send a request to one controller; None if it is unknown or does not respond."""
        peer = self.members.get(node) if node is not None else None
        if peer is None:
            return None
        try:
            return peer.request(request, PEER_DEADLINE_S)
        except PeerUnavailableError as error:
            log.debug("event=peer-unreachable error=%s", error)
            return None

    def broadcast(self, request: Request) -> None:
        """Send a request to every peer, each in a greenlet of its own, without waiting."""
        for node in self.members:
            gevent.spawn(self.request, node, request)
