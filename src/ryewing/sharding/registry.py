"""The ownership records in the state service: one key a shard, each step one conditional write."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

import msgspec

from ..store import Put, Store, readable
from ..units import KeyVersion
from .ownership import Ownership
from .settings import ShardName, ShardSettings

log = logging.getLogger("ryewing.sharding")

OWNER_PREFIX = "shards/owner/"
DIVISION_KEY = "shards/division"

Step = Callable[[Ownership | None], Ownership | None]
"""Gives the next record, or None to leave things as they are."""


class DivisionDiffersError(Exception):
    """The stored division of the fleet is not the one in this controller's settings."""


class StoredOwnership(msgspec.Struct, frozen=True):
    """A shard's record with its version; no record if it is missing or can't be read."""

    record: Ownership | None
    key_version: KeyVersion
    readable: bool = True


class ShardRegistry:
    """Reads the records of all shards and takes steps."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def agree_on(self, shards: ShardSettings) -> None:
        """Store the division of the fleet, or raise if another one is stored.

        Controllers that divide the fleet in different ways could each count a machine as theirs.
        """
        wanted = msgspec.json.encode(shards.shards)
        entry = self._store.get(DIVISION_KEY)
        if entry is None:
            division = Put(DIVISION_KEY, msgspec.Raw(wanted))
            if self._store.txn({DIVISION_KEY: KeyVersion(0)}, [division]).ok:
                return
            entry = self._store.get(DIVISION_KEY)
        if entry is None or _canonical(entry.data) != _canonical(wanted):
            raise DivisionDiffersError(f"{DIVISION_KEY} is not what the settings say")

    def read(self, names: Iterable[ShardName]) -> dict[ShardName, StoredOwnership]:
        """Read the shards' records; one that can't be read is its own shard's trouble only."""
        entries = {entry.key: entry for entry in self._store.listing(OWNER_PREFIX)[0]}
        found: dict[ShardName, StoredOwnership] = {}
        for name in names:
            entry = entries.get(OWNER_PREFIX + name)
            if entry is None:
                found[name] = StoredOwnership(None, KeyVersion(0))
                continue
            record = readable(entry.data, Ownership, entry.key)
            version = KeyVersion(entry.key_version)
            found[name] = StoredOwnership(record, version, record is not None)
        return found

    def take(self, name: ShardName, seen: StoredOwnership, step: Step) -> Ownership | None:
        """Take a step from the record that was seen; the new record, or None if it wasn't taken.

        A write that got no answer may be carried out late: it names the version it replaces, so it
        can't undo a step that came after it, and the next reading shows whether it was.
        """
        if not seen.readable:
            return None  # an operator has to look at it
        wanted = step(seen.record)
        if wanted is None:
            return None
        key = OWNER_PREFIX + name
        if not self._store.txn({key: seen.key_version}, [Put(key, wanted)]).ok:
            return None
        log.info(
            "event=shard-step shard=%s phase=%s owner=%s target=%s epoch=%d",
            name,
            wanted.phase.value,
            wanted.owner,
            wanted.target or "-",
            wanted.epoch,
        )
        return wanted


def _canonical(data: bytes | msgspec.Raw) -> object:
    return msgspec.json.decode(bytes(data))
