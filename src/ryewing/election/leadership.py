"""Election, term, fencing and lease validity.

Two keys: `lead/holder` hangs on a store lease and names the leading process; `lead/term` stays
and counts the terms. A take-over sets both in one transaction. Every later write by the leader
is conditional on `lead/term` being as it wrote it, so what an earlier leader left under way
can no longer be applied.
"""

from __future__ import annotations

import os

import msgspec

from ryewing.clients.store import (
    KeyValueStore,
    LeaseLostError,
    Put,
    StoreUnavailableError,
    ThrottledError,
    TxnResult,
    decode_stored,
)
from ryewing.units import (
    DRIFT,
    KeyVersion,
    MonotonicTime,
    NodeName,
    Revision,
    TermNumber,
    monotonic_now,
)

HOLDER_KEY = "lead/holder"
TERM_KEY = "lead/term"
PREFIX = "lead/"


JOBS_KNOWN_MAX_AGE_S = 6.0
"""How old the leader's knowledge of the jobs may be while it starts tasks and answers users. Its
watch waits a second at a time, so this is several answers of a slow store."""


class LeaseValidity:
    """What the leader may do now, by its monotonic clock.

    It rests on two confirmations by the store, each counted from the moment at which what was
    *confirmed* had been sent: the lease can't have begun before that, and of the jobs all that was
    written before that is known. The lease alone proves nothing: found where a leader was refused
    alone and the store was out after that. In an outage leases keep their full time, so the leader
    renewed its own, and told users of jobs as they had been before others cancelled them. Watches
    are silent meanwhile, and one may hang while renewals pass. Pure: the time is passed in.
    """

    __slots__ = ("_hold_s", "_lease_s", "jobs_known_at", "renewed_at")

    def __init__(self, lease_s: float, hold_s: float) -> None:
        self._lease_s = lease_s * (1 - DRIFT) - 0.05
        self._hold_s = hold_s * (1 - DRIFT)
        self.renewed_at: MonotonicTime | None = None
        self.jobs_known_at: MonotonicTime | None = None

    def confirm_renewal(self, sent_at: MonotonicTime) -> None:
        """Take note of a renewal that the store has confirmed."""
        if self.renewed_at is None or sent_at > self.renewed_at:
            self.renewed_at = sent_at

    def confirm_jobs(self, asked_at: MonotonicTime) -> None:
        """Take note that all changes of the jobs made before this are known."""
        if self.jobs_known_at is None or asked_at > self.jobs_known_at:
            self.jobs_known_at = asked_at

    def lease_expired(self, now: MonotonicTime) -> bool:
        """Tell whether the lease may have ended."""
        return self.renewed_at is None or now >= self.renewed_at + self._lease_s

    def may_start(self, now: MonotonicTime) -> bool:
        """Starting tasks, renting and answering users need an unexpired lease and the jobs."""
        return (
            not self.lease_expired(now)
            and self.jobs_known_at is not None
            and now < self.jobs_known_at + JOBS_KNOWN_MAX_AGE_S
        )

    def may_answer_workers(self, now: MonotonicTime) -> bool:
        """Workers may be kept alive for the hold, so that a state outage costs no work.

        Bounded, since a node that alone lost the store, or hears no changes, hears of no cancels:
        hold + lease_s < cancel_s.
        """
        if self.renewed_at is None or self.jobs_known_at is None:
            return False
        return now < min(self.renewed_at, self.jobs_known_at) + self._hold_s


class LeaseHolder(msgspec.Struct, rename={"boot_id": "boot"}):
    """The value of `lead/holder`."""

    node: str
    boot_id: str
    term: int


class TermRecord(msgspec.Struct):
    """The value of `lead/term`."""

    term: int


class ElectionRecord(msgspec.Struct):
    """What a reading of `lead/` found."""

    holder: LeaseHolder | None
    holder_key_version: KeyVersion
    term: TermNumber
    term_key_version: KeyVersion
    revision: Revision


