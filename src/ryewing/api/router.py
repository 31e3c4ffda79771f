"""The WSGI application: routes each request to its handler (PROTOCOL, "Users ->", "Workers ->").

No request is queued here. What can't be decided or accepted now is refused at once, with the time
after which to retry.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterable
from typing import Any

import gevent

from ryewing.api.cancellation import Cancellations
from ryewing.api.controller import Controller
from ryewing.api.heartbeats import Heartbeats
from ryewing.api.http_server import BODY_TOO_LARGE, STATUS_LINES, Headers, StartResponse
from ryewing.api.job_queries import JobQueries, no_such_job
from ryewing.api.responses import (
    CLOSE_CONNECTION,
    RefusedError,
    Response,
    error_response,
    unavailable,
)
from ryewing.api.store_access import StoreAccess
from ryewing.api.submissions import Submissions
from ryewing.clients.user_request_limiter import RateLimitExceededError
from ryewing.units import JobId, is_job_id
from ryewing.wire.codec import MAX_BODY_BYTES
from ryewing.wire.responses import HealthBody

log = logging.getLogger(__name__)

BODY_DEADLINE_S = 5.0
"""How long a request's body may take to arrive."""
HEARTBEAT_PATH = "/v1/report"
HEALTH_PATH = "/healthz"
JOBS_PATH = "/v2/runs"
_JOB_PATH = re.compile(JOBS_PATH + r"/([^/]+)(/cancel)?")


class Api:
    """Routes requests to handlers, and turns their errors into responses."""

    def __init__(self, node: Controller) -> None:
        self._node = node
        self.store_access = StoreAccess(node)
        self._queries = JobQueries(node, self.store_access)
        self.submissions = Submissions(node, self.store_access, self._queries)
        self._cancellations = Cancellations(node, self.store_access, self._queries)
        self._heartbeats = Heartbeats(node)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        try:
            response = self._route(environ)
        except RefusedError as refused:
            response = refused.response
        except RateLimitExceededError as exceeded:
            policy = self._node.policy
            retry_s = max(policy.retry_after_s, exceeded.retry_s)
            response = unavailable(policy, "too many requests for the state service", retry_s)
        except Exception:
            log.exception("event=request-failed path=%s", environ.get("PATH_INFO"))
            response = unavailable(self._node.policy, "internal error")
        headers: Headers = [("Content-Type", "application/json"), *response.headers]
        start(STATUS_LINES[response.status], headers)
        return [response.body]

    def _route(self, environ: dict[str, Any]) -> Response:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == HEARTBEAT_PATH:
            _require_method(method, "POST")
            return self._heartbeats.answer(_read_body(environ))
        if path == HEALTH_PATH:
            _require_method(method, "GET")
            return self._health()
        if path == JOBS_PATH:
            _require_method(method, "POST")
            return self.submissions.submit(_read_body(environ))
        match = _JOB_PATH.fullmatch(path)
        if match is None:
            return error_response(404, "no such path")
        name, cancel = match.groups()
        _require_method(method, "POST" if cancel else "GET")
        if cancel:
            _read_body(environ)
        if not is_job_id(name):
            return no_such_job()
        job = JobId(name)
        return self._cancellations.cancel(job) if cancel else self._queries.poll(job)

    def _health(self) -> Response:
        if self._node.healthy():
            return Response(200, HealthBody("ok"))
        return unavailable(self._node.policy, "can't take requests now")


def _require_method(method: str, allowed: str) -> None:
    """Respond with 405 to any other method than the one allowed."""
    if method != allowed:
        raise RefusedError(error_response(405, f"use {allowed}", [("Allow", allowed)]))


def _read_body(environ: dict[str, Any]) -> bytes:
    """Read a request's body; respond with 400 if it does not arrive, with 413 if too large."""
    stream = environ["wsgi.input"]
    try:
        with gevent.Timeout(BODY_DEADLINE_S, TimeoutError("body")):
            body: bytes = stream.read(MAX_BODY_BYTES + 1)
    except TimeoutError:
        late = error_response(400, "the body did not come", [CLOSE_CONNECTION])
        raise RefusedError(late) from None
    if len(body) > MAX_BODY_BYTES:
        raise RefusedError(error_response(413, BODY_TOO_LARGE, [CLOSE_CONNECTION]))
    return body
