"""Two versions side by side: what each stores and sends, the other reads.

The bytes here were made by running version 0.1.0, and the structs are written down from it. They
stay as they are when this program changes: that is what they are for.
"""

from __future__ import annotations

from typing import Any, Union

import msgspec
import pytest
from support.fakes import CPU, GPU, job_spec
from support.harness import LeaderHarness

from ryewing.clients import peers
from ryewing.clients.store import Put
from ryewing.election.election_record import LeaseHolder, TermRecord
from ryewing.leader.machine_records import MACHINE_PREFIX, MachineRecord
from ryewing.state.job_records import (
    FINISHED_PREFIX,
    FinalRecord,
    JobRecord,
    final_key,
    live_key,
    with_cancel_mark,
)
from ryewing.state.jobs import Job
from ryewing.state.paged_records import PagedRecords
from ryewing.units import JobId, KeyVersion, MachineId, WallTime
from ryewing.wire.cloud import MachineTypeList, RentalRequest

# -- as 0.1.0 writes them -----------------------------------------------------------------------

LIVE = (
    b'{"run":{"ref":"run-000412","jobclass":"scan","owner":"red","shape":"group",'
    b'"rank":"standard","pieces":3,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,"bundle":"img-1",'
    b'"image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0,"flavours":["c32"],'
    b'"together":true,"due_s":90.0},"at":1000.5}'
)
CANCELLED = (
    b'{"run":{"ref":"run-000413","jobclass":"scan","owner":"red","shape":"batch",'
    b'"rank":"standard","pieces":4,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,"bundle":"img-1",'
    b'"image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0},"at":1000.5,'
    b'"cancelled":true,"cancelled_at":1010.25}'
)
MACHINES = (
    b'{"i-000001":{"flavour":"c32","site":"a","loaner":false,"addr":"10.1.0.2:9000","heard":true},'
    b'"i-000002":{"flavour":"g4","site":"b","loaner":true,"addr":"","heard":false}}'
)
FINISHES = b'{"run-000414/0":"AwII"}'
HIRE = b'{"hire":"r-3-1","flavour":"c32","site":"a","loaner":true,"how_many":12}'
TYPES = (
    b'{"flavours":[{"sku":"c32","vcpus":32.0,"mem_gb":128.0,"price":2.0,"sites":["a","b","c"],'
    b'"cards":0.0,"spot_price":0.7,"local_gb":50.0,"fetch_gb_per_s":0.2,"ready_s":20.0},'
    b'{"sku":"g4","vcpus":24.0,"mem_gb":192.0,"price":8.0,"sites":["a","b","c"],"cards":4.0,'
    b'"spot_price":3.0,"local_gb":100.0,"fetch_gb_per_s":0.2,"ready_s":40.0}]}'
)


def raw(value: bytes) -> Any:
    return msgspec.Raw(value)


def test_a_leader_goes_on_with_what_the_earlier_version_left(harness: LeaderHarness) -> None:
    batch = msgspec.json.encode(JobRecord(job_spec("run-000414", task_count=20), 0.0))
    harness.store.txn({}, [Put("flavours", raw(TYPES)), Put("m/0", raw(MACHINES))])
    harness.store.txn({}, [Put("j/run-000412", raw(LIVE)), Put("j/run-000413", raw(CANCELLED))])
    harness.store.txn({}, [Put("j/run-000414", raw(batch)), Put("d/0", raw(FINISHES))])
    harness.store.txn({}, [Put("h/r-3-1", raw(HIRE)), Put("f/run-1", raw(b'{"status":"done"}'))])
    leader = harness.new_leader(6)
    assert leader.autoscaler.machine_type_refresher.load_stored() == [CPU, GPU]
    gang = leader.term.job_table.jobs[JobId("run-000412")]
    assert gang.is_gang
    assert gang.spec.same_zone
    assert gang.spec.deadline_s == 90.0
    assert gang.accepted_at == 1000.5
    assert gang.spec.machine_types == ["c32"]
    assert gang.inherited
    assert leader.term.job_table.jobs[JobId("run-000413")].cancelled
    counted = leader.term.job_table.jobs[JobId("run-000414")]
    assert [n for n in range(20) if counted.is_done(n)] == [0, 1, 9, 19]
    one, other = (leader.term.cluster.machines[MachineId(f"i-00000{n}")] for n in (1, 2))
    assert one.recorded
    assert one.lease_expires_by is not None
    assert one.address == "10.1.0.2:9000"
    assert not other.recorded
    assert other.spot
    assert other.zone == "b"
    assert leader.autoscaler.rentals.pending["r-3-1"] == RentalRequest(
        "r-3-1", "c32", "a", True, 12
    )


