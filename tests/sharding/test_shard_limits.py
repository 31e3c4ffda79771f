"""Team limits over shards hold whatever is lost, late, cut off or refused."""

from __future__ import annotations

import random

import pytest
from support.divided_fleet import (
    SHARD_1,
    SHARD_2,
    MakeCluster,
    add_machines,
    request_move,
    violations_after_settling,
)
from support.fakes import GPU
from support.harness import LeaderHarness
from support.scenarios import Scenario
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.clients.store import decode_stored
from ryewing.config.settings import Team
from ryewing.leader.scope import TermScope
from ryewing.sharding.allowance import Allowances, Amount, Claim, limit_of, target_of
from ryewing.sharding.team_demand import TeamDemand
from ryewing.sharding.team_limits import ShardTeamLimits
from ryewing.units import ShardName, Zone

LIMIT = 8.0
"""The GPUs of team red."""


def gpu_jobs(cluster: SimulatedCluster, zone: str, count: int, first: int = 0) -> None:
    """Submit arrays of four tasks with a GPU each."""
    for number in range(first, first + count):
        name = CONTROLLERS[number % 3]
        cluster.submit(name, f"run-{number}", zone=zone, gpus=1.0, cpus=1.0, task_count=4)


def gpus_in_use(cluster: SimulatedCluster, zones: str = "abc") -> int:
    """Count the tasks that have not ended in some zones: each uses one GPU."""
    return sum(
        found.status != "ended"
        for worker in cluster.workers.values()
        if worker.zone in zones
        for found in worker.tasks.values()
    )


def allowances(cluster: SimulatedCluster) -> Allowances:
    """Read the stored parts of team red's limit."""
    entry = cluster.store.get("allowance/red")
    assert entry is not None
    record = decode_stored(entry.data, Allowances, entry.key)
    assert record is not None
    return record


@pytest.fixture
def limited(divided: MakeCluster) -> SimulatedCluster:
    """Two shards with more GPUs each than the team may use."""
    cluster = divided(moves_allowed=False)
    add_machines(cluster, 0, with_gpus=12)
    cluster.run(12.0)
    assert cluster.leader_of(SHARD_1) == "n-0"
    return cluster


def test_the_parts_of_a_limit_follow_the_demand(limited: SimulatedCluster) -> None:
    """All of it goes where the only work is; with work elsewhere too each gets half, to a task."""
    cluster = limited
    gpu_jobs(cluster, "a", 4)
    cluster.run(12.0)
    assert gpus_in_use(cluster) == LIMIT
    gpu_jobs(cluster, "b", 4, first=4)
    for _ in range(8):
        cluster.run(2.0)
        for worker in cluster.workers.values():
            for key in list(worker.tasks)[:1]:
                if worker.zone == "a":
                    worker.end_task(key)
    cluster.run(12.0)
    assert gpus_in_use(cluster) == LIMIT
    assert gpus_in_use(cluster, "b") >= LIMIT / 2 - 1
    cluster.run(20.0)
    writes = cluster.store.writes
    cluster.run(60.0)
    assert cluster.store.writes - writes < 30, "steady demand is written again and again"


def test_a_gang_that_needs_the_whole_limit_starts_beside_a_steady_demand(
    limited: SimulatedCluster,
) -> None:
    cluster = limited
    gpu_jobs(cluster, "a", 2)
    cluster.run(8.0)
    cluster.submit("n-1", "run-50", zone="b", gpus=2.0, cpus=1.0, shape="group", task_count=4)
    for number in range(30):
        gpu_jobs(cluster, "a", 1, first=100 + number)
        cluster.run(2.0)
        for worker in cluster.workers.values():
            for key, found in list(worker.tasks.items()):
                if found.status == "running" and not key[0].startswith("run-50/"):
                    worker.end_task(key)
    assert cluster.rules.starts["run-50/0"] == 1
    assert violations_after_settling(cluster) == []


def owner_gets_no_answers(cluster: SimulatedCluster) -> None:
    """Changes of the parts are applied, and the leader of one shard gets no answers."""
    cluster.links["n-0"].loses_answers = True
    gpu_jobs(cluster, "b", 4, first=20)
    for _ in range(10):
        cluster.run(1.0)
        cluster.finish_tasks(random.Random(1).choice(list(cluster.workers.values())))
    cluster.links["n-0"].loses_answers = False
    gpu_jobs(cluster, "a", 4, first=30)
    cluster.run(20.0)


def a_lowered_part_is_written_late(cluster: SimulatedCluster) -> None:
    """A part is lowered by a write that is applied late, after new work has come."""
    gpu_jobs(cluster, "b", 4, first=20)
    link = cluster.links["n-0"]
    link.delays_transactions = True
    for worker in cluster.workers.values():
        if worker.zone == "a":
            cluster.finish_tasks(worker)
    cluster.run(2.5)
    gpu_jobs(cluster, "a", 4, first=30)
    cluster.run(1.0)
    link.delays_transactions = False
    cluster.run(1.5)
    link.apply_delayed()
    cluster.run(20.0)


def the_store_refuses_one_owner(cluster: SimulatedCluster) -> None:
    """The leader of one shard can change no parts for a while."""
    cluster.links["n-0"].refused = True
    gpu_jobs(cluster, "b", 4, first=20)
    cluster.run(20.0)
    cluster.links["n-0"].refused = False
    cluster.run(20.0)


