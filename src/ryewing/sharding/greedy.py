"""Owners without a solver: what nobody owns goes to the emptiest, then single moves that pay."""

from __future__ import annotations

from ryewing.sharding.load import Assignment, PlanInputs, ShardLoad, cost, fullness
from ryewing.units import NodeName, ShardName

IMPROVEMENT_MIN = 1e-9


def assign(inputs: PlanInputs) -> Assignment:
    """Assign every shard; the present owners are kept unless a move pays."""
    owners: dict[ShardName, NodeName] = {}
    homeless: list[ShardLoad] = []
    for shard in inputs.shards:
        choices = inputs.choices(shard)
        if len(choices) == 1:
            owners[shard.name] = choices[0]
        elif shard.owner in choices:
            owners[shard.name] = shard.owner
        else:
            homeless.append(shard)
    _place(inputs, owners, homeless)
    while _move_one(inputs, owners):
        pass
    return owners


def _place(
    inputs: PlanInputs, owners: dict[ShardName, NodeName], homeless: list[ShardLoad]
) -> None:
    """Give the largest first to whoever is emptiest with it."""
    room = {node.name: node.room for node in inputs.nodes}
    loads = dict.fromkeys(room, 0.0)
    for shard in inputs.shards:
        if shard.name in owners:
            loads[owners[shard.name]] += shard.load
    for shard in sorted(homeless, key=lambda shard: (-shard.load, shard.name)):
        chosen = min(room, key=lambda name: ((loads[name] + shard.load) / room[name], name))
        owners[shard.name] = chosen
        loads[chosen] += shard.load


def _move_one(inputs: PlanInputs, owners: dict[ShardName, NodeName]) -> bool:
    """Make the single move off the fullest controller that saves most, if any does."""
    full = fullness(inputs, owners)
    fullest = max(full, key=lambda name: (full[name], name))
    present = cost(inputs, owners)
    best: tuple[float, ShardName, NodeName] | None = None
    for shard in inputs.shards:
        if owners[shard.name] != fullest:
            continue
        for target in inputs.choices(shard):
            found = cost(inputs, {**owners, shard.name: target})
            if found < present - IMPROVEMENT_MIN and (best is None or found < best[0]):
                best = found, shard.name, target
    if best is None:
        return False
    owners[best[1]] = best[2]
    return True
