"""The election record: the lease holder and the term in the store.

There are two keys. `lead/holder` identifies the leading process; it is attached to a lease of the
store, so it disappears when the lease expires. `lead/term` is permanent and contains the number of
the latest term. An `ElectionRecord` contains the values of both.
"""

from __future__ import annotations

import msgspec

from ryewing.clients.store import KeyValueStore, StoreUnavailableError, decode_stored
from ryewing.units import KeyVersion, Revision, TermNumber
from ryewing.wire.store import Entry

ELECTION_PREFIX = "lead/"
HOLDER_KEY = "lead/holder"
TERM_KEY = "lead/term"


class LeaseHolder(msgspec.Struct, rename={"boot_id": "boot"}):
    """The value of `lead/holder`: the leading process and its term."""

    node: str
    boot_id: str
    term: int


class TermRecord(msgspec.Struct):
    """The value of `lead/term`: the number of the current or latest term."""

    term: int


class ElectionRecord(msgspec.Struct):
    """The lease holder and the term, as read from the store at one revision."""

    holder: LeaseHolder | None
    """None if no process holds the lease."""
    holder_key_version: KeyVersion
    term: TermNumber
    """0 if there has been no term yet."""
    term_key_version: KeyVersion
    revision: Revision
    """The store's revision when the record was read; a watch continues from it."""


UNKNOWN_HOLDER = LeaseHolder("", "", 0)
"""Stands for a holder whose record can't be decoded: a process holds the lease, so no other process
may campaign until it expires."""


def read_election_record(store: KeyValueStore) -> ElectionRecord:
    """Read the lease holder and the term from the store.

    Raise StoreUnavailableError if the store does not answer or its term can't be decoded.
    """
    entries, revision = store.listing(ELECTION_PREFIX)
    election = ElectionRecord(None, KeyVersion(0), TermNumber(0), KeyVersion(0), revision)
    for entry in entries:
        if entry.key == HOLDER_KEY:
            election.holder = decode_stored(entry.data, LeaseHolder, entry.key) or UNKNOWN_HOLDER
            election.holder_key_version = KeyVersion(entry.key_version)
        elif entry.key == TERM_KEY:
            election.term = _decode_term(entry)
            election.term_key_version = KeyVersion(entry.key_version)
    return election


def _decode_term(entry: Entry) -> TermNumber:
    record = decode_stored(entry.data, TermRecord, entry.key)
    if record is None:
        # The term must not be guessed: workers would ignore the tokens of a term that is too low.
        raise StoreUnavailableError("the term can't be read")
    return TermNumber(record.term)
