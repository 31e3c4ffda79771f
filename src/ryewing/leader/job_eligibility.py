"""Which jobs a scheduling cycle may place now, and which machines they avoid.

A job with a shortfall may still have to wait: for its finished tasks to be written, for its
backoff, for unreconciled machines that may run its tasks, or for what is left of its gang to stop.
"""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.scheduling.machine_suitability import allows
from ryewing.state.attempts import TaskPhase
from ryewing.state.failure_detector import MACHINE_AVOIDANCE_S
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.state.pending_terminations import TerminationReason
from ryewing.state.resources import fits_machine_type
from ryewing.units import MonotonicTime, monotonic_now


class JobEligibility:
    """Decides whether a job may be placed, and prepares incomplete gangs for it."""

    def __init__(self, term: TermContext, terminator: TaskTerminator) -> None:
        self._term = term
        self._terminator = terminator

    def may_place(
        self, job: Job, unreconciled_kinds: Sequence[Machine], now: MonotonicTime
    ) -> bool:
        """Return whether a job's missing tasks may be placed now.

        `unreconciled_kinds` has one unreconciled machine of each kind. Of a gang that may not be
        completed, the remaining tasks are stopped here.
        """
        if job.cancelled or job.unwritten or now < job.backoff_until:
            # A job's finished batch is written before the job is refilled.
            return False
        if job.backoff_s and not self._may_probe(job, now):
            return False
        if job.inherited and _may_hold_tasks(job, unreconciled_kinds):
            # Which of its tasks an unreconciled machine runs can't be known.
            return False
        if job.has_missing_members:
            return self._prepare_to_complete_gang(job, now)
        return True

    def avoids(self, job: Job, machine: Machine) -> bool:
        """Return whether a job avoids a machine that failed it lately.

        A job that fails everywhere avoids nothing: it avoided each machine for good, and new ones
        were rented for it until it was cancelled. A machine may have recovered since, or have been
        healthy, so it is avoided for `MACHINE_AVOIDANCE_S` only: a job that had failed on each one
        waited for ever beside free room.
        """
        if job.backoff_s:
            return False
        failed_at = job.failed_on.get(machine.id)
        return failed_at is not None and monotonic_now() - failed_at <= MACHINE_AVOIDANCE_S

    def _may_probe(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a job in backoff may be placed: one task shows whether it still fails.

        Found in a replay: a task was placed in each cycle until the first of them had failed.
        """
        failure_detector = self._term.cluster.failure_detector
        if failure_detector.end_backoff_if_recovered(job, now):
            return True
        if job.is_service:
            return not job.assigned_tasks
        return job.is_gang or not failure_detector.is_probing(job)

    def _prepare_to_complete_gang(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a gang's missing tasks may be placed beside the others; else stop those.

        Before the gang has started, a replacement with the same attempt completes it. Once it has
        run, the attempt is lost: the remaining tasks must be gone before the next attempt.
        """
        assignments = self._term.cluster.assignments_of(job)
        attempts = {assignment.attempt for assignment in assignments}
        has_not_started = all(self._is_waiting(assignment) for assignment in assignments)
        if has_not_started and len(attempts) == 1 and job.done_count == 0:
            job.gang_attempt = int(attempts.pop())
            return True
        if job.done_count == 0:
            for assignment in assignments:
                self._terminator.terminate(assignment, 0.0, TerminationReason.GANG_BROKEN, now)
        return False

    def _is_waiting(self, assignment: Assignment) -> bool:
        """Return whether a gang's task waits for the others: it neither runs nor is stopped."""
        return assignment.phase not in (
            TaskPhase.RUNNING,
            TaskPhase.SAVING,
        ) and not self._term.terminations.has(
            assignment.machine.id, assignment.task, assignment.attempt
        )


def one_of_each_kind(machines: Sequence[Machine]) -> list[Machine]:
    """Return one machine of each type, zone and spot: all that decides which jobs may use it."""
    return list({machine.kind: machine for machine in machines}.values())


def _may_hold_tasks(job: Job, unreconciled_kinds: Sequence[Machine]) -> bool:
    """Return whether an unreconciled machine could run tasks of the job."""
    return any(
        allows(job.spec, machine) and fits_machine_type(job.spec, machine.machine_type)
        for machine in unreconciled_kinds
    )
