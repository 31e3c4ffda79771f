"""Placement: which machines get the tasks of a pass, and what is stopped for them.

Pure: works on snapshots of the machines' capacity, with the clock and the random numbers passed in.
What it decides is carried out by the leader. Each job gets one batch a pass, into the fitting
machine left fullest, in three stages: free room; room that stops under way will free; and room that
stopping less important work would free. What a job claims in any of them is out of reach for the
jobs after it.

`passes` orders the work of a pass; `state` is what its parts share; `images` surveys who has which
image; `selection` chooses machines, `victims` what to stop on them; `replicas` places and moves
what serves until it is cancelled; `reservation` keeps machines for a gang that waits too long.
"""

from ryewing.scheduling.cycle import Pass
from ryewing.scheduling.cycle_state import SHORT_WAIT_S, PassInputs
from ryewing.scheduling.plan import Batch, BatchPart, Plan, Unplaced

__all__ = ["SHORT_WAIT_S", "Batch", "BatchPart", "Pass", "PassInputs", "Plan", "Unplaced"]
