"""What a planner goes by: the load of each shard, the room of each controller, and what it costs.

Pure. Loads and rooms are in the same unit, whatever the caller measures: a share of a core, say.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ryewing.units import MonotonicTime, NodeName, ShardName

OVERLOAD_COST = 100.0
"""What it costs that the fullest controller has no room for a part of its load."""
PEAK_COST = 10.0
"""What it costs that the fullest controller is full: others are to be as full as it is."""
MOVE_COST = 1.0
"""What a move costs, whatever the shard: a move is worth a tenth less on the fullest."""


class ShardLoad(msgspec.Struct, frozen=True):
    """One shard, as a planner sees it."""

    name: ShardName
    load: float
    owner: NodeName | None = None
    """Its present owner, or the next one if it is moving; None if nobody healthy owns it."""
    pinned_to: NodeName | None = None
    moved_at: MonotonicTime | None = None


class NodeRoom(msgspec.Struct, frozen=True):
    """One healthy controller."""

    name: NodeName
    room: float


class PlanInputs(msgspec.Struct, frozen=True):
    """All that decides who should own what."""

    shards: Sequence[ShardLoad]
    nodes: Sequence[NodeRoom]
    now: MonotonicTime
    settle_s: float
    moves_allowed: bool = True

    def choices(self, shard: ShardLoad) -> list[NodeName]:
        """List who may own a shard: all, unless it is pinned, has just moved, or may not move."""
        names = [node.name for node in self.nodes]
        if shard.pinned_to in names:
            return [name for name in names if name == shard.pinned_to]
        settling = shard.moved_at is not None and self.now - shard.moved_at < self.settle_s
        if shard.owner in names and (settling or not self.moves_allowed):
            return [name for name in names if name == shard.owner]
        return names


Assignment = Mapping[ShardName, NodeName]


def fullness(inputs: PlanInputs, owners: Assignment) -> dict[NodeName, float]:
    """Tell which part of its room each controller would need."""
    loads = {node.name: 0.0 for node in inputs.nodes}
    for shard in inputs.shards:
        loads[owners[shard.name]] += shard.load
    return {node.name: loads[node.name] / node.room for node in inputs.nodes}


def moves(inputs: PlanInputs, owners: Assignment) -> list[ShardName]:
    """List the shards that would change hands; one that nobody owns costs no move."""
    return [
        shard.name
        for shard in inputs.shards
        if shard.owner is not None and owners[shard.name] != shard.owner
    ]


def cost(inputs: PlanInputs, owners: Assignment) -> float:
    """Weigh an assignment: the lower the better."""
    peak = max(fullness(inputs, owners).values(), default=0.0)
    overload = max(0.0, peak - 1.0)
    return OVERLOAD_COST * overload + PEAK_COST * peak + MOVE_COST * len(moves(inputs, owners))
