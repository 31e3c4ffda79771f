"""What tasks need against what there is: machine types, room, teams' limits."""

from __future__ import annotations

from ryewing.config.settings import Team
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import GANG, SERVICE, JobSpec

EPSILON = 1e-6
"""Amounts are sums of decimal fractions: so much too little is still enough."""


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Tell whether one task fits an empty machine of this type."""
    return (
        spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, limit: int) -> int:
    """Tell how many of a job's tasks fit into some room, up to a limit."""
    for need, have in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            limit = min(limit, int((have + EPSILON) / need)) if have > 0 else 0
    return max(0, limit)


def infeasibility_reason(
    spec: JobSpec, machine_types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Say why a job can never run, or None if it can."""
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
    tasks = spec.task_count if spec.shape in (GANG, SERVICE) else 1
    if team.cpus_max and spec.cpus * tasks > team.cpus_max:
        return f"vcpus: above the limit of team {spec.team!r}"
    if team.gpus_max and spec.gpus * tasks > team.gpus_max:
        return f"cards: above the limit of team {spec.team!r}"
    return None
