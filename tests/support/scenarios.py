"""Scenarios: courses of events over a cluster, and how one is brought up."""

from __future__ import annotations

from collections.abc import Callable

from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker

Scenario = Callable[[SimulatedCluster], None]


def serving(cluster: SimulatedCluster, machines: int = 1) -> TimedWorker:
    """Bring up a leader and machines that may be given work."""
    for number in range(1, machines + 1):
        cluster.worker(f"i-{number:06d}")
    cluster.run(4.0)
    assert cluster.leader_name == CONTROLLERS[0]
    return cluster.workers["i-000001"]


def running(cluster: SimulatedCluster, ref: str = "run-1") -> TimedWorker:
    """Bring up a leader, and a job that runs on a machine."""
    worker = serving(cluster)
    cluster.submit(CONTROLLERS[0], ref)
    cluster.run(8.0)
    assert [reported for reported, _ in worker.tasks] == [f"{ref}/0"]
    return worker
