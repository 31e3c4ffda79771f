"""Whether the leader is cut off from its workers: safety argument 12 in docs/design.md."""

from __future__ import annotations

from ryewing.leader.direct_messages import PROBE_AFTER_INTERVALS
from ryewing.state.cluster_state import ClusterState
from ryewing.units import MonotonicTime

MIN_MACHINES_HEARD = 4
"""Of fewer machines nothing is concluded."""
SILENT_SHARE = 0.7
"""A leader counts as cut off when more than this share of its machines is silent."""
PROBE_ANSWER_S = 0.5
"""How long a late machine has to answer when asked directly, before it counts as silent."""
STALL_S = 2.0
"""Rounds of maintenance that lie further apart show that this process stood still."""


class WorkerReachability:
    """Judges by their silence whether the workers can be reached."""

    def __init__(self, cluster: ClusterState, report_s: float, began_at: MonotonicTime) -> None:
        self._cluster = cluster
        self._silent_after_s = PROBE_AFTER_INTERVALS * report_s + PROBE_ANSWER_S
        self._last_round_at = self._running_since = began_at

    def note_round(self, now: MonotonicTime) -> None:
        """Take note that the process runs, to notice when it stood still."""
        if now - self._last_round_at > STALL_S:
            self._running_since = now
        self._last_round_at = now

    def are_workers_unreachable(self, now: MonotonicTime) -> bool:
        """Return whether most machines fell silent at once, so that the fault is likely here.

        Each has missed a heartbeat and not answered when asked directly. Time in which this process
        stood still does not count: found in replays, where a leader that was itself again resigned
        for it, and left leadership alone for a while.
        """
        silent = known = 0
        for machine in self._cluster.machines.values():
            if machine.heard_at is None or machine.lease_expires_by is None:
                continue
            known += 1
            silent += now - max(machine.heard_at, self._running_since) > self._silent_after_s
        return known >= MIN_MACHINES_HEARD and silent > SILENT_SHARE * known
