"""What the HTTP interface needs of the controller process that it belongs to."""

from __future__ import annotations

from typing import Protocol

from ryewing.api.final_states import FinalStateCache
from ryewing.clients.store import Store
from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.config.policy import Policy
from ryewing.config.settings import Team
from ryewing.units import JobId, ShardName, Zone
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec, JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse


class Controller(Protocol):
    """A controller process as its HTTP interface uses it.

    The attributes are read at each use and not copied: they may be replaced.
    """

    policy: Policy
    store: Store
    teams: dict[str, Team]
    final_states: FinalStateCache
    user_limiter: UserRequestLimiter

    def healthy(self) -> bool:
        """Return whether requests can be accepted."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Apply a heartbeat and return the commands; None if this node must not answer 200 now."""

    def remote_leader(self, zone: Zone) -> str | None:
        """Return the leader to which a zone's workers should be redirected, if another node is."""

    def known_machine_types(self) -> dict[str, MachineType]:
        """Return the machine types by name; empty if they are not known yet."""

    def choose_shard(self, spec: JobSpec) -> ShardName | None:
        """Return a new job's shard; None if the fleet is undivided.

        Raise NoShardError if no shard could ever run it, NotReadyError if that is not known yet.
        """

    def job_memory_full(self, shard: ShardName | None) -> bool:
        """Return whether a shard's leader holds as many jobs as its memory allows."""

    def local_status(self, job: JobId) -> JobStatus | None:
        """Return a job's status from the memory of a leader here, if it may answer."""

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Ask the leader for a job's status; None if the store must be read instead."""

    def remember_shard(self, job: JobId, shard: ShardName) -> None:
        """Note the shard that a job belongs to."""

    def announce_cancel(self, job: JobId, shard: ShardName | None) -> bool:
        """Make sure that the leader knows of a cancel in the store; False if it may not know."""
