"""Random moves of shards under random faults: no rule of the protocol may be broken.

CI simulates a hundred moves. This command simulates more, and prints the broken rules per seed:

    PYTHONHASHSEED=0 PYTHONPATH=src:tests python3 tests/sharding/test_shard_moves.py 1000
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
    """Move shards while faults are injected; return how many moves were started."""
    rng = random.Random(seed)
    faults = FaultInjector(cluster, rng)
    add_machines(cluster, 9, with_gpus=6)
    cluster.run(12.0)
    started = number = 0
    while started < moves and number < 6 * moves:
        submit_random_jobs(cluster, rng, 10 * number, 1)
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        shard = rng.choice([str(name) for name in cluster.nodes[CONTROLLERS[0]].electors])
        if not cluster.store.down:
            started += request_move(cluster, shard, rng.choice(CONTROLLERS))
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        faults.inject()
        cluster.run(rng.choice((0.25, 1.0, 4.0)))
        if rng.random() < 0.5:
            faults.heal()
        query_random_jobs(cluster, rng)
        number += 1
    return started


def query_random_jobs(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Query every controller for the status of some jobs, as users do."""
    for job in rng.sample(sorted(cluster.rules.accepted), min(3, len(cluster.rules.accepted))):
        cluster.poll_and_resubmit_everywhere(job)


@pytest.mark.parametrize("seed", range(SEEDS_IN_CI))
def test_moves_under_faults_break_no_rule(make_divided_cluster: MakeCluster, seed: int) -> None:
    cluster = make_divided_cluster(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
    assert simulate_moves(cluster, seed) > 0
    assert violations_after_settling(cluster) == [], seed


def main() -> int:
    """Simulate the requested number of moves, each seed on its own cluster; print broken rules."""
    requested_moves = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    started, seed, failures = 0, 1000, 0
    while started < requested_moves:
        with pytest.MonkeyPatch.context() as monkeypatch:
            make_cluster = divided_cluster_factory(monkeypatch)
            cluster = make_cluster(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
            started += simulate_moves(cluster, seed)
            violations = violations_after_settling(cluster)
        failures += bool(violations)
        print(f"seed {seed}: {started} moves so far{'; '.join(['', *violations])}", flush=True)
        seed += 1
    print(f"{started} moves, {failures} seeds with a broken rule")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
