"""Requests and responses of the store: entries, changes, transactions, leases.

The source is PROTOCOL, "Controller nodes -> state service". Its own names (`stamp`, `epoch`, ...)
are only the keys of the JSON.
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyCondition(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """A condition of a transaction: the version that a key must have, 0 if it must not exist."""

    key: str
    key_version: int


_PUT_KEYS = {"key": "set", "value": "data", "lease": "tenancy"}


class Put(msgspec.Struct, eq=False, omit_defaults=True, rename=_PUT_KEYS):
    """A write of a transaction that sets a key, attached to a lease if one is given."""

    key: str
    value: Any
    lease: int | None = None


class Remove(msgspec.Struct, eq=False, rename={"key": "remove"}):
    """A write of a transaction that deletes a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if"}):
    """The body of `/txn`: the writes are applied if every condition holds."""

    conditions: list[KeyCondition]
    writes: list[Put | Remove]


class LeaseRequest(msgspec.Struct):
    """The body of a request for a lease."""

    ttl_ms: int


class Entry(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """One key of the store with its value."""

    key: str
    data: msgspec.Raw
    """The value, as undecoded JSON."""
    key_version: int
    """The store's revision of the latest change of this key."""


class EntryPage(msgspec.Struct, rename={"entries": "pairs", "revision": "epoch"}):
    """One page of a listing, in the order of the keys."""

    entries: list[Entry]
    revision: int
    """The store's revision at the time of the listing."""
    has_next: bool = False
    """Whether the listing goes on after the last key of this page."""


class Change(msgspec.Struct, rename={"key_version": "stamp"}):
    """One change from a watch: either a `set` with data, or a `remove`."""

    key_version: int
    set: str | None = None
    """The key that was set."""
    remove: str | None = None
    """The key that was removed."""
    data: msgspec.Raw = msgspec.Raw(b"null")
    """The new value, as undecoded JSON."""


class ChangeLog(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a watch: the changes after the revision that was asked for."""

    revision: int
    """The revision after which the next watch continues."""
    log: list[Change] = []
    """Empty if the waiting time ran out."""


class TransactionResponse(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a transaction, whether it was applied or not."""

    revision: int
    """If it was applied, the version of every key that it set."""
    failed: list[str] = []
    """The keys whose versions were not as the conditions demanded."""


class LeaseResponse(msgspec.Struct, rename={"lease": "tenancy"}):
    """The answer to a request for a lease of the store."""

    lease: int
    """The number by which the lease is renewed, ended and named when a key is attached to it."""
