"""The share of the state service's rate that one controller may spend on its users' requests.

Found on simulated days on which nobody led: users' questions then read the store, eight times as
many of them used up `state.rps`, and the renewals and campaigns that would have ended the state
were refused with them. So what users cause has a share, the same for each controller, and all
that keeps the service alive has the rest.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from ryewing.clients.token_bucket import TokenBucket
from ryewing.units import MonotonicTime, monotonic_now

USER_SHARE = 0.5
"""The part of `state.rps` that users' requests may take, all controllers together."""
QUESTION_RESERVE = 0.5
"""The part of the burst that is kept for submissions and cancels, which users wait for."""
LEAST_FACTOR = 0.25
"""How far the share shrinks at the most while the store says that it is asked too much."""
SHRINK_EVERY_S = 0.5
"""Refusals within this time are one sign, not several."""
RECOVERY_PER_S = 0.1
"""How much of the share comes back in a second without refusals."""


class UserRequest(enum.Enum):
    """What a user asks for."""

    QUESTION = "question"
    CHANGE = "change"
    """A submission or a cancel."""


class RateLimitExceededError(Exception):
    """The request would go beyond the share; `retry_s` is when there may be room."""

    def __init__(self, retry_s: float) -> None:
        super().__init__(f"no room for {retry_s:.1f} s")
        self.retry_s = retry_s


class UserRequestLimiter:
    """Admits users' requests to the store, and counts what they cost."""

    def __init__(
        self, store_rps: float, controllers: int, clock: Callable[[], MonotonicTime] = monotonic_now
    ) -> None:
        self._full_rate = USER_SHARE * store_rps / controllers
        self._bucket = TokenBucket(self._full_rate, self._full_rate, clock)
        self._clock = clock
        self._factor = 1.0
        self._factor_at = clock()
        self._shrunk_at = MonotonicTime(-1e9)

    def admit(self, request: UserRequest) -> None:
        """Let a request go to the store, or raise RateLimitExceededError.

        Only its first access is judged: a request that was begun is worth its end.
        """
        self._recover()
        needed = 1.0
        if request is UserRequest.QUESTION:
            needed += QUESTION_RESERVE * self._bucket.burst
        if not self._bucket.has(needed):
            raise RateLimitExceededError(self._bucket.wait_s(needed))

    def charge(self) -> None:
        """Count one access to the store; it may lead to a debt that is waited off."""
        self._bucket.charge(1.0)

    def shrink(self) -> None:
        """The store has said that it is asked too much: leave it more room."""
        now = self._clock()
        if now - self._shrunk_at < SHRINK_EVERY_S:
            return
        self._recover()
        self._shrunk_at = now
        self._set_factor(max(LEAST_FACTOR, self._factor / 2))

    def _recover(self) -> None:
        now = self._clock()
        gained = RECOVERY_PER_S * (now - self._factor_at)
        self._factor_at = now
        if self._factor < 1.0:
            self._set_factor(min(1.0, self._factor + gained))

    def _set_factor(self, factor: float) -> None:
        self._factor = factor
        self._bucket.set_rate(factor * self._full_rate)
