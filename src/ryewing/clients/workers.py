"""The client of the workers' own addresses: handshakes, halts and clears (PROTOCOL, `/orders`).

Starts are never sent this way. A command that the network holds back is executed whenever it
arrives, as long as token and incarnation match, so a start could be minutes late. A halt or a clear
names one attempt, and attempts are never reused (docs/design.md, safety argument 6).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from ryewing.clients.errors import ClientError
from ryewing.clients.http_client import HttpClient, UnreachableError
from ryewing.config.settings import parse_address
from ryewing.units import FencingToken
from ryewing.wire.codec import MalformedError
from ryewing.wire.workers import START, Command, DirectCommands, Heartbeat, read_heartbeat

DEADLINE_S = 2.0
"""The deadline of a direct message."""
KEPT_SHARE = 0.07
"""The share of the sockets that keep connections to workers open for direct messages."""
KEPT_MIN = 8
"""Connections that are kept however few sockets there are."""


class WorkerUnavailableError(ClientError):
    """The worker did not respond to a direct message, or not as the protocol says."""


class Workers:
    """Direct messages to workers, over a bounded number of kept connections.

    The connections used least recently are closed first.
    """

    def __init__(self, sockets: int) -> None:
        self._max_kept = max(KEPT_MIN, int(KEPT_SHARE * sockets))
        self.clients: OrderedDict[str, HttpClient] = OrderedDict()

    def client_for(self, address: str) -> HttpClient:
        """Return the client of an address, and keep it as the one used last."""
        client = self.clients.pop(address, None)
        if client is None:
            client = HttpClient(parse_address(address), 1)
        self.clients[address] = client
        if len(self.clients) > self._max_kept:
            self.clients.popitem(last=False)[1].close()
        return client

    def send(
        self, address: str, token: FencingToken, incarnation: int, commands: Sequence[Command]
    ) -> Heartbeat:
        """Send commands; return the worker's heartbeat, which shows whether it executed them.

        An empty list is the handshake: a worker that accepts it refuses commands of older terms
        from then on. Raise WorkerUnavailableError without a readable heartbeat.
        """
        if any(command.verb == START for command in commands):
            raise ValueError("starts ride in heartbeat responses only")
        body = msgspec.json.encode(DirectCommands(int(token), incarnation, list(commands)))
        try:
            client = self.client_for(address)
            reply = client.request("POST", "/orders", body, DEADLINE_S)
        except (UnreachableError, ValueError) as error:
            raise WorkerUnavailableError(str(error)) from None
        if reply.status not in (200, 409):
            raise WorkerUnavailableError(str(reply.status))
        try:
            return read_heartbeat(reply.body)
        except MalformedError as error:
            raise WorkerUnavailableError(str(error)) from None

    def disconnect(self, address: str) -> None:
        """Close the connection to an address whose machine is gone."""
        client = self.clients.pop(address, None)
        if client is not None:
            client.close()
