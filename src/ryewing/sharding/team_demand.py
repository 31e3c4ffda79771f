"""Computes what one team's tasks in one shard use, and what the shard requests of the team's limit.

Amounts are in CPUs and GPUs; a resource for which the team has no limit counts as 0.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.config.settings import Team
from ryewing.leader.term_context import TermContext
from ryewing.sharding.allowance import ZERO_AMOUNT, Amount, Claim, round_to_whole_tasks, team_limit
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime, TeamName, monotonic_now

STALL_TIMEOUT_S = 60.0
"""How long a demand is requested while no task is started; it is then withheld for as long."""


class RoundedTarget(NamedTuple):
    """A part rounded down and up to whole tasks."""

    down: Amount
    up: Amount


class TeamDemand:
    """The demand of one team in one term.

    An amount that is reserved for a gang stays unused until it is large enough, and an amount for
    which the shard has no machines stays unused too, while another shard may have tasks and
    machines for it. Therefore a demand that led to no task start for STALL_TIMEOUT_S is not
    requested for the same time afterwards. Without reservations, steady demand of other jobs would
    prevent a large gang from ever starting; without the pause, the unused amounts would prevent
    small jobs in other shards from starting.
    """

    def __init__(self, term: TermContext, team: Team) -> None:
        self._term = term
        self._team = team
        self._last_running = ZERO_AMOUNT
        self._progress_at = monotonic_now()
        """When a task was last started, when no task was waiting, or when a pause ended."""

    @property
    def limit(self) -> Amount:
        """The team's limit over all shards."""
        return team_limit(self._team)

    def update_progress(self, now: MonotonicTime) -> None:
        """Record whether the team's tasks make progress; called at each step of the limits.

        A demand that was withheld for lack of progress is requested again after STALL_TIMEOUT_S.
        """
        running = self.running()
        started = running - self._last_running != ZERO_AMOUNT
        if started or not self._waiting_jobs() or now - self._progress_at >= 2 * STALL_TIMEOUT_S:
            self._progress_at = now
        self._last_running = running

    def running(self) -> Amount:
        """Return what the team's assigned tasks use."""
        cluster, name = self._term.cluster, TeamName(self._team.name)
        return self._limited_only(
            max(0.0, cluster.team_cpus.get(name, 0.0)), max(0.0, cluster.team_gpus.get(name, 0.0))
        )

    def in_use(self) -> Amount:
        """Return what the team may be using; unreconciled machines may be full of its tasks."""
        unreconciled = [machine.machine_type for machine in self._term.cluster.unreconciled()]
        return self.running() + self._limited_only(
            sum(machine_type.cpus for machine_type in unreconciled),
            sum(machine_type.gpus for machine_type in unreconciled),
        )

    def requested(self) -> Amount:
        """Return what running and waiting tasks would use, at most the team's limit."""
        stalled = self._is_stalled()
        waiting = [
            self._required(job, 1 if stalled else job.shortfall) for job in self._requesting_jobs()
        ]
        return sum(waiting, start=self.running()).at_most(self.limit)

    def claim(self) -> Claim | None:
        """Return what the oldest waiting job needs at once to start; None if no job waits."""
        oldest = min(
            self._requesting_jobs(), key=lambda job: (job.accepted_at, job.id), default=None
        )
        if oldest is None:
            return None
        if oldest.is_gang:
            amount = self.running() + self._required(oldest, oldest.shortfall)
        else:
            amount = self._required(oldest, 1)
        return Claim(amount.at_most(self.limit), oldest.accepted_at)

    def round_target(self, target: Amount, requested: Amount) -> RoundedTarget:
        """Round a part down and up to whole tasks of the smallest waiting job.

        A part that covers the whole request is not rounded.
        """
        waiting = self._waiting_jobs()
        if requested - target == ZERO_AMOUNT or not waiting:
            return RoundedTarget(target, target)
        smallest = min(waiting, key=_task_size)
        unit = self._required(smallest, smallest.shortfall if smallest.is_gang else 1)
        used = self.running()
        return RoundedTarget(
            down=round_to_whole_tasks(target, used, unit, round_up=False),
            up=round_to_whole_tasks(target, used, unit, round_up=True),
        )

    def _is_stalled(self) -> bool:
        """Return whether no task was started for STALL_TIMEOUT_S while tasks were waiting."""
        return monotonic_now() - self._progress_at >= STALL_TIMEOUT_S

    def _requesting_jobs(self) -> list[Job]:
        """List the jobs to request amounts for: while stalled, only the smallest non-gang job."""
        waiting = self._waiting_jobs()
        if not self._is_stalled():
            return waiting
        small = [job for job in waiting if not job.is_gang]
        return [min(small, key=_task_size)] if small else []

    def _waiting_jobs(self) -> list[Job]:
        table = self._term.job_table
        jobs = (table.jobs[job_id] for job_id in table.waiting)
        return [job for job in jobs if job.spec.team == self._team.name and job.shortfall > 0]

    def _required(self, job: Job, tasks: int) -> Amount:
        return self._limited_only(job.spec.cpus * tasks, job.spec.gpus * tasks)

    def _limited_only(self, cpus: float, gpus: float) -> Amount:
        """Return an amount with 0 for each resource for which the team has no limit."""
        team = self._team
        return Amount(cpus if team.cpus_max else 0.0, gpus if team.gpus_max else 0.0)


def _task_size(job: Job) -> tuple[float, float, str]:
    """Return the sort key of a job: the resources of one task, GPUs first, then the job id."""
    return job.spec.gpus, job.spec.cpus, job.id
