"""Jobs that are cancelled, end or are accepted while other things happen to controllers and store.

Each test case checks the rules of the protocol by what users were told and workers ran.
"""

from __future__ import annotations

import msgspec
import pytest
from support.scenarios import Scenario, start_job, start_leader
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.clients.store import Put
from ryewing.units import Revision


def cancelled_while_the_next_leader_reads(cluster: SimulatedCluster) -> None:
    """A new leader has read the jobs but not yet the rest when it is notified of the cancel."""
    start_job(cluster)
    cluster.submit("n-0", "run-2", cpus=30.0)
    cluster.run(1.0)
    cluster.dead.add("n-0")

    def cancels(key: str) -> None:
        if key == "j/":
            cluster.cancel("n-2", "run-1")
            cluster.cancel("n-2", "run-2")

    cluster.links["n-1"].before_answer = cancels

    def asked() -> None:
        cluster.poll_and_resubmit_everywhere("run-1")
        cluster.poll_and_resubmit_everywhere("run-2")

    cluster.after_load = asked
    cluster.links["n-2"].refused = True  # so that the other one takes over
    cluster.run(3.0)
    cluster.links["n-2"].refused = False
    while cluster.leader("n-1") is None:
        cluster.run(0.25)
    cluster.links["n-1"].before_answer = None
    cluster.poll_and_resubmit_everywhere("run-1")
    cluster.poll_and_resubmit_everywhere("run-2")


def cancelled_before_the_leader_knows_the_job(cluster: SimulatedCluster) -> None:
    """The leader's watch lags: the notice of the cancel comes before the job itself."""
    start_leader(cluster)
    link = cluster.links["n-0"]
    link.stale_watch = Revision(cluster.store.revision)
    cluster.submit("n-1")
    accepted = Revision(cluster.store.revision)
    cluster.cancel("n-2")
    link.stale_watch = accepted  # an answer that was made between the two
    cluster.run(1.0)
    cluster.poll_and_resubmit_everywhere()
    cluster.run(5.0)


def cancelled_while_a_watch_brings_the_job(cluster: SimulatedCluster) -> None:
    """The watch's answer with the job was made before the cancel, and arrives after its notice."""
    start_leader(cluster)
    assert cluster.submit("n-1") == 201

    def cancelled() -> None:
        assert cluster.cancel("n-2") == 200

    cluster.links["n-0"].during_watch = cancelled
    leader = cluster.leader("n-0")
    assert leader is not None
    leader.job_watcher.watch_once()
    cluster.poll_and_resubmit_everywhere()


def cancelled_before_its_acceptance_is_told(cluster: SimulatedCluster) -> None:
    """The submission is written, repeated elsewhere and cancelled before its answer arrives."""
    start_leader(cluster)

    def cancelled() -> None:
        assert cluster.submit("n-1") == 200
        assert cluster.cancel("n-1") == 200

    cluster.links["n-1"].after_txn = cancelled
    cluster.submit("n-1")
    cluster.poll_and_resubmit_everywhere()


def cancelled_beside_a_leader_that_nobody_else_reaches(cluster: SimulatedCluster) -> None:
    """The leader follows the store all the time; users of other controllers must get an answer."""
    worker = start_job(cluster)
    worker.replies_lost = True  # so that the end of its task can't be written yet
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    for _ in range(16):
        if cluster.cancel("n-1") == 200:
            break
        cluster.run(1.0)
    assert cluster.rules.final_states == {"run-1": "cancelled"}, "never answered"
    assert worker.tasks
    cluster.poll_and_resubmit_everywhere()


def _write_a_cancel_unnoticed(cluster: SimulatedCluster) -> None:
    """A cancel is in the store, but neither its writer nor the leader knows."""
    start_job(cluster)
    cluster.links["n-0"].watch_hangs = True
    cluster.links["n-1"].loses_answers = True
    assert cluster.cancel("n-1") == 503
    cluster.links["n-1"].loses_answers = False


def cancelled_as_a_poll_finds_it(cluster: SimulatedCluster) -> None:
    """A controller that can't reach the leader reads the store, where the cancel is."""
    _write_a_cancel_unnoticed(cluster)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.poll("n-2")
    cluster.poll("n-0")


def cancelled_as_a_repeated_submission_finds_it(cluster: SimulatedCluster) -> None:
    """A repeated submission finds the cancel in the store, without a request to the leader."""
    _write_a_cancel_unnoticed(cluster)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.submit("n-2")
    cluster.submit("n-1")
    cluster.poll("n-0")
    cluster.submit("n-0")


def cancelled_while_the_leader_renews_but_hears_no_changes(cluster: SimulatedCluster) -> None:
    """Its lease is renewed, its watch hangs, and the other controllers can't reach it."""
    start_job(cluster)
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    cluster.links["n-0"].watch_hangs = True
    for _ in range(80):
        cluster.cancel("n-1")
        cluster.poll("n-0")
        cluster.run(0.5)
    assert cluster.rules.final_states == {"run-1": "cancelled"}, "never answered"


def a_leader_that_can_renew_but_not_follow(cluster: SimulatedCluster) -> None:
    """It may do nothing, and while it holds the lease nobody else may: it must resign."""
    start_leader(cluster)
    cluster.links["n-0"].watch_hangs = True
    cluster.run(5.0)
    assert cluster.submit("n-1") == 201
    cluster.run(30.0)
    assert cluster.leader_name != "n-0"
    assert cluster.workers["i-000001"].tasks


