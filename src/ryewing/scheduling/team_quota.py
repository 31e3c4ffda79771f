"""The resources that each team may still use during one scheduling cycle."""

from __future__ import annotations

from ryewing.config.settings import Team
from ryewing.state.resources import EPSILON
from ryewing.units import TeamName
from ryewing.wire.jobs import JobSpec


class TeamQuota:
    """The teams' limits, and the usage that counts against them, during one scheduling cycle.

    `unreconciled_cpus` and `unreconciled_gpus` are the resources of unreconciled machines. Any team
    might use all of them, so they count against each team.
    """

    def __init__(
        self,
        teams: dict[str, Team],
        cpus: dict[TeamName, float],
        gpus: dict[TeamName, float],
        unreconciled_cpus: float = 0.0,
        unreconciled_gpus: float = 0.0,
    ) -> None:
        self._teams = teams
        self._cpus = {name: used + unreconciled_cpus for name, used in cpus.items()}
        self._gpus = {name: used + unreconciled_gpus for name, used in gpus.items()}
        self._unreconciled_cpus = unreconciled_cpus
        self._unreconciled_gpus = unreconciled_gpus

    def headroom(self, spec: JobSpec, max_tasks: int) -> int:
        """Return how many more tasks of the spec its team's limit permits, at most `max_tasks`.

        A team that is not in the settings may run no tasks.
        """
        team = self._teams.get(spec.team)
        if team is None:
            return 0
        name = TeamName(spec.team)
        for need, limit, used in (
            (spec.cpus, team.cpus_max, self._cpus.get(name, self._unreconciled_cpus)),
            (spec.gpus, team.gpus_max, self._gpus.get(name, self._unreconciled_gpus)),
        ):
            if limit > 0 and need > 0:
                max_tasks = min(max_tasks, int((limit - used + EPSILON) / need))
        return max(0, max_tasks)

    def use(self, spec: JobSpec, count: int) -> None:
        """Count tasks that were placed, or for which resources were claimed."""
        name = TeamName(spec.team)
        self._cpus[name] = self._cpus.get(name, self._unreconciled_cpus) + spec.cpus * count
        self._gpus[name] = self._gpus.get(name, self._unreconciled_gpus) + spec.gpus * count
