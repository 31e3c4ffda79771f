"""Common first steps of the scenarios that tests run on a simulated cluster.

A scenario is a function that applies a sequence of events to a cluster, and asserts the conditions
on which later events depend. The test that runs it checks the rules of the protocol at the end.
"""

from __future__ import annotations

from collections.abc import Callable

from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker

Scenario = Callable[[SimulatedCluster], None]


def start_leader(cluster: SimulatedCluster, machines: int = 1) -> TimedWorker:
    """Add machines and wait until n-0 leads; return the worker of the first machine."""
    for number in range(1, machines + 1):
        cluster.worker(f"i-{number:06d}")
    cluster.run(4.0)
    assert cluster.leader_name == CONTROLLERS[0]
    return cluster.workers["i-000001"]


def start_job(cluster: SimulatedCluster, ref: str = "run-1") -> TimedWorker:
    """Start a leader, and a job whose single task runs on a machine; return its worker."""
    worker = start_leader(cluster)
    cluster.submit(CONTROLLERS[0], ref)
    cluster.run(8.0)
    assert [task_id for task_id, _ in worker.tasks] == [f"{ref}/0"]
    return worker
