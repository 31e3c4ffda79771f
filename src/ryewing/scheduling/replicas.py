"""Places and moves replicas: the tasks of services, which run until the job is cancelled."""

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
"""The acceptable wait of a replica, as a share of the fastest fetch of its image."""
DISPLACED_SHARE_FOR_SHORT_WAIT = 0.5
"""The share of a machine that a replica may take from large tasks to avoid a fetch. Without this,
a machine with two gang tasks could take only two replicas, and half of all replicas had to fetch
the image on another machine."""


class _Tier(NamedTuple):
    """The limits and candidates of one step of placing replicas."""

    warm_only: bool
    displaced_share_max: float
    candidates: Candidates


class ReplicaPlacer:
    """Places replicas, and moves those that should run on another machine."""

    def __init__(self, state: CycleState, task_placer: TaskPlacer) -> None:
        self._state = state
        self._task_placer = task_placer

    def place(self, job: Job, requested: int, usable: Candidates) -> int:
        """Place replicas of the current job or claim resources for them; return for how many.

        A service is degraded until its replicas run. Warm machines are therefore preferred, even if
        less important tasks have to be preempted there. A replica does not end, so machines where
        it displaces no large tasks are preferred too. The tiers relax these conditions step by
        step: warm without displacing, warm displacing at most half a machine, cold without
        displacing, any machine, and last machines that keep a replica's result.
        """
        limits = self._state.limits
        limits.cold_starts_left = requested
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        eligible = self._without_kept_results(job, usable)
        tiers = [
            _Tier(True, 0.0, eligible),
            _Tier(True, DISPLACED_SHARE_FOR_SHORT_WAIT, eligible),
            _Tier(False, 0.0, eligible),
            _Tier(False, math.inf, eligible),
        ]
        if eligible is not usable:
            tiers.append(_Tier(False, math.inf, usable))
        remaining = requested
        for tier in tiers:
            if remaining <= 0:
                break
            limits.warm_only = tier.warm_only
            limits.displaced_share_max = tier.displaced_share_max
            remaining -= self._task_placer.place(job, remaining, tier.candidates)
        return requested - remaining

    def _without_kept_results(self, job: Job, usable: Candidates) -> Candidates:
        """Exclude machines that keep a replica's result, since a new replica would end at once."""
        kept_by = job.result_kept_by
        eligible = [c for c in usable.capacities if c.machine.id not in kept_by]
        return self._state.narrowed(usable, eligible)

    def _acceptable_wait_s(self, job: Job) -> float:
        """Return the acceptable wait for a replica's start: well below the fastest fetch."""
        fastest_fetch_s = self._state.candidates(job).fastest_fetch_s(job.spec)
        return max(SHORT_WAIT_S, SHORT_WAIT_SHARE * fastest_fetch_s)

    def move(self, assignment: Assignment) -> None:
        """Plan to stop a replica if a more suitable machine has free resources for it.

        The replica may not start on the new machine before it has ended on the old one. Resources
        on a machine with its image are therefore claimed before it is stopped, so that the gap is
        no longer than a stop and a start. Without such resources, the replica continues to run. If
        its present machine is about to be reclaimed, it may also move to a machine that has to
        fetch the image.
        """
        job, machine = assignment.job, assignment.machine
        if job is None or assignment.task.number not in job.assigned_tasks:
            return
        state = self._state
        will_be_reclaimed = machine.notice_s is not None
        limits = state.begin_turn(job)
        limits.tasks_by_zone[machine.zone] -= 1
        limits.cold_starts_left = 1
        limits.warm_only = not will_be_reclaimed
        limits.acceptable_wait_s = self._acceptable_wait_s(job)
        capacities = self._better_machines(job, assignment)
        fitting = [capacity for capacity in capacities if capacity.may_fit(job.spec)]
        fitting = state.sample(job, fitting)
        choices = self._task_placer.selector.choose(job, 1, fitting)
        if choices:
            state.claim(job, choices)
            state.plan.moves.append(assignment)
            return
        choices = self._task_placer.selector.choose(job, 1, fitting, include_releasing=True)
        if choices:
            state.claim(job, choices)
        elif will_be_reclaimed:
            self._task_placer.preemptor.preempt(job, 1, Candidates(capacities))

    def _better_machines(self, job: Job, assignment: Assignment) -> list[MachineCapacity]:
        """Return the machines to which a replica may move from its present one."""
        present = assignment.machine
        must_move = present.notice_s is not None or present.quarantined
        present_cost = gpu_cost(job.spec, present)
        return [
            capacity
            for capacity in self._state.candidates(job).capacities
            if not capacity.machine.failed_jobs
            and self._state.may_use(job, capacity)
            and self._state.meets_image_limits(job.spec, capacity)
            and (must_move or gpu_cost(job.spec, capacity.machine) <= present_cost)
        ]
