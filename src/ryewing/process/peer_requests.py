"""The handler of peer RPC requests from other controllers."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ryewing.api.final_states import FinalStateCache
from ryewing.clients.peers import (
    Ack,
    CancelNotice,
    ImageLocality,
    JobStatusQuery,
    JobStatusReply,
    LeaderAnnouncement,
    LoadQuery,
    RelayRequest,
    RelayResponse,
    Request,
    Response,
)
from ryewing.clients.store import Store, StoreUnavailableError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.process.electors import Electors
from ryewing.process.leader_elector import LeaderElector
from ryewing.units import JobId, ShardName

RELAY_RATE_SHARE = 0.2
"""The share of the store's request rate that may be used to relay requests of other nodes."""
RELAY_DEADLINE_S = 0.5
"""The deadline of a relayed request to the store; the requesting peer waits only a little longer
(`clients.peers.client.PEER_DEADLINE_S`)."""


class PeerRequestTarget(Protocol):
    """The attributes of a controller process that the handler of peer requests uses."""

    store: Store
    electors: Electors
    final_states: FinalStateCache


class PeerRequestHandler:
    """Answers the requests of other controllers."""

    def __init__(self, controller: PeerRequestTarget, store_rps: float) -> None:
        """Create a handler for a controller.

        `store_rps` is the store's rate limit in requests per second, for all controllers together.
        """
        self._controller = controller
        relay_rps = RELAY_RATE_SHARE * store_rps
        self._relay_bucket = TokenBucket(relay_rps, relay_rps)

    def handle(self, request: Request) -> Response:
        """Answer one request.

        A request for a shard that this controller does not know is refused with `Ack(False)`,
        because its sender has another division of the fleet.
        """
        if isinstance(request, JobStatusQuery):
            return self._on_job_status_query(JobId(request.job))
        if isinstance(request, RelayRequest):
            return self._on_relay_request(request)
        shard = ShardName(request.shard) if request.shard is not None else None
        elector = self._controller.electors.get(shard)
        if elector is None:
            return Ack(False)
        return self._on_shard_request(elector, request)

    def _on_shard_request(
        self,
        elector: LeaderElector,
        request: CancelNotice | LeaderAnnouncement | LoadQuery | ImageLocality,
    ) -> Response:
        if isinstance(request, CancelNotice):
            leader = elector.leader
            return Ack(leader is not None and leader.apply_cancel(JobId(request.job)))
        if isinstance(request, LoadQuery):
            return elector.load.on_query()
        if isinstance(request, ImageLocality):
            elector.image_localities.receive(request)
        else:
            elector.on_leader_announcement(request)
        return Ack(True)

    def _on_job_status_query(self, job: JobId) -> JobStatusReply:
        final = self._controller.final_states.get(job)
        if final is not None:
            return JobStatusReply(final)
        local = self._controller.electors.job_status(job)
        if local is None:
            return JobStatusReply()
        shard = local.shard if local.shard is not None else msgspec.UNSET
        return JobStatusReply(local.status.status, local.status.done, local.status.running, shard)

    def _on_relay_request(self, request: RelayRequest) -> RelayResponse:
        if not self._relay_bucket.try_acquire():
            return RelayResponse(0)
        try:
            reply = self._controller.store.request_direct(
                request.method, request.path, request.body, RELAY_DEADLINE_S
            )
        except StoreUnavailableError:
            return RelayResponse(0)
        return RelayResponse(reply.status, reply.body)
