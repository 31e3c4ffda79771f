"""Checks whether tasks fit a machine type, free resources and a team's limits."""

from __future__ import annotations

from ryewing.config.settings import Team
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import GANG, SERVICE, JobSpec

EPSILON = 1e-6
"""The tolerance of comparisons, because sums of decimal fractions are inexact."""


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether one task fits an empty machine of this type."""
    return (
        spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, limit: int) -> int:
    """Return how many of a job's tasks fit into the free resources, at most `limit`."""
    for needed, free in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if needed > 0:
            limit = min(limit, int((free + EPSILON) / needed)) if free > 0 else 0
    return max(0, limit)


def infeasibility_reason(
    spec: JobSpec, machine_types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Return why a job can never run (PROTOCOL, "POST /v2/runs": 422), or None if it can.

    The text is shown to the user and uses the field names of the protocol.
    """
    team = teams.get(spec.team)
    if team is None:
        return f"owner: unknown team {spec.team!r}"
    allowed = [
        machine_type
        for machine_type in machine_types.values()
        if (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
    ]
    if not any(fits_machine_type(spec, machine_type) for machine_type in allowed):
        return "a task fits no allowed machine type"
    tasks_at_once = spec.task_count if spec.shape in (GANG, SERVICE) else 1
    if team.cpus_max and spec.cpus * tasks_at_once > team.cpus_max:
        return f"vcpus: above the limit of team {spec.team!r}"
    if team.gpus_max and spec.gpus * tasks_at_once > team.gpus_max:
        return f"cards: above the limit of team {spec.team!r}"
    return None
