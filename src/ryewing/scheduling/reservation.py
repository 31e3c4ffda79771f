"""Reserves machines for a gang that has waited too long to begin."""

from __future__ import annotations

import math

from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.plan import Reservation
from ryewing.scheduling.preemption import may_preempt
from ryewing.state.jobs import Job
from ryewing.state.resources import count_fitting
from ryewing.units import MonotonicTime, Zone

MIN_REMAINING_RUN_S = 1.0
"""The least number of seconds for which a task is expected to continue, even if it should have
ended."""


def reserve(state: CycleState, job: Job) -> None:
    """Reserve the machines that can run the whole gang soonest, in one zone if it has `same_zone`.

    Other jobs may use the machines for tasks that end before the last machine is free
    (backfilling). Each cycle makes a new reservation. Machines that have become free come first, so
    successive reservations converge on the same machines.
    """
    capacities = state.candidates(job).capacities
    best: list[MachineCapacity] = []
    best_wait_s = math.inf
    for zone in state.zones_for(job, capacities):
        chosen, wait_s = _earliest_machines(state, job, capacities, zone)
        if chosen and wait_s < best_wait_s:
            best, best_wait_s = chosen, wait_s
    for capacity in best:
        capacity.reservation_wait_s = best_wait_s
    if best:
        state.plan.reservation = Reservation(
            job, [capacity.machine for capacity in best], best_wait_s
        )


def _earliest_machines(
    state: CycleState, job: Job, capacities: list[MachineCapacity], zone: Zone | None
) -> tuple[list[MachineCapacity], float]:
    """Return the machines that can run the gang first, and in how many seconds.

    All are in `zone` if it isn't None. The list is empty if the machines are too few or too small.
    """
    waits = [
        (_drain_s(job, capacity, state.now), number, capacity)
        for number, capacity in enumerate(capacities)
        if (zone is None or capacity.machine.zone == zone)
        and not state.snapshot.avoids(job, capacity.machine)
    ]
    chosen: list[MachineCapacity] = []
    remaining = job.spec.task_count
    for wait_s, _number, capacity in sorted(waits, key=lambda wait: wait[:2]):
        machine_type = capacity.machine.machine_type
        count = count_fitting(
            job.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, remaining
        )
        if count <= 0 or math.isinf(wait_s):
            continue
        chosen.append(capacity)
        remaining -= count
        if remaining == 0:
            return chosen, wait_s
    return [], math.inf


def _drain_s(job: Job, capacity: MachineCapacity, now: MonotonicTime) -> float:
    """Estimate the seconds until all tasks on a machine that the gang can't preempt have ended."""
    longest_s = 0.0
    for assignment in capacity.machine.assignments.values():
        if assignment.job is None or assignment in capacity.stopping:
            continue
        if may_preempt(job, assignment):
            continue
        since = assignment.running_since
        ran_s = now - since if since is not None else 0.0
        longest_s = max(longest_s, assignment.job.estimate_s() - ran_s, MIN_REMAINING_RUN_S)
    return longest_s
