"""Unreadable bodies and frames get a documented status or a closed connection, and are logged."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from support.api_client import Client
from support.fakes import FakeStore, policy, settings, submission

from ryewing.clients.cloud import Cloud, CloudUnavailableError
from ryewing.clients.http_client import Reply
from ryewing.clients.peers import Ack, JobStatusQuery, PeerClient, PeerServer, PeerUnavailableError
from ryewing.clients.store import Store, StoreUnavailableError
from ryewing.config.settings import CloudLimits
from ryewing.process.node import Node
from ryewing.state.job_records import live_key
from ryewing.units import JobId, Revision
from ryewing.wire.codec import MAX_BODY_BYTES, MalformedError
from ryewing.wire.workers import read_heartbeat

PATIENT_S = 10.0
GOOD_HEARTBEAT = {
    "host": "i-000001",
    "tenure": 1,
    "tick": 1,
    "mandate": 0,
    "flavour": "c32",
    "site": "a",
    "pieces": [{"piece": "run-1/0", "try": 1, "status": "running"}],
}


def deep(levels: int = 60_000) -> bytes:
    """An object with a field that nobody knows, nested without end."""
    return b'{"unknown":' + b"[" * levels


GARBAGE = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"3",
    b"NaN",
    b'"text"',
    b"\xff\xfe",
    b'{"unknown":"\xff"}',
    b"[" * 60_000,
    deep(),
]


# -- users ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("body", [*GARBAGE, msgspec.json.encode(submission())[:-20]])
def test_a_submission_that_cannot_be_read_is_refused_for_good(body: bytes) -> None:
    assert Client()("POST", "/v2/runs", body)[0] == 400


def test_of_a_key_that_is_said_twice_the_last_counts_as_everywhere_in_json() -> None:
    client = Client()
    body = msgspec.json.encode(submission()).replace(b'"pieces":4', b'"pieces":0,"pieces":5')
    assert client("POST", "/v2/runs", body)[0] == 201
    entry = client.node.store.get(live_key(JobId("run-1")))
    assert entry is not None
    assert b'"pieces":5' in bytes(entry.data)


def test_unknown_fields_are_ignored() -> None:
    body = msgspec.json.encode({**submission(), "colour": {"red": [1, None]}})
    assert Client()("POST", "/v2/runs", body)[0] == 201


def test_bodies_above_the_limit_are_refused() -> None:
    body = msgspec.json.encode({**submission(), "padding": "x" * MAX_BODY_BYTES})
    assert Client()("POST", "/v2/runs", body)[0] == 413


@pytest.mark.parametrize("name", ["run-9", "run-", "run-9x", "x", "run-99999999999999999999"])
@pytest.mark.parametrize(("method", "ending"), [("GET", ""), ("POST", "/cancel")])
def test_jobs_that_nobody_submitted_are_not_found(name: str, method: str, ending: str) -> None:
    assert Client()(method, f"/v2/runs/{name}{ending}", b"")[0] == 404


# -- workers --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("host", 3),
        ("tenure", "1"),
        ("tick", None),
        ("tick", 1.5),
        ("mandate", True),
        ("warning_s", "soon"),
        ("pieces", {}),
        ("pieces", [3]),
        ("pieces", [{"piece": "run-1/0"}]),
        ("pieces", [{"piece": "run-1/0", "try": "1", "status": "running"}]),
    ],
)
def test_heartbeats_of_wrong_types_are_refused(field: str, value: object) -> None:
    body = msgspec.json.encode({**GOOD_HEARTBEAT, field: value})
    assert Client()("POST", "/v1/report", body)[0] == 400


@pytest.mark.parametrize("body", GARBAGE)
def test_heartbeats_that_cannot_be_read_are_refused(body: bytes) -> None:
    assert Client()("POST", "/v1/report", body)[0] == 400
    with pytest.raises(MalformedError):
        read_heartbeat(body)


# -- store and cloud ------------------------------------------------------------------------------

STORE_REQUESTS: list[Callable[[Store], Any]] = [
    lambda store: store.get("j/run-1"),
    lambda store: store.listing("j/"),
    lambda store: store.txn({}, []),
    lambda store: store.grant(3.0),
    lambda store: store.watch("j/", Revision(0), 1.0),
]


@pytest.mark.parametrize("request_store", STORE_REQUESTS)
@pytest.mark.parametrize("body", GARBAGE)
def test_an_unreadable_response_of_the_store_counts_as_none(
    request_store: Callable[[Store], Any],
    body: bytes,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Nested deep enough, it ended the process that followed who leads."""
    monkeypatch.setattr(
        "ryewing.clients.store.client.HttpClient.request", lambda *_args: Reply(200, body)
    )
    store = Store(("127.0.0.1", 1), settings().params.state)
    with caplog.at_level(logging.WARNING), pytest.raises(StoreUnavailableError):
        request_store(store)
    assert [record.getMessage().split()[0] for record in caplog.records] == [
        "event=unreadable-answer"
    ]


