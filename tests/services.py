"""A service, and how it is brought up on the stage."""

from __future__ import annotations

from typing import Any

from stage import Stage
from standins import FakeWorker

from ryewing.units import JobId

SERVICE: dict[str, Any] = {
    "shape": "daemon",
    "priority": "production",
    "estimated_s": 0.0,
    "cpus": 1.0,
    "memory_gb": 2.0,
    "image_gb": 2.0,
}


def serve(stage: Stage, *workers: FakeWorker, **changes: Any) -> JobId:
    """Start a service and let the workers show that it runs."""
    name = stage.accept(**{**SERVICE, "image": "img-s", **changes})
    stage.place()
    for worker in workers * 2:
        stage.exchange(worker)
    return name


def replicas(stage: Stage, name: JobId) -> dict[int, str]:
    return dict(stage.leader.ctx.job_table.jobs[name].live)
