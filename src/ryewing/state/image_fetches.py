"""Image fetches under way, and whether fetches at once share a machine's rate.

The protocol says only that they may (PROTOCOL, "GET /machine_types"), so it is learned.
"""

from __future__ import annotations

from ryewing.units import MonotonicTime

SLOWDOWN_WEIGHT = 0.05
"""The weight of one fetch in the moving average of the slowdown."""
SHARED_SLOWDOWN = 1.2
"""The slowdown above which fetches count as sharing a machine's rate: 1 if they don't share it at
all, 2 for two fetches that share it fully."""


class ImageFetch:
    """An image on its way to a machine, as reported by the tasks that wait for it."""

    __slots__ = ("alone", "started_at")

    def __init__(self, started_at: MonotonicTime, alone: bool) -> None:
        self.started_at = started_at
        self.alone = alone
        """Whether the machine has fetched no other image at the same time."""


class FetchContention:
    """How much longer fetches at once take than single ones, learned over all machines."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        """A moving average of measured over expected duration; 1 until anything is learned."""

    def learn(self, slowdown: float) -> None:
        """Learn from one fetch that ran beside others: its measured over its expected duration."""
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown)

    def is_rate_shared(self) -> bool:
        """Return whether images fetched at once seem to share a machine's rate."""
        return self.slowdown > SHARED_SLOWDOWN
