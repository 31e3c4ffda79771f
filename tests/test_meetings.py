"""Meetings of troubles: courses of events over controllers, store, workers and users.

Each row is one meeting, and asserts the rules of the protocol by what users were told and workers
ran. `docs/design.md`, "Meetings", says which row stands for which.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from cluster import NAMES, Cluster, TimedWorker
from standins import job_spec

from ryewing.jobs import JobRecord
from ryewing.store import Put
from ryewing.units import Revision
from ryewing.wire import ReportedTask

Course = Callable[[Cluster], None]


def serving(cluster: Cluster, machines: int = 1) -> TimedWorker:
    """Bring up a leader and machines that may be given work."""
    for number in range(1, machines + 1):
        cluster.worker(f"i-{number:06d}")
    cluster.run(4.0)
    assert cluster.leader_name == NAMES[0]
    return cluster.workers["i-000001"]


def running(cluster: Cluster, ref: str = "run-1") -> TimedWorker:
    """Bring up a leader, and a job that runs on a machine."""
    worker = serving(cluster)
    cluster.submit(NAMES[0], ref)
    cluster.run(8.0)
    assert [reported for reported, _ in worker.tasks] == [f"{ref}/0"]
    return worker


def test_without_troubles(cluster: Cluster) -> None:
    """The course of a job, at every controller."""
    worker = running(cluster)
    cluster.ask_all()
    cluster.end(worker)
    cluster.run(3.0)
    cluster.ask_all()
    assert cluster.referee.final == {"run-1": "done"}
    cluster.submit("n-1", "run-2")
    cluster.run(4.0)
    assert worker.tasks
    assert cluster.cancel("n-2", "run-2") == 200
    cluster.ask_all("run-2")
    assert cluster.verdict() == []
    assert not worker.tasks


# -- a cancellation, and who knows of it ----------------------------------------------------------


def cancelled_while_the_next_leader_reads(cluster: Cluster) -> None:
    """A new leader has read the jobs but not yet the rest when the cancel is told to it."""
    running(cluster)
    cluster.submit("n-0", "run-2", cpus=30.0)
    cluster.run(1.0)
    cluster.dead.add("n-0")

    def cancels(key: str) -> None:
        if key == "j/":
            cluster.cancel("n-2", "run-1")
            cluster.cancel("n-2", "run-2")

    cluster.links["n-1"].before_answer = cancels

    def asked() -> None:
        cluster.ask_all("run-1")
        cluster.ask_all("run-2")

    cluster.after_load = asked
    cluster.links["n-2"].refused = True  # so that the other one takes over
    cluster.run(3.0)
    cluster.links["n-2"].refused = False
    while cluster.nodes["n-1"].leader is None:
        cluster.run(0.25)
    cluster.links["n-1"].before_answer = None
    cluster.ask_all("run-1")
    cluster.ask_all("run-2")


def cancelled_before_the_leader_knows_the_job(cluster: Cluster) -> None:
    """The leader's watch lags: it hears of the cancel before it hears of the job."""
    serving(cluster)
    link = cluster.links["n-0"]
    link.stale_watch = Revision(cluster.store.revision)
    cluster.submit("n-1")
    accepted = Revision(cluster.store.revision)
    cluster.cancel("n-2")
    link.stale_watch = accepted  # an answer that was made between the two
    cluster.run(1.0)
    cluster.ask_all()
    cluster.run(5.0)


def cancelled_while_a_watch_brings_the_job(cluster: Cluster) -> None:
    """The answer that brings the job was made before the cancel, and arrives after it was told."""
    serving(cluster)
    assert cluster.submit("n-1") == 201

    def cancelled() -> None:
        assert cluster.cancel("n-2") == 200

    cluster.links["n-0"].during_watch = cancelled
    leader = cluster.nodes["n-0"].leader
    assert leader is not None
    leader.intake.watch_once()
    cluster.ask_all()


def cancelled_before_its_acceptance_is_told(cluster: Cluster) -> None:
    """The submission is written, repeated elsewhere and cancelled before its answer is there."""
    serving(cluster)

    def cancelled() -> None:
        assert cluster.submit("n-1") == 200
        assert cluster.cancel("n-1") == 200

    cluster.links["n-1"].after_txn = cancelled
    cluster.submit("n-1")
    cluster.ask_all()


