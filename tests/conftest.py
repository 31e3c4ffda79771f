"""The stage on which the leader's cases play."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from stage import Stage
from standins import Clock


@pytest.fixture
def stage(monkeypatch: pytest.MonkeyPatch) -> Iterator[Stage]:
    clock = Clock()
    for part in (
        "budget",
        "dispatch",
        "intake",
        "leader",
        "leadership",
        "placer",
        "renter",
        "term",
        "writer",
    ):
        monkeypatch.setattr(f"ryewing.{part}.steady_now", clock)
    monkeypatch.setattr("ryewing.placer.wall_now", lambda: 0.0)
    found = Stage(clock)
    yield found
    if not found.may_reject:
        assert not found.store.rejected
