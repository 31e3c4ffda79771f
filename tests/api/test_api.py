"""The users' interface against a fake store: what is answered when, and never otherwise."""

from __future__ import annotations

import io
import json
from typing import Any

import msgspec
import pytest
from support.api_client import Client, FakeLeader
from support.fakes import submission

from ryewing.api.http_server import MAX_HEADER_BYTES, MAX_HEADERS, RequestHeaders
from ryewing.units import JobId
from ryewing.wire.jobs import JobStatus


@pytest.fixture
def client() -> Client:
    return Client()


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/healthz", 200),
        ("POST", "/healthz", 405),
        ("GET", "/v2/runs", 405),
        ("PUT", "/v2/runs/run-1", 405),
        ("GET", "/v2/runs/run-1/cancel", 405),
        ("GET", "/v1/report", 405),
        ("GET", "/", 404),
        ("GET", "/v2/runs/run-1/more", 404),
        ("GET", "/v2/runs/run-1", 404),
        ("GET", "/v2/runs/x", 404),
        ("POST", "/v2/runs/run-1/cancel", 404),
        ("POST", "/v1/report", 400),
    ],
)
def test_paths_and_methods(client: Client, method: str, path: str, status: int) -> None:
    assert client(method, path)[0] == status


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({}, 201),
        ({"ref": "job-1"}, 400),
        ({"ref": None}, 400),
        ({"pieces": 0}, 400),
        ({"owner": "nobody"}, 422),
        ({"vcpus": 1000.0}, 422),
        ({"flavours": ["c32", "unknown"]}, 201),
        ({"shape": "daemon", "guess_s": 0.0}, 201),
    ],
)
def test_submissions(client: Client, changes: dict[str, Any], status: int) -> None:
    assert client.submit(**changes)[0] == status


NULLABLE = ("flavours", "site", "due_s")
TEXTS = ("ref", "jobclass", "owner", "shape", "rank", "bundle")
AMOUNTS = ("vcpus", "cards", "mem_gb", "image_gb", "guess_s", "savepoint_s", "flush_s", "due_s")
NEEDS = ("vcpus", "cards", "mem_gb")


@pytest.mark.parametrize("field", [*submission(machine_types=["c32"], zone="a", deadline_s=9.0)])
def test_every_field_by_itself(client: Client, field: str) -> None:
    """Left out, null, of a wrong type, negative, huge: refused for good, and never accepted.

    Jobs that lacked `together`, `spread` or `loaner` were accepted.
    """
    good = submission(machine_types=["c32"], zone="a", deadline_s=9.0)
    left_out = {name: value for name, value in good.items() if name != field}
    wrong: list[Any] = [{}, -1, "x", [1], 10**400]
    if field in TEXTS:
        wrong = [{}, -1, 4.5, True, [], ""]
    elif field in ("together", "spread", "loaner"):
        wrong = [{}, 0, 1, "true", []]
    elif field == "flavours":
        wrong = [{}, 1, "c32", [None], [[]]]
    elif field == "site":
        wrong = [{}, 1, True, ["a"]]
    elif field in AMOUNTS:
        wrong = [{}, True, "4", [4.0], -1.0]
    if field not in NULLABLE:
        wrong.append(None)
        assert client("POST", "/v2/runs", msgspec.json.encode(left_out))[0] == 400
    for value in wrong:
        body = msgspec.json.encode({**good, field: 0}).replace(
            f'"{field}":0'.encode(), f'"{field}":{json.dumps(value)}'.encode()
        )
        assert client("POST", "/v2/runs", body)[0] == 400, value
    for text in (b"NaN", b"Infinity", b"1e999", b"-1e999"):
        body = msgspec.json.encode({**good, field: 0}).replace(
            f'"{field}":0'.encode(), f'"{field}":'.encode() + text
        )
        assert client("POST", "/v2/runs", body)[0] == 400, text
    if field in NEEDS:
        assert client.submit(**{field: 1e300})[0] == 422
    assert client("GET", "/v2/runs/run-1")[0] == 404
    if field in NULLABLE:
        assert client("POST", "/v2/runs", msgspec.json.encode(left_out))[0] == 201
        assert client.submit(**{field: None}) == (200, {"ref": "run-1", "status": "queued"})