def cancelled_beside_a_leader_that_nobody_else_reaches(cluster: Cluster) -> None:
    """It follows the store all the time; its peers' users must not wait for ever."""
    worker = running(cluster)
    worker.deaf = True  # so that the end of its task can't be written yet
    cluster.cut |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    for _ in range(16):
        if cluster.cancel("n-1") == 200:
            break
        cluster.run(1.0)
    assert cluster.referee.final == {"run-1": "cancelled"}, "never answered"
    assert worker.tasks
    cluster.ask_all()


def _written_but_not_told(cluster: Cluster) -> None:
    """A cancel is in the store; the one who wrote it does not know, nor does the leader."""
    running(cluster)
    cluster.links["n-0"].mute_watch = True
    cluster.links["n-1"].answer_lost = True
    assert cluster.cancel("n-1") == 503
    cluster.links["n-1"].answer_lost = False


def cancelled_as_a_poll_finds_it(cluster: Cluster) -> None:
    """Who can't ask the leader reads the store, where the cancel is."""
    _written_but_not_told(cluster)
    cluster.cut.add(frozenset(("n-0", "n-2")))
    cluster.poll("n-2")
    cluster.poll("n-0")


def cancelled_as_a_repeated_submission_finds_it(cluster: Cluster) -> None:
    """A repeat of the submission never asks the leader."""
    _written_but_not_told(cluster)
    cluster.cut.add(frozenset(("n-0", "n-2")))
    cluster.submit("n-2")
    cluster.submit("n-1")
    cluster.poll("n-0")
    cluster.submit("n-0")


def cancelled_while_the_leader_renews_but_hears_no_changes(cluster: Cluster) -> None:
    """Its lease is in order, its watch hangs, and the others can't reach it."""
    running(cluster)
    cluster.cut |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    cluster.links["n-0"].mute_watch = True
    for _ in range(80):
        cluster.cancel("n-1")
        cluster.poll("n-0")
        cluster.run(0.5)
    assert cluster.referee.final == {"run-1": "cancelled"}, "never answered"


def a_leader_that_can_renew_but_not_follow(cluster: Cluster) -> None:
    """It may do nothing, and keeps others from it: it must make room."""
    serving(cluster)
    cluster.links["n-0"].mute_watch = True
    cluster.run(5.0)
    assert cluster.submit("n-1") == 201
    cluster.run(30.0)
    assert cluster.leader_name != "n-0"
    assert cluster.workers["i-000001"].tasks


def cancelled_by_a_clock_that_is_ahead(cluster: Cluster) -> None:
    """The cancel's time of writing is long past: its transaction was carried out late."""
    running(cluster)
    cluster.cut |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    link = cluster.links["n-1"]
    link.late = True
    cluster.cancel("n-1")
    cluster.run(30.0)
    cluster.links["n-0"].mute_watch = True
    link.catch_up()
    cluster.cancel("n-1")
    cluster.poll("n-0")


def cancelled_on_its_way_while_a_poll_waits(cluster: Cluster) -> None:
    """The leader's answer to a poll is overtaken by a cancel told at the node that asked."""
    running(cluster)

    def cancelled() -> None:
        assert cluster.cancel("n-1") == 200

    cluster.before_peer_answer["n-0"] = cancelled
    cluster.poll("n-1")


def cancelled_in_the_moment_of_the_take_over(cluster: Cluster) -> None:
    """One controller's work changes hands twice while users cancel."""
    running(cluster)
    for number in range(2, 8):
        cluster.submit("n-1", f"run-{number}", cpus=2.0)
    cluster.run(4.0)
    for number, name in ((2, "n-0"), (3, "n-1"), (4, "n-2")):
        cluster.cancel(name, f"run-{number}")
        cluster.dead.add(name)
        for _ in range(20):
            other = next(n for n in NAMES if n not in cluster.dead)
            cluster.cancel(other, f"run-{number + 3}")
            for ref in range(1, 8):
                cluster.poll(other, f"run-{ref}")
            cluster.run(0.25)
        cluster.boot(name)


