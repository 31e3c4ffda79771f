"""Builds the input of a scheduling cycle from the term's state."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from ryewing.leader.early_heartbeats import EarlyHeartbeats
from ryewing.leader.job_eligibility import JobEligibility
from ryewing.leader.term_context import TermContext
from ryewing.scheduling import SchedulingSnapshot
from ryewing.scheduling.gpu_reserve import MIN_CPUS_PER_GPU, NO_RESERVE
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.queueing import Supply
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine
from ryewing.units import MonotonicTime
from ryewing.wire.jobs import JobSpec

MAX_HEARTBEAT_AGE_INTERVALS = 2.5
"""A machine gets no new task if its last heartbeat is older than this many heartbeat intervals."""
RECENT_CLASSES_MAX = 32
"""The maximum number of job classes whose most recent spec is kept."""


class Supplies(NamedTuple):
    """The usable GPUs and CPUs of the fleet, used to order the jobs."""

    gpus: Supply
    cpus: Supply


class SnapshotBuilder:
    """Builds the snapshots of scheduling cycles, and keeps the specs of recent jobs."""

    def __init__(
        self, term: TermContext, early_heartbeats: EarlyHeartbeats, eligibility: JobEligibility
    ) -> None:
        self._term = term
        self._early_heartbeats = early_heartbeats
        self._eligibility = eligibility
        self._gpu_reserve = NO_RESERVE
        self._recent_specs: dict[str, JobSpec] = {}
        """By job class, the spec of the last job that waited, except for services."""

    def record_spec(self, job: Job) -> None:
        """Record a waiting job's spec, so that other placements leave resources for such tasks."""
        self._gpu_reserve = self._gpu_reserve.including(job)
        job_class = job.spec.job_class
        if not job.is_service and (
            job_class in self._recent_specs or len(self._recent_specs) < RECENT_CLASSES_MAX
        ):
            self._recent_specs[job_class] = job.spec

    def build(
        self,
        unreconciled: Sequence[Machine],
        gpus_kept: float,
        rng: random.Random,
        now: MonotonicTime,
    ) -> SchedulingSnapshot:
        """Build a snapshot of the machines that may get tasks and of the teams' limits.

        `gpus_kept` is the number of free GPUs that work without GPUs must leave usable.
        """
        cluster = self._term.cluster
        fresh_since = (
            now - MAX_HEARTBEAT_AGE_INTERVALS * self._term.settings.params.workers.report_s
        )
        capacities = [
            MachineCapacity(machine, self._tasks_being_terminated(machine))
            for machine in cluster.machines.values()
            if machine.is_schedulable()
            and machine.heard_at is not None
            and machine.heard_at > fresh_since
        ]
        quota = TeamQuota(
            self._term.team_limits.teams(),
            cluster.team_cpus,
            cluster.team_gpus,
            sum(machine.machine_type.cpus for machine in unreconciled),
            sum(machine.machine_type.gpus for machine in unreconciled),
        )
        return SchedulingSnapshot(
            capacities=capacities,
            quota=quota,
            now=now,
            rng=rng,
            sample_size=self._term.policy.sample,
            gpu_reserve=self._gpu_reserve,
            gpus_kept=gpus_kept,
            avoids=self._eligibility.avoids,
            is_fetch_rate_shared=cluster.is_fetch_rate_shared(),
            recent_specs=tuple(self._recent_specs.values()),
            next_heartbeat_in_s=lambda machine: self._early_heartbeats.next_heartbeat_in_s(
                machine, now
            ),
        )

    def measure_supplies(self) -> Supplies:
        """Sum up the usable resources of all schedulable machines.

        A free GPU without enough free CPUs on its machine is not usable.
        """
        gpus, cpus = Supply(), Supply()
        cpus_per_gpu = max(self._gpu_reserve.cpus, MIN_CPUS_PER_GPU)
        for machine in self._term.cluster.machines.values():
            if machine.is_schedulable():
                free_gpus = min(machine.free_gpus, max(0.0, machine.free_cpus) // cpus_per_gpu)
                gpus.total += machine.machine_type.gpus - machine.free_gpus + free_gpus
                gpus.free += free_gpus
                cpus.total += machine.machine_type.cpus
                cpus.free += machine.free_cpus
        return Supplies(gpus, cpus)

    def _tasks_being_terminated(self, machine: Machine) -> frozenset[Assignment]:
        """Return the tasks of a machine that have a pending termination."""
        terminations = self._term.terminations
        if not terminations.has_any_on(machine.id):
            return frozenset()
        return frozenset(
            assignment
            for assignment in machine.assignments.values()
            if terminations.has(machine.id, assignment.task, assignment.attempt)
        )
