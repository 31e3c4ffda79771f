"""Allocates the capacity of booting machines to waiting jobs, in the order of the jobs.

Scale-out rents machines only for the tasks that get no capacity here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from ryewing.scheduling.machine_suitability import allows_machine
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.state.resources import EPSILON, count_fitting
from ryewing.units import Zone
from ryewing.wire.jobs import JobSpec


def zone_headroom(job: Job, zone: str) -> int:
    """Return how many more of a job's tasks may be placed in a zone."""
    return job.max_tasks_per_zone - job.tasks_by_zone[Zone(zone)]


class _BootingMachine:
    """A booting machine with its unallocated resources."""

    __slots__ = ("cpus", "gpus", "machine", "memory_gb")

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.cpus = machine.machine_type.cpus
        self.gpus = machine.machine_type.gpus
        self.memory_gb = machine.machine_type.memory_gb

    def allocate(self, spec: JobSpec, limit: int) -> int:
        """Allocate resources to as many tasks as fit, up to `limit`; return the number of tasks."""
        count = count_fitting(spec, self.cpus, self.gpus, self.memory_gb, limit)
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count
        return count

    def is_exhausted_for(self, spec: JobSpec) -> bool:
        """Return whether some resource that tasks of this spec need is used up."""
        return (
            (spec.cpus > 0 and self.cpus <= EPSILON)
            or (spec.gpus > 0 and self.gpus <= EPSILON)
            or (spec.memory_gb > 0 and self.memory_gb <= EPSILON)
        )


class _Requirements(NamedTuple):
    """The constraints and resources of a job that decide which booting machines it can use."""

    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    needs_cpus: bool
    needs_gpus: bool
    needs_memory: bool


class BootingCapacity:
    """The unallocated capacity of all booting machines."""

    def __init__(self, booting: Sequence[Machine]) -> None:
        self._machines = [_BootingMachine(machine) for machine in booting]
        self._machines_by_requirements: dict[_Requirements, list[_BootingMachine]] = {}
        """The suitable machines for each set of requirements, without exhausted ones. When every
        job scanned all machines, a start with thousands of booting machines used most of a core."""

    def allocate(self, job: Job, wanted: int, tasks_by_zone: Counter[str]) -> int:
        """Allocate capacity to up to `wanted` tasks of a job; return the number of tasks.

        `tasks_by_zone` counts the tasks allocated to the job in each zone, and is updated.
        """
        remaining = wanted
        machines = self._machines_for(job.spec)
        exhausted = 0
        for booting in machines:
            if remaining <= 0:
                break
            zone = booting.machine.zone
            count = booting.allocate(
                job.spec, min(remaining, zone_headroom(job, zone) - tasks_by_zone[zone])
            )
            tasks_by_zone[zone] += count
            remaining -= count
            exhausted += booting.is_exhausted_for(job.spec)
        if exhausted:
            machines[:] = [
                booting for booting in machines if not booting.is_exhausted_for(job.spec)
            ]
        return wanted - remaining

    def _machines_for(self, spec: JobSpec) -> list[_BootingMachine]:
        requirements = _Requirements(
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.spot,
            spec.cpus > 0,
            spec.gpus > 0,
            spec.memory_gb > 0,
        )
        suitable = self._machines_by_requirements.get(requirements)
        if suitable is None:
            suitable = [
                booting for booting in self._machines if allows_machine(spec, booting.machine)
            ]
            self._machines_by_requirements[requirements] = suitable
        return suitable
