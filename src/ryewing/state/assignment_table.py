"""Assignments and their use of machine resources and team limits.

Every change of an assignment goes through `AssignmentTable`, which keeps four views consistent: the
machine's assignments and free resources, the job's assigned tasks, the team's usage and the pending
terminations.
"""

from __future__ import annotations

import logging

from ryewing.state.attempts import TaskPhase
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import Attempt, MachineId, MonotonicTime, TaskId, TeamName
from ryewing.wire.jobs import JobSpec

log = logging.getLogger(__name__)


class AssignmentTable:
    """The assignments on all machines, with the machines and jobs that they belong to.

    No method blocks, so no greenlet sees the views in an inconsistent state.
    """

    def __init__(self, job_table: JobTable, terminations: PendingTerminations) -> None:
        self.job_table = job_table
        self.terminations = terminations
        self.machines: dict[MachineId, Machine] = {}
        """All machines that this leader knows, by id."""
        self.team_cpus: dict[TeamName, float] = {}
        """CPUs used by each team's assignments, including planned ones."""
        self.team_gpus: dict[TeamName, float] = {}
        """GPUs used by each team's assignments, including planned ones."""
        self._planned: set[Assignment] = set()
        """Assignments that were planned and not dropped. `drop_stale_plans` removes those that
        have been sent in the meantime."""

    def assign(
        self, machine: Machine, task: TaskId, attempt: Attempt, phase: TaskPhase, now: MonotonicTime
    ) -> Assignment:
        """Add a task attempt to a machine.

        A task of an unknown job, or with a number that its job does not have, is added without a
        job: it uses no resources and does not count against any team's limit.
        """
        job = self.job_table.get(task.job)
        if job is not None and not 0 <= task.number < job.spec.task_count:
            job = None
        assignment = Assignment(machine, task, attempt, job, phase, now)
        machine.assignments[task] = assignment
        if phase == TaskPhase.PLANNED:
            self._planned.add(assignment)
        if job is not None:
            self._allocate_resources(machine, job.spec)
            self._add_location(job, task, machine.id)
            job.tasks_by_zone[machine.zone] += 1
            if phase == TaskPhase.RUNNING:
                job.running_count += 1
                assignment.running_since = now
            self.job_table.reindex(job)
        return assignment

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Remove a task attempt from its machine.

        Unless the task has `finished`, it is requeued if it is on no other machine.
        """
        machine = assignment.machine
        del machine.assignments[assignment.task]
        self._planned.discard(assignment)
        if not machine.assignments:
            machine.idle_since = now
        self.terminations.remove(machine.id, assignment.task, assignment.attempt)
        job = assignment.job
        if job is None:
            return
        self._release_resources(machine, job.spec)
        job.tasks_by_zone[machine.zone] -= 1
        if assignment.phase == TaskPhase.RUNNING:
            job.running_count -= 1
        self._remove_location(job, assignment.task.number, machine.id, finished)
        self.job_table.reindex(job)

    def drop_all(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop all assignments of the machine, and clear what its worker has reported."""
        for assignment in list(machine.assignments.values()):
            self.drop(assignment, now)
        machine.ended_attempts.clear()
        machine.last_reported.clear()

    def drop_planned(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop the machine's assignments that are planned but not sent."""
        for assignment in list(machine.assignments.values()):
            if assignment.phase == TaskPhase.PLANNED:
                self.drop(assignment, now)

    def drop_stale_plans(self, now: MonotonicTime, max_age_s: float) -> None:
        """Drop planned assignments that are older than `max_age_s`.

        Their machines have sent no heartbeat since, so their starts were not sent, and they can be
        dropped without waiting for the worker.
        """
        for assignment in list(self._planned):
            if assignment.phase != TaskPhase.PLANNED:
                self._planned.discard(assignment)
            elif now - assignment.planned_at > max_age_s:
                self.drop(assignment, now)

    def set_phase(self, assignment: Assignment, phase: TaskPhase, now: MonotonicTime) -> None:
        """Set the phase of an assignment to the phase that its worker reports."""
        if assignment.phase == phase:
            return
        job = assignment.job
        if job is not None:
            if assignment.phase == TaskPhase.RUNNING:
                job.running_count -= 1
            if phase == TaskPhase.RUNNING:
                job.running_count += 1
        if phase == TaskPhase.RUNNING and assignment.running_since is None:
            assignment.running_since = now
            assignment.start_observed = True
        assignment.phase = phase

    def assignments_of(self, job: Job) -> list[Assignment]:
        """Return a job's assignments on all machines; duplicates of a task come last."""
        assignments = []
        duplicates = [
            (number, machine_id)
            for number, machine_ids in job.duplicates.items()
            for machine_id in machine_ids
        ]
        for number, machine_id in (*job.assigned_tasks.items(), *duplicates):
            machine = self.machines.get(machine_id)
            assignment = (
                machine.assignments.get(TaskId(job.id, number)) if machine is not None else None
            )
            if assignment is not None:
                assignments.append(assignment)
        return assignments

    def _allocate_resources(self, machine: Machine, spec: JobSpec) -> None:
        """Add one task of a job to the usage of its machine and its team."""
        machine.free_cpus -= spec.cpus
        machine.free_gpus -= spec.gpus
        machine.free_memory_gb -= spec.memory_gb
        machine.images_in_use[spec.image] += 1
        team = TeamName(spec.team)
        self.team_cpus[team] = self.team_cpus.get(team, 0.0) + spec.cpus
        self.team_gpus[team] = self.team_gpus.get(team, 0.0) + spec.gpus

    def _release_resources(self, machine: Machine, spec: JobSpec) -> None:
        """Subtract one task of a job from the usage of its machine and its team."""
        machine.free_cpus += spec.cpus
        machine.free_gpus += spec.gpus
        machine.free_memory_gb += spec.memory_gb
        machine.images_in_use[spec.image] -= 1
        team = TeamName(spec.team)
        self.team_cpus[team] -= spec.cpus
        self.team_gpus[team] -= spec.gpus

    def _add_location(self, job: Job, task: TaskId, machine_id: MachineId) -> None:
        """Record that a task is on a machine, possibly in addition to another machine."""
        other = job.assigned_tasks.get(task.number)
        if other is not None and other != machine_id:
            # One of the two reports is a heartbeat that was delayed until a new leader started, and
            # shows where the task was before. The leader can't tell yet which one, so it counts the
            # task as on both machines until it is gone from both. Otherwise, dropping the outdated
            # assignment would start the task a second time.
            log.error(
                "task=%s event=task-on-two-machines machine=%s other=%s", task, machine_id, other
            )
            job.duplicates.setdefault(task.number, set()).add(other)
        job.assigned_tasks[task.number] = machine_id

    def _remove_location(
        self, job: Job, number: int, machine_id: MachineId, finished: bool
    ) -> None:
        """Record that a task is no longer on a machine; requeue it if it is on no machine."""
        others = job.duplicates.get(number)
        if others is not None:
            if job.assigned_tasks.get(number) == machine_id:
                job.assigned_tasks[number] = others.pop()
            others.discard(machine_id)
            if not others:
                del job.duplicates[number]
        elif job.assigned_tasks.get(number) == machine_id:
            del job.assigned_tasks[number]
            if not finished:
                job.requeue(number)
