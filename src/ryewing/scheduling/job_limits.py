"""The limits on the placement of one job in a cycle."""

from __future__ import annotations

import math
from collections import Counter

from ryewing.scheduling.gpu_reserve import GpuReserve
from ryewing.scheduling.preemption import victim_key
from ryewing.state.jobs import Job
from ryewing.units import Zone

SHORT_WAIT_S = 2.0
"""Seconds that a replica may always wait for a machine's heartbeat and its image. Such a wait is
preferred to a longer wait on another machine and to preempting tasks there."""


class JobLimits:
    """The limits of the current job; the placers change them from stage to stage."""

    __slots__ = (
        "acceptable_wait_s",
        "cold_starts_left",
        "displaced_share_max",
        "gpu_reserve",
        "sampled_only",
        "tasks_by_zone",
        "victim_key",
        "warm_only",
    )

    def __init__(self, job: Job, gpu_reserve: GpuReserve) -> None:
        self.gpu_reserve = gpu_reserve.for_job(job)
        """What the job's tasks must leave free for each free GPU."""
        self.victim_key = victim_key(job)
        self.tasks_by_zone: Counter[Zone] = Counter(job.tasks_by_zone)
        """How many of the job's tasks are in each zone, including those placed in this cycle."""
        self.sampled_only = False
        """Whether only a sample of the candidate machines was examined for the job."""
        self.warm_only = False
        """Whether the tasks may go only to machines that have the image or are fetching it; for
        replicas, see `acceptable_wait_s`."""
        self.cold_starts_left = 0
        """How many more tasks may begin a fetch."""
        self.acceptable_wait_s = SHORT_WAIT_S
        """A machine counts as warm for replicas if one would start there within this many
        seconds."""
        self.displaced_share_max = math.inf
        """The share of a machine that each replica may take from large tasks
        (`MachineCapacity.displaced_share`)."""
