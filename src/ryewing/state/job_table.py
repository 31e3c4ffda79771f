"""All live jobs of a term, and which of them need the scheduler or the state writer."""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.state.job_records import JobRecord
from ryewing.state.jobs import Job
from ryewing.units import JobId, KeyVersion

ESTIMATE_FACTOR_MIN = 0.5
"""The least by which a class's estimates are corrected: users' estimates are often wrong, but the
few tasks seen may mislead as well."""
ESTIMATE_FACTOR_MAX = 2.0
"""The most by which they are corrected."""
RUN_TIME_WEIGHT = 0.3
"""The weight of one task in the moving average of its job's run time."""
ESTIMATE_WEIGHT = 0.05
"""The weight of one task in the moving average of its class's estimate factor."""


class JobTable:
    """The live jobs, and which of them have something to place or to write.

    Every caller that changes a job has to call `reindex` afterwards, which keeps the sets up to
    date. No method blocks.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.waiting: set[JobId] = set()
        """Jobs that may have a shortfall, so that no scheduling cycle looks at all jobs."""
        self.dirty: set[JobId] = set()
        """Jobs with finished tasks, or a final state, that the store lacks."""
        self._estimate_factors: dict[str, float] = {}
        """By job class: how much longer tasks ran than their users estimated, within bounds."""

    def __iter__(self) -> Iterator[Job]:
        return iter(self.jobs.values())

    def get(self, job: JobId) -> Job | None:
        """Return a live job, or None."""
        return self.jobs.get(job)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> Job:
        """Apply a record from the store, which is a new job or a cancel of a known one.

        An `inherited` job was accepted before this term.
        """
        job = self.jobs.get(JobId(record.spec.id))
        if job is None:
            job = Job(record, key_version, inherited)
            job.estimate_factor = self._estimate_factors.get(record.spec.job_class, 1.0)
            self.jobs[job.id] = job
        else:
            job.key_version = max(job.key_version, key_version, key=int)
            job.cancelled = job.cancelled or record.cancelled
        self.reindex(job)
        return job

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Learn from the run time of a task that was seen from its start to its end."""
        seen = job.mean_run_time_s
        job.mean_run_time_s = (
            seconds if seen is None else (1 - RUN_TIME_WEIGHT) * seen + RUN_TIME_WEIGHT * seconds
        )
        if job.spec.estimated_s > 0:
            ratio = seconds / job.spec.estimated_s
            factor = min(ESTIMATE_FACTOR_MAX, max(ESTIMATE_FACTOR_MIN, ratio))
            old = self._estimate_factors.get(job.spec.job_class, 1.0)
            new = (1 - ESTIMATE_WEIGHT) * old + ESTIMATE_WEIGHT * factor
            self._estimate_factors[job.spec.job_class] = new

    def reindex(self, job: Job) -> None:
        """Update the sets after a change of a job; one that was dropped stays out."""
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
        """Forget a job whose final state is in the store."""
        self.jobs.pop(job.id, None)
        self.waiting.discard(job.id)
        self.dirty.discard(job.id)
