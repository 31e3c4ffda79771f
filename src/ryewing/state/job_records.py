"""The records of jobs in the store, and their keys.

`j/<id>` is a live job, with its cancel mark. `d/<n>` holds the finished tasks of many live jobs
(see `paged_records`). `f/<id>` is the final state, which is small and kept for good. A job has
either `j/` or `f/`. It moves from one to the other in one transaction on the version of `j/`, so
that a cancel and a `done` can't both win (safety argument 8 in docs/design.md).
"""

from __future__ import annotations

import enum
import logging

import msgspec

from ryewing.clients.store import decode_stored
from ryewing.units import JobId, WallTime
from ryewing.wire.jobs import MAX_TASKS, PRIORITIES, SERVICE, JobSpec

log = logging.getLogger(__name__)

LIVE_PREFIX = "j/"
"""Of the keys of live jobs."""
FINISHED_PREFIX = "d/"
"""Of the keys of finished tasks."""
FINAL_PREFIX = "f/"
"""Of the keys of final states."""
TASKS_PER_CHUNK = 8192
"""How many tasks one record of finished tasks covers: 1 KiB as bits, well below any `value_kb`."""
SHORTENED_NAME = 32
"""How many characters are left of a name in the record of a cancelled job that is too large."""


class FinalState(enum.StrEnum):
    """A state of a job that never changes any more (PROTOCOL, "GET /v2/runs/{id}").

    It is a string, and stored and answered as one.
    """

    DONE = "done"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(FinalState)


class JobRecord(msgspec.Struct, omit_defaults=True, rename={"spec": "run", "accepted_at": "at"}):
    """The value of `j/<id>`: a live job."""

    spec: JobSpec
    accepted_at: float
    """Wall time, in seconds."""
    cancelled: bool = False
    """The cancel mark."""
    cancelled_at: float | None = None
    """Wall time, in seconds."""
    shard: str | None = None
    """The shard that the job belongs to, if the fleet is divided."""


class FinalRecord(msgspec.Struct):
    """The value of `f/<id>`: the final state of a job."""

    status: str
    """A `FinalState`; text, so that one written by a later version can still be read."""


def read_record(data: bytes | msgspec.Raw, key: str) -> JobRecord | None:
    """Decode the record of a live job; log it and return None if it can't be understood."""
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
    """Return the size of the largest value that a job needs.

    That is its own record, or one of its finished tasks: their bits in base 64 beside their name.
    """
    finished_tasks_bytes = 0
    if record.spec.shape != SERVICE:
        bits = min(record.spec.task_count, TASKS_PER_CHUNK)
        base64_bytes = 4 * -(-bits // 24)
        finished_tasks_bytes = base64_bytes + len(record.spec.id) + 16
    return max(len(msgspec.json.encode(record)), finished_tasks_bytes)


def with_cancel_mark(record: JobRecord, cancelled_at: WallTime, limit_bytes: float) -> JobRecord:
    """Return the record of a job with its cancel mark.

    A record above the limit was accepted under a wider one: it could be read but not written back
    whole, and so not be cancelled. It is shortened to what is needed to stop the job: the resources
    of its tasks, and its team.
    """
    marked = msgspec.structs.replace(record, cancelled=True, cancelled_at=cancelled_at)
    if len(msgspec.json.encode(marked)) <= limit_bytes:
        return marked
    spec = record.spec
    shortened = msgspec.structs.replace(
        spec,
        job_class=spec.job_class[:SHORTENED_NAME],
        image=spec.image[:SHORTENED_NAME],
        machine_types=None,
    )
    return msgspec.structs.replace(marked, spec=shortened)


def live_key(job: JobId) -> str:
    """Return the key of a live job."""
    return LIVE_PREFIX + job


def final_key(job: JobId) -> str:
    """Return the key of a job's final state."""
    return FINAL_PREFIX + job


def finished_chunk_name(job: JobId, chunk: int) -> str:
    """Return the name of a record of finished tasks, which is kept in a page under `d/`."""
    return f"{job}/{chunk}"
