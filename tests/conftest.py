"""Fixtures: a leader with fakes, and simulated clusters of three controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from support.clocks import TERM_PARTS, clock_of_cluster, divided_clusters, moved_by_hand
from support.harness import LeaderHarness
from support.simulated_cluster import SimulatedCluster


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[LeaderHarness]:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS)
    for module in ("plan_applier", "scheduler"):
        monkeypatch.setattr(f"ryewing.leader.{module}.wall_now", lambda: 0.0)
    leader_harness = LeaderHarness(clock)
    yield leader_harness
    if not leader_harness.may_reject:
        assert not leader_harness.store.rejected


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    return SimulatedCluster(clock_of_cluster(monkeypatch))


@pytest.fixture
def divided(monkeypatch: pytest.MonkeyPatch) -> Callable[..., SimulatedCluster]:
    return divided_clusters(monkeypatch)
