"""The recent demand for GPUs."""

from __future__ import annotations

from collections.abc import Iterable

from ryewing.state.cluster_state import ClusterState
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

DEMAND_HALF_LIFE_S = 60.0
"""The time in which the recorded peak of the demand halves."""


class GpuDemand:
    """Tracks the peak of the demand for GPUs, which decays exponentially.

    The demand fluctuates, and GPUs that were needed recently are likely to be needed again.
    """

    def __init__(self, cluster: ClusterState, now: MonotonicTime) -> None:
        self.peak = 0.0
        """The peak number of GPUs in use or requested by waiting jobs, halved each
        `DEMAND_HALF_LIFE_S`."""
        self._cluster = cluster
        self._updated_at = now

    def update(self, waiting: Iterable[Job], now: MonotonicTime) -> float:
        """Record the current demand; return the peak minus the GPUs in use.

        Work without GPUs must leave this many free GPUs usable.
        """
        in_use = sum(self._cluster.team_gpus.values())
        demand = in_use + sum(job.shortfall * job.spec.gpus for job in waiting)
        elapsed_s = now - self._updated_at
        self._updated_at = now
        decayed = self.peak * 0.5 ** (max(0.0, elapsed_s) / DEMAND_HALF_LIFE_S)
        self.peak = max(demand, decayed)
        return self.peak - in_use
