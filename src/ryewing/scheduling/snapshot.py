"""What a scheduling cycle decides by."""

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
    """What a cycle decides by; the cycle claims room from the capacities and the quota."""

    capacities: Sequence[MachineCapacity]
    """The machines that may get tasks."""
    quota: TeamQuota
    now: MonotonicTime
    rng: random.Random
    sample: int
    """How many machines are looked at for one job array or service."""
    gpu_reserve: GpuReserve = NO_RESERVE
    gpus_kept: float = math.inf
    """How many free GPUs are kept usable for work soon to come."""
    avoid: Callable[[Job, Machine], bool] = lambda _job, _machine: False
    """Whether a job avoids a machine that failed it."""
    fetches_share: bool = True
    """Whether images fetched at once share a machine's fetch rate."""
    recent_specs: Sequence[JobSpec] = ()
    """One recent job spec of each class: replicas leave room for such tasks."""
    next_heartbeat_in_s: Callable[[Machine], float] = lambda _machine: 0.0
    """Seconds until a machine's next heartbeat is expected."""
