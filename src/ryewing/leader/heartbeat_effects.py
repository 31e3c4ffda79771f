"""Acts on what a newer heartbeat shows: terminates tasks, quarantines machines, wakes the loops.

It makes no difference whether the worker sent the heartbeat by itself or in its answer to a direct
message.
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

QUARANTINE_FAULTS = 2
"""The healthy jobs that must have failed on a machine, none having finished there since, for it to
be quarantined."""
QUARANTINE_FLEET_DIVISOR = 8
"""At most this fraction of the machines (one in eight) is quarantined at a time, but always one."""


class HeartbeatEffects:
    """Applies the consequences of heartbeats to a term; never waits."""

    def __init__(self, term: TermContext, terminator: TaskTerminator) -> None:
        self._term = term
        self._terminator = terminator

    def apply(self, machine: Machine, now: MonotonicTime) -> None:
        """Act on a machine's new state: terminate, evict, quarantine; wake the loops concerned."""
        self._term.scheduling_needed.set()
        if self._term.job_table.dirty:
            self._term.writes_needed.set()
        for assignment in list(machine.assignments.values()):
            if assignment.phase == TaskPhase.PLANNED:
                if machine.notice_s is not None:
                    self._term.cluster.drop(assignment, now)
                continue
            job = assignment.job
            if job is None or job.cancelled:
                self._terminator.terminate(assignment, 0.0, TerminationReason.UNWANTED, now)
            elif machine.notice_s is not None:
                self._terminator.evict(assignment, machine, now)
        if len(machine.failed_jobs) >= QUARANTINE_FAULTS and not machine.quarantined:
            self._quarantine(machine, now)

    def _quarantine(self, machine: Machine, now: MonotonicTime) -> None:
        """Quarantine a machine on which several healthy jobs failed, unless too many are already.

        Found in a replay: a new leader did not know yet which jobs fail everywhere, and quarantined
        healthy machines on which two of those jobs had failed.
        """
        if (
            sum(
                self._term.cluster.failure_detector.is_healthy(job, now)
                for job in machine.failed_jobs
            )
            < QUARANTINE_FAULTS
        ):
            return
        machines = self._term.cluster.machines
        quarantined = sum(other.quarantined for other in machines.values())
        if quarantined >= max(1, len(machines) // QUARANTINE_FLEET_DIVISOR):
            return
        machine.quarantined = True
        log.info("event=quarantined machine=%s jobs=%s", machine.id, ",".join(machine.failed_jobs))
