"""How many GPUs were in demand lately."""

from __future__ import annotations

from collections.abc import Iterable

from ryewing.state.cluster_state import ClusterState
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

HALF_LIFE_S = 60.0
"""Time in which the memory of past demand halves."""


class GpuDemand:
    """Remembers the demand for GPUs: its peak, fading with time.

    Work with GPUs comes and goes; what was in demand a moment ago is likely to be again.
    """

    def __init__(self, cluster: ClusterState, now: MonotonicTime) -> None:
        self.gpus_wanted = 0.0
        """The GPUs that were in use or waited for, with the peak halving each `HALF_LIFE_S`."""
        self._cluster = cluster
        self._noted_at = now

    def note(self, waiting: Iterable[Job], now: MonotonicTime) -> float:
        """Note the present demand; return how many GPUs are wanted beyond those in use.

        So many free GPUs must be left usable by work without GPUs.
        """
        in_use = sum(self._cluster.team_gpus.values())
        wanted = in_use + sum(job.shortfall * job.spec.gpus for job in waiting)
        elapsed_s = now - self._noted_at
        self._noted_at = now
        faded = self.gpus_wanted * 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)
        self.gpus_wanted = max(wanted, faded)
        return self.gpus_wanted - in_use
