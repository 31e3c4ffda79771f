"""Against a steady stream of smaller work: the largest begin, and every class and team is served.

A small world in steps of five seconds: cycles place, tasks run their time, and as much new small
work comes as has ended, so that there is never room to spare.
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
BOUND_S = 240.0


class Stream:
    """Machines, a queue of small jobs that never ends, and one large job."""

    def __init__(self, machines: int, small: dict[str, Any], waiting: int) -> None:
        self.job_table = JobTable()
        self.cluster = ClusterState(TermNumber(5), 20.0, self.job_table, PendingTerminations())
        self.now = 0.0
        self.small = small
        self.waiting = waiting
        self.count = 0
        self.began: dict[str, float] = {}
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

    def end_tasks(self) -> None:
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
        self.end_tasks()
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
            self.began.setdefault(batch.job.id, self.now - batch.job.accepted_at)
            for machine, count in batch.parts:
                for number in batch.job.dequeue(count):
                    task = TaskId(batch.job.id, number)
                    self.cluster.assign(
                        machine, task, Attempt(1), TaskPhase.RUNNING, MonotonicTime(self.now)
                    )


ONE = {"shape": "group", "priority": "urgent", "task_count": 1, "cpus": 30.0, "estimated_s": 60.0}
PAIR = {**ONE, "task_count": 2, "same_zone": True}
ARRAY = {"priority": "standard", "task_count": 8, "cpus": 4.0, "estimated_s": 30.0}


@pytest.mark.parametrize(
    ("small", "waiting", "large"),
    [
        (
            ONE,
            4,
            {**ONE, "task_count": 6, "same_zone": True},
        ),  # small gangs take each machine freed
        (PAIR, 4, {**ONE, "task_count": 6, "same_zone": True}),
        (PAIR, 4, {**ONE, "task_count": 9}),  # from both zones
        ({**ARRAY, "priority": "urgent"}, 6, {**ONE, "task_count": 6, "same_zone": True}),
        (ARRAY, 30, {**ARRAY, "task_count": 2000}),  # put off by the order, as it can't be on time
        (ARRAY, 30, {**ARRAY, "team": "blue", "priority": "idle"}),  # lower priority, another team
        (ARRAY, 30, {**ARRAY, "priority": "idle", "task_count": 2000, "job_class": "other"}),
    ],
)
def test_the_largest_begin_within_four_minutes(
    small: dict[str, Any], waiting: int, large: dict[str, Any]
) -> None:
    stream = Stream(12, small, waiting)
    for _ in range(12):
        stream.step()
    one = stream.accept(**large)
    while one.id not in stream.began and stream.now - one.accepted_at < 4 * BOUND_S:
        stream.step()
    assert stream.began.get(one.id, 4 * BOUND_S) <= BOUND_S


@pytest.mark.parametrize("small", [ONE, PAIR, ARRAY])
def test_room_that_is_kept_is_used_for_what_ends_in_time(small: dict[str, Any]) -> None:
    """A reservation must not empty a zone for minutes: short work goes on beside it."""
    stream = Stream(12, small, 4)
    for _ in range(12):
        stream.step()
    stream.accept(**{**ONE, "task_count": 6, "same_zone": True})
    quick = {**ARRAY, "estimated_s": 5.0}
    used = []
    for _ in range(40):
        stream.accept(**quick)
        stream.step()
        free = sum(m.free_cpus for m in stream.cluster.machines.values())
        used.append(1 - free / (12 * CPU.cpus))
    assert sum(used) / len(used) > 0.8
