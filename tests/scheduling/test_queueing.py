"""In which order jobs get room."""

from __future__ import annotations

import pytest
from support.fakes import job
from support.placement_world import queue_order


def test_what_can_be_on_time_goes_before_what_cannot() -> None:
    jobs = [
        job("run-1", at=0.0, task_count=100, cpus=1.0),  # too large to be on time with the others
        job("run-2", at=1.0, task_count=4, cpus=1.0),
        job("run-3", at=-40.0, task_count=4, cpus=1.0),  # late for 60 s, not for 120 s
    ]
    assert queue_order(jobs, 16.0, 5.0) == ["run-2", "run-3", "run-1"]


def test_work_before_a_priority_is_not_supply_for_it() -> None:
    """Found on a drawn day: what goes first was not counted, so all of the rest was late."""
    first = job("run-1", at=0.0, task_count=12, cpus=1.0, priority="urgent")
    rest = [
        job("run-2", at=0.0, task_count=12, cpus=1.0),  # in time alone, not after the first
        job("run-3", at=0.5, task_count=2, cpus=1.0),
    ]
    assert queue_order(rest, 16.0, 1.0) == ["run-2", "run-3"]
    assert queue_order([*rest, first], 16.0, 1.0) == ["run-1", "run-3", "run-2"]


def test_far_overdue_jobs_come_first() -> None:
    jobs = [job("run-1", at=0.0, task_count=1000), job("run-2", at=390.0)]
    assert queue_order(jobs, 16.0, 300.0)[0] == "run-2"
    assert queue_order(jobs, 16.0, 400.0)[0] == "run-1"


@pytest.mark.parametrize(
    ("now", "first"),
    [
        (40.0, "run-2"),  # large, and late for 60 s: put off
        (70.0, "run-1"),  # it makes 120 s only if it goes now
        (95.0, "run-2"),  # too late for that as well
    ],
)
def test_a_job_about_to_miss_its_last_deadline_comes_first(now: float, first: str) -> None:
    """Found on a day with a zone cut off: four in a hundred missed every deadline they had."""
    jobs = [job("run-1", at=0.0, task_count=40, cpus=1.0), job("run-2", at=now - 1.0, cpus=1.0)]
    assert queue_order(jobs, 16.0, now)[0] == first


def test_rank_and_guarantee_go_before_deadlines() -> None:
    jobs = [
        job("run-1", priority="idle"),
        job("run-2", priority="urgent"),
        job("run-3", priority="idle"),
    ]
    jobs[2].guaranteed = True
    assert queue_order(jobs, 100.0, 1.0) == ["run-3", "run-2", "run-1"]
