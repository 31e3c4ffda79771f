"""Responses of the API, and the exception that ends a handler early with a response."""

from __future__ import annotations

import math

import msgspec

from ryewing.api.http_server import Headers
from ryewing.config.policy import Policy
from ryewing.wire.responses import ErrorBody

CLOSE_CONNECTION = ("Connection", "close")
STORE_UNREACHABLE = "the state service can't be reached"
CHANGED_MEANWHILE = "changed just now"


class Response:
    """A response with a JSON body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: object, headers: Headers | None = None) -> None:
        self.status = status
        self.body = msgspec.json.encode(body)
        self.headers = headers or []


class RefusedError(Exception):
    """Ends a handler early with a response that gives the reason for the refusal."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


def error_response(status: int, reason: str, headers: Headers | None = None) -> Response:
    """Return a response whose body has the reason of a refusal."""
    return Response(status, ErrorBody(reason), headers)


def unavailable(policy: Policy, reason: str, retry_s: float | None = None) -> Response:
    """Return a 503 with the seconds after which to retry, by default those of the policy."""
    wait_s = policy.retry_after_s if retry_s is None else retry_s
    header = ("Retry-After", str(max(1, math.ceil(wait_s))))
    return error_response(503, reason, [header])
