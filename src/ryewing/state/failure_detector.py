"""Judging failed tasks: whether the job is at fault, or the machine.

A job that fails on several machines and has finished nothing backs off: one task at a time, the
probe, shows whether it still fails, after a delay that doubles with each. What fails on a machine
otherwise is held against the machine.
"""

from __future__ import annotations

import logging
from typing import Protocol

from ryewing.state.attempts import TaskPhase
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine, ran_for_a_while
from ryewing.units import JobId, MachineId, MonotonicTime

log = logging.getLogger(__name__)

FAILING_MACHINES_MIN = 3
"""A job that failed on so many machines is thought to fail on every one."""
BACKOFF_MIN_S = 2.0
BACKOFF_MAX_S = 60.0
"""How long a job that fails everywhere is left alone after its first probe, and at the most: below
the 90 s for which no job may wait beside room for it."""
MAX_RESULTS_KEPT = 64
"""Machines remembered for a job as keeping the result of one of its replicas."""
AVOID_S = 75.0
"""How long a machine where a task failed gets none of the job's: below the 90 s for which no job
may wait beside room for it, since machines that fail tasks may recover."""


class Cluster(Protocol):
    """What the failure detector sees and changes of the cluster state that owns it."""

    machines: dict[MachineId, Machine]
    job_table: JobTable

    def assignments_of(self, job: Job) -> list[Assignment]:
        """List a job's task attempts, on whatever machines they are."""

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Take a task attempt off its machine."""


class FailureDetector:
    """Decides what a failed task says, and which jobs have to wait."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def replica_ended(
        self,
        machine: Machine,
        job: Job,
        cause: str,
        well: bool,
        planned_at: MonotonicTime,
        now: MonotonicTime,
    ) -> None:
        """Judge the end of a replica: one that ran well for a while runs again at once, anywhere.

        None ever finishes, so that a job has finished nothing says nothing here: a good service was
        thought faulty for a few bad machines. Its replicas that run well elsewhere count instead.
        """
        log.warning(
            "job=%s machine=%s event=replica-ended cause=%s ran_well=%s",
            job.id,
            machine.id,
            cause,
            well,
        )
        if cause == "done":
            # The worker keeps the result: started there again it would end at once.
            if len(job.result_kept_by) >= MAX_RESULTS_KEPT:
                job.result_kept_by.clear()
            job.result_kept_by.add(machine.id)
        if well:
            return
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, planned_at, now)
            return
        if cause == "error":
            machine.faults.add(job.id)
        lately = {name for name, at in job.failed_on.items() if now - at < AVOID_S}
        elsewhere = set(job.live.values()) - lately
        if len(lately) >= max(FAILING_MACHINES_MIN, len(elsewhere) + 1) and not self.runs_well(
            job, now
        ):
            self._back_off(job, now)

    def runs_well(self, job: Job, now: MonotonicTime) -> bool:
        """Tell whether a task of the job runs well, and has for a while."""
        return bool(self._running_well(job, now))

    def _running_well(self, job: Job, now: MonotonicTime) -> list[Assignment]:
        return [
            assignment
            for assignment in self._cluster.assignments_of(job)
            if assignment.phase == TaskPhase.RUNNING and ran_for_a_while(assignment, now)
        ]

    def _back_off(self, job: Job, now: MonotonicTime) -> None:
        """The job is at fault, not the machines that it failed on: back off, longer each time."""
        self.clear_faults(job)
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

    def clear_faults(self, job: Job) -> None:
        """Hold a job's failures against no machine: the job is known or likely to be at fault."""
        for name in job.failed_on:
            machine = self._cluster.machines.get(name)
            if machine is not None:
                machine.faults.discard(job.id)

    def is_healthy(self, job_id: JobId, now: MonotonicTime) -> bool:
        """Tell whether a job's failures say something about machines.

        It succeeded elsewhere, or failed on a single one. A job that is not live any more was
        completed, or else its failures were forgiven.
        """
        job = self._cluster.job_table.get(job_id)
        if job is None or job.done_count:
            return True
        return not job.backoff_s and (len(job.failed_on) == 1 or self.runs_well(job, now))

    def has_recovered(self, job: Job, now: MonotonicTime) -> bool:
        """See whether a job that backed off runs well after all; if so, take the delay back."""
        well = self._running_well(job, now)
        if not well:
            return False
        job.backoff_s = 0.0
        if job.is_service:
            job.failed_on.clear()
        for assignment in well:
            job.failed_on.pop(assignment.machine.id, None)
        return True

    def is_probing(self, job: Job) -> bool:
        """Tell whether a task placed since the job last backed off has yet to show how it ends."""
        return any(
            assignment.planned_at >= job.backoff_until
            for assignment in self._cluster.assignments_of(job)
        )

    def _probe_failed(self, job: Job, planned_at: MonotonicTime, now: MonotonicTime) -> None:
        """A task of a job that backs off has failed too: one step for each probe.

        Found in a replay: each of the tasks placed before the first backoff doubled it, so that it
        stood at its maximum within half a second, and each was held against its machine anew.
        """
        if planned_at >= job.backoff_until:
            self._back_off(job, now)

    def task_failed(
        self, machine: Machine, job: Job, cause: str, planned_at: MonotonicTime, now: MonotonicTime
    ) -> None:
        """Judge a failure: by the job if it fails on several machines, else by the machine."""
        if cause in ("no_room", "in_use", "unknown"):
            # The worker knows better than our sums, or the job's description is not there yet:
            # look again after its next heartbeats instead of at once.
            job.backoff_until = MonotonicTime(max(job.backoff_until, now + 1.0))
            log.warning("job=%s machine=%s event=refused cause=%s", job.id, machine.id, cause)
            return
        if cause != "error":
            return
        if machine.id not in job.failed_on and not job.backoff_s:
            log.warning("job=%s machine=%s event=task-failed", job.id, machine.id)
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, planned_at, now)
            return
        machine.faults.add(job.id)
        if job.done_count or len(job.failed_on) < FAILING_MACHINES_MIN:
            return
        elsewhere = {
            assignment.machine.id
            for assignment in self._cluster.assignments_of(job)
            if assignment.phase == TaskPhase.RUNNING
        } - job.failed_on.keys()
        if len(job.failed_on) > len(elsewhere):
            # Not so if it finished tasks or runs on more machines than it failed on: among
            # hundreds, a large array meets several faulty ones at once, and each of them was
            # cleared of its fault by that.
            self._back_off(job, now)
