"""The client of the cloud: renting, returning and listing machines."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from ryewing.clients.http_client import HttpClient, Reply, UnreachableError, decode_answer
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
RENT_MAX = 50
RELEASE_MAX = 100
PAGE_MAX = 500
T = TypeVar("T")


class CloudUnavailableError(Exception):
    """The cloud did not answer, or would not now; a request may still be executed."""


class NoCapacityError(Exception):
    """None of this type, zone and kind can be had."""


class Cloud:
    """Requests to the cloud, within the rate that it takes."""

    def __init__(self, address: Address, limits: CloudLimits) -> None:
        self._http = HttpClient(address, 2)
        # Only the leader asks, but two leaders can overlap for a moment: leave it some room.
        self.bucket = TokenBucket(0.8 * limits.rps, limits.rps)

    def _request(self, method: str, path: str, body: bytes | None = None) -> Reply:
        if not self.bucket.take():
            raise CloudUnavailableError("own token bucket is empty")
        try:
            reply = self._http.request(method, path, body, DEADLINE_S)
        except UnreachableError as error:
            raise CloudUnavailableError(str(error)) from None
        if reply.status == 429:
            self.bucket.drain()
            raise CloudUnavailableError("429")
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacityError
        if reply.status != 200:
            raise CloudUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
        return reply

    def machine_types(self) -> list[MachineType]:
        """Read the machine types, with the prices of now."""
        return self._decode(self._request("GET", "/machine_types"), MachineTypeList).machine_types

    def rent(self, request: RentalRequest) -> list[MachineId]:
        """Rent machines; repeating the same request rents nothing more."""
        reply = self._request("POST", "/machines", msgspec.json.encode(request))
        return [MachineId(name) for name in self._decode(reply, MachineNames).machines]

    def release(self, machines: Sequence[MachineId]) -> None:
        """Return machines; when this returns, they and everything on them are gone."""
        body = msgspec.json.encode(MachineNames([str(m) for m in machines[:RELEASE_MAX]]))
        self._request("POST", "/machines/release", body)

    def machine_page(self, since: str) -> MachinePage:
        """List machines as of some seconds ago, those after a name."""
        path = f"/machines?page={PAGE_MAX}" + (f"&since={since}" if since else "")
        return self._decode(self._request("GET", path), MachinePage)

    def _decode(self, reply: Reply, kind: type[T]) -> T:
        return decode_answer(reply, kind, "cloud", CloudUnavailableError)
