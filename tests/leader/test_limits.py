"""A store whose limits fall: what is written keeps to them, what is there is parted or cut."""

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
    ("later", "expected"),
    [
        (None, (100.0, 50.0, 8.0, 8)),
        ({}, (100.0, 50.0, 8.0, 8)),
        ({"value_kb": 2.0}, (100.0, 50.0, 2.0, 8)),
        ({"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0, "rps": 30}, (30.0, 15.0, 2.0, 4)),
        ({"value_kb": 64.0, "txn_ops": 16, "write_rps": 99.0}, (100.0, 50.0, 8.0, 8)),
        ({"txn_ops": None, "colour": "red"}, (100.0, 50.0, 8.0, 8)),
    ],
)
def test_the_stricter_of_now_and_next_counts(tmp_path: Any, later: Any, expected: Any) -> None:
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw_settings(next=later)))
    limits = load_settings(file).params.state.strictest()
    assert (limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops) == expected


@pytest.mark.parametrize(
    ("later", "field"),
    [
        ({"value_kb": 0}, "params.state.next.value_kb: must be above 0"),
        ({"write_rps": -1.0}, "params.state.next.write_rps: must be above 0"),
        ({"rps": "many"}, "params.state.next.rps"),
        ({"txn_ops": 2.5}, "params.state.next.txn_ops"),
        ({"txn_ops": 1}, "params.state.next.txn_ops: must be at least 2"),
        (7, "params.state.next"),
    ],
)
def test_bad_next_limits_name_the_field(tmp_path: Any, later: Any, field: str) -> None:
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw_settings(next=later)))
    with pytest.raises(SettingsError, match=field):
        load_settings(file)


def test_objectives_of_other_kinds_do_no_harm(tmp_path: Any) -> None:
    raw = raw_settings()
    known = len(raw["params"]["objectives"])
    raw["params"]["objectives"] += [
        {"kind": "up", "class": "portal", "after_s": 5.0, "worst_s": 30.0, "share": 0.998},
        {"kind": "splendour", "times": "many", "share": {}},
    ]
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(raw))
    assert len(load_settings(file).params.objectives) == known


# -- values that are too large for what comes ----------------------------------------------------


def wide_store(prefix: str, kb: float, names: int) -> tuple[FakeStore, dict[str, Any]]:
    """A store as written under wide limits: the records, and which value holds what."""
    store = FakeStore()
    store.limits = msgspec.structs.replace(store.limits, value_kb=kb, txn_ops=16)
    packed = PagedRecords(prefix, kb)
    records = {f"i-{n:06d}": {"flavour": "c32", "site": "a", "n": n} for n in range(names)}
    for name, record in records.items():
        packed.put(name, record)
    apply(packed, store, 16)
    return store, records


def apply(packed: PagedRecords, store: FakeStore, ops_max: int, stop_after: int = 10_000) -> int:
    """Write what is wanted, up to so many transactions; return how many it took."""
    for done in range(stop_after):
        number = next(packed.dirty_pages(), None)
        if number is None:
            return done
        change = packed.next_transaction(number, ops_max, 48 * 1024)
        result = store.txn(change.conditions, list(change.ops))
        assert result.ok
        packed.record_applied(change, result.revision)
    return stop_after


def as_production_reads(store: FakeStore, prefix: str) -> dict[str, list[Any]]:
    """Every record with all that is said of it, value by value in the order of their keys."""
    found: dict[str, list[Any]] = {}
    for entry in store.listing(prefix)[0]:
        for name, record in msgspec.json.decode(entry.data).items():
            found.setdefault(name, []).append(record)
    return found


@pytest.mark.parametrize("fallen", [False, True])
@pytest.mark.parametrize(("kb", "ops"), [(2.0, 4), (2.0, 2), (1.0, 5)])
def test_values_are_parted_and_no_record_is_missing_at_any_time(
    kb: float, ops: int, fallen: bool
) -> None:
    """Also when the controller ends between any two writes, and a successor goes on from there."""
    for end_after in itertools.count():
        store, records = wide_store(MACHINE_PREFIX, 8.0, 120)
        if fallen:
            store.limits = msgspec.structs.replace(store.limits, value_kb=kb, txn_ops=ops)
        packed = PagedRecords(MACHINE_PREFIX, kb)
        packed.load(store.listing(MACHINE_PREFIX)[0])
        took = apply(packed, store, ops, end_after)
        read = as_production_reads(store, MACHINE_PREFIX)
        assert read.keys() == records.keys()
        assert all(said == [records[name]] * len(said) for name, said in read.items())
        again = PagedRecords(MACHINE_PREFIX, kb)
        found, twice = again.load(store.listing(MACHINE_PREFIX)[0])
        assert {name for name, said in read.items() if len(said) > 1} == twice
        assert len(found) == len(records) + len(twice)
        apply(again, store, ops)
        assert as_production_reads(store, MACHINE_PREFIX) == {
            name: [record] for name, record in records.items()
        }
        for entry in store.listing(MACHINE_PREFIX)[0]:
            assert len(bytes(entry.data)) <= kb * 1024
        assert not store.rejected
        if took < end_after:
            break


