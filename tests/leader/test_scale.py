"""The cost of things at several sizes, in counts: a step that grows with the square fails here."""

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
    """Machines of two types, three zones and two kinds, and jobs on them."""

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

    def fill(self, one: Job) -> None:
        """Fill every machine that has no cards with a job's tasks."""
        numbers = iter(range(one.spec.task_count))
        for machine in self.cluster.machines.values():
            while not machine.machine_type.gpus and machine.free_cpus >= one.spec.cpus:
                task = TaskId(one.id, next(numbers))
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
    """In a sample of all machines it hardly ever found enough of one type in one zone."""
    fleet = Fleet(size)
    ordinary = sum(
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
        task_count=ordinary,
        cpus=30.0,
        machine_types=["c32"],
        zone="a",
    )
    plan = fleet.plan(gang)
    assert not plan.unplaced
    if full:
        assert len({assignment.machine.id for assignment in plan.preemptions}) == ordinary
    else:
        assert sum(n for batch in plan.batches for _machine, n in batch.parts) == ordinary
    assert plan.machines_examined <= 2 * ordinary


@pytest.mark.parametrize("size", SIZES)
def test_free_and_stopped_machines_make_a_gang_whole_together(size: int) -> None:
    """A gang that needed free machines and full ones found neither enough."""
    fleet = Fleet(size)
    fleet.fill(fleet.job("run-9", priority="idle", task_count=size * 8))
    ordinary = [
        m for m in fleet.cluster.machines.values()
        if m.zone == "a" and not m.spot and m.machine_type is CPU
    ]  # fmt: skip
    for machine in ordinary[::2]:
        fleet.cluster.drop_all(machine, T0)
    gang = fleet.job(
        "run-1",
        priority="urgent",
        shape="group",
        same_zone=True,
        task_count=len(ordinary),
        cpus=30.0,
        machine_types=["c32"],
        zone="a",
    )
    plan = fleet.plan(gang)
    assert not plan.unplaced
    assert {assignment.machine.id for assignment in plan.preemptions} == {
        m.id for m in ordinary[1::2]
    }


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("waiting", [10, 40])
def test_what_found_no_room_is_not_looked_for_again(size: int, waiting: int) -> None:
    """A backlog of like jobs before a full fleet costs one look, not one a job and machine."""
    fleet = Fleet(size)
    fleet.fill(fleet.job("run-9", task_count=size * 8))
    jobs = [
        fleet.job(f"run-1{n}", task_count=30, machine_types=["c32"], spot=True)
        for n in range(waiting)
    ]
    plan = fleet.plan(*jobs)
    assert [one for one, _count in plan.unplaced] == jobs
    assert plan.machines_examined == 0


@pytest.mark.parametrize("size", SIZES)
def test_an_array_looks_at_a_sample(size: int) -> None:
    fleet = Fleet(size)
    plan = fleet.plan(fleet.job("run-1", task_count=100_000, spot=True))
    assert plan.machines_examined <= 2 * policy().sample  # machines without cards, then those with
    assert sum(n for batch in plan.batches for _machine, n in batch.parts) >= policy().sample


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("waiting", [5, 40])
def test_jobs_that_wait_for_images_look_at_samples(size: int, waiting: int) -> None:
    """Twice a cycle: at machines with the image, and at what lies idle. Never at all of them."""
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
def test_what_a_successor_is_told_of_images_is_small(size: int) -> None:
    fleet = Fleet(size)
    for n, machine in enumerate(fleet.cluster.machines.values()):
        for k in range(8):
            machine.record_image(f"some-longer-image-name-{(n + k) % 40:02d}", 1.0)
    encoded = msgspec.msgpack.encode(ImageLocality(1, *fleet.cluster.cached_images()))
    assert len(encoded) <= 2000 + 32 * size  # names once, then a byte for each image of a machine


def test_sockets_are_shared_out_by_need() -> None:
    """A leader of 909 machines had 1,100 connections, and six in ten of its sockets for them."""
    sockets = 1800
    workers = Workers(sockets)
    for n in range(sockets):
        workers.client_for(f"10.0.{n // 250}.{n % 250 + 1}:9000")
    kept = len(workers.clients)
    store = 6 + 2 + MAX_SUBMISSIONS_IN_FLIGHT + MAX_STORE_READS_IN_FLIGHT
    others = int(PEER_SOCKET_SHARE * sockets) + kept + max_sends_in_flight(sockets) + store
    assert int(API_SOCKET_SHARE * sockets) >= 1.2 * 1100
    assert int(API_SOCKET_SHARE * sockets) + others <= sockets