def test_who_leads_is_read_as_the_earlier_version_wrote_it() -> None:
    holder = b'{"node":"n-0","boot":"0011223344aa","term":7}'
    assert msgspec.json.decode(holder, type=LeaseHolder) == LeaseHolder("n-0", "0011223344aa", 7)
    assert msgspec.json.decode(b'{"term":7}', type=TermRecord).term == 7


FRAMES: list[tuple[bytes, Any]] = [
    (b"\x82\xa4type\xa4poll\xa3job\xa5run-1", peers.JobStatusQuery("run-1")),
    (b"\x82\xa4type\xa6cancel\xa3job\xa5run-1", peers.CancelNotice("run-1")),
    (b"\x83\xa4type\xa6leader\xa4node\xa3n-1\xa4term\x07", peers.LeaderAnnouncement("n-1", 7)),
    (b"\x81\xa4type\xa4load", peers.LoadQuery()),
    (
        b"\x84\xa4type\xa6images\xa4term\x07\xa6images\x91\x92\xa5img-1\xcb?\xe0\x00\x00\x00\x00"
        b"\x00\x00\xa8machines\x81\xa8i-000001\x91\x00",
        peers.ImageLocality(7, [("img-1", 0.5)], {"i-000001": [0]}),
    ),
    (
        b"\x84\xa4type\xa5relay\xa6method\xa4POST\xa4path\xa4/txn\xa4body\xc4\x02{}",
        peers.RelayRequest("POST", "/txn", b"{}"),
    ),
    (
        b"\x84\xa4type\xa5state\xa6status\xa7running\xa4done\x01\xa7running\x03",
        peers.JobStatusReply("running", 1, 3),
    ),
    (b"\x84\xa4type\xa5state\xa6status\xc0\xa4done\xc0\xa7running\xc0", peers.JobStatusReply()),
    (b"\x82\xa4type\xa3ack\xa2ok\xc3", peers.Ack(True)),
    (
        b"\x83\xa4type\xa7relayed\xa6status\xcc\xc8\xa4body\xc4\x02{}",
        peers.RelayResponse(200, b"{}"),
    ),
]


@pytest.mark.parametrize(("frame", "said"), FRAMES)
def test_mesh_frames_of_the_earlier_version_are_understood(frame: bytes, said: Any) -> None:
    kind = Union[peers.Request, peers.Response]
    assert msgspec.msgpack.decode(frame, type=kind) == said


# -- what 0.1.0 makes of ours -------------------------------------------------------------------


class OldRun(msgspec.Struct, omit_defaults=True):
    ref: str
    jobclass: str
    owner: str
    shape: str
    rank: str
    pieces: int
    vcpus: float
    cards: float
    mem_gb: float
    bundle: str
    image_gb: float
    guess_s: float
    savepoint_s: float
    flush_s: float
    flavours: list[str] | None = None
    site: str | None = None
    together: bool = False
    spread: bool = False
    loaner: bool = False
    due_s: float | None = None


class OldJobRecord(msgspec.Struct, omit_defaults=True):
    run: OldRun
    at: float
    cancelled: bool = False
    cancelled_at: float | None = None


class OldMachineRecord(msgspec.Struct):
    flavour: str
    site: str
    loaner: bool = False
    addr: str = ""
    heard: bool = False


class OldFlavour(msgspec.Struct, frozen=True):
    sku: str
    vcpus: float
    mem_gb: float
    price: float
    sites: tuple[str, ...]
    cards: float = 0.0
    spot_price: float | None = None
    local_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    ready_s: float = 30.0


class OldFlavourList(msgspec.Struct):
    flavours: list[OldFlavour]


class OldHire(msgspec.Struct):
    hire: str
    flavour: str
    site: str
    loaner: bool
    how_many: int


class OldHolder(msgspec.Struct):
    node: str
    boot: str
    term: int


class OldStatus(msgspec.Struct):
    status: str


def is_read_back(ours: Any, kind: Any) -> bool:
    """What the earlier version reads, and writes back, still says everything."""
    written = msgspec.json.encode(ours)
    read = msgspec.json.decode(written, type=kind)
    again = msgspec.json.decode(msgspec.json.encode(read), type=type(ours))
    return bool(again == ours)


WIDE = JobRecord(job_spec("run-7", image="img-" + "x" * 3000, machine_types=["c32"]), 5.0)


