"""The parts of team limits that shards may use: the stored record, and the rules that divide it.

Pure functions on records; amounts are in processors and in GPUs. All parts of one team's limit
stand in one record, so each change is one conditional write on the version that was read.

The invariant: the parts of a record add up to the team's limit at most, and no part is below what
may run on it (docs/design.md, argument 16). It holds whatever is lost, late or disagreed on: only
its shard's leader lowers a part, which knows what is in use, and never below that (`lowered`); a
part is raised only by what no shard has (`raised`). What a shard's part *should* be (`fair_share`)
decides when a part changes, and the invariant does not rest on it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from ryewing.config.settings import Team
from ryewing.units import ShardName

UNLIMITED = math.inf
MIN_CHANGE = 1e-6
"""A smaller difference is the rounding of earlier changes."""


class Amount(msgspec.Struct, frozen=True):
    """Resources that a team limit counts: processors and GPUs, possibly fractions of them."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: Amount) -> Amount:
        """Return the sum, resource by resource."""
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Amount) -> Amount:
        """Return the difference, resource by resource, and 0 where it would be negative."""
        return Amount(max(0.0, self.cpus - other.cpus), max(0.0, self.gpus - other.gpus))

    def at_most(self, other: Amount) -> Amount:
        """Return the smaller amount of each resource."""
        return Amount(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def at_least(self, other: Amount) -> Amount:
        """Return the larger amount of each resource."""
        return Amount(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def scaled(self, cpus: float, gpus: float) -> Amount:
        """Return the amount with each resource multiplied by its own factor."""
        return Amount(self.cpus * cpus, self.gpus * gpus)


ZERO_AMOUNT = Amount()


class Claim(msgspec.Struct, frozen=True):
    """What a shard needs at once for its oldest job that can't start with less."""

    amount: Amount
    since: float
    """The wall time at which the job was accepted."""


class Allowances(msgspec.Struct, frozen=True):
    """The stored record of one team: what each shard may use, and what it asks for."""

    parts: dict[str, Amount] = {}
    """What each shard may use of the team's limit."""
    demand: dict[str, Amount] = {}
    """What each shard's running and waiting tasks would use, as its leader last wrote it."""
    claims: dict[str, Claim] = {}

    def part_of(self, shard: ShardName) -> Amount:
        """Return the part of one shard."""
        return self.parts.get(shard, ZERO_AMOUNT)

    def total(self) -> Amount:
        """Return the sum of all parts."""
        return sum(self.parts.values(), start=ZERO_AMOUNT)

    def with_part(self, shard: ShardName, amount: Amount) -> Allowances:
        """Return the record with another part for one shard."""
        return msgspec.structs.replace(self, parts={**self.parts, shard: amount})

    def with_demand(self, shard: ShardName, demand: Amount, claim: Claim | None) -> Allowances:
        """Return the record with another demand and claim of one shard."""
        claims = {name: other for name, other in self.claims.items() if name != shard}
        if claim is not None:
            claims[shard] = claim
        return msgspec.structs.replace(self, demand={**self.demand, shard: demand}, claims=claims)

    def other_shard_lacks(self, shard: ShardName) -> bool:
        """Return whether any shard but this one demands more than its part."""
        return any(
            name != shard and demand - self.part_of(ShardName(name)) != ZERO_AMOUNT
            for name, demand in self.demand.items()
        )


def team_limit(team: Team) -> Amount:
    """Return a team's limit over all shards; 0 in the settings means that there is none."""
    return Amount(team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED)


def lower_part(
    record: Allowances, shard: ShardName, requested: Amount, in_use: Amount
) -> Allowances | None:
    """Return the record without what a shard neither requests nor uses; None if that is nothing.

    To be called by the shard's leader alone. `in_use` includes what machines that can't be reached
    may hold, since their tasks may go on.
    """
    present = record.part_of(shard)
    kept = present.at_most(requested.at_least(in_use))
    return None if kept == present else record.with_part(shard, kept)


def raise_part(
    record: Allowances, shard: ShardName, requested: Amount, limit: Amount
) -> Allowances | None:
    """Return the record with more for a shard, of what no shard has; None if that is nothing."""
    present = record.part_of(shard)
    unassigned = limit - record.total()
    missing = requested - present
    more = Amount(min(unassigned.cpus, missing.cpus), min(unassigned.gpus, missing.gpus))
    if max(more.cpus, more.gpus) < MIN_CHANGE:
        return None
    return record.with_part(shard, present + more)


def fair_share(
    record: Allowances, shard: ShardName, shards: Sequence[ShardName], limit: Amount
) -> Amount:
    """Return a shard's fair share of a limit, by the demand and claims of all shards.

    Every leader comes to the same shares from the same record. The oldest claim comes first: a gang
    that needs nearly all of a limit would never start beside a steady demand elsewhere if the limit
    were divided by demand alone. What nobody asks for is divided evenly, so that small jobs need
    not wait for a change of the record.
    """
    demand = {name: record.demand.get(name, ZERO_AMOUNT).at_most(limit) for name in shards}
    shares = divide_by_demand(limit, demand, _oldest_claim(record, shards, limit))
    spare = limit - sum(shares.values(), start=ZERO_AMOUNT)
    even_share = Amount(
        _zero_if_unlimited(spare.cpus / len(shards)), _zero_if_unlimited(spare.gpus / len(shards))
    )
    return shares[shard] + even_share


def _oldest_claim(
    record: Allowances, shards: Sequence[ShardName], limit: Amount
) -> dict[ShardName, Amount]:
    """Return the oldest claim's amount under its shard's name; empty if there is no claim."""
    claims = {name: record.claims[name] for name in shards if name in record.claims}
    oldest = min(claims, key=lambda name: (claims[name].since, name), default=None)
    if oldest is None:
        return {}
    return {oldest: claims[oldest].amount.at_most(limit)}


def divide_by_demand(
    limit: Amount, demand: Mapping[ShardName, Amount], in_use: Mapping[ShardName, Amount]
) -> dict[ShardName, Amount]:
    """Divide a limit among shards in proportion to their demand.

    What is in use (or reserved for a claim) comes first; only the rest is divided, in proportion to
    each shard's demand beyond that.
    """
    used = {shard: in_use.get(shard, ZERO_AMOUNT) for shard in demand}
    rest = limit - sum(used.values(), start=ZERO_AMOUNT)
    unmet = {shard: asked - used[shard] for shard, asked in demand.items()}
    total_unmet = sum(unmet.values(), start=ZERO_AMOUNT)
    cpus = _satisfiable_fraction(rest.cpus, total_unmet.cpus)
    gpus = _satisfiable_fraction(rest.gpus, total_unmet.gpus)
    return {shard: used[shard] + unmet[shard].scaled(cpus, gpus) for shard in demand}


def round_to_whole_tasks(target: Amount, used: Amount, unit: Amount, round_up: bool) -> Amount:
    """Round what a part has beyond what is used to whole tasks, or gangs, of `unit` each.

    A part that ends in a fraction of a task keeps that fraction from others: two shards with 4.3
    and 3.7 of 8 GPUs use 7.
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
    rounded = math.ceil(count - MIN_CHANGE) if round_up else math.floor(count + MIN_CHANGE)
    return used + unit.scaled(max(0, rounded), max(0, rounded))


def _zero_if_unlimited(amount: float) -> float:
    """Leave out a resource without a limit: it is never counted against anything."""
    return amount if math.isfinite(amount) else 0.0


def _satisfiable_fraction(available: float, requested: float) -> float:
    """Return which fraction of a request, 1 at most, what is available satisfies."""
    return 1.0 if requested <= available else available / requested