@pytest.mark.parametrize("size", SIZES)
def test_machines_are_recorded_in_few_writes(harness: LeaderHarness, size: int) -> None:
    """One write each took the write rate for many seconds before a first task could start."""
    workers = [harness.worker(f"i-{n:06d}", spot=n % 2 == 0) for n in range(size)]
    before = harness.store.writes
    harness.ready(*workers)
    assert harness.store.writes - before <= size // 20 + 1
    assert all(m.is_schedulable() for m in harness.leader.term.cluster.machines.values())
    harness.new_leader(6)
    assert len(harness.leader.term.cluster.machines) == size
    assert all(m.recorded for m in harness.leader.term.cluster.machines.values())


@pytest.mark.parametrize("jobs", [8, 64, 256])
def test_finishes_of_many_jobs_share_their_writes(harness: LeaderHarness, jobs: int) -> None:
    """A job is refilled after its finishes are written: a write each delayed every one."""
    for n in range(jobs):
        name = JobId(f"run-{n}")
        record = JobRecord(job_spec(str(name), task_count=800), 0.0)
        result = harness.store.txn({}, [Put(live_key(name), record)])
        found = harness.leader.term.job_table.put(record, KeyVersion(result.revision))
        found.finish(n)
        harness.leader.term.job_table.reindex(found)
    before = harness.store.writes
    harness.write()
    assert harness.store.writes - before <= jobs // 16 + 1
    assert not any(one.unwritten for one in harness.leader.term.job_table)
    harness.new_leader(6)
    assert all(one.done_count == 1 for one in harness.leader.term.job_table)


def test_finishes_of_jobs_that_are_gone_do_not_stop_a_failover(harness: LeaderHarness) -> None:
    """Found on a rough day: dropping them while reading ended every term at its beginning."""
    for n in range(3):
        record = JobRecord(job_spec(f"run-{n}"), 0.0)
        found = harness.leader.term.job_table.put(record, KeyVersion(1))
        found.finish(0)
        harness.leader.term.job_table.reindex(found)
    harness.write()
    harness.new_leader(6)  # none of the jobs is in the store
    assert not harness.leader.term.job_table.jobs
    harness.write()
    assert all(bytes(entry.data) == b"{}" for entry in harness.store.listing(FINISHED_PREFIX)[0])


