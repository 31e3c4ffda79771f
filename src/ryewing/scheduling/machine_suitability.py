"""Whether a job may use a machine, and the costs of using it.

Pure functions of a job's spec and a machine.
"""

from __future__ import annotations

from ryewing.state.machine import Machine
from ryewing.wire.jobs import JobSpec

MIN_FETCH_GB_PER_S = 1e-3
"""The least fetch rate assumed for a machine type; avoids a division by zero."""


def allows_machine(spec: JobSpec, machine: Machine) -> bool:
    """Return whether the spec permits the machine's type and zone, and spot if it is a spot one."""
    return (
        (spec.machine_types is None or machine.machine_type.name in spec.machine_types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )


def fetch_s(spec: JobSpec, gb_per_s: float) -> float:
    """Estimate the seconds a machine with this fetch rate takes to fetch the job's image."""
    return spec.image_gb / max(gb_per_s, MIN_FETCH_GB_PER_S)


def stranded_gpus(spec: JobSpec, machine: Machine) -> float:
    """Return how many GPUs of the machine a task without GPUs might make unusable.

    That is all of them if the task needs no GPUs, otherwise 0.
    """
    return machine.machine_type.gpus if spec.gpus <= 0 else 0.0


def gpu_cost(spec: JobSpec, machine: Machine) -> float:
    """Return the machine's price per GPU if the task needs none of its GPUs, otherwise 0.

    Machines with the most expensive GPUs are cordoned first, and a replica placed there would then
    have to be moved.
    """
    machine_type = machine.machine_type
    if spec.gpus > 0 or not machine_type.gpus:
        return 0.0
    return machine_type.price / machine_type.gpus
