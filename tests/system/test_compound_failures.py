"""Compound failures: several faults of controllers, store, workers and network at once.

Each test case checks the rules of the protocol by what users were told and workers ran.
`docs/design.md`, "Compound failures", says which test case stands for which failure.
"""

from __future__ import annotations

import copy
from typing import Any

import msgspec
import pytest
from support.fakes import job_spec
from support.scenarios import Scenario, start_job, start_leader
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS

from ryewing.state.job_records import JobRecord
from ryewing.wire.workers import ReportedTask


def test_a_job_runs_to_its_end_without_faults(cluster: SimulatedCluster) -> None:
    """Every controller answers for a job from its start to its end."""
    worker = start_job(cluster)
    cluster.poll_and_resubmit_everywhere()
    cluster.finish_tasks(worker)
    cluster.run(3.0)
    cluster.poll_and_resubmit_everywhere()
    assert cluster.rules.final_states == {"run-1": "done"}
    cluster.submit("n-1", "run-2")
    cluster.run(4.0)
    assert worker.tasks
    assert cluster.cancel("n-2", "run-2") == 200
    cluster.poll_and_resubmit_everywhere("run-2")
    assert cluster.violations_after_settling() == []
    assert not worker.tasks


# -- the leader, refused alone, and an outage -----------------------------------------------------


def refused_alone(
    before_s: float, outage_s: float, apart: bool, who: str = "n-0", after: str = ""
) -> Scenario:
    """The store refuses one controller, others confirm cancels, and then the store is down."""

    def scenario(cluster: SimulatedCluster) -> None:
        start_leader(cluster, machines=3)
        for number in range(1, 7):
            cluster.submit("n-1", f"run-{number}", cpus=16.0)
        cluster.run(8.0)
        assert sum(len(w.tasks) for w in cluster.workers.values()) == 6
        cluster.links[who].refused = True
        if apart:
            cluster.partitions |= {frozenset((who, other)) for other in CONTROLLERS if other != who}
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
        leader = cluster.leader(who)
        if leader is not None:
            leader.lease_keeper.renew_once()  # before any watch of its own is answered
        for _ in range(20):
            for ref in range(1, 7):
                cluster.cancel("n-1", f"run-{ref}")
                for name in CONTROLLERS:
                    cluster.poll(name, f"run-{ref}")
            cluster.run(0.25)

    return scenario


def cancelled_at_the_refusal(cluster: SimulatedCluster) -> None:
    """As above, but the workers can only reach the refused one, and one of them hangs meanwhile."""
    worker = start_job(cluster)
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    cluster.links["n-0"].refused = True
    cluster.run(3.25)
    worker.unreachable |= {"n-1", "n-2"}
    cluster.store.expire_leases()
    cluster.nodes["n-1"].electors[None].leader = None
    assert cluster.cancel("n-1") == 200  # nobody holds the lease
    cluster.store.down = True
    cluster.run(10.0)
    worker.hangs = True
    cluster.run(9.0)
    worker.hangs = False
    cluster.run(40.0)
    assert not worker.tasks


# -- changes of leader ----------------------------------------------------------------------------


def an_old_heartbeat_reaches_the_next_leader(cluster: SimulatedCluster) -> None:
    """Copies of a heartbeat with a task that runs elsewhere by now reach a new leader."""
    first = start_job(cluster)
    old = copy.deepcopy(first.send_heartbeat())
    second = cluster.worker("i-000002")
    cluster.run(6.0)
    first.incarnation += 1
    first.sequence = 0
    first.tasks.clear()
    first.hangs = True
    cluster.run(1.0)
    cluster.run(24.0)
    assert second.tasks
    assert not first.tasks
    first.hangs = False
    cluster.run(6.0)
    cluster.dead.add("n-0")
    first.heartbeats_lost = True  # only the copy comes in its name at first
    while not any(cluster.leader(name) for name in CONTROLLERS[1:]):
        cluster.run(0.25)
    second.send_heartbeat()
    second.send_heartbeat()
    for name in ("n-1", "n-2"):
        cluster.send_heartbeat(name, copy.deepcopy(old))
    cluster.run(1.0)
    first.heartbeats_lost = False
    cluster.run(30.0)


