"""The share of the store's rate limit that one controller may spend on its users' requests.

While there is no leader, users' polls read the store. In simulations, eight times the usual polls
used up `state.rps`, and the store refused the lease renewals and campaigns that would have given
the cluster a leader again. Users' requests are therefore limited to a share of the rate, equal for
each controller; the rest is for the requests of the service itself.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from ryewing.clients.errors import ClientError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.units import MonotonicTime, monotonic_now

USER_RATE_SHARE = 0.5
"""The share of `state.rps` for users' requests of all controllers together."""
WRITE_RESERVE = 0.5
"""The share of the burst that is reserved for submissions and cancels, which users wait for."""
MIN_FACTOR = 0.25
"""The minimum of the factor by which the share is multiplied while the store throttles requests."""
MIN_SHRINK_INTERVAL_S = 0.5
"""Refusals within this many seconds shrink the share only once."""
RECOVERY_PER_S = 0.1
"""How much the factor recovers in each second without refusals."""


class UserRequest(enum.Enum):
    """The kinds of users' requests that access the store."""

    READ = "read"
    """A poll, or a submission that must be checked for an accepted job with the same id."""
    WRITE = "write"
    """A submission or a cancel."""


class RateLimitExceededError(ClientError):
    """A user's request would exceed the share; it may be admitted after `retry_s` seconds."""

    def __init__(self, retry_s: float) -> None:
        super().__init__(f"no room for {retry_s:.1f} s")
        self.retry_s = retry_s


class UserRequestLimiter:
    """Admits users' requests that access the store, and charges their accesses to the share."""

    def __init__(
        self, store_rps: float, controllers: int, clock: Callable[[], MonotonicTime] = monotonic_now
    ) -> None:
        self._full_rate = USER_RATE_SHARE * store_rps / controllers
        self._bucket = TokenBucket(self._full_rate, self._full_rate, clock)
        self._clock = clock
        self._factor = 1.0
        self._factor_updated_at = clock()
        self._shrunk_at = MonotonicTime(-1e9)

    def admit(self, request: UserRequest) -> None:
        """Admit a request that accesses the store, or raise RateLimitExceededError.

        Only the first access of a request is checked, so that admitted requests are completed.
        """
        self._recover()
        needed = 1.0
        if request is UserRequest.READ:
            needed += WRITE_RESERVE * self._bucket.burst
        if not self._bucket.can_acquire(needed):
            raise RateLimitExceededError(self._bucket.wait_s(needed))

    def charge(self) -> None:
        """Charge one access to the store. It may exceed the share, and later requests then wait."""
        self._bucket.charge(1.0)

    def shrink(self) -> None:
        """Halve the share, after the store has reported that its rate limit is exceeded."""
        now = self._clock()
        if now - self._shrunk_at < MIN_SHRINK_INTERVAL_S:
            return
        self._recover()
        self._shrunk_at = now
        self._set_factor(max(MIN_FACTOR, self._factor / 2))

    def _recover(self) -> None:
        now = self._clock()
        gained = RECOVERY_PER_S * (now - self._factor_updated_at)
        self._factor_updated_at = now
        if self._factor < 1.0:
            self._set_factor(min(1.0, self._factor + gained))

    def _set_factor(self, factor: float) -> None:
        self._factor = factor
        self._bucket.set_rate(factor * self._full_rate)