def test_what_is_said_twice_is_put_together(harness: LeaderHarness) -> None:
    """A predecessor of the earlier version went on with one copy, and then with the other."""
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
    kept = as_production_reads(harness.store, "d/") | as_production_reads(harness.store, "m/")
    assert kept["run-1/0"] == ["gQA="] or kept["run-1/0"] == ["gQ=="]
    assert [said["heard"] for said in kept["i-000001"]] == [True]


def test_what_is_made_of_two_copies_is_kept_before_one_of_them_is_dropped() -> None:
    store = FakeStore()
    store.txn({}, [Put("d/0", {"run-1/0": "gA=="}), Put("d/1", {"run-1/0": "AQ=="})])
    packed = PagedRecords(FINISHED_PREFIX, 8.0)
    found, twice = packed.load(store.listing(FINISHED_PREFIX)[0])
    assert twice == {"run-1/0"}
    assert len(found) == 2
    packed.put("run-1/0", "gQ==")
    for number in (0, 1):
        assert packed.next_transaction(number, 1, 1024).ops[0].key == "d/1"
    assert [put.key for put in packed.next_transaction(0, 2, 1024).ops] == ["d/1", "d/0"]


def test_a_reading_that_failed_is_done_again_from_the_start() -> None:
    """Read twice, each record was taken for said twice, and dropped."""
    store, records = wide_store(MACHINE_PREFIX, 8.0, 40)
    packed = PagedRecords(MACHINE_PREFIX, 1.0)
    for _ in range(2):
        found, twice = packed.load(store.listing(MACHINE_PREFIX)[0])
        assert len(found) == len(records)
        assert not twice
    first = dict(packed.next_transaction(next(packed.dirty_pages()), 8, 65536).conditions)
    packed.load([])
    packed.put("i-1", {"n": 1})
    assert packed.next_transaction(0, 8, 65536).conditions == {packed.key(0): 0} != first


def test_a_first_write_that_was_applied_unseen_makes_its_value_wait() -> None:
    """Its answer was lost; meanwhile a record in it was given to another value."""
    packed = PagedRecords(MACHINE_PREFIX, 1.0)
    for n in range(12):
        packed.put(f"i-{n}", {"addr": ""})
    unseen = packed.next_transaction(0, 8, 65536)
    for n in range(12):
        packed.put(f"i-{n}", {"addr": "x" * 90})
    given = [key for key in (packed.key(n) for n in packed.dirty_pages()) if key != packed.key(0)]
    assert given
    assert len(packed.next_transaction(0, 8, 65536).ops) == 1
    applied = Entry(packed.key(0), msgspec.Raw(msgspec.json.encode(unseen.ops[0].value)), 7)
    packed.record_conflict(packed.key(0), applied)
    change = packed.next_transaction(0, 8, 65536)
    assert len(change.ops) > 1
    assert change.ops[-1].key == packed.key(0)
    assert change.conditions[packed.key(0)] == 7


def test_a_late_copy_of_a_write_changes_nothing_after_parting() -> None:
    store, records = wide_store(MACHINE_PREFIX, 8.0, 120)
    packed = PagedRecords(MACHINE_PREFIX, 2.0)
    packed.load(store.listing(MACHINE_PREFIX)[0])
    sent: list[tuple[dict[str, KeyVersion], list[Put]]] = []
    while (number := next(packed.dirty_pages(), None)) is not None:
        change = packed.next_transaction(number, 4, 48 * 1024)
        sent.append((dict(change.conditions), list(change.ops)))
        result = store.txn(change.conditions, list(change.ops))
        packed.record_applied(change, result.revision)
    for name in list(records)[:60]:
        packed.drop(name)  # whole values are emptied
    apply(packed, store, 4)
    before = dict(store.data)
    for conditions, ops in sent:
        assert not store.txn(conditions, list(ops)).ok
    assert store.data == before


