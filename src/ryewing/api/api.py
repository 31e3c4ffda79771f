"""The HTTP interface: users, workers and health checks.

Nothing is held back here. What can't be decided or taken now is refused at once, with the time
after which it makes sense to ask again.
"""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Iterable
from typing import Any, TypeVar

import gevent
import msgspec

from ryewing.api.controller import Controller
from ryewing.api.http_server import STATUS_LINES, Headers, StartResponse
from ryewing.clients.store import (
    Put,
    RejectedError,
    StoreUnavailableError,
    ThrottledError,
    TxnResult,
    decode_stored,
)
from ryewing.clients.user_request_limiter import RateLimitExceededError, UserRequest
from ryewing.leader.division import NoShardError, NotReadyError
from ryewing.state.job_records import (
    FINAL_STATES,
    FinalRecord,
    FinalState,
    JobRecord,
    final_key,
    live_key,
    read_record,
    stored_size_bytes,
    with_cancel_mark,
)
from ryewing.state.resources import infeasibility_reason
from ryewing.units import (
    JobId,
    KeyVersion,
    MonotonicTime,
    ShardName,
    Zone,
    is_job_id,
    monotonic_now,
    wall_now,
)
from ryewing.wire.cloud import MachineType
from ryewing.wire.codec import BODY_LIMIT, MalformedError, read_object
from ryewing.wire.jobs import JobSpec, JobStatus, read_job_spec
from ryewing.wire.store import Entry
from ryewing.wire.workers import read_heartbeat

log = logging.getLogger(__name__)
T = TypeVar("T")

MAX_SUBMISSIONS_IN_FLIGHT = 64
MAX_STORE_READS_IN_FLIGHT = 24
CANCEL_TRIES = 4
BODY_S = 5.0
FULL_RETRY_S = 30.0
TOO_LARGE = "too large to be kept"
_RUN_PATH = re.compile(r"/v2/runs/([^/]+)(/cancel)?")


class Response:
    """What a request is answered with."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: object, headers: Headers | None = None) -> None:
        self.status = status
        self.body = msgspec.json.encode(body)
        self.headers = headers or []


class RefusedError(Exception):
    """Leaves a handler early, with the response that says why."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


