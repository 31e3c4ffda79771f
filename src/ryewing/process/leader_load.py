"""The load of the leader of one lease: measured in its own process, queried by other processes.

The load determines whether a new job is accepted, and in a divided fleet to which shard it is
assigned.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from ryewing.clients.peers import Ack, LoadQuery, Peers, Response, ShardLoadAnswer
from ryewing.leader.leader import Leader
from ryewing.units import MonotonicTime, ShardName, monotonic_now

LOAD_INTERVAL_S = 1.0
"""The minimum interval between two measurements or queries of the load, in seconds."""


class LeaderLocator(Protocol):
    """Locates the leader of one lease; implemented by `LeaderElector`."""

    leader: Leader | None
    """The leader if this process leads, else None."""

    @property
    def shard(self) -> ShardName | None:
        """The leader's shard; None if the fleet is undivided."""

    def remote_leader(self) -> str | None:
        """Return the name of the leading node if it is another node, else None."""


class LeaderLoad:
    """Caches the load of one leader, for about LOAD_INTERVAL_S seconds if the leader responds."""

    def __init__(self, locator: LeaderLocator, peers: Peers) -> None:
        self._locator = locator
        self._peers = peers
        self._latest: ShardLoadAnswer | None = None
        self._queried_at = MonotonicTime(-1e9)

    def latest(self) -> ShardLoadAnswer | None:
        """Return the last known load of the leader; None if it is not known.

        At most every LOAD_INTERVAL_S seconds, a leader measures its own load, and a follower starts
        a greenlet that queries the leader. A follower returns the previous answer without waiting.
        """
        now = monotonic_now()
        if now - self._queried_at > LOAD_INTERVAL_S:
            self._queried_at = now
            leader = self._locator.leader
            if leader is not None:
                self._latest = self._measure(leader)
            else:
                gevent.spawn(self._query)
        return self._latest

    def job_memory_full(self) -> bool:
        """Return whether the leader holds as many jobs as its memory allows."""
        leader = self._locator.leader
        if leader is not None:
            return leader.job_memory_full()
        load = self.latest()
        return load is not None and load.full

    def on_query(self) -> Response:
        """Answer another controller's `LoadQuery`.

        For an undivided fleet the response is an `Ack`, as in every version.
        """
        leader = self._locator.leader
        load = self.latest() if self._locator.shard is not None and leader is not None else None
        return load if load is not None else Ack(leader is None or not leader.job_memory_full())

    def _measure(self, leader: Leader) -> ShardLoadAnswer:
        backlog = leader.scheduler.backlog_share() if self._locator.shard is not None else 0.0
        return ShardLoadAnswer(leader.job_memory_full(), backlog)

    def _query(self) -> None:
        shard = self._locator.shard
        answer = self._peers.request(self._locator.remote_leader(), LoadQuery(shard))
        if isinstance(answer, ShardLoadAnswer):
            self._latest = answer
        elif shard is None:
            self._latest = ShardLoadAnswer(isinstance(answer, Ack) and not answer.ok, 0.0)
        else:
            self._latest = None
