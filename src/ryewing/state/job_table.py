"""The live jobs of a term, and which of them need the scheduler or the state writer."""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.state.job_records import JobRecord
from ryewing.state.jobs import Job
from ryewing.units import JobId, KeyVersion

ESTIMATE_FACTOR_MIN = 0.5
"""The lower bound of the factor that corrects the estimates of a job class. Users' estimates are
often wrong, but the few observed tasks may be misleading too, so the factor is bounded."""
ESTIMATE_FACTOR_MAX = 2.0
"""The upper bound of that factor."""
RUN_TIME_WEIGHT = 0.3
"""The weight of one task in `Job.mean_run_time_s`, a moving average."""
ESTIMATE_WEIGHT = 0.05
"""The weight of one task in the estimate factor of its job class, a moving average."""


class JobTable:
    """The live jobs, and the sets of jobs that have tasks to place or records to write.

    Every caller that changes a job has to call `reindex` afterwards, which keeps the sets up to
    date. No method blocks.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.waiting: set[JobId] = set()
        """Jobs that may have a shortfall. A scheduling cycle examines only these, not all jobs."""
        self.dirty: set[JobId] = set()
        """Jobs with finished tasks or a final state that have to be written to the store."""
        self._estimate_factors: dict[str, float] = {}
        """By job class: the bounded ratio of observed to estimated run times."""

    def __iter__(self) -> Iterator[Job]:
        return iter(self.jobs.values())

    def get(self, job: JobId) -> Job | None:
        """Return the live job of this id, or None."""
        return self.jobs.get(job)

    def put(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> Job:
        """Apply a record from the store: a new job, or an update of a known one.

        Of an update, only the version and the cancel mark are used. `inherited` is true for a job
        that was accepted before this term.
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
        """Record the run time of a task that was observed from start to end."""
        mean = job.mean_run_time_s
        job.mean_run_time_s = (
            seconds if mean is None else (1 - RUN_TIME_WEIGHT) * mean + RUN_TIME_WEIGHT * seconds
        )
        if job.spec.estimated_s > 0:
            ratio = seconds / job.spec.estimated_s
            factor = min(ESTIMATE_FACTOR_MAX, max(ESTIMATE_FACTOR_MIN, ratio))
            old = self._estimate_factors.get(job.spec.job_class, 1.0)
            new = (1 - ESTIMATE_WEIGHT) * old + ESTIMATE_WEIGHT * factor
            self._estimate_factors[job.spec.job_class] = new

    def reindex(self, job: Job) -> None:
        """Update the sets after a change of a job; a job that was dropped is ignored."""
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
        """Remove a job whose final state is in the store."""
        self.jobs.pop(job.id, None)
        self.waiting.discard(job.id)
        self.dirty.discard(job.id)
