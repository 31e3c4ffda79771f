"""A simulated cluster with a fleet of several shards: its start, moves of shards, the verdict."""

from __future__ import annotations

import random
from collections.abc import Callable

from ryewing.sharding.ownership import MoveRefusedError, Ownership, Phase, begin_move
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry
from ryewing.units import NodeName, ShardName
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

SHARD_1, SHARD_2 = "shard-1", "shard-2"
"""Zone a, and zones b and c."""

PATIENCE_S = 90.0
"""Seconds that a job may wait beside room, by the users' rule: gangs and small jobs take turns."""

MakeCluster = Callable[..., SimulatedCluster]


def start_divided_fleet(cluster: SimulatedCluster, machines: int = 6) -> None:
    """Add machines in each zone, and run until all shards have owners."""
    add_machines(cluster, machines)
    cluster.run(12.0)


def add_machines(cluster: SimulatedCluster, machines: int, with_gpus: int = 0) -> None:
    """Add machines, one zone after the other; the last ones have GPUs."""
    for number in range(machines + with_gpus):
        kind = "g4" if number >= machines else "c32"
        cluster.worker(f"i-{number:06d}", machine_type=kind, zone="abc"[number % 3])


def read_registry(cluster: SimulatedCluster) -> RegistrySnapshot:
    """Read the ownership records of all shards, as an operator does."""
    names = [shard for shard in cluster.nodes[CONTROLLERS[0]].electors if shard is not None]
    return ShardRegistry(cluster.store).read(names)  # type: ignore[arg-type]


def ownership_record(cluster: SimulatedCluster, shard: str) -> Ownership:
    """Return the ownership record of one shard."""
    record = read_registry(cluster).shards[ShardName(shard)].record
    assert record is not None
    return record


def request_move(cluster: SimulatedCluster, shard: str, target: str) -> bool:
    """Ask for the move of a shard; return False if it is refused."""
    found = read_registry(cluster)
    registry = ShardRegistry(cluster.store)  # type: ignore[arg-type]
    try:
        taken = registry.apply_step(
            ShardName(shard),
            found.shards[ShardName(shard)],
            lambda old: begin_move(old, NodeName(target), found.healthy) if old else None,
        )
    except MoveRefusedError:
        return False
    return taken is not None


def all_shards_led(cluster: SimulatedCluster) -> bool:
    """Return whether each shard is led by the controller that its ownership record names."""
    return all(
        seen.record is not None
        and seen.record.phase is Phase.OWNED
        and cluster.leader(seen.record.owner, shard) is not None
        for shard, seen in read_registry(cluster).shards.items()
    )


def submit_random_jobs(
    cluster: SimulatedCluster, rng: random.Random, first: int, count: int
) -> None:
    """Submit random arrays and gangs; some need GPUs, of which their team may use eight."""
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
    """End all faults; return the broken rules, and the ownerships if a shard is not led."""
    for name in [name for name, worker in cluster.workers.items() if worker.notice_s is not None]:
        del cluster.workers[name]  # the cloud takes what it has announced
    found = cluster.violations_after_settling(PATIENCE_S)
    if not all_shards_led(cluster):
        found.append(f"not owned: {read_registry(cluster).shards}")
    return found
