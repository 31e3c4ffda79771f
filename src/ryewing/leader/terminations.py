"""Terminates task attempts: those no longer wanted, and those on a machine about to be taken."""

from __future__ import annotations

import logging

from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.term_context import TermContext
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Assignment, Machine
from ryewing.state.pending_terminations import PendingTermination, TerminationReason
from ryewing.units import MonotonicTime

log = logging.getLogger(__name__)

FINISH_WITHIN = 0.7
"""The share of the remaining notice within which a task must be expected to finish to be left
running."""


class TaskTerminator:
    """Creates the term's pending terminations; never waits."""

    def __init__(self, term: TermContext, direct_messages: DirectMessages) -> None:
        self._term = term
        self._direct_messages = direct_messages

    def terminate(
        self, assignment: Assignment, grace_s: float, reason: TerminationReason, now: MonotonicTime
    ) -> None:
        """Terminate one task attempt, with `grace_s` seconds to save its progress.

        If its start was not sent it is only dropped, else a pending termination is added and sent.
        """
        machine = assignment.machine
        if assignment.phase == TaskPhase.PLANNED:
            self._term.cluster.drop(assignment, now)
            return
        termination = PendingTermination(machine.id, assignment.task, assignment.attempt, grace_s)
        if self._term.terminations.add(termination):
            log.info(
                "event=stop task=%s machine=%s grace_s=%g reason=%s",
                assignment.task,
                machine.id,
                grace_s,
                reason,
            )
            self._direct_messages.schedule(machine)

    def evict(self, assignment: Assignment, machine: Machine, now: MonotonicTime) -> None:
        """Let a task save its progress before the cloud takes its machine (graceful eviction).

        A running task that should finish well within the notice is left to finish. A replica serves
        on until the scheduler has room for it elsewhere.
        """
        job = assignment.job
        if job is None or assignment.phase == TaskPhase.SAVING or job.is_service:
            return
        notice_left_s = (machine.notice_s or 0.0) - (now - machine.notice_received_at)
        if assignment.phase == TaskPhase.RUNNING and assignment.running_since is not None:
            remaining_s = job.estimate_s() - (now - assignment.running_since)
            if remaining_s < FINISH_WITHIN * notice_left_s:
                return
        self._terminate_with_gang(assignment, job.grace_s, TerminationReason.DRAIN, now)

    def _terminate_with_gang(
        self, assignment: Assignment, grace_s: float, reason: TerminationReason, now: MonotonicTime
    ) -> None:
        """Terminate a task, and if it is part of a gang all of them: a gang saves together."""
        job = assignment.job
        if job is None or not job.is_gang or job.spec.task_count == 1:
            self.terminate(assignment, grace_s, reason, now)
            return
        for member in self._term.cluster.assignments_of(job):
            self.terminate(member, grace_s, reason, now)
