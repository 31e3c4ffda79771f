"""Replicas of services: they never finish, are restarted when they end, and outlive leaders."""

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
        ({"team": "blue", "cpus": 4.0, "task_count": 16}, 201),  # the team's limit: 64 CPUs
        ({"team": "blue", "cpus": 4.0, "task_count": 17}, 422),  # all replicas run at once
        ({"team": "blue", "cpus": 4.0, "task_count": 17, "shape": "batch"}, 201),  # run in turn
        ({"team": "red", "gpus": 1.0, "task_count": 9}, 422),
        ({"team": "nobody"}, 422),
        ({"cpus": 1000.0}, 422),
        ({"task_count": 0}, 400),
        ({"estimated_s": -1.0}, 400),
        ({"estimated_s": 60.0, "deadline_s": 90.0}, 201),  # ignored: a replica has no end
    ],
)
def test_services_are_accepted_only_if_valid_and_feasible(
    changes: dict[str, Any], status: int
) -> None:
    assert Client().submit(**{**SERVICE, **changes})[0] == status
    if status == 422:
        assert infeasibility_reason(job_spec(**{**SERVICE, **changes}), MACHINE_TYPES, TEAMS)


@pytest.mark.parametrize("cause", ["done", "error", "stopped", "killed"])
def test_a_replica_that_ends_is_restarted_and_its_job_is_never_done(
    harness: LeaderHarness, cause: str
) -> None:
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(first, second)
    job_id = start_service(harness, first, second, task_count=2)
    old_attempts = {key[1] for worker in (first, second) for key in worker.tasks}
    assert harness.leader.job_status(job_id) == harness.leader.term.job_table.jobs[job_id].status()
    harness.later(MIN_STABLE_RUN_S + 1)
    for worker in (first, second):
        if worker.tasks:
            worker.finish(cause)
            commands = harness.exchange(worker)
            assert "clear" in verbs(commands)  # cleared without a write to the store
    harness.write()
    for _ in range(3):
        harness.place()
        for worker in (first, second):
            harness.exchange(worker)
    job_status = harness.leader.job_status(job_id)
    assert job_status is not None
    assert (job_status.status, job_status.done, job_status.running) == ("running", 0, 2)
    assert harness.store.get(final_key(job_id)) is None
    assert not harness.final_states
    assert not any(bytes(entry.data) != b"{}" for entry in harness.store.listing("d/")[0])
    new_attempts = {key[1] for worker in (first, second) for key in worker.tasks}
    assert not old_attempts & new_attempts  # each restart has a new attempt number


def test_a_replica_that_exited_with_done_starts_elsewhere(harness: LeaderHarness) -> None:
    """Its worker keeps the result, so a replica started there again would exit at once."""
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(first, second)
    job_id = start_service(harness, first, second, task_count=1)
    [machine_name] = replicas(harness, job_id).values()
    worker_with_result, worker_without_result = (
        (first, second) if machine_name == first.name else (second, first)
    )
    harness.later(MIN_STABLE_RUN_S + 1)
    worker_with_result.finish("done")
    harness.exchange(worker_with_result)
    harness.exchange(worker_without_result)
    harness.place()
    assert list(replicas(harness, job_id).values()) == [worker_without_result.name]


def test_a_record_of_finished_tasks_does_not_complete_a_service(harness: LeaderHarness) -> None:
    job_id = harness.accept(**SERVICE, task_count=2)
    harness.store.txn({}, [Put("d/0", {f"{job_id}/0": "Aw=="})])
    leader = harness.new_leader(6)
    assert leader.term.job_table.jobs[job_id].shortfall == 2
    harness.write()
    assert harness.store.get(final_key(job_id)) is None
    assert not harness.final_states


def test_a_replica_cannot_finish() -> None:
    service = job(**SERVICE, task_count=2)
    assert not service.finish(0)
    assert not service.complete
    assert not service.unwritten
    service.load_chunk(0, "Aw==")
    assert service.shortfall == 2


def test_a_service_that_fails_everywhere_backs_off_and_is_probed_later(
    harness: LeaderHarness,
) -> None:
    workers = harness.ready_workers(8)
    job_id = harness.accept(**SERVICE, task_count=6)
    service = harness.leader.term.job_table.jobs[job_id]
    start_count = 0
    for _ in range(200):
        harness.place()
        for worker in workers:
            start_count += len(starts(harness.exchange(worker)))
            worker.finish("error")
            harness.exchange(worker)
        harness.later(1.0)
    assert service.backoff_s == 60.0
    assert start_count < 60
    assert not any(
        m.failed_jobs or m.quarantined for m in harness.leader.term.cluster.machines.values()
    )
    harness.later(61.0)
    for worker in workers * 2:
        harness.exchange(worker)
    harness.place()
    assert len(service.assigned_tasks) == 1  # one probe shows whether the service still fails
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


