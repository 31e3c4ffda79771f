"""A store that lowers its limits: new writes respect them, and larger stored values are split."""

from __future__ import annotations

import itertools
from typing import Any

import msgspec
import pytest
from support.api_client import Client
from support.fakes import CPU, FakeStore, job_spec, settings
from support.harness import LeaderHarness

from ryewing.clients.store import Put, RejectedError, StoreUnavailableError
from ryewing.config.settings import SettingsError
from ryewing.config.settings_file import load_settings
from ryewing.leader.machine_records import MACHINE_PREFIX, MachineRecord
from ryewing.leader.rentals import REQUEST_PREFIX
from ryewing.leader.state_writer import REJECTED_WRITE_RETRY_S
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.state.job_records import FINISHED_PREFIX, JobRecord, final_key, live_key
from ryewing.state.paged_records import PagedRecords
from ryewing.units import JobId, KeyVersion, MachineId
from ryewing.wire.cloud import MachineType, RentalRequest
from ryewing.wire.store import Entry


def raw_settings(**state: Any) -> Any:
    raw = msgspec.to_builtins(settings())
    raw["params"]["state"].update(state)
    return raw


@pytest.mark.parametrize(
    ("next_limits", "expected"),
    [
        (None, (100.0, 50.0, 8.0, 8)),
        ({}, (100.0, 50.0, 8.0, 8)),
        ({"value_kb": 2.0}, (100.0, 50.0, 2.0, 8)),
        ({"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0, "rps": 30}, (30.0, 15.0, 2.0, 4)),
        ({"value_kb": 64.0, "txn_ops": 16, "write_rps": 99.0}, (100.0, 50.0, 8.0, 8)),
        ({"txn_ops": None, "colour": "red"}, (100.0, 50.0, 8.0, 8)),
    ],
)
def test_the_stricter_of_current_and_next_limits_applies(
    tmp_path: Any, next_limits: Any, expected: Any
) -> None:
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw_settings(next=next_limits)))
    limits = load_settings(file).params.state.strictest()
    assert (limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops) == expected


@pytest.mark.parametrize(
    ("next_limits", "field"),
    [
        ({"value_kb": 0}, "params.state.next.value_kb: must be above 0"),
        ({"write_rps": -1.0}, "params.state.next.write_rps: must be above 0"),
        ({"rps": "many"}, "params.state.next.rps"),
        ({"txn_ops": 2.5}, "params.state.next.txn_ops"),
        ({"txn_ops": 1}, "params.state.next.txn_ops: must be at least 2"),
        (7, "params.state.next"),
    ],
)
def test_invalid_next_limits_are_refused_with_the_name_of_the_field(
    tmp_path: Any, next_limits: Any, field: str
) -> None:
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw_settings(next=next_limits)))
    with pytest.raises(SettingsError, match=field):
        load_settings(file)


def test_objectives_of_unknown_kinds_are_ignored(tmp_path: Any) -> None:
    raw = raw_settings()
    known = len(raw["params"]["objectives"])
    raw["params"]["objectives"] += [
        {"kind": "up", "class": "portal", "after_s": 5.0, "worst_s": 30.0, "share": 0.998},
        {"kind": "splendour", "times": "many", "share": {}},
    ]
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw))
    assert len(load_settings(file).params.objectives) == known


# -- stored values above the next limits ---------------------------------------------------------


def store_with_wide_limits(prefix: str, kb: float, names: int) -> tuple[FakeStore, dict[str, Any]]:
    """Return a store filled with paged records under wide limits, and these records by name."""
    store = FakeStore()
    store.limits = msgspec.structs.replace(store.limits, value_kb=kb, txn_ops=16)
    pages = PagedRecords(prefix, kb)
    records = {f"i-{n:06d}": {"flavour": "c32", "site": "a", "n": n} for n in range(names)}
    for name, record in records.items():
        pages.put(name, record)
    write_dirty_pages(pages, store, 16)
    return store, records


