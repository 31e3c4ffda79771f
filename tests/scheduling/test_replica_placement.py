"""Where replicas go, and when they are moved."""

from __future__ import annotations

import random

import msgspec
import pytest
from support.fakes import CPU, GPU, job_spec, policy
from support.harness import LeaderHarness, starts, verbs
from support.placement_world import T0, World, tasks_by_machine
from support.services import SERVICE, replicas, start_service

from ryewing.autoscaling.scale_in import machines_to_cordon
from ryewing.leader.replica_moves import MOVE_AFTER_CORDON_S, MOVE_DOWNTIME_S, MOVE_DOWNTIME_SHARE
from ryewing.scheduling import SHORT_WAIT_S
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Assignment, Machine
from ryewing.units import Attempt, MachineId, MonotonicTime, TaskId

# -- where replicas go --------------------------------------------------------------------------


def test_less_important_work_is_preempted_for_the_image_rather_than_fetching() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")  # ten seconds for the image
    found = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert not found.batches
    assert len(found.preemptions) == 1
    quick = World()
    quick.machine("i-1").record_image("img-1", 2.0)
    assert tasks_by_machine(quick.plan(quick.job("run-1", **SERVICE, task_count=1))) == {"i-1": 1}


def test_what_exits_at_once_is_stopped_for_a_replica_rather_than_what_saves_first() -> None:
    """Found in an incident: a task that saved for five seconds had least to lose."""
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    saves = world.job("run-8", task_count=4, image="img-9", checkpoint_s=10.0, save_s=5.0)
    world.run_tasks(saves, warm, 4)
    world.run_tasks(world.job("run-9", task_count=4, image="img-9"), warm, 4)
    found = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert [assignment.task.job for assignment in found.preemptions] == ["run-9"]
    only = World()
    slow = only.machine("i-1")
    slow.record_image("img-1", 2.0)
    only.run_tasks(
        only.job("run-8", task_count=8, checkpoint_s=10.0, save_s=9.0, image="img-9"), slow, 8
    )
    only.machine("i-2")  # ten seconds for the image: no later than the save
    small = only.job("run-1", **{**SERVICE, "image_gb": 1.0}, task_count=1)
    assert list(tasks_by_machine(only.plan(small))) == ["i-2"]


def test_replicas_are_not_all_on_one_machine() -> None:
    """One machine held most of a small site's replicas, and died."""
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    for n in range(3):
        world.run_tasks(world.job(f"run-{n}", **SERVICE, task_count=2), world.machine("i-1"), 2)
    found = world.plan(world.job("run-9", **SERVICE, task_count=2))
    assert "i-1" not in tasks_by_machine(found)


def test_a_fetch_that_is_soon_over_is_not_worth_stopping_anything() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")
    tiny = world.job("run-1", **{**SERVICE, "image_gb": 0.2 * (SHORT_WAIT_S - 0.5)}, task_count=1)
    found = world.plan(tiny)
    assert tasks_by_machine(found) == {"i-2": 1}
    assert not found.preemptions


def test_cold_replicas_go_to_machines_of_their_own() -> None:
    """All on one machine, the next service found a single one with the image, and that was full."""
    world = World()
    for n in range(6):
        world.machine(f"i-{n}")
    assert tasks_by_machine(
        world.plan(world.job("run-1", **SERVICE, task_count=4))
    ) == dict.fromkeys(("i-0", "i-1", "i-2", "i-3"), 1)
    few = World()
    few.machine("i-0")
    assert tasks_by_machine(few.plan(few.job("run-1", **SERVICE, task_count=4)))["i-0"] == 4


def test_the_worker_that_reports_soonest_gets_the_start() -> None:
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    waits = {"i-1": 2.6, "i-2": 0.4, "i-3": 1.8}
    found = world.plan(
        world.job("run-1", **SERVICE, task_count=1), next_heartbeat_in_s=lambda m: waits[str(m.id)]
    )
    assert tasks_by_machine(found) == {"i-2": 1}


def test_replicas_keep_out_of_the_way_of_large_tasks() -> None:
    """The third beside a task of 30 processors of 32 keeps such tasks off a machine for good."""
    world = World()
    for name in ("i-1", "i-2"):
        world.machine(name).record_image("img-1", 2.0)
    large = job_spec("run-7", cpus=30.0, memory_gb=8.0)
    found = world.plan(world.job("run-1", **SERVICE, task_count=4), recent_specs=(large,))
    assert tasks_by_machine(found) == {"i-1": 2, "i-2": 2}
    more = world.plan(world.job("run-2", **SERVICE, task_count=6), recent_specs=(large,))
    assert sum(tasks_by_machine(more).values()) == 6  # where there is no other room, they go


