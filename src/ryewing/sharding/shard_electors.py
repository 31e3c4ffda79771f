"""The shards' electors at one controller, and the permissions from the shards' ownership records.

An elector follows one shard's lease and campaigns for it. The ownership record decides whether it
may campaign, and whether its leader may start tasks and rent machines or is sealed. Safety depends
only on lease and term (docs/design.md, argument 15), so an outdated record can only cause delay.
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

# docs/operations.md lists `sealed` and `unsealed` as events of the coordinator.
log = logging.getLogger(__name__)


class ShardElectors:
    """The electors of one controller, with the newest known ownership record of each shard.

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
        """Return this controller's leader of a shard, or None while it does not lead the shard."""
        return self._electors[name].leader

    def is_abstaining(self, name: ShardName) -> bool:
        """Return whether this controller currently does not campaign for a shard's lease.

        This is so for `leader_elector.ABSTAIN_S` seconds after it resigned because of a fault that
        is likely its own.
        """
        return self._electors[name].is_abstaining()

    def set_ownership(self, name: ShardName, ownership: Ownership) -> None:
        """Set a shard's record as last read or written, and update the seal of its leader."""
        self._ownership[name] = ownership
        self._update_seal(name)

    def has_pending_step(self) -> bool:
        """Return whether a step may become due here without a change in the store.

        This is the case while a shard moves from or to this controller, or has no known owner.
        """
        return any(
            ownership.phase is not Phase.OWNED and self._node in (ownership.owner, ownership.target)
            for ownership in self._ownership.values()
        ) or any(name not in self._ownership for name in self._electors)

    # -- permissions of the electors -----------------------------------------------------

    def _eligible(self, name: ShardName) -> bool:
        ownership = self._ownership.get(name)
        return ownership is not None and ownership.may_campaign(self._node)

    def _on_elected(self, name: ShardName, leader: Leader) -> None:
        leader.term.sealed = not self._may_start_tasks(name)
        team_limits = ShardTeamLimits(leader, name, self.names())
        leader.term.team_limits = team_limits
        leader.extra_loops.append(team_limits.run)

    def _may_start_tasks(self, name: ShardName) -> bool:
        ownership = self._ownership.get(name)
        return ownership is not None and ownership.may_start_tasks(self._node)

    def _update_seal(self, name: ShardName) -> None:
        """Seal or unseal the leader of a shard here, as the ownership record requires."""
        leader = self._electors[name].leader
        sealed = not self._may_start_tasks(name)
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
