"""Faults seen in large deployments: lost responses, old copies of messages, restarts, stand-stills.

Each test fails without the guard that it names.
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


def unanswered(harness: LeaderHarness, worker: FakeWorker) -> None:
    """Deliver a heartbeat whose response is lost."""
    harness.leader.on_heartbeat(worker.heartbeat())


def placed_in_rounds(harness: LeaderHarness, worker: FakeWorker, rounds: int) -> int:
    """Count the rounds in which a machine whose answers are lost was given starts."""
    given = 0
    for _ in range(rounds):
        harness.later(REPORT_S)
        harness.place()
        answer = harness.leader.on_heartbeat(worker.heartbeat())
        given += answer is not None and bool(starts(answer.commands))
    return given


def test_a_machine_that_does_not_acknowledge_gets_no_more_work(harness: LeaderHarness) -> None:
    """Heartbeats arrive, answers don't: it was refilled after every heartbeat, for ever."""
    suspect = harness.ready_worker()
    harness.accept(task_count=4)
    assert placed_in_rounds(harness, suspect, 12) == 1
    assert harness.assignments() == {}
    machine = harness.leader.term.cluster.machines[MachineId(suspect.name)]
    assert not machine.is_schedulable()
    assert machine.unacknowledged_since is not None
    # It is neither room nor on its way to be room: something is rented in its place.
    harness.place()
    harness.leader.autoscaler.scale_out()
    assert len(harness.cloud.requests) == 1
    # Once it is seen to hear, by a message that shows the new token, it gets work again.
    harness.exchange(suspect)
    harness.exchange(suspect)
    harness.place()
    assert len(starts(harness.exchange(suspect))) == 4


def test_an_incarnation_that_rises_although_it_was_answered_is_suspect(
    harness: LeaderHarness,
) -> None:
    suspect = harness.ready_worker()
    suspect.incarnation += 1
    harness.accept(task_count=1)
    unanswered(harness, suspect)
    harness.place()
    assert harness.assignments() == {}
    harness.exchange(suspect)  # it hears this
    harness.exchange(suspect)  # and shows it
    harness.place()
    assert len(starts(harness.exchange(suspect))) == 1


def test_a_machine_that_never_shook_hands_is_not_counted_as_booting(harness: LeaderHarness) -> None:
    suspect = harness.worker()
    for _ in range(3):
        unanswered(harness, suspect)
        harness.write()
        harness.later(policy().gather_s / 2)
    harness.accept(task_count=8)
    harness.place()
    harness.leader.autoscaler.scale_out()
    assert len(harness.cloud.requests) == 1


@pytest.mark.parametrize(("unacknowledging", "released"), [(1, 1), (2, 2), (6, 0)])
def test_unacknowledging_machines_are_released_unless_many(
    harness: LeaderHarness, unacknowledging: int, released: int
) -> None:
    """Many at once may mean that it is our answers that are lost."""
    workers = harness.ready_workers(9)
    harness.accept(task_count=72)
    harness.place()
    for _ in range(int(LEASE_S / REPORT_S) + 4):
        harness.later(REPORT_S)
        for number, worker in enumerate(workers):
            if number < unacknowledging:
                unanswered(harness, worker)
            else:
                harness.exchange(worker)
    chosen = harness.leader.autoscaler.unhealthy_machines(harness.clock())
    assert [reason for _machine, reason in chosen] == ["unacknowledging"] * released


@pytest.mark.parametrize("age_s", [1.0, 5.0, LEASE_S + 1.0, 3 * LEASE_S])
@pytest.mark.parametrize("alive", [True, False])
@pytest.mark.parametrize("copies", ["older", "newest"])
def test_copies_of_heartbeats_prove_nothing_to_the_same_leader(
    harness: LeaderHarness, age_s: float, alive: bool, copies: str
) -> None:
    """Late copies must not renew, settle, or bring back what is gone."""
    worker = harness.ready_worker()
    older = worker.heartbeat()
    harness.leader.on_heartbeat(older)
    harness.start_job(worker, task_count=2)
    newest = worker.heartbeat()
    harness.leader.on_heartbeat(newest)
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    heard_at, until = machine.heard_at, machine.lease_expires_by
    assert heard_at is not None
    assert until is not None
    harness.later(age_s)
    if alive:
        harness.exchange(worker)
        heard_at, until = machine.heard_at, machine.lease_expires_by
    harness.leader.term.cluster.expire_leases(harness.clock())
    gone = not alive and age_s > LEASE_S
    copy_of = copy.deepcopy(older if copies == "older" else newest)
    for _ in range(3):
        answer = harness.leader.on_heartbeat(copy_of)
        assert answer is None or not starts(answer.commands)
    assert machine.heard_at == heard_at
    if not alive and age_s > 4.5:
        assert answer is None
        assert machine.lease_expires_by == (None if gone else until)
    assert sorted(harness.assignments().values()) == (
        [] if gone else [TaskPhase.RUNNING, TaskPhase.RUNNING]
    )
    assert machine.acknowledged_term


