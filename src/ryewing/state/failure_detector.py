"""Attributes task failures to the job or to the machine.

A job that fails on several machines and has no finished task backs off: after a delay, a single
task (the probe) is started to test whether the job still fails, and each failed probe doubles the
delay. Any other failure counts against the machine, which is quarantined once tasks of several
healthy jobs have failed on it.
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
"""The number of machines on which a job has to fail before it counts as failing everywhere."""
BACKOFF_MIN_S = 2.0
"""The delay before the first probe of a job that fails everywhere, in seconds."""
BACKOFF_MAX_S = 60.0
"""The maximum delay between probes, in seconds. It is below 90 s, the longest time for which a job
may wait while resources for it are free."""
MACHINE_AVOIDANCE_S = 75.0
"""How long a job avoids a machine on which one of its tasks failed, in seconds. It is also below
90 s, because machines that fail tasks may recover."""
REFUSAL_DELAY_S = 1.0
"""How long a job waits for the next heartbeats after a refused start, in seconds."""
MAX_RESULTS_KEPT = 64
"""The maximum size of `Job.result_kept_by`."""


class Cluster(Protocol):
    """The part of the cluster state that the failure detector reads and changes."""

    machines: dict[MachineId, Machine]
    job_table: JobTable

    def assignments_of(self, job: Job) -> list[Assignment]:
        """Return a job's assignments on all machines."""

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Remove a task attempt from its machine."""


class FailureDetector:
    """Attributes failed tasks to their job or their machine, and decides which jobs back off.

    Its state is stored in the jobs and machines (`Job.failed_on`, `Job.backoff_s`,
    `Machine.failed_jobs`). No method blocks.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    # -- ended attempts ---------------------------------------------------------------------

    def attempt_ended(
        self, job: Job, assignment: Assignment, cause: str, now: MonotonicTime
    ) -> None:
        """Process an attempt that has ended without finishing its task.

        `assignment` is the attempt as it was before it was dropped. `cause` is the cause that the
        worker reports (see `EndCause`), or empty if it reports none.
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
        """Process the end of a replica; a replica that was stable can run again at once, anywhere.

        Replicas never finish, so the number of finished tasks can't show that a service is healthy:
        failures on a few faulty machines were attributed to a healthy service. Stable replicas on
        other machines are the evidence instead.
        """
        machine = assignment.machine
        was_stable = is_stable(assignment, now)
        log.warning(
            "job=%s machine=%s event=replica-ended cause=%s ran_well=%s",
            job.id,
            machine.id,
            cause,
            was_stable,
        )
        if cause == EndCause.DONE:
            self._remember_result(job, machine)
        if was_stable:
            return
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, assignment, now)
            return
        if cause == EndCause.ERROR:
            machine.failed_jobs.add(job.id)
        if self._fails_on_most_machines(job, now) and not self.has_stable_task(job, now):
            self._back_off(job, now)

    def _remember_result(self, job: Job, machine: Machine) -> None:
        """Record that the worker keeps a replica's result: a new start there would end at once."""
        if len(job.result_kept_by) >= MAX_RESULTS_KEPT:
            job.result_kept_by.clear()
        job.result_kept_by.add(machine.id)

    def _fails_on_most_machines(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a service recently failed on several machines and on most of its own."""
        recently_failed = {
            name for name, at in job.failed_on.items() if now - at < MACHINE_AVOIDANCE_S
        }
        elsewhere = set(job.assigned_tasks.values()) - recently_failed
        return len(recently_failed) >= max(FAILING_MACHINES_MIN, len(elsewhere) + 1)

    def _start_refused(self, job: Job, machine: Machine, cause: str, now: MonotonicTime) -> None:
        """Delay a job whose start was refused until the next heartbeats have arrived.

        Either the leader's view of the machine is outdated and the next heartbeat corrects it, or
        the worker has not received the job's description yet.
        """
        job.backoff_until = MonotonicTime(max(job.backoff_until, now + REFUSAL_DELAY_S))
        log.warning("job=%s machine=%s event=refused cause=%s", job.id, machine.id, cause)

    def _task_failed(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Attribute a failure to the job if it fails on several machines, else to the machine."""
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
            # A job that has finished tasks, or runs on at least as many machines as it failed on,
            # does not back off. A large array on hundreds of machines can run on several faulty
            # ones at once; a backoff would clear the failures of these machines.
            self._back_off(job, now)

    # -- backoff ----------------------------------------------------------------------------

    def _probe_failed(self, job: Job, assignment: Assignment, now: MonotonicTime) -> None:
        """Increase the backoff of a job once for each failed probe.

        Failures of tasks that were placed before the backoff started are ignored. In a replay, each
        of them doubled the delay, which reached its maximum within half a second, and each counted
        against its machine again.
        """
        if assignment.planned_at >= job.backoff_until:
            self._back_off(job, now)

    def _back_off(self, job: Job, now: MonotonicTime) -> None:
        """Start or double the backoff of a job, and stop counting its failures against machines."""
        self.clear_failures(job)
        job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, job.backoff_s * 2))
        job.backoff_until = MonotonicTime(now + job.backoff_s)
        if not job.is_gang:
            for assignment in self._cluster.assignments_of(job):
                if assignment.phase == TaskPhase.PLANNED:
                    # Its start was not sent, so it can be dropped instead of failing too.
                    self._cluster.drop(assignment, now)
        log.warning(
            "job=%s event=backed-off for_s=%g machines=%d",
            job.id,
            job.backoff_s,
            len(job.failed_on),
        )

    def is_probing(self, job: Job) -> bool:
        """Return whether a task that was placed after the end of the backoff delay is assigned."""
        return any(
            assignment.planned_at >= job.backoff_until
            for assignment in self._cluster.assignments_of(job)
        )

    def end_backoff_if_recovered(self, job: Job, now: MonotonicTime) -> bool:
        """End the backoff of a job that has a stable task; return whether it did."""
        stable_assignments = self._stable_assignments(job, now)
        if not stable_assignments:
            return False
        job.backoff_s = 0.0
        if job.is_service:
            job.failed_on.clear()
        for assignment in stable_assignments:
            job.failed_on.pop(assignment.machine.id, None)
        return True

    # -- queries ----------------------------------------------------------------------------

    def has_stable_task(self, job: Job, now: MonotonicTime) -> bool:
        """Return whether a task of the job is running and stable (see `is_stable`)."""
        return bool(self._stable_assignments(job, now))

    def _stable_assignments(self, job: Job, now: MonotonicTime) -> list[Assignment]:
        return [
            assignment
            for assignment in self._cluster.assignments_of(job)
            if assignment.phase == TaskPhase.RUNNING and is_stable(assignment, now)
        ]

    def is_healthy(self, job_id: JobId, now: MonotonicTime) -> bool:
        """Return whether a job's failures count against machines.

        They do if the job has finished a task or has a stable one, or if it failed on one machine
        only. A job that is no longer live has finished, or its failures were cleared
        (`clear_failures`).
        """
        job = self._cluster.job_table.get(job_id)
        if job is None or job.done_count:
            return True
        return not job.backoff_s and (len(job.failed_on) == 1 or self.has_stable_task(job, now))

    def clear_failures(self, job: Job) -> None:
        """Stop counting a job's failures against machines: the job is known or likely at fault."""
        for machine_id in job.failed_on:
            machine = self._cluster.machines.get(machine_id)
            if machine is not None:
                machine.failed_jobs.discard(job.id)