@pytest.mark.parametrize("changes", [{}, {"task_count": 0}, {"team": "nobody"}])
@pytest.mark.parametrize("state", ["queued", "cancelled", "done"])
@pytest.mark.parametrize("full", [False, True])
def test_a_known_job_is_known_before_any_other_judgement(
    client: Client, state: str, changes: dict[str, Any], full: bool
) -> None:
    if state == "done":
        client.add_final_record("run-1", "done")
    else:
        client.add_live_job(cancelled=state == "cancelled")
    client.node.is_job_memory_full = full
    assert client.submit(**changes) == (200, {"ref": "run-1", "status": state})


@pytest.mark.parametrize(
    ("call", "body"),
    [
        (("POST", "/v2/runs"), msgspec.json.encode(submission())),
        (("POST", "/v2/runs"), msgspec.json.encode({**submission(), "pieces": 0})),
        (("GET", "/v2/runs/run-1"), b""),
        (("POST", "/v2/runs/run-1/cancel"), b""),
    ],
)
def test_without_the_store_nothing_is_denied(
    client: Client, call: tuple[str, str], body: bytes
) -> None:
    """Neither 404 nor 400: the job may be known to the store."""
    client.node.store.down = True
    assert client(*call, body)[0] == 503
    assert int(client.headers["Retry-After"]) >= 1


def test_a_lost_answer_to_an_accepted_submission(client: Client) -> None:
    client.node.store.lose_answers = True
    assert client.submit()[0] == 503
    client.node.store.lose_answers = False
    assert client.submit() == (200, {"ref": "run-1", "status": "queued"})


def test_machine_types_not_known_yet(client: Client) -> None:
    client.node.machine_types = {}
    assert client.submit()[0] == 503


def test_more_jobs_than_memory_allows_are_refused(client: Client) -> None:
    client.node.is_job_memory_full = True
    assert client.submit()[0] == 503
    assert client.headers["Retry-After"] == "30"


@pytest.mark.parametrize(
    ("lines", "wrong", "length"),
    [
        (b"Host: x\r\nCONTENT-length: 12 \r\n", False, "12"),
        (b"Content-Length: 12\r\nContent-Length: 12\r\n", False, "12"),
        (b"Content-Length: 12\r\nContent-Length: 13\r\n", True, None),
        (b"no colon\r\n", True, None),
        (b"Bad : 1\r\n", True, None),
        (b"A: " + b"x" * MAX_HEADER_BYTES + b"\r\n", True, None),
        (b"".join(b"H%d: 1\r\n" % n for n in range(MAX_HEADERS)), True, None),
        (b"", False, None),
    ],
)
def test_headers(lines: bytes, wrong: bool, length: str | None) -> None:
    """Read by our own hand, since the mail parser took a third of what a heartbeat costs."""
    headers = RequestHeaders.read(io.BytesIO(lines + b"\r\nbody"))
    assert bool(headers.status) is wrong
    if not wrong:
        assert headers.get("Content-Length") == length
        assert headers.get("X-None", "") == ""


def test_large_bodies(client: Client) -> None:
    assert client("POST", "/v2/runs", b" " * 70_000)[0] == 413
    assert client.headers["Connection"] == "close"


def test_polls_prefer_the_leader_and_fall_back_to_the_store(client: Client) -> None:
    client.add_live_job()
    assert client("GET", "/v2/runs/run-1")[1]["status"] == "queued"
    client.node.remote_statuses["run-1"] = JobStatus("run-1", "running", 1, 3)
    assert client("GET", "/v2/runs/run-1")[1] == {
        "ref": "run-1",
        "status": "running",
        "done": 1,
        "running": 3,
    }


