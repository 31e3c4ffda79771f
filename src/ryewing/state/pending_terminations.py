"""Pending terminations: stops of tasks, resent until the worker no longer reports the attempt.

They are the tombstones of the paper (section 4.3). Each one identifies an attempt on a machine, so
a delayed copy of the command can't stop a later attempt of the same task (safety argument 6 in
docs/design.md). Nothing in this module blocks or reads a clock; callers pass the time.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

from ryewing.units import Attempt, MachineId, MonotonicTime, TaskId
from ryewing.wire.workers import HALT, Command

RESEND_S = 1.0
"""The interval in seconds at which a stop is resent."""


class TerminationReason(enum.StrEnum):
    """Why a task is stopped; used in the log."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    DRAIN = "drain"
    """The cloud is about to reclaim the task's machine."""
    GANG_BROKEN = "gang-broken"
    """The task's gang lost a member after the start."""
    UNWANTED = "unwanted"
    """The task's job has ended or is unknown."""
    MOVED = "moved"
    """The replica is to run on another machine."""


class PendingTermination:
    """The pending stop of an attempt on a machine."""

    __slots__ = ("attempt", "grace_s", "machine", "sent_at", "task")

    def __init__(self, machine: MachineId, task: TaskId, attempt: Attempt, grace_s: float) -> None:
        self.machine = machine
        self.task = task
        self.attempt = attempt
        self.grace_s = grace_s
        """The time in seconds that the task has to save its progress."""
        self.sent_at: MonotonicTime | None = None
        """When the stop was last sent; None if it was not sent yet with this grace period."""

    def command(self) -> Command:
        """Return the stop as a command for the worker."""
        return Command(HALT, str(self.task), int(self.attempt), self.grace_s)


class PendingTerminations:
    """All pending terminations, by machine."""

    def __init__(self) -> None:
        self._by_machine: dict[MachineId, dict[tuple[TaskId, Attempt], PendingTermination]] = {}
        """A machine without pending terminations has no entry."""

    def add(self, termination: PendingTermination) -> bool:
        """Add the stop of an attempt; return whether there is a new command to send.

        If the attempt is already being stopped, the grace period can only become shorter.
        """
        terminations = self._by_machine.setdefault(termination.machine, {})
        key = (termination.task, termination.attempt)
        pending = terminations.get(key)
        if pending is None:
            terminations[key] = termination
            return True
        if termination.grace_s < pending.grace_s:
            pending.grace_s = termination.grace_s
            pending.sent_at = None
            return True
        return False

    def has(self, machine: MachineId, task: TaskId, attempt: Attempt) -> bool:
        """Return whether this attempt is being stopped."""
        return (task, attempt) in self._by_machine.get(machine, ())

    def has_any_on(self, machine: MachineId) -> bool:
        """Return whether any attempt on a machine is being stopped."""
        return machine in self._by_machine

    def remove(self, machine: MachineId, task: TaskId, attempt: Attempt) -> None:
        """Remove the stop of an attempt that the worker no longer has."""
        terminations = self._by_machine.get(machine)
        if terminations is not None:
            terminations.pop((task, attempt), None)
            if not terminations:
                del self._by_machine[machine]

    def remove_machine(self, machine: MachineId) -> None:
        """Remove all stops on a machine that no longer has any tasks."""
        self._by_machine.pop(machine, None)

    def commands(self, machine: MachineId, now: MonotonicTime) -> list[Command]:
        """Return the commands for all stops on a machine, and record that they are sent now."""
        terminations = self._by_machine.get(machine)
        if not terminations:
            return []
        for termination in terminations.values():
            termination.sent_at = now
        return [termination.command() for termination in terminations.values()]

    def due(self, now: MonotonicTime) -> Iterator[MachineId]:
        """Yield the machines to which stops have to be sent or resent by a direct message."""
        for machine, terminations in self._by_machine.items():
            if any(
                termination.sent_at is None or now - termination.sent_at >= RESEND_S
                for termination in terminations.values()
            ):
                yield machine
