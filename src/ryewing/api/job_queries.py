"""The status of a job: from memory, from the leader, or from the store.

The order of the lookups keeps safety argument 9 of docs/design.md ("Nobody tells an older state"):
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
    """Finds out a job's status, and answers polls (GET /v2/runs/{id}).

    Methods raise RefusedError with a 503 if the status can't be found out now.
    """

    def __init__(self, node: Controller, store: StoreAccess) -> None:
        self._node = node
        self._store = store

    def poll(self, job: JobId) -> Response:
        """Answer a poll: by this controller's memory, else by the leader, else by the store."""
        status = self.from_memory(job) or self._node.query_leader(job) or self.from_store(job)
        if status is None:
            return no_such_job()
        return self.with_final_state(status)

    def with_final_state(self, status: JobStatus) -> Response:
        """Respond with a status that was read elsewhere, or a final one reported meanwhile.

        What comes after a final state was reported here must not be older.
        """
        final = self._node.final_states.get(JobId(status.id))
        return Response(200, status if final is None else JobStatus(status.id, final))

    def from_memory(self, job: JobId) -> JobStatus | None:
        """Return the status that this process knows, without asking anyone."""
        final = self._node.final_states.get(job)
        if final is not None:
            return JobStatus(job, final)
        return self._node.local_status(job)

    def from_store(self, job: JobId) -> JobStatus | None:
        """Return the status by the store, or None if the job was never accepted.

        Raise RateLimitExceededError if users' reads may not use the store now.
        """
        self._node.user_limiter.admit(UserRequest.READ)
        return self.read_status(job)

    def read_status(self, job: JobId) -> JobStatus | None:
        """Read a job's status from the store; None if the job was never accepted.

        The live key is read before the final key: a job moves from one to the other, never back.
        """
        try:
            live = self._store.read(live_key(job))
            if live is not None:
                record = self.readable(read_record(live.data, live.key))
                self.remember_shard(job, record)
                return self.confirm_cancel(record) if record.cancelled else JobStatus(job, QUEUED)
            final = self._store.read(final_key(job))
        except StoreUnavailableError:
            raise RefusedError(unavailable(self._node.policy, STORE_UNREACHABLE)) from None
        if final is None:
            return None
        status = self.readable(decode_stored(final.data, FinalRecord, final.key)).status
        self._node.final_states.put(job, status)
        return JobStatus(job, status)

    def confirm_cancel(self, record: JobRecord) -> JobStatus:
        """Return the status of a job cancelled in the store, once nobody can report another.

        It is called whoever wrote the cancel mark, and by whatever request it was found: the leader
        answers from memory, and starts tasks, until it knows. Found where the one who wrote the
        mark got no response, and a poll or a repeated submission met it: users were told
        `cancelled`, and `running` after that.

        Raise RefusedError with a 503 if the leader may not know of the cancel.
        """
        job = JobId(record.spec.id)
        if not self._node.announce_cancel(job, shard_of(record)):
            reason = "the cancel is written but the leader has not heard it"
            raise RefusedError(unavailable(self._node.policy, reason))
        self._node.final_states.put(job, FinalState.CANCELLED)
        return JobStatus(job, FinalState.CANCELLED)

    def remember_shard(self, job: JobId, record: JobRecord) -> None:
        """Note the shard of a job whose record was read or written."""
        shard = shard_of(record)
        if shard is not None:
            self._node.remember_shard(job, shard)

    def readable(self, record: T | None) -> T:
        """Return a record, or respond with 503 if it is unreadable: others may know the job."""
        if record is None:
            raise RefusedError(unavailable(self._node.policy, "the record can't be read"))
        return record


def no_such_job() -> Response:
    """Return the 404 for a job that was never accepted."""
    return error_response(404, "no such job")


def shard_of(record: JobRecord) -> ShardName | None:
    """Return the shard that a job belongs to; None if the fleet is undivided."""
    return ShardName(record.shard) if record.shard is not None else None
