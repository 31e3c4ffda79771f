"""Controllers of a divided fleet: shards move between them while jobs run."""

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


def test_two_shards_are_led_by_two_controllers(make_divided_cluster: MakeCluster) -> None:
    cluster = make_divided_cluster()
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
    make_divided_cluster: MakeCluster, shards: int, seed: int
) -> None:
    """A hundred moves in all, while gangs are starting, tasks end and jobs are submitted."""
    cluster = make_divided_cluster(shards, moves_allowed=False)
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
    """Request the move of a shard from n-0 to n-2, and run until it has reached a phase."""
    assert request_move(cluster, SHARD_1, "n-2")
    for _ in range(20):
        if ownership_record(cluster, SHARD_1).phase is phase:
            return
        cluster.run(0.25)
    raise AssertionError(ownership_record(cluster, SHARD_1))


def assert_all_done_at_first_attempt(cluster: SimulatedCluster) -> None:
    """End all tasks and check that each was started once and never stopped."""
    cluster.run(2.0)
    for worker in cluster.workers.values():
        cluster.finish_tasks(worker)
    assert violations_after_settling(cluster) == []
    assert set(cluster.rules.final_states.values()) == {"done"}
    assert set(cluster.rules.starts.values()) == {1}
    assert not cluster.rules.stopped_tasks


