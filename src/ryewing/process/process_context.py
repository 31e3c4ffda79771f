"""The objects that the leader electors of one process share."""

from __future__ import annotations

from collections.abc import Callable

from ryewing.clients.peers import Peers
from ryewing.config.policy import Policy
from ryewing.config.settings import Settings
from ryewing.election.identity import ProcessIdentity
from ryewing.units import JobId
from ryewing.wire.cloud import MachineType


class ProcessContext:
    """Settings, identity and peers of one process, and callbacks for its leaders.

    It has no logic, and lives as long as the process.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        identity: ProcessIdentity,
        peers: Peers,
        on_final: Callable[[JobId, str], None],
        on_machine_types: Callable[[list[MachineType]], None],
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.identity = identity
        self.peers = peers
        self.on_final = on_final
        """Called with each job that has reached a final state, and with that state."""
        self.on_machine_types = on_machine_types
        """Called with the machine types whenever a leader has read them from the cloud."""
