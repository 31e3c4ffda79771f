"""Requests and responses of the store: entries, changes, transactions, leases.

The source is PROTOCOL, "Controller nodes -> state service". Its names (`stamp`, `epoch`, ...) are
only the keys of the JSON.
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyCondition(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """A condition of a transaction: the required version of a key; 0 if the key must not exist."""

    key: str
    key_version: int


_PUT_KEYS = {"key": "set", "value": "data", "lease": "tenancy"}


class Put(msgspec.Struct, eq=False, omit_defaults=True, rename=_PUT_KEYS):
    """A write that sets a key, and attaches it to a lease if one is given."""

    key: str
    value: Any
    lease: int | None = None


class Remove(msgspec.Struct, eq=False, rename={"key": "remove"}):
    """A write that deletes a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if"}):
    """The body of `POST /txn`: the writes are applied if every condition holds."""

    conditions: list[KeyCondition]
    writes: list[Put | Remove]


class LeaseRequest(msgspec.Struct):
    """The body of `POST /holds`, a request for a lease."""

    ttl_ms: int


class Entry(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """A key of the store with its value and version."""

    key: str
    data: msgspec.Raw
    """The value as undecoded JSON."""
    key_version: int
    """The revision of the store at which the key was last changed."""


class EntryPage(msgspec.Struct, rename={"entries": "pairs", "revision": "epoch"}):
    """One page of a listing, ordered by key."""

    entries: list[Entry]
    revision: int
    """The revision of the store at the time of the listing."""
    has_next: bool = False
    """Whether there are more keys after the last one of this page."""


class Change(msgspec.Struct, rename={"key_version": "stamp"}):
    """One change in the response of a watch: either `set` with `data`, or `remove`."""

    key_version: int
    set: str | None = None
    """The key that was set."""
    remove: str | None = None
    """The key that was removed."""
    data: msgspec.Raw = msgspec.Raw(b"null")
    """The new value as undecoded JSON."""


class ChangeLog(msgspec.Struct, rename={"revision": "epoch"}):
    """The response of a watch: the changes after the requested revision."""

    revision: int
    """The revision from which the next watch continues."""
    log: list[Change] = []
    """Empty if there was no change within the waiting time."""


class TransactionResponse(msgspec.Struct, rename={"revision": "epoch"}):
    """The response to a transaction, whether it was applied or not."""

    revision: int
    """If the transaction was applied, the version of every key that it set."""
    failed: list[str] = []
    """The keys whose versions did not match the conditions."""


class LeaseResponse(msgspec.Struct, rename={"lease": "tenancy"}):
    """The response to a LeaseRequest."""

    lease: int
    """The number of the lease, used to renew or end it and to attach keys to it."""
