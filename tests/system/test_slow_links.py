"""Compound failures on the way to workers: late direct commands, and slow links under overload.

The rules are asserted by `cluster.Referee`, from what users were told and what workers ran.
"""

from __future__ import annotations

import pytest
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker

from ryewing.units import parse_task

DRAIN_ROUNDS = 60
BEGIN_MAX_S = 240.0
"""Within which even the largest jobs have to begin."""


def bring_up(cluster: SimulatedCluster, count: int, **kind: str) -> list[TimedWorker]:
    """A leader, and machines that may be given work."""
    workers = [cluster.worker(f"i-{number:06d}", **kind) for number in range(1, count + 1)]
    cluster.run(4.0)
    return workers


def on_machines(cluster: SimulatedCluster, ref: str) -> int:
    """Count a job's tasks that have not ended."""
    return sum(
        found.status != "ended" and reported.startswith(f"{ref}/")
        for worker in cluster.workers.values()
        for (reported, _attempt), found in worker.tasks.items()
    )


def change_leader(cluster: SimulatedCluster) -> None:
    """The leader's process ends, and is back soon."""
    old = cluster.leader_name
    cluster.dead.add(old)
    cluster.run(5.0)
    assert cluster.leader_name != old
    cluster.boot(old)


# -- direct commands that are held up -------------------------------------------------------------


@pytest.mark.parametrize("leader_changes", [False, True])
def test_a_late_stop_of_a_cancelled_job_hits_nothing_newer(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """The stop arrives when another job has long had the room."""
    [worker] = bring_up(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0) == 201
    cluster.run(6.0)
    assert on_machines(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.cancel(CONTROLLERS[1], "run-1") == 200
    assert cluster.submit(CONTROLLERS[1], "run-2", cpus=30.0) == 201
    cluster.ask_all("run-1")
    if leader_changes:
        change_leader(cluster)
    cluster.run(12.0)
    worker.delays_commands = False
    assert (on_machines(cluster, "run-1"), on_machines(cluster, "run-2")) == (0, 1)
    worker.apply_delayed()
    assert on_machines(cluster, "run-2") == 1
    cluster.ask_all("run-1")
    assert cluster.verdict() == []
    assert on_machines(cluster, "run-2") == 1


@pytest.mark.parametrize("leader_changes", [False, True])
def test_a_late_stop_of_a_preempted_task_does_not_stop_its_next_attempt(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """Stopped for urgent work, started again after it, and then the stop comes once more."""
    [worker] = bring_up(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0, priority="idle") == 201
    cluster.run(6.0)
    assert on_machines(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", cpus=30.0, priority="urgent") == 201
    cluster.run(8.0)
    assert (on_machines(cluster, "run-1"), on_machines(cluster, "run-2")) == (0, 1)
    cluster.end(worker)
    if leader_changes:
        change_leader(cluster)
    cluster.run(12.0)
    assert on_machines(cluster, "run-1") == 1
    worker.delays_commands = False
    worker.apply_delayed()
    assert on_machines(cluster, "run-1") == 1
    assert cluster.verdict() == []
    assert on_machines(cluster, "run-1") == 1


def test_a_late_stop_of_a_gang_hits_no_later_attempt(cluster: SimulatedCluster) -> None:
    """A gang is cancelled beside one of the same shape, on the same machines."""
    workers = bring_up(cluster, 3)
    gang = {"shape": "group", "task_count": 3, "cpus": 30.0}
    assert cluster.submit(CONTROLLERS[0], "run-1", **gang) == 201
    cluster.run(8.0)
    assert on_machines(cluster, "run-1") == 3
    for worker in workers:
        worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", **gang) == 201
    assert cluster.cancel(CONTROLLERS[2], "run-1") == 200
    cluster.run(10.0)
    assert on_machines(cluster, "run-2") == 3
    change_leader(cluster)
    for worker in workers:
        worker.delays_commands = False
        worker.apply_delayed()
    assert cluster.verdict() == []
    assert on_machines(cluster, "run-2") == 3


# -- more work than room, over slow links ---------------------------------------------------------


class Overload:
    """Large gangs and arrays, urgent and not, for machines that answer late."""

    LARGE_GANG, LARGE_ARRAY = "run-1", "run-2"

    def __init__(self, cluster: SimulatedCluster, answer_s: float) -> None:
        self.cluster = cluster
        self.workers = bring_up(cluster, 6)
        for worker in self.workers:
            worker.answer_delay_s = answer_s
        self.begun: dict[str, float] = {}
        self._ran_from: dict[tuple[str, int], float] = {}
        self._count = 2
        self._began = cluster.clock()

    def submit_largest(self) -> None:
        """Submit a gang that needs every machine, and an array of many times their room."""
        self._began = self.cluster.clock()
        gang = {"shape": "group", "task_count": 6, "cpus": 20.0, "same_zone": True}
        self._submit(self.LARGE_GANG, priority="urgent", **gang)
        self._submit(self.LARGE_ARRAY, task_count=150, priority="standard")

    def _submit(self, ref: str, **changes: object) -> None:
        assert self.cluster.submit(CONTROLLERS[0], ref, **{"cpus": 4.0, **changes}) == 201

    def go_on(self, seconds: float, submit: bool = True, run_s: float = 20.0) -> None:
        """Keep the machines overloaded: small urgent gangs and arrays come all the time."""
        for second in range(round(seconds)):
            if submit and second % 5 == 0:
                self._count += 2
                self._submit(f"run-{self._count}", shape="group", task_count=8, priority="urgent")
                self._submit(f"run-{self._count + 1}", task_count=3, priority="standard")
            self.cluster.run(1.0)
            self._end_what_ran(run_s)

    def drain(self) -> None:
        """Let everything finish that is left."""
        for _ in range(DRAIN_ROUNDS):
            leader = self.cluster.leader(self.cluster.leader_name)
            if leader is not None and not leader.term.job_table.jobs:
                return
            self.go_on(10.0, submit=False)
        raise AssertionError("work is left")

    def _end_what_ran(self, run_s: float) -> None:
        now = self.cluster.clock()
        for worker in self.workers:
            for key, found in list(worker.tasks.items()):
                if found.status != "running":
                    continue
                task = parse_task(key[0])
                assert task is not None
                self.begun.setdefault(task.job, now - self._began)
                if now - self._ran_from.setdefault(key, now) >= run_s:
                    worker.end_task(key)
        self.cluster.rules.check()


@pytest.mark.parametrize(("answer_s", "leader_changes"), [(2.0, False), (3.5, True)])
def test_the_largest_begin_over_slow_links(
    cluster: SimulatedCluster, answer_s: float, leader_changes: bool
) -> None:
    """Answers take up to what a worker waits for them; nothing is put off for ever."""
    load = Overload(cluster, answer_s)
    load.go_on(25.0)
    load.submit_largest()
    load.go_on(60.0)
    if leader_changes:
        change_leader(cluster)
    load.go_on(BEGIN_MAX_S - 60.0)
    for largest in (load.LARGE_GANG, load.LARGE_ARRAY):
        assert load.begun.get(largest, BEGIN_MAX_S) < BEGIN_MAX_S
    for worker in load.workers:
        worker.answer_delay_s = 0.0
    load.drain()
    assert cluster.verdict() == []
