"""Assigns shards to controllers by a mixed-integer program, solved by HiGHS within a time limit.

Controllers do not use this module; they plan greedily (`greedy`). It is used by `planner.plan` and
tools/measure_planner.py, and needs requirements-sharding.txt.

The model has a binary variable for each pair of a shard and a controller that may own it. Another
variable is an upper bound of all controllers' utilizations, and a last one is its excess over 1.
"""

from __future__ import annotations

import highspy

from ryewing.sharding.errors import ShardingError
from ryewing.sharding.load import (
    MOVE_COST,
    OVERLOAD_COST,
    PEAK_COST,
    Assignment,
    PlanInputs,
    ShardLoad,
)


class NoSolutionError(ShardingError):
    """The solver found no assignment within its time limit; the message is the solver's status."""


def assign(inputs: PlanInputs, limit_s: float) -> Assignment:
    """Return the cheapest assignment that is found within `limit_s` seconds.

    Raises NoSolutionError if none is found. `inputs` must have at least one controller.
    """
    model = highspy.Highs()
    model.setOptionValue("output_flag", False)
    model.setOptionValue("time_limit", limit_s)
    model.setOptionValue("random_seed", 0)
    peak = model.addVariable(lb=0.0, obj=PEAK_COST)
    overload = model.addVariable(lb=0.0, obj=OVERLOAD_COST)
    model.addConstr(overload >= peak - 1.0)
    ownership_vars = {
        (shard.name, node): model.addBinary(obj=_move_cost(shard, node))
        for shard in inputs.shards
        for node in inputs.eligible_owners(shard)
    }
    for shard in inputs.shards:
        model.addConstr(
            sum(ownership_vars[shard.name, node] for node in inputs.eligible_owners(shard)) == 1
        )
    for controller in inputs.nodes:
        terms = [
            (shard.load / controller.capacity) * ownership_vars[shard.name, controller.name]
            for shard in inputs.shards
            if (shard.name, controller.name) in ownership_vars
        ]
        if terms:
            model.addConstr(sum(terms) <= peak)
    model.minimize()
    if model.getInfo().primal_solution_status != highspy.SolutionStatus.kSolutionStatusFeasible:
        raise NoSolutionError(model.modelStatusToString(model.getModelStatus()))
    values = model.getSolution().col_value
    return {
        shard.name: max(
            inputs.eligible_owners(shard),
            key=lambda node: values[ownership_vars[shard.name, node].index],
        )
        for shard in inputs.shards
    }


def _move_cost(shard: ShardLoad, node: str) -> float:
    return MOVE_COST if shard.owner is not None and node != shard.owner else 0.0
