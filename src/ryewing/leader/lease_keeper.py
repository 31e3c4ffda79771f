"""Renews the lease of one term, and revokes it if the leader resigns."""

from __future__ import annotations

import logging

import gevent

from ryewing.clients.store import LeaseLostError, StoreUnavailableError
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.units import monotonic_now

log = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 4
"""The number of renewals per lease duration."""
RETRIES_PER_LEASE = 8
"""The number of retries per lease duration while the store does not answer."""
RENEWAL_TIMEOUTS_PER_LEASE = 3
"""A renewal times out after the lease duration divided by this number."""
JOBS_NOT_FOLLOWED_S = 15.0
"""A leader that renews its lease but has not been able to read the jobs for this long resigns."""


class LeaseKeeper:
    """Renews the lease, which confirms the term's authority (docs/design.md, argument 2)."""

    def __init__(self, term: TermContext) -> None:
        self._term = term

    def renewal_loop(self) -> None:
        """Renew the lease until the term has ended."""
        lease_s = self._term.policy.store_lease_s
        pause_s = lease_s / RENEWALS_PER_LEASE
        while not self._term.stopped:
            gevent.sleep(pause_s)
            answered = self.renew_once()
            pause_s = lease_s / (RENEWALS_PER_LEASE if answered else RETRIES_PER_LEASE)

    def renew_once(self) -> bool:
        """Renew the lease once; return False if the store did not answer."""
        term = self._term
        sent_at = monotonic_now()
        try:
            term.store.renew(
                term.leadership.lease, term.policy.store_lease_s / RENEWAL_TIMEOUTS_PER_LEASE
            )
        except LeaseLostError:
            term.end(TermEndReason.LEASE_LOST)
            return True
        except StoreUnavailableError as error:
            log.debug("event=renew-failed error=%s", error)
            return False
        if term.lease_validity.lease_expired(sent_at):
            log.info("event=lease-confirmed-again term=%d", term.number)
            term.scheduling_needed.set()
            term.writes_needed.set()
        term.lease_validity.confirm_renewal(sent_at)
        jobs_known_at = max(term.lease_validity.jobs_known_at or term.started_at, term.started_at)
        if term.settings.members and sent_at - jobs_known_at > JOBS_NOT_FOLLOWED_S:
            # This leader holds the lease but may not act, while another node may be able to read
            # the jobs.
            self.resign(TermEndReason.JOBS_NOT_FOLLOWED)
        return True

    def resign(self, reason: TermEndReason) -> None:
        """End the term, and give up the lease so that another node can lead.

        The term ends before the lease does, because the store's response may arrive late, when
        another node already leads.
        """
        self._term.end(reason)
        try:
            self._term.store.revoke(self._term.leadership.lease)
        except StoreUnavailableError as error:
            log.debug("event=resign-failed error=%s", error)
