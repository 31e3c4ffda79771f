"""Controllers that share a divided fleet: shards change hands while their jobs run."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from cluster import Cluster
from timed_workers import NAMES

from ryewing.sharding.ownership import MoveRefusedError, Ownership, Phase, begin_move
from ryewing.sharding.registry import Registration, ShardRegistry
from ryewing.units import NodeName, ShardName

EAST, WEST = "shard-1", "shard-2"

MakeCluster = Callable[..., Cluster]


def serving(cluster: Cluster, machines: int = 6) -> None:
    """Bring up machines in each zone, and owners for all shards."""
    for number in range(machines):
        cluster.worker(f"i-{number:06d}", zone="abc"[number % 3])
    cluster.run(12.0)


def ownership(cluster: Cluster) -> Registration:
    """Read the records as an operator does."""
    names = [shard for shard in cluster.nodes[NAMES[0]].candidacies if shard is not None]
    return ShardRegistry(cluster.store).read(names)  # type: ignore[arg-type]


def record_of(cluster: Cluster, shard: str) -> Ownership:
    record = ownership(cluster).shards[ShardName(shard)].record
    assert record is not None
    return record


def begin(cluster: Cluster, shard: str, target: str) -> bool:
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


def all_owned(cluster: Cluster) -> bool:
    """Tell whether each shard is led by the controller that its record names."""
    return all(
        seen.record is not None
        and seen.record.phase is Phase.OWNED
        and cluster.leader(seen.record.owner, shard) is not None
        for shard, seen in ownership(cluster).shards.items()
    )


def submit_some(cluster: Cluster, rng: random.Random, first: int, count: int) -> None:
    """Submit arrays and gangs at any controller."""
    for number in range(first, first + count):
        gang = rng.random() < 0.3
        status = cluster.submit(
            rng.choice(NAMES),
            f"run-{number}",
            shape="group" if gang else "batch",
            task_count=rng.randint(2, 4),
            cpus=rng.choice((2.0, 8.0)),
        )
        assert status in (0, 201, 503)


def test_two_shards_are_led_by_two_controllers(divided: MakeCluster) -> None:
    cluster = divided()
    serving(cluster)
    assert {cluster.leader_of(EAST), cluster.leader_of(WEST)} == {"n-0", "n-1"}
    submit_some(cluster, random.Random(1), 0, 12)
    cluster.run(10.0)
    assert {worker.zone for worker in cluster.workers.values() if worker.tasks} == {"a", "b", "c"}
    for worker in cluster.workers.values():
        cluster.end(worker)
    assert cluster.verdict() == []
    assert set(cluster.rules.final.values()) == {"done"}


@pytest.mark.parametrize(("shards", "seed"), [(2, 1), (2, 2), (3, 3), (3, 4)])
def test_moves_alone_stop_and_restart_nothing(divided: MakeCluster, shards: int, seed: int) -> None:
    """A hundred moves, at any time: while gangs gather, tasks end and jobs are submitted."""
    cluster = divided(shards, moves_allowed=False)
    rng = random.Random(seed)
    serving(cluster, 9)
    moved = 0
    for number in range(25):
        submit_some(cluster, rng, 10 * number, 2)
        cluster.run(rng.choice((0.25, 0.5, 1.0, 3.0)))
        shard = rng.choice([str(name) for name in ownership(cluster).shards])
        moved += begin(cluster, shard, rng.choice(NAMES))
        cluster.run(rng.choice((0.25, 1.0, 2.0)))
        if number % 3 == 0:
            cluster.end(rng.choice(list(cluster.workers.values())))
        while not all_owned(cluster):
            cluster.run(0.25)
    assert moved > 12
    for _ in range(30):
        cluster.run(4.0)
        for worker in cluster.workers.values():
            for key, found in list(worker.tasks.items()):
                if found.status == "running":
                    worker.end_task(key)
    assert cluster.verdict() == []
    assert set(cluster.rules.final.values()) == {"done"}
    assert set(cluster.rules.starts.values()) == {1}
    assert not cluster.rules.halted
    assert {worker.session for worker in cluster.workers.values()} == {1}
