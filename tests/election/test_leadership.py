"""Election and lease validity."""

from __future__ import annotations

import pytest
from support.fakes import policy, settings
from support.placement_world import T0

from ryewing.election.campaign import may_campaign
from ryewing.election.election_record import ElectionRecord, LeaseHolder
from ryewing.election.identity import ProcessIdentity
from ryewing.election.lease_validity import JOBS_KNOWN_MAX_AGE_S, LeaseValidity
from ryewing.units import KeyVersion, MonotonicTime, NodeName, Revision, TermNumber


@pytest.mark.parametrize(
    ("since_renewal_s", "since_jobs_known_s", "has_authority", "may_answer"),
    [
        (0.0, 0.0, True, True),
        (2.9, 2.9, True, True),
        (3.0, 3.0, False, True),  # the lease may have ended: no starts, no renting
        (14.9, 14.9, False, True),  # state outage: workers are kept alive
        (15.0, 15.0, False, False),  # the hold is over: 421 or 503
        (500.0, 500.0, False, False),  # a process that was paused past everything
        (0.0, JOBS_KNOWN_MAX_AGE_S - 0.1, True, True),  # a slow watch beside renewals
        (0.0, JOBS_KNOWN_MAX_AGE_S, False, True),  # one that hangs: others may have cancelled
        (0.0, 14.9, False, True),
        (0.0, 15.0, False, False),  # and its cancelled tasks must be gone in time
        (15.0, 0.0, False, False),
        (0.0, None, False, False),  # the jobs were never read
        (None, 0.0, False, False),
    ],
)
def test_lease_validity_by_time_since_renewal_and_since_the_jobs_are_known(
    since_renewal_s: float | None,
    since_jobs_known_s: float | None,
    has_authority: bool,
    may_answer: bool,
) -> None:
    lease_validity = LeaseValidity(3.0, 15.0)
    now = MonotonicTime(T0 + 1000.0)
    if since_renewal_s is not None:
        lease_validity.confirm_renewal(MonotonicTime(now - since_renewal_s))
    if since_jobs_known_s is not None:
        lease_validity.confirm_jobs(MonotonicTime(now - since_jobs_known_s))
    assert (lease_validity.has_authority(now), lease_validity.may_answer_workers(now)) == (
        has_authority,
        may_answer,
    )


def test_lease_validity_counts_from_the_latest_send() -> None:
    lease_validity = LeaseValidity(3.0, 15.0)
    for confirm in (lease_validity.confirm_renewal, lease_validity.confirm_jobs):
        confirm(MonotonicTime(T0 + 2.0))
        confirm(T0)  # an older renewal's answer that came later
    assert lease_validity.has_authority(MonotonicTime(T0 + 4.5))
    assert lease_validity.may_answer_workers(MonotonicTime(T0 + 16.5))


def test_hold_leaves_a_cancel_its_time() -> None:
    workers = settings().params.workers
    assert policy().hold_s + workers.lease_s < workers.cancel_s - 1.0


@pytest.mark.parametrize(
    ("holder", "expected"),
    [
        (None, True),  # the lease has ended
        (LeaseHolder("n-1", "b1", 4), False),  # another node: wait for its lease
        (LeaseHolder("n-0", "me", 4), False),  # this very process
        (LeaseHolder("n-0", "earlier", 4), True),  # an earlier process of this node is dead
    ],
)
def test_who_may_campaign(holder: LeaseHolder | None, expected: bool) -> None:
    election = ElectionRecord(holder, KeyVersion(3), TermNumber(4), KeyVersion(3), Revision(9))
    assert may_campaign(election, ProcessIdentity(NodeName("n-0"), "me")) is expected
