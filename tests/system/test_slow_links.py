"""Compound failures between controllers and workers: late direct commands, and slow links.

`RuleChecker` checks the rules of the protocol on responses to users and tasks on workers.
"""

from __future__ import annotations

import pytest
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker

from ryewing.units import parse_task_id

DRAIN_ROUNDS = 60
START_MAX_S = 240.0
"""Seconds within which the largest jobs must start."""


def start_workers(cluster: SimulatedCluster, count: int, **fields: str) -> list[TimedWorker]:
    """Add machines and wait until a leader can place tasks on them; return their workers."""
    workers = [cluster.worker(f"i-{number:06d}", **fields) for number in range(1, count + 1)]
    cluster.run(4.0)
    return workers


def count_live_tasks(cluster: SimulatedCluster, ref: str) -> int:
    """Return how many of a job's tasks are on machines and have not ended."""
    return sum(
        reported.status != "ended" and task_id.startswith(f"{ref}/")
        for worker in cluster.workers.values()
        for (task_id, _attempt), reported in worker.tasks.items()
    )


def replace_leader(cluster: SimulatedCluster) -> None:
    """Kill the leader's process, wait for another leader, and restart the process."""
    old = cluster.leader_name
    cluster.dead.add(old)
    cluster.run(5.0)
    assert cluster.leader_name != old
    cluster.boot(old)


# -- delayed direct commands ----------------------------------------------------------------------


@pytest.mark.parametrize("leader_changes", [False, True], ids=["same_leader", "next_leader"])
def test_a_late_stop_of_a_cancelled_job_stops_no_later_job(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """The stop command arrives when another job already runs on the machine."""
    [worker] = start_workers(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0) == 201
    cluster.run(6.0)
    assert count_live_tasks(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.cancel(CONTROLLERS[1], "run-1") == 200
    assert cluster.submit(CONTROLLERS[1], "run-2", cpus=30.0) == 201
    cluster.poll_and_resubmit_everywhere("run-1")
    if leader_changes:
        replace_leader(cluster)
    cluster.run(12.0)
    worker.delays_commands = False
    assert (count_live_tasks(cluster, "run-1"), count_live_tasks(cluster, "run-2")) == (0, 1)
    worker.apply_delayed()
    assert count_live_tasks(cluster, "run-2") == 1
    cluster.poll_and_resubmit_everywhere("run-1")
    assert cluster.violations_after_settling() == []
    assert count_live_tasks(cluster, "run-2") == 1


@pytest.mark.parametrize("leader_changes", [False, True], ids=["same_leader", "next_leader"])
def test_a_late_stop_of_a_preempted_task_does_not_stop_its_next_attempt(
    cluster: SimulatedCluster, leader_changes: bool
) -> None:
    """The delayed stop command of the preempted attempt arrives during the next attempt."""
    [worker] = start_workers(cluster, 1)
    assert cluster.submit(CONTROLLERS[0], "run-1", cpus=30.0, priority="idle") == 201
    cluster.run(6.0)
    assert count_live_tasks(cluster, "run-1") == 1
    worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", cpus=30.0, priority="urgent") == 201
    cluster.run(8.0)
    assert (count_live_tasks(cluster, "run-1"), count_live_tasks(cluster, "run-2")) == (0, 1)
    cluster.finish_tasks(worker)
    if leader_changes:
        replace_leader(cluster)
    cluster.run(12.0)
    assert count_live_tasks(cluster, "run-1") == 1
    worker.delays_commands = False
    worker.apply_delayed()
    assert count_live_tasks(cluster, "run-1") == 1
    assert cluster.violations_after_settling() == []
    assert count_live_tasks(cluster, "run-1") == 1


def test_a_late_stop_of_a_gang_stops_no_later_gang(cluster: SimulatedCluster) -> None:
    """Stop commands of a cancelled gang arrive when another gang runs on the same machines."""
    workers = start_workers(cluster, 3)
    gang = {"shape": "group", "task_count": 3, "cpus": 30.0}
    assert cluster.submit(CONTROLLERS[0], "run-1", **gang) == 201
    cluster.run(8.0)
    assert count_live_tasks(cluster, "run-1") == 3
    for worker in workers:
        worker.delays_commands = True
    assert cluster.submit(CONTROLLERS[0], "run-2", **gang) == 201
    assert cluster.cancel(CONTROLLERS[2], "run-1") == 200
    cluster.run(10.0)
    assert count_live_tasks(cluster, "run-2") == 3
    replace_leader(cluster)
    for worker in workers:
        worker.delays_commands = False
        worker.apply_delayed()
    assert cluster.violations_after_settling() == []
    assert count_live_tasks(cluster, "run-2") == 3


# -- overload over slow links ---------------------------------------------------------------------


class Overload:
    """Submits more gangs and arrays than fit on the machines, over slow links."""

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
        """Submit a gang that needs every machine, and an array larger than the whole fleet."""
        self._submitted_at = self.cluster.clock()
        gang = {"shape": "group", "task_count": 6, "cpus": 20.0, "same_zone": True}
        self._submit(self.LARGE_GANG, priority="urgent", **gang)
        self._submit(self.LARGE_ARRAY, task_count=150, priority="standard")

    def _submit(self, ref: str, **changes: object) -> None:
        assert self.cluster.submit(CONTROLLERS[0], ref, **{"cpus": 4.0, **changes}) == 201

    def run_overloaded(self, seconds: float, submit: bool = True, run_s: float = 20.0) -> None:
        """Simulate `seconds`; if `submit`, add a small urgent gang and a small array every 5 s."""
        for second in range(round(seconds)):
            if submit and second % 5 == 0:
                self._count += 2
                self._submit(f"run-{self._count}", shape="group", task_count=8, priority="urgent")
                self._submit(f"run-{self._count + 1}", task_count=3, priority="standard")
            self.cluster.run(1.0)
            self._end_finished_tasks(run_s)

    def finish_all(self) -> None:
        """Run until all jobs have finished."""
        for _ in range(DRAIN_ROUNDS):
            leader = self.cluster.leader(self.cluster.leader_name)
            if leader is not None and not leader.term.job_table.jobs:
                return
            self.run_overloaded(10.0, submit=False)
        raise AssertionError("unfinished jobs are left")

    def _end_finished_tasks(self, run_s: float) -> None:
        now = self.cluster.clock()
        for worker in self.workers:
            for key, reported in list(worker.tasks.items()):
                if reported.status != "running":
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
    """Responses take as long as workers wait for them; the largest jobs must start in time."""
    overload = Overload(cluster, answer_delay_s)
    overload.run_overloaded(25.0)
    overload.submit_largest()
    overload.run_overloaded(60.0)
    if leader_changes:
        replace_leader(cluster)
    overload.run_overloaded(START_MAX_S - 60.0)
    for largest in (overload.LARGE_GANG, overload.LARGE_ARRAY):
        assert overload.started_after_s.get(largest, START_MAX_S) < START_MAX_S
    for worker in overload.workers:
        worker.answer_delay_s = 0.0
    overload.finish_all()
    assert cluster.violations_after_settling() == []
