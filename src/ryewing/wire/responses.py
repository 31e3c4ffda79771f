"""Bodies of API responses other than job status and commands for workers."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct):
    """The body of an error response."""

    error: str
    """Why the request was refused."""


class HealthBody(msgspec.Struct):
    """The body of the 200 response to a health check."""

    status: str


class LeaderRedirect(msgspec.Struct, rename={"leader": "foreman"}):
    """The body of the 421 response to a heartbeat that another controller must receive."""

    leader: str
    """The controller to which the worker should send its heartbeats."""
