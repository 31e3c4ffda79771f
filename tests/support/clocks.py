"""Clocks that a test moves: each module that reads a clock gets one in place of its own.

The lists name the modules of `ryewing` that read a clock; a new one has to be added here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ryewing.sharding.settings import divide_by_zones
from support.fakes import RAW_SETTINGS, Clock
from support.simulated_cluster import SimulatedCluster

TERM_MODULES = (
    "clients.machine_listing",
    "clients.token_bucket",
    "election.campaign",
    "leader.autoscaler",
    "leader.cloud_inventory",
    "leader.machine_releaser",
    "leader.machine_type_refresher",
    "leader.rentals",
    "leader.direct_messages",
    "leader.heartbeats",
    "leader.job_eligibility",
    "leader.job_watcher",
    "leader.leader",
    "leader.lease_keeper",
    "leader.maintenance",
    "leader.recovery",
    "leader.scheduler",
    "leader.state_writer",
    "leader.term_context",
)
NODE_MODULES = (
    "api.submissions",
    "process.cancel_announcer",
    "process.image_locality_exchange",
    "process.leader_elector",
    "process.leader_load",
    "process.node",
)
SHARDING_MODULES = (
    "sharding.coordinator",
    "sharding.health",
    "sharding.owner_choice",
    "sharding.ownership_steps",
    "sharding.rebalancer",
    "sharding.team_demand",
    "sharding.team_limits",
)
WALL_CLOCK_MODULES = (
    "api.cancellation",
    "api.submissions",
    "leader.plan_applier",
    "leader.scheduler",
    "sharding.registry",
)


def replace_monotonic_clock(monkeypatch: pytest.MonkeyPatch, *parts: str) -> Clock:
    """Replace the monotonic clock of some modules by one that the test moves; return it."""
    clock = Clock()
    for part in parts:
        monkeypatch.setattr(f"ryewing.{part}.monotonic_now", clock)
    return clock


def replace_cluster_clocks(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace all clocks of several controllers by one; no loop of a leader starts by itself."""
    clock = replace_monotonic_clock(monkeypatch, *TERM_MODULES, *NODE_MODULES, *SHARDING_MODULES)
    for part in WALL_CLOCK_MODULES:
        monkeypatch.setattr(f"ryewing.{part}.wall_now", clock)
    monkeypatch.setattr("ryewing.leader.leader.Leader.start", lambda leader: None)
    monkeypatch.setattr("gevent.sleep", lambda _seconds: None)
    return clock


def divided_cluster_factory(monkeypatch: pytest.MonkeyPatch) -> Callable[..., SimulatedCluster]:
    """Return a function that makes a simulated cluster with a fleet divided by zones."""
    clock = replace_cluster_clocks(monkeypatch)

    def make(count: int = 2, **settings: Any) -> SimulatedCluster:
        shards = divide_by_zones(count, RAW_SETTINGS["params"]["zones"])
        return SimulatedCluster(clock, msgspec.structs.replace(shards, **settings))

    return make
