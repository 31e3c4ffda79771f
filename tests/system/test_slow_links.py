"""Compound failures on the way to workers: late direct commands, and slow links under overload.

The rules of the protocol are checked by `RuleChecker`, by what users were told and workers ran.
"""

from __future__ import annotations

import pytest
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker

from ryewing.units import parse_task_id

DRAIN_ROUNDS = 60
START_MAX_S = 240.0
"""Seconds within which even the largest jobs have to start."""


def start_workers(cluster: SimulatedCluster, count: int, **kind: str) -> list[TimedWorker]:
    """Start a leader and machines that may be given work; return the machines."""
    workers = [cluster.worker(f"i-{number:06d}", **kind) for number in range(1, count + 1)]
    cluster.run(4.0)
    return workers


def count_on_machines(cluster: SimulatedCluster, ref: str) -> int:
    """Count a job's tasks on machines that have not ended."""
    return sum(
        found.status != "ended" and reported.startswith(f"{ref}/")
        for worker in cluster.workers.values()
        for (reported, _attempt), found in worker.tasks.items()
    )


def replace_leader(cluster: SimulatedCluster) -> None:
    """End the leader's process, wait for another leader, and start the process again."""
    old = cluster.leader_name
    cluster.dead.add(old)
    cluster.run(5.0)
    assert cluster.leader_name != old
    cluster.boot(old)


# -- direct commands that are held up -------------------------------------------------------------


