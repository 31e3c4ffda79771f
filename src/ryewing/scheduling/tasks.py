"""Places a job's tasks on candidate machines in three stages."""

from __future__ import annotations

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.selection import Selector
from ryewing.scheduling.victims import Preemptor
from ryewing.state.jobs import Job


class TaskPlacer:
    """Places tasks in free resources, then in releasing resources, then by preemption."""

    def __init__(self, state: CycleState) -> None:
        self._state = state
        self.selector = Selector(state)
        self.preemptor = Preemptor(state)

    def place(
        self, job: Job, requested: int, candidates: Candidates, all_or_nothing: bool = False
    ) -> int:
        """Place tasks or claim releasing resources for them; return for how many tasks.

        With `all_or_nothing`, each stage does this for all of the tasks or none.
        """
        state, choose = self._state, self.selector.choose
        fitting = state.sample(job, self._fitting_machines(job, candidates))
        remaining = requested
        remaining -= state.place(job, choose(job, remaining, fitting, all_or_nothing))
        if remaining > 0:
            remaining -= state.claim(
                job, choose(job, remaining, fitting, all_or_nothing, include_releasing=True)
            )
        if remaining > 0:
            remaining -= self.preemptor.preempt(job, remaining, candidates, all_or_nothing)
        return requested - remaining

    def _fitting_machines(self, job: Job, candidates: Candidates) -> list[MachineCapacity]:
        """Return machines where a task might fit without preemption, within the job's limits."""
        spec = job.spec
        if job.is_service:
            fitting = candidates.fitting(spec)
            return [
                capacity for capacity in fitting if self._state.meets_image_limits(spec, capacity)
            ]
        if self._state.limits.warm_only:
            return candidates.fitting_with_image(spec)
        return candidates.fitting(spec)
