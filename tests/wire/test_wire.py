"""Ids, and the decoding and checks of submissions."""

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
    ("text", "valid"),
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
def test_job_ids(text: object, valid: bool) -> None:
    assert is_job_id(text) is valid


def test_task_ids_and_attempt_numbers() -> None:
    assert parse_task_id("run-000412/3") == TaskId(JobId("run-000412"), 3)
    assert [parse_task_id(text) for text in ("run-1", "run-1/", "run-1/-2", "x/1")] == [None] * 4
    # Two terms never use the same attempt number, whatever their counters are.
    assert attempt_number(TermNumber(2), 1) > attempt_number(TermNumber(1), 2**24 - 1)


VALID_SUBMISSION = submission()


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
def test_invalid_fields_are_malformed(field: str, value: object) -> None:
    with pytest.raises(MalformedError, match=field):
        read_job_spec(msgspec.json.encode({**VALID_SUBMISSION, field: value}))


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"3", b"\xff", b'{"ref":"run-1"}', b'{"vcpus": NaN}', b"[" * 60000],
)
def test_invalid_bodies_are_malformed(body: bytes) -> None:
    with pytest.raises(MalformedError):
        read_job_spec(body)


def test_infinite_amounts_are_malformed() -> None:
    body = msgspec.json.encode(VALID_SUBMISSION).replace(b'"vcpus":4.0', b'"vcpus":1e999')
    with pytest.raises(MalformedError):
        read_job_spec(body)


def test_unknown_fields_are_ignored() -> None:
    assert read_job_spec(msgspec.json.encode({**VALID_SUBMISSION, "colour": "red"})).id == "run-1"


@pytest.mark.parametrize(
    ("changes", "feasible"),
    [
        ({}, True),
        ({"team": "nobody"}, False),
        ({"cpus": 33.0}, False),
        ({"gpus": 4.0, "cpus": 24.0}, True),
        ({"gpus": 5.0}, False),
        ({"gpus": 1.0, "machine_types": ["c32"]}, False),
        ({"machine_types": []}, False),
        ({"zone": "z"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 99}, True),  # array: one task must fit
        ({"team": "red", "gpus": 4.0, "task_count": 3, "shape": "group"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 2, "shape": "group"}, True),
        ({"team": "blue", "cpus": 32.0, "task_count": 3, "shape": "group"}, False),
    ],
)
def test_infeasible_jobs(changes: dict[str, Any], feasible: bool) -> None:
    assert (infeasibility_reason(job_spec(**changes), MACHINE_TYPES, TEAMS) is None) is feasible
