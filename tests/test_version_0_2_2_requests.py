"""Requests of version 0.2.2, and what its leader left in the store: this one's are the same bytes.

The bytes were made by running commit 920ad2a, the last one of 0.2.2, with the calls that are made
here. They stay as they are when this program changes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from support.fakes import CPU, GPU, job_spec
from support.harness import LeaderHarness

from ryewing.clients.cloud import Cloud
from ryewing.clients.http_client import HttpClient, Reply
from ryewing.clients.store import Put, Remove, Store
from ryewing.clients.workers import Workers
from ryewing.config.settings import CloudLimits, StateLimits
from ryewing.election.campaign import campaign
from ryewing.election.election_record import read_election_record
from ryewing.election.identity import ProcessIdentity
from ryewing.leader.machine_records import MachineRecord
from ryewing.sharding.allowance import Allowances
from ryewing.sharding.health import ControllerHealth
from ryewing.sharding.ownership import Ownership
from ryewing.sharding.registry import ShardRegistry, StoredOwnership
from ryewing.sharding.settings import divide_by_zones
from ryewing.sharding.shard_store import ShardStore
from ryewing.state import machine_type_catalogue
from ryewing.state.job_records import FinalRecord, JobRecord
from ryewing.state.jobs import Job
from ryewing.state.paged_records import PagedRecords
from ryewing.units import FencingToken, KeyVersion, MachineId, NodeName, ShardName
from ryewing.wire.cloud import RentalRequest
from ryewing.wire.workers import Command

ANSWERS = {
    "POST /holds": (200, b'{"tenancy":7}'),
    "POST /txn": (200, b'{"epoch":11,"failed":[]}'),
    "GET /store?": (200, b'{"pairs":[],"epoch":3,"has_next":false}'),
    "GET /store/": (404, b"{}"),
    "GET /changes": (200, b'{"epoch":11,"log":[]}'),
    "DELETE /holds": (200, b"{}"),
    "POST /machines/release": (200, b"{}"),
    "POST /machines": (200, b'{"hosts":["i-1"]}'),
    "GET /machines": (200, b'{"hosts":[]}'),
    "POST /orders": (
        200,
        b'{"host":"i-1","tenure":2,"tick":7,"mandate":5242880,"flavour":"c32","site":"a"}',
    ),
}
"""What is answered, by the beginning of a request."""


class Clients:
    """The clients of store, cloud and workers, over a network that records what they send."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sent: list[bytes] = []
        monkeypatch.setattr(HttpClient, "request", self._request)
        address = ("127.0.0.1", 1)
        self.store = Store(address, StateLimits(100.0, 50.0, 8.0, 8))
        self.cloud = Cloud(address, CloudLimits(100.0, 10.0))
        self.workers = Workers(100)

    def _request(self, method: str, path: str, body: bytes | None, *_options: Any) -> Reply:
        line = f"{method} {path}"
        self.sent.append(line.encode() + (b" " + body if body is not None else b""))
        return Reply(*next(ANSWERS[start] for start in ANSWERS if line.startswith(start)))


FENCED = {"lead/term": KeyVersion(4)}


def renew_and_resign(clients: Clients) -> None:
    clients.store.renew(7, 1.0)
    clients.store.revoke(7)


def read_and_watch(clients: Clients) -> None:
    clients.store.get("j/run-1")
    _, revision = clients.store.listing("m/")
    clients.store.watch("j/", revision, 1.0)


def win_election(clients: Clients) -> None:
    election = read_election_record(clients.store)
    campaign(clients.store, election, ProcessIdentity(NodeName("n-0"), "0011223344aa"), 3.0, 15.0)


def keep_node_key(clients: Clients) -> None:
    ControllerHealth(clients.store, NodeName("n-0"), "0011223344aa", 3.0).renew_if_due()


def take_ownership(clients: Clients) -> None:
    unowned = StoredOwnership(None, KeyVersion(0))
    ShardRegistry(clients.store).apply_step(
        ShardName("shard-1"), unowned, lambda _: Ownership("n-0", 3)
    )


def write_machines(clients: Clients) -> None:
    pages = PagedRecords("m/", 8.0)
    pages.put("i-1", MachineRecord("c32", "a", False, "10.1.0.2:9000", True))
    pages.put("i-2", MachineRecord("g4", "b", True))
    clients.store.txn(FENCED, pages.next_transaction(0, 8, 65536).ops)


