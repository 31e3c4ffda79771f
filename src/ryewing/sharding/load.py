"""The input of the planners, and the cost by which they compare assignments of shards.

Pure functions. Loads and capacities have the same unit, which the caller chooses: for
example, a fraction of a core. A controller's utilization is its load divided by its capacity.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ryewing.units import MonotonicTime, NodeName, ShardName

OVERLOAD_COST = 100.0
"""The cost of each unit of the most utilized controller's utilization above 1."""
PEAK_COST = 10.0
"""The cost of each unit of the most utilized controller's utilization, which makes the planner
balance the load."""
MOVE_COST = 1.0
"""The cost of one move, for any shard: a move must lower the highest utilization by a tenth to pay
off."""


class ShardLoad(msgspec.Struct, frozen=True):
    """The load, the owner and the placement constraints of one shard."""

    name: ShardName
    load: float
    owner: NodeName | None = None
    """The current owner, or the next one if the shard is moving; None if no healthy controller owns
    the shard."""
    pinned_to: NodeName | None = None
    """The only controller that may own the shard while that controller is healthy."""
    moved_at: MonotonicTime | None = None
    """When the owner last changed, if that is known."""


class NodeCapacity(msgspec.Struct, frozen=True):
    """One healthy controller and its capacity, in the unit of the loads."""

    name: NodeName
    capacity: float


class PlanInputs(msgspec.Struct, frozen=True):
    """All inputs that decide which controller should own which shard."""

    shards: Sequence[ShardLoad]
    nodes: Sequence[NodeCapacity]
    now: MonotonicTime
    settle_s: float
    """How many seconds a shard stays with its owner after a move."""
    moves_allowed: bool = True

    def eligible_owners(self, shard: ShardLoad) -> list[NodeName]:
        """List the controllers that may own a shard.

        These are all controllers, unless the shard is pinned, moved within the last `settle_s`
        seconds, or must not move.
        """
        names = [node.name for node in self.nodes]
        if shard.pinned_to in names:
            return [name for name in names if name == shard.pinned_to]
        moved_recently = shard.moved_at is not None and self.now - shard.moved_at < self.settle_s
        if shard.owner in names and (moved_recently or not self.moves_allowed):
            return [name for name in names if name == shard.owner]
        return names


Assignment = Mapping[ShardName, NodeName]
"""The owner of each shard."""


def utilization(inputs: PlanInputs, owners: Assignment) -> dict[NodeName, float]:
    """Return the load of each controller under an assignment, as a fraction of its capacity."""
    loads = {node.name: 0.0 for node in inputs.nodes}
    for shard in inputs.shards:
        loads[owners[shard.name]] += shard.load
    return {node.name: loads[node.name] / node.capacity for node in inputs.nodes}


def moved_shards(inputs: PlanInputs, owners: Assignment) -> list[ShardName]:
    """List the shards whose owner would change; a first owner is not a move."""
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
