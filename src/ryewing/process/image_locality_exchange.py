"""How a leader's knowledge of the machines' images reaches its successor.

It is kept in memory only, and nothing but the speed of starts depends on it.
"""

from __future__ import annotations

from ryewing.clients.peers import ImageLocality, Peers
from ryewing.leader.leader import Leader
from ryewing.units import MonotonicTime, monotonic_now

IMAGE_LOCALITY_EVERY_S = 5.0
"""How often, in seconds, the leader tells the other controllers which machines have which images.
"""


class ImageLocalityExchange:
    """The newest image locality of one lease's leaders, sent out while leading."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._shared_at = MonotonicTime(-1e9)
        self.latest: ImageLocality | None = None
        """That of the highest term so far; None if none is known."""

    def receive(self, image_locality: ImageLocality) -> None:
        """Keep what a leader has told, unless it is of an earlier term than what is known."""
        if self.latest is None or image_locality.term >= self.latest.term:
            self.latest = image_locality

    def share(self, leader: Leader) -> None:
        """Tell the other controllers if it is time and the leader has reconciled its state.

        The messages are sent by greenlets of their own: this does not wait.
        """
        now = monotonic_now()
        if now - self._shared_at < IMAGE_LOCALITY_EVERY_S or not leader.scheduler.reconciled:
            return
        self._shared_at = now
        self.latest = leader.image_locality()
        self._peers.broadcast(self.latest)
