"""Transfer of a leader's knowledge of the images cached on machines to its successor.

This knowledge is kept only in memory, because it affects only how fast tasks start.
"""

from __future__ import annotations

from ryewing.clients.peers import ImageLocality, Peers
from ryewing.leader.leader import Leader
from ryewing.units import MonotonicTime, monotonic_now

IMAGE_LOCALITY_INTERVAL_S = 5.0
"""How often, in seconds, the leader sends the other controllers the images of each machine."""


class ImageLocalityExchange:
    """The latest image locality of the leaders of one lease; broadcast while this node leads."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._shared_at = MonotonicTime(-1e9)
        self.latest: ImageLocality | None = None
        """The image locality of the highest term received or sent so far; None if there is none."""

    def receive(self, image_locality: ImageLocality) -> None:
        """Store a leader's image locality unless a later term's is known."""
        if self.latest is None or image_locality.term >= self.latest.term:
            self.latest = image_locality

    def share(self, leader: Leader) -> None:
        """Broadcast the leader's image locality if it is due and the leader has reconciled.

        The messages are sent by separate greenlets, so this does not block.
        """
        now = monotonic_now()
        if now - self._shared_at < IMAGE_LOCALITY_INTERVAL_S or not leader.scheduler.reconciled:
            return
        self._shared_at = now
        self.latest = leader.image_locality()
        self._peers.broadcast(self.latest)