def test_a_held_back_heartbeat_newer_than_any_does_not_bring_back_a_machine(
    harness: LeaderHarness,
) -> None:
    """The last heartbeat of a machine that is gone, delivered well after its lease."""
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=2)
    harness.exchange(worker)
    held_back = worker.heartbeat()
    harness.later(LEASE_S + 1.0)
    harness.leader.term.cluster.expire_leases(harness.clock())
    assert harness.assignments() == {}
    assert harness.leader.on_heartbeat(held_back) is None
    assert harness.assignments() == {}
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    assert machine.lease_expires_by is None
    worker.incarnation += 1  # whereas the worker itself would come in a new incarnation
    worker.tasks.clear()
    assert harness.leader.on_heartbeat(worker.heartbeat()) is not None


def test_copies_settle_no_assumed_start(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.accept(task_count=1)
    harness.place()
    before = worker.heartbeat()
    harness.leader.on_heartbeat(before)
    [phase] = harness.assignments().values()
    assert phase == TaskPhase.SENT
    for late in (1.0, 6.0):
        harness.later(late)
        harness.leader.on_heartbeat(copy.deepcopy(before))
        assert list(harness.assignments().values()) == [TaskPhase.SENT]


def test_copies_at_the_next_leader_give_no_work_and_end_with_their_lease(
    harness: LeaderHarness,
) -> None:
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    late = worker.heartbeat()
    harness.new_leader(6)
    assert harness.leader.on_heartbeat(late) is not None  # it might be the worker itself
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    assert not machine.acknowledged_term
    assert not machine.is_schedulable()
    found = harness.leader.term.job_table.get(job)
    assert found is not None
    assert found.shortfall == 0
    for _ in range(4):
        harness.later(6.0)
        assert harness.leader.on_heartbeat(copy.deepcopy(late)) is None
    bound = policy().hold_s + LEASE_S
    harness.later(bound)
    harness.leader.term.cluster.expire_leases(harness.clock())
    assert found.shortfall == 1  # and no longer than it may
    assert harness.leader.on_heartbeat(copy.deepcopy(late)) is None
    assert found.shortfall == 1


def test_copies_in_the_name_of_an_unknown_machine_bring_nothing(harness: LeaderHarness) -> None:
    """It is not recorded, so it can't hold what they tell of: not even a lease's time is waited.

    Only the worker itself can show our token; then it is taken up with all that it has.
    """
    worker = harness.ready_worker()
    job = harness.start_job(worker, task_count=1)
    late = worker.heartbeat()
    harness.leader.writer.machine_records.pages.drop(MachineId(worker.name))
    harness.write()
    harness.new_leader(6)
    for _ in range(4):
        answer = harness.leader.on_heartbeat(copy.deepcopy(late))
        assert answer is None or not answer.commands
        assert not harness.leader.term.cluster.machines
        found = harness.leader.term.job_table.get(job)
        assert found is not None
        assert found.shortfall == 1
        harness.write()
        assert not harness.leader.writer.machine_records.pending
        harness.later(6.0)
    harness.exchange(worker)
    harness.exchange(worker)
    assert found is not None
    assert found.shortfall == 0
    assert MachineId(worker.name) in harness.leader.term.cluster.machines


def test_a_restarted_worker_is_told_by_its_direct_answer(harness: LeaderHarness) -> None:
    """Back within a fraction of a second it counts anew: its heartbeats looked like old copies."""
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
    assert len(harness.assignments()) == 2  # not believed yet
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)
    assert harness.assignments() == {}
    assert machine.acknowledged_term
    harness.leader.on_heartbeat(copy.deepcopy(old))  # a late copy from before
    harness.leader.direct_messages.send(machine)
    assert harness.assignments() == {}
    harness.place()
    assert list(harness.assignments().values()) == [TaskPhase.PLANNED, TaskPhase.PLANNED]


def test_a_direct_answer_overtaken_by_a_heartbeat_is_no_restart(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    harness.start_job(worker, task_count=2)
    harness.exchange(worker)
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]

    class Overtaken:
        """The heartbeat that follows the answer arrives before it."""

        def send(self, *_args: object) -> Heartbeat:
            answer = worker.heartbeat()
            harness.exchange(worker)
            return answer

    harness.leader.direct_messages.workers = Overtaken()  # type: ignore[assignment]
    harness.leader.direct_messages.send(machine)
    assert list(harness.assignments().values()) == [TaskPhase.RUNNING, TaskPhase.RUNNING]


