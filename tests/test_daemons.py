"""Replicas: run until their job is called off, wherever they end, and start where they run soon."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from stage import Stage, starts, verbs
from standins import CPU, GPU, FakeWorker, job, job_spec, policy
from test_api import Client
from test_pure import FLAVOURS, T0, TEAMS, World, order_of, spread_of

from ryewing import placement, queueing
from ryewing.capacity import MachineCapacity, Quota
from ryewing.fleet import CapacityBackoff, plan_rentals, to_retire
from ryewing.jobs import final_key, impossible
from ryewing.machine import RAN_WELL_S, RUNNING, Assignment, Machine
from ryewing.placement import SHORT_WAIT_S
from ryewing.placer import MOVE_AFTER_S, MOVE_GAP_S, MOVE_SHARE
from ryewing.settings import Objective
from ryewing.store import Put
from ryewing.units import Attempt, JobId, MachineId, Steady, TaskId, WallTime, Zone
from ryewing.wire import ReportedTask

SERVICE: dict[str, Any] = {
    "shape": "daemon",
    "priority": "production",
    "estimated_s": 0.0,
    "cpus": 1.0,
    "memory_gb": 2.0,
    "image_gb": 2.0,
}


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"team": "blue", "cpus": 4.0, "task_count": 16}, 201),  # 64 processors at most
        ({"team": "blue", "cpus": 4.0, "task_count": 17}, 422),  # all together
        ({"team": "blue", "cpus": 4.0, "task_count": 17, "shape": "batch"}, 201),  # one at a time
        ({"team": "red", "gpus": 1.0, "task_count": 9}, 422),
        ({"team": "nobody"}, 422),
        ({"cpus": 1000.0}, 422),
        ({"task_count": 0}, 400),
        ({"estimated_s": -1.0}, 400),
        ({"estimated_s": 60.0, "deadline_s": 90.0}, 201),  # said for nothing: a replica has no end
    ],
)
def test_what_is_taken_and_what_can_never_run(changes: dict[str, Any], status: int) -> None:
    assert Client().submit(**{**SERVICE, **changes})[0] == status
    if status == 422:
        assert impossible(job_spec(**{**SERVICE, **changes}), FLAVOURS, TEAMS)


def serve(stage: Stage, *workers: FakeWorker, **changes: Any) -> JobId:
    """Start a service and let the workers show that it runs."""
    name = stage.accept(**{**SERVICE, "image": "img-s", **changes})
    stage.place()
    for worker in workers * 2:
        stage.exchange(worker)
    return name


def replicas(stage: Stage, name: JobId) -> dict[int, str]:
    return dict(stage.leader.ctx.job_table.jobs[name].live)


@pytest.mark.parametrize("cause", ["done", "error", "stopped", "killed"])
def test_a_replica_that_ends_runs_again_and_its_job_is_never_done(stage: Stage, cause: str) -> None:
    one, other = stage.worker("i-000001"), stage.worker("i-000002")
    stage.ready(one, other)
    name = serve(stage, one, other, task_count=2)
    before = {key[1] for worker in (one, other) for key in worker.tasks}
    assert stage.leader.poll(name) == stage.leader.ctx.job_table.jobs[name].status()
    stage.later(RAN_WELL_S + 1)
    for worker in (one, other):
        if worker.tasks:
            worker.finish(cause)
            commands = stage.exchange(worker)
            assert "clear" in verbs(commands)  # nothing has to be written for it
    stage.write()
    for _ in range(3):
        stage.place()
        for worker in (one, other):
            stage.exchange(worker)
    state = stage.leader.poll(name)
    assert state is not None and (state.status, state.done, state.running) == ("running", 0, 2)
    assert stage.store.get(final_key(name)) is None and not stage.finals
    assert not any(bytes(entry.data) != b"{}" for entry in stage.store.listing("d/")[0])
    again = {key[1] for worker in (one, other) for key in worker.tasks}
    assert not before & again  # a new attempt each time


def test_a_replica_that_exited_with_done_starts_elsewhere(stage: Stage) -> None:
    """Its worker keeps the result: started there again it would exit at once."""
    one, other = stage.worker("i-000001"), stage.worker("i-000002")
    stage.ready(one, other)
    name = serve(stage, one, other, task_count=1)
    [at] = replicas(stage, name).values()
    here, there = (one, other) if at == one.name else (other, one)
    stage.later(RAN_WELL_S + 1)
    here.finish("done")
    stage.exchange(here)
    stage.exchange(there)
    stage.place()
    assert list(replicas(stage, name).values()) == [there.name]


def test_a_record_of_finishes_makes_no_service_done(stage: Stage) -> None:
    name = stage.accept(**SERVICE, task_count=2)
    stage.store.txn({}, [Put("d/0", {f"{name}/0": "Aw=="})])
    leader = stage.new_leader(6)
    assert leader.ctx.job_table.jobs[name].shortfall == 2
    stage.write()
    assert stage.store.get(final_key(name)) is None and not stage.finals


def test_a_replica_cannot_finish() -> None:
    service = job(**SERVICE, task_count=2)
    assert not service.finish(0) and not service.complete and not service.unwritten
    service.load_chunk(0, "Aw==")
    assert service.shortfall == 2


def test_one_that_ends_at_once_everywhere_is_backed_off_and_tried_again(stage: Stage) -> None:
    workers = [stage.worker(f"i-{n:06d}") for n in range(8)]
    stage.ready(*workers)
    name = stage.accept(**SERVICE, task_count=6)
    service = stage.leader.ctx.job_table.jobs[name]
    begun = 0
    for _ in range(200):
        stage.place()
        for worker in workers:
            begun += len(starts(stage.exchange(worker)))
            worker.finish("error")
            stage.exchange(worker)
        stage.later(1.0)
    assert service.backoff_s == 60.0
    assert begun < 60
    assert not any(m.faults or m.quarantined for m in stage.leader.ctx.cluster.machines.values())
    stage.later(61.0)
    for worker in workers * 2:
        stage.exchange(worker)
    stage.place()
    assert len(service.live) == 1  # one tells whether it still does
    stage.place()
    assert len(service.live) == 1
    for _ in range(2):
        for worker in workers:
            stage.exchange(worker)
        stage.later(RAN_WELL_S)
    for worker in workers:
        stage.exchange(worker)
    stage.place()
    assert not service.backoff_s and len(service.live) == 6


def test_a_good_service_is_not_blamed_for_bad_machines(stage: Stage) -> None:
    """It has finished nothing, ever: judged by that, three bad machines backed it off."""
    workers = [stage.worker(f"i-{n:06d}") for n in range(6)]
    stage.ready(*workers)
    name = serve(stage, *workers, task_count=32, cpus=8.0)
    service = stage.leader.ctx.job_table.jobs[name]
    assert len(set(service.live.values())) == 6
    stage.later(RAN_WELL_S + 1)
    for worker in workers:
        stage.exchange(worker)
    for bad in workers[:4]:
        for _ in range(2):
            bad.finish("error")
            stage.exchange(bad)
            stage.place()
            stage.exchange(bad)
            stage.exchange(bad)
    assert not service.backoff_s
    cluster = stage.leader.ctx.cluster
    assert cluster.machines[MachineId(workers[0].name)].faults


def test_a_machine_that_failed_a_replica_once_is_used_again_later(stage: Stage) -> None:
    worker = stage.ready_worker()
    name = serve(stage, worker, task_count=1)
    worker.finish("error")
    stage.exchange(worker)
    stage.place()
    assert not replicas(stage, name)
    stage.later(130.0)
    stage.exchange(worker)
    stage.place()
    assert len(replicas(stage, name)) == 1


# -- what an end that never comes does to sums ---------------------------------------------------


def test_replicas_come_first_in_their_rank_and_put_nothing_off() -> None:
    """Their run time is infinite: in the sum of work it made every other job late."""
    service = job("run-9", at=50.0, **SERVICE)
    lesser = job("run-8", at=50.0, **{**SERVICE, "priority": "idle"})
    batches = [
        job("run-1", task_count=4),
        job("run-2", task_count=4),
        job("run-3", priority="idle"),
    ]
    batches[1].guaranteed = True
    alone = order_of(batches, 16.0, 60.0)
    ordered = order_of([*batches, service, lesser], 16.0, 60.0)
    assert ordered[0] == "run-9" and ordered.index("run-8") == len(ordered) - 2
    assert [name for name in ordered if name not in ("run-9", "run-8")] == alone


@pytest.mark.parametrize("free", [0.0, 16.0])
def test_an_aim_for_its_start_gives_a_replica_no_infinite_deadline(free: float) -> None:
    aims = [Objective("wait", 0.9, "scan", 10.0), Objective("finished", 0.9, "scan", 60.0)]
    service = job("run-9", deadline_s=10.0, **SERVICE)
    assert queueing.deadlines(service, aims) == ()
    supply = queueing.Supply(16.0, free)
    jobs = [job("run-1"), service, job("run-2", **{**SERVICE, "priority": "standard"})]
    names = [one.id for one in queueing.order(jobs, aims, supply, supply, WallTime(5.0))]
    assert names == ["run-9", "run-2", "run-1"]


def test_a_shared_image_does_not_make_the_need_for_it_infinite() -> None:
    """Infinite work less infinite work is no number, and its ceiling is an error."""
    world = World()
    for n in range(4):
        world.machine(f"i-{n}", zone="ab"[n % 2])
    service = world.job("run-1", **{**SERVICE, "image_gb": 40.0, "task_count": 3})
    batch = world.job("run-2", image_gb=40.0, task_count=40, estimated_s=10.0)
    warm = world.machine("i-9")
    warm.record_image("img-1", 40.0)
    world.put(world.job("run-8", **{**SERVICE, "cpus": 32.0}, task_count=1), warm, 1)
    found = world.plan(service, batch)
    assert sum(n for b in found.batches if b.job is service for _machine, n in b.parts) == 3
    assert batch.shortfall == 40  # it waits for the image, by a sum that is finite


def test_a_gang_is_not_promised_room_that_a_replica_holds_for_good() -> None:
    world = World()
    machine = world.machine("i-1", CPU)
    world.put(world.job("run-9", **{**SERVICE, "cpus": 8.0, "task_count": 1}), machine, 1)
    gang = world.job("run-1", shape="group", task_count=1, cpus=32.0, priority="standard")
    plan = placement.Pass(
        placement.PassInputs(
            [MachineCapacity(machine)],
            Quota(TEAMS, {}, {}),
            Steady(T0 + 200),
            random.Random(1),
            64,
        )
    ).run([gang], [gang])
    assert plan.reserved is None and not plan.stops


def test_a_service_that_waited_long_begins_whole() -> None:
    """Of an overdue array a tenth begins at once, and the rest comes by the order."""
    world = World()
    world.machine("i-1").record_image("img-1", 2.0)
    service = world.job("run-1", **SERVICE, task_count=20)
    found = placement.Pass(
        placement.PassInputs(
            [MachineCapacity(m) for m in world.cluster.machines.values()],
            Quota(TEAMS, {}, {}),
            Steady(T0 + 200),
            random.Random(1),
            64,
        )
    ).run([service], [service])
    assert spread_of(found) == {"i-1": 20}


@pytest.mark.parametrize(
    ("tasks", "spread", "expected"),
    [(40, False, 2), (33, False, 2), (32, False, 1), (4, True, 2), (3, True, 2), (1, True, 1)],
)
def test_every_replica_is_rented_a_place_and_spread_ones_two_zones(
    tasks: int, spread: bool, expected: int
) -> None:
    """Rented in the cheapest zone only, the machines were of no use to half of the replicas."""
    short = [(job(**{**SERVICE, "task_count": tasks, "spread": spread}), tasks)]
    found = plan_rentals(short, [], FLAVOURS, CapacityBackoff(), policy(), T0)
    assert sum(plan.count for plan in found) == expected
    assert len({plan.options[0][1] for plan in found}) == (2 if spread and tasks > 1 else 1)


def test_nothing_is_rented_for_a_replica_in_a_zone_that_is_full_of_them() -> None:
    one = job(**{**SERVICE, "task_count": 4, "spread": True})
    one.zones[Zone("a")] = 2
    one.live = dict.fromkeys((0, 1), MachineId("i-1"))
    [plan] = plan_rentals([(one, 2)], [], FLAVOURS, CapacityBackoff(), policy(), T0)
    assert plan.options[0][1] != "a" and all(option[1] != "a" for option in plan.options)


# -- where replicas go --------------------------------------------------------------------------


def test_lesser_work_is_stopped_where_the_image_is_rather_than_fetching_elsewhere() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.put(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")  # ten seconds for the image
    found = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert not found.batches and len(found.stops) == 1
    quick = World()
    quick.machine("i-1").record_image("img-1", 2.0)
    assert spread_of(quick.plan(quick.job("run-1", **SERVICE, task_count=1))) == {"i-1": 1}


def test_what_exits_at_once_is_stopped_for_a_replica_rather_than_what_saves_first() -> None:
    """Found in an incident: a task that saved for five seconds had least to lose."""
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    saves = world.job("run-8", task_count=4, image="img-9", checkpoint_s=10.0, save_s=5.0)
    world.put(saves, warm, 4)
    world.put(world.job("run-9", task_count=4, image="img-9"), warm, 4)
    found = world.plan(world.job("run-1", **SERVICE, task_count=1))
    assert [assignment.task.job for assignment in found.stops] == ["run-9"]
    only = World()
    slow = only.machine("i-1")
    slow.record_image("img-1", 2.0)
    only.put(only.job("run-8", task_count=8, checkpoint_s=10.0, save_s=9.0, image="img-9"), slow, 8)
    only.machine("i-2")  # ten seconds for the image: no later than the save
    small = only.job("run-1", **{**SERVICE, "image_gb": 1.0}, task_count=1)
    assert list(spread_of(only.plan(small))) == ["i-2"]


def test_replicas_are_not_all_on_one_machine() -> None:
    """One machine held most of a small site's replicas, and died."""
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    for n in range(3):
        world.put(world.job(f"run-{n}", **SERVICE, task_count=2), world.machine("i-1"), 2)
    found = world.plan(world.job("run-9", **SERVICE, task_count=2))
    assert "i-1" not in spread_of(found)


