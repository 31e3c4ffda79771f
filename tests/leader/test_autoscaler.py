"""Renting and releasing machines, probing silent ones, and a leader without its workers."""

from __future__ import annotations

from typing import Any

import pytest
from support.fakes import policy, settings
from support.harness import LeaderHarness

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.clients.cloud import CloudUnavailableError
from ryewing.leader.direct_messages import BASE_SENDS_IN_FLIGHT, PROBE_AFTER_INTERVALS
from ryewing.leader.machine_records import MACHINE_PREFIX
from ryewing.leader.rentals import REQUEST_PREFIX
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.worker_reachability import PROBE_ANSWER_S
from ryewing.state.pending_terminations import PendingTermination
from ryewing.units import Attempt, JobId, MachineId, TaskId
from ryewing.wire.cloud import ListedMachine


def rent(harness: LeaderHarness) -> None:
    """Run a scheduling cycle, then rent machines for the unplaced tasks."""
    harness.place()
    harness.leader.autoscaler.scale_out()


def test_a_successor_repeats_a_recorded_rental_request_under_its_id(harness: LeaderHarness) -> None:
    harness.accept(task_count=8)
    harness.leader.autoscaler.rentals.send = lambda request: None  # type: ignore[method-assign]  # the leader ends before it sends the request
    rent(harness)
    assert len(harness.store.listing(REQUEST_PREFIX)[0]) == 1
    assert not harness.cloud.requests
    harness.new_leader(6)
    for request in list(harness.leader.autoscaler.rentals.pending.values()):
        harness.leader.autoscaler.rentals.send(request)
    rent(harness)  # booting machines count as capacity
    assert len(harness.cloud.requests) == 1
    harness.write()
    assert harness.store.listing(REQUEST_PREFIX)[0] == []
    assert len(harness.store.listing(MACHINE_PREFIX)[0]) == 1


def test_ids_of_rental_requests_differ_between_terms(harness: LeaderHarness) -> None:
    harness.accept(task_count=8)
    rent(harness)
    harness.new_leader(6)
    harness.accept("run-2", task_count=50)
    rent(harness)
    ids = [request.id for request in harness.cloud.requests]
    assert len(ids) == len(set(ids)) >= 2


def test_an_unanswered_rental_request_is_repeated_under_the_same_id(harness: LeaderHarness) -> None:
    harness.accept(task_count=8)

    def no_answer(_request: Any) -> Any:
        raise CloudUnavailableError("timeout")

    original_rent, harness.cloud.rent = harness.cloud.rent, no_answer  # type: ignore[assignment,method-assign]
    with pytest.raises(CloudUnavailableError):
        rent(harness)
    harness.cloud.rent = original_rent  # type: ignore[method-assign]
    [pending] = harness.leader.autoscaler.rentals.pending.values()
    harness.leader.autoscaler.rentals.send(pending)
    assert [request.id for request in harness.cloud.requests] == [pending.id]


def test_nothing_is_rented_without_the_lease(harness: LeaderHarness) -> None:
    harness.accept(task_count=8)
    pending = harness.leader.autoscaler.rentals.pending
    harness.place()
    harness.later(3.1, renewed=False)
    harness.leader.autoscaler.scale_out()
    assert not harness.cloud.requests
    assert len(pending) == 1  # recorded, and sent once the lease is confirmed


def test_a_successor_does_not_wait_for_booting_machines(harness: LeaderHarness) -> None:
    """In a rolling restart, each new leader waited for machines that had never sent a heartbeat."""
    harness.accept(task_count=8)
    rent(harness)
    harness.write()
    harness.new_leader(6)
    assert len(harness.leader.term.cluster.machines) == 1
    assert harness.leader.scheduler.check_reconciled()


def test_a_failed_release_leaves_the_machine_in_use(harness: LeaderHarness) -> None:
    """After a throttled release, its machines stayed marked as being released.

    The term then never used them again. This was seen under low load.
    """
    worker = harness.ready_worker()
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]

    def throttled_release(_machines: Any) -> None:
        raise CloudUnavailableError("429")

    harness.cloud.release = throttled_release  # type: ignore[assignment,method-assign]
    with pytest.raises(CloudUnavailableError):
        harness.leader.autoscaler.releaser.release([Release(machine, ReleaseReason.IDLE)])
    assert machine.is_schedulable()


