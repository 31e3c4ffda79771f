"""Starts a simulated cluster with several shards, moves shards, and checks the rules."""

from __future__ import annotations

import random
from collections.abc import Callable

from ryewing.sharding.ownership import MoveRefusedError, Ownership, Phase, begin_move
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry
from ryewing.units import NodeName, ShardName
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

SHARD_1, SHARD_2 = "shard-1", "shard-2"
"""With two shards, `SHARD_1` has zone a, and `SHARD_2` has zones b and c."""

MAX_WAIT_S = 90.0
"""Seconds that a job may wait despite idle machines, because gangs and small jobs take turns."""

MakeCluster = Callable[..., SimulatedCluster]


def start_divided_fleet(cluster: SimulatedCluster, machines: int = 6) -> None:
    """Add machines in all zones, and run for long enough that every shard gets an owner."""
    add_machines(cluster, machines)
    cluster.run(12.0)


def add_machines(cluster: SimulatedCluster, machines: int, with_gpus: int = 0) -> None:
    """Add machines, spread evenly over the zones; the last `with_gpus` ones have GPUs."""
    for number in range(machines + with_gpus):
        machine_type = "g4" if number >= machines else "c32"
        cluster.worker(f"i-{number:06d}", machine_type=machine_type, zone="abc"[number % 3])


def replace_lost_machines(cluster: SimulatedCluster, count: int) -> None:
    """Add machines under new names, as the cloud would, until there are `count`."""
    while len(cluster.workers) < count:
        number = cluster.machines_added
        cluster.worker(f"i-{number:06d}", machine_type=("c32", "g4")[number % 2])


def read_registry(cluster: SimulatedCluster) -> RegistrySnapshot:
    """Read the ownership records of all shards from the store, as the `shards` command does."""
    names = [shard for shard in cluster.nodes[CONTROLLERS[0]].electors if shard is not None]
    return ShardRegistry(cluster.store).read(names)  # type: ignore[arg-type]


def ownership_record(cluster: SimulatedCluster, shard: str) -> Ownership:
    """Return the ownership record of one shard."""
    record = read_registry(cluster).shards[ShardName(shard)].record
    assert record is not None
    return record


def request_move(cluster: SimulatedCluster, shard: str, target: str) -> bool:
    """Request the move of a shard, as the `shards` command does; return whether it was accepted."""
    snapshot = read_registry(cluster)
    registry = ShardRegistry(cluster.store)  # type: ignore[arg-type]
    try:
        applied = registry.apply_step(
            ShardName(shard),
            snapshot.shards[ShardName(shard)],
            lambda old: begin_move(old, NodeName(target), snapshot.healthy) if old else None,
        )
    except MoveRefusedError:
        return False
    return applied is not None


def all_shards_led(cluster: SimulatedCluster) -> bool:
    """Return whether each shard is led by the controller that its ownership record names."""
    return all(
        stored.record is not None
        and stored.record.phase is Phase.OWNED
        and cluster.leader(stored.record.owner, shard) is not None
        for shard, stored in read_registry(cluster).shards.items()
    )


def submit_random_jobs(
    cluster: SimulatedCluster, rng: random.Random, first: int, count: int
) -> None:
    """Submit random arrays and gangs; some need GPUs, whose team quota is eight."""
    for number in range(first, first + count):
        gang, gpus = rng.random() < 0.3, float(rng.random() < 0.4)
        status = cluster.submit(
            rng.choice(CONTROLLERS),
            f"run-{number}",
            shape="group" if gang else "batch",
            task_count=rng.randint(2, 4),
            cpus=rng.choice((2.0, 8.0)) if not gpus else 1.0,
            gpus=gpus,
        )
        assert status in (0, 201, 503)


def violations_after_settling(cluster: SimulatedCluster) -> list[str]:
    """End all faults; return all violations, among them a shard that no controller leads."""
    for name in [name for name, worker in cluster.workers.items() if worker.notice_s is not None]:
        del cluster.workers[name]  # the cloud reclaims the spot machines after their notice
    violations = cluster.violations_after_settling(MAX_WAIT_S)
    if not all_shards_led(cluster):
        violations.append(f"not owned: {read_registry(cluster).shards}")
    return violations
