"""Controllers that share a divided fleet: shards change hands while their jobs run."""

from __future__ import annotations

import itertools
import random

import pytest
from support.divided_fleet import (
    SHARD_1,
    SHARD_2,
    MakeCluster,
    add_machines,
    all_shards_led,
    ownership_record,
    read_registry,
    request_move,
    start_divided_fleet,
    submit_random_jobs,
    violations_after_settling,
)
from support.scenarios import Scenario
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.clients.store import Remove
from ryewing.sharding.health import NODE_PREFIX, ControllerHealth
from ryewing.sharding.ownership import Phase
from ryewing.units import MonotonicTime, NodeName


def test_two_shards_are_led_by_two_controllers(divided: MakeCluster) -> None:
    cluster = divided()
    start_divided_fleet(cluster)
    assert {cluster.leader_of(SHARD_1), cluster.leader_of(SHARD_2)} == {"n-0", "n-1"}
    submit_random_jobs(cluster, random.Random(1), 0, 12)
    cluster.run(10.0)
    assert {worker.zone for worker in cluster.workers.values() if worker.tasks} == {"a", "b", "c"}
    for worker in cluster.workers.values():
        cluster.finish_tasks(worker)
    assert cluster.violations_after_settling() == []
    assert set(cluster.rules.final_states.values()) == {"done"}


@pytest.mark.parametrize(("shards", "seed"), [(2, 1), (2, 2), (3, 3), (3, 4)])
def test_moves_without_faults_stop_and_restart_no_task(
    divided: MakeCluster, shards: int, seed: int
) -> None:
    """A hundred moves in all, while gangs wait for their tasks, tasks end and jobs come."""
    cluster = divided(shards, moves_allowed=False)
    rng = random.Random(seed)
    add_machines(cluster, 9, with_gpus=9)
    cluster.run(12.0)
    moved = 0
    for number in range(25):
        submit_random_jobs(cluster, rng, 10 * number, 2)
        cluster.run(rng.choice((0.25, 0.5, 1.0, 3.0)))
        shard = rng.choice([str(name) for name in read_registry(cluster).shards])
        moved += request_move(cluster, shard, rng.choice(CONTROLLERS))
        cluster.run(rng.choice((0.25, 1.0, 2.0)))
        if number % 3 == 0:
            cluster.finish_tasks(rng.choice(list(cluster.workers.values())))
        while not all_shards_led(cluster):
            cluster.run(0.25)
    assert moved > 12
    for _ in range(30):
        cluster.run(4.0)
        for worker in cluster.workers.values():
            for key, found in list(worker.tasks.items()):
                if found.status == "running":
                    worker.end_task(key)
    assert cluster.violations_after_settling() == []
    assert set(cluster.rules.final_states.values()) == {"done"}
    assert set(cluster.rules.starts.values()) == {1}
    assert not cluster.rules.stopped_tasks
    assert {worker.incarnation for worker in cluster.workers.values()} == {1}


def start_jobs_in_both_shards(cluster: SimulatedCluster) -> None:
    """Start an array and a gang in each shard, led by n-0 and n-1."""
    start_divided_fleet(cluster)
    for number, (zone, shape) in enumerate(itertools.product("ab", ("batch", "group"))):
        cluster.submit(
            CONTROLLERS[0], f"run-{number}", shape=shape, zone=zone, task_count=4, cpus=2.0
        )
    cluster.run(10.0)
    assert sum(len(worker.tasks) for worker in cluster.workers.values()) == 16
    assert (cluster.leader_of(SHARD_1), cluster.leader_of(SHARD_2)) == ("n-0", "n-1")


def move_until(cluster: SimulatedCluster, phase: Phase) -> None:
    """Request the move of a shard from n-0 to n-2, and run until it is in a phase."""
    assert request_move(cluster, SHARD_1, "n-2")
    for _ in range(20):
        if ownership_record(cluster, SHARD_1).phase is phase:
            return
        cluster.run(0.25)
    raise AssertionError(ownership_record(cluster, SHARD_1))


def assert_all_done_at_first_attempt(cluster: SimulatedCluster) -> None:
    """Finish all tasks: each was started once and never stopped."""
    cluster.run(2.0)
    for worker in cluster.workers.values():
        cluster.finish_tasks(worker)
    assert violations_after_settling(cluster) == []
    assert set(cluster.rules.final_states.values()) == {"done"}
    assert set(cluster.rules.starts.values()) == {1}
    assert not cluster.rules.stopped_tasks


