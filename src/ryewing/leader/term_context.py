"""The state shared by the parts of one term: settings, clients, cluster state and signals.

This module makes no scheduling decisions. Each part owns its own state; only what several parts
read is kept here. All of it ends with the term.
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
    """What a process passes to each of its terms; only the store and the scope may differ."""

    settings: Settings
    policy: Policy
    store: KeyValueStore
    """The part of the store in which the term keeps its records."""
    scope: TermScope = WHOLE_FLEET


class TermCallbacks(NamedTuple):
    """Notifications of a term to its process. The callbacks must not block."""

    on_end: Callable[[TermEndReason], None]
    """Called with the reason when the term has to end."""
    on_machine_types: Callable[[list[MachineType]], None]
    """Called with the cloud's machine types, in all zones, each time they have been read."""
    on_final: Callable[[JobId, str], None]
    """Called with a job and its final state, once the store has it."""


class TermContext:
    """The shared state of one term."""

    def __init__(
        self, environment: TermEnvironment, leadership: Leadership, callbacks: TermCallbacks
    ) -> None:
        # From the process and the election:
        self.settings, self.policy, self.store, self.scope = environment
        self.leadership = leadership
        self.number = leadership.term
        self.lease_validity = leadership.lease_validity
        self.on_final = callbacks.on_final
        self._on_end = callbacks.on_end
        self._on_machine_types = callbacks.on_machine_types
        # The jobs and the fleet:
        self.job_table = JobTable()
        self.terminations = PendingTerminations()
        self.cluster = ClusterState(
            self.number, self.settings.params.workers.lease_s, self.job_table, self.terminations
        )
        self.machine_types: dict[str, MachineType] = {}
        """The machine types by name, each with only those of its zones that are in the scope."""
        self.released_machines: OrderedDict[MachineId, None] = OrderedDict()
        """Machines whose release the cloud has confirmed; their late messages are ignored."""
        self.teams = {team.name: team for team in self.settings.params.teams}
        """The teams by name, with the limits of the settings."""
        self.team_limits: TeamLimits = SettingsLimits(self.teams)
        # The progress of the term, and the signals between its loops:
        self.started_at = monotonic_now()
        self.state_loaded = Event()
        """Set once the state has been loaded from the store."""
        self.scheduling_needed = Event()
        """Set on a change that the scheduler may act on."""
        self.writes_needed = Event()
        """Set when a write to the store is pending."""
        self.stopped = False
        self.sealed = False
        """Whether the shard is being handed to another controller: no new operations may start."""

    def end(self, reason: TermEndReason) -> None:
        """Have the process end the term, unless it has ended already."""
        if not self.stopped:
            self._on_end(reason)

    def has_authority(self) -> bool:
        """Return whether the lease is certainly valid now, and the jobs are known.

        See docs/design.md, safety argument 2.
        """
        return not self.stopped and self.lease_validity.has_authority(monotonic_now())

    def may_start_operations(self) -> bool:
        """Return whether tasks may be started and machines rented or released now."""
        return not self.sealed and self.has_authority()

    def machine_type(self, name: str) -> MachineType:
        """Return a machine type by name; an unknown one has no resources."""
        return self.machine_types.get(name) or MachineType(name, 0.0, 0.0, 0.0, ())

    def set_machine_types(self, machine_types: list[MachineType]) -> None:
        """Replace the machine types, and adjust the resources of known machines to them."""
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
