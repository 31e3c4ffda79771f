"""The ownership record of a shard, and the steps that transfer a shard to another controller.

Each step is a pure function that takes a record and returns the next one. `registry` writes the
result by one conditional write, so if two controllers apply a step concurrently, only one succeeds.
The record names the controller that *should* lead the shard. Which controller may start tasks is
decided by the shard's lease and term alone, so a wrong record can delay work but cannot violate
safety (docs/design.md, argument 15). The table of the steps is in docs/sharding.md.
"""

from __future__ import annotations

import enum

import msgspec

from ryewing.sharding.errors import ShardingError
from ryewing.units import NodeName


class Phase(enum.Enum):
    """The progress of a shard's move from one owner to another."""

    OWNED = "owned"
    SEALED = "sealed"
    """The owner no longer starts tasks or rents machines, but still answers workers."""
    SETTLED = "settled"
    """The owner has resigned or is not healthy, so the target may lead. A healthy owner of a sealed
    shard first waits, for a limited time, until it has no start or write in flight."""


class MoveRefusedError(ShardingError):
    """A move cannot begin; the message gives the reason."""


class Ownership(msgspec.Struct, frozen=True):
    """The stored record of one shard."""

    owner: str
    epoch: int
    """Increases by one with each step, so a delayed copy of a step differs from a new one."""
    phase: Phase = Phase.OWNED
    target: str | None = None
    """The next owner while the shard is moving."""
    changed_at: float = 0.0
    """The wall time of the last step, shown to operators; no decision depends on it."""

    def may_hold_lease(self, node: NodeName) -> bool:
        """Return whether a controller should hold or campaign for the shard's lease.

        Any other holder resigns. Otherwise the owner could wait for the lease indefinitely: in a
        test, a move was undone while its target, presumed dead, had acquired the lease.
        """
        if self.phase is Phase.SETTLED:
            return self.target == node
        return self.owner == node

    def may_campaign(self, node: NodeName) -> bool:
        """Return whether a controller should campaign for the shard's lease if it has no holder.

        The owner of a sealed shard must not: once it has resigned, the target takes the lease.
        """
        return self.phase is not Phase.SEALED and self.may_hold_lease(node)

    def may_start_tasks(self, node: NodeName) -> bool:
        """Return whether a controller that holds the lease may start tasks and rent machines."""
        return self.phase is Phase.OWNED and self.owner == node


def initial_record(node: NodeName) -> Ownership:
    """Return the record that makes a controller the first owner of a shard."""
    return Ownership(node, 1)


def begin_move(record: Ownership, target: NodeName, healthy: set[NodeName]) -> Ownership:
    """Seal a shard for its move to another controller; raise MoveRefusedError if it can't move."""
    if record.phase is not Phase.OWNED:
        raise MoveRefusedError(f"already moving from {record.owner} to {record.target}")
    if target == record.owner:
        raise MoveRefusedError(f"{target} already owns the shard")
    if target not in healthy:
        raise MoveRefusedError(f"{target} is unknown or not healthy")
    return _next_step(record, phase=Phase.SEALED, target=target)


def settle_move(record: Ownership, node: NodeName) -> Ownership | None:
    """Record that the owner has resigned; None unless `node` owns the sealed shard."""
    if record.phase is not Phase.SEALED or record.owner != node:
        return None
    return _next_step(record, phase=Phase.SETTLED)


def finish_move(record: Ownership, node: NodeName) -> Ownership | None:
    """Record that the target leads the shard; None unless `node` is the settled shard's target."""
    if record.phase is not Phase.SETTLED or record.target != node:
        return None
    return Ownership(node, record.epoch + 1)


def hand_off(record: Ownership, node: NodeName, target: NodeName) -> Ownership | None:
    """Transfer a shard to another controller; None unless `node` owns it and is not the target.

    Used when the owner has resigned because of its own fault: it cannot reach the workers, or
    cannot read the jobs.
    """
    if record.phase is not Phase.OWNED or record.owner != node or target == node:
        return None
    return _next_step(record, phase=Phase.SETTLED, target=target)


def repair(record: Ownership, node: NodeName, healthy: set[NodeName]) -> Ownership | None:
    """Finish or undo the step of a dead controller; None if there is nothing to repair.

    Any controller may do this at any time: whatever the record says, no other controller can lead
    before the lease of the controller presumed dead has ended.
    """
    owner, target = NodeName(record.owner), NodeName(record.target or "")
    if record.phase is Phase.OWNED:
        return None if owner in healthy else Ownership(node, record.epoch + 1)
    if target in healthy:
        if owner in healthy or record.phase is Phase.SETTLED:
            return None  # the owner or the target takes the next step
        return _next_step(record, phase=Phase.SETTLED)
    return Ownership(owner if owner in healthy else node, record.epoch + 1)


def _next_step(record: Ownership, phase: Phase, target: NodeName | None = None) -> Ownership:
    return Ownership(record.owner, record.epoch + 1, phase, target or record.target)
