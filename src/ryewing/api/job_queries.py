"""Look-ups of a job's status: in memory, at the leader, or in the store.

The order of the look-ups keeps safety argument 9 of docs/design.md ("Nobody tells an older state"):
no user gets a status older than one that was reported before.
"""

from __future__ import annotations

from typing import TypeVar

from ryewing.api.controller import Controller
from ryewing.api.responses import (
    STORE_UNREACHABLE,
    RefusedError,
    Response,
    error_response,
    unavailable,
)
from ryewing.api.store_access import StoreAccess
from ryewing.clients.store import StoreUnavailableError, decode_stored
from ryewing.clients.user_request_limiter import UserRequest
from ryewing.state.job_records import (
    FinalRecord,
    FinalState,
    JobRecord,
    final_key,
    live_key,
    read_record,
)
from ryewing.units import JobId, ShardName
from ryewing.wire.jobs import QUEUED, JobStatus

T = TypeVar("T")


class JobQueries:
    """Looks up the status of jobs, and answers polls (GET /v2/runs/{id}).

    Methods raise RefusedError with a 503 if the status can't be determined now.
    """

    def __init__(self, controller: Controller, store: StoreAccess) -> None:
        self._controller = controller
        self._store = store

    def poll(self, job: JobId) -> Response:
        """Answer a poll from this process's memory, else from the leader, else from the store."""
        status = (
            self.status_from_memory(job)
            or self._controller.query_leader(job)
            or self.status_from_store(job)
        )
        if status is None:
            return job_not_found()
        return self.status_response(status)

    def status_response(self, status: JobStatus) -> Response:
        """Respond with a status from the leader or the store, or with a cached final state.

        A final state that was reported during the look-up takes precedence, because later responses
        must not contain an older state.
        """
        final = self._controller.final_states.get(JobId(status.id))
        return Response(200, status if final is None else JobStatus(status.id, final))

    def status_from_memory(self, job: JobId) -> JobStatus | None:
        """Return the status that this process has in memory; None if it has none."""
        final = self._controller.final_states.get(job)
        if final is not None:
            return JobStatus(job, final)
        return self._controller.local_status(job)

    def status_from_store(self, job: JobId) -> JobStatus | None:
        """Return the status in the store, or None if the job was never accepted.

        Raise RateLimitExceededError if the rate share for users' reads is used up.
        """
        self._controller.user_limiter.admit(UserRequest.READ)
        return self.read_status(job)

    def read_status(self, job: JobId) -> JobStatus | None:
        """Read a job's status from the store; None if the job was never accepted.

        The live key is read before the final key, because a job moves from the live to the final
        key and never back. In the other order, a job that moves between the reads would be missed.
        """
        try:
            live = self._store.read(live_key(job))
            if live is not None:
                record = self.require_readable(read_record(live.data, live.key))
                self.cache_job_shard(job, record)
                return self.confirm_cancel(record) if record.cancelled else JobStatus(job, QUEUED)
            final = self._store.read(final_key(job))
        except StoreUnavailableError:
            raise RefusedError(unavailable(self._controller.policy, STORE_UNREACHABLE)) from None
        if final is None:
            return None
        status = self.require_readable(decode_stored(final.data, FinalRecord, final.key)).status
        self._controller.final_states.put(job, status)
        return JobStatus(job, status)

    def confirm_cancel(self, record: JobRecord) -> JobStatus:
        """Return the status of a job cancelled in the store, once no other can be reported.

        Every request that reads a cancel mark must call this, also if another request wrote the
        mark, because the leader starts tasks and answers from memory until it knows of the mark.
        When the writer of a mark had got no response, and a poll or a repeated submission read the
        mark, users were sent `cancelled`, and then `running`.

        Raise RefusedError with a 503 if the leader may not know of the cancel.
        """
        job = JobId(record.spec.id)
        if not self._controller.announce_cancel(job, shard_of(record)):
            reason = "the cancel is written but the leader has not heard it"
            raise RefusedError(unavailable(self._controller.policy, reason))
        self._controller.final_states.put(job, FinalState.CANCELLED)
        return JobStatus(job, FinalState.CANCELLED)

    def cache_job_shard(self, job: JobId, record: JobRecord) -> None:
        """Cache the shard of a job whose record was read or written."""
        shard = shard_of(record)
        if shard is not None:
            self._controller.cache_job_shard(job, shard)

    def require_readable(self, record: T | None) -> T:
        """Return a record; raise RefusedError with a 503 if it is None, that is, unreadable.

        A 404 would be wrong, because the job exists and other controllers may know it.
        """
        if record is None:
            raise RefusedError(unavailable(self._controller.policy, "the record can't be read"))
        return record


def job_not_found() -> Response:
    """Return the 404 for a job that was never accepted."""
    return error_response(404, "no such job")


def shard_of(record: JobRecord) -> ShardName | None:
    """Return the shard that a job belongs to; None if the fleet is undivided."""
    return ShardName(record.shard) if record.shard is not None else None
