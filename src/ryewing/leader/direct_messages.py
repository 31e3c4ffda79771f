"""Direct messages to workers: the queue of machines to contact and the exchanges under way.

A direct message brings halts and clears sooner than the next heartbeat response would. Without any
command it is the handshake of a new leader, the probe of a silent machine, or the bearer of a
raised fencing token. Starts are never sent this way (safety argument 5 of docs/design.md).
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
SENDS_SHARE = 0.02
"""The bound on concurrent exchanges is this share of the process's sockets, and at least
`BASE_SENDS_IN_FLIGHT`. An exchange with a silent machine lasts two seconds, and the loss of a zone
silences thousands of machines."""
MAX_ROUNDS = 2
"""Messages in one exchange: the second is sent if the worker's incarnation was not the one known,
since a worker then executes nothing."""
PROBE_AFTER_INTERVALS = 1.6
"""The heartbeat intervals after which a silent machine is probed."""


def max_sends_in_flight(sockets: int) -> int:
    """Return the bound on concurrent exchanges for a number of sockets."""
    return max(BASE_SENDS_IN_FLIGHT, int(SENDS_SHARE * sockets))


class DirectMessages:
    """Owns the queue of machines to contact, the exchanges under way and their connections.

    Public for tests: `senders`, `other_queue`.
    """

    def __init__(
        self, term: TermContext, on_newer_heartbeat: Callable[[Machine, MonotonicTime], None]
    ) -> None:
        """Take what to call when a worker's answer holds a newer heartbeat than was known."""
        self._term = term
        self._on_newer_heartbeat = on_newer_heartbeat
        sockets = int(term.scope.share * term.settings.params.resources.fd_limit)
        self.workers = Workers(sockets)
        self.senders = Group()
        """The greenlets that work the queues off. Not a bounded pool: its spawn waits when it is
        full, and a decision under way must not be interrupted."""
        self._max_sends_in_flight = max_sends_in_flight(sockets)
        self._in_exchange: set[MachineId] = set()
        self._termination_queue: OrderedDict[MachineId, Machine] = OrderedDict()
        """Machines with tasks to stop, in the order in which they will be contacted."""
        self.other_queue: OrderedDict[MachineId, Machine] = OrderedDict()
        """All other machines to contact, in their order."""
        self._other_queue_is_next = False
        """The queues alternate: neither waits for the silent machines of the other."""

    def stop(self) -> None:
        """Kill the exchanges under way, without waiting for them to end."""
        self.senders.kill(block=False)

    def schedule(self, machine: Machine) -> None:
        """Queue a direct message that carries the machine's halts and clears, if there are any.

        Never waits: machines beyond the bound on concurrent exchanges stay queued. Those with tasks
        to stop don't queue behind machines that are only probed.
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
        """Do one exchange with a worker; return when it has answered or can't be reached."""
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
        for _ in range(MAX_ROUNDS):
            token = self._term.cluster.token(machine)
            known_version = machine.version
            heartbeat = self.workers.send(machine.address, token, incarnation, commands)
            if heartbeat.machine != machine.id:
                return
            if term_of_token(heartbeat.token) > self._term.number:
                self._term.end(TermEndReason.LATER_TOKEN)
                return
            self._apply_answer(machine, heartbeat, known_version)
            if heartbeat.incarnation == incarnation:
                return
            # The incarnation had changed: nothing was executed.
            incarnation = heartbeat.incarnation

    def _apply_answer(
        self, machine: Machine, heartbeat: Heartbeat, known_version: HeartbeatVersion
    ) -> None:
        """Apply the heartbeat in a worker's answer; `known_version` is that before the request."""
        now = monotonic_now()
        if HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence) < known_version:
            self._term.cluster.reset_worker(machine, now)
        if self._term.cluster.apply_heartbeat(machine, heartbeat, now, is_heartbeat=False):
            self._on_newer_heartbeat(machine, now)

    def probe(self, now: MonotonicTime) -> None:
        """Queue a message to machines whose heartbeat is late or that this term has not heard.

        Machines that can hold no task are left out.
        """
        late = PROBE_AFTER_INTERVALS * self._term.settings.params.workers.report_s
        for machine in list(self._term.cluster.machines.values()):
            if machine.lease_expires_by is None:
                continue
            since = machine.heard_at if machine.heard_at is not None else self._term.began_at
            if not machine.acknowledged_term or now - since > late:
                self.schedule(machine)
