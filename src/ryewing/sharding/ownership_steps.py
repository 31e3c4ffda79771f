"""Takes the steps by which shards change hands, as far as they are due at this controller.

Each step is one conditional write of a shard's ownership record (`registry`), so any controller may
take any step that is due, at any time and from an old reading: it is taken once or not at all. The
rules of each step are in `ownership`, the table of the steps in docs/sharding.md.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ryewing.leader.leader import Leader
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.sharding.owner_choice import OwnerChoice
from ryewing.sharding.ownership import (
    Ownership,
    Phase,
    finish,
    first_owner,
    hand_off,
    repair,
    settle,
)
from ryewing.sharding.registry import RegistrySnapshot, ShardRegistry, StoredOwnership
from ryewing.sharding.shard_electors import ShardElectors
from ryewing.units import MonotonicTime, NodeName, ShardName, monotonic_now

DRAIN_MAX_S = 6.0
"""How long the owner of a sealed shard waits for the outcome of starts and writes before it resigns
anyway: safety does not rest on it, but a successor then has more to find out."""
START_GRACE_S = 5.0
"""How long after its start a controller leaves shards that nobody has owned yet to other members
that may be starting as well."""
ORPHAN_PATIENCE_S = 5.0
"""How long a shard without a healthy owner is left to the controller that is chosen for it; after
that any controller takes it."""


class OwnershipSteps:
    """The steps that one controller takes; called by the coordinator's greenlet alone."""

    def __init__(
        self,
        node: NodeName,
        members: set[NodeName],
        registry: ShardRegistry,
        choice: OwnerChoice,
        electors: ShardElectors,
    ) -> None:
        self._node = node
        self._members = members
        self._registry = registry
        self._choice = choice
        self._electors = electors
        self._started_at = monotonic_now()
        self._sealed_since: dict[ShardName, MonotonicTime] = {}
        self._orphaned_since: dict[ShardName, MonotonicTime] = {}

    def note_phase(self, name: ShardName, ownership: Ownership, now: MonotonicTime) -> None:
        """Remember since when a shard is sealed."""
        if ownership.phase is Phase.SEALED:
            self._sealed_since.setdefault(name, now)
        else:
            self._sealed_since.pop(name, None)

    def resign_if_not_owner(self, name: ShardName, stored: StoredOwnership) -> None:
        """Resign if the record names another controller, which waits for the lease."""
        leader = self._electors.leader_of(name)
        if leader is not None and stored.record is not None and not stored.record.leads(self._node):
            leader.resign(TermEndReason.NOT_OWNER)

    def take_due_step(
        self, name: ShardName, stored: StoredOwnership, registration: RegistrySnapshot
    ) -> None:
        """Take the step of one shard that is due at this controller, if any.

        Raises StoreUnavailableError if the store does not answer.
        """
        if not stored.readable:
            return
        ownership = stored.record
        leader = self._electors.leader_of(name)
        if ownership is None or _is_orphaned(ownership, registration.healthy):
            self._adopt(name, stored, registration)
            return
        self._orphaned_since.pop(name, None)
        if ownership.phase is Phase.OWNED:
            self._hand_off_if_abstaining(name, stored, registration)
        elif ownership.phase is Phase.SEALED and ownership.owner == self._node:
            self._settle_if_drained(name, stored, leader)
        elif leader is not None and leader.term.state_loaded.is_set():
            self._advance(name, stored, lambda old: finish(old, self._node))

    def _settle_if_drained(
        self, name: ShardName, stored: StoredOwnership, leader: Leader | None
    ) -> None:
        """Resign once nothing is under way, then record that the target may lead."""
        if leader is not None:
            waited_s = monotonic_now() - self._sealed_since[name]
            if not leader.is_quiesced() and waited_s < DRAIN_MAX_S:
                return
            leader.resign(TermEndReason.SHARD_MOVING)
        self._advance(name, stored, lambda old: settle(old, self._node))

    def _hand_off_if_abstaining(
        self, name: ShardName, stored: StoredOwnership, registration: RegistrySnapshot
    ) -> None:
        """Leave a shard to another controller if this one has resigned for a fault of its own."""
        if not self._electors.is_abstaining(name):
            return
        others = registration.healthy - {self._node}
        if not others:
            return
        target = self._choice.assignment(registration, others)[name]
        self._advance(name, stored, lambda old: hand_off(old, self._node, target))

    def _adopt(
        self, name: ShardName, stored: StoredOwnership, registration: RegistrySnapshot
    ) -> None:
        """Take or repair a shard that nobody healthy owns.

        Every controller chooses the same one by the same rule; if that one does nothing for
        ORPHAN_PATIENCE_S, any other acts.
        """
        now = monotonic_now()
        orphaned_since = self._orphaned_since.setdefault(name, now)
        nodes = registration.healthy
        if stored.record is None and now - self._started_at < START_GRACE_S:
            nodes = nodes | self._members
        chosen = self._choice.assignment(registration, nodes)[name]
        if chosen != self._node and now - orphaned_since < ORPHAN_PATIENCE_S:
            return
        adoption = partial(self._adoption, healthy=registration.healthy)
        self._note_written(name, self._registry.apply_step(name, stored, adoption))

    def _adoption(self, old: Ownership | None, healthy: set[NodeName]) -> Ownership | None:
        if old is None:
            return first_owner(self._node)
        return repair(old, self._node, healthy)

    def _advance(
        self,
        name: ShardName,
        stored: StoredOwnership,
        step: Callable[[Ownership], Ownership | None],
    ) -> None:
        self._note_written(name, self._registry.advance(name, stored, step))

    def _note_written(self, name: ShardName, written: Ownership | None) -> None:
        if written is not None:
            self._electors.set_ownership(name, written)


def _is_orphaned(ownership: Ownership, healthy: set[NodeName]) -> bool:
    """Return whether a controller that should take a shard's next step is not healthy."""
    owner, target = NodeName(ownership.owner), NodeName(ownership.target or "")
    if ownership.phase is Phase.OWNED:
        return owner not in healthy
    if ownership.phase is Phase.SEALED:
        return owner not in healthy or target not in healthy
    return target not in healthy
