"""What the key-value store answers: entries, changes, results of transactions, leases.

The protocol's own names (`stamp`, `epoch`, ...) are only the keys of the JSON.
"""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """One key of the store."""

    key: str
    data: msgspec.Raw
    key_version: int


class EntryPage(msgspec.Struct, rename={"entries": "pairs", "revision": "epoch"}):
    """One page of a listing."""

    entries: list[Entry]
    revision: int
    has_next: bool = False


class Change(msgspec.Struct, rename={"key_version": "stamp"}):
    """One change from a watch: a `set` with data, or a `remove`."""

    key_version: int
    set: str | None = None
    remove: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")


class ChangeLog(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a watch."""

    revision: int
    log: list[Change] = []


class TxnAnswer(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a transaction."""

    revision: int
    failed: list[str] = []


class LeaseGranted(msgspec.Struct, rename={"lease": "tenancy"}):
    """The answer to a request for a lease of the store."""

    lease: int
