"""The records of jobs in the store, and their keys.

`j/<id>` is a live job with its cancel mark. `d/<n>` holds the finished tasks of many live jobs (see
`paged_records`). `f/<id>` is the final state of a job, which is small and never removed. A job has
either a `j/` or an `f/` key. One transaction, conditional on the version of `j/`, replaces the
first by the second, so that a cancel and a `done` can't both succeed (safety argument 8 in
docs/design.md).
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
"""The prefix of the keys of live jobs."""
FINISHED_PREFIX = "d/"
"""The prefix of the keys of pages with finished tasks."""
FINAL_PREFIX = "f/"
"""The prefix of the keys of final states."""
TASKS_PER_CHUNK = 8192
"""The number of tasks that one record of finished tasks covers: 1 KiB as bits, which is well below
any `value_kb`."""
SHORTENED_NAME_CHARS = 32
"""The length to which names are cut in the record of a cancelled job that is too large."""


class FinalState(enum.StrEnum):
    """A final state of a job (PROTOCOL, "GET /v2/runs/{id}").

    Its values are the strings that are stored and returned to users.
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
    """The cancel mark: whether a user has cancelled the job."""
    cancelled_at: float | None = None
    """Wall time, in seconds."""
    shard: str | None = None
    """The shard of the job, if the fleet is divided."""


class FinalRecord(msgspec.Struct):
    """The value of `f/<id>`: the final state of a job."""

    status: str
    """A `FinalState`, kept as text so that states written by later versions can be read."""


def read_record(data: bytes | msgspec.Raw, key: str) -> JobRecord | None:
    """Decode the record of a live job; if it is invalid, log an error and return None."""
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
    """Return the size of the largest value that a job needs in the store.

    This is either its own record or a record of finished tasks, which has their bits in base 64 and
    a name.
    """
    finished_tasks_bytes = 0
    if record.spec.shape != SERVICE:
        bits = min(record.spec.task_count, TASKS_PER_CHUNK)
        base64_bytes = 4 * -(-bits // 24)
        finished_tasks_bytes = base64_bytes + len(record.spec.id) + 16
    return max(len(msgspec.json.encode(record)), finished_tasks_bytes)


def with_cancel_mark(record: JobRecord, cancelled_at: WallTime, limit_bytes: float) -> JobRecord:
    """Return the record of a job with its cancel mark.

    A record above `limit_bytes` was accepted under a larger limit. The store would reject it, so
    the job could not be cancelled. It is therefore shortened to the fields that are needed to stop
    the job: the resources of its tasks and its team.
    """
    marked = msgspec.structs.replace(record, cancelled=True, cancelled_at=cancelled_at)
    if len(msgspec.json.encode(marked)) <= limit_bytes:
        return marked
    spec = record.spec
    shortened = msgspec.structs.replace(
        spec,
        job_class=spec.job_class[:SHORTENED_NAME_CHARS],
        image=spec.image[:SHORTENED_NAME_CHARS],
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
    """Return the name of a chunk's record of finished tasks, which is in a page under `d/`."""
    return f"{job}/{chunk}"
