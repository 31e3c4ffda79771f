"""The live jobs as the store has them: followed by a watch, told to users, cancelled."""

from __future__ import annotations

import logging

import gevent
import msgspec

from ryewing.clients.store import StoreUnavailableError, WatchExpiredError
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.worker_commands import WorkerCommands
from ryewing.state.job_records import LIVE_PREFIX, JobRecord, read_record
from ryewing.state.jobs import Job
from ryewing.state.pending_terminations import TerminationReason
from ryewing.units import JobId, KeyVersion, MonotonicTime, Revision, monotonic_now
from ryewing.wire.jobs import JobStatus

log = logging.getLogger(__name__)

JOB_BYTES = 4096
"""What a live job takes, tasks on machines aside: 1.8 KiB as measured, with room to spare."""
JOBS_MEMORY_SHARE = 0.25
WATCH_S = 1.0
"""How long a watch waits: the leader's authority counts from the send of the last answered one."""


class JobWatcher:
    """Owns the place in the store's log up to which the jobs are known."""

    def __init__(
        self, term: TermContext, writer: StateWriter, worker_commands: WorkerCommands
    ) -> None:
        self.term = term
        self.writer = writer
        self.worker_commands = worker_commands
        self.revision = Revision(0)
        self._cancelled_early: set[JobId] = set()
        """Cancels told here before the job was known, until a watch has brought what there is."""

    def poll(self, job_id: JobId) -> JobStatus | None:
        """Tell a job's state, or None if only the store can tell.

        While a final write is under way nobody but the store knows whether it is made; an
        answer from memory might be older than what a reader of the store has told a user.
        """
        if (
            not self.term.state_loaded.is_set()
            or not self.term.may_start()
            or job_id in self.writer.final_states.pending
        ):
            return None
        job = self.term.job_table.get(job_id)
        return job.status() if job is not None else None

    def apply_cancel(self, job_id: JobId) -> bool:
        """A cancel is in the store; True once no older state can be told from here.

        The job may not be known yet, because this term still reads the store or because the watch
        lags: what is on its way may be older than the cancel. Found where a job was cancelled in
        the second in which its leader changed.
        """
        job = self.term.job_table.get(job_id)
        if job is not None:
            self._cancel(job)
            return True
        self._cancelled_early.add(job_id)
        return True

    def _cancel(self, job: Job) -> None:
        if not job.cancelled:
            log.info("event=cancelled job=%s on_machines=%d", job.id, len(job.live))
        job.cancelled = True
        self.term.job_table.touch(job)
        if not job.done_count:
            # Its user calls off a job that never finished anything: the mistake may be its own.
            self.term.cluster.failure_detector.clear_faults(job)
        now = monotonic_now()
        for assignment in self.term.cluster.assignments_of(job):
            self.worker_commands.terminate(assignment, 0.0, TerminationReason.CANCELLED, now)
        self.term.writes_needed.set()

    def watch_loop(self) -> None:
        """Follow the jobs in the store: new ones, cancels, final states."""
        while True:
            try:
                self.watch_once()
            except WatchExpiredError:
                self._reread()
            except StoreUnavailableError:
                gevent.sleep(0.3)

    def watch_once(self) -> None:
        """Wait for changes of the jobs, and take them in."""
        asked_at = monotonic_now()
        changes = self.term.store.watch(LIVE_PREFIX, self.revision, WATCH_S)
        for change in changes.log:
            if change.set is not None:
                self.apply_record(change.set, change.data, KeyVersion(change.key_version))
            elif change.remove is not None:
                self._job_removed(JobId(change.remove[len(LIVE_PREFIX) :]))
        self.revision = Revision(max(self.revision, changes.revision))
        self._followed(asked_at)
        if changes.log:
            self.term.scheduling_needed.set()

    def _followed(self, asked_at: MonotonicTime) -> None:
        """All that was in the store at this time is known."""
        self.term.lease_validity.confirm_jobs(asked_at)
        # Whatever came while this was under way, the next one is asked after that.
        self._cancelled_early.clear()

    def apply_record(self, key: str, data: msgspec.Raw, key_version: KeyVersion) -> None:
        """Take in a job's record, if it is newer than what is known."""
        record = read_record(data, key)
        if record is None:
            return
        known = self.term.job_table.get(JobId(record.spec.id))
        if known is not None and key_version <= known.key_version:
            return
        self.put(record, key_version)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> None:
        """Take in a job, with a cancel that was told here before it was known."""
        if not self.term.scope.owns(record):
            return
        job = self.term.job_table.put(record, key_version, inherited)
        if job.id in self._cancelled_early:
            self._cancelled_early.discard(job.id)
            self._cancel(job)
        elif record.cancelled:
            self._cancel(job)

    def _job_removed(self, job_id: JobId) -> None:
        self._cancelled_early.discard(job_id)
        job = self.term.job_table.get(job_id)
        if job is not None and not job.live:
            self.writer.final_states.settle(job)

    def _reread(self) -> None:
        while True:
            asked_at = monotonic_now()
            try:
                entries, revision = self.term.store.listing(LIVE_PREFIX)
                break
            except StoreUnavailableError:
                gevent.sleep(0.3)
        there = set()
        for entry in entries:
            there.add(JobId(entry.key[len(LIVE_PREFIX) :]))
            self.apply_record(entry.key, entry.data, KeyVersion(entry.key_version))
        for job_id in list(self.term.job_table.jobs):
            if job_id not in there and self.term.job_table.jobs[job_id].key_version <= revision:
                self._job_removed(job_id)
        self.revision = revision
        self._followed(asked_at)

    def full(self) -> bool:
        """Tell whether more jobs would endanger the memory of this process."""
        memory_mb = self.term.scope.share * self.term.settings.params.resources.mem_mb
        capacity = memory_mb * JOBS_MEMORY_SHARE * 1e6
        return len(self.term.job_table.jobs) * JOB_BYTES >= capacity
