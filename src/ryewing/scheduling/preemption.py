"""The rules of preemption: which tasks may be stopped for which job, and how much work that loses.

The time is passed in, and `mark_guaranteed_jobs` is the only function with side effects. It is here
because the rules depend on whether a job is guaranteed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ryewing.config.settings import Team
from ryewing.state.attempts import TaskPhase
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment
from ryewing.state.resources import EPSILON
from ryewing.units import MonotonicTime

REPLICA_LOSS_S = 600.0
"""The seconds of run time that stopping a replica is assumed to lose, chosen so that replicas are
among the last tasks to be stopped."""


class VictimKey(NamedTuple):
    """Determines which tasks a job may preempt, and in what order.

    These are the same for all jobs with equal keys.
    """

    priority: int
    guaranteed_team: str | None
    """The team, if the job is within its team's guarantee."""
    is_service: bool


def victim_key(job: Job) -> VictimKey:
    """Return the key for the tasks that a job may preempt."""
    return VictimKey(job.priority, job.spec.team if job.guaranteed else None, job.is_service)


def mark_guaranteed_jobs(jobs: Iterable[Job], teams: dict[str, Team]) -> None:
    """Mark the jobs that, together with their team's earlier jobs, fit into the team's guarantee.

    This is decided once for each job, in the first cycle that includes it. If it were decided again
    in each cycle, the oldest jobs of a team that submits far more than its guarantee would always
    be guaranteed, so jobs that are already late would go before jobs that can still be on time.
    """
    jobs = list(jobs)
    if all(job.guarantee_decided for job in jobs):
        return
    used: dict[str, tuple[float, float]] = {}
    for job in sorted(jobs, key=lambda j: (j.accepted_at, j.id)):
        team = teams.get(job.spec.team)
        if job.cancelled or team is None or not (team.cpus or team.gpus):
            job.guarantee_decided = True
            continue
        unfinished = job.spec.task_count - job.done_count
        cpus, gpus = used.get(team.name, (0.0, 0.0))
        cpus += job.spec.cpus * unfinished
        gpus += job.spec.gpus * unfinished
        used[team.name] = (cpus, gpus)
        if job.guarantee_decided:
            continue
        job.guarantee_decided = True
        uses_guarantee = (team.cpus and job.spec.cpus) or (team.gpus and job.spec.gpus)
        job.guaranteed = bool(
            uses_guarantee
            and (not team.cpus or cpus <= team.cpus + EPSILON)
            and (not team.gpus or gpus <= team.gpus + EPSILON)
        )


def lost_work_s(assignment: Assignment, now: MonotonicTime) -> float:
    """Estimate the seconds of run time lost by stopping a task now.

    For a task with checkpoints, this is the time to save; otherwise, it is all the time it has run.
    """
    if assignment.running_since is None or assignment.job is None:
        return 0.0
    spec = assignment.job.spec
    if assignment.job.is_service:
        return REPLICA_LOSS_S
    if spec.checkpoint_s > 0:
        return spec.save_s
    return now - assignment.running_since


def saving_s(assignment: Assignment) -> float:
    """Return how many seconds a stopped task continues to run in order to save its work.

    For a replica it returns `REPLICA_LOSS_S`, so that replicas are stopped last.
    """
    if assignment.job is None:
        return 0.0
    return REPLICA_LOSS_S if assignment.job.is_service else assignment.job.grace_s


def stop_order(assignment: Assignment) -> tuple[bool, int]:
    """Return a sort key: replicas last, and before that the least important tasks first."""
    if assignment.job is None:
        return False, 0
    return assignment.job.is_service, -assignment.job.priority


def may_preempt(job: Job, assignment: Assignment) -> bool:
    """Return whether this task may be stopped for the job.

    Guaranteed jobs are never preempted. Otherwise a job of higher priority that exceeds its team's
    guarantee and the owner of a guarantee could preempt each other in turn. Gangs of several tasks
    are never preempted either, because stopping one task loses the work of the whole gang.
    """
    victim = assignment.job
    if victim is None or victim.guaranteed or assignment.phase == TaskPhase.SAVING:
        return False
    if victim.is_gang and victim.spec.task_count > 1:
        return False
    if victim.priority > job.priority:
        return True
    return job.guaranteed and victim.spec.team != job.spec.team and victim.priority >= job.priority
