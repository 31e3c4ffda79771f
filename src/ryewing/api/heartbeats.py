"""Heartbeats of workers (POST /v1/report)."""

from __future__ import annotations

from ryewing.api.controller import Controller
from ryewing.api.responses import Response, error_response, unavailable
from ryewing.units import Zone
from ryewing.wire.codec import MalformedError
from ryewing.wire.responses import LeaderRedirect
from ryewing.wire.workers import read_heartbeat


class Heartbeats:
    """Passes heartbeats to a leader in this process, or redirects workers to the leader."""

    def __init__(self, node: Controller) -> None:
        self._node = node

    def answer(self, body: bytes) -> Response:
        """Answer a heartbeat: 200 with commands, 421 with the leader's name, or 503."""
        try:
            heartbeat = read_heartbeat(body)
        except MalformedError as error:
            return error_response(400, str(error))
        commands = self._node.on_heartbeat(heartbeat)
        if commands is not None:
            return Response(200, commands)
        leader = self._node.remote_leader(Zone(heartbeat.zone))
        if leader is None:
            return unavailable(self._node.policy, "no leader is known")
        return Response(421, LeaderRedirect(leader))
