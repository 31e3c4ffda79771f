"""Jobs that are cancelled, end or are accepted during faults of controllers and of the store.

Each test case checks the rules of the protocol on responses to users and tasks on workers.
"""

from __future__ import annotations

import msgspec
import pytest
from support.scenarios import Scenario, start_job, start_leader
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.clients.store import Put
from ryewing.units import Revision


def cancelled_while_the_next_leader_loads(cluster: SimulatedCluster) -> None:
    """A new leader is notified of the cancel between its reads of the jobs and of the machines."""
    start_job(cluster)
    cluster.submit("n-0", "run-2", cpus=30.0)
    cluster.run(1.0)
    cluster.dead.add("n-0")

    def cancel_jobs(key: str) -> None:
        if key == "j/":
            cluster.cancel("n-2", "run-1")
            cluster.cancel("n-2", "run-2")

    cluster.links["n-1"].before_answer = cancel_jobs

    def poll_jobs() -> None:
        cluster.poll_and_resubmit_everywhere("run-1")
        cluster.poll_and_resubmit_everywhere("run-2")

    cluster.after_load = poll_jobs
    cluster.links["n-2"].refused = True  # so that n-1 takes over
    cluster.run(3.0)
    cluster.links["n-2"].refused = False
    while cluster.leader("n-1") is None:
        cluster.run(0.25)
    cluster.links["n-1"].before_answer = None
    cluster.poll_and_resubmit_everywhere("run-1")
    cluster.poll_and_resubmit_everywhere("run-2")


def cancelled_before_the_leader_knows_the_job(cluster: SimulatedCluster) -> None:
    """The leader's watch lags, so it is notified of the cancel before it reads the job."""
    start_leader(cluster)
    link = cluster.links["n-0"]
    link.max_watch_revision = Revision(cluster.store.revision)
    cluster.submit("n-1")
    accepted = Revision(cluster.store.revision)
    cluster.cancel("n-2")
    link.max_watch_revision = accepted  # shows the submission but not the cancel
    cluster.run(1.0)
    cluster.poll_and_resubmit_everywhere()
    cluster.run(5.0)


def cancelled_while_a_watch_delivers_the_job(cluster: SimulatedCluster) -> None:
    """A watch response from before the cancel delivers the job after the cancel's notice."""
    start_leader(cluster)
    assert cluster.submit("n-1") == 201

    def cancel_job() -> None:
        assert cluster.cancel("n-2") == 200

    cluster.links["n-0"].during_watch = cancel_job
    leader = cluster.leader("n-0")
    assert leader is not None
    leader.job_watcher.watch_once()
    cluster.poll_and_resubmit_everywhere()


def cancelled_before_the_submission_is_answered(cluster: SimulatedCluster) -> None:
    """The submission is written, repeated and cancelled before the store's response arrives."""
    start_leader(cluster)

    def resubmit_and_cancel() -> None:
        assert cluster.submit("n-1") == 200
        assert cluster.cancel("n-1") == 200

    cluster.links["n-1"].after_txn = resubmit_and_cancel
    cluster.submit("n-1")
    cluster.poll_and_resubmit_everywhere()


def cancelled_while_peers_cannot_reach_the_leader(cluster: SimulatedCluster) -> None:
    """The leader still reads the store; users of other controllers must get an answer."""
    worker = start_job(cluster)
    worker.replies_lost = True  # so that its task can't end yet
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    for _ in range(16):
        if cluster.cancel("n-1") == 200:
            break
        cluster.run(1.0)
    assert cluster.rules.final_states == {"run-1": "cancelled"}, "the cancel was never confirmed"
    assert worker.tasks
    cluster.poll_and_resubmit_everywhere()


def _write_unnoticed_cancel(cluster: SimulatedCluster) -> None:
    """Write a cancel to the store of which neither its writer nor the leader knows."""
    start_job(cluster)
    cluster.links["n-0"].watch_hangs = True
    cluster.links["n-1"].loses_answers = True
    assert cluster.cancel("n-1") == 503
    cluster.links["n-1"].loses_answers = False


def cancel_found_by_a_poll(cluster: SimulatedCluster) -> None:
    """A controller that can't reach the leader finds the cancel in the store during a poll."""
    _write_unnoticed_cancel(cluster)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.poll("n-2")
    cluster.poll("n-0")


def cancel_found_by_a_repeated_submission(cluster: SimulatedCluster) -> None:
    """A repeated submission finds the cancel in the store, without a request to the leader."""
    _write_unnoticed_cancel(cluster)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.submit("n-2")
    cluster.submit("n-1")
    cluster.poll("n-0")
    cluster.submit("n-0")


def cancelled_while_the_watch_of_the_leader_hangs(cluster: SimulatedCluster) -> None:
    """The leader renews its lease, but its watch hangs and other controllers can't reach it."""
    start_job(cluster)
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    cluster.links["n-0"].watch_hangs = True
    for _ in range(80):
        cluster.cancel("n-1")
        cluster.poll("n-0")
        cluster.run(0.5)
    assert cluster.rules.final_states == {"run-1": "cancelled"}, "the cancel was never confirmed"


