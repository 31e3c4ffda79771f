"""The leader's view of a live job: its tasks, its observed run times and its failures.

The tasks of a job are numbered from 0. A chunk is a range of `TASKS_PER_CHUNK` task numbers; the
store has one record of the finished tasks of each chunk.
"""

from __future__ import annotations

import base64
import binascii
import math
from collections import Counter

from ryewing.state.job_records import TASKS_PER_CHUNK, FinalState, JobRecord
from ryewing.units import JobId, KeyVersion, MachineId, MonotonicTime, WallTime, Zone
from ryewing.wire.jobs import GANG, PRIORITIES, QUEUED, RUNNING, SERVICE, JobSpec, JobStatus


class Job:
    """A live job as the leader knows it.

    The cost of an operation depends on the number of tasks that change, not on the size of the job:
    the tasks to run next come from a list of requeued tasks and a cursor over the task numbers. No
    method blocks.
    """

    __slots__ = (
        "_done_bits",
        "_next_number",
        "_requeued",
        "accepted_at",
        "assigned_tasks",
        "backoff_s",
        "backoff_until",
        "cancelled",
        "chunks_written",
        "done_count",
        "duplicates",
        "estimate_factor",
        "failed_on",
        "gang_attempt",
        "guarantee_decided",
        "guaranteed",
        "id",
        "inherited",
        "key_version",
        "mean_run_time_s",
        "priority",
        "result_kept_by",
        "running_count",
        "spec",
        "tasks_by_zone",
        "unwritten",
        "waiting_since",
    )

    # The submission.
    id: JobId
    spec: JobSpec
    accepted_at: WallTime
    priority: int
    """The index of its priority in `PRIORITIES`; 0 is the highest."""

    # Records in the store.
    key_version: KeyVersion
    """The version of `j/<id>`."""
    cancelled: bool
    inherited: bool
    """Whether it was accepted before this leader's term. Its tasks may then be on machines that
    have sent this leader no heartbeat yet."""
    unwritten: set[int]
    """Numbers of the finished tasks that are not in the store yet."""
    chunks_written: set[int]
    """Chunks whose finished tasks have a record in the store, or one that is to be written."""

    # Tasks.
    assigned_tasks: dict[int, MachineId]
    """By task number: the machine that the task is on or planned for."""
    duplicates: dict[int, set[MachineId]]
    """By task number: further machines that reported the task. At most one of the reports is
    current; the others are delayed heartbeats."""
    tasks_by_zone: Counter[Zone]
    """The number of assigned tasks in each zone."""
    running_count: int
    """The number of running tasks."""
    done_count: int
    """The number of finished tasks."""
    gang_attempt: int | None
    """The attempt in which replacements for missing members of a gang are started."""

    # Scheduling.
    guarantee_decided: bool
    """Whether `guaranteed` has been decided."""
    guaranteed: bool
    """Whether the job is within its team's guarantee."""
    waiting_since: MonotonicTime | None
    """Since when the job has waited for a machine that has its image."""
    mean_run_time_s: float | None
    """A moving average of the run times of its tasks; None until one was observed from start to
    end."""
    estimate_factor: float
    """The bounded ratio of the observed to the estimated run times of its job class."""

    # Failures; see `FailureDetector`.
    failed_on: dict[MachineId, MonotonicTime]
    """Machines on which tasks of the job failed, with the time of the latest failure."""
    result_kept_by: set[MachineId]
    """Machines whose workers keep the result of a replica. Replicas are placed on them only if no
    other machine is available."""
    backoff_s: float
    """The delay before the next probe of a job that fails on every machine; 0 without backoff."""
    backoff_until: MonotonicTime
    """No task of the job is placed before this time."""

    def __init__(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> None:
        self.id = JobId(record.spec.id)
        self.spec = record.spec
        self.accepted_at = WallTime(record.accepted_at)
        self.priority = PRIORITIES.index(record.spec.priority)

        self.key_version = key_version
        self.cancelled = record.cancelled
        self.inherited = inherited
        self.unwritten = set()
        self.chunks_written = set()

        self.assigned_tasks = {}
        self.duplicates = {}
        self.tasks_by_zone = Counter()
        self.running_count = 0
        self.done_count = 0
        self.gang_attempt = None
        self._done_bits = bytearray((self.spec.task_count + 7) // 8)
        """One bit per task, set if the task has finished."""
        self._requeued: list[int] = []
        """Tasks that left their machine unfinished. The list may contain duplicates, and tasks that
        have been assigned again."""
        self._next_number = 0
        """The lowest task number that was never dequeued."""

        self.guarantee_decided = False
        self.guaranteed = False
        self.waiting_since = None
        self.mean_run_time_s = None
        self.estimate_factor = 1.0

        self.failed_on = {}
        self.result_kept_by = set()
        self.backoff_s = 0.0
        self.backoff_until = MonotonicTime(0.0)

    @property
    def is_gang(self) -> bool:
        """Whether the job is a gang: its tasks run all at the same time or not at all."""
        return self.spec.shape == GANG

    @property
    def has_missing_members(self) -> bool:
        """Whether the job is a gang with some tasks assigned and others missing."""
        return self.is_gang and bool(self.assigned_tasks) and self.shortfall > 0

    @property
    def is_service(self) -> bool:
        """Whether the job is a service: its tasks (replicas) run until the job is cancelled."""
        return self.spec.shape == SERVICE

    @property
    def complete(self) -> bool:
        """Whether every task has finished."""
        return self.done_count >= self.spec.task_count

    @property
    def shortfall(self) -> int:
        """The number of tasks that are neither finished nor assigned; 0 for a cancelled job."""
        if self.cancelled:
            return 0
        return self.spec.task_count - self.done_count - len(self.assigned_tasks)

    @property
    def max_tasks_per_zone(self) -> int:
        """The maximum number of tasks in a zone: half, rounded up, if the job is to be spread."""
        return (self.spec.task_count + 1) // 2 if self.spec.spread else self.spec.task_count

    @property
    def grace_s(self) -> float:
        """The grace period of a stopped task, in seconds; 0 if the task saves nothing."""
        return self.spec.save_s if self.spec.checkpoint_s > 0 else 0.0

    def estimate_s(self) -> float:
        """Return the estimated run time of a task in seconds.

        This is the mean of the observed run times, or else the user's estimate, corrected by the
        estimate factor. It is infinite for replicas, so callers must not use it in sums and
        products.
        """
        if self.is_service:
            return math.inf
        if self.mean_run_time_s is not None:
            return self.mean_run_time_s
        return max(1.0, self.spec.estimated_s * self.estimate_factor)

    def is_done(self, number: int) -> bool:
        """Return whether the task has finished."""
        return bool(self._done_bits[number >> 3] & (1 << (number & 7)))

    def finish(self, number: int) -> bool:
        """Record that a task has finished; return whether this is new and has to be written.

        A replica never finishes, even if its worker or a record says so. A service therefore can't
        become `done` (safety argument 7 in docs/design.md).
        """
        if self.is_service or not 0 <= number < self.spec.task_count or self.is_done(number):
            return False
        self._done_bits[number >> 3] |= 1 << (number & 7)
        self.done_count += 1
        self.unwritten.add(number)
        return True

    def requeue(self, number: int) -> None:
        """Queue a task again that left its machine without having finished."""
        if not self.is_done(number):
            self._requeued.append(number)

    def dequeue(self, count: int) -> list[int]:
        """Return up to `count` tasks to run next, starting with the task that was requeued last.

        Tasks that were never dequeued come after the requeued ones. The caller has to assign the
        returned tasks, which adds them to `assigned_tasks`.
        """
        chosen: list[int] = []
        chosen_requeued = set()
        while self._requeued and len(chosen) < count:
            number = self._requeued.pop()
            if (
                number not in chosen_requeued
                and number not in self.assigned_tasks
                and not self.is_done(number)
            ):
                chosen.append(number)
                chosen_requeued.add(number)
        while self._next_number < self.spec.task_count and len(chosen) < count:
            number = self._next_number
            self._next_number += 1
            if (
                number not in chosen_requeued
                and number not in self.assigned_tasks
                and not self.is_done(number)
            ):
                chosen.append(number)
        return chosen

    def load_chunk(self, chunk: int, text: str) -> None:
        """Apply a chunk's record of finished tasks from the store; ignore an undecodable record."""
        try:
            bits = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError):
            return
        self.chunks_written.add(chunk)
        for offset, byte in enumerate(bits):
            for bit in range(8):
                number = chunk * TASKS_PER_CHUNK + offset * 8 + bit
                if byte & (1 << bit) and number < self.spec.task_count and not self.is_done(number):
                    self.finish(number)
                    self.unwritten.discard(number)

    def dirty_chunks(self) -> list[int]:
        """Return the chunks with finished tasks that are not in the store yet, in order."""
        return sorted({number // TASKS_PER_CHUNK for number in self.unwritten})

    def chunk_text(self, chunk: int) -> str:
        """Return the record of a chunk: the bits of its finished tasks, in base 64."""
        start = chunk * TASKS_PER_CHUNK // 8
        chunk_bits = bytes(self._done_bits[start : start + TASKS_PER_CHUNK // 8])
        return base64.b64encode(chunk_bits).decode("ascii")

    def status(self) -> JobStatus:
        """Return the status of the live job for users; `done` comes only from the final record."""
        if self.cancelled:
            return JobStatus(self.id, FinalState.CANCELLED)
        state = RUNNING if self.running_count else QUEUED
        return JobStatus(self.id, state, self.done_count, self.running_count)
