"""Placing tasks on given machines: free room, then room about to be freed, then preemption."""

from __future__ import annotations

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.selection import Selector
from ryewing.scheduling.victims import Preemptor
from ryewing.state.jobs import Job


class TaskPlacer:
    """Takes the job at hand through the three stages."""

    def __init__(self, state: CycleState) -> None:
        self._state = state
        self.selector = Selector(state)
        self.preemptor = Preemptor(state)

    def place(self, job: Job, wanted: int, candidates: Candidates, whole: bool = False) -> int:
        """Place, or find room to be freed, on these machines; return for how many tasks."""
        state, choose = self._state, self.selector.choose
        fitting = state.sample(job, self._with_room(job, candidates))
        left = wanted
        left -= state.place(job, choose(job, left, fitting, whole))
        if left > 0:
            left -= state.claim(job, choose(job, left, fitting, whole, with_releasing=True))
        if left > 0:
            left -= self.preemptor.preempt(job, left, candidates, whole)
        return wanted - left

    def _with_room(self, job: Job, candidates: Candidates) -> list[MachineCapacity]:
        """List where a task might fit without stopping any more, and may begin by its image."""
        spec = job.spec
        if job.is_service:
            fits = candidates.fitting(spec)
            return [capacity for capacity in fits if self._state.is_warm_enough(spec, capacity)]
        if self._state.limits.warm_only:
            return candidates.fitting_with_image(spec)
        return candidates.fitting(spec)
