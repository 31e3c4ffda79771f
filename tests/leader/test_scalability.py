"""Costs at several fleet sizes, as counts of operations: quadratic growth fails these tests."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from support.fakes import CPU, GPU, FakeWorker, job_spec, policy, settings
from support.harness import LeaderHarness

from ryewing import scheduling
from ryewing.api.store_access import MAX_STORE_READS_IN_FLIGHT
from ryewing.api.submissions import MAX_SUBMISSIONS_IN_FLIGHT
from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.clients.cloud import MAX_MACHINES_PER_RELEASE
from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import Put, StoreUnavailableError
from ryewing.clients.workers import Workers
from ryewing.leader.direct_messages import max_sends_in_flight
from ryewing.leader.machine_records import MACHINE_PREFIX
from ryewing.process.node import API_SOCKET_SHARE, PEER_SOCKET_SHARE
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.attempts import TaskPhase
from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_records import FINISHED_PREFIX, JobRecord, live_key
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.paged_records import PagedRecords
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import (
    Attempt,
    JobId,
    KeyVersion,
    MachineId,
    MonotonicTime,
    Revision,
    TaskId,
    TermNumber,
    Zone,
    parse_task_id,
)
from ryewing.wire.store import Entry
from ryewing.wire.workers import ReportedTask

T0 = MonotonicTime(1000.0)
SIZES = [60, 260, 1000]
STATE = settings().params.state


class Fleet:
    """A cluster state and job table: machines of two types, in three zones, spot and on-demand."""

    def __init__(self, size: int) -> None:
        self.job_table = JobTable()
        self.cluster = ClusterState(TermNumber(5), 20.0, self.job_table, PendingTerminations())
        for n in range(size):
            machine_type = GPU if n % 4 == 0 else CPU
            machine = self.cluster.add(
                MachineId(f"i-{n:06d}"), machine_type, Zone("abc"[n % 3]), n % 5 == 0, T0
            )
            machine.acknowledged_bump, machine.recorded = 0, True

    def job(self, ref: str, **changes: Any) -> Job:
        return self.job_table.put(JobRecord(job_spec(ref, **changes), 0.0), KeyVersion(1))

    def fill(self, job: Job) -> None:
        """Fill every machine without GPUs with a job's tasks."""
        numbers = iter(range(job.spec.task_count))
        for machine in self.cluster.machines.values():
            while not machine.machine_type.gpus and machine.free_cpus >= job.spec.cpus:
                task = TaskId(job.id, next(numbers))
                self.cluster.assign(machine, task, Attempt(1), TaskPhase.RUNNING, T0)

    def plan(self, *jobs: Job) -> scheduling.Plan:
        teams = {team.name: team for team in settings().params.teams}
        capacities = [MachineCapacity(machine) for machine in self.cluster.machines.values()]
        quota = TeamQuota(teams, {}, {})
        now = MonotonicTime(T0 + 100.0)
        return scheduling.run_cycle(
            scheduling.SchedulingSnapshot(
                capacities, quota, now, random.Random(7), policy().sample
            ),
            jobs,
        )


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("full", [False, True])
def test_a_gang_that_fits_is_placed_in_the_first_cycle(size: int, full: bool) -> None:
    """A sample of all machines rarely had enough machines of one type in one zone for a gang."""
    fleet = Fleet(size)
    suitable = sum(
        m.zone == "a" and not m.spot and m.machine_type is CPU
        for m in fleet.cluster.machines.values()
    )
    if full:
        fleet.fill(fleet.job("run-9", priority="idle", task_count=size * 8))
    gang = fleet.job(
        "run-1",
        priority="urgent",
        shape="group",
        same_zone=True,
        task_count=suitable,
        cpus=30.0,
        machine_types=["c32"],
        zone="a",
    )
    plan = fleet.plan(gang)
    assert not plan.unplaced
    if full:
        assert len({assignment.machine.id for assignment in plan.preemptions}) == suitable
    else:
        assert sum(n for batch in plan.batches for _machine, n in batch.parts) == suitable
    assert plan.machines_examined <= 2 * suitable


