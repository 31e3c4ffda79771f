"""The final states of jobs: whether a job has ended, and whether its final state is stored.

A final write removes the job's live record on condition of its version, so a cancel and a `done`
can't both succeed (docs/design.md, safety argument 8). While a final write is in flight, only the
store knows the job's state (safety argument 9).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

import msgspec

from ryewing.clients.store import Put, Remove, decode_stored
from ryewing.leader.finished_task_records import FinishedTaskWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.write import Write
from ryewing.state.job_records import FinalRecord, FinalState, final_key, live_key
from ryewing.state.jobs import Job
from ryewing.units import JobId, KeyVersion, Revision

log = logging.getLogger(__name__)


class FinalWrite(Write):
    """The write of a job's final state."""

    __slots__ = ("_final_states", "_status", "job")

    def __init__(self, final_states: FinalStates, job: Job, status: str) -> None:
        key = live_key(job.id)
        super().__init__(
            key,
            [Put(final_key(job.id), {"status": status}), Remove(key)],
            {key: job.key_version},
        )
        self.job = job
        self._status = status
        self._final_states = final_states

    def on_applied(self, revision: Revision) -> None:  # noqa: ARG002  as `Write` has it
        """Forget the job, and publish its final state."""
        self._final_states.finalise(self.job, self._status)

    def on_conflict(self, key: str) -> None:  # noqa: ARG002  as `Write` has it
        """Read the job's records to find out what changed."""
        self._final_states.read_back(self.job)


class FinalStates:
    """Tracks the final states that are being written."""

    def __init__(
        self,
        term: TermContext,
        finished_tasks: FinishedTaskWriter,
        on_record: Callable[[str, msgspec.Raw, KeyVersion], None],
    ) -> None:
        self._term = term
        self._finished_tasks = finished_tasks
        self._on_record = on_record
        self.pending: set[JobId] = set()
        """Jobs with a final write of unknown outcome: their state must be read from the store."""
        self._unanswered: set[JobId] = set()
        """Pending jobs with a write that got no response and may be executed after later ones."""

    def status(self, job: Job) -> str | None:
        """Return a job's final state; None if it has not ended or may still have tasks running."""
        if not job.cancelled:
            return FinalState.DONE if job.complete else None
        if job.assigned_tasks or any(True for _ in self._term.cluster.unreconciled()):
            return None
        return FinalState.CANCELLED

    def mark_pending(self, jobs: Iterable[JobId]) -> None:
        """Record that the final states of these jobs are being written."""
        self.pending.update(jobs)

    def mark_unanswered(self, jobs: Iterable[JobId]) -> None:
        """Record that a write of these final states got no response."""
        self._unanswered.update(jobs)

    def mark_answered(self, jobs: set[JobId]) -> None:
        """Record that the outcome of a write is known.

        A job with an earlier unanswered write stays pending, because that write may be executed
        later. In one case the retry failed because of another key and the first write was executed
        after it: users got `running` from memory although others had already got `done`.
        """
        self.pending -= jobs - self._unanswered

    def forget(self, job: Job) -> None:
        """Forget a job whose live record is no longer in the store."""
        self._unanswered.discard(job.id)
        self.pending.discard(job.id)
        self._term.job_table.drop(job)

    def finalise(self, job: Job, status: str) -> None:
        """Forget a job whose final state is in the store, and publish that state."""
        job.unwritten.clear()
        self._finished_tasks.forget(job)
        self._term.on_final(job.id, status)
        self.forget(job)
        log.info("event=final job=%s status=%s tasks=%d", job.id, status, job.spec.task_count)

    def read_back(self, job: Job) -> None:
        """Read the records of a job whose final write failed because its live record had changed.

        Either the job was cancelled or an earlier attempt of the write was executed. Raise
        StoreUnavailableError if the store can't be read.
        """
        entry = self._term.store.get(live_key(job.id))
        if entry is not None:
            self._on_record(entry.key, entry.data, KeyVersion(entry.key_version))
            return
        final = self._term.store.get(final_key(job.id))
        if final is not None:
            record = decode_stored(final.data, FinalRecord, final.key)
            if record is not None:
                self.finalise(job, record.status)
