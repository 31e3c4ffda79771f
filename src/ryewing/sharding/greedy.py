"""Assigns shards to controllers greedily, without a solver; controllers use this module.

Shards without an owner go to the least utilized controller. Then single shards are moved off the
most utilized controller while that lowers the cost (`load.cost`). These are pure functions: the
same inputs give the same assignment on every controller. docs/sharding.md compares the costs with
those of `exact`.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.sharding.load import Assignment, PlanInputs, ShardLoad, cost, utilization
from ryewing.units import NodeName, ShardName

MIN_IMPROVEMENT = 1e-9
"""A smaller reduction of the cost is a rounding error."""


class _CandidateMove(NamedTuple):
    """A single move, and the cost of the assignment that it leads to."""

    cost: float
    shard: ShardName
    target: NodeName


def assign(inputs: PlanInputs) -> Assignment:
    """Return an owner for every shard: the current one, unless a move lowers the cost.

    `inputs` must have at least one controller.
    """
    owners: dict[ShardName, NodeName] = {}
    unowned: list[ShardLoad] = []
    for shard in inputs.shards:
        eligible = inputs.eligible_owners(shard)
        if len(eligible) == 1:
            owners[shard.name] = eligible[0]
        elif shard.owner in eligible:
            owners[shard.name] = shard.owner
        else:
            unowned.append(shard)
    _assign_unowned(inputs, owners, unowned)
    while _make_best_move(inputs, owners):
        pass
    return owners


def _assign_unowned(
    inputs: PlanInputs, owners: dict[ShardName, NodeName], unowned: list[ShardLoad]
) -> None:
    """Assign shards by decreasing load, each to the controller that is least utilized with it."""
    capacity = {node.name: node.capacity for node in inputs.nodes}
    loads = dict.fromkeys(capacity, 0.0)
    for shard in inputs.shards:
        if shard.name in owners:
            loads[owners[shard.name]] += shard.load
    for shard in sorted(unowned, key=lambda shard: (-shard.load, shard.name)):
        chosen = min(capacity, key=lambda name: ((loads[name] + shard.load) / capacity[name], name))
        owners[shard.name] = chosen
        loads[chosen] += shard.load


def _make_best_move(inputs: PlanInputs, owners: dict[ShardName, NodeName]) -> bool:
    """Make the move of one shard off the most utilized controller that lowers the cost most.

    Return whether there was such a move.
    """
    utilizations = utilization(inputs, owners)
    most_utilized = max(utilizations, key=lambda name: (utilizations[name], name))
    current_cost = cost(inputs, owners)
    best: _CandidateMove | None = None
    for shard in inputs.shards:
        if owners[shard.name] != most_utilized:
            continue
        for target in inputs.eligible_owners(shard):
            new_cost = cost(inputs, {**owners, shard.name: target})
            if new_cost >= current_cost - MIN_IMPROVEMENT:
                continue
            if best is None or new_cost < best.cost:
                best = _CandidateMove(new_cost, shard.name, target)
    if best is None:
        return False
    owners[best.shard] = best.target
    return True