@pytest.mark.parametrize(
    ("cut_s", "starts_work", "answers"),
    [(1.0, True, True), (3.5, False, True), (16.0, False, True), (18.0, False, False)],
)
def test_a_controller_that_reaches_workers_only_loses_its_rights_in_two_steps(
    harness: LeaderHarness, cut_s: float, starts_work: bool, answers: bool
) -> None:
    """Without store and peers: no starts after its lease, no answers after the hold."""
    worker = harness.ready_worker()
    job = harness.accept(task_count=1)
    harness.place()
    harness.later(cut_s, renewed=False)
    heartbeat = worker.heartbeat()
    answer = harness.leader.on_heartbeat(heartbeat)
    assert (answer is not None) is answers
    assert bool(answer and starts(answer.commands)) is starts_work
    # Nothing is told from memory that a reader of the store might contradict.
    assert (harness.leader.job_status(job) is not None) is starts_work


def test_a_node_alone_in_losing_the_store_makes_no_user_find_that_out_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found on a day with controllers apart: every two seconds one submission waited a second."""
    spawned: list[Callable[[], None]] = []
    monkeypatch.setattr("ryewing.clients.store.peer_fallback.gevent.spawn", spawned.append)
    monkeypatch.setattr("ryewing.clients.store.peer_fallback.gevent.sleep", lambda _seconds: None)
    store = Store(("127.0.0.1", 1), settings().params.state)
    direct: list[bool] = []
    answers = [False] * 4 + [True] * 9

    def raw(_method: str, _path: str, _body: bytes | None, _deadline_s: float = 1.0) -> Reply:
        direct.append(answers.pop(0))
        if not direct[-1]:
            raise StoreUnavailableError("cut")
        return Reply(404, b"{}")

    monkeypatch.setattr(store, "request_direct", raw)
    store.relay = lambda _method, _path, _body: Reply(404, b"{}")
    for _ in range(20):
        assert store.get("f/run-1") is None
    assert direct == [False]
    assert len(spawned) == 1
    spawned[0]()  # in the background, until the store answers
    assert direct == [False] * 4 + [True]
    store.get("f/run-1")
    assert direct[-2:] == [True, True]


def test_a_store_that_is_slow_for_all_is_given_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found on a day of our own with answers after 0.65 s: nothing was accepted for 50 s."""
    store = Store(("127.0.0.1", 1), settings().params.state)

    def raw(_method: str, _path: str, _body: bytes | None, deadline_s: float = 1.0) -> Reply:
        if deadline_s < 0.65:
            raise StoreUnavailableError("deadline")
        return Reply(404, b"{}")

    monkeypatch.setattr(store, "request_direct", raw)
    store.relay = lambda _method, _path, _body: None  # peers wait no longer
    with pytest.raises(StoreUnavailableError):
        store.get("f/run-1")
    assert [store.get("f/run-1") for _ in range(5)] == [None] * 5


@pytest.mark.parametrize("act", ["start", "rent", "repeat", "release", "tell", "halt"])
def test_what_was_decided_before_a_standstill_is_not_sent_after_it(
    harness: LeaderHarness, act: str
) -> None:
    """The clocks run on while a process stands still; a successor may have decided otherwise."""
    worker = harness.ready_worker()
    job = harness.accept(task_count=4)
    harness.place()
    leader = harness.leader
    machine = leader.term.cluster.machines[MachineId(worker.name)]
    if act == "halt":
        harness.exchange(worker)
        leader.job_watcher.apply_cancel(job)  # a stop for each task, to be sent directly
    harness.later(policy().hold_s + 1.0 if act == "halt" else 5.0, renewed=False)
    if act == "start":
        answer = leader.on_heartbeat(worker.heartbeat())
        assert answer is not None
        assert not starts(answer.commands)
    elif act == "rent":
        leader.autoscaler.rentals.send(RentalRequest("r-5-9", "c32", "a", False, 1))
        assert not harness.cloud.requests
    elif act == "repeat":
        leader.autoscaler.rentals.pending["r-4-1"] = RentalRequest("r-4-1", "c32", "a", False, 1)
        leader.autoscaler.rentals.send(leader.autoscaler.rentals.pending["r-4-1"])
        assert not harness.cloud.requests
        assert "r-4-1" in leader.autoscaler.rentals.pending
    elif act == "release":
        leader.autoscaler.releaser.release([Release(machine, ReleaseReason.IDLE)])
        assert not harness.cloud.released
        assert not machine.being_released
    elif act == "tell":
        assert leader.job_status(job) is None
    else:
        leader.direct_messages.send(machine)
        assert not leader.direct_messages.workers.sent  # type: ignore[attr-defined]
        harness.later(0.0)
        leader.direct_messages.send(machine)  # as it would have been sent in time
        assert len(leader.direct_messages.workers.sent) == 4  # type: ignore[attr-defined]


