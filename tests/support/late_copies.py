"""Copies of heartbeats that arrive at every controller from seconds to well over a lease later."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ryewing.wire.workers import Heartbeat

if TYPE_CHECKING:
    from support.simulated_cluster import SimulatedCluster

MIN_DELAY_S = 2.0
MAX_DELAY_LEASES = 2.5


class LateCopies:
    """Copies a share of the workers' heartbeats, lost ones too, and delivers the copies late."""

    def __init__(self, cluster: SimulatedCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self.share = 0.0
        """The share of heartbeats that are copied from now on."""
        self._waiting: list[tuple[float, Heartbeat]] = []

    def record(self, heartbeat: Heartbeat) -> None:
        """Copy a heartbeat that is being sent, if it is drawn."""
        if self._rng.random() >= self.share:
            return
        max_delay_s = MAX_DELAY_LEASES * self._cluster.settings.params.workers.lease_s
        due_at = self._cluster.clock() + self._rng.uniform(MIN_DELAY_S, max_delay_s)
        self._waiting.append((due_at, heartbeat))

    def deliver_due(self) -> None:
        """Deliver the copies that are due."""
        now = self._cluster.clock()
        due = [heartbeat for due_at, heartbeat in self._waiting if due_at <= now]
        self._waiting = [waiting for waiting in self._waiting if waiting[0] > now]
        for heartbeat in due:
            self._cluster.send_heartbeat_to_all(heartbeat)
