"""The stage on which the leader's cases play, and the cluster on which meetings of troubles do."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from cluster import Cluster
from stage import Stage
from standins import Clock

TERM_PARTS = (
    "budget",
    "dispatch",
    "intake",
    "leader",
    "leadership",
    "placer",
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
def stage(monkeypatch: pytest.MonkeyPatch) -> Iterator[Stage]:
    clock = moved_by_hand(monkeypatch, *TERM_PARTS)
    monkeypatch.setattr("ryewing.placer.wall_now", lambda: 0.0)
    found = Stage(clock)
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
