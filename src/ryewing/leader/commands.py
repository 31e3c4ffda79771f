"""The commands that may be repeated and may arrive late: halts and clears.

They are sent both in heartbeat responses and in direct messages. Starts are composed elsewhere, in
`heartbeats`, since they are sent once only, in the response to a new heartbeat.
"""

from __future__ import annotations

from ryewing.leader.term_context import TermContext
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime
from ryewing.wire.workers import CLEAR, Command

MAX_COMMANDS = 500
"""The most commands in one message: keeps its line within 64 KiB."""


def clear_commands(term: TermContext, machine: Machine) -> list[Command]:
    """Return the clears of ended attempts; a finished task is cleared only once it is recorded."""
    commands = []
    for ended in machine.ended_attempts.values():
        if ended.done:
            job = term.job_table.get(ended.task.job)
            if job is not None and ended.task.number in job.unwritten:
                continue
        commands.append(Command(CLEAR, str(ended.task), int(ended.attempt)))
    return commands


def repeatable_commands(term: TermContext, machine: Machine, now: MonotonicTime) -> list[Command]:
    """Return the machine's halts and clears, at most `MAX_COMMANDS`.

    Halts come first: clearing an ended task can wait, halting a cancelled one can't.
    """
    return [*term.terminations.commands(machine.id, now), *clear_commands(term, machine)][
        :MAX_COMMANDS
    ]