def write_dirty_pages(
    pages: PagedRecords, store: FakeStore, ops_max: int, stop_after: int = 10_000
) -> int:
    """Write dirty pages in at most `stop_after` transactions; return how many were made."""
    for done in range(stop_after):
        number = next(pages.dirty_pages(), None)
        if number is None:
            return done
        transaction = pages.next_transaction(number, ops_max, 48 * 1024)
        result = store.txn(transaction.conditions, list(transaction.ops))
        assert result.ok
        pages.record_applied(transaction, result.revision)
    return stop_after


def read_records(store: FakeStore, prefix: str) -> dict[str, list[Any]]:
    """Return all copies of each record by name, in the order of their keys in the store."""
    copies_by_name: dict[str, list[Any]] = {}
    for entry in store.listing(prefix)[0]:
        for name, record in msgspec.json.decode(entry.data).items():
            copies_by_name.setdefault(name, []).append(record)
    return copies_by_name


@pytest.mark.parametrize("limits_lowered", [False, True])
@pytest.mark.parametrize(("kb", "ops"), [(2.0, 4), (2.0, 2), (1.0, 5)])
def test_values_are_split_and_no_record_is_missing_at_any_time(
    kb: float, ops: int, limits_lowered: bool
) -> None:
    """Even a crash between two writes, after which a successor continues, loses no record."""
    for writes_before_crash in itertools.count():
        store, records = store_with_wide_limits(MACHINE_PREFIX, 8.0, 120)
        if limits_lowered:
            store.limits = msgspec.structs.replace(store.limits, value_kb=kb, txn_ops=ops)
        pages = PagedRecords(MACHINE_PREFIX, kb)
        pages.load(store.listing(MACHINE_PREFIX)[0])
        writes = write_dirty_pages(pages, store, ops, writes_before_crash)
        copies_by_name = read_records(store, MACHINE_PREFIX)
        assert copies_by_name.keys() == records.keys()
        assert all(
            copies == [records[name]] * len(copies) for name, copies in copies_by_name.items()
        )
        successor_pages = PagedRecords(MACHINE_PREFIX, kb)
        loaded, duplicated = successor_pages.load(store.listing(MACHINE_PREFIX)[0])
        assert {name for name, copies in copies_by_name.items() if len(copies) > 1} == duplicated
        assert len(loaded) == len(records) + len(duplicated)
        write_dirty_pages(successor_pages, store, ops)
        assert read_records(store, MACHINE_PREFIX) == {
            name: [record] for name, record in records.items()
        }
        for entry in store.listing(MACHINE_PREFIX)[0]:
            assert len(bytes(entry.data)) <= kb * 1024
        assert not store.rejected
        if writes < writes_before_crash:
            break


def test_records_stored_twice_are_merged(harness: LeaderHarness) -> None:
    """A predecessor of an earlier version updated one copy, and later the other."""
    job = harness.accept("run-1", task_count=16)
    harness.accept("run-2", task_count=16)
    harness.store.txn(
        {},
        [
            Put("d/0", {"run-1/0": "AQ==", "run-2/0": "AQ=="}),
            Put("d/1", {"run-1/0": "gA=="}),
            Put("m/3", {"i-000001": MachineRecord("c32", "a", False, "10.1.0.2:9000", True)}),
        ],
    )
    harness.store.txn({}, [Put("m/10", {"i-000001": MachineRecord("c32", "a")})])
    leader = harness.new_leader(6)
    assert leader.term.job_table.jobs[job].done_count == 2
    machine = leader.term.cluster.machines[MachineId("i-000001")]
    assert machine.recorded
    assert machine.lease_expires_by is not None
    harness.write()
    stored_copies = read_records(harness.store, "d/") | read_records(harness.store, "m/")
    assert stored_copies["run-1/0"] == ["gQA="] or stored_copies["run-1/0"] == ["gQ=="]
    assert [copy["heard"] for copy in stored_copies["i-000001"]] == [True]