@pytest.mark.parametrize("who", ["leader", "follower", "follower of a silent leader", "nobody"])
@pytest.mark.parametrize(
    ("stored", "told"),
    [
        (("live", False), "queued"),
        (("live", True), "cancelled"),
        (("final", "done"), "done"),
        (("final", "cancelled"), "cancelled"),
    ],
)
def test_an_accepted_job_stays_known_through_troubles_and_after(
    client: Client, who: str, stored: tuple[str, Any], told: str
) -> None:
    """Whoever is asked, and whoever leads: never 404, and an answer once the troubles are over.

    Answered by the leader from memory where it may, else from the store by whom users reach.
    """
    node = client.node
    if stored[0] == "live":
        client.add_live_job("run-1", cancelled=stored[1])
    else:
        client.add_final_record("run-1", stored[1])
    if who == "leader":
        node.leader = FakeLeader()  # its lease is gone, or the final write is under way
    if who == "follower" and told == "queued":
        node.remote_statuses[JobId("run-1")] = JobStatus("run-1", "queued")
    if who == "nobody":
        node.remote_leader_name = None
    node.store.down = True
    for _ in range(3):
        status, answer = client("GET", "/v2/runs/run-1")
        assert status in (200, 503)
        assert answer.get("status") == told if status == 200 else "Retry-After" in client.headers
    node.store.down = False
    for _ in range(2):  # every question from now on, so well within the 75 s
        status, answer = client("GET", "/v2/runs/run-1")
        assert (status, answer["status"]) == (200, told)
    assert client("GET", "/v2/runs/run-2")[0] == 404


def test_final_states_are_remembered_in_a_bounded_way(client: Client) -> None:
    for n in range(1, 6):
        client.add_final_record(f"run-{n}", "done")
        assert client("GET", f"/v2/runs/run-{n}")[0] == 200
    client.node.store.down = True
    seen = [client("GET", f"/v2/runs/run-{n}")[0] for n in range(1, 6)]
    assert seen == [503, 503, 200, 200, 200]


@pytest.mark.parametrize(
    ("state", "answer"),
    [("live", "cancelled"), ("cancelled", "cancelled"), ("done", "done")],
)
def test_cancels(client: Client, state: str, answer: str) -> None:
    if state == "done":
        client.add_final_record("run-1", "done")
    else:
        client.add_live_job(cancelled=state == "cancelled")
    expected = (200, {"ref": "run-1", "status": answer})
    assert client("POST", "/v2/runs/run-1/cancel") == expected
    assert client("GET", "/v2/runs/run-1") == expected


def test_no_user_is_told_of_a_cancel_before_the_leader_knows(client: Client) -> None:
    """The leader answers polls from memory: it could go on telling an older state."""
    client.add_live_job()
    client.node.cancel_acknowledged = False
    assert client("POST", "/v2/runs/run-1/cancel")[0] == 503
    client.node.cancel_acknowledged = True
    assert client("POST", "/v2/runs/run-1/cancel")[0] == 200


@pytest.mark.parametrize(
    ("leads", "follows", "status", "body"),
    [
        (False, "n-1", 421, {"foreman": "n-1"}),
        (True, "n-1", 421, {"foreman": "n-1"}),  # leads no longer, or may not answer
        (False, None, 503, {"error": "no leader is known"}),
    ],
)
def test_workers_are_sent_to_the_leader(
    client: Client, leads: bool, follows: str | None, status: int, body: dict[str, str]
) -> None:
    client.node.leader = FakeLeader() if leads else None
    client.node.remote_leader_name = follows
    heartbeat = {"host": "i-1", "tenure": 1, "tick": 1, "mandate": 0, "flavour": "c32", "site": "a"}
    assert client("POST", "/v1/report", msgspec.json.encode(heartbeat)) == (status, body)
