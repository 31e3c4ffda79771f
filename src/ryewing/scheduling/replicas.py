"""Replicas: what serves until its job is cancelled, and is missed while it does not run."""

from __future__ import annotations

import math
from typing import NamedTuple

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import SHORT_WAIT_S, CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import gpu_cost
from ryewing.scheduling.tasks import TaskPlacer
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment

SHORT_WAIT_SHARE = 0.5
"""What wait is short for a replica, as a part of the shortest fetch of its image."""
DISPLACED_FOR_SHORT_WAIT = 0.5
"""The part of a machine that a replica may keep large tasks off rather than fetch an image: beside
two gang tasks a machine had room for two replicas, so that half of all had to fetch anew."""


class _Tier(NamedTuple):
    """One look at the machines, with what it allows."""

    warm_only: bool
    displaced_max: float
    candidates: Candidates


class ReplicaPlacer:
    """Places replicas, and moves those that should run elsewhere."""

    def __init__(self, state: CycleState, tasks: TaskPlacer) -> None:
        self._state = state
        self._tasks = tasks

    def place(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place replicas of the job at hand, or find room to be freed for them.

        Each is missed until it runs, so it goes first where the image is, stopping lesser work
        there rather than fetching elsewhere; and, since it stays, where no large task needs the
        room, or half a machine of it at the most. Only then does one matter less than the other.
        """
        limits = self._state.limits
        limits.cold_left = wanted
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        fresh = self._without_results(job, usable)
        tiers = [
            _Tier(True, 0.0, fresh),
            _Tier(True, DISPLACED_FOR_SHORT_WAIT, fresh),
            _Tier(False, 0.0, fresh),
            _Tier(False, math.inf, fresh),
        ]
        if fresh is not usable:
            tiers.append(_Tier(False, math.inf, usable))
        left = wanted
        for tier in tiers:
            if left <= 0:
                break
            limits.warm_only, limits.displaced_max = tier.warm_only, tier.displaced_max
            left -= self._tasks.place(job, left, tier.candidates)
        return wanted - left

    def _without_results(self, job: Job, usable: Candidates) -> Candidates:
        """Leave out the machines where a replica would end at once."""
        kept_by = job.result_kept_by
        fresh = [c for c in usable.capacities if c.machine.id not in kept_by]
        return self._state.narrowed(usable, fresh)

    def _acceptable_wait_s(self, job: Job) -> float:
        """Tell what wait is short for a replica: well below the shortest fetch."""
        shortest = self._state.candidates(job).fastest_fetch_s(job.spec)
        return max(SHORT_WAIT_S, SHORT_WAIT_SHARE * shortest)

    def move(self, assignment: Assignment) -> None:
        """Stop a replica that is to run elsewhere, once there is room for it.

        It may not start there before it is gone here. So room is found first, where its image is,
        and the gap is no longer than a stop and a start take; without room it serves on.
        """
        job, here = assignment.job, assignment.machine
        if job is None or assignment.task.number not in job.live:
            return
        state = self._state
        going = here.notice_s is not None
        limits = state.begin(job)
        limits.zones[here.zone] -= 1
        limits.cold_left = 1
        limits.warm_only = not going
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        capacities = self._better_places(job, assignment)
        fits = [capacity for capacity in capacities if capacity.may_fit(job.spec)]
        fits = state.sample(job, fits)
        choices = self._tasks.selector.choose(job, 1, fits)
        if choices:
            state.claim(job, choices)
            state.plan.moves.append(assignment)
            return
        choices = self._tasks.selector.choose(job, 1, fits, with_releasing=True)
        if choices:
            state.claim(job, choices)
        elif going:
            self._tasks.preemptor.preempt(job, 1, Candidates(capacities))

    def _better_places(self, job: Job, assignment: Assignment) -> list[MachineCapacity]:
        """List the machines where a replica would be better off."""
        here = assignment.machine
        must = here.notice_s is not None or here.quarantined
        cost = gpu_cost(job.spec, here)
        return [
            capacity
            for capacity in self._state.candidates(job).capacities
            if not capacity.machine.faults
            and self._state.may_use(job, capacity)
            and self._state.is_warm_enough(job.spec, capacity)
            and (must or gpu_cost(job.spec, capacity.machine) <= cost)
        ]
