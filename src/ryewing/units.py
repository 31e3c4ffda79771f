"""Distinct types for ids, versions and times, and the encoding of attempt numbers and tokens.

Without these types, passing a monotonic time as a time of day, or a term number as a key version,
would go unnoticed until a failover or another fault; with them the type checker reports it. The
module imports nothing from ryewing, and every package may use it.
"""

from __future__ import annotations

import re
from time import monotonic, time
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
"""The id that the user chose for the job, for example `run-000412`."""
MachineId = NewType("MachineId", str)
"""The name that the cloud assigned to a machine."""
TeamName = NewType("TeamName", str)
NodeName = NewType("NodeName", str)
"""The name of a controller."""
ShardName = NewType("ShardName", str)
Zone = NewType("Zone", str)

TermNumber = NewType("TermNumber", int)
"""The number of a leadership term; each new term has a higher number."""
FencingToken = NewType("FencingToken", int)
"""The token that workers compare: the term number in the high bits, and in the low bits how often
the leader has raised the token for this worker."""
KeyVersion = NewType("KeyVersion", int)
"""The version of a key in the store; 0 means that the key does not exist."""
Revision = NewType("Revision", int)
"""The revision of the whole store, which increases with every change."""
Attempt = NewType("Attempt", int)
"""The number of one start of a task, or of all tasks of a gang. Numbers are never reused."""

MonotonicTime = NewType("MonotonicTime", float)
"""A reading of this process's monotonic clock in seconds, used for deadlines and leases."""
WallTime = NewType("WallTime", float)
"""A time of day in seconds since 1970, used for ages that must outlive a process. Its error is at
most `clock_off_ms` of the settings."""

CLOCK_DRIFT_MARGIN = 0.001
"""Relative safety margin for time spans that two machines measure: twice the 0.05% by which their
monotonic clocks may drift apart."""

_JOB_ID = re.compile(r"run-[0-9]{1,18}")
_ATTEMPT_BITS = 24
MAX_ATTEMPTS = (1 << _ATTEMPT_BITS) - 1
"""The highest attempt counter of a term, enough for four hours of 1000 starts per second."""
_TOKEN_BUMP_BITS = 20
MAX_TOKEN_BUMPS = (1 << _TOKEN_BUMP_BITS) - 1
"""The maximum number of times that a term can raise the token for one worker."""


class TaskId(NamedTuple):
    """The job of a task and the number of the task within the job, counted from 0."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


NO_BUMP = -1
"""The value of `HeartbeatVersion.token_bump` for a token of another term, or none at all."""


class HeartbeatVersion(NamedTuple):
    """The version of a worker's message: of two messages to one term, the newer one is larger.

    Incarnation and sequence order the messages of one process only, because a worker that restarts
    may begin anew at 1 and 1. The token comes first: within a process it never falls, and a
    restarted worker gets one that was never sent to its earlier processes (safety argument 5 of
    `docs/design.md`).
    """

    token_bump: int
    """How often the term had raised the token that the message shows; `NO_BUMP` if it shows none
    of this term."""
    incarnation: int
    """Starts at 1 and increases each time the worker's lease expires."""
    sequence: int
    """Increases with every heartbeat, and every response to a direct message."""

    def __str__(self) -> str:
        return f"{self.token_bump}.{self.incarnation}.{self.sequence}"


NO_HEARTBEAT = HeartbeatVersion(NO_BUMP, 0, 0)
"""Lower than the version of any heartbeat."""


def monotonic_now() -> MonotonicTime:
    """Return the current reading of the monotonic clock, in seconds."""
    return MonotonicTime(monotonic())


def wall_now() -> WallTime:
    """Return the current time of day, in seconds since 1970."""
    return WallTime(time())


def is_job_id(text: object) -> bool:
    """Return whether `text` is a job id: `run-` and 1 to 18 digits."""
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


def parse_task_id(text: str) -> TaskId | None:
    """Parse a task id such as `run-000412/3`; return None if the text is not a task id."""
    job, slash, number = text.partition("/")
    if not slash or not number.isdecimal() or not is_job_id(job):
        return None
    return TaskId(JobId(job), int(number))


def attempt_number(term: TermNumber, counter: int) -> Attempt:
    """Return the attempt number for the `counter` of a term; no other term can use this number.

    This is safety argument 6 of `docs/design.md`. Raise ValueError if the counter is negative or
    above MAX_ATTEMPTS.
    """
    if not 0 <= counter <= MAX_ATTEMPTS:
        raise ValueError(f"attempt {counter} would be in the range of another term")
    return Attempt((int(term) << _ATTEMPT_BITS) | counter)


def fencing_token(term: TermNumber, token_bumps: int = 0) -> FencingToken:
    """Return the token for a worker whose token was raised `token_bumps` times in this term.

    Every token of a later term is higher than every token of an earlier term.
    """
    return FencingToken((int(term) << _TOKEN_BUMP_BITS) | min(token_bumps, MAX_TOKEN_BUMPS))


def term_of_token(token: int) -> TermNumber:
    """Return the number of the term that issued a token."""
    return TermNumber(token >> _TOKEN_BUMP_BITS)


def bumps_of_token(token: int) -> int:
    """Return how many times a token had been raised within its term."""
    return token & MAX_TOKEN_BUMPS
