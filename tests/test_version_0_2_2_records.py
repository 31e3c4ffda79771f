"""Records and messages of version 0.2.2, read and written by this one to the byte.

The bytes were made by running commit 920ad2a, the last one of 0.2.2: every stored record, every
body for workers, cloud, store and users, and every peer message with and without its optional
fields. Like those of 0.1.0 in `test_versions`, they stay as they are when this program changes.
"""

from __future__ import annotations

from typing import Any, Union

import msgspec
import pytest
from support.fakes import CPU, GPU, job_spec

from ryewing.clients.peers import (
    Ack,
    CancelNotice,
    ImageLocality,
    JobStatusQuery,
    JobStatusReply,
    LeaderAnnouncement,
    LoadQuery,
    RelayRequest,
    RelayResponse,
    Request,
    Response,
    ShardLoadAnswer,
)
from ryewing.election.election_record import LeaseHolder, TermRecord
from ryewing.leader.machine_records import MachineRecord
from ryewing.sharding.allowance import Allowances, Amount, Claim
from ryewing.sharding.health import NodeRecord
from ryewing.sharding.ownership import Ownership, Phase
from ryewing.sharding.registry import ShardZones
from ryewing.state.job_records import FinalRecord, JobRecord
from ryewing.wire.cloud import (
    ListedMachine,
    MachineNames,
    MachinePage,
    MachineTypeList,
    RentalRequest,
)
from ryewing.wire.jobs import JobStatus
from ryewing.wire.store import Change, ChangeLog, Entry, EntryPage, TransactionResponse
from ryewing.wire.workers import (
    Command,
    DirectCommands,
    Heartbeat,
    HeartbeatResponse,
    ReportedTask,
)


def case(name: str, data: bytes, value: Any, kind: Any = None) -> Any:
    return pytest.param(data, value, kind or type(value), id=name)


