"""Where tasks go."""

from __future__ import annotations

from typing import Any

import pytest
from support.fakes import GPU, job
from support.placement_world import T0, TEAMS, World, tasks_by_machine

from ryewing.scheduling import preemption, queueing
from ryewing.units import JobId, MonotonicTime, WallTime
from ryewing.wire.workers import Heartbeat, ReportedTask


def test_fullest_fitting_machine_first() -> None:
    world = World()
    world.machine("i-1")
    world.run_tasks(world.job("run-9", task_count=5), world.machine("i-2"), 5)
    assert tasks_by_machine(world.plan(world.job("run-1", task_count=4))) == {"i-2": 3, "i-1": 1}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"task_count": 16}, 16),  # 8 a machine
        ({"task_count": 17, "shape": "group"}, 0),  # whole or not at all
        ({"task_count": 16, "shape": "group"}, 16),
        ({"task_count": 16, "shape": "group", "same_zone": True}, 0),  # 8 a zone
        ({"task_count": 8, "shape": "group", "same_zone": True}, 8),
        ({"task_count": 16, "same_zone": True}, 8),
        ({"task_count": 9, "spread": True}, 9),  # 5 and 4
        ({"task_count": 16, "spread": True, "zone": "a"}, 8),
        ({"task_count": 16, "zone": "b"}, 8),
        ({"task_count": 16, "machine_types": ["g4"]}, 0),
        ({"task_count": 20, "team": "blue"}, 16),  # limit of 64 processors
    ],
)
def test_placement_keeps_the_jobs_wishes(changes: dict[str, Any], expected: int) -> None:
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    world.machine("i-3", zone="c", spot=True)  # nobody here may use spot machines
    placed = tasks_by_machine(world.plan(world.job("run-1", **changes)))
    assert sum(placed.values()) == expected
    assert "i-3" not in placed


def test_spread_counts_tasks_that_are_there() -> None:
    world = World()
    a, b = world.machine("i-1", zone="a"), world.machine("i-2", zone="b")
    one = world.job("run-1", task_count=8, spread=True)
    world.run_tasks(one, a, 4)
    assert tasks_by_machine(world.plan(one)) == {b.id: 4}


def test_together_stays_where_an_old_attempt_still_is() -> None:
    world = World()
    a = world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    one = world.job("run-1", task_count=12, same_zone=True)
    world.run_tasks(one, a, 8)  # zone a is full
    assert tasks_by_machine(world.plan(one)) == {}


@pytest.mark.parametrize(("unseen", "expected"), [((0.0, 0.0), 8), ((0.0, 4.0), 4)])
def test_unreconciled_room_counts_against_limits(
    unseen: tuple[float, float], expected: int
) -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}", GPU)
    placed = tasks_by_machine(
        world.plan(world.job("run-1", task_count=12, gpus=1.0), unreconciled=unseen)
    )
    assert sum(placed.values()) == expected
    world.run_tasks(world.job("run-2", task_count=2, gpus=1.0), world.machine("i-9", GPU), 2)
    placed = tasks_by_machine(
        world.plan(world.job("run-3", task_count=12, gpus=1.0), unreconciled=unseen)
    )
    assert sum(placed.values()) == expected - 2


def test_tasks_without_gpus_leave_what_gpus_need() -> None:
    """Found on a quiet day: GPUs lay idle because others held their processors."""
    world = World()
    world.machine("i-1", GPU)  # 24 processors, 4 GPUs
    world.job("run-9", gpus=1.0, cpus=5.0)
    assert tasks_by_machine(world.plan(world.job("run-1", task_count=9, cpus=2.0))) == {"i-1": 2}
    urgent = world.job("run-2", priority="urgent", cpus=15.0, task_count=1)
    assert tasks_by_machine(world.plan(urgent)) == {"i-1": 1}  # more important work may


@pytest.mark.parametrize(("kept", "expected"), [(0.0, 24), (2.0, 14), (5.0, 4), (99.0, 4)])
def test_only_gpus_that_are_soon_wanted_are_kept(kept: float, expected: int) -> None:
    """Found on a rough day: 200 processors lay idle beside GPUs that nobody wanted."""
    world = World()
    for n in range(2):
        world.machine(f"i-{n}", GPU)
    world.job("run-9", gpus=1.0, cpus=5.0)
    one = world.job("run-1", task_count=40, cpus=2.0, memory_gb=1.0)
    assert sum(tasks_by_machine(world.plan(one, gpus_kept=kept)).values()) == expected


def test_urgent_work_preempts_less_important_work_rather_than_strand_gpus() -> None:
    """Found on quiet days: gangs that ran for minutes beside GPUs that nobody could use."""
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


def test_both_steps_of_urgent_work_keep_to_one_zone() -> None:
    """Found by the table above: a second step chose its zone anew."""
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", GPU, zone="b")
    world.job("run-8", gpus=1.0)
    one = world.job("run-1", priority="urgent", task_count=12, same_zone=True)
    assert tasks_by_machine(world.plan(one)) == {"i-1": 8}