def test_a_fleet_and_its_finishes_go_on_where_the_limits_have_fallen(
    harness: LeaderHarness,
) -> None:
    """Played: after the fall no finish was written any more, since each write was refused."""
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


@pytest.mark.parametrize("culprit_first", [True, False])
def test_one_value_that_cannot_be_written_does_not_hold_up_the_others(
    harness: LeaderHarness, culprit_first: bool
) -> None:
    """A 400 was taken for an outage, and the same transaction was tried for ever."""
    harness.may_reject = True
    sizes = [8192, 4] if culprit_first else [4, 8192]
    large, small = (harness.accept(f"run-{n}", task_count=tasks) for n, tasks in enumerate(sizes))
    if not culprit_first:
        large, small = small, large
    harness.set_store_limits(value_kb=1.0)
    for name in (large, small):
        harness.leader.term.job_table.jobs[name].finish(1)
        harness.leader.term.job_table.reindex(harness.leader.term.job_table.jobs[name])
    for _ in range(12):
        harness.leader.writer.write_once()
    assert not harness.leader.term.job_table.jobs[small].unwritten
    assert harness.leader.term.job_table.jobs[large].unwritten
    refused = len(harness.store.rejected)
    for _ in range(5):
        harness.leader.writer.write_once()
    assert len(harness.store.rejected) == refused  # left alone for a while
    harness.later(REJECTED_WRITE_RETRY_S + 1)
    harness.set_store_limits(value_kb=8.0)
    harness.write()
    assert not harness.leader.term.job_table.jobs[large].unwritten


@pytest.mark.parametrize("limits", [{"txn_ops": 3}, {"value_kb": 1.0}, {"txn_ops": 2}])
def test_limits_that_fell_unannounced_are_found_out(harness: LeaderHarness, limits: Any) -> None:
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


def wide_job(client: Client, ref: str) -> JobRecord:
    """A job accepted under wide limits, whose record is larger than is taken now."""
    record = JobRecord(job_spec(ref, image="img-" + "x" * 3000), 0.0)
    client.node.store.txn({}, [Put(live_key(JobId(ref)), record)])
    client.node.store.limits = msgspec.structs.replace(
        client.node.store.limits, value_kb=2.0, txn_ops=4
    )
    return record


def test_a_job_kept_under_wider_limits_stays_known_and_can_be_cancelled() -> None:
    """Its record could be read but not written back whole; a repeat of it was 'too large'."""
    client = Client()
    record = wide_job(client, "run-7")
    again = msgspec.to_builtins(record.spec)
    assert client("POST", "/v2/runs", msgspec.json.encode(again))[0] == 200
    assert client("POST", "/v2/runs/run-7/cancel") == (
        200,
        {"ref": "run-7", "status": "cancelled"},
    )
    entry = client.node.store.get(live_key(JobId("run-7")))
    assert entry is not None
    kept = msgspec.json.decode(entry.data, type=JobRecord)
    assert kept.cancelled
    assert kept.spec.team == "red"
    assert kept.spec.cpus == record.spec.cpus
    assert not client.node.store.rejected


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"bundle": "img-" + "x" * 3000}, 400),
        ({"bundle": "img-1", "pieces": 100_000}, 201),
        ({"jobclass": "j" * 1500}, 201),
    ],
)
def test_what_cannot_be_kept_is_refused_for_good(changes: Any, status: int) -> None:
    client = Client()
    client.node.store.limits = msgspec.structs.replace(client.node.store.limits, value_kb=2.0)
    assert client.submit(**changes)[0] == status
    assert not client.node.store.rejected


def test_a_job_whose_finishes_cannot_be_kept_is_refused() -> None:
    client = Client()
    client.node.store.limits = msgspec.structs.replace(client.node.store.limits, value_kb=1.0)
    assert client.submit(task_count=8192)[0] == 400
    assert client.submit(task_count=5000)[0] == 201
    assert client.submit(ref="run-2", task_count=8192, shape="daemon", cpus=0.001)[0] == 201


