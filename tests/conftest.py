"""Fixtures: a leader with fakes round it, and a cluster of three controllers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from cluster import Cluster
from fakes import Clock
from harness import LeaderHarness

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


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> Cluster:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS, "api", "node")
    for part in ("api", "placer"):
        monkeypatch.setattr(f"ryewing.{part}.wall_now", clock)
    monkeypatch.setattr("ryewing.leader.Leader.start", lambda leader: None)
    monkeypatch.setattr("gevent.sleep", lambda _seconds: None)
    return Cluster(clock)
