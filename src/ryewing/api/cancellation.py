"""Cancellation of jobs (POST /v2/runs/{id}/cancel)."""

from __future__ import annotations

import logging

from ryewing.api.controller import Controller
from ryewing.api.job_queries import JobQueries, job_not_found
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

MAX_CANCEL_ATTEMPTS = 4
"""Attempts to write a cancellation; one fails if the record changes between its read and write."""


class Cancellations:
    """Cancels jobs.

    A cancellation is written to the store, then announced to the leader, and only then confirmed to
    the user.
    """

    def __init__(self, controller: Controller, store: StoreAccess, queries: JobQueries) -> None:
        self._controller = controller
        self._store = store
        self._queries = queries

    def cancel(self, job: JobId) -> Response:
        """Mark the job cancelled unless it is done; respond once no other status can be reported.

        Raise RateLimitExceededError, or RefusedError with a 503, if that is not possible now.
        """
        if self._controller.final_states.get(job) is None:
            self._controller.user_limiter.admit(UserRequest.WRITE)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            final = self._controller.final_states.get(job)
            if final is not None:
                return Response(200, JobStatus(job, final))
            try:
                response = self._try_cancel(job)
            except StoreUnavailableError:
                return unavailable(self._controller.policy, STORE_UNREACHABLE)
            if response is not None:
                return response
        return unavailable(self._controller.policy, CHANGED_MEANWHILE)

    def _try_cancel(self, job: JobId) -> Response | None:
        """Write the mark to the current record; return None if the record changed concurrently."""
        entry = self._store.read(live_key(job))
        if entry is None:
            return self._respond_without_live_record(job)
        record = self._queries.require_readable(read_record(entry.data, entry.key))
        if not record.cancelled:
            if not self._write_mark(entry, record).ok:
                return None
            log.info("event=cancel-accepted job=%s", job)
        return Response(200, self._queries.confirm_cancel(record))

    def _respond_without_live_record(self, job: JobId) -> Response | None:
        """Respond for a job that is final or unknown; None if it has become live since."""
        status = self._queries.read_status(job)
        if status is None:
            return job_not_found()
        if status.status in FINAL_STATES:
            return self._queries.status_response(status)
        return None

    def _write_mark(self, entry: Entry, record: JobRecord) -> TxnResult:
        """Write the cancel mark if the record still has the version that was read.

        If the store rejects the record as too large, a shortened one is written, because the limits
        of the store may be lower than those in the settings.
        """
        conditions = {entry.key: KeyVersion(entry.key_version)}
        limit = self._controller.store.limits.value_kb * 1024
        try:
            marked = with_cancel_mark(record, wall_now(), limit)
            return self._store.txn(conditions, [Put(entry.key, marked)])
        except RejectedError as error:
            log.error("event=cancel-rejected job=%s error=%s", record.spec.id, error)
            shortened = with_cancel_mark(record, wall_now(), 0)
            return self._store.txn(conditions, [Put(entry.key, shortened)])
