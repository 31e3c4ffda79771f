"""What a leader may still do, judged by its own monotonic clock.

This is safety argument 2 of `docs/design.md` ("Two-step authority").
"""

from __future__ import annotations

from ryewing.units import CLOCK_DRIFT_MARGIN, MonotonicTime

JOBS_KNOWN_MAX_AGE_S = 6.0
"""How old the leader's knowledge of the jobs may be, in seconds, while it starts tasks and answers
users. Its watch waits for a second at a time, so this covers several answers of a slow store."""

_LEASE_MARGIN_S = 0.05
"""The leader stops relying on its lease this many seconds early, beyond the clocks' drift."""


class LeaseValidity:
    """What the leader may do now, by its monotonic clock.

    The judgement rests on two confirmations by the store. Each counts from the moment at which the
    request that was confirmed had been *sent*: the lease can't have begun before that moment, and
    every change of the jobs that was written before it is known.

    A renewed lease alone proves nothing. Found where the store refused only the leader and then had
    an outage: leases keep their full time in an outage, so the leader renewed its own afterwards,
    and told users the state of jobs as it had been before others cancelled them. Watches are silent
    meanwhile, and one may hang while renewals succeed.

    No method reads a clock: the caller passes the current monotonic time.
    """

    __slots__ = ("_hold_s", "_lease_s", "jobs_known_at", "renewed_at")

    def __init__(self, lease_s: float, hold_s: float) -> None:
        """Begin with nothing confirmed, so that nothing is allowed yet.

        `lease_s` is the lifetime of the lease in the store, `hold_s` the time for which workers
        may be answered after the last confirmations, both in seconds.
        """
        self._lease_s = lease_s * (1 - CLOCK_DRIFT_MARGIN) - _LEASE_MARGIN_S
        self._hold_s = hold_s * (1 - CLOCK_DRIFT_MARGIN)
        self.renewed_at: MonotonicTime | None = None
        """When the latest confirmed renewal was sent."""
        self.jobs_known_at: MonotonicTime | None = None
        """All changes of the jobs that were written before this moment are known."""

    def confirm_renewal(self, sent_at: MonotonicTime) -> None:
        """Record that the store has confirmed a renewal that was sent at `sent_at`."""
        if self.renewed_at is None or sent_at > self.renewed_at:
            self.renewed_at = sent_at

    def confirm_jobs(self, asked_at: MonotonicTime) -> None:
        """Record that all changes of the jobs written before `asked_at` are known."""
        if self.jobs_known_at is None or asked_at > self.jobs_known_at:
            self.jobs_known_at = asked_at

    def lease_expired(self, now: MonotonicTime) -> bool:
        """Return whether the lease may have expired in the store."""
        return self.renewed_at is None or now >= self.renewed_at + self._lease_s

    def has_authority(self, now: MonotonicTime) -> bool:
        """Return whether the leader may start tasks, rent machines and answer users from memory.

        This needs a lease that has not expired and sufficiently recent knowledge of the jobs.
        """
        return (
            not self.lease_expired(now)
            and self.jobs_known_at is not None
            and now < self.jobs_known_at + JOBS_KNOWN_MAX_AGE_S
        )

    def may_answer_workers(self, now: MonotonicTime) -> bool:
        """Return whether the leader may answer heartbeats, which renews the workers' leases.

        This is allowed for the hold after the earlier of both confirmations, so that an outage of
        the store costs no work. It is bounded because a node that alone has lost the store, or
        receives no changes, does not learn of cancellations: the hold plus the workers' `lease_s`
        has to be below their `cancel_s`.
        """
        if self.renewed_at is None or self.jobs_known_at is None:
            return False
        return now < min(self.renewed_at, self.jobs_known_at) + self._hold_s
