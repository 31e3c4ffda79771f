"""The leader against stand-ins: each argument of docs/design.md has a case that needs its guard."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from stage import Stage, starts, verbs
from standins import policy, settings

from ryewing.jobs import JobRecord, final_key, live_key
from ryewing.leadership import campaign, read_view
from ryewing.machine import COLD, GATHERING, PLANNED, RUNNING, SENT, WARM
from ryewing.mesh import ImageHint
from ryewing.store import Put, StoreDown
from ryewing.units import KeyVersion, MachineId, NodeName, Term, token_of
from ryewing.wire import ReportedTask
from ryewing.writer import MACHINE_PREFIX, MachineRecord


def test_the_whole_way_of_an_array(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.accept()
    stage.place()
    assert len(starts(stage.exchange(worker))) == 4
    stage.exchange(worker)
    state = stage.leader.poll(job)
    assert state is not None and (state.status, state.running) == ("running", 4)
    worker.finish()
    assert "clear" not in verbs(stage.exchange(worker))  # the finish is not written yet
    stage.write()
    assert stage.store.get(live_key(job)) is None
    assert stage.store.get(final_key(job)) is not None
    assert stage.finals == {job: "done"}
    assert verbs(stage.exchange(worker)) == ["clear"] * 4
    assert not worker.tasks


def test_starts_need_handshake_record_and_lease(stage: Stage) -> None:
    """Each guard by itself: taking any one out makes a start go out too early."""
    worker = stage.worker()
    stage.accept()
    stage.ready(worker)
    stage.place()
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    guards: list[tuple[Callable[[], None], Callable[[], None]]] = [
        (
            lambda: setattr(machine, "acknowledged", -1),
            lambda: setattr(machine, "acknowledged", 0),
        ),
        (lambda: setattr(machine, "recorded", False), lambda: setattr(machine, "recorded", True)),
        (lambda: stage.later(3.1, renewed=False), lambda: stage.later(0.0)),
        (lambda: setattr(machine, "leaving", True), lambda: setattr(machine, "leaving", False)),
    ]
    for take_away, give_back in guards:
        take_away()
        report = worker.report()
        report.token = 0 if not machine.handshaken else report.token
        answer = stage.leader.on_report(report)
        assert answer is not None and not starts(answer.commands)
        give_back()
    assert len(starts(stage.exchange(worker))) == 4


@pytest.mark.parametrize(
    ("seconds", "answered"),
    [(0.0, True), (10.0, True), (16.5, True), (17.5, False), (100.0, False)],
)
def test_workers_are_answered_for_the_hold_only(
    stage: Stage, seconds: float, answered: bool
) -> None:
    worker = stage.ready_worker()
    stage.later(seconds, renewed=False)
    assert (stage.leader.on_report(worker.report()) is not None) is answered


def test_a_report_with_a_later_token_ends_the_term(stage: Stage) -> None:
    worker = stage.worker()
    worker.token = token_of(Term(6))
    assert stage.leader.on_report(worker.report()) is None
    assert stage.lost == ["overruled"]


def test_only_a_later_report_settles_an_assumed_start(stage: Stage) -> None:
    worker = stage.ready_worker()
    stage.accept(task_count=1)
    stage.place()
    answer = stage.leader.on_report(worker.report())  # this answer is lost on its way
    assert answer is not None and len(starts(answer.commands)) == 1
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    stage.leader.dispatch.send(machine)  # the body of /orders does not show the task
    assert list(stage.assignments().values()) == [SENT]
    stage.leader.placer.run_pass()
    assert list(stage.assignments().values()) == [SENT]
    assert not starts(stage.exchange(worker))  # a later report: never executed, given up
    assert stage.assignments() == {}


def test_a_nudge_raises_the_token_and_every_later_answer_carries_it(stage: Stage) -> None:
    worker = stage.ready_worker()
    asked: list[str] = []
    stage.leader.dispatch.send_soon = lambda machine: asked.append(machine.id)  # type: ignore[method-assign]
    stage.accept(task_count=2)
    stage.place()
    assert asked == [worker.name]
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    stage.leader.dispatch.send(machine)
    assert worker.token == token_of(Term(5), 1)
    assert len(starts(stage.exchange(worker))) == 2  # a lower token would be dropped
    stage.accept("run-2", task_count=1)
    stage.place()
    assert asked == [worker.name]  # a start is on its way, and half a lease is not over
    stage.new_leader(6)
    answer = stage.leader.on_report(worker.report())
    assert answer is not None and answer.token > worker.token


def test_a_new_session_seen_in_an_orders_body_voids_an_assumed_start(stage: Stage) -> None:
    """The worker drops responses to reports of an earlier session."""
    worker = stage.ready_worker()
    stage.accept(task_count=1)
    stage.place()
    assert stage.leader.on_report(worker.report()) is not None  # lost on its way
    worker.session += 1
    stage.leader.dispatch.send(stage.leader.ctx.cluster.machines[MachineId(worker.name)])
    assert stage.assignments() == {}


def test_a_late_report_is_answered_without_starts(stage: Stage) -> None:
    worker = stage.ready_worker()
    late = worker.report()
    stage.exchange(worker)
    stage.accept(task_count=1)
    stage.place()
    answer = stage.leader.on_report(late)
    assert answer is not None and not starts(answer.commands)
    assert list(stage.assignments().values()) == [PLANNED]


def test_a_new_session_has_forgotten_everything(stage: Stage) -> None:
    worker = stage.ready_worker()
    stage.begin(worker, task_count=1)
    stage.exchange(worker)
    assert list(stage.assignments().values()) == [RUNNING]
    worker.session += 1
    worker.sequence = 0
    worker.tasks.clear()
    stage.exchange(worker)
    assert stage.assignments() == {}


def test_attempts_are_never_repeated_after_a_takeover(stage: Stage) -> None:
    worker = stage.ready_worker()
    stage.begin(worker, task_count=1)
    [(_, first)] = worker.tasks
    stage.new_leader(6)
    worker.tasks.clear()
    stage.ready(worker)
    stage.place()
    stage.exchange(worker)
    [(_, second)] = worker.tasks
    assert second > first


def test_a_successor_rebuilds_from_reports(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=3)
    stage.exchange(worker)
    stage.new_leader(6)
    assert not stage.leader.placer.ready_to_place()  # a recorded machine has not been heard
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]
    stage.leader.dispatch.send(machine)  # the handshake
    assert machine.handshaken and worker.token == token_of(Term(6))
    assert stage.leader.placer.ready_to_place()
    stage.leader.placer.run_pass()
    found = stage.leader.ctx.job_table.get(job)
    assert found is not None and found.shortfall == 0 and len(stage.assignments()) == 3


@pytest.mark.parametrize(
    ("changes", "free_s"),
    [({}, None), ({"machine_types": ["g4"]}, 0.0)],
)
def test_what_an_unheard_machine_may_hold_stays_blocked(
    stage: Stage, changes: dict[str, Any], free_s: float | None
) -> None:
    silent, heard = stage.worker("i-000001"), stage.worker("i-000002", machine_type="g4")
    stage.ready(silent, heard)
    stage.accept("run-1", task_count=1, **changes)
    stage.new_leader(6)
    stage.exchange(heard)
    stage.exchange(heard)
    stage.later(policy().gather_s)
    stage.exchange(heard)
    new = stage.accept("run-2", task_count=1, machine_types=["g4"])
    stage.place()
    placed = set(stage.assignments("i-000002"))
    assert f"{new}/0" in placed  # accepted after the take-over: nobody can hold it
    assert ("run-1/0" in placed) is (free_s is not None)
    bound = policy().hold_s + settings().params.workers.lease_s
    stage.later(bound - policy().gather_s - 0.5)
    stage.exchange(heard)
    stage.leader.ctx.cluster.expire(stage.clock())
    stage.leader.placer.run_pass()
    assert ("run-1/0" in stage.assignments("i-000002")) is (free_s is not None)
    stage.later(3.0)
    stage.exchange(heard)
    stage.leader.ctx.cluster.expire(stage.clock())  # old hold and one lease are over
    stage.leader.placer.run_pass()
    assert "run-1/0" in stage.assignments("i-000002")


def test_a_confirmed_release_unblocks_at_once(stage: Stage) -> None:
    silent, heard = stage.worker("i-000001"), stage.worker("i-000002")
    stage.ready(silent, heard)
    stage.accept("run-1", task_count=1)
    stage.new_leader(6)
    stage.exchange(heard)
    stage.exchange(heard)
    stage.later(policy().silence_s + 1.0)
    stage.exchange(heard)
    stage.leader.renter.release(stage.leader.renter.to_give_up(stage.clock()))
    assert stage.cloud.released == ["i-000001"]
    stage.place()
    assert stage.assignments("i-000002") == {"run-1/0": PLANNED}
    assert stage.leader.on_report(silent.report()) is None  # a late report of a gone machine


def test_a_late_transaction_of_an_earlier_term_dies(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=1)
    old = stage.leader
    stage.end(worker)
    stage.new_leader(6)
    old.writer.write_once()
    assert stage.store.get(final_key(job)) is None
    assert stage.lost == ["fenced"]


@pytest.mark.parametrize("cancel_first", [True, False])
def test_cancel_and_done_cannot_both_win(stage: Stage, cancel_first: bool) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=1)
    stage.end(worker)
    entry = stage.store.get(live_key(job))
    assert entry is not None
    record = msgspec.json.decode(entry.data, type=JobRecord)
    record.cancelled = True
    cancel: tuple[Any, Any] = (
        {live_key(job): KeyVersion(entry.key_version)},
        [Put(live_key(job), record)],
    )
    if cancel_first:
        assert stage.store.txn(*cancel).ok  # written by another node, not seen here yet
        stage.write()
        assert stage.finals == {job: "cancelled"}
    else:
        stage.write()
        assert not stage.store.txn(*cancel).ok
        assert stage.finals == {job: "done"}


def test_a_lost_answer_to_the_final_write_is_found_out(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=1)
    stage.end(worker)
    stage.store.lose_answers = True
    with pytest.raises(StoreDown):
        stage.leader.writer.write_once()
    # It may have been applied: only the store can tell a user now.
    assert stage.leader.poll(job) is None
    stage.store.lose_answers = False
    stage.write()
    assert stage.finals == {job: "done"}


def test_no_state_is_told_without_the_lease(stage: Stage) -> None:
    job = stage.accept()
    assert stage.leader.poll(job) is not None
    stage.later(3.1, renewed=False)
    assert stage.leader.poll(job) is None


def test_a_cancel_halts_and_never_starts_again(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=12)
    assert stage.leader.take_cancel(job)
    entry = stage.store.get(live_key(job))
    assert entry is not None
    record = msgspec.json.decode(entry.data, type=JobRecord)
    record.cancelled = True
    stage.store.txn({}, [Put(live_key(job), record)])
    entry = stage.store.get(live_key(job))
    assert entry is not None
    stage.leader.intake.job_set(entry.key, entry.data, KeyVersion(entry.key_version))
    assert verbs(stage.exchange(worker)) == ["halt"] * 8
    stage.exchange(worker)
    stage.place()
    assert not starts(stage.exchange(worker)) and stage.assignments() == {}
    stage.write()
    assert stage.finals == {job: "cancelled"}


def test_a_task_of_no_live_job_is_halted(stage: Stage) -> None:
    worker = stage.ready_worker()
    worker.tasks[("run-77/0", 3)] = ReportedTask("run-77/0", 3, "running")
    assert verbs(stage.exchange(worker)) == ["halt"]


def test_a_gang_starts_whole_and_is_replaced_under_one_attempt(stage: Stage) -> None:
    workers = [stage.worker(f"i-{n:06d}") for n in range(1, 4)]
    stage.ready(*workers)
    job = stage.accept(task_count=2, shape="group", cpus=30.0)
    stage.place()
    for worker in workers:
        stage.exchange(worker)
        for key, reported in worker.tasks.items():
            worker.tasks[key] = ReportedTask(reported.task_id, reported.attempt, GATHERING)
    attempts = {attempt for worker in workers for _, attempt in worker.tasks}
    assert len(attempts) == 1
    for worker in workers:
        stage.exchange(worker)
    lost = next(worker for worker in workers if worker.tasks)
    lost.tasks.clear()
    lost.session += 1
    stage.exchange(lost)
    stage.place()
    for worker in workers:
        stage.exchange(worker)
    assignment = {attempt for worker in workers for _, attempt in worker.tasks}
    assert assignment == attempts
    assert sum(len(worker.tasks) for worker in workers) == 2
    found = stage.leader.ctx.job_table.get(job)
    assert found is not None and found.shortfall == 0


def test_a_gang_that_ran_and_lost_a_task_is_cleared_before_its_next_attempt(stage: Stage) -> None:
    workers = [stage.worker(f"i-{n:06d}") for n in range(1, 4)]
    stage.ready(*workers)
    stage.accept(task_count=2, shape="group", cpus=30.0)
    stage.place()
    for worker in workers * 2:
        stage.exchange(worker)
    lost, left = [worker for worker in workers if worker.tasks]
    old = {attempt for _, attempt in left.tasks}
    lost.tasks.clear()
    lost.session += 1
    stage.exchange(lost)
    stage.place()
    for worker in workers:
        assert not starts(stage.exchange(worker))  # the mate must be gone first
    for worker in workers:
        stage.exchange(worker)
    stage.place()
    for worker in workers:
        stage.exchange(worker)
    new = {attempt for worker in workers for _, attempt in worker.tasks}
    assert len(new) == 1 and new != old


def test_a_notice_drains_and_refills_elsewhere(stage: Stage) -> None:
    spot, other = stage.worker("i-000001", spot=True), stage.worker("i-000002")
    stage.ready(spot)
    stage.accept(task_count=1, spot=True, checkpoint_s=10.0, save_s=4.0, estimated_s=500.0)
    stage.place()
    stage.exchange(spot)
    stage.exchange(spot)
    spot.notice_s = 10.0
    [halt] = stage.exchange(spot)
    assert halt.verb == "halt" and halt.grace_s == 4.0
    stage.ready(other)
    stage.exchange(spot)
    stage.place()
    assert stage.assignments("i-000001") == {} and len(stage.assignments("i-000002")) == 1


def test_a_job_is_refilled_only_after_its_finishes_are_written(stage: Stage) -> None:
    worker = stage.ready_worker()
    stage.begin(worker, task_count=12)
    stage.exchange(worker)
    stage.end(worker)
    stage.place()
    assert stage.assignments() == {}
    stage.write()
    stage.place()
    assert len(stage.assignments()) == 4


def test_finished_tasks_are_not_run_again_by_a_successor(stage: Stage) -> None:
    worker = stage.ready_worker()
    job = stage.begin(worker, task_count=12)
    stage.end(worker)
    stage.write()
    stage.new_leader(6)
    found = stage.leader.ctx.job_table.get(job)
    assert found is not None and (found.done_count, found.shortfall) == (8, 4)


def test_a_successor_is_told_which_machines_have_which_images(stage: Stage) -> None:
    """Found with rolling restarts: each leader fetched anew, or waited for the few it knew warm."""
    worker = stage.ready_worker()
    stage.begin(worker, task_count=1, image="img-7", image_gb=2.0)
    stage.exchange(worker)
    told = stage.leader.image_hint()
    told.machines["i-000999"] = [0]  # gone meanwhile
    told.machines[worker.name].append(5)  # a place that there is not
    again = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=ImageHint)
    leader = stage.new_leader(6, again)
    assert leader.ctx.cluster.machines[MachineId(worker.name)].warmth("img-7") == WARM
    assert leader.ctx.cluster.machines[MachineId(worker.name)].warmth("img-8") == COLD
    assert MachineId("i-000999") not in leader.ctx.cluster.machines


def test_one_of_two_candidates_wins(stage: Stage) -> None:
    store: Any = stage.store
    view = read_view(store)
    first = campaign(store, view, NodeName("n-0"), "b0", 3.0, 15.0)
    second = campaign(store, view, NodeName("n-1"), "b1", 3.0, 15.0)
    assert first is not None and second is None
    assert first.term == 6
    again = read_view(store)
    assert again.holder is not None and again.holder.node == "n-0"
    stage.store.expire(first.lease)
    third = campaign(store, read_view(store), NodeName("n-1"), "b1", 3.0, 15.0)
    assert third is not None and third.term == 7


def test_machine_records_carry_what_a_successor_needs(stage: Stage) -> None:
    worker = stage.worker(spot=True, zone="b")
    stage.ready(worker)
    [entry] = stage.store.listing(MACHINE_PREFIX)[0]
    records = msgspec.json.decode(entry.data, type=dict[str, MachineRecord])
    address = worker.report().address
    assert records == {worker.name: MachineRecord("c32", "b", True, address, True)}
