"""Stops as pending terminations: kept and resent until the worker reports the task gone.

Pure: the clock is passed in. A pending termination names one attempt on one machine, so that
however late a copy of it arrives, it can't hit a later start of the same task.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

from ryewing.units import Attempt, MachineId, MonotonicTime, TaskId
from ryewing.wire.workers import Command

RESEND_S = 1.0


class TerminationReason(enum.StrEnum):
    """Why a task is stopped."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    DRAIN = "drain"
    GANG_BROKEN = "gang-broken"
    UNWANTED = "unwanted"
    """Its job has ended, or is not known."""
    MOVED = "moved"
    """A replica that is to run elsewhere."""


class PendingTermination:
    """One stop that is under way."""

    __slots__ = ("attempt", "created_at", "grace_s", "machine", "reason", "sent_at", "task")

    def __init__(
        self,
        machine: MachineId,
        task: TaskId,
        attempt: Attempt,
        grace_s: float,
        reason: TerminationReason,
        now: MonotonicTime,
    ) -> None:
        self.machine = machine
        self.task = task
        self.attempt = attempt
        self.grace_s = grace_s
        self.reason = reason
        self.created_at = now
        self.sent_at: MonotonicTime | None = None

    def command(self) -> Command:
        """Give the command that carries this stop."""
        return Command("halt", str(self.task), int(self.attempt), self.grace_s)


class PendingTerminations:
    """All pending terminations, by machine."""

    def __init__(self) -> None:
        self._by_machine: dict[MachineId, dict[tuple[TaskId, Attempt], PendingTermination]] = {}

    def add(
        self,
        machine: MachineId,
        task: TaskId,
        attempt: Attempt,
        grace_s: float,
        reason: TerminationReason,
        now: MonotonicTime,
    ) -> bool:
        """Ask for a stop; a later ask can only shorten the grace period. True if it is news."""
        terminations = self._by_machine.setdefault(machine, {})
        old = terminations.get((task, attempt))
        if old is None:
            terminations[task, attempt] = PendingTermination(
                machine, task, attempt, grace_s, reason, now
            )
            return True
        if grace_s < old.grace_s:
            old.grace_s = grace_s
            old.sent_at = None
            return True
        return False

    def has(self, machine: MachineId, task: TaskId, attempt: Attempt) -> bool:
        """Tell whether this attempt is being stopped."""
        return (task, attempt) in self._by_machine.get(machine, ())

    def any_on(self, machine: MachineId) -> bool:
        """Tell whether anything on a machine is being stopped."""
        return machine in self._by_machine

    def gone(self, machine: MachineId, task: TaskId, attempt: Attempt) -> None:
        """The worker no longer has the attempt: the pending termination has done its work."""
        terminations = self._by_machine.get(machine)
        if terminations is not None:
            terminations.pop((task, attempt), None)
            if not terminations:
                del self._by_machine[machine]

    def machine_gone(self, machine: MachineId) -> None:
        """Nothing is on the machine any more."""
        self._by_machine.pop(machine, None)

    def commands(self, machine: MachineId, now: MonotonicTime) -> list[Command]:
        """Give every stop of a machine, for a heartbeat response."""
        terminations = self._by_machine.get(machine)
        if not terminations:
            return []
        for termination in terminations.values():
            termination.sent_at = now
        return [termination.command() for termination in terminations.values()]

    def due(self, now: MonotonicTime) -> Iterator[MachineId]:
        """Name the machines to which stops have to be (re)sent directly."""
        for machine, terminations in self._by_machine.items():
            if any(s.sent_at is None or now - s.sent_at >= RESEND_S for s in terminations.values()):
                yield machine
