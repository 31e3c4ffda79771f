"""Image fetches in progress, and whether concurrent fetches share a machine's rate.

The protocol allows, but does not require, that they share it (PROTOCOL, "GET /machine_types"), so
the leader estimates from observed fetches whether they do.
"""

from __future__ import annotations

from ryewing.units import MonotonicTime

SLOWDOWN_WEIGHT = 0.05
"""The weight of one fetch in the moving average of the slowdown."""
SHARED_SLOWDOWN = 1.2
"""The slowdown above which concurrent fetches count as sharing a machine's rate. Two concurrent
fetches have a slowdown of 1 if they don't share the rate and of 2 if they share it fully."""


class ImageFetch:
    """The fetch of an image by a machine, as reported for the tasks that wait for the image."""

    __slots__ = ("exclusive", "started_at")

    def __init__(self, started_at: MonotonicTime, exclusive: bool) -> None:
        self.started_at = started_at
        self.exclusive = exclusive
        """Whether the machine has fetched no other image at the same time as this one."""


class FetchContention:
    """Estimates how much longer concurrent fetches take than single ones, over all machines."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        """A moving average of the measured divided by the expected duration; 1 at first."""

    def record_slowdown(self, slowdown: float) -> None:
        """Add the slowdown of one fetch that overlapped with others to the moving average."""
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown)

    def is_rate_shared(self) -> bool:
        """Return whether concurrent fetches seem to share a machine's rate."""
        return self.slowdown > SHARED_SLOWDOWN