def machines_are_cut_off_while_jobs_are_cancelled_and_the_shard_moves(
    cluster: SimulatedCluster,
) -> None:
    """Tasks on unreachable machines count until their lease is over, whoever leads the shard."""
    cut_off = [worker for worker in cluster.workers.values() if worker.zone == "a"]
    for number, worker in enumerate(cut_off):
        worker.hangs, worker.heartbeats_lost = bool(number % 2), not number % 2
    for number in range(4):
        cluster.cancel("n-1", f"run-{number}")
    gpu_jobs(cluster, "b", 4, first=20)
    assert request_move(cluster, SHARD_1, "n-2")
    cluster.run(6.0)
    cluster.dead.add("n-2")
    cluster.run(30.0)


@pytest.mark.parametrize(
    "scenario",
    [
        owner_gets_no_answers,
        a_lowered_part_is_written_late,
        the_store_refuses_one_owner,
        machines_are_cut_off_while_jobs_are_cancelled_and_the_shard_moves,
    ],
)
def test_no_team_is_above_its_limit(limited: SimulatedCluster, scenario: Scenario) -> None:
    cluster = limited
    gpu_jobs(cluster, "a", 4)
    cluster.run(12.0)
    assert gpus_in_use(cluster) == LIMIT
    scenario(cluster)
    assert violations_after_settling(cluster) == []
    assert allowances(cluster).total().gpus <= LIMIT


def test_a_part_counts_as_lowered_from_before_the_write_and_as_raised_after_it(
    limited: SimulatedCluster,
) -> None:
    """Without an answer the lower one counts, until a later write is confirmed."""
    cluster = limited
    leader = cluster.leader("n-0", SHARD_1)
    assert leader is not None
    limits = leader.term.team_limits
    assert isinstance(limits, ShardTeamLimits)

    def part() -> float:
        return limits.teams()["red"].gpus_max

    assert part() == pytest.approx(LIMIT / 2)
    cluster.links[
        "n-0"
    ].delays_transactions = True  # its own part is lowered, the answer does not come
    gpu_jobs(cluster, "b", 3)
    cluster.run(4.0)
    low = part()
    assert low < LIMIT / 2
    cluster.links["n-0"].delays_transactions = False
    limits.read_records()
    assert limits.records["red"].record.of(ShardName(SHARD_1)).gpus > low  # as the store has it
    assert part() == low
    gpu_jobs(cluster, "a", 3, first=10)
    cluster.run(4.0)
    assert part() <= LIMIT
    assert violations_after_settling(cluster) == []


RED = limit_of(Team("red", gpus_max=LIMIT))
SHARDS = [ShardName(SHARD_1), ShardName(SHARD_2)]


@pytest.mark.parametrize(
    ("demand", "claims", "targets"),
    [
        pytest.param({}, {}, (4.0, 4.0), id="no_demand"),
        pytest.param({SHARD_1: 6.0}, {}, (7.0, 1.0), id="demand_in_one"),
        pytest.param({SHARD_1: 8.0, SHARD_2: 8.0}, {}, (4.0, 4.0), id="equal_demand"),
        pytest.param({SHARD_1: 30.0, SHARD_2: 2.0}, {}, (6.4, 1.6), id="unequal_demand"),
        pytest.param(
            {SHARD_1: 8.0, SHARD_2: 8.0}, {SHARD_2: (7.0, 5.0)}, (8 / 9, 64 / 9), id="one_claim"
        ),
        pytest.param(
            {SHARD_1: 8.0, SHARD_2: 8.0},
            {SHARD_2: (8.0, 5.0), SHARD_1: (8.0, 4.0)},
            (8.0, 0.0),
            id="older_claim_first",
        ),
    ],
)
def test_the_target_of_each_part(
    demand: dict[str, float],
    claims: dict[str, tuple[float, float]],
    targets: tuple[float, float],
) -> None:
    """Each shard derives the same from one record: the oldest claim, then demand, then evenly."""
    record = Allowances(
        {},
        {shard: Amount(gpus=gpus) for shard, gpus in demand.items()},
        {shard: Claim(Amount(gpus=gpus), since) for shard, (gpus, since) in claims.items()},
    )
    found = [target_of(record, shard, SHARDS, RED).gpus for shard in SHARDS]
    assert found == pytest.approx(list(targets))


def test_small_jobs_get_their_turn_beside_a_gang_that_needs_the_whole_limit(
    limited: SimulatedCluster,
) -> None:
    """The gang can start only once all others have ended: room is kept for it in turns."""
    cluster = limited
    gpu_jobs(cluster, "a", 1)
    cluster.run(6.0)
    cluster.submit("n-1", "run-50", zone="b", gpus=2.0, cpus=1.0, shape="group", task_count=4)
    cluster.run(6.0)
    gpu_jobs(cluster, "a", 1, first=1)
    cluster.run(90.0)
    assert gpus_in_use(cluster, "a") == LIMIT


def test_a_part_is_not_lowered_below_what_unheard_machines_may_hold(
    harness: LeaderHarness,
) -> None:
    harness.scope = TermScope(ShardName(SHARD_1), frozenset({Zone("a")}), 0.5)
    harness.new_leader(5)
    worker = harness.worker("i-000001", machine_type="g4", zone="a")
    harness.ready(worker)
    successor = harness.new_leader(6)
    demand = TeamDemand(successor.term, Team("red", gpus_max=LIMIT))
    assert demand.in_use() == Amount(gpus=GPU.gpus)
    harness.ready(worker)
    assert demand.in_use() == Amount()
