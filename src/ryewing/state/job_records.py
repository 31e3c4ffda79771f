"""The records of jobs in the store, and the keys that they stand under.

Keys: `j/<id>` holds a live job (with its cancel mark), `d/<n>` the finished tasks of many live jobs
(`paged_records`), `f/<id>` the small final state, kept for good. A job has either `j/` or `f/`, and
it moves from one to the other in one transaction on the version of `j/`, so that a cancel and a
`done` can't both win.
"""

from __future__ import annotations

import logging

import msgspec

from ryewing.clients.store import decode_stored
from ryewing.units import JobId, WallTime
from ryewing.wire.jobs import MAX_TASKS, PRIORITIES, SERVICE, JobSpec

log = logging.getLogger(__name__)

LIVE_PREFIX = "j/"
FINISHED_PREFIX = "d/"
FINAL_PREFIX = "f/"
TASKS_PER_CHUNK = 8192
"""Finished tasks per record: 1 KiB as bits, well below any `value_kb`."""
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
    record = decode_stored(data, JobRecord, key)
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
