"""Which images waiting work needs, which machines have them, and when to fetch one anew."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.gpu_reserve import GpuReserve
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.queueing import demand
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime

COLD_DELAY = 0.5
"""How long a job waits for a machine with its image, as a part of the fetch time."""
COLD_DELAY_MAX_S = 20.0
LONG_FETCH_S = 10.0
"""A fetch longer than this is begun by one task only; the others come when it is done."""
EXPENSIVE_FETCH = 0.25
"""A fetch longer than this part of the run is begun only for what can't be served without it.
Cheaper ones are no reason to wait: arrays that run for minutes waited for a fetch of 25 s."""
PLENTIFUL = 1.5
"""Room is plentiful when it is so many times what all waiting jobs ask for."""


class ImageDemand:
    """What waits for one image, and what could serve it without a fetch."""

    __slots__ = ("needs_gpus", "served", "work")

    def __init__(self, needs_gpus: bool) -> None:
        self.needs_gpus = needs_gpus
        self.work = 0.0
        """Seconds of GPUs (of processors, for work without GPUs) that wait."""
        self.served = 0.0
        """GPUs (or processors) of machines with the image, shared among what else is wanted
        there."""


class ImageSurvey:
    """What a cycle knows of images and of how much room there is, before it places anything."""

    def __init__(
        self,
        capacities: Sequence[MachineCapacity],
        gpu_reserve: GpuReserve,
        jobs: Sequence[Job],
    ) -> None:
        self._demand: dict[str, ImageDemand] = {}
        self._find_plentiful(capacities, gpu_reserve, jobs)
        self._find_demand(capacities, gpu_reserve, jobs)

    def _find_plentiful(
        self, capacities: Sequence[MachineCapacity], gpu_reserve: GpuReserve, jobs: Sequence[Job]
    ) -> None:
        """See of which resource there is more than all that waits could use."""
        gpus = sum(job.shortfall * job.spec.gpus for job in jobs)
        cpus = sum(job.shortfall * job.spec.cpus for job in jobs)
        free_cpus = sum(max(0.0, capacity.cpus) for capacity in capacities)
        self._cpus_plentiful = free_cpus >= PLENTIFUL * cpus
        # A GPU counts if there are processors left beside it.
        beside = max(gpu_reserve.cpus, 1e-3)
        usable = sum(
            min(capacity.gpus, capacity.cpus // beside)
            for capacity in capacities
            if capacity.gpus > 0
        )
        self._gpus_plentiful = usable >= PLENTIFUL * gpus

    def _find_demand(
        self, capacities: Sequence[MachineCapacity], gpu_reserve: GpuReserve, jobs: Sequence[Job]
    ) -> None:
        """See how much work waits for each image, and what has the image."""
        for job in jobs:
            if job.is_gang or job.is_service:
                continue
            wanted = self._demand.setdefault(job.spec.image, ImageDemand(job.spec.gpus > 0))
            wanted.needs_gpus = job.spec.gpus > 0
            wanted.work += job.shortfall * demand(job) * job.estimate_s()
        if self._demand:
            for capacity in capacities:
                self._count_served(capacity, gpu_reserve.cpus)

    def _count_served(self, capacity: MachineCapacity, cpus_per_gpu: float) -> None:
        here = capacity.machine
        in_use = self._demand.keys() & here.images_in_use.keys()
        names = self._demand.keys() & here.images.keys()
        names |= {name for name in in_use if here.images_in_use[name]}
        for name in names:
            capacity.wanted_images[self._demand[name].needs_gpus] += 1
        for name in names:
            wanted = self._demand[name]
            if wanted.needs_gpus:
                served = capacity.usable_gpus(cpus_per_gpu)
            else:
                machine_type = here.machine_type
                served = max(0.0, machine_type.cpus - machine_type.gpus * cpus_per_gpu)
            wanted.served += served / capacity.wanted_images[wanted.needs_gpus]

    def is_plentiful(self, job: Job) -> bool:
        """Tell whether there is more of what a job needs than all that waits could use."""
        return self._gpus_plentiful if job.spec.gpus > 0 else self._cpus_plentiful

    def cold_limit(self, job: Job, candidates: Candidates) -> int:
        """Tell how many tasks are better fetched for than kept waiting for warm machines.

        What the warm machines get through in the time of a fetch would begin no sooner on a cold
        one, where it takes a place for the whole fetch. Without this, in a backlog every job went
        cold everywhere: on machines that take a minute to fetch, a third of the GPUs in use were
        fetching, the backlog grew, and more went cold.
        """
        wanted = self._demand.get(job.spec.image)
        fetch = candidates.slowest_fetch_s(job.spec)
        expensive = fetch > max(LONG_FETCH_S, EXPENSIVE_FETCH * job.estimate_s())
        if wanted is None or wanted.served <= 0 or not expensive:
            return job.spec.task_count
        unit = demand(job) * job.estimate_s()
        return max(0, math.ceil((wanted.work - wanted.served * fetch) / unit))

    def placed_cold(self, job: Job, count: int) -> None:
        """So many tasks fetch the image themselves: warm machines need not serve them."""
        wanted = self._demand.get(job.spec.image)
        if wanted is not None and not job.is_service:
            wanted.work -= count * demand(job) * job.estimate_s()

    def may_start_cold(
        self, job: Job, usable: Candidates, candidates: Candidates, now: MonotonicTime
    ) -> bool:
        """Delay scheduling: wait a little for a machine that has the image.

        A cold start holds its room for the whole fetch, often longer than the task runs. Gangs
        don't wait: a whole machine, or several at once, come free too seldom. Nor does anybody
        where room is plentiful.
        """
        if self.is_plentiful(job) or job.is_gang:
            return True
        if not usable.with_image(job.spec.image):
            return True
        if job.waiting_since is None:
            job.waiting_since = now
        longest = candidates.slowest_fetch_s(job.spec)
        return now - job.waiting_since >= min(COLD_DELAY * longest, COLD_DELAY_MAX_S)
