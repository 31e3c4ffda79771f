"""Assignments, and what they take of machines' resources and of teams' limits.

Every change of an assignment goes through `AssignmentTable`, which keeps four views in step: the
machine's assignments and free resources, the job's live tasks, the team's usage, and the pending
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

    Nothing here waits, so no greenlet sees the views out of step.
    """

    def __init__(self, job_table: JobTable, terminations: PendingTerminations) -> None:
        self.job_table = job_table
        self.terminations = terminations
        self.machines: dict[MachineId, Machine] = {}
        """Every machine that this leader knows, by id."""
        self.team_cpus: dict[TeamName, float] = {}
        """CPUs that each team's assignments take, planned ones included."""
        self.team_gpus: dict[TeamName, float] = {}
        """GPUs that each team's assignments take, planned ones included."""
        self._planned: set[Assignment] = set()
        """Assignments that were planned and not dropped. Those that have been sent since are
        removed when `drop_stale_plans` goes through the set."""

    def assign(
        self, machine: Machine, task: TaskId, attempt: Attempt, phase: TaskPhase, now: MonotonicTime
    ) -> Assignment:
        """Add a task attempt to a machine.

        A task of an unknown job, or one that its job does not have, is kept without a job: it
        takes no resources and counts against no team.
        """
        job = self.job_table.get(task.job)
        if job is not None and not 0 <= task.number < job.spec.task_count:
            job = None
        assignment = Assignment(machine, task, attempt, job, phase, now)
        machine.assignments[task] = assignment
        if phase == TaskPhase.PLANNED:
            self._planned.add(assignment)
        if job is not None:
            self._take_resources(machine, job.spec)
            self._add_location(job, task, machine.id)
            job.tasks_by_zone[machine.zone] += 1
            if phase == TaskPhase.RUNNING:
                job.running_count += 1
                assignment.running_since = now
            self.job_table.reindex(job)
        return assignment

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Remove a task attempt from its machine.

        Unless it has `finished`, its task is handed back to the job to run again.
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
        self._give_back_resources(machine, job.spec)
        job.tasks_by_zone[machine.zone] -= 1
        if assignment.phase == TaskPhase.RUNNING:
            job.running_count -= 1
        self._remove_location(job, assignment.task.number, machine.id, finished)
        self.job_table.reindex(job)

    def drop_all(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop all that was on the machine, and forget what its worker has reported."""
        for assignment in list(machine.assignments.values()):
            self.drop(assignment, now)
        machine.ended_attempts.clear()
        machine.last_reported.clear()

    def drop_planned(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop the machine's assignments that were planned but not sent."""
        for assignment in list(machine.assignments.values()):
            if assignment.phase == TaskPhase.PLANNED:
                self.drop(assignment, now)

    def drop_stale_plans(self, now: MonotonicTime, patience_s: float) -> None:
        """Drop plans older than `patience_s`, whose machine sent no heartbeat to fetch them.

        Nothing was sent, so nothing has to be waited for.
        """
        for assignment in list(self._planned):
            if assignment.phase != TaskPhase.PLANNED:
                self._planned.discard(assignment)
            elif now - assignment.planned_at > patience_s:
                self.drop(assignment, now)

    def set_phase(self, assignment: Assignment, phase: TaskPhase, now: MonotonicTime) -> None:
        """Move an assignment to the phase that its worker reports."""
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
        """Return a job's assignments on all machines, with duplicates of a task at the end."""
        found = []
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
                found.append(assignment)
        return found

    def _take_resources(self, machine: Machine, spec: JobSpec) -> None:
        """Count what one task of a job takes of its machine and its team's limit."""
        machine.free_cpus -= spec.cpus
        machine.free_gpus -= spec.gpus
        machine.free_memory_gb -= spec.memory_gb
        machine.images_in_use[spec.image] += 1
        team = TeamName(spec.team)
        self.team_cpus[team] = self.team_cpus.get(team, 0.0) + spec.cpus
        self.team_gpus[team] = self.team_gpus.get(team, 0.0) + spec.gpus

    def _give_back_resources(self, machine: Machine, spec: JobSpec) -> None:
        """Undo `_take_resources`."""
        machine.free_cpus += spec.cpus
        machine.free_gpus += spec.gpus
        machine.free_memory_gb += spec.memory_gb
        machine.images_in_use[spec.image] -= 1
        team = TeamName(spec.team)
        self.team_cpus[team] -= spec.cpus
        self.team_gpus[team] -= spec.gpus

    def _add_location(self, job: Job, task: TaskId, machine_id: MachineId) -> None:
        """Record which machine a task is on; it may be reported from more than one."""
        other = job.assigned_tasks.get(task.number)
        if other is not None and other != machine_id:
            # An old heartbeat that was delayed until a new leader began shows where the task used
            # to be. Which of the two is the old one shows only later: until then the task counts
            # as on both machines, and is gone once it is gone from both. Found by a table of
            # cases: the old one went, and the task was started again.
            log.error(
                "task=%s event=task-on-two-machines machine=%s other=%s", task, machine_id, other
            )
            job.duplicates.setdefault(task.number, set()).add(other)
        job.assigned_tasks[task.number] = machine_id

    def _remove_location(
        self, job: Job, number: int, machine_id: MachineId, finished: bool
    ) -> None:
        """Record that a task is no longer on a machine; hand it back if it is on none."""
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
