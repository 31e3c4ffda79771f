"""On which machines a cycle places tasks of arrays and gangs, and which tasks it preempts."""

from __future__ import annotations

from typing import Any

import pytest
from support.fakes import GPU, job
from support.placement_world import T0, TEAMS, World, tasks_by_machine

from ryewing.scheduling import preemption, queueing
from ryewing.units import JobId, MonotonicTime, WallTime
from ryewing.wire.workers import Heartbeat, ReportedTask


def test_the_fullest_fitting_machine_is_used_first() -> None:
    world = World()
    world.machine("i-1")
    world.run_tasks(world.job("run-9", task_count=5), world.machine("i-2"), 5)
    assert tasks_by_machine(world.plan(world.job("run-1", task_count=4))) == {"i-2": 3, "i-1": 1}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"task_count": 16}, 16),  # 8 per machine
        ({"task_count": 17, "shape": "group"}, 0),  # all members or none
        ({"task_count": 16, "shape": "group"}, 16),
        ({"task_count": 16, "shape": "group", "same_zone": True}, 0),  # 8 per zone
        ({"task_count": 8, "shape": "group", "same_zone": True}, 8),
        ({"task_count": 16, "same_zone": True}, 8),
        ({"task_count": 9, "spread": True}, 9),  # 5 and 4 per zone
        ({"task_count": 16, "spread": True, "zone": "a"}, 8),
        ({"task_count": 16, "zone": "b"}, 8),
        ({"task_count": 16, "machine_types": ["g4"]}, 0),
        ({"task_count": 20, "team": "blue"}, 16),  # the team's limit is 64 CPUs
    ],
)
def test_placement_follows_the_constraints_of_the_spec(
    changes: dict[str, Any], expected: int
) -> None:
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    world.machine("i-3", zone="c", spot=True)  # these jobs may not use spot machines
    placed = tasks_by_machine(world.plan(world.job("run-1", **changes)))
    assert sum(placed.values()) == expected
    assert "i-3" not in placed


def test_spread_counts_tasks_that_already_run() -> None:
    world = World()
    a, b = world.machine("i-1", zone="a"), world.machine("i-2", zone="b")
    waiting_job = world.job("run-1", task_count=8, spread=True)
    world.run_tasks(waiting_job, a, 4)
    assert tasks_by_machine(world.plan(waiting_job)) == {b.id: 4}


def test_a_same_zone_job_stays_in_the_zone_of_its_running_tasks() -> None:
    world = World()
    a = world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    waiting_job = world.job("run-1", task_count=12, same_zone=True)
    world.run_tasks(waiting_job, a, 8)  # zone a is full
    assert tasks_by_machine(world.plan(waiting_job)) == {}


@pytest.mark.parametrize(("unreconciled", "expected"), [((0.0, 0.0), 8), ((0.0, 4.0), 4)])
def test_unreconciled_resources_count_against_limits(
    unreconciled: tuple[float, float], expected: int
) -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}", GPU)
    placed = tasks_by_machine(
        world.plan(world.job("run-1", task_count=12, gpus=1.0), unreconciled=unreconciled)
    )
    assert sum(placed.values()) == expected
    world.run_tasks(world.job("run-2", task_count=2, gpus=1.0), world.machine("i-9", GPU), 2)
    placed = tasks_by_machine(
        world.plan(world.job("run-3", task_count=12, gpus=1.0), unreconciled=unreconciled)
    )
    assert sum(placed.values()) == expected - 2


def test_tasks_without_gpus_leave_cpus_for_gpu_tasks() -> None:
    """On a lightly loaded day, GPUs stayed idle because other tasks held the machines' CPUs."""
    world = World()
    world.machine("i-1", GPU)  # 24 CPUs, 4 GPUs
    world.job("run-9", gpus=1.0, cpus=5.0)
    assert tasks_by_machine(world.plan(world.job("run-1", task_count=9, cpus=2.0))) == {"i-1": 2}
    urgent = world.job("run-2", priority="urgent", cpus=15.0, task_count=1)
    assert tasks_by_machine(world.plan(urgent)) == {"i-1": 1}  # a higher priority is exempt