def read_election_record(store: KeyValueStore) -> ElectionRecord:
    """Read who leads."""
    entries, revision = store.listing(PREFIX)
    election = ElectionRecord(None, KeyVersion(0), TermNumber(0), KeyVersion(0), revision)
    for entry in entries:
        if entry.key == HOLDER_KEY:
            # Somebody holds the lease, whoever it is: it is waited for.
            election.holder = decode_stored(entry.data, LeaseHolder, entry.key) or LeaseHolder(
                "", "", 0
            )
            election.holder_key_version = KeyVersion(entry.key_version)
        elif entry.key == TERM_KEY:
            record = decode_stored(entry.data, TermRecord, entry.key)
            if record is None:
                raise StoreUnavailableError(
                    "the term can't be read"
                )  # a lower one would never be heeded
            election.term = TermNumber(record.term)
            election.term_key_version = KeyVersion(entry.key_version)
    return election


def may_campaign(election: ElectionRecord, node: NodeName, boot_id: str) -> bool:
    """Decide whether to try a take-over.

    With no holder the lease has ended. A holder that is an earlier process of this very node is
    dead, since a node runs one process at a time; its messages are fenced by the term.
    """
    if election.holder is None:
        return True
    return election.holder.node == node and election.holder.boot_id != boot_id


class Leadership:
    """A term won: what the leader needs to keep it and to write under it."""

    def __init__(
        self,
        term: TermNumber,
        term_key_version: KeyVersion,
        lease: int,
        lease_validity: LeaseValidity,
    ) -> None:
        self.term = term
        self.term_key_version = term_key_version
        self.lease = lease
        self.lease_validity = lease_validity

    def fencing_conditions(
        self, conditions: dict[str, KeyVersion] | None = None
    ) -> dict[str, KeyVersion]:
        """Add the condition that makes a late transaction of an earlier term fail."""
        return {TERM_KEY: self.term_key_version, **(conditions or {})}

    def is_superseded(self, result: TxnResult) -> bool:
        """Tell whether a failed transaction says that another term has begun."""
        return not result.ok and TERM_KEY in result.failed


def campaign(
    store: KeyValueStore,
    election: ElectionRecord,
    node: NodeName,
    boot_id: str,
    lease_s: float,
    hold_s: float,
) -> Leadership | None:
    """Try to take over; None if somebody else was first. Raises StoreUnavailableError."""
    sent_at = monotonic_now()
    lease = store.grant(lease_s)
    term = TermNumber(election.term + 1)

    def won(term_key_version: KeyVersion) -> Leadership:
        lease_validity = LeaseValidity(lease_s, hold_s)
        lease_validity.confirm_renewal(sent_at)
        return Leadership(term, term_key_version, lease, lease_validity)

    unanswered: StoreUnavailableError | None = None
    try:
        result = store.txn(
            {HOLDER_KEY: election.holder_key_version, TERM_KEY: election.term_key_version},
            [
                Put(HOLDER_KEY, LeaseHolder(node, boot_id, term), lease),
                Put(TERM_KEY, TermRecord(term)),
            ],
        )
        if result.ok:
            return won(KeyVersion(result.revision))
    except LeaseLostError:
        return None
    except ThrottledError:
        raise
    except StoreUnavailableError as error:
        unanswered = error
    # It may have been carried out, its answer lost, and sent once more by way of a peer. Who holds
    # the lease without knowing leaves everybody without a leader until it has ended.
    found = read_election_record(store)
    if _holds(found, boot_id, term):
        return won(found.term_key_version)
    if unanswered is not None:
        raise unanswered
    return None


def _holds(election: ElectionRecord, boot_id: str, term: TermNumber) -> bool:
    """Tell whether it is this process's bid for this term that was carried out."""
    holder = election.holder
    return holder is not None and (holder.boot_id, holder.term) == (boot_id, term)


def new_boot_id() -> str:
    """Name this process, so that a restart can tell itself from its predecessor."""
    return os.urandom(6).hex()
