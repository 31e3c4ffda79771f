"""Which controller should own which shard, by the solver if it is installed, else greedily.

Controllers call `next_move` alone, with a greedy assignment (`owner_choice`); no controller calls
`plan`, which tests call. No assignment is preferred that costs as much as the present one: without
that, two that are equally good would follow each other for ever.
"""

from __future__ import annotations

import importlib
import logging

from ryewing.sharding import greedy
from ryewing.sharding.errors import ShardingError
from ryewing.sharding.load import Assignment, PlanInputs, cost, moved_shards
from ryewing.units import ShardName

log = logging.getLogger(__name__)

SOLVER_S = 1.0
"""How long the solver may run."""


class NoControllerError(ShardingError):
    """There is no healthy controller to own anything."""


def plan(inputs: PlanInputs, limit_s: float = SOLVER_S) -> Assignment:
    """Return an owner for every shard; raise NoControllerError if there is no controller.

    The solver may run for `limit_s` seconds.
    """
    if not inputs.nodes:
        raise NoControllerError(f"no healthy controller for {len(inputs.shards)} shards")
    greedy_plan = greedy.assign(inputs)
    try:
        exact = importlib.import_module("ryewing.sharding.exact")
        solved: Assignment = exact.assign(inputs, limit_s)
    except ImportError:
        return greedy_plan
    except exact.NoSolutionError as error:
        log.warning("event=no-solution error=%s", error)
        return greedy_plan
    return solved if cost(inputs, solved) < cost(inputs, greedy_plan) else greedy_plan


def next_move(inputs: PlanInputs, owners: Assignment) -> ShardName | None:
    """Return the shard to move first: the one of the highest load; None if none has to move."""
    moving = set(moved_shards(inputs, owners))
    shards = [shard for shard in inputs.shards if shard.name in moving]
    return max(shards, key=lambda shard: (shard.load, shard.name)).name if shards else None
