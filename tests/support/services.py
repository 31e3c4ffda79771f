"""A service (a job of replicas that run until it is cancelled) for tests with the leader harness.

Replicas start at once: their image takes no time to fetch here.
"""

from __future__ import annotations

from typing import Any

from ryewing.units import JobId
from support.fakes import FakeWorker
from support.harness import LeaderHarness

SERVICE: dict[str, Any] = {
    "shape": "daemon",
    "priority": "production",
    "estimated_s": 0.0,
    "cpus": 1.0,
    "memory_gb": 2.0,
    "image_gb": 2.0,
}


def start_service(harness: LeaderHarness, *workers: FakeWorker, **changes: Any) -> JobId:
    """Start a service, and let the workers report its replicas as running."""
    name = harness.accept(**{**SERVICE, "image": "img-s", **changes})
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    return name


def replicas(harness: LeaderHarness, name: JobId) -> dict[int, str]:
    """Return the machine of each live replica, by its number."""
    return dict(harness.leader.term.job_table.jobs[name].assigned_tasks)
