"""A live job as the leader knows it: its tasks, finishes, and what was learned of its run time."""

from __future__ import annotations

import base64
import binascii
import math
from collections import Counter

from ryewing.state.job_records import CANCELLED, TASKS_PER_CHUNK, JobRecord
from ryewing.units import JobId, KeyVersion, MachineId, MonotonicTime, WallTime, Zone
from ryewing.wire.jobs import GANG, PRIORITIES, SERVICE, JobStatus


class Job:
    """A live job as the leader knows it.

    Work per task is done only where a task changes; finding the next tasks to run is a cursor
    over the numbers plus a list of those that came back.
    """

    __slots__ = (
        "_cursor",
        "_done",
        "_returned",
        "accepted_at",
        "backoff_s",
        "backoff_until",
        "cancelled",
        "chunks_written",
        "done_count",
        "duplicates",
        "estimate_factor",
        "failed_on",
        "gang_attempt",
        "guaranteed",
        "id",
        "inherited",
        "judged",
        "key_version",
        "live",
        "priority",
        "result_kept_by",
        "run_seen_s",
        "running",
        "spec",
        "unwritten",
        "waiting_since",
        "zones",
    )

    def __init__(self, record: JobRecord, key_version: KeyVersion, inherited: bool = False) -> None:
        self.spec = record.spec
        self.id = JobId(record.spec.id)
        self.accepted_at = WallTime(record.accepted_at)
        self.key_version = key_version
        self.cancelled = record.cancelled
        self.priority = PRIORITIES.index(record.spec.priority)
        self.inherited = inherited
        """Accepted before this leader's term: its tasks may sit on machines not yet heard."""
        self.live: dict[int, MachineId] = {}
        self.duplicates: dict[int, set[MachineId]] = {}
        """Further machines that a task was reported from: all but one of these heartbeats are
        old."""
        self.zones: Counter[Zone] = Counter()
        self.running = 0
        self.done_count = 0
        self.unwritten: set[int] = set()
        self.chunks_written: set[int] = set()
        self.gang_attempt: int | None = None
        self.guaranteed = False
        self.judged = False
        self.failed_on: dict[MachineId, MonotonicTime] = {}
        self.result_kept_by: set[MachineId] = set()
        """Machines whose workers keep a result of a replica: used only where there is no other."""
        self.backoff_s = 0.0
        self.backoff_until = MonotonicTime(0.0)
        self.run_seen_s: float | None = None
        self.estimate_factor = 1.0
        """How much longer than guessed the class's tasks were seen to take, within bounds."""
        self.waiting_since: MonotonicTime | None = None
        """Since when the job has waited for a machine with its image."""
        self._done = bytearray((self.spec.task_count + 7) // 8)
        self._returned: list[int] = []
        self._cursor = 0

    @property
    def is_gang(self) -> bool:
        """Tell whether all tasks run at the same time."""
        return self.spec.shape == GANG

    @property
    def lacks_members(self) -> bool:
        """Tell whether some of a gang's tasks are on machines while others are missing."""
        return self.is_gang and bool(self.live) and self.shortfall > 0

    @property
    def is_service(self) -> bool:
        """Tell whether the tasks (replicas) run until the job is cancelled."""
        return self.spec.shape == SERVICE

    @property
    def complete(self) -> bool:
        """Tell whether every task is done."""
        return self.done_count >= self.spec.task_count

    @property
    def shortfall(self) -> int:
        """Count the tasks that are neither done nor on a machine (nor planned for one)."""
        if self.cancelled:
            return 0
        return self.spec.task_count - self.done_count - len(self.live)

    @property
    def zone_max(self) -> int:
        """How many tasks may be in one zone."""
        return (self.spec.task_count + 1) // 2 if self.spec.spread else self.spec.task_count

    @property
    def grace_s(self) -> float:
        """The time a stopped task is given to save, if it can."""
        return self.spec.save_s if self.spec.checkpoint_s > 0 else 0.0

    def estimate_s(self) -> float:
        """Estimate a task's run time: the owner's guess, corrected by what was seen.

        A replica's is infinite: no sum or product may be made of it.
        """
        if self.is_service:
            return math.inf
        if self.run_seen_s is not None:
            return self.run_seen_s
        return max(1.0, self.spec.estimated_s * self.estimate_factor)

    def is_done(self, index: int) -> bool:
        """Tell whether the task has finished."""
        return bool(self._done[index >> 3] & (1 << (index & 7)))

    def finish(self, index: int) -> bool:
        """Take note of a finish; True if it is news that must be written.

        A replica never finishes, whatever its worker or a record says: so its job can't be `done`.
        """
        if self.is_service or not 0 <= index < self.spec.task_count or self.is_done(index):
            return False
        self._done[index >> 3] |= 1 << (index & 7)
        self.done_count += 1
        self.unwritten.add(index)
        return True

    def hand_back(self, index: int) -> None:
        """A task left its machine without having finished."""
        if not self.is_done(index):
            self._returned.append(index)

    def take(self, count: int) -> list[int]:
        """Choose the next tasks to run; the caller puts them into `live`."""
        chosen: list[int] = []
        assignment = set()
        while self._returned and len(chosen) < count:
            index = self._returned.pop()
            if index not in assignment and index not in self.live and not self.is_done(index):
                chosen.append(index)
                assignment.add(index)
        while self._cursor < self.spec.task_count and len(chosen) < count:
            index = self._cursor
            self._cursor += 1
            if index not in assignment and index not in self.live and not self.is_done(index):
                chosen.append(index)
        return chosen

    def load_chunk(self, chunk: int, text: str) -> None:
        """Read a record of finishes back, after a take-over."""
        try:
            bits = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError):
            return
        self.chunks_written.add(chunk)
        for offset, byte in enumerate(bits):
            for bit in range(8):
                index = chunk * TASKS_PER_CHUNK + offset * 8 + bit
                if byte & (1 << bit) and index < self.spec.task_count and not self.is_done(index):
                    self.finish(index)
                    self.unwritten.discard(index)

    def dirty_chunks(self) -> list[int]:
        """Name the records that lack a finish."""
        return sorted({index // TASKS_PER_CHUNK for index in self.unwritten})

    def chunk_text(self, chunk: int) -> str:
        """Give a record of finished tasks."""
        start = chunk * TASKS_PER_CHUNK // 8
        return base64.b64encode(bytes(self._done[start : start + TASKS_PER_CHUNK // 8])).decode(
            "ascii"
        )

    def status(self) -> JobStatus:
        """Tell a user the state. `done` is said only by the final record."""
        if self.cancelled:
            return JobStatus(self.id, CANCELLED)
        state = "running" if self.running else "queued"
        return JobStatus(self.id, state, self.done_count, self.running)
