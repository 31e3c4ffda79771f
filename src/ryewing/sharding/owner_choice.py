"""Selects which controller should own which shard, from the records, health keys and settings.

All shards count as equal load and all controllers as equal capacity, because planning by measured
load is not implemented (docs/sharding.md). The assignments are greedy (`greedy`).
"""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple

from ryewing.sharding import greedy
from ryewing.sharding.load import Assignment, NodeCapacity, PlanInputs, ShardLoad
from ryewing.sharding.ownership import Phase
from ryewing.sharding.planner import next_move
from ryewing.sharding.registry import RegistrySnapshot
from ryewing.sharding.settings import ShardSettings
from ryewing.units import MonotonicTime, NodeName, ShardName, monotonic_now

EQUAL_LOAD = 1.0
"""The load of every shard and the capacity of every controller."""


class Move(NamedTuple):
    """A shard and the controller that it should move to."""

    shard: ShardName
    target: NodeName


class _ObservedOwner(NamedTuple):
    """A shard's owner, and since when it has owned the shard if that change was observed."""

    owner: str
    since: MonotonicTime | None


class OwnerSelector:
    """Selects owners of shards, and records when the owners changed."""

    def __init__(self, settings: ShardSettings) -> None:
        self._settings = settings
        self._pins = {
            ShardName(spec.name): NodeName(spec.pinned_to)
            for spec in settings.shards
            if spec.pinned_to is not None
        }
        self._observed_owners: dict[ShardName, _ObservedOwner] = {}

    def observe(self, snapshot: RegistrySnapshot) -> None:
        """Record the owners in a snapshot, with the time of each change."""
        for name, stored in snapshot.shards.items():
            if stored.record is None:
                continue
            observed = self._observed_owners.get(name)
            if observed is None or observed.owner != stored.record.owner:
                since = monotonic_now() if observed is not None else None
                self._observed_owners[name] = _ObservedOwner(stored.record.owner, since)

    def assign_owners(self, snapshot: RegistrySnapshot, nodes: Set[NodeName]) -> Assignment:
        """Return an owner for every shard; only a pinned shard leaves an owner that is in `nodes`.

        The result is the same on every controller for the same records and controllers.
        """
        return greedy.assign(self._inputs(snapshot, nodes, moves_allowed=False))

    def choose_move(self, snapshot: RegistrySnapshot) -> Move | None:
        """Return the move that balances the shards best; None if none is worth its cost.

        Shards move one at a time, so the result is None also while any shard is moving or has no
        healthy owner.
        """
        for stored in snapshot.shards.values():
            record = stored.record
            if record is None or record.phase is not Phase.OWNED:
                return None
            if record.owner not in snapshot.healthy:
                return None
        inputs = self._inputs(snapshot, snapshot.healthy, self._settings.moves_allowed)
        owners = greedy.assign(inputs)
        name = next_move(inputs, owners)
        return Move(name, owners[name]) if name is not None else None

    def _inputs(
        self, snapshot: RegistrySnapshot, nodes: Set[NodeName], moves_allowed: bool
    ) -> PlanInputs:
        loads = []
        for name, stored in snapshot.shards.items():
            record = stored.record
            next_owner = NodeName(record.target or record.owner) if record is not None else None
            observed = self._observed_owners.get(name)
            loads.append(
                ShardLoad(
                    name,
                    EQUAL_LOAD,
                    next_owner if next_owner in nodes else None,
                    self._pins.get(name),
                    observed.since if observed is not None else None,
                )
            )
        capacities = [NodeCapacity(node, EQUAL_LOAD) for node in sorted(nodes)]
        return PlanInputs(
            loads, capacities, monotonic_now(), self._settings.settle_s, moves_allowed
        )