def test_preemption_tries_every_zone() -> None:
    """Found on a rough day: bound to the first zone looked at, an urgent job waited for ever."""
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
        ("standard", "red", True, "standard", False, True),  # a borrower gives way
        ("standard", "blue", True, "standard", False, False),  # of its own team: no
        ("urgent", "red", False, "idle", True, False),  # guaranteed work gives way to nobody
        ("standard", "red", True, "standard", True, False),  # two guarantees: no
        ("standard", "red", True, "urgent", False, False),  # nor can it stop that in turn
    ],
)
def test_who_may_be_stopped_for_whom(
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
    one = world.job("run-1", priority=priority, team=team)
    one.guaranteed = guaranteed
    assignment = next(iter(machine.assignments.values()))
    assert preemption.may_preempt(one, assignment) is expected


def test_room_being_freed_is_claimed_once() -> None:
    world = World()
    machine = world.machine("i-1")
    idle = world.job("run-9", priority="idle", task_count=8)
    world.run_tasks(idle, machine, 8)
    plan = world.plan(
        world.job("run-1", priority="urgent", task_count=2), world.job("run-2", task_count=8)
    )
    assert len(plan.preemptions) == 8  # two for the first job, the rest for the second
    assert [(one.id, n) for one, n in plan.unplaced] == [("run-2", 2)]


def test_work_per_cycle_is_bounded_by_the_sample() -> None:
    world = World()
    for n in range(300):
        world.machine(f"i-{n}")
    plan = world.plan(world.job("run-1", task_count=100_000, team="red"), sample=16)
    assert len(tasks_by_machine(plan)) == 16


def test_arrays_wait_a_little_for_the_image_and_gangs_do_not() -> None:
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 1.0)
    world.run_tasks(world.job("run-9", task_count=8, image="other"), warm, 8)
    array = world.job("run-1", task_count=1, image_gb=1.0)
    other = world.job("run-8", task_count=6, image_gb=1.0)  # with this one, room is not plenty
    assert tasks_by_machine(world.plan(array, other)) == {}
    assert (
        tasks_by_machine(world.plan(array, other, now=102.6))[cold.id] >= 1
    )  # half of the 5 s fetch
    assert tasks_by_machine(
        world.plan(world.job("run-2", task_count=1, shape="group", image_gb=1.0))
    ) == {cold.id: 1}


def test_nobody_waits_for_an_image_where_room_is_plenty() -> None:
    """Found on a quiet day: arrays of many tasks waited beside hundreds of free GPUs."""
    world = World()
    world.machine("i-1").record_image("img-1", 5.0)
    world.run_tasks(world.job("run-9", task_count=8, image="other"), world.machine("i-1"), 8)
    for n in range(2, 5):
        world.machine(f"i-{n}")
    array = world.job("run-1", task_count=12, image_gb=5.0)  # 25 s at 0.2 GB/s
    # Six are served by the warm machine in the time of a fetch; the others begin one at once.
    assert sum(tasks_by_machine(world.plan(array)).values()) == 6
    many = world.job("run-2", task_count=50, image_gb=5.0)
    # Where it is not, only what would lie idle otherwise begins a fetch, with one task each.
    assert tasks_by_machine(world.plan(array, many)) == {"i-2": 1, "i-3": 1, "i-4": 1}


