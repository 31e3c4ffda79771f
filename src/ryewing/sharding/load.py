"""The input of the planners, and the cost by which they compare assignments of shards.

Pure functions. Loads and rooms are in the same unit, which the caller chooses: a fraction of a
core, for example. A controller's utilization is its load as a fraction of its room.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ryewing.units import MonotonicTime, NodeName, ShardName

OVERLOAD_COST = 100.0
"""The cost of each unit of the most utilized controller's utilization above 1."""
PEAK_COST = 10.0
"""The cost of each unit of the most utilized controller's utilization: it makes the planner even
out the load."""
MOVE_COST = 1.0
"""The cost of one move, whatever the shard: a move has to lower the highest utilization by a
tenth."""


class ShardLoad(msgspec.Struct, frozen=True):
    """One shard."""

    name: ShardName
    load: float
    owner: NodeName | None = None
    """Its present owner, or the next one if it is moving; None if nobody healthy owns it."""
    pinned_to: NodeName | None = None
    """The only controller that may own it while that one is healthy."""
    moved_at: MonotonicTime | None = None
    """When it last changed hands, if that is known."""


class NodeRoom(msgspec.Struct, frozen=True):
    """One healthy controller, and how much load it has room for."""

    name: NodeName
    room: float


class PlanInputs(msgspec.Struct, frozen=True):
    """All that decides which controller should own which shard."""

    shards: Sequence[ShardLoad]
    nodes: Sequence[NodeRoom]
    now: MonotonicTime
    settle_s: float
    """For how many seconds a shard that has moved stays where it is."""
    moves_allowed: bool = True

    def choices(self, shard: ShardLoad) -> list[NodeName]:
        """List the controllers that may own a shard.

        That is all of them, unless it is pinned, has moved within `settle_s`, or may not move.
        """
        names = [node.name for node in self.nodes]
        if shard.pinned_to in names:
            return [name for name in names if name == shard.pinned_to]
        settling = shard.moved_at is not None and self.now - shard.moved_at < self.settle_s
        if shard.owner in names and (settling or not self.moves_allowed):
            return [name for name in names if name == shard.owner]
        return names


Assignment = Mapping[ShardName, NodeName]
"""The owner of each shard."""


def utilization(inputs: PlanInputs, owners: Assignment) -> dict[NodeName, float]:
    """Return the load of each controller under an assignment, as a fraction of its room."""
    loads = {node.name: 0.0 for node in inputs.nodes}
    for shard in inputs.shards:
        loads[owners[shard.name]] += shard.load
    return {node.name: loads[node.name] / node.room for node in inputs.nodes}


def moved_shards(inputs: PlanInputs, owners: Assignment) -> list[ShardName]:
    """List the shards that would change hands; taking one that nobody owns is no move."""
    return [
        shard.name
        for shard in inputs.shards
        if shard.owner is not None and owners[shard.name] != shard.owner
    ]


def cost(inputs: PlanInputs, owners: Assignment) -> float:
    """Return the cost of an assignment; the lowest is the best."""
    peak = max(utilization(inputs, owners).values(), default=0.0)
    overload = max(0.0, peak - 1.0)
    return (
        OVERLOAD_COST * overload + PEAK_COST * peak + MOVE_COST * len(moved_shards(inputs, owners))
    )
