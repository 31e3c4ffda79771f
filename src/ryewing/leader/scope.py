"""Which part of the fleet a term leads: the whole of it, or one shard.

The modules of a term ask its scope which machines and jobs are theirs, and which part of the
process's rates and memory they may use. What a shard is, and who leads it, is up to `sharding`.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ryewing.state.job_records import JobRecord
from ryewing.units import ShardName, TermNumber, Zone
from ryewing.wire.cloud import MachineType


class TermScope(msgspec.Struct, frozen=True):
    """The machines and jobs of one term."""

    shard: ShardName | None = None
    """None: the whole fleet."""
    zones: frozenset[Zone] = frozenset()
    """The zones of the shard's machines; not used for the whole fleet."""
    share: float = 1.0
    """The part, from 0 to 1, of every rate and bound of a process that the term may use.

    The parts of all shards add up to one, so the bounds hold however many one controller leads.
    """

    def covers(self, zone: str) -> bool:
        """Return whether a zone's machines are this term's (docs/design.md, safety argument 13)."""
        return self.shard is None or zone in self.zones

    def owns(self, record: JobRecord) -> bool:
        """Return whether a job is this term's (docs/design.md, safety argument 14)."""
        return record.shard == self.shard

    def machine_types(self, machine_types: Sequence[MachineType]) -> list[MachineType]:
        """Return the machine types, each with only those of its zones that are this term's."""
        if self.shard is None:
            return list(machine_types)
        return [
            msgspec.structs.replace(
                machine_type, zones=tuple(zone for zone in machine_type.zones if self.covers(zone))
            )
            for machine_type in machine_types
        ]

    def rental_id(self, term: TermNumber, number: int) -> str:
        """Return the name of a term's rental request.

        It holds the shard, since terms of two shards may have the same number.
        """
        prefix = "r" if self.shard is None else f"r-{self.shard}"
        return f"{prefix}-{term}-{number}"


WHOLE_FLEET = TermScope()
"""The scope of a term whose fleet is not divided."""