def cancelled_by_a_clock_that_is_ahead(cluster: SimulatedCluster) -> None:
    """The cancel carries a time long past: its transaction is applied late."""
    start_job(cluster)
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    link = cluster.links["n-1"]
    link.delays_transactions = True
    cluster.cancel("n-1")
    cluster.run(30.0)
    cluster.links["n-0"].watch_hangs = True
    link.apply_delayed()
    cluster.cancel("n-1")
    cluster.poll("n-0")


def cancelled_on_its_way_while_a_poll_waits(cluster: SimulatedCluster) -> None:
    """The leader's answer to a poll arrives after a cancel at the controller that asked."""
    start_job(cluster)

    def cancelled() -> None:
        assert cluster.cancel("n-1") == 200

    cluster.before_peer_answer["n-0"] = cancelled
    cluster.poll("n-1")


def cancelled_during_a_failover(cluster: SimulatedCluster) -> None:
    """The leader changes several times while users cancel."""
    start_job(cluster)
    for number in range(2, 8):
        cluster.submit("n-1", f"run-{number}", cpus=2.0)
    cluster.run(4.0)
    for number, name in ((2, "n-0"), (3, "n-1"), (4, "n-2")):
        cluster.cancel(name, f"run-{number}")
        cluster.dead.add(name)
        for _ in range(20):
            other = next(n for n in CONTROLLERS if n not in cluster.dead)
            cluster.cancel(other, f"run-{number + 3}")
            for ref in range(1, 8):
                cluster.poll(other, f"run-{ref}")
            cluster.run(0.25)
        cluster.boot(name)


def cancelled_as_the_last_task_ends(cluster: SimulatedCluster) -> None:
    """The end is being written while users cancel, ask and repeat the submission."""
    for number, link in enumerate((cluster.links["n-2"], cluster.links["n-2"]), 1):
        ref = f"run-{number}"
        worker = start_job(cluster, ref)
        cluster.finish_tasks(worker)
        worker.send_heartbeat()
        leader = cluster.leader("n-0")
        assert leader is not None
        # The end is written after the cancel, and then between its reading and its writing.
        write = leader.writer.write_once
        if number == 1:
            link.after_txn = lambda write=write: write() and None
        else:
            link.before_answer = lambda _key, write=write: write() and None
        cluster.cancel("n-2", ref)
        link.before_answer = None
        cluster.poll_and_resubmit_everywhere(ref)
        cluster.run(1.0)
        cluster.poll_and_resubmit_everywhere(ref)
    assert cluster.rules.final_states == {"run-1": "cancelled", "run-2": "done"}


def asked_as_the_last_task_ends(cluster: SimulatedCluster) -> None:
    """The end is written while another controller looks for the job in the store."""
    worker = start_job(cluster)
    cluster.finish_tasks(worker)
    worker.send_heartbeat()
    leader = cluster.leader("n-0")
    assert leader is not None
    cluster.partitions.add(frozenset(("n-0", "n-2")))

    def ends(_key: str) -> None:
        leader.writer.write_once()

    cluster.links["n-2"].before_answer = ends
    cluster.poll("n-2")
    cluster.links["n-2"].before_answer = None
    cluster.poll_and_resubmit_everywhere()


def ended_by_a_write_that_comes_late(cluster: SimulatedCluster) -> None:
    """The end's transaction gets no answer, a second one conflicts, then the first is applied."""
    worker = start_job(cluster)
    leader = cluster.leader("n-0")
    assert leader is not None
    link = cluster.links["n-0"]
    link.delays_transactions = True
    cluster.finish_tasks(worker)
    cluster.run(1.0)
    late, link.delayed_transactions = link.delayed_transactions[:1], []
    link.delays_transactions = False
    # A record that another transaction has changed meanwhile makes the next try fail as a whole.
    key = next(key for key in cluster.store.data if key.startswith("m/"))
    cluster.store.txn({}, [Put(key, msgspec.json.decode(cluster.store.data[key][0]))])
    cluster.worker("i-000002")
    cluster.workers["i-000002"].send_heartbeat()
    cluster.workers["i-000002"].send_heartbeat()
    leader.writer.write_once()
    for conditions, writes in late:
        cluster.store.txn(conditions, writes)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.poll_and_resubmit_everywhere()
    cluster.poll("n-2")
    cluster.poll("n-0")


def accepted_without_an_answer(cluster: SimulatedCluster) -> None:
    """A submission is applied and only its answer is lost, or it is applied late."""
    start_leader(cluster)
    for ref, lost in (("run-1", True), ("run-2", False)):
        link = cluster.links["n-1"]
        link.loses_answers, link.delays_transactions = lost, not lost
        assert cluster.submit("n-1", ref) == 503
        link.loses_answers = link.delays_transactions = False
        cluster.submit("n-2", ref)
        cluster.poll_and_resubmit_everywhere(ref)
        if lost:
            cluster.cancel("n-2", ref)
        else:
            cluster.run(6.0)
            cluster.finish_tasks(cluster.workers["i-000001"])
            cluster.run(2.0)
        cluster.poll_and_resubmit_everywhere(ref)
        link.apply_delayed()
        cluster.boot("n-1")  # one that remembers nothing
        link = cluster.links["n-1"]
        cluster.poll_and_resubmit_everywhere(ref)
    assert cluster.rules.final_states == {"run-1": "cancelled", "run-2": "done"}


SCENARIOS: list[Scenario] = [
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
    cancelled_during_a_failover,
    cancelled_as_the_last_task_ends,
    asked_as_the_last_task_ends,
    ended_by_a_write_that_comes_late,
    accepted_without_an_answer,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_no_rule_is_broken(cluster: SimulatedCluster, scenario: Scenario) -> None:
    scenario(cluster)
    assert cluster.violations_after_settling() == []
