"""Token buckets: the controllers' shares of what the state service and the cloud take."""

from __future__ import annotations

from collections.abc import Callable

from ryewing.units import MonotonicTime, monotonic_now


class TokenBucket:
    """A rate with a burst; asks are answered at once, never queued here."""

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], MonotonicTime] = monotonic_now
    ) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self._clock = clock
        self._level = self.burst
        self._at = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def take(self, amount: float = 1.0) -> bool:
        """Take the amount if it is there."""
        if not self.has(amount):
            return False
        self._level -= amount
        return True

    def has(self, amount: float) -> bool:
        """Tell whether the amount is there; more than the burst is never asked for."""
        self._refill()
        return self._level + 1e-9 >= min(amount, self.burst)

    def charge(self, amount: float) -> None:
        """Take the amount whether it is there or not: what is missing is owed."""
        self._refill()
        self._level -= amount

    def set_rate(self, rate: float) -> None:
        """Change the rate from now on; the burst stays."""
        self._refill()
        self.rate = rate

    def wait_s(self, amount: float = 1.0) -> float:
        """Tell how long until the amount would be there."""
        self._refill()
        return max(0.0, (min(amount, self.burst) - self._level) / self.rate)

    def drain(self) -> None:
        """Empty the bucket: the other side has said that it is asked too much."""
        self._refill()
        self._level = min(self._level, 0.0)
