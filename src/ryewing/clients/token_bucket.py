"""Token buckets, which enforce a controller's shares of the store's and the cloud's rate limits."""

from __future__ import annotations

from collections.abc import Callable

from ryewing.units import MonotonicTime, monotonic_now

_ROUNDING_TOLERANCE = 1e-9
"""The error of refills by rounding; a smaller shortfall of tokens is ignored."""


class TokenBucket:
    """A rate limit in tokens per second, with a burst. No method blocks."""

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], MonotonicTime] = monotonic_now
    ) -> None:
        self.rate = rate
        """Tokens per second."""
        self.burst = max(1.0, burst)
        """The capacity of the bucket in tokens; it starts full."""
        self._clock = clock
        self._tokens = self.burst
        self._refilled_at = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take the amount if the bucket has it, and return whether it had."""
        if not self.can_acquire(amount):
            return False
        self._tokens -= amount
        return True

    def can_acquire(self, amount: float) -> bool:
        """Return whether the bucket has the amount, or is full if the amount exceeds the burst."""
        self._refill()
        return self._tokens + _ROUNDING_TOLERANCE >= min(amount, self.burst)

    def charge(self, amount: float) -> None:
        """Take the amount unconditionally; the level may become negative."""
        self._refill()
        self._tokens -= amount

    def set_rate(self, rate: float) -> None:
        """Change the rate from now on; the burst stays."""
        self._refill()
        self.rate = rate

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds until the bucket has the amount, or the burst if that is less."""
        self._refill()
        return max(0.0, (min(amount, self.burst) - self._tokens) / self.rate)

    def drain(self) -> None:
        """Empty the bucket, after the server has reported that its rate limit is exceeded."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