def test_a_healthy_service_does_not_back_off_because_of_faulty_machines(
    harness: LeaderHarness,
) -> None:
    """A service has no finished tasks; judged by them, it backed off after 3 faulty machines."""
    workers = harness.ready_workers(6)
    job_id = start_service(harness, *workers, task_count=32, cpus=8.0)
    service = harness.leader.term.job_table.jobs[job_id]
    assert len(set(service.assigned_tasks.values())) == 6
    harness.later(MIN_STABLE_RUN_S + 1)
    for worker in workers:
        harness.exchange(worker)
    for faulty in workers[:4]:
        for _ in range(2):
            faulty.finish("error")
            harness.exchange(faulty)
            harness.place()
            harness.exchange(faulty)
            harness.exchange(faulty)
    assert not service.backoff_s
    cluster = harness.leader.term.cluster
    assert cluster.machines[MachineId(workers[0].name)].failed_jobs


def test_a_machine_that_failed_a_replica_once_is_used_again_later(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job_id = start_service(harness, worker, task_count=1)
    worker.finish("error")
    harness.exchange(worker)
    harness.place()
    assert not replicas(harness, job_id)
    harness.later(130.0)
    harness.exchange(worker)
    harness.place()
    assert len(replicas(harness, job_id)) == 1


# -- infinite run times in estimates -------------------------------------------------------------


def test_replicas_come_first_in_their_priority_and_delay_no_other_job() -> None:
    """The infinite run time of replicas, added to the load, made every other job count as late."""
    service = job("run-9", at=50.0, **SERVICE)
    idle_service = job("run-8", at=50.0, **{**SERVICE, "priority": "idle"})
    batches = [
        job("run-1", task_count=4),
        job("run-2", task_count=4),
        job("run-3", priority="idle"),
    ]
    batches[1].guaranteed = True
    order_without_services = queue_order(batches, 16.0, 60.0)
    order_with_services = queue_order([*batches, service, idle_service], 16.0, 60.0)
    assert order_with_services[0] == "run-9"
    assert order_with_services.index("run-8") == len(order_with_services) - 2
    assert [
        job_id for job_id in order_with_services if job_id not in ("run-9", "run-8")
    ] == order_without_services


@pytest.mark.parametrize("free", [0.0, 16.0])
def test_a_service_gets_no_deadline_from_its_objectives(free: float) -> None:
    objectives = [Objective("wait", 0.9, "scan", 10.0), Objective("finished", 0.9, "scan", 60.0)]
    service = job("run-9", deadline_s=10.0, **SERVICE)
    assert queueing.deadlines(service, objectives) == ()
    supply = queueing.Supply(16.0, free)
    jobs = [job("run-1"), service, job("run-2", **{**SERVICE, "priority": "standard"})]
    ordered = [
        ordered_job.id
        for ordered_job in queueing.order(jobs, objectives, supply, supply, WallTime(5.0))
    ]
    assert ordered == ["run-9", "run-2", "run-1"]


def test_an_image_shared_with_a_service_does_not_make_its_demand_infinite() -> None:
    """Infinite work minus infinite work is NaN, and taking its ceiling raises an error."""
    world = World()
    for n in range(4):
        world.machine(f"i-{n}", zone="ab"[n % 2])
    service = world.job("run-1", **{**SERVICE, "image_gb": 40.0, "task_count": 3})
    batch = world.job("run-2", image_gb=40.0, task_count=40, estimated_s=10.0)
    warm = world.machine("i-9")
    warm.record_image("img-1", 40.0)
    world.run_tasks(world.job("run-8", **{**SERVICE, "cpus": 32.0}, task_count=1), warm, 1)
    plan = world.plan(service, batch)
    assert sum(n for b in plan.batches if b.job is service for _machine, n in b.parts) == 3
    assert batch.shortfall == 40  # it waits for the image, according to a finite estimate


def test_no_resources_held_by_a_replica_are_reserved_for_a_gang() -> None:
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


def test_an_overdue_service_is_placed_whole() -> None:
    """Of an overdue array, in contrast, only a tenth is placed before all other jobs."""
    world = World()
    world.machine("i-1").record_image("img-1", 2.0)
    service = world.job("run-1", **SERVICE, task_count=20)
    plan = scheduling.run_cycle(
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
    assert tasks_by_machine(plan) == {"i-1": 20}


@pytest.mark.parametrize(
    ("tasks", "spread", "expected"),
    [(40, False, 2), (33, False, 2), (32, False, 1), (4, True, 2), (3, True, 2), (1, True, 1)],
)
def test_machines_are_rented_for_every_replica_and_in_two_zones_for_spread_ones(
    tasks: int, spread: bool, expected: int
) -> None:
    """Machines rented in the cheapest zone only were of no use to half of the spread replicas."""
    unplaced = [Unplaced(job(**{**SERVICE, "task_count": tasks, "spread": spread}), tasks)]
    plans = plan_scale_out(unplaced, [], MACHINE_TYPES, CapacityBackoff(), policy(), T0)
    assert sum(plan.machine_count for plan in plans) == expected
    assert len({plan.options[0][1] for plan in plans}) == (2 if spread and tasks > 1 else 1)


def test_no_machine_is_rented_in_a_zone_that_has_its_share_of_replicas() -> None:
    service = job(**{**SERVICE, "task_count": 4, "spread": True})
    service.tasks_by_zone[Zone("a")] = 2
    service.assigned_tasks = dict.fromkeys((0, 1), MachineId("i-1"))
    [plan] = plan_scale_out(
        [Unplaced(service, 2)], [], MACHINE_TYPES, CapacityBackoff(), policy(), T0
    )
    assert plan.options[0][1] != "a"
    assert all(option[1] != "a" for option in plan.options)


# -- failover, cancel ----------------------------------------------------------------------------


def test_replicas_keep_running_through_a_failover(harness: LeaderHarness) -> None:
    workers = [harness.worker(f"i-{n:06d}", zone="ab"[n % 2]) for n in range(4)]
    harness.ready(*workers)
    job_id = start_service(harness, *workers, task_count=4, spread=True)
    tasks_before = [set(worker.tasks) for worker in workers]
    for term in (6, 7):
        leader = harness.new_leader(term)
        job_status = leader.job_status(job_id)
        assert job_status is not None
        assert job_status.status == "queued"
        for worker in workers:
            assert not starts(harness.exchange(worker))
        for worker in workers:
            assert not starts(harness.exchange(worker))
        harness.write()
        harness.place()
        for worker in workers:
            commands = harness.exchange(worker)
            assert not {"start", "halt"} & set(verbs(commands))
        job_status = leader.job_status(job_id)
        assert job_status is not None
        assert (job_status.status, job_status.running) == ("running", 4)
    assert [set(worker.tasks) for worker in workers] == tasks_before


def test_the_replica_of_a_lost_machine_is_replaced_once_the_machine_is_released(
    harness: LeaderHarness,
) -> None:
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(first, second)
    job_id = start_service(harness, first, second, task_count=2)
    lost = MachineId(next(iter(replicas(harness, job_id).values())))
    remaining = second if lost == first.name else first
    for _ in range(3):
        harness.later(3.0)
        harness.exchange(remaining)
        harness.place()
        assert lost in replicas(harness, job_id).values()
    harness.leader.autoscaler.releaser.release(
        harness.leader.autoscaler.unhealthy_machines(harness.clock())
    )
    assert harness.cloud.released == [lost]
    harness.exchange(remaining)
    harness.place()
    assert set(replicas(harness, job_id).values()) == {remaining.name}


def test_a_cancelled_service_ends_on_every_machine(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(3)
    job_id = start_service(harness, *workers, task_count=3)
    assert harness.leader.apply_cancel(job_id)
    for worker in workers * 2:
        harness.exchange(worker)
    assert not any(p.status == "running" for worker in workers for p in worker.tasks.values())
    harness.write()
    assert harness.final_states == {job_id: "cancelled"}
    harness.place()
    for worker in workers:
        assert not starts(harness.exchange(worker))


def test_an_early_heartbeat_is_requested_for_a_replica_even_shortly_before_the_next(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    sent: list[MachineId] = []
    harness.leader.direct_messages.schedule = lambda machine: sent.append(machine.id)  # type: ignore[method-assign]
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.later(2.4)
    harness.accept("run-8")
    harness.place()
    assert not sent  # the next heartbeat is due soon
    harness.accept("run-9", **SERVICE, task_count=1)
    harness.place()
    assert sent == [machine.id]


def test_the_next_heartbeat_is_estimated_early_only_if_it_can_be_requested(
    harness: LeaderHarness,
) -> None:
    """An early heartbeat arrives 0.5 s after the last one.

    None can be requested while a start is in flight, or twice within half a lease.
    """
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


def test_a_start_refused_by_the_worker_does_not_count_against_a_service(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    job_id = start_service(harness, worker, task_count=1)
    key = next(iter(worker.tasks))
    worker.tasks[key] = ReportedTask(*key, "ended", "unknown")
    harness.exchange(worker)
    service = harness.leader.term.job_table.jobs[job_id]
    assert not service.backoff_s
    assert not service.failed_on
    harness.later(1.5)
    harness.exchange(worker)
    harness.place()
    assert len(service.assigned_tasks) == 1
