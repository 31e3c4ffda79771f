"""Team limits divided among shards: the parts never add up to more than the limit.

Pure. All parts of one team stand in one record, so each change is one conditional write. A part is
lowered by its shard's owner alone, which knows what it uses, and never below that; it is raised by
anybody, and only by what no shard has. So at every moment, whatever is lost or late, what the
shards may use together is within the limit.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from ..settings import Team
from .settings import ShardName

UNLIMITED = math.inf


class Amount(msgspec.Struct, frozen=True):
    """So many processors and GPUs."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: Amount) -> Amount:
        """Add both."""
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Amount) -> Amount:
        """Take away, down to nothing."""
        return Amount(max(0.0, self.cpus - other.cpus), max(0.0, self.gpus - other.gpus))

    def at_most(self, other: Amount) -> Amount:
        """Give the smaller of each."""
        return Amount(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def at_least(self, other: Amount) -> Amount:
        """Give the larger of each."""
        return Amount(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def scaled(self, cpus: float, gpus: float) -> Amount:
        """Take a part of each."""
        return Amount(self.cpus * cpus, self.gpus * gpus)


NOTHING = Amount()


class Allowances(msgspec.Struct, frozen=True):
    """The stored record of one team: what each shard may use."""

    parts: dict[str, Amount] = {}

    def of(self, shard: ShardName) -> Amount:
        """Tell what a shard may use."""
        return self.parts.get(shard, NOTHING)

    def total(self) -> Amount:
        """Tell what all shards may use together."""
        return sum(self.parts.values(), start=NOTHING)

    def _with(self, shard: ShardName, amount: Amount) -> Allowances:
        return Allowances({**self.parts, shard: amount})


def limit_of(team: Team) -> Amount:
    """Give a team's limit; 0 in the settings means that there is none."""
    return Amount(team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED)


def lowered(
    record: Allowances, shard: ShardName, wanted: Amount, in_use: Amount
) -> Allowances | None:
    """The shard's owner gives back what it neither wants nor uses; None if there is nothing.

    `in_use` counts what machines that can't be reached may hold: their tasks may go on.
    """
    present = record.of(shard)
    kept = present.at_most(wanted.at_least(in_use))
    return None if kept == present else record._with(shard, kept)


def raised(
    record: Allowances, shard: ShardName, wanted: Amount, limit: Amount
) -> Allowances | None:
    """Give a shard more, of what no shard has; None if there is nothing."""
    present = record.of(shard)
    rest = limit - record.total()
    missing = wanted - present
    more = Amount(min(rest.cpus, missing.cpus), min(rest.gpus, missing.gpus))
    return None if more == NOTHING else record._with(shard, present + more)


def wanted_parts(
    limit: Amount, demand: Mapping[ShardName, Amount], in_use: Mapping[ShardName, Amount]
) -> dict[ShardName, Amount]:
    """Divide a limit by what each shard's waiting and running work asks for.

    What is in use comes first, since it can't be taken down; the rest goes by demand beyond that.
    """
    used = {shard: in_use.get(shard, NOTHING) for shard in demand}
    rest = limit - sum(used.values(), start=NOTHING)
    beyond = {shard: asked - used[shard] for shard, asked in demand.items()}
    total = sum(beyond.values(), start=NOTHING)
    cpus = _part(rest.cpus, total.cpus)
    gpus = _part(rest.gpus, total.gpus)
    return {shard: used[shard] + beyond[shard].scaled(cpus, gpus) for shard in demand}


def _part(there: float, wanted: float) -> float:
    """Tell which part of what is wanted is there."""
    return 1.0 if wanted <= there else there / wanted
