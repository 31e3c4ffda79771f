"""Fixtures: one leader over fakes, and simulated clusters of three controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from support.clocks import TERM_PARTS, clock_of_cluster, divided_clusters, moved_by_hand
from support.harness import LeaderHarness
from support.simulated_cluster import SimulatedCluster


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[LeaderHarness]:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS)
    for part in ("plan_applier", "scheduler"):
        monkeypatch.setattr(f"ryewing.leader.{part}.wall_now", lambda: 0.0)
    found = LeaderHarness(clock)
    yield found
    if not found.may_reject:
        assert not found.store.rejected


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    return SimulatedCluster(clock_of_cluster(monkeypatch))


@pytest.fixture
def divided(monkeypatch: pytest.MonkeyPatch) -> Callable[..., SimulatedCluster]:
    return divided_clusters(monkeypatch)
