"""What the interface for users and workers needs of the process that it belongs to."""

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
    """A controller's process, as its interface sees it."""

    policy: Policy
    store: Store
    teams: dict[str, Team]
    final_states: FinalStateCache
    user_limiter: UserRequestLimiter

    def healthy(self) -> bool:
        """Tell whether requests can be taken."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker, or None if this node must not answer 200 now."""

    def foreign_leader(self, zone: Zone) -> str | None:
        """Name the leader to whom a zone's workers should be sent, if it is another node."""

    def known_machine_types(self) -> dict[str, MachineType]:
        """Give the machine types; none if they are not known yet."""

    def choose_shard(self, spec: JobSpec) -> ShardName | None:
        """Choose a new job's shard; raise NoShardError if none could ever run it."""

    def full(self, shard: ShardName | None) -> bool:
        """Tell whether a shard's leader holds as many jobs as its memory allows."""

    def local_status(self, job: JobId) -> JobStatus | None:
        """Tell a job's state from the memory of a leader here, if it may answer."""

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Ask the leader for a job's state; None if only the store can tell."""

    def remember_shard(self, job: JobId, shard: ShardName) -> None:
        """Keep in mind to which shard a job belongs."""

    def announce_cancel(self, job: JobId, shard: ShardName | None) -> bool:
        """Make the leader know of a cancel that is in the store; False if it may not know."""