def test_a_merged_record_is_written_before_one_of_its_copies_is_removed() -> None:
    store = FakeStore()
    store.txn({}, [Put("d/0", {"run-1/0": "gA=="}), Put("d/1", {"run-1/0": "AQ=="})])
    pages = PagedRecords(FINISHED_PREFIX, 8.0)
    loaded, duplicated = pages.load(store.listing(FINISHED_PREFIX)[0])
    assert duplicated == {"run-1/0"}
    assert len(loaded) == 2
    pages.put("run-1/0", "gQ==")
    for number in (0, 1):
        assert pages.next_transaction(number, 1, 1024).ops[0].key == "d/1"
    assert [put.key for put in pages.next_transaction(0, 2, 1024).ops] == ["d/1", "d/0"]


def test_records_can_be_loaded_again_after_a_failed_load() -> None:
    """A second load treated each record as a duplicate and dropped it."""
    store, records = store_with_wide_limits(MACHINE_PREFIX, 8.0, 40)
    pages = PagedRecords(MACHINE_PREFIX, 1.0)
    for _ in range(2):
        loaded, duplicated = pages.load(store.listing(MACHINE_PREFIX)[0])
        assert len(loaded) == len(records)
        assert not duplicated
    first_conditions = dict(pages.next_transaction(next(pages.dirty_pages()), 8, 65536).conditions)
    pages.load([])
    pages.put("i-1", {"n": 1})
    assert pages.next_transaction(0, 8, 65536).conditions == {pages.key(0): 0} != first_conditions


def test_a_page_whose_first_write_was_applied_without_a_response_is_written_last() -> None:
    """The response was lost, and meanwhile a record of the page was moved to another page."""
    pages = PagedRecords(MACHINE_PREFIX, 1.0)
    for n in range(12):
        pages.put(f"i-{n}", {"addr": ""})
    unanswered = pages.next_transaction(0, 8, 65536)
    for n in range(12):
        pages.put(f"i-{n}", {"addr": "x" * 90})
    other_keys = [key for key in (pages.key(n) for n in pages.dirty_pages()) if key != pages.key(0)]
    assert other_keys
    assert len(pages.next_transaction(0, 8, 65536).ops) == 1
    stored_entry = Entry(pages.key(0), msgspec.Raw(msgspec.json.encode(unanswered.ops[0].value)), 7)
    pages.record_conflict(pages.key(0), stored_entry)
    transaction = pages.next_transaction(0, 8, 65536)
    assert len(transaction.ops) > 1
    assert transaction.ops[-1].key == pages.key(0)
    assert transaction.conditions[pages.key(0)] == 7


def test_a_late_copy_of_a_write_changes_nothing_after_a_split() -> None:
    store, records = store_with_wide_limits(MACHINE_PREFIX, 8.0, 120)
    pages = PagedRecords(MACHINE_PREFIX, 2.0)
    pages.load(store.listing(MACHINE_PREFIX)[0])
    sent: list[tuple[dict[str, KeyVersion], list[Put]]] = []
    while (number := next(pages.dirty_pages(), None)) is not None:
        transaction = pages.next_transaction(number, 4, 48 * 1024)
        sent.append((dict(transaction.conditions), list(transaction.ops)))
        result = store.txn(transaction.conditions, list(transaction.ops))
        pages.record_applied(transaction, result.revision)
    for name in list(records)[:60]:
        pages.drop(name)  # some pages become empty
    write_dirty_pages(pages, store, 4)
    data_before = dict(store.data)
    for conditions, ops in sent:
        assert not store.txn(conditions, list(ops)).ok
    assert store.data == data_before


