"""Begins the moves that balance the shards among the controllers.

Only the healthy controller with the lowest name plans moves. Two controllers that disagree on which
are healthy may both begin moves. This is safe because each move begins with one conditional write,
so a shard moves to one target only.
"""

from __future__ import annotations

import logging

from ryewing.sharding.owner_choice import OwnerSelector
from ryewing.sharding.ownership import MoveRefusedError, begin_move
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry
from ryewing.sharding.shard_electors import ShardElectors
from ryewing.units import MonotonicTime, NodeName, monotonic_now

# docs/operations.md lists `move-refused` as an event of the coordinator.
log = logging.getLogger(__name__)

PLAN_INTERVAL_S = 5.0


class Rebalancer:
    """Plans at most one move every PLAN_INTERVAL_S; only the coordinator's greenlet calls it."""

    def __init__(
        self,
        node: NodeName,
        registry: ShardRegistry,
        selector: OwnerSelector,
        electors: ShardElectors,
    ) -> None:
        self._node = node
        self._registry = registry
        self._selector = selector
        self._electors = electors
        self.planned_at: MonotonicTime = monotonic_now()
        """When a move was last planned, whether or not one was found."""

    def begin_move_if_due(self, snapshot: RegistrySnapshot) -> None:
        """Begin the move that balances the shards best, if this controller plans and a plan is due.

        Raises StoreUnavailableError if the store does not answer.
        """
        now = monotonic_now()
        if self._node != min(snapshot.healthy) or now - self.planned_at < PLAN_INTERVAL_S:
            return
        self.planned_at = now
        move = self._selector.choose_move(snapshot)
        if move is None:
            return
        try:
            begun = self._registry.apply_step_to_existing(
                move.shard,
                snapshot.shards[move.shard],
                lambda old: begin_move(old, move.target, snapshot.healthy),
            )
        except MoveRefusedError as error:
            log.info("event=move-refused shard=%s reason=%r", move.shard, str(error))
            return
        if begun is not None:
            self._electors.set_ownership(move.shard, begun)