def an_old_heartbeat_of_a_machine_that_is_gone(cluster: SimulatedCluster) -> None:
    """The machine must not be added or recorded again, nor keep a job waiting."""
    first = start_job(cluster)
    old = copy.deepcopy(first.send_heartbeat())
    del cluster.workers[first.name]
    second = cluster.worker("i-000002")
    cluster.run(30.0)
    assert second.tasks  # released as silent, or its lease was over
    second.tasks.clear()
    second.incarnation += 1
    cluster.dead.add("n-0")
    while not any(cluster.leader(name) for name in CONTROLLERS[1:]):
        cluster.run(0.25)
    for name in ("n-1", "n-2"):
        for _ in range(3):
            cluster.send_heartbeat(name, copy.deepcopy(old))
    cluster.run(8.0)
    assert second.tasks, "the job waits for a machine that is gone"
    leader = cluster.leader(cluster.leader_name)
    assert leader is not None
    assert first.name not in leader.term.cluster.machines
    assert not any(
        first.name.encode() in value
        for key, (value, _, _) in cluster.store.data.items()
        if key.startswith("m/")
    )


def a_failover_without_an_answer(cluster: SimulatedCluster) -> None:
    """The new term is written, and its writer does not know: there must soon be a leader."""
    start_job(cluster)
    cluster.dead.add("n-0")
    cluster.links["n-2"].refused = True
    link = cluster.links["n-1"]
    link.loses_answers = True
    while '"n-1"' not in str(cluster.store.data.get("lead/holder", "")):
        cluster.run(0.25)
    cluster.links["n-2"].refused = link.loses_answers = False
    cluster.run(1.0)
    assert cluster.leader("n-1") is not None, "its own failover is not known to it"
    cluster.cancel("n-2")
    cluster.poll_and_resubmit_everywhere()


def leaders_change_ten_times(cluster: SimulatedCluster) -> None:
    """In two minutes, also during an outage; each controller is back within a second."""
    start_leader(cluster, machines=2)
    for number in range(1, 9):
        cluster.submit("n-1", f"run-{number}", cpus=16.0)
    for at in range(10):
        name = cluster.leader_name
        cluster.store.down = at in (3, 4)
        cluster.dead.add(name)
        cluster.run(0.5)
        cluster.boot(name)
        cluster.cancel(CONTROLLERS[at % 3], f"run-{at % 4 + 1}")
        for _ in range(11):
            cluster.run(1.0)
            for ref in range(1, 9):
                cluster.poll(CONTROLLERS[at % 3], f"run-{ref}")
    cluster.store.down = False


def all_controllers_away(cluster: SimulatedCluster) -> None:
    """All processes are ended for longer than `lease_s`."""
    worker = start_job(cluster)
    cluster.dead |= set(CONTROLLERS)
    cluster.run(25.0)
    assert not worker.tasks
    for name in CONTROLLERS:
        cluster.boot(name)
    cluster.run(45.0)
    assert worker.tasks


def new_machines_while_writes_lag(cluster: SimulatedCluster) -> None:
    """A machine is up and given work at once, and the leader ends while its writes are late."""
    start_leader(cluster)
    cluster.workers["i-000001"].hangs = True
    link = cluster.links["n-0"]
    link.delays_transactions = True
    cluster.submit("n-1")
    new = cluster.worker("i-000002")
    cluster.run(6.0)
    assert not new.tasks, "a start without a record"
    link.apply_delayed()
    cluster.run(4.0)
    assert new.tasks
    new.unreachable |= {"n-1", "n-2"}
    cluster.cloud_down = True
    cluster.dead.add("n-0")
    cluster.worker("i-000003")
    cluster.run(20.0)


def limits_while_leaders_change(cluster: SimulatedCluster) -> None:
    """A team is at its limit; its jobs are cancelled on machines that can't be reached."""
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
    assignment[1].unreachable |= set(CONTROLLERS)
    cluster.cancel("n-1", "run-1")
    cluster.cancel("n-2", "run-2")
    cluster.cloud_down = True
    cluster.dead.add("n-0")
    cluster.run(6.0)
    cluster.submit("n-1", "run-6", gpus=4.0, cpus=1.0)
    cluster.run(9.0)
    assignment[0].hangs = False
    cluster.run(35.0)


def machines_that_hear_or_speak_only(cluster: SimulatedCluster) -> None:
    """Machines whose heartbeats or replies are lost, cancels, and a change of leader."""
    start_leader(cluster, machines=4)
    for number in range(1, 5):
        cluster.submit("n-1", f"run-{number}", cpus=20.0)
    cluster.run(8.0)
    workers = list(cluster.workers.values())
    workers[0].heartbeats_lost = workers[1].replies_lost = True
    workers[2].unreachable |= {"n-0"}
    for number in range(1, 4):
        cluster.cancel("n-1", f"run-{number}")
    cluster.run(2.0)
    cluster.dead.add("n-0")
    cluster.run(45.0)