def test_a_fleet_and_its_finished_tasks_are_written_under_lower_limits(
    harness: LeaderHarness,
) -> None:
    """In a trial, the lower limits made the store reject every write, so no finish was recorded."""
    workers = harness.ready_workers(120)
    jobs = [harness.accept(f"run-{n}", task_count=40, cpus=1.0, memory_gb=1.0) for n in range(60)]
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers[:60]:
        harness.finish_tasks(worker)
    harness.write()
    harness.announce_store_limits(value_kb=2.0, txn_ops=4)
    harness.new_leader(6)
    harness.set_store_limits(value_kb=2.0, txn_ops=4)
    harness.ready(*workers)
    for worker in workers:
        harness.finish_tasks(worker)
    for _ in range(40):
        harness.write()
        harness.place()
        for worker in workers:
            harness.exchange(worker)
            harness.finish_tasks(worker)
    harness.write()
    assert harness.final_states == dict.fromkeys(jobs, "done")
    assert (
        max(len(value) for key, (value, *_) in harness.store.data.items() if key[1] == "/") < 2048
    )


@pytest.mark.parametrize("large_first", [True, False])
def test_a_value_that_cannot_be_written_does_not_block_the_others(
    harness: LeaderHarness, large_first: bool
) -> None:
    """A status 400 was treated as an outage, so the same transaction was retried endlessly."""
    harness.may_reject = True
    sizes = [8192, 4] if large_first else [4, 8192]
    large, small = (harness.accept(f"run-{n}", task_count=tasks) for n, tasks in enumerate(sizes))
    if not large_first:
        large, small = small, large
    harness.set_store_limits(value_kb=1.0)
    for name in (large, small):
        harness.leader.term.job_table.jobs[name].finish(1)
        harness.leader.term.job_table.reindex(harness.leader.term.job_table.jobs[name])
    for _ in range(12):
        harness.leader.writer.write_once()
    assert not harness.leader.term.job_table.jobs[small].unwritten
    assert harness.leader.term.job_table.jobs[large].unwritten
    rejected_before = len(harness.store.rejected)
    for _ in range(5):
        harness.leader.writer.write_once()
    # The rejected write is not retried before `REJECTED_WRITE_RETRY_S`.
    assert len(harness.store.rejected) == rejected_before
    harness.later(REJECTED_WRITE_RETRY_S + 1)
    harness.set_store_limits(value_kb=8.0)
    harness.write()
    assert not harness.leader.term.job_table.jobs[large].unwritten


@pytest.mark.parametrize("limits", [{"txn_ops": 3}, {"value_kb": 1.0}, {"txn_ops": 2}])
def test_limits_lowered_without_notice_are_detected(harness: LeaderHarness, limits: Any) -> None:
    harness.may_reject = True
    workers = harness.ready_workers(40)
    harness.set_store_limits(**limits)
    jobs = [harness.accept(f"run-{n}", task_count=4, cpus=1.0, memory_gb=1.0) for n in range(30)]
    harness.place()
    for worker in workers:
        harness.exchange(worker)
    for n, worker in enumerate(workers):
        worker.machine_type = worker.machine_type
        harness.leader.term.cluster.machines[MachineId(worker.name)].address = f"10.2.0.{n}:9000"
        harness.leader.writer.record_machine(MachineId(worker.name))
        harness.finish_tasks(worker)
    harness.write()
    assert harness.final_states == dict.fromkeys(jobs, "done")


# -- records of jobs ----------------------------------------------------------------------------


def store_oversized_job(client: Client, ref: str) -> JobRecord:
    """Store a job under wide limits, then lower the limits below the size of its record."""
    record = JobRecord(job_spec(ref, image="img-" + "x" * 3000), 0.0)
    client.node.store.txn({}, [Put(live_key(JobId(ref)), record)])
    client.node.store.limits = msgspec.structs.replace(
        client.node.store.limits, value_kb=2.0, txn_ops=4
    )
    return record


