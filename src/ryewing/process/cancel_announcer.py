"""Telling the leader of cancellations before their users are told.

This is part of safety argument 9 of `docs/design.md` ("Nobody tells an older state").
"""

from __future__ import annotations

from collections import OrderedDict

from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.process.electors import Electors
from ryewing.units import JobId, MonotonicTime, ShardName, monotonic_now

CANCEL_KNOWN_S = 10.0
"""Added to the lease, this is above the longest time, in seconds, for which a leader that has not
seen a change may start tasks or answer users (`lease_validity.JOBS_KNOWN_MAX_AGE_S`). Versions
0.1.0 and 0.2.0 went by their watch, of 8 s and its deadline."""
UNCONFIRMED_CANCELS_MAX = 10_000


class CancelAnnouncer:
    """Makes sure that the leader knows of each cancellation that was found in the store."""

    def __init__(
        self, electors: Electors, user_limiter: UserRequestLimiter, store_lease_s: float
    ) -> None:
        self._electors = electors
        self._user_limiter = user_limiter
        self._leader_knows_after_s = store_lease_s + CANCEL_KNOWN_S
        self._found_at: OrderedDict[JobId, MonotonicTime] = OrderedDict()
        """Since when a cancellation that the leader may not know has been seen in the store."""

    def announce(self, job: JobId, shard: ShardName | None) -> bool:
        """Return whether the leader knows, or need not know, of a cancellation in the store.

        Only the holder of the lease answers users from memory and starts tasks, and whoever comes
        after it reads the jobs after its failover. So it is enough to tell the one who holds the
        lease of the job's shard.
        """
        elector = self._electors.get(shard)
        if elector is None:
            return False  # of another division: nobody here knows who leads it
        found_at = self._found_at.setdefault(job, monotonic_now())
        if len(self._found_at) > UNCONFIRMED_CANCELS_MAX:
            self._found_at.popitem(last=False)
        self._user_limiter.charge()
        # Where the holder is dead, or cut off from here: one that can reach the store sees the
        # cancellation in its watch; one that can't may no longer start or answer. So once that time
        # has passed since the mark was seen here, no answer is needed. It is counted by our own
        # monotonic clock: when it was counted from the time at which the cancellation was meant to
        # be written, a user was told of one carried out late before the leader could know of it.
        waited_s = monotonic_now() - found_at
        known = elector.holder_knows_cancel(job) or waited_s > self._leader_knows_after_s
        if known:
            self._found_at.pop(job, None)
        return known