def cancelled_as_the_last_task_ends(cluster: Cluster) -> None:
    """The end is written or about to be while users cancel, ask and repeat the submission."""
    for number, link in enumerate((cluster.links["n-2"], cluster.links["n-2"]), 1):
        ref = f"run-{number}"
        worker = running(cluster, ref)
        cluster.end(worker)
        worker.report_now()
        leader = cluster.nodes["n-0"].leader
        assert leader is not None
        # The end is written after the cancel, and then between its reading and its writing.
        write = leader.writer.write_once
        if number == 1:
            link.after_txn = lambda write=write: write() and None
        else:
            link.before_answer = lambda _key, write=write: write() and None
        cluster.cancel("n-2", ref)
        link.before_answer = None
        cluster.ask_all(ref)
        cluster.run(1.0)
        cluster.ask_all(ref)
    assert cluster.referee.final == {"run-1": "cancelled", "run-2": "done"}


def asked_as_the_last_task_ends(cluster: Cluster) -> None:
    """The end is written while a reader of the store looks for the job."""
    worker = running(cluster)
    cluster.end(worker)
    worker.report_now()
    leader = cluster.nodes["n-0"].leader
    assert leader is not None
    cluster.cut.add(frozenset(("n-0", "n-2")))

    def ends(_key: str) -> None:
        leader.writer.write_once()

    cluster.links["n-2"].before_answer = ends
    cluster.poll("n-2")
    cluster.links["n-2"].before_answer = None
    cluster.ask_all()


def ended_by_a_write_that_comes_late(cluster: Cluster) -> None:
    """The end's transaction gets no answer, another try meets a conflict, the first one comes."""
    worker = running(cluster)
    leader = cluster.nodes["n-0"].leader
    assert leader is not None
    cluster.links["n-0"].late = True
    cluster.end(worker)
    cluster.run(1.0)
    late, cluster.links["n-0"]._held = cluster.links["n-0"]._held[:1], []
    cluster.links["n-0"].late = False
    # A record that another transaction has changed meanwhile makes the next try fail as a whole.
    key = next(key for key in cluster.store.data if key.startswith("m/"))
    cluster.store.txn({}, [Put(key, msgspec.json.decode(cluster.store.data[key][0]))])
    cluster.worker("i-000002")
    cluster.workers["i-000002"].report_now()
    cluster.workers["i-000002"].report_now()
    leader.writer.write_once()
    for conditions, writes in late:
        cluster.store.txn(conditions, writes)
    cluster.cut.add(frozenset(("n-0", "n-2")))
    cluster.ask_all()
    cluster.poll("n-2")
    cluster.poll("n-0")


def accepted_without_an_answer(cluster: Cluster) -> None:
    """A submission is carried out and only its answer is lost, or it comes late."""
    serving(cluster)
    for ref, lost in (("run-1", True), ("run-2", False)):
        link = cluster.links["n-1"]
        link.answer_lost, link.late = lost, not lost
        assert cluster.submit("n-1", ref) == 503
        link.answer_lost = link.late = False
        cluster.submit("n-2", ref)
        cluster.ask_all(ref)
        if lost:
            cluster.cancel("n-2", ref)
        else:
            cluster.run(6.0)
            cluster.end(cluster.workers["i-000001"])
            cluster.run(2.0)
        cluster.ask_all(ref)
        link.catch_up()
        cluster.boot("n-1")  # one that remembers nothing
        link = cluster.links["n-1"]
        cluster.ask_all(ref)
    assert cluster.referee.final == {"run-1": "cancelled", "run-2": "done"}


# -- the leader, refused alone, and an outage -----------------------------------------------------


def refused_alone(
    before_s: float, outage_s: float, apart: bool, who: str = "n-0", after: str = ""
) -> Course:
    """The letter's gap: a controller is refused alone, others confirm cancels, then an outage."""

    def course(cluster: Cluster) -> None:
        serving(cluster, machines=3)
        for number in range(1, 7):
            cluster.submit("n-1", f"run-{number}", cpus=16.0)
        cluster.run(8.0)
        assert sum(len(w.tasks) for w in cluster.workers.values()) == 6
        cluster.links[who].refused = True
        if apart:
            cluster.cut |= {frozenset((who, other)) for other in NAMES if other != who}
        cluster.cancel("n-1", "run-1")
        for at in range(round(before_s / 0.5)):
            cluster.cancel("n-2" if at % 2 else "n-1", f"run-{1 + at % 4}")
            cluster.poll("n-0", f"run-{1 + at % 4}")
            cluster.run(0.5)
        cluster.store.down = True
        if after == "dies":
            cluster.dead.add(who)
        for _ in range(round(outage_s)):
            cluster.run(1.0)
            for ref in range(1, 7):
                cluster.cancel("n-1", f"run-{ref}")
                if who not in cluster.dead:
                    cluster.poll(who, f"run-{ref}")
        if after == "dies":
            cluster.boot(who)
        cluster.links[who].refused = False
        cluster.store.down = False
        if after == "frozen":
            cluster.frozen.add(who)
        leader = cluster.nodes[who].leader
        if leader is not None:
            leader.renew_once()  # before any watch of its own is answered
        for _ in range(20):
            for ref in range(1, 7):
                cluster.cancel("n-1", f"run-{ref}")
                for name in NAMES:
                    cluster.poll(name, f"run-{ref}")
            cluster.run(0.25)

    return course


