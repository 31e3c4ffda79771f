"""The load of the leader of one lease: measured in its own process, queried from any other.

It decides whether a new job is accepted, and in a divided fleet which shard it goes to.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from ryewing.clients.peers import Ack, LoadQuery, Peers, Response, ShardLoadAnswer
from ryewing.leader.leader import Leader
from ryewing.units import MonotonicTime, ShardName, monotonic_now

LOAD_EVERY_S = 1.0
"""The load is measured or queried at most once in this many seconds."""


class FollowedLeader(Protocol):
    """Who leads, as the elector of the lease knows it."""

    leader: Leader | None
    """The leader, if it is in this process."""

    @property
    def shard(self) -> ShardName | None:
        """The shard that is led; None: the whole fleet."""

    def remote_leader(self) -> str | None:
        """Return the name of the leading node if it is another one."""


class LeaderLoad:
    """The load of one leader, at most about a second old unless the leader does not answer."""

    def __init__(self, followed: FollowedLeader, peers: Peers) -> None:
        self._followed = followed
        self._peers = peers
        self._latest: ShardLoadAnswer | None = None
        self._queried_at = MonotonicTime(-1e9)

    def latest(self) -> ShardLoadAnswer | None:
        """Return the leader's load as last known; None if it is not known.

        A leader measures its own load, at most once a second. A follower starts a greenlet that
        queries the leader, as often, and returns the previous answer without waiting.
        """
        now = monotonic_now()
        if now - self._queried_at > LOAD_EVERY_S:
            self._queried_at = now
            leader = self._followed.leader
            if leader is not None:
                self._latest = self._measure(leader)
            else:
                gevent.spawn(self._query)
        return self._latest

    def job_memory_full(self) -> bool:
        """Return whether the leader holds as many jobs as its memory allows."""
        leader = self._followed.leader
        if leader is not None:
            return leader.job_memory_full()
        load = self.latest()
        return load is not None and load.full

    def on_query(self) -> Response:
        """Answer another controller's `LoadQuery`.

        For the whole fleet the answer is an `Ack`, as in every version.
        """
        leader = self._followed.leader
        load = self.latest() if self._followed.shard is not None and leader is not None else None
        return load if load is not None else Ack(leader is None or not leader.job_memory_full())

    def _measure(self, leader: Leader) -> ShardLoadAnswer:
        backlog = leader.scheduler.backlog_share() if self._followed.shard is not None else 0.0
        return ShardLoadAnswer(leader.job_memory_full(), backlog)

    def _query(self) -> None:
        shard = self._followed.shard
        answer = self._peers.request(self._followed.remote_leader(), LoadQuery(shard))
        if isinstance(answer, ShardLoadAnswer):
            self._latest = answer
        elif shard is None:
            self._latest = ShardLoadAnswer(isinstance(answer, Ack) and not answer.ok, 0.0)
        else:
            self._latest = None
