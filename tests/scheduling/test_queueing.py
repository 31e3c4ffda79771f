"""The order in which jobs get resources (`queueing.order`)."""

from __future__ import annotations

import pytest
from support.fakes import job
from support.placement_world import queue_order


def test_jobs_that_can_be_on_time_go_before_those_that_cannot() -> None:
    jobs = [
        job("run-1", at=0.0, task_count=100, cpus=1.0),  # too large to be on time with the others
        job("run-2", at=1.0, task_count=4, cpus=1.0),
        job("run-3", at=-40.0, task_count=4, cpus=1.0),  # misses 60 s, meets 120 s
    ]
    assert queue_order(jobs, 16.0, 5.0) == ["run-2", "run-3", "run-1"]


def test_work_of_higher_priorities_counts_as_load_for_lower_ones() -> None:
    """The load of jobs that go first must be counted.

    When it was not, all jobs of the lower priority were late on a randomly generated day.
    """
    first = job("run-1", at=0.0, task_count=12, cpus=1.0, priority="urgent")
    rest = [
        job("run-2", at=0.0, task_count=12, cpus=1.0),  # on time only without the urgent job
        job("run-3", at=0.5, task_count=2, cpus=1.0),
    ]
    assert queue_order(rest, 16.0, 1.0) == ["run-2", "run-3"]
    assert queue_order([*rest, first], 16.0, 1.0) == ["run-1", "run-3", "run-2"]


def test_starved_jobs_go_first() -> None:
    jobs = [job("run-1", at=0.0, task_count=1000), job("run-2", at=390.0)]
    assert queue_order(jobs, 16.0, 300.0)[0] == "run-2"
    assert queue_order(jobs, 16.0, 400.0)[0] == "run-1"


@pytest.mark.parametrize(
    ("now", "first"),
    [
        (40.0, "run-2"),  # run-1 is large and misses 60 s, so it is deferred
        (70.0, "run-1"),  # it meets 120 s only if it goes now
        (95.0, "run-2"),  # it can't meet 120 s any more
    ],
)
def test_a_job_about_to_miss_its_last_deadline_goes_first(now: float, first: str) -> None:
    """While a zone was unreachable, four percent of the jobs missed all of their deadlines."""
    jobs = [job("run-1", at=0.0, task_count=40, cpus=1.0), job("run-2", at=now - 1.0, cpus=1.0)]
    assert queue_order(jobs, 16.0, now)[0] == first


def test_guarantee_and_priority_go_before_deadlines() -> None:
    jobs = [
        job("run-1", priority="idle"),
        job("run-2", priority="urgent"),
        job("run-3", priority="idle"),
    ]
    jobs[2].guaranteed = True
    assert queue_order(jobs, 100.0, 1.0) == ["run-3", "run-2", "run-1"]