RECORDS_AND_BODIES = [
    case(
        "lead/holder",
        b'{"node":"n-0","boot":"0011223344aa","term":7}',
        LeaseHolder("n-0", "0011223344aa", 7),
    ),
    case("lead/term", b'{"term":7}', TermRecord(7)),
    case(
        "j/-least",
        b'{"run":{"ref":"run-1","jobclass":"scan","owner":"red","shape":"batch",'
        b'"rank":"standard","pieces":4,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,"bundle":"img-1",'
        b'"image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0},"at":1000.5}',
        JobRecord(job_spec("run-1"), 1000.5),
    ),
    case(
        "j/-all",
        b'{"run":{"ref":"run-2","jobclass":"scan","owner":"red","shape":"group",'
        b'"rank":"standard","pieces":4,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,"bundle":"img-1",'
        b'"image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0,"flavours":["c32"],'
        b'"site":"a","together":true,"spread":true,"loaner":true,"due_s":90.0},"at":1000.5,'
        b'"cancelled":true,"cancelled_at":1010.25,"shard":"shard-1"}',
        JobRecord(
            job_spec(
                "run-2",
                shape="group",
                machine_types=["c32"],
                zone="a",
                same_zone=True,
                spread=True,
                spot=True,
                deadline_s=90.0,
            ),
            1000.5,
            True,
            1010.25,
            "shard-1",
        ),
    ),
    case("f/", b'{"status":"cancelled"}', FinalRecord("cancelled")),
    case("d/", b'{"run-3/0":"AwII"}', {"run-3/0": "AwII"}, dict[str, str]),
    case(
        "m/",
        b'{"i-1":{"flavour":"c32","site":"a","loaner":false,"addr":"","heard":false},"i-2":{'
        b'"flavour":"g4","site":"b","loaner":true,"addr":"10.1.0.2:9000","heard":true}}',
        {
            "i-1": MachineRecord("c32", "a"),
            "i-2": MachineRecord("g4", "b", True, "10.1.0.2:9000", True),
        },
        dict[str, MachineRecord],
    ),
    case(
        "h/",
        b'{"hire":"r-5-1","flavour":"c32","site":"a","loaner":true,"how_many":12}',
        RentalRequest("r-5-1", "c32", "a", True, 12),
    ),
    case(
        "flavours",
        b'{"flavours":[{"sku":"c32","vcpus":32.0,"mem_gb":128.0,"price":2.0,"sites":["a","b",'
        b'"c"],"cards":0.0,"spot_price":0.7,"local_gb":50.0,"fetch_gb_per_s":0.2,"ready_s":20.0},'
        b'{"sku":"g4","vcpus":24.0,"mem_gb":192.0,"price":8.0,"sites":["a","b","c"],"cards":4.0,'
        b'"spot_price":3.0,"local_gb":100.0,"fetch_gb_per_s":0.2,"ready_s":40.0}]}',
        MachineTypeList([CPU, GPU]),
    ),
    case(
        "shards/division",
        b'[{"name":"shard-1","zones":["a"]},{"name":"shard-2","zones":["b","c"]}]',
        [ShardZones("shard-1", ("a",)), ShardZones("shard-2", ("b", "c"))],
        list[ShardZones],
    ),
    case(
        "shards/owner-owned",
        b'{"owner":"n-0","epoch":3,"phase":"owned","target":null,"changed_at":0.0}',
        Ownership("n-0", 3),
    ),
    case(
        "shards/owner-moving",
        b'{"owner":"n-0","epoch":4,"phase":"sealed","target":"n-1","changed_at":1000.5}',
        Ownership("n-0", 4, Phase.SEALED, "n-1", 1000.5),
    ),
    case(
        "shards/owner-settled",
        b'{"owner":"n-0","epoch":5,"phase":"settled","target":"n-1","changed_at":1001.5}',
        Ownership("n-0", 5, Phase.SETTLED, "n-1", 1001.5),
    ),
    case("shards/node", b'{"boot":"0011223344aa"}', NodeRecord("0011223344aa")),
    case("allowance/-least", b'{"parts":{},"demand":{},"claims":{}}', Allowances()),
    case(
        "allowance/-all",
        b'{"parts":{"shard-1":{"cpus":8.0,"gpus":2.0}},"demand":{"shard-1":{"cpus":16.0,'
        b'"gpus":0.0}},"claims":{"shard-2":{"amount":{"cpus":0.0,"gpus":4.0},"since":1000.5}}}',
        Allowances(
            {"shard-1": Amount(8.0, 2.0)},
            {"shard-1": Amount(16.0)},
            {"shard-2": Claim(Amount(0.0, 4.0), 1000.5)},
        ),
    ),
    case(
        "heartbeat-least",
        b'{"host":"i-1","tenure":2,"tick":7,"mandate":5242880,"flavour":"c32","site":"a",'
        b'"addr":"","loaner":false,"warning_s":null,"pieces":[]}',
        Heartbeat("i-1", 2, 7, 5242880, "c32", "a"),
    ),
    case(
        "heartbeat-all",
        b'{"host":"i-1","tenure":2,"tick":7,"mandate":5242880,"flavour":"c32","site":"a",'
        b'"addr":"10.1.0.2:9000","loaner":true,"warning_s":30.0,"pieces":[{"piece":"run-1/0",'
        b'"try":9,"status":"running","cause":null,"saved":false},{"piece":"run-1/1","try":9,'
        b'"status":"ended","cause":"failed","saved":true}]}',
        Heartbeat(
            "i-1",
            2,
            7,
            5242880,
            "c32",
            "a",
            "10.1.0.2:9000",
            True,
            30.0,
            [
                ReportedTask("run-1/0", 9, "running"),
                ReportedTask("run-1/1", 9, "ended", "failed", True),
            ],
        ),
    ),
    case(
        "heartbeat-answer",
        b'{"mandate":5242880,"orders":[{"verb":"start","piece":"run-1/0","try":9},{"verb":"halt",'
        b'"piece":"run-1/1","try":8,"mercy_s":2.5}]}',
        HeartbeatResponse(
            5242880, [Command("start", "run-1/0", 9), Command("halt", "run-1/1", 8, 2.5)]
        ),
    ),
    case(
        "direct-commands",
        b'{"mandate":5242880,"tenure":2,"orders":[{"verb":"clear","piece":"run-1/0","try":9}]}',
        DirectCommands(5242880, 2, [Command("clear", "run-1/0", 9)]),
    ),
    case("machine-names", b'{"hosts":["i-1","i-2"]}', MachineNames(["i-1", "i-2"])),
    case(
        "machine-page",
        b'{"hosts":[{"ref":"i-1","flavour":"c32","site":"a","status":"up","addr":"",'
        b'"loaner":false,"age_s":0.0},{"ref":"i-2","flavour":"g4","site":"b","status":"up",'
        b'"addr":"10.1.0.2:9000","loaner":true,"age_s":4.5}],"has_next":true}',
        MachinePage(
            [
                ListedMachine("i-1", "c32", "a", "up"),
                ListedMachine("i-2", "g4", "b", "up", "10.1.0.2:9000", True, 4.5),
            ],
            True,
        ),
    ),
    case(
        "store-page",
        b'{"pairs":[{"k":"lead/term","data":{},"stamp":4}],"epoch":11,"has_next":true}',
        EntryPage([Entry("lead/term", msgspec.Raw(b"{}"), 4)], 11, True),
    ),
    case(
        "store-changes",
        b'{"epoch":11,"log":[{"stamp":10,"set":"j/run-1","remove":null,"data":{}},{"stamp":11,'
        b'"set":null,"remove":"j/run-2","data":null}]}',
        ChangeLog(
            11, [Change(10, "j/run-1", None, msgspec.Raw(b"{}")), Change(11, None, "j/run-2")]
        ),
    ),
    case(
        "txn-answer", b'{"epoch":11,"failed":["lead/term"]}', TransactionResponse(11, ["lead/term"])
    ),
    case("job-status-least", b'{"ref":"run-1","status":"waiting"}', JobStatus("run-1", "waiting")),
    case(
        "job-status-all",
        b'{"ref":"run-1","status":"running","done":1,"running":3}',
        JobStatus("run-1", "running", 1, 3),
    ),
]


