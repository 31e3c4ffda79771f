"""The division of team limits among shards."""

from __future__ import annotations

import random

import pytest

from ryewing.config.settings import Team
from ryewing.sharding.allowance import (
    UNLIMITED,
    Allowances,
    Amount,
    divide_by_demand,
    lower_part,
    raise_part,
    team_limit,
)
from ryewing.units import ShardName

SHARDS = [ShardName(name) for name in ("east", "west", "north")]
EPSILON = 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_parts_never_exceed_the_limit_nor_fall_below_use(seed: int) -> None:
    """Shards raise, use and lower their parts in random order; some conditional writes fail."""
    rng = random.Random(seed)
    limit = team_limit(Team("red", cpus_max=64.0, gpus_max=8.0))
    record = Allowances()
    used = dict.fromkeys(SHARDS, Amount())
    for _ in range(400):
        shard = rng.choice(SHARDS)
        demand = {name: Amount(rng.uniform(0, 64), rng.uniform(0, 8)) for name in SHARDS}
        requested = divide_by_demand(limit, demand, used)[shard]
        change = (
            lower_part(record, shard, rng.choice([requested, Amount()]), used[shard])
            if rng.random() < 0.5
            else raise_part(record, shard, requested, limit)
        )
        if change is not None and rng.random() < 0.8:  # otherwise another write came first
            record = change
        part = record.part_of(shard)
        used[shard] = rng.choice([used[shard], part, part.scaled(rng.random(), rng.random())])
        total = record.total()
        assert total.cpus <= limit.cpus + EPSILON
        assert total.gpus <= limit.gpus + EPSILON
        assert all(used[name].at_most(record.part_of(name)) == used[name] for name in SHARDS)


@pytest.mark.parametrize(
    ("demand", "in_use", "parts"),
    [
        pytest.param((10, 10, 10), (0, 0, 0), (10, 10, 10), id="enough_for_all"),
        pytest.param((90, 30, 0), (0, 0, 0), (45, 15, 0), id="in_proportion_to_demand"),
        pytest.param((60, 60, 0), (60, 0, 0), (60, 0, 0), id="all_in_use"),
        pytest.param((60, 60, 0), (40, 0, 0), (45, 15, 0), id="part_in_use"),
        pytest.param((0, 60, 0), (30, 0, 0), (30, 30, 0), id="in_use_without_demand"),
    ],
)
def test_limit_is_divided_by_demand_beyond_use(
    demand: tuple[float, ...], in_use: tuple[float, ...], parts: tuple[float, ...]
) -> None:
    def amounts(cpus: tuple[float, ...]) -> dict[ShardName, Amount]:
        return {shard: Amount(each) for shard, each in zip(SHARDS, cpus, strict=True)}

    assert divide_by_demand(Amount(60.0, 8.0), amounts(demand), amounts(in_use)) == amounts(parts)


def test_team_without_limit_gets_its_demand() -> None:
    limit = team_limit(Team("blue"))
    assert limit == Amount(UNLIMITED, UNLIMITED)
    demand = {SHARDS[0]: Amount(1e6, 1e3)}
    assert divide_by_demand(limit, demand, {}) == demand
    assert raise_part(Allowances(), SHARDS[0], demand[SHARDS[0]], limit) == Allowances(demand)  # type: ignore[arg-type]
