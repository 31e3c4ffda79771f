"""The line of the log that says, every ten seconds, what there is and what waits."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Protocol

from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

log = logging.getLogger(__name__)

STATE_LOG_EVERY_S = 10.0


class SchedulerFigures(Protocol):
    """What the line says of the scheduler."""

    cycles: int
    """Scheduling cycles of this term."""
    machines_examined: int
    """Machines that were looked at in all of them."""

    @property
    def unplaced(self) -> Sequence[tuple[Job, int]]:
        """Jobs, and how many of their tasks the last scheduling cycle could not place."""


class _MachineCounts:
    """What there is of one kind of machines."""

    __slots__ = ("cpus_free", "gpus_free", "machines", "usable")

    def __init__(self) -> None:
        self.machines = 0
        self.usable = 0
        self.cpus_free = 0.0
        self.gpus_free = 0.0

    def __str__(self) -> str:
        return (
            f"{self.machines}(up={self.usable};cpus_free={self.cpus_free:g};"
            f"gpus_free={self.gpus_free:g})"
        )


class StateLog:
    """Logs the state of a term at regular intervals."""

    def __init__(
        self, job_table: JobTable, cluster: ClusterState, scheduler: SchedulerFigures
    ) -> None:
        self._job_table = job_table
        self._cluster = cluster
        self._scheduler = scheduler
        self._logged_at = MonotonicTime(-1e9)

    def log_if_due(self, now: MonotonicTime) -> None:
        """Log the state, unless that was done a short time ago."""
        if now - self._logged_at < STATE_LOG_EVERY_S:
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
        """Count the machines by their type."""
        kinds: dict[str, _MachineCounts] = {}
        for machine in self._cluster.machines.values():
            kind = machine.machine_type.name + ("/spot" if machine.spot else "")
            counts = kinds.get(kind)
            if counts is None:
                counts = kinds[kind] = _MachineCounts()
            counts.machines += 1
            if machine.is_schedulable():
                counts.usable += 1
                counts.cpus_free += machine.free_cpus
                counts.gpus_free += machine.free_gpus
        return kinds

    def _gpus(self) -> dict[str, float]:
        """Sum up the GPUs that assignments have, by the phase of their task."""
        phases: dict[str, float] = {}
        for machine in self._cluster.machines.values():
            for assignment in machine.assignments.values():
                if assignment.job is not None and assignment.job.spec.gpus > 0:
                    gpus = phases.get(assignment.phase, 0.0) + assignment.job.spec.gpus
                    phases[assignment.phase] = gpus
        return phases

    def _unplaced(self) -> dict[str, int]:
        """Count the tasks that the last scheduling cycle could not place, by class of job."""
        classes: dict[str, int] = {}
        for job, tasks in self._scheduler.unplaced:
            classes[job.spec.job_class] = classes.get(job.spec.job_class, 0) + tasks
        return classes