def test_a_worker_that_has_moved_over_ends_the_old_term(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    old = harness.leader
    harness.later(5.0, renewed=False)
    harness.new_leader(6)
    harness.exchange(worker)
    harness.exchange(worker)
    assert worker.token >= fencing_token(TermNumber(6))
    assert old.on_heartbeat(worker.heartbeat()) is None
    assert "overruled" in harness.end_reasons


def test_a_controller_back_in_the_middle_of_an_election(harness: LeaderHarness) -> None:
    """Its own earlier bid comes late, and copies of the bid that won: neither changes anything."""
    store: Any = harness.store
    sent: list[tuple[Any, Any]] = []
    real = store.txn

    def recorded(conditions: Any, writes: Any) -> Any:
        sent.append((dict(conditions), list(writes)))
        if len(sent) == 1:
            raise StoreUnavailableError("the process ended before the answer")
        return real(conditions, writes)

    store.txn = recorded
    node = NodeName("n-0")
    with pytest.raises(StoreUnavailableError):
        campaign(store, read_election_record(store), ProcessIdentity(node, "before"), 3.0, 15.0)
    won = campaign(store, read_election_record(store), ProcessIdentity(node, "after"), 3.0, 15.0)
    assert won is not None
    for conditions, writes in [*sent, *sent]:
        assert not real(conditions, writes).ok
    election = read_election_record(store)
    assert election.holder is not None
    assert (election.holder.boot_id, election.term) == ("after", won.term)
    assert not may_campaign(election, ProcessIdentity(node, "after"))
    assert may_campaign(election, ProcessIdentity(node, "again"))


@pytest.mark.parametrize("old_first", [True, False])
@pytest.mark.parametrize("cancelled", [True, False])
def test_a_task_told_from_two_machines_is_gone_once_it_is_gone_from_both(
    harness: LeaderHarness, old_first: bool, cancelled: bool
) -> None:
    """One of the two heartbeats is old, held back until a new leader began; which one shows
    later."""
    was, runs = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(was, runs)
    name = harness.accept(task_count=1)
    held_back = was.heartbeat()
    held_back.tasks = [ReportedTask(f"{name}/0", 3, "running")]
    runs.tasks[f"{name}/0", 9] = ReportedTask(f"{name}/0", 9, "running")
    harness.new_leader(6)
    heartbeats = [held_back, runs.heartbeat()]
    for heartbeat in heartbeats if old_first else reversed(heartbeats):
        assert harness.leader.on_heartbeat(heartbeat) is not None
    found = harness.leader.term.job_table.get(name)
    assert found is not None
    assert found.shortfall == 0
    if cancelled:
        harness.leader.apply_cancel(name)
        harness.leader.direct_messages.send(
            harness.leader.term.cluster.machines[MachineId(runs.name)]
        )
        assert [reported.status for reported in runs.tasks.values()] == [
            "ended"
        ]  # by a direct halt
    for worker in (was, runs, was, runs):  # the handshake shows what is where
        harness.exchange(worker)
    harness.place()
    for worker in (was, runs):
        assert not starts(harness.exchange(worker))
    assert found.shortfall == 0
    assert len(runs.tasks) == (0 if cancelled else 1)
    if not cancelled:
        harness.finish_tasks(runs)
    harness.exchange(runs)
    harness.write()
    assert harness.final_states == {name: "cancelled" if cancelled else "done"}


def test_a_heartbeat_after_the_final_state_leaves_nothing_to_write(harness: LeaderHarness) -> None:
    """The other machine of the two is found empty when the job is gone: the term ended by that."""
    was, runs = harness.worker("i-000001"), harness.worker("i-000002")
    harness.ready(was, runs)
    name = harness.accept(task_count=1)
    was.tasks[f"{name}/0", 3] = ReportedTask(f"{name}/0", 3, "running")
    runs.tasks[f"{name}/0", 9] = ReportedTask(f"{name}/0", 9, "running")
    for worker in (was, runs):
        harness.exchange(worker)
    harness.finish_tasks(runs)
    harness.write()
    assert harness.final_states == {name: "done"}
    was.tasks.clear()
    harness.exchange(was)
    harness.write()
    assert not harness.leader.term.job_table.dirty
    assert not harness.end_reasons


def test_halts_are_not_crowded_out_by_what_has_ended(harness: LeaderHarness) -> None:
    """One answer holds so many commands; a cancelled task goes first."""
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
