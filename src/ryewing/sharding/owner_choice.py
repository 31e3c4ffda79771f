"""Chooses which controller should own which shard, by the records, health and settings.

Every shard counts as the same load and every controller as the same room: planning by measured load
is not implemented (docs/sharding.md). The assignments are greedy (`greedy`).
"""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple

from ryewing.sharding import greedy
from ryewing.sharding.load import Assignment, NodeRoom, PlanInputs, ShardLoad
from ryewing.sharding.ownership import Phase
from ryewing.sharding.planner import next_move
from ryewing.sharding.registry import RegistrySnapshot
from ryewing.sharding.settings import ShardSettings
from ryewing.units import MonotonicTime, NodeName, ShardName, monotonic_now

EQUAL_LOAD = 1.0
"""The load of every shard, and the room of every controller."""


class Move(NamedTuple):
    """A shard that another controller should lead."""

    shard: ShardName
    target: NodeName


class _ObservedOwner(NamedTuple):
    """A shard's owner, and since when it owns the shard, if the change was observed."""

    owner: str
    since: MonotonicTime | None


class OwnerChoice:
    """Remembers since when shards have their owners, and chooses owners."""

    def __init__(self, settings: ShardSettings) -> None:
        self._settings = settings
        self._pins = {
            ShardName(spec.name): NodeName(spec.pinned_to)
            for spec in settings.shards
            if spec.pinned_to is not None
        }
        self._observed_owners: dict[ShardName, _ObservedOwner] = {}

    def note(self, registration: RegistrySnapshot) -> None:
        """Remember the owners that were read."""
        for name, stored in registration.shards.items():
            if stored.record is None:
                continue
            observed = self._observed_owners.get(name)
            if observed is None or observed.owner != stored.record.owner:
                since = monotonic_now() if observed is not None else None
                self._observed_owners[name] = _ObservedOwner(stored.record.owner, since)

    def assignment(self, registration: RegistrySnapshot, nodes: Set[NodeName]) -> Assignment:
        """Return an owner for every shard; only a pinned one leaves an owner that is in `nodes`.

        Every controller chooses the same from the same records and controllers.
        """
        return greedy.assign(self._inputs(registration, nodes, moves_allowed=False))

    def move(self, registration: RegistrySnapshot) -> Move | None:
        """Return the move that evens out the shards most; None if none is worth its cost.

        One move at a time: None as well while any shard is moving or has no healthy owner.
        """
        for stored in registration.shards.values():
            record = stored.record
            if record is None or record.phase is not Phase.OWNED:
                return None
            if record.owner not in registration.healthy:
                return None
        inputs = self._inputs(registration, registration.healthy, self._settings.moves_allowed)
        owners = greedy.assign(inputs)
        name = next_move(inputs, owners)
        return Move(name, owners[name]) if name is not None else None

    def _inputs(
        self, registration: RegistrySnapshot, nodes: Set[NodeName], moves_allowed: bool
    ) -> PlanInputs:
        loads = []
        for name, stored in registration.shards.items():
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
        rooms = [NodeRoom(node, EQUAL_LOAD) for node in sorted(nodes)]
        return PlanInputs(loads, rooms, monotonic_now(), self._settings.settle_s, moves_allowed)