@pytest.mark.parametrize(
    ("ours", "kind"),
    [
        (
            JobRecord(job_spec("run-1", spread=True, spot=True, zone="a", deadline_s=3.0), 5.0),
            OldJobRecord,
        ),
        (JobRecord(job_spec("run-1", shape="daemon", estimated_s=0.0), 5.0), OldJobRecord),
        (with_cancel_mark(WIDE, WallTime(9.0), 2048), OldJobRecord),
        (MachineRecord("c32", "a", True, "10.1.0.2:9000", True), OldMachineRecord),
        (MachineTypeList([CPU, GPU]), OldFlavourList),
        (RentalRequest("r-3-1", "c32", "a", True, 12), OldHire),
        (LeaseHolder("n-0", "0011", 7), OldHolder),
        (FinalRecord("cancelled"), OldStatus),
    ],
)
def test_the_earlier_version_reads_what_this_one_writes(ours: Any, kind: Any) -> None:
    assert is_read_back(ours, kind)


@pytest.mark.parametrize(("frame", "said"), FRAMES)
def test_mesh_frames_are_what_the_earlier_version_sends(frame: bytes, said: Any) -> None:
    """It closes the connection on a tag that it doesn't know: no new one may carry anything."""
    assert msgspec.msgpack.encode(said) == frame


def old_reading(harness: LeaderHarness) -> tuple[dict[str, OldMachineRecord], dict[str, str]]:
    """What an old leader finds: of a record said twice, the one that it comes to last."""
    machines: dict[str, OldMachineRecord] = {}
    for entry in harness.store.listing(MACHINE_PREFIX)[0]:
        assert entry.key[2:].isdecimal()
        machines |= msgspec.json.decode(entry.data, type=dict[str, OldMachineRecord])
    finishes: dict[str, str] = {}
    for entry in harness.store.listing(FINISHED_PREFIX)[0]:
        finishes |= msgspec.json.decode(entry.data, type=dict[str, str])
    return machines, finishes


def test_an_earlier_leader_can_take_over_at_every_step_of_parting(harness: LeaderHarness) -> None:
    """It reads each value whole, under any number, and what no value has would be lost to it."""
    wide = PagedRecords(MACHINE_PREFIX, 16.0)
    for n in range(100):
        wide.put(f"i-{n:06d}", MachineRecord("c32", "a", False, f"10.1.0.{n}:9000", True))
    done = PagedRecords(FINISHED_PREFIX, 16.0)
    for n in range(40):
        record = JobRecord(job_spec(f"run-{n}", task_count=800), 0.0)
        one = Job(record, KeyVersion(1))
        one.finish(n)
        done.put(f"run-{n}/0", one.chunk_text(0))
        harness.store.txn({}, [Put(live_key(one.id), record)])
    harness.store.limits = msgspec.structs.replace(harness.store.limits, value_kb=16.0)
    for packed in (wide, done):
        for number in list(packed.dirty_pages()):
            assert harness.store.txn({}, list(packed.next_transaction(number, 8, 65536).ops)).ok
    before = old_reading(harness)
    assert len(before[0]) == 100
    assert len(before[1]) == 40
    harness.announce_store_limits(value_kb=1.0, txn_ops=2)
    harness.new_leader(6)
    harness.set_store_limits(value_kb=1.0, txn_ops=2)
    steps = 0
    while harness.leader.writer.write_once():
        steps += 1
        assert old_reading(harness) == before
    assert steps > 10
    assert old_reading(harness) == before


def test_an_old_and_a_new_leader_by_turns_lose_nothing(harness: LeaderHarness) -> None:
    """The old one fills values up under the old limits; the new one parts them again."""
    harness.announce_store_limits(value_kb=1.0, txn_ops=2)
    for term in range(6, 14):
        wide = PagedRecords(MACHINE_PREFIX, 8.0)
        wide.load(
            harness.store.listing(MACHINE_PREFIX)[0]
        )  # production's layout, filled as it does
        for n in range(30):
            name = f"i-{term:03d}{n:03d}"
            wide.put(name, MachineRecord("c32", "a", False, f"10.{term}.0.{n}:9000", True))
        for number in list(wide.dirty_pages()):
            change = wide.next_transaction(number, 8, 65536)
            assert harness.store.txn(change.conditions, list(change.ops)).ok
        leader = harness.new_leader(term)
        assert len(leader.term.cluster.machines) == 30 * (term - 5)
        harness.write()
        assert all(
            len(bytes(entry.data)) <= 1024 for entry in harness.store.listing(MACHINE_PREFIX)[0]
        )


def test_a_final_state_keeps_its_form(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    name = harness.start_job(worker)
    harness.finish_tasks(worker)
    harness.write()
    entry = harness.store.get(final_key(name))
    assert entry is not None
    assert bytes(entry.data) == b'{"status":"done"}'
