"""Which images waiting jobs need, what serves them, and when another fetch is worth it.

A fetch holds a machine's room until it is over, so a job may be better off waiting for machines
that have its image (delay scheduling).
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
"""How long a job waits for a machine with its image, as a share of the fetch time."""
COLD_DELAY_MAX_S = 20.0
"""How long a job waits for a machine with its image at most."""
LONG_FETCH_S = 10.0
"""A fetch longer than this is begun by one task only; the others follow when it is done."""
EXPENSIVE_FETCH_SHARE = 0.25
"""A fetch longer than this share of the run is begun only for tasks that can't be served without
it. Cheaper ones are no reason to wait: arrays that run for minutes waited for a fetch of 25 s."""
PLENTIFUL_FACTOR = 1.5
"""Room is plentiful when it is this many times what all waiting jobs ask for."""


class ImageDemand:
    """The work of arrays that waits for one image, and what could serve it without a fetch."""

    __slots__ = ("needs_gpus", "supply", "work")

    def __init__(self, needs_gpus: bool) -> None:
        self.needs_gpus = needs_gpus
        self.work = 0.0
        """GPU-seconds that wait (processor-seconds, for work without GPUs)."""
        self.supply = 0.0
        """GPUs (or processors) of the machines with the image; a machine with several wanted images
        serves each with an equal share."""


class ImageSurvey:
    """What a cycle knows about images and room before it places anything."""

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
        """Find out of which resource there is more than all waiting jobs could use."""
        gpus = sum(job.shortfall * job.spec.gpus for job in jobs)
        cpus = sum(job.shortfall * job.spec.cpus for job in jobs)
        free_cpus = sum(max(0.0, capacity.cpus) for capacity in capacities)
        self._cpus_plentiful = free_cpus >= PLENTIFUL_FACTOR * cpus
        # A GPU counts if there are processors left beside it.
        cpus_per_gpu = max(gpu_reserve.cpus, MIN_CPUS_PER_GPU)
        usable_gpus = sum(
            min(capacity.gpus, capacity.cpus // cpus_per_gpu)
            for capacity in capacities
            if capacity.gpus > 0
        )
        self._gpus_plentiful = usable_gpus >= PLENTIFUL_FACTOR * gpus

    def _sum_demand(
        self, capacities: Sequence[MachineCapacity], gpu_reserve: GpuReserve, jobs: Sequence[Job]
    ) -> None:
        """Sum up the work that waits for each image, and what could serve it."""
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
        """Count a machine toward what serves the images that it has or is fetching."""
        machine = capacity.machine
        in_use = self._demand.keys() & machine.images_in_use.keys()
        names = self._demand.keys() & machine.images.keys()
        names |= {name for name in in_use if machine.images_in_use[name]}
        for name in names:
            capacity.wanted_image_counts[self._demand[name].needs_gpus] += 1
        for name in names:
            image_demand = self._demand[name]
            if image_demand.needs_gpus:
                supply = capacity.usable_gpus(cpus_per_gpu)
            else:
                machine_type = machine.machine_type
                supply = max(0.0, machine_type.cpus - machine_type.gpus * cpus_per_gpu)
            image_demand.supply += supply / capacity.wanted_image_counts[image_demand.needs_gpus]

    def is_plentiful(self, job: Job) -> bool:
        """Return whether there is more of what a job needs than all waiting jobs could use."""
        return self._gpus_plentiful if job.spec.gpus > 0 else self._cpus_plentiful

    def cold_limit(self, job: Job, candidates: Candidates) -> int:
        """Return how many tasks had better fetch the image than wait for warm machines.

        Tasks that the warm machines get through in the time of a fetch would begin no sooner on a
        cold one, where each takes a place for the whole fetch. Without this, in a backlog every
        job went cold everywhere: on machines that take a minute to fetch, a third of the GPUs in
        use were fetching, the backlog grew, and more went cold.
        """
        image_demand = self._demand.get(job.spec.image)
        longest_fetch_s = candidates.slowest_fetch_s(job.spec)
        is_expensive = longest_fetch_s > max(LONG_FETCH_S, EXPENSIVE_FETCH_SHARE * job.estimate_s())
        if image_demand is None or image_demand.supply <= 0 or not is_expensive:
            return job.spec.task_count
        work_left = image_demand.work - image_demand.supply * longest_fetch_s
        return max(0, math.ceil(work_left / (demand(job) * job.estimate_s())))

    def note_placed_cold(self, job: Job, count: int) -> None:
        """Note that so many tasks fetch the image themselves: warm machines need not serve them."""
        image_demand = self._demand.get(job.spec.image)
        if image_demand is not None and not job.is_service:
            image_demand.work -= count * demand(job) * job.estimate_s()

    def may_start_cold(
        self, job: Job, usable: Candidates, candidates: Candidates, now: MonotonicTime
    ) -> bool:
        """Return whether a job has waited long enough for a machine with its image.

        Delay scheduling: a cold start holds its room for the whole fetch, often longer than the
        task runs. Gangs don't wait: a whole machine, or several at once, become free too seldom.
        Neither does any job while room is plentiful, or while no usable machine has the image.
        Sets the job's `waiting_since` when its wait begins.
        """
        if self.is_plentiful(job) or job.is_gang:
            return True
        if not usable.with_image(job.spec.image):
            return True
        if job.waiting_since is None:
            job.waiting_since = now
        longest_fetch_s = candidates.slowest_fetch_s(job.spec)
        return now - job.waiting_since >= min(COLD_DELAY_SHARE * longest_fetch_s, COLD_DELAY_MAX_S)
