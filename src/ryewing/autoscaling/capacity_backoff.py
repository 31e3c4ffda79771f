"""Rental options for which the cloud had no capacity, and until when they are left alone."""

from __future__ import annotations

from ryewing.autoscaling.options import RentalOption
from ryewing.units import MonotonicTime

MIN_PAUSE_S = 20.0
"""The pause after the first refusal of an option; it doubles with each further one."""
MAX_PAUSE_S = 120.0
"""The longest pause."""


class CapacityBackoff:
    """Backs off exponentially from each option that the cloud refuses."""

    def __init__(self) -> None:
        self._until: dict[RentalOption, MonotonicTime] = {}
        self._pause_s: dict[RentalOption, float] = {}

    def record_no_capacity(self, option: RentalOption, now: MonotonicTime) -> None:
        """Record that the cloud did not have all that was asked for; pause, longer each time."""
        pause_s = self._pause_s.get(option, 0.5 * MIN_PAUSE_S) * 2
        pause_s = min(pause_s, MAX_PAUSE_S)
        self._pause_s[option] = pause_s
        self._until[option] = MonotonicTime(now + pause_s)

    def reset(self, option: RentalOption) -> None:
        """Record that the cloud had all that was asked for; end the pause."""
        self._pause_s.pop(option, None)
        self._until.pop(option, None)

    def may_request(self, option: RentalOption, now: MonotonicTime) -> bool:
        """Return whether the option's pause is over, or there was none."""
        return now >= self._until.get(option, MonotonicTime(0.0))
