"""When and what to place: from the jobs' shortfalls to planned tasks, in cycles.

The decisions themselves are those of `ryewing.scheduling`; here stands what a cycle has to know
before it may decide, and what its decisions change.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Sequence

import gevent

from ryewing import scheduling
from ryewing.leader.term_context import TermContext
from ryewing.leader.worker_commands import WorkerCommands
from ryewing.scheduling import preemption, queueing
from ryewing.scheduling.gpu_reserve import NO_RESERVE
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import allows
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.state.failure_detector import AVOID_S
from ryewing.state.jobs import Job
from ryewing.state.machine import WARM, Assignment, Machine, TaskPhase
from ryewing.state.pending_terminations import TerminationReason
from ryewing.state.resources import fits_machine_type
from ryewing.units import (
    MAX_ATTEMPTS,
    Attempt,
    JobId,
    MachineId,
    MonotonicTime,
    TaskId,
    attempt_of,
    monotonic_now,
    wall_now,
)
from ryewing.wire.jobs import JobSpec

log = logging.getLogger(__name__)

MIN_CYCLE_GAP_S = 0.2
"""The least pause between cycles: a start waits for a heartbeat anyway, which takes half a
second."""
CYCLE_REST_FACTOR = 9.0
"""Times its own length that a cycle is rested from: cycles take a tenth of the time at the most, so
that a leader that never comes to rest still answers workers, users and health checks first."""
GPUS_WANTED_HALF_LIFE_S = 60.0
FRESH_HEARTBEATS = 2.5
"""Heartbeat intervals for which a machine counts as heard: no new task goes to a silent one."""
KINDS_MAX = 32
"""Classes of which it is remembered what a task takes."""
ATTEMPTS_LEFT = 1 << 20
"""A term ends when it has no more attempts than this to give out: far more than a cycle plans."""
NAMES_TOLD = 20
"""Machines named in one line of the log."""
MOVE_AFTER_S, MOVE_GAP_S, MOVE_SHARE = 30.0, 1.5, 0.0005
"""How long a machine must be unwanted before a replica is moved off it; what a move takes; and the
part of a class's replica time that such moves may cost. Without bounds a third of a service's
replicas was moved within minutes of their start, as the GPUs wanted went down and up; with one
move each 5 s, a service of twenty missed a hundredth of its time as a day ran out."""


def one_of_each_kind(machines: Sequence[Machine]) -> list[Machine]:
    """Pick one machine of each type, zone and kind: what a job may use depends on nothing else."""
    return list({machine.kind: machine for machine in machines}.values())


def name_some(names: Sequence[str]) -> str:
    """Name the first machines, and say how many more there are."""
    more = len(names) - NAMES_TOLD
    told = ",".join(names[:NAMES_TOLD])
    return f"{told},and-{more}-more" if more > 0 else told


class Scheduler:
    """Owns what cycles have found: what is short, what GPUs were wanted."""

    def __init__(self, term: TermContext, worker_commands: WorkerCommands) -> None:
        self.term = term
        self.worker_commands = worker_commands
        self.reconciled = False
        self.unplaced: list[scheduling.Unplaced] = []
        self._guarantees = any(t.cpus or t.gpus for t in term.settings.params.teams)
        self._rng = random.Random()
        self._gpu_reserve = NO_RESERVE
        self.gpus_wanted = 0.0
        """The GPUs in use and asked for; the memory of it halves in a minute."""
        self._gpus_wanted_at = term.began_at
        self.cycles = self.machines_examined = 0
        """Passes made in this term, and machines that they looked at: their cost."""
        self._attempts = 0
        self._reserved_for: JobId | None = None
        self._moved_at: dict[str, MonotonicTime] = {}
        """By class, when a replica was last moved; without one, when the term began."""
        self._recent_specs: dict[str, JobSpec] = {}
        """By class, what a task takes that was asked for lately."""

    def scheduling_loop(self) -> None:
        """Make a cycle whenever something has changed, at a bounded share of the time."""
        while True:
            self.term.scheduling_needed.wait(1.0)
            self.term.scheduling_needed.clear()
            began = time.perf_counter()
            if self.term.may_begin() and self.check_reconciled():
                self.run_cycle()
            took = time.perf_counter() - began
            # A cycle that takes long is made less often, so that heartbeats are always answered.
            gevent.sleep(max(MIN_CYCLE_GAP_S, self._rest_s(took)))

    def _rest_s(self, took: float) -> float:
        """Tell how long to rest after a cycle: longer where other terms may share the process."""
        return ((CYCLE_REST_FACTOR + 1.0) / self.term.scope.share - 1.0) * took

    def check_reconciled(self) -> bool:
        """Tell whether the rebuild is over: every machine heard, or waited for long enough."""
        if self.reconciled:
            return True
        waited = monotonic_now() - self.term.began_at
        if waited < self.term.policy.gather_s and any(
            True for _ in self.term.cluster.unreconciled()
        ):
            return False
        self.reconciled = True
        unreconciled = [m.id for m in self.term.cluster.unreconciled()]
        log.info(
            "event=reconciled term=%d waited_s=%.2f unreconciled=%s",
            self.term.number,
            waited,
            name_some(unreconciled) or "-",
        )
        return True

    def run_cycle(self) -> None:
        """Turn the jobs' shortfalls into planned tasks and stops, once."""
        if self._attempts > MAX_ATTEMPTS - ATTEMPTS_LEFT:
            # Attempts never repeat, so those of a term are bounded; the next one has new ones.
            self.term.end("attempts-used-up")
            return
        now = monotonic_now()
        cluster = self.term.cluster
        cluster.drop_stale_plans(now, 2 * self.term.settings.params.workers.report_s + 2)
        unreconciled = list(cluster.unreconciled())
        if self._guarantees:
            preemption.mark_guarantees(self.term.job_table, self.term.teams)
        waiting = (self.term.job_table.jobs[job_id] for job_id in self.term.job_table.waiting)
        unreconciled_kinds = one_of_each_kind(unreconciled)
        jobs = [job for job in waiting if self._may_place(job, unreconciled_kinds, now)]
        moving = self._replicas_to_move(now)
        # So many free GPUs work without GPUs must leave usable.
        gpus_kept = self._note_gpus_wanted(jobs, now)
        if not jobs and not moving:
            self.unplaced = []
            return
        for job in jobs:
            self._note_spec(job)
        jobs = self._ordered(jobs)
        overdue = queueing.overdue(jobs, wall_now())
        snapshot = self._take_snapshot(unreconciled, gpus_kept, now)
        self._carry_out(scheduling.SchedulingCycle(snapshot).run(jobs, overdue, moving), now)

    def _note_spec(self, job: Job) -> None:
        """Remember what a task of this class takes, for what others should leave free."""
        self._gpu_reserve = self._gpu_reserve.widened(job)
        name = job.spec.job_class
        if not job.is_service and (
            name in self._recent_specs or len(self._recent_specs) < KINDS_MAX
        ):
            self._recent_specs[name] = job.spec

    def _take_snapshot(
        self, unreconciled: Sequence[Machine], gpus_kept: float, now: MonotonicTime
    ) -> scheduling.SchedulingSnapshot:
        cluster = self.term.cluster
        fresh = now - FRESH_HEARTBEATS * self.term.settings.params.workers.report_s
        capacities = [
            MachineCapacity(machine, self._being_stopped(machine))
            for machine in cluster.machines.values()
            if machine.usable() and machine.heard_at is not None and machine.heard_at > fresh
        ]
        quota = TeamQuota(
            self.term.team_limits.teams(),
            cluster.team_cpus,
            cluster.team_gpus,
            sum(machine.machine_type.cpus for machine in unreconciled),
            sum(machine.machine_type.gpus for machine in unreconciled),
        )
        return scheduling.SchedulingSnapshot(
            capacities=capacities,
            quota=quota,
            now=now,
            rng=self._rng,
            sample=self.term.policy.sample,
            gpu_reserve=self._gpu_reserve,
            gpus_kept=gpus_kept,
            avoid=self._avoid,
            fetches_share=cluster.fetches_share(),
            recent_specs=tuple(self._recent_specs.values()),
            next_heartbeat_in_s=lambda machine: self.worker_commands.next_heartbeat_in_s(
                machine, now
            ),
        )

    def _carry_out(self, plan: scheduling.Plan, now: MonotonicTime) -> None:
        """Plan the tasks that a cycle has placed, and stop what it has to stop."""
        if plan.reserved is not None and plan.reserved.job.id != self._reserved_for:
            kept = plan.reserved
            log.info("event=reserved job=%s machines=%d", kept.job.id, len(kept.machines))
        self._reserved_for = plan.reserved.job.id if plan.reserved is not None else None
        self.cycles += 1
        self.machines_examined += plan.machines_examined
        planned: set[MachineId] = set()
        serving: set[MachineId] = set()
        for batch in plan.batches:
            self._apply(batch, now)
            names = {part.machine.id for part in batch.parts}
            planned |= names
            if batch.job.is_service:
                serving |= names
        for name in sorted(planned, key=lambda name: name not in serving):
            machine = self.term.cluster.machines[name]
            self.worker_commands.request_early_heartbeat(machine, now, name in serving)
        for assignment in plan.stops:
            self._stop(assignment, TerminationReason.PREEMPTED, now)
        for assignment in plan.moves:
            self._stop(assignment, TerminationReason.MOVED, now)
            if assignment.job is not None:
                self._moved_at[assignment.job.spec.job_class] = now
        self.unplaced = plan.unplaced

    def _stop(self, assignment: Assignment, reason: TerminationReason, now: MonotonicTime) -> None:
        grace_s = assignment.job.grace_s if assignment.job is not None else 0.0
        self.worker_commands.terminate(assignment, grace_s, reason, now)

    def _replicas_to_move(self, now: MonotonicTime) -> list[Assignment]:
        """List the replicas that should run elsewhere: their machine is about to go, or is faulty,
        or is kept for nothing else."""
        found: list[Assignment] = []
        unwanted: list[Assignment] = []
        for machine in self.term.cluster.machines.values():
            if machine.being_released or not machine.assignments or not machine.acknowledges:
                continue
            must = machine.notice_s is not None or machine.quarantined
            if not must and (
                not machine.cordoned
                or now - machine.cordoned_since < MOVE_AFTER_S
                # It stays for what else is there.
                or any(
                    assignment.job is None or not assignment.job.is_service
                    for assignment in machine.assignments.values()
                )
            ):
                continue
            (found if must else unwanted).extend(
                assignment
                for assignment in machine.assignments.values()
                if assignment.job is not None
                and assignment.job.is_service
                and not assignment.job.cancelled
                and assignment.phase in (TaskPhase.FETCHING, TaskPhase.RUNNING)
                and not self.term.terminations.has(machine.id, assignment.task, assignment.attempt)
            )
        # Of those that may as well stay only as many as their class hardly misses.
        by_class = {
            assignment.job.spec.job_class: assignment
            for assignment in unwanted
            if assignment.job is not None
        }
        for name, assignment in by_class.items():
            if self._may_miss(name, now):
                return [*found, assignment]
        return found

    def _may_miss(self, jobclass: str, now: MonotonicTime) -> bool:
        serving = sum(
            job.running
            for job in self.term.job_table
            if job.is_service and job.spec.job_class == jobclass
        )
        gap = MOVE_GAP_S / (MOVE_SHARE * max(1, serving))
        return now - self._moved_at.get(jobclass, self.term.began_at) >= gap

    def _being_stopped(self, machine: Machine) -> frozenset[Assignment]:
        terminations = self.term.terminations
        if not terminations.any_on(machine.id):
            return frozenset()
        return frozenset(
            assignment
            for assignment in machine.assignments.values()
            if terminations.has(machine.id, assignment.task, assignment.attempt)
        )

    def _ordered(self, jobs: list[Job]) -> list[Job]:
        gpus, cpus = queueing.Supply(), queueing.Supply()
        beside = max(self._gpu_reserve.cpus, 1e-3)
        for machine in self.term.cluster.machines.values():
            if machine.usable():
                free = min(machine.gpus, max(0.0, machine.cpus) // beside)
                gpus.total += machine.machine_type.gpus - machine.gpus + free
                gpus.free += free
                cpus.total += machine.machine_type.cpus
                cpus.free += machine.cpus
        return queueing.order(jobs, self.term.settings.params.objectives, gpus, cpus, wall_now())

    def _note_gpus_wanted(self, jobs: list[Job], now: MonotonicTime) -> float:
        """Take note of the GPUs wanted; tell how many are beyond those in use."""
        used = sum(self.term.cluster.team_gpus.values())
        wanted = used + sum(job.shortfall * job.spec.gpus for job in jobs)
        elapsed = now - self._gpus_wanted_at
        self._gpus_wanted_at = now
        faded = self.gpus_wanted * 0.5 ** (max(0.0, elapsed) / GPUS_WANTED_HALF_LIFE_S)
        self.gpus_wanted = max(wanted, faded)
        return self.gpus_wanted - used

    def drain_s(self) -> float:
        """Estimate how long the waiting work without GPUs would keep all machines busy."""
        cpus = sum(m.machine_type.cpus for m in self.term.cluster.machines.values() if m.usable())
        work = sum(
            count * job.spec.cpus * job.estimate_s()
            for job, count in self.unplaced
            if job.spec.gpus <= 0 and not job.is_service
        )
        return work / max(cpus, 1.0)

    def backlog(self) -> float:
        """Tell what waits for room, as a part of the room of all machines."""
        machines = [m for m in self.term.cluster.machines.values() if m.usable()]
        cpus = sum(count * job.spec.cpus for job, count in self.unplaced)
        gpus = sum(count * job.spec.gpus for job, count in self.unplaced)
        return max(
            cpus / max(1.0, sum(machine.machine_type.cpus for machine in machines)),
            gpus / max(1.0, sum(machine.machine_type.gpus for machine in machines)),
        )

    def _may_place(
        self, job: Job, unreconciled_kinds: Sequence[Machine], now: MonotonicTime
    ) -> bool:
        if job.cancelled or job.unwritten or now < job.backoff_until:
            # A job's finished batch is written before the job is refilled.
            return False
        if job.backoff_s and not self._may_probe(job, now):
            return False
        if job.inherited and any(
            allows(job.spec, m) and fits_machine_type(job.spec, m.machine_type)
            for m in unreconciled_kinds
        ):
            # Which of its tasks an unheard machine holds can't be known.
            return False
        if job.lacks_members:
            return self._complete_gang(job, now)
        return True

    def _may_probe(self, job: Job, now: MonotonicTime) -> bool:
        """Tell whether a job that backs off may be placed: one task shows whether it still fails.

        Found in a replay: a task was placed in each cycle until the first of them had failed.
        """
        if self.term.cluster.failure_detector.has_recovered(job, now):
            return True
        if job.is_service:
            return not job.live
        return job.is_gang or not self.term.cluster.failure_detector.is_probing(job)

    def _complete_gang(self, job: Job, now: MonotonicTime) -> bool:
        """See to a gang with some tasks missing; True if they may be replaced.

        Before the gang has started, a replacement with the same attempt completes it. Once it
        ran, the attempt is lost: what is left must be gone before the next attempt.
        """
        assignments = self.term.cluster.assignments_of(job)
        attempts = {assignment.attempt for assignment in assignments}
        waiting = all(
            assignment.phase not in (TaskPhase.RUNNING, TaskPhase.SAVING)
            and not self.term.terminations.has(
                assignment.machine.id, assignment.task, assignment.attempt
            )
            for assignment in assignments
        )
        if waiting and len(attempts) == 1 and job.done_count == 0:
            job.gang_attempt = int(attempts.pop())
            return True
        if job.done_count == 0:
            for assignment in assignments:
                self.worker_commands.terminate(assignment, 0.0, TerminationReason.GANG_BROKEN, now)
        return False

    def _avoid(self, job: Job, machine: Machine) -> bool:
        """Tell whether a machine failed the job, and the job is not what is at fault.

        A job that fails everywhere tries again anywhere: it avoided each machine for good, and new
        ones were rented for it until it was cancelled. A machine may have recovered since, or have
        been healthy: a job that had failed on each one waited for ever beside room.
        """
        if job.backoff_s:
            return False
        failed_at = job.failed_on.get(machine.id)
        return failed_at is not None and monotonic_now() - failed_at <= AVOID_S

    def _next_attempt(self) -> Attempt:
        self._attempts += 1
        return attempt_of(self.term.number, self._attempts)

    def _apply(self, batch: scheduling.Batch, now: MonotonicTime) -> None:
        job = batch.job
        count = sum(n for _machine, n in batch.parts)
        indices = job.take(count)
        gang_attempt: Attempt | None = None
        if job.is_gang:
            if job.live and job.gang_attempt is not None:
                gang_attempt = Attempt(job.gang_attempt)
            else:
                gang_attempt = self._next_attempt()
        cold = sum(n for machine, n in batch.parts if machine.warmth(job.spec.image) != WARM)
        at = 0
        for machine, n in batch.parts:
            for index in indices[at : at + n]:
                attempt = gang_attempt or self._next_attempt()
                self.term.cluster.assign(
                    machine, TaskId(job.id, index), attempt, TaskPhase.PLANNED, now
                )
            at += n
        job.waiting_since = None
        self.term.job_table.touch(job)
        log.info(
            "event=placed job=%s tasks=%d machines=%s cold=%d short=%d guaranteed=%s age_s=%.1f",
            job.id,
            len(indices),
            ",".join(f"{machine.id}:{n}" for machine, n in batch.parts),
            cold,
            job.shortfall,
            job.guaranteed,
            wall_now() - job.accepted_at,
        )
