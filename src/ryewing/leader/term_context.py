"""What the parts of one leader's term share: its settings, clients, cluster state and signals.

Nothing here decides anything. Each part owns its own state; what is kept here is read by several
of them, and ends with the term.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from gevent.event import Event

from ryewing.clients.store import KeyValueStore
from ryewing.config.policy import Policy
from ryewing.config.settings import Settings
from ryewing.election.leadership import Leadership
from ryewing.leader.scope import WHOLE_FLEET, TermScope
from ryewing.leader.team_limits import SettingsLimits, TeamLimits
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.state.cluster_state import ClusterState
from ryewing.state.job_table import JobTable
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import JobId, MachineId, monotonic_now
from ryewing.wire.cloud import MachineType


class TermEnvironment(NamedTuple):
    """What a process hands to each of its terms: they may differ in store and scope only."""

    settings: Settings
    policy: Policy
    store: KeyValueStore
    """The part of the store that the term keeps its records in."""
    scope: TermScope = WHOLE_FLEET


class TermCallbacks(NamedTuple):
    """What a term tells its process. None of them may wait."""

    on_lost: Callable[[TermEndReason], None]
    """Called when the term has to end."""
    on_machine_types: Callable[[list[MachineType]], None]
    """Called with the machine types of the cloud, of all zones, when they were read."""
    on_final: Callable[[JobId, str], None]
    """Called with a job and its final state, once the store has it."""


class TermContext:
    """One term, as its parts see it."""

    def __init__(
        self, environment: TermEnvironment, leadership: Leadership, callbacks: TermCallbacks
    ) -> None:
        # What the process and the election gave:
        self.settings, self.policy, self.store, self.scope = environment
        self.leadership = leadership
        self.number = leadership.term
        self.lease_validity = leadership.lease_validity
        self.on_final = callbacks.on_final
        self._on_lost = callbacks.on_lost
        self._on_machine_types = callbacks.on_machine_types
        # What is known of the jobs and the fleet:
        self.job_table = JobTable()
        self.terminations = PendingTerminations()
        self.cluster = ClusterState(
            self.number, self.settings.params.workers.lease_s, self.job_table, self.terminations
        )
        self.machine_types: dict[str, MachineType] = {}
        """The machine types by name, each with those of its zones that are in the scope."""
        self.released_machines: OrderedDict[MachineId, None] = OrderedDict()
        """Machines that are certainly gone: nothing that comes in their name counts."""
        self.teams = {team.name: team for team in self.settings.params.teams}
        """The teams as the settings have them."""
        self.team_limits: TeamLimits = SettingsLimits(self.teams)
        # How far the term has got, and what its loops wait for:
        self.began_at = monotonic_now()
        self.state_loaded = Event()
        """Set once the store was read."""
        self.scheduling_needed = Event()
        """Set when something has changed that the scheduler may act on."""
        self.writes_needed = Event()
        """Set when the store lacks something."""
        self.stopped = False
        self.sealed = False
        """Whether the shard is about to be led by another controller: nothing new is begun."""

    def end(self, reason: TermEndReason) -> None:
        """End the term, unless it has ended."""
        if not self.stopped:
            self._on_lost(reason)

    def has_authority(self) -> bool:
        """Return whether the lease certainly holds now, and the jobs are known.

        See docs/design.md, safety argument 2.
        """
        return not self.stopped and self.lease_validity.has_authority(monotonic_now())

    def may_start_operations(self) -> bool:
        """Return whether tasks may be started, and machines rented or released, now."""
        return not self.sealed and self.has_authority()

    def machine_type(self, name: str) -> MachineType:
        """Return a machine type; one that isn't known has no room."""
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
                machine.free_cpus += new.cpus - old.cpus
                machine.free_gpus += new.gpus - old.gpus
                machine.free_memory_gb += new.memory_gb - old.memory_gb
                machine.machine_type = new