@pytest.mark.parametrize("restart", ["at once", "later"])
@pytest.mark.parametrize("phase", list(Phase))
@pytest.mark.parametrize("failed", CONTROLLERS)
def test_jobs_continue_when_a_controller_fails_at_any_step_of_a_move(
    make_divided_cluster: MakeCluster, failed: str, phase: Phase, restart: str
) -> None:
    """The source, the target or the third controller fails: each shard soon has a leader."""
    cluster = make_divided_cluster(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    if phase is Phase.OWNED:
        assert request_move(cluster, SHARD_1, "n-2")
    else:
        move_until(cluster, phase)
    cluster.dead.add(failed)
    if restart == "at once":
        cluster.boot(failed)
    cluster.run(14.0)
    assert all_shards_led(cluster)
    if restart == "later":
        assert failed not in {
            ownership_record(cluster, shard).owner for shard in (SHARD_1, SHARD_2)
        }
    assert_all_done_at_first_attempt(cluster)


@pytest.mark.parametrize("controller", CONTROLLERS)
@pytest.mark.parametrize("fault", ["loses_answers", "delays_transactions", "refused"])
def test_jobs_continue_when_steps_of_a_move_are_unanswered_late_or_refused(
    make_divided_cluster: MakeCluster, controller: str, fault: str
) -> None:
    cluster = make_divided_cluster(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    assert request_move(cluster, SHARD_1, "n-2")
    link = cluster.links[controller]
    setattr(link, fault, True)
    cluster.run(6.0)
    setattr(link, fault, False)
    link.apply_delayed()
    cluster.run(8.0)
    assert all_shards_led(cluster)
    assert_all_done_at_first_attempt(cluster)


def task_statuses(cluster: SimulatedCluster, job: str) -> list[str]:
    """Return the statuses of a job's tasks on all machines."""
    return [
        found.status
        for worker in cluster.workers.values()
        for (reported, _attempt), found in worker.tasks.items()
        if reported.startswith(f"{job}/")
    ]


def gang_is_partly_started(cluster: SimulatedCluster) -> None:
    """Some tasks of a gang wait on their machines for the others when the shard is sealed."""
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


def jobs_are_cancelled(cluster: SimulatedCluster) -> None:
    """Users cancel the jobs of the shard in different phases of the move."""
    move_until(cluster, Phase.SEALED)
    assert cluster.cancel("n-1", "run-1") == 200
    cluster.run(0.25)
    assert cluster.cancel("n-2", "run-0") == 200
    cluster.run(1.0)
    for job in ("run-0", "run-1"):
        cluster.poll_and_resubmit_everywhere(job)
    cluster.run(8.0)
    assert not any(worker.tasks for worker in cluster.workers.values() if worker.zone == "a")


def spot_notice_arrives(cluster: SimulatedCluster) -> None:
    """The owner of a sealed shard still stops tasks in time to save their progress."""
    assert request_move(cluster, SHARD_1, "n-2")
    for worker in cluster.workers.values():
        worker.notice_s = 10.0 if worker.name == "i-000000" else None
    cluster.run(8.0)
    assert not cluster.workers["i-000000"].tasks


def worker_sends_heartbeats_to_both_owners(cluster: SimulatedCluster) -> None:
    """The old owner redirects the worker and ignores its report."""
    worker = cluster.workers["i-000000"]
    move_until(cluster, Phase.SETTLED)
    cluster.run(1.0)
    for name in ("n-0", "n-2", "n-0"):
        status, answer = cluster.send_heartbeat(name, worker.heartbeat())
        assert (status, answer.get("foreman")) == ((200, None) if name == "n-2" else (421, "n-2"))
    assert cluster.leader("n-0", SHARD_1) is None


def owner_of_sealed_shard_restarts(cluster: SimulatedCluster) -> None:
    """The new process of the owner does not campaign, so the target is the next leader."""
    move_until(cluster, Phase.SEALED)
    cluster.dead.add("n-0")
    cluster.boot("n-0")
    cluster.run(8.0)
    leader = cluster.leader("n-2", SHARD_1)
    assert leader is not None
    assert leader.term.number == 2


def health_key_is_removed(cluster: SimulatedCluster) -> None:
    """A late write of an earlier process removes the health key of the owner.

    Another controller takes over the shard. The owner resigns although its lease is still valid,
    and then writes its health key again.
    """
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


def job_is_cancelled_while_the_leader_sees_no_changes(cluster: SimulatedCluster) -> None:
    """The leader of the job's shard learns of the cancel before the user gets an answer."""
    cluster.links["n-0"].watch_hangs = True
    assert cluster.cancel("n-2", "run-0") == 200
    cluster.poll_and_resubmit_everywhere("run-0")
    cluster.run(3.0)
    cluster.poll_and_resubmit_everywhere("run-0")


def shard_has_no_owner_for_a_minute(cluster: SimulatedCluster) -> None:
    """The store refuses all controllers during a move."""
    move_until(cluster, Phase.SETTLED)
    for link in cluster.links.values():
        link.refused = True
    cluster.run(60.0)
    for link in cluster.links.values():
        link.refused = False
    cluster.run(10.0)
    assert all_shards_led(cluster)


def owner_can_reach_no_workers(cluster: SimulatedCluster) -> None:
    """The owner resigns, and transfers the shard to a controller that can reach them."""
    for number in range(6, 15):
        cluster.worker(f"i-{number:06d}", zone="a")
    cluster.run(8.0)
    for worker in cluster.workers.values():
        worker.unreachable.add("n-0")
    cluster.run(16.0)
    assert ownership_record(cluster, SHARD_1).owner != "n-0"


def owner_freezes(cluster: SimulatedCluster) -> None:
    """Another controller takes over the shard; the owner resumes without a lease and resigns."""
    cluster.frozen.add("n-0")
    cluster.run(9.0)
    assert ownership_record(cluster, SHARD_1).owner != "n-0"
    cluster.frozen.clear()
    cluster.run(2.0)
    assert cluster.leader("n-0", SHARD_1) is None


@pytest.mark.parametrize(
    "scenario",
    [
        gang_is_partly_started,
        jobs_are_cancelled,
        spot_notice_arrives,
        worker_sends_heartbeats_to_both_owners,
        owner_of_sealed_shard_restarts,
        health_key_is_removed,
        job_is_cancelled_while_the_leader_sees_no_changes,
        shard_has_no_owner_for_a_minute,
        owner_can_reach_no_workers,
        owner_freezes,
    ],
)
def test_events_during_a_move_break_no_rule(
    make_divided_cluster: MakeCluster, scenario: Scenario
) -> None:
    cluster = make_divided_cluster(moves_allowed=False)
    start_jobs_in_both_shards(cluster)
    scenario(cluster)
    assert violations_after_settling(cluster) == []


def test_shards_of_a_failed_controller_return_after_its_restart(
    make_divided_cluster: MakeCluster,
) -> None:
    """The planner moves them once, after `settle_s` at the other controllers has passed."""
    cluster = make_divided_cluster(3, settle_s=20.0)
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
def test_controllers_with_a_different_division_do_not_lead(
    make_divided_cluster: MakeCluster, first: int
) -> None:
    """Only the controllers that start first ever lead, also if either group has no division."""
    cluster = make_divided_cluster(first)
    if first == 1:
        cluster.shards = None
        for name in CONTROLLERS:
            cluster.coordinators.pop(name)
            cluster.boot(name)
    start_divided_fleet(cluster)
    other = make_divided_cluster(3 if first == 1 else 1)
    other.store = cluster.store
    if first == 2:
        other.shards = None
    for name in CONTROLLERS:
        other.coordinators.pop(name, None)
        other.boot(name)
    other.run(10.0)  # longer than the leases of the first controllers
    assert not other.latest_leaders()
    cluster.run(4.0)
    assert len(cluster.latest_leaders()) == first


def test_jobs_continue_when_two_controllers_plan_differently(
    make_divided_cluster: MakeCluster,
) -> None:
    """Two controllers see different sets of healthy ones: each shard still has one owner."""
    cluster = make_divided_cluster(3, settle_s=0.0)
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
