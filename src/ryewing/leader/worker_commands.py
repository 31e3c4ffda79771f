"""What passes between the leader and the workers: heartbeats, answers, direct commands.

Starts ride only in the answers to heartbeats. Halts and clears ride there too, and are sent
directly when that brings them sooner.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict

from gevent.pool import Group

from ryewing.clients.token_bucket import TokenBucket
from ryewing.clients.workers import Workers, WorkerUnavailableError
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Assignment, Machine
from ryewing.state.pending_terminations import PendingTermination, TerminationReason
from ryewing.units import (
    MAX_TOKEN_BUMPS,
    HeartbeatVersion,
    MachineId,
    MonotonicTime,
    Zone,
    fencing_token,
    monotonic_now,
    term_of_token,
)
from ryewing.wire.workers import Command, Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

MAX_COMMANDS = 500
"""Commands in one response: keeps its line within 64 KiB."""
MAX_SENDS_IN_FLIGHT = 24
SENDS_SHARE = 0.02
"""Direct exchanges under way at once: so many, or this part of the sockets if that is more. A
silent machine takes one for two seconds, and where a zone is lost there are thousands."""
TOKEN_BUMP_EVERY = 0.51
"""Leases between two raises of a worker's token: it reports one in half a lease."""
UNWAITED_S = 4.5
"""A worker waits 4 s for the answer to a heartbeat; so long after a newer message none does."""
EARLY_HEARTBEAT_WITHIN = 0.7
"""Heartbeat intervals since the last heartbeat after which hastening the next is not worth it."""
EARLY_HEARTBEATS_PER_CORE = 60.0
"""Messages a second and core that only make starts a little sooner: a tenth of the core."""
MIN_HEARTBEAT_GAP_S = 0.5
"""The least time between two heartbeats of a worker."""
QUARANTINE_FAULTS = 2
"""Healthy jobs that may fail on a machine, none finishing there since, before it is set aside."""
PROBE_AFTER = 1.6
"""Heartbeat intervals after which a silent machine is asked directly."""


def max_sends_in_flight(sockets: int) -> int:
    """Bound the direct exchanges under way by the sockets that there are."""
    return max(MAX_SENDS_IN_FLIGHT, int(SENDS_SHARE * sockets))


