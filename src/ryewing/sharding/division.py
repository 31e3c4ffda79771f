"""The fleet divided into shards, as the rest of a controller needs to know it."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping, Sequence

from ryewing.clients.peers import ShardLoadAnswer
from ryewing.clients.store import KeyValueStore, Store
from ryewing.leader.division import NoShardError, NotReadyError
from ryewing.leader.scope import TermScope
from ryewing.sharding.settings import ShardSettings
from ryewing.sharding.shard_store import ShardStore
from ryewing.state.resources import fits_machine_type
from ryewing.units import JobId, ShardName, Zone
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec

CHOICES = 2
"""Shards that are drawn for a new job; the one with the least waiting work gets it."""
SPREAD_ZONES = 2
"""Zones that a job needs at the least whose tasks may not all be in one."""


class ShardDivision:
    """One term for each shard."""

    def __init__(self, shards: ShardSettings, rng: random.Random | None = None) -> None:
        share = 1.0 / len(shards.shards)
        self._scopes = [
            TermScope(ShardName(spec.name), frozenset(map(Zone, spec.zones)), share)
            for spec in shards.shards
        ]
        self._rng = rng or random.Random()
        self.in_force = False
        """Whether the store is known to hold this division's records."""

    def scopes(self) -> Sequence[TermScope]:
        """Give the shards' scopes."""
        return self._scopes

    def store_for(self, scope: TermScope, store: Store) -> KeyValueStore:
        """Give a shard's part of the store."""
        if scope.shard is None:
            return store
        return ShardStore(store, scope.shard)

    def choose(
        self,
        spec: JobSpec,
        machine_types: Mapping[str, MachineType],
        loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose a new job's shard among those that could ever run it.

        Two are drawn, and the one with the least waiting work gets it. While not all have said how
        much that is, the job's name decides, so that a few controllers that begin don't all choose
        the same.
        """
        if not self.in_force:
            raise NotReadyError("the division of the fleet is not confirmed by the store")
        able = [
            scope.shard
            for scope in self._scopes
            if scope.shard is not None and could_run(spec, scope, machine_types)
        ]
        if not able:
            raise NoShardError("no single shard has the zones and machine types that it needs")
        if any(loads.get(name) is None for name in able):
            return able[_stable_hash(JobId(spec.id)) % len(able)]
        news = {name: load for name, load in loads.items() if load is not None}
        open_ones = [name for name in able if not news[name].full] or able
        drawn = self._rng.sample(open_ones, min(CHOICES, len(open_ones)))
        return min(drawn, key=lambda name: news[name].backlog)


def could_run(spec: JobSpec, scope: TermScope, machine_types: Mapping[str, MachineType]) -> bool:
    """Tell whether a shard's zones and machine types could ever run a job."""
    zones: set[str] = set()
    for machine_type in scope.machine_types(list(machine_types.values())):
        allowed = spec.machine_types is None or machine_type.name in spec.machine_types
        if allowed and fits_machine_type(spec, machine_type):
            zones.update(
                zone for zone in machine_type.zones if spec.zone is None or zone == spec.zone
            )
    if spec.spread and spec.task_count > 1:
        return len(zones) >= SPREAD_ZONES
    return bool(zones)


def _stable_hash(job: JobId) -> int:
    """Give a number that is the same on every controller and in every process."""
    return zlib.crc32(job.encode())
