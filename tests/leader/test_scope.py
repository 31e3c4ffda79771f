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

SHARD_1, SHARD_2 = ShardName("shard-1"), ShardName("shard-2")
DIVISION = ShardSettings((ShardSpec("shard-1", ("a",)), ShardSpec("shard-2", ("b", "c"))))


@pytest.fixture
def shard_harness(harness: LeaderHarness) -> LeaderHarness:
    """Return a harness whose leader has `SHARD_1`: zone a, and half of the process's rates."""
    harness.scope = TermScope(SHARD_1, frozenset({Zone("a")}), 0.5)
    harness.new_leader(5)
    return harness


def test_machines_of_other_shards_are_neither_answered_nor_counted(
    shard_harness: LeaderHarness,
) -> None:
    """Neither a heartbeat nor the cloud's list adds them, and they are not released if they failed.

    The list may contain such a machine after a delayed rental of another shard.
    """
    own_worker, foreign_worker = (
        shard_harness.worker("i-000001", zone="a"),
        shard_harness.worker("i-000002", zone="b"),
    )
    shard_harness.exchange(own_worker)  # the worker receives this term's token
    shard_harness.exchange(own_worker)
    foreign_worker.token = own_worker.token
    assert shard_harness.leader.on_heartbeat(foreign_worker.heartbeat()) is None
    shard_harness.cloud.listed = [
        ListedMachine("i-000003", "c32", "a", "running"),
        ListedMachine("i-000004", "c32", "b", "failed"),
    ]
    shard_harness.leader.autoscaler.inventory.read_page()
    assert sorted(shard_harness.leader.term.cluster.machines) == ["i-000001", "i-000003"]
    assert not shard_harness.cloud.released


def test_no_machine_is_rented_in_zones_of_other_shards(shard_harness: LeaderHarness) -> None:
    shard_harness.accept(task_count=1)
    shard_harness.place()
    shard_harness.leader.autoscaler.scale_out()
    assert {request.zone for request in shard_harness.cloud.requests} == {"a"}
    assert {request.id for request in shard_harness.cloud.requests} == {"r-shard-1-5-1"}
    other_scope = TermScope(SHARD_2, frozenset({Zone("b")}), 0.5)
    assert other_scope.rental_id(TermNumber(5), 1) != shard_harness.scope.rental_id(
        TermNumber(5), 1
    )


@pytest.mark.parametrize("shard", ["shard-2", None])
def test_jobs_of_other_shards_are_ignored(shard_harness: LeaderHarness, shard: str | None) -> None:
    """The watch ignores their records, and so does the next leader when it loads the store."""
    record = JobRecord(job_spec("run-7"), 0.0, shard=shard)
    result = shard_harness.store.txn({}, [Put(live_key(JobId("run-7")), record)])
    raw = msgspec.Raw(msgspec.json.encode(record))
    shard_harness.leader.job_watcher.apply_record("j/run-7", raw, KeyVersion(result.revision))
    assert not shard_harness.leader.term.job_table.jobs
    assert not shard_harness.new_leader(6).term.job_table.jobs


def test_a_sealed_term_starts_and_releases_nothing_but_answers_heartbeats(
    shard_harness: LeaderHarness,
) -> None:
    worker = shard_harness.ready_worker()
    shard_harness.accept(task_count=2)
    shard_harness.place()
    shard_harness.leader.term.sealed = True
    assert starts(shard_harness.exchange(worker)) == []
    assert shard_harness.leader.on_heartbeat(worker.heartbeat()) is not None
    machine = shard_harness.leader.term.cluster.machines[
        next(iter(shard_harness.leader.term.cluster.machines))
    ]
    shard_harness.leader.autoscaler.releaser.release([Release(machine, ReleaseReason.IDLE)])
    shard_harness.leader.autoscaler.rentals.pending.clear()
    assert not shard_harness.cloud.released
    assert not shard_harness.leader.term.may_start_operations()
    shard_harness.leader.term.sealed = False
    assert len(starts(shard_harness.exchange(worker))) == 2


