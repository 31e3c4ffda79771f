"""The room of the machines that are booting, handed out to waiting jobs in their order.

What booting machines will take need not be rented again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from ryewing.scheduling.machine_suitability import allows
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.state.resources import EPSILON, count_fitting
from ryewing.units import Zone
from ryewing.wire.jobs import JobSpec


def zone_allowance(job: Job, zone: str) -> int:
    """Return how many more of a job's tasks may be placed in a zone."""
    return job.max_tasks_per_zone - job.tasks_by_zone[Zone(zone)]


class _BootingMachine:
    """A booting machine with the room that it still has to give."""

    __slots__ = ("cpus", "gpus", "machine", "memory_gb")

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.cpus = machine.machine_type.cpus
        self.gpus = machine.machine_type.gpus
        self.memory_gb = machine.machine_type.memory_gb

    def take(self, spec: JobSpec, limit: int) -> int:
        """Give room to as many tasks as fit, up to a limit; return how many."""
        count = count_fitting(spec, self.cpus, self.gpus, self.memory_gb, limit)
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count
        return count

    def is_full(self, spec: JobSpec) -> bool:
        """Return whether nothing is left of some resource that such tasks need."""
        return (
            (spec.cpus > 0 and self.cpus <= EPSILON)
            or (spec.gpus > 0 and self.gpus <= EPSILON)
            or (spec.memory_gb > 0 and self.memory_gb <= EPSILON)
        )


class _Requirements(NamedTuple):
    """What decides which booting machines a job can use: what it allows and what it needs."""

    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    needs_cpus: bool
    needs_gpus: bool
    needs_memory: bool


class BootingRoom:
    """The booting machines, less the room that was given to jobs already."""

    def __init__(self, booting: Sequence[Machine]) -> None:
        self._machines = [_BootingMachine(machine) for machine in booting]
        self._usable: dict[_Requirements, list[_BootingMachine]] = {}
        """The machines, without full ones, by requirements. When every job searched all machines, a
        start with thousands of them took most of a core."""

    def take(self, job: Job, wanted: int, taken: Counter[str]) -> int:
        """Give room to up to `wanted` of a job's tasks; return to how many.

        `taken` counts the job's tasks by zone, and is updated.
        """
        left = wanted
        machines = self._usable_for(job.spec)
        full = 0
        for booting in machines:
            if left <= 0:
                break
            zone = booting.machine.zone
            count = booting.take(job.spec, min(left, zone_allowance(job, zone) - taken[zone]))
            taken[zone] += count
            left -= count
            full += booting.is_full(job.spec)
        if full:
            machines[:] = [booting for booting in machines if not booting.is_full(job.spec)]
        return wanted - left

    def _usable_for(self, spec: JobSpec) -> list[_BootingMachine]:
        requirements = _Requirements(
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.spot,
            spec.cpus > 0,
            spec.gpus > 0,
            spec.memory_gb > 0,
        )
        usable = self._usable.get(requirements)
        if usable is None:
            usable = [booting for booting in self._machines if allows(spec, booting.machine)]
            self._usable[requirements] = usable
        return usable