@pytest.mark.parametrize(("gpus_kept", "expected"), [(0.0, 24), (2.0, 14), (5.0, 4), (99.0, 4)])
def test_the_gpu_reserve_covers_only_the_expected_gpu_demand(
    gpus_kept: float, expected: int
) -> None:
    """Without this limit, 200 CPUs stayed idle because they were reserved for unneeded GPUs."""
    world = World()
    for n in range(2):
        world.machine(f"i-{n}", GPU)
    world.job("run-9", gpus=1.0, cpus=5.0)
    waiting_job = world.job("run-1", task_count=40, cpus=2.0, memory_gb=1.0)
    assert sum(tasks_by_machine(world.plan(waiting_job, gpus_kept=gpus_kept)).values()) == expected


def test_an_urgent_gang_preempts_rather_than_strand_gpus() -> None:
    """On lightly loaded days, gangs ran for minutes on machines whose GPUs then became unusable."""
    world = World()
    world.machine("i-1", GPU)
    idle = world.job("run-9", task_count=8)
    world.run_tasks(idle, world.machine("i-2"), 8)
    world.job("run-8", gpus=1.0, cpus=5.0)
    urgent = world.job("run-2", priority="urgent", cpus=15.0, task_count=1, shape="group")
    plan = world.plan(urgent)
    assert tasks_by_machine(plan) == {}
    assert not plan.unplaced
    assert {assignment.machine.id for assignment in plan.preemptions} == {"i-2"}


def test_placing_by_gpu_count_keeps_a_same_zone_job_in_one_zone() -> None:
    """Machines without GPUs are tried first, then machines with GPUs.

    The second step chose its zone without regard to the tasks placed by the first.
    """
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", GPU, zone="b")
    world.job("run-8", gpus=1.0)
    waiting_job = world.job("run-1", priority="urgent", task_count=12, same_zone=True)
    assert tasks_by_machine(world.plan(waiting_job)) == {"i-1": 8}


def test_preemption_tries_every_zone() -> None:
    """An urgent job was never placed, because it was restricted to the first zone examined."""
    world = World()
    idle = world.job("run-9", priority="idle", task_count=96, cpus=1.0, memory_gb=1.0)
    for n, zone in enumerate("abc"):
        world.run_tasks(idle, world.machine(f"i-{n}", zone=zone), 32)
    jobs = [
        world.job(
            f"run-{n}", priority="urgent", task_count=1, cpus=30.0, shape="group", same_zone=True
        )
        for n in range(3)
    ]
    plan = world.plan(*jobs)
    assert not plan.unplaced
    assert len(plan.preemptions) == 90


@pytest.mark.parametrize(
    ("priority", "team", "guaranteed", "victim_priority", "victim_guaranteed", "expected"),
    [
        ("urgent", "red", False, "standard", False, True),
        ("standard", "red", False, "standard", False, False),
        ("idle", "red", False, "standard", False, False),
        ("standard", "red", True, "standard", False, True),  # beyond its guarantee: yes
        ("standard", "blue", True, "standard", False, False),  # same team: no
        ("urgent", "red", False, "idle", True, False),  # a guaranteed victim: no
        ("standard", "red", True, "standard", True, False),  # both guaranteed: no
        ("standard", "red", True, "urgent", False, False),  # a victim of higher priority: no
    ],
)
def test_which_jobs_may_preempt_a_task(
    priority: str,
    team: str,
    guaranteed: bool,
    victim_priority: str,
    victim_guaranteed: bool,
    expected: bool,
) -> None:
    world = World()
    machine = world.machine("i-1")
    victim = world.job("run-9", priority=victim_priority, team="blue", task_count=1)
    victim.guaranteed = victim_guaranteed
    world.run_tasks(victim, machine, 1)
    waiting_job = world.job("run-1", priority=priority, team=team)
    waiting_job.guaranteed = guaranteed
    assignment = next(iter(machine.assignments.values()))
    assert preemption.may_preempt(waiting_job, assignment) is expected


