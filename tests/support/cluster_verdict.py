"""Checks the rules of the protocol on a simulated cluster after all faults have ended.

No accepted job may be lost, and no job may wait while an idle machine that fits it exists.
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

RETRY_TIMEOUT_S = 10.0
"""How long a user retries a poll answered with 503; the rules allow 75 s."""


def settle(cluster: SimulatedCluster, seconds: float = 60.0) -> None:
    """End all faults, restart the stopped controllers, and let `seconds` pass."""
    cluster.store.down = cluster.cloud_down = False
    cluster.partitions.clear()
    cluster.frozen.clear()
    cluster.after_load = None
    for link in cluster.links.values():
        link.refused = link.watch_hangs = link.loses_answers = False
        link.max_watch_revision = link.before_answer = None
        link.apply_delayed()
    for name in list(cluster.dead):
        cluster.boot(name)
    cluster.late_copies.share = 0.0  # those that were made still arrive
    for worker in cluster.workers.values():
        worker.hangs = worker.heartbeats_lost = worker.replies_lost = False
        worker.unreachable.clear()
        worker.delays_commands = False
        worker.apply_delayed()
    cluster.run(seconds)


def jobs_waiting_despite_idle_machines(cluster: SimulatedCluster) -> list[str]:
    """Return each job that waits although an idle machine fits it, with the machine."""
    leaders = cluster.latest_leaders()
    assert len(leaders) == len(cluster.nodes[CONTROLLERS[0]].electors)
    jobs = {job.id: job for leader in leaders for job in leader.term.job_table}
    used: dict[str, float] = defaultdict(float)
    for worker in cluster.workers.values():
        for task in (parse_task_id(task_id) for task_id, _ in worker.tasks):
            if task is not None and task.job in jobs:
                used[jobs[task.job].spec.team] += jobs[task.job].spec.gpus
    waits = []
    for leader in leaders:
        for job in leader.term.job_table:
            spec = job.spec
            limit = leader.term.teams[spec.team].gpus_max
            if job.shortfall <= 0 or job.backoff_s:
                continue
            # A gang needs quota for all its missing tasks at once, an array for a single task.
            min_tasks = job.shortfall if job.is_gang else 1
            if limit and used[spec.team] + min_tasks * spec.gpus > limit:
                continue
            waits += [
                f"{job.id} while {name} is idle"
                for name in _idle_machines_that_fit(cluster, leader, spec)
            ]
    return waits


def _jobs_still_waiting_after(cluster: SimulatedCluster, seconds: float) -> list[str]:
    """Return the jobs that wait despite idle machines at every check over `seconds`."""
    waits = jobs_waiting_despite_idle_machines(cluster)
    until = cluster.clock() + seconds
    while waits and cluster.clock() < until:
        cluster.run(2.0)
        waiting = {text.split()[0] for text in jobs_waiting_despite_idle_machines(cluster)}
        waits = [text for text in waits if text.split()[0] in waiting]
    return waits


def _idle_machines_that_fit(cluster: SimulatedCluster, leader: Leader, spec: JobSpec) -> list[str]:
    return [
        machine.id
        for machine in leader.term.cluster.machines.values()
        if machine.id in cluster.workers
        and cluster.workers[machine.id].tasks == {}
        and spec.cpus <= machine.machine_type.cpus
        and spec.gpus <= machine.machine_type.gpus
        and (spec.zone is None or spec.zone == machine.zone)
    ]


def _poll_until_answered(cluster: SimulatedCluster, node: str, job: str) -> int:
    """Poll a job as a user who retries on 503, for at most `RETRY_TIMEOUT_S`; return the status."""
    for _ in range(round(RETRY_TIMEOUT_S / STEP_S)):
        status = cluster.poll(node, job)
        if status != 503:
            break
        cluster.run(STEP_S)
    return status


def violations_after_settling(cluster: SimulatedCluster, max_wait_s: float = 0.0) -> list[str]:
    """End all faults, let the cluster settle, and return all violations of the rules.

    A job that still waits despite idle machines after another `max_wait_s` is a violation.
    """
    settle(cluster)
    for job in sorted(cluster.rules.accepted):
        answers = {_poll_until_answered(cluster, name, job) for name in CONTROLLERS}
        if answers != {200}:
            cluster.rules.add_violation("job_lost", f"{job}: {answers}")
    waits = [f"waits: {text}" for text in _jobs_still_waiting_after(cluster, max_wait_s)]
    return cluster.rules.violations + waits
