"""Judges failed tasks: whether the job is at fault, or the machine.

A job that fails on several machines and has finished nothing backs off: one task at a time, the
probe, shows whether it still fails, after a delay that doubles with each failed probe. Any other
failure counts against the machine, which is quarantined once tasks of several healthy jobs have
failed there.
"""

from __future__ import annotations

import logging
from typing import Protocol

from ryewing.state.attempts import REFUSALS, EndCause, TaskPhase
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine, is_stable
from ryewing.units import JobId, MachineId, MonotonicTime

log = logging.getLogger(__name__)

FAILING_MACHINES_MIN = 3
"""The number of machines that a job has to fail on to be thought to fail on every one."""
BACKOFF_MIN_S = 2.0
"""The delay before the first probe of a job that fails everywhere."""
BACKOFF_MAX_S = 60.0
"""The longest delay between probes: below the 90 s for which no job may wait beside room for it."""
MACHINE_AVOIDANCE_S = 75.0
"""How long a job avoids a machine where one of its tasks failed: below the same 90 s, since
machines that fail tasks may recover."""
REFUSAL_DELAY_S = 1.0
"""How long a job waits after a refused start: for the next heartbeats."""
MAX_RESULTS_KEPT = 64
"""How many machines are remembered for a service as keeping the result of a replica."""


