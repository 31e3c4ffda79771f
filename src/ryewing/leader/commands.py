"""Composes the commands for one machine: halts, clears and, in heartbeat responses only, starts.

Halts and clears may be repeated and may arrive late, so they are sent both in heartbeat responses
and in direct messages. A start is sent once, in the response to a new heartbeat.
"""

from __future__ import annotations

from ryewing.leader.term_context import TermContext
from ryewing.state.machine import Machine, TaskPhase
from ryewing.units import HeartbeatVersion, MonotonicTime
from ryewing.wire.workers import Command

MAX_COMMANDS = 500
"""The most commands in one message: keeps its line within 64 KiB."""


def clear_commands(term: TermContext, machine: Machine) -> list[Command]:
    """Return the clears of ended attempts; a finished task is cleared only once it is recorded."""
    commands = []
    for ended in machine.ended.values():
        if ended.done:
            job = term.job_table.get(ended.task.job)
            if job is not None and ended.task.number in job.unwritten:
                continue
        commands.append(Command("clear", str(ended.task), int(ended.attempt)))
    return commands


def repeatable_commands(term: TermContext, machine: Machine, now: MonotonicTime) -> list[Command]:
    """Return the commands that may be repeated and may arrive late: halts and clears.

    Halts come first: clearing an ended task can wait, halting a cancelled one can't.
    """
    return [*term.terminations.commands(machine.id, now), *clear_commands(term, machine)][
        :MAX_COMMANDS
    ]


def add_starts(
    term: TermContext, machine: Machine, version: HeartbeatVersion, commands: list[Command]
) -> None:
    """Append a start for each task planned on the machine, and mark those tasks as sent.

    `version` is that of the heartbeat that is being answered.
    """
    for assignment in machine.assignments.values():
        if assignment.phase != TaskPhase.PLANNED or len(commands) >= MAX_COMMANDS:
            continue
        if assignment.job is None or assignment.job.cancelled:
            continue
        assignment.phase = TaskPhase.SENT
        assignment.sent_after = version
        commands.append(Command("start", str(assignment.task), int(assignment.attempt)))
