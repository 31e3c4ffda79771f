"""What a leader may still do according to its own monotonic clock.

This is safety argument 2 of `docs/design.md` ("Two-step authority").
"""

from __future__ import annotations

from ryewing.units import CLOCK_DRIFT_MARGIN, MonotonicTime

JOBS_KNOWN_MAX_AGE_S = 6.0
"""The maximum age, in seconds, of the leader's knowledge of the jobs when it starts tasks and
answers users. A watch waits for up to a second, so this covers several answers of a slow store."""

_LEASE_MARGIN_S = 0.05
"""The safety margin, in seconds, by which the leader treats its lease as expired early. It is added
to the allowance for clock drift."""


class LeaseValidity:
    """Decides by the monotonic clock what the leader may do now.

    The decision depends on two confirmations by the store: of a lease renewal, and of the knowledge
    of the jobs. Each counts from the time at which the confirmed request was *sent*: the lease
    can't have begun before that time, and all changes of the jobs that were written before it are
    known.

    A renewed lease alone is not sufficient. If the store refuses only the leader and then has an
    outage, leases keep their full time during the outage. The leader can then renew its lease
    afterwards, and would report jobs as live that were cancelled through other controllers in the
    meantime. The watch delivers nothing during that time, and a watch may hang while renewals
    succeed.

    No method reads a clock: the caller passes the current monotonic time.
    """

    __slots__ = ("_hold_s", "_lease_s", "jobs_known_at", "renewed_at")

    def __init__(self, lease_s: float, hold_s: float) -> None:
        """Start without any confirmation, so that nothing is allowed.

        `lease_s` is the lifetime of the lease in the store. `hold_s` is the time for which workers
        may be answered after the last confirmations. Both are in seconds.
        """
        self._lease_s = lease_s * (1 - CLOCK_DRIFT_MARGIN) - _LEASE_MARGIN_S
        self._hold_s = hold_s * (1 - CLOCK_DRIFT_MARGIN)
        self.renewed_at: MonotonicTime | None = None
        """When the latest confirmed renewal was sent; None if none was confirmed."""
        self.jobs_known_at: MonotonicTime | None = None
        """All changes of the jobs that were written before this time are known; None at first."""

    def confirm_renewal(self, sent_at: MonotonicTime) -> None:
        """Record that the store confirmed a renewal that was sent at `sent_at`."""
        if self.renewed_at is None or sent_at > self.renewed_at:
            self.renewed_at = sent_at

    def confirm_jobs(self, sent_at: MonotonicTime) -> None:
        """Record that all changes of the jobs that were written before `sent_at` are known."""
        if self.jobs_known_at is None or sent_at > self.jobs_known_at:
            self.jobs_known_at = sent_at

    def lease_expired(self, now: MonotonicTime) -> bool:
        """Return whether the lease may have expired in the store."""
        return self.renewed_at is None or now >= self.renewed_at + self._lease_s

    def has_authority(self, now: MonotonicTime) -> bool:
        """Return whether the leader may start tasks, rent machines and answer users from memory.

        This requires a valid lease and sufficiently recent knowledge of the jobs.
        """
        return (
            not self.lease_expired(now)
            and self.jobs_known_at is not None
            and now < self.jobs_known_at + JOBS_KNOWN_MAX_AGE_S
        )

    def may_answer_workers(self, now: MonotonicTime) -> bool:
        """Return whether the leader may answer heartbeats, which renews the workers' leases.

        This is allowed for `hold_s` after the earlier of the two confirmations, so that no work is
        lost in an outage of the store. The time is bounded because a node that alone can't reach
        the store, or receives no changes, does not learn of cancellations. Therefore `hold_s` plus
        the workers' `lease_s` has to be below their `cancel_s`.
        """
        if self.renewed_at is None or self.jobs_known_at is None:
            return False
        return now < min(self.renewed_at, self.jobs_known_at) + self._hold_s
