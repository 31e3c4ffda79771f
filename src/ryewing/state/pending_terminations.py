"""Stops of tasks as pending terminations: kept and resent until the worker reports the task gone.

They are the tombstones of the paper (section 4.3). Each names one attempt on one machine, so that a
late copy of it can't stop a later start of the same task (safety argument 6 in docs/design.md).
Nothing here waits; the clock is passed in.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

from ryewing.units import Attempt, MachineId, MonotonicTime, TaskId
from ryewing.wire.workers import HALT, Command

RESEND_S = 1.0
"""How long after it was last sent a stop is sent again."""


class TerminationReason(enum.StrEnum):
    """Why a task is stopped; for the log."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    DRAIN = "drain"
    """The cloud is about to take its machine back."""
    GANG_BROKEN = "gang-broken"
    """Its gang has lost a member after it started."""
    UNWANTED = "unwanted"
    """Its job has ended, or is not known."""
    MOVED = "moved"
    """A replica that is to run elsewhere."""


class PendingTermination:
    """The stop of one attempt on one machine."""

    __slots__ = ("attempt", "grace_s", "machine", "sent_at", "task")

    def __init__(self, machine: MachineId, task: TaskId, attempt: Attempt, grace_s: float) -> None:
        self.machine = machine
        self.task = task
        self.attempt = attempt
        self.grace_s = grace_s
        """The time that the task has to save its progress."""
        self.sent_at: MonotonicTime | None = None
        """When it was last sent; None if it was not sent yet with this grace period."""

    def command(self) -> Command:
        """Return the command to the worker that carries this stop."""
        return Command(HALT, str(self.task), int(self.attempt), self.grace_s)


class PendingTerminations:
    """All pending terminations, by machine."""

    def __init__(self) -> None:
        self._by_machine: dict[MachineId, dict[tuple[TaskId, Attempt], PendingTermination]] = {}
        """A machine without pending terminations has no entry."""

    def add(self, termination: PendingTermination) -> bool:
        """Add the stop of an attempt; return whether that changes anything.

        If the attempt is being stopped already, the grace period can only become shorter.
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
        """Return whether anything on a machine is being stopped."""
        return machine in self._by_machine

    def remove(self, machine: MachineId, task: TaskId, attempt: Attempt) -> None:
        """Forget the stop of an attempt that the worker no longer has."""
        terminations = self._by_machine.get(machine)
        if terminations is not None:
            terminations.pop((task, attempt), None)
            if not terminations:
                del self._by_machine[machine]

    def remove_machine(self, machine: MachineId) -> None:
        """Forget all stops on a machine that has no tasks any more."""
        self._by_machine.pop(machine, None)

    def commands(self, machine: MachineId, now: MonotonicTime) -> list[Command]:
        """Return the commands for all stops on a machine, and note that they are sent now."""
        terminations = self._by_machine.get(machine)
        if not terminations:
            return []
        for termination in terminations.values():
            termination.sent_at = now
        return [termination.command() for termination in terminations.values()]

    def due(self, now: MonotonicTime) -> Iterator[MachineId]:
        """Yield the machines to which stops have to be sent, or sent again, by a direct message."""
        for machine, terminations in self._by_machine.items():
            if any(
                termination.sent_at is None or now - termination.sent_at >= RESEND_S
                for termination in terminations.values()
            ):
                yield machine
