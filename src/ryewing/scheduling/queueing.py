"""The order in which jobs get room: guaranteed work, priority, and what can still be on time.

Pure: the time is passed in. Within a priority, first come first served makes every job late once
there is more work than room. So each job has the times by which the service-level objectives (or
its owner) want it done, and jobs are ordered by the rule of Moore and Hodgson for the fewest late
jobs (J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of late
jobs", Management Science 15, 1968): take jobs by deadline, and whenever one would be late, put off
the largest taken so far. Jobs put off try for their next deadline. Jobs with none left go by age.
Two kinds of jobs go first in their priority: those far overdue, so that everything finishes in the
end, and those about to miss their last deadline.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ryewing.config.settings import Objective
from ryewing.state.jobs import Job
from ryewing.units import JobId, WallTime

STARVED_SPANS = 3.0
"""A job older than this many times its longest deadline goes first in its priority."""
STARVED_S = 900.0
"""The age at which a job without any deadline goes first in its priority."""
LAST_CHANCE_SHARE = 0.3
"""The share of the time to its last deadline that a job is given to get its places and images."""
BEGIN_S = 120.0
"""How long the order may put off a job that has not begun; it is to begin in twice that time."""
START_S = 3.0
"""The time from the decision to place a job until its tasks run."""
MIN_AMOUNT = 1e-3
"""Stands in for a demand or supply of nothing; avoids divisions by zero."""
DEADLINE_LEVELS_MAX = 9
"""How many of its deadlines a job may try for before it goes by age."""


class Supply:
    """How much of a resource can be used, and how much of that is free.

    What nobody can use must not count: when GPUs without processors beside them were taken for
    supply, more jobs were thought to be on time than could be, and then all of them were late.
    """

    __slots__ = ("free", "total")

    def __init__(self, total: float = 0.0, free: float = 0.0) -> None:
        self.total = total
        self.free = free


class _GroupKey(NamedTuple):
    """Jobs that compete for one resource at one priority; groups go in the order of their keys."""

    is_not_guaranteed: bool
    priority: int
    needs_no_gpus: bool


class _Dated(NamedTuple):
    """A job and the deadline that it tries for."""

    deadline: WallTime
    job_id: JobId
    job: Job


class _Largest(NamedTuple):
    """A job in a heap whose first element is the largest job."""

    negative_work: float
    job_id: JobId
    job: Job


class _Selected(NamedTuple):
    """Which jobs can meet the deadlines that they try for."""

    on_time: list[Job]
    put_off: list[Job]
    load: float
    """The work of these and of all jobs before them."""


# -- facts about one job --------------------------------------------------------------------------


def deadlines(job: Job, objectives: Iterable[Objective]) -> tuple[WallTime, ...]:
    """Return the times by which a job should be complete, the earliest first.

    An objective for the start of a job that has not begun counts as one for its end: a job that
    can't meet the first of them any more goes after those that still can.
    """
    spec = job.spec
    if job.is_service:
        return ()  # it has no end that could be late
    begun = bool(job.assigned_tasks) or job.done_count > 0
    spans_s: set[float] = set()
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            spans_s.add(objective.within_s)
        elif objective.kind == "wait" and objective.within_s is not None and not begun:
            spans_s.add(objective.within_s - START_S + job.estimate_s())
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            spans_s.add(spec.deadline_s * (objective.times or 1.0))
    if not spans_s and spec.deadline_s is not None:
        spans_s.add(spec.deadline_s)
    return tuple(WallTime(job.accepted_at + span_s) for span_s in sorted(spans_s))


def demand(job: Job) -> float:
    """Return how much of the resource it competes for one task takes: GPUs if it needs any."""
    return job.spec.gpus if job.spec.gpus > 0 else max(job.spec.cpus, MIN_AMOUNT)


def is_starved(job: Job, times: Sequence[WallTime], now: WallTime) -> bool:
    """Return whether a job with these deadlines has waited so long that it must go first."""
    longest_s = STARVED_SPANS * (times[-1] - job.accepted_at) if times else STARVED_S
    return now - job.accepted_at > longest_s


def is_last_chance(job: Job, times: Sequence[WallTime], now: WallTime) -> bool:
    """Return whether a job will miss even the last of its deadlines unless it goes first now.

    A job that was put off goes after all that can still meet an earlier deadline. Where there are
    always some, a few jobs in a hundred missed every deadline they had, and each one counts
    against the objectives. With a single deadline it is the order that decides who meets it.
    """
    if len(times) < 2:
        return False
    slack_s = times[-1] - now - job.estimate_s()
    return 0.0 <= slack_s < LAST_CHANCE_SHARE * (times[-1] - job.accepted_at)


# -- the order ------------------------------------------------------------------------------------


def overdue(jobs: Iterable[Job], now: WallTime) -> list[Job]:
    """Return the jobs that have waited too long to begin, the most important and oldest first.

    The order puts the largest jobs off by design, and a steady stream of smaller ones can keep
    taking what a large gang waits for: without a bound, the largest would never begin.
    """
    chosen = [
        job
        for job in jobs
        if not job.assigned_tasks and not job.done_count and now - job.accepted_at > BEGIN_S
    ]
    return sorted(chosen, key=_by_priority_and_age)


def order(
    jobs: Iterable[Job],
    objectives: Sequence[Objective],
    gpus: Supply,
    cpus: Supply,
    now: WallTime,
) -> list[Job]:
    """Return the jobs with a shortfall in the order in which a scheduling cycle places them."""
    groups: dict[_GroupKey, list[Job]] = {}
    times: dict[Job, tuple[WallTime, ...]] = {}
    # A gang that lacks members keeps all its other places waiting: found on an overloaded day,
    # where others took the room of each that gave up, and the next one had to fetch elsewhere.
    incomplete_gangs: list[Job] = []
    # Replicas that don't run are missed at every moment, and take little: each priority begins
    # with them, and those of the highest priority go before guarantees.
    first_services: list[Job] = []
    for job in jobs:
        if job.has_missing_members:
            incomplete_gangs.append(job)
        elif job.is_service and job.priority == 0:
            first_services.append(job)
        else:
            times[job] = deadlines(job, objectives)
            key = _GroupKey(not job.guaranteed, job.priority, job.spec.gpus <= 0)
            groups.setdefault(key, []).append(job)
    result = sorted(first_services, key=_by_age)
    result.extend(sorted(incomplete_gangs, key=_by_priority_and_age))
    gpu_load = cpu_load = 0.0
    for key in sorted(groups):
        services = [job for job in groups[key] if job.is_service]
        ending = [job for job in groups[key] if not job.is_service]
        # Services are no load on the jobs after them: a place that is taken for good is no matter
        # of time.
        result.extend(sorted(services, key=_by_age))
        work = sum(job.shortfall * demand(job) * job.estimate_s() for job in ending)
        if key.needs_no_gpus:
            result.extend(_order_by_deadlines(ending, times, cpus, cpu_load, now))
            cpu_load += work
        else:
            result.extend(_order_by_deadlines(ending, times, gpus, gpu_load, now))
            gpu_load += work
    return result


def _by_age(job: Job) -> tuple[WallTime, JobId]:
    return job.accepted_at, job.id


def _by_priority_and_age(job: Job) -> tuple[int, WallTime, JobId]:
    return job.priority, job.accepted_at, job.id


def _order_by_deadlines(
    jobs: Sequence[Job],
    times: dict[Job, tuple[WallTime, ...]],
    supply: Supply,
    load: float,
    now: WallTime,
) -> list[Job]:
    """Order the jobs of one group, after jobs that load the supply with so much work.

    `load` is in seconds of the resource, as is all work here; `times` has the jobs' deadlines.
    """
    first: list[Job] = []
    rest: list[Job] = []
    for job in jobs:
        goes_first = is_starved(job, times[job], now) or is_last_chance(job, times[job], now)
        (first if goes_first else rest).append(job)
    ordered = sorted(first, key=_by_age)
    for level in range(DEADLINE_LEVELS_MAX):
        dated = [_Dated(times[job][level], job.id, job) for job in rest if level < len(times[job])]
        undated = [job for job in rest if level >= len(times[job])]
        selected = _select_on_time(dated, supply, load, now)
        ordered.extend(selected.on_time)
        load = selected.load
        rest = selected.put_off + undated
        if not selected.put_off:
            break
    ordered.extend(sorted(rest, key=_by_age))
    return ordered


def _select_on_time(dated: list[_Dated], supply: Supply, load: float, now: WallTime) -> _Selected:
    """Select the jobs that can meet their deadlines, by the rule of Moore and Hodgson.

    Tasks are taken to run side by side: a job ends one estimated run time after all work before it
    has got through the supply, less what the free part of the supply does in that run time.
    """
    total = max(supply.total, MIN_AMOUNT)
    on_time: dict[Job, None] = {}
    largest_first: list[_Largest] = []
    put_off: list[Job] = []
    for deadline, job_id, job in sorted(dated, key=lambda item: item[:2]):
        estimate_s = job.estimate_s()
        if now + estimate_s > deadline:
            put_off.append(job)
            continue
        work = job.shortfall * demand(job) * estimate_s
        on_time[job] = None
        heapq.heappush(largest_first, _Largest(-work, job_id, job))
        load += work
        queued_s = max(0.0, load - supply.free * estimate_s) / total
        if now + queued_s + estimate_s > deadline:
            largest = heapq.heappop(largest_first)
            load += largest.negative_work
            del on_time[largest.job]
            put_off.append(largest.job)
    return _Selected(list(on_time), put_off, load)
