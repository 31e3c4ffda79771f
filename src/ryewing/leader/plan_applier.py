"""Carries out what a scheduling cycle has decided: assigns tasks to machines and stops others."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ryewing.leader.early_heartbeats import EarlyHeartbeats
from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.scheduling import Batch, Plan
from ryewing.scheduling.plan import Reservation
from ryewing.state.attempts import TaskPhase
from ryewing.state.jobs import Job
from ryewing.state.machine import WARM, Assignment
from ryewing.state.pending_terminations import TerminationReason
from ryewing.units import (
    MAX_ATTEMPTS,
    Attempt,
    JobId,
    MachineId,
    MonotonicTime,
    TaskId,
    attempt_number,
    wall_now,
)

log = logging.getLogger(__name__)

MIN_ATTEMPTS_LEFT = 1 << 20
"""A term ends when it has no more attempts than this to give out: far more than a cycle plans."""


class PlanApplier:
    """Turns the plans of one term's cycles into assignments and pending terminations."""

    def __init__(
        self, term: TermContext, terminator: TaskTerminator, early_heartbeats: EarlyHeartbeats
    ) -> None:
        self._term = term
        self._terminator = terminator
        self._early_heartbeats = early_heartbeats
        self.attempts_used = 0
        """Attempts given out in this term."""
        self._reserved_for: JobId | None = None
        """The gang for which the last cycle reserved machines."""

    def is_out_of_attempts(self) -> bool:
        """Return whether the term has too few attempts left for another cycle.

        Attempts never repeat, so those of a term are bounded; the next term has new ones.
        """
        return self.attempts_used > MAX_ATTEMPTS - MIN_ATTEMPTS_LEFT

    def apply(self, plan: Plan, now: MonotonicTime) -> None:
        """Assign the tasks that a cycle has placed, and stop those that it has to stop."""
        self._log_reservation(plan.reservation)
        for batch in plan.batches:
            self._assign_tasks(batch, now)
        self._request_early_heartbeats(plan.batches, now)
        for assignment in plan.preemptions:
            self._stop(assignment, TerminationReason.PREEMPTED, now)
        for assignment in plan.moves:
            self._stop(assignment, TerminationReason.MOVED, now)

    def _log_reservation(self, reservation: Reservation | None) -> None:
        """Log a reservation when it is made, not again in each cycle that keeps it."""
        if reservation is not None and reservation.job.id != self._reserved_for:
            log.info(
                "event=reserved job=%s machines=%d", reservation.job.id, len(reservation.machines)
            )
        self._reserved_for = reservation.job.id if reservation is not None else None

    def _assign_tasks(self, batch: Batch, now: MonotonicTime) -> None:
        """Assign a batch's tasks to their machines, each with a new attempt."""
        job = batch.job
        task_numbers = job.dequeue(sum(part.task_count for part in batch.parts))
        gang_attempt = self._gang_attempt(job) if job.is_gang else None
        cold = sum(
            part.task_count for part in batch.parts if part.machine.warmth(job.spec.image) != WARM
        )
        first = 0
        for machine, count in batch.parts:
            for number in task_numbers[first : first + count]:
                attempt = gang_attempt or self._next_attempt()
                self._term.cluster.assign(
                    machine, TaskId(job.id, number), attempt, TaskPhase.PLANNED, now
                )
            first += count
        job.waiting_since = None
        self._term.job_table.reindex(job)
        log.info(
            "event=placed job=%s tasks=%d machines=%s cold=%d short=%d guaranteed=%s age_s=%.1f",
            job.id,
            len(task_numbers),
            ",".join(f"{machine.id}:{count}" for machine, count in batch.parts),
            cold,
            job.shortfall,
            job.guaranteed,
            wall_now() - job.accepted_at,
        )

    def _gang_attempt(self, job: Job) -> Attempt:
        """Return the attempt that a gang's tasks share: that of its other members, if any."""
        if job.assigned_tasks and job.gang_attempt is not None:
            return Attempt(job.gang_attempt)
        return self._next_attempt()

    def _next_attempt(self) -> Attempt:
        self.attempts_used += 1
        return attempt_number(self._term.number, self.attempts_used)

    def _request_early_heartbeats(self, batches: Sequence[Batch], now: MonotonicTime) -> None:
        """Ask the machines with new tasks to heartbeat soon, those with new replicas first."""
        planned: set[MachineId] = set()
        with_replicas: set[MachineId] = set()
        for batch in batches:
            machine_ids = {part.machine.id for part in batch.parts}
            planned |= machine_ids
            if batch.job.is_service:
                with_replicas |= machine_ids
        for machine_id in sorted(planned, key=lambda planned_id: planned_id not in with_replicas):
            machine = self._term.cluster.machines[machine_id]
            self._early_heartbeats.request(machine, now, machine_id in with_replicas)

    def _stop(self, assignment: Assignment, reason: TerminationReason, now: MonotonicTime) -> None:
        grace_s = assignment.job.grace_s if assignment.job is not None else 0.0
        self._terminator.terminate(assignment, grace_s, reason, now)
