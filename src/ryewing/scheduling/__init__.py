"""Scheduling: decides which machines run the tasks of one cycle, and which tasks are preempted.

The decisions of a scheduling cycle (`run_cycle`) are pure functions of a snapshot; the time and the
random number generator are passed in. The package imports `state` and the packages below it. The
leader's scheduler calls it and applies its plans; the autoscaler uses its rules on which machines a
job may use.

Each job gets one batch per cycle. Tasks go to the fullest fitting machines first (bin packing), in
three stages: free resources; resources that pending terminations will release; and resources that
preempting less important tasks would release. Jobs later in the cycle cannot use what an earlier
job claimed in any stage.

- The cycle: `queueing` orders the jobs, `cycle` processes them one by one, `cycle_state` holds the
  state that the parts of a cycle share, `job_limits` the limits of the current job, and `plan` the
  result.
- Resources: `snapshot` is the input of a cycle, `machine_capacity` tracks one machine's resources,
  `team_quota` the teams' limits, and `gpu_reserve` what stays free for tasks with GPUs.
  `candidates` indexes the machines that a job may use, by the rules of `machine_suitability`.
  `image_survey` decides when an image fetch is worth its cost.
- Placement: `tasks` runs the three stages, `selection` chooses machines, `victims` chooses the
  tasks to preempt by the rules of `preemption`, `replicas` places and moves services, and
  `reservation` reserves machines for an overdue gang.
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