class Cluster(Protocol):
    """What the failure detector reads and changes of the cluster state that owns it."""

    machines: dict[MachineId, Machine]
    job_table: JobTable

    def assignments_of(self, job: Job) -> list[Assignment]:
        """Return a job's assignments on all machines."""

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Remove a task attempt from its machine."""


class FailureDetector:
    """Decides what a failed task says of its job and its machine, and which jobs back off.

    What it has learned is kept with the jobs and machines (`Job.failed_on`, `Job.backoff_s`,
    `Machine.failed_jobs`). Nothing here waits.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    # -- ended attempts ---------------------------------------------------------------------

    def attempt_ended(
        self, job: Job, assignment: Assignment, cause: str, now: MonotonicTime
    ) -> None:
        """Judge an attempt that has ended, but has not finished its task.

        `assignment` is the attempt as it was before it was dropped, and `cause` the worker's
        word for its end (see `EndCause`), empty if there was none.
        """
        if job.is_service and cause in (EndCause.DONE, EndCause.ERROR):
            self._replica_ended(job, assignment, cause, now)
        elif cause in REFUSALS:
            self._start_refused(job, assignment.machine, cause, now)
        elif cause == EndCause.ERROR:
            self._task_failed(job, assignment, now)

    def _replica_ended(
        self, job: Job, assignment: Assignment, cause: str, now: MonotonicTime
    ) -> None:
        """Judge the end of a replica: one that ran well for a while runs again at once, anywhere.

        As no replica ever finishes, it says nothing that the job has finished none: a good service
        was thought to be at fault for a few bad machines. What counts instead are its replicas that
        run well elsewhere.
        """
        machine = assignment.machine
        ran_well = is_stable(assignment, now)
        log.warning(
            "job=%s machine=%s event=replica-ended cause=%s ran_well=%s",
            job.id,
            machine.id,
            cause,
            ran_well,
        )
        if cause == EndCause.DONE:
            self._remember_result(job, machine)
        if ran_well:
            return
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, assignment, now)
            return
        if cause == EndCause.ERROR:
            machine.failed_jobs.add(job.id)
        if self._fails_in_most_places(job, now) and not self.runs_well(job, now):
            self._back_off(job, now)

    def _remember_result(self, job: Job, machine: Machine) -> None:
        """Record that the worker keeps a replica's result: started there again, it ends at once."""
        if len(job.result_kept_by) >= MAX_RESULTS_KEPT:
            job.result_kept_by.clear()
        job.result_kept_by.add(machine.id)

    def _fails_in_most_places(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a service failed lately on several machines, and on most of its own."""
        failed_lately = {
            name for name, at in job.failed_on.items() if now - at < MACHINE_AVOIDANCE_S
        }
        elsewhere = set(job.assigned_tasks.values()) - failed_lately
        return len(failed_lately) >= max(FAILING_MACHINES_MIN, len(elsewhere) + 1)

    def _start_refused(self, job: Job, machine: Machine, cause: str, now: MonotonicTime) -> None:
        """Delay a job whose start was refused until the next heartbeats have arrived.

        The worker knows better than our sums, or it has not received the job's description yet.
        """
        job.backoff_until = MonotonicTime(max(job.backoff_until, now + REFUSAL_DELAY_S))
        log.warning("job=%s machine=%s event=refused cause=%s", job.id, machine.id, cause)

    def _task_failed(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Judge a failed task: by its job if it fails on several machines, else by its machine."""
        machine = assignment.machine
        if machine.id not in job.failed_on and not job.backoff_s:
            log.warning("job=%s machine=%s event=task-failed", job.id, machine.id)
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, assignment, now)
            return
        machine.failed_jobs.add(job.id)
        if job.done_count or len(job.failed_on) < FAILING_MACHINES_MIN:
            return
        runs_elsewhere = {
            other.machine.id
            for other in self._cluster.assignments_of(job)
            if other.phase == TaskPhase.RUNNING
        } - job.failed_on.keys()
        if len(job.failed_on) > len(runs_elsewhere):
            # Not so if it has finished tasks, or runs on more machines than it failed on: among
            # hundreds, a large array meets several faulty ones at once, and each of them was
            # cleared of its fault by that.
            self._back_off(job, now)

    # -- backoff ----------------------------------------------------------------------------

    def _probe_failed(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Lengthen the backoff of a job, once for each probe that failed.

        Found in a replay: each of the tasks placed before the first backoff doubled it, so that it
        stood at its maximum within half a second, and each was held against its machine anew.
        """
        if assignment.planned_at >= job.backoff_until:
            self._back_off(job, now)

    def _back_off(self, job: Job, now: MonotonicTime) -> None:
        """Have a job back off, for longer each time: it is at fault, and its machines are not."""
        self.clear_failures(job)
        job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, job.backoff_s * 2))
        job.backoff_until = MonotonicTime(now + job.backoff_s)
        if not job.is_gang:
            for assignment in self._cluster.assignments_of(job):
                if assignment.phase == TaskPhase.PLANNED:
                    # Nothing was sent: it need not fail as well.
                    self._cluster.drop(assignment, now)
        log.warning(
            "job=%s event=backed-off for_s=%g machines=%d",
            job.id,
            job.backoff_s,
            len(job.failed_on),
        )

    def is_probing(self, job: Job) -> bool:
        """Return whether a task placed since the job last backed off has yet to show its end."""
        return any(
            assignment.planned_at >= job.backoff_until
            for assignment in self._cluster.assignments_of(job)
        )

    def end_backoff_if_recovered(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a job that backed off runs well after all; if so, end its backoff."""
        running_well = self._running_well(job, now)
        if not running_well:
            return False
        job.backoff_s = 0.0
        if job.is_service:
            job.failed_on.clear()
        for assignment in running_well:
            job.failed_on.pop(assignment.machine.id, None)
        return True

    # -- judgements that others ask for -----------------------------------------------------

    def runs_well(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a task of the job runs well, and has for a while."""
        return bool(self._running_well(job, now))

    def _running_well(self, job: Job, now: MonotonicTime) -> list[Assignment]:
        return [
            assignment
            for assignment in self._cluster.assignments_of(job)
            if assignment.phase == TaskPhase.RUNNING and is_stable(assignment, now)
        ]

    def is_healthy(self, job_id: JobId, now: MonotonicTime) -> bool:
        """Return whether a job's failures count against machines.

        They do if it succeeded elsewhere, or failed on a single machine. A job that is not live any
        more was completed, or else its failures were forgiven (`clear_failures`).
        """
        job = self._cluster.job_table.get(job_id)
        if job is None or job.done_count:
            return True
        return not job.backoff_s and (len(job.failed_on) == 1 or self.runs_well(job, now))

    def clear_failures(self, job: Job) -> None:
        """Hold a job's failures against no machine: the job is known or likely to be at fault."""
        for machine_id in job.failed_on:
            machine = self._cluster.machines.get(machine_id)
            if machine is not None:
                machine.failed_jobs.discard(job.id)