@pytest.mark.parametrize("body", GARBAGE)
def test_an_unreadable_response_of_the_cloud_counts_as_none(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ryewing.clients.cloud.HttpClient.request", lambda *_args: Reply(200, body))
    cloud = Cloud(("127.0.0.1", 1), CloudLimits(1000.0, 10.0))
    for request in (cloud.machine_types, lambda: cloud.machine_page("")):
        with pytest.raises(CloudUnavailableError):
            request()


def test_a_fault_in_following_who_leads_ends_no_process(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    node = Node(settings(), policy())
    node.store = FakeStore()  # type: ignore[assignment]
    faults: list[Exception] = [RecursionError(), ValueError(), StoreUnavailableError("503")]
    rounds = len(faults)

    def follow() -> None:
        if not faults:
            raise gevent.GreenletExit
        raise faults.pop(0)

    monkeypatch.setattr(node.electors[None], "follow", follow)
    monkeypatch.setattr(node, "http_server", _Started())
    monkeypatch.setattr(node, "peer_server", _Started())
    monkeypatch.setattr("gevent.sleep", lambda _seconds: None)
    with pytest.raises(gevent.GreenletExit):
        node.serve()
    failed = [r for r in caplog.records if "event=follow-failed" in r.getMessage()]
    assert (len(failed), rounds) == (2, 3)


class _Started:
    """A server that need not listen."""

    def start(self) -> None:
        """Begin."""


# -- other controllers ----------------------------------------------------------------------------

FRAMES = [b"", b"\xc1", b"\x90", b"\x81\xa4type\xa1x", b"\x81\xa4type\xa1\xff"]
FRAMES.append(b"\x82\xa4type\xa4poll\xa1x" + b"\x91" * 60_000)


@pytest.mark.parametrize("frame", FRAMES)
def test_a_frame_that_cannot_be_read_closes_the_connection(
    frame: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    server = PeerServer(("127.0.0.1", 0), lambda _request: Ack(True), 10)
    server.start()
    address = server.address
    with gevent.Timeout(PATIENT_S):
        connection = socket.create_connection(address)
        connection.sendall(len(frame).to_bytes(4, "big") + frame)
        assert connection.recv(1) == b""
        connection.close()
        assert PeerClient(address).request(JobStatusQuery("run-1"), PATIENT_S) == Ack(True)
    server.stop()
    assert sum("event=unreadable-frame" in r.getMessage() for r in caplog.records) == 1


@pytest.mark.parametrize("frame", FRAMES)
def test_an_unreadable_response_of_a_peer_counts_as_none(frame: bytes) -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)

    def answer() -> None:
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.sendall(len(frame).to_bytes(4, "big") + frame)

    answering = gevent.spawn(answer)
    with gevent.Timeout(PATIENT_S), pytest.raises(PeerUnavailableError):
        PeerClient(listener.getsockname()).request(JobStatusQuery("run-1"), PATIENT_S)
    answering.kill()
    listener.close()
