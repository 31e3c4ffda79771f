"""Answering the requests of other controllers."""

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
"""The part of the store's request rate that may be used for requests relayed for other nodes."""
RELAY_DEADLINE_S = 0.5
"""How long the store may take to answer a relayed request; the peer waits only a little longer."""


class AskedController(Protocol):
    """A controller's process, as far as the answers to other controllers need it."""

    store: Store
    electors: Electors
    final_states: FinalStateCache


class PeerRequestHandler:
    """Answers the requests of other controllers."""

    def __init__(self, controller: AskedController, store_rps: float) -> None:
        """Begin to answer for a controller.

        `store_rps` is how many requests a second the store takes from all controllers together.
        """
        self._controller = controller
        relay_rps = RELAY_RATE_SHARE * store_rps
        self._relay_bucket = TokenBucket(relay_rps, relay_rps)

    def handle(self, request: Request) -> Response:
        """Answer one request.

        A request that names a shard which this controller does not know is refused: it comes from
        a controller that divides the fleet in another way.
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
        led = self._controller.electors.job_status(job)
        if led is None:
            return JobStatusReply()
        shard = led.shard if led.shard is not None else msgspec.UNSET
        return JobStatusReply(led.status.status, led.status.done, led.status.running, shard)

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