def test_a_job_stored_under_wider_limits_stays_known_and_can_be_cancelled() -> None:
    """The record could be read, not written; a repeated submission was refused as too large."""
    client = Client()
    record = store_oversized_job(client, "run-7")
    resubmission = msgspec.to_builtins(record.spec)
    assert client("POST", "/v2/runs", msgspec.json.encode(resubmission))[0] == 200
    assert client("POST", "/v2/runs/run-7/cancel") == (
        200,
        {"ref": "run-7", "status": "cancelled"},
    )
    entry = client.node.store.get(live_key(JobId("run-7")))
    assert entry is not None
    stored = msgspec.json.decode(entry.data, type=JobRecord)
    assert stored.cancelled
    assert stored.spec.team == "red"
    assert stored.spec.cpus == record.spec.cpus
    assert not client.node.store.rejected


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"bundle": "img-" + "x" * 3000}, 400),
        ({"bundle": "img-1", "pieces": 100_000}, 201),
        ({"jobclass": "j" * 1500}, 201),
    ],
)
def test_only_jobs_whose_records_exceed_the_limits_are_refused(changes: Any, status: int) -> None:
    client = Client()
    client.node.store.limits = msgspec.structs.replace(client.node.store.limits, value_kb=2.0)
    assert client.submit(**changes)[0] == status
    assert not client.node.store.rejected


def test_a_job_whose_finished_tasks_exceed_the_limits_is_refused() -> None:
    client = Client()
    client.node.store.limits = msgspec.structs.replace(client.node.store.limits, value_kb=1.0)
    assert client.submit(task_count=8192)[0] == 400
    assert client.submit(task_count=5000)[0] == 201
    assert client.submit(ref="run-2", task_count=8192, shape="daemon", cpus=0.001)[0] == 201


def test_a_store_with_stricter_limits_than_announced_is_not_treated_as_an_outage() -> None:
    """Submissions got a 503 and were retried for a minute, and a cancel never succeeded."""
    client = Client()
    record = JobRecord(job_spec("run-1", image="img-" + "x" * 3000), 0.0)
    client.node.store.txn({}, [Put(live_key(JobId("run-1")), record)])
    wide_limits = client.node.store.limits
    client.node.store.limits = narrow_limits = msgspec.structs.replace(wide_limits, value_kb=2.0)
    original_txn = client.node.store.txn

    def txn_with_narrow_limits(conditions: Any, writes: Any) -> Any:
        client.node.store.limits = narrow_limits
        try:
            return original_txn(conditions, writes)
        finally:
            client.node.store.limits = wide_limits

    client.node.store.txn = txn_with_narrow_limits  # type: ignore[method-assign]
    client.node.store.limits = wide_limits
    assert client.submit(ref="run-2", image="img-" + "x" * 3000)[0] == 400
    assert client.submit(image="img-" + "x" * 3000)[0] == 200
    assert client("POST", "/v2/runs/run-1/cancel")[0] == 200