@pytest.mark.parametrize(
    ("listings", "heard", "known"),
    [
        ([True], False, True),
        ([True, False], False, True),  # a list may be older than the previous one
        ([True, False, True, False], False, True),
        ([True, False, False], False, False),
        ([True, False, False], True, True),
        ([True, False, False, True], False, True),
    ],
)
def test_machines_that_a_predecessor_released_are_forgotten(
    harness: LeaderHarness, listings: list[bool], heard: bool, known: bool
) -> None:
    """Because the cloud's list is old, a new leader counted released machines as booting."""
    worker = harness.worker()
    for is_listed in listings:
        listed_machine = ListedMachine(worker.name, "c32", "a", "running", "", False, 5.0)
        harness.cloud.listed = [listed_machine] if is_listed else []
        harness.leader.autoscaler.inventory.read_page()
        if heard:
            harness.exchange(worker)
    assert (MachineId(worker.name) in harness.leader.term.cluster.machines) is known
    harness.accept(task_count=8)
    harness.place()
    harness.leader.autoscaler.scale_out()
    assert bool(harness.cloud.requests) is not known


@pytest.mark.parametrize(("machines", "silent", "released"), [(9, 2, 2), (9, 6, 0)])
def test_silent_machines_are_released_unless_there_are_many(
    harness: LeaderHarness, machines: int, silent: int, released: int
) -> None:
    """If many fall silent, the leader may be at fault, so the leases must have expired first."""
    workers = harness.ready_workers(machines)
    harness.later(policy().silence_s + 1.0)
    for worker in workers[silent:]:
        harness.exchange(worker)
    assert len(harness.leader.autoscaler.unhealthy_machines(harness.clock())) == released
    harness.later(settings().params.workers.lease_s)
    for worker in workers[silent:]:
        harness.exchange(worker)
    harness.leader.term.cluster.expire_leases(harness.clock())
    assert len(harness.leader.autoscaler.unhealthy_machines(harness.clock())) == silent


def test_machines_of_an_earlier_term_are_released_once_their_lease_has_expired(
    harness: LeaderHarness,
) -> None:
    """In inc-08d3, a leader waited for machines unheard since a failover as for booting ones."""
    workers = harness.ready_workers(6)
    harness.new_leader(6)
    for worker in workers[4:] * 2:
        harness.exchange(worker)
    leases_expire_after_s = policy().hold_s + settings().params.workers.lease_s
    for _ in range(int(leases_expire_after_s / 2) + 3):
        harness.later(2.0)
        for worker in workers[4:]:
            harness.exchange(worker)
    harness.leader.term.cluster.expire_leases(harness.clock())
    releases = harness.leader.autoscaler.unhealthy_machines(harness.clock())
    assert sorted((machine.id, reason) for machine, reason in releases) == [
        (worker.name, "silent") for worker in workers[:4]
    ]


def test_machines_falling_silent_one_after_another_are_not_released(harness: LeaderHarness) -> None:
    """If many fall silent, they reach the timeout one by one; the first few were released."""
    workers = harness.ready_workers(9)
    for worker in workers[3:]:
        harness.later(0.3)
        harness.exchange(worker)
    harness.later(policy().silence_s - 1.0)  # three are silent, the others only late
    assert harness.leader.autoscaler.unhealthy_machines(harness.clock()) == []


def record_messages(harness: LeaderHarness) -> list[MachineId]:
    """Queue direct messages as in production; return a list that records the machines contacted."""
    del harness.leader.direct_messages.schedule
    contacted: list[MachineId] = []
    harness.leader.direct_messages.send = lambda machine: contacted.append(machine.id)  # type: ignore[method-assign]
    return contacted


def test_probing_many_silent_machines_does_not_block(harness: LeaderHarness) -> None:
    """With a bounded pool of senders, spawning blocked in the middle of a loop over machines."""
    harness.ready_workers(100)
    direct_messages = harness.leader.direct_messages
    contacted = record_messages(harness)
    harness.later(policy().silence_s)
    direct_messages.probe(harness.clock())
    direct_messages.probe(harness.clock())
    assert not contacted  # nothing was sent during the loop over the machines
    assert len(direct_messages.senders) == BASE_SENDS_IN_FLIGHT
    direct_messages.senders.join()
    assert sorted(contacted) == sorted(harness.leader.term.cluster.machines)  # once each


