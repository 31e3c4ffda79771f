"""Rental options and what they cost.

Prices are those in the cloud's list of machine types: for one machine and one hour.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.resources import count_fitting, fits_machine_type
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec

IDLE_GPU_FACTOR = 4.0
"""The cost of a machine with GPUs is multiplied by this for a job without: GPUs left idle are
expensive, so such machines are rented only if nothing else can be had."""


class RentalOption(NamedTuple):
    """What one rental request asks for: a machine type in a zone, spot or on demand."""

    machine_type: str
    zone: str
    spot: bool


def tasks_per_machine(spec: JobSpec, machine_type: MachineType) -> int:
    """Return how many of a job's tasks an empty machine of this type has room for."""
    if not fits_machine_type(spec, machine_type):
        return 0
    return count_fitting(
        spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, spec.task_count
    )


def price(machine_type: MachineType, spot: bool) -> float:
    """Return the price of one machine for one hour.

    A type without a spot price is not offered as spot; it has its on-demand price for both.
    """
    if not spot:
        return machine_type.price
    return machine_type.spot_price if machine_type.spot_price is not None else machine_type.price


def share_of_machine(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the share of a machine's price that one task of a job is charged with.

    Counted as if the job filled the machine: other jobs will use the rest.
    """
    share = max(
        spec.cpus / machine_type.cpus if machine_type.cpus else 0.0,
        spec.gpus / machine_type.gpus if machine_type.gpus else 0.0,
        spec.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
    )
    if machine_type.gpus and not spec.gpus:
        share *= IDLE_GPU_FACTOR
    return share
