"""Direct messages to workers: the queues of machines to contact and the exchanges in progress.

A direct message delivers halts and clears sooner than the next heartbeat response would. Without
commands it serves as the handshake of a new leader, as the probe of a silent machine, or to deliver
a raised fencing token. Starts are never sent this way (safety argument 5 of docs/design.md).
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from gevent.pool import Group

from ryewing.clients.workers import Workers, WorkerUnavailableError
from ryewing.leader.commands import repeatable_commands
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.state.machine import Machine
from ryewing.units import (
    HeartbeatVersion,
    MachineId,
    MonotonicTime,
    monotonic_now,
    term_of_token,
)
from ryewing.wire.workers import Heartbeat

log = logging.getLogger(__name__)

BASE_SENDS_IN_FLIGHT = 24
SENDS_PER_SOCKET = 0.02
"""The bound on concurrent exchanges is this share of the process's sockets, and at least
`BASE_SENDS_IN_FLIGHT`. An exchange with a silent machine lasts two seconds, and the loss of a zone
silences thousands of machines."""
MAX_MESSAGES_PER_EXCHANGE = 2
"""Messages in one exchange. The second is sent if the first named another incarnation than the
worker's, because the worker then executes no command, or if its answer shows a restarted worker."""
PROBE_AFTER_INTERVALS = 1.6
"""The number of heartbeat intervals after which a silent machine is probed."""


def max_sends_in_flight(sockets: int) -> int:
    """Return the bound on concurrent exchanges for a process with this many sockets."""
    return max(BASE_SENDS_IN_FLIGHT, int(SENDS_PER_SOCKET * sockets))


class DirectMessages:
    """Owns the queues of machines to contact, the exchanges in progress and their connections.

    Public for tests: `senders`, `other_queue`.
    """

    def __init__(
        self, term: TermContext, on_newer_heartbeat: Callable[[Machine, MonotonicTime], None]
    ) -> None:
        """Create empty queues.

        `on_newer_heartbeat` is called when a worker's answer has a newer heartbeat than known.
        """
        self._term = term
        self._on_newer_heartbeat = on_newer_heartbeat
        sockets = int(term.scope.share * term.settings.params.resources.fd_limit)
        self.workers = Workers(sockets)
        self.senders = Group()
        """The greenlets that process the queues. This is not a bounded pool, because spawning in a
        full pool blocks, and callers must not be interrupted in the middle of a decision."""
        self._max_sends_in_flight = max_sends_in_flight(sockets)
        self._in_exchange: set[MachineId] = set()
        self._termination_queue: OrderedDict[MachineId, Machine] = OrderedDict()
        """Machines with pending terminations, in the order in which they will be contacted."""
        self.other_queue: OrderedDict[MachineId, Machine] = OrderedDict()
        """All other machines to contact, in order."""
        self._other_queue_is_next = False
        """The queues alternate, so that silent machines in one don't delay the other."""

    def stop(self) -> None:
        """Kill the exchanges in progress, without waiting for them to end."""
        self.senders.kill(block=False)

    def schedule(self, machine: Machine) -> None:
        """Queue a direct message with the machine's halts and clears, if it has any.

        Never blocks: machines beyond the bound on concurrent exchanges stay queued. Machines with
        pending terminations don't wait behind machines that are only probed.
        """
        if not machine.address or machine.id in self._in_exchange or self._term.stopped:
            return
        if self._term.terminations.has_any_on(machine.id):
            self.other_queue.pop(machine.id, None)
            self._termination_queue[machine.id] = machine
        elif machine.id not in self._termination_queue:
            self.other_queue[machine.id] = machine
        if len(self.senders) < self._max_sends_in_flight:
            self.senders.spawn(self._send_queued)

    def _send_queued(self) -> None:
        """Contact queued machines, one at a time, until both queues are empty."""
        while self._termination_queue or self.other_queue:
            queues = [self._termination_queue, self.other_queue]
            queue = queues[self._other_queue_is_next] or queues[not self._other_queue_is_next]
            self._other_queue_is_next = not self._other_queue_is_next
            _, machine = queue.popitem(last=False)
            self.send(machine)

    def send(self, machine: Machine) -> None:
        """Run one exchange with a worker; return when it has answered or can't be reached."""
        self._in_exchange.add(machine.id)
        try:
            self._exchange(machine)
        except WorkerUnavailableError as error:
            log.debug("event=worker-unreachable machine=%s error=%s", machine.id, error)
        finally:
            self._in_exchange.discard(machine.id)

    def _exchange(self, machine: Machine) -> None:
        now = monotonic_now()
        if not self._term.lease_validity.may_answer_workers(now):
            return
        commands = repeatable_commands(self._term, machine, now)
        incarnation = max(1, machine.version.incarnation)
        for _ in range(MAX_MESSAGES_PER_EXCHANGE):
            token = self._term.cluster.token(machine)
            known_version, process_bump = machine.version, machine.process_bump
            heartbeat = self.workers.send(machine.address, token, incarnation, commands)
            if heartbeat.machine != machine.id:
                return
            if term_of_token(heartbeat.token) > self._term.number:
                self._term.end(TermEndReason.LATER_TOKEN)
                return
            if self._has_lost_counters(machine, heartbeat, known_version):
                self._term.cluster.require_new_token(machine, monotonic_now())
            else:
                self._apply_answer(machine, heartbeat)
            if heartbeat.incarnation == incarnation and machine.process_bump == process_bump:
                return
            incarnation = heartbeat.incarnation

    def _has_lost_counters(
        self, machine: Machine, heartbeat: Heartbeat, known_version: HeartbeatVersion
    ) -> bool:
        """Return whether an answer shows that the worker has lost its counters in a restart.

        The answer was composed after the request was sent, so a worker that continues gives it a
        version above `known_version`, the newest one that the leader knew before.
        """
        version = self._term.cluster.version_of(heartbeat)
        return version <= known_version or machine.expired.covers(version)

    def _apply_answer(self, machine: Machine, heartbeat: Heartbeat) -> None:
        now = monotonic_now()
        if self._term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=False):
            self._on_newer_heartbeat(machine, now)

    def probe(self, now: MonotonicTime) -> None:
        """Queue a message to each machine whose heartbeat is late or missing in this term.

        Machines that can't hold tasks are skipped, unless a probe of them was requested.
        """
        for machine in list(self._term.cluster.machines.values()):
            if not self._is_probe_due(machine, now):
                continue
            machine.probe_requested = False
            if machine.acknowledged_term and machine.id not in self._in_exchange:
                # The worker may have restarted since its last heartbeat, and must not get a token
                # that its earlier process has shown (see `HeartbeatVersion`).
                self._term.cluster.raise_token(machine)
            self.schedule(machine)

    def _is_probe_due(self, machine: Machine, now: MonotonicTime) -> bool:
        if machine.probe_requested:
            return True
        if machine.lease_expires_by is None:
            return False
        if not machine.acknowledged_term:
            return True
        silent_since = machine.heard_at if machine.heard_at is not None else self._term.started_at
        late_after_s = PROBE_AFTER_INTERVALS * self._term.settings.params.workers.report_s
        return now - silent_since > late_after_s
