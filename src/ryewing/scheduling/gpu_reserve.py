"""What tasks without GPUs leave free on a machine for the tasks that use its GPUs.

Pure: values that a scheduling cycle reads.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.jobs import Job
from ryewing.wire.jobs import PRIORITIES

MIN_CPUS_PER_GPU = 1e-3
"""Stands in for the processors per GPU while no job with GPUs has been seen; avoids a division by
zero."""


class GpuReserve(NamedTuple):
    """The most processors and memory that recent tasks needed per GPU.

    Without it, tasks that need no GPU fill the processors of machines with GPUs, and the most
    expensive capacity of the fleet is idle.
    """

    cpus: float = 0.0
    """Processors per GPU."""
    memory_gb: float = 0.0
    """Memory per GPU."""
    priority: int = len(PRIORITIES)
    """The highest priority (smallest number) of those tasks; jobs of a higher one leave nothing."""

    def including(self, job: Job) -> GpuReserve:
        """Return the reserve that also covers a task of this job."""
        spec = job.spec
        if spec.gpus <= 0:
            return self
        return GpuReserve(
            max(self.cpus, spec.cpus / spec.gpus),
            max(self.memory_gb, spec.memory_gb / spec.gpus),
            min(self.priority, job.priority),
        )

    def for_job(self, job: Job) -> GpuReserve:
        """Return what this job has to leave free: nothing if it uses GPUs or is more important."""
        return self if job.spec.gpus <= 0 and job.priority >= self.priority else NO_RESERVE


NO_RESERVE = GpuReserve()
