"""The controller process: constructs its parts, connects them and owns their lifetimes."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ryewing import __version__
from ryewing.api.final_states import FinalStateCache
from ryewing.api.http_server import HttpServer
from ryewing.api.router import Api
from ryewing.clients.http_client import Reply
from ryewing.clients.peers import (
    JobStatusQuery,
    JobStatusReply,
    PeerClient,
    Peers,
    PeerServer,
    RelayRequest,
    RelayResponse,
    max_requests_in_flight,
)
from ryewing.clients.store import Store, StoreUnavailableError
from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.config.policy import Policy
from ryewing.config.settings import Member, Settings, parse_address
from ryewing.election.identity import ProcessIdentity, new_boot_id
from ryewing.leader.division import Division, WholeFleet
from ryewing.process.cancel_announcer import CancelAnnouncer
from ryewing.process.electors import Electors
from ryewing.process.leader_elector import LeaderElector
from ryewing.process.peer_requests import PeerRequestHandler
from ryewing.process.process_context import ProcessContext
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.state.job_records import FINAL_STATES
from ryewing.units import JobId, MonotonicTime, NodeName, ShardName, Zone, monotonic_now
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec, JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

JOB_SHARDS_KEPT = 20_000
"""Jobs whose shard is cached; the ones added first are dropped."""
MACHINE_TYPES_READ_INTERVAL_S = 0.5
"""The minimum interval between reads of the machine types while none are known, in seconds."""
API_SOCKET_SHARE, PEER_SOCKET_SHARE = 0.75, 0.05
"""The shares of the sockets for the API (users, workers and health checks) and for requests of
other controllers. Every worker keeps a connection to the leader. The rest is for the store, the
cloud and direct messages to workers (`clients.workers.WORKER_SOCKET_SHARE`)."""
MIN_API_SOCKETS, MIN_PEER_SOCKETS = 16, 8


class Node:
    """One controller process.

    It implements `api.controller.Controller` for requests of users and workers, and
    `peer_requests.PeerRequestTarget` for requests of other controllers.
    """

    def __init__(
        self, settings: Settings, policy: Policy, division: Division | None = None
    ) -> None:
        """Construct the parts of the process without starting servers or greenlets.

        Without a `division`, one term leads the whole fleet.
        """
        self.settings = settings
        self.policy = policy
        self.identity = ProcessIdentity(NodeName(settings.node), new_boot_id())
        limits = settings.params.state.strictest()
        self.division = division or WholeFleet()
        scopes = self.division.scopes()
        self.store = Store(parse_address(settings.endpoints.state), limits, len(scopes))
        self.store.relay = self._relay_store_request
        self.user_limiter = UserRequestLimiter(limits.rps, len(settings.members) + 1, monotonic_now)
        self.store.on_throttled = self.user_limiter.shrink
        self.teams = {team.name: team for team in settings.params.teams}
        self.final_states = FinalStateCache()
        self._machine_types: dict[str, MachineType] = {}
        self._machine_types_read_at = MonotonicTime(-1e9)
        self._job_shards: OrderedDict[JobId, ShardName] = OrderedDict()
        sockets = settings.params.resources.fd_limit
        peer_sockets = max(MIN_PEER_SOCKETS, int(PEER_SOCKET_SHARE * sockets))
        self.peers = _make_peers(settings.members, peer_sockets)
        self.electors = self._make_electors()
        self._cancel_announcer = CancelAnnouncer(
            self.electors, self.user_limiter, policy.store_lease_s
        )
        self.peer_requests = PeerRequestHandler(self, limits.rps)
        self.http_server = HttpServer(
            parse_address(settings.api_addr),
            Api(self),
            max(MIN_API_SOCKETS, int(API_SOCKET_SHARE * sockets)),
        )
        self.peer_server = PeerServer(
            parse_address(settings.mesh_addr), self.peer_requests.handle, peer_sockets
        )

    def _make_electors(self) -> Electors:
        context = ProcessContext(
            self.settings,
            self.policy,
            self.identity,
            self.peers,
            self.final_states.put,
            self._set_machine_types,
        )
        return Electors(
            {
                scope.shard: LeaderElector(
                    context, self.division.store_for(scope, self.store), scope
                )
                for scope in self.division.scopes()
            }
        )

    @property
    def name(self) -> NodeName:
        """The controller's name."""
        return self.identity.node

    def serve(self) -> None:
        """Start the servers, and follow every lease until the process is killed."""
        self.http_server.start()
        self.peer_server.start()
        log.info(
            "event=serving node=%s boot=%s version=%s",
            self.name,
            self.identity.boot_id,
            __version__,
        )
        self.electors.run()

    # -- workers ----------------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Apply a heartbeat and return the commands; None if this node must not answer 200 now."""
        elector = self.electors.for_zone(Zone(heartbeat.zone))
        leader = elector.leader if elector is not None else None
        return leader.on_heartbeat(heartbeat) if leader is not None else None

    def remote_leader(self, zone: Zone) -> str | None:
        """Return the name of a zone's leader if it is another node, else None."""
        elector = self.electors.for_zone(zone)
        return elector.remote_leader() if elector is not None else None

    # -- users ------------------------------------------------------------------------------

    def healthy(self) -> bool:
        """Return True: a running process can accept requests.

        Nodes report themselves as healthy also in an outage that affects all of them. They refuse
        at once the requests that they can't process, whereas a removal from the load balancer would
        only reset connections, and would be reversed slowly.
        """
        return True

    def known_machine_types(self) -> dict[str, MachineType]:
        """Return the machine types by name, read from the store if none are known yet.

        The result is empty if they can't be read now.
        """
        now = monotonic_now()
        if (
            not self._machine_types
            and now - self._machine_types_read_at > MACHINE_TYPES_READ_INTERVAL_S
        ):
            self._machine_types_read_at = now
            self.user_limiter.charge()
            try:
                listed = catalogue.read(self.store)
            except StoreUnavailableError:
                listed = []
            if listed:
                self._set_machine_types(listed)
        return self._machine_types

    def _set_machine_types(self, machine_types: list[MachineType]) -> None:
        self._machine_types = {machine_type.name: machine_type for machine_type in machine_types}

    def choose_shard(self, spec: JobSpec) -> ShardName | None:
        """Choose the shard for a new job; return None if the fleet is undivided.

        Raise NoShardError if no shard could ever run it, NotReadyError if that is not known yet.
        """
        loads = {
            shard: elector.load.latest()
            for shard, elector in self.electors.items()
            if shard is not None
        }
        return self.division.choose_shard(spec, self._machine_types, loads)

    def job_memory_full(self, shard: ShardName | None) -> bool:
        """Return whether a shard's leader holds as many jobs as its memory allows."""
        return self.electors[shard].load.job_memory_full()

    def local_status(self, job: JobId) -> JobStatus | None:
        """Return a job's status from the memory of a leader in this process, if it may answer."""
        local = self.electors.job_status(job)
        return local.status if local is not None else None

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Request a job's status from leaders on other nodes; None if none of them returns it."""
        for name in self._candidate_leaders(job):
            answer = self.peers.request(name, JobStatusQuery(job))
            if not isinstance(answer, JobStatusReply) or answer.status is None:
                continue
            if isinstance(answer.shard, str):
                self.cache_job_shard(job, ShardName(answer.shard))
            if answer.status in FINAL_STATES:
                self.final_states.put(job, answer.status)
            return JobStatus(job, answer.status, answer.done, answer.running)
        return None

    def _candidate_leaders(self, job: JobId) -> Iterable[str]:
        """Return the names of other nodes that may lead the job's shard, without duplicates.

        If the shard is unknown, these are the leaders of all shards.
        """
        shard = self._job_shards.get(job)
        known = self.electors.get(shard) if shard is not None else None
        electors = [known] if known is not None else self.electors.values()
        names = [elector.remote_leader() for elector in electors]
        return dict.fromkeys(name for name in names if name is not None)

    def cache_job_shard(self, job: JobId, shard: ShardName) -> None:
        """Cache a job's shard, which never changes, so that only its leader is queried."""
        self._job_shards[job] = shard
        if len(self._job_shards) > JOB_SHARDS_KEPT:
            self._job_shards.popitem(last=False)

    def announce_cancel(self, job: JobId, shard: ShardName | None) -> bool:
        """Notify the leader of a cancellation in the store; False if it may not know of it yet."""
        return self._cancel_announcer.announce(job, shard)

    # -- the store --------------------------------------------------------------------------

    def _relay_store_request(self, method: str, path: str, body: bytes | None) -> Reply | None:
        """Send a request to the store through a peer, when this node can't reach the store.

        Peers are tried one after the other; return None if none of them got a response.
        """
        for name in self.peers.members:
            answer = self.peers.request(name, RelayRequest(method, path, body))
            if isinstance(answer, RelayResponse) and answer.status:
                return Reply(answer.status, answer.body)
        return None


def _make_peers(members: Sequence[Member], sockets: int) -> Peers:
    max_in_flight = max_requests_in_flight(sockets, len(members))
    return Peers(
        {
            member.node: PeerClient(parse_address(member.address), max_in_flight)
            for member in members
        }
    )
