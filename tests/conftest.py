"""Fixtures: a leader with fakes, and simulated clusters of three controllers."""

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
    for module in ("plan_applier", "scheduler"):
        monkeypatch.setattr(f"ryewing.leader.{module}.wall_now", lambda: 0.0)
    leader_harness = LeaderHarness(clock)
    yield leader_harness
    if not leader_harness.may_reject:
        assert not leader_harness.store.rejected


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    return SimulatedCluster(replace_cluster_clocks(monkeypatch))


@pytest.fixture
def make_divided_cluster(monkeypatch: pytest.MonkeyPatch) -> Callable[..., SimulatedCluster]:
    return divided_cluster_factory(monkeypatch)
