"""The scheduling loop: when a scheduling cycle runs, and the steps of a cycle.

`ryewing.scheduling` decides which machines get which tasks. This module chooses the jobs of a cycle
(`job_eligibility`, `replica_moves`), builds the snapshot (`snapshot_builder`) and has the resulting
plan applied (`plan_applier`).
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
from ryewing.leader.job_eligibility import JobEligibility, one_machine_per_kind
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

MIN_CYCLE_PAUSE_S = 0.2
"""The shortest pause between cycles. A shorter one would not help, because a start has to wait for
the machine's next heartbeat, and a worker's heartbeats are at least half a second apart
(`early_heartbeats.MIN_HEARTBEAT_INTERVAL_S`)."""
MAX_CHANGE_WAIT_S = 1.0
"""How long the loop waits for a change before it runs a cycle without one."""
CYCLE_PAUSE_FACTOR = 9.0
"""The pause after a cycle, as a multiple of the cycle's duration. Cycles take at most a tenth
of the time, so that a leader under constant load answers workers, users and health checks first."""
LOGGED_NAMES_MAX = 20
"""How many machines are named in one log line."""


class Scheduler:
    """Runs the scheduling cycles of one term, and keeps their results.

    The leader runs `scheduling_loop` in a greenlet. A cycle sends no request, so no other greenlet
    runs between taking the snapshot and applying the plan.
    """

    def __init__(
        self, term: TermContext, terminator: TaskTerminator, early_heartbeats: EarlyHeartbeats
    ) -> None:
        self.term = term
        self.reconciled = False
        """Whether reconciliation is over; set by `check_reconciled`."""
        self.unplaced: list[scheduling.Unplaced] = []
        """Tasks for which the last cycle found neither free resources nor any being freed."""
        self.cycles = 0
        """The number of cycles run in this term."""
        self.machines_examined = 0
        """Machines that this term's cycles examined one by one: a measure of their cost."""
        self.rng = random.Random()
        self.plan_applier = PlanApplier(term, terminator, early_heartbeats)
        self._has_guarantees = any(team.cpus or team.gpus for team in term.settings.params.teams)
        self._gpu_demand = GpuDemand(term.cluster, term.started_at)
        self._eligibility = JobEligibility(term, terminator)
        self._replica_moves = ReplicaMoves(term)
        self._snapshot_builder = SnapshotBuilder(term, early_heartbeats, self._eligibility)

    # -- the loop -----------------------------------------------------------------------------

    def scheduling_loop(self) -> None:
        """Run a cycle after each change, using a bounded share of the time; never returns."""
        while True:
            self.term.scheduling_needed.wait(MAX_CHANGE_WAIT_S)
            self.term.scheduling_needed.clear()
            started = time.perf_counter()
            if self.term.may_start_operations() and self.check_reconciled():
                self.run_cycle()
            took_s = time.perf_counter() - started
            gevent.sleep(max(MIN_CYCLE_PAUSE_S, self.pause_after_s(took_s)))

    def pause_after_s(self, took_s: float) -> float:
        """Return the pause after a cycle: longer if other terms may run in the same process."""
        return ((CYCLE_PAUSE_FACTOR + 1.0) / self.term.scope.share - 1.0) * took_s

    def check_reconciled(self) -> bool:
        """Return whether no machine is unreconciled any more, or the wait for them has timed out.

        No cycle may run before, because the tasks of an unreconciled machine are not known. The
        policy's `gather_s` bounds the wait.
        """
        if self.reconciled:
            return True
        waited_s = monotonic_now() - self.term.started_at
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
        """Run one cycle: place missing tasks of jobs, and stop tasks to be preempted or moved."""
        if self.plan_applier.is_out_of_attempts():
            self.term.end(TermEndReason.ATTEMPTS_USED_UP)
            return
        now = monotonic_now()
        self._drop_stale_plans(now)
        unreconciled = list(self.term.cluster.unreconciled())
        if self._has_guarantees:
            preemption.mark_guaranteed_jobs(self.term.job_table, self.term.teams)
        jobs = self._placeable_jobs(unreconciled, now)
        replicas_to_move = self._replica_moves.choose_replicas(now)
        gpus_kept = self._gpu_demand.update(jobs, now)
        if not jobs and not replicas_to_move:
            self.unplaced = []
            return
        for job in jobs:
            self._snapshot_builder.record_spec(job)
        jobs = self._sort_jobs(jobs)
        overdue = queueing.overdue(jobs, wall_now())
        snapshot = self._snapshot_builder.build(unreconciled, gpus_kept, self.rng, now)
        plan = scheduling.run_cycle(snapshot, jobs, overdue, replicas_to_move)
        self.cycles += 1
        self.machines_examined += plan.machines_examined
        self.plan_applier.apply(plan, now)
        self._replica_moves.record_moves(plan.moves, now)
        self.unplaced = plan.unplaced

    def _drop_stale_plans(self, now: MonotonicTime) -> None:
        """Drop planned tasks whose machine has not sent a heartbeat to fetch them in time.

        The limit is two heartbeat intervals plus 2 s.
        """
        self.term.cluster.drop_stale_plans(now, 2 * self.term.settings.params.workers.report_s + 2)

    def _placeable_jobs(self, unreconciled: Sequence[Machine], now: MonotonicTime) -> list[Job]:
        """Return the jobs with missing tasks that may be placed now."""
        unreconciled_kinds = one_machine_per_kind(unreconciled)
        job_table = self.term.job_table
        waiting = (job_table.jobs[job_id] for job_id in job_table.waiting)
        return [job for job in waiting if self._eligibility.may_place(job, unreconciled_kinds, now)]

    def _sort_jobs(self, jobs: list[Job]) -> list[Job]:
        """Return the jobs in the order in which the cycle places them."""
        supplies = self._snapshot_builder.measure_supplies()
        objectives = self.term.settings.params.objectives
        return queueing.order(jobs, objectives, supplies.gpus, supplies.cpus, wall_now())

    # -- for the autoscaler and the shards ----------------------------------------------------

    @property
    def peak_gpu_demand(self) -> float:
        """The recent peak number of GPUs in use or requested by waiting jobs (`GpuDemand`)."""
        return self._gpu_demand.peak

    def backlog_drain_s(self) -> float:
        """Estimate the seconds that all machines would need for the unplaced work without GPUs."""
        return backlog.drain_s(self.term.cluster.machines.values(), self.unplaced)

    def backlog_share(self) -> float:
        """Return the resources that unplaced tasks need, as a share of those of all machines."""
        return backlog.backlog_share(self.term.cluster.machines.values(), self.unplaced)


def abbreviate_names(names: Sequence[str]) -> str:
    """Return the first names as a list for the log, and the number of those left out."""
    more = len(names) - LOGGED_NAMES_MAX
    listed = ",".join(names[:LOGGED_NAMES_MAX])
    return f"{listed},and-{more}-more" if more > 0 else listed