def test_releasing_resources_are_claimed_only_once() -> None:
    world = World()
    machine = world.machine("i-1")
    idle = world.job("run-9", priority="idle", task_count=8)
    world.run_tasks(idle, machine, 8)
    plan = world.plan(
        world.job("run-1", priority="urgent", task_count=2), world.job("run-2", task_count=8)
    )
    assert len(plan.preemptions) == 8  # two for the first job, the rest for the second
    assert [(unplaced.id, n) for unplaced, n in plan.unplaced] == [("run-2", 2)]


def test_the_sample_bounds_the_machines_used_for_one_job() -> None:
    world = World()
    for n in range(300):
        world.machine(f"i-{n}")
    plan = world.plan(world.job("run-1", task_count=100_000, team="red"), sample=16)
    assert len(tasks_by_machine(plan)) == 16


def test_arrays_wait_briefly_for_warm_machines_and_gangs_do_not() -> None:
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 1.0)
    world.run_tasks(world.job("run-9", task_count=8, image="other"), warm, 8)
    array = world.job("run-1", task_count=1, image_gb=1.0)
    other = world.job("run-8", task_count=6, image_gb=1.0)  # so that CPUs are not plentiful
    assert tasks_by_machine(world.plan(array, other)) == {}
    assert (
        tasks_by_machine(world.plan(array, other, now=102.6))[cold.id] >= 1
    )  # half of the 5 s fetch
    assert tasks_by_machine(
        world.plan(world.job("run-2", task_count=1, shape="group", image_gb=1.0))
    ) == {cold.id: 1}


def test_arrays_do_not_wait_for_an_image_while_resources_are_plentiful() -> None:
    """On a lightly loaded day, arrays of many tasks waited although hundreds of GPUs were free."""
    world = World()
    world.machine("i-1").record_image("img-1", 5.0)
    world.run_tasks(world.job("run-9", task_count=8, image="other"), world.machine("i-1"), 8)
    for n in range(2, 5):
        world.machine(f"i-{n}")
    array = world.job("run-1", task_count=12, image_gb=5.0)  # 25 s at 0.2 GB/s
    # The warm machine runs six tasks within the time of a fetch; the others fetch immediately.
    assert sum(tasks_by_machine(world.plan(array)).values()) == 6
    many = world.job("run-2", task_count=50, image_gb=5.0)
    # Without plentiful resources, only machines that would stay idle begin a fetch, for one task.
    assert tasks_by_machine(world.plan(array, many)) == {"i-2": 1, "i-3": 1, "i-4": 1}


