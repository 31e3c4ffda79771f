"""Who may be stopped for whom, and what that loses.

Pure: the clock is passed in. Guarantees are judged here too, since they decide it.
"""

from __future__ import annotations

from collections.abc import Iterable

from ryewing.config.settings import Team
from ryewing.state.attempts import TaskPhase
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment
from ryewing.state.resources import EPSILON
from ryewing.units import MonotonicTime

REPLICA_LOSS_S = 600.0
"""What stopping a replica counts as: it is among the last to be stopped for anything."""


def mark_guarantees(jobs: Iterable[Job], teams: dict[str, Team]) -> None:
    """Mark the jobs that fit into their team's guarantee with the team's earlier ones.

    Judged once, when a job comes. Judged again and again, the oldest jobs of a team that asks for
    far more than its guarantee would always be within it, and late ones would go first.
    """
    jobs = list(jobs)
    if all(job.judged for job in jobs):
        return
    used: dict[str, tuple[float, float]] = {}
    for job in sorted(jobs, key=lambda j: (j.accepted_at, j.id)):
        team = teams.get(job.spec.team)
        if job.cancelled or team is None or not (team.cpus or team.gpus):
            job.judged = True
            continue
        left = job.spec.task_count - job.done_count
        cpus, gpus = used.get(team.name, (0.0, 0.0))
        cpus += job.spec.cpus * left
        gpus += job.spec.gpus * left
        used[team.name] = (cpus, gpus)
        if job.judged:
            continue
        job.judged = True
        counted = (team.cpus and job.spec.cpus) or (team.gpus and job.spec.gpus)
        job.guaranteed = bool(
            counted
            and (not team.cpus or cpus <= team.cpus + EPSILON)
            and (not team.gpus or gpus <= team.gpus + EPSILON)
        )


def lost_work(assignment: Assignment, now: MonotonicTime) -> float:
    """Estimate the run time lost by stopping a task now, saving if it can."""
    if assignment.running_since is None or assignment.job is None:
        return 0.0
    spec = assignment.job.spec
    if assignment.job.is_service:
        return REPLICA_LOSS_S
    if spec.checkpoint_s > 0:
        return spec.save_s
    return now - assignment.running_since


def saving_s(assignment: Assignment) -> float:
    """Tell how long a stopped task goes on, to save; a replica counts as the last to stop."""
    if assignment.job is None:
        return 0.0
    return REPLICA_LOSS_S if assignment.job.is_service else assignment.job.grace_s


def stop_order(assignment: Assignment) -> tuple[bool, int]:
    """Order whom to stop first: what ends anyway, and of that the least important."""
    if assignment.job is None:
        return False, 0
    return assignment.job.is_service, -assignment.job.priority


def may_preempt(job: Job, assignment: Assignment) -> bool:
    """Tell whether this task may be stopped for the job.

    Guaranteed work gives way to nobody: otherwise a borrower of higher rank and the owner of a
    guarantee could stop each other by turns. Gangs of several tasks are left alone: stopping
    one task of them loses the whole gang.
    """
    other = assignment.job
    if other is None or other.guaranteed or assignment.phase == TaskPhase.SAVING:
        return False
    if other.is_gang and other.spec.task_count > 1:
        return False
    if other.priority > job.priority:
        return True
    return job.guaranteed and other.spec.team != job.spec.team and other.priority >= job.priority
