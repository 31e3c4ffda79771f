"""Fixtures: one leader over fakes, and simulated clusters of three controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from support.clocks import (
    TERM_MODULES,
    divided_cluster_factory,
    replace_cluster_clocks,
    replace_monotonic_clock,
)
from support.harness import LeaderHarness
from support.simulated_cluster import SimulatedCluster


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[LeaderHarness]:
    clock = replace_monotonic_clock(monkeypatch, *TERM_MODULES)
    for part in ("plan_applier", "scheduler"):
        monkeypatch.setattr(f"ryewing.leader.{part}.wall_now", lambda: 0.0)
    found = LeaderHarness(clock)
    yield found
    if not found.may_reject:
        assert not found.store.rejected


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    return SimulatedCluster(replace_cluster_clocks(monkeypatch))


@pytest.fixture
def divided(monkeypatch: pytest.MonkeyPatch) -> Callable[..., SimulatedCluster]:
    return divided_cluster_factory(monkeypatch)
