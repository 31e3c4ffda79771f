"""The finished tasks of live jobs that a term keeps in the store (`d/<n>`).

A worker's finished task is cleared, and its job refilled, only once the finish is in the store
(docs/design.md, safety argument 7).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gevent.event import Event

from ryewing.clients.store import KeyValueStore
from ryewing.leader.paged_record_writer import PagedRecordWriter
from ryewing.state.job_records import FINISHED_PREFIX, TASKS_PER_CHUNK, finished_chunk_name
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.paged_records import PagedRecords


class PagedFinishes(NamedTuple):
    """Finished tasks of a job, by their numbers, that a page holds."""

    job: Job
    tasks: set[int]


class FinishedTaskWriter(PagedRecordWriter[PagedFinishes]):
    """Owns the records of finished tasks."""

    def __init__(
        self, store: KeyValueStore, value_kb: float, job_table: JobTable, scheduling_needed: Event
    ) -> None:
        super().__init__(store, PagedRecords(FINISHED_PREFIX, value_kb))
        self._job_table = job_table
        self._scheduling_needed = scheduling_needed

    def update_pages(self, job: Job, by_page: dict[int, list[PagedFinishes]]) -> None:
        """Bring the pages of a job's finished tasks up to date; add those tasks to `by_page`."""
        for chunk in job.dirty_chunks():
            number = self.pages.put(finished_chunk_name(job.id, chunk), job.chunk_text(chunk))
            job.chunks_written.add(chunk)
            tasks = {index for index in job.unwritten if index // TASKS_PER_CHUNK == chunk}
            by_page.setdefault(number, []).append(PagedFinishes(job, tasks))

    def forget(self, job: Job) -> None:
        """Remove the records of a job that has ended."""
        for chunk in job.chunks_written:
            self.pages.drop(finished_chunk_name(job.id, chunk))

    def on_written(self, records: Sequence[PagedFinishes]) -> None:
        """Let the finished tasks be cleared, and their jobs be refilled."""
        for job, tasks in records:
            job.unwritten -= tasks
            self._job_table.reindex(job)
        self._scheduling_needed.set()
