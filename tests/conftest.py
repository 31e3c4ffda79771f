"""Fixtures: a leader with fakes round it, and a cluster of three controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
from cluster import Cluster
from fakes import RAW_SETTINGS, Clock
from harness import LeaderHarness

from ryewing.sharding.settings import by_zones

TERM_PARTS = (
    "budget",
    "dispatch",
    "intake",
    "leader",
    "leadership",
    "listing",
    "placer",
    "recovery",
    "renter",
    "term",
    "writer",
)


def moved_by_hand(monkeypatch: pytest.MonkeyPatch, *parts: str) -> Clock:
    """Give some parts of the service a steady clock that the test moves."""
    clock = Clock()
    for part in parts:
        monkeypatch.setattr(f"ryewing.{part}.steady_now", clock)
    return clock


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[LeaderHarness]:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS)
    monkeypatch.setattr("ryewing.placer.wall_now", lambda: 0.0)
    found = LeaderHarness(clock)
    yield found
    if not found.may_reject:
        assert not found.store.rejected


NODE_PARTS = ("api", "node", "candidacy")
SHARDING_PARTS = (
    "sharding.coordinator",
    "sharding.health",
    "sharding.owner_choice",
    "sharding.team_demand",
    "sharding.team_limits",
)


def _clock_of_cluster(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS, *NODE_PARTS, *SHARDING_PARTS)
    for part in ("api", "placer", "sharding.registry"):
        monkeypatch.setattr(f"ryewing.{part}.wall_now", clock)
    monkeypatch.setattr("ryewing.leader.Leader.start", lambda leader: None)
    monkeypatch.setattr("gevent.sleep", lambda _seconds: None)
    return clock


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> Cluster:
    return Cluster(_clock_of_cluster(monkeypatch))


def divided_clusters(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Cluster]:
    """Give what makes a cluster whose fleet is divided into shards of whole zones."""
    clock = _clock_of_cluster(monkeypatch)

    def make(count: int = 2, **settings: Any) -> Cluster:
        shards = by_zones(count, RAW_SETTINGS["params"]["zones"])
        return Cluster(clock, msgspec.structs.replace(shards, **settings))

    return make


@pytest.fixture
def divided(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Cluster]:
    return divided_clusters(monkeypatch)