def test_a_term_is_quiesced_once_no_start_and_no_write_is_in_flight(
    shard_harness: LeaderHarness,
) -> None:
    """A start is in flight until a heartbeat shows whether it arrived.

    A write is in flight until its response arrives.
    """
    worker = shard_harness.ready_worker()
    assert shard_harness.leader.is_quiesced()
    shard_harness.start_job(worker, task_count=1)
    assert not shard_harness.leader.is_quiesced()
    shard_harness.exchange(worker)
    assert shard_harness.leader.is_quiesced()
    shard_harness.finish_tasks(worker)
    txn, quiesced_during_write = shard_harness.store.txn, []

    def recording_txn(*args: Any) -> TxnResult:
        quiesced_during_write.append(shard_harness.leader.is_quiesced())
        return txn(*args)

    shard_harness.store.txn = recording_txn  # type: ignore[method-assign, assignment]
    shard_harness.write()
    assert quiesced_during_write
    assert not any(quiesced_during_write)
    assert shard_harness.leader.is_quiesced()


def test_the_terms_of_all_shards_together_stay_within_each_rate(
    shard_harness: LeaderHarness,
) -> None:
    leader, params = shard_harness.leader, shard_harness.settings.params
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


def test_the_job_memory_is_full_when_jobs_fill_the_share_of_the_term(
    shard_harness: LeaderHarness,
) -> None:
    jobs_max = 0.25 * 0.5 * shard_harness.settings.params.resources.mem_mb * 1e6 / 4096
    for number in range(round(jobs_max) + 1):
        record = JobRecord(job_spec(f"run-{number}"), 0.0, shard="shard-1")
        shard_harness.leader.term.job_table.jobs[JobId(f"run-{number}")] = Job(
            record, KeyVersion(1)
        )
    assert shard_harness.leader.job_memory_full()


TYPES = {machine_type.name: machine_type for machine_type in (CPU, GPU)}
C32_ONLY_IN_B = {"c32": msgspec.structs.replace(CPU, zones=("b",)), "g4": GPU}


@pytest.mark.parametrize(
    ("changes", "types", "eligible"),
    [
        ({}, TYPES, {SHARD_1, SHARD_2}),
        ({"zone": "a"}, TYPES, {SHARD_1}),
        ({"zone": "c"}, TYPES, {SHARD_2}),
        ({"machine_types": ["c32"]}, C32_ONLY_IN_B, {SHARD_2}),
        ({"spread": True}, TYPES, {SHARD_2}),
        ({"spread": True, "task_count": 1}, TYPES, {SHARD_1, SHARD_2}),
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
    loads = {name: ShardLoadAnswer(False, 0.0) for name in (SHARD_1, SHARD_2)}
    if not eligible:
        with pytest.raises(NoShardError):
            division.choose_shard(spec, types, loads)
        return
    chosen = {division.choose_shard(spec, types, loads) for _ in range(50)}
    assert chosen == eligible


def test_the_least_loaded_shard_is_chosen_or_one_by_job_id_while_a_load_is_unknown() -> None:
    division = ShardDivision(DIVISION, random.Random(1))
    division.is_confirmed = True
    loads = {SHARD_1: ShardLoadAnswer(False, 3.0), SHARD_2: ShardLoadAnswer(False, 0.5)}
    spec = job_spec("run-1")
    assert {division.choose_shard(spec, TYPES, loads) for _ in range(20)} == {SHARD_2}
    loads_with_shard_2_full = {**loads, SHARD_2: ShardLoadAnswer(True, 0.5)}
    assert {division.choose_shard(spec, TYPES, loads_with_shard_2_full) for _ in range(20)} == {
        SHARD_1
    }
    chosen_without_loads = [
        division.choose_shard(job_spec(f"run-{n}"), TYPES, {SHARD_1: None, SHARD_2: None})
        for n in range(40)
    ]
    assert set(chosen_without_loads) == {SHARD_1, SHARD_2}
    assert chosen_without_loads == [
        division.choose_shard(job_spec(f"run-{n}"), TYPES, {SHARD_1: None, SHARD_2: loads[SHARD_2]})
        for n in range(40)
    ]
