"""Who owns a shard, and the steps by which it changes hands.

Pure: a record goes in, the next record comes out. A step is taken by one conditional write of the
record (`registry`), so of two controllers that take one at the same time only one succeeds. The
record says who *should* lead the shard. Who may start tasks there is decided by the shard's lease
and term alone, so a wrong record costs time and never safety.
"""

from __future__ import annotations

import enum

import msgspec

from ryewing.units import NodeName


class Phase(enum.Enum):
    """Where a shard is on its way between two owners."""

    OWNED = "owned"
    SEALED = "sealed"
    """Its owner starts and rents nothing more, and goes on answering workers."""
    SETTLED = "settled"
    """Its owner has no write under way and has resigned: the target may lead."""


class MoveRefusedError(Exception):
    """A move that can't be begun, with the reason."""


class Ownership(msgspec.Struct, frozen=True):
    """The stored record of one shard."""

    owner: str
    epoch: int
    """Rises with each step: tells a late copy of a step from a new one."""
    phase: Phase = Phase.OWNED
    target: str | None = None
    """Who owns it next, unless it is owned."""
    changed_at: float = 0.0
    """The time of day of the last step, for operators; nothing is decided by it."""

    def leads(self, node: NodeName) -> bool:
        """Tell whether a controller should hold, or try for, the shard's lease.

        One that holds it otherwise resigns: found by a test in which a move was undone while its
        target, thought dead, had taken the lease, so that the owner waited for ever.
        """
        if self.phase is Phase.SETTLED:
            return self.target == node
        return self.owner == node

    def may_campaign(self, node: NodeName) -> bool:
        """Tell whether a controller should try for the shard's lease if nobody holds it.

        The owner of a sealed shard does not take it up again: what it led has been resigned, and
        the target is waited for.
        """
        return self.phase is not Phase.SEALED and self.leads(node)

    def may_start(self, node: NodeName) -> bool:
        """Tell whether a controller that holds the lease may start and rent."""
        return self.phase is Phase.OWNED and self.owner == node


def first_owner(node: NodeName) -> Ownership:
    """Give the record of a shard that nobody has owned yet."""
    return Ownership(node, 1)


def begin_move(record: Ownership, target: NodeName, healthy: set[NodeName]) -> Ownership:
    """Seal a shard for another controller."""
    if record.phase is not Phase.OWNED:
        raise MoveRefusedError(f"it is already moving from {record.owner} to {record.target}")
    if target == record.owner:
        raise MoveRefusedError(f"{target} owns it already")
    if target not in healthy:
        raise MoveRefusedError(f"{target} is unknown or not healthy")
    return _next(record, phase=Phase.SEALED, target=target)


def settle(record: Ownership, node: NodeName) -> Ownership | None:
    """The owner has nothing under way any more and has resigned; None if it isn't its turn."""
    if record.phase is not Phase.SEALED or record.owner != node:
        return None
    return _next(record, phase=Phase.SETTLED)


def finish(record: Ownership, node: NodeName) -> Ownership | None:
    """The target leads the shard; None if it isn't its turn."""
    if record.phase is not Phase.SETTLED or record.target != node:
        return None
    return Ownership(node, record.epoch + 1)


def hand_off(record: Ownership, node: NodeName, target: NodeName) -> Ownership | None:
    """The owner has resigned for a fault of its own, and leaves the shard to another controller."""
    if record.phase is not Phase.OWNED or record.owner != node or target == node:
        return None
    return _next(record, phase=Phase.SETTLED, target=target)


def repair(record: Ownership, node: NodeName, healthy: set[NodeName]) -> Ownership | None:
    """Finish or undo what a dead controller left behind; None if nothing is to be done.

    Any controller may do this, at any time: the lease of the one that is thought dead has to end
    before another leads, whatever the record says.
    """
    owner, target = NodeName(record.owner), NodeName(record.target or "")
    if record.phase is Phase.OWNED:
        return None if owner in healthy else Ownership(node, record.epoch + 1)
    if target in healthy:
        if owner in healthy or record.phase is Phase.SETTLED:
            return None  # it goes on by itself
        return _next(record, phase=Phase.SETTLED)
    return Ownership(owner if owner in healthy else node, record.epoch + 1)


def _next(record: Ownership, phase: Phase, target: NodeName | None = None) -> Ownership:
    return Ownership(record.owner, record.epoch + 1, phase, target or record.target)
