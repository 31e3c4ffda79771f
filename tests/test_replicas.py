"""Replicas: they never finish, run again wherever they end, and outlive leaders."""

from __future__ import annotations

import random
from typing import Any

import pytest
from services import SERVICE, replicas, serve
from stage import Stage, starts, verbs
from standins import CPU, job, job_spec, policy
from test_api import Client
from worlds import FLAVOURS, T0, TEAMS, World, order_of, spread_of

from ryewing import placement, queueing
from ryewing.capacity import MachineCapacity, Quota
from ryewing.fleet import CapacityBackoff, plan_rentals
from ryewing.jobs import final_key, impossible
from ryewing.machine import RAN_WELL_S
from ryewing.settings import Objective
from ryewing.store import Put
from ryewing.units import MachineId, Steady, WallTime, Zone
from ryewing.wire import ReportedTask


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


# -- take-over, cancel ---------------------------------------------------------------------------


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
