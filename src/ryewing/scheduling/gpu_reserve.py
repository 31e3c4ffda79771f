"""The CPUs and memory that tasks without GPUs leave free on a machine for tasks that use its GPUs.

Immutable values that a scheduling cycle reads.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.jobs import Job
from ryewing.wire.jobs import PRIORITIES

MIN_CPUS_PER_GPU = 1e-3
"""The least number of CPUs per GPU, used while no job with GPUs has been seen; avoids a division by
zero."""


class GpuReserve(NamedTuple):
    """The largest amounts of CPUs and memory per GPU that recent tasks needed.

    Without the reserve, tasks that need no GPU fill the CPUs of machines with GPUs, and the most
    expensive capacity of the cluster stays idle.
    """

    cpus: float = 0.0
    """CPUs per GPU."""
    memory_gb: float = 0.0
    """Memory per GPU in GB."""
    priority: int = len(PRIORITIES)
    """The highest priority (smallest number) of those tasks; jobs of a higher priority are exempt
    from the reserve."""

    def including(self, job: Job) -> GpuReserve:
        """Return a reserve that also covers a task of this job."""
        spec = job.spec
        if spec.gpus <= 0:
            return self
        return GpuReserve(
            max(self.cpus, spec.cpus / spec.gpus),
            max(self.memory_gb, spec.memory_gb / spec.gpus),
            min(self.priority, job.priority),
        )

    def for_job(self, job: Job) -> GpuReserve:
        """Return what this job has to leave free.

        That is nothing if it uses GPUs or has a higher priority than the tasks of the reserve.
        """
        return self if job.spec.gpus <= 0 and job.priority >= self.priority else NO_RESERVE


NO_RESERVE = GpuReserve()
