"""Campaigns for the leader's lease.

A candidate writes the lease holder and the next term in one transaction, which is conditional on
the versions of both keys that the candidate has read. If several controllers campaign at the same
time, only one succeeds.
"""

from __future__ import annotations

from ryewing.clients.store import (
    KeyValueStore,
    LeaseLostError,
    Put,
    StoreUnavailableError,
    ThrottledError,
)
from ryewing.election.election_record import (
    HOLDER_KEY,
    TERM_KEY,
    ElectionRecord,
    LeaseHolder,
    TermRecord,
    read_election_record,
)
from ryewing.election.identity import ProcessIdentity
from ryewing.election.leadership import Leadership
from ryewing.election.lease_validity import LeaseValidity
from ryewing.units import KeyVersion, TermNumber, monotonic_now


def may_campaign(election: ElectionRecord, candidate: ProcessIdentity) -> bool:
    """Return whether a process may campaign for the lease.

    If there is no holder, the lease has expired. If the holder is an earlier process of the same
    node, that process is dead, because a node runs one process at a time. Its delayed writes are
    fenced by the term.
    """
    if election.holder is None:
        return True
    holder = election.holder
    return holder.node == candidate.node and holder.boot_id != candidate.boot_id


def campaign(
    store: KeyValueStore,
    election: ElectionRecord,
    candidate: ProcessIdentity,
    lease_s: float,
    hold_s: float,
) -> Leadership | None:
    """Try to win the term that follows the one in `election`, the latest election record read.

    Return the leadership that was won, or None if another process won. Raise StoreUnavailableError
    if the store refused the campaign or its outcome is unknown.

    In a divided fleet, `store` is the shard's part of the store. For `lease_s` and `hold_s`, in
    seconds, see `LeaseValidity`.
    """
    sent_at = monotonic_now()
    lease = store.grant(lease_s)
    term = TermNumber(election.term + 1)
    holder = LeaseHolder(candidate.node, candidate.boot_id, term)
    term_key_version = _write_holder_and_term(store, election, holder, lease)
    if term_key_version is None:
        return None
    lease_validity = LeaseValidity(lease_s, hold_s)
    lease_validity.confirm_renewal(sent_at)
    return Leadership(term, term_key_version, lease, lease_validity)


def _write_holder_and_term(
    store: KeyValueStore, election: ElectionRecord, holder: LeaseHolder, lease: int
) -> KeyVersion | None:
    """Return the version of `lead/term` as written, or None if another process won."""
    unanswered: StoreUnavailableError | None = None
    try:
        result = store.txn(
            {HOLDER_KEY: election.holder_key_version, TERM_KEY: election.term_key_version},
            [Put(HOLDER_KEY, holder, lease), Put(TERM_KEY, TermRecord(holder.term))],
        )
        if result.ok:
            return KeyVersion(result.revision)
    except LeaseLostError:
        return None
    except ThrottledError:
        raise
    except StoreUnavailableError as error:
        unanswered = error
    # The transaction may have been applied although its answer was lost and it was sent again
    # through a peer. A process that holds the lease without knowing it would leave the cluster
    # without a leader until the lease expires.
    found = read_election_record(store)
    if _was_written(found, holder):
        return found.term_key_version
    if unanswered is not None:
        raise unanswered
    return None


def _was_written(election: ElectionRecord, written: LeaseHolder) -> bool:
    """Return whether the holder in the store is the one that this process tried to write."""
    found = election.holder
    return found is not None and (found.boot_id, found.term) == (written.boot_id, written.term)
