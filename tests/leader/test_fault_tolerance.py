"""Faults seen in large deployments: lost responses, stale copies of messages, restarts, stalls.

Each test fails if the safeguard that it covers is removed.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest
from support.fakes import FakeWorker, policy, settings
from support.harness import LeaderHarness, starts, verbs

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.clients.http_client import Reply
from ryewing.clients.store import Store, StoreUnavailableError
from ryewing.election.campaign import campaign, may_campaign
from ryewing.election.election_record import read_election_record
from ryewing.election.identity import ProcessIdentity
from ryewing.leader.commands import MAX_COMMANDS
from ryewing.state.attempts import TaskPhase
from ryewing.units import JobId, MachineId, NodeName, TermNumber, fencing_token
from ryewing.wire.cloud import RentalRequest
from ryewing.wire.workers import Heartbeat, ReportedTask

LEASE_S = settings().params.workers.lease_s
REPORT_S = settings().params.workers.report_s


def heartbeat_with_lost_response(harness: LeaderHarness, worker: FakeWorker) -> None:
    """Deliver a heartbeat whose response is lost."""
    harness.leader.on_heartbeat(worker.heartbeat())


def rounds_with_starts(harness: LeaderHarness, worker: FakeWorker, rounds: int) -> int:
    """Run rounds in which each response is lost; return in how many of them starts were sent."""
    count = 0
    for _ in range(rounds):
        harness.later(REPORT_S)
        harness.place()
        answer = harness.leader.on_heartbeat(worker.heartbeat())
        count += answer is not None and bool(starts(answer.commands))
    return count


def test_a_machine_that_does_not_acknowledge_its_token_gets_no_more_work(
    harness: LeaderHarness,
) -> None:
    """A machine whose responses were lost was given tasks again after every heartbeat."""
    suspect = harness.ready_worker()
    harness.accept(task_count=4)
    assert rounds_with_starts(harness, suspect, 12) == 1
    assert harness.assignments() == {}
    machine = harness.leader.term.cluster.machines[MachineId(suspect.name)]
    assert not machine.is_schedulable()
    assert machine.unacknowledged_since is not None
    # It counts neither as capacity nor as booting: a replacement is rented.
    harness.place()
    harness.leader.autoscaler.scale_out()
    assert len(harness.cloud.requests) == 1
    # Once a heartbeat shows the raised token, the machine gets work again.
    harness.exchange(suspect)
    harness.exchange(suspect)
    harness.place()
    assert len(starts(harness.exchange(suspect))) == 4


def test_a_worker_in_a_new_incarnation_gets_no_work_until_it_acknowledges_a_raised_token(
    harness: LeaderHarness,
) -> None:
    suspect = harness.ready_worker()
    suspect.incarnation += 1
    harness.accept(task_count=1)
    heartbeat_with_lost_response(harness, suspect)
    harness.place()
    assert harness.assignments() == {}
    harness.exchange(suspect)  # the worker receives the raised token
    harness.exchange(suspect)  # and acknowledges it
    harness.place()
    assert len(starts(harness.exchange(suspect))) == 1


def test_a_machine_without_a_handshake_is_not_counted_as_booting(harness: LeaderHarness) -> None:
    suspect = harness.worker()
    for _ in range(3):
        heartbeat_with_lost_response(harness, suspect)
        harness.write()
        harness.later(policy().gather_s / 2)
    harness.accept(task_count=8)
    harness.place()
    harness.leader.autoscaler.scale_out()
    assert len(harness.cloud.requests) == 1


@pytest.mark.parametrize(("unacknowledging", "released"), [(1, 1), (2, 2), (6, 0)])
def test_unacknowledging_machines_are_released_unless_there_are_many(
    harness: LeaderHarness, unacknowledging: int, released: int
) -> None:
    """Many at once may mean that the leader's own responses are lost."""
    workers = harness.ready_workers(9)
    harness.accept(task_count=72)
    harness.place()
    for _ in range(int(LEASE_S / REPORT_S) + 4):
        harness.later(REPORT_S)
        for number, worker in enumerate(workers):
            if number < unacknowledging:
                heartbeat_with_lost_response(harness, worker)
            else:
                harness.exchange(worker)
    releases = harness.leader.autoscaler.unhealthy_machines(harness.clock())
    assert [reason for _machine, reason in releases] == ["unacknowledging"] * released