@pytest.mark.parametrize("back", ["at once", "later"])
@pytest.mark.parametrize("phase", list(Phase))
@pytest.mark.parametrize("lost", CONTROLLERS)
def test_jobs_go_on_when_a_controller_is_lost_at_any_step_of_a_move(
    divided: MakeCluster, lost: str, phase: Phase, back: str
) -> None:
    """Source, target or the third controller: each shard soon has a leader."""
    cluster = divided(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    if phase is Phase.OWNED:
        assert request_move(cluster, SHARD_1, "n-2")
    else:
        move_until(cluster, phase)
    cluster.dead.add(lost)
    if back == "at once":
        cluster.boot(lost)
    cluster.run(14.0)
    assert all_shards_led(cluster)
    if back == "later":
        assert lost not in {ownership_record(cluster, shard).owner for shard in (SHARD_1, SHARD_2)}
    assert_all_done_at_first_attempt(cluster)


@pytest.mark.parametrize("who", CONTROLLERS)
@pytest.mark.parametrize("fault", ["loses_answers", "delays_transactions", "refused"])
def test_jobs_go_on_when_steps_of_a_move_are_unanswered_late_or_refused(
    divided: MakeCluster, who: str, fault: str
) -> None:
    cluster = divided(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    assert request_move(cluster, SHARD_1, "n-2")
    link = cluster.links[who]
    setattr(link, fault, True)
    cluster.run(6.0)
    setattr(link, fault, False)
    link.apply_delayed()
    cluster.run(8.0)
    assert all_shards_led(cluster)
    assert_all_done_at_first_attempt(cluster)


def task_statuses(cluster: SimulatedCluster, job: str) -> list[str]:
    """Return the status of each of a job's tasks on machines."""
    return [
        found.status
        for worker in cluster.workers.values()
        for (reported, _attempt), found in worker.tasks.items()
        if reported.startswith(f"{job}/")
    ]


def a_gang_is_half_started(cluster: SimulatedCluster) -> None:
    """Some of its tasks wait on their machines for the others when the shard is sealed."""
    cluster.submit("n-1", "run-8", shape="group", zone="a", task_count=4, cpus=10.0)
    slow = cluster.workers["i-000003"]
    slow.heartbeats_lost = True
    cluster.run(3.0)
    assert 0 < len(task_statuses(cluster, "run-8")) < 4
    assert request_move(cluster, SHARD_1, "n-2")
    cluster.run(1.0)
    slow.heartbeats_lost = False
    cluster.run(60.0)
    assert task_statuses(cluster, "run-8") == ["running"] * 4
    assert not [task for task in cluster.rules.stopped_tasks if not task.startswith("run-8/")]


def a_gang_is_cancelled(cluster: SimulatedCluster) -> None:
    """Users cancel the jobs of the shard at several steps of the move."""
    move_until(cluster, Phase.SEALED)
    assert cluster.cancel("n-1", "run-1") == 200
    cluster.run(0.25)
    assert cluster.cancel("n-2", "run-0") == 200
    cluster.run(1.0)
    for job in ("run-0", "run-1"):
        cluster.poll_and_resubmit_everywhere(job)
    cluster.run(8.0)
    assert not any(worker.tasks for worker in cluster.workers.values() if worker.zone == "a")


def a_spot_notice_comes(cluster: SimulatedCluster) -> None:
    """The owner of a sealed shard still stops tasks in time to save their progress."""
    assert request_move(cluster, SHARD_1, "n-2")
    for worker in cluster.workers.values():
        worker.notice_s = 10.0 if worker.name == "i-000000" else None
    cluster.run(8.0)
    assert not cluster.workers["i-000000"].tasks


def both_owners_hear_a_worker(cluster: SimulatedCluster) -> None:
    """The old owner redirects the worker, and ignores what it reports."""
    worker = cluster.workers["i-000000"]
    move_until(cluster, Phase.SETTLED)
    cluster.run(1.0)
    for name in ("n-0", "n-2", "n-0"):
        status, answer = cluster.send_heartbeat(name, worker.heartbeat())
        assert (status, answer.get("foreman")) == ((200, None) if name == "n-2" else (421, "n-2"))
    assert cluster.leader("n-0", SHARD_1) is None


def the_owner_of_a_sealed_shard_restarts(cluster: SimulatedCluster) -> None:
    """Its new process does not campaign: the target is the next leader."""
    move_until(cluster, Phase.SEALED)
    cluster.dead.add("n-0")
    cluster.boot("n-0")
    cluster.run(8.0)
    leader = cluster.leader("n-2", SHARD_1)
    assert leader is not None
    assert leader.term.number == 2


def a_health_key_is_lost(cluster: SimulatedCluster) -> None:
    """A late write of an earlier process removes it: others take the shard over, the owner resigns
    although its lease still holds, and then its key comes back."""
    renew_if_due = ControllerHealth.renew_if_due
    health = cluster.coordinators["n-0"].health
    health.renew_if_due = lambda: None  # type: ignore[method-assign]
    cluster.store.txn({}, [Remove(NODE_PREFIX + "n-0")])
    cluster.run(1.0)
    assert ownership_record(cluster, SHARD_1).owner != "n-0"
    assert cluster.leader("n-0", SHARD_1) is None
    health.renew_if_due = lambda: renew_if_due(health)  # type: ignore[method-assign]
    cluster.run(0.75)
    assert "n-0" in read_registry(cluster).healthy


def cancelled_while_the_leader_hears_no_changes(cluster: SimulatedCluster) -> None:
    """The leader of the job's shard learns of the cancel before the user gets an answer."""
    cluster.links["n-0"].watch_hangs = True
    assert cluster.cancel("n-2", "run-0") == 200
    cluster.poll_and_resubmit_everywhere("run-0")
    cluster.run(3.0)
    cluster.poll_and_resubmit_everywhere("run-0")


def a_shard_has_no_owner_for_a_minute(cluster: SimulatedCluster) -> None:
    """The store refuses all controllers in the middle of a move."""
    move_until(cluster, Phase.SETTLED)
    for link in cluster.links.values():
        link.refused = True
    cluster.run(60.0)
    for link in cluster.links.values():
        link.refused = False
    cluster.run(10.0)
    assert all_shards_led(cluster)


def the_owner_can_reach_no_workers(cluster: SimulatedCluster) -> None:
    """It resigns, and leaves the shard to a controller that can."""
    for number in range(6, 15):
        cluster.worker(f"i-{number:06d}", zone="a")
    cluster.run(8.0)
    for worker in cluster.workers.values():
        worker.unreachable.add("n-0")
    cluster.run(16.0)
    assert ownership_record(cluster, SHARD_1).owner != "n-0"


def an_owner_freezes(cluster: SimulatedCluster) -> None:
    """Another controller takes its shard over; when it goes on, it has no lease and resigns."""
    cluster.frozen.add("n-0")
    cluster.run(9.0)
    assert ownership_record(cluster, SHARD_1).owner != "n-0"
    cluster.frozen.clear()
    cluster.run(2.0)
    assert cluster.leader("n-0", SHARD_1) is None


@pytest.mark.parametrize(
    "scenario",
    [
        a_gang_is_half_started,
        a_gang_is_cancelled,
        a_spot_notice_comes,
        both_owners_hear_a_worker,
        the_owner_of_a_sealed_shard_restarts,
        a_health_key_is_lost,
        cancelled_while_the_leader_hears_no_changes,
        a_shard_has_no_owner_for_a_minute,
        the_owner_can_reach_no_workers,
        an_owner_freezes,
    ],
)
def test_no_rule_is_broken_by_what_happens_during_a_move(
    divided: MakeCluster, scenario: Scenario
) -> None:
    cluster = divided(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    scenario(cluster)
    assert violations_after_settling(cluster) == []


def test_the_shards_of_a_lost_controller_come_back_to_it(divided: MakeCluster) -> None:
    """The planner moves them once, after they have settled at other controllers."""
    cluster = divided(3, settle_s=20.0)
    start_divided_fleet(cluster)
    cluster.dead.add("n-1")
    cluster.run(10.0)
    assert all_shards_led(cluster)
    cluster.boot("n-1")
    cluster.run(9.0)
    assert ownership_record(cluster, SHARD_2).owner != "n-1"
    cluster.run(40.0)
    owners = [ownership_record(cluster, shard) for shard in ("shard-1", "shard-2", "shard-3")]
    assert sorted(record.owner for record in owners) == list(CONTROLLERS)
    epochs = [record.epoch for record in owners]
    cluster.run(60.0)
    assert [ownership_record(cluster, f"shard-{n + 1}").epoch for n in range(3)] == epochs


@pytest.mark.parametrize("first", [1, 2], ids=["undivided_first", "divided_first"])
def test_controllers_that_divide_the_fleet_differently_do_not_lead(
    divided: MakeCluster, first: int
) -> None:
    """Nor do undivided ones beside divided ones: only the first ones ever lead."""
    cluster = divided(first)
    if first == 1:
        cluster.shards = None
        for name in CONTROLLERS:
            cluster.coordinators.pop(name)
            cluster.boot(name)
    start_divided_fleet(cluster)
    other = divided(3 if first == 1 else 1)
    other.store = cluster.store
    if first == 2:
        other.shards = None
    for name in CONTROLLERS:
        other.coordinators.pop(name, None)
        other.boot(name)
    other.run(10.0)  # long enough for every lease of the first ones to end
    assert not other.latest_leaders()
    cluster.run(4.0)
    assert len(cluster.latest_leaders()) == first


def test_jobs_go_on_when_two_controllers_plan_differently(divided: MakeCluster) -> None:
    """One of them sees another set of healthy controllers: each shard still has one owner."""
    cluster = divided(3, settle_s=0.0)
    start_jobs_in_both_shards(cluster)
    cluster.dead.add("n-2")
    cluster.run(10.0)
    cluster.boot("n-2")
    cluster.run(0.25)
    seen = read_registry(cluster)
    assert seen.healthy == set(CONTROLLERS)
    for name, healthy in (("n-0", seen.healthy), ("n-1", {NodeName("n-1"), NodeName("n-2")})):
        planner = cluster.coordinators[name]
        planner.rebalancer.planned_at = MonotonicTime(0.0)
        planner.take_due_steps(seen._replace(healthy=healthy))
    cluster.run(20.0)
    assert all_shards_led(cluster)
    assert_all_done_at_first_attempt(cluster)
