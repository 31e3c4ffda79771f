"""The part of the fleet that a term leads: all of it, or one shard.

The scope of a term decides which machines and jobs belong to it, and which share of the process's
rates and memory it may use. `sharding` defines the shards and decides who leads them.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ryewing.state.job_records import JobRecord
from ryewing.units import ShardName, TermNumber, Zone
from ryewing.wire.cloud import MachineType


class TermScope(msgspec.Struct, frozen=True):
    """Decides which machines and jobs belong to one term, and its share of the limits."""

    shard: ShardName | None = None
    """The shard that the term leads; None for the whole fleet."""
    zones: frozenset[Zone] = frozenset()
    """The zones of the shard's machines; unused for the whole fleet."""
    share: float = 1.0
    """The share, from 0 to 1, of each rate and bound of a process that the term may use.

    The shares of all shards add up to one, so the bounds hold for a controller that leads several.
    """

    def covers(self, zone: str) -> bool:
        """Return whether the term leads a zone's machines (docs/design.md, safety argument 13)."""
        return self.shard is None or zone in self.zones

    def owns(self, record: JobRecord) -> bool:
        """Return whether the term leads a job (docs/design.md, safety argument 14)."""
        return record.shard == self.shard

    def machine_types(self, machine_types: Sequence[MachineType]) -> list[MachineType]:
        """Return the machine types, each with only those of its zones that the term covers."""
        if self.shard is None:
            return list(machine_types)
        return [
            msgspec.structs.replace(
                machine_type, zones=tuple(zone for zone in machine_type.zones if self.covers(zone))
            )
            for machine_type in machine_types
        ]

    def rental_id(self, term: TermNumber, number: int) -> str:
        """Return the id of a term's rental request.

        It includes the shard, because terms of different shards may have the same number.
        """
        prefix = "r" if self.shard is None else f"r-{self.shard}"
        return f"{prefix}-{term}-{number}"


WHOLE_FLEET = TermScope()
"""The scope of a term that leads an undivided fleet."""
