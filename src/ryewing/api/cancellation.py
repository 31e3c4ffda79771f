"""Cancellation of jobs (POST /v2/runs/{id}/cancel)."""

from __future__ import annotations

import logging

from ryewing.api.controller import Controller
from ryewing.api.job_queries import JobQueries, no_such_job
from ryewing.api.responses import CHANGED_MEANWHILE, STORE_UNREACHABLE, Response, unavailable
from ryewing.api.store_access import StoreAccess
from ryewing.clients.store import Put, RejectedError, StoreUnavailableError, TxnResult
from ryewing.clients.user_request_limiter import UserRequest
from ryewing.state.job_records import (
    FINAL_STATES,
    JobRecord,
    live_key,
    read_record,
    with_cancel_mark,
)
from ryewing.units import JobId, KeyVersion, wall_now
from ryewing.wire.jobs import JobStatus
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

CANCEL_TRIES = 4
"""How often a cancel is tried while the job's record changes each time before it is written."""


class Cancellations:
    """Cancels jobs: a cancel is written, then announced to the leader, and only then confirmed."""

    def __init__(self, node: Controller, store: StoreAccess, queries: JobQueries) -> None:
        self._node = node
        self._store = store
        self._queries = queries

    def cancel(self, job: JobId) -> Response:
        """Mark the job cancelled unless it is done; respond once nobody can report otherwise.

        Raise RateLimitExceededError, or RefusedError with a 503, if that is not possible now.
        """
        if self._node.final_states.get(job) is None:
            self._node.user_limiter.admit(UserRequest.WRITE)
        for _ in range(CANCEL_TRIES):
            final = self._node.final_states.get(job)
            if final is not None:
                return Response(200, JobStatus(job, final))
            try:
                response = self._try_cancel(job)
            except StoreUnavailableError:
                return unavailable(self._node.policy, STORE_UNREACHABLE)
            if response is not None:
                return response
        return unavailable(self._node.policy, CHANGED_MEANWHILE)

    def _try_cancel(self, job: JobId) -> Response | None:
        """Write the mark on the current record; return None if the record changed meanwhile."""
        entry = self._store.read(live_key(job))
        if entry is None:
            return self._answer_without_live_record(job)
        record = self._queries.readable(read_record(entry.data, entry.key))
        if not record.cancelled:
            if not self._write_mark(entry, record).ok:
                return None
            log.info("event=cancel-accepted job=%s", job)
        return Response(200, self._queries.confirm_cancel(record))

    def _answer_without_live_record(self, job: JobId) -> Response | None:
        """Respond for a job that is final or unknown; None if it has become live meanwhile."""
        status = self._queries.read_status(job)
        if status is None:
            return no_such_job()
        if status.status in FINAL_STATES:
            return self._queries.with_final_state(status)
        return None

    def _write_mark(self, entry: Entry, record: JobRecord) -> TxnResult:
        """Write the cancel mark on the version of the record that was read.

        A record that the store rejects as too large is shortened: the limits of the store may be
        lower than in the settings.
        """
        conditions = {entry.key: KeyVersion(entry.key_version)}
        limit = self._node.store.limits.value_kb * 1024
        try:
            marked = with_cancel_mark(record, wall_now(), limit)
            return self._store.txn(conditions, [Put(entry.key, marked)])
        except RejectedError as error:
            log.error("event=cancel-rejected job=%s error=%s", record.spec.id, error)
            shortened = with_cancel_mark(record, wall_now(), 0)
            return self._store.txn(conditions, [Put(entry.key, shortened)])
