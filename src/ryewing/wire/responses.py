"""Bodies of the API's responses that are neither a job's status nor a worker's commands."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct):
    """Why a request was refused."""

    error: str


class HealthBody(msgspec.Struct):
    """The 200 to a health check."""

    status: str


class LeaderRedirect(msgspec.Struct, rename={"leader": "foreman"}):
    """The 421 to a heartbeat: the controller to which the worker should send it."""

    leader: str