@pytest.mark.parametrize(("data", "value", "kind"), RECORDS_AND_BODIES)
def test_a_record_or_body_is_read_and_written_as_recorded(
    data: bytes, value: Any, kind: Any
) -> None:
    assert msgspec.json.decode(data, type=kind) == value
    assert msgspec.json.encode(value) == data


PEER_MESSAGES = [
    case("poll", b"\x82\xa4type\xa4poll\xa3job\xa5run-1", JobStatusQuery("run-1")),
    case("cancel", b"\x82\xa4type\xa6cancel\xa3job\xa5run-1", CancelNotice("run-1")),
    case(
        "cancel-shard",
        b"\x83\xa4type\xa6cancel\xa3job\xa5run-1\xa5shard\xa7shard-1",
        CancelNotice("run-1", "shard-1"),
    ),
    case(
        "leader", b"\x83\xa4type\xa6leader\xa4node\xa3n-1\xa4term\x07", LeaderAnnouncement("n-1", 7)
    ),
    case(
        "leader-shard",
        b"\x84\xa4type\xa6leader\xa4node\xa3n-1\xa4term\x07\xa5shard\xa7shard-1",
        LeaderAnnouncement("n-1", 7, "shard-1"),
    ),
    case("load", b"\x81\xa4type\xa4load", LoadQuery()),
    case("load-shard", b"\x82\xa4type\xa4load\xa5shard\xa7shard-1", LoadQuery("shard-1")),
    case("images", b"\x82\xa4type\xa6images\xa4term\x07", ImageLocality(7)),
    case(
        "images-all",
        b"\x86\xa4type\xa6images\xa4term\x07\xa6images\x91\x92\xa5img-1\xcb?\xe0\x00\x00\x00\x00"
        b"\x00\x00\xa8machines\x81\xa3i-1\x91\x00\xa7failing\x81\xa5run-1\xcb@ \x00\x00\x00\x00"
        b"\x00\x00\xa5shard\xa7shard-1",
        ImageLocality(7, [("img-1", 0.5)], {"i-1": [0]}, {"run-1": 8.0}, "shard-1"),
    ),
    case(
        "relay",
        b"\x84\xa4type\xa5relay\xa6method\xa3GET\xa4path\xb0/store/lead/term\xa4body\xc0",
        RelayRequest("GET", "/store/lead/term"),
    ),
    case(
        "relay-body",
        b"\x84\xa4type\xa5relay\xa6method\xa4POST\xa4path\xa4/txn\xa4body\xc4\x02{}",
        RelayRequest("POST", "/txn", b"{}"),
    ),
    case(
        "state", b"\x84\xa4type\xa5state\xa6status\xc0\xa4done\xc0\xa7running\xc0", JobStatusReply()
    ),
    case(
        "state-all",
        b"\x85\xa4type\xa5state\xa6status\xa7running\xa4done\x01\xa7running\x03\xa5shard\xa7shard"
        b"-1",
        JobStatusReply("running", 1, 3, "shard-1"),
    ),
    case(
        "state-no-shard",
        b"\x85\xa4type\xa5state\xa6status\xa7waiting\xa4done\x00\xa7running\x00\xa5shard\xc0",
        JobStatusReply("waiting", 0, 0, None),
    ),
    case("ack", b"\x82\xa4type\xa3ack\xa2ok\xc2", Ack(False)),
    case(
        "shardload",
        b"\x83\xa4type\xa9shardload\xa4full\xc3\xa7backlog\xcb?\xe0\x00\x00\x00\x00\x00\x00",
        ShardLoadAnswer(True, 0.5),
    ),
    case("relayed", b"\x83\xa4type\xa7relayed\xa6status\x00\xa4body\xc4\x00", RelayResponse(0)),
    case(
        "relayed-body",
        b"\x83\xa4type\xa7relayed\xa6status\xcc\xc8\xa4body\xc4\x02{}",
        RelayResponse(200, b"{}"),
    ),
]


@pytest.mark.parametrize(("data", "value", "kind"), PEER_MESSAGES)
def test_a_peer_message_is_read_and_written_as_recorded(data: bytes, value: Any, kind: Any) -> None:
    assert msgspec.msgpack.decode(data, type=Union[Request, Response]) == value
    assert msgspec.msgpack.encode(value) == data
