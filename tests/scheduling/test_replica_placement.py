"""On which machines replicas are placed, and when they are moved."""

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

# -- placement ----------------------------------------------------------------------------------


def test_a_replica_preempts_on_a_warm_machine_rather_than_fetch() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")  # it needs ten seconds for the image
    plan = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert not plan.batches
    assert len(plan.preemptions) == 1
    idle = World()
    idle.machine("i-1").record_image("img-1", 2.0)
    assert tasks_by_machine(idle.plan(idle.job("run-1", **SERVICE, task_count=1))) == {"i-1": 1}


def test_a_replica_preempts_tasks_that_exit_at_once_before_tasks_that_save() -> None:
    """In an incident, the victim with the least work to lose saved for five seconds.

    The replica started that much later.
    """
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    saves = world.job("run-8", task_count=4, image="img-9", checkpoint_s=10.0, save_s=5.0)
    world.run_tasks(saves, warm, 4)
    world.run_tasks(world.job("run-9", task_count=4, image="img-9"), warm, 4)
    plan = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert [assignment.task.job for assignment in plan.preemptions] == ["run-9"]
    single = World()
    slow = single.machine("i-1")
    slow.record_image("img-1", 2.0)
    single.run_tasks(
        single.job("run-8", task_count=8, checkpoint_s=10.0, save_s=9.0, image="img-9"), slow, 8
    )
    single.machine("i-2")  # ten seconds for the image, no longer than the save
    small = single.job("run-1", **{**SERVICE, "image_gb": 1.0}, task_count=1)
    assert list(tasks_by_machine(single.plan(small))) == ["i-2"]


def test_replicas_are_not_all_packed_onto_one_machine() -> None:
    """One machine ran most of a small site's replicas when it failed."""
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    for n in range(3):
        world.run_tasks(world.job(f"run-{n}", **SERVICE, task_count=2), world.machine("i-1"), 2)
    plan = world.plan(world.job("run-9", **SERVICE, task_count=2))
    assert "i-1" not in tasks_by_machine(plan)


def test_a_replica_preempts_nothing_to_avoid_a_short_fetch() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")
    tiny = world.job("run-1", **{**SERVICE, "image_gb": 0.2 * (SHORT_WAIT_S - 0.5)}, task_count=1)
    plan = world.plan(tiny)
    assert tasks_by_machine(plan) == {"i-2": 1}
    assert not plan.preemptions


def test_replicas_that_fetch_go_to_different_machines() -> None:
    """When all were on one machine, the next service found only that machine with the image.

    That machine was full.
    """
    world = World()
    for n in range(6):
        world.machine(f"i-{n}")
    assert tasks_by_machine(
        world.plan(world.job("run-1", **SERVICE, task_count=4))
    ) == dict.fromkeys(("i-0", "i-1", "i-2", "i-3"), 1)
    single_machine = World()
    single_machine.machine("i-0")
    assert (
        tasks_by_machine(single_machine.plan(single_machine.job("run-1", **SERVICE, task_count=4)))[
            "i-0"
        ]
        == 4
    )


def test_a_replica_goes_to_the_machine_with_the_next_heartbeat() -> None:
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    waits = {"i-1": 2.6, "i-2": 0.4, "i-3": 1.8}
    plan = world.plan(
        world.job("run-1", **SERVICE, task_count=1), next_heartbeat_in_s=lambda m: waits[str(m.id)]
    )
    assert tasks_by_machine(plan) == {"i-2": 1}


def test_replicas_do_not_displace_large_tasks() -> None:
    """A third replica of one CPU leaves less than 30 of a machine's 32 CPUs.

    Tasks of 30 CPUs then never fit there while it runs.
    """
    world = World()
    for name in ("i-1", "i-2"):
        world.machine(name).record_image("img-1", 2.0)
    large = job_spec("run-7", cpus=30.0, memory_gb=8.0)
    plan = world.plan(world.job("run-1", **SERVICE, task_count=4), recent_specs=(large,))
    assert tasks_by_machine(plan) == {"i-1": 2, "i-2": 2}
    more = world.plan(world.job("run-2", **SERVICE, task_count=6), recent_specs=(large,))
    assert sum(tasks_by_machine(more).values()) == 6  # they are placed if no other machine fits


