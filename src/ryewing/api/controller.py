"""The interface of the controller process that the HTTP handlers use."""

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
    """A controller process as its HTTP handlers use it.

    The attributes may be replaced, so handlers read them at each use and keep no copies.
    """

    policy: Policy
    store: Store
    teams: dict[str, Team]
    final_states: FinalStateCache
    user_limiter: UserRequestLimiter

    def healthy(self) -> bool:
        """Return whether requests can be accepted."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Apply a heartbeat and return the commands; None if this node must not answer 200 now.

        That is the case if it does not lead, or leads but may not answer workers.
        """

    def remote_leader(self, zone: Zone) -> str | None:
        """Return the name of a zone's leader if it is another node, to redirect workers to it."""

    def known_machine_types(self) -> dict[str, MachineType]:
        """Return the machine types by name; empty if they are not known yet."""

    def choose_shard(self, spec: JobSpec) -> ShardName | None:
        """Return the shard for a new job; None if the fleet is undivided.

        Raise NoShardError if no shard could ever run it, NotReadyError if that is not known yet.
        """

    def job_memory_full(self, shard: ShardName | None) -> bool:
        """Return whether a shard's leader holds as many jobs as its memory allows."""

    def local_status(self, job: JobId) -> JobStatus | None:
        """Return a job's status from the memory of a leader in this process, if it may answer."""

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Request a job's status from its leader; None if the store must be read instead."""

    def cache_job_shard(self, job: JobId, shard: ShardName) -> None:
        """Cache the shard that a job belongs to."""

    def announce_cancel(self, job: JobId, shard: ShardName | None) -> bool:
        """Notify the leader of a stored cancellation; return False if it may not know of it."""
