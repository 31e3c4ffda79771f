"""The phases of a task attempt and the causes of its end, as workers report them."""

from __future__ import annotations

import enum

from ryewing.units import Attempt, TaskId

ReportedAttemptKey = tuple[str, int]
"""The key of an attempt in a heartbeat: the task id as text and the attempt number."""


class TaskPhase(enum.StrEnum):
    """The phase of a task attempt, set by the leader at first and by the worker's reports later.

    The values from `FETCHING` on are the task states of the protocol (PROTOCOL, "POST /v1/report").
    """

    PLANNED = "planned"
    """The scheduler has chosen a machine; the start was not sent yet."""
    SENT = "sent"
    """The start was sent in a response; no heartbeat has shown the attempt yet."""
    FETCHING = "fetching"
    """Waiting for its image."""
    GATHERING = "gathering"
    """Waiting for the other members of its gang."""
    RUNNING = "running"
    SAVING = "saving"
    """Stopped with a grace period, and saving its progress."""
    ENDED = "ended"


LIVE_PHASES = frozenset(
    (TaskPhase.FETCHING, TaskPhase.GATHERING, TaskPhase.RUNNING, TaskPhase.SAVING)
)
"""The phases that a worker reports for an attempt that is on its machine."""


class EndCause(enum.StrEnum):
    """Why an attempt has ended or its start was refused (`why` in PROTOCOL, "POST /v1/report").

    Workers of later versions may report other causes, so the causes in reports are compared as text
    and never converted to this enum.
    """

    DONE = "done"
    """The task has completed; the worker keeps the result."""
    ERROR = "error"
    """The task failed, in most cases because of the machine."""
    NO_ROOM = "no_room"
    """Start refused: the machine has not enough free resources."""
    IN_USE = "in_use"
    """Start refused: another attempt of the task is on the machine."""
    UNKNOWN = "unknown"
    """Start refused: the worker does not know the job or the task."""


REFUSALS = frozenset((EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN))
"""The causes for which a worker refuses a start."""


class EndedAttempt:
    """An ended attempt, which the worker reports until the leader commands it to clear it."""

    __slots__ = ("attempt", "done", "task")

    def __init__(self, task: TaskId, attempt: Attempt, done: bool) -> None:
        self.task = task
        self.attempt = attempt
        self.done = done
        """Whether the task has finished; always false for a replica."""
