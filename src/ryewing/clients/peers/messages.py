"""The messages of peer RPC: requests of controllers to each other, and their responses.

The tags and field names are the wire format. They must not change, because controllers of two
versions run side by side during an upgrade (docs/design.md, "Compatibility"). New fields need a
default, and new tags must not be added.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Union

import msgspec


class JobStatusQuery(msgspec.Struct, tag="poll"):
    """A follower's request to the leader for the status of a job."""

    job: str


class CancelNotice(msgspec.Struct, tag="cancel", omit_defaults=True):
    """A notice that a cancel has been written, sent before the user gets a response."""

    job: str
    shard: str | None = None
    """The shard whose leader is addressed, here and in the other requests; None if the fleet is
    undivided."""


class LeaderAnnouncement(msgspec.Struct, tag="leader", omit_defaults=True):
    """The announcement of a new leader, on which a leader of an earlier term steps down at once."""

    node: str
    term: int
    shard: str | None = None


class LoadQuery(msgspec.Struct, tag="load", omit_defaults=True):
    """A follower's request for the leader's load, and for whether it can accept more jobs."""

    shard: str | None = None


class ImageLocality(msgspec.Struct, tag="images", omit_defaults=True):
    """The leader's record of cached images and of failing jobs, which a successor takes over.

    It affects only where tasks can start without fetching an image, and the backoff of failing
    jobs.
    """

    term: int
    images: list[tuple[str, float]] = []
    """Name and size in GB of each image."""
    machines: dict[str, list[int]] = {}
    """For each machine, indexes into `images`, the least recently used image first."""
    failing: dict[str, float] = {}
    """Jobs that fail on every machine, with the backoff between two probes in seconds."""
    shard: str | None = None


class RelayRequest(msgspec.Struct, tag="relay"):
    """A request to the store, sent through a peer by a controller that can't reach the store."""

    method: str
    path: str
    body: bytes | None = None


class JobStatusReply(msgspec.Struct, tag="state"):
    """The response to `JobStatusQuery`; if it has no status, the store must be read instead."""

    status: str | None = None
    done: int | None = None
    running: int | None = None
    shard: str | msgspec.UnsetType | None = msgspec.UNSET
    """The job's shard; omitted if the fleet is undivided, as in every earlier version."""


class Ack(msgspec.Struct, tag="ack"):
    """The response to a notice, to `LoadQuery` in an undivided fleet, and for an unknown shard."""

    ok: bool
    """Whether the notice was applied, or the leader can accept more jobs."""


class ShardLoadAnswer(msgspec.Struct, tag="shardload"):
    """The response to `LoadQuery` in a divided fleet: the load of one shard."""

    full: bool
    """Whether the leader holds as many jobs as its memory allows."""
    backlog: float
    """Queued work as a fraction of the capacity of the shard's machines."""


class RelayResponse(msgspec.Struct, tag="relayed"):
    """The response to `RelayRequest`: the store's response, or status 0 if there was none."""

    status: int
    body: bytes = b""


Request = Union[
    JobStatusQuery, CancelNotice, LeaderAnnouncement, LoadQuery, ImageLocality, RelayRequest
]
Response = Union[JobStatusReply, Ack, ShardLoadAnswer, RelayResponse]
Handler = Callable[[Request], Response]
"""Handles a request. It may block, because each connection has its own greenlet."""
