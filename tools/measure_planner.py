"""Compares the exact and the greedy assignment of shards to controllers, by cost and time.

PYTHONPATH=src:tests python3 tools/measure_planner.py
"""

from __future__ import annotations

import random
import time

from support.planner_inputs import random_inputs

from ryewing.sharding import exact, greedy
from ryewing.sharding.load import cost, moved_shards

CASES = 40
SIZES = ((6, 3), (12, 3), (24, 7), (60, 7))
SOLVER_LIMIT_S = 1.0


def main() -> None:
    """Print a comparison for each number of shards and controllers."""
    for shards, nodes in SIZES:
        costlier_cases = saved_moves = 0
        max_extra = max_solver_s = max_greedy_s = 0.0
        for seed in range(CASES):
            inputs = random_inputs(random.Random(seed), shards, nodes)
            started = time.perf_counter()
            by_greedy = greedy.assign(inputs)
            greedy_done = time.perf_counter()
            by_solver = exact.assign(inputs, SOLVER_LIMIT_S)
            max_solver_s = max(max_solver_s, time.perf_counter() - greedy_done)
            max_greedy_s = max(max_greedy_s, greedy_done - started)
            extra = cost(inputs, by_greedy) / cost(inputs, by_solver) - 1.0
            costlier_cases += extra > 1e-3
            max_extra = max(max_extra, extra)
            saved_moves += len(moved_shards(inputs, by_greedy)) - len(
                moved_shards(inputs, by_solver)
            )
        print(
            f"{shards} shards, {nodes} controllers: greedy costlier in {costlier_cases} of {CASES},"
            f" by at most {max_extra:.1%}, with {saved_moves} more moves in total;"
            f" solver at most {1000 * max_solver_s:.0f} ms, greedy {1000 * max_greedy_s:.1f} ms"
        )


if __name__ == "__main__":
    main()
