"""Services for tests with the leader harness.

A service is a job whose replicas run until it is cancelled. Here they start at once, because the
fake workers fetch images in no time.
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
    """Accept a service, place its replicas, and let the workers report them as running."""
    name = harness.accept(**{**SERVICE, "image": "img-s", **changes})
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    return name


def replicas(harness: LeaderHarness, name: JobId) -> dict[int, str]:
    """Return the machine of each live replica, by replica number."""
    return dict(harness.leader.term.job_table.jobs[name].assigned_tasks)