def test_where_a_replica_has_to_fetch_the_next_ones_find_room() -> None:
    """Fullest first chose machines of gangs, which don't give way: half of all fetched anew."""
    world = World()
    gangs, arrays = world.machine("i-1"), world.machine("i-2")
    world.run_tasks(world.job("run-8", shape="group", task_count=7), gangs, 7)
    world.run_tasks(world.job("run-9", task_count=6), arrays, 6)
    found = world.plan(world.job("run-1", **{**SERVICE, "image": "img-s"}, task_count=1))
    assert tasks_by_machine(found) == {"i-2": 1}


@pytest.mark.parametrize(("large_vcpus", "expected"), [(16.0, "i-1"), (32.0, "i-2")])
def test_half_a_machine_of_large_tasks_is_kept_off_rather_than_fetching(
    large_vcpus: float, expected: str
) -> None:
    """Beside two gang tasks there was room for two replicas: half of all had to fetch anew."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", **{**SERVICE, "image": "img-9"}, task_count=1), cold, 1)
    large = job_spec("run-7", cpus=large_vcpus, memory_gb=8.0)
    assert cold.warmth("img-1") != warm.warmth("img-1")
    found = world.plan(world.job("run-1", **SERVICE, task_count=1), recent_specs=(large,))
    assert list(tasks_by_machine(found)) == [expected]


@pytest.mark.parametrize("tasks", [1, 2, 3, 5, 8])
def test_the_spread_holds_at_every_single_start(tasks: int) -> None:
    world = World()
    for n in range(6):
        world.machine(f"i-{n}", zone="abc"[n % 3])
    service = world.job("run-1", **SERVICE, task_count=tasks, spread=True)
    rng = random.Random(3)
    for _ in range(60):
        for batch in world.plan(service).batches:
            for machine, count in batch.parts:
                for index in service.dequeue(count):
                    task = TaskId(service.id, index)
                    world.cluster.assign(machine, task, Attempt(1), TaskPhase.RUNNING, T0)
        assert max(service.tasks_by_zone.values()) <= (tasks + 1) // 2
        assert not service.shortfall
        lost = rng.choice([m for m in world.cluster.machines.values() if m.assignments])
        world.cluster.drop(rng.choice(list(lost.assignments.values())), T0)


@pytest.mark.parametrize("priority", ["urgent", "standard"])
def test_a_replica_is_the_last_to_give_way(priority: str) -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    world.run_tasks(service, machine, 1)
    world.run_tasks(world.job("run-9", priority="idle", cpus=16.0, task_count=1), machine, 1)
    found = world.plan(world.job("run-1", priority=priority, cpus=16.0, task_count=1))
    assert [assignment.task.job for assignment in found.preemptions] == ["run-9"]
    better = World()
    there = better.machine("i-1")
    lowest = better.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    better.run_tasks(lowest, there, 1)
    better.run_tasks(better.job("run-9", priority="standard", cpus=16.0, task_count=1), there, 1)
    found = better.plan(better.job("run-1", priority="production", cpus=16.0, task_count=1))
    assert [assignment.task.job for assignment in found.preemptions] == [
        "run-9"
    ]  # though it is of a higher priority
    both = world.plan(world.job("run-2", priority=priority, cpus=32.0, task_count=1))
    assert {assignment.task.job for assignment in both.preemptions} == {"run-8", "run-9"}


def test_less_important_work_stops_no_replica_of_a_higher_priority() -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-9", **{**SERVICE, "cpus": 32.0}, task_count=1)
    world.run_tasks(service, machine, 1)
    guaranteed = world.job("run-1", team="blue", priority="urgent", cpus=32.0)
    guaranteed.guaranteed = True
    assert not world.plan(guaranteed).preemptions


# -- moves --------------------------------------------------------------------------------------


def going(world: World, reason: str) -> tuple[Machine, Assignment]:
    machine = world.machine("i-1", GPU if reason == "unwanted" else CPU)
    machine.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-1", **SERVICE, task_count=1), machine, 1)
    if reason == "notice":
        machine.notice_s = 10.0
    elif reason == "faulty":
        machine.quarantined = True
    else:
        machine.cordoned = True
    return machine, next(iter(machine.assignments.values()))


@pytest.mark.parametrize(
    ("reason", "elsewhere", "moved", "stops"),
    [
        ("notice", "warm", True, 0),
        ("notice", "cold", True, 0),
        ("notice", "full", False, 1),  # room is made first
        ("notice", "none", False, 0),  # it serves on until it must stop
        ("faulty", "warm", True, 0),
        ("faulty", "cold", False, 0),
        ("unwanted", "warm", True, 0),
        ("unwanted", "cold", False, 0),
        ("unwanted", "full", False, 0),
        ("unwanted", "gpus", False, 0),  # the next one to be unwanted
    ],
)
def test_a_replica_is_stopped_for_a_move_only_where_there_is_room(
    reason: str, elsewhere: str, moved: bool, stops: int
) -> None:
    world = World()
    _machine, assignment = going(world, reason)
    if elsewhere != "none":
        expensive = msgspec.structs.replace(GPU, price=99.0)
        there = world.machine("i-2", expensive if elsewhere == "gpus" else CPU)
        if elsewhere != "cold":
            there.record_image("img-1", 2.0)
        if elsewhere == "full":
            world.run_tasks(world.job("run-9", task_count=8, image="img-9"), there, 8)
    found = world.plan(moving=[assignment])
    assert (found.moves == [assignment]) is moved
    assert len(found.preemptions) == stops
    assert not found.batches


def test_a_move_keeps_the_spread() -> None:
    world = World()
    here = world.machine("i-1", zone="a")
    service = world.job("run-1", **SERVICE, task_count=2, spread=True)
    world.run_tasks(service, here, 1)
    world.run_tasks(service, world.machine("i-2", zone="b"), 1)
    here.notice_s = 10.0
    assignment = next(iter(here.assignments.values()))
    assert not world.plan(moving=[assignment]).moves  # only zone b has room, and it has its half
    world.machine("i-3", zone="a")
    assert world.plan(moving=[assignment]).moves == [assignment]


def test_a_machine_about_to_go_hands_its_replica_on(harness: LeaderHarness) -> None:
    one, other = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(one)
    name = start_service(harness, one, task_count=1)
    one.notice_s = 10.0
    assert "halt" not in verbs(harness.exchange(one))  # no room elsewhere: it serves on
    harness.place()
    assert "halt" not in verbs(harness.exchange(one))
    harness.ready(other)
    harness.place()
    assert "halt" in verbs(harness.exchange(one))
    harness.place()
    assert not starts(harness.exchange(other))  # not before it is gone
    harness.exchange(one)
    harness.place()
    assert len(starts(harness.exchange(other))) == 1
    assert list(replicas(harness, name).values()) == [other.name]


def test_moves_off_unwanted_machines_are_few(harness: LeaderHarness) -> None:
    """A third of a service's replicas was moved within minutes, as the GPUs wanted went up and
    down: each move is a gap."""
    dear = [harness.worker(f"i-{n:06d}", machine_type="g4") for n in range(2)]
    harness.ready(*dear)
    start_service(harness, *dear, task_count=8)
    harness.leader.term.began_at = MonotonicTime(harness.clock() - 10_000.0)
    plain = harness.worker("i-000009")
    harness.ready(plain)
    cluster = harness.leader.term.cluster
    cluster.machines[MachineId(plain.name)].record_image("img-s", 2.0)
    for worker in dear:
        machine = cluster.machines[MachineId(worker.name)]
        machine.cordoned, machine.cordoned_since = True, harness.clock()

    def moved(after_s: float) -> int:
        harness.later(after_s)
        harness.exchange(plain)
        harness.later(1.5)  # its next heartbeat is due soon
        harness.place()
        return sum(verbs(harness.exchange(worker)).count("halt") for worker in dear)

    assert moved(MOVE_AFTER_CORDON_S - 4.0) == 0
    assert moved(2.0) == 1
    for worker in dear:
        harness.exchange(worker)
    gap = MOVE_DOWNTIME_S / (MOVE_DOWNTIME_SHARE * 8)
    assert moved(gap - 10.0) == 0
    assert moved(80.0) == 1


def test_machines_with_replicas_are_the_last_of_their_type_to_be_unwanted() -> None:
    world = World()
    machines = [world.machine(f"i-{n}", GPU) for n in range(4)]
    world.run_tasks(world.job("run-1", **SERVICE, task_count=1), machines[3], 1)
    assert machines_to_cordon(machines, 3.0, 0.0, policy()) == {"i-0", "i-1", "i-2"}
