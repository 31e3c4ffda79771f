"""The live jobs as the store has them: followed by a watch, and what users ask about them."""

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
"""What a live job takes, tasks on machines aside: 1.8 KiB as measured, with room to spare."""
JOBS_MEMORY_SHARE = 0.25
"""The part of the process's memory that live jobs may take."""
WATCH_S = 1.0
"""How long a watch waits: the leader's authority counts from the send of the last answered one."""
RETRY_PAUSE_S = 0.3
"""How long to wait before the store is asked again after it did not answer."""


class JobWatcher:
    """Owns the revision of the store up to which the jobs are known."""

    def __init__(self, term: TermContext, writer: StateWriter, terminator: TaskTerminator) -> None:
        self.term = term
        self.writer = writer
        self.terminator = terminator
        self.revision = Revision(0)
        """All changes of the jobs up to this one are known."""
        self._early_cancels: set[JobId] = set()
        """Jobs that were cancelled before they were known here. Kept until a watch that was asked
        for later has brought all that the store has."""

    # -- what users ask ---------------------------------------------------------------------

    def job_status(self, job_id: JobId) -> JobStatus | None:
        """Return a job's state, or None if only the store can tell.

        While a final write is under way nobody but the store knows whether it was applied; an
        answer from memory might be older than what a reader of the store has told a user
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
        """Take in a cancel that the store has; True once no older state can be told from here.

        The job may not be known yet, because this term still reads the store or because the watch
        lags: what is on its way may be older than the cancel. Found where a job was cancelled in
        the second in which its leader changed.
        """
        job = self.term.job_table.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
        else:
            self._cancel(job)
        return True

    def job_memory_full(self) -> bool:
        """Return whether more jobs would endanger the memory of this process."""
        memory_mb = self.term.scope.share * self.term.settings.params.resources.mem_mb
        capacity_bytes = memory_mb * JOBS_MEMORY_SHARE * 1e6
        return len(self.term.job_table.jobs) * JOB_BYTES >= capacity_bytes

    # -- following the store ----------------------------------------------------------------

    def watch_loop(self) -> None:
        """Follow the jobs in the store (new ones, cancels, final states) until killed."""
        while True:
            try:
                self.watch_once()
            except WatchExpiredError:
                self._read_all_until_answered()
            except StoreUnavailableError:
                gevent.sleep(RETRY_PAUSE_S)

    def watch_once(self) -> None:
        """Wait for changes of the jobs, and take them in.

        Raise WatchExpiredError if all jobs have to be read anew, StoreUnavailableError if the store
        did not answer.
        """
        asked_at = monotonic_now()
        changes = self.term.store.watch(LIVE_PREFIX, self.revision, WATCH_S)
        for change in changes.log:
            if change.set is not None:
                self.apply_record(change.set, change.data, KeyVersion(change.key_version))
            elif change.remove is not None:
                self._on_removed(JobId(change.remove[len(LIVE_PREFIX) :]))
        self.revision = Revision(max(self.revision, changes.revision))
        self._note_followed(asked_at)
        if changes.log:
            self.term.scheduling_needed.set()

    def apply_record(self, key: str, data: msgspec.Raw, key_version: KeyVersion) -> None:
        """Take in a job's record, if it can be read and is newer than what is known."""
        record = read_record(data, key)
        if record is None:
            return
        known = self.term.job_table.get(JobId(record.spec.id))
        if known is not None and key_version <= known.key_version:
            return
        self.put(record, key_version)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> None:
        """Take in a job of this term's scope, with a cancel that came before the job was known.

        `inherited` says that an earlier leader may have started its tasks.
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
        """Mark a job as cancelled, and stop its tasks."""
        if not job.cancelled:
            log.info("event=cancelled job=%s on_machines=%d", job.id, len(job.assigned_tasks))
        job.cancelled = True
        self.term.job_table.reindex(job)
        if not job.done_count:
            # Its user cancels a job that never finished anything: the mistake may be its own.
            self.term.cluster.failure_detector.clear_failures(job)
        now = monotonic_now()
        for assignment in self.term.cluster.assignments_of(job):
            self.terminator.terminate(assignment, 0.0, TerminationReason.CANCELLED, now)
        self.term.writes_needed.set()

    def _on_removed(self, job_id: JobId) -> None:
        """Forget a job whose live record was removed, unless tasks of it are on machines."""
        self._early_cancels.discard(job_id)
        job = self.term.job_table.get(job_id)
        if job is not None and not job.assigned_tasks:
            self.writer.final_states.settle(job)

    def _note_followed(self, asked_at: MonotonicTime) -> None:
        """Take note that all that was in the store at this time is known."""
        self.term.lease_validity.confirm_jobs(asked_at)
        # Whatever was cancelled while this was under way, the next watch is asked for after that.
        self._early_cancels.clear()

    def _read_all_until_answered(self) -> None:
        """Read all jobs anew, as often as it takes to get an answer."""
        while True:
            asked_at = monotonic_now()
            try:
                entries, revision = self.term.store.listing(LIVE_PREFIX)
                break
            except StoreUnavailableError:
                gevent.sleep(RETRY_PAUSE_S)
        found = set()
        for entry in entries:
            found.add(JobId(entry.key[len(LIVE_PREFIX) :]))
            self.apply_record(entry.key, entry.data, KeyVersion(entry.key_version))
        for job_id in list(self.term.job_table.jobs):
            if job_id not in found and self.term.job_table.jobs[job_id].key_version <= revision:
                self._on_removed(job_id)
        self.revision = revision
        self._note_followed(asked_at)
