"""The client of the workers' own addresses: handshakes, halts and clears.

Starts are never sent this way. A command held back by the network is executed whenever it
arrives while token and incarnation match, so a start could come minutes late; a halt or a clear
names one attempt, and attempts are never given out twice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from ryewing.clients.http_client import HttpClient, UnreachableError
from ryewing.config.settings import parse_address
from ryewing.units import FencingToken
from ryewing.wire.codec import MalformedError
from ryewing.wire.workers import Command, DirectCommands, Heartbeat, read_heartbeat

DEADLINE_S = 2.0
KEPT_SHARE = 0.07
"""The part of the sockets kept open to workers for direct commands."""


class WorkerUnavailableError(Exception):
    """The worker did not answer."""


class Workers:
    """Direct commands, over a bounded number of kept connections."""

    def __init__(self, sockets: int) -> None:
        self._keep = max(8, int(KEPT_SHARE * sockets))
        self._clients: OrderedDict[str, HttpClient] = OrderedDict()

    def _client(self, address: str) -> HttpClient:
        client = self._clients.pop(address, None)
        if client is None:
            client = HttpClient(parse_address(address), 1)
        self._clients[address] = client
        if len(self._clients) > self._keep:
            self._clients.popitem(last=False)[1].close()
        return client

    def send(
        self, address: str, token: FencingToken, incarnation: int, commands: Sequence[Command]
    ) -> Heartbeat:
        """Send commands; return the worker's heartbeat, which tells if they were taken.

        An empty list is the handshake: a worker that takes it refuses older terms from then on.
        """
        if any(command.verb == "start" for command in commands):
            raise ValueError("starts ride in heartbeat responses only")
        body = msgspec.json.encode(DirectCommands(int(token), incarnation, list(commands)))
        try:
            client = self._client(address)
            reply = client.request("POST", "/orders", body, DEADLINE_S)
        except (UnreachableError, ValueError) as error:
            raise WorkerUnavailableError(str(error)) from None
        if reply.status not in (200, 409):
            raise WorkerUnavailableError(str(reply.status))
        try:
            return read_heartbeat(reply.body)
        except MalformedError as error:
            raise WorkerUnavailableError(str(error)) from None

    def forget(self, address: str) -> None:
        """Drop what is kept for an address whose machine is gone."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()
