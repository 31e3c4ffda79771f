"""Who owns a shard, and the steps by which it changes hands.

Pure functions: each takes a record and returns the next one. A step is taken by one conditional
write of the record (`registry`), so of two controllers that take one at the same time only one
succeeds. The record says who *should* lead the shard. Who may start tasks there is decided by the
shard's lease and term alone, so a wrong record costs time and never safety (docs/design.md,
argument 15). The table of the steps is in docs/sharding.md.
"""

from __future__ import annotations

import enum

import msgspec

from ryewing.sharding.errors import ShardingError
from ryewing.units import NodeName


class Phase(enum.Enum):
    """How far a shard's move from one owner to another has come."""

    OWNED = "owned"
    SEALED = "sealed"
    """Its owner starts no tasks and rents no machines any more, and goes on answering workers."""
    SETTLED = "settled"
    """Its owner has no write under way and has resigned: the target may lead."""


class MoveRefusedError(ShardingError):
    """A move can't be begun; the message says why."""


class Ownership(msgspec.Struct, frozen=True):
    """The stored record of one shard."""

    owner: str
    epoch: int
    """Rises by one with each step, so a late copy of a step differs from a new one."""
    phase: Phase = Phase.OWNED
    target: str | None = None
    """Who owns it next while it moves."""
    changed_at: float = 0.0
    """The wall time of the last step, for operators; no decision depends on it."""

    def may_hold_lease(self, node: NodeName) -> bool:
        """Return whether a controller should hold, or campaign for, the shard's lease.

        Any other holder resigns: found by a test in which a move was undone while its target,
        thought dead, had taken the lease, so that the owner waited for ever.
        """
        if self.phase is Phase.SETTLED:
            return self.target == node
        return self.owner == node

    def may_campaign(self, node: NodeName) -> bool:
        """Return whether a controller should campaign for the shard's lease if nobody holds it.

        The owner of a sealed shard does not: it has resigned, and leaves the lease to the target.
        """
        return self.phase is not Phase.SEALED and self.may_hold_lease(node)

    def may_start_tasks(self, node: NodeName) -> bool:
        """Return whether a controller that holds the lease may start tasks and rent machines."""
        return self.phase is Phase.OWNED and self.owner == node


def initial_record(node: NodeName) -> Ownership:
    """Return the record of a shard that nobody has owned yet."""
    return Ownership(node, 1)


def begin_move(record: Ownership, target: NodeName, healthy: set[NodeName]) -> Ownership:
    """Seal a shard for another controller; raise MoveRefusedError if that can't be done."""
    if record.phase is not Phase.OWNED:
        raise MoveRefusedError(f"it is already moving from {record.owner} to {record.target}")
    if target == record.owner:
        raise MoveRefusedError(f"{target} owns it already")
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
    """Leave a shard to another controller; None unless `node` owns it and is not the target.

    The owner has resigned for a fault of its own: it reaches no workers, or can't read the jobs.
    """
    if record.phase is not Phase.OWNED or record.owner != node or target == node:
        return None
    return _next_step(record, phase=Phase.SETTLED, target=target)


def repair(record: Ownership, node: NodeName, healthy: set[NodeName]) -> Ownership | None:
    """Finish or undo what a dead controller left behind; None if there is nothing to repair.

    Any controller may do this, at any time: whatever the record says, the lease of the controller
    that is thought dead has to end before another leads.
    """
    owner, target = NodeName(record.owner), NodeName(record.target or "")
    if record.phase is Phase.OWNED:
        return None if owner in healthy else Ownership(node, record.epoch + 1)
    if target in healthy:
        if owner in healthy or record.phase is Phase.SETTLED:
            return None  # owner or target takes the next step
        return _next_step(record, phase=Phase.SETTLED)
    return Ownership(owner if owner in healthy else node, record.epoch + 1)


def _next_step(record: Ownership, phase: Phase, target: NodeName | None = None) -> Ownership:
    return Ownership(record.owner, record.epoch + 1, phase, target or record.target)
