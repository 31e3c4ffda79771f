"""A live job as the leader knows it: its tasks, and what was learned of its run time and failures.

The tasks of a job are numbers from 0 on. A chunk is a range of `TASKS_PER_CHUNK` of them, whose
finished ones are one record in the store.
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

    Work in proportion to its tasks is done only where tasks change: the next tasks to run are
    found by a cursor over their numbers, and a list of those that were handed back. Nothing here
    waits.
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

    # What its user submitted.
    id: JobId
    spec: JobSpec
    accepted_at: WallTime
    priority: int
    """The index of its priority in `PRIORITIES`: 0 is the most important."""

    # Its record in the store.
    key_version: KeyVersion
    """The version of `j/<id>`."""
    cancelled: bool
    inherited: bool
    """Whether it was accepted before this leader's term, so that its tasks may be on machines which
    this leader has not heard yet."""
    unwritten: set[int]
    """Numbers of the finished tasks that the store lacks."""
    chunks_written: set[int]
    """Chunks of finished tasks that have a record, or will have one."""

    # Its tasks.
    assigned_tasks: dict[int, MachineId]
    """The machine of each task that is on one or planned for one, by task number."""
    duplicates: dict[int, set[MachineId]]
    """Further machines that a task was reported from: all but one of these heartbeats are old."""
    tasks_by_zone: Counter[Zone]
    """How many live tasks each zone has."""
    running_count: int
    """How many tasks run."""
    done_count: int
    """How many tasks have finished."""
    gang_attempt: int | None
    """The attempt that a gang's missing members join."""

    # What scheduling knows of it.
    guarantee_decided: bool
    """Whether it was decided if the job is within its team's guarantee."""
    guaranteed: bool
    """Whether it is within its team's guarantee."""
    waiting_since: MonotonicTime | None
    """Since when it has waited for a machine with its image."""
    mean_run_time_s: float | None
    """A moving average of its tasks' run times; None until one has finished."""
    estimate_factor: float
    """How much longer than estimated the tasks of its class ran, within bounds."""

    # What the failure detector knows of it.
    failed_on: dict[MachineId, MonotonicTime]
    """Machines where its tasks failed, and when one did last."""
    result_kept_by: set[MachineId]
    """Machines whose workers keep the result of a replica: used only if there is no other."""
    backoff_s: float
    """The delay before the next probe of a job that fails everywhere; 0 if it does not back off."""
    backoff_until: MonotonicTime
    """No task is placed before this time."""

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
        """A bit for each task, set if it has finished."""
        self._requeued: list[int] = []
        """Tasks that left their machine unfinished; some may be live again, or listed twice."""
        self._next_number = 0
        """The first task that was never taken."""

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
        """Whether its tasks run all at once or none."""
        return self.spec.shape == GANG

    @property
    def has_missing_members(self) -> bool:
        """Whether it is a gang with some tasks on machines and others missing."""
        return self.is_gang and bool(self.assigned_tasks) and self.shortfall > 0

    @property
    def is_service(self) -> bool:
        """Whether its tasks (replicas) run until the job is cancelled."""
        return self.spec.shape == SERVICE

    @property
    def complete(self) -> bool:
        """Whether every task has finished."""
        return self.done_count >= self.spec.task_count

    @property
    def shortfall(self) -> int:
        """How many tasks are neither finished nor on a machine nor planned for one."""
        if self.cancelled:
            return 0
        return self.spec.task_count - self.done_count - len(self.assigned_tasks)

    @property
    def max_tasks_per_zone(self) -> int:
        """How many tasks may be in one zone: half, rounded up, if the job is to be spread."""
        return (self.spec.task_count + 1) // 2 if self.spec.spread else self.spec.task_count

    @property
    def grace_s(self) -> float:
        """The grace period of a stopped task: the time that it needs to save, 0 if it can't."""
        return self.spec.save_s if self.spec.checkpoint_s > 0 else 0.0

    def estimate_s(self) -> float:
        """Return the estimated run time of a task: the user's estimate, corrected by what was seen.

        A replica's is infinite, so it must not go into sums and products.
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
        """Record that a task has finished; return whether that is new, and has to be written.

        A replica never finishes, whatever its worker or a record says, so its job can't be `done`
        (safety argument 7 in docs/design.md).
        """
        if self.is_service or not 0 <= number < self.spec.task_count or self.is_done(number):
            return False
        self._done_bits[number >> 3] |= 1 << (number & 7)
        self.done_count += 1
        self.unwritten.add(number)
        return True

    def requeue(self, number: int) -> None:
        """Have a task run again that left its machine without having finished."""
        if not self.is_done(number):
            self._requeued.append(number)

    def dequeue(self, count: int) -> list[int]:
        """Choose up to `count` tasks to run next: those handed back first, the latest one ahead.

        The caller has to assign them, which puts them into `assigned_tasks`.
        """
        chosen: list[int] = []
        returned = set()
        while self._requeued and len(chosen) < count:
            number = self._requeued.pop()
            if (
                number not in returned
                and number not in self.assigned_tasks
                and not self.is_done(number)
            ):
                chosen.append(number)
                returned.add(number)
        while self._next_number < self.spec.task_count and len(chosen) < count:
            number = self._next_number
            self._next_number += 1
            if (
                number not in returned
                and number not in self.assigned_tasks
                and not self.is_done(number)
            ):
                chosen.append(number)
        return chosen

    def load_chunk(self, chunk: int, text: str) -> None:
        """Apply a record of finished tasks from the store; one that can't be read is ignored."""
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
        """Return the chunks with finished tasks that the store lacks, in order."""
        return sorted({number // TASKS_PER_CHUNK for number in self.unwritten})

    def chunk_text(self, chunk: int) -> str:
        """Return the record of a chunk of finished tasks: its bits in base 64."""
        start = chunk * TASKS_PER_CHUNK // 8
        chunk_bits = bytes(self._done_bits[start : start + TASKS_PER_CHUNK // 8])
        return base64.b64encode(chunk_bits).decode("ascii")

    def status(self) -> JobStatus:
        """Return what a user is told of a live job. `done` is told by the final record only."""
        if self.cancelled:
            return JobStatus(self.id, FinalState.CANCELLED)
        state = RUNNING if self.running_count else QUEUED
        return JobStatus(self.id, state, self.done_count, self.running_count)
