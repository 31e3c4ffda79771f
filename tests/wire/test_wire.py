"""Ids and the bodies that cross the outside border."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from support.fakes import job_spec, submission
from support.placement_world import MACHINE_TYPES, TEAMS

from ryewing.state.resources import infeasibility_reason
from ryewing.units import JobId, TaskId, TermNumber, attempt_number, is_job_id, parse_task_id
from ryewing.wire.codec import MalformedError
from ryewing.wire.jobs import read_job_spec


@pytest.mark.parametrize(
    ("text", "good"),
    [
        ("run-000412", True),
        ("run-1", True),
        ("run-", False),
        ("run-12x", False),
        ("job-12", False),
        ("run-1/2", False),
        ("", False),
        (None, False),
        (7, False),
    ],
)
def test_job_ids(text: object, good: bool) -> None:
    assert is_job_id(text) is good


def test_task_names_and_attempts() -> None:
    assert parse_task_id("run-000412/3") == TaskId(JobId("run-000412"), 3)
    assert [parse_task_id(bad) for bad in ("run-1", "run-1/", "run-1/-2", "x/1")] == [None] * 4
    # No two terms give out the same attempt, whatever their counters.
    assert attempt_number(TermNumber(2), 1) > attempt_number(TermNumber(1), 2**24 - 1)


GOOD = submission()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("shape", "pile"),
        ("rank", "vip"),
        ("pieces", 0),
        ("pieces", 100_001),
        ("pieces", "4"),
        ("pieces", 1.5),
        ("vcpus", -1.0),
        ("vcpus", None),
        ("cards", "two"),
        ("mem_gb", True),
        ("owner", ""),
        ("flavours", "c32"),
        ("flavours", [1]),
        ("loaner", "yes"),
        ("due_s", -5.0),
        ("ref", 12),
    ],
)
def test_malformed_submissions(field: str, value: object) -> None:
    with pytest.raises(MalformedError, match=field):
        read_job_spec(msgspec.json.encode({**GOOD, field: value}))


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"3", b"\xff", b'{"ref":"run-1"}', b'{"vcpus": NaN}', b"[" * 60000],
)
def test_bodies_that_are_no_submission(body: bytes) -> None:
    with pytest.raises(MalformedError):
        read_job_spec(body)


def test_infinite_amounts_are_malformed() -> None:
    body = msgspec.json.encode(GOOD).replace(b'"vcpus":4.0', b'"vcpus":1e999')
    with pytest.raises(MalformedError):
        read_job_spec(body)


def test_unknown_fields_are_ignored() -> None:
    assert read_job_spec(msgspec.json.encode({**GOOD, "colour": "red"})).id == "run-1"


@pytest.mark.parametrize(
    ("changes", "possible"),
    [
        ({}, True),
        ({"team": "nobody"}, False),
        ({"cpus": 33.0}, False),
        ({"gpus": 4.0, "cpus": 24.0}, True),
        ({"gpus": 5.0}, False),
        ({"gpus": 1.0, "machine_types": ["c32"]}, False),
        ({"machine_types": []}, False),
        ({"zone": "z"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 99}, True),  # array: one task counts
        ({"team": "red", "gpus": 4.0, "task_count": 3, "shape": "group"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 2, "shape": "group"}, True),
        ({"team": "blue", "cpus": 32.0, "task_count": 3, "shape": "group"}, False),
    ],
)
def test_what_can_never_run(changes: dict[str, Any], possible: bool) -> None:
    assert (infeasibility_reason(job_spec(**changes), MACHINE_TYPES, TEAMS) is None) is possible