@pytest.mark.parametrize("age_s", [1.0, 5.0, LEASE_S + 1.0, 3 * LEASE_S])
@pytest.mark.parametrize("alive", [True, False])
@pytest.mark.parametrize("copies", ["older", "newest"])
def test_stale_heartbeat_copies_change_nothing_at_the_same_leader(
    harness: LeaderHarness, age_s: float, alive: bool, copies: str
) -> None:
    """Late copies must renew no lease, resolve no sent start and restore no expired task."""
    worker = harness.ready_worker()
    older = worker.heartbeat()
    harness.leader.on_heartbeat(older)
    harness.start_job(worker, task_count=2)
    newest = worker.heartbeat()
    harness.leader.on_heartbeat(newest)
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    heard_at, expires_by = machine.heard_at, machine.lease_expires_by
    assert heard_at is not None
    assert expires_by is not None
    harness.later(age_s)
    if alive:
        harness.exchange(worker)
        heard_at, expires_by = machine.heard_at, machine.lease_expires_by
    harness.leader.term.cluster.expire_leases(harness.clock())
    expired = not alive and age_s > LEASE_S
    duplicate = copy.deepcopy(older if copies == "older" else newest)
    for _ in range(3):
        answer = harness.leader.on_heartbeat(duplicate)
        assert answer is None or not starts(answer.commands)
    assert machine.heard_at == heard_at
    if not alive and age_s > 4.5:
        assert answer is None
        assert machine.lease_expires_by == (None if expired else expires_by)
    assert sorted(harness.assignments().values()) == (
        [] if expired else [TaskPhase.RUNNING, TaskPhase.RUNNING]
    )
    assert machine.acknowledged_term


def test_a_delayed_newest_heartbeat_does_not_restore_an_expired_machine(
    harness: LeaderHarness,
) -> None:
    """The last heartbeat of a lost machine arrives after the machine's lease has expired."""
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=2)
    harness.exchange(worker)
    delayed = worker.heartbeat()
    harness.later(LEASE_S + 1.0)
    harness.leader.term.cluster.expire_leases(harness.clock())
    assert harness.assignments() == {}
    assert harness.leader.on_heartbeat(delayed) is None
    assert harness.assignments() == {}
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    assert machine.lease_expires_by is None
    worker.incarnation += 1  # the worker itself returns in a new incarnation
    worker.tasks.clear()
    assert harness.leader.on_heartbeat(worker.heartbeat()) is not None


