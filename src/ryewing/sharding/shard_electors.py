"""The shards' electors at one controller, and what each may do by its shard's ownership record.

An elector follows one shard's lease and campaigns for it; the records say whether it may, and
whether a leader here may start tasks and rent machines or is sealed. Safety rests on lease and term
alone (docs/design.md, argument 15), so an old record costs time only.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from functools import partial

from ryewing.leader.leader import Leader
from ryewing.process.leader_elector import LeaderElector
from ryewing.sharding.ownership import Ownership, Phase
from ryewing.sharding.team_limits import ShardTeamLimits
from ryewing.units import NodeName, ShardName

# Operators know `sealed` and `unsealed` as lines of the coordinator (docs/operations.md).
log = logging.getLogger(__name__)


class ShardElectors:
    """The electors of one controller with the newest known ownership record of each shard.

    The coordinator's greenlet sets the records; each elector's own greenlet reads them.
    """

    def __init__(self, node: NodeName, electors: Mapping[ShardName, LeaderElector]) -> None:
        self._node = node
        self._electors = electors
        self._ownership: dict[ShardName, Ownership] = {}
        for name, elector in electors.items():
            elector.eligible = partial(self._eligible, name)
            elector.on_elected = partial(self._on_elected, name)

    def names(self) -> list[ShardName]:
        """List the shards, in the order of the settings."""
        return list(self._electors)

    def leader_of(self, name: ShardName) -> Leader | None:
        """Return this controller's leader of a shard, or None while it does not lead there."""
        return self._electors[name].leader

    def is_abstaining(self, name: ShardName) -> bool:
        """Return whether this controller leaves a shard's lease to others since it resigned."""
        return self._electors[name].is_abstaining()

    def set_ownership(self, name: ShardName, ownership: Ownership) -> None:
        """Set a shard's record as it was last read or written, and seal its leader accordingly."""
        self._ownership[name] = ownership
        self._update_seal(name)

    def has_pending_step(self) -> bool:
        """Return whether a step may become due here without any change in the store.

        That is so while a shard moves from or to this controller, or has no known owner.
        """
        return any(
            ownership.phase is not Phase.OWNED and self._node in (ownership.owner, ownership.target)
            for ownership in self._ownership.values()
        ) or any(name not in self._ownership for name in self._electors)

    # -- what the electors ask -----------------------------------------------------------

    def _eligible(self, name: ShardName) -> bool:
        ownership = self._ownership.get(name)
        return ownership is not None and ownership.may_campaign(self._node)

    def _on_elected(self, name: ShardName, leader: Leader) -> None:
        leader.term.sealed = not self._may_start(name)
        team_limits = ShardTeamLimits(leader, name, self.names())
        leader.term.team_limits = team_limits
        leader.extra_loops.append(team_limits.run)

    def _may_start(self, name: ShardName) -> bool:
        ownership = self._ownership.get(name)
        return ownership is not None and ownership.may_start_tasks(self._node)

    def _update_seal(self, name: ShardName) -> None:
        """Allow the leader here to start and rent if the record says so, and forbid it if not."""
        leader = self._electors[name].leader
        sealed = not self._may_start(name)
        if leader is None or leader.term.sealed == sealed:
            return
        leader.term.sealed = sealed
        log.info(
            "event=%s shard=%s term=%d",
            "sealed" if sealed else "unsealed",
            name,
            leader.term.number,
        )
        leader.term.scheduling_needed.set()
