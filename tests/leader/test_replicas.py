"""Replicas: they never finish, run again wherever they end, and outlive leaders."""

from __future__ import annotations

import random
from typing import Any

import pytest
from support.api_client import Client
from support.fakes import CPU, job, job_spec, policy
from support.harness import LeaderHarness, starts, verbs
from support.placement_world import MACHINE_TYPES, T0, TEAMS, World, queue_order, tasks_by_machine
from support.services import SERVICE, replicas, start_service

from ryewing import scheduling
from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.scale_out import plan_scale_out
from ryewing.clients.store import Put
from ryewing.config.settings import Objective
from ryewing.scheduling import Unplaced, queueing
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.job_records import final_key
from ryewing.state.machine import MIN_STABLE_RUN_S
from ryewing.state.resources import infeasibility_reason
from ryewing.units import MachineId, MonotonicTime, WallTime, Zone
from ryewing.wire.workers import ReportedTask


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
        assert infeasibility_reason(job_spec(**{**SERVICE, **changes}), MACHINE_TYPES, TEAMS)


@pytest.mark.parametrize("cause", ["done", "error", "stopped", "killed"])
def test_a_replica_that_ends_runs_again_and_its_job_is_never_done(
    harness: LeaderHarness, cause: str
) -> None:
    one, other = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(one, other)
    name = start_service(harness, one, other, task_count=2)
    before = {key[1] for worker in (one, other) for key in worker.tasks}
    assert harness.leader.job_status(name) == harness.leader.term.job_table.jobs[name].status()
    harness.later(MIN_STABLE_RUN_S + 1)
    for worker in (one, other):
        if worker.tasks:
            worker.finish(cause)
            commands = harness.exchange(worker)
            assert "clear" in verbs(commands)  # nothing has to be written for it
    harness.write()
    for _ in range(3):
        harness.place()
        for worker in (one, other):
            harness.exchange(worker)
    state = harness.leader.job_status(name)
    assert state is not None
    assert (state.status, state.done, state.running) == ("running", 0, 2)
    assert harness.store.get(final_key(name)) is None
    assert not harness.final_states
    assert not any(bytes(entry.data) != b"{}" for entry in harness.store.listing("d/")[0])
    again = {key[1] for worker in (one, other) for key in worker.tasks}
    assert not before & again  # a new attempt each time


def test_a_replica_that_exited_with_done_starts_elsewhere(harness: LeaderHarness) -> None:
    """Its worker keeps the result: started there again it would exit at once."""
    one, other = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(one, other)
    name = start_service(harness, one, other, task_count=1)
    [at] = replicas(harness, name).values()
    here, there = (one, other) if at == one.name else (other, one)
    harness.later(MIN_STABLE_RUN_S + 1)
    here.finish("done")
    harness.exchange(here)
    harness.exchange(there)
    harness.place()
    assert list(replicas(harness, name).values()) == [there.name]


def test_a_record_of_finishes_makes_no_service_done(harness: LeaderHarness) -> None:
    name = harness.accept(**SERVICE, task_count=2)
    harness.store.txn({}, [Put("d/0", {f"{name}/0": "Aw=="})])
    leader = harness.new_leader(6)
    assert leader.term.job_table.jobs[name].shortfall == 2
    harness.write()
    assert harness.store.get(final_key(name)) is None
    assert not harness.final_states


def test_a_replica_cannot_finish() -> None:
    service = job(**SERVICE, task_count=2)
    assert not service.finish(0)
    assert not service.complete
    assert not service.unwritten
    service.load_chunk(0, "Aw==")
    assert service.shortfall == 2


def test_one_that_ends_at_once_everywhere_is_backed_off_and_tried_again(
    harness: LeaderHarness,
) -> None:
    workers = harness.ready_workers(8)
    name = harness.accept(**SERVICE, task_count=6)
    service = harness.leader.term.job_table.jobs[name]
    begun = 0
    for _ in range(200):
        harness.place()
        for worker in workers:
            begun += len(starts(harness.exchange(worker)))
            worker.finish("error")
            harness.exchange(worker)
        harness.later(1.0)
    assert service.backoff_s == 60.0
    assert begun < 60
    assert not any(
        m.failed_jobs or m.quarantined for m in harness.leader.term.cluster.machines.values()
    )
    harness.later(61.0)
    for worker in workers * 2:
        harness.exchange(worker)
    harness.place()
    assert len(service.assigned_tasks) == 1  # one tells whether it still does
    harness.place()
    assert len(service.assigned_tasks) == 1
    for _ in range(2):
        for worker in workers:
            harness.exchange(worker)
        harness.later(MIN_STABLE_RUN_S)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    assert not service.backoff_s
    assert len(service.assigned_tasks) == 6


