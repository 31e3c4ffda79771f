"""The connections between controllers: a silent peer, and one that was restarted."""

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

SHORT_WAIT_S = 0.3
PATIENT_S = 30.0


@pytest.fixture
def silent() -> Iterator[Address]:
    """A controller whose process stands still: connections are made, nothing is read."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    yield listener.getsockname()
    listener.close()


def answering(address: Address = ("127.0.0.1", 0)) -> PeerServer:
    """Start the server of a controller that answers every `JobStatusQuery`."""

    def handle(request: Request) -> JobStatusReply | Ack:
        return JobStatusReply("running") if isinstance(request, JobStatusQuery) else Ack(True)

    server = PeerServer(address, handle, 100)
    server.start()
    return server


def test_requests_to_a_silent_peer_are_bounded(silent: Address) -> None:
    """Each takes a socket and a greenlet until its deadline."""
    peer = PeerClient(silent)
    outcomes: list[str] = []

    def send() -> None:
        try:
            peer.request(JobStatusQuery("run-1"), PATIENT_S)
        except PeerUnavailableError as error:
            outcomes.append(str(error))

    senders = [gevent.spawn(send) for _ in range(10 * BASE_REQUESTS_IN_FLIGHT)]
    for _ in range(5):
        gevent.sleep(0)
    assert peer.in_flight == BASE_REQUESTS_IN_FLIGHT
    assert (
        len(outcomes) == 9 * BASE_REQUESTS_IN_FLIGHT
    )  # told at once, so that the store can be read
    gevent.killall(senders)
    assert peer.in_flight == 0


def test_a_peer_that_is_back_is_reached_over_a_new_connection() -> None:
    """Every kept connection would cost one more deadline."""
    server = answering()
    address: Address = server.address
    peer = PeerClient(address)
    concurrent = [gevent.spawn(peer.request, JobStatusQuery("run-1"), PATIENT_S) for _ in range(4)]
    gevent.joinall(concurrent, raise_error=True)
    assert peer.idle_connections == 4
    server.stop()  # as a process that ends
    server = answering(address)
    with pytest.raises(PeerUnavailableError):
        peer.request(JobStatusQuery("run-1"), PATIENT_S)
    assert peer.request(JobStatusQuery("run-1"), PATIENT_S) == JobStatusReply("running")
    server.stop()


def test_a_deadline_leaves_nothing_behind(silent: Address) -> None:
    peer = PeerClient(silent)
    with pytest.raises(PeerUnavailableError):
        peer.request(JobStatusQuery("run-1"), SHORT_WAIT_S)
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
