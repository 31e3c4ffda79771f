"""Peer RPC: the requests that controllers send to each other, and the server that answers them.

A frame is four bytes of length and one msgpack-encoded struct, over TCP. A refused connection or a
missing response is never taken as proof that the other controller is dead. Importers take the names
from here, not from the modules below.
"""

from __future__ import annotations

from ryewing.clients.peers.client import (
    MAX_REQUESTS_IN_FLIGHT,
    PeerClient,
    Peers,
    PeerUnavailableError,
    max_requests_in_flight,
)
from ryewing.clients.peers.framing import FRAME_MAX
from ryewing.clients.peers.messages import (
    Ack,
    CancelNotice,
    Handler,
    ImageLocality,
    JobStatusQuery,
    JobStatusReply,
    LeaderAnnouncement,
    LoadQuery,
    RelayRequest,
    RelayResponse,
    Request,
    Response,
    ShardLoadAnswer,
)
from ryewing.clients.peers.server import PeerServer

__all__ = [
    "FRAME_MAX",
    "MAX_REQUESTS_IN_FLIGHT",
    "Ack",
    "CancelNotice",
    "Handler",
    "ImageLocality",
    "JobStatusQuery",
    "JobStatusReply",
    "LeaderAnnouncement",
    "LoadQuery",
    "PeerClient",
    "PeerServer",
    "PeerUnavailableError",
    "Peers",
    "RelayRequest",
    "RelayResponse",
    "Request",
    "Response",
    "ShardLoadAnswer",
    "max_requests_in_flight",
]