def cancelled_at_the_refusal(cluster: Cluster) -> None:
    """As above, but the workers keep to the refused one, and one of them hangs meanwhile."""
    worker = running(cluster)
    cluster.cut |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    cluster.links["n-0"].refused = True
    cluster.run(3.25)
    worker.unreachable |= {"n-1", "n-2"}
    cluster.store.tend()
    cluster.nodes["n-1"].leader = None
    assert cluster.cancel("n-1") == 200  # nobody holds the lease
    cluster.store.down = True
    cluster.run(10.0)
    worker.hangs = True
    cluster.run(9.0)
    worker.hangs = False
    cluster.run(40.0)
    assert not worker.tasks


# -- changes of leader ----------------------------------------------------------------------------


def an_old_report_reaches_the_next_leader(cluster: Cluster) -> None:
    """Copies from before, of tasks that run elsewhere by now, as a new leader begins."""
    first = running(cluster)
    old = copy.deepcopy(first.report_now())
    second = cluster.worker("i-000002")
    cluster.run(6.0)
    first.session += 1
    first.sequence = 0
    first.tasks.clear()
    first.hangs = True
    cluster.run(1.0)
    cluster.run(24.0)
    assert second.tasks and not first.tasks
    first.hangs = False
    cluster.run(6.0)
    cluster.dead.add("n-0")
    first.mute = True  # only the copy comes in its name at first
    while not any(n.leader for name, n in cluster.nodes.items() if name != "n-0"):
        cluster.run(0.25)
    second.report_now()
    second.report_now()
    for name in ("n-1", "n-2"):
        cluster.report(name, copy.deepcopy(old))
    cluster.run(1.0)
    first.mute = False
    cluster.run(30.0)


def an_old_report_of_a_machine_that_is_gone(cluster: Cluster) -> None:
    """It must not come back, be recorded, or keep a job from room."""
    first = running(cluster)
    old = copy.deepcopy(first.report_now())
    del cluster.workers[first.name]
    second = cluster.worker("i-000002")
    cluster.run(30.0)
    assert second.tasks  # released as silent, or its lease was over
    second.tasks.clear()
    second.session += 1
    cluster.dead.add("n-0")
    while not any(n.leader for name, n in cluster.nodes.items() if name != "n-0"):
        cluster.run(0.25)
    for name in ("n-1", "n-2"):
        for _ in range(3):
            cluster.report(name, copy.deepcopy(old))
    cluster.run(8.0)
    assert second.tasks, "the job waits for a machine that is gone"
    leader = cluster.nodes[cluster.leader_name].leader
    assert leader is not None and first.name not in leader.ctx.cluster.machines
    assert not any(
        first.name.encode() in value
        for key, (value, _, _) in cluster.store.data.items()
        if key.startswith("m/")
    )


def a_take_over_without_an_answer(cluster: Cluster) -> None:
    """It is written, and its writer does not know: nobody may be without a leader for long."""
    running(cluster)
    cluster.dead.add("n-0")
    cluster.links["n-2"].refused = True
    link = cluster.links["n-1"]
    link.answer_lost = True
    while '"n-1"' not in str(cluster.store.data.get("lead/holder", "")):
        cluster.run(0.25)
    cluster.links["n-2"].refused = link.answer_lost = False
    cluster.run(1.0)
    assert cluster.nodes["n-1"].leader is not None, "its own take-over is not known to it"
    cluster.cancel("n-2")
    cluster.ask_all()


