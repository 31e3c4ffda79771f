"""Workers that restart at once, and late copies of the messages that they sent before.

Whether a restarted worker keeps its counters and its token is open (docs/questions.md, question 6),
so each test runs with every combination.
"""

from __future__ import annotations

import copy

import pytest
from support.fakes import FakeWorker, policy, settings
from support.harness import LeaderHarness, starts
from support.scenarios import start_leader
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.state.attempts import TaskPhase
from ryewing.units import MachineId
from ryewing.wire.workers import Heartbeat, ReportedTask

TIMES = settings().params.workers
HEARTBEATS_BEFORE = 8
"""Heartbeats before the restart: their copies have higher sequences than the first ones after."""
OF_USE_WITHIN_S = 10.0

every_restart = pytest.mark.parametrize(
    ("keeps_counters", "keeps_token"),
    [(False, False), (False, True), (True, False), (True, True)],
    ids=["new", "token_kept", "counters_kept", "both_kept"],
)


def last_heartbeat_before_a_restart(harness: LeaderHarness, worker: FakeWorker) -> Heartbeat:
    """Exchange heartbeats; return a copy of the last one."""
    for _ in range(HEARTBEATS_BEFORE):
        harness.exchange(worker)
    heartbeat = worker.heartbeat()
    harness.leader.on_heartbeat(heartbeat)
    return copy.deepcopy(heartbeat)


def fill_all_but_the_spare(harness: LeaderHarness, spare: FakeWorker) -> None:
    """Start a large task on each machine, and end that of the spare, which keeps a small task.

    The next large task goes to the spare if the leader sends it again: it is the fullest machine.
    """
    harness.accept("run-2", task_count=1, cpus=4.0)
    small = ReportedTask("run-2/0", 1, "running")
    spare.tasks[small.task_id, small.attempt] = small
    harness.exchange(spare)
    harness.accept(task_count=3, cpus=20.0)
    harness.place()
    for worker in harness.workers.values():
        assert len(starts(harness.exchange(worker))) == 1
        harness.exchange(worker)
    for key in list(spare.tasks.keys() - {("run-2/0", 1)}):
        spare.end_task(key)
    harness.exchange(spare)
    harness.write()


def reconnect(harness: LeaderHarness, worker: FakeWorker, answers_probe: bool) -> None:
    """Let the leader learn of a restart, by the worker's heartbeats or its answer to a probe."""
    harness.later(0.3)
    if answers_probe:
        harness.leader.direct_messages.send(
            harness.leader.term.cluster.machines[MachineId(worker.name)]
        )
    for _ in range(3):
        harness.exchange(worker)


def check_that_a_sent_start_is_kept(
    harness: LeaderHarness, worker: FakeWorker, late: Heartbeat
) -> None:
    """Send a start; a late message arrives before the worker has got the response."""
    harness.accept(task_count=3, cpus=20.0)
    harness.place()
    answer = harness.leader.on_heartbeat(worker.heartbeat())
    assert answer is not None
    assert len(starts(answer.commands)) == 1
    harness.leader.on_heartbeat(copy.deepcopy(late))
    assert list(harness.assignments(worker.name).values()) == [TaskPhase.SENT]


def deliver_copies(harness: LeaderHarness, copies: list[Heartbeat], worker: FakeWorker) -> None:
    """Deliver late copies, each followed by a heartbeat of the worker and a scheduling cycle."""
    for late in copies:
        harness.later(1.0)
        harness.leader.on_heartbeat(copy.deepcopy(late))
        harness.place()
        harness.exchange(worker)


def check_that_a_running_task_is_kept(
    harness: LeaderHarness, worker: FakeWorker, spare: FakeWorker, late: list[Heartbeat]
) -> None:
    """Run a task on the worker; late messages arrive that do not show it."""
    fill_all_but_the_spare(harness, spare)
    deliver_copies(harness, late, worker)
    assert starts(harness.exchange(spare)) == []
    assert list(harness.assignments(worker.name).values()) == [TaskPhase.RUNNING]


