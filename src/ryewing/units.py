"""Ids, versions and times as small types of their own.

Mixing up a monotonic time with a time of day, or a term with a stamp, is the kind of
mistake that only shows during a failure; the type checker finds it before that.
"""

from __future__ import annotations

import re
from time import monotonic, time
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
TeamName = NewType("TeamName", str)
NodeName = NewType("NodeName", str)
ShardName = NewType("ShardName", str)
Zone = NewType("Zone", str)

TermNumber = NewType("TermNumber", int)
"""Who may command: raised by every new leader."""
FencingToken = NewType("FencingToken", int)
"""What workers compare: the term, and below it a count of raises for this worker."""
KeyVersion = NewType("KeyVersion", int)
"""The state service's version of one key; 0 says that the key does not exist."""
Revision = NewType("Revision", int)
"""The state service's change counter."""
Attempt = NewType("Attempt", int)

MonotonicTime = NewType("MonotonicTime", float)
"""A reading of this process's monotonic clock: for deadlines and leases."""
WallTime = NewType("WallTime", float)
"""A time of day: for ages that must outlive a process; off by up to the settings' bound."""

DRIFT = 0.001
"""Twice the 0.05% by which two machines' monotonic clocks may drift apart."""

_JOB_ID = re.compile(r"run-[0-9]{1,18}")
_ATTEMPT_BITS = 24
MAX_ATTEMPTS = (1 << _ATTEMPT_BITS) - 1
"""Attempts that one term can give out: at a thousand starts a second, for four hours."""
_TOKEN_BUMP_BITS = 20
MAX_TOKEN_BUMPS = (1 << _TOKEN_BUMP_BITS) - 1


class TaskId(NamedTuple):
    """One task: its job and its number in it."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


class HeartbeatVersion(NamedTuple):
    """Orders a worker's messages: the larger one is the newer one."""

    incarnation: int
    sequence: int


NEVER_HEARD = HeartbeatVersion(0, 0)


def monotonic_now() -> MonotonicTime:
    """Read the monotonic clock."""
    return MonotonicTime(monotonic())


def wall_now() -> WallTime:
    """Read the time of day."""
    return WallTime(time())


def is_job_id(text: object) -> bool:
    """Tell whether this is a job id in the form that users always use."""
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


def parse_task(text: str) -> TaskId | None:
    """Read `run-000412/3`; None if it is nothing of the kind."""
    job, slash, index = text.partition("/")
    if not slash or not index.isdecimal() or not is_job_id(job):
        return None
    return TaskId(JobId(job), int(index))


def attempt_of(term: TermNumber, counter: int) -> Attempt:
    """Derive an attempt number that no other term can give out."""
    if not 0 <= counter <= MAX_ATTEMPTS:
        raise ValueError(f"attempt {counter} would be another term's")
    return Attempt((int(term) << _ATTEMPT_BITS) | counter)


def fencing_token(term: TermNumber, token_bumps: int = 0) -> FencingToken:
    """Make a token: any of a later term is higher than all of an earlier one."""
    return FencingToken((int(term) << _TOKEN_BUMP_BITS) | min(token_bumps, MAX_TOKEN_BUMPS))


def term_of_token(token: int) -> TermNumber:
    """Tell whose token it is."""
    return TermNumber(token >> _TOKEN_BUMP_BITS)


def bumps_of_token(token: int) -> int:
    """Tell how often the worker was nudged under the token's term."""
    return token & MAX_TOKEN_BUMPS
