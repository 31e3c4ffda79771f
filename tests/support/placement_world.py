"""Machines and jobs for tests of scheduling cycles and of the queue order.

`World` has a cluster state and a job table, but no leader, store, heartbeats or clock. Plans are
returned to the test, and not applied.
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
        """Add a machine on which tasks can be placed."""
        machine = self.cluster.add(MachineId(name), machine_type, Zone(zone), spot, T0)
        machine.acknowledged_bump, machine.recorded = 0, True
        return machine

    def job(self, ref: str, **changes: Any) -> Job:
        """Add a job with all tasks unassigned."""
        return self.job_table.put(JobRecord(job_spec(ref, **changes), 0.0), KeyVersion(1))

    def run_tasks(self, job: Job, machine: Machine, count: int) -> None:
        """Mark tasks of a job as running on a machine."""
        for index in job.dequeue(count):
            self.cluster.assign(machine, TaskId(job.id, index), Attempt(1), TaskPhase.RUNNING, T0)

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
        """Run one scheduling cycle over the jobs, and return its plan.

        `now` counts seconds from `T0`; `unreconciled` are CPUs and GPUs of unreconciled machines,
        which count against each team; `moving` are replicas that should run elsewhere.
        """
        gpu_reserve = NO_RESERVE
        for job in self.job_table:
            gpu_reserve = gpu_reserve.including(job)
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
    """Return how many tasks a plan places on each machine."""
    counts: Counter[str] = Counter()
    for batch in plan.batches:
        for machine, count in batch.parts:
            counts[machine.id] += count
    return counts


def queue_order(jobs: list[Job], total: float, now: float) -> list[str]:
    """Return the ids of jobs in queue order, for a supply of `total` CPUs at the time `now`."""
    supply = queueing.Supply(total, 0.0)
    ordered = queueing.order(jobs, settings().params.objectives, supply, supply, WallTime(now))
    return [job.id for job in ordered]