@pytest.mark.parametrize(
    ("tasks", "fetching", "expected"),
    [
        (4, None, {}),  # 4 tasks of 30 s: the busy warm machine is free sooner than a fetch ends
        (40, None, {"i-2": 1}),  # more than it can run within a fetch: one task begins a fetch
        (40, "img-7", {}),  # a second fetch would share the rate, so neither would end sooner
        (40, "img-1", {"i-2": 7}),  # already being fetched: idle resources may wait for it
    ],
)
def test_cold_starts_only_for_tasks_that_warm_machines_cannot_run(
    tasks: int, fetching: str | None, expected: dict[str, int]
) -> None:
    """On a busy day with fetches of a minute, fetching tasks held a third of the GPUs in use."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 10.0)
    world.run_tasks(world.job("run-9", task_count=8, image="img-9"), warm, 8)
    if fetching is not None:
        other = world.job("run-8", task_count=1, image=fetching, image_gb=10.0)
        world.run_tasks(other, cold, 1)
    array = world.job("run-1", task_count=tasks, image_gb=10.0)  # 50 s at 0.2 GB/s
    # The filler keeps CPUs from being plentiful.
    filler = world.job("run-7", task_count=90, image="img-0", machine_types=["g4"])
    plan = world.plan(array, filler)
    assert tasks_by_machine(plan) == expected
    if not expected and tasks == 4:
        # Nothing is rented for it.
        assert array not in [unplaced for unplaced, _count in plan.unplaced]
        # Once it has waited for as long as a fetch takes, it may fetch on idle machines.
        assert tasks_by_machine(world.plan(array, filler, now=140.0)) == {}
        assert tasks_by_machine(world.plan(array, filler, now=151.0)) == {"i-2": 1}


def test_resources_freed_for_one_job_are_available_to_another_in_the_same_cycle() -> None:
    """A cycle caches where a task might fit, and updates the cache when it stops a task."""
    world = World()
    large = world.job("run-9", task_count=1, cpus=32.0, memory_gb=1.0)
    world.run_tasks(large, world.machine("i-1"), 1)
    # No job has a higher priority than the job with GPUs.
    world.job("run-8", priority="production", gpus=1.0)
    before = world.job("run-1", priority="idle", task_count=1, cpus=8.0)
    urgent = world.job("run-2", priority="urgent", task_count=1)
    after = world.job("run-3", task_count=1, cpus=8.0)
    plan = world.plan(before, urgent, after)
    assert len(plan.preemptions) == 1
    assert [unplaced for unplaced, _count in plan.unplaced] == [before]


@pytest.mark.parametrize(
    ("images", "took_s", "share"),
    [
        (["run-1", "run-2"], 11.0, False),
        (["run-1", "run-2"], 20.0, True),
        (["run-1"], 20.0, False),  # a slow single fetch is no evidence of sharing
    ],
)
def test_whether_fetches_share_the_rate_is_learned(
    images: list[str], took_s: float, share: bool
) -> None:
    """The protocol says only that fetches may share the rate.

    Where they do not, fetching one image after the other wasted half of the available rate.
    """
    world = World()
    now = 0.0
    for n in range(20):
        machine = world.machine(f"i-{n}")
        for ref in images:
            fetching = world.job(ref, image=ref, image_gb=2.0, task_count=100)  # 10 s at 0.2 GB/s
            world.run_tasks(fetching, machine, 1)
        assert not world.cluster.is_fetch_rate_shared()
    for machine in world.cluster.machines.values():
        for status, at in (("fetching", now), ("running", now + took_s)):
            shown = [
                ReportedTask(str(task), 1, status)
                for task, assignment in machine.assignments.items()
            ]
            tick = machine.version.sequence + 1
            heartbeat = Heartbeat(machine.id, 1, tick, 0, "c32", "a", tasks=shown)
            world.cluster.apply_heartbeat(
                machine, heartbeat, MonotonicTime(T0 + at), is_heartbeat=True
            )
    assert world.cluster.is_fetch_rate_shared() is share


def test_a_missing_gang_member_goes_to_a_machine_with_the_image() -> None:
    """On a busy day, each member whose wait timed out was replaced on a machine that had to fetch.

    The other members then timed out too, and this continued for minutes.
    """
    world = World()
    world.machine("i-1")  # it has no GPUs, so it would otherwise be chosen first
    warm, other = world.machine("i-2", GPU), world.machine("i-3")
    warm.record_image("img-1", 5.0)
    world.job("run-9", gpus=1.0)  # a job with GPUs and a lower priority
    gang = world.job(
        "run-1", shape="group", priority="urgent", task_count=2, cpus=20.0, image_gb=5.0
    )
    world.run_tasks(gang, other, 1)
    assert tasks_by_machine(world.plan(gang)) == {"i-2": 1}
    none = queueing.Supply()
    jobs = [world.job("run-8", priority="production"), gang]
    assert queueing.order(jobs, [], none, none, WallTime(0.0))[0] is gang


def test_a_job_that_fails_everywhere_gets_one_task_even_if_machines_are_idle() -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}")
    failing = world.job("run-1", task_count=20, image_gb=10.0)
    failing.backoff_s = 2.0
    assert sum(tasks_by_machine(world.plan(failing)).values()) == 1


def test_a_gang_avoids_machines_that_are_fetching() -> None:
    """On a busy day, one member's fetch ended 40 s late, and the waits of the others timed out."""
    world = World()
    for n in range(4):
        world.machine(f"i-{n}")
    other = world.job("run-9", task_count=1, image="img-9", image_gb=5.0)
    world.run_tasks(
        other, world.machine("i-0"), 1
    )  # the fullest, so it would otherwise be chosen first
    gang = world.job("run-1", shape="group", task_count=3, cpus=20.0, image_gb=2.0)
    assert set(tasks_by_machine(world.plan(gang))) == {"i-1", "i-2", "i-3"}