@pytest.mark.parametrize("size", SIZES)
def test_a_gang_is_placed_on_free_and_preempted_machines_together(size: int) -> None:
    """Such a gang was not placed, because neither kind of machine alone was sufficient."""
    fleet = Fleet(size)
    fleet.fill(fleet.job("run-9", priority="idle", task_count=size * 8))
    suitable = [
        m for m in fleet.cluster.machines.values()
        if m.zone == "a" and not m.spot and m.machine_type is CPU
    ]  # fmt: skip
    for machine in suitable[::2]:
        fleet.cluster.drop_all(machine, T0)
    gang = fleet.job(
        "run-1",
        priority="urgent",
        shape="group",
        same_zone=True,
        task_count=len(suitable),
        cpus=30.0,
        machine_types=["c32"],
        zone="a",
    )
    plan = fleet.plan(gang)
    assert not plan.unplaced
    assert {assignment.machine.id for assignment in plan.preemptions} == {
        m.id for m in suitable[1::2]
    }


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("waiting", [10, 40])
def test_a_backlog_of_similar_jobs_in_a_full_fleet_examines_no_machines(
    size: int, waiting: int
) -> None:
    """The backlog must not cost a check per job and machine."""
    fleet = Fleet(size)
    fleet.fill(fleet.job("run-9", task_count=size * 8))
    jobs = [
        fleet.job(f"run-1{n}", task_count=30, machine_types=["c32"], spot=True)
        for n in range(waiting)
    ]
    plan = fleet.plan(*jobs)
    assert [job for job, _count in plan.unplaced] == jobs
    assert plan.machines_examined == 0


@pytest.mark.parametrize("size", SIZES)
def test_an_array_examines_only_a_sample_of_the_machines(size: int) -> None:
    fleet = Fleet(size)
    plan = fleet.plan(fleet.job("run-1", task_count=100_000, spot=True))
    assert plan.machines_examined <= 2 * policy().sample  # machines without GPUs, then with GPUs
    assert sum(n for batch in plan.batches for _machine, n in batch.parts) >= policy().sample


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("waiting", [5, 40])
def test_jobs_that_wait_for_images_examine_only_samples_of_the_machines(
    size: int, waiting: int
) -> None:
    """Two samples per job and cycle: of machines with the image, and of idle machines."""
    fleet = Fleet(size)
    for n, machine in enumerate(fleet.cluster.machines.values()):
        machine.record_image(f"img-{n % 7}", 4.0)
    jobs = [
        fleet.job(f"run-1{n}", task_count=90, image=f"img-{n % 9}", image_gb=10.0, spot=True)
        for n in range(waiting)
    ]
    plan = fleet.plan(*jobs)
    assert plan.batches
    assert plan.machines_examined <= 3 * policy().sample * waiting


@pytest.mark.parametrize("size", SIZES)
def test_the_image_locality_message_to_a_successor_is_small(size: int) -> None:
    fleet = Fleet(size)
    for n, machine in enumerate(fleet.cluster.machines.values()):
        for k in range(8):
            machine.record_image(f"some-longer-image-name-{(n + k) % 40:02d}", 1.0)
    encoded = msgspec.msgpack.encode(ImageLocality(1, *fleet.cluster.cached_images()))
    assert len(encoded) <= 2000 + 32 * size  # each name once, plus a byte per image and machine


def test_the_socket_shares_are_sufficient_for_all_connections() -> None:
    """A leader of 909 machines had 1,100 API connections, but only 60% of its sockets for them."""
    sockets = 1800
    workers = Workers(sockets)
    for n in range(sockets):
        workers.client_for(f"10.0.{n // 250}.{n % 250 + 1}:9000")
    worker_connections = len(workers.clients)
    store_connections = 6 + 2 + MAX_SUBMISSIONS_IN_FLIGHT + MAX_STORE_READS_IN_FLIGHT
    other_connections = (
        int(PEER_SOCKET_SHARE * sockets)
        + worker_connections
        + max_sends_in_flight(sockets)
        + store_connections
    )
    assert int(API_SOCKET_SHARE * sockets) >= 1.2 * 1100
    assert int(API_SOCKET_SHARE * sockets) + other_connections <= sockets


@pytest.mark.parametrize("size", SIZES)
def test_machines_are_recorded_in_few_writes(harness: LeaderHarness, size: int) -> None:
    """One write per machine used up the write rate for many seconds before a first task started."""
    workers = [harness.worker(f"i-{n:06d}", spot=n % 2 == 0) for n in range(size)]
    before = harness.store.writes
    harness.ready(*workers)
    assert harness.store.writes - before <= size // 20 + 1
    assert all(m.is_schedulable() for m in harness.leader.term.cluster.machines.values())
    harness.new_leader(6)
    assert len(harness.leader.term.cluster.machines) == size
    assert all(m.recorded for m in harness.leader.term.cluster.machines.values())


