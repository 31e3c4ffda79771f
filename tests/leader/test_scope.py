"""A term handles only the machines and jobs of its scope, and uses only its share of each rate."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from support.fakes import CPU, GPU, job_spec
from support.harness import LeaderHarness, starts

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.clients.machine_listing import LIST_RATE_SHARE
from ryewing.clients.peers import ShardLoadAnswer
from ryewing.clients.store import Put, TxnResult
from ryewing.leader.autoscaler import Autoscaler
from ryewing.leader.division import NoShardError, NotReadyError
from ryewing.leader.scheduler import CYCLE_PAUSE_FACTOR
from ryewing.leader.scope import TermScope
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.settings import ShardSettings, ShardSpec
from ryewing.state.job_records import JobRecord, live_key
from ryewing.state.jobs import Job
from ryewing.units import JobId, KeyVersion, ShardName, TermNumber, Zone
from ryewing.wire.cloud import ListedMachine, MachineType

EAST, WEST = ShardName("east"), ShardName("west")
DIVISION = ShardSettings((ShardSpec("east", ("a",)), ShardSpec("west", ("b", "c"))))


@pytest.fixture
def east(harness: LeaderHarness) -> LeaderHarness:
    """Return a harness whose leader has shard `east`: zone a, and half of the process's rates."""
    harness.scope = TermScope(EAST, frozenset({Zone("a")}), 0.5)
    harness.new_leader(5)
    return harness


def test_machines_of_other_shards_are_neither_answered_nor_counted(east: LeaderHarness) -> None:
    """Neither a heartbeat nor the cloud's list adds one, and none that failed is released.

    A late rental of another shard can bring its machine onto the list.
    """
    own_worker, foreign_worker = (
        east.worker("i-000001", zone="a"),
        east.worker("i-000002", zone="b"),
    )
    east.exchange(own_worker)  # the worker learns this term's token
    east.exchange(own_worker)
    foreign_worker.token = own_worker.token
    assert east.leader.on_heartbeat(foreign_worker.heartbeat()) is None
    east.cloud.listed = [
        ListedMachine("i-000003", "c32", "a", "running"),
        ListedMachine("i-000004", "c32", "b", "failed"),
    ]
    east.leader.autoscaler.inventory.read_page()
    assert sorted(east.leader.term.cluster.machines) == ["i-000001", "i-000003"]
    assert not east.cloud.released


def test_no_machine_is_rented_in_zones_of_other_shards(east: LeaderHarness) -> None:
    east.accept(task_count=1)
    east.place()
    east.leader.autoscaler.scale_out()
    assert {request.zone for request in east.cloud.requests} == {"a"}
    assert {request.id for request in east.cloud.requests} == {"r-east-5-1"}
    west = TermScope(WEST, frozenset({Zone("b")}), 0.5)
    assert west.rental_id(TermNumber(5), 1) != east.scope.rental_id(TermNumber(5), 1)


@pytest.mark.parametrize("shard", ["west", None])
def test_jobs_of_other_shards_are_ignored(east: LeaderHarness, shard: str | None) -> None:
    """Both when a watch delivers a record and when the next leader loads it from the store."""
    record = JobRecord(job_spec("run-7"), 0.0, shard=shard)
    result = east.store.txn({}, [Put(live_key(JobId("run-7")), record)])
    raw = msgspec.Raw(msgspec.json.encode(record))
    east.leader.job_watcher.apply_record("j/run-7", raw, KeyVersion(result.revision))
    assert not east.leader.term.job_table.jobs
    assert not east.new_leader(6).term.job_table.jobs


def test_a_sealed_term_starts_and_releases_nothing_but_answers_heartbeats(
    east: LeaderHarness,
) -> None:
    worker = east.ready_worker()
    east.accept(task_count=2)
    east.place()
    east.leader.term.sealed = True
    assert starts(east.exchange(worker)) == []
    assert east.leader.on_heartbeat(worker.heartbeat()) is not None
    machine = east.leader.term.cluster.machines[next(iter(east.leader.term.cluster.machines))]
    east.leader.autoscaler.releaser.release([Release(machine, ReleaseReason.IDLE)])
    east.leader.autoscaler.rentals.pending.clear()
    assert not east.cloud.released
    assert not east.leader.term.may_start_operations()
    east.leader.term.sealed = False
    assert len(starts(east.exchange(worker))) == 2


def test_a_term_is_quiesced_once_no_start_and_no_write_is_in_flight(east: LeaderHarness) -> None:
    """A start is in flight until a heartbeat settles it, and a write until its response arrives."""
    worker = east.ready_worker()
    assert east.leader.is_quiesced()
    east.start_job(worker, task_count=1)
    assert not east.leader.is_quiesced()
    east.exchange(worker)
    assert east.leader.is_quiesced()
    east.finish_tasks(worker)
    txn, quiesced_during_write = east.store.txn, []

    def recording_txn(*args: Any) -> TxnResult:
        quiesced_during_write.append(east.leader.is_quiesced())
        return txn(*args)

    east.store.txn = recording_txn  # type: ignore[method-assign, assignment]
    east.write()
    assert quiesced_during_write
    assert not any(quiesced_during_write)
    assert east.leader.is_quiesced()


