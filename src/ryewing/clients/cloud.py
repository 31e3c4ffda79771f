"""The client of the cloud: renting, releasing and listing machines (PROTOCOL, "-> cloud")."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from ryewing.clients.errors import ClientError
from ryewing.clients.http_client import HttpClient, Reply, UnreachableError, decode_json_body
from ryewing.clients.token_bucket import TokenBucket
from ryewing.config.settings import Address, CloudLimits
from ryewing.units import MachineId
from ryewing.wire.cloud import (
    MachineNames,
    MachinePage,
    MachineType,
    MachineTypeList,
    RentalRequest,
)

DEADLINE_S = 4.0
"""The deadline of a request to the cloud."""
KEPT_CONNECTIONS = 2
"""Idle connections that are kept."""
RATE_SHARE = 0.8
"""The share of the cloud's rate that one controller uses. Only the leader sends requests, but two
leaders can overlap for a moment."""
MAX_MACHINES_PER_RENTAL = 50
"""The most machines that one rental request may ask for (PROTOCOL)."""
MAX_MACHINES_PER_RELEASE = 100
"""The most machines that one request may release (PROTOCOL)."""
MAX_MACHINES_PER_PAGE = 500
"""The most machines in one page of the list (PROTOCOL)."""
NO_CAPACITY = b"no capacity"
"""The error in a 503 that says that the machines can't be had (PROTOCOL)."""
T = TypeVar("T")


class CloudError(ClientError):
    """A request to the cloud failed."""


class CloudUnavailableError(CloudError):
    """The cloud did not respond, or refused for now; the request may still be executed."""


class NoCapacityError(CloudError):
    """The cloud has no machine of this type, zone and kind (spot or on demand)."""


class Cloud:
    """Requests to the cloud, within its rate limit. Each request switches greenlets.

    All methods raise CloudUnavailableError if there is no usable response.
    """

    def __init__(self, address: Address, limits: CloudLimits) -> None:
        self._http = HttpClient(address, KEPT_CONNECTIONS)
        self.bucket = TokenBucket(RATE_SHARE * limits.rps, limits.rps)

    def _request(self, method: str, path: str, body: bytes | None = None) -> Reply:
        if not self.bucket.try_acquire():
            raise CloudUnavailableError("own token bucket is empty")
        try:
            reply = self._http.request(method, path, body, DEADLINE_S)
        except UnreachableError as error:
            raise CloudUnavailableError(str(error)) from None
        if reply.status == 429:
            self.bucket.drain()
            raise CloudUnavailableError("429")
        if reply.status == 503 and NO_CAPACITY in reply.body:
            raise NoCapacityError
        if reply.status != 200:
            raise CloudUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
        return reply

    def machine_types(self) -> list[MachineType]:
        """Read the machine types, with current prices."""
        return self._decode(self._request("GET", "/machine_types"), MachineTypeList).machine_types

    def rent(self, request: RentalRequest) -> list[MachineId]:
        """Rent machines; raise NoCapacityError if there are none.

        The request is idempotent: repeating it returns the same machines.
        """
        reply = self._request("POST", "/machines", msgspec.json.encode(request))
        return [MachineId(name) for name in self._decode(reply, MachineNames).machines]

    def release(self, machines: Sequence[MachineId]) -> None:
        """Release up to MAX_MACHINES_PER_RELEASE machines.

        On return, they and everything on them are gone.
        """
        body = msgspec.json.encode(
            MachineNames([str(m) for m in machines[:MAX_MACHINES_PER_RELEASE]])
        )
        self._request("POST", "/machines/release", body)

    def machine_page(self, since: str) -> MachinePage:
        """Read one page of the machine list: the machines whose names come after `since`.

        The list describes the machines as they were some seconds ago.
        """
        path = f"/machines?page={MAX_MACHINES_PER_PAGE}" + (f"&since={since}" if since else "")
        return self._decode(self._request("GET", path), MachinePage)

    def _decode(self, reply: Reply, kind: type[T]) -> T:
        return decode_json_body(reply, kind, "cloud", CloudUnavailableError)
