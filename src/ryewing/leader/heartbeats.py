"""Answers heartbeats: whether this leader may answer, what the heartbeat shows, which commands.

Safety arguments 3 (a machine that may hold tasks is known) and 5 (starts ride only in responses to
heartbeats) of docs/design.md rest on this module. Nothing here waits.
"""

from __future__ import annotations

import logging

from ryewing.leader.commands import MAX_COMMANDS, repeatable_commands
from ryewing.leader.heartbeat_effects import HeartbeatEffects
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Machine
from ryewing.units import (
    HeartbeatVersion,
    MachineId,
    MonotonicTime,
    Zone,
    fencing_token,
    monotonic_now,
    term_of_token,
)
from ryewing.wire.workers import START, Command, Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

RESPONSE_EXPECTED_S = 4.5
"""A worker waits 4 s for the response to a heartbeat: this long after a newer message was received,
no worker waits for the response to an older one."""


class HeartbeatHandler:
    """Answers the heartbeats of one term."""

    def __init__(self, term: TermContext, writer: StateWriter, effects: HeartbeatEffects) -> None:
        self._term = term
        self._writer = writer
        self._effects = effects

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the response to a heartbeat, or None if this node must not answer 200 now."""
        now = monotonic_now()
        name = MachineId(heartbeat.machine)
        if not self._may_answer(heartbeat, now) or name in self._term.released_machines:
            return None
        machine = self._term.cluster.machines.get(name)
        if machine is None:
            if term_of_token(heartbeat.token) != self._term.number:
                # Nobody knows it, so it holds nothing (it is recorded before its first start): it
                # is new, or the message is an old one sent in its name. Only the worker itself can
                # show our token, which comes with this response. Found with copies of heartbeats
                # that reached a new leader: machines long gone were recorded, and kept jobs waiting
                # for a lease.
                return HeartbeatResponse(int(fencing_token(self._term.number)), [])
            machine = self._add_unexpected(heartbeat, name, now)
        return self._respond(machine, heartbeat, now)

    def _may_answer(self, heartbeat: Heartbeat, now: MonotonicTime) -> bool:
        """Return whether this term may answer the worker; end the term if it is superseded."""
        if term_of_token(heartbeat.token) > self._term.number:
            # The worker has seen a later leader: it would drop a 200 from here, yet it would keep
            # sending to this node while its lease expires.
            self._term.end(TermEndReason.LATER_TOKEN)
            return False
        if (
            self._term.stopped
            or not self._term.state_loaded.is_set()
            or not self._term.lease_validity.may_answer_workers(now)
        ):
            return False
        # A shard's machines are counted and commanded by its own leader alone: if two leaders took
        # one up, both would place tasks on it.
        return self._term.scope.covers(heartbeat.zone)

    def _add_unexpected(self, heartbeat: Heartbeat, name: MachineId, now: MonotonicTime) -> Machine:
        """Add a machine that shows this term's token but was neither recorded nor rented here."""
        machine = self._term.cluster.add(
            name,
            self._term.machine_type(heartbeat.machine_type),
            Zone(heartbeat.zone),
            heartbeat.spot,
            now,
        )
        log.info(
            "event=unexpected-machine machine=%s machine_type=%s", name, heartbeat.machine_type
        )
        return machine

    def _respond(
        self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime
    ) -> HeartbeatResponse | None:
        """Apply a known machine's heartbeat and compose the response.

        Return None for an old copy: nobody waits for its response, and it must renew no lease.
        """
        new_address = bool(heartbeat.address) and machine.address != heartbeat.address
        fresh = self._term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=True)
        if (
            not fresh
            and machine.heard_at is not None
            and now - machine.heard_at > RESPONSE_EXPECTED_S
        ):
            return None
        if not machine.recorded or new_address:
            self._writer.record_machine(machine.id)
            self._term.writes_needed.set()
        if fresh:
            self._effects.apply(machine, now)
        self._term.cluster.extend_lease(machine, now)
        commands = self._compose(machine, heartbeat, fresh, now)
        return HeartbeatResponse(int(self._term.cluster.token(machine)), commands)

    def _compose(
        self, machine: Machine, heartbeat: Heartbeat, fresh: bool, now: MonotonicTime
    ) -> list[Command]:
        """Return the response's commands; mark the tasks whose starts are among them as sent.

        Starts go only to a machine that is recorded, acknowledges its token and is not leaving, in
        the response to a new heartbeat, while the lease is valid.
        """
        commands = repeatable_commands(self._term, machine, now)
        if not fresh or not machine.acknowledges or not machine.recorded:
            return commands
        if (
            machine.notice_s is not None
            or machine.being_released
            or not self._term.may_start_operations()
        ):
            return commands
        version = HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence)
        for assignment in machine.assignments.values():
            if assignment.phase != TaskPhase.PLANNED or len(commands) >= MAX_COMMANDS:
                continue
            if assignment.job is None or assignment.job.cancelled:
                continue
            assignment.phase = TaskPhase.SENT
            assignment.sent_after = version
            commands.append(Command(START, str(assignment.task), int(assignment.attempt)))
        return commands
