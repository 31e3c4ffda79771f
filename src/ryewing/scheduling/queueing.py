"""In which order jobs get room: guaranteed work, rank, and what can still be on time.

Pure: the clock is passed in. Within a rank, first come first served makes every job late once
there is more work than room. So each job has the times by which the settings' objectives (or
its owner) want it done, and the jobs are ordered as in Moore and Hodgson's rule: by deadline,
and whenever one would be late, the largest so far is put off. What is put off tries for its next
deadline; what has none left goes by age, and is brought to the front when it is far overdue, so
that everything finishes in the end. So is what is about to miss its last deadline.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from ryewing.config.settings import Objective
from ryewing.state.jobs import Job
from ryewing.units import WallTime

STARVED_SPANS = 3.0
"""A job that is so many times its longest deadline old goes first in its rank."""
LAST_CHANCE = 0.3
"""The part of the time to its last deadline that a job is given to get its places and images."""
BEGIN_S = 120.0
"""How long the order may put a job off before it has begun at all; it is to begin in twice that."""
START_S = 3.0
"""What passes from the decision to place a job until its tasks run."""
STARVED_S = 900.0
"""The same for a job without any deadline."""


class Supply:
    """How much of the deciding resource can be used, and how much of that is free.

    What nobody can use must not count: with GPUs that have no processors beside them taken for
    supply, more jobs were thought to be on time than could be, and then all of them were late.
    """

    __slots__ = ("free", "total")

    def __init__(self, total: float = 0.0, free: float = 0.0) -> None:
        self.total = total
        self.free = free


def deadlines(job: Job, objectives: Iterable[Objective]) -> tuple[WallTime, ...]:
    """List the times by which a job should be complete, the earliest first.

    An aim for its start counts as one for its end, as long as it has not begun: whoever can't make
    the first of them any more goes after those who still can.
    """
    spec = job.spec
    if job.is_service:
        return ()  # it has no end that could be late
    begun = bool(job.live) or job.done_count > 0
    found: set[float] = set()
    for objective in objectives:
        if objective.job_class != spec.job_class:
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            found.add(objective.within_s)
        elif objective.kind == "wait" and objective.within_s is not None and not begun:
            found.add(objective.within_s - START_S + job.estimate_s())
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            found.add(spec.deadline_s * (objective.times or 1.0))
    if not found and spec.deadline_s is not None:
        found.add(spec.deadline_s)
    return tuple(WallTime(job.accepted_at + span) for span in sorted(found))


def demand(job: Job) -> float:
    """Tell how much of the deciding resource one task takes: GPUs if it needs any."""
    return job.spec.gpus if job.spec.gpus > 0 else max(job.spec.cpus, 1e-3)


def starved(job: Job, times: Sequence[WallTime], now: WallTime) -> bool:
    """Tell whether a job has waited so long that it must go first."""
    span = STARVED_SPANS * (times[-1] - job.accepted_at) if times else STARVED_S
    return now - job.accepted_at > span


def last_chance(job: Job, times: Sequence[WallTime], now: WallTime) -> bool:
    """Tell whether a job will miss even its last deadline unless it goes first now.

    What was put off goes after all that can still make an earlier deadline. Where those never end,
    a few jobs in a hundred missed every deadline they had, which each counts for. With a single
    deadline it is the order that decides who makes it.
    """
    if len(times) < 2:
        return False
    slack = times[-1] - now - job.estimate_s()
    return 0.0 <= slack < LAST_CHANCE * (times[-1] - job.accepted_at)


def overdue(jobs: Iterable[Job], now: WallTime) -> list[Job]:
    """Choose the jobs that have waited too long to begin, the most important and oldest first.

    The order puts the largest jobs off by design, and a steady stream of smaller ones can keep
    taking what a large gang waits for: without a bound, the largest would never begin.
    """
    chosen = [
        job
        for job in jobs
        if not job.live and not job.done_count and now - job.accepted_at > BEGIN_S
    ]
    return sorted(chosen, key=lambda job: (job.priority, job.accepted_at, job.id))


def _priority_order(
    jobs: Sequence[Job],
    times: dict[Job, tuple[WallTime, ...]],
    supply: Supply,
    before: float,
    now: WallTime,
) -> list[Job]:
    """Order the jobs of one rank that compete for one resource, after the work before them."""
    first: list[Job] = []
    rest: list[Job] = []
    for job in jobs:
        early = starved(job, times[job], now) or last_chance(job, times[job], now)
        (first if early else rest).append(job)
    first.sort(key=lambda job: (job.accepted_at, job.id))
    total = max(supply.total, 1e-3)
    done: list[Job] = []
    load = before
    level = 0
    while rest:
        dated: list[tuple[WallTime, str, Job]] = []
        undated: list[Job] = []
        for job in rest:
            if level < len(times[job]):
                dated.append((times[job][level], job.id, job))
            else:
                undated.append(job)
        dated.sort(key=lambda item: item[:2])
        kept: dict[Job, WallTime] = {}
        heap: list[tuple[float, str, Job]] = []
        put_off: list[Job] = []
        for when, _id, job in dated:
            estimate = job.estimate_s()
            unit = demand(job)
            work = job.shortfall * unit * estimate
            if now + estimate > when:
                put_off.append(job)
                continue
            kept[job] = when
            heapq.heappush(heap, (-work, job.id, job))
            load += work
            if now + max(0.0, load - supply.free * estimate) / total + estimate > when:
                largest, _id2, victim = heapq.heappop(heap)
                load += largest
                del kept[victim]
                put_off.append(victim)
        done.extend(kept)
        if not put_off:
            done.extend(sorted(undated, key=lambda job: (job.accepted_at, job.id)))
            break
        rest = put_off + undated
        level += 1
        if level > 8:
            done.extend(sorted(rest, key=lambda job: (job.accepted_at, job.id)))
            break
    return first + done


def order(
    jobs: Iterable[Job],
    objectives: Sequence[Objective],
    gpus: Supply,
    cpus: Supply,
    now: WallTime,
) -> list[Job]:
    """Order jobs with a shortfall for a scheduling cycle."""
    groups: dict[tuple[bool, int, bool], list[Job]] = {}
    times: dict[Job, tuple[WallTime, ...]] = {}
    # A gang that lacks members keeps all its other places waiting: found on an overloaded day,
    # where others took the room of each that gave up, and the next one had to fetch elsewhere.
    incomplete: list[Job] = []
    # Replicas that don't run are missed at every moment, and take little: each rank begins with
    # them, and those of the highest rank go before guarantees. They are no load on what comes
    # after, since a place that is taken for good is no matter of time.
    serving: list[Job] = []
    for job in jobs:
        if job.lacks_members:
            incomplete.append(job)
            continue
        if job.is_service and job.priority == 0:
            serving.append(job)
            continue
        times[job] = deadlines(job, objectives)
        key = (not job.guaranteed, job.priority, job.spec.gpus <= 0)
        groups.setdefault(key, []).append(job)
    result = sorted(serving, key=lambda job: (job.accepted_at, job.id))
    result.extend(sorted(incomplete, key=lambda job: (job.priority, job.accepted_at, job.id)))
    before = {False: 0.0, True: 0.0}
    for key in sorted(groups):
        without_gpus = key[2]
        supply = cpus if without_gpus else gpus
        ending = [job for job in groups[key] if not job.is_service]
        is_service = [job for job in groups[key] if job.is_service]
        result.extend(sorted(is_service, key=lambda job: (job.accepted_at, job.id)))
        result.extend(_priority_order(ending, times, supply, before[without_gpus], now))
        before[without_gpus] += sum(
            job.shortfall * demand(job) * job.estimate_s() for job in ending
        )
    return result