def test_heartbeat_copies_do_not_resolve_a_sent_start(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.accept(task_count=1)
    harness.place()
    before = worker.heartbeat()
    harness.leader.on_heartbeat(before)
    [phase] = harness.assignments().values()
    assert phase == TaskPhase.SENT
    for delay_s in (1.0, 6.0):
        harness.later(delay_s)
        harness.leader.on_heartbeat(copy.deepcopy(before))
        assert list(harness.assignments().values()) == [TaskPhase.SENT]


def test_heartbeat_copies_at_the_next_leader_bring_no_work_and_count_only_for_one_lease(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    stale = worker.heartbeat()
    harness.new_leader(6)
    assert harness.leader.on_heartbeat(stale) is not None  # it may come from the worker itself
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    assert not machine.acknowledged_term
    assert not machine.is_schedulable()
    live_job = harness.leader.term.job_table.get(job)
    assert live_job is not None
    assert live_job.shortfall == 0
    for _ in range(4):
        harness.later(6.0)
        assert harness.leader.on_heartbeat(copy.deepcopy(stale)) is None
    leases_expire_after_s = policy().hold_s + LEASE_S
    harness.later(leases_expire_after_s)
    harness.leader.term.cluster.expire_leases(harness.clock())
    assert live_job.shortfall == 1  # the lease has expired, so the task can be placed again
    assert harness.leader.on_heartbeat(copy.deepcopy(stale)) is None
    assert live_job.shortfall == 1


def test_heartbeat_copies_of_an_unknown_machine_are_ignored(harness: LeaderHarness) -> None:
    """An unrecorded machine can't hold the reported tasks, so no job waits for its lease to expire.

    Only the worker itself can show this term's token; then the machine is added with its tasks.
    """
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    stale = worker.heartbeat()
    harness.leader.writer.machine_records.pages.drop(MachineId(worker.name))
    harness.write()
    harness.new_leader(6)
    for _ in range(4):
        answer = harness.leader.on_heartbeat(copy.deepcopy(stale))
        assert answer is None or not answer.commands
        assert not harness.leader.term.cluster.machines
        live_job = harness.leader.term.job_table.get(job)
        assert live_job is not None
        assert live_job.shortfall == 1
        harness.write()
        assert not harness.leader.writer.machine_records.pending
        harness.later(6.0)
    harness.exchange(worker)
    harness.exchange(worker)
    assert live_job is not None
    assert live_job.shortfall == 0
    assert MachineId(worker.name) in harness.leader.term.cluster.machines


def test_a_restarted_worker_is_detected_by_its_answer_to_a_direct_message(
    harness: LeaderHarness,
) -> None:
    """A quick restart resets a worker's counters, so its heartbeats looked like old copies."""
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=2)
    for _ in range(5):
        harness.exchange(worker)
    old = worker.heartbeat()
    harness.leader.on_heartbeat(old)
    worker.incarnation, worker.sequence, worker.token = 1, 0, 0
    worker.tasks.clear()
    harness.later(0.3)
    harness.leader.on_heartbeat(worker.heartbeat())
    assert len(harness.assignments()) == 2  # the heartbeat was treated as an old copy
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)
    assert harness.assignments() == {}
    assert machine.acknowledged_term
    harness.leader.on_heartbeat(copy.deepcopy(old))  # a late copy from before the restart
    harness.leader.direct_messages.send(machine)
    assert harness.assignments() == {}
    harness.place()
    assert list(harness.assignments().values()) == [TaskPhase.PLANNED, TaskPhase.PLANNED]


def test_a_direct_answer_overtaken_by_a_heartbeat_does_not_count_as_a_restart(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=2)
    harness.exchange(worker)
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]

    class OvertakenAnswer:
        """Lets the worker's next heartbeat arrive before its answer to the direct message."""

        def send(self, *_args: object) -> Heartbeat:
            answer = worker.heartbeat()
            harness.exchange(worker)
            return answer

    harness.leader.direct_messages.workers = OvertakenAnswer()  # type: ignore[assignment]
    harness.leader.direct_messages.send(machine)
    assert list(harness.assignments().values()) == [TaskPhase.RUNNING, TaskPhase.RUNNING]


@pytest.mark.parametrize(
    ("isolated_s", "starts_work", "answers"),
    [(1.0, True, True), (3.5, False, True), (16.0, False, True), (18.0, False, False)],
)
def test_a_leader_that_reaches_only_workers_stops_starts_first_and_responses_later(
    harness: LeaderHarness, isolated_s: float, starts_work: bool, answers: bool
) -> None:
    """Starts end when the leader's lease expires, and responses when the hold ends."""
    worker = harness.ready_worker()
    job = harness.accept(task_count=1)
    harness.place()
    harness.later(isolated_s, renewed=False)
    heartbeat = worker.heartbeat()
    answer = harness.leader.on_heartbeat(heartbeat)
    assert (answer is not None) is answers
    assert bool(answer and starts(answer.commands)) is starts_work
    # Without the lease, the status in memory may differ from the one in the store.
    assert (harness.leader.job_status(job) is not None) is starts_work