@pytest.mark.parametrize(
    ("tasks", "fetching", "expected"),
    [
        (4, None, {}),  # 4 tasks of 30 s: the busy warm machine's room is sooner than a fetch
        (40, None, {"i-2": 1}),  # what it doesn't get through in a fetch: one task to begin it
        (40, "img-7", {}),  # two fetches at once share the rate: neither would be sooner
        (40, "img-1", {"i-2": 7}),  # under way already: idle room may as well wait for it
    ],
)
def test_cold_starts_only_for_what_warm_machines_cannot_serve(
    tasks: int, fetching: str | None, expected: dict[str, int]
) -> None:
    """Found on a busy day: with fetches of a minute a third of the GPUs in use were fetching."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 10.0)
    world.run_tasks(world.job("run-9", task_count=8, image="img-9"), warm, 8)
    if fetching is not None:
        other = world.job("run-8", task_count=1, image=fetching, image_gb=10.0)
        world.run_tasks(other, cold, 1)
    array = world.job("run-1", task_count=tasks, image_gb=10.0)  # 50 s at 0.2 GB/s
    filler = world.job(
        "run-7", task_count=90, image="img-0", machine_types=["g4"]
    )  # room isn't plenty
    plan = world.plan(array, filler)
    assert tasks_by_machine(plan) == expected
    if not expected and tasks == 4:
        assert array not in [one for one, _count in plan.unplaced]  # and nothing is rented for it
        # Once it has waited for as long as a fetch takes, it may use what lies idle.
        assert tasks_by_machine(world.plan(array, filler, now=140.0)) == {}
        assert tasks_by_machine(world.plan(array, filler, now=151.0)) == {"i-2": 1}


def test_room_freed_for_one_job_serves_another_in_the_same_cycle() -> None:
    """Where a task might fit is remembered in a cycle, until something is stopped."""
    world = World()
    large = world.job("run-9", task_count=1, cpus=32.0, memory_gb=1.0)
    world.run_tasks(large, world.machine("i-1"), 1)
    world.job(
        "run-8", priority="production", gpus=1.0
    )  # nobody is more important than work with GPUs
    before = world.job("run-1", priority="idle", task_count=1, cpus=8.0)
    urgent = world.job("run-2", priority="urgent", task_count=1)
    after = world.job("run-3", task_count=1, cpus=8.0)
    plan = world.plan(before, urgent, after)
    assert len(plan.preemptions) == 1
    assert [one for one, _count in plan.unplaced] == [before]


@pytest.mark.parametrize(
    ("images", "took_s", "share"),
    [
        (["run-1", "run-2"], 11.0, False),
        (["run-1", "run-2"], 20.0, True),
        (["run-1"], 20.0, False),  # slow by itself: that says nothing of sharing
    ],
)
def test_whether_fetches_share_the_rate_is_learned(
    images: list[str], took_s: float, share: bool
) -> None:
    """The page says that they may: where not, one after the other cost half of what can be had."""
    world = World()
    now = 0.0
    for n in range(20):
        machine = world.machine(f"i-{n}")
        for ref in images:
            one = world.job(ref, image=ref, image_gb=2.0, task_count=100)  # 10 s at 0.2 GB/s
            world.run_tasks(one, machine, 1)
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


def test_a_gang_that_lacks_a_member_gets_it_where_the_image_is() -> None:
    """Found on a busy day: each that gave up was replaced where it had to fetch, for minutes."""
    world = World()
    world.machine("i-1")  # without GPUs, so first by rights
    warm, other = world.machine("i-2", GPU), world.machine("i-3")
    warm.record_image("img-1", 5.0)
    world.job("run-9", gpus=1.0)  # there is work with GPUs, less important
    gang = world.job(
        "run-1", shape="group", priority="urgent", task_count=2, cpus=20.0, image_gb=5.0
    )
    world.run_tasks(gang, other, 1)
    assert tasks_by_machine(world.plan(gang)) == {"i-2": 1}
    none = queueing.Supply()
    jobs = [world.job("run-8", priority="production"), gang]
    assert queueing.order(jobs, [], none, none, WallTime(0.0))[0] is gang


def test_a_job_that_fails_everywhere_tries_one_task_whatever_lies_idle() -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}")
    failing = world.job("run-1", task_count=20, image_gb=10.0)
    failing.backoff_s = 2.0
    assert sum(tasks_by_machine(world.plan(failing)).values()) == 1


def test_a_gang_avoids_machines_that_are_fetching() -> None:
    """Found on a busy day: one member's image came 40 s late, and the others gave up in turn."""
    world = World()
    for n in range(4):
        world.machine(f"i-{n}")
    other = world.job("run-9", task_count=1, image="img-9", image_gb=5.0)
    world.run_tasks(other, world.machine("i-0"), 1)  # the fullest, so first by rights
    gang = world.job("run-1", shape="group", task_count=3, cpus=20.0, image_gb=2.0)
    assert set(tasks_by_machine(world.plan(gang))) == {"i-1", "i-2", "i-3"}


def test_one_task_seeds_a_long_fetch_and_nothing_is_rented_for_the_rest() -> None:
    """Found on quiet days: whole machines waited for a fetch of a minute, GPUs and all."""
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
    """Found in inc-9466: 32 tasks of other jobs followed 16 failed ones onto a faulty machine."""
    world = World()
    suspect = world.machine("i-1")
    suspect.failed_jobs.add(JobId("run-9"))
    one = world.job("run-1", task_count=8)
    assert tasks_by_machine(world.plan(one)) == {"i-1": 1}
    world.run_tasks(one, suspect, 1)
    assert tasks_by_machine(world.plan(one)) == {}
    suspect.failed_jobs.clear()  # as a finish does
    assert tasks_by_machine(world.plan(one)) == {"i-1": 7}


def test_a_machine_where_the_same_job_takes_longer_is_used_last() -> None:
    world = World()
    slow, other = world.machine("i-1"), world.machine("i-2")
    world.run_tasks(world.job("run-9", task_count=1), slow, 1)  # the fuller one, so first by rights
    many = world.job("run-8", task_count=50)
    world.job_table.record_run_time(many, 20.0)
    for _ in range(2):
        slow.record_relative_run_time(many, 40.0)
    assert not slow.is_straggler()  # two tasks are chance
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
    assert [one.guaranteed for one in jobs] == [True, False, False, False, True]
    for index in range(3):
        jobs[0].finish(index)
    preemption.mark_guaranteed_jobs(jobs, TEAMS)  # judged once, when a job comes
    assert [one.guaranteed for one in jobs] == [True, False, False, False, True]