class Api:
    """Routes requests and answers them."""

    def __init__(self, node: Controller) -> None:
        self._node = node
        self._submits = 0
        self._reads = 0

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        try:
            response = self._route(environ)
        except RefusedError as refused:
            response = refused.response
        except RateLimitExceededError as exceeded:
            retry_s = max(self._node.policy.retry_after_s, exceeded.retry_s)
            response = self._busy("too many requests for the state service", retry_s)
        except Exception:
            log.exception("event=request-failed path=%s", environ.get("PATH_INFO"))
            response = self._busy("internal error")
        headers: Headers = [("Content-Type", "application/json"), *response.headers]
        start(STATUS_LINES[response.status], headers)
        return [response.body]

    def _route(self, environ: dict[str, Any]) -> Response:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == "/v1/report":
            _only(method, "POST")
            return self._heartbeat(_body(environ))
        if path == "/healthz":
            _only(method, "GET")
            return self._health()
        if path == "/v2/runs":
            _only(method, "POST")
            return self._submit(_body(environ))
        match = _RUN_PATH.fullmatch(path)
        if match is None:
            return Response(404, {"error": "no such path"})
        name, cancel = match.groups()
        _only(method, "POST" if cancel else "GET")
        if cancel:
            _body(environ)
        if not is_job_id(name):
            return Response(404, {"error": "no such job"})
        job = JobId(name)
        return self._cancel(job) if cancel else self._poll(job)

    def _busy(self, reason: str, retry_s: float | None = None) -> Response:
        wait = self._node.policy.retry_after_s if retry_s is None else retry_s
        header = ("Retry-After", str(max(1, math.ceil(wait))))
        return Response(503, {"error": reason}, [header])

    # -- health and workers -----------------------------------------------------------------

    def _health(self) -> Response:
        if self._node.healthy():
            return Response(200, {"status": "ok"})
        return self._busy("can't take requests now")

    def _heartbeat(self, body: bytes) -> Response:
        try:
            heartbeat = read_heartbeat(body)
        except MalformedError as error:
            return Response(400, {"error": str(error)})
        answer = self._node.on_heartbeat(heartbeat)
        if answer is not None:
            return Response(200, answer)
        name = self._node.foreign_leader(Zone(heartbeat.zone))
        if name is None:
            return self._busy("no leader is known")
        return Response(421, {"foreman": name})

    # -- users ------------------------------------------------------------------------------

    def _submit(self, body: bytes) -> Response:
        try:
            ref = read_object(body).get("ref")
        except MalformedError as error:
            return Response(400, {"error": str(error)})
        if not is_job_id(ref):
            return Response(400, {"error": "ref: not a job id"})
        job = JobId(str(ref))
        known = self._from_memory(job)
        if known is not None:
            return Response(200, known)
        try:
            spec = read_job_spec(body)
        except MalformedError as error:
            log.info("event=refused job=%s status=400 reason=%r", job, str(error))
            return self._unless_known(job, Response(400, {"error": str(error)}))
        machine_types = self._node.known_machine_types()
        if not machine_types:
            return self._busy("the machine types are not known yet")
        if spec.machine_types is not None:
            spec.machine_types = [name for name in spec.machine_types if name in machine_types]
        try:
            record = self._new_record(spec, machine_types)
        except RefusedError as refused:
            return self._unless_known(job, refused.response)
        if self._submits >= MAX_SUBMISSIONS_IN_FLIGHT:
            return self._busy("too many submissions at once")
        self._submits += 1
        try:
            return self._accept(job, record)
        finally:
            self._submits -= 1

    def _new_record(self, spec: JobSpec, machine_types: dict[str, MachineType]) -> JobRecord:
        """Make the record of a new job; leave with the reason if it can't be taken, now or ever."""
        node = self._node
        reason = infeasibility_reason(spec, machine_types, node.teams)
        if reason is not None:
            raise RefusedError(Response(422, {"error": reason}))
        try:
            shard = node.choose_shard(spec)
        except NoShardError as error:
            raise RefusedError(Response(422, {"error": str(error)})) from None
        except NotReadyError as error:
            raise RefusedError(self._busy(str(error))) from None
        if node.full(shard):
            raise RefusedError(self._busy("too many unfinished jobs", FULL_RETRY_S))
        record = JobRecord(spec, wall_now(), shard=shard)
        if stored_size_bytes(record) > node.store.limits.value_kb * 1024:
            raise RefusedError(Response(400, {"error": TOO_LARGE}))
        return record

    def _unless_known(self, job: JobId, refusal: Response) -> Response:
        """Refuse a submission, unless the job was accepted before.

        A known job is known whatever a repeat of its submission looks like, also when it would be
        too large today: it was kept under the limits of that day.
        """
        state = self._from_store(job)
        return refusal if state is None else self._with_final_state(state)

    def _accept(self, job: JobId, record: JobRecord) -> Response:
        """Write the job if it is new. What a user is told is in the store first."""
        conditions = {live_key(job): KeyVersion(0), final_key(job): KeyVersion(0)}
        writes = [Put(live_key(job), record)]
        until = MonotonicTime(monotonic_now() + 0.6)
        while True:
            self._node.user_limiter.admit(UserRequest.CHANGE)
            try:
                result = self._txn(conditions, writes)
                break
            except ThrottledError:
                if monotonic_now() >= until:
                    return self._busy("the state service is busy")
                gevent.sleep(0.08)
            except RejectedError as error:
                # The store takes less than the settings say: asking again won't help.
                log.error("event=accept-rejected job=%s error=%s", job, error)
                return self._unless_known(job, Response(400, {"error": TOO_LARGE}))
            except StoreUnavailableError as error:
                log.debug("event=accept-failed job=%s error=%s", job, error)
                return self._busy("the state service can't be reached")
        if result.ok:
            self._remember_shard(job, record)
            log.info(
                "event=accepted job=%s class=%s team=%s tasks=%d zone=%s image=%s/%gGB "
                "estimated_s=%g",
                job,
                record.spec.job_class,
                record.spec.team,
                record.spec.task_count,
                record.spec.zone or "any",
                record.spec.image,
                record.spec.image_gb,
                record.spec.estimated_s,
            )
            if self._node.final_states.get(job) is None:
                return Response(201, JobStatus(job, "queued"))
        state = self._read_state(job)
        if state is None:
            return self._busy("changed just now")
        return self._with_final_state(state)

    def _poll(self, job: JobId) -> Response:
        state = self._from_memory(job) or self._node.query_leader(job) or self._from_store(job)
        if state is None:
            return Response(404, {"error": "no such job"})
        return self._with_final_state(state)

    def _with_final_state(self, state: JobStatus) -> Response:
        """Answer with a state that was asked for elsewhere.

        A final state may have been told here meanwhile: what comes after it must not be older.
        """
        final = self._node.final_states.get(JobId(state.id))
        return Response(200, state if final is None else JobStatus(state.id, final))

    def _from_memory(self, job: JobId) -> JobStatus | None:
        final = self._node.final_states.get(job)
        if final is not None:
            return JobStatus(job, final)
        return self._node.local_status(job)

    def _from_store(self, job: JobId) -> JobStatus | None:
        """Answer a question by the store, if that may be asked now."""
        self._node.user_limiter.admit(UserRequest.QUESTION)
        return self._read_state(job)

    def _read_state(self, job: JobId) -> JobStatus | None:
        """Read a job's state; None if it was never accepted. Leaves with 503 if it can't."""
        try:
            live = self._read(live_key(job))
            if live is not None:
                record = self._readable(read_record(live.data, live.key))
                self._remember_shard(job, record)
                return self._cancelled(record) if record.cancelled else JobStatus(job, "queued")
            # In this order: a job moves from one key to the other, never back.
            final = self._read(final_key(job))
        except StoreUnavailableError:
            raise RefusedError(self._busy("the state service can't be reached")) from None
        if final is None:
            return None
        status = self._readable(decode_stored(final.data, FinalRecord, final.key)).status
        self._node.final_states.put(job, status)
        return JobStatus(job, status)

    def _cancelled(self, record: JobRecord) -> JobStatus:
        """Tell that a job is cancelled, as the store has it, once nobody can say otherwise.

        Whoever wrote the mark, and by whatever request it was found: the leader answers from
        memory and starts tasks until it knows. Found where the one who wrote it got no answer, and
        a poll or a repeated submission met the mark: users were told `cancelled`, and `running`
        after that.
        Leaves with 503 if the leader can't be known to know.
        """
        job = JobId(record.spec.id)
        if not self._node.announce_cancel(job, _shard_of(record)):
            raise RefusedError(self._busy("the cancel is written but the leader has not heard it"))
        self._node.final_states.put(job, FinalState.CANCELLED)
        return JobStatus(job, FinalState.CANCELLED)

    def _remember_shard(self, job: JobId, record: JobRecord) -> None:
        shard = _shard_of(record)
        if shard is not None:
            self._node.remember_shard(job, shard)

    def _readable(self, record: T | None) -> T:
        """Leave with 503 if what the store has can't be read: the job may be known to others."""
        if record is None:
            raise RefusedError(self._busy("the record can't be read"))
        return record

    def _read(self, key: str) -> Entry | None:
        if self._reads >= MAX_STORE_READS_IN_FLIGHT:
            raise RefusedError(self._busy("too many requests at once"))
        self._reads += 1
        self._node.user_limiter.charge()
        try:
            return self._node.store.get(key)
        finally:
            self._reads -= 1

    def _txn(self, conditions: dict[str, KeyVersion], writes: list[Put]) -> TxnResult:
        self._node.user_limiter.charge()
        return self._node.store.txn(conditions, writes)

    def _cancel(self, job: JobId) -> Response:
        """Mark the job cancelled, unless it is done; answer once nobody can say otherwise."""
        if self._node.final_states.get(job) is None:
            self._node.user_limiter.admit(UserRequest.CHANGE)
        for _ in range(CANCEL_TRIES):
            final = self._node.final_states.get(job)
            if final is not None:
                return Response(200, JobStatus(job, final))
            try:
                response = self._try_cancel(job)
            except StoreUnavailableError:
                return self._busy("the state service can't be reached")
            if response is not None:
                return response
        return self._busy("changed just now")

    def _try_cancel(self, job: JobId) -> Response | None:
        """Write the mark on the record as it is now; None if it has changed meanwhile."""
        entry = self._read(live_key(job))
        if entry is None:
            state = self._read_state(job)
            if state is None:
                return Response(404, {"error": "no such job"})
            if state.status in FINAL_STATES:
                return self._with_final_state(state)
            return None
        record = self._readable(read_record(entry.data, entry.key))
        if not record.cancelled:
            if not self._write_mark(entry, record).ok:
                return None
            log.info("event=cancel-accepted job=%s", job)
        return Response(200, self._cancelled(record))

    def _write_mark(self, entry: Entry, record: JobRecord) -> TxnResult:
        conditions = {entry.key: KeyVersion(entry.key_version)}
        limit = self._node.store.limits.value_kb * 1024
        try:
            return self._txn(
                conditions, [Put(entry.key, with_cancel_mark(record, wall_now(), limit))]
            )
        except RejectedError as error:
            # The store takes less than the settings say.
            log.error("event=cancel-rejected job=%s error=%s", record.spec.id, error)
            return self._txn(conditions, [Put(entry.key, with_cancel_mark(record, wall_now(), 0))])


def _shard_of(record: JobRecord) -> ShardName | None:
    return ShardName(record.shard) if record.shard is not None else None


def _only(method: str, allowed: str) -> None:
    if method != allowed:
        raise RefusedError(Response(405, {"error": f"use {allowed}"}, [("Allow", allowed)]))


def _body(environ: dict[str, Any]) -> bytes:
    stream = environ["wsgi.input"]
    try:
        with gevent.Timeout(BODY_S, TimeoutError("body")):
            body: bytes = stream.read(BODY_LIMIT + 1)
    except TimeoutError:
        late = Response(400, {"error": "the body did not come"}, [("Connection", "close")])
        raise RefusedError(late) from None
    if len(body) > BODY_LIMIT:
        large = Response(413, {"error": "body above 64 KiB"}, [("Connection", "close")])
        raise RefusedError(large)
    return body
