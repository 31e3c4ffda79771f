"""The lease of one term: renewed while the term lasts, or given up."""

from __future__ import annotations

import logging

import gevent

from ryewing.clients.store import LeaseLostError, StoreUnavailableError
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.units import monotonic_now

log = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 4
"""How often a lease is renewed in its time."""
RETRIES_PER_LEASE = 8
"""How often a renewal is tried in the time of a lease while the store does not answer."""
RENEWAL_TIMEOUTS_PER_LEASE = 3
"""A renewal waits for its answer for this fraction of a lease: a third."""
JOBS_NOT_FOLLOWED_S = 15.0
"""A leader whose lease is renewed and that can't read the jobs for so long resigns."""


class LeaseKeeper:
    """Renews the lease and confirms the term's authority by it (docs/design.md, argument 2)."""

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
        """Ask the store to renew the lease; return False if it did not answer."""
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
        jobs_known_at = max(term.lease_validity.jobs_known_at or term.began_at, term.began_at)
        if term.settings.members and sent_at - jobs_known_at > JOBS_NOT_FOLLOWED_S:
            # It keeps the lease and may do nothing with it: another node may be able to read.
            self.resign(TermEndReason.JOBS_NOT_FOLLOWED)
        return True

    def resign(self, reason: TermEndReason) -> None:
        """Leave leadership to another node.

        The term's authority ends before the lease does: the end of the lease may be made known
        late.
        """
        self._term.end(reason)
        try:
            self._term.store.revoke(self._term.leadership.lease)
        except StoreUnavailableError as error:
            log.debug("event=resign-failed error=%s", error)
