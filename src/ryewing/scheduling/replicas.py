"""Placing and moving replicas: the tasks of services, which run until the job is cancelled."""

from __future__ import annotations

import math
from typing import NamedTuple

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.job_limits import SHORT_WAIT_S
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import gpu_cost
from ryewing.scheduling.tasks import TaskPlacer
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment

SHORT_WAIT_SHARE = 0.5
"""What wait is short for a replica, as a share of the fastest fetch of its image."""
DISPLACED_SHARE_FOR_SHORT_WAIT = 0.5
"""The share of a machine that a replica may take from large tasks rather than fetch an image:
beside two gang tasks a machine had room for two replicas, so that half of all had to fetch anew."""


class _Tier(NamedTuple):
    """One attempt to place replicas, with the limits that it sets."""

    warm_only: bool
    displaced_share_max: float
    candidates: Candidates


class ReplicaPlacer:
    """Places replicas, and moves those that should run elsewhere."""

    def __init__(self, state: CycleState, tasks: TaskPlacer) -> None:
        self._state = state
        self._tasks = tasks

    def place(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place replicas of the job at hand, or claim room to be released; return for how many.

        Each is missed until it runs, so it goes first where the image is, preempting less
        important work there rather than fetching elsewhere; and, since it stays, where it takes
        no room from large tasks, or half a machine of it at most. Only then is one of the two
        conditions given up, and then both.
        """
        limits = self._state.limits
        limits.cold_left = wanted
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        fresh = self._without_results(job, usable)
        tiers = [
            _Tier(True, 0.0, fresh),
            _Tier(True, DISPLACED_SHARE_FOR_SHORT_WAIT, fresh),
            _Tier(False, 0.0, fresh),
            _Tier(False, math.inf, fresh),
        ]
        if fresh is not usable:
            tiers.append(_Tier(False, math.inf, usable))
        left = wanted
        for tier in tiers:
            if left <= 0:
                break
            limits.warm_only = tier.warm_only
            limits.displaced_share_max = tier.displaced_share_max
            left -= self._tasks.place(job, left, tier.candidates)
        return wanted - left

    def _without_results(self, job: Job, usable: Candidates) -> Candidates:
        """Leave out the machines that keep a result of a replica, where it would end at once."""
        kept_by = job.result_kept_by
        fresh = [c for c in usable.capacities if c.machine.id not in kept_by]
        return self._state.narrowed(usable, fresh)

    def _acceptable_wait_s(self, job: Job) -> float:
        """Return what wait is short for a replica: well below the fastest fetch."""
        fastest_fetch_s = self._state.candidates(job).fastest_fetch_s(job.spec)
        return max(SHORT_WAIT_S, SHORT_WAIT_SHARE * fastest_fetch_s)

    def move(self, assignment: Assignment) -> None:
        """Plan to stop a replica that should run elsewhere, if there is free room for it there.

        It may not start there before it is gone here. So room is claimed first, where its image
        is, and the gap is no longer than a stop and a start take; without room it serves on.
        """
        job, machine = assignment.job, assignment.machine
        if job is None or assignment.task.number not in job.assigned_tasks:
            return
        state = self._state
        is_about_to_go = machine.notice_s is not None
        limits = state.begin(job)
        limits.tasks_by_zone[machine.zone] -= 1
        limits.cold_left = 1
        limits.warm_only = not is_about_to_go
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        capacities = self._better_places(job, assignment)
        fitting = [capacity for capacity in capacities if capacity.may_fit(job.spec)]
        fitting = state.sample(job, fitting)
        choices = self._tasks.selector.choose(job, 1, fitting)
        if choices:
            state.claim(job, choices)
            state.plan.moves.append(assignment)
            return
        choices = self._tasks.selector.choose(job, 1, fitting, with_releasing=True)
        if choices:
            state.claim(job, choices)
        elif is_about_to_go:
            self._tasks.preemptor.preempt(job, 1, Candidates(capacities))

    def _better_places(self, job: Job, assignment: Assignment) -> list[MachineCapacity]:
        """Return the machines where a replica would be better off than on its present one."""
        present = assignment.machine
        must_move = present.notice_s is not None or present.quarantined
        present_cost = gpu_cost(job.spec, present)
        return [
            capacity
            for capacity in self._state.candidates(job).capacities
            if not capacity.machine.failed_jobs
            and self._state.may_use(job, capacity)
            and self._state.is_warm_enough(job.spec, capacity)
            and (must_move or gpu_cost(job.spec, capacity.machine) <= present_cost)
        ]