def leaders_change_ten_times(cluster: Cluster) -> None:
    """In two minutes, also inside an outage; each is back within a second."""
    serving(cluster, machines=2)
    for number in range(1, 9):
        cluster.submit("n-1", f"run-{number}", cpus=16.0)
    for at in range(10):
        name = cluster.leader_name
        cluster.store.down = at in (3, 4)
        cluster.dead.add(name)
        cluster.run(0.5)
        cluster.boot(name)
        cluster.cancel(NAMES[at % 3], f"run-{at % 4 + 1}")
        for _ in range(11):
            cluster.run(1.0)
            for ref in range(1, 9):
                cluster.poll(NAMES[at % 3], f"run-{ref}")
    cluster.store.down = False


def all_controllers_away(cluster: Cluster) -> None:
    """For longer than `lease_s`; meanwhile nothing is answered."""
    worker = running(cluster)
    cluster.dead |= set(NAMES)
    cluster.run(25.0)
    assert not worker.tasks
    for name in NAMES:
        cluster.boot(name)
    cluster.run(45.0)
    assert worker.tasks


def new_machines_while_writes_lag(cluster: Cluster) -> None:
    """Up at once and given work at once, and the leader ends before its writes are made."""
    serving(cluster)
    cluster.workers["i-000001"].hangs = True
    link = cluster.links["n-0"]
    link.late = True
    cluster.submit("n-1")
    new = cluster.worker("i-000002")
    cluster.run(6.0)
    assert not new.tasks, "a start without a record"
    link.catch_up()
    cluster.run(4.0)
    assert new.tasks
    new.unreachable |= {"n-1", "n-2"}
    cluster.cloud_down = True
    cluster.dead.add("n-0")
    cluster.worker("i-000003")
    cluster.run(20.0)


def limits_while_leaders_change(cluster: Cluster) -> None:
    """A team is at its limit; its jobs are cancelled on machines that can't be asked."""
    for number in range(1, 5):
        cluster.worker(f"i-{number:06d}", machine_type="g4")
    cluster.run(4.0)
    for number in range(1, 3):
        cluster.submit("n-1", f"run-{number}", gpus=4.0, cpus=1.0)
    cluster.run(10.0)
    assignment = [worker for worker in cluster.workers.values() if worker.tasks]
    assert len(assignment) == 2
    for number in range(3, 6):
        cluster.submit("n-1", f"run-{number}", gpus=4.0, cpus=1.0)
    cluster.run(2.0)
    assignment[0].hangs = True
    assignment[1].unreachable |= set(NAMES)
    cluster.cancel("n-1", "run-1")
    cluster.cancel("n-2", "run-2")
    cluster.cloud_down = True
    cluster.dead.add("n-0")
    cluster.run(6.0)
    cluster.submit("n-1", "run-6", gpus=4.0, cpus=1.0)
    cluster.run(9.0)
    assignment[0].hangs = False
    cluster.run(35.0)


def machines_that_hear_or_speak_only(cluster: Cluster) -> None:
    """Mute and deaf ones, cancels, and a change of leader."""
    serving(cluster, machines=4)
    for number in range(1, 5):
        cluster.submit("n-1", f"run-{number}", cpus=20.0)
    cluster.run(8.0)
    workers = list(cluster.workers.values())
    workers[0].mute = workers[1].deaf = True
    workers[2].unreachable |= {"n-0"}
    for number in range(1, 4):
        cluster.cancel("n-1", f"run-{number}")
    cluster.run(2.0)
    cluster.dead.add("n-0")
    cluster.run(45.0)


def tasks_end_far_apart(cluster: Cluster) -> None:
    """A finish is told before, another one after a change of leader."""
    first = serving(cluster, machines=2)
    second = cluster.workers["i-000002"]
    cluster.submit("n-1", task_count=2, cpus=30.0)
    cluster.run(6.0)
    assert first.tasks and second.tasks
    cluster.end(first)
    cluster.run(3.0)
    cluster.dead.add("n-0")
    cluster.run(8.0)
    cluster.poll("n-1")
    cluster.end(second)
    cluster.run(4.0)
    assert cluster.poll("n-1") == 200
    assert cluster.referee.final == {"run-1": "done"}