def test_stopping_a_task_does_not_wait_for_probes_of_silent_machines(
    harness: LeaderHarness,
) -> None:
    """A probe of a silent machine takes two seconds, so cancels took a minute after a zone loss."""
    workers = harness.ready_workers(100)
    harness.accept(task_count=1)
    harness.place()
    for worker in workers:
        harness.exchange(worker)
    direct_messages = harness.leader.direct_messages
    contacted = record_messages(harness)
    harness.later(policy().silence_s)
    direct_messages.probe(harness.clock())
    [machine] = [m for m in harness.leader.term.cluster.machines.values() if m.assignments]
    harness.leader.apply_cancel(JobId("run-1"))
    assert machine.id not in direct_messages.other_queue
    direct_messages.senders.join()
    assert contacted[0] == machine.id
    assert len(contacted) == 100


def test_the_two_queues_of_direct_messages_alternate(harness: LeaderHarness) -> None:
    """Otherwise halts that are resent every second to silent machines would occupy all senders."""
    harness.ready_workers(100)
    direct_messages = harness.leader.direct_messages
    contacted = record_messages(harness)
    machines = list(harness.leader.term.cluster.machines.values())
    stopping = {machine.id for machine in machines[:60]}
    for name in sorted(stopping):
        task = TaskId(JobId("run-1"), 0)
        harness.leader.term.terminations.add(PendingTermination(name, task, Attempt(1), 0.0))
    for machine in machines:
        direct_messages.schedule(machine)
    direct_messages.senders.join()
    assert len(contacted) == len(set(contacted)) == 100
    assert [name in stopping for name in contacted[:80]] == [True, False] * 40


@pytest.mark.parametrize(("silent", "unreachable"), [(2, False), (6, False), (7, True), (9, True)])
def test_workers_count_as_unreachable_once_most_of_them_are_silent(
    harness: LeaderHarness, silent: int, unreachable: bool
) -> None:
    workers = harness.ready_workers(9)
    harness.later(policy().silence_s + 1.0)
    for worker in workers[silent:]:
        harness.exchange(worker)
    assert (
        harness.leader.maintenance.reachability.are_workers_unreachable(harness.clock())
        is unreachable
    )


def run_maintenance(harness: LeaderHarness, seconds: float, step_s: float = 0.25) -> None:
    """Advance the clock step by step and run maintenance after each step, without heartbeats."""
    for _ in range(round(seconds / step_s)):
        harness.later(step_s)
        harness.leader.maintenance.run_once()


def start_with_nine_machines(harness: LeaderHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make nine workers ready, and run maintenance once."""
    monkeypatch.setattr(harness.store, "revoke", lambda _lease: None, raising=False)
    harness.ready_workers(9)
    harness.leader.maintenance.run_once()


def test_a_leader_that_reaches_no_worker_resigns_after_a_missed_heartbeat_and_probe(
    harness: LeaderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Measured: 7.1 s from the loss of the connections to the resignation."""
    start_with_nine_machines(harness, monkeypatch)
    longest_s = PROBE_AFTER_INTERVALS * harness.settings.params.workers.report_s + PROBE_ANSWER_S
    run_maintenance(harness, longest_s)
    assert harness.end_reasons == []
    run_maintenance(harness, 0.5)
    assert harness.end_reasons[:1] == [TermEndReason.WORKERS_UNREACHABLE]
    assert longest_s < policy().silence_s


def test_the_time_in_which_the_leader_stalled_does_not_count_as_silence(
    harness: LeaderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In replays, a leader resigned after a 9 s stall, and did not campaign for 15 s."""
    start_with_nine_machines(harness, monkeypatch)
    run_maintenance(harness, 9.0, step_s=9.0)
    run_maintenance(harness, 2.0)
    assert harness.end_reasons == []
    run_maintenance(harness, 9.0)
    assert harness.end_reasons[:1] == [TermEndReason.WORKERS_UNREACHABLE]
