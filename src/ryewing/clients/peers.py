"""What the controllers say to each other: msgpack frames over TCP.

A frame is four bytes of length and one msgspec struct. A refused connection or a missing answer
is never taken as proof that the other is dead.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Union

import gevent
import msgspec
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from ryewing.config.settings import Address
from ryewing.wire.codec import UNREADABLE

log = logging.getLogger(__name__)
FRAME_MAX = 4 * 1024 * 1024
IDLE_S = 60.0
KEPT_CONNECTIONS = 4
PEER_DEADLINE_S = 0.6
MAX_REQUESTS_IN_FLIGHT = 32
"""Requests to one controller that may wait for their answers: each takes a socket and a greenlet,
and one that is silent answers none, while users ask many times as often."""


class JobStatusQuery(msgspec.Struct, tag="poll"):
    """A follower asks the leader for a job's state."""

    job: str


class CancelNotice(msgspec.Struct, tag="cancel", omit_defaults=True):
    """A cancel has been written: the leader must know before its user is told."""

    job: str
    shard: str | None = None
    """In this and the other messages: the shard whose leader is meant, if the fleet is divided."""


class LeaderAnnouncement(msgspec.Struct, tag="leader", omit_defaults=True):
    """A new leader makes itself known, so that an older one steps down at once."""

    node: str
    term: int
    shard: str | None = None


class LoadQuery(msgspec.Struct, tag="load", omit_defaults=True):
    """A follower asks whether the leader can take more jobs."""

    shard: str | None = None


class ImageLocality(msgspec.Struct, tag="images", omit_defaults=True):
    """The leader tells which machines have which images, so that a successor need not learn it.

    Nothing rests on it but where tasks start without a fetch.
    """

    term: int
    images: list[tuple[str, float]] = []
    """Name and size."""
    machines: dict[str, list[int]] = {}
    """By machine, places in `images`, the least recently used first."""
    failing: dict[str, float] = {}
    """Jobs that fail everywhere, and for how long each is left alone between two probes."""
    shard: str | None = None


class RelayRequest(msgspec.Struct, tag="relay"):
    """A node that alone can't reach the store asks through a peer."""

    method: str
    path: str
    body: bytes | None = None


class JobStatusReply(msgspec.Struct, tag="state"):
    """The answer to a poll; no status: the asker must read the store."""

    status: str | None = None
    done: int | None = None
    running: int | None = None
    shard: str | msgspec.UnsetType | None = msgspec.UNSET
    """The job's shard; left out where the fleet is undivided, as in every earlier version."""


class Ack(msgspec.Struct, tag="ack"):
    """Whether the notice was taken in."""

    ok: bool


class ShardLoadAnswer(msgspec.Struct, tag="shardload"):
    """The answer to a question about the load of one shard."""

    full: bool
    backlog: float
    """Waiting work, as a part of the room of the shard's machines."""


class RelayResponse(msgspec.Struct, tag="relayed"):
    """The store's answer, or status 0 if there was none."""

    status: int
    body: bytes = b""


Request = Union[
    JobStatusQuery, CancelNotice, LeaderAnnouncement, LoadQuery, ImageLocality, RelayRequest
]
Response = Union[JobStatusReply, Ack, ShardLoadAnswer, RelayResponse]
Handler = Callable[[Request], Response]

_request_decoder = msgspec.msgpack.Decoder(Request)
_response_decoder = msgspec.msgpack.Decoder(Response)


def max_requests_in_flight(sockets: int, peers: int) -> int:
    """Bound the requests to one peer by the sockets that there are for all of them.

    Found in a trial with 3,600 machines: while a cycle held the leader up for a fifth of a second,
    more users asked at another controller than 32, and the rest got 503.
    """
    return max(MAX_REQUESTS_IN_FLIGHT, sockets // max(1, peers))


class PeerUnavailableError(Exception):
    """No answer from the other controller."""


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    parts = []
    while count:
        data = sock.recv(min(count, 65536))
        if not data:
            raise EOFError
        parts.append(data)
        count -= len(data)
    return b"".join(parts)


def _read_frame(sock: socket.socket) -> bytes:
    size = int.from_bytes(_read_exactly(sock, 4), "big")
    if size > FRAME_MAX:
        raise EOFError
    return _read_exactly(sock, size)


def _write_frame(sock: socket.socket, value: Request | Response) -> None:
    data = msgspec.msgpack.encode(value)
    sock.sendall(len(data).to_bytes(4, "big") + data)


class PeerClient:
    """Requests to one other controller, over a few kept connections."""

    def __init__(self, address: Address, max_in_flight: int = MAX_REQUESTS_IN_FLIGHT) -> None:
        self._address = address
        self._at_once = max_in_flight
        self._idle: deque[socket.socket] = deque()
        self.in_flight = 0
        """Requests that wait for their answer."""

    def request(self, request: Request, deadline_s: float) -> Response:
        """Ask, and wait for the answer; raise PeerUnavailableError without one."""
        if self.in_flight >= self._at_once:
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
                _write_frame(sock, request)
                answer = _response_decoder.decode(_read_frame(sock))
                done = True
                return answer
        except (OSError, EOFError, *UNREADABLE) as error:
            # The kept connections share the fate of this one: each would cost a deadline more.
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
    """All other controllers."""

    def __init__(self, members: dict[str, PeerClient]) -> None:
        self.members = members

    def request(self, node: str | None, request: Request) -> Response | None:
        """Ask one controller; None if it is not known or does not answer."""
        peer = self.members.get(node) if node is not None else None
        if peer is None:
            return None
        try:
            return peer.request(request, PEER_DEADLINE_S)
        except PeerUnavailableError as error:
            log.debug("event=peer-unreachable error=%s", error)
            return None

    def broadcast(self, request: Request) -> None:
        """Tell all of them, without waiting."""
        for node in self.members:
            gevent.spawn(self.request, node, request)


class PeerServer:
    """Answers the other controllers."""

    def __init__(self, address: Address, handler: Handler, connections: int) -> None:
        self._handler = handler
        self._server = StreamServer(address, self._serve, spawn=Pool(connections))

    def start(self) -> None:
        """Begin to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _address: object) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                with gevent.Timeout(IDLE_S, TimeoutError("idle")):
                    frame = _read_frame(sock)
                _write_frame(sock, self._handler(_request_decoder.decode(frame)))
        except UNREADABLE as error:
            log.warning("event=unreadable-frame error=%s", error)
        except (OSError, EOFError):
            pass
        finally:
            sock.close()
