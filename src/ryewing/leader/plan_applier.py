"""Applies the plan of a scheduling cycle: assigns tasks to machines and terminates others."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ryewing.leader.early_heartbeats import EarlyHeartbeats
from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.scheduling import Batch, Plan
from ryewing.scheduling.plan import Reservation
from ryewing.state.attempts import TaskPhase
from ryewing.state.image_cache import WARM
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment
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
"""A term ends once fewer attempt numbers than this are left. One cycle uses far fewer."""


class PlanApplier:
    """Turns the plans of one term's cycles into assignments and pending terminations."""

    def __init__(
        self, term: TermContext, terminator: TaskTerminator, early_heartbeats: EarlyHeartbeats
    ) -> None:
        self._term = term
        self._terminator = terminator
        self._early_heartbeats = early_heartbeats
        self.attempts_used = 0
        """The number of attempts assigned in this term."""
        self._reserved_for: JobId | None = None
        """The gang for which the last cycle reserved machines; None if it reserved none."""

    def is_out_of_attempts(self) -> bool:
        """Return whether the term has too few attempt numbers left for another cycle.

        Attempt numbers never repeat and each term has a bounded range of them; the next term has
        a new one.
        """
        return self.attempts_used > MAX_ATTEMPTS - MIN_ATTEMPTS_LEFT

    def apply(self, plan: Plan, now: MonotonicTime) -> None:
        """Assign the tasks that a cycle has placed, and stop those to be preempted or moved."""
        self._log_reservation(plan.reservation)
        for batch in plan.batches:
            self._assign_tasks(batch, now)
        self._request_early_heartbeats(plan.batches, now)
        for assignment in plan.preemptions:
            self._terminate(assignment, TerminationReason.PREEMPTED, now)
        for assignment in plan.moves:
            self._terminate(assignment, TerminationReason.MOVED, now)

    def _log_reservation(self, reservation: Reservation | None) -> None:
        """Log a reservation in the first cycle that makes it, not in each cycle that keeps it."""
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
        cold_starts = sum(
            part.task_count for part in batch.parts if part.machine.warmth(job.spec.image) != WARM
        )
        offset = 0
        for machine, count in batch.parts:
            for number in task_numbers[offset : offset + count]:
                attempt = gang_attempt or self._next_attempt()
                self._term.cluster.assign(
                    machine, TaskId(job.id, number), attempt, TaskPhase.PLANNED, now
                )
            offset += count
        job.waiting_since = None
        self._term.job_table.reindex(job)
        log.info(
            "event=placed job=%s tasks=%d machines=%s cold=%d short=%d guaranteed=%s age_s=%.1f",
            job.id,
            len(task_numbers),
            ",".join(f"{machine.id}:{count}" for machine, count in batch.parts),
            cold_starts,
            job.shortfall,
            job.guaranteed,
            wall_now() - job.accepted_at,
        )

    def _gang_attempt(self, job: Job) -> Attempt:
        """Return the attempt that all tasks of a gang share: that of its assigned tasks, if any."""
        if job.assigned_tasks and job.gang_attempt is not None:
            return Attempt(job.gang_attempt)
        return self._next_attempt()

    def _next_attempt(self) -> Attempt:
        self.attempts_used += 1
        return attempt_number(self._term.number, self.attempts_used)

    def _request_early_heartbeats(self, batches: Sequence[Batch], now: MonotonicTime) -> None:
        """Request early heartbeats of the machines with new tasks, those with replicas first."""
        planned: set[MachineId] = set()
        with_replicas: set[MachineId] = set()
        for batch in batches:
            machine_ids = {part.machine.id for part in batch.parts}
            planned |= machine_ids
            if batch.job.is_service:
                with_replicas |= machine_ids
        for machine_id in sorted(planned, key=lambda each_id: each_id not in with_replicas):
            machine = self._term.cluster.machines[machine_id]
            self._early_heartbeats.request(machine, now, machine_id in with_replicas)

    def _terminate(
        self, assignment: Assignment, reason: TerminationReason, now: MonotonicTime
    ) -> None:
        grace_s = assignment.job.grace_s if assignment.job is not None else 0.0
        self._terminator.terminate(assignment, grace_s, reason, now)
