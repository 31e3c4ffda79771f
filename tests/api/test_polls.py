"""What questions cost: users ask many times as often as before, at every controller."""

from __future__ import annotations

from typing import Any

import pytest
from support.simulated_cluster import FakePeer, SimulatedCluster
from support.timed_store import StoreLink
from support.timed_workers import CONTROLLERS

POLLS = 1000


class Costs:
    """Counts the requests to the store and the asks between controllers."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reads = self.asks = 0
        get, ask = StoreLink.get, FakePeer.request

        def counted_get(link: StoreLink, key: str) -> Any:
            self.reads += 1
            return get(link, key)

        def counted_ask(peer: FakePeer, what: Any, deadline_s: float) -> Any:
            self.asks += 1
            return ask(peer, what, deadline_s)

        monkeypatch.setattr(StoreLink, "get", counted_get)
        monkeypatch.setattr(FakePeer, "request", counted_ask)


def poll_all(cluster: SimulatedCluster, refs: list[str], node: str | None = None) -> None:
    """Ask as a thousand users do, at one controller or at all of them by turns."""
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


@pytest.mark.parametrize(("node", "asks"), [(CONTROLLERS[0], 0), (CONTROLLERS[1], POLLS)])
def test_live_jobs_are_told_from_the_leaders_memory(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch, node: str, asks: int
) -> None:
    """The leader asks nobody; another controller asks it, and never the store."""
    refs = jobs(cluster)
    costs = Costs(monkeypatch)
    poll_all(cluster, refs, node)
    assert (costs.reads, costs.asks) == (0, asks)


def test_jobs_that_have_ended_are_asked_for_once_at_each_controller(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    refs = jobs(cluster)
    for worker in cluster.workers.values():
        cluster.end(worker)
    cluster.run(4.0)
    costs = Costs(monkeypatch)
    poll_all(cluster, refs)
    assert costs.asks <= 2 * len(refs)
    assert costs.reads <= 2 * 2 * len(refs)
    assert set(cluster.rules.final_states.values()) == {"done"}


def test_reports_are_answered_between_polls(cluster: SimulatedCluster) -> None:
    """No question leaves anything behind that a heartbeat would have to wait for."""
    refs = jobs(cluster)
    worker = cluster.workers["i-000001"]
    poll_all(cluster, refs)
    status, answer = cluster.send_heartbeat(CONTROLLERS[0], worker.heartbeat())
    assert status == 200
    assert "orders" in answer
    assert all(not api._submits and not api._reads for api in cluster.apis.values())
