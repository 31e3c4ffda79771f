"""The messages of peer RPC: what controllers ask each other, and their responses.

The tags and field names are the format on the wire and stay as they are: controllers of two
versions run side by side during an upgrade (docs/design.md, "Compatibility"). A new field needs a
default, and there are no new tags.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Union

import msgspec


class JobStatusQuery(msgspec.Struct, tag="poll"):
    """A follower asks the leader for the status of a job."""

    job: str


class CancelNotice(msgspec.Struct, tag="cancel", omit_defaults=True):
    """A cancel has been written: the leader must know of it before the user gets a response."""

    job: str
    shard: str | None = None
    """The shard whose leader is addressed, here and in the other messages; None if the fleet is
    undivided."""


class LeaderAnnouncement(msgspec.Struct, tag="leader", omit_defaults=True):
    """A new leader announces itself, so that an older one steps down at once."""

    node: str
    term: int
    shard: str | None = None


class LoadQuery(msgspec.Struct, tag="load", omit_defaults=True):
    """A follower asks whether the leader can accept more jobs."""

    shard: str | None = None


class ImageLocality(msgspec.Struct, tag="images", omit_defaults=True):
    """The leader reports which machines have which images, so that a successor need not learn it.

    It affects only where tasks can start without fetching an image.
    """

    term: int
    images: list[tuple[str, float]] = []
    """Name and size in GB of each image."""
    machines: dict[str, list[int]] = {}
    """By machine: indexes into `images`, the least recently used image first."""
    failing: dict[str, float] = {}
    """Jobs that fail on every machine, and for each the backoff in seconds between two probes."""
    shard: str | None = None


class RelayRequest(msgspec.Struct, tag="relay"):
    """A controller that alone can't reach the store sends a request to it through a peer."""

    method: str
    path: str
    body: bytes | None = None


class JobStatusReply(msgspec.Struct, tag="state"):
    """The response to `JobStatusQuery`; without a status, the store must be read instead."""

    status: str | None = None
    done: int | None = None
    running: int | None = None
    shard: str | msgspec.UnsetType | None = msgspec.UNSET
    """The job's shard; omitted where the fleet is undivided, as in every earlier version."""


class Ack(msgspec.Struct, tag="ack"):
    """The response to a notice: whether it was applied."""

    ok: bool


class ShardLoadAnswer(msgspec.Struct, tag="shardload"):
    """The response to `LoadQuery`: the load of one shard."""

    full: bool
    backlog: float
    """Waiting work as a fraction of the capacity of the shard's machines."""


class RelayResponse(msgspec.Struct, tag="relayed"):
    """The response to `RelayRequest`: the store's response, or status 0 if there was none."""

    status: int
    body: bytes = b""


Request = Union[
    JobStatusQuery, CancelNotice, LeaderAnnouncement, LoadQuery, ImageLocality, RelayRequest
]
Response = Union[JobStatusReply, Ack, ShardLoadAnswer, RelayResponse]
Handler = Callable[[Request], Response]
"""Answers a request. It may wait: each connection has a greenlet of its own."""
