"""The rules of preemption: which tasks may be stopped for which job, and what stopping them loses.

Pure: the time is passed in. Whether a job counts as guaranteed is decided here too, since the rules
depend on it.
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
"""Run time that stopping a replica is counted to lose, so that it is among the last to be
stopped."""


class VictimKey(NamedTuple):
    """What decides which tasks a job may preempt, and in what order: jobs with equal keys agree."""

    priority: int
    guaranteed_team: str | None
    """The team, if the job is within its team's guarantee."""
    is_service: bool


def victim_key(job: Job) -> VictimKey:
    """Return the job's key."""
    return VictimKey(job.priority, job.spec.team if job.guaranteed else None, job.is_service)


def mark_guaranteed_jobs(jobs: Iterable[Job], teams: dict[str, Team]) -> None:
    """Mark the jobs that, together with their team's earlier ones, fit into its guarantee.

    Each job is judged once, in the first cycle that sees it. Judged again and again, the oldest
    jobs of a team that asks for far more than its guarantee would always be within it, and late
    ones would go first.
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
    """Estimate the seconds of run time lost by stopping a task now, with a checkpoint if it can.

    That is the time to save for a task with checkpoints, otherwise all the time it has run.
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
    """Return how many seconds a stopped task goes on in order to save.

    A replica counts as the longest, so that it is stopped last.
    """
    if assignment.job is None:
        return 0.0
    return REPLICA_LOSS_S if assignment.job.is_service else assignment.job.grace_s


def stop_order(assignment: Assignment) -> tuple[bool, int]:
    """Return a sort key: tasks that end by themselves first, of those the least important."""
    if assignment.job is None:
        return False, 0
    return assignment.job.is_service, -assignment.job.priority


def may_preempt(job: Job, assignment: Assignment) -> bool:
    """Return whether this task may be stopped for the job.

    Guaranteed work is never preempted: otherwise a borrower of higher priority and the owner of a
    guarantee could preempt each other in turn. Neither are gangs of several tasks: stopping one
    task loses the whole gang.
    """
    victim = assignment.job
    if victim is None or victim.guaranteed or assignment.phase == TaskPhase.SAVING:
        return False
    if victim.is_gang and victim.spec.task_count > 1:
        return False
    if victim.priority > job.priority:
        return True
    return job.guaranteed and victim.spec.team != job.spec.team and victim.priority >= job.priority
