"""Detects that this node can't reach most workers (docs/design.md, safety argument 12)."""

from __future__ import annotations

from ryewing.leader.direct_messages import PROBE_AFTER_INTERVALS
from ryewing.state.cluster_state import ClusterState
from ryewing.units import MonotonicTime

MIN_MACHINES_HEARD = 4
"""If fewer machines have been heard in this term, the workers count as reachable."""
MAX_SILENT_SHARE = 0.7
"""The workers count as unreachable if more than this share of the machines is silent."""
PROBE_ANSWER_S = 0.5
"""How long a machine with a late heartbeat has to answer a probe before it counts as silent."""
STALL_S = 2.0
"""A longer time between two maintenance rounds shows that this process was paused."""


class WorkerReachability:
    """Decides whether the workers can be reached, by how many of them are silent."""

    def __init__(self, cluster: ClusterState, report_s: float, started_at: MonotonicTime) -> None:
        self._cluster = cluster
        self._silent_after_s = PROBE_AFTER_INTERVALS * report_s + PROBE_ANSWER_S
        self._last_round_at = self._running_since = started_at

    def record_round(self, now: MonotonicTime) -> None:
        """Record a maintenance round, to detect that the process was paused between two rounds."""
        if now - self._last_round_at > STALL_S:
            self._running_since = now
        self._last_round_at = now

    def are_workers_unreachable(self, now: MonotonicTime) -> bool:
        """Return whether most machines are silent, so that the fault is likely on this node.

        A silent machine has missed a heartbeat and not answered a probe. Time in which this process
        was paused does not count: when it did, leaders resigned just after they were resumed, and
        for a while no node led.
        """
        silent = known = 0
        for machine in self._cluster.machines.values():
            if machine.heard_at is None or machine.lease_expires_by is None:
                continue
            known += 1
            silent += now - max(machine.heard_at, self._running_since) > self._silent_after_s
        return known >= MIN_MACHINES_HEARD and silent > MAX_SILENT_SHARE * known