@pytest.mark.parametrize("tasks", [4, 16, 64])
def test_an_unchanged_heartbeat_costs_nothing_a_task(
    harness: LeaderHarness, monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    worker = harness.ready_worker()
    harness.accept(task_count=tasks, cpus=0.5, memory_gb=0.1)
    harness.place()
    harness.exchange(worker)
    harness.exchange(worker)
    assert len(harness.assignments()) == tasks
    parsed: list[str] = []

    def counted(text: str) -> TaskId | None:
        parsed.append(text)
        return parse_task_id(text)

    monkeypatch.setattr("ryewing.state.heartbeat_applier.parse_task_id", counted)
    for _ in range(5):
        harness.exchange(worker)
    assert not parsed
    key = next(iter(worker.tasks))
    worker.tasks[key] = ReportedTask(*key, "ended", "done")
    harness.exchange(worker)
    assert len(parsed) <= 1
    assert len(harness.assignments()) == tasks - 1


@pytest.mark.parametrize("size", SIZES)
def test_direct_messages_are_bounded_by_rate_not_by_machines(
    harness: LeaderHarness, size: int
) -> None:
    """After each write every machine with an ended task was sent a message of its own."""
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


def test_no_more_machines_count_as_gone_than_one_request_releases(harness: LeaderHarness) -> None:
    """With more than a hundred to be given up, the rest was forgotten while it still ran tasks."""
    harness.ready_workers(250)
    machines = list(harness.leader.term.cluster.machines.values())
    harness.leader.autoscaler.releaser.release(
        [Release(machine, ReleaseReason.SILENT) for machine in machines]
    )
    assert len(harness.cloud.released) == MAX_MACHINES_PER_RELEASE
    assert len(harness.leader.term.cluster.machines) == 250 - MAX_MACHINES_PER_RELEASE
    assert not any(m.being_released for m in harness.leader.term.cluster.machines.values())


# -- records that share a page -----------------------------------------------------------------


def written(pages: PagedRecords, store: dict[str, Entry], key_version: int) -> int:
    """Make every wanted change; return how many."""
    count = 0
    while wanted := list(pages.dirty_pages()):
        change = pages.next_transaction(wanted[0], STATE.txn_ops, 48 * 1024)
        for key, condition in change.conditions.items():
            assignment = store.get(key)
            assert condition == (assignment.key_version if assignment is not None else 0)
        for put in change.ops:
            data = msgspec.json.encode(put.value)
            assert len(data) <= STATE.value_kb * 1024
            store[put.key] = Entry(put.key, msgspec.Raw(data), key_version)
        assert sum(
            len(bytes(store[put.key].data)) for put in change.ops
        ) <= change.size_bytes + 2 * len(change.ops)
        pages.record_applied(change, Revision(key_version))
        count += len(change.ops)
    return count


@pytest.mark.parametrize("count", [1, 50, 500])
def test_paged_records_come_back_and_go(count: int) -> None:
    pages = PagedRecords(MACHINE_PREFIX, STATE.value_kb)
    store: dict[str, Entry] = {}
    for n in range(count):
        pages.put(f"i-{n:06d}", {"flavour": "c32", "n": n})
    changes = written(pages, store, 1)
    assert changes <= count // 50 + 1
    for n in range(count):  # records that grow beyond the value go to others
        pages.put(f"i-{n:06d}", {"flavour": "c32", "n": n, "addr": "10.1.0.2:9000"})
    assert changes <= written(pages, store, 2) <= 2 * changes
    again = PagedRecords(MACHINE_PREFIX, STATE.value_kb)
    records, twice = again.load(store.values())
    names = [name for name, _record in records]
    assert len(names) == len(set(names)) == count
    assert not twice
    for name in names:
        again.drop(name)
    written(again, store, 3)
    assert all(bytes(entry.data) == b"{}" for entry in store.values())


def test_a_change_made_while_a_write_is_under_way_is_written_too() -> None:
    pages = PagedRecords(FINISHED_PREFIX, STATE.value_kb)
    number = pages.put("run-1/0", "AA==")
    change = pages.next_transaction(number, 8, 1024)
    pages.put("run-1/0", "gA==")
    pages.record_applied(change, Revision(7))
    assert pages.is_dirty(number)
    assert pages.next_transaction(number, 8, 1024).conditions == {pages.key(number): 7}


def hear(harness: LeaderHarness, worker: FakeWorker) -> None:
    """Hear a machine that nobody has recorded: it is taken up once it shows our token."""
    harness.exchange(worker)
    harness.exchange(worker)


def test_a_write_applied_late_cannot_take_back_a_newer_one(harness: LeaderHarness) -> None:
    """Its answer was lost, a newer one was written, then the network delivered it after all."""
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    hear(harness, first)
    held_back: list[tuple[object, object]] = []
    real = harness.store.txn

    def hold_back(conditions: object, writes: object) -> object:
        held_back.append((conditions, list(writes)))  # type: ignore[call-overload]
        raise StoreUnavailableError("no answer")

    harness.store.txn = hold_back  # type: ignore[assignment,method-assign]
    with pytest.raises(StoreUnavailableError):
        harness.leader.writer.write_once()
    harness.store.txn = real  # type: ignore[method-assign]
    hear(harness, second)
    harness.write()
    [(conditions, writes)] = held_back
    assert not real(conditions, writes).ok  # type: ignore[arg-type]
    harness.new_leader(6)
    assert set(harness.leader.term.cluster.machines) == {"i-000001", "i-000002"}


def test_a_write_that_was_applied_unseen_is_found_out(harness: LeaderHarness) -> None:
    first, second = harness.worker("i-000001"), harness.worker("i-000002")
    hear(harness, first)
    harness.store.lose_answers = True
    with pytest.raises(StoreUnavailableError):
        harness.leader.writer.write_once()
    harness.store.lose_answers = False
    hear(harness, second)
    harness.write()
    assert all(m.recorded for m in harness.leader.term.cluster.machines.values())
    harness.new_leader(6)
    assert set(harness.leader.term.cluster.machines) == {"i-000001", "i-000002"}