@pytest.mark.parametrize("leader_changes", [False, True], ids=["same_leader", "next_leader"])
def test_a_late_stop_of_a_cancelled_job_hits_nothing_newer(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """The stop arrives when another job already runs in the same place."""
    [worker] = start_workers(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0) == 201
    cluster.run(6.0)
    assert count_on_machines(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.cancel(CONTROLLERS[1], "run-1") == 200
    assert cluster.submit(CONTROLLERS[1], "run-2", cpus=30.0) == 201
    cluster.poll_and_resubmit_everywhere("run-1")
    if leader_changes:
        replace_leader(cluster)
    cluster.run(12.0)
    worker.delays_commands = False
    assert (count_on_machines(cluster, "run-1"), count_on_machines(cluster, "run-2")) == (0, 1)
    worker.apply_delayed()
    assert count_on_machines(cluster, "run-2") == 1
    cluster.poll_and_resubmit_everywhere("run-1")
    assert cluster.violations_after_settling() == []
    assert count_on_machines(cluster, "run-2") == 1


@pytest.mark.parametrize("leader_changes", [False, True], ids=["same_leader", "next_leader"])
def test_a_late_stop_of_a_preempted_task_does_not_stop_its_next_attempt(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """It is preempted, started again later, and then the delayed stop arrives."""
    [worker] = start_workers(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0, priority="idle") == 201
    cluster.run(6.0)
    assert count_on_machines(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", cpus=30.0, priority="urgent") == 201
    cluster.run(8.0)
    assert (count_on_machines(cluster, "run-1"), count_on_machines(cluster, "run-2")) == (0, 1)
    cluster.finish_tasks(worker)
    if leader_changes:
        replace_leader(cluster)
    cluster.run(12.0)
    assert count_on_machines(cluster, "run-1") == 1
    worker.delays_commands = False
    worker.apply_delayed()
    assert count_on_machines(cluster, "run-1") == 1
    assert cluster.violations_after_settling() == []
    assert count_on_machines(cluster, "run-1") == 1


def test_a_late_stop_of_a_gang_hits_no_later_attempt(cluster: SimulatedCluster) -> None:
    """A gang is cancelled, and one of the same shape starts on the same machines."""
    workers = start_workers(cluster, 3)
    gang = {"shape": "group", "task_count": 3, "cpus": 30.0}
    assert cluster.submit(CONTROLLERS[0], "run-1", **gang) == 201
    cluster.run(8.0)
    assert count_on_machines(cluster, "run-1") == 3
    for worker in workers:
        worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", **gang) == 201
    assert cluster.cancel(CONTROLLERS[2], "run-1") == 200
    cluster.run(10.0)
    assert count_on_machines(cluster, "run-2") == 3
    replace_leader(cluster)
    for worker in workers:
        worker.delays_commands = False
        worker.apply_delayed()
    assert cluster.violations_after_settling() == []
    assert count_on_machines(cluster, "run-2") == 3


# -- more work than room, over slow links ---------------------------------------------------------


class Overload:
    """More gangs and arrays, urgent and not, than there is room for, over slow links."""

    LARGE_GANG, LARGE_ARRAY = "run-1", "run-2"

    def __init__(self, cluster: SimulatedCluster, answer_delay_s: float) -> None:
        self.cluster = cluster
        self.workers = start_workers(cluster, 6)
        for worker in self.workers:
            worker.answer_delay_s = answer_delay_s
        self.started_after_s: dict[str, float] = {}
        self._running_since: dict[tuple[str, int], float] = {}
        self._count = 2
        self._submitted_at = cluster.clock()

    def submit_largest(self) -> None:
        """Submit a gang that needs every machine, and an array larger than all of them."""
        self._submitted_at = self.cluster.clock()
        gang = {"shape": "group", "task_count": 6, "cpus": 20.0, "same_zone": True}
        self._submit(self.LARGE_GANG, priority="urgent", **gang)
        self._submit(self.LARGE_ARRAY, task_count=150, priority="standard")

    def _submit(self, ref: str, **changes: object) -> None:
        assert self.cluster.submit(CONTROLLERS[0], ref, **{"cpus": 4.0, **changes}) == 201

    def run_overloaded(self, seconds: float, submit: bool = True, run_s: float = 20.0) -> None:
        """Let time pass while small urgent gangs and arrays are submitted all the time."""
        for second in range(round(seconds)):
            if submit and second % 5 == 0:
                self._count += 2
                self._submit(f"run-{self._count}", shape="group", task_count=8, priority="urgent")
                self._submit(f"run-{self._count + 1}", task_count=3, priority="standard")
            self.cluster.run(1.0)
            self._end_finished_tasks(run_s)

    def finish_all(self) -> None:
        """Let all remaining jobs finish."""
        for _ in range(DRAIN_ROUNDS):
            leader = self.cluster.leader(self.cluster.leader_name)
            if leader is not None and not leader.term.job_table.jobs:
                return
            self.run_overloaded(10.0, submit=False)
        raise AssertionError("jobs are left")

    def _end_finished_tasks(self, run_s: float) -> None:
        now = self.cluster.clock()
        for worker in self.workers:
            for key, found in list(worker.tasks.items()):
                if found.status != "running":
                    continue
                task = parse_task_id(key[0])
                assert task is not None
                self.started_after_s.setdefault(task.job, now - self._submitted_at)
                if now - self._running_since.setdefault(key, now) >= run_s:
                    worker.end_task(key)
        self.cluster.rules.check()


@pytest.mark.parametrize(
    ("answer_delay_s", "leader_changes"),
    [
        pytest.param(2.0, False, id="same_leader"),
        pytest.param(3.5, True, id="next_leader"),
    ],
)
def test_the_largest_jobs_start_over_slow_links(
    cluster: SimulatedCluster, answer_delay_s: float, leader_changes: bool
) -> None:
    """Responses take up to what a worker waits for them; the largest jobs still start in time."""
    load = Overload(cluster, answer_delay_s)
    load.run_overloaded(25.0)
    load.submit_largest()
    load.run_overloaded(60.0)
    if leader_changes:
        replace_leader(cluster)
    load.run_overloaded(START_MAX_S - 60.0)
    for largest in (load.LARGE_GANG, load.LARGE_ARRAY):
        assert load.started_after_s.get(largest, START_MAX_S) < START_MAX_S
    for worker in load.workers:
        worker.answer_delay_s = 0.0
    load.finish_all()
    assert cluster.violations_after_settling() == []
