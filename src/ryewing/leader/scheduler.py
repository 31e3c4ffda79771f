"""The scheduling loop: when to run a scheduling cycle, and what one consists of.

Which machines get which tasks is decided by `ryewing.scheduling`. Here a cycle's jobs are chosen
(`job_eligibility`, `replica_moves`), its snapshot is taken (`snapshot_builder`) and its plan is
carried out (`plan_applier`).
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Sequence

import gevent

from ryewing import scheduling
from ryewing.leader import backlog
from ryewing.leader.early_heartbeats import EarlyHeartbeats
from ryewing.leader.gpu_demand import GpuDemand
from ryewing.leader.job_eligibility import JobEligibility, one_of_each_kind
from ryewing.leader.plan_applier import PlanApplier
from ryewing.leader.replica_moves import ReplicaMoves
from ryewing.leader.snapshot_builder import SnapshotBuilder
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.terminations import TaskTerminator
from ryewing.scheduling import preemption, queueing
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime, monotonic_now, wall_now

log = logging.getLogger(__name__)

MIN_CYCLE_GAP_S = 0.2
"""The shortest pause between cycles: a start waits for a heartbeat anyway, which takes half a
second."""
MAX_CYCLE_GAP_S = 1.0
"""How long the loop waits for a change before it runs a cycle all the same."""
CYCLE_PAUSE_FACTOR = 9.0
"""The loop rests for this many times a cycle's length: cycles take a tenth of the time at most,
so that a leader under constant load still answers workers, users and health checks first."""
LOGGED_NAMES_MAX = 20
"""Machines named in one line of the log."""


class Scheduler:
    """Runs the scheduling cycles of one term, and keeps what they found.

    `scheduling_loop` is its greenlet, which the leader starts and stops. A cycle sends no request,
    so no other greenlet runs between its snapshot and the end of its plan.
    """

    def __init__(
        self, term: TermContext, terminator: TaskTerminator, early_heartbeats: EarlyHeartbeats
    ) -> None:
        self.term = term
        self.reconciled = False
        """Every machine has been heard or waited for long enough (`check_reconciled`)."""
        self.unplaced: list[scheduling.Unplaced] = []
        """Tasks for which the last cycle found no room, not even room to be released."""
        self.cycles = 0
        """Cycles run in this term."""
        self.machines_examined = 0
        """Machines that this term's cycles looked at one by one: their cost."""
        self.rng = random.Random()
        self.plan_applier = PlanApplier(term, terminator, early_heartbeats)
        self._has_guarantees = any(team.cpus or team.gpus for team in term.settings.params.teams)
        self._gpu_demand = GpuDemand(term.cluster, term.began_at)
        self._eligibility = JobEligibility(term, terminator)
        self._replica_moves = ReplicaMoves(term)
        self._snapshot_builder = SnapshotBuilder(term, early_heartbeats, self._eligibility)

    # -- the loop -----------------------------------------------------------------------------

    def scheduling_loop(self) -> None:
        """Run a cycle whenever something has changed, for a bounded share of the time."""
        while True:
            self.term.scheduling_needed.wait(MAX_CYCLE_GAP_S)
            self.term.scheduling_needed.clear()
            began = time.perf_counter()
            if self.term.may_start_operations() and self.check_reconciled():
                self.run_cycle()
            took_s = time.perf_counter() - began
            gevent.sleep(max(MIN_CYCLE_GAP_S, self.pause_after_s(took_s)))

    def pause_after_s(self, took_s: float) -> float:
        """Return how long to rest after a cycle: longer where other terms may share the process."""
        return ((CYCLE_PAUSE_FACTOR + 1.0) / self.term.scope.share - 1.0) * took_s

    def check_reconciled(self) -> bool:
        """Return whether reconciliation is over: every machine heard, or waited for long enough.

        Until then no cycle may run: the tasks of an unreconciled machine are not known. The setting
        `gather_s` bounds the wait.
        """
        if self.reconciled:
            return True
        waited_s = monotonic_now() - self.term.began_at
        if waited_s < self.term.policy.gather_s and any(
            True for _ in self.term.cluster.unreconciled()
        ):
            return False
        self.reconciled = True
        unreconciled = [machine.id for machine in self.term.cluster.unreconciled()]
        log.info(
            "event=reconciled term=%d waited_s=%.2f unreconciled=%s",
            self.term.number,
            waited_s,
            abbreviate_names(unreconciled) or "-",
        )
        return True

    # -- one cycle ----------------------------------------------------------------------------

    def run_cycle(self) -> None:
        """Plan tasks for the jobs that are short of them, and stop what has to make room, once."""
        if self.plan_applier.is_out_of_attempts():
            self.term.end(TermEndReason.ATTEMPTS_USED_UP)
            return
        now = monotonic_now()
        self._drop_stale_plans(now)
        unreconciled = list(self.term.cluster.unreconciled())
        if self._has_guarantees:
            preemption.mark_guaranteed_jobs(self.term.job_table, self.term.teams)
        jobs = self._placeable_jobs(unreconciled, now)
        moving = self._replica_moves.choose(now)
        gpus_kept = self._gpu_demand.note(jobs, now)
        if not jobs and not moving:
            self.unplaced = []
            return
        for job in jobs:
            self._snapshot_builder.note_spec(job)
        jobs = self._in_order(jobs)
        overdue = queueing.overdue(jobs, wall_now())
        snapshot = self._snapshot_builder.build(unreconciled, gpus_kept, self.rng, now)
        plan = scheduling.run_cycle(snapshot, jobs, overdue, moving)
        self.cycles += 1
        self.machines_examined += plan.machines_examined
        self.plan_applier.apply(plan, now)
        self._replica_moves.note_moved(plan.moves, now)
        self.unplaced = plan.unplaced

    def _drop_stale_plans(self, now: MonotonicTime) -> None:
        """Give up planned tasks whose machine has not fetched them within two heartbeats."""
        self.term.cluster.drop_stale_plans(now, 2 * self.term.settings.params.workers.report_s + 2)

    def _placeable_jobs(self, unreconciled: Sequence[Machine], now: MonotonicTime) -> list[Job]:
        """Return the jobs with a shortfall that may be placed now."""
        unreconciled_kinds = one_of_each_kind(unreconciled)
        job_table = self.term.job_table
        waiting = (job_table.jobs[job_id] for job_id in job_table.waiting)
        return [job for job in waiting if self._eligibility.may_place(job, unreconciled_kinds, now)]

    def _in_order(self, jobs: list[Job]) -> list[Job]:
        """Return the jobs in the order in which they get their turn."""
        supplies = self._snapshot_builder.measure_supplies()
        objectives = self.term.settings.params.objectives
        return queueing.order(jobs, objectives, supplies.gpus, supplies.cpus, wall_now())

    # -- for the autoscaler and the shards ----------------------------------------------------

    @property
    def gpus_wanted(self) -> float:
        """The GPUs that were in use or waited for lately (`GpuDemand`)."""
        return self._gpu_demand.gpus_wanted

    def drain_s(self) -> float:
        """Estimate how many seconds the unplaced work without GPUs would keep all machines busy."""
        return backlog.drain_s(self.term.cluster.machines.values(), self.unplaced)

    def backlog_share(self) -> float:
        """Return what the unplaced tasks need as a share of the resources of all machines."""
        return backlog.backlog_share(self.term.cluster.machines.values(), self.unplaced)


def abbreviate_names(names: Sequence[str]) -> str:
    """List the first names, and say how many more there are."""
    more = len(names) - LOGGED_NAMES_MAX
    listed = ",".join(names[:LOGGED_NAMES_MAX])
    return f"{listed},and-{more}-more" if more > 0 else listed
