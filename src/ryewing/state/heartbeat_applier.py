"""Applies workers' heartbeats to the cluster state.

Every heartbeat carries the full state of its worker (PROTOCOL, "POST /v1/report"). If it is newer
than the last one applied, it replaces the known state of the machine (safety arguments 4 and 5 in
docs/design.md). Nothing in this module blocks.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

from ryewing.state.assignment_table import AssignmentTable
from ryewing.state.attempts import (
    LIVE_PHASES,
    EndCause,
    EndedAttempt,
    ReportedAttemptKey,
    TaskPhase,
)
from ryewing.state.failure_detector import FailureDetector
from ryewing.state.image_fetches import FetchContention
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.units import (
    MAX_TOKEN_BUMPS,
    NO_BUMP,
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


def version_in_term(heartbeat: Heartbeat, term: TermNumber) -> HeartbeatVersion:
    """Return the version of a worker's message for the leader of a term."""
    is_token_of_term = term_of_token(heartbeat.token) == term
    bump = bumps_of_token(heartbeat.token) if is_token_of_term else NO_BUMP
    return HeartbeatVersion(bump, heartbeat.incarnation, heartbeat.sequence)


def _shows_restart(
    machine: Machine,
    version: HeartbeatVersion,
    current: Mapping[ReportedAttemptKey, ReportedTask],
) -> bool:
    """Return whether a newer message is not from the process that the newest known one is from.

    Its counters began anew, or it lacks a live attempt that the process would report until a
    `clear` or the end of its incarnation. It may also be a late message of an earlier process.
    """
    known = machine.version
    if known.token_bump < max(machine.process_bump, 0):
        return False  # no message of the present process is known
    if version[1:] <= known[1:]:
        return True
    if version.incarnation > known.incarnation or machine.last_reported.keys() <= current.keys():
        return False
    return any(
        key not in current and reported.status != TaskPhase.ENDED
        for key, reported in machine.last_reported.items()
    )