class WorkerCommands:
    """Owns the exchanges with workers that are under way."""

    def __init__(self, term: TermContext, writer: StateWriter) -> None:
        self.term = term
        self.writer = writer
        sockets = int(term.scope.share * term.settings.params.resources.fd_limit)
        self.workers = Workers(sockets)
        # Not a bounded pool: its spawn waits when it is full, and a decision under way must not
        # be interrupted.
        self._senders = Group()
        self._max_sends_in_flight = max_sends_in_flight(sockets)
        self._sending: set[MachineId] = set()
        self._stops_waiting: OrderedDict[MachineId, Machine] = OrderedDict()
        """Machines to be sent something when it is their turn: those with tasks to stop."""
        self._others_waiting: OrderedDict[MachineId, Machine] = OrderedDict()
        self._others_turn = False
        """The lines take turns: neither waits for the other's silent machines."""
        core_share = term.scope.share * term.settings.params.resources.core_share
        rate = EARLY_HEARTBEATS_PER_CORE * core_share
        self._early_heartbeat_bucket = TokenBucket(rate, rate)

    def stop(self) -> None:
        """End the exchanges under way."""
        self._senders.kill(block=False)

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker, or None if this node must not answer 200 now."""
        now = monotonic_now()
        if term_of_token(heartbeat.token) > self.term.number:
            # A worker has seen a later leader: a 200 from here would be dropped, and would
            # keep the worker here while its lease expires.
            self.term.end("overruled")
            return None
        if (
            self.term.stopped
            or not self.term.state_loaded.is_set()
            or not self.term.lease_validity.may_answer_workers(now)
        ):
            return None
        if not self.term.scope.covers(heartbeat.zone):
            # A shard's machines are counted and commanded by its own leader alone: two leaders
            # that took one up would both place tasks on it.
            return None
        name = MachineId(heartbeat.machine)
        if name in self.term.released:
            return None
        machine = self.term.cluster.machines.get(name)
        if machine is None:
            if term_of_token(heartbeat.token) != self.term.number:
                # Nobody knows it, so it holds nothing (it is recorded before its first start): it
                # is new, or what comes in its name is old. Only the worker itself can show our
                # token, which comes with this answer. Found with copies of heartbeats that reached
                # a new leader: machines long gone were recorded, and kept jobs waiting for a lease.
                return HeartbeatResponse(int(fencing_token(self.term.number)), [])
            machine = self.term.cluster.add(
                name,
                self.term.machine_type(heartbeat.machine_type),
                Zone(heartbeat.zone),
                heartbeat.spot,
                now,
            )
            log.info(
                "event=unexpected-machine machine=%s machine_type=%s", name, heartbeat.machine_type
            )
        new_address = bool(heartbeat.address) and machine.address != heartbeat.address
        fresh = self.term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=True)
        if not fresh and machine.heard_at is not None and now - machine.heard_at > UNWAITED_S:
            # A copy of something old: nobody waits for the answer, and no lease is renewed by it.
            return None
        if not machine.recorded or new_address:
            self.writer.to_record.add(name)
            self.term.writes_needed.set()
        if fresh:
            self._handle_news(machine, now)
        self.term.cluster.answered(machine, now)
        commands = self._compose(machine, heartbeat, fresh, now)
        return HeartbeatResponse(int(self.term.cluster.token(machine)), commands)

    def _handle_news(self, machine: Machine, now: MonotonicTime) -> None:
        """See to what a machine's news bring: tasks that must go, room, finishes to write."""
        self.term.scheduling_needed.set()
        if self.term.job_table.dirty:
            self.term.writes_needed.set()
        for assignment in list(machine.assignments.values()):
            if assignment.phase == TaskPhase.PLANNED:
                if machine.notice_s is not None:
                    self.term.cluster.drop(assignment, now)
                continue
            job = assignment.job
            if job is None or job.cancelled:
                self.terminate(assignment, 0.0, TerminationReason.UNWANTED, now)
            elif machine.notice_s is not None:
                self._drain(assignment, machine, now)
        if len(machine.faults) >= QUARANTINE_FAULTS and not machine.quarantined:
            self._quarantine(machine, now)

    def _quarantine(self, machine: Machine, now: MonotonicTime) -> None:
        """Set a machine aside that failed tasks of several healthy jobs; never many at once.

        Found in a replay: a new leader did not know yet which jobs fail everywhere, and set healthy
        machines aside on which two of them had failed.
        """
        if (
            sum(self.term.cluster.failure_detector.is_healthy(job, now) for job in machine.faults)
            < QUARANTINE_FAULTS
        ):
            return
        aside = sum(m.quarantined for m in self.term.cluster.machines.values())
        if aside >= max(1, len(self.term.cluster.machines) // 8):
            return
        machine.quarantined = True
        log.info("event=quarantined machine=%s jobs=%s", machine.id, ",".join(machine.faults))

    def _drain(self, assignment: Assignment, machine: Machine, now: MonotonicTime) -> None:
        """Save in time before the cloud takes the machine, or let short tasks finish."""
        job = assignment.job
        if job is None or assignment.phase == TaskPhase.SAVING or job.is_service:
            return  # a replica serves on until the scheduler has room for it elsewhere
        left = (machine.notice_s or 0.0) - (now - machine.noticed_at)
        if assignment.phase == TaskPhase.RUNNING and assignment.running_since is not None:
            remaining = job.estimate_s() - (now - assignment.running_since)
            if remaining < 0.7 * left:
                return
        self._terminate_whole(assignment, job.grace_s, TerminationReason.DRAIN, now)

    def _terminate_whole(
        self, assignment: Assignment, grace_s: float, reason: TerminationReason, now: MonotonicTime
    ) -> None:
        """Stop a task; of a gang all of them, since an orderly stop needs every one told."""
        job = assignment.job
        if job is None or not job.is_gang or job.spec.task_count == 1:
            self.terminate(assignment, grace_s, reason, now)
            return
        for mate in self.term.cluster.assignments_of(job):
            self.terminate(mate, grace_s, reason, now)

    def terminate(
        self, assignment: Assignment, grace_s: float, reason: TerminationReason, now: MonotonicTime
    ) -> None:
        """Stop one task attempt: forget it if nothing was sent, else by a pending termination."""
        machine = assignment.machine
        if assignment.phase == TaskPhase.PLANNED:
            self.term.cluster.drop(assignment, now)
            return
        if self.term.terminations.add(
            PendingTermination(machine.id, assignment.task, assignment.attempt, grace_s)
        ):
            log.info(
                "event=stop task=%s machine=%s grace_s=%g reason=%s",
                assignment.task,
                machine.id,
                grace_s,
                reason,
            )
            self.schedule_direct_message(machine)

    def _compose(
        self, machine: Machine, heartbeat: Heartbeat, fresh: bool, now: MonotonicTime
    ) -> list[Command]:
        commands = self._repeatable_commands(machine, now)
        if not fresh or not machine.acknowledges or not machine.recorded:
            return commands
        if machine.notice_s is not None or machine.being_released or not self.term.may_begin():
            return commands
        version = HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence)
        for assignment in machine.assignments.values():
            if assignment.phase != TaskPhase.PLANNED or len(commands) >= MAX_COMMANDS:
                continue
            if assignment.job is None or assignment.job.cancelled:
                continue
            assignment.phase = TaskPhase.SENT
            assignment.sent_after = version
            commands.append(Command("start", str(assignment.task), int(assignment.attempt)))
        return commands

    def _repeatable_commands(self, machine: Machine, now: MonotonicTime) -> list[Command]:
        """Give the commands that may be repeated and may come late: halts and clears.

        Halts first: what has ended can wait, a cancelled task can't.
        """
        return [*self.term.terminations.commands(machine.id, now), *self._clears(machine)][
            :MAX_COMMANDS
        ]

    def _clears(self, machine: Machine) -> list[Command]:
        """Clear what has ended; a finish only after it is written."""
        commands = []
        for ended in machine.ended.values():
            if ended.done:
                job = self.term.job_table.get(ended.task.job)
                if job is not None and ended.task.number in job.unwritten:
                    continue
            commands.append(Command("clear", str(ended.task), int(ended.attempt)))
        return commands

    def schedule_direct_message(self, machine: Machine) -> None:
        """Send halts and clears directly; with nothing to send it is a handshake.

        Never waits: what is too much at once waits in line, and not behind machines that are only
        asked how they are.
        """
        if not machine.address or machine.id in self._sending or self.term.stopped:
            return
        if self.term.terminations.any_on(machine.id):
            self._others_waiting.pop(machine.id, None)
            self._stops_waiting[machine.id] = machine
        elif machine.id not in self._stops_waiting:
            self._others_waiting[machine.id] = machine
        if len(self._senders) < self._max_sends_in_flight:
            self._senders.spawn(self._send_waiting)

    def _send_waiting(self) -> None:
        """Do the direct exchanges that wait, one after the other."""
        while self._stops_waiting or self._others_waiting:
            lines = [self._stops_waiting, self._others_waiting]
            line = lines[self._others_turn] or lines[not self._others_turn]
            self._others_turn = not self._others_turn
            _, machine = line.popitem(last=False)
            self.send(machine)

    def send(self, machine: Machine) -> None:
        """Do one direct exchange."""
        self._sending.add(machine.id)
        try:
            now = monotonic_now()
            if not self.term.lease_validity.may_answer_workers(now):
                return
            commands = self._repeatable_commands(machine, now)
            incarnation = max(1, machine.version.incarnation)
            for _ in range(2):
                token = self.term.cluster.token(machine)
                known = machine.version
                heartbeat = self.workers.send(machine.address, token, incarnation, commands)
                if heartbeat.machine != machine.id:
                    return
                if term_of_token(heartbeat.token) > self.term.number:
                    self.term.end("overruled")
                    return
                now = monotonic_now()
                if HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence) < known:
                    self.term.cluster.restarted(machine, now)
                if self.term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=False):
                    self._handle_news(machine, now)
                if heartbeat.incarnation == incarnation:
                    return
                incarnation = (
                    heartbeat.incarnation
                )  # the incarnation had changed: nothing was executed
        except WorkerUnavailableError as error:
            log.debug("event=worker-unreachable machine=%s error=%s", machine.id, error)
        finally:
            self._sending.discard(machine.id)

    def next_heartbeat_in_s(self, machine: Machine, now: MonotonicTime) -> float:
        """Estimate how soon a worker reports next, so that a start can ride in the answer."""
        since = now - machine.heard_at if machine.heard_at is not None else math.inf
        due = max(0.0, self.term.settings.params.workers.report_s - since)
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            return due
        if self._may_bump_token(machine, now) or (machine.ended and self._clears(machine)):
            return min(due, max(0.1, MIN_HEARTBEAT_GAP_S - since))
        return due

    def request_early_heartbeat(
        self, machine: Machine, now: MonotonicTime, urgent: bool = False
    ) -> None:
        """Make a worker report soon, so that its starts need not wait for its next heartbeat.

        A worker reports when a task is cleared, and when its token rises, though that at most
        once in half a lease. Only machines with starts to fetch are hastened, and within a rate:
        a message to every machine after each write took most of a leader's processor time where
        there were hundreds of them. What else there is to say rides in the answers.
        """
        times = self.term.settings.params.workers
        if machine.heard_at is None:
            return
        if not urgent and now - machine.heard_at > EARLY_HEARTBEAT_WITHIN * times.report_s:
            return  # the next heartbeat is due anyway
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            # A response with the lower token, overtaken by this, would be dropped.
            return
        clears = bool(machine.ended) and bool(self._clears(machine))
        if not clears and not self._may_bump_token(machine, now):
            return
        if not self._early_heartbeat_bucket.take() and not urgent:
            return
        if not clears:
            machine.token_bumped_at = now
            machine.token_bumps += 1
        self.schedule_direct_message(machine)

    def _may_bump_token(self, machine: Machine, now: MonotonicTime) -> bool:
        if machine.token_bumps >= MAX_TOKEN_BUMPS:
            return False
        gap = TOKEN_BUMP_EVERY * self.term.settings.params.workers.lease_s
        return machine.token_bumped_at is None or now - machine.token_bumped_at >= gap

    def probe(self, now: MonotonicTime) -> None:
        """Ask machines directly whose heartbeat is late, and those not heard in this term."""
        late = PROBE_AFTER * self.term.settings.params.workers.report_s
        for machine in list(self.term.cluster.machines.values()):
            if machine.may_hold_until is None:
                continue
            since = machine.heard_at if machine.heard_at is not None else self.term.began_at
            if not machine.handshaken or now - since > late:
                self.schedule_direct_message(machine)