@pytest.mark.parametrize("jobs", [8, 64, 256])
def test_finished_tasks_of_many_jobs_share_writes(harness: LeaderHarness, jobs: int) -> None:
    """A job gets new tasks once its finished ones are written; a write per job delayed all jobs."""
    for n in range(jobs):
        job_id = JobId(f"run-{n}")
        record = JobRecord(job_spec(str(job_id), task_count=800), 0.0)
        result = harness.store.txn({}, [Put(live_key(job_id), record)])
        live_job = harness.leader.term.job_table.put(record, KeyVersion(result.revision))
        live_job.finish(n)
        harness.leader.term.job_table.reindex(live_job)
    before = harness.store.writes
    harness.write()
    assert harness.store.writes - before <= jobs // 16 + 1
    assert not any(job.unwritten for job in harness.leader.term.job_table)
    harness.new_leader(6)
    assert all(job.done_count == 1 for job in harness.leader.term.job_table)


def test_finished_tasks_of_removed_jobs_do_not_stop_a_failover(harness: LeaderHarness) -> None:
    """With many faults, dropping such records while loading them ended each term at once."""
    for n in range(3):
        record = JobRecord(job_spec(f"run-{n}"), 0.0)
        live_job = harness.leader.term.job_table.put(record, KeyVersion(1))
        live_job.finish(0)
        harness.leader.term.job_table.reindex(live_job)
    harness.write()
    harness.new_leader(6)  # none of the jobs is in the store
    assert not harness.leader.term.job_table.jobs
    harness.write()
    assert all(bytes(entry.data) == b"{}" for entry in harness.store.listing(FINISHED_PREFIX)[0])


