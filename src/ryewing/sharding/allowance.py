"""Team limits divided among shards: the parts never add up to more than the limit.

Pure. All parts of one team stand in one record, so each change is one conditional write. A part is
lowered by its shard's owner alone, which knows what it uses, and never below that; it is raised by
anybody, and only by what no shard has. So at every moment, whatever is lost or late, what the
shards may use together is within the limit.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from ryewing.config.settings import Team
from ryewing.units import ShardName

UNLIMITED = math.inf
LEAST_CHANGE = 1e-6
"""Less is the rounding of earlier changes."""


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


class Claim(msgspec.Struct, frozen=True):
    """What a shard needs at once for its oldest job that can't be begun with less."""

    amount: Amount
    since: float
    """The time of day at which the job was accepted."""


class Allowances(msgspec.Struct, frozen=True):
    """The stored record of one team: what each shard may use, and what it asks for."""

    parts: dict[str, Amount] = {}
    demand: dict[str, Amount] = {}
    """What each shard's running and waiting work would use."""
    claims: dict[str, Claim] = {}

    def of(self, shard: ShardName) -> Amount:
        """Tell what a shard may use."""
        return self.parts.get(shard, NOTHING)

    def total(self) -> Amount:
        """Tell what all shards may use together."""
        return sum(self.parts.values(), start=NOTHING)

    def _with(self, shard: ShardName, amount: Amount) -> Allowances:
        return msgspec.structs.replace(self, parts={**self.parts, shard: amount})

    def asking(self, shard: ShardName, demand: Amount, claim: Claim | None) -> Allowances:
        """Give the record with what a shard asks for now."""
        claims = {name: other for name, other in self.claims.items() if name != shard}
        if claim is not None:
            claims[shard] = claim
        return msgspec.structs.replace(self, demand={**self.demand, shard: demand}, claims=claims)

    def someone_lacks(self, shard: ShardName) -> bool:
        """Tell whether another shard asks for more than it may use."""
        return any(
            name != shard and asked - self.of(ShardName(name)) != NOTHING
            for name, asked in self.demand.items()
        )


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
    return None if max(more.cpus, more.gpus) < LEAST_CHANGE else record._with(shard, present + more)


def target_of(
    record: Allowances, shard: ShardName, shards: Sequence[ShardName], limit: Amount
) -> Amount:
    """Tell what a shard's part should be, by what all of them ask for.

    The oldest claim comes first: a gang that needs nearly all of a limit would never start beside
    a steady demand elsewhere if the limit were divided by demand alone. What nobody asks for is
    divided evenly, so that small work need not wait for a change of the record.
    """
    demand = {name: record.demand.get(name, NOTHING).at_most(limit) for name in shards}
    claims = {name: record.claims[name] for name in shards if name in record.claims}
    first = min(claims, key=lambda name: (claims[name].since, name), default=None)
    reserved = {first: claims[first].amount.at_most(limit)} if first is not None else {}
    parts = wanted_parts(limit, demand, reserved)
    spare = limit - sum(parts.values(), start=NOTHING)
    even = Amount(*(_finite(part / len(shards)) for part in (spare.cpus, spare.gpus)))
    return parts[shard] + even


def whole_units(target: Amount, used: Amount, unit: Amount, up: bool) -> Amount:
    """Round what a part has beyond what is used to whole tasks.

    A part that ends in a piece of a task keeps that piece from others: two shards with 4.3 and 3.7
    of 8 GPUs use 7.
    """
    needs = [
        (amount, room)
        for amount, room in (
            (unit.cpus, target.cpus - used.cpus),
            (unit.gpus, target.gpus - used.gpus),
        )
        if amount > 0
    ]
    if not needs:
        return target
    count = min(room / amount for amount, room in needs)
    rounded = math.ceil(count - LEAST_CHANGE) if up else math.floor(count + LEAST_CHANGE)
    return used + unit.scaled(max(0, rounded), max(0, rounded))


def _finite(amount: float) -> float:
    """Leave out what has no limit: it is never counted against anything."""
    return amount if math.isfinite(amount) else 0.0


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
