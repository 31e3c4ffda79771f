"""Scheduling: which machines get the tasks of one cycle, and what is preempted for them.

It owns the decisions of a scheduling cycle (`run_cycle`): pure functions of a snapshot, with the
time and the random numbers passed in. It imports `state` and the packages below it. The leader's
scheduler calls it and carries out its plans; the autoscaler asks which machines a job may use.

Each job gets one batch a cycle, into the fitting machine left fullest (bin packing), in three
stages: free room; room that pending terminations will release; and room that preempting less
important work would release. What a job claims in any of them is out of reach for the jobs after
it.

- The cycle: `queueing` orders the jobs, `cycle` gives each its turn, `cycle_state` is what the
  parts of a cycle share, `job_limits` limits the job at hand, `plan` is the outcome.
- Room: `snapshot` is what a cycle starts from, `machine_capacity` a machine's room, `team_quota`
  the teams' limits, `gpu_reserve` what is left free for GPUs; `candidates` indexes the machines
  that a job may use, by the rules of `machine_suitability`; `image_survey` weighs fetches.
- Placing: `tasks` goes through the three stages, `selection` chooses machines, `victims` what to
  preempt on them by the rules of `preemption`; `replicas` places and moves services; `reservation`
  reserves machines for a gang that has waited too long.
"""

from ryewing.scheduling.cycle import run_cycle
from ryewing.scheduling.job_limits import SHORT_WAIT_S
from ryewing.scheduling.plan import Batch, BatchPart, Plan, Unplaced
from ryewing.scheduling.snapshot import SchedulingSnapshot

__all__ = [
    "SHORT_WAIT_S",
    "Batch",
    "BatchPart",
    "Plan",
    "SchedulingSnapshot",
    "Unplaced",
    "run_cycle",
]