@every_restart
@pytest.mark.parametrize("answers_probe", [True, False], ids=["probe", "heartbeats"])
@pytest.mark.parametrize("restarts", [1, 2])
def test_a_late_copy_from_before_a_restart_does_not_start_a_running_task_again(
    harness: LeaderHarness,
    keeps_counters: bool,
    keeps_token: bool,
    answers_probe: bool,
    restarts: int,
) -> None:
    """The copy had the higher sequence, so the leader took it as newer and the task as gone."""
    restarted, _, spare = harness.ready_workers(3)
    copies = []
    for _ in range(restarts):
        copies.append(last_heartbeat_before_a_restart(harness, restarted))
        restarted.restart(keeps_counters, keeps_token)
        reconnect(harness, restarted, answers_probe or (keeps_token and not keeps_counters))
    check_that_a_running_task_is_kept(harness, restarted, spare, copies * 5)


@every_restart
def test_a_late_copy_from_before_a_restart_does_not_resolve_a_sent_start(
    harness: LeaderHarness, keeps_counters: bool, keeps_token: bool
) -> None:
    """The copy does not show the start that is still on its way, so it was sent to another one."""
    restarted, *_ = harness.ready_workers(3)
    late = last_heartbeat_before_a_restart(harness, restarted)
    restarted.restart(keeps_counters, keeps_token)
    reconnect(harness, restarted, answers_probe=True)
    check_that_a_sent_start_is_kept(harness, restarted, late)


@every_restart
@pytest.mark.parametrize("copy_first", [True, False])
def test_a_late_copy_from_before_a_restart_does_not_hide_a_task_from_the_next_leader(
    harness: LeaderHarness, keeps_counters: bool, keeps_token: bool, copy_first: bool
) -> None:
    """The worker's heartbeats acknowledged the term but looked older than the copy, so the machine
    counted as reconciled and empty. The next leader can't know of the restart."""
    restarted, _, spare = harness.ready_workers(3)
    late = last_heartbeat_before_a_restart(harness, restarted)
    restarted.restart(keeps_counters, keeps_token)
    reconnect(harness, restarted, answers_probe=True)
    fill_all_but_the_spare(harness, spare)
    harness.new_leader(6)
    if copy_first:
        harness.leader.on_heartbeat(copy.deepcopy(late))
    for _ in range(2):
        for worker in harness.workers.values():
            harness.exchange(worker)
    deliver_copies(harness, [late] * 5, restarted)
    assert starts(harness.exchange(spare)) == []
    assert list(harness.assignments(restarted.name).values()) == [TaskPhase.RUNNING]


@pytest.mark.parametrize("in_flight", [False, True])
def test_a_probe_gives_a_silent_worker_a_token_that_its_earlier_process_never_had(
    harness: LeaderHarness, in_flight: bool
) -> None:
    """Reports of a young process, held back since before the restart, had the higher sequences, and
    the probe had given the new process the same token."""
    restarted, _, spare = harness.ready_workers(3)
    held_back = [restarted.heartbeat() for _ in range(5 * HEARTBEATS_BEFORE)]
    restarted.restart()
    for _ in range(4):
        restarted.heartbeat()  # lost, so that the answer to the probe has a higher sequence
    harness.leader.direct_messages.schedule = harness.leader.direct_messages.send  # type: ignore[method-assign]
    harness.later(2 * TIMES.report_s)
    harness.leader.maintenance.run_once()
    for worker in harness.workers.values():
        harness.exchange(worker)
    machine = harness.leader.term.cluster.machines[MachineId(restarted.name)]
    machine.token_bumped_at = harness.clock()  # no early heartbeat raises the token
    if in_flight:
        check_that_a_sent_start_is_kept(harness, restarted, held_back[-1])
    else:
        check_that_a_running_task_is_kept(harness, restarted, spare, held_back[-5:])


@pytest.mark.parametrize(("new_term", "in_flight"), [(False, False), (True, False), (False, True)])
def test_lost_reports_with_the_token_of_the_present_process_do_not_start_a_task_again(
    harness: LeaderHarness, new_term: bool, in_flight: bool
) -> None:
    """An earlier process had returned the token, in reports that arrive only after the restart, and
    the worker kept the token. No version can order these; a task that vanishes is doubted."""
    restarted, _, spare = harness.ready_workers(3)
    if new_term:
        harness.new_leader(6)
    machine = harness.leader.term.cluster.machines[MachineId(restarted.name)]
    machine.token_bumps += not new_term  # a direct message whose answer is lost
    restarted.token = int(harness.leader.term.cluster.token(machine))
    held_back = [restarted.heartbeat() for _ in range(5 * HEARTBEATS_BEFORE)]
    restarted.restart(keeps_token=True)
    for worker in list(harness.workers.values()) * 3:
        harness.exchange(worker)
    machine.token_bumped_at = harness.clock()  # no early heartbeat raises the token
    if in_flight:
        check_that_a_sent_start_is_kept(harness, restarted, held_back[-1])
    else:
        check_that_a_running_task_is_kept(harness, restarted, spare, held_back[-5:])


