"""The fleet divided into shards: the `leader.division.Division` of a divided controller.

Which shard a job belongs to, and why, is in docs/sharding.md.
"""

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

DRAWN_SHARDS = 2
"""How many shards are drawn at random for a new job; the one with the smallest backlog gets it."""
SPREAD_ZONES = 2
"""How many zones a job needs at least whose tasks are spread over zones."""


class ShardDivision:
    """A division with one term for each shard, which has an even share of each rate."""

    def __init__(self, shards: ShardSettings, rng: random.Random | None = None) -> None:
        share = 1.0 / len(shards.shards)
        self._scopes = [
            TermScope(ShardName(spec.name), frozenset(map(Zone, spec.zones)), share)
            for spec in shards.shards
        ]
        self._rng = rng or random.Random()
        self.is_confirmed = False
        """Whether the store has confirmed that this division is the one in force."""

    def scopes(self) -> Sequence[TermScope]:
        """Return the shards' scopes, in the order of the settings."""
        return self._scopes

    def store_for(self, scope: TermScope, store: Store) -> KeyValueStore:
        """Return a shard's part of the store."""
        if scope.shard is None:
            return store
        return ShardStore(store, scope.shard)

    def choose_shard(
        self,
        spec: JobSpec,
        machine_types: Mapping[str, MachineType],
        loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose a new job's shard among those that could ever run it.

        Two are drawn at random, and the one with the smaller backlog gets the job. While the load
        of any of them is unknown, the job's id decides, so that controllers that have just started
        don't all choose the same shard.

        Raises NotReadyError while the division is not confirmed, and NoShardError if no single
        shard could ever run the job.
        """
        if not self.is_confirmed:
            raise NotReadyError("the division of the fleet is not confirmed by the store")
        eligible = [
            scope.shard
            for scope in self._scopes
            if scope.shard is not None and could_run(spec, scope, machine_types)
        ]
        if not eligible:
            raise NoShardError("no single shard has the zones and machine types that it needs")
        if any(loads.get(name) is None for name in eligible):
            return eligible[_stable_hash(JobId(spec.id)) % len(eligible)]
        known_loads = {name: load for name, load in loads.items() if load is not None}
        candidates = [name for name in eligible if not known_loads[name].full] or eligible
        drawn = self._rng.sample(candidates, min(DRAWN_SHARDS, len(candidates)))
        return min(drawn, key=lambda name: known_loads[name].backlog)


def could_run(spec: JobSpec, scope: TermScope, machine_types: Mapping[str, MachineType]) -> bool:
    """Return whether a shard's zones and machine types could ever run a job."""
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
    """Return a number that is the same on every controller and in every process."""
    return zlib.crc32(job.encode())
