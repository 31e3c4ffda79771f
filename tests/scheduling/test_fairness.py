"""Fairness under a steady stream of small jobs: large jobs begin, and no class or team starves.

A small cluster runs in steps of five seconds. In each step, tasks end after their estimated time,
new small jobs arrive for those that ended, and a cycle places tasks. There are always more jobs
than free resources.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from support.fakes import CPU, job_spec, settings

from ryewing import scheduling
from ryewing.config.settings import Team
from ryewing.scheduling import queueing
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.attempts import TaskPhase
from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_records import JobRecord
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import (
    Attempt,
    KeyVersion,
    MachineId,
    MonotonicTime,
    TaskId,
    TermNumber,
    WallTime,
    Zone,
)

STEP_S = 5.0
MAX_START_DELAY_S = 240.0


class SteadyLoad:
    """A cluster with a constant number of waiting small jobs, and one large job."""

    def __init__(self, machines: int, small: dict[str, Any], waiting: int) -> None:
        self.job_table = JobTable()
        self.cluster = ClusterState(TermNumber(5), 20.0, self.job_table, PendingTerminations())
        self.now = 0.0
        self.small = small
        self.waiting = waiting
        self.count = 0
        self.start_delays_s: dict[str, float] = {}
        self.rng = random.Random(3)
        for n in range(machines):
            machine = self.cluster.add(
                MachineId(f"i-{n:06d}"), CPU, Zone("ab"[n % 2]), False, MonotonicTime(0.0)
            )
            machine.acknowledged_bump, machine.recorded = 0, True

    def accept(self, **changes: Any) -> Job:
        self.count += 1
        record = JobRecord(job_spec(f"run-{self.count}", **changes), self.now)
        return self.job_table.put(record, KeyVersion(1))

    def finish_tasks(self) -> None:
        for machine in self.cluster.machines.values():
            for assignment in list(machine.assignments.values()):
                job = assignment.job
                assert job is not None
                assert assignment.running_since is not None
                if self.now - assignment.running_since >= job.spec.estimated_s:
                    self.cluster.drop(assignment, MonotonicTime(self.now), finished=True)
                    job.finish(assignment.task.number)
                    job.unwritten.clear()
                    if job.complete:
                        self.job_table.drop(job)

    def step(self) -> None:
        self.now += STEP_S
        self.finish_tasks()
        small = sum(job.shortfall > 0 for job in self.job_table) - 1
        for _ in range(max(0, self.waiting - small)):
            self.accept(**self.small)
        jobs = [self.job_table.jobs[name] for name in sorted(self.job_table.waiting)]
        total = sum(m.machine_type.cpus for m in self.cluster.machines.values())
        free = sum(m.free_cpus for m in self.cluster.machines.values())
        supply = queueing.Supply(total, free)
        now = WallTime(self.now)
        ordered = queueing.order(jobs, settings().params.objectives, supply, supply, now)
        capacities = [MachineCapacity(m) for m in self.cluster.machines.values()]
        teams = {"red": Team("red"), "blue": Team("blue")}
        quota = TeamQuota(teams, {}, {})
        plan = scheduling.run_cycle(
            scheduling.SchedulingSnapshot(capacities, quota, MonotonicTime(self.now), self.rng, 64),
            ordered,
            queueing.overdue(ordered, now),
        )
        stopped: list[Assignment] = plan.preemptions
        for assignment in stopped:
            self.cluster.drop(assignment, MonotonicTime(self.now))
        for batch in plan.batches:
            self.start_delays_s.setdefault(batch.job.id, self.now - batch.job.accepted_at)
            for machine, count in batch.parts:
                for number in batch.job.dequeue(count):
                    task = TaskId(batch.job.id, number)
                    self.cluster.assign(
                        machine, task, Attempt(1), TaskPhase.RUNNING, MonotonicTime(self.now)
                    )


SINGLE_GANG = {
    "shape": "group",
    "priority": "urgent",
    "task_count": 1,
    "cpus": 30.0,
    "estimated_s": 60.0,
}
PAIR_GANG = {**SINGLE_GANG, "task_count": 2, "same_zone": True}
ARRAY = {"priority": "standard", "task_count": 8, "cpus": 4.0, "estimated_s": 30.0}


@pytest.mark.parametrize(
    ("small", "waiting", "large"),
    [
        (
            SINGLE_GANG,  # small gangs get each machine that becomes free
            4,
            {**SINGLE_GANG, "task_count": 6, "same_zone": True},
        ),
        (PAIR_GANG, 4, {**SINGLE_GANG, "task_count": 6, "same_zone": True}),
        (PAIR_GANG, 4, {**SINGLE_GANG, "task_count": 9}),  # needs machines of both zones
        ({**ARRAY, "priority": "urgent"}, 6, {**SINGLE_GANG, "task_count": 6, "same_zone": True}),
        (ARRAY, 30, {**ARRAY, "task_count": 2000}),  # deferred, since it can't be on time
        (ARRAY, 30, {**ARRAY, "team": "blue", "priority": "idle"}),  # lower priority, another team
        (ARRAY, 30, {**ARRAY, "priority": "idle", "task_count": 2000, "job_class": "other"}),
    ],
)
def test_large_jobs_begin_within_four_minutes(
    small: dict[str, Any], waiting: int, large: dict[str, Any]
) -> None:
    load = SteadyLoad(12, small, waiting)
    for _ in range(12):
        load.step()
    large_job = load.accept(**large)
    while (
        large_job.id not in load.start_delays_s
        and load.now - large_job.accepted_at < 4 * MAX_START_DELAY_S
    ):
        load.step()
    assert load.start_delays_s.get(large_job.id, 4 * MAX_START_DELAY_S) <= MAX_START_DELAY_S


@pytest.mark.parametrize("small", [SINGLE_GANG, PAIR_GANG, ARRAY])
def test_reserved_machines_are_used_by_tasks_that_end_in_time(small: dict[str, Any]) -> None:
    """A reservation must not leave a zone idle for minutes: short tasks are backfilled."""
    load = SteadyLoad(12, small, 4)
    for _ in range(12):
        load.step()
    load.accept(**{**SINGLE_GANG, "task_count": 6, "same_zone": True})
    short_array = {**ARRAY, "estimated_s": 5.0}
    utilizations = []
    for _ in range(40):
        load.accept(**short_array)
        load.step()
        free = sum(m.free_cpus for m in load.cluster.machines.values())
        utilizations.append(1 - free / (12 * CPU.cpus))
    assert sum(utilizations) / len(utilizations) > 0.8
