"""Placing tasks on given machines: free room, then room about to be freed, then preemption."""

from __future__ import annotations

from ..capacity import MachineCapacity
from ..jobs import Job
from .selection import Selector
from .state import PassState
from .victims import Preemptor


class TaskPlacer:
    """Takes the job at hand through the three stages."""

    def __init__(self, state: PassState) -> None:
        self._state = state
        self.selector = Selector(state)
        self.preemptor = Preemptor(state)

    def place(
        self,
        job: Job,
        wanted: int,
        capacities: list[MachineCapacity],
        fits: list[MachineCapacity],
        whole: bool = False,
    ) -> int:
        """Place, or find room to be freed, on these machines; return for how many tasks.

        `fits`: those where a task might fit without stopping any more.
        """
        state, choose = self._state, self.selector.choose
        warm = [capacity for capacity in fits if state.is_warm_enough(job.spec, capacity)]
        fitting = state.sample(job, warm)
        left = wanted
        left -= state.place(job, choose(job, left, fitting, whole))
        if left > 0:
            left -= state.claim(job, choose(job, left, fitting, whole, with_releasing=True))
        if left > 0:
            left -= self.preemptor.preempt(job, left, capacities, whole)
        return wanted - left
