"""Random inputs for the shard planner, which assigns shards to controllers."""

from __future__ import annotations

import random

from ryewing.sharding.load import NodeCapacity, PlanInputs, ShardLoad
from ryewing.units import MonotonicTime, NodeName, ShardName

NOW = MonotonicTime(1000.0)


def random_inputs(rng: random.Random, shards: int, nodes: int) -> PlanInputs:
    """Return shards with random load, owner, pin and last move, and nodes with random capacity."""
    names = [NodeName(f"n-{number}") for number in range(nodes)]
    return PlanInputs(
        [
            ShardLoad(
                ShardName(f"s-{number}"),
                rng.choice((0.0, 0.05, 0.1, 0.3)),
                rng.choice([*names, NodeName("gone"), None]),
                rng.choice([None, None, None, names[0]]),
                rng.choice([None, None, MonotonicTime(NOW - 10.0), MonotonicTime(NOW - 100.0)]),
            )
            for number in range(shards)
        ],
        [NodeCapacity(name, rng.choice((0.4, 0.8))) for name in names],
        NOW,
        60.0,
        rng.random() < 0.9,
    )
