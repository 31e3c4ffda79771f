"""What a worker reports of a task attempt: its phase, and whether it ended well."""

from __future__ import annotations

import enum

from ryewing.units import Attempt, TaskId


class TaskPhase(enum.StrEnum):
    """Where a task attempt is: what the leader has decided, then what the worker reports.

    The values from `FETCHING` on are the protocol's `status` (PROTOCOL, "POST /v1/report").
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


class EndedAttempt:
    """An ended attempt that the worker reports until it is told to clear it."""

    __slots__ = ("attempt", "done", "task")

    def __init__(self, task: TaskId, attempt: Attempt, done: bool) -> None:
        self.task = task
        self.attempt = attempt
        self.done = done
        """Whether its task has finished; always false for a replica."""
