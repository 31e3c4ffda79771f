"""The ownership records in the state service: one key a shard, each step one conditional write."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ryewing.clients.store import Put, Store, decode_stored
from ryewing.election.election_record import TERM_KEY
from ryewing.sharding.health import healthy_nodes
from ryewing.sharding.ownership import Ownership
from ryewing.sharding.settings import ShardSettings
from ryewing.units import KeyVersion, NodeName, Revision, ShardName, wall_now

log = logging.getLogger(__name__)

SHARDS_PREFIX = "shards/"
OWNER_PREFIX = SHARDS_PREFIX + "owner/"
DIVISION_KEY = SHARDS_PREFIX + "division"

Step = Callable[[Ownership | None], Ownership | None]
"""Gives the next record, or None to leave things as they are."""


class DivisionDiffersError(Exception):
    """The stored division of the fleet is not the one in this controller's settings."""


class Zones(msgspec.Struct, frozen=True):
    """What of a shard's settings has to be the same on every controller."""

    name: str
    zones: tuple[str, ...]


class StoredOwnership(msgspec.Struct, frozen=True):
    """A shard's record with its version; no record if it is missing or can't be read."""

    record: Ownership | None
    key_version: KeyVersion
    readable: bool = True


class Registration(NamedTuple):
    """What one reading of the store has found."""

    shards: dict[ShardName, StoredOwnership]
    healthy: set[NodeName]
    """The controllers whose health keys are there."""
    revision: Revision


class ShardRegistry:
    """Reads the records of all shards and takes steps."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def agree_on(self, shards: ShardSettings) -> None:
        """Store the division of the fleet, or raise if another one, or none, is in force.

        Controllers that divide the fleet in different ways could each count a machine as theirs.
        Those that do not divide it at all, of whatever version, read `lead/term` before they lead:
        it is set here to what none of them can read, in one transaction that fails if any of them
        has ever led.
        """
        wanted = msgspec.json.encode([Zones(spec.name, spec.zones) for spec in shards.shards])
        entry = self._store.get(DIVISION_KEY)
        if entry is None:
            writes = [
                Put(DIVISION_KEY, msgspec.Raw(wanted)),
                Put(TERM_KEY, {"divided": True}),
            ]
            conditions = {DIVISION_KEY: KeyVersion(0), TERM_KEY: KeyVersion(0)}
            if self._store.txn(conditions, writes).ok:
                return
            entry = self._store.get(DIVISION_KEY)
        if entry is None:
            raise DivisionDiffersError("the store holds the records of an undivided fleet")
        if _canonical(entry.data) != _canonical(wanted):
            raise DivisionDiffersError("the store holds the records of another division")

    def read(self, names: Iterable[ShardName]) -> Registration:
        """Read the shards' records; one that can't be read is its own shard's trouble only."""
        listed, revision = self._store.listing(SHARDS_PREFIX)
        entries = {entry.key: entry for entry in listed}
        found: dict[ShardName, StoredOwnership] = {}
        for name in names:
            entry = entries.get(OWNER_PREFIX + name)
            if entry is None:
                found[name] = StoredOwnership(None, KeyVersion(0))
                continue
            record = decode_stored(entry.data, Ownership, entry.key)
            version = KeyVersion(entry.key_version)
            found[name] = StoredOwnership(record, version, record is not None)
        return Registration(found, healthy_nodes(listed), revision)

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
        wanted = msgspec.structs.replace(wanted, changed_at=wall_now())
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
