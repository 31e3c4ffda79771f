"""Compares the demand for images with the machines that have them, to decide on further fetches.

A task that fetches its image holds its resources until the fetch is done, so a job may start sooner
if it waits for machines that have the image (delay scheduling).
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.gpu_reserve import MIN_CPUS_PER_GPU, GpuReserve
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.queueing import demand
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

COLD_DELAY_SHARE = 0.5
"""How long a job waits for a machine with its image, as a share of the slowest fetch."""
COLD_DELAY_MAX_S = 20.0
"""The longest time in seconds that a job waits for a machine with its image."""
LONG_FETCH_S = 10.0
"""A fetch longer than this many seconds is begun by one task per machine; other tasks are placed
there when it is done."""
EXPENSIVE_FETCH_SHARE = 0.25
"""A long fetch that takes more than this share of a task's run time is expensive: it is begun only
for tasks that warm machines can't run in the same time. Jobs do not wait to avoid cheaper fetches.
Before this rule, arrays that run for minutes waited to avoid a fetch of 25 s."""
PLENTIFUL_FACTOR = 1.5
"""A resource is plentiful if its free amount is at least this many times the amount that all
waiting jobs need."""


class ImageDemand:
    """The waiting work of arrays with one image, and the resources that need no fetch for it."""

    __slots__ = ("needs_gpus", "supply", "work")

    def __init__(self, needs_gpus: bool) -> None:
        self.needs_gpus = needs_gpus
        self.work = 0.0
        """GPU-seconds of waiting tasks (CPU-seconds for tasks without GPUs)."""
        self.supply = 0.0
        """GPUs (or CPUs) of the machines with the image. The resources of a machine with several
        needed images are divided equally between them."""


class ImageSurvey:
    """Summary of images and free resources, computed at the beginning of a cycle."""

    def __init__(
        self,
        capacities: Sequence[MachineCapacity],
        gpu_reserve: GpuReserve,
        jobs: Sequence[Job],
    ) -> None:
        self._demand: dict[str, ImageDemand] = {}
        self._cpus_plentiful = self._gpus_plentiful = False
        self._compare_capacity_with_demand(capacities, gpu_reserve, jobs)
        self._sum_demand(capacities, gpu_reserve, jobs)

    def _compare_capacity_with_demand(
        self, capacities: Sequence[MachineCapacity], gpu_reserve: GpuReserve, jobs: Sequence[Job]
    ) -> None:
        """Determine which resources are plentiful compared with the demand of all waiting jobs."""
        gpus = sum(job.shortfall * job.spec.gpus for job in jobs)
        cpus = sum(job.shortfall * job.spec.cpus for job in jobs)
        free_cpus = sum(max(0.0, capacity.free_cpus) for capacity in capacities)
        self._cpus_plentiful = free_cpus >= PLENTIFUL_FACTOR * cpus
        # A free GPU counts only if enough CPUs are free for it.
        cpus_per_gpu = max(gpu_reserve.cpus, MIN_CPUS_PER_GPU)
        usable_gpus = sum(
            min(capacity.free_gpus, capacity.free_cpus // cpus_per_gpu)
            for capacity in capacities
            if capacity.free_gpus > 0
        )
        self._gpus_plentiful = usable_gpus >= PLENTIFUL_FACTOR * gpus

    def _sum_demand(
        self, capacities: Sequence[MachineCapacity], gpu_reserve: GpuReserve, jobs: Sequence[Job]
    ) -> None:
        """Sum up the waiting work for each image, and the machines' supply for it."""
        for job in jobs:
            if job.is_gang or job.is_service:
                continue
            image_demand = self._demand.setdefault(job.spec.image, ImageDemand(job.spec.gpus > 0))
            image_demand.needs_gpus = job.spec.gpus > 0
            image_demand.work += job.shortfall * demand(job) * job.estimate_s()
        if self._demand:
            for capacity in capacities:
                self._count_supply(capacity, gpu_reserve.cpus)

    def _count_supply(self, capacity: MachineCapacity, cpus_per_gpu: float) -> None:
        """Add a machine's resources to the supply of the images that it has or is fetching."""
        machine = capacity.machine
        in_use = self._demand.keys() & machine.images_in_use.keys()
        names = self._demand.keys() & machine.images.keys()
        names |= {name for name in in_use if machine.images_in_use[name]}
        for name in names:
            capacity.needed_image_counts[self._demand[name].needs_gpus] += 1
        for name in names:
            image_demand = self._demand[name]
            if image_demand.needs_gpus:
                supply = capacity.usable_gpus(cpus_per_gpu)
            else:
                machine_type = machine.machine_type
                supply = max(0.0, machine_type.cpus - machine_type.gpus * cpus_per_gpu)
            image_demand.supply += supply / capacity.needed_image_counts[image_demand.needs_gpus]

    def is_plentiful(self, job: Job) -> bool:
        """Return whether the job's main resource is plentiful.

        The main resource is GPUs for a job that needs any, and CPUs for other jobs.
        """
        return self._gpus_plentiful if job.spec.gpus > 0 else self._cpus_plentiful

    def cold_limit(self, job: Job, candidates: Candidates) -> int:
        """Return how many tasks should fetch the image instead of waiting for warm machines.

        Tasks that warm machines can run within the time of a fetch would start no sooner on a cold
        machine, and each would hold its resources there for the whole fetch. Without this limit,
        every job in a backlog fetched its image on every machine. Where a fetch takes a minute, a
        third of the GPUs in use were held by fetching tasks, so the backlog grew and caused more
        cold starts.
        """
        image_demand = self._demand.get(job.spec.image)
        longest_fetch_s = candidates.slowest_fetch_s(job.spec)
        is_expensive = longest_fetch_s > max(LONG_FETCH_S, EXPENSIVE_FETCH_SHARE * job.estimate_s())
        if image_demand is None or image_demand.supply <= 0 or not is_expensive:
            return job.spec.task_count
        work_left = image_demand.work - image_demand.supply * longest_fetch_s
        return max(0, math.ceil(work_left / (demand(job) * job.estimate_s())))

    def note_placed_cold(self, job: Job, count: int) -> None:
        """Remove tasks that were placed on cold machines from the work for warm machines."""
        image_demand = self._demand.get(job.spec.image)
        if image_demand is not None and not job.is_service:
            image_demand.work -= count * demand(job) * job.estimate_s()

    def may_start_cold(
        self, job: Job, usable: Candidates, candidates: Candidates, now: MonotonicTime
    ) -> bool:
        """Return whether a job has waited long enough for a machine with its image.

        This is delay scheduling: a cold start holds its resources for the whole fetch, which often
        takes longer than the task runs. Gangs don't wait, because a whole machine, or several at
        once, rarely become free. No job waits while its resource is plentiful or while no usable
        machine has the image. Sets the job's `waiting_since` when its wait begins.
        """
        if self.is_plentiful(job) or job.is_gang:
            return True
        if not usable.with_image(job.spec.image):
            return True
        if job.waiting_since is None:
            job.waiting_since = now
        longest_fetch_s = candidates.slowest_fetch_s(job.spec)
        return now - job.waiting_since >= min(COLD_DELAY_SHARE * longest_fetch_s, COLD_DELAY_MAX_S)
