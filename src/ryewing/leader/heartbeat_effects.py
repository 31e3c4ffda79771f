"""Acts on new heartbeats: terminates tasks, quarantines machines and wakes the loops.

A heartbeat in a worker's answer to a direct message has the same effects as one that the worker
sent on its own.
"""

from __future__ import annotations

import logging

from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Machine
from ryewing.state.pending_terminations import TerminationReason
from ryewing.units import MonotonicTime

log = logging.getLogger(__name__)

QUARANTINE_MIN_FAILED_JOBS = 2
"""A machine is quarantined once this many healthy jobs have failed on it and no task has finished
there since."""
QUARANTINE_FLEET_DIVISOR = 8
"""At most one in this many machines is quarantined at a time, but one machine always may be."""


class HeartbeatEffects:
    """Applies the consequences of heartbeats to a term; never blocks."""

    def __init__(self, term: TermContext, terminator: TaskTerminator) -> None:
        self._term = term
        self._terminator = terminator

    def apply(self, machine: Machine, now: MonotonicTime) -> None:
        """Terminate and evict tasks, quarantine the machine if needed, and wake the other loops."""
        self._term.scheduling_needed.set()
        if self._term.job_table.dirty:
            self._term.writes_needed.set()
        for assignment in list(machine.assignments.values()):
            if machine.assignments.get(assignment.task) is not assignment:
                continue  # dropped when another member of its gang was evicted
            if assignment.phase == TaskPhase.PLANNED:
                if machine.notice_s is not None:
                    self._term.cluster.drop(assignment, now)
                continue
            job = assignment.job
            if job is None or job.cancelled:
                self._terminator.terminate(assignment, 0.0, TerminationReason.UNWANTED, now)
            elif machine.notice_s is not None:
                self._terminator.evict(assignment, machine, now)
        if len(machine.failed_jobs) >= QUARANTINE_MIN_FAILED_JOBS and not machine.quarantined:
            self._quarantine(machine, now)

    def _quarantine(self, machine: Machine, now: MonotonicTime) -> None:
        """Quarantine a machine on which several healthy jobs failed, unless too many already are.

        Jobs that fail on every machine don't count: without that check, a new leader that did not
        know them yet quarantined healthy machines on which two such jobs had failed.
        """
        if (
            sum(
                self._term.cluster.failure_detector.is_healthy(job, now)
                for job in machine.failed_jobs
            )
            < QUARANTINE_MIN_FAILED_JOBS
        ):
            return
        machines = self._term.cluster.machines
        quarantined = sum(other.quarantined for other in machines.values())
        if quarantined >= max(1, len(machines) // QUARANTINE_FLEET_DIVISOR):
            return
        machine.quarantined = True
        log.info("event=quarantined machine=%s jobs=%s", machine.id, ",".join(machine.failed_jobs))