def a_leader_resigns_when_its_watch_hangs(cluster: SimulatedCluster) -> None:
    """A leader needs its watch, and its lease blocks other candidates, so it must resign."""
    start_leader(cluster)
    cluster.links["n-0"].watch_hangs = True
    cluster.run(5.0)
    assert cluster.submit("n-1") == 201
    cluster.run(30.0)
    assert cluster.leader_name != "n-0"
    assert cluster.workers["i-000001"].tasks


def cancelled_by_a_transaction_applied_late(cluster: SimulatedCluster) -> None:
    """The transaction of the cancel is applied 30 s late, so the cancel's timestamp is old."""
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


def cancelled_while_a_poll_waits_for_the_leader(cluster: SimulatedCluster) -> None:
    """The leader's answer to a poll arrives after a cancel at the polling controller."""
    start_job(cluster)

    def cancel_job() -> None:
        assert cluster.cancel("n-1") == 200

    cluster.before_peer_answer["n-0"] = cancel_job
    cluster.poll("n-1")


def cancelled_during_several_failovers(cluster: SimulatedCluster) -> None:
    """The leader changes several times while users cancel and poll."""
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
    """The final state is written while users cancel, poll and repeat the submission."""
    for number, link in enumerate((cluster.links["n-2"], cluster.links["n-2"]), 1):
        ref = f"run-{number}"
        worker = start_job(cluster, ref)
        cluster.finish_tasks(worker)
        worker.send_heartbeat()
        leader = cluster.leader("n-0")
        assert leader is not None
        # The final state of run-1 is written after the cancel, that of run-2 between the read and
        # the write of the cancel.
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


def polled_as_the_last_task_ends(cluster: SimulatedCluster) -> None:
    """The final state is written while another controller reads the job from the store."""
    worker = start_job(cluster)
    cluster.finish_tasks(worker)
    worker.send_heartbeat()
    leader = cluster.leader("n-0")
    assert leader is not None
    cluster.partitions.add(frozenset(("n-0", "n-2")))

    def write_final_state(_key: str) -> None:
        leader.writer.write_once()

    cluster.links["n-2"].before_answer = write_final_state
    cluster.poll("n-2")
    cluster.links["n-2"].before_answer = None
    cluster.poll_and_resubmit_everywhere()


def final_state_written_by_a_delayed_transaction(cluster: SimulatedCluster) -> None:
    """The final state's first write gets no response, and is applied after a second one fails."""
    worker = start_job(cluster)
    leader = cluster.leader("n-0")
    assert leader is not None
    link = cluster.links["n-0"]
    link.delays_transactions = True
    cluster.finish_tasks(worker)
    cluster.run(1.0)
    delayed, link.delayed_transactions = link.delayed_transactions[:1], []
    link.delays_transactions = False
    # Changing a machine record makes the leader's next transaction fail as a whole.
    key = next(key for key in cluster.store.data if key.startswith("m/"))
    cluster.store.txn({}, [Put(key, msgspec.json.decode(cluster.store.data[key][0]))])
    cluster.worker("i-000002")
    cluster.workers["i-000002"].send_heartbeat()
    cluster.workers["i-000002"].send_heartbeat()
    leader.writer.write_once()
    for conditions, writes in delayed:
        cluster.store.txn(conditions, writes)
    cluster.partitions.add(frozenset(("n-0", "n-2")))
    cluster.poll_and_resubmit_everywhere()
    cluster.poll("n-2")
    cluster.poll("n-0")


def accepted_without_a_response(cluster: SimulatedCluster) -> None:
    """The response to a submission's transaction is lost, or the transaction is applied late."""
    start_leader(cluster)
    for ref, response_lost in (("run-1", True), ("run-2", False)):
        link = cluster.links["n-1"]
        link.loses_answers, link.delays_transactions = response_lost, not response_lost
        assert cluster.submit("n-1", ref) == 503
        link.loses_answers = link.delays_transactions = False
        cluster.submit("n-2", ref)
        cluster.poll_and_resubmit_everywhere(ref)
        if response_lost:
            cluster.cancel("n-2", ref)
        else:
            cluster.run(6.0)
            cluster.finish_tasks(cluster.workers["i-000001"])
            cluster.run(2.0)
        cluster.poll_and_resubmit_everywhere(ref)
        link.apply_delayed()
        cluster.boot("n-1")  # its memory is empty
        link = cluster.links["n-1"]
        cluster.poll_and_resubmit_everywhere(ref)
    assert cluster.rules.final_states == {"run-1": "cancelled", "run-2": "done"}


SCENARIOS: list[Scenario] = [
    cancelled_while_the_next_leader_loads,
    cancelled_before_the_leader_knows_the_job,
    cancelled_while_a_watch_delivers_the_job,
    cancelled_before_the_submission_is_answered,
    cancelled_while_peers_cannot_reach_the_leader,
    cancel_found_by_a_poll,
    cancel_found_by_a_repeated_submission,
    cancelled_while_the_watch_of_the_leader_hangs,
    a_leader_resigns_when_its_watch_hangs,
    cancelled_by_a_transaction_applied_late,
    cancelled_while_a_poll_waits_for_the_leader,
    cancelled_during_several_failovers,
    cancelled_as_the_last_task_ends,
    polled_as_the_last_task_ends,
    final_state_written_by_a_delayed_transaction,
    accepted_without_a_response,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_no_rule_is_broken(cluster: SimulatedCluster, scenario: Scenario) -> None:
    scenario(cluster)
    assert cluster.violations_after_settling() == []
