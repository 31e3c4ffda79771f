"""The machines that jobs with equal constraints may use, with indexes for a cycle's queries."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import fetch_s
from ryewing.scheduling.preemption import VictimKey
from ryewing.state.image_cache import COLD
from ryewing.state.jobs import Job
from ryewing.wire.jobs import JobSpec

NARROWING_SHARE = 0.5
"""A list of fitting machines is cached only if it has less than this share of the machines of the
list from which it was filtered."""


class _TaskResources(NamedTuple):
    """The resources that one task of a job needs."""

    cpus: float
    gpus: float
    memory_gb: float


class _UnplaceableKey(NamedTuple):
    """Identifies jobs that may preempt the same tasks and must leave the same resources free."""

    priority: int
    needs_gpus: bool
    guaranteed_team: str | None


class _FittingList(NamedTuple):
    """The machines where a task with the resources of `spec` might fit."""

    spec: JobSpec
    capacities: list[MachineCapacity]


class Candidates:
    """The machines that jobs with equal constraints may use, and indexes of them for one cycle.

    All lists are in the order of the cycle (`MachineCapacity.position`). Lists that a cycle needs
    repeatedly are cached as indexes and updated only for the few machines that change. When every
    machine was examined for every job, a cycle with 4,000 machines and 190 waiting jobs took 20
    times as long as one with 600 machines and 28 jobs.
    """

    def __init__(self, capacities: list[MachineCapacity]) -> None:
        self.capacities = capacities
        self._slowest_gb_per_s = min(
            (capacity.machine.machine_type.fetch_gb_per_s for capacity in capacities),
            default=math.inf,
        )
        self._fastest_gb_per_s = max(
            (capacity.machine.machine_type.fetch_gb_per_s for capacity in capacities),
            default=math.inf,
        )
        self._with_free_capacity: dict[bool, list[MachineCapacity]] = {}
        """Machines with free CPUs, by whether they must have free GPUs too."""
        self._fitting: list[_FittingList] = []
        self._with_image: dict[str, list[MachineCapacity]] | None = None
        self._preemptible: dict[VictimKey, list[MachineCapacity]] = {}
        self._gpu_counts: list[float] | None = None
        self._with_at_most_gpus: dict[float, Candidates] = {}
        self._unreserved: Candidates | None = None
        self._unplaceable: dict[_UnplaceableKey, list[_TaskResources]] = {}
        """The resources of tasks that fit on no machine, even with releasing resources and with
        preemption. Free resources only shrink during a cycle, so jobs of the same key that need at
        least as much are not tried."""

    # -- subsets ------------------------------------------------------------------------------

    def gpu_counts(self) -> list[float]:
        """Return the distinct numbers of GPUs per machine, in ascending order."""
        if self._gpu_counts is None:
            self._gpu_counts = sorted({c.machine.machine_type.gpus for c in self.capacities})
        return self._gpu_counts

    def with_at_most_gpus(self, max_gpus: float) -> Candidates:
        """Return the machines that have at most `max_gpus` GPUs, free or in use."""
        subset = self._with_at_most_gpus.get(max_gpus)
        if subset is None:
            subset = Candidates(
                [c for c in self.capacities if c.machine.machine_type.gpus <= max_gpus]
            )
            self._with_at_most_gpus[max_gpus] = subset
        return subset

    def unreserved(self) -> Candidates:
        """Return the machines that are not reserved for a gang.

        The result is cached, so the first call must come after the reservations.
        """
        if self._unreserved is None:
            free = [c for c in self.capacities if c.reservation_wait_s is None]
            self._unreserved = Candidates(free) if len(free) < len(self.capacities) else self
        return self._unreserved

    def _subsets(self) -> Iterator[Candidates]:
        yield from self._with_at_most_gpus.values()
        if self._unreserved is not None and self._unreserved is not self:
            yield self._unreserved

    # -- images -------------------------------------------------------------------------------

    def slowest_fetch_s(self, spec: JobSpec) -> float:
        """Estimate how long the slowest of these machines takes to fetch the job's image."""
        return fetch_s(spec, self._slowest_gb_per_s)

    def fastest_fetch_s(self, spec: JobSpec) -> float:
        """Estimate how long the fastest of these machines takes to fetch the job's image."""
        return fetch_s(spec, self._fastest_gb_per_s)

    def with_image(self, image: str) -> list[MachineCapacity]:
        """Return the machines that have an image or are fetching it.

        The index is built once, since a cycle does not change the machines' images.
        """
        if self._with_image is None:
            self._with_image = {}
            for capacity in self.capacities:
                for name in capacity.machine.present_images():
                    self._with_image.setdefault(name, []).append(capacity)
        return self._with_image.get(image, [])

    # -- resources ----------------------------------------------------------------------------

    def fitting(self, spec: JobSpec) -> list[MachineCapacity]:
        """Return the machines where a task might fit once the tasks being stopped have ended.

        Only machines from the cached list of a smaller task are examined. That is sufficient
        because free resources only shrink during a cycle, except where it stops tasks
        (`note_stopping`).
        """
        superset = self._smallest_superset(spec)
        fitting = [capacity for capacity in superset if capacity.may_fit(spec)]
        if superset is self.capacities or len(fitting) < NARROWING_SHARE * len(superset):
            self._fitting.append(_FittingList(spec, fitting))
        return fitting

    def fitting_with_image(self, spec: JobSpec) -> list[MachineCapacity]:
        """Return the fitting machines that have the task's image or are fetching it."""
        warm = self.with_image(spec.image)
        superset = self._smallest_superset(spec)
        if superset is self.capacities and warm:
            superset = self.fitting(spec)
        if len(superset) < len(warm):
            return [c for c in superset if c.may_fit(spec) and c.machine.warmth(spec.image) < COLD]
        return [capacity for capacity in warm if capacity.may_fit(spec)]

    def _smallest_superset(self, spec: JobSpec) -> list[MachineCapacity]:
        """Return the shortest cached list that includes every machine where a task might fit."""
        superset = self.capacities
        for smaller, capacities in self._fitting:
            if (
                spec.cpus >= smaller.cpus
                and spec.gpus >= smaller.gpus
                and spec.memory_gb >= smaller.memory_gb
                and len(capacities) < len(superset)
            ):
                superset = capacities
        return superset

    def with_free_capacity(self, spec: JobSpec) -> list[MachineCapacity]:
        """Return the machines with enough free resources for a task.

        For use at the end of a cycle: only machines that had free CPUs (and GPUs, if the task needs
        any) at the first call are examined.
        """
        needs_gpus = spec.gpus > 0
        machines = self._with_free_capacity.get(needs_gpus)
        if machines is None:
            machines = [
                capacity
                for capacity in self.capacities
                if capacity.free_cpus > 0 and (capacity.free_gpus > 0 or not needs_gpus)
            ]
            self._with_free_capacity[needs_gpus] = machines
        return [capacity for capacity in machines if capacity.count_fitting(spec, 1)]

    def is_known_unplaceable(self, job: Job) -> bool:
        """Return whether a job that needs no more than this one was recorded as unplaceable."""
        spec = job.spec
        return any(
            spec.cpus >= needed.cpus
            and spec.gpus >= needed.gpus
            and spec.memory_gb >= needed.memory_gb
            for needed in self._unplaceable.get(_unplaceable_key(job), ())
        )

    def record_unplaceable(self, job: Job) -> None:
        """Record that no machine can run a task of the job in this cycle."""
        spec = job.spec
        needed = _TaskResources(spec.cpus, spec.gpus, spec.memory_gb)
        self._unplaceable.setdefault(_unplaceable_key(job), []).append(needed)

    # -- preemption ---------------------------------------------------------------------------

    def preemptible(
        self, key: VictimKey, has_victims: Callable[[MachineCapacity], bool]
    ) -> list[MachineCapacity]:
        """Return the machines where jobs with this key may preempt a task not being stopped yet.

        `has_victims` decides this for one machine and must cache the machine's victims for the key.
        It is called once per machine and key.
        """
        preemptible = self._preemptible.get(key)
        if preemptible is None:
            preemptible = [capacity for capacity in self.capacities if has_victims(capacity)]
            self._preemptible[key] = preemptible
        return preemptible

    def note_stopping(self, capacity: MachineCapacity) -> None:
        """Update the indexes for a machine where a task is being stopped.

        More tasks may fit there, and fewer can be preempted.
        """
        if _index_of(self.capacities, capacity) is None:
            return
        for spec, capacities in self._fitting:
            if capacity.may_fit(spec):
                _insert(capacities, capacity)
        for key, capacities in self._preemptible.items():
            if not capacity.has_victims(key):
                _discard(capacities, capacity)
        for subset in self._subsets():
            subset.note_stopping(capacity)


def _unplaceable_key(job: Job) -> _UnplaceableKey:
    return _UnplaceableKey(
        job.priority, job.spec.gpus > 0, job.spec.team if job.guaranteed else None
    )


def _position(capacity: MachineCapacity) -> int:
    return capacity.position


def _index_of(capacities: list[MachineCapacity], capacity: MachineCapacity) -> int | None:
    """Return a machine's index in a list in the order of the cycle, or None if it is absent."""
    index = bisect_left(capacities, capacity.position, key=_position)
    return index if index < len(capacities) and capacities[index] is capacity else None


def _insert(capacities: list[MachineCapacity], capacity: MachineCapacity) -> None:
    if _index_of(capacities, capacity) is None:
        insort(capacities, capacity, key=_position)


def _discard(capacities: list[MachineCapacity], capacity: MachineCapacity) -> None:
    index = _index_of(capacities, capacity)
    if index is not None:
        del capacities[index]