def a_leader_that_stands_still(cluster: Cluster) -> None:
    """Its clocks run on; others lead and cancel meanwhile; then it goes on."""
    worker = running(cluster)
    cluster.frozen.add("n-0")
    cluster.run(5.0)
    cluster.cancel("n-1")
    cluster.run(2.0)
    cluster.frozen.clear()
    cluster.report("n-0", worker.report())
    cluster.poll("n-0")
    cluster.run(3.0)


def apart_from_store_and_peers(cluster: Cluster) -> None:
    """Workers and users still reach the old leader while jobs are cancelled at the new one."""
    worker = running(cluster)
    worker.unreachable |= {"n-1", "n-2"}
    cluster.cloud_down = True
    cluster.links["n-0"].refused = True
    cluster.cut |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    for _ in range(60):
        cluster.run(1.0)
        cluster.cancel("n-1")
        cluster.poll("n-0")
        cluster.poll("n-2")


def one_zone_loses_machines(cluster: Cluster) -> None:
    """An array bound to a zone; the machines there go one after the other."""
    for number in range(1, 4):
        cluster.worker(f"i-{number:06d}", zone="b")
    cluster.worker("i-000004", zone="a")
    cluster.run(4.0)
    cluster.submit("n-1", task_count=6, cpus=10.0, zone="b")
    cluster.run(6.0)
    del cluster.workers["i-000001"]
    cluster.run(10.0)
    cluster.workers["i-000002"].hangs = True
    cluster.dead.add("n-0")
    cluster.run(30.0)
    assert not cluster.workers["i-000004"].tasks


COURSES: list[Course] = [
    cancelled_while_the_next_leader_reads,
    cancelled_before_the_leader_knows_the_job,
    cancelled_while_a_watch_brings_the_job,
    cancelled_before_its_acceptance_is_told,
    cancelled_beside_a_leader_that_nobody_else_reaches,
    cancelled_as_a_poll_finds_it,
    cancelled_as_a_repeated_submission_finds_it,
    cancelled_while_the_leader_renews_but_hears_no_changes,
    a_leader_that_can_renew_but_not_follow,
    cancelled_by_a_clock_that_is_ahead,
    cancelled_on_its_way_while_a_poll_waits,
    cancelled_in_the_moment_of_the_take_over,
    cancelled_as_the_last_task_ends,
    asked_as_the_last_task_ends,
    ended_by_a_write_that_comes_late,
    accepted_without_an_answer,
    cancelled_at_the_refusal,
    an_old_report_reaches_the_next_leader,
    an_old_report_of_a_machine_that_is_gone,
    a_take_over_without_an_answer,
    leaders_change_ten_times,
    all_controllers_away,
    new_machines_while_writes_lag,
    limits_while_leaders_change,
    machines_that_hear_or_speak_only,
    tasks_end_far_apart,
    a_leader_that_stands_still,
    apart_from_store_and_peers,
    one_zone_loses_machines,
]


@pytest.mark.parametrize("course", COURSES, ids=lambda course: course.__name__)
def test_no_rule_breaks_where_troubles_meet(cluster: Cluster, course: Course) -> None:
    course(cluster)
    assert cluster.verdict() == []


@pytest.mark.parametrize("garbage", [b"null", b"[]", b"{", b'{"run":3}', b"\xff", b'{"1":[]}'])
@pytest.mark.parametrize(
    "key", ["j/run-9", "d/7", "d/x", "m/7", "m/x", "h/r-1-1", "flavours/3", "f/run-9"]
)
def test_what_cannot_be_read_ends_no_term(cluster: Cluster, key: str, garbage: bytes) -> None:
    """One value of the store is garbage: all else is served, also by the next leader."""
    worker = running(cluster)
    cluster.store.plant(key, garbage)
    cluster.run(2.0)
    cluster.dead.add("n-0")
    cluster.run(8.0)
    cluster.ask_all()
    for name in ("n-1", "n-2"):
        if key in ("j/run-9", "f/run-9"):
            assert cluster.poll(name, "run-9") == 503
            assert cluster.cancel(name, "run-9") == 503
    cluster.end(worker)
    cluster.run(4.0)
    cluster.ask_all()
    assert cluster.referee.final == {"run-1": "done"}
    assert cluster.verdict() == []