def test_one_task_begins_a_long_fetch_and_nothing_is_rented_for_the_others() -> None:
    """On lightly loaded days, whole machines with their GPUs waited for a fetch of a minute."""
    world = World()
    world.machine("i-1")
    array = world.job("run-1", task_count=8, image_gb=5.0)  # 25 s at 0.2 GB/s
    plan = world.plan(array)
    assert tasks_by_machine(plan) == {"i-1": 1}
    assert not plan.unplaced
    assert tasks_by_machine(world.plan(world.job("run-2", task_count=8, image_gb=1.0))) == {
        "i-1": 8
    }


def test_a_machine_that_failed_a_task_gets_one_at_a_time() -> None:
    """In inc-9466, 16 tasks failed on a faulty machine, and it then got 32 tasks of other jobs."""
    world = World()
    suspect = world.machine("i-1")
    suspect.failed_jobs.add(JobId("run-9"))
    waiting_job = world.job("run-1", task_count=8)
    assert tasks_by_machine(world.plan(waiting_job)) == {"i-1": 1}
    world.run_tasks(waiting_job, suspect, 1)
    assert tasks_by_machine(world.plan(waiting_job)) == {}
    suspect.failed_jobs.clear()  # as when a task finishes
    assert tasks_by_machine(world.plan(waiting_job)) == {"i-1": 7}


def test_a_machine_where_jobs_take_longer_than_elsewhere_is_used_last() -> None:
    world = World()
    slow, other = world.machine("i-1"), world.machine("i-2")
    world.run_tasks(
        world.job("run-9", task_count=1), slow, 1
    )  # the fuller one, so it would otherwise be chosen first
    many = world.job("run-8", task_count=50)
    world.job_table.record_run_time(many, 20.0)
    for _ in range(2):
        slow.record_relative_run_time(many, 40.0)
    assert not slow.is_straggler()  # two tasks are too few
    slow.record_relative_run_time(many, 40.0)
    other.record_relative_run_time(many, 24.0)
    assert slow.is_straggler()
    assert not other.is_straggler()
    assert tasks_by_machine(world.plan(world.job("run-1", task_count=1))) == {"i-2": 1}
    assert tasks_by_machine(world.plan(world.job("run-2", task_count=12)))["i-1"] == 4


def test_guarantee_counts_earlier_unfinished_jobs() -> None:
    jobs = [
        job("run-1", at=1.0, gpus=1.0, task_count=3),
        job("run-2", at=2.0, gpus=1.0, task_count=3),
        job("run-3", at=3.0, gpus=1.0, task_count=1),
        job("run-4", at=3.0, gpus=0.0, task_count=1),
        job("run-5", at=9.0, gpus=1.0, task_count=4, team="blue"),
    ]
    preemption.mark_guaranteed_jobs(jobs, TEAMS)
    assert [each.guaranteed for each in jobs] == [True, False, False, False, True]
    for index in range(3):
        jobs[0].finish(index)
    preemption.mark_guaranteed_jobs(jobs, TEAMS)  # decided once, in a job's first cycle
    assert [each.guaranteed for each in jobs] == [True, False, False, False, True]
