"""What a worker reports of a task attempt: its phase, and why it has ended."""

from __future__ import annotations

import enum

from ryewing.units import Attempt, TaskId

ReportedKey = tuple[str, int]
"""What a worker's heartbeat names an attempt by: the task id as text, and the attempt."""


class TaskPhase(enum.StrEnum):
    """Where a task attempt is: what the leader has decided, then what the worker reports.

    The values from `FETCHING` on are the protocol's task states (PROTOCOL, "POST /v1/report").
    """

    PLANNED = "planned"
    """The scheduler chose a machine; nothing was sent yet."""
    SENT = "sent"
    """The start rode in a response; no heartbeat has shown the attempt yet."""
    FETCHING = "fetching"
    """Waiting for its image."""
    GATHERING = "gathering"
    """Waiting for the other members of its gang."""
    RUNNING = "running"
    SAVING = "saving"
    """Halted with a grace period, and saving its progress."""
    ENDED = "ended"


LIVE_PHASES = frozenset(
    (TaskPhase.FETCHING, TaskPhase.GATHERING, TaskPhase.RUNNING, TaskPhase.SAVING)
)
"""The phases that a worker reports of an attempt which is on its machine."""


class EndCause(enum.StrEnum):
    """Why an attempt has ended, or its start was refused (`why` in PROTOCOL, "POST /v1/report").

    A worker of a later version may report others, so they are compared as text, never converted.
    """

    DONE = "done"
    """It has completed; the worker keeps the result."""
    ERROR = "error"
    """It failed, mostly by the fault of the machine."""
    NO_ROOM = "no_room"
    """Start refused: not enough free resources on the machine."""
    IN_USE = "in_use"
    """Start refused: the task is on the machine with another attempt."""
    UNKNOWN = "unknown"
    """Start refused: the worker does not know the job or the task."""


REFUSALS = frozenset((EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN))
"""Why a worker refuses a start."""


class EndedAttempt:
    """An ended attempt that the worker reports until it is told to clear it."""

    __slots__ = ("attempt", "done", "task")

    def __init__(self, task: TaskId, attempt: Attempt, done: bool) -> None:
        self.task = task
        self.attempt = attempt
        self.done = done
        """Whether its task has finished; always false for a replica."""
