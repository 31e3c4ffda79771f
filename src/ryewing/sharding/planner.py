"""Who should own which shard: by the solver if it is there and in time, else greedily.

Pure but for the solver's time limit. No assignment is taken that costs as much as the present one:
without that, two that are equally good would follow each other for ever.
"""

from __future__ import annotations

import importlib
import logging

from ryewing.sharding import greedy
from ryewing.sharding.load import Assignment, PlanInputs, cost, moves
from ryewing.units import ShardName

log = logging.getLogger(__name__)

SOLVER_S = 1.0
"""What the solver may take; a plan is made every few seconds at the most."""


class NoControllerError(Exception):
    """There is no healthy controller to own anything."""


def plan(inputs: PlanInputs, limit_s: float = SOLVER_S) -> Assignment:
    """Choose an owner for every shard."""
    if not inputs.nodes:
        raise NoControllerError
    by_hand = greedy.assign(inputs)
    try:
        exact = importlib.import_module("ryewing.sharding.exact")
        solved: Assignment = exact.assign(inputs, limit_s)
    except ImportError:
        return by_hand
    except exact.NoSolutionError as error:
        log.warning("event=no-solution error=%s", error)
        return by_hand
    return solved if cost(inputs, solved) < cost(inputs, by_hand) else by_hand


def next_move(inputs: PlanInputs, owners: Assignment) -> ShardName | None:
    """Name the shard to move first, one at a time: the heaviest, whose move changes most."""
    wanted = set(moves(inputs, owners))
    shards = [shard for shard in inputs.shards if shard.name in wanted]
    return max(shards, key=lambda shard: (shard.load, shard.name)).name if shards else None
