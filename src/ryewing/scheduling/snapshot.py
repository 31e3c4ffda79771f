"""The input of a scheduling cycle."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import msgspec

from ryewing.scheduling.gpu_reserve import NO_RESERVE, GpuReserve
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime
from ryewing.wire.jobs import JobSpec


class SchedulingSnapshot(msgspec.Struct, frozen=True):
    """The input of a cycle, which claims resources from the capacities and the quota."""

    capacities: Sequence[MachineCapacity]
    """The machines that may get tasks, with their free resources."""
    quota: TeamQuota
    now: MonotonicTime
    rng: random.Random
    sample_size: int
    """The largest number of machines that are examined for one array or service."""
    gpu_reserve: GpuReserve = NO_RESERVE
    gpus_kept: float = math.inf
    """The number of free GPUs to which `gpu_reserve` applies: those that tasks are likely to use
    soon."""
    avoids: Callable[[Job, Machine], bool] = lambda _job, _machine: False
    """Whether a job avoids a machine because its tasks failed there."""
    is_fetch_rate_shared: bool = True
    """Whether concurrent fetches share a machine's fetch rate."""
    recent_specs: Sequence[JobSpec] = ()
    """One recent job spec of each class; replicas leave resources for such tasks."""
    next_heartbeat_in_s: Callable[[Machine], float] = lambda _machine: 0.0
    """Seconds until a machine's next heartbeat is expected."""
