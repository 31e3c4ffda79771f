"""Submission of jobs (POST /v2/runs).

A submission is validated, written to the store, and only then confirmed.
"""

from __future__ import annotations

import logging

import gevent

from ryewing.api.controller import Controller
from ryewing.api.job_queries import JobQueries
from ryewing.api.responses import (
    CHANGED_MEANWHILE,
    STORE_UNREACHABLE,
    RefusedError,
    Response,
    error_response,
    unavailable,
)
from ryewing.api.store_access import StoreAccess
from ryewing.clients.store import (
    Put,
    RejectedError,
    StoreUnavailableError,
    ThrottledError,
    TxnResult,
)
from ryewing.clients.user_request_limiter import UserRequest
from ryewing.leader.division import NoShardError, NotReadyError
from ryewing.state.job_records import JobRecord, final_key, live_key, stored_size_bytes
from ryewing.state.resources import infeasibility_reason
from ryewing.units import (
    JobId,
    KeyVersion,
    MonotonicTime,
    ShardName,
    is_job_id,
    monotonic_now,
    wall_now,
)
from ryewing.wire.cloud import MachineType
from ryewing.wire.codec import MalformedError, decode_object
from ryewing.wire.jobs import QUEUED, JobSpec, JobStatus, read_job_spec

log = logging.getLogger(__name__)

MAX_SUBMISSIONS_IN_FLIGHT = 64
"""Maximum number of submissions that are written concurrently."""
JOB_MEMORY_FULL_RETRY_S = 30.0
"""`Retry-After` of a submission that is refused because there are too many unfinished jobs."""
THROTTLED_RETRY_LIMIT_S = 0.6
"""How long the write of a submission is retried while the store refuses it by its rate limit."""
THROTTLED_RETRY_INTERVAL_S = 0.08
"""The pause between these retries."""
RECORD_TOO_LARGE = "too large to be kept"


