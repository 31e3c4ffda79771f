"""Takes the steps of ownership transfer that are due at this controller.

Each step is one conditional write of a shard's ownership record (`registry`). Any controller may
therefore take any due step at any time, also from an outdated snapshot: the step takes effect once
or not at all. The rules of each step are in `ownership`, the table of the steps in
docs/sharding.md.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ryewing.leader.leader import Leader
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.sharding.owner_choice import OwnerSelector
from ryewing.sharding.ownership import (
    Ownership,
    Phase,
    finish_move,
    hand_off,
    initial_record,
    repair,
    settle_move,
)
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry, StoredOwnership
from ryewing.sharding.shard_electors import ShardElectors
from ryewing.units import MonotonicTime, NodeName, ShardName, monotonic_now

MAX_QUIESCE_S = 6.0
"""How long the owner of a sealed shard waits for the outcome of starts and writes before it resigns
anyway. Safety does not depend on the wait, but it leaves a successor less to reconcile."""
START_GRACE_S = 5.0
"""How long after its start a controller counts all members as healthy when it selects an
owner for a shard that has had none, since others may be starting too."""
ORPHAN_TIMEOUT_S = 5.0
"""How long only the selected controller may take over a shard without a healthy owner; after that
any controller may."""


class OwnershipSteps:
    """Takes the steps of one controller; only the coordinator's greenlet calls it."""

    def __init__(
        self,
        node: NodeName,
        members: set[NodeName],
        registry: ShardRegistry,
        selector: OwnerSelector,
        electors: ShardElectors,
    ) -> None:
        self._node = node
        self._members = members
        self._registry = registry
        self._selector = selector
        self._electors = electors
        self._started_at = monotonic_now()
        self._sealed_since: dict[ShardName, MonotonicTime] = {}
        self._orphaned_since: dict[ShardName, MonotonicTime] = {}

    def record_phase(self, name: ShardName, ownership: Ownership, now: MonotonicTime) -> None:
        """Record the time at which a shard was first seen sealed; clear it once it is not."""
        if ownership.phase is Phase.SEALED:
            self._sealed_since.setdefault(name, now)
        else:
            self._sealed_since.pop(name, None)

    def resign_if_not_owner(self, name: ShardName, stored: StoredOwnership) -> None:
        """Resign if the record gives the lease to another controller, which is waiting for it."""
        leader = self._electors.leader_of(name)
        if (
            leader is not None
            and stored.record is not None
            and not stored.record.may_hold_lease(self._node)
        ):
            leader.resign(TermEndReason.NOT_OWNER)

    def take_due_step(
        self, name: ShardName, stored: StoredOwnership, snapshot: RegistrySnapshot
    ) -> None:
        """Take the step of one shard that is due at this controller, if any.

        Raises StoreUnavailableError if the store does not answer.
        """
        if not stored.readable:
            return
        ownership = stored.record
        leader = self._electors.leader_of(name)
        if ownership is None or _is_orphaned(ownership, snapshot.healthy):
            self._recover_orphan(name, stored, snapshot)
            return
        self._orphaned_since.pop(name, None)
        if ownership.phase is Phase.OWNED:
            self._hand_off_if_abstaining(name, stored, snapshot)
        elif ownership.phase is Phase.SEALED and ownership.owner == self._node:
            self._settle_if_quiesced(name, stored, leader)
        elif leader is not None and leader.term.state_loaded.is_set():
            self._apply_step(name, stored, lambda old: finish_move(old, self._node))

    def _settle_if_quiesced(
        self, name: ShardName, stored: StoredOwnership, leader: Leader | None
    ) -> None:
        """Resign once no start or write is in flight, or after MAX_QUIESCE_S, and record that."""
        if leader is not None:
            waited_s = monotonic_now() - self._sealed_since[name]
            if not leader.is_quiesced() and waited_s < MAX_QUIESCE_S:
                return
            leader.resign(TermEndReason.SHARD_MOVING)
        self._apply_step(name, stored, lambda old: settle_move(old, self._node))

    def _hand_off_if_abstaining(
        self, name: ShardName, stored: StoredOwnership, snapshot: RegistrySnapshot
    ) -> None:
        """Transfer a shard if this controller has resigned because of its own fault."""
        if not self._electors.is_abstaining(name):
            return
        others = snapshot.healthy - {self._node}
        if not others:
            return
        target = self._selector.assign_owners(snapshot, others)[name]
        self._apply_step(name, stored, lambda old: hand_off(old, self._node, target))

    def _recover_orphan(
        self, name: ShardName, stored: StoredOwnership, snapshot: RegistrySnapshot
    ) -> None:
        """Take over a shard without a record, or repair one that waits for an unhealthy controller.

        All controllers select the same controller for it by the same rule. If that one does not act
        within ORPHAN_TIMEOUT_S, any other does.
        """
        now = monotonic_now()
        orphaned_since = self._orphaned_since.setdefault(name, now)
        nodes = snapshot.healthy
        if stored.record is None and now - self._started_at < START_GRACE_S:
            nodes = nodes | self._members
        selected = self._selector.assign_owners(snapshot, nodes)[name]
        if selected != self._node and now - orphaned_since < ORPHAN_TIMEOUT_S:
            return
        recovery = partial(self._recovery_step, healthy=snapshot.healthy)
        self._update_electors(name, self._registry.apply_step(name, stored, recovery))

    def _recovery_step(self, old: Ownership | None, healthy: set[NodeName]) -> Ownership | None:
        if old is None:
            return initial_record(self._node)
        return repair(old, self._node, healthy)

    def _apply_step(
        self,
        name: ShardName,
        stored: StoredOwnership,
        step: Callable[[Ownership], Ownership | None],
    ) -> None:
        self._update_electors(name, self._registry.apply_step_to_existing(name, stored, step))

    def _update_electors(self, name: ShardName, written: Ownership | None) -> None:
        if written is not None:
            self._electors.set_ownership(name, written)


def _is_orphaned(ownership: Ownership, healthy: set[NodeName]) -> bool:
    """Return whether a controller that the shard's next step depends on is not healthy."""
    owner, target = NodeName(ownership.owner), NodeName(ownership.target or "")
    if ownership.phase is Phase.OWNED:
        return owner not in healthy
    if ownership.phase is Phase.SEALED:
        return owner not in healthy or target not in healthy
    return target not in healthy
