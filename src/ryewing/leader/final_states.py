"""The final states of jobs: when a job has ended, and whether the store has that it has.

A final write removes the job's live record on condition of its version, so a cancel and a `done`
can't both win (docs/design.md, safety argument 8). While a final write is under way, only the store
knows the job's state (safety argument 9).
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
        """Forget the job, and pass its final state on."""
        self._final_states.finalise(self.job, self._status)

    def on_conflict(self, key: str) -> None:  # noqa: ARG002  as `Write` has it
        """Find out what the store has instead."""
        self._final_states.read_back(self.job)


class FinalStates:
    """Owns which final states are under way."""

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
        """Jobs whose final state may or may not be written: only the store can tell."""
        self._unanswered: set[JobId] = set()
        """Those of them for which a write got no answer: it may be carried out after later ones."""

    def status(self, job: Job) -> str | None:
        """Return how a job has ended; None if it has not, or may still have tasks somewhere."""
        if not job.cancelled:
            return FinalState.DONE if job.complete else None
        if job.assigned_tasks or any(True for _ in self._term.cluster.unreconciled()):
            return None
        return FinalState.CANCELLED

    def begin(self, jobs: Iterable[JobId]) -> None:
        """Note that the final states of these jobs are being written."""
        self.pending.update(jobs)

    def note_unanswered(self, jobs: Iterable[JobId]) -> None:
        """Note that a write of these final states got no answer."""
        self._unanswered.update(jobs)

    def note_answered(self, jobs: set[JobId]) -> None:
        """Note that the outcome of a write is known.

        A job with an earlier unanswered write stays pending. Found where the next try failed for
        another key: the first one, still on its way, was carried out after that, and users were
        told `running` from memory beside `done`.
        """
        self.pending -= jobs - self._unanswered

    def settle(self, job: Job) -> None:
        """Forget a job of which the store has no live record any more."""
        self._unanswered.discard(job.id)
        self.pending.discard(job.id)
        self._term.job_table.drop(job)

    def finalise(self, job: Job, status: str) -> None:
        """Forget a job whose final state is in the store, and pass that state on."""
        job.unwritten.clear()
        self._finished_tasks.forget(job)
        self._term.on_final(job.id, status)
        self.settle(job)
        log.info("event=final job=%s status=%s tasks=%d", job.id, status, job.spec.task_count)

    def read_back(self, job: Job) -> None:
        """Read what became of a job whose final write met another version of its record.

        A cancel won, or an earlier try was applied. Raise StoreUnavailableError if that can't be
        read.
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