def tasks_end_far_apart(cluster: SimulatedCluster) -> None:
    """One task ends before a change of leader, the other one after it."""
    first = start_leader(cluster, machines=2)
    second = cluster.workers["i-000002"]
    cluster.submit("n-1", task_count=2, cpus=30.0)
    cluster.run(6.0)
    assert first.tasks
    assert second.tasks
    cluster.finish_tasks(first)
    cluster.run(3.0)
    cluster.dead.add("n-0")
    cluster.run(8.0)
    cluster.poll("n-1")
    cluster.finish_tasks(second)
    cluster.run(4.0)
    assert cluster.poll("n-1") == 200
    assert cluster.rules.final_states == {"run-1": "done"}


def a_leader_that_stands_still(cluster: SimulatedCluster) -> None:
    """Its process is frozen while another controller leads and a user cancels; then it goes on."""
    worker = start_job(cluster)
    cluster.frozen.add("n-0")
    cluster.run(5.0)
    cluster.cancel("n-1")
    cluster.run(2.0)
    cluster.frozen.clear()
    cluster.send_heartbeat("n-0", worker.heartbeat())
    cluster.poll("n-0")
    cluster.run(3.0)


def apart_from_store_and_peers(cluster: SimulatedCluster) -> None:
    """Workers and users still reach the old leader while a job is cancelled at the new one."""
    worker = start_job(cluster)
    worker.unreachable |= {"n-1", "n-2"}
    cluster.cloud_down = True
    cluster.links["n-0"].refused = True
    cluster.partitions |= {frozenset(("n-0", "n-1")), frozenset(("n-0", "n-2"))}
    for _ in range(60):
        cluster.run(1.0)
        cluster.cancel("n-1")
        cluster.poll("n-0")
        cluster.poll("n-2")


def one_zone_loses_machines(cluster: SimulatedCluster) -> None:
    """An array is bound to a zone whose machines are lost one after the other."""
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