def test_a_store_that_takes_less_than_announced_is_no_outage() -> None:
    """The answer was 503, and the user came back for a minute; a cancel never came through."""
    client = Client()
    known = JobRecord(job_spec("run-1", image="img-" + "x" * 3000), 0.0)
    client.node.store.txn({}, [Put(live_key(JobId("run-1")), known)])
    wide = client.node.store.limits
    client.node.store.limits = narrow = msgspec.structs.replace(wide, value_kb=2.0)
    real = client.node.store.txn

    def told_otherwise(conditions: Any, writes: Any) -> Any:
        client.node.store.limits = narrow
        try:
            return real(conditions, writes)
        finally:
            client.node.store.limits = wide

    client.node.store.txn = told_otherwise  # type: ignore[method-assign]
    client.node.store.limits = wide
    assert client.submit(ref="run-2", image="img-" + "x" * 3000)[0] == 400
    assert client.submit(image="img-" + "x" * 3000)[0] == 200
    assert client("POST", "/v2/runs/run-1/cancel")[0] == 200


def test_a_final_state_is_written_for_a_job_with_a_wide_record(harness: LeaderHarness) -> None:
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
    ("count", "kb", "parted"), [(2, 8.0, False), (30, 8.0, False), (45, 1.2, True), (20, 2.0, True)]
)
def test_types_are_in_one_value_as_long_as_the_store_takes_it(
    count: int, kb: float, parted: bool
) -> None:
    store = FakeStore()
    store.limits = msgspec.structs.replace(store.limits, value_kb=kb)
    catalogue.write(store, {}, many_types(count))  # type: ignore[arg-type]
    assert (len(store.listing(catalogue.KEY)[0]) > 1) == parted
    read = catalogue.read(store)  # type: ignore[arg-type]
    assert sorted(f.name for f in read) == sorted(f.name for f in many_types(count))
    store.limits = msgspec.structs.replace(store.limits, value_kb=8.0)
    catalogue.write(store, {}, many_types(3))  # type: ignore[arg-type]
    assert [entry.key for entry in store.listing(catalogue.KEY)[0]] == [catalogue.KEY]


def test_while_types_are_parted_a_reader_finds_them_all() -> None:
    store = FakeStore()
    catalogue.write(store, {}, many_types(20))  # type: ignore[arg-type]
    store.limits = msgspec.structs.replace(store.limits, value_kb=1.0)
    real = store.txn
    seen: list[int] = []

    def counted(conditions: Any, writes: Any) -> Any:
        seen.append(len(catalogue.read(store)))  # type: ignore[arg-type]
        return real(conditions, writes)

    store.txn = counted  # type: ignore[method-assign]
    catalogue.write(store, {}, many_types(21))  # type: ignore[arg-type]
    assert min(seen) >= 20
    assert len(catalogue.read(store)) == 21  # type: ignore[arg-type]


def test_types_that_could_not_be_written_are_written_later(harness: LeaderHarness) -> None:
    """They were noted as known before the write: after an outage no follower learned them."""
    harness.store.down = True
    with pytest.raises(StoreUnavailableError):
        harness.leader.autoscaler.machine_type_refresher.refresh()
    harness.store.down = False
    harness.leader.autoscaler.machine_type_refresher.refresh()
    assert harness.store.get(catalogue.KEY) is not None
    before = harness.store.writes
    harness.leader.autoscaler.machine_type_refresher.refresh()
    assert harness.store.writes == before


def test_a_repeated_wish_does_not_say_that_its_machines_were_never_heard(
    harness: LeaderHarness,
) -> None:
    """A successor repeats the wish, and wrote 'not heard' over what its predecessor had written."""
    names = harness.cloud.rent(RentalRequest("r-5-1", "c32", "a", False, 1))
    harness.store.txn(
        {}, [Put(REQUEST_PREFIX + "r-5-1", RentalRequest("r-5-1", "c32", "a", False, 1))]
    )
    harness.ready(harness.worker(names[0]))
    harness.new_leader(6)
    for request in list(harness.leader.autoscaler.rentals.pending.values()):
        harness.leader.autoscaler.rentals.send(request)
    harness.write()
    said = as_production_reads(harness.store, MACHINE_PREFIX)[names[0]]
    assert [record["heard"] for record in said] == [True]


def test_a_rejected_request_is_a_kind_of_failure_to_whoever_cannot_help_it() -> None:
    assert issubclass(RejectedError, StoreUnavailableError)


@pytest.mark.parametrize("machines", [60, 260, 603])
def test_a_start_at_the_announced_limits_takes_writes_in_proportion(
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