def test_a_replica_fetches_on_a_machine_where_later_replicas_will_fit() -> None:
    """The fullest machines ran gangs, which can't be preempted for later replicas.

    Half of all replicas then had to fetch the image again.
    """
    world = World()
    gangs, arrays = world.machine("i-1"), world.machine("i-2")
    world.run_tasks(world.job("run-8", shape="group", task_count=7), gangs, 7)
    world.run_tasks(world.job("run-9", task_count=6), arrays, 6)
    plan = world.plan(world.job("run-1", **{**SERVICE, "image": "img-s"}, task_count=1))
    assert tasks_by_machine(plan) == {"i-2": 1}


@pytest.mark.parametrize(("large_vcpus", "expected"), [(16.0, "i-1"), (32.0, "i-2")])
def test_a_replica_displaces_up_to_half_a_machine_of_large_tasks_rather_than_fetch(
    large_vcpus: float, expected: str
) -> None:
    """With two gang tasks per machine, only two replicas fitted, so half of all had to fetch."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 2.0)
    world.run_tasks(world.job("run-9", **{**SERVICE, "image": "img-9"}, task_count=1), cold, 1)
    large = job_spec("run-7", cpus=large_vcpus, memory_gb=8.0)
    assert cold.warmth("img-1") != warm.warmth("img-1")
    plan = world.plan(world.job("run-1", **SERVICE, task_count=1), recent_specs=(large,))
    assert list(tasks_by_machine(plan)) == [expected]


@pytest.mark.parametrize("tasks", [1, 2, 3, 5, 8])
def test_every_placement_keeps_the_spread(tasks: int) -> None:
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
def test_replicas_are_preempted_last(priority: str) -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    world.run_tasks(service, machine, 1)
    world.run_tasks(world.job("run-9", priority="idle", cpus=16.0, task_count=1), machine, 1)
    plan = world.plan(world.job("run-1", priority=priority, cpus=16.0, task_count=1))
    assert [assignment.task.job for assignment in plan.preemptions] == ["run-9"]
    second = World()
    target = second.machine("i-1")
    lowest = second.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    second.run_tasks(lowest, target, 1)
    second.run_tasks(second.job("run-9", priority="standard", cpus=16.0, task_count=1), target, 1)
    plan = second.plan(second.job("run-1", priority="production", cpus=16.0, task_count=1))
    # The task is preempted although the replica has a lower priority.
    assert [assignment.task.job for assignment in plan.preemptions] == ["run-9"]
    both = world.plan(world.job("run-2", priority=priority, cpus=32.0, task_count=1))
    assert {assignment.task.job for assignment in both.preemptions} == {"run-8", "run-9"}


def test_a_job_preempts_no_replica_of_a_higher_priority() -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-9", **{**SERVICE, "cpus": 32.0}, task_count=1)
    world.run_tasks(service, machine, 1)
    guaranteed = world.job("run-1", team="blue", priority="urgent", cpus=32.0)
    guaranteed.guaranteed = True
    assert not world.plan(guaranteed).preemptions


# -- moves --------------------------------------------------------------------------------------


def add_replica_to_move(world: World, reason: str) -> tuple[Machine, Assignment]:
    machine = world.machine("i-1", GPU if reason == "cordoned" else CPU)
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
    ("reason", "elsewhere", "moved", "preemptions"),
    [
        ("notice", "warm", True, 0),
        ("notice", "cold", True, 0),
        ("notice", "full", False, 1),  # another task is preempted first
        ("notice", "none", False, 0),  # the replica runs until the machine is reclaimed
        ("faulty", "warm", True, 0),
        ("faulty", "cold", False, 0),
        ("cordoned", "warm", True, 0),
        ("cordoned", "cold", False, 0),
        ("cordoned", "full", False, 0),
        ("cordoned", "gpus", False, 0),  # that machine would be cordoned next
    ],
)
def test_a_replica_moves_only_to_a_machine_with_free_resources(
    reason: str, elsewhere: str, moved: bool, preemptions: int
) -> None:
    world = World()
    _machine, assignment = add_replica_to_move(world, reason)
    if elsewhere != "none":
        expensive = msgspec.structs.replace(GPU, price=99.0)
        target = world.machine("i-2", expensive if elsewhere == "gpus" else CPU)
        if elsewhere != "cold":
            target.record_image("img-1", 2.0)
        if elsewhere == "full":
            world.run_tasks(world.job("run-9", task_count=8, image="img-9"), target, 8)
    plan = world.plan(moving=[assignment])
    assert (plan.moves == [assignment]) is moved
    assert len(plan.preemptions) == preemptions
    assert not plan.batches


def test_a_move_keeps_the_spread() -> None:
    world = World()
    source = world.machine("i-1", zone="a")
    service = world.job("run-1", **SERVICE, task_count=2, spread=True)
    world.run_tasks(service, source, 1)
    world.run_tasks(service, world.machine("i-2", zone="b"), 1)
    source.notice_s = 10.0
    assignment = next(iter(source.assignments.values()))
    # Only zone b has free resources, and half of the replicas run there already.
    assert not world.plan(moving=[assignment]).moves
    world.machine("i-3", zone="a")
    assert world.plan(moving=[assignment]).moves == [assignment]


def test_a_replica_moves_off_a_machine_with_a_termination_notice(harness: LeaderHarness) -> None:
    one, other = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(one)
    name = start_service(harness, one, task_count=1)
    one.notice_s = 10.0
    assert "halt" not in verbs(harness.exchange(one))  # no other machine is free
    harness.place()
    assert "halt" not in verbs(harness.exchange(one))
    harness.ready(other)
    harness.place()
    assert "halt" in verbs(harness.exchange(one))
    harness.place()
    assert not starts(harness.exchange(other))  # not before the old replica has ended
    harness.exchange(one)
    harness.place()
    assert len(starts(harness.exchange(other))) == 1
    assert list(replicas(harness, name).values()) == [other.name]


def test_moves_off_cordoned_machines_are_rate_limited(harness: LeaderHarness) -> None:
    """Each move leaves a gap without the replica.

    Without the limit, a third of a service's replicas was moved within minutes as the demand for
    GPUs rose and fell.
    """
    gpu_workers = [harness.worker(f"i-{n:06d}", machine_type="g4") for n in range(2)]
    harness.ready(*gpu_workers)
    start_service(harness, *gpu_workers, task_count=8)
    harness.leader.term.started_at = MonotonicTime(harness.clock() - 10_000.0)
    cpu_worker = harness.worker("i-000009")
    harness.ready(cpu_worker)
    cluster = harness.leader.term.cluster
    cluster.machines[MachineId(cpu_worker.name)].record_image("img-s", 2.0)
    for worker in gpu_workers:
        machine = cluster.machines[MachineId(worker.name)]
        machine.cordoned, machine.cordoned_since = True, harness.clock()

    def moved(after_s: float) -> int:
        harness.later(after_s)
        harness.exchange(cpu_worker)
        harness.later(1.5)  # its next heartbeat is due soon
        harness.place()
        return sum(verbs(harness.exchange(worker)).count("halt") for worker in gpu_workers)

    assert moved(MOVE_AFTER_CORDON_S - 4.0) == 0
    assert moved(2.0) == 1
    for worker in gpu_workers:
        harness.exchange(worker)
    gap = MOVE_DOWNTIME_S / (MOVE_DOWNTIME_SHARE * 8)
    assert moved(gap - 10.0) == 0
    assert moved(80.0) == 1


def test_machines_with_replicas_are_the_last_of_their_type_to_be_cordoned() -> None:
    world = World()
    machines = [world.machine(f"i-{n}", GPU) for n in range(4)]
    world.run_tasks(world.job("run-1", **SERVICE, task_count=1), machines[3], 1)
    assert machines_to_cordon(machines, 3.0, 0.0, policy()) == {"i-0", "i-1", "i-2"}
