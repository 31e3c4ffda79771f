"""What the parts of one leader's term share: its settings, clients, cluster state and signals.

Nothing here decides anything. Each part owns its own state; what stands here is read by several
of them, and ends with the term.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from gevent.event import Event

from ryewing.clients.store import TermStore
from ryewing.config.policy import Policy
from ryewing.config.settings import Settings, Team
from ryewing.election.leadership import Leadership
from ryewing.leader.scope import WHOLE_FLEET, TermScope
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_table import JobTable
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import MachineId, monotonic_now
from ryewing.wire.cloud import MachineType


class TeamLimits(Protocol):
    """What each team may use under this term."""

    def teams(self) -> dict[str, Team]:
        """Give the teams with their limits of now."""


class SettingsLimits:
    """The limits of the settings: one term leads the whole fleet."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams

    def teams(self) -> dict[str, Team]:
        """Give the teams as the settings have them."""
        return self._teams


class TermContext:
    """One term, as its parts see it."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        store: TermStore,
        leadership: Leadership,
        on_lost: Callable[[TermEndReason], None],
        on_machine_types: Callable[[list[MachineType]], None],
        scope: TermScope = WHOLE_FLEET,
    ) -> None:
        self.scope = scope
        self.settings = settings
        self.policy = policy
        self.store = store
        self.leadership = leadership
        self.number = leadership.term
        self.lease_validity = leadership.lease_validity
        self.job_table = JobTable()
        self.terminations = PendingTerminations()
        self.cluster = ClusterState(
            self.number, settings.params.workers.lease_s, self.job_table, self.terminations
        )
        self.machine_types: dict[str, MachineType] = {}
        self.teams = {team.name: team for team in settings.params.teams}
        self.released: OrderedDict[MachineId, None] = OrderedDict()
        """Machines that are certainly gone: nothing that comes in their name counts."""
        self.began_at = monotonic_now()
        self.state_loaded = Event()
        self.scheduling_needed = Event()
        """Something has changed that placing may act on."""
        self.writes_needed = Event()
        """The store lacks something."""
        self.stopped = False
        self.sealed = False
        """The shard is about to be led by another controller: nothing new is begun."""
        self.team_limits: TeamLimits = SettingsLimits(self.teams)
        self._on_lost = on_lost
        self._on_machine_types = on_machine_types

    def end(self, reason: TermEndReason) -> None:
        """End the term."""
        if not self.stopped:
            self._on_lost(reason)

    def may_start(self) -> bool:
        """Tell whether the lease surely holds now."""
        return not self.stopped and self.lease_validity.may_start(monotonic_now())

    def may_begin(self) -> bool:
        """Tell whether tasks may be started, and machines rented or released, now."""
        return not self.sealed and self.may_start()

    def machine_type(self, name: str) -> MachineType:
        """Find a machine type; one that isn't known has no room."""
        return self.machine_types.get(name) or MachineType(name, 0.0, 0.0, 0.0, ())

    def set_machine_types(self, machine_types: list[MachineType]) -> None:
        """Take up the machine types, and what they change about the machines known."""
        self._on_machine_types(machine_types)
        self.machine_types = {
            machine_type.name: machine_type
            for machine_type in self.scope.machine_types(machine_types)
        }
        for machine in self.cluster.machines.values():
            new = self.machine_types.get(machine.machine_type.name)
            if new is not None:
                old = machine.machine_type
                machine.cpus += new.cpus - old.cpus
                machine.gpus += new.gpus - old.gpus
                machine.memory_gb += new.memory_gb - old.memory_gb
                machine.machine_type = new
