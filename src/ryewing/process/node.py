"""One controller's process: wires the parts together and owns their lifetimes."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable

import gevent
import msgspec

from ryewing import __version__
from ryewing.api.api import Api
from ryewing.api.final_states import FinalStateCache
from ryewing.api.http_server import HttpServer
from ryewing.clients.http_client import Reply
from ryewing.clients.peers import (
    Ack,
    CancelNotice,
    ImageLocality,
    JobStatusQuery,
    JobStatusReply,
    LeaderAnnouncement,
    LoadQuery,
    PeerClient,
    Peers,
    PeerServer,
    RelayRequest,
    RelayResponse,
    Request,
    Response,
    max_requests_in_flight,
)
from ryewing.clients.store import Store, StoreUnavailableError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.config.policy import Policy
from ryewing.config.settings import Settings, parse_address
from ryewing.election.identity import ProcessIdentity, new_boot_id
from ryewing.leader.division import Division, WholeFleet
from ryewing.process.leader_elector import LeaderElector, ProcessParts
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.state.job_records import CANCELLED, DONE
from ryewing.units import JobId, MonotonicTime, NodeName, ShardName, Zone, monotonic_now
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec, JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)
CANCEL_KNOWN_S = 10.0
"""With the lease, above the longest for which a leader that has not seen a change may start tasks
or answer users (`leadership.JOBS_KNOWN_MAX_AGE_S`); 0.1.0 and 0.2.0 went by their watch, of 8 s and
its deadline."""
UNCONFIRMED_CANCELS_MAX = 10_000
JOB_SHARDS_KEPT = 20_000
"""Jobs of which it is remembered to which shard they belong."""
API_SHARE, PEER_SHARE = 0.75, 0.05
"""Parts of the sockets for users, workers and health checks, and for other controllers. Every
worker keeps a connection to the leader; what remains is for the store, the cloud and what is sent
to workers directly (`workers.KEPT_SHARE`)."""


class Node:
    """One controller process."""

    def __init__(
        self, settings: Settings, policy: Policy, division: Division | None = None
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.name = NodeName(settings.node)
        self.identity = ProcessIdentity(self.name, new_boot_id())
        limits = settings.params.state.strictest()
        self.division = division or WholeFleet()
        scopes = self.division.scopes()
        self.store = Store(parse_address(settings.endpoints.state), limits, len(scopes))
        self.store.relay = self._relay
        self.user_limiter = UserRequestLimiter(limits.rps, len(settings.members) + 1, monotonic_now)
        self.store.on_throttled = self.user_limiter.shrink
        self.teams = {team.name: team for team in settings.params.teams}
        self.final_states = FinalStateCache()
        self._machine_types: dict[str, MachineType] = {}
        self._machine_types_read_at = MonotonicTime(-1e9)
        self._unconfirmed_cancels: OrderedDict[JobId, MonotonicTime] = OrderedDict()
        """Cancels found in the store that the leader may not know, and since when."""
        self._job_shards: OrderedDict[JobId, ShardName] = OrderedDict()
        sockets = settings.params.resources.fd_limit
        peer_sockets = max(8, int(PEER_SHARE * sockets))
        max_in_flight = max_requests_in_flight(peer_sockets, len(settings.members))
        self.peers = Peers(
            {m.node: PeerClient(parse_address(m.address), max_in_flight) for m in settings.members}
        )
        self._relay_bucket = TokenBucket(0.2 * limits.rps, 0.2 * limits.rps)
        self.electors = self._make_electors(self.store)
        self._http_server = HttpServer(
            parse_address(settings.api_addr), Api(self), max(16, int(API_SHARE * sockets))
        )
        self._peer_server = PeerServer(
            parse_address(settings.mesh_addr), self.handle_peer_request, peer_sockets
        )

    def _make_electors(self, store: Store) -> dict[ShardName | None, LeaderElector]:
        parts = ProcessParts(
            self.settings,
            self.policy,
            self.identity,
            self.peers,
            self.final_states.put,
            self._set_machine_types,
        )
        return {
            scope.shard: LeaderElector(parts, self.division.store_for(scope, store), scope)
            for scope in self.division.scopes()
        }

    def serve(self) -> None:
        """Run until the process is killed."""
        self._http_server.start()
        self._peer_server.start()
        log.info(
            "event=serving node=%s boot=%s version=%s",
            self.name,
            self.identity.boot_id,
            __version__,
        )
        first, *others = self.electors.values()
        for elector in others:
            gevent.spawn(elector.run)
        first.run()

    # -- what the interface for users and workers needs -------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker, or None if this node must not answer 200 now."""
        elector = self._elector_of(Zone(heartbeat.zone))
        leader = elector.leader if elector is not None else None
        return leader.on_heartbeat(heartbeat) if leader is not None else None

    def foreign_leader(self, zone: Zone) -> str | None:
        """Name the leader to whom a zone's workers should be sent, if it is another node."""
        elector = self._elector_of(zone)
        return elector.foreign_leader() if elector is not None else None

    def _elector_of(self, zone: Zone) -> LeaderElector | None:
        for elector in self.electors.values():
            if elector.scope.covers(zone):
                return elector
        return None

    def healthy(self) -> bool:
        """Tell whether requests can be taken.

        An outage that all nodes see leaves them healthy: they refuse at once what they can't
        decide, and a removal would only reset connections and be undone slowly.
        """
        return True

    def known_machine_types(self) -> dict[str, MachineType]:
        """Give the machine types; read from the store if this node has none yet."""
        now = monotonic_now()
        if not self._machine_types and now - self._machine_types_read_at > 0.5:
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
        """Choose the shard that a new job is to belong to; None where the fleet is undivided.

        Raise NoShardError if no shard could ever run it.
        """
        loads = {
            shard: elector.load() for shard, elector in self.electors.items() if shard is not None
        }
        return self.division.choose(spec, self._machine_types, loads)

    def full(self, shard: ShardName | None) -> bool:
        """Tell whether a shard's leader holds as many jobs as its memory allows."""
        return self.electors[shard].full()

    def local_status(self, job: JobId) -> JobStatus | None:
        """Tell a job's state from the memory of a leader here, if it may answer."""
        for elector in self.electors.values():
            state = elector.leader.poll(job) if elector.leader is not None else None
            if state is not None:
                return state
        return None

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Ask the leader for a job's state; None if only the store can tell."""
        for name in self._leaders_to_ask(job):
            answer = self.peers.request(name, JobStatusQuery(job))
            if not isinstance(answer, JobStatusReply) or answer.status is None:
                continue
            if isinstance(answer.shard, str):
                self.remember_shard(job, ShardName(answer.shard))
            if answer.status in (DONE, CANCELLED):
                self.final_states.put(job, answer.status)
            return JobStatus(job, answer.status, answer.done, answer.running)
        return None

    def _leaders_to_ask(self, job: JobId) -> Iterable[str]:
        """Name the controllers that may lead the job's shard."""
        shard = self._job_shards.get(job)
        known = self.electors.get(shard) if shard is not None else None
        electors = [known] if known is not None else self.electors.values()
        names = [elector.foreign_leader() for elector in electors]
        return dict.fromkeys(name for name in names if name is not None)

    def remember_shard(self, job: JobId, shard: ShardName) -> None:
        """Keep in mind to which shard a job belongs; it stays there."""
        self._job_shards[job] = shard
        if len(self._job_shards) > JOB_SHARDS_KEPT:
            self._job_shards.popitem(last=False)

    def announce_cancel(self, job: JobId, shard: ShardName | None) -> bool:
        """Make the leader know of a cancel that is in the store; False if it may not know.

        Only the holder of the lease answers users from memory and starts tasks, and whoever comes
        after it reads the jobs after its take-over. So it is enough to tell the one who holds it:
        that of the job's shard.
        """
        elector = self.electors.get(shard)
        if elector is None:
            return False  # of another division: nobody here knows who leads it
        seen_at = self._unconfirmed_cancels.setdefault(job, monotonic_now())
        if len(self._unconfirmed_cancels) > UNCONFIRMED_CANCELS_MAX:
            self._unconfirmed_cancels.popitem(last=False)
        self.user_limiter.charge()
        # Where the holder is dead, or cut from here: one that can reach the store sees the cancel
        # in its watch; one that can't loses its authority. So once that time is over since the mark
        # was seen here, no request is needed. Counted by our own monotonic clock: by the time at
        # which the cancel was meant to be written, one carried out late was told before the leader
        # could know.
        waited_s = monotonic_now() - seen_at
        known = elector.holder_knows(job) or (waited_s > self.policy.store_lease_s + CANCEL_KNOWN_S)
        if known:
            self._unconfirmed_cancels.pop(job, None)
        return known

    # -- other controllers ------------------------------------------------------------------

    def _relay(self, method: str, path: str, body: bytes | None) -> Reply | None:
        """Ask the store through a peer, since it can't be reached from here."""
        for name in self.peers.members:
            answer = self.peers.request(name, RelayRequest(method, path, body))
            if isinstance(answer, RelayResponse) and answer.status:
                return Reply(answer.status, answer.body)
        return None

    def handle_peer_request(self, request: Request) -> Response:
        """Answer another controller."""
        if isinstance(request, JobStatusQuery):
            return self._on_poll(JobId(request.job))
        if isinstance(request, RelayRequest):
            return self._on_relay(request)
        shard = ShardName(request.shard) if request.shard is not None else None
        elector = self.electors.get(shard)
        if elector is None:
            return Ack(False)  # from a controller that divides the fleet in another way
        if isinstance(request, CancelNotice):
            leader = elector.leader
            return Ack(leader is not None and leader.apply_cancel(JobId(request.job)))
        if isinstance(request, LoadQuery):
            return elector.on_load_query()
        if isinstance(request, ImageLocality):
            elector.on_image_locality(request)
        elif isinstance(request, LeaderAnnouncement):
            elector.on_leader_announcement(request)
        return Ack(True)

    def _on_poll(self, job: JobId) -> JobStatusReply:
        final = self.final_states.get(job)
        if final is not None:
            return JobStatusReply(final)
        for elector in self.electors.values():
            state = elector.leader.poll(job) if elector.leader is not None else None
            if state is not None:
                shard = elector.shard if elector.shard is not None else msgspec.UNSET
                return JobStatusReply(state.status, state.done, state.running, shard)
        return JobStatusReply()

    def _on_relay(self, request: RelayRequest) -> RelayResponse:
        if not self._relay_bucket.take():
            return RelayResponse(0)
        try:
            reply = self.store.raw(request.method, request.path, request.body, 0.5)
        except StoreUnavailableError:
            return RelayResponse(0)
        return RelayResponse(reply.status, reply.body)
