"""Exponential backoff for rental options for which the cloud had no capacity."""

from __future__ import annotations

from ryewing.autoscaling.options import RentalOption
from ryewing.units import MonotonicTime

MIN_PAUSE_S = 20.0
"""The pause in seconds after the first request for which the cloud had too few machines. It doubles
with each further such request."""
MAX_PAUSE_S = 120.0
"""The upper bound of the pause in seconds."""


class CapacityBackoff:
    """Records for each option the time before which no request may be sent for it."""

    def __init__(self) -> None:
        self._until: dict[RentalOption, MonotonicTime] = {}
        self._pause_s: dict[RentalOption, float] = {}

    def record_no_capacity(self, option: RentalOption, now: MonotonicTime) -> None:
        """Record that the cloud provided fewer machines than requested; double the pause."""
        pause_s = self._pause_s.get(option, 0.5 * MIN_PAUSE_S) * 2
        pause_s = min(pause_s, MAX_PAUSE_S)
        self._pause_s[option] = pause_s
        self._until[option] = MonotonicTime(now + pause_s)

    def reset(self, option: RentalOption) -> None:
        """End the backoff of an option, since the cloud provided all requested machines."""
        self._pause_s.pop(option, None)
        self._until.pop(option, None)

    def may_request(self, option: RentalOption, now: MonotonicTime) -> bool:
        """Return whether a request for an option may be sent now."""
        return now >= self._until.get(option, MonotonicTime(0.0))
