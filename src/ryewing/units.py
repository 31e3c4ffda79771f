"""Ids, versions and times as types of their own, and the numbers that are made of them.

A monotonic time taken for a time of day, or a term number for a key version, is the kind of mistake
that shows only during a failure; with these types the type checker finds it before that. The module
imports nothing of ryewing, and every package may use it.
"""

from __future__ import annotations

import re
from time import monotonic, time
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
"""Chosen by the job's user, in the form `run-000412`."""
MachineId = NewType("MachineId", str)
"""The name that the cloud gave a machine."""
TeamName = NewType("TeamName", str)
NodeName = NewType("NodeName", str)
"""The name of a controller."""
ShardName = NewType("ShardName", str)
Zone = NewType("Zone", str)

TermNumber = NewType("TermNumber", int)
"""The number of one leadership: each new leader has a higher one."""
FencingToken = NewType("FencingToken", int)
"""What workers compare: the term number, and below it a count of raises for this worker."""
KeyVersion = NewType("KeyVersion", int)
"""The store's version of one key; 0 means that the key does not exist."""
Revision = NewType("Revision", int)
"""The store's count of changes."""
Attempt = NewType("Attempt", int)
"""The number of one start of a task, or of all tasks of a gang; it is never used again."""

MonotonicTime = NewType("MonotonicTime", float)
"""A reading of this process's monotonic clock in seconds: for deadlines and leases."""
WallTime = NewType("WallTime", float)
"""A time of day in seconds since 1970: for ages that must outlive a process. It is off by up to the
bound in the settings (`clock_off_ms`)."""

CLOCK_DRIFT_MARGIN = 0.001
"""Twice the 0.05% by which the monotonic clocks of two machines may drift apart."""

_JOB_ID = re.compile(r"run-[0-9]{1,18}")
_ATTEMPT_BITS = 24
MAX_ATTEMPTS = (1 << _ATTEMPT_BITS) - 1
"""How many attempts one term can give out: enough for four hours of a thousand starts a second."""
_TOKEN_BUMP_BITS = 20
MAX_TOKEN_BUMPS = (1 << _TOKEN_BUMP_BITS) - 1
"""How often the token for one worker can be raised in one term."""


class TaskId(NamedTuple):
    """One task: its job, and its number within the job, from 0."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


class HeartbeatVersion(NamedTuple):
    """The order of a worker's messages: the larger version is the newer message."""

    incarnation: int
    """Which life of the worker."""
    sequence: int
    """Which message in that life."""


NO_HEARTBEAT = HeartbeatVersion(0, 0)
"""Older than every message of a worker."""


def monotonic_now() -> MonotonicTime:
    """Return the current reading of the monotonic clock, in seconds."""
    return MonotonicTime(monotonic())


def wall_now() -> WallTime:
    """Return the current time of day, in seconds since 1970."""
    return WallTime(time())


def is_job_id(text: object) -> bool:
    """Return whether `text` is a job id in the form that users always use: `run-000412`."""
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


def parse_task_id(text: str) -> TaskId | None:
    """Parse a task id such as `run-000412/3`; None if the text is not one."""
    job, slash, number = text.partition("/")
    if not slash or not number.isdecimal() or not is_job_id(job):
        return None
    return TaskId(JobId(job), int(number))


def attempt_number(term: TermNumber, counter: int) -> Attempt:
    """Return the attempt number for a term's `counter`, which no other term can give out.

    This is safety argument 6 of `docs/design.md`. Raise ValueError if the counter is negative or
    above MAX_ATTEMPTS.
    """
    if not 0 <= counter <= MAX_ATTEMPTS:
        raise ValueError(f"attempt {counter} would be another term's")
    return Attempt((int(term) << _ATTEMPT_BITS) | counter)


def fencing_token(term: TermNumber, token_bumps: int = 0) -> FencingToken:
    """Return the token for a worker whose token was raised `token_bumps` times in this term.

    Any token of a later term is higher than every token of an earlier one.
    """
    return FencingToken((int(term) << _TOKEN_BUMP_BITS) | min(token_bumps, MAX_TOKEN_BUMPS))


def term_of_token(token: int) -> TermNumber:
    """Return the number of the term whose token it is."""
    return TermNumber(token >> _TOKEN_BUMP_BITS)


def bumps_of_token(token: int) -> int:
    """Return how often the token for the worker had been raised in the token's term."""
    return token & MAX_TOKEN_BUMPS
