"""Connections between controllers: peers that do not respond, and peers that were restarted."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from ryewing.clients.peers import (
    BASE_REQUESTS_IN_FLIGHT,
    Ack,
    JobStatusQuery,
    JobStatusReply,
    PeerClient,
    PeerServer,
    PeerUnavailableError,
    Request,
    max_requests_in_flight,
)
from ryewing.config.settings import Address

SHORT_DEADLINE_S = 0.3
LONG_DEADLINE_S = 30.0


@pytest.fixture
def unresponsive_peer() -> Iterator[Address]:
    """The address of a hung controller: connections are accepted, but nothing is read."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    yield listener.getsockname()
    listener.close()


def start_server(address: Address = ("127.0.0.1", 0)) -> PeerServer:
    """Start the server of a controller that answers every `JobStatusQuery`."""

    def handle(request: Request) -> JobStatusReply | Ack:
        return JobStatusReply("running") if isinstance(request, JobStatusQuery) else Ack(True)

    server = PeerServer(address, handle, 100)
    server.start()
    return server


def test_requests_to_an_unresponsive_peer_are_bounded(unresponsive_peer: Address) -> None:
    """Each request in flight takes a socket and a greenlet until its deadline."""
    peer = PeerClient(unresponsive_peer)
    outcomes: list[str] = []

    def send() -> None:
        try:
            peer.request(JobStatusQuery("run-1"), LONG_DEADLINE_S)
        except PeerUnavailableError as error:
            outcomes.append(str(error))

    senders = [gevent.spawn(send) for _ in range(10 * BASE_REQUESTS_IN_FLIGHT)]
    for _ in range(5):
        gevent.sleep(0)
    assert peer.in_flight == BASE_REQUESTS_IN_FLIGHT
    # The others were refused at once, so that the store can be read instead.
    assert len(outcomes) == 9 * BASE_REQUESTS_IN_FLIGHT
    gevent.killall(senders)
    assert peer.in_flight == 0


def test_a_restarted_peer_is_reached_over_a_new_connection() -> None:
    """One failure closes all idle connections, because each would cost one more deadline."""
    server = start_server()
    address: Address = server.address
    peer = PeerClient(address)
    concurrent = [
        gevent.spawn(peer.request, JobStatusQuery("run-1"), LONG_DEADLINE_S) for _ in range(4)
    ]
    gevent.joinall(concurrent, raise_error=True)
    assert peer.idle_connections == 4
    server.stop()  # closes the connections, as the end of the process does
    server = start_server(address)
    with pytest.raises(PeerUnavailableError):
        peer.request(JobStatusQuery("run-1"), LONG_DEADLINE_S)
    assert peer.request(JobStatusQuery("run-1"), LONG_DEADLINE_S) == JobStatusReply("running")
    server.stop()


def test_a_request_past_its_deadline_frees_its_connection(unresponsive_peer: Address) -> None:
    peer = PeerClient(unresponsive_peer)
    with pytest.raises(PeerUnavailableError):
        peer.request(JobStatusQuery("run-1"), SHORT_DEADLINE_S)
    assert peer.in_flight == 0
    assert peer.idle_connections == 0


@pytest.mark.parametrize(
    ("sockets", "peers", "bound"),
    [(40, 2, BASE_REQUESTS_IN_FLIGHT), (40, 0, 40), (285, 2, 142), (285, 6, 47)],
)
def test_requests_to_a_peer_are_bounded_by_the_sockets(
    sockets: int, peers: int, bound: int
) -> None:
    assert max_requests_in_flight(sockets, peers) == bound