def write_finished_tasks(clients: Clients) -> None:
    job = Job(JobRecord(job_spec("run-3", task_count=20), 0.0), KeyVersion(1))
    for number in (0, 1, 9, 19):
        job.finish(number)
    pages = PagedRecords("d/", 8.0)
    pages.put("run-3/0", job.chunk_text(0))
    change = pages.next_transaction(0, 8, 65536)
    clients.store.txn({**FENCED, **change.conditions}, change.ops)


def write_for_a_shard(clients: Clients) -> None:
    ShardStore(clients.store, ShardName("shard-1")).txn(
        {**FENCED, "j/run-1": KeyVersion(9)},
        [
            Remove("h/r-5-1"),
            Remove("j/run-1"),
            Put("f/run-1", FinalRecord("done")),
            Put("m/0", {}),
            Put("allowance/red", Allowances()),
        ],
    )


def send_commands(clients: Clients, *commands: Command) -> None:
    clients.workers.send("10.1.0.2:9000", FencingToken(5242880), 2, commands)


REQUESTS: dict[str, tuple[Callable[[Clients], object], list[bytes]]] = {
    "renew_and_resign": (
        renew_and_resign,
        [b"POST /holds/7/renew {}", b"DELETE /holds/7"],
    ),
    "read_and_watch": (
        read_and_watch,
        [
            b"GET /store/j/run-1",
            b"GET /store?starts=m/&page=1000",
            b"GET /changes?starts=j/&since=3&wait_ms=1000",
        ],
    ),
    "win_election": (
        win_election,
        [
            b"GET /store?starts=lead/&page=1000",
            b'POST /holds {"ttl_ms":3000}',
            b'POST /txn {"if":[{"k":"lead/holder","stamp":0},{"k":"lead/term","stamp":0}],'
            b'"writes":[{"set":"lead/holder","data":{"node":"n-0","boot":"0011223344aa",'
            b'"term":1},"tenancy":7},{"set":"lead/term","data":{"term":1}}]}',
        ],
    ),
    "keep_node_key": (
        keep_node_key,
        [
            b'POST /holds {"ttl_ms":3000}',
            b'POST /txn {"if":[],"writes":[{"set":"shards/node/n-0","data":{'
            b'"boot":"0011223344aa"},"tenancy":7}]}',
        ],
    ),
    "agree_on_division": (
        lambda clients: ShardRegistry(clients.store).ensure_division(
            divide_by_zones(2, ["a", "b", "c"])
        ),
        [
            b"GET /store/shards/division",
            b'POST /txn {"if":[{"k":"shards/division","stamp":0},{"k":"lead/term","stamp":0}],'
            b'"writes":[{"set":"shards/division","data":[{"name":"shard-1","zones":["a"]},{'
            b'"name":"shard-2","zones":["b","c"]}]},{"set":"lead/term","data":{"divided":true}}]}',
        ],
    ),
    "take_ownership": (
        take_ownership,
        [
            b'POST /txn {"if":[{"k":"shards/owner/shard-1","stamp":0}],"writes":[{'
            b'"set":"shards/owner/shard-1","data":{"owner":"n-0","epoch":3,"phase":"owned",'
            b'"target":null,"changed_at":1000.5}}]}'
        ],
    ),
    "write_machines": (
        write_machines,
        [
            b'POST /txn {"if":[{"k":"lead/term","stamp":4}],"writes":[{"set":"m/0","data":{'
            b'"i-1":{"flavour":"c32","site":"a","loaner":false,"addr":"10.1.0.2:9000",'
            b'"heard":true},"i-2":{"flavour":"g4","site":"b","loaner":true,"addr":"",'
            b'"heard":false}}}]}'
        ],
    ),
    "write_finished_tasks": (
        write_finished_tasks,
        [
            b'POST /txn {"if":[{"k":"lead/term","stamp":4},{"k":"d/0","stamp":0}],"writes":[{'
            b'"set":"d/0","data":{"run-3/0":"AwII"}}]}'
        ],
    ),
    "write_machine_types": (
        lambda clients: machine_type_catalogue.write(clients.store, FENCED, [CPU, GPU]),
        [
            b'POST /txn {"if":[{"k":"lead/term","stamp":4}],"writes":[{"set":"flavours","data":{'
            b'"flavours":[{"sku":"c32","vcpus":32.0,"mem_gb":128.0,"price":2.0,"sites":["a","b",'
            b'"c"],"cards":0.0,"spot_price":0.7,"local_gb":50.0,"fetch_gb_per_s":0.2,'
            b'"ready_s":20.0},{"sku":"g4","vcpus":24.0,"mem_gb":192.0,"price":8.0,"sites":["a",'
            b'"b","c"],"cards":4.0,"spot_price":3.0,"local_gb":100.0,"fetch_gb_per_s":0.2,'
            b'"ready_s":40.0}]}}]}',
            b"GET /store?starts=flavours&page=1000",
        ],
    ),
    "write_for_a_shard": (
        write_for_a_shard,
        [
            b'POST /txn {"if":[{"k":"s/shard-1/lead/term","stamp":4},{"k":"j/run-1","stamp":9}],'
            b'"writes":[{"remove":"s/shard-1/h/r-5-1"},{"remove":"j/run-1"},{"set":"f/run-1",'
            b'"data":{"status":"done"}},{"set":"s/shard-1/m/0","data":{}},{"set":"allowance/red",'
            b'"data":{"parts":{},"demand":{},"claims":{}}}]}'
        ],
    ),
    "rent": (
        lambda clients: clients.cloud.rent(RentalRequest("r-5-1", "c32", "a", True, 12)),
        [b'POST /machines {"hire":"r-5-1","flavour":"c32","site":"a","loaner":true,"how_many":12}'],
    ),
    "release": (
        lambda clients: clients.cloud.release([MachineId("i-1"), MachineId("i-2")]),
        [b'POST /machines/release {"hosts":["i-1","i-2"]}'],
    ),
    "list_machines": (
        lambda clients: (clients.cloud.machine_page(""), clients.cloud.machine_page("i-1")),
        [b"GET /machines?page=500", b"GET /machines?page=500&since=i-1"],
    ),
    "handshake": (send_commands, [b'POST /orders {"mandate":5242880,"tenure":2,"orders":[]}']),
    "direct_commands": (
        lambda clients: send_commands(
            clients,
            Command("halt", "run-1/0", 9, 2.5),
            Command("halt", "run-1/1", 9),
            Command("clear", "run-1/2", 8),
        ),
        [
            b'POST /orders {"mandate":5242880,"tenure":2,"orders":[{"verb":"halt",'
            b'"piece":"run-1/0","try":9,"mercy_s":2.5},{"verb":"halt","piece":"run-1/1","try":9},'
            b'{"verb":"clear","piece":"run-1/2","try":8}]}'
        ],
    ),
}