def test_a_fetch_that_is_soon_over_is_not_worth_stopping_anything() -> None:
    world = World()
    warm = world.machine("i-1")
    warm.record_image("img-1", 2.0)
    world.put(world.job("run-9", task_count=8, cpus=4.0, image="img-9"), warm, 8)
    world.machine("i-2")
    tiny = world.job("run-1", **{**SERVICE, "image_gb": 0.2 * (SHORT_WAIT_S - 0.5)}, task_count=1)
    found = world.plan(tiny)
    assert spread_of(found) == {"i-2": 1} and not found.stops


def test_cold_replicas_go_to_machines_of_their_own() -> None:
    """All on one machine, the next service found a single one with the image, and that was full."""
    world = World()
    for n in range(6):
        world.machine(f"i-{n}")
    assert spread_of(world.plan(world.job("run-1", **SERVICE, task_count=4))) == dict.fromkeys(
        ("i-0", "i-1", "i-2", "i-3"), 1
    )
    few = World()
    few.machine("i-0")
    assert spread_of(few.plan(few.job("run-1", **SERVICE, task_count=4)))["i-0"] == 4


def test_the_worker_that_reports_soonest_gets_the_start() -> None:
    world = World()
    for name in ("i-1", "i-2", "i-3"):
        world.machine(name).record_image("img-1", 2.0)
    waits = {"i-1": 2.6, "i-2": 0.4, "i-3": 1.8}
    found = world.plan(
        world.job("run-1", **SERVICE, task_count=1), report_in=lambda m: waits[str(m.id)]
    )
    assert spread_of(found) == {"i-2": 1}


