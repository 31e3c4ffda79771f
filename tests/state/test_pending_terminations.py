"""Tombstones."""

from __future__ import annotations

from support.placement_world import T0

from ryewing.state.pending_terminations import RESEND_S, PendingTerminations, TerminationReason
from ryewing.units import Attempt, JobId, MachineId, MonotonicTime, TaskId


def test_tombstones_are_resent_until_gone() -> None:
    stops = PendingTerminations()
    machine, task, attempt = MachineId("i-1"), TaskId(JobId("run-1"), 0), Attempt(7)
    assert stops.add(machine, task, attempt, 5.0, TerminationReason.DRAIN, T0)
    assert not stops.add(
        machine, task, attempt, 9.0, TerminationReason.DRAIN, T0
    )  # mercy only shrinks
    assert list(stops.due(T0)) == [machine]
    assert [command.grace_s for command in stops.commands(machine, T0)] == [5.0]
    assert list(stops.due(T0)) == []
    assert list(stops.due(MonotonicTime(T0 + RESEND_S))) == [machine]
    assert stops.add(machine, task, attempt, 0.0, TerminationReason.CANCELLED, T0)
    assert list(stops.due(T0)) == [machine]
    stops.gone(machine, task, Attempt(8))  # another attempt
    assert stops.has(machine, task, attempt)
    stops.gone(machine, task, attempt)
    assert not stops.commands(machine, T0)
