"""Scheduling: which machines get the tasks of one cycle, and what is preempted for them.

Pure: works on snapshots of the machines' capacity, with the clock and the random numbers passed in.
What it decides is carried out by the leader. Each job gets one batch a cycle, into the fitting
machine left fullest (bin packing), in three stages: free room; room that pending terminations will
free; and room that preempting less important work would free. What a job claims in any of them is
out of reach for the jobs after it.

`queueing` orders the jobs; `cycle` gives each its turn; `cycle_state` is what the parts of a cycle
share; `capacity` is a machine's room; `image_survey` counts who has which image; `selection`
chooses machines, `victims` what to preempt on them by the rules of `preemption`; `replicas` places
and moves services; `reservation` keeps machines for a gang that waits too long. The package imports
`state`; the leader's scheduler loop calls it.
"""

from ryewing.scheduling.cycle import SchedulingCycle
from ryewing.scheduling.cycle_state import SHORT_WAIT_S, SchedulingSnapshot
from ryewing.scheduling.plan import Batch, BatchPart, Plan, Unplaced

__all__ = [
    "SHORT_WAIT_S",
    "Batch",
    "BatchPart",
    "Plan",
    "SchedulingCycle",
    "SchedulingSnapshot",
    "Unplaced",
]
