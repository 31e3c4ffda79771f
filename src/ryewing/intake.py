"""The live jobs as the store has them: followed by a watch, told to users, cancelled."""

from __future__ import annotations

import logging

import gevent
import msgspec

from .dispatch import Dispatch
from .jobs import LIVE_PREFIX, Job, JobRecord
from .store import Compacted, StoreDown
from .term import TermContext
from .units import Epoch, JobId, Stamp, steady_now
from .wire import RunStatus
from .writer import Writer

log = logging.getLogger("ryewing.intake")

JOB_BYTES = 4096
"""What a live job takes, tasks on machines aside: 1.8 KiB as measured, with room to spare."""
JOBS_MEMORY_SHARE = 0.25
WATCH_S = 8.0


class Intake:
    """Owns the place in the store's log up to which the jobs are known."""

    def __init__(self, ctx: TermContext, writer: Writer, dispatch: Dispatch) -> None:
        self.ctx = ctx
        self.writer = writer
        self.dispatch = dispatch
        self.epoch = Epoch(0)

    def poll(self, job_id: JobId) -> RunStatus | None:
        """Tell a job's state, or None if only the store can tell.

        While a final write is under way nobody but the store knows whether it is made; an
        answer from memory might be older than what a reader of the store has told a user.
        """
        if (
            not self.ctx.loaded.is_set()
            or not self.ctx.may_start()
            or job_id in self.writer.final_pending
        ):
            return None
        job = self.ctx.book.get(job_id)
        return job.status() if job is not None else None

    def take_cancel(self, job_id: JobId) -> bool:
        """A cancel is in the store; True once no older state can be told from here."""
        if not self.ctx.loaded.is_set():
            return True  # the reading that is under way is the only source, and nothing is told
        job = self.ctx.book.get(job_id)
        if job is not None:
            self._cancel(job)
        return True

    def _cancel(self, job: Job) -> None:
        if not job.cancelled:
            log.info("event=cancelled job=%s on_machines=%d", job.id, len(job.live))
        job.cancelled = True
        self.ctx.book.touch(job)
        now = steady_now()
        for held in self.ctx.picture.holds_of(job):
            self.dispatch.stop_hold(held, 0.0, "cancelled", now)
        self.ctx.write.set()

    def watch_loop(self) -> None:
        """Follow the jobs in the store: new ones, cancels, final states."""
        while True:
            try:
                changes = self.ctx.store.watch(LIVE_PREFIX, self.epoch, WATCH_S)
            except Compacted:
                self._reread()
                continue
            except StoreDown:
                gevent.sleep(0.3)
                continue
            for change in changes.log:
                if change.set is not None:
                    self.job_set(change.data, Stamp(change.stamp))
                elif change.remove is not None:
                    self._job_removed(JobId(change.remove[len(LIVE_PREFIX) :]))
            self.epoch = Epoch(max(self.epoch, changes.epoch))
            if changes.log:
                self.ctx.place.set()

    def job_set(self, data: msgspec.Raw, stamp: Stamp) -> None:
        """Take in a job's record, if it is newer than what is known."""
        record = msgspec.json.decode(data, type=JobRecord)
        known = self.ctx.book.get(JobId(record.run.ref))
        if known is not None and stamp <= known.stamp:
            return
        job = self.ctx.book.put(record, stamp)
        if record.cancelled:
            self._cancel(job)

    def _job_removed(self, job_id: JobId) -> None:
        job = self.ctx.book.get(job_id)
        if job is not None and not job.live:
            self.writer.final_pending.discard(job_id)
            self.ctx.book.drop(job)

    def _reread(self) -> None:
        while True:
            try:
                entries, epoch = self.ctx.store.listing(LIVE_PREFIX)
                break
            except StoreDown:
                gevent.sleep(0.3)
        there = set()
        for entry in entries:
            there.add(JobId(entry.k[len(LIVE_PREFIX) :]))
            self.job_set(entry.data, Stamp(entry.stamp))
        for job_id in list(self.ctx.book.jobs):
            if job_id not in there and self.ctx.book.jobs[job_id].stamp <= epoch:
                self._job_removed(job_id)
        self.epoch = epoch

    def full(self) -> bool:
        """Tell whether more jobs would endanger the memory of this process."""
        room = self.ctx.settings.params.resources.mem_mb * JOBS_MEMORY_SHARE * 1e6
        return len(self.ctx.book.jobs) * JOB_BYTES >= room
