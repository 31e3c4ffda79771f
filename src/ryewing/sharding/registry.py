"""Stores the ownership records: one key for each shard, one conditional write for each step.

The division of the fleet is stored as well. The keys are `shards/division`,
`shards/owner/<shard>` and `shards/node/<controller>` (see `health`).
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
"""Returns the next record, or None to leave the current one unchanged."""


class DivisionDiffersError(ShardingError):
    """The stored division of the fleet is not the one in this controller's settings."""


class ShardZones(msgspec.Struct, frozen=True):
    """The part of a shard's settings that must be the same on every controller."""

    name: str
    zones: tuple[str, ...]


class StoredOwnership(msgspec.Struct, frozen=True):
    """A shard's record with its key version; `record` is None if it is missing or unreadable."""

    record: Ownership | None
    key_version: KeyVersion
    readable: bool = True


class RegistrySnapshot(NamedTuple):
    """All ownership records and controller health keys, from one read of the store."""

    shards: dict[ShardName, StoredOwnership]
    healthy: set[NodeName]
    """The controllers whose health keys exist."""
    revision: Revision


class ShardRegistry:
    """Reads the records of all shards and writes their steps.

    Every method raises StoreUnavailableError if the store does not answer.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def ensure_division(self, shards: ShardSettings) -> None:
        """Store the division of the fleet, unless it is stored already.

        Raises DivisionDiffersError if the store holds another division or an undivided fleet.

        Controllers with different divisions could each treat the same machine as theirs
        (docs/design.md, argument 13). Controllers without a division, of any version, read
        `lead/term` before they lead. The transaction sets this key to a value that they cannot
        decode, and fails if any of them has ever led.
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
        if _decode_json(entry.data) != _decode_json(division):
            raise DivisionDiffersError("the store holds the records of another division")

    def read(self, names: Iterable[ShardName]) -> RegistrySnapshot:
        """Read the shards' records and the controllers' health keys.

        An unreadable record affects only its own shard.
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

    def apply_step_to_existing(
        self,
        name: ShardName,
        stored: StoredOwnership,
        step: Callable[[Ownership], Ownership | None],
    ) -> Ownership | None:
        """Apply a step as `apply_step` does, but only to a shard that has a record."""
        return self.apply_step(name, stored, lambda old: step(old) if old is not None else None)

    def apply_step(self, name: ShardName, stored: StoredOwnership, step: Step) -> Ownership | None:
        """Apply a step to a record as it was read and write the result.

        Return the new record, or None if the step was not applied.

        A write without an answer may still be applied later. It is conditional on the version that
        it replaces, so it cannot undo a later step; the next read shows whether it was applied.
        """
        if not stored.readable:
            return None  # an operator has to repair the record
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


def _decode_json(data: bytes | msgspec.Raw) -> object:
    """Decode a JSON value, so that a comparison does not depend on whitespace."""
    return msgspec.json.decode(bytes(data))
