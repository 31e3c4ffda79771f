"""Builds and runs a controller of a divided fleet."""

from __future__ import annotations

import gevent

from ryewing.config.policy import Policy
from ryewing.config.settings import Settings
from ryewing.process.node import Node
from ryewing.sharding.coordinator import Coordinator
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.health import ControllerHealth
from ryewing.sharding.settings import ShardSettings, known_nodes
from ryewing.units import ShardName


def build_node(settings: Settings, policy: Policy, shards: ShardSettings) -> Node:
    """Return a controller that may lead any shard."""
    return Node(settings, policy, ShardDivision(shards))


def build_coordinator(node: Node, shards: ShardSettings) -> Coordinator:
    """Return the loop that decides which shards a controller leads."""
    division = node.division
    if not isinstance(division, ShardDivision):
        raise TypeError("the controller's fleet is not divided")
    health = ControllerHealth(
        node.store, node.name, node.identity.boot_id, node.policy.store_lease_s
    )
    electors = {
        ShardName(shard): elector for shard, elector in node.electors.items() if shard is not None
    }
    return Coordinator(
        node.name, known_nodes(node.settings), shards, division, node.store, health, electors
    )


def serve(settings: Settings, policy: Policy, shards: ShardSettings) -> None:
    """Run a controller of a divided fleet, its coordinator in a greenlet, until it is killed."""
    node = build_node(settings, policy, shards)
    gevent.spawn(build_coordinator(node, shards).run)
    node.serve()