@pytest.mark.parametrize("sequences_below_known", [1, 0])
def test_a_direct_answer_shows_that_counters_began_anew(
    harness: LeaderHarness, sequences_below_known: int
) -> None:
    """One exchange finds the restart, hands the worker a new token and adopts its state."""
    worker = harness.ready_worker()
    last_heartbeat_before_a_restart(harness, worker)
    harness.start_job(worker, task_count=1)
    harness.exchange(worker)
    worker.restart(keeps_token=True)
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    worker.sequence = machine.version.sequence - 1 - sequences_below_known
    harness.leader.direct_messages.send(machine)
    assert harness.assignments() == {}
    assert machine.is_schedulable()


def test_a_worker_that_restarted_before_the_term_is_of_use_after_its_lease_expired(
    harness: LeaderHarness,
) -> None:
    """The next leader knows only a copy from before, whose incarnation has expired for it."""
    worker = harness.ready_worker()
    late = last_heartbeat_before_a_restart(harness, worker)
    harness.new_leader(6)
    harness.leader.on_heartbeat(late)
    harness.later(2 * (policy().hold_s + TIMES.lease_s))
    harness.leader.maintenance.run_once()
    worker.restart()
    machine = harness.leader.term.cluster.machines[MachineId(worker.name)]
    harness.leader.direct_messages.send(machine)
    assert machine.is_schedulable()


@every_restart
@pytest.mark.parametrize("away_s", [0.0, 5.0, TIMES.lease_s + 5.0])
@pytest.mark.parametrize("copied", [False, True], ids=["", "copies_each_second"])
def test_a_machine_that_is_back_gets_work_within_seconds(
    cluster: SimulatedCluster,
    keeps_counters: bool,
    keeps_token: bool,
    away_s: float,
    copied: bool,
) -> None:
    """After its lease had expired, a worker with new counters was neither answered nor probed."""
    worker = start_leader(cluster)
    cluster.cloud_down = True  # the silent machine is not released
    cluster.run(20.0)
    late = copy.deepcopy(worker.send_heartbeat())
    worker.hangs = True
    cluster.run(away_s)
    worker.hangs = False
    worker.restart(keeps_counters, keeps_token)
    cluster.submit(CONTROLLERS[0])
    for _ in range(round(OF_USE_WITHIN_S)):
        if copied:
            cluster.send_heartbeat_to_all(late)
        cluster.run(1.0)
    assert worker.tasks
    assert cluster.violations_after_settling() == []


@every_restart
@pytest.mark.parametrize("restarts", [1, 2])
def test_copies_during_an_election_do_not_start_a_running_task_again(
    cluster: SimulatedCluster, keeps_counters: bool, keeps_token: bool, restarts: int
) -> None:
    """The leader that saw the restart is killed before the copies arrive, at every controller."""
    start_leader(cluster, machines=3)
    cluster.run(60.0)
    worker = cluster.workers["i-000003"]
    copies = []
    for _ in range(restarts):
        copies.append(copy.deepcopy(worker.send_heartbeat()))
        worker.restart(keeps_counters, keeps_token)
        cluster.run(5.0)
    cluster.submit("n-1", task_count=3, cpus=20.0)
    cluster.submit("n-1", "run-2", task_count=1, cpus=4.0)
    cluster.run(8.0)
    [spare] = [other for other in cluster.workers.values() if len(other.tasks) == 2]
    assert spare is not worker
    spare.end_task(next(key for key in spare.tasks if key[0].startswith("run-1/")))
    cluster.run(4.0)
    cluster.dead.add("n-0")
    for _ in range(40):
        for late in copies:
            cluster.send_heartbeat_to_all(late)
        cluster.run(0.25)
    assert cluster.violations_after_settling() == []