SCENARIOS: list[Scenario] = [
    cancelled_at_the_refusal,
    an_old_heartbeat_reaches_the_next_leader,
    an_old_heartbeat_of_a_machine_that_is_gone,
    a_failover_without_an_answer,
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


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_no_rule_is_broken(cluster: SimulatedCluster, scenario: Scenario) -> None:
    scenario(cluster)
    assert cluster.violations_after_settling() == []


@pytest.mark.parametrize("garbage", [b"null", b"[]", b"{", b'{"run":3}', b"\xff", b'{"1":[]}'])
@pytest.mark.parametrize(
    "key", ["j/run-9", "d/7", "d/x", "m/7", "m/x", "h/r-1-1", "flavours/3", "f/run-9"]
)
def test_an_unreadable_value_ends_no_term(
    cluster: SimulatedCluster, key: str, garbage: bytes
) -> None:
    """One value in the store is garbage: everything else is served, also by the next leader."""
    worker = start_job(cluster)
    cluster.store.write_raw(key, garbage)
    cluster.run(2.0)
    cluster.dead.add("n-0")
    cluster.run(8.0)
    cluster.poll_and_resubmit_everywhere()
    for name in ("n-1", "n-2"):
        if key in ("j/run-9", "f/run-9"):
            assert cluster.poll(name, "run-9") == 503
            assert cluster.cancel(name, "run-9") == 503
    cluster.finish_tasks(worker)
    cluster.run(4.0)
    cluster.poll_and_resubmit_everywhere()
    assert cluster.rules.final_states == {"run-1": "done"}
    assert cluster.violations_after_settling() == []


def test_an_invalid_job_record_is_ignored(cluster: SimulatedCluster) -> None:
    """It can be decoded, but no controller can have written it."""
    start_leader(cluster)
    senseless: list[dict[str, Any]] = [
        {"priority": "vip"},
        {"task_count": 0},
        {"task_count": 10**9},
        {"ref": "run-77"},
    ]
    for number, changes in enumerate(senseless, 1):
        record = JobRecord(job_spec(**{"ref": f"run-{number}", **changes}), 0.0)
        cluster.store.write_raw(f"j/run-{number}", msgspec.json.encode(record))
    cluster.run(2.0)
    leader = cluster.leader("n-0")
    assert leader is not None
    assert not leader.term.job_table.jobs
    assert cluster.submit("n-1", "run-5") == 201


@pytest.mark.parametrize("key", ["lead/holder", "lead/term"])
def test_nobody_takes_over_from_an_unreadable_election_record(
    cluster: SimulatedCluster, key: str
) -> None:
    """An unknown holder's lease must expire, and an unknown term number is never raised."""
    start_leader(cluster)
    holder = cluster.store.data["lead/holder"]
    cluster.store.write_raw(key, b"[1]", holder[2] if key == "lead/holder" else None)
    cluster.dead.add("n-0")
    cluster.run(1.0)
    assert all(cluster.leader(name) is None for name in ("n-1", "n-2"))
    cluster.run(6.0)
    led = any(cluster.leader(name) is not None for name in ("n-1", "n-2"))
    assert led is (key == "lead/holder")  # its lease has ended


def test_single_tasks_four_a_second_at_the_lowest_write_rate(cluster: SimulatedCluster) -> None:
    """A quarter is cancelled. Each job's end is one write; none is late, and no job waits."""
    cluster.state_limits = {"write_rps": 15.0}
    for name in CONTROLLERS:
        cluster.boot(name)
    start_leader(cluster, machines=4)
    before = cluster.store.writes
    begun: dict[str, float] = {}
    ended: dict[str, float] = {}
    for number in range(1, 241):
        ref = f"run-{number}"
        assert cluster.submit(CONTROLLERS[number % 3], ref, cpus=0.25, memory_gb=0.5) == 201
        cluster.run(0.25)
        if number % 4 == 0:
            assert cluster.cancel(CONTROLLERS[number % 3], f"run-{number - 2}") == 200
        for worker in cluster.workers.values():
            for (reported, attempt), found in worker.tasks.items():
                since = begun.setdefault(reported, cluster.clock())
                if found.status == "running" and cluster.clock() >= since + 4.0:
                    over = ReportedTask(reported, attempt, "ended", "done")
                    worker.tasks[reported, attempt] = over
                    ended.setdefault(reported.split("/")[0], cluster.clock())
                    worker.next_heartbeat_at = min(worker.next_heartbeat_at, cluster.clock() + 0.5)
        cluster.rules.check()
        for job, at in list(ended.items()):
            if cluster.clock() >= at + 3.0:
                assert cluster.poll("n-1", job) == 200
                assert cluster.rules.final_states.get(job), f"{job} is told late"
                del ended[job]
    # Accepted: 1; ended: 2 (the live record goes, the final one comes); cancelled: 1 more.
    assert cluster.store.writes - before <= 240 * 3 + 60 + 8
    assert not [key for key in cluster.store.data if key.startswith("d/run")]
    assert cluster.violations_after_settling() == []
    assert set(cluster.rules.final_states.values()) == {"done", "cancelled"}


@pytest.mark.parametrize(
    ("before_s", "outage_s", "apart", "who", "after"),
    [
        pytest.param(0.0, 52.0, False, "n-0", "", id="at_once"),
        pytest.param(0.0, 52.0, True, "n-0", "", id="at_once-cut_off"),
        pytest.param(0.5, 52.0, True, "n-0", "", id="after_0.5s-cut_off"),
        pytest.param(2.0, 52.0, False, "n-0", "", id="after_2s"),
        pytest.param(2.0, 52.0, True, "n-0", "", id="after_2s-cut_off"),
        pytest.param(2.0, 20.0, True, "n-0", "", id="after_2s-cut_off-short_outage"),
        pytest.param(2.0, 90.0, True, "n-0", "", id="after_2s-cut_off-long_outage"),
        pytest.param(5.0, 52.0, True, "n-0", "", id="after_5s-cut_off"),
        pytest.param(2.0, 52.0, True, "n-1", "", id="follower-after_2s-cut_off"),
        pytest.param(0.5, 90.0, True, "n-0", "dies", id="after_0.5s-cut_off-long_outage-dies"),
        pytest.param(2.0, 52.0, True, "n-0", "dies", id="after_2s-cut_off-dies"),
        pytest.param(2.0, 52.0, False, "n-0", "frozen", id="after_2s-freezes"),
        pytest.param(5.0, 90.0, True, "n-0", "frozen", id="after_5s-cut_off-long_outage-freezes"),
    ],
)
def test_the_leader_refused_alone_and_then_an_outage(
    cluster: SimulatedCluster, before_s: float, outage_s: float, apart: bool, who: str, after: str
) -> None:
    refused_alone(before_s, outage_s, apart, who, after)(cluster)
    assert cluster.violations_after_settling() == []
