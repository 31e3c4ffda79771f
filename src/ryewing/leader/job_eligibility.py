"""Decides which jobs a scheduling cycle may place now, and which machines they avoid.

A job with missing tasks may have to wait until its finished tasks are written, its backoff is over,
the machines that may run its tasks are reconciled, or the remaining tasks of its gang have stopped.
"""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.scheduling.machine_suitability import allows_machine
from ryewing.state.attempts import TaskPhase
from ryewing.state.failure_detector import MACHINE_AVOIDANCE_S
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.state.pending_terminations import TerminationReason
from ryewing.state.resources import fits_machine_type
from ryewing.units import MonotonicTime, monotonic_now


class JobEligibility:
    """Decides whether a job may be placed, and prepares incomplete gangs for placement."""

    def __init__(self, term: TermContext, terminator: TaskTerminator) -> None:
        self._term = term
        self._terminator = terminator

    def may_place(
        self, job: Job, unreconciled_kinds: Sequence[Machine], now: MonotonicTime
    ) -> bool:
        """Return whether a job's missing tasks may be placed now.

        `unreconciled_kinds` has one unreconciled machine of each kind. If a gang can't be
        completed, this terminates its remaining tasks.
        """
        if job.cancelled or job.unwritten or now < job.backoff_until:
            # Finished tasks are written to the store before the job gets new tasks.
            return False
        if job.backoff_s and not self._may_probe(job, now):
            return False
        if job.inherited and _may_hold_tasks(job, unreconciled_kinds):
            # An unreconciled machine may run any of its tasks.
            return False
        if job.has_missing_members:
            return self._prepare_to_complete_gang(job, now)
        return True

    def avoids(self, job: Job, machine: Machine) -> bool:
        """Return whether a job avoids a machine on which it failed recently.

        A job in backoff, which fails everywhere, avoids no machine. Otherwise it would avoid all
        existing machines, and new ones would be rented for it until it was cancelled. Other jobs
        avoid a machine only for `MACHINE_AVOIDANCE_S`, because the machine may have recovered or
        not have caused the failure. Without this limit, a job that had failed once on every machine
        was never placed again, although machines had free resources.
        """
        if job.backoff_s:
            return False
        failed_at = job.failed_on.get(machine.id)
        return failed_at is not None and monotonic_now() - failed_at <= MACHINE_AVOIDANCE_S

    def _may_probe(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a job in backoff may be placed, as a probe: one task or a whole gang.

        Without this check, each cycle placed another task until the first probe had failed.
        """
        failure_detector = self._term.cluster.failure_detector
        if failure_detector.end_backoff_if_recovered(job, now):
            return True
        if job.is_service:
            return not job.assigned_tasks
        return job.is_gang or not failure_detector.is_probing(job)

    def _prepare_to_complete_gang(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a gang's missing tasks may be placed; if not, terminate its other tasks.

        A gang that has not started yet can be completed with replacements of the same attempt. Once
        it has run, that attempt has failed, and its remaining tasks must end before the next one.
        """
        assignments = self._term.cluster.assignments_of(job)
        attempts = {assignment.attempt for assignment in assignments}
        has_not_started = all(self._is_waiting_for_gang(assignment) for assignment in assignments)
        if has_not_started and len(attempts) == 1 and job.done_count == 0:
            job.gang_attempt = int(attempts.pop())
            return True
        if job.done_count == 0:
            for assignment in assignments:
                self._terminator.terminate(assignment, 0.0, TerminationReason.GANG_BROKEN, now)
        return False

    def _is_waiting_for_gang(self, assignment: Assignment) -> bool:
        """Return whether a gang's task still waits for the others, and is not being terminated."""
        return assignment.phase not in (
            TaskPhase.RUNNING,
            TaskPhase.SAVING,
        ) and not self._term.terminations.has(
            assignment.machine.id, assignment.task, assignment.attempt
        )


def one_machine_per_kind(machines: Sequence[Machine]) -> list[Machine]:
    """Return one machine of each kind: of each machine type, zone and spot or on-demand."""
    return list({machine.kind: machine for machine in machines}.values())


def _may_hold_tasks(job: Job, unreconciled_kinds: Sequence[Machine]) -> bool:
    """Return whether an unreconciled machine could run tasks of the job."""
    return any(
        allows_machine(job.spec, machine) and fits_machine_type(job.spec, machine.machine_type)
        for machine in unreconciled_kinds
    )
