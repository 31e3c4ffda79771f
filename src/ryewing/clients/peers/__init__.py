"""Peer RPC: the requests that controllers send to each other, and the server that answers them.

A frame is four bytes of length and one msgpack-encoded struct, over TCP. A refused connection or a
missing response never counts as proof that the other controller is dead. Other packages import the
names from here, not from the modules of this package.
"""

from __future__ import annotations

from ryewing.clients.peers.client import (
    BASE_REQUESTS_IN_FLIGHT,
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
    "BASE_REQUESTS_IN_FLIGHT",
    "FRAME_MAX",
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