class HeartbeatApplier:
    """Updates machines and assignments according to the reports of their workers."""

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
        """Apply a worker's message; return False if it is out of date.

        `is_heartbeat` is true for a message that the worker sent as a heartbeat. The worker sends
        one only after it has executed or dropped the last response, so a sent start that the
        heartbeat does not show was lost. The body of an answer to `/orders` does not prove that,
        because it may arrive before the worker has processed the response.
        """
        version = version_in_term(heartbeat, self._term)
        if (
            version <= machine.version
            or version.token_bump < machine.process_bump
            or machine.expired.covers(version)
        ):
            return False
        current = {(task.task_id, task.attempt): task for task in heartbeat.tasks}
        if _shows_restart(machine, version, current):
            self.require_new_token(machine, now)
            machine.probe_requested = is_heartbeat
            return False
        machine.acknowledged_bump = max(machine.acknowledged_bump, version.token_bump)
        machine.token_bumps = max(machine.token_bumps, machine.acknowledged_bump)
        if heartbeat.incarnation > machine.version.incarnation and machine.version != NO_HEARTBEAT:
            self._start_incarnation(machine, now)
        known_version, machine.version = machine.version, version
        machine.heard_at = now
        if heartbeat.address:
            machine.address = heartbeat.address
        if heartbeat.notice_s is not None and machine.notice_s is None:
            machine.notice_received_at = now
        machine.notice_s = heartbeat.notice_s
        self._apply_tasks(machine, current, known_version, now)
        if is_heartbeat:
            self._drop_lost_starts(machine, now)
        if machine.acknowledges:
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        return True

    def require_new_token(self, machine: Machine, now: MonotonicTime) -> None:
        """Ignore the messages of a restarted worker until it returns a token sent from now on.

        No earlier process of the worker can return that token, so late copies of their messages
        are older than those of the present process, whatever their incarnation and sequence. Until
        then the tasks that the earlier process had count as running.
        """
        log.info("event=worker-restarted machine=%s", machine.id)
        machine.token_bumps += 1
        machine.required_bump = machine.process_bump = machine.token_bumps
        self._assignments.drop_planned(machine, now)

    def _start_incarnation(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop the sent and reported assignments of a worker that started a new incarnation.

        The worker has killed all its tasks, and it drops responses to heartbeats of the earlier
        incarnation. The restart does not affect planned assignments: their starts were not sent.
        """
        for assignment in list(machine.assignments.values()):
            if assignment.phase != TaskPhase.PLANNED:
                self._assignments.drop(assignment, now)
        self._require_acknowledgement(machine, "new-incarnation", now)
        machine.last_reported.clear()
        machine.ended_attempts.clear()

    def _drop_lost_starts(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop the sent starts that a later heartbeat does not show.

        An assignment that the heartbeat shows is no longer in phase `SENT` at this point.
        """
        for assignment in [a for a in machine.assignments.values() if a.phase == TaskPhase.SENT]:
            if assignment.sent_after is not None and machine.version > assignment.sent_after:
                self._assignments.drop(assignment, now)
                self._require_acknowledgement(machine, "start-lost", now)

    def _require_acknowledgement(self, machine: Machine, reason: str, now: MonotonicTime) -> None:
        """Bump the machine's token and give it no work until its worker acknowledges the new token.

        Called when a message has not reached the worker. Otherwise, a machine whose heartbeats
        arrive but whose responses are lost would be given new tasks after each heartbeat.
        """
        if machine.acknowledges and machine.token_bumps < MAX_TOKEN_BUMPS:
            machine.token_bumps += 1
            machine.required_bump = machine.token_bumps
            log.info("event=worker-suspected machine=%s reason=%s", machine.id, reason)
            self._assignments.drop_planned(machine, now)

    def _apply_tasks(
        self,
        machine: Machine,
        current: dict[ReportedAttemptKey, ReportedTask],
        known_version: HeartbeatVersion,
        now: MonotonicTime,
    ) -> None:
        """Apply the reported attempts; only attempts that have changed are processed.

        `known_version` is the version of the previous message. Every task of every heartbeat is
        compared, so this calls no function of this program for it.
        """
        previous = machine.last_reported
        changed = [reported for key, reported in current.items() if previous.get(key) != reported]
        machine.last_reported = current
        # Drop missing attempts first, since a changed attempt may have replaced one of them.
        if len(previous) + len(changed) > len(current):
            missing = [key for key in previous if key not in current]
            self._drop_unreported(machine, missing, previous, known_version, now)
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
        missing: list[ReportedAttemptKey],
        previous: dict[ReportedAttemptKey, ReportedTask],
        known_version: HeartbeatVersion,
        now: MonotonicTime,
    ) -> None:
        """Drop the attempts that the previous message showed and the newest does not.

        Live ones are logged with the versions of both messages, because a worker reports an attempt
        until a `clear`: it has restarted, or the order of the two messages is wrong.
        """
        for key in missing:
            machine.ended_attempts.pop(key, None)
            if previous[key].status == TaskPhase.ENDED:
                continue
            task_id, attempt = key
            task = parse_task_id(task_id)
            assignment = machine.assignments.get(task) if task is not None else None
            if assignment is not None and assignment.attempt == attempt:
                log.warning(
                    "event=task-unreported task=%s machine=%s attempt=%d version=%s known=%s",
                    task,
                    machine.id,
                    attempt,
                    machine.version,
                    known_version,
                )
                self._assignments.drop(assignment, now)

    def _apply_live(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        """Apply an attempt that is on the machine, in one of the `LIVE_PHASES`."""
        assignment = machine.assignments.get(task)
        attempt = Attempt(reported.attempt)
        phase = TaskPhase(reported.status)
        if assignment is not None and assignment.attempt != attempt:
            if assignment.phase == TaskPhase.SENT:
                # The worker refuses the sent start while the other attempt is on the machine
                # (`in_use`). Count the resources once, for the attempt that is on the machine.
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
                self._fetch_contention.record_slowdown(slowdown)
            if phase != TaskPhase.FETCHING:
                machine.record_image(spec.image, spec.image_gb)

    def _apply_ended(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        """Apply an attempt that has ended: its task is finished, or has to run again.

        The attempt stays in `machine.ended_attempts` until the worker has cleared it.
        """
        attempt = Attempt(reported.attempt)
        job = self._job_table.get(task.job)
        # A replica that exits has to run again, whatever the cause.
        done = reported.cause == EndCause.DONE and (job is None or not job.is_service)
        machine.ended_attempts[reported.task_id, reported.attempt] = EndedAttempt(
            task, attempt, done
        )
        assignment = machine.assignments.get(task)
        if assignment is not None and assignment.attempt != attempt:
            assignment = None  # another attempt of the task: the report does not concern it
        if assignment is not None:
            if done and job is not None:
                self._record_run_time(job, assignment, now)
            self._assignments.drop(assignment, now, finished=done)
        if job is None:
            return
        if done:
            self._record_finish(machine, job, task.number)
        elif assignment is not None:
            self._failure_detector.attempt_ended(job, assignment, reported.cause or "", now)

    def _record_run_time(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Record the run time of a finished task if its start was observed."""
        if assignment.running_since is not None and assignment.start_observed:
            took_s = now - assignment.running_since
            assignment.machine.record_relative_run_time(job, took_s)
            self._job_table.record_run_time(job, took_s)

    def _record_finish(self, machine: Machine, job: Job, number: int) -> None:
        """Record that a task has finished, and clear the failures of the machine and the job."""
        machine.failed_jobs.clear()
        job.failed_on.pop(machine.id, None)
        if not job.cancelled:
            job.finish(number)
            job.backoff_s = 0.0
        self._job_table.reindex(job)
