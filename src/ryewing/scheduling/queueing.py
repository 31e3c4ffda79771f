"""The order in which jobs get resources: by guarantee, by priority, then by deadline.

Pure functions: the time is passed in. Within a priority, first come, first served would make every
job late once there is more work than capacity. Each job therefore has deadlines from the
service-level objectives or from its owner, and jobs are ordered by the Moore-Hodgson rule, which
minimizes the number of late jobs (J. M. Moore, "An n job, one machine sequencing algorithm for
minimizing the number of late jobs", Management Science 15, 1968): add jobs in the order of their
deadlines, and whenever a job would be late, defer the largest job added so far. Deferred jobs are
ordered by their next deadline. Jobs without a remaining deadline are ordered by age.

Two kinds of jobs go first in their priority: starved jobs, so that every job finishes eventually,
and jobs that are about to miss their last deadline.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ryewing.config.settings import Objective
from ryewing.state.jobs import Job
from ryewing.units import JobId, WallTime

STARVATION_DEADLINE_FACTOR = 3.0
"""A job is starved when its age is more than this many times the time to its last deadline."""
STARVATION_AGE_S = 900.0
"""The age in seconds above which a job without deadlines is starved."""
LAST_CHANCE_SLACK_SHARE = 0.3
"""A job goes first in its priority when its slack is below this share of the time from its
acceptance to its last deadline. The slack is the time left for placing its tasks and fetching its
image."""
OVERDUE_AGE_S = 120.0
"""The age in seconds above which a job that has not begun is overdue. The goal is that every job
begins within twice this age."""
START_LATENCY_S = 3.0
"""Seconds from the decision to place a job until its tasks run."""
MIN_AMOUNT = 1e-3
"""The least demand of a task and the least total supply; avoids a division by zero."""
DEADLINE_LEVELS_MAX = 9
"""How many deadlines of a job are considered before the job is ordered by age."""


class Supply:
    """The usable amount of a resource in the cluster, and how much of it is free.

    Unusable amounts must be excluded. When free GPUs without enough free CPUs on the same machine
    were counted, the order assumed that more jobs could be on time than was possible, and all of
    them were late.
    """

    __slots__ = ("free", "total")

    def __init__(self, total: float = 0.0, free: float = 0.0) -> None:
        self.total = total
        self.free = free


class _GroupKey(NamedTuple):
    """Identifies the jobs that compete for one resource at one priority.

    Groups are processed in the order of their keys.
    """

    is_not_guaranteed: bool
    priority: int
    needs_no_gpus: bool


class _JobDeadline(NamedTuple):
    """A job and the deadline by which it is ordered."""

    deadline: WallTime
    job_id: JobId
    job: Job


class _LargestJob(NamedTuple):
    """An element of a heap whose first element is the job with the most work."""

    negative_work: float
    job_id: JobId
    job: Job


class _Selection(NamedTuple):
    """Which jobs can meet the deadlines by which they are ordered, and which are deferred."""

    on_time: list[Job]
    deferred: list[Job]
    load: float
    """The work of the jobs on time and of all jobs ordered before them, in seconds of the
    resource."""


# -- properties of one job ------------------------------------------------------------------------


def deadlines(job: Job, objectives: Iterable[Objective]) -> tuple[WallTime, ...]:
    """Return the times by which a job should be complete, the earliest first.

    For a job that has not begun, an objective on its start is converted into a deadline for its
    end, so that a job that can no longer meet it goes after the jobs that still can.
    """
    spec = job.spec
    if job.is_service:
        return ()  # a service has no end, so it can't be late
    has_begun = bool(job.assigned_tasks) or job.done_count > 0
    limits_s: set[float] = set()
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            limits_s.add(objective.within_s)
        elif objective.kind == "wait" and objective.within_s is not None and not has_begun:
            limits_s.add(objective.within_s - START_LATENCY_S + job.estimate_s())
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            limits_s.add(spec.deadline_s * (objective.times or 1.0))
    if not limits_s and spec.deadline_s is not None:
        limits_s.add(spec.deadline_s)
    return tuple(WallTime(job.accepted_at + limit_s) for limit_s in sorted(limits_s))


def demand(job: Job) -> float:
    """Return the GPUs that one task of the job needs, or its CPUs if it needs no GPUs."""
    return job.spec.gpus if job.spec.gpus > 0 else max(job.spec.cpus, MIN_AMOUNT)


def is_starved(job: Job, job_deadlines: Sequence[WallTime], now: WallTime) -> bool:
    """Return whether a job has waited so long that it goes first in its priority."""
    longest_s = (
        STARVATION_DEADLINE_FACTOR * (job_deadlines[-1] - job.accepted_at)
        if job_deadlines
        else STARVATION_AGE_S
    )
    return now - job.accepted_at > longest_s


def is_last_chance(job: Job, job_deadlines: Sequence[WallTime], now: WallTime) -> bool:
    """Return whether a job is likely to miss its last deadline unless it goes first now.

    Otherwise a deferred job goes after every job that can still meet an earlier deadline. Under a
    steady stream of such jobs, a few percent of the jobs missed all of their deadlines, and each
    miss counts against the objectives. A job with a single deadline is left to the regular order.
    """
    if len(job_deadlines) < 2:
        return False
    slack_s = job_deadlines[-1] - now - job.estimate_s()
    return 0.0 <= slack_s < LAST_CHANCE_SLACK_SHARE * (job_deadlines[-1] - job.accepted_at)


# -- the order ------------------------------------------------------------------------------------


def overdue(jobs: Iterable[Job], now: WallTime) -> list[Job]:
    """Return the jobs that have waited too long to begin, the most important and oldest first.

    The order defers the largest jobs by design, and a steady stream of smaller jobs can keep taking
    the resources that a large gang waits for. Without a bound, the largest jobs would never begin.
    """
    chosen = [
        job
        for job in jobs
        if not job.assigned_tasks and not job.done_count and now - job.accepted_at > OVERDUE_AGE_S
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
    deadlines_by_job: dict[Job, tuple[WallTime, ...]] = {}
    # The running members of an incomplete gang hold resources while they wait for the others. Under
    # overload, whenever a member's wait timed out, another job got its resources, and the member's
    # replacement had to fetch the image on another machine.
    incomplete_gangs: list[Job] = []
    # A service is degraded for as long as a replica does not run, and replicas need few resources.
    # Services therefore go first in each priority, and those of the highest priority also go before
    # guaranteed jobs.
    top_priority_services: list[Job] = []
    for job in jobs:
        if job.has_missing_members:
            incomplete_gangs.append(job)
        elif job.is_service and job.priority == 0:
            top_priority_services.append(job)
        else:
            deadlines_by_job[job] = deadlines(job, objectives)
            key = _GroupKey(not job.guaranteed, job.priority, job.spec.gpus <= 0)
            groups.setdefault(key, []).append(job)
    result = sorted(top_priority_services, key=_by_age)
    result.extend(sorted(incomplete_gangs, key=_by_priority_and_age))
    gpu_load = cpu_load = 0.0
    for key in sorted(groups):
        services = [job for job in groups[key] if job.is_service]
        finite_jobs = [job for job in groups[key] if not job.is_service]
        # Services add nothing to the load: their run time is infinite, so they have no amount of
        # work in seconds.
        result.extend(sorted(services, key=_by_age))
        work = sum(job.shortfall * demand(job) * job.estimate_s() for job in finite_jobs)
        if key.needs_no_gpus:
            result.extend(_order_by_deadlines(finite_jobs, deadlines_by_job, cpus, cpu_load, now))
            cpu_load += work
        else:
            result.extend(_order_by_deadlines(finite_jobs, deadlines_by_job, gpus, gpu_load, now))
            gpu_load += work
    return result


def _by_age(job: Job) -> tuple[WallTime, JobId]:
    return job.accepted_at, job.id


def _by_priority_and_age(job: Job) -> tuple[int, WallTime, JobId]:
    return job.priority, job.accepted_at, job.id


def _order_by_deadlines(
    jobs: Sequence[Job],
    deadlines_by_job: dict[Job, tuple[WallTime, ...]],
    supply: Supply,
    load: float,
    now: WallTime,
) -> list[Job]:
    """Order the jobs of one group.

    `load` is the work of the jobs in earlier groups; all work is in seconds of the resource.
    """
    first: list[Job] = []
    rest: list[Job] = []
    for job in jobs:
        goes_first = is_starved(job, deadlines_by_job[job], now) or is_last_chance(
            job, deadlines_by_job[job], now
        )
        (first if goes_first else rest).append(job)
    ordered = sorted(first, key=_by_age)
    for level in range(DEADLINE_LEVELS_MAX):
        with_deadline = [
            _JobDeadline(deadlines_by_job[job][level], job.id, job)
            for job in rest
            if level < len(deadlines_by_job[job])
        ]
        without_deadline = [job for job in rest if level >= len(deadlines_by_job[job])]
        selected = _select_on_time(with_deadline, supply, load, now)
        ordered.extend(selected.on_time)
        load = selected.load
        rest = selected.deferred + without_deadline
        if not selected.deferred:
            break
    ordered.extend(sorted(rest, key=_by_age))
    return ordered


def _select_on_time(
    with_deadline: list[_JobDeadline], supply: Supply, load: float, now: WallTime
) -> _Selection:
    """Select the jobs that can meet their deadlines, by the Moore-Hodgson rule.

    The tasks of a job are assumed to run in parallel. A job is expected to end one estimated run
    time after the supply has processed all work ahead of it and its own; the work that the free
    part of the supply does in that run time causes no delay.
    """
    total = max(supply.total, MIN_AMOUNT)
    on_time: dict[Job, None] = {}
    largest_first: list[_LargestJob] = []
    deferred: list[Job] = []
    for deadline, job_id, job in sorted(with_deadline, key=lambda item: item[:2]):
        estimate_s = job.estimate_s()
        if now + estimate_s > deadline:
            deferred.append(job)
            continue
        work = job.shortfall * demand(job) * estimate_s
        on_time[job] = None
        heapq.heappush(largest_first, _LargestJob(-work, job_id, job))
        load += work
        queued_s = max(0.0, load - supply.free * estimate_s) / total
        if now + queued_s + estimate_s > deadline:
            largest = heapq.heappop(largest_first)
            load += largest.negative_work
            del on_time[largest.job]
            deferred.append(largest.job)
    return _Selection(list(on_time), deferred, load)
