"""What limits the placement of one job during its turn in a cycle."""

from __future__ import annotations

import math
from collections import Counter

from ryewing.scheduling.gpu_reserve import GpuReserve
from ryewing.scheduling.preemption import victim_key
from ryewing.state.jobs import Job
from ryewing.units import Zone

SHORT_WAIT_S = 2.0
"""What a replica may wait for a heartbeat and its image, if it would wait longer elsewhere or other
tasks would have to be preempted for it there."""


class JobLimits:
    """The limits for the job whose turn it is; the placers change them from stage to stage."""

    __slots__ = (
        "acceptable_wait_s",
        "cold_left",
        "displaced_share_max",
        "gpu_reserve",
        "sampled_only",
        "tasks_by_zone",
        "victim_key",
        "warm_only",
    )

    def __init__(self, job: Job, gpu_reserve: GpuReserve) -> None:
        self.gpu_reserve = gpu_reserve.for_job(job)
        """What its tasks leave free for each free GPU."""
        self.victim_key = victim_key(job)
        self.tasks_by_zone: Counter[Zone] = Counter(job.tasks_by_zone)
        """How many of its tasks each zone has, including those placed in this cycle."""
        self.sampled_only = False
        """Whether it was shown a sample of the machines instead of all."""
        self.warm_only = False
        """Whether it still waits for a machine with its image."""
        self.cold_left = 0
        """How many of its tasks may still begin a fetch."""
        self.acceptable_wait_s = SHORT_WAIT_S
        """How long its replicas may wait for their start on a machine that counts as warm."""
        self.displaced_share_max = math.inf
        """What each of its replicas may take of the room for large tasks (`displaced_share`)."""
