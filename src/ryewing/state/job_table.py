"""All live jobs of a term, sorted into those that wait and those that the store lacks news of."""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.state.job_records import JobRecord
from ryewing.state.jobs import Job
from ryewing.units import JobId, KeyVersion

ESTIMATE_FACTOR = (0.5, 2.0)
"""Owners' guesses lie, but so may the few tasks seen: the correction is bounded."""


class JobTable:
    """The live jobs, and which of them have something to place or to write."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.waiting: set[JobId] = set()
        """Jobs that may have a shortfall; kept so that no cycle looks at all jobs."""
        self.dirty: set[JobId] = set()
        """Jobs with finishes, or a final state, to be written."""
        self._factors: dict[str, float] = {}

    def __iter__(self) -> Iterator[Job]:
        return iter(self.jobs.values())

    def get(self, job: JobId) -> Job | None:
        """Find a live job."""
        return self.jobs.get(job)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> Job:
        """Take a record from the store: a new job, or a cancel of a known one."""
        job = self.jobs.get(JobId(record.spec.id))
        if job is None:
            job = Job(record, key_version, inherited)
            job.estimate_factor = self._factors.get(record.spec.job_class, 1.0)
            self.jobs[job.id] = job
        else:
            job.key_version = max(job.key_version, key_version, key=int)
            job.cancelled = job.cancelled or record.cancelled
        self.touch(job)
        return job

    def took(self, job: Job, seconds: float) -> None:
        """Learn from a task that was seen from its start to its end."""
        seen = job.run_seen_s
        job.run_seen_s = seconds if seen is None else 0.7 * seen + 0.3 * seconds
        if job.spec.estimated_s > 0:
            low, high = ESTIMATE_FACTOR
            factor = min(high, max(low, seconds / job.spec.estimated_s))
            old = self._factors.get(job.spec.job_class, 1.0)
            self._factors[job.spec.job_class] = 0.95 * old + 0.05 * factor

    def touch(self, job: Job) -> None:
        """Sort a job into the sets after a change; one that was dropped stays out."""
        if self.jobs.get(job.id) is not job:
            return
        if job.shortfall > 0:
            self.waiting.add(job.id)
        else:
            self.waiting.discard(job.id)
        if job.unwritten or job.cancelled or job.complete:
            self.dirty.add(job.id)
        else:
            self.dirty.discard(job.id)

    def drop(self, job: Job) -> None:
        """A job's final state is written: forget it."""
        self.jobs.pop(job.id, None)
        self.waiting.discard(job.id)
        self.dirty.discard(job.id)
