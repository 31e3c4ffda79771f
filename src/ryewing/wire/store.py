"""Requests and responses of the store: entries, changes, transactions, leases.

The protocol's own names (`stamp`, `epoch`, ...) are only the keys of the JSON.
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
