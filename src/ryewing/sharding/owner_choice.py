"""Which controller should own which shard, by the records, health and settings alone.

Shards count alike. Loads are left to a planner that has them (`planner.plan`).
"""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple

from ryewing.sharding import greedy
from ryewing.sharding.load import Assignment, NodeRoom, PlanInputs, ShardLoad
from ryewing.sharding.ownership import Phase
from ryewing.sharding.planner import next_move
from ryewing.sharding.registry import Registration
from ryewing.sharding.settings import ShardSettings
from ryewing.units import MonotonicTime, NodeName, ShardName, monotonic_now

EQUAL_LOAD = 1.0


class Move(NamedTuple):
    """A shard that another controller should lead."""

    shard: ShardName
    target: NodeName


class _Owned(NamedTuple):
    """A shard's owner, and since when, if that was seen."""

    owner: str
    since: MonotonicTime | None


class OwnerChoice:
    """Remembers since when shards are where they are, and chooses owners."""

    def __init__(self, settings: ShardSettings) -> None:
        self._settings = settings
        self._pins = {
            ShardName(spec.name): NodeName(spec.pinned_to)
            for spec in settings.shards
            if spec.pinned_to is not None
        }
        self._owned: dict[ShardName, _Owned] = {}

    def note(self, found: Registration) -> None:
        """Take note of who owns what."""
        for name, seen in found.shards.items():
            if seen.record is None:
                continue
            known = self._owned.get(name)
            if known is None or known.owner != seen.record.owner:
                since = monotonic_now() if known is not None else None
                self._owned[name] = _Owned(seen.record.owner, since)

    def assignment(self, found: Registration, nodes: Set[NodeName]) -> Assignment:
        """Choose owners for shards without one, so that every controller chooses the same: by the
        records alone, and without moves."""
        return greedy.assign(self._inputs(found, nodes, moves_allowed=False))

    def move(self, found: Registration) -> Move | None:
        """Choose the move that evens out the shards most; one at a time, and none that is not
        worth it."""
        for seen in found.shards.values():
            record = seen.record
            if record is None or record.phase is not Phase.OWNED:
                return None
            if record.owner not in found.healthy:
                return None
        inputs = self._inputs(found, found.healthy, self._settings.moves_allowed)
        owners = greedy.assign(inputs)
        name = next_move(inputs, owners)
        return Move(name, owners[name]) if name is not None else None

    def _inputs(self, found: Registration, nodes: Set[NodeName], moves_allowed: bool) -> PlanInputs:
        loads = []
        for name, seen in found.shards.items():
            record = seen.record
            next_owner = NodeName(record.target or record.owner) if record is not None else None
            owned = self._owned.get(name)
            loads.append(
                ShardLoad(
                    name,
                    EQUAL_LOAD,
                    next_owner if next_owner in nodes else None,
                    self._pins.get(name),
                    owned.since if owned is not None else None,
                )
            )
        rooms = [NodeRoom(node, EQUAL_LOAD) for node in sorted(nodes)]
        return PlanInputs(loads, rooms, monotonic_now(), self._settings.settle_s, moves_allowed)
