"""A leader with fakes: tests the safeguard of each safety argument of docs/design.md.

Each test fails if its safeguard is removed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from support.fakes import policy, settings
from support.harness import LeaderHarness, starts, verbs

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import Put, StoreUnavailableError
from ryewing.election.campaign import campaign
from ryewing.election.election_record import read_election_record
from ryewing.election.identity import ProcessIdentity
from ryewing.leader.machine_records import MACHINE_PREFIX, MachineRecord
from ryewing.state.attempts import TaskPhase
from ryewing.state.image_cache import COLD, WARM
from ryewing.state.job_records import JobRecord, final_key, live_key
from ryewing.units import KeyVersion, MachineId, NodeName, TermNumber, fencing_token
from ryewing.wire.workers import ReportedTask


def test_the_life_cycle_of_an_array(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.accept()
    harness.place()
    assert len(starts(harness.exchange(worker))) == 4
    harness.exchange(worker)
    job_status = harness.leader.job_status(job)
    assert job_status is not None
    assert (job_status.status, job_status.running) == ("running", 4)
    worker.finish()
    assert "clear" not in verbs(harness.exchange(worker))  # the finish is not written yet
    harness.write()
    assert harness.store.get(live_key(job)) is None
    assert harness.store.get(final_key(job)) is not None
    assert harness.final_states == {job: "done"}
    assert verbs(harness.exchange(worker)) == ["clear"] * 4
    assert not worker.tasks


def test_starts_require_handshake_record_and_lease(harness: LeaderHarness) -> None:
    """No start is sent while any one of the conditions is not met."""
    worker = harness.worker()
    harness.accept()
    harness.ready(worker)
    harness.place()
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    conditions: list[tuple[Callable[[], None], Callable[[], None]]] = [
        (
            lambda: setattr(machine, "acknowledged_bump", -1),
            lambda: setattr(machine, "acknowledged_bump", 0),
        ),
        (lambda: setattr(machine, "recorded", False), lambda: setattr(machine, "recorded", True)),
        (lambda: harness.later(3.1, renewed=False), lambda: harness.later(0.0)),
        (
            lambda: setattr(machine, "being_released", True),
            lambda: setattr(machine, "being_released", False),
        ),
    ]
    for violate, restore in conditions:
        violate()
        heartbeat = worker.heartbeat()
        heartbeat.token = 0 if not machine.acknowledged_term else heartbeat.token
        answer = harness.leader.on_heartbeat(heartbeat)
        assert answer is not None
        assert not starts(answer.commands)
        restore()
    assert len(starts(harness.exchange(worker))) == 4


@pytest.mark.parametrize(
    ("seconds", "answered"),
    [(0.0, True), (10.0, True), (16.5, True), (17.5, False), (100.0, False)],
)
def test_workers_are_answered_only_until_the_hold_ends(
    harness: LeaderHarness, seconds: float, answered: bool
) -> None:
    worker = harness.ready_worker()
    harness.later(seconds, renewed=False)
    assert (harness.leader.on_heartbeat(worker.heartbeat()) is not None) is answered


def test_a_heartbeat_with_a_token_of_a_later_term_ends_the_term(harness: LeaderHarness) -> None:
    worker = harness.worker()
    worker.token = fencing_token(TermNumber(6))
    assert harness.leader.on_heartbeat(worker.heartbeat()) is None
    assert harness.end_reasons == ["overruled"]


def test_only_a_later_heartbeat_resolves_a_sent_start(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.accept(task_count=1)
    harness.place()
    answer = harness.leader.on_heartbeat(worker.heartbeat())  # this response is lost
    assert answer is not None
    assert len(starts(answer.commands)) == 1
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)  # the answer to /orders does not show the task
    assert list(harness.assignments().values()) == [TaskPhase.SENT]
    harness.leader.scheduler.run_cycle()
    assert list(harness.assignments().values()) == [TaskPhase.SENT]
    # A later heartbeat without the task shows that the start was lost.
    assert not starts(harness.exchange(worker))
    assert harness.assignments() == {}


def test_an_early_heartbeat_request_raises_the_token_of_all_later_responses(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    contacted: list[str] = []
    direct_messages = harness.leader.direct_messages
    direct_messages.schedule = lambda machine: contacted.append(machine.id)  # type: ignore[method-assign]
    harness.accept(task_count=2)
    harness.place()
    assert contacted == [worker.name]
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)
    assert worker.token == fencing_token(TermNumber(5), 1)
    # The worker would drop a response with a lower token.
    assert len(starts(harness.exchange(worker))) == 2
    harness.accept("run-2", task_count=1)
    harness.place()
    assert contacted == [worker.name]  # a start is in flight, and half a lease has not passed
    harness.new_leader(6)
    answer = harness.leader.on_heartbeat(worker.heartbeat())
    assert answer is not None
    assert answer.token > worker.token


def test_a_new_incarnation_in_an_answer_to_orders_drops_a_sent_start(
    harness: LeaderHarness,
) -> None:
    """The worker drops responses to heartbeats of an earlier incarnation."""
    worker = harness.ready_worker()
    harness.accept(task_count=1)
    harness.place()
    assert harness.leader.on_heartbeat(worker.heartbeat()) is not None  # response lost
    worker.incarnation += 1
    harness.leader.direct_messages.send(
        harness.leader.term.cluster.machines[MachineId(worker.name)]
    )
    assert harness.assignments() == {}


def test_the_response_to_a_late_heartbeat_has_no_starts(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    late = worker.heartbeat()
    harness.exchange(worker)
    harness.accept(task_count=1)
    harness.place()
    answer = harness.leader.on_heartbeat(late)
    assert answer is not None
    assert not starts(answer.commands)
    assert list(harness.assignments().values()) == [TaskPhase.PLANNED]


def test_a_new_incarnation_drops_all_assignments(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=1)
    harness.exchange(worker)
    assert list(harness.assignments().values()) == [TaskPhase.RUNNING]
    worker.incarnation += 1
    worker.sequence = 0
    worker.tasks.clear()
    harness.exchange(worker)
    assert harness.assignments() == {}


def test_attempt_numbers_are_not_repeated_after_a_failover(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=1)
    [(_, first)] = worker.tasks
    harness.new_leader(6)
    worker.tasks.clear()
    harness.ready(worker)
    harness.place()
    harness.exchange(worker)
    [(_, second)] = worker.tasks
    assert second > first


def test_a_successor_rebuilds_its_state_from_heartbeats(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=3)
    harness.exchange(worker)
    harness.new_leader(6)
    assert not harness.leader.scheduler.check_reconciled()  # a recorded machine has not been heard
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)  # the handshake
    assert machine.acknowledged_term
    assert worker.token == fencing_token(TermNumber(6))
    assert harness.leader.scheduler.check_reconciled()
    harness.leader.scheduler.run_cycle()
    live_job = harness.leader.term.job_table.get(job)
    assert live_job is not None
    assert live_job.shortfall == 0
    assert len(harness.assignments()) == 3


@pytest.mark.parametrize(
    ("changes", "unblocked_after_s"),
    [({}, None), ({"machine_types": ["g4"]}, 0.0)],
)
def test_tasks_that_an_unheard_machine_may_hold_stay_blocked(
    harness: LeaderHarness, changes: dict[str, Any], unblocked_after_s: float | None
) -> None:
    silent, heard = harness.worker("i-000001"), harness.worker("i-000002", machine_type="g4")
    harness.ready(silent, heard)
    harness.accept("run-1", task_count=1, **changes)
    harness.new_leader(6)
    harness.exchange(heard)
    harness.exchange(heard)
    harness.later(policy().gather_s)
    harness.exchange(heard)
    new_job = harness.accept("run-2", task_count=1, machine_types=["g4"])
    harness.place()
    placed = set(harness.assignments("i-000002"))
    assert f"{new_job}/0" in placed  # accepted after the failover: no machine holds it
    assert ("run-1/0" in placed) is (unblocked_after_s is not None)
    leases_expire_after_s = policy().hold_s + settings().params.workers.lease_s
    harness.later(leases_expire_after_s - policy().gather_s - 0.5)
    harness.exchange(heard)
    harness.leader.term.cluster.expire_leases(harness.clock())
    harness.leader.scheduler.run_cycle()
    assert ("run-1/0" in harness.assignments("i-000002")) is (unblocked_after_s is not None)
    harness.later(3.0)
    harness.exchange(heard)
    # The earlier leader's hold and a worker lease have ended.
    harness.leader.term.cluster.expire_leases(harness.clock())
    harness.leader.scheduler.run_cycle()
    assert "run-1/0" in harness.assignments("i-000002")


def test_a_confirmed_release_unblocks_tasks_at_once(harness: LeaderHarness) -> None:
    silent, heard = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(silent, heard)
    harness.accept("run-1", task_count=1)
    harness.new_leader(6)
    harness.exchange(heard)
    harness.exchange(heard)
    harness.later(policy().silence_s + 1.0)
    harness.exchange(heard)
    harness.leader.autoscaler.releaser.release(
        harness.leader.autoscaler.unhealthy_machines(harness.clock())
    )
    assert harness.cloud.released == ["i-000001"]
    harness.place()
    assert harness.assignments("i-000002") == {"run-1/0": TaskPhase.PLANNED}
    # A late heartbeat of a released machine is not answered.
    assert harness.leader.on_heartbeat(silent.heartbeat()) is None


def test_a_late_transaction_of_an_earlier_term_is_rejected(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    old_leader = harness.leader
    harness.finish_tasks(worker)
    harness.new_leader(6)
    old_leader.writer.write_once()
    assert harness.store.get(final_key(job)) is None
    assert harness.end_reasons == ["fenced"]


@pytest.mark.parametrize("cancel_first", [True, False])
def test_a_job_is_either_cancelled_or_done(harness: LeaderHarness, cancel_first: bool) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    harness.finish_tasks(worker)
    entry = harness.store.get(live_key(job))
    assert entry is not None
    record = msgspec.json.decode(entry.data, type=JobRecord)
    record.cancelled = True
    cancel_txn: tuple[Any, Any] = (
        {live_key(job): KeyVersion(entry.key_version)},
        [Put(live_key(job), record)],
    )
    if cancel_first:
        # Written by another node, and not yet seen by the leader.
        assert harness.store.txn(*cancel_txn).ok
        harness.write()
        assert harness.final_states == {job: "cancelled"}
    else:
        harness.write()
        assert not harness.store.txn(*cancel_txn).ok
        assert harness.final_states == {job: "done"}


def test_a_lost_response_to_the_final_write_is_resolved(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    harness.finish_tasks(worker)
    harness.store.lose_answers = True
    with pytest.raises(StoreUnavailableError):
        harness.leader.writer.write_once()
    # The write may have been applied, so only the store knows the job's status now.
    assert harness.leader.job_status(job) is None
    harness.store.lose_answers = False
    harness.write()
    assert harness.final_states == {job: "done"}


def test_no_job_status_is_answered_without_the_lease(harness: LeaderHarness) -> None:
    job = harness.accept()
    assert harness.leader.job_status(job) is not None
    harness.later(3.1, renewed=False)
    assert harness.leader.job_status(job) is None


def test_a_cancelled_job_is_halted_and_not_started_again(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=12)
    assert harness.leader.apply_cancel(job)
    entry = harness.store.get(live_key(job))
    assert entry is not None
    record = msgspec.json.decode(entry.data, type=JobRecord)
    record.cancelled = True
    harness.store.txn({}, [Put(live_key(job), record)])
    entry = harness.store.get(live_key(job))
    assert entry is not None
    harness.leader.job_watcher.apply_record(entry.key, entry.data, KeyVersion(entry.key_version))
    assert verbs(harness.exchange(worker)) == ["halt"] * 8
    harness.exchange(worker)
    harness.place()
    assert not starts(harness.exchange(worker))
    assert harness.assignments() == {}
    harness.write()
    assert harness.final_states == {job: "cancelled"}


def test_a_reported_task_of_an_unknown_job_is_halted(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    worker.tasks[("run-77/0", 3)] = ReportedTask("run-77/0", 3, "running")
    assert verbs(harness.exchange(worker)) == ["halt"]


def test_all_members_of_a_gang_and_their_replacements_have_one_attempt_number(
    harness: LeaderHarness,
) -> None:
    workers = [harness.worker(f"i-{n:06d}") for n in range(1, 4)]
    harness.ready(*workers)
    job = harness.accept(task_count=2, shape="group", cpus=30.0)
    harness.place()
    for worker in workers:
        harness.exchange(worker)
        for key, reported in worker.tasks.items():
            worker.tasks[key] = ReportedTask(
                reported.task_id, reported.attempt, TaskPhase.GATHERING
            )
    attempts = {attempt for worker in workers for _, attempt in worker.tasks}
    assert len(attempts) == 1
    for worker in workers:
        harness.exchange(worker)
    lost = next(worker for worker in workers if worker.tasks)
    lost.tasks.clear()
    lost.incarnation += 1
    harness.exchange(lost)
    harness.place()
    for worker in workers:
        harness.exchange(worker)
    attempts_after_loss = {attempt for worker in workers for _, attempt in worker.tasks}
    assert attempts_after_loss == attempts
    assert sum(len(worker.tasks) for worker in workers) == 2
    live_job = harness.leader.term.job_table.get(job)
    assert live_job is not None
    assert live_job.shortfall == 0


def test_a_running_gang_that_lost_a_task_is_stopped_before_its_next_attempt(
    harness: LeaderHarness,
) -> None:
    workers = [harness.worker(f"i-{n:06d}") for n in range(1, 4)]
    harness.ready(*workers)
    harness.accept(task_count=2, shape="group", cpus=30.0)
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    lost, remaining = [worker for worker in workers if worker.tasks]
    old_attempts = {attempt for _, attempt in remaining.tasks}
    lost.tasks.clear()
    lost.incarnation += 1
    harness.exchange(lost)
    harness.place()
    for worker in workers:
        assert not starts(harness.exchange(worker))  # the remaining task must end first
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    for worker in workers:
        harness.exchange(worker)
    new_attempts = {attempt for worker in workers for _, attempt in worker.tasks}
    assert len(new_attempts) == 1
    assert new_attempts != old_attempts


def test_a_spot_termination_notice_moves_tasks_to_other_machines(harness: LeaderHarness) -> None:
    spot_worker, other_worker = harness.worker("i-000001", spot=True), harness.worker("i-000002")
    harness.ready(spot_worker)
    harness.accept(task_count=1, spot=True, checkpoint_s=10.0, save_s=4.0, estimated_s=500.0)
    harness.place()
    harness.exchange(spot_worker)
    harness.exchange(spot_worker)
    spot_worker.notice_s = 10.0
    [halt] = harness.exchange(spot_worker)
    assert halt.verb == "halt"
    assert halt.grace_s == 4.0
    harness.ready(other_worker)
    harness.exchange(spot_worker)
    harness.place()
    assert harness.assignments("i-000001") == {}
    assert len(harness.assignments("i-000002")) == 1


def test_a_job_gets_new_tasks_only_after_its_finished_ones_are_written(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=12)
    harness.exchange(worker)
    harness.finish_tasks(worker)
    harness.place()
    assert harness.assignments() == {}
    harness.write()
    harness.place()
    assert len(harness.assignments()) == 4


def test_finished_tasks_are_not_run_again_by_a_successor(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=12)
    harness.finish_tasks(worker)
    harness.write()
    harness.new_leader(6)
    live_job = harness.leader.term.job_table.get(job)
    assert live_job is not None
    assert (live_job.done_count, live_job.shortfall) == (8, 4)


def test_a_successor_receives_the_image_locality_of_its_predecessor(harness: LeaderHarness) -> None:
    """In rolling restarts, each new leader knew only a few of the warm machines.

    It fetched images again, or waited for those few machines.
    """
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=1, image="img-7", image_gb=2.0)
    harness.exchange(worker)
    sent = harness.leader.image_locality()
    sent.machines["i-000999"] = [0]  # a machine that no longer exists
    sent.machines[worker.name].append(5)  # an index out of range
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=ImageLocality)
    leader = harness.new_leader(6, received)
    assert leader.term.cluster.machines[MachineId(worker.name)].warmth("img-7") == WARM
    assert leader.term.cluster.machines[MachineId(worker.name)].warmth("img-8") == COLD
    assert MachineId("i-000999") not in leader.term.cluster.machines


def test_only_one_of_two_candidates_is_elected(harness: LeaderHarness) -> None:
    store: Any = harness.store
    election = read_election_record(store)
    first = campaign(store, election, ProcessIdentity(NodeName("n-0"), "b0"), 3.0, 15.0)
    second = campaign(store, election, ProcessIdentity(NodeName("n-1"), "b1"), 3.0, 15.0)
    assert first is not None
    assert second is None
    assert first.term == 6
    election_after = read_election_record(store)
    assert election_after.holder is not None
    assert election_after.holder.node == "n-0"
    harness.store.expire(first.lease)
    third = campaign(
        store, read_election_record(store), ProcessIdentity(NodeName("n-1"), "b1"), 3.0, 15.0
    )
    assert third is not None
    assert third.term == 7


def test_machine_records_hold_what_a_successor_needs(harness: LeaderHarness) -> None:
    worker = harness.worker(spot=True, zone="b")
    harness.ready(worker)
    [entry] = harness.store.listing(MACHINE_PREFIX)[0]
    records = msgspec.json.decode(entry.data, type=dict[str, MachineRecord])
    address = worker.heartbeat().address
    assert records == {worker.name: MachineRecord("c32", "b", True, address, True)}
