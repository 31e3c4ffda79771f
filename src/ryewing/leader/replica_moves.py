"""Which replicas should move to another machine.

A replica may not run twice, so a move is a stop and then a start elsewhere, with a short gap. The
scheduling cycle stops a replica chosen here only once there is room for it elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.leader.term_context import TermContext
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Assignment, Machine
from ryewing.units import MonotonicTime

MOVE_AFTER_CORDON_S = 30.0
"""How long a machine must have been cordoned before a replica is moved off it."""
MOVE_DOWNTIME_S = 1.5
"""The time for which a moved replica doesn't run."""
MOVE_DOWNTIME_SHARE = 0.0005
"""The share of a job class's replica time that moves off cordoned machines may cost. Without this
bound and `MOVE_AFTER_CORDON_S`, a third of a service's replicas were moved within minutes of their
start, because the number of wanted GPUs fell and rose again. With one move every 5 s, a service of
twenty replicas lost a hundredth of its time towards the end of a day."""


class ReplicaMoves:
    """Chooses the replicas to move, and bounds how often a class's replicas are moved."""

    def __init__(self, term: TermContext) -> None:
        self._term = term
        self._moved_at: dict[str, MonotonicTime] = {}
        """By job class, when one of its replicas was last moved."""

    def choose(self, now: MonotonicTime) -> list[Assignment]:
        """Return the replicas that should run elsewhere.

        Those are all replicas on machines that are about to go or are quarantined, and at most one
        replica on a cordoned machine that only replicas keep from being released.
        """
        must_move: list[Assignment] = []
        may_move: list[Assignment] = []
        for machine in self._term.cluster.machines.values():
            if machine.being_released or not machine.assignments or not machine.acknowledges:
                continue
            if machine.notice_s is not None or machine.quarantined:
                must_move.extend(self._movable_replicas(machine))
            elif machine.cordoned and _only_replicas_keep(machine, now):
                may_move.extend(self._movable_replicas(machine))
        one_per_class = {
            assignment.job.spec.job_class: assignment
            for assignment in may_move
            if assignment.job is not None
        }
        for job_class, assignment in one_per_class.items():
            if self._may_move_one_of(job_class, now):
                return [*must_move, assignment]
        return must_move

    def note_moved(self, moves: list[Assignment], now: MonotonicTime) -> None:
        """Note the replicas that were stopped in order to move."""
        for assignment in moves:
            if assignment.job is not None:
                self._moved_at[assignment.job.spec.job_class] = now

    def _movable_replicas(self, machine: Machine) -> Iterator[Assignment]:
        """Yield the replicas on a machine that aren't being stopped already."""
        return (
            assignment
            for assignment in machine.assignments.values()
            if assignment.job is not None
            and assignment.job.is_service
            and not assignment.job.cancelled
            and assignment.phase in (TaskPhase.FETCHING, TaskPhase.RUNNING)
            and not self._term.terminations.has(machine.id, assignment.task, assignment.attempt)
        )

    def _may_move_one_of(self, job_class: str, now: MonotonicTime) -> bool:
        """Return whether the class can spare another move; before its first, since the term began.

        The more replicas a class has running, the more often one of them may move.
        """
        running = sum(
            job.running_count
            for job in self._term.job_table
            if job.is_service and job.spec.job_class == job_class
        )
        interval_s = MOVE_DOWNTIME_S / (MOVE_DOWNTIME_SHARE * max(1, running))
        return now - self._moved_at.get(job_class, self._term.began_at) >= interval_s


def _only_replicas_keep(machine: Machine, now: MonotonicTime) -> bool:
    """Return whether a machine has been cordoned for long enough and runs nothing but replicas."""
    return now - machine.cordoned_since >= MOVE_AFTER_CORDON_S and all(
        assignment.job is not None and assignment.job.is_service
        for assignment in machine.assignments.values()
    )
