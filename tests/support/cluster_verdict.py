"""The verdict on a simulated cluster: faults end, and the rules of the protocol must hold.

No accepted job may be forgotten, and none may wait although a machine that fits has room.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ryewing.leader.leader import Leader
from ryewing.units import parse_task_id
from ryewing.wire.jobs import JobSpec
from support.timed_workers import CONTROLLERS, STEP_S

if TYPE_CHECKING:
    from support.simulated_cluster import SimulatedCluster

PATIENCE_S = 10.0
"""How long a user who is refused asks again; the rules allow 75 s."""


def settle(cluster: SimulatedCluster, seconds: float = 60.0) -> None:
    """End all faults, start all controllers, and let some time pass."""
    cluster.store.down = cluster.cloud_down = False
    cluster.partitions.clear()
    cluster.frozen.clear()
    cluster.after_load = None
    for link in cluster.links.values():
        link.refused = link.watch_hangs = link.loses_answers = False
        link.stale_watch = link.before_answer = None
        link.apply_delayed()
    for name in list(cluster.dead):
        cluster.boot(name)
    for worker in cluster.workers.values():
        worker.hangs = worker.heartbeats_lost = worker.replies_lost = False
        worker.unreachable.clear()
    cluster.run(seconds)


def jobs_waiting_beside_room(cluster: SimulatedCluster) -> list[str]:
    """Return the jobs that wait although an idle machine fits, each with the machine."""
    leaders = cluster.latest_leaders()
    assert len(leaders) == len(cluster.nodes[CONTROLLERS[0]].electors)
    jobs = {job.id: job for leader in leaders for job in leader.term.job_table}
    used: dict[str, float] = defaultdict(float)
    for worker in cluster.workers.values():
        for task in (parse_task_id(reported) for reported, _ in worker.tasks):
            if task is not None and task.job in jobs:
                used[jobs[task.job].spec.team] += jobs[task.job].spec.gpus
    found = []
    for leader in leaders:
        for job in leader.term.job_table:
            need = job.spec
            limit = leader.term.teams[need.team].gpus_max
            if job.shortfall <= 0 or job.backoff_s:
                continue
            # A gang waits for all it needs of the limit, an array for one task's part.
            max_in_flight = job.shortfall if job.is_gang else 1
            if limit and used[need.team] + max_in_flight * need.gpus > limit:
                continue
            found += [
                f"{job.id} beside {name}" for name in _idle_machines_that_fit(cluster, leader, need)
            ]
    return found


def _jobs_still_waiting_after(cluster: SimulatedCluster, seconds: float) -> list[str]:
    """Return the jobs that wait beside room during all of a time."""
    found = jobs_waiting_beside_room(cluster)
    until = cluster.clock() + seconds
    while found and cluster.clock() < until:
        cluster.run(2.0)
        waiting = {text.split()[0] for text in jobs_waiting_beside_room(cluster)}
        found = [text for text in found if text.split()[0] in waiting]
    return found


def _idle_machines_that_fit(cluster: SimulatedCluster, leader: Leader, need: JobSpec) -> list[str]:
    return [
        machine.id
        for machine in leader.term.cluster.machines.values()
        if machine.id in cluster.workers
        and cluster.workers[machine.id].tasks == {}
        and need.cpus <= machine.machine_type.cpus
        and need.gpus <= machine.machine_type.gpus
        and (need.zone is None or need.zone == machine.zone)
    ]


def _poll_until_answered(cluster: SimulatedCluster, node: str, job: str) -> int:
    """Ask as a user does who gets a 503 and asks again; give up after `PATIENCE_S`."""
    for _ in range(round(PATIENCE_S / STEP_S)):
        status = cluster.poll(node, job)
        if status != 503:
            break
        cluster.run(STEP_S)
    return status


def violations_after_settling(cluster: SimulatedCluster, patience_s: float = 0.0) -> list[str]:
    """End all faults and return the rules that were broken.

    A job may wait beside room for no longer than `patience_s`.
    """
    settle(cluster)
    for job in sorted(cluster.rules.accepted):
        answers = {_poll_until_answered(cluster, name, job) for name in CONTROLLERS}
        if answers != {200}:
            cluster.rules.add_violation("forgotten", f"{job}: {answers}")
    waits = [f"waits: {text}" for text in _jobs_still_waiting_after(cluster, patience_s)]
    return cluster.rules.violations + waits
