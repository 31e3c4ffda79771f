"""Handles heartbeats: decides whether to answer, applies the report and composes the commands.

Safety arguments 3 (every machine that may hold tasks is known) and 5 (starts are sent only in
responses to heartbeats) of docs/design.md depend on this module. Nothing here blocks.
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
    MachineId,
    MonotonicTime,
    Zone,
    fencing_token,
    monotonic_now,
    term_of_token,
)
from ryewing.wire.workers import START, Command, Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

STALE_HEARTBEAT_AFTER_S = 4.5
"""An older heartbeat that arrives this long after the newest one gets no response: a worker waits
only 4 s for a response, so the message is a late copy."""


class HeartbeatHandler:
    """Answers the heartbeats of one term."""

    def __init__(self, term: TermContext, writer: StateWriter, effects: HeartbeatEffects) -> None:
        self._term = term
        self._writer = writer
        self._effects = effects

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the response to a heartbeat, or None if this node must not answer 200 now."""
        now = monotonic_now()
        machine_id = MachineId(heartbeat.machine)
        if not self._may_answer(heartbeat, now) or machine_id in self._term.released_machines:
            return None
        machine = self._term.cluster.machines.get(machine_id)
        if machine is None:
            if term_of_token(heartbeat.token) != self._term.number:
                # An unknown machine holds no task, because machines are recorded before their
                # first start. Either it is new or the message is an old copy. Only the worker
                # itself can return the token of this term, which this response carries. Without
                # this check, copies of old heartbeats made a new leader record machines that no
                # longer existed, and jobs waited for the leases of those machines to expire.
                return HeartbeatResponse(int(fencing_token(self._term.number)), [])
            machine = self._add_unexpected_machine(heartbeat, machine_id, now)
        return self._respond(machine, heartbeat, now)

    def _may_answer(self, heartbeat: Heartbeat, now: MonotonicTime) -> bool:
        """Return whether this term may answer the worker; end the term if a later one exists."""
        if term_of_token(heartbeat.token) > self._term.number:
            # The worker has seen a later leader's token. It would ignore a 200 from this node but
            # keep sending its heartbeats here until its lease expires.
            self._term.end(TermEndReason.LATER_TOKEN)
            return False
        if (
            self._term.stopped
            or not self._term.state_loaded.is_set()
            or not self._term.lease_validity.may_answer_workers(now)
        ):
            return False
        # Only the leader of a shard counts and commands its machines. If two leaders tracked the
        # same machine, both would place tasks on it.
        return self._term.scope.covers(heartbeat.zone)

    def _add_unexpected_machine(
        self, heartbeat: Heartbeat, machine_id: MachineId, now: MonotonicTime
    ) -> Machine:
        """Add a machine that shows this term's token but was neither recorded nor rented by it."""
        machine = self._term.cluster.add(
            machine_id,
            self._term.machine_type(heartbeat.machine_type),
            Zone(heartbeat.zone),
            heartbeat.spot,
            now,
        )
        log.info(
            "event=unexpected-machine machine=%s machine_type=%s",
            machine_id,
            heartbeat.machine_type,
        )
        return machine

    def _respond(
        self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime
    ) -> HeartbeatResponse | None:
        """Apply a known machine's heartbeat and return the response.

        Return None for a message that is probably an old copy, because the copy must not renew a
        lease.
        """
        new_address = bool(heartbeat.address) and machine.address != heartbeat.address
        fresh = self._term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=True)
        if not fresh:
            self._raise_token_of_restarted(machine, heartbeat)
            if machine.heard_at is not None and now - machine.heard_at > STALE_HEARTBEAT_AFTER_S:
                # No worker that continues waits for this response; a restarted one is probed.
                machine.probe_requested = True
                return None
        if not machine.recorded or (fresh and new_address):
            self._writer.record_machine(machine.id)
            self._term.writes_needed.set()
        if fresh:
            self._effects.apply(machine, now)
        self._term.cluster.extend_lease(machine, now)
        commands = self._compose_commands(machine, fresh, now)
        return HeartbeatResponse(int(self._term.cluster.token(machine)), commands)

    def _raise_token_of_restarted(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Raise the token of a machine if an old message may come from its restarted worker.

        A restarted worker must not get a token that an earlier process of it has shown: late copies
        from that process would count as newer than its own messages, and a task that runs would be
        dropped and started a second time. A copy from before the worker had a token does no harm.
        """
        has_token = term_of_token(heartbeat.token) == self._term.number
        if machine.acknowledged_term and not has_token:
            self._term.cluster.raise_token(machine)

    def _compose_commands(self, machine: Machine, fresh: bool, now: MonotonicTime) -> list[Command]:
        """Return the commands of a response, and mark the tasks that it starts as sent.

        Starts are sent only in the response to a new heartbeat, only while the leader's lease is
        valid, and only to a machine that is recorded, has acknowledged its token and is neither
        being released nor under notice from the cloud.
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
        for assignment in machine.assignments.values():
            if assignment.phase != TaskPhase.PLANNED or len(commands) >= MAX_COMMANDS:
                continue
            if assignment.job is None or assignment.job.cancelled:
                continue
            assignment.phase = TaskPhase.SENT
            assignment.sent_after = machine.version
            commands.append(Command(START, str(assignment.task), int(assignment.attempt)))
        return commands