@pytest.mark.parametrize("tasks", [4, 16, 64])
def test_an_unchanged_heartbeat_has_no_cost_per_task(
    harness: LeaderHarness, monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    worker = harness.ready_worker()
    harness.accept(task_count=tasks, cpus=0.5, memory_gb=0.1)
    harness.place()
    harness.exchange(worker)
    harness.exchange(worker)
    assert len(harness.assignments()) == tasks
    parsed: list[str] = []

    def counting_parse_task_id(text: str) -> TaskId | None:
        parsed.append(text)
        return parse_task_id(text)

    monkeypatch.setattr("ryewing.state.heartbeat_applier.parse_task_id", counting_parse_task_id)
    for _ in range(5):
        harness.exchange(worker)
    assert not parsed
    key = next(iter(worker.tasks))
    worker.tasks[key] = ReportedTask(*key, "ended", "done")
    harness.exchange(worker)
    assert len(parsed) <= 1
    assert len(harness.assignments()) == tasks - 1


@pytest.mark.parametrize("size", SIZES)
def test_direct_messages_are_bounded_by_a_rate_not_by_the_number_of_machines(
    harness: LeaderHarness, size: int
) -> None:
    """After each write, every machine with an ended task was sent a direct message."""
    workers = harness.ready_workers(size)
    harness.accept(task_count=size * 16)
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    sent: list[MachineId] = []
    harness.leader.direct_messages.schedule = lambda machine: sent.append(machine.id)  # type: ignore[method-assign]
    for worker in workers:
        harness.finish_tasks(worker)
    harness.write()
    assert not sent
    harness.place()
    assert len(sent) <= 60 * settings().params.resources.core_share


def test_machines_beyond_the_limit_of_a_release_request_are_not_forgotten(
    harness: LeaderHarness,
) -> None:
    """A request releases 100 machines; the others were forgotten too, but still ran tasks."""
    harness.ready_workers(250)
    machines = list(harness.leader.term.cluster.machines.values())
    harness.leader.autoscaler.releaser.release(
        [Release(machine, ReleaseReason.SILENT) for machine in machines]
    )
    assert len(harness.cloud.released) == MAX_MACHINES_PER_RELEASE
    assert len(harness.leader.term.cluster.machines) == 250 - MAX_MACHINES_PER_RELEASE
    assert not any(m.being_released for m in harness.leader.term.cluster.machines.values())


# -- paged records -----------------------------------------------------------------------------


def write_dirty_pages(pages: PagedRecords, store: dict[str, Entry], key_version: int) -> int:
    """Write all dirty pages to the store; return the number of pages written."""
    count = 0
    while numbers := list(pages.dirty_pages()):
        transaction = pages.next_transaction(numbers[0], STATE.txn_ops, 48 * 1024)
        for key, condition in transaction.conditions.items():
            entry = store.get(key)
            assert condition == (entry.key_version if entry is not None else 0)
        for put in transaction.ops:
            data = msgspec.json.encode(put.value)
            assert len(data) <= STATE.value_kb * 1024
            store[put.key] = Entry(put.key, msgspec.Raw(data), key_version)
        assert sum(
            len(bytes(store[put.key].data)) for put in transaction.ops
        ) <= transaction.size_bytes + 2 * len(transaction.ops)
        pages.record_applied(transaction, Revision(key_version))
        count += len(transaction.ops)
    return count


@pytest.mark.parametrize("count", [1, 50, 500])
def test_paged_records_are_written_loaded_and_dropped(count: int) -> None:
    pages = PagedRecords(MACHINE_PREFIX, STATE.value_kb)
    store: dict[str, Entry] = {}
    for n in range(count):
        pages.put(f"i-{n:06d}", {"flavour": "c32", "n": n})
    pages_written = write_dirty_pages(pages, store, 1)
    assert pages_written <= count // 50 + 1
    for n in range(count):  # records that outgrow their page move to another
        pages.put(f"i-{n:06d}", {"flavour": "c32", "n": n, "addr": "10.1.0.2:9000"})
    assert pages_written <= write_dirty_pages(pages, store, 2) <= 2 * pages_written
    loaded_pages = PagedRecords(MACHINE_PREFIX, STATE.value_kb)
    records, duplicated = loaded_pages.load(store.values())
    names = [name for name, _record in records]
    assert len(names) == len(set(names)) == count
    assert not duplicated
    for name in names:
        loaded_pages.drop(name)
    write_dirty_pages(loaded_pages, store, 3)
    assert all(bytes(entry.data) == b"{}" for entry in store.values())


def test_a_change_made_during_a_write_is_written_later() -> None:
    pages = PagedRecords(FINISHED_PREFIX, STATE.value_kb)
    number = pages.put("run-1/0", "AA==")
    transaction = pages.next_transaction(number, 8, 1024)
    pages.put("run-1/0", "gA==")
    pages.record_applied(transaction, Revision(7))
    assert pages.is_dirty(number)
    assert pages.next_transaction(number, 8, 1024).conditions == {pages.key(number): 7}


def add_unrecorded(harness: LeaderHarness, worker: FakeWorker) -> None:
    """Let an unrecorded machine send heartbeats: it is added once it shows the term's token."""
    harness.exchange(worker)
    harness.exchange(worker)


def test_a_write_delivered_late_cannot_overwrite_a_newer_one(harness: LeaderHarness) -> None:
    """The response was lost, a newer write was made, and then the network delivered the first."""
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    add_unrecorded(harness, first)
    delayed: list[tuple[object, object]] = []
    original_txn = harness.store.txn

    def delay(conditions: object, writes: object) -> object:
        delayed.append((conditions, list(writes)))  # type: ignore[call-overload]
        raise StoreUnavailableError("no answer")

    harness.store.txn = delay  # type: ignore[assignment,method-assign]
    with pytest.raises(StoreUnavailableError):
        harness.leader.writer.write_once()
    harness.store.txn = original_txn  # type: ignore[method-assign]
    add_unrecorded(harness, second)
    harness.write()
    [(conditions, writes)] = delayed
    assert not original_txn(conditions, writes).ok  # type: ignore[arg-type]
    harness.new_leader(6)
    assert set(harness.leader.term.cluster.machines) == {"i-000001", "i-000002"}


def test_a_write_that_was_applied_without_a_response_is_detected(harness: LeaderHarness) -> None:
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    add_unrecorded(harness, first)
    harness.store.lose_answers = True
    with pytest.raises(StoreUnavailableError):
        harness.leader.writer.write_once()
    harness.store.lose_answers = False
    add_unrecorded(harness, second)
    harness.write()
    assert all(m.recorded for m in harness.leader.term.cluster.machines.values())
    harness.new_leader(6)
    assert set(harness.leader.term.cluster.machines) == {"i-000001", "i-000002"}