def test_a_good_service_is_not_blamed_for_bad_machines(harness: LeaderHarness) -> None:
    """It has finished nothing, ever: judged by that, three bad machines backed it off."""
    workers = harness.ready_workers(6)
    name = start_service(harness, *workers, task_count=32, cpus=8.0)
    service = harness.leader.term.job_table.jobs[name]
    assert len(set(service.assigned_tasks.values())) == 6
    harness.later(MIN_STABLE_RUN_S + 1)
    for worker in workers:
        harness.exchange(worker)
    for bad in workers[:4]:
        for _ in range(2):
            bad.finish("error")
            harness.exchange(bad)
            harness.place()
            harness.exchange(bad)
            harness.exchange(bad)
    assert not service.backoff_s
    cluster = harness.leader.term.cluster
    assert cluster.machines[MachineId(workers[0].name)].failed_jobs


def test_a_machine_that_failed_a_replica_once_is_used_again_later(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    name = start_service(harness, worker, task_count=1)
    worker.finish("error")
    harness.exchange(worker)
    harness.place()
    assert not replicas(harness, name)
    harness.later(130.0)
    harness.exchange(worker)
    harness.place()
    assert len(replicas(harness, name)) == 1


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
    alone = queue_order(batches, 16.0, 60.0)
    ordered = queue_order([*batches, service, lesser], 16.0, 60.0)
    assert ordered[0] == "run-9"
    assert ordered.index("run-8") == len(ordered) - 2
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
    world.run_tasks(world.job("run-8", **{**SERVICE, "cpus": 32.0}, task_count=1), warm, 1)
    found = world.plan(service, batch)
    assert sum(n for b in found.batches if b.job is service for _machine, n in b.parts) == 3
    assert batch.shortfall == 40  # it waits for the image, by a sum that is finite


def test_a_gang_is_not_promised_room_that_a_replica_holds_for_good() -> None:
    world = World()
    machine = world.machine("i-1", CPU)
    world.run_tasks(world.job("run-9", **{**SERVICE, "cpus": 8.0, "task_count": 1}), machine, 1)
    gang = world.job("run-1", shape="group", task_count=1, cpus=32.0, priority="standard")
    plan = scheduling.run_cycle(
        scheduling.SchedulingSnapshot(
            [MachineCapacity(machine)],
            TeamQuota(TEAMS, {}, {}),
            MonotonicTime(T0 + 200),
            random.Random(1),
            64,
        ),
        [gang],
        [gang],
    )
    assert plan.reservation is None
    assert not plan.preemptions


def test_a_service_that_waited_long_begins_whole() -> None:
    """Of an overdue array a tenth begins at once, and the rest comes by the order."""
    world = World()
    world.machine("i-1").record_image("img-1", 2.0)
    service = world.job("run-1", **SERVICE, task_count=20)
    found = scheduling.run_cycle(
        scheduling.SchedulingSnapshot(
            [MachineCapacity(m) for m in world.cluster.machines.values()],
            TeamQuota(TEAMS, {}, {}),
            MonotonicTime(T0 + 200),
            random.Random(1),
            64,
        ),
        [service],
        [service],
    )
    assert tasks_by_machine(found) == {"i-1": 20}


@pytest.mark.parametrize(
    ("tasks", "spread", "expected"),
    [(40, False, 2), (33, False, 2), (32, False, 1), (4, True, 2), (3, True, 2), (1, True, 1)],
)
def test_every_replica_is_rented_a_place_and_spread_ones_two_zones(
    tasks: int, spread: bool, expected: int
) -> None:
    """Rented in the cheapest zone only, the machines were of no use to half of the replicas."""
    short = [Unplaced(job(**{**SERVICE, "task_count": tasks, "spread": spread}), tasks)]
    found = plan_scale_out(short, [], MACHINE_TYPES, CapacityBackoff(), policy(), T0)
    assert sum(plan.machine_count for plan in found) == expected
    assert len({plan.options[0][1] for plan in found}) == (2 if spread and tasks > 1 else 1)


def test_nothing_is_rented_for_a_replica_in_a_zone_that_is_full_of_them() -> None:
    one = job(**{**SERVICE, "task_count": 4, "spread": True})
    one.tasks_by_zone[Zone("a")] = 2
    one.assigned_tasks = dict.fromkeys((0, 1), MachineId("i-1"))
    [plan] = plan_scale_out([Unplaced(one, 2)], [], MACHINE_TYPES, CapacityBackoff(), policy(), T0)
    assert plan.options[0][1] != "a"
    assert all(option[1] != "a" for option in plan.options)


# -- take-over, cancel ---------------------------------------------------------------------------


def test_replicas_run_on_through_a_take_over(harness: LeaderHarness) -> None:
    workers = [harness.worker(f"i-{n:06d}", zone="ab"[n % 2]) for n in range(4)]
    harness.ready(*workers)
    name = start_service(harness, *workers, task_count=4, spread=True)
    before = [set(worker.tasks) for worker in workers]
    for term in (6, 7):
        leader = harness.new_leader(term)
        state = leader.job_status(name)
        assert state is not None
        assert state.status == "queued"
        for worker in workers:
            assert not starts(harness.exchange(worker))
        for worker in workers:
            assert not starts(harness.exchange(worker))
        harness.write()
        harness.place()
        for worker in workers:
            commands = harness.exchange(worker)
            assert not {"start", "halt"} & set(verbs(commands))
        state = leader.job_status(name)
        assert state is not None
        assert (state.status, state.running) == ("running", 4)
    assert [set(worker.tasks) for worker in workers] == before


def test_a_lost_machine_is_replaced_once_it_is_surely_gone(harness: LeaderHarness) -> None:
    one, other = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(one, other)
    name = start_service(harness, one, other, task_count=2)
    lost = MachineId(next(iter(replicas(harness, name).values())))
    rest = other if lost == one.name else one
    for _ in range(3):
        harness.later(3.0)
        harness.exchange(rest)
        harness.place()
        assert lost in replicas(harness, name).values()
    harness.leader.autoscaler.releaser.release(
        harness.leader.autoscaler.unhealthy_machines(harness.clock())
    )
    assert harness.cloud.released == [lost]
    harness.exchange(rest)
    harness.place()
    assert set(replicas(harness, name).values()) == {rest.name}


def test_a_cancelled_service_ends_everywhere(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(3)
    name = start_service(harness, *workers, task_count=3)
    assert harness.leader.apply_cancel(name)
    for worker in workers * 2:
        harness.exchange(worker)
    assert not any(p.status == "running" for worker in workers for p in worker.tasks.values())
    harness.write()
    assert harness.final_states == {name: "cancelled"}
    harness.place()
    for worker in workers:
        assert not starts(harness.exchange(worker))


def test_a_worker_is_hastened_for_a_replica_also_when_its_report_is_near(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    sent: list[MachineId] = []
    harness.leader.direct_messages.schedule = lambda machine: sent.append(machine.id)  # type: ignore[method-assign]
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.later(2.4)
    harness.accept("run-8")
    harness.place()
    assert not sent  # due anyway
    harness.accept("run-9", **SERVICE, task_count=1)
    harness.place()
    assert sent == [machine.id]


def test_how_soon_a_worker_reports(harness: LeaderHarness) -> None:
    """A nudge brings a heartbeat in half a second; not while a response is under way, nor twice."""
    worker = harness.ready_worker()
    early_heartbeats = harness.leader.early_heartbeats
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    assert early_heartbeats.next_heartbeat_in_s(machine, harness.clock()) == 0.5
    harness.start_job(worker, task_count=1)
    machine.token_bumped_at = None
    assert early_heartbeats.next_heartbeat_in_s(machine, harness.clock()) == 3.0
    harness.exchange(worker)
    machine.token_bumped_at = harness.clock()
    assert (
        early_heartbeats.next_heartbeat_in_s(machine, MonotonicTime(harness.clock() + 1.0)) == 2.0
    )


def test_a_start_refused_by_the_worker_is_no_fault_of_a_service(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    name = start_service(harness, worker, task_count=1)
    key = next(iter(worker.tasks))
    worker.tasks[key] = ReportedTask(*key, "ended", "unknown")
    harness.exchange(worker)
    service = harness.leader.term.job_table.jobs[name]
    assert not service.backoff_s
    assert not service.failed_on
    harness.later(1.5)
    harness.exchange(worker)
    harness.place()
    assert len(service.assigned_tasks) == 1
