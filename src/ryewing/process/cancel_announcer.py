"""Announcement of cancellations to the leader, before they are confirmed to users.

This is part of safety argument 9 of `docs/design.md` ("Nobody tells an older state").
"""

from __future__ import annotations

from collections import OrderedDict

from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.process.electors import Electors
from ryewing.units import JobId, MonotonicTime, ShardName, monotonic_now

CANCEL_PROPAGATION_S = 10.0
"""A leader that has not seen a change may start tasks and answer users for less than the lease's
duration plus this many seconds (`lease_validity.JOBS_KNOWN_MAX_AGE_S`). In versions 0.1.0 and 0.2.0
the watch limited that time: its wait of 8 s, and the margin of its deadline."""
MAX_UNCONFIRMED_CANCELS = 10_000
"""The maximum number of unconfirmed cancellations tracked; beyond it, the oldest are dropped."""


class CancelAnnouncer:
    """Notifies the leader of each cancellation that this process wrote to or read in the store."""

    def __init__(
        self, electors: Electors, user_limiter: UserRequestLimiter, store_lease_s: float
    ) -> None:
        self._electors = electors
        self._user_limiter = user_limiter
        self._leader_knows_after_s = store_lease_s + CANCEL_PROPAGATION_S
        self._first_seen_at: OrderedDict[JobId, MonotonicTime] = OrderedDict()
        """When each cancellation that the leader may not know of was first seen in the store."""

    def announce(self, job: JobId, shard: ShardName | None) -> bool:
        """Return whether the leader knows, or need not know, of a cancellation in the store.

        Only the lease holder answers users from memory and starts tasks, and its successor reads
        the jobs after the failover. It is therefore enough to notify the holder of the lease of the
        job's shard. Raise StoreUnavailableError if the holder can't be read from the store.
        """
        elector = self._electors.get(shard)
        if elector is None:
            return False  # the shard belongs to another division: its leader is not known here
        first_seen_at = self._first_seen_at.setdefault(job, monotonic_now())
        if len(self._first_seen_at) > MAX_UNCONFIRMED_CANCELS:
            self._first_seen_at.popitem(last=False)
        self._user_limiter.charge()
        # A holder that is dead or unreachable from here need not acknowledge the cancellation once
        # `_leader_knows_after_s` has passed since this process first saw the cancellation in the
        # store. By then, a holder that reaches the store has received it from its watch, and one
        # that doesn't may no longer start tasks or answer users. The time is measured by the
        # monotonic clock of this process. When it was measured from the start of the write, a
        # cancellation that the store applied late was confirmed to its user before the leader could
        # know of it.
        waited_s = monotonic_now() - first_seen_at
        known = elector.notify_holder_of_cancel(job) or waited_s > self._leader_knows_after_s
        if known:
            self._first_seen_at.pop(job, None)
        return known
