"""Follows the live jobs in the store by a watch, and answers status queries and cancels."""

from __future__ import annotations

import logging

import gevent
import msgspec

from ryewing.clients.store import StoreUnavailableError, WatchExpiredError
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.terminations import TaskTerminator
from ryewing.state.job_records import LIVE_PREFIX, JobRecord, read_record
from ryewing.state.jobs import Job
from ryewing.state.pending_terminations import TerminationReason
from ryewing.units import JobId, KeyVersion, MonotonicTime, Revision, monotonic_now
from ryewing.wire.jobs import JobStatus

log = logging.getLogger(__name__)

JOB_BYTES = 4096
"""The memory allowance for one live job without its assignments: 1.8 KiB were measured, plus a
margin."""
JOBS_MEMORY_SHARE = 0.25
"""The share of the process's memory that live jobs may use."""
WATCH_S = 1.0
"""How long a watch waits for changes. It has to be short, because the leader's authority counts
from the time at which the last answered watch was sent."""
RETRY_PAUSE_S = 0.3
"""The pause before a retry after the store did not answer."""


class JobWatcher:
    """Tracks the live jobs, and the revision of the store up to which they are known."""

    def __init__(self, term: TermContext, writer: StateWriter, terminator: TaskTerminator) -> None:
        self.term = term
        self.writer = writer
        self.terminator = terminator
        self.revision = Revision(0)
        """All changes of the jobs up to this revision are known."""
        self._early_cancels: set[JobId] = set()
        """Jobs that were cancelled before they were known here. They are kept until the current
        watch has been answered."""

    # -- users' requests --------------------------------------------------------------------

    def job_status(self, job_id: JobId) -> JobStatus | None:
        """Return a job's status, or None if it can only be read from the store.

        While a final write is in flight, only the store knows whether it was applied. An answer
        from memory might then be older than one that a user already got from the store
        (docs/design.md, safety argument 9).
        """
        if (
            not self.term.state_loaded.is_set()
            or not self.term.has_authority()
            or job_id in self.writer.final_states.pending
        ):
            return None
        job = self.term.job_table.get(job_id)
        return job.status() if job is not None else None

    def apply_cancel(self, job_id: JobId) -> bool:
        """Apply a cancel that is in the store; return True once no older status is returned.

        The job may not be known yet, because this term is still reading the store or because the
        watch lags, and a record that arrives later may be older than the cancel. This happened to a
        job that was cancelled within a second of a change of leader.
        """
        job = self.term.job_table.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
        else:
            self._cancel(job)
        return True

    def job_memory_full(self) -> bool:
        """Return whether the live jobs use up their share of the process's memory."""
        memory_mb = self.term.scope.share * self.term.settings.params.resources.mem_mb
        capacity_bytes = memory_mb * JOBS_MEMORY_SHARE * 1e6
        return len(self.term.job_table.jobs) * JOB_BYTES >= capacity_bytes

    # -- the watch --------------------------------------------------------------------------

    def watch_loop(self) -> None:
        """Follow the jobs in the store (new jobs, cancels, final states) until killed."""
        while True:
            try:
                self.watch_once()
            except WatchExpiredError:
                self._read_all_until_answered()
            except StoreUnavailableError:
                gevent.sleep(RETRY_PAUSE_S)

    def watch_once(self) -> None:
        """Wait for changes of the jobs, and apply them.

        Raise WatchExpiredError if all jobs have to be read again, and StoreUnavailableError if the
        store did not answer.
        """
        sent_at = monotonic_now()
        changes = self.term.store.watch(LIVE_PREFIX, self.revision, WATCH_S)
        for change in changes.log:
            if change.set is not None:
                self.apply_record(change.set, change.data, KeyVersion(change.key_version))
            elif change.remove is not None:
                self._on_removed(JobId(change.remove[len(LIVE_PREFIX) :]))
        self.revision = Revision(max(self.revision, changes.revision))
        self._confirm_jobs_known(sent_at)
        if changes.log:
            self.term.scheduling_needed.set()

    def apply_record(self, key: str, data: msgspec.Raw, key_version: KeyVersion) -> None:
        """Apply a job's record if it is readable and newer than the one known."""
        record = read_record(data, key)
        if record is None:
            return
        known = self.term.job_table.get(JobId(record.spec.id))
        if known is not None and key_version <= known.key_version:
            return
        self.put(record, key_version)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> None:
        """Add or update a job of this term's scope, and apply a cancel that arrived before it.

        `inherited` means that an earlier leader may have started tasks of the job.
        """
        if not self.term.scope.owns(record):
            return
        job = self.term.job_table.put(record, key_version, inherited)
        if job.id in self._early_cancels:
            self._early_cancels.discard(job.id)
            self._cancel(job)
        elif record.cancelled:
            self._cancel(job)

    def _cancel(self, job: Job) -> None:
        """Mark a job as cancelled, and terminate its tasks."""
        if not job.cancelled:
            log.info("event=cancelled job=%s on_machines=%d", job.id, len(job.assigned_tasks))
        job.cancelled = True
        self.term.job_table.reindex(job)
        if not job.done_count:
            # A job that is cancelled without any finished task may have failed by its own fault, so
            # its failures no longer count against machines.
            self.term.cluster.failure_detector.clear_failures(job)
        now = monotonic_now()
        for assignment in self.term.cluster.assignments_of(job):
            self.terminator.terminate(assignment, 0.0, TerminationReason.CANCELLED, now)
        self.term.writes_needed.set()

    def _on_removed(self, job_id: JobId) -> None:
        """Forget a job whose live record was removed, unless it still has tasks on machines."""
        self._early_cancels.discard(job_id)
        job = self.term.job_table.get(job_id)
        if job is not None and not job.assigned_tasks:
            self.writer.final_states.forget(job)

    def _confirm_jobs_known(self, sent_at: MonotonicTime) -> None:
        """Record that all changes of the jobs that were written before `sent_at` are known."""
        self.term.lease_validity.confirm_jobs(sent_at)
        # Cancels that arrived after `sent_at` can be dropped too: the next watch is sent after they
        # were written, so it returns each together with its job.
        self._early_cancels.clear()

    def _read_all_until_answered(self) -> None:
        """Read all jobs again, and retry until the store has answered."""
        while True:
            sent_at = monotonic_now()
            try:
                entries, revision = self.term.store.listing(LIVE_PREFIX)
                break
            except StoreUnavailableError:
                gevent.sleep(RETRY_PAUSE_S)
        listed = set()
        for entry in entries:
            listed.add(JobId(entry.key[len(LIVE_PREFIX) :]))
            self.apply_record(entry.key, entry.data, KeyVersion(entry.key_version))
        for job_id in list(self.term.job_table.jobs):
            if job_id not in listed and self.term.job_table.jobs[job_id].key_version <= revision:
                self._on_removed(job_id)
        self.revision = revision
        self._confirm_jobs_known(sent_at)