def test_a_job_that_makes_no_sense_is_left_alone(cluster: Cluster) -> None:
    """It reads as a record, and is not one of ours."""
    serving(cluster)
    senseless: list[dict[str, Any]] = [
        {"priority": "vip"},
        {"task_count": 0},
        {"task_count": 10**9},
        {"ref": "run-77"},
    ]
    for number, changes in enumerate(senseless, 1):
        record = JobRecord(job_spec(**{"ref": f"run-{number}", **changes}), 0.0)
        cluster.store.plant(f"j/run-{number}", msgspec.json.encode(record))
    cluster.run(2.0)
    leader = cluster.nodes["n-0"].leader
    assert leader is not None and not leader.ctx.job_table.jobs
    assert cluster.submit("n-1", "run-5") == 201


@pytest.mark.parametrize("key", ["lead/holder", "lead/term"])
def test_an_unreadable_leadership_is_waited_for(cluster: Cluster, key: str) -> None:
    """Nobody takes over from somebody unknown, or under a term that may be too low."""
    serving(cluster)
    holder = cluster.store.data["lead/holder"]
    cluster.store.plant(key, b"[1]", holder[2] if key == "lead/holder" else None)
    cluster.dead.add("n-0")
    cluster.run(1.0)
    assert all(cluster.nodes[name].leader is None for name in ("n-1", "n-2"))
    cluster.run(6.0)
    led = any(cluster.nodes[name].leader is not None for name in ("n-1", "n-2"))
    assert led is (key == "lead/holder")  # its lease has ended


def test_single_tasks_four_a_second_at_the_lowest_write_rate(cluster: Cluster) -> None:
    """A quarter is cancelled. Each job's end is one write; none is late, and none waits."""
    cluster.state_limits = {"write_rps": 15.0}
    for name in NAMES:
        cluster.boot(name)
    serving(cluster, machines=4)
    before = cluster.store.writes
    begun: dict[str, float] = {}
    ended: dict[str, float] = {}
    for number in range(1, 241):
        ref = f"run-{number}"
        assert cluster.submit(NAMES[number % 3], ref, cpus=0.25, memory_gb=0.5) == 201
        cluster.run(0.25)
        if number % 4 == 0:
            assert cluster.cancel(NAMES[number % 3], f"run-{number - 2}") == 200
        for worker in cluster.workers.values():
            for (reported, attempt), found in worker.tasks.items():
                since = begun.setdefault(reported, cluster.clock())
                if found.status == "running" and cluster.clock() >= since + 4.0:
                    over = ReportedTask(reported, attempt, "ended", "done")
                    worker.tasks[reported, attempt] = over
                    ended.setdefault(reported.split("/")[0], cluster.clock())
                    worker.next_report = min(worker.next_report, cluster.clock() + 0.5)
        cluster.referee.look()
        for job, at in list(ended.items()):
            if cluster.clock() >= at + 3.0:
                assert cluster.poll("n-1", job) == 200
                assert cluster.referee.final.get(job), f"{job} is told late"
                del ended[job]
    # Accepted: 1; ended: 2 (the live record goes, the final one comes); cancelled: 1 more.
    assert cluster.store.writes - before <= 240 * 3 + 60 + 8
    assert not [key for key in cluster.store.data if key.startswith("d/run")]
    assert cluster.verdict() == []
    assert set(cluster.referee.final.values()) == {"done", "cancelled"}


@pytest.mark.parametrize(
    ("before_s", "outage_s", "apart", "who", "after"),
    [
        (0.0, 52.0, False, "n-0", ""),
        (0.0, 52.0, True, "n-0", ""),
        (0.5, 52.0, True, "n-0", ""),
        (2.0, 52.0, False, "n-0", ""),
        (2.0, 52.0, True, "n-0", ""),
        (2.0, 20.0, True, "n-0", ""),
        (2.0, 90.0, True, "n-0", ""),
        (5.0, 52.0, True, "n-0", ""),
        (2.0, 52.0, True, "n-1", ""),  # the refused one does not lead
        (0.5, 90.0, True, "n-0", "dies"),
        (2.0, 52.0, True, "n-0", "dies"),
        (2.0, 52.0, False, "n-0", "frozen"),
        (5.0, 90.0, True, "n-0", "frozen"),
    ],
)
def test_the_leader_refused_alone_and_then_an_outage(
    cluster: Cluster, before_s: float, outage_s: float, apart: bool, who: str, after: str
) -> None:
    refused_alone(before_s, outage_s, apart, who, after)(cluster)
    assert cluster.verdict() == []
