"""What one team's work in one shard uses, and what it should ask for of the team's limit."""

from __future__ import annotations

from ryewing.config.settings import Team
from ryewing.leader.term_context import TermContext
from ryewing.sharding.allowance import NOTHING, Amount, Claim, limit_of, whole_units
from ryewing.state.jobs import Job
from ryewing.units import MonotonicTime, TeamName, monotonic_now

RESERVATION_S = 60.0
"""How long room is asked for in vain, and for how long after that it is not."""


class TeamDemand:
    """One team in one term.

    Room that is kept for a gang lies idle until there is enough of it, and room that no machine has
    lies idle as well, while another shard may have work and machines for it. So what was asked for
    and brought no start in a minute is not asked for in the next one: without any such room a large
    gang would never start beside a steady demand, without an end small work elsewhere would wait
    for ever.
    """

    def __init__(self, term: TermContext, team: Team) -> None:
        self._term = term
        self._team = team
        self._ran = NOTHING
        self._progress_at = monotonic_now()
        """When something was last started, or nothing waited."""

    @property
    def limit(self) -> Amount:
        """The team's limit over all shards."""
        return limit_of(self._team)

    def note_progress(self, now: MonotonicTime) -> None:
        """Take note of whether the team's work gets on."""
        running = self.running()
        started = running - self._ran != NOTHING
        if started or not self._waiting() or now - self._progress_at >= 2 * RESERVATION_S:
            self._progress_at = now
        self._ran = running

    def running(self) -> Amount:
        """Tell what the team's tasks use."""
        cluster, name = self._term.cluster, TeamName(self._team.name)
        return self._limited_only(
            max(0.0, cluster.team_cpus.get(name, 0.0)), max(0.0, cluster.team_gpus.get(name, 0.0))
        )

    def in_use(self) -> Amount:
        """Tell what the team may be using: machines that were not heard may hold anything."""
        unreconciled = [machine.machine_type for machine in self._term.cluster.unreconciled()]
        return self.running() + self._limited_only(
            sum(machine_type.cpus for machine_type in unreconciled),
            sum(machine_type.gpus for machine_type in unreconciled),
        )

    def wanted(self) -> Amount:
        """Tell what running and waiting work would use, of what may be used at all."""
        stuck = self._stuck()
        waiting = [self._needed(job, 1 if stuck else job.shortfall) for job in self._asking()]
        return sum(waiting, start=self.running()).at_most(self.limit)

    def claim(self) -> Claim | None:
        """Claim room for the oldest job that can't be begun with less than it needs."""
        oldest = min(self._asking(), key=lambda job: (job.accepted_at, job.id), default=None)
        if oldest is None:
            return None
        if oldest.is_gang:
            amount = self.running() + self._needed(oldest, oldest.shortfall)
        else:
            amount = self._needed(oldest, 1)
        return Claim(amount.at_most(self.limit), oldest.accepted_at)

    def in_whole_tasks(self, target: Amount, wanted: Amount) -> tuple[Amount, Amount]:
        """Round a part down and up to whole tasks, where not all that is wanted fits into it."""
        waiting = self._waiting()
        if wanted - target == NOTHING or not waiting:
            return target, target
        smallest = min(waiting, key=_size)
        unit = self._needed(smallest, smallest.shortfall if smallest.is_gang else 1)
        used = self.running()
        return whole_units(target, used, unit, up=False), whole_units(target, used, unit, up=True)

    def _stuck(self) -> bool:
        """Tell whether nothing has been started for too long."""
        return monotonic_now() - self._progress_at >= RESERVATION_S

    def _asking(self) -> list[Job]:
        """List the jobs that room is asked for: while nothing gets on, one small one."""
        waiting = self._waiting()
        if not self._stuck():
            return waiting
        small = [job for job in waiting if not job.is_gang]
        return [min(small, key=_size)] if small else []

    def _waiting(self) -> list[Job]:
        table = self._term.job_table
        jobs = (table.jobs[job_id] for job_id in table.waiting)
        return [job for job in jobs if job.spec.team == self._team.name and job.shortfall > 0]

    def _needed(self, job: Job, tasks: int) -> Amount:
        return self._limited_only(job.spec.cpus * tasks, job.spec.gpus * tasks)

    def _limited_only(self, cpus: float, gpus: float) -> Amount:
        """Leave out what the team may use without a limit."""
        team = self._team
        return Amount(cpus if team.cpus_max else 0.0, gpus if team.gpus_max else 0.0)


def _size(job: Job) -> tuple[float, float, str]:
    """Order jobs by what a task takes."""
    return job.spec.gpus, job.spec.cpus, job.id
