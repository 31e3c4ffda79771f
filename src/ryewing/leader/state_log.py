"""Logs a summary of machines, GPUs and unplaced tasks every ten seconds."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Protocol

from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

log = logging.getLogger(__name__)

STATE_LOG_INTERVAL_S = 10.0


class SchedulerStats(Protocol):
    """The scheduler's counters that are logged."""

    cycles: int
    """The number of scheduling cycles in this term."""
    machines_examined: int
    """The number of machines examined in all of these cycles."""

    @property
    def unplaced(self) -> Sequence[tuple[Job, int]]:
        """Jobs, with the number of their tasks that the last scheduling cycle could not place."""


class _MachineCounts:
    """The count and free resources of machines of one type, spot or on-demand."""

    __slots__ = ("cpus_free", "gpus_free", "machines", "schedulable")

    def __init__(self) -> None:
        self.machines = 0
        self.schedulable = 0
        self.cpus_free = 0.0
        self.gpus_free = 0.0

    def __str__(self) -> str:
        return (
            f"{self.machines}(up={self.schedulable};cpus_free={self.cpus_free:g};"
            f"gpus_free={self.gpus_free:g})"
        )


class StateLog:
    """Logs the state of a term at regular intervals."""

    def __init__(
        self, job_table: JobTable, cluster: ClusterState, scheduler: SchedulerStats
    ) -> None:
        self._job_table = job_table
        self._cluster = cluster
        self._scheduler = scheduler
        self._logged_at = MonotonicTime(-1e9)

    def log_if_due(self, now: MonotonicTime) -> None:
        """Log the state if `STATE_LOG_INTERVAL_S` have passed since the last time."""
        if now - self._logged_at < STATE_LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.info(
            "event=state jobs=%d cycles=%d machines_examined=%d fetch_slowdown=%.2f gpus=%s "
            "machines=%s unplaced=%s",
            len(self._job_table.jobs),
            self._scheduler.cycles,
            self._scheduler.machines_examined,
            self._cluster.fetch_slowdown,
            ",".join(f"{phase}:{gpus:g}" for phase, gpus in sorted(self._gpus().items())) or "-",
            ",".join(f"{kind}:{counts}" for kind, counts in sorted(self._machines().items()))
            or "-",
            ",".join(f"{name}:{tasks}" for name, tasks in sorted(self._unplaced().items())) or "-",
        )

    def _machines(self) -> dict[str, _MachineCounts]:
        """Count the machines and their free resources by type, spot machines separately."""
        counts_by_kind: dict[str, _MachineCounts] = {}
        for machine in self._cluster.machines.values():
            kind = machine.machine_type.name + ("/spot" if machine.spot else "")
            counts = counts_by_kind.get(kind)
            if counts is None:
                counts = counts_by_kind[kind] = _MachineCounts()
            counts.machines += 1
            if machine.is_schedulable():
                counts.schedulable += 1
                counts.cpus_free += machine.free_cpus
                counts.gpus_free += machine.free_gpus
        return counts_by_kind

    def _gpus(self) -> dict[str, float]:
        """Sum up the GPUs of assigned tasks, by phase."""
        phases: dict[str, float] = {}
        for machine in self._cluster.machines.values():
            for assignment in machine.assignments.values():
                if assignment.job is not None and assignment.job.spec.gpus > 0:
                    gpus = phases.get(assignment.phase, 0.0) + assignment.job.spec.gpus
                    phases[assignment.phase] = gpus
        return phases

    def _unplaced(self) -> dict[str, int]:
        """Count the tasks that the last scheduling cycle could not place, by job class."""
        classes: dict[str, int] = {}
        for job, tasks in self._scheduler.unplaced:
            classes[job.spec.job_class] = classes.get(job.spec.job_class, 0) + tasks
        return classes
