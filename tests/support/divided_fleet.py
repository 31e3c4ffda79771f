"""A divided fleet in the played cluster: bringing it up, moving shards, judging the outcome."""

from __future__ import annotations

import random
from collections.abc import Callable

from ryewing.sharding.ownership import MoveRefusedError, Ownership, Phase, begin_move
from ryewing.sharding.registry import Registration, ShardRegistry
from ryewing.units import NodeName, ShardName
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

EAST, WEST = "shard-1", "shard-2"
"""Zone a, and zones b and c."""

PATIENCE_S = 90.0
"""How long a job may wait beside room, by the users' rule: room is kept for gangs by turns."""

MakeCluster = Callable[..., SimulatedCluster]


def serving(cluster: SimulatedCluster, machines: int = 6) -> None:
    """Bring up machines in each zone, and owners for all shards."""
    bring_up(cluster, machines)
    cluster.run(12.0)


def bring_up(cluster: SimulatedCluster, machines: int, with_gpus: int = 0) -> None:
    """Bring up machines in each zone by turns."""
    for number in range(machines + with_gpus):
        kind = "g4" if number >= machines else "c32"
        cluster.worker(f"i-{number:06d}", machine_type=kind, zone="abc"[number % 3])


def ownership(cluster: SimulatedCluster) -> Registration:
    """Read the records as an operator does."""
    names = [shard for shard in cluster.nodes[CONTROLLERS[0]].electors if shard is not None]
    return ShardRegistry(cluster.store).read(names)  # type: ignore[arg-type]


def record_of(cluster: SimulatedCluster, shard: str) -> Ownership:
    record = ownership(cluster).shards[ShardName(shard)].record
    assert record is not None
    return record


def begin(cluster: SimulatedCluster, shard: str, target: str) -> bool:
    """Ask for a move; False if it is refused."""
    found = ownership(cluster)
    registry = ShardRegistry(cluster.store)  # type: ignore[arg-type]
    try:
        taken = registry.take(
            ShardName(shard),
            found.shards[ShardName(shard)],
            lambda old: begin_move(old, NodeName(target), found.healthy) if old else None,
        )
    except MoveRefusedError:
        return False
    return taken is not None


def all_owned(cluster: SimulatedCluster) -> bool:
    """Tell whether each shard is led by the controller that its record names."""
    return all(
        seen.record is not None
        and seen.record.phase is Phase.OWNED
        and cluster.leader(seen.record.owner, shard) is not None
        for shard, seen in ownership(cluster).shards.items()
    )


def submit_some(cluster: SimulatedCluster, rng: random.Random, first: int, count: int) -> None:
    """Submit arrays and gangs at any controller; some want GPUs, of which their team has eight."""
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


def broken(cluster: SimulatedCluster) -> list[str]:
    """Say which rules were broken once troubles are over, and which shards nobody owns."""
    for name in [name for name, worker in cluster.workers.items() if worker.notice_s is not None]:
        del cluster.workers[name]  # the cloud takes what it has announced
    found = cluster.verdict(PATIENCE_S)
    if not all_owned(cluster):
        found.append(f"not owned: {ownership(cluster).shards}")
    return found