@pytest.mark.parametrize(("send", "recorded"), REQUESTS.values(), ids=REQUESTS)
def test_requests_are_those_recorded(
    monkeypatch: pytest.MonkeyPatch, send: Callable[[Clients], object], recorded: list[bytes]
) -> None:
    monkeypatch.setattr("ryewing.sharding.registry.wall_now", lambda: 1000.5)
    clients = Clients(monkeypatch)
    send(clients)
    assert clients.sent == recorded


# -- what a leader leaves in the store ----------------------------------------------------------

LEFT_BY_A_LEADER = {
    "d/0": b'{"run-2/0":"Bw=="}',
    "f/run-1": b'{"status":"done"}',
    "h/r-5-1": b'{"hire":"r-5-1","flavour":"c32","site":"b","loaner":false,"how_many":3}',
    "j/run-2": b'{"run":{"ref":"run-2","jobclass":"scan","owner":"red","shape":"batch",'
    b'"rank":"standard","pieces":8,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,"bundle":"img-1",'
    b'"image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0},"at":0.0}',
    "j/run-3": b'{"run":{"ref":"run-3","jobclass":"scan","owner":"red","shape":"batch",'
    b'"rank":"standard","pieces":40,"vcpus":4.0,"cards":0.0,"mem_gb":8.0,'
    b'"bundle":"img-1","image_gb":0.0,"guess_s":30.0,"savepoint_s":0.0,"flush_s":0.0,'
    b'"site":"b"},"at":0.0}',
    "lead/term": b'{"term":5}',
    "m/0": b'{"i-000001":{"flavour":"c32","site":"a","loaner":false,"addr":"10.1.0.2:9000",'
    b'"heard":true}}',
}


def test_a_leader_leaves_in_the_store_what_was_recorded(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, "run-1", task_count=1)
    harness.finish_tasks(worker)
    harness.write()
    harness.start_job(worker, "run-2", task_count=8)
    for task in sorted(worker.tasks)[:3]:
        worker.end_task(task)
    harness.exchange(worker)
    harness.write()
    harness.accept("run-3", task_count=40, zone="b")
    harness.place()
    harness.leader.autoscaler.scale_out()
    stored = {key: value for key, (value, _version, _lease) in harness.store.data.items()}
    assert stored == LEFT_BY_A_LEADER
