"""Measures the planner of shards: the solver against the greedy way, by cost and time.

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
LIMIT_S = 1.0


def main() -> None:
    """Print a line for each number of shards and controllers."""
    for shards, nodes in SIZES:
        worse = saved_moves = 0
        extra = slowest = greedy_s = 0.0
        for seed in range(CASES):
            inputs = random_inputs(random.Random(seed), shards, nodes)
            began = time.perf_counter()
            by_hand = greedy.assign(inputs)
            between = time.perf_counter()
            solved = exact.assign(inputs, LIMIT_S)
            slowest = max(slowest, time.perf_counter() - between)
            greedy_s = max(greedy_s, between - began)
            gap = cost(inputs, by_hand) / cost(inputs, solved) - 1.0
            worse += gap > 1e-3
            extra = max(extra, gap)
            saved_moves += len(moved_shards(inputs, by_hand)) - len(moved_shards(inputs, solved))
        print(
            f"{shards} shards, {nodes} controllers: greedy dearer in {worse} of {CASES},"
            f" by {extra:.1%} at the most, {saved_moves} more moves in all;"
            f" solver at most {1000 * slowest:.0f} ms, greedy {1000 * greedy_s:.1f} ms"
        )


if __name__ == "__main__":
    main()
