"""A shard's part of the store: leaders of two shards over one store don't see each other's keys."""

from __future__ import annotations

import pytest
from support.fakes import FakeStore
from support.harness import LeaderHarness, starts

from ryewing.clients.store import Put
from ryewing.election.election_record import HOLDER_KEY, read_election_record
from ryewing.leader.scope import TermScope
from ryewing.sharding.shard_store import ShardStore
from ryewing.state.job_records import live_key
from ryewing.units import JobId, KeyVersion, Revision, ShardName, Zone


def shard(store: FakeStore, name: str) -> ShardStore:
    return ShardStore(store, ShardName(name))  # type: ignore[arg-type]


def test_each_shard_has_the_same_keys_under_its_own_prefix() -> None:
    store = FakeStore()
    east, west = shard(store, "east"), shard(store, "west")
    lease = east.grant(3.0)
    assert east.txn({"a": KeyVersion(0)}, [Put("a", 1, lease), Put("b/c", 2)]).ok
    assert west.txn({"a": KeyVersion(0)}, [Put("a", 3)]).ok
    assert west.txn({"a": KeyVersion(0)}, [Put("a", 4)]).failed_keys == {"a"}
    assert sorted(store.data) == ["s/east/a", "s/east/b/c", "s/west/a"]
    assert [entry.key for entry in east.listing("")[0]] == ["a", "b/c"]
    assert [change.set for change in east.watch("b/", Revision(0), 1.0).log] == ["b/c"]
    found = west.get("a")
    assert found is not None
    assert (found.key, bytes(found.data)) == ("a", b"3")
    store.expire(lease)
    assert east.get("a") is None
    assert west.get("a") is not None
    removed = east.watch("", Revision(2), 1.0).log
    assert [change.remove for change in removed] == ["a"]


@pytest.mark.parametrize("other_term", [3, 5, 9])
def test_a_leader_of_one_shard_neither_sees_nor_fences_another(
    harness: LeaderHarness, other_term: int
) -> None:
    """The same leader, with the same jobs, over two shards of one store."""
    whole = harness.store
    harness.store = shard(whole, "east")  # type: ignore[assignment]
    harness.scope = TermScope(ShardName("east"), frozenset({Zone("a")}))
    harness.new_leader(5)
    worker = harness.ready_worker()
    job = harness.accept(task_count=1)
    east = harness.leader

    harness.store = shard(whole, "west")  # type: ignore[assignment]
    harness.scope = TermScope(ShardName("west"), frozenset({Zone("b")}))
    west = harness.new_leader(other_term)
    assert not west.term.cluster.machines
    assert not west.term.job_table.jobs
    assert read_election_record(west.term.store).term == other_term
    assert west.term.store.get(HOLDER_KEY) is None

    harness.leader, harness.store = east, shard(whole, "east")  # type: ignore[assignment]
    harness.place()
    assert starts(harness.exchange(worker)) == [f"{job}/0"]
    harness.exchange(worker)
    harness.finish_tasks(worker)
    harness.write()
    assert harness.final_states == {JobId("run-1"): "done"}
    assert not harness.end_reasons
    assert whole.get(live_key(job)) is None
    harness.store = whole