def test_a_final_state_is_written_for_a_job_with_a_record_above_the_limits(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    job = harness.accept("run-1", image="img-" + "x" * 3000)
    harness.announce_store_limits(value_kb=2.0, txn_ops=4)
    harness.new_leader(6)
    harness.set_store_limits(value_kb=2.0, txn_ops=4)
    harness.ready(worker)
    harness.place()
    harness.exchange(worker)
    harness.finish_tasks(worker)
    harness.write()
    assert harness.store.get(final_key(job)) is not None
    assert harness.store.get(live_key(job)) is None


# -- machine types ------------------------------------------------------------------------------


def many_types(count: int) -> list[MachineType]:
    return [msgspec.structs.replace(CPU, name=f"c{n}") for n in range(count)]


@pytest.mark.parametrize(
    ("count", "kb", "split"), [(2, 8.0, False), (30, 8.0, False), (45, 1.2, True), (20, 2.0, True)]
)
def test_machine_types_are_one_value_unless_the_store_rejects_it(
    count: int, kb: float, split: bool
) -> None:
    store = FakeStore()
    store.limits = msgspec.structs.replace(store.limits, value_kb=kb)
    catalogue.write(store, {}, many_types(count))  # type: ignore[arg-type]
    assert (len(store.listing(catalogue.KEY)[0]) > 1) == split
    stored = catalogue.read(store)  # type: ignore[arg-type]
    assert sorted(machine_type.name for machine_type in stored) == sorted(
        machine_type.name for machine_type in many_types(count)
    )
    store.limits = msgspec.structs.replace(store.limits, value_kb=8.0)
    catalogue.write(store, {}, many_types(3))  # type: ignore[arg-type]
    assert [entry.key for entry in store.listing(catalogue.KEY)[0]] == [catalogue.KEY]


def test_all_machine_types_can_be_read_while_they_are_split() -> None:
    store = FakeStore()
    catalogue.write(store, {}, many_types(20))  # type: ignore[arg-type]
    store.limits = msgspec.structs.replace(store.limits, value_kb=1.0)
    original_txn = store.txn
    counts_read: list[int] = []

    def counting_txn(conditions: Any, writes: Any) -> Any:
        counts_read.append(len(catalogue.read(store)))  # type: ignore[arg-type]
        return original_txn(conditions, writes)

    store.txn = counting_txn  # type: ignore[method-assign]
    catalogue.write(store, {}, many_types(21))  # type: ignore[arg-type]
    assert min(counts_read) >= 20
    assert len(catalogue.read(store)) == 21  # type: ignore[arg-type]


def test_machine_types_that_could_not_be_written_are_written_later(harness: LeaderHarness) -> None:
    """Types were marked as stored before the write, so followers lacked them after an outage."""
    harness.store.down = True
    with pytest.raises(StoreUnavailableError):
        harness.leader.autoscaler.machine_type_refresher.refresh()
    harness.store.down = False
    harness.leader.autoscaler.machine_type_refresher.refresh()
    assert harness.store.get(catalogue.KEY) is not None
    before = harness.store.writes
    harness.leader.autoscaler.machine_type_refresher.refresh()
    assert harness.store.writes == before


def test_a_repeated_rental_request_does_not_mark_its_machines_as_never_heard(
    harness: LeaderHarness,
) -> None:
    """The successor, repeating the request, overwrote the recorded `heard` with false."""
    names = harness.cloud.rent(RentalRequest("r-5-1", "c32", "a", False, 1))
    harness.store.txn(
        {}, [Put(REQUEST_PREFIX + "r-5-1", RentalRequest("r-5-1", "c32", "a", False, 1))]
    )
    harness.ready(harness.worker(names[0]))
    harness.new_leader(6)
    for request in list(harness.leader.autoscaler.rentals.pending.values()):
        harness.leader.autoscaler.rentals.send(request)
    harness.write()
    copies = read_records(harness.store, MACHINE_PREFIX)[names[0]]
    assert [record["heard"] for record in copies] == [True]


def test_a_rejected_request_is_a_store_failure_to_callers_that_do_not_handle_it() -> None:
    assert issubclass(RejectedError, StoreUnavailableError)


@pytest.mark.parametrize("machines", [60, 260, 603])
def test_writes_for_a_new_fleet_under_low_limits_are_proportional_to_its_size(
    harness: LeaderHarness, machines: int
) -> None:
    harness.announce_store_limits(value_kb=2.0, txn_ops=4)
    harness.new_leader(6)
    harness.set_store_limits(value_kb=2.0, txn_ops=4)
    workers = [harness.worker(f"i-{n:06d}") for n in range(machines)]
    before = harness.store.writes
    harness.ready(*workers)
    assert harness.store.writes - before <= machines / 10 + 2
    assert all(machine.recorded for machine in harness.leader.term.cluster.machines.values())
