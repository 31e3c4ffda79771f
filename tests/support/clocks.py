"""The parts of the service whose clocks a test moves by hand."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ryewing.sharding.settings import by_zones
from support.cluster import Cluster
from support.fakes import RAW_SETTINGS, Clock

TERM_PARTS = (
    "clients.machine_listing",
    "clients.token_bucket",
    "election.leadership",
    "leader.autoscaler",
    "leader.job_eligibility",
    "leader.job_watcher",
    "leader.leader",
    "leader.recovery",
    "leader.scheduler",
    "leader.state_writer",
    "leader.term_context",
    "leader.worker_commands",
)
NODE_PARTS = ("api.api", "process.leader_elector", "process.node")
SHARDING_PARTS = (
    "sharding.coordinator",
    "sharding.health",
    "sharding.owner_choice",
    "sharding.team_demand",
    "sharding.team_limits",
)
WALL_CLOCK_PARTS = (
    "api.api",
    "leader.plan_applier",
    "leader.scheduler",
    "sharding.registry",
)


def moved_by_hand(monkeypatch: pytest.MonkeyPatch, *parts: str) -> Clock:
    """Give some parts of the service a monotonic clock that the test moves."""
    clock = Clock()
    for part in parts:
        monkeypatch.setattr(f"ryewing.{part}.monotonic_now", clock)
    return clock


def clock_of_cluster(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Give all parts of several controllers one clock; no loop runs by itself."""
    clock = moved_by_hand(monkeypatch, *TERM_PARTS, *NODE_PARTS, *SHARDING_PARTS)
    for part in WALL_CLOCK_PARTS:
        monkeypatch.setattr(f"ryewing.{part}.wall_now", clock)
    monkeypatch.setattr("ryewing.leader.leader.Leader.start", lambda leader: None)
    monkeypatch.setattr("gevent.sleep", lambda _seconds: None)
    return clock


def divided_clusters(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Cluster]:
    """Give what makes a cluster whose fleet is divided into shards of whole zones."""
    clock = clock_of_cluster(monkeypatch)

    def make(count: int = 2, **settings: Any) -> Cluster:
        shards = by_zones(count, RAW_SETTINGS["params"]["zones"])
        return Cluster(clock, msgspec.structs.replace(shards, **settings))

    return make
