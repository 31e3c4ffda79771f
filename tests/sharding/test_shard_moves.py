"""Random moves of shards under random faults: no rule of the protocol may be broken.

CI simulates a hundred moves. More can be run by hand, which prints each seed with what it broke:

    PYTHONPATH=src:tests python3 tests/sharding/test_shard_moves.py 1000
"""

from __future__ import annotations

import random
import sys

import pytest
from support.clocks import divided_cluster_factory
from support.divided_fleet import (
    MakeCluster,
    add_machines,
    request_move,
    submit_random_jobs,
    violations_after_settling,
)
from support.fault_injector import FaultInjector
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

MOVES_PER_SEED = 5
SEEDS_IN_CI = 20


def simulate_moves(cluster: SimulatedCluster, seed: int, moves: int = MOVES_PER_SEED) -> int:
    """Move shards while faults are injected; return how many moves were begun."""
    rng = random.Random(seed)
    faults = FaultInjector(cluster, rng)
    add_machines(cluster, 9, with_gpus=6)
    cluster.run(12.0)
    begun = number = 0
    while begun < moves and number < 6 * moves:
        submit_random_jobs(cluster, rng, 10 * number, 1)
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        shard = rng.choice([str(name) for name in cluster.nodes[CONTROLLERS[0]].electors])
        if not cluster.store.down:
            begun += request_move(cluster, shard, rng.choice(CONTROLLERS))
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        faults.inject()
        cluster.run(rng.choice((0.25, 1.0, 4.0)))
        if rng.random() < 0.5:
            faults.heal()
        ask_about_some_jobs(cluster, rng)
        number += 1
    return begun


def ask_about_some_jobs(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let users ask every controller about some jobs."""
    for job in rng.sample(sorted(cluster.rules.accepted), min(3, len(cluster.rules.accepted))):
        cluster.poll_and_resubmit_everywhere(job)


@pytest.mark.parametrize("seed", range(SEEDS_IN_CI))
def test_no_rule_is_broken_by_moves_under_faults(divided: MakeCluster, seed: int) -> None:
    cluster = divided(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
    assert simulate_moves(cluster, seed) > 0
    assert violations_after_settling(cluster) == [], seed


def main() -> int:
    """Simulate as many moves as asked for, each seed on its own cluster; print what broke."""
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    begun, seed, failures = 0, 1000, 0
    while begun < wanted:
        with pytest.MonkeyPatch.context() as monkeypatch:
            make = divided_cluster_factory(monkeypatch)
            cluster = make(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
            begun += simulate_moves(cluster, seed)
            found = violations_after_settling(cluster)
        failures += bool(found)
        print(f"seed {seed}: {begun} moves so far{'; '.join(['', *found])}", flush=True)
        seed += 1
    print(f"{begun} moves, {failures} seeds with a broken rule")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