class Submissions:
    """Accepts jobs. A job is in the store before its status is reported to a user."""

    def __init__(self, controller: Controller, store: StoreAccess, queries: JobQueries) -> None:
        self._controller = controller
        self._store = store
        self._queries = queries
        self.in_flight = 0
        """Submissions that are being written."""

    def submit(self, body: bytes) -> Response:
        """Answer a submission: 201 if it is accepted, 200 if the job was accepted before."""
        job = _read_job_id(body)
        known = self._queries.status_from_memory(job)
        if known is not None:
            return Response(200, known)
        try:
            spec = read_job_spec(body)
        except MalformedError as error:
            log.info("event=refused job=%s status=400 reason=%r", job, str(error))
            return self._refuse_unless_known(job, error_response(400, str(error)))
        machine_types = self._controller.known_machine_types()
        if not machine_types:
            return unavailable(self._controller.policy, "the machine types are not known yet")
        if spec.machine_types is not None:
            spec.machine_types = [name for name in spec.machine_types if name in machine_types]
        try:
            record = self._new_record(spec, machine_types)
        except RefusedError as refused:
            return self._refuse_unless_known(job, refused.response)
        if self.in_flight >= MAX_SUBMISSIONS_IN_FLIGHT:
            return unavailable(self._controller.policy, "too many submissions at once")
        self.in_flight += 1
        try:
            return self._accept(job, record)
        finally:
            self.in_flight -= 1

    def _new_record(self, spec: JobSpec, machine_types: dict[str, MachineType]) -> JobRecord:
        """Return the record of a new job.

        Raise RefusedError with the reason if the job can't be accepted, now or ever.
        """
        reason = infeasibility_reason(spec, machine_types, self._controller.teams)
        if reason is not None:
            raise RefusedError(error_response(422, reason))
        shard = self._choose_shard(spec)
        if self._controller.job_memory_full(shard):
            full = unavailable(
                self._controller.policy, "too many unfinished jobs", JOB_MEMORY_FULL_RETRY_S
            )
            raise RefusedError(full)
        record = JobRecord(spec, wall_now(), shard=shard)
        if stored_size_bytes(record) > self._controller.store.limits.value_kb * 1024:
            raise RefusedError(error_response(400, RECORD_TOO_LARGE))
        return record

    def _choose_shard(self, spec: JobSpec) -> ShardName | None:
        """Return the shard for a new job.

        Raise RefusedError with a 422 if no shard could ever run it, with a 503 if that is not known
        yet.
        """
        try:
            return self._controller.choose_shard(spec)
        except NoShardError as error:
            raise RefusedError(error_response(422, str(error))) from None
        except NotReadyError as error:
            raise RefusedError(unavailable(self._controller.policy, str(error))) from None

    def _refuse_unless_known(self, job: JobId, refusal: Response) -> Response:
        """Refuse a submission, or respond with the job's status if it was accepted before.

        The status is returned whatever the repeated submission contains. Its record may even be too
        large under the current limits, because the job was accepted under earlier ones.
        """
        status = self._queries.status_from_store(job)
        return refusal if status is None else self._queries.status_response(status)

    def _accept(self, job: JobId, record: JobRecord) -> Response:
        """Write the job if it is new, and respond with its status."""
        try:
            result = self._write_new_job(job, record)
        except ThrottledError:
            return unavailable(self._controller.policy, "the state service is busy")
        except RejectedError as error:
            # A retry won't help: the limits of the store are lower than those in the settings.
            log.error("event=accept-rejected job=%s error=%s", job, error)
            return self._refuse_unless_known(job, error_response(400, RECORD_TOO_LARGE))
        except StoreUnavailableError as error:
            log.debug("event=accept-failed job=%s error=%s", job, error)
            return unavailable(self._controller.policy, STORE_UNREACHABLE)
        if result.ok:
            self._queries.cache_job_shard(job, record)
            _log_accepted(job, record.spec)
            if self._controller.final_states.get(job) is None:
                return Response(201, JobStatus(job, QUEUED))
        status = self._queries.read_status(job)
        if status is None:
            return unavailable(self._controller.policy, CHANGED_MEANWHILE)
        return self._queries.status_response(status)

    def _write_new_job(self, job: JobId, record: JobRecord) -> TxnResult:
        """Write the record if the job has neither a live nor a final one.

        A transaction refused by the store's rate limit is retried for THROTTLED_RETRY_LIMIT_S
        seconds. Raise StoreUnavailableError, or RateLimitExceededError, if it can't be written.
        """
        conditions = {live_key(job): KeyVersion(0), final_key(job): KeyVersion(0)}
        writes = [Put(live_key(job), record)]
        retry_until = MonotonicTime(monotonic_now() + THROTTLED_RETRY_LIMIT_S)
        while True:
            self._controller.user_limiter.admit(UserRequest.WRITE)
            try:
                return self._store.txn(conditions, writes)
            except ThrottledError:
                if monotonic_now() >= retry_until:
                    raise
                gevent.sleep(THROTTLED_RETRY_INTERVAL_S)


def _read_job_id(body: bytes) -> JobId:
    """Return the id in a submission; raise RefusedError with a 400 if there is none.

    The id is decoded by itself because a known job gets its status whatever else the body contains.
    `read_job_spec` decodes the body again, because decoding the spec from the object read here
    would change the texts of some refusals (`4.0` in place of a string is a float to one decoder
    and an int to the other).
    """
    try:
        job = decode_object(body).get("ref")
    except MalformedError as error:
        raise RefusedError(error_response(400, str(error))) from None
    if not is_job_id(job):
        raise RefusedError(error_response(400, "ref: not a job id"))
    return JobId(str(job))


def _log_accepted(job: JobId, spec: JobSpec) -> None:
    log.info(
        "event=accepted job=%s class=%s team=%s tasks=%d zone=%s image=%s/%gGB estimated_s=%g",
        job,
        spec.job_class,
        spec.team,
        spec.task_count,
        spec.zone or "any",
        spec.image,
        spec.image_gb,
        spec.estimated_s,
    )
