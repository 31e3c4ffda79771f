"""Token buckets: the controllers' shares of the rate limits of the store and the cloud."""

from __future__ import annotations

from collections.abc import Callable

from ryewing.units import MonotonicTime, monotonic_now

_ROUNDING = 1e-9
"""What refills lose by rounding: a bucket that lacks less than this has the tokens."""


class TokenBucket:
    """A rate limit in tokens per second, with a burst. It never waits: callers do."""

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], MonotonicTime] = monotonic_now
    ) -> None:
        self.rate = rate
        """Tokens per second."""
        self.burst = max(1.0, burst)
        """The most tokens that the bucket holds; it starts full."""
        self._clock = clock
        self._tokens = self.burst
        self._refilled_at = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take the amount if it is there, and return whether it was."""
        if not self.has(amount):
            return False
        self._tokens -= amount
        return True

    def has(self, amount: float) -> bool:
        """Return whether the amount is there. An amount above the burst counts as the burst."""
        self._refill()
        return self._tokens + _ROUNDING >= min(amount, self.burst)

    def charge(self, amount: float) -> None:
        """Take the amount whether it is there or not: the level may become negative."""
        self._refill()
        self._tokens -= amount

    def set_rate(self, rate: float) -> None:
        """Change the rate from now on; the burst stays."""
        self._refill()
        self.rate = rate

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds until the amount will be there."""
        self._refill()
        return max(0.0, (min(amount, self.burst) - self._tokens) / self.rate)

    def drain(self) -> None:
        """Empty the bucket: the other side reports that its rate limit is exceeded."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
