"""Applies workers' heartbeats to the cluster state.

Every heartbeat carries the whole status of its worker (PROTOCOL, "POST /v1/report"), and replaces
what was known of that machine if it is newer (safety arguments 4 and 5 in docs/design.md). Nothing
here waits.
"""

from __future__ import annotations

import logging

from ryewing.state.assignment_table import AssignmentTable
from ryewing.state.attempts import LIVE_PHASES, EndCause, EndedAttempt, ReportedKey, TaskPhase
from ryewing.state.failure_detector import FailureDetector
from ryewing.state.image_fetches import FetchContention
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.units import (
    MAX_TOKEN_BUMPS,
    NO_HEARTBEAT,
    Attempt,
    HeartbeatVersion,
    MonotonicTime,
    TaskId,
    TermNumber,
    bumps_of_token,
    parse_task_id,
    term_of_token,
)
from ryewing.wire.workers import Heartbeat, ReportedTask

log = logging.getLogger(__name__)


class HeartbeatApplier:
    """Updates machines and assignments by what their workers report."""

    def __init__(
        self,
        term: TermNumber,
        assignments: AssignmentTable,
        failure_detector: FailureDetector,
        fetch_contention: FetchContention,
    ) -> None:
        self._term = term
        self._assignments = assignments
        self._job_table = assignments.job_table
        self._failure_detector = failure_detector
        self._fetch_contention = fetch_contention

    def apply(
        self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime, is_heartbeat: bool
    ) -> bool:
        """Apply a worker's message; return False if a newer one was applied before.

        `is_heartbeat` says that the message is a heartbeat proper, which the worker sends only
        after it has executed or dropped our last response, so it settles assumed starts. The body
        of an answer to `/orders` may have overtaken a response, and settles nothing.
        """
        if term_of_token(heartbeat.token) == self._term:
            # The highest token that the worker has seen: true in whatever order messages arrive.
            machine.acknowledged_bump = max(
                machine.acknowledged_bump, bumps_of_token(heartbeat.token)
            )
            machine.token_bumps = max(machine.token_bumps, machine.acknowledged_bump)
        version = HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence)
        if version <= machine.version or heartbeat.incarnation <= machine.expired_incarnation:
            return False
        if heartbeat.incarnation > machine.version.incarnation and machine.version != NO_HEARTBEAT:
            self._begin_incarnation(machine, now)
        machine.version = version
        machine.heard_at = now
        if heartbeat.address:
            machine.address = heartbeat.address
        if heartbeat.notice_s is not None and machine.notice_s is None:
            machine.notice_received_at = now
        machine.notice_s = heartbeat.notice_s
        self._apply_tasks(machine, heartbeat, now)
        if is_heartbeat:
            self._settle_starts(machine, now)
        if machine.acknowledges:
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        return True

    def reset_worker(self, machine: Machine, now: MonotonicTime) -> None:
        """Start over with a machine whose worker has lost its incarnation, token and tasks.

        This shows in an answer to a direct message that is older than a heartbeat which had
        arrived before the message was sent.
        """
        log.info("event=worker-restarted machine=%s", machine.id)
        self._assignments.drop_all(machine, now)
        machine.version = NO_HEARTBEAT
        machine.expired_incarnation = 0
        machine.acknowledged_bump = -1
        machine.required_bump = 0

    def _begin_incarnation(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop all that was on a worker that began a new incarnation.

        It has killed and forgotten everything, and it drops responses to heartbeats of the earlier
        incarnation. Plans are not affected by that, as nothing of them was sent.
        """
        for assignment in list(machine.assignments.values()):
            if assignment.phase != TaskPhase.PLANNED:
                self._assignments.drop(assignment, now)
        self._require_acknowledgement(machine, "new-incarnation", now)
        machine.last_reported.clear()
        machine.ended_attempts.clear()

    def _settle_starts(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop sent starts that a later heartbeat does not show.

        Had the heartbeat shown them, they would be in a later phase by now.
        """
        for assignment in [a for a in machine.assignments.values() if a.phase == TaskPhase.SENT]:
            if assignment.sent_after is not None and machine.version > assignment.sent_after:
                self._assignments.drop(assignment, now)
                self._require_acknowledgement(machine, "start-lost", now)

    def _require_acknowledgement(self, machine: Machine, reason: str, now: MonotonicTime) -> None:
        """Give a machine no more work until its worker acknowledges a token raised now.

        Called when something that we told the worker has not reached it. Where heartbeats arrive
        but our responses don't, a machine was refilled after each heartbeat.
        """
        if machine.acknowledges and machine.token_bumps < MAX_TOKEN_BUMPS:
            machine.token_bumps += 1
            machine.required_bump = machine.token_bumps
            log.info("event=worker-suspected machine=%s reason=%s", machine.id, reason)
            self._assignments.drop_planned(machine, now)

    def _apply_tasks(self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime) -> None:
        """Apply the reported attempts, with work in proportion to what has changed.

        This runs for every task of every heartbeat: the first loop calls no function of ours.
        """
        previous = machine.last_reported
        current: dict[ReportedKey, ReportedTask] = {}
        changed: list[ReportedTask] = []
        for reported in heartbeat.tasks:
            key = (reported.task_id, reported.attempt)
            current[key] = reported
            if previous.get(key) != reported:
                changed.append(reported)
        machine.last_reported = current
        # Attempts that are gone come first: a changed one may have taken the place of another.
        if len(previous) + len(changed) > len(current):
            self._drop_unreported(machine, previous, current, now)
        for reported in changed:
            task = parse_task_id(reported.task_id)
            if task is None:
                continue
            if reported.status == TaskPhase.ENDED:
                self._apply_ended(machine, task, reported, now)
            elif reported.status in LIVE_PHASES:
                self._apply_live(machine, task, reported, now)

    def _drop_unreported(
        self,
        machine: Machine,
        previous: dict[ReportedKey, ReportedTask],
        current: dict[ReportedKey, ReportedTask],
        now: MonotonicTime,
    ) -> None:
        """Drop the attempts that the previous heartbeat showed and this one does not."""
        for key in previous.keys() - current.keys():
            machine.ended_attempts.pop(key, None)
            if previous[key].status == TaskPhase.ENDED:
                continue
            task_id, attempt = key
            task = parse_task_id(task_id)
            assignment = machine.assignments.get(task) if task is not None else None
            if assignment is not None and assignment.attempt == attempt:
                self._assignments.drop(assignment, now)

    def _apply_live(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        """Apply an attempt that is on the machine, in one of `LIVE_PHASES`."""
        assignment = machine.assignments.get(task)
        attempt = Attempt(reported.attempt)
        phase = TaskPhase(reported.status)
        if assignment is not None and assignment.attempt != attempt:
            if assignment.phase == TaskPhase.SENT:
                # The worker refuses our start while the other attempt is there (`in_use`).
                # Count the resources once, under the attempt that is really there.
                log.warning("task=%s machine=%s event=unexpected-attempt", task, machine.id)
            self._assignments.drop(assignment, now)
            assignment = None
        if assignment is None:
            assignment = self._assignments.assign(machine, task, attempt, phase, now)
        else:
            self._assignments.set_phase(assignment, phase, now)
        if assignment.job is not None:
            spec = assignment.job.spec
            slowdown = machine.record_fetch(spec, phase == TaskPhase.FETCHING, now)
            if slowdown is not None:
                self._fetch_contention.learn(slowdown)
            if phase != TaskPhase.FETCHING:
                machine.record_image(spec.image, spec.image_gb)

    def _apply_ended(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        """Apply an attempt that has ended: its task is done, or runs again.

        The attempt is kept in `machine.ended_attempts` until the worker has cleared it.
        """
        attempt = Attempt(reported.attempt)
        job = self._job_table.get(task.job)
        # A replica that exits has to run again, whatever its cause.
        done = reported.cause == EndCause.DONE and (job is None or not job.is_service)
        machine.ended_attempts[reported.task_id, reported.attempt] = EndedAttempt(
            task, attempt, done
        )
        assignment = machine.assignments.get(task)
        if assignment is not None and assignment.attempt != attempt:
            assignment = None  # of another attempt, which this says nothing of
        if assignment is not None:
            if done and job is not None:
                self._learn_run_time(job, assignment, now)
            self._assignments.drop(assignment, now, finished=done)
        if job is None:
            return
        if done:
            self._record_finish(machine, job, task.number)
        elif assignment is not None:
            self._failure_detector.attempt_ended(job, assignment, reported.cause or "", now)

    def _learn_run_time(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Learn from a finished task whose start was observed how long the job's tasks run."""
        if assignment.running_since is not None and assignment.start_observed:
            took_s = now - assignment.running_since
            assignment.machine.record_relative_run_time(job, took_s)
            self._job_table.record_run_time(job, took_s)

    def _record_finish(self, machine: Machine, job: Job, number: int) -> None:
        """Record that a task is done; the machine and the job are at no fault then."""
        machine.failed_jobs.clear()
        job.failed_on.pop(machine.id, None)
        if not job.cancelled:
            job.finish(number)
            job.backoff_s = 0.0
        self._job_table.reindex(job)
