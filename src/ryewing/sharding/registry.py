"""The ownership records in the store: one key for each shard, each step one conditional write.

The division of the fleet stands there as well. Keys: `shards/division`, `shards/owner/<shard>`, and
`shards/node/<controller>` (see `health`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ryewing.clients.store import Put, Store, decode_stored
from ryewing.election.election_record import TERM_KEY
from ryewing.sharding.errors import ShardingError
from ryewing.sharding.health import healthy_nodes
from ryewing.sharding.ownership import Ownership
from ryewing.sharding.settings import ShardSettings
from ryewing.units import KeyVersion, NodeName, Revision, ShardName, wall_now

log = logging.getLogger(__name__)

SHARDS_PREFIX = "shards/"
OWNER_PREFIX = SHARDS_PREFIX + "owner/"
DIVISION_KEY = SHARDS_PREFIX + "division"

Step = Callable[[Ownership | None], Ownership | None]
"""Returns the next record, or None to leave the present one as it is."""


class DivisionDiffersError(ShardingError):
    """The stored division of the fleet is not the one in this controller's settings."""


class ShardZones(msgspec.Struct, frozen=True):
    """The part of a shard's settings that has to be the same on every controller."""

    name: str
    zones: tuple[str, ...]


class StoredOwnership(msgspec.Struct, frozen=True):
    """A shard's record with its version; no record if it is missing or can't be read."""

    record: Ownership | None
    key_version: KeyVersion
    readable: bool = True


class RegistrySnapshot(NamedTuple):
    """What one reading of the store returned."""

    shards: dict[ShardName, StoredOwnership]
    healthy: set[NodeName]
    """The controllers whose health keys exist."""
    revision: Revision


class ShardRegistry:
    """Reads the records of all shards and writes the steps.

    Every method raises StoreUnavailableError if the store does not answer.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def ensure_division(self, shards: ShardSettings) -> None:
        """Store the division of the fleet; raise DivisionDiffersError if another, or none, holds.

        Controllers that divide the fleet in different ways could each count a machine as theirs
        (docs/design.md, argument 13). Those that do not divide it at all, of whatever version, read
        `lead/term` before they lead: it is set here to a value that none of them can read, in one
        transaction that fails if any of them has ever led.
        """
        division = msgspec.json.encode(
            [ShardZones(spec.name, spec.zones) for spec in shards.shards]
        )
        entry = self._store.get(DIVISION_KEY)
        if entry is None:
            writes = [
                Put(DIVISION_KEY, msgspec.Raw(division)),
                Put(TERM_KEY, {"divided": True}),
            ]
            conditions = {DIVISION_KEY: KeyVersion(0), TERM_KEY: KeyVersion(0)}
            if self._store.txn(conditions, writes).ok:
                return
            entry = self._store.get(DIVISION_KEY)
        if entry is None:
            raise DivisionDiffersError("the store holds the records of an undivided fleet")
        if _decoded(entry.data) != _decoded(division):
            raise DivisionDiffersError("the store holds the records of another division")

    def read(self, names: Iterable[ShardName]) -> RegistrySnapshot:
        """Read the shards' records and the controllers' health.

        A record that can't be read concerns its own shard only.
        """
        listed, revision = self._store.listing(SHARDS_PREFIX)
        entries = {entry.key: entry for entry in listed}
        shards: dict[ShardName, StoredOwnership] = {}
        for name in names:
            entry = entries.get(OWNER_PREFIX + name)
            if entry is None:
                shards[name] = StoredOwnership(None, KeyVersion(0))
                continue
            record = decode_stored(entry.data, Ownership, entry.key)
            version = KeyVersion(entry.key_version)
            shards[name] = StoredOwnership(record, version, record is not None)
        return RegistrySnapshot(shards, healthy_nodes(listed), revision)

    def advance(
        self,
        name: ShardName,
        stored: StoredOwnership,
        step: Callable[[Ownership], Ownership | None],
    ) -> Ownership | None:
        """Take a step of a shard that has a record; one without is left alone (see `take`)."""
        return self.apply_step(name, stored, lambda old: step(old) if old is not None else None)

    def apply_step(self, name: ShardName, stored: StoredOwnership, step: Step) -> Ownership | None:
        """Take a step from a record as it was read.

        Return the new record, or None if the step wasn't taken.

        A write that got no answer may be carried out late: it names the version it replaces, so it
        can't undo a step that came after it, and the next reading shows whether it was.
        """
        if not stored.readable:
            return None  # an operator has to look at it
        next_record = step(stored.record)
        if next_record is None:
            return None
        next_record = msgspec.structs.replace(next_record, changed_at=wall_now())
        key = OWNER_PREFIX + name
        if not self._store.txn({key: stored.key_version}, [Put(key, next_record)]).ok:
            return None
        log.info(
            "event=shard-step shard=%s phase=%s owner=%s target=%s epoch=%d",
            name,
            next_record.phase.value,
            next_record.owner,
            next_record.target or "-",
            next_record.epoch,
        )
        return next_record


def _decoded(data: bytes | msgspec.Raw) -> object:
    """Return a JSON value, so that two are compared whatever their spacing."""
    return msgspec.json.decode(bytes(data))
