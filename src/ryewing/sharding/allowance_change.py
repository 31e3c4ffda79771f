"""Computes how one shard's leader changes a team's record: its demand, its claim and its part.

No requests are sent here; `team_limits` writes the result. `lower_part` and `raise_part` maintain
the invariant that the sum of the parts is at most the limit (`allowance`; docs/design.md, argument
16).
"""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.sharding.allowance import (
    ZERO_AMOUNT,
    Allowances,
    Amount,
    fair_share,
    lower_part,
    raise_part,
)
from ryewing.sharding.team_demand import TeamDemand
from ryewing.units import ShardName

SMALL_FRACTION = 0.05
"""A demand, or a part that no waiting task needs, is not written again while it changes by at most
this fraction of the limit."""


class AllowanceChange:
    """Computes the changes that one shard's leader makes to the records of teams."""

    def __init__(self, shard: ShardName, shards: Sequence[ShardName]) -> None:
        self._shard = shard
        self._shards = shards

    def next_record(self, record: Allowances, demand: TeamDemand) -> Allowances:
        """Return a team's record as this leader should write it, which may be unchanged."""
        requested = demand.requested()
        record = self._with_demand(record, demand, requested)
        target = fair_share(record, self._shard, self._shards, demand.limit)
        rounded = demand.round_target(target, requested)
        if record.other_shard_lacks(self._shard):
            record = lower_part(record, self._shard, rounded.down, demand.in_use()) or record
        if self._is_raise_worthwhile(record, rounded.up, requested, demand.limit):
            record = self._with_raised_part(record, (rounded.up, rounded.down), demand.limit)
        return record

    def _with_demand(self, record: Allowances, demand: TeamDemand, requested: Amount) -> Allowances:
        """Return the record with the current demand and claim, if they are worth a write."""
        part = record.part_of(self._shard)
        lacks = requested - part != ZERO_AMOUNT
        claim = demand.claim() if lacks else None
        recorded = record.demand.get(self._shard, ZERO_AMOUNT)
        recorded_lacks = recorded - part != ZERO_AMOUNT
        if not lacks and not recorded_lacks and not record.other_shard_lacks(self._shard):
            return record  # the demand affects no shard's share
        is_same_claim = claim == record.claims.get(self._shard)
        if is_same_claim and _are_similar(recorded, requested, demand.limit):
            return record
        return record.with_demand(self._shard, requested, claim)

    def _is_raise_worthwhile(
        self, record: Allowances, target: Amount, requested: Amount, limit: Amount
    ) -> bool:
        """Return whether a raise is worth a write: for waiting tasks, or if it is large."""
        part = record.part_of(self._shard)
        return requested - part != ZERO_AMOUNT or not _are_similar(part, target, limit)

    def _with_raised_part(
        self, record: Allowances, amounts: tuple[Amount, Amount], limit: Amount
    ) -> Allowances:
        """Raise the part to the first of the amounts that fits in the limit."""
        for amount in amounts:
            raised = raise_part(record, self._shard, amount, limit)
            if raised is not None and raised.part_of(self._shard).at_least(amount) == amount:
                return raised
        return record


def _are_similar(one: Amount, other: Amount, limit: Amount) -> bool:
    """Return whether two amounts differ by at most SMALL_FRACTION of a limit.

    An amount of 0 is similar only to 0.
    """
    return all(
        abs(a - b) <= SMALL_FRACTION * resource_limit and (a > 0) == (b > 0)
        for a, b, resource_limit in (
            (one.cpus, other.cpus, limit.cpus),
            (one.gpus, other.gpus, limit.gpus),
        )
    )
