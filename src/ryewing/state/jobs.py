"""Accepted jobs: their records in the store, their finishes, and what is still to be run.

Keys: `j/<id>` holds a live job (with its cancel mark), `d/<n>` the finished tasks of many live jobs
(`paged_records`), `f/<id>` the small final state, kept for good. A job has either `j/` or `f/`, and
it moves from one to the other in one transaction on the version of `j/`, so that a cancel and a
`done` can't both win.
"""

from __future__ import annotations

import base64
import binascii
import logging
import math
from collections import Counter
from collections.abc import Iterator

import msgspec

from ryewing.clients.store import readable
from ryewing.config.settings import Team
from ryewing.units import JobId, KeyVersion, MachineId, MonotonicTime, WallTime, Zone
from ryewing.wire.messages import (
    GANG,
    MAX_TASKS,
    PRIORITIES,
    SERVICE,
    JobSpec,
    JobStatus,
    MachineType,
)

log = logging.getLogger(__name__)

LIVE_PREFIX = "j/"
FINISHED_PREFIX = "d/"
FINAL_PREFIX = "f/"
TASKS_PER_CHUNK = 8192
"""Finished tasks per record: 1 KiB as bits, well below any `value_kb`."""

EPSILON = 1e-6
"""Amounts are sums of decimal fractions: so much too little is still enough."""
DONE = "done"
CANCELLED = "cancelled"


class JobRecord(msgspec.Struct, omit_defaults=True, rename={"spec": "run", "accepted_at": "at"}):
    """The value of `j/<id>`."""

    spec: JobSpec
    accepted_at: float
    cancelled: bool = False
    cancelled_at: float | None = None
    shard: str | None = None
    """The shard that the job belongs to, if the fleet is divided."""


class FinalRecord(msgspec.Struct):
    """The value of `f/<id>`."""

    status: str


def read_record(data: bytes | msgspec.Raw, key: str) -> JobRecord | None:
    """Read the record of a live job; None if it can't be understood."""
    record = readable(data, JobRecord, key)
    if record is None:
        return None
    spec = record.spec
    if (
        key != live_key(JobId(spec.id))
        or spec.priority not in PRIORITIES
        or not 1 <= spec.task_count <= MAX_TASKS
    ):
        log.error("event=unreadable key=%s error=not a job", key)
        return None
    return record


def stored_size_bytes(record: JobRecord) -> int:
    """Tell how large a value keeping a job takes: its record, or that of its finished tasks."""
    finishes = 0
    if record.spec.shape != SERVICE:
        finishes = (
            4 * -(-min(record.spec.task_count, TASKS_PER_CHUNK) // 24) + len(record.spec.id) + 16
        )
    return max(len(msgspec.json.encode(record)), finishes)


def with_cancel_mark(record: JobRecord, cancelled_at: WallTime, limit: float) -> JobRecord:
    """Give the record of a job with the mark that it is cancelled.

    One accepted under wider limits is shortened to what its stop still needs: what its tasks take,
    and of whose limit. It could be read but not written back whole, and so not be cancelled.
    """
    marked = msgspec.structs.replace(record, cancelled=True, cancelled_at=cancelled_at)
    if len(msgspec.json.encode(marked)) <= limit:
        return marked
    spec = record.spec
    short = msgspec.structs.replace(
        spec, job_class=spec.job_class[:32], image=spec.image[:32], machine_types=None
    )
    return msgspec.structs.replace(marked, spec=short)


def live_key(job: JobId) -> str:
    """Name the record of a live job."""
    return LIVE_PREFIX + job


def final_key(job: JobId) -> str:
    """Name the record of a job's final state."""
    return FINAL_PREFIX + job


def finished_chunk_name(job: JobId, chunk: int) -> str:
    """Name a record of finished tasks."""
    return f"{job}/{chunk}"


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Tell whether one task fits an empty machine of this type."""
    return (
        spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, limit: int) -> int:
    """Tell how many of a job's tasks fit into some room, up to a limit."""
    for need, have in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            limit = min(limit, int((have + EPSILON) / need)) if have > 0 else 0
    return max(0, limit)


def infeasibility_reason(
    spec: JobSpec, machine_types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Say why a job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"owner: unknown team {spec.team!r}"
    allowed = [
        machine_type
        for machine_type in machine_types.values()
        if (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
    ]
    if not any(fits_machine_type(spec, machine_type) for machine_type in allowed):
        return "a task fits no allowed machine type"
    tasks = spec.task_count if spec.shape in (GANG, SERVICE) else 1
    if team.cpus_max and spec.cpus * tasks > team.cpus_max:
        return f"vcpus: above the limit of team {spec.team!r}"
    if team.gpus_max and spec.gpus * tasks > team.gpus_max:
        return f"cards: above the limit of team {spec.team!r}"
    return None


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
