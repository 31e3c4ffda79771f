"""Keeping machines for a gang that has waited too long to begin."""

from __future__ import annotations

import math

from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.plan import Reservation
from ryewing.scheduling.preemption import may_preempt
from ryewing.state.jobs import Job
from ryewing.state.resources import count_fitting
from ryewing.units import MonotonicTime, Zone

LEAST_WAIT_S = 1.0
"""How long a task that should have ended is still thought to run."""


def reserve(state: CycleState, job: Job) -> None:
    """Keep the machines that will soonest hold the whole gang, in one zone if it asks that.

    Others may use them for what ends before the last of them is free (backfilling). Decided anew
    in every cycle: machines that have emptied meanwhile come first, so it holds.
    """
    capacities = state.candidates(job).capacities
    best: list[MachineCapacity] = []
    best_wait_s = math.inf
    for zone in state.zones_for(job, capacities):
        found, wait_s = _soonest(state, job, capacities, zone)
        if found and wait_s < best_wait_s:
            best, best_wait_s = found, wait_s
    for capacity in best:
        capacity.reserved_for_s = best_wait_s
    if best:
        state.plan.reserved = Reservation(job, [capacity.machine for capacity in best], best_wait_s)


def _soonest(
    state: CycleState, job: Job, capacities: list[MachineCapacity], only: Zone | None
) -> tuple[list[MachineCapacity], float]:
    """Find the machines of a zone that will hold the gang first, and when; none if they can't."""
    waits = [
        (_drain_s(job, capacity, state.now), number, capacity)
        for number, capacity in enumerate(capacities)
        if (only is None or capacity.machine.zone == only)
        and not state.snapshot.avoid(job, capacity.machine)
    ]
    found: list[MachineCapacity] = []
    left = job.spec.task_count
    for wait_s, _number, capacity in sorted(waits, key=lambda wait: wait[:2]):
        kind = capacity.machine.machine_type
        count = count_fitting(job.spec, kind.cpus, kind.gpus, kind.memory_gb, left)
        if count <= 0 or math.isinf(wait_s):
            continue
        found.append(capacity)
        left -= count
        if left == 0:
            return found, wait_s
    return [], math.inf


def _drain_s(job: Job, capacity: MachineCapacity, now: MonotonicTime) -> float:
    """Estimate when a machine will be free of all that the gang would have to wait for."""
    left = 0.0
    for assignment in capacity.machine.assignments.values():
        if assignment.job is None or assignment in capacity.stopping:
            continue
        if may_preempt(job, assignment):
            continue
        since = assignment.running_since
        ran = now - since if since is not None else 0.0
        left = max(left, assignment.job.estimate_s() - ran, LEAST_WAIT_S)
    return left
