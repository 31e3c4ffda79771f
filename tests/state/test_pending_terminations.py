"""Pending terminations."""

from __future__ import annotations

from support.placement_world import T0

from ryewing.state.pending_terminations import RESEND_S, PendingTermination, PendingTerminations
from ryewing.units import Attempt, JobId, MachineId, MonotonicTime, TaskId


def test_pending_terminations_are_resent_until_gone() -> None:
    terminations = PendingTerminations()
    machine, task, attempt = MachineId("i-1"), TaskId(JobId("run-1"), 0), Attempt(7)
    assert terminations.add(PendingTermination(machine, task, attempt, 5.0))
    # The grace period only gets shorter.
    assert not terminations.add(PendingTermination(machine, task, attempt, 9.0))
    assert list(terminations.due(T0)) == [machine]
    assert [command.grace_s for command in terminations.commands(machine, T0)] == [5.0]
    assert list(terminations.due(T0)) == []
    assert list(terminations.due(MonotonicTime(T0 + RESEND_S))) == [machine]
    assert terminations.add(PendingTermination(machine, task, attempt, 0.0))
    assert list(terminations.due(T0)) == [machine]
    terminations.remove(machine, task, Attempt(8))  # another attempt
    assert terminations.has(machine, task, attempt)
    terminations.remove(machine, task, attempt)
    assert not terminations.commands(machine, T0)
