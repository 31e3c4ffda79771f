"""What polls cost: users poll many times as often as before, at every controller."""

from __future__ import annotations

from typing import Any

import pytest
from support.simulated_cluster import FakePeer, SimulatedCluster
from support.timed_store import StoreLink
from support.timed_workers import CONTROLLERS

POLLS = 1000


class Costs:
    """Counts the reads of the store and the requests between controllers."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reads = self.peer_requests = 0
        get, request = StoreLink.get, FakePeer.request

        def counted_get(link: StoreLink, key: str) -> Any:
            self.reads += 1
            return get(link, key)

        def counted_request(peer: FakePeer, message: Any, deadline_s: float) -> Any:
            self.peer_requests += 1
            return request(peer, message, deadline_s)

        monkeypatch.setattr(StoreLink, "get", counted_get)
        monkeypatch.setattr(FakePeer, "request", counted_request)


def poll_all(cluster: SimulatedCluster, refs: list[str], node: str | None = None) -> None:
    """Poll as a thousand users do, at one controller or at all of them in turn."""
    for number in range(POLLS):
        status = cluster.poll(
            node or CONTROLLERS[number % len(CONTROLLERS)], refs[number % len(refs)]
        )
        assert status == 200


def jobs(cluster: SimulatedCluster) -> list[str]:
    """Bring up a leader with ten jobs that run."""
    for number in range(1, 4):
        cluster.worker(f"i-{number:06d}")
    cluster.run(4.0)
    refs = [f"run-{number}" for number in range(1, 11)]
    for ref in refs:
        assert cluster.submit(CONTROLLERS[0], ref) == 201
    cluster.run(8.0)
    assert cluster.leader_name == CONTROLLERS[0]
    return refs


@pytest.mark.parametrize(("node", "peer_requests"), [(CONTROLLERS[0], 0), (CONTROLLERS[1], POLLS)])
def test_the_status_of_live_jobs_is_in_the_leaders_memory(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch, node: str, peer_requests: int
) -> None:
    """The leader asks nobody; another controller asks the leader, and never the store."""
    refs = jobs(cluster)
    costs = Costs(monkeypatch)
    poll_all(cluster, refs, node)
    assert (costs.reads, costs.peer_requests) == (0, peer_requests)


def test_jobs_that_have_ended_are_looked_up_once_at_each_controller(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    refs = jobs(cluster)
    for worker in cluster.workers.values():
        cluster.finish_tasks(worker)
    cluster.run(4.0)
    costs = Costs(monkeypatch)
    poll_all(cluster, refs)
    assert costs.peer_requests <= 2 * len(refs)
    assert costs.reads <= 2 * 2 * len(refs)
    assert set(cluster.rules.final_states.values()) == {"done"}


def test_heartbeats_are_answered_between_polls(cluster: SimulatedCluster) -> None:
    """No poll leaves anything behind that a heartbeat would have to wait for."""
    refs = jobs(cluster)
    worker = cluster.workers["i-000001"]
    poll_all(cluster, refs)
    status, answer = cluster.send_heartbeat(CONTROLLERS[0], worker.heartbeat())
    assert status == 200
    assert "orders" in answer
    assert all(
        not api.submissions.in_flight and not api.store_access.reads_in_flight
        for api in cluster.apis.values()
    )