def test_replicas_keep_out_of_the_way_of_large_tasks() -> None:
    """The third beside a task of 30 processors of 32 keeps such tasks off a machine for good."""
    world = World()
    for name in ("i-1", "i-2"):
        world.machine(name).record_image("img-1", 2.0)
    large = job_spec("run-7", cpus=30.0, memory_gb=8.0)
    found = world.plan(world.job("run-1", **SERVICE, task_count=4), recent_specs=(large,))
    assert spread_of(found) == {"i-1": 2, "i-2": 2}
    more = world.plan(world.job("run-2", **SERVICE, task_count=6), recent_specs=(large,))
    assert sum(spread_of(more).values()) == 6  # where there is no other room, they go


def test_where_a_replica_has_to_fetch_the_next_ones_find_room() -> None:
    """Fullest first chose machines of gangs, which don't give way: half of all fetched anew."""
    world = World()
    gangs, arrays = world.machine("i-1"), world.machine("i-2")
    world.put(world.job("run-8", shape="group", task_count=7), gangs, 7)
    world.put(world.job("run-9", task_count=6), arrays, 6)
    found = world.plan(world.job("run-1", **{**SERVICE, "image": "img-s"}, task_count=1))
    assert spread_of(found) == {"i-2": 1}


@pytest.mark.parametrize(("large_vcpus", "expected"), [(16.0, "i-1"), (32.0, "i-2")])
def test_half_a_machine_of_large_tasks_is_kept_off_rather_than_fetching(
    large_vcpus: float, expected: str
) -> None:
    """Beside two gang tasks there was room for two replicas: half of all had to fetch anew."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 2.0)
    world.put(world.job("run-9", **{**SERVICE, "image": "img-9"}, task_count=1), cold, 1)
    large = job_spec("run-7", cpus=large_vcpus, memory_gb=8.0)
    assert cold.warmth("img-1") != warm.warmth("img-1")
    found = world.plan(world.job("run-1", **SERVICE, task_count=1), recent_specs=(large,))
    assert list(spread_of(found)) == [expected]


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
                for index in service.take(count):
                    task = TaskId(service.id, index)
                    world.cluster.assign(machine, task, Attempt(1), RUNNING, T0)
        assert max(service.zones.values()) <= (tasks + 1) // 2
        assert not service.shortfall
        lost = rng.choice([m for m in world.cluster.machines.values() if m.assignments])
        world.cluster.drop(rng.choice(list(lost.assignments.values())), T0)


@pytest.mark.parametrize("priority", ["urgent", "standard"])
def test_a_replica_is_the_last_to_give_way(priority: str) -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    world.put(service, machine, 1)
    world.put(world.job("run-9", priority="idle", cpus=16.0, task_count=1), machine, 1)
    found = world.plan(world.job("run-1", priority=priority, cpus=16.0, task_count=1))
    assert [assignment.task.job for assignment in found.stops] == ["run-9"]
    better = World()
    there = better.machine("i-1")
    lowest = better.job("run-8", **{**SERVICE, "priority": "idle", "cpus": 16.0}, task_count=1)
    better.put(lowest, there, 1)
    better.put(better.job("run-9", priority="standard", cpus=16.0, task_count=1), there, 1)
    found = better.plan(better.job("run-1", priority="production", cpus=16.0, task_count=1))
    assert [assignment.task.job for assignment in found.stops] == [
        "run-9"
    ]  # though it is of a higher rank
    both = world.plan(world.job("run-2", priority=priority, cpus=32.0, task_count=1))
    assert {assignment.task.job for assignment in both.stops} == {"run-8", "run-9"}


def test_lesser_work_stops_no_replica_of_a_higher_rank() -> None:
    world = World()
    machine = world.machine("i-1")
    service = world.job("run-9", **{**SERVICE, "cpus": 32.0}, task_count=1)
    world.put(service, machine, 1)
    guaranteed = world.job("run-1", team="blue", priority="urgent", cpus=32.0)
    guaranteed.guaranteed = True
    assert not world.plan(guaranteed).stops


# -- moves --------------------------------------------------------------------------------------


def going(world: World, why: str) -> tuple[Machine, Assignment]:
    machine = world.machine("i-1", GPU if why == "unwanted" else CPU)
    machine.record_image("img-1", 2.0)
    world.put(world.job("run-1", **SERVICE, task_count=1), machine, 1)
    if why == "notice":
        machine.notice_s = 10.0
    elif why == "faulty":
        machine.quarantined = True
    else:
        machine.retiring = True
    return machine, next(iter(machine.assignments.values()))


@pytest.mark.parametrize(
    ("why", "elsewhere", "moved", "stops"),
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
    why: str, elsewhere: str, moved: bool, stops: int
) -> None:
    world = World()
    _machine, assignment = going(world, why)
    if elsewhere != "none":
        expensive = msgspec.structs.replace(GPU, price=99.0)
        there = world.machine("i-2", expensive if elsewhere == "gpus" else CPU)
        if elsewhere != "cold":
            there.record_image("img-1", 2.0)
        if elsewhere == "full":
            world.put(world.job("run-9", task_count=8, image="img-9"), there, 8)
    found = world.plan(moving=[assignment])
    assert (found.moves == [assignment]) is moved and len(found.stops) == stops
    assert not found.batches


def test_a_move_keeps_the_spread() -> None:
    world = World()
    here = world.machine("i-1", zone="a")
    service = world.job("run-1", **SERVICE, task_count=2, spread=True)
    world.put(service, here, 1)
    world.put(service, world.machine("i-2", zone="b"), 1)
    here.notice_s = 10.0
    assignment = next(iter(here.assignments.values()))
    assert not world.plan(moving=[assignment]).moves  # only zone b has room, and it has its half
    world.machine("i-3", zone="a")
    assert world.plan(moving=[assignment]).moves == [assignment]


def test_a_machine_about_to_go_hands_its_replica_on(stage: Stage) -> None:
    one, other = stage.worker("i-000001"), stage.worker("i-000002")
    stage.ready(one)
    name = serve(stage, one, task_count=1)
    one.notice_s = 10.0
    assert "halt" not in verbs(stage.exchange(one))  # no room elsewhere: it serves on
    stage.place()
    assert "halt" not in verbs(stage.exchange(one))
    stage.ready(other)
    stage.place()
    assert "halt" in verbs(stage.exchange(one))
    stage.place()
    assert not starts(stage.exchange(other))  # not before it is gone
    stage.exchange(one)
    stage.place()
    assert len(starts(stage.exchange(other))) == 1
    assert list(replicas(stage, name).values()) == [other.name]


def test_moves_off_unwanted_machines_are_few(stage: Stage) -> None:
    """A third of a service's replicas was moved within minutes, as the cards wanted went up and
    down: each move is a gap."""
    dear = [stage.worker(f"i-{n:06d}", machine_type="g4") for n in range(2)]
    stage.ready(*dear)
    serve(stage, *dear, task_count=8)
    stage.leader.ctx.began = Steady(stage.clock() - 10_000.0)
    plain = stage.worker("i-000009")
    stage.ready(plain)
    cluster = stage.leader.ctx.cluster
    cluster.machines[MachineId(plain.name)].record_image("img-s", 2.0)
    for worker in dear:
        machine = cluster.machines[MachineId(worker.name)]
        machine.retiring, machine.retiring_since = True, stage.clock()

    def moved(after_s: float) -> int:
        stage.later(after_s)
        stage.exchange(plain)
        stage.later(1.5)  # its next report is due soon
        stage.place()
        return sum(verbs(stage.exchange(worker)).count("halt") for worker in dear)

    assert moved(MOVE_AFTER_S - 4.0) == 0
    assert moved(2.0) == 1
    for worker in dear:
        stage.exchange(worker)
    gap = MOVE_GAP_S / (MOVE_SHARE * 8)
    assert moved(gap - 10.0) == 0
    assert moved(80.0) == 1


def test_machines_with_replicas_are_the_last_of_their_type_to_be_unwanted() -> None:
    world = World()
    machines = [world.machine(f"i-{n}", GPU) for n in range(4)]
    world.put(world.job("run-1", **SERVICE, task_count=1), machines[3], 1)
    assert to_retire(machines, 3.0, 0.0, policy()) == {"i-0", "i-1", "i-2"}


# -- take-over, cancel --------------------------------------------------------------------------


def test_replicas_run_on_through_a_take_over(stage: Stage) -> None:
    workers = [stage.worker(f"i-{n:06d}", zone="ab"[n % 2]) for n in range(4)]
    stage.ready(*workers)
    name = serve(stage, *workers, task_count=4, spread=True)
    before = [set(worker.tasks) for worker in workers]
    for term in (6, 7):
        leader = stage.new_leader(term)
        state = leader.poll(name)
        assert state is not None and state.status == "queued"  # nothing heard yet
        for worker in workers:
            assert not starts(stage.exchange(worker))
        for worker in workers:
            assert not starts(stage.exchange(worker))
        stage.write()
        stage.place()
        for worker in workers:
            commands = stage.exchange(worker)
            assert not {"start", "halt"} & set(verbs(commands))
        state = leader.poll(name)
        assert state is not None and (state.status, state.running) == ("running", 4)
    assert [set(worker.tasks) for worker in workers] == before


def test_a_lost_machine_is_replaced_once_it_is_surely_gone(stage: Stage) -> None:
    one, other = stage.worker("i-000001"), stage.worker("i-000002")
    stage.ready(one, other)
    name = serve(stage, one, other, task_count=2)
    lost = MachineId(next(iter(replicas(stage, name).values())))
    rest = other if lost == one.name else one
    for _ in range(3):
        stage.later(3.0)
        stage.exchange(rest)
        stage.place()
        assert lost in replicas(stage, name).values()
    stage.leader.renter.release(stage.leader.renter.to_give_up(stage.clock()))
    assert stage.cloud.released == [lost]
    stage.exchange(rest)
    stage.place()
    assert set(replicas(stage, name).values()) == {rest.name}


def test_a_cancelled_service_ends_everywhere(stage: Stage) -> None:
    workers = [stage.worker(f"i-{n:06d}") for n in range(3)]
    stage.ready(*workers)
    name = serve(stage, *workers, task_count=3)
    assert stage.leader.take_cancel(name)
    for worker in workers * 2:
        stage.exchange(worker)
    assert not any(p.status == "running" for worker in workers for p in worker.tasks.values())
    stage.write()
    assert stage.finals == {name: "cancelled"}
    stage.place()
    for worker in workers:
        assert not starts(stage.exchange(worker))


def test_a_worker_is_hastened_for_a_replica_also_when_its_report_is_near(stage: Stage) -> None:
    worker = stage.ready_worker()
    sent: list[MachineId] = []
    stage.leader.dispatch.send_soon = lambda machine: sent.append(machine.id)  # type: ignore[method-assign]
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    stage.later(2.4)
    stage.accept("run-8")
    stage.place()
    assert not sent  # due anyway
    stage.accept("run-9", **SERVICE, task_count=1)
    stage.place()
    assert sent == [machine.id]


def test_how_soon_a_worker_reports(stage: Stage) -> None:
    """A nudge brings a report in half a second; not while a response is under way, nor twice."""
    worker = stage.ready_worker()
    dispatch = stage.leader.dispatch
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    assert dispatch.report_in(machine, stage.clock()) == 0.5
    stage.begin(worker, task_count=1)
    machine.token_bumped_at = None
    assert dispatch.report_in(machine, stage.clock()) == 3.0
    stage.exchange(worker)
    machine.token_bumped_at = stage.clock()
    assert dispatch.report_in(machine, Steady(stage.clock() + 1.0)) == 2.0


def test_a_start_refused_by_the_worker_is_no_fault_of_a_service(stage: Stage) -> None:
    worker = stage.ready_worker()
    name = serve(stage, worker, task_count=1)
    key = next(iter(worker.tasks))
    worker.tasks[key] = ReportedTask(*key, "ended", "unknown")
    stage.exchange(worker)
    service = stage.leader.ctx.job_table.jobs[name]
    assert not service.backoff_s and not service.failed_on
    stage.later(1.5)
    stage.exchange(worker)
    stage.place()
    assert len(service.live) == 1
