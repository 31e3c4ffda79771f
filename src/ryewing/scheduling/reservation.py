"""Reserving machines for a gang that has waited too long to begin."""

from __future__ import annotations

import math

from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.plan import Reservation
from ryewing.scheduling.preemption import may_preempt
from ryewing.state.jobs import Job
from ryewing.state.resources import count_fitting
from ryewing.units import MonotonicTime, Zone

MIN_TASK_LEFT_S = 1.0
"""How long a task that should have ended is still expected to run."""


def reserve(state: CycleState, job: Job) -> None:
    """Reserve the machines that can hold the whole gang soonest, in one zone if it asks for that.

    Other jobs may use them for tasks that end before the last of them is free (backfilling). The
    reservation is made anew in every cycle; machines that have emptied meanwhile come first, so it
    settles.
    """
    capacities = state.candidates(job).capacities
    best: list[MachineCapacity] = []
    best_wait_s = math.inf
    for zone in state.zones_for(job, capacities):
        chosen, wait_s = _soonest(state, job, capacities, zone)
        if chosen and wait_s < best_wait_s:
            best, best_wait_s = chosen, wait_s
    for capacity in best:
        capacity.reserved_for_s = best_wait_s
    if best:
        state.plan.reservation = Reservation(
            job, [capacity.machine for capacity in best], best_wait_s
        )


def _soonest(
    state: CycleState, job: Job, capacities: list[MachineCapacity], zone: Zone | None
) -> tuple[list[MachineCapacity], float]:
    """Return the machines that can hold the gang first, and in how many seconds.

    All are in `zone` if it isn't None. There are none if the machines can't hold it.
    """
    waits = [
        (_drain_s(job, capacity, state.now), number, capacity)
        for number, capacity in enumerate(capacities)
        if (zone is None or capacity.machine.zone == zone)
        and not state.snapshot.avoid(job, capacity.machine)
    ]
    chosen: list[MachineCapacity] = []
    left = job.spec.task_count
    for wait_s, _number, capacity in sorted(waits, key=lambda wait: wait[:2]):
        machine_type = capacity.machine.machine_type
        count = count_fitting(
            job.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, left
        )
        if count <= 0 or math.isinf(wait_s):
            continue
        chosen.append(capacity)
        left -= count
        if left == 0:
            return chosen, wait_s
    return [], math.inf


def _drain_s(job: Job, capacity: MachineCapacity, now: MonotonicTime) -> float:
    """Estimate in how many seconds a machine is free of all that the gang can't preempt."""
    longest_s = 0.0
    for assignment in capacity.machine.assignments.values():
        if assignment.job is None or assignment in capacity.stopping:
            continue
        if may_preempt(job, assignment):
            continue
        since = assignment.running_since
        ran_s = now - since if since is not None else 0.0
        longest_s = max(longest_s, assignment.job.estimate_s() - ran_s, MIN_TASK_LEFT_S)
    return longest_s
