"""Begins the moves that even out the shards among the controllers.

One controller at a time does so, the healthy one whose name is lowest. Two that disagree on who is
healthy may both begin moves: each is one conditional write, so a shard moves one way only.
"""

from __future__ import annotations

import logging

from ryewing.sharding.owner_choice import OwnerChoice
from ryewing.sharding.ownership import MoveRefusedError, begin_move
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry
from ryewing.sharding.shard_electors import ShardElectors
from ryewing.units import MonotonicTime, NodeName, monotonic_now

# Operators know `move-refused` as a line of the coordinator (docs/operations.md).
log = logging.getLogger(__name__)

PLAN_EVERY_S = 5.0


class Rebalancer:
    """Plans at most one move every PLAN_EVERY_S; called by the coordinator's greenlet alone."""

    def __init__(
        self,
        node: NodeName,
        registry: ShardRegistry,
        choice: OwnerChoice,
        electors: ShardElectors,
    ) -> None:
        self._node = node
        self._registry = registry
        self._choice = choice
        self._electors = electors
        self.planned_at: MonotonicTime = monotonic_now()
        """When a move was last looked for."""

    def begin_move_if_due(self, registration: RegistrySnapshot) -> None:
        """Begin the move that evens out the shards most, if it is this controller's turn to plan.

        Raises StoreUnavailableError if the store does not answer.
        """
        now = monotonic_now()
        if self._node != min(registration.healthy) or now - self.planned_at < PLAN_EVERY_S:
            return
        self.planned_at = now
        move = self._choice.move(registration)
        if move is None:
            return
        try:
            begun = self._registry.advance(
                move.shard,
                registration.shards[move.shard],
                lambda old: begin_move(old, move.target, registration.healthy),
            )
        except MoveRefusedError as error:
            log.info("event=move-refused shard=%s reason=%r", move.shard, str(error))
            return
        if begun is not None:
            self._electors.set_ownership(move.shard, begun)
