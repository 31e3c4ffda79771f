"""The parts of team limits that shards may use: the stored record, and the rules that divide it.

Pure functions on records; amounts are in CPUs and GPUs. All parts of one team's limit are in one
record, so each change is one conditional write on the version that was read.

Invariant: the sum of the parts in a record is at most the team's limit, and no part is below what
may be in use in its shard (docs/design.md, argument 16). The invariant holds when messages are lost
or late and when controllers disagree. Only a shard's leader, which knows what is in use, lowers the
shard's part, and never below that amount (`lower_part`). A part is raised only by amounts that are
in no shard's part (`raise_part`). What a shard's part *should* be (`fair_share`) decides when a
part changes; the invariant does not depend on it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from ryewing.config.settings import Team
from ryewing.units import ShardName

UNLIMITED = math.inf
MIN_CHANGE = 1e-6
"""Smaller differences are rounding errors of earlier changes."""


class Amount(msgspec.Struct, frozen=True):
    """An amount of the resources that team limits apply to: CPUs and GPUs, possibly fractional."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: Amount) -> Amount:
        """Return the sum, resource by resource."""
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Amount) -> Amount:
        """Return the difference, resource by resource, with 0 in place of negative values."""
        return Amount(max(0.0, self.cpus - other.cpus), max(0.0, self.gpus - other.gpus))

    def at_most(self, other: Amount) -> Amount:
        """Return the minimum of two amounts, resource by resource."""
        return Amount(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def at_least(self, other: Amount) -> Amount:
        """Return the maximum of two amounts, resource by resource."""
        return Amount(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def scaled(self, cpus: float, gpus: float) -> Amount:
        """Return the amount with each resource multiplied by its own factor."""
        return Amount(self.cpus * cpus, self.gpus * gpus)


ZERO_AMOUNT = Amount()


class Claim(msgspec.Struct, frozen=True):
    """The amount that a shard's oldest waiting job needs at once to start."""

    amount: Amount
    since: float
    """The wall time at which the job was accepted."""


class Allowances(msgspec.Struct, frozen=True):
    """The stored record of one team: each shard's part of the limit, its demand and its claim."""

    parts: dict[str, Amount] = {}
    """The part of the team's limit that each shard may use."""
    demand: dict[str, Amount] = {}
    """What each shard's running and waiting tasks would use, as last written by its leader."""
    claims: dict[str, Claim] = {}

    def part_of(self, shard: ShardName) -> Amount:
        """Return the part of one shard."""
        return self.parts.get(shard, ZERO_AMOUNT)

    def total(self) -> Amount:
        """Return the sum of all parts."""
        return sum(self.parts.values(), start=ZERO_AMOUNT)

    def with_part(self, shard: ShardName, amount: Amount) -> Allowances:
        """Return the record with a new part for one shard."""
        return msgspec.structs.replace(self, parts={**self.parts, shard: amount})

    def with_demand(self, shard: ShardName, demand: Amount, claim: Claim | None) -> Allowances:
        """Return the record with a new demand and claim of one shard."""
        claims = {name: other for name, other in self.claims.items() if name != shard}
        if claim is not None:
            claims[shard] = claim
        return msgspec.structs.replace(self, demand={**self.demand, shard: demand}, claims=claims)

    def other_shard_lacks(self, shard: ShardName) -> bool:
        """Return whether any shard other than this one demands more than its part."""
        return any(
            name != shard and demand - self.part_of(ShardName(name)) != ZERO_AMOUNT
            for name, demand in self.demand.items()
        )


def team_limit(team: Team) -> Amount:
    """Return a team's limit over all shards; 0 in the settings means no limit."""
    return Amount(team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED)


def lower_part(
    record: Allowances, shard: ShardName, requested: Amount, in_use: Amount
) -> Allowances | None:
    """Lower a shard's part by what it neither requests nor uses; None if nothing changes.

    Only the shard's leader may call this. `in_use` must include what unreachable machines may hold,
    since their tasks may still be running.
    """
    current = record.part_of(shard)
    lowered = current.at_most(requested.at_least(in_use))
    return None if lowered == current else record.with_part(shard, lowered)


def raise_part(
    record: Allowances, shard: ShardName, requested: Amount, limit: Amount
) -> Allowances | None:
    """Raise a shard's part by unassigned amounts of the limit; None if nothing changes."""
    current = record.part_of(shard)
    unassigned = limit - record.total()
    missing = requested - current
    added = Amount(min(unassigned.cpus, missing.cpus), min(unassigned.gpus, missing.gpus))
    if max(added.cpus, added.gpus) < MIN_CHANGE:
        return None
    return record.with_part(shard, current + added)


def fair_share(
    record: Allowances, shard: ShardName, shards: Sequence[ShardName], limit: Amount
) -> Amount:
    """Return a shard's fair share of a limit, by the demand and claims of all shards.

    Every leader computes the same shares from the same record. The oldest claim is satisfied first:
    if the limit were divided by demand alone, a gang that needs nearly all of it would never start
    while another shard has steady demand. Unrequested amounts are divided evenly, so that small
    jobs can start without waiting for a change of the record.
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
    """Return the oldest claim's amount by its shard's name; empty if there is no claim."""
    claims = {name: record.claims[name] for name in shards if name in record.claims}
    oldest = min(claims, key=lambda name: (claims[name].since, name), default=None)
    if oldest is None:
        return {}
    return {oldest: claims[oldest].amount.at_most(limit)}


def divide_by_demand(
    limit: Amount, demand: Mapping[ShardName, Amount], in_use: Mapping[ShardName, Amount]
) -> dict[ShardName, Amount]:
    """Divide a limit among shards in proportion to their demand.

    Each shard first gets what is in use or reserved for a claim there. The rest is divided in
    proportion to each shard's demand beyond that.
    """
    used = {shard: in_use.get(shard, ZERO_AMOUNT) for shard in demand}
    remaining = limit - sum(used.values(), start=ZERO_AMOUNT)
    unmet = {shard: amount - used[shard] for shard, amount in demand.items()}
    total_unmet = sum(unmet.values(), start=ZERO_AMOUNT)
    cpus = _satisfiable_fraction(remaining.cpus, total_unmet.cpus)
    gpus = _satisfiable_fraction(remaining.gpus, total_unmet.gpus)
    return {shard: used[shard] + unmet[shard].scaled(cpus, gpus) for shard in demand}


def round_to_whole_tasks(target: Amount, used: Amount, unit: Amount, round_up: bool) -> Amount:
    """Round the unused amount of a part to whole tasks, or gangs, of `unit` each.

    No shard can use a fraction of a task: two shards with parts of 4.3 and 3.7 of 8 GPUs use 7.
    """
    needs = [
        (amount, unused)
        for amount, unused in (
            (unit.cpus, target.cpus - used.cpus),
            (unit.gpus, target.gpus - used.gpus),
        )
        if amount > 0
    ]
    if not needs:
        return target
    count = min(unused / amount for amount, unused in needs)
    rounded = math.ceil(count - MIN_CHANGE) if round_up else math.floor(count + MIN_CHANGE)
    return used + unit.scaled(max(0, rounded), max(0, rounded))


def _zero_if_unlimited(amount: float) -> float:
    """Return 0 for a resource without a limit, of which no shares are computed."""
    return amount if math.isfinite(amount) else 0.0


def _satisfiable_fraction(available: float, requested: float) -> float:
    """Return the fraction of a request that can be satisfied, at most 1."""
    return 1.0 if requested <= available else available / requested
