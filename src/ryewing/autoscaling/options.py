"""Rental options and their cost.

Prices come from the cloud's list of machine types and are for one machine and one hour.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.resources import count_fitting, fits_machine_type
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec

IDLE_GPU_COST_FACTOR = 4.0
"""Multiplies the cost of a machine with GPUs for a job that needs none. Idle GPUs are expensive, so
such machines are rented for it only if no other option is available."""


class RentalOption(NamedTuple):
    """A machine type in a zone, spot or on demand: what one rental request is for."""

    machine_type: str
    zone: str
    spot: bool


def tasks_per_machine(spec: JobSpec, machine_type: MachineType) -> int:
    """Return how many tasks of a job fit on an empty machine of a type."""
    if not fits_machine_type(spec, machine_type):
        return 0
    return count_fitting(
        spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, spec.task_count
    )


def price(machine_type: MachineType, spot: bool) -> float:
    """Return the price of one machine for one hour.

    The on-demand price replaces a missing spot price. A type without one is not offered as spot.
    """
    if not spot:
        return machine_type.price
    return machine_type.spot_price if machine_type.spot_price is not None else machine_type.price


def share_of_machine(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the fraction of a machine's price that is attributed to one task of a job.

    It is the largest fraction that the task needs of any resource: the remaining capacity is not
    charged to the job, because other jobs will use it. Idle GPUs multiply the fraction by
    `IDLE_GPU_COST_FACTOR`.
    """
    share = max(
        spec.cpus / machine_type.cpus if machine_type.cpus else 0.0,
        spec.gpus / machine_type.gpus if machine_type.gpus else 0.0,
        spec.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
    )
    if machine_type.gpus and not spec.gpus:
        share *= IDLE_GPU_COST_FACTOR
    return share