def test_an_isolated_controller_probes_the_store_in_the_background(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A submission that probes the store itself is delayed.

    With partitioned controllers, one submission waited for a second every two seconds.
    """
    spawned: list[Callable[[], None]] = []
    monkeypatch.setattr("ryewing.clients.store.peer_fallback.gevent.spawn", spawned.append)
    monkeypatch.setattr("ryewing.clients.store.peer_fallback.gevent.sleep", lambda _seconds: None)
    store = Store(("127.0.0.1", 1), settings().params.state)
    direct_results: list[bool] = []
    remaining_results = [False] * 4 + [True] * 9

    def scripted_request(
        _method: str, _path: str, _body: bytes | None, _deadline_s: float = 1.0
    ) -> Reply:
        direct_results.append(remaining_results.pop(0))
        if not direct_results[-1]:
            raise StoreUnavailableError("unreachable")
        return Reply(404, b"{}")

    monkeypatch.setattr(store, "request_direct", scripted_request)
    store.relay = lambda _method, _path, _body: Reply(404, b"{}")
    for _ in range(20):
        assert store.get("f/run-1") is None
    assert direct_results == [False]
    assert len(spawned) == 1
    spawned[0]()  # the greenlet, which probes until the store answers
    assert direct_results == [False] * 4 + [True]
    store.get("f/run-1")
    assert direct_results[-2:] == [True, True]


def test_requests_get_the_full_deadline_if_the_store_is_slow_for_all_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With responses after 0.65 s, above the short deadline, no job was accepted for 50 s."""
    store = Store(("127.0.0.1", 1), settings().params.state)

    def slow_request(
        _method: str, _path: str, _body: bytes | None, deadline_s: float = 1.0
    ) -> Reply:
        if deadline_s < 0.65:
            raise StoreUnavailableError("deadline")
        return Reply(404, b"{}")

    monkeypatch.setattr(store, "request_direct", slow_request)
    store.relay = lambda _method, _path, _body: None  # no peer gets a response in time either
    with pytest.raises(StoreUnavailableError):
        store.get("f/run-1")
    assert [store.get("f/run-1") for _ in range(5)] == [None] * 5


@pytest.mark.parametrize("action", ["start", "rent", "repeat", "release", "poll", "halt"])
def test_actions_decided_before_a_stall_are_not_sent_after_it(
    harness: LeaderHarness, action: str
) -> None:
    """While a process is stalled, its lease may expire, and a successor may decide otherwise."""
    worker = harness.ready_worker()
    job = harness.accept(task_count=4)
    harness.place()
    leader = harness.leader
    machine = leader.term.cluster.machines[MachineId(worker.name)]
    if action == "halt":
        harness.exchange(worker)
        leader.job_watcher.apply_cancel(job)  # a halt for each task, to be sent by direct message
    harness.later(policy().hold_s + 1.0 if action == "halt" else 5.0, renewed=False)
    if action == "start":
        answer = leader.on_heartbeat(worker.heartbeat())
        assert answer is not None
        assert not starts(answer.commands)
    elif action == "rent":
        leader.autoscaler.rentals.send(RentalRequest("r-5-9", "c32", "a", False, 1))
        assert not harness.cloud.requests
    elif action == "repeat":
        leader.autoscaler.rentals.pending["r-4-1"] = RentalRequest("r-4-1", "c32", "a", False, 1)
        leader.autoscaler.rentals.send(leader.autoscaler.rentals.pending["r-4-1"])
        assert not harness.cloud.requests
        assert "r-4-1" in leader.autoscaler.rentals.pending
    elif action == "release":
        leader.autoscaler.releaser.release([Release(machine, ReleaseReason.IDLE)])
        assert not harness.cloud.released
        assert not machine.being_released
    elif action == "poll":
        assert leader.job_status(job) is None
    else:
        leader.direct_messages.send(machine)
        assert not leader.direct_messages.workers.sent  # type: ignore[attr-defined]
        harness.later(0.0)
        leader.direct_messages.send(machine)  # sent, since the lease is valid again
        assert len(leader.direct_messages.workers.sent) == 4  # type: ignore[attr-defined]


def test_a_worker_that_has_seen_a_later_term_ends_the_old_term(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    old_leader = harness.leader
    harness.later(5.0, renewed=False)
    harness.new_leader(6)
    harness.exchange(worker)
    harness.exchange(worker)
    assert worker.token >= fencing_token(TermNumber(6))
    assert old_leader.on_heartbeat(worker.heartbeat()) is None
    assert "overruled" in harness.end_reasons


def test_late_campaign_copies_change_nothing_after_a_restart_during_an_election(
    harness: LeaderHarness,
) -> None:
    """The copies are of the campaign before the restart and of the winning one after it."""
    store: Any = harness.store
    sent: list[tuple[Any, Any]] = []
    original_txn = store.txn

    def recording_txn(conditions: Any, writes: Any) -> Any:
        sent.append((dict(conditions), list(writes)))
        if len(sent) == 1:
            raise StoreUnavailableError("the process ended before the answer")
        return original_txn(conditions, writes)

    store.txn = recording_txn
    node = NodeName("n-0")
    with pytest.raises(StoreUnavailableError):
        campaign(store, read_election_record(store), ProcessIdentity(node, "before"), 3.0, 15.0)
    won = campaign(store, read_election_record(store), ProcessIdentity(node, "after"), 3.0, 15.0)
    assert won is not None
    for conditions, writes in [*sent, *sent]:
        assert not original_txn(conditions, writes).ok
    election = read_election_record(store)
    assert election.holder is not None
    assert (election.holder.boot_id, election.term) == ("after", won.term)
    assert not may_campaign(election, ProcessIdentity(node, "after"))
    assert may_campaign(election, ProcessIdentity(node, "again"))


@pytest.mark.parametrize("old_first", [True, False])
@pytest.mark.parametrize("cancelled", [True, False])
def test_a_task_reported_by_two_machines_ends_once_neither_machine_has_it(
    harness: LeaderHarness, old_first: bool, cancelled: bool
) -> None:
    """One of the two heartbeats was delayed until a new term began; only later ones show which."""
    old_worker, running_worker = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(old_worker, running_worker)
    job = harness.accept(task_count=1)
    delayed = old_worker.heartbeat()
    delayed.tasks = [ReportedTask(f"{job}/0", 3, "running")]
    running_worker.tasks[f"{job}/0", 9] = ReportedTask(f"{job}/0", 9, "running")
    harness.new_leader(6)
    heartbeats = [delayed, running_worker.heartbeat()]
    for heartbeat in heartbeats if old_first else reversed(heartbeats):
        assert harness.leader.on_heartbeat(heartbeat) is not None
    live_job = harness.leader.term.job_table.get(job)
    assert live_job is not None
    assert live_job.shortfall == 0
    if cancelled:
        harness.leader.apply_cancel(job)
        harness.leader.direct_messages.send(
            harness.leader.term.cluster.machines[MachineId(running_worker.name)]
        )
        # Stopped by the halt in the direct message.
        assert [reported.status for reported in running_worker.tasks.values()] == ["ended"]
    # The handshake shows which tasks each worker has.
    for worker in (old_worker, running_worker, old_worker, running_worker):
        harness.exchange(worker)
    harness.place()
    for worker in (old_worker, running_worker):
        assert not starts(harness.exchange(worker))
    assert live_job.shortfall == 0
    assert len(running_worker.tasks) == (0 if cancelled else 1)
    if not cancelled:
        harness.finish_tasks(running_worker)
    harness.exchange(running_worker)
    harness.write()
    assert harness.final_states == {job: "cancelled" if cancelled else "done"}


def test_a_heartbeat_after_the_final_state_leaves_nothing_to_write(harness: LeaderHarness) -> None:
    """The term ended when the second machine stopped reporting the task after the job had ended."""
    old_worker, running_worker = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(old_worker, running_worker)
    job = harness.accept(task_count=1)
    old_worker.tasks[f"{job}/0", 3] = ReportedTask(f"{job}/0", 3, "running")
    running_worker.tasks[f"{job}/0", 9] = ReportedTask(f"{job}/0", 9, "running")
    for worker in (old_worker, running_worker):
        harness.exchange(worker)
    harness.finish_tasks(running_worker)
    harness.write()
    assert harness.final_states == {job: "done"}
    old_worker.tasks.clear()
    harness.exchange(old_worker)
    harness.write()
    assert not harness.leader.term.job_table.dirty
    assert not harness.end_reasons


def test_halts_come_before_clears_of_ended_tasks(harness: LeaderHarness) -> None:
    """A response holds at most `MAX_COMMANDS` commands; halts of cancelled tasks go first."""
    worker = harness.ready_worker()
    harness.start_job(worker, "run-1", task_count=1)
    for number in range(MAX_COMMANDS + 50):
        key = f"run-9/{number}"
        worker.tasks[key, 1] = ReportedTask(key, 1, "ended", "stopped")
    harness.exchange(worker)
    for number in range(MAX_COMMANDS + 50):
        key = f"run-9/{number}"
        worker.tasks[key, 2] = ReportedTask(key, 2, "ended", "stopped")
    harness.leader.apply_cancel(JobId("run-1"))
    assert "halt" in verbs(harness.exchange(worker))
