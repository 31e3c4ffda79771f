"""Machines and jobs for tests of scheduling cycles and of the order of jobs.

There is a cluster state and a job table but no leader: no store, no heartbeats and no time that
passes. A plan is computed and returned, and never sent to workers.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

from ryewing import scheduling
from ryewing.scheduling import queueing
from ryewing.scheduling.gpu_reserve import NO_RESERVE
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.attempts import TaskPhase
from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_records import JobRecord
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
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
from ryewing.wire.cloud import MachineType
from support.fakes import CPU, GPU, job_spec, settings

T0 = MonotonicTime(1000.0)

MACHINE_TYPES = {"c32": CPU, "g4": GPU}
TEAMS = {team.name: team for team in settings().params.teams}


class World:
    """A cluster state and a job table to which a test adds machines and jobs."""

    def __init__(self) -> None:
        self.job_table = JobTable()
        self.terminations = PendingTerminations()
        self.cluster = ClusterState(TermNumber(5), 20.0, self.job_table, self.terminations)

    def machine(
        self, name: str, machine_type: MachineType = CPU, zone: str = "a", spot: bool = False
    ) -> Machine:
        machine = self.cluster.add(MachineId(name), machine_type, Zone(zone), spot, T0)
        machine.acknowledged_bump, machine.recorded = 0, True
        return machine

    def job(self, ref: str, **changes: Any) -> Job:
        return self.job_table.put(JobRecord(job_spec(ref, **changes), 0.0), KeyVersion(1))

    def run_tasks(self, one: Job, machine: Machine, count: int) -> None:
        for index in one.dequeue(count):
            self.cluster.assign(machine, TaskId(one.id, index), Attempt(1), TaskPhase.RUNNING, T0)

    def plan(
        self,
        *jobs: Job,
        now: float = 100.0,
        sample: int = 64,
        unreconciled: tuple[float, float] = (0.0, 0.0),
        gpus_kept: float = 99.0,
        moving: Sequence[Assignment] = (),
        **snapshot_fields: Any,
    ) -> scheduling.Plan:
        gpu_reserve = NO_RESERVE
        for one in self.job_table:
            gpu_reserve = gpu_reserve.including(one)
        quota = TeamQuota(TEAMS, self.cluster.team_cpus, self.cluster.team_gpus, *unreconciled)
        capacities = [
            MachineCapacity(m) for m in self.cluster.machines.values() if m.is_schedulable()
        ]
        snapshot = scheduling.SchedulingSnapshot(
            capacities,
            quota,
            MonotonicTime(T0 + now),
            random.Random(1),
            sample,
            gpu_reserve,
            gpus_kept,
            **snapshot_fields,
        )
        return scheduling.run_cycle(snapshot, jobs, (), moving)


def tasks_by_machine(plan: scheduling.Plan) -> Counter[str]:
    counts: Counter[str] = Counter()
    for batch in plan.batches:
        for machine, count in batch.parts:
            counts[machine.id] += count
    return counts


def queue_order(jobs: list[Job], total: float, now: float) -> list[str]:
    supply = queueing.Supply(total, 0.0)
    ordered = queueing.order(jobs, settings().params.objectives, supply, supply, WallTime(now))
    return [one.id for one in ordered]