def test_the_terms_of_all_shards_together_stay_within_each_rate(east: LeaderHarness) -> None:
    leader, params = east.leader, east.settings.params
    autoscaler = Autoscaler(leader.term, leader.writer, leader.direct_messages, leader.scheduler)
    shares = [scope.share for scope in ShardDivision(DIVISION).scopes()]
    assert sum(shares) == pytest.approx(1.0)
    rates = {
        "writes": (leader.writer.bucket.rate, 0.65 * params.state.write_rps),
        "cloud": (autoscaler.rentals.cloud.bucket.rate, 0.8 * params.cloud.rps),
        "list": (
            leader.autoscaler.inventory.listing.bucket.rate,
            LIST_RATE_SHARE * params.cloud.rps,
        ),
        "early heartbeats": (
            leader.early_heartbeats.bucket.rate,
            60.0 * params.resources.core_share,
        ),
    }
    for name, (rate, full_rate) in rates.items():
        assert rate == pytest.approx(0.5 * full_rate), name
    cycle_s = 1.0
    assert 2 * cycle_s / (cycle_s + leader.scheduler.pause_after_s(cycle_s)) == pytest.approx(
        1 / (CYCLE_PAUSE_FACTOR + 1)
    )


def test_the_job_memory_is_full_when_jobs_fill_the_share_of_the_term(east: LeaderHarness) -> None:
    jobs_max = 0.25 * 0.5 * east.settings.params.resources.mem_mb * 1e6 / 4096
    for number in range(round(jobs_max) + 1):
        record = JobRecord(job_spec(f"run-{number}"), 0.0, shard="east")
        east.leader.term.job_table.jobs[JobId(f"run-{number}")] = Job(record, KeyVersion(1))
    assert east.leader.job_memory_full()


TYPES = {machine_type.name: machine_type for machine_type in (CPU, GPU)}
C32_ONLY_IN_B = {"c32": msgspec.structs.replace(CPU, zones=("b",)), "g4": GPU}


@pytest.mark.parametrize(
    ("changes", "types", "eligible"),
    [
        ({}, TYPES, {EAST, WEST}),
        ({"zone": "a"}, TYPES, {EAST}),
        ({"zone": "c"}, TYPES, {WEST}),
        ({"machine_types": ["c32"]}, C32_ONLY_IN_B, {WEST}),
        ({"spread": True}, TYPES, {WEST}),
        ({"spread": True, "task_count": 1}, TYPES, {EAST, WEST}),
        ({"spread": True, "machine_types": ["c32"]}, C32_ONLY_IN_B, set()),
        ({"spread": True, "zone": "b"}, TYPES, set()),
    ],
)
def test_a_job_goes_only_to_shards_that_could_run_it(
    changes: dict[str, Any], types: dict[str, MachineType], eligible: set[ShardName]
) -> None:
    division = ShardDivision(DIVISION, random.Random(1))
    spec = job_spec("run-1", **changes)
    with pytest.raises(NotReadyError):
        division.choose_shard(spec, types, {})
    division.is_confirmed = True
    loads = {name: ShardLoadAnswer(False, 0.0) for name in (EAST, WEST)}
    if not eligible:
        with pytest.raises(NoShardError):
            division.choose_shard(spec, types, loads)
        return
    chosen = {division.choose_shard(spec, types, loads) for _ in range(50)}
    assert chosen == eligible


def test_a_job_goes_to_the_least_loaded_shard_or_by_its_id_while_a_load_is_unknown() -> None:
    division = ShardDivision(DIVISION, random.Random(1))
    division.is_confirmed = True
    loads = {EAST: ShardLoadAnswer(False, 3.0), WEST: ShardLoadAnswer(False, 0.5)}
    spec = job_spec("run-1")
    assert {division.choose_shard(spec, TYPES, loads) for _ in range(20)} == {WEST}
    loads_with_west_full = {**loads, WEST: ShardLoadAnswer(True, 0.5)}
    assert {division.choose_shard(spec, TYPES, loads_with_west_full) for _ in range(20)} == {EAST}
    chosen_without_loads = [
        division.choose_shard(job_spec(f"run-{n}"), TYPES, {EAST: None, WEST: None})
        for n in range(40)
    ]
    assert set(chosen_without_loads) == {EAST, WEST}
    assert chosen_without_loads == [
        division.choose_shard(job_spec(f"run-{n}"), TYPES, {EAST: None, WEST: loads[WEST]})
        for n in range(40)
    ]
