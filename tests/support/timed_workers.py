"""Simulated workers with leases, and direct commands to them.

A worker sends heartbeats to one controller at a time and follows redirects, kills its tasks when
its lease expires, and lets gangs wait for their last task. Messages can be lost or delayed. Not
simulated are run times (the test ends tasks), images, checkpoints and the resources of a machine.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ryewing.clients.workers import WorkerUnavailableError
from ryewing.state.attempts import EndCause
from ryewing.units import FencingToken
from ryewing.wire.workers import Command, Heartbeat, ReportedTask
from support.fakes import FakeWorker

STEP_S = 0.25
"""Seconds that pass in one step of the simulation."""
CONTROLLERS = ("n-0", "n-1", "n-2")
"""Names of the simulated controllers."""


if TYPE_CHECKING:
    from support.simulated_cluster import SimulatedCluster


class TimedWorker(FakeWorker):
    """A worker with a lease that sends its heartbeats to one controller at a time."""

    def __init__(self, cluster: SimulatedCluster, name: str, **fields: Any) -> None:
        super().__init__(name, **fields)
        self._cluster = cluster
        self.node = CONTROLLERS[0]
        self.lease_renewed_at: float = cluster.clock()
        self.next_heartbeat_at: float = cluster.clock()
        self.hangs = False
        """It neither sends nor receives messages, and acts on an expired lease only afterwards."""
        self.unreachable: set[str] = set()
        """Controllers that can neither send to it nor receive from it."""
        self.heartbeats_lost = False
        """Its heartbeats are lost; direct commands reach it."""
        self.replies_lost = False
        """Its heartbeats arrive, but their responses and direct commands are lost."""
        self.delays_commands = False
        """Senders of direct commands time out; `apply_delayed` executes the commands."""
        self._delayed_commands: list[tuple[FencingToken, int, list[Command]]] = []
        self.answer_delay_s = 0.0
        """Seconds until the response to a heartbeat arrives."""
        self._delayed_answer: tuple[float, Callable[[], None]] | None = None
        self._gathering_since: dict[tuple[str, int], float] = {}
        self._mates_gone_since: dict[tuple[str, int], float] = {}
        self.address = self.heartbeat().address

    def execute(self, token: int, commands: list[Command]) -> bool:
        before = dict(self.tasks)
        accepted = super().execute(token, commands)
        rules = self._cluster.rules
        for key in self.tasks.keys() - before.keys():
            rules.record_start(self, key)
            if rules.is_finished(key[0]):
                self.end_task(key)  # the result of an earlier attempt is kept
            elif self._cluster.is_gang(key[0]):
                self._set_status(key, "gathering")
                self._gathering_since[key] = self._cluster.clock()
        for key in self.tasks.keys() & before.keys():
            if before[key].status == "running" and self.tasks[key].cause == "stopped":
                rules.stopped_tasks.append(key[0])
        return accepted

    def restart(self, keeps_counters: bool = False, keeps_token: bool = False) -> None:
        """End the machine with its tasks; it is back at once, with a full lease."""
        super().restart(keeps_counters, keeps_token)
        self._delayed_answer = None
        self.lease_renewed_at = self.next_heartbeat_at = self._cluster.clock()

    def _set_status(self, key: tuple[str, int], status: str, cause: str | None = None) -> None:
        self.tasks[key] = ReportedTask(*key, status, cause)
        self.next_heartbeat_at = min(self.next_heartbeat_at, self._cluster.clock() + 0.5)

    def finish(self, cause: str = "done") -> None:
        """End all tasks except those that wait for the rest of their gang.

        The tasks of a gang complete together, on all machines.
        """
        for key, reported in list(self.tasks.items()):
            if reported.status in ("ended", "gathering"):
                continue
            if cause == EndCause.DONE and self._cluster.is_gang(key[0]):
                self._cluster.complete_gang(key)
            else:
                self.end_task(key, cause)

    def _step_gangs(self) -> None:
        """Run the tasks whose gang is complete; end those that have waited for it for too long.

        A running task whose gang has lost another one ends after `gang_peer_s`.
        """
        for key, reported in list(self.tasks.items()):
            if reported.status == "running" and self._cluster.is_gang(key[0]):
                self._end_if_mates_are_gone(key)
            if reported.status != "gathering":
                continue
            if self._cluster.is_gang_complete(key):
                self._set_status(key, "running")
            elif (
                self._cluster.clock() - self._gathering_since[key]
                > self._cluster.settings.params.workers.gang_wait_s
            ):
                self._set_status(key, "ended", "incomplete")

    def _end_if_mates_are_gone(self, key: tuple[str, int]) -> None:
        now = self._cluster.clock()
        if self._cluster.is_gang_complete(key):
            self._mates_gone_since.pop(key, None)
        elif (
            now - self._mates_gone_since.setdefault(key, now)
            > self._cluster.settings.params.workers.gang_peer_s
        ):
            self._set_status(key, "ended", "mates_gone")

    def step(self) -> None:
        """Send a heartbeat if one is due; start a new incarnation if the lease has expired."""
        now = self._cluster.clock()
        if self.hangs:
            return
        self._step_gangs()
        if self._delayed_answer is not None and now >= self._delayed_answer[0]:
            deliver, self._delayed_answer = self._delayed_answer[1], None
            deliver()
        if now > self.lease_renewed_at + self._cluster.settings.params.workers.lease_s:
            self.incarnation += 1
            self.sequence = 0
            self.tasks.clear()
            self.lease_renewed_at = now
        if now >= self.next_heartbeat_at and self._delayed_answer is None:
            self.next_heartbeat_at = now + self._cluster.settings.params.workers.report_s
            self.send_heartbeat()

    def send_heartbeat(self) -> Heartbeat:
        """Send one heartbeat, execute the response or delay it, and return the heartbeat."""
        cluster = self._cluster
        sent_at = cluster.clock()
        sent = self.heartbeat()
        cluster.late_copies.record(sent)
        if (
            self.heartbeats_lost
            or self.node in self.unreachable
            or self.node in cluster.dead | cluster.frozen
        ):
            self._try_next_controller()
            return sent
        status, answer = cluster.send_heartbeat(self.node, sent)
        if self.replies_lost:
            return sent
        if self.answer_delay_s:
            incarnation = self.incarnation
            self._delayed_answer = (
                sent_at + self.answer_delay_s,
                lambda: (
                    self._apply_answer(sent_at, status, answer)
                    if incarnation == self.incarnation
                    else None
                ),
            )
        else:
            self._apply_answer(sent_at, status, answer)
        return sent

    def _apply_answer(self, sent_at: float, status: int, answer: Any) -> None:
        if status == 200:
            response = msgspec.convert(answer, type=dict[str, Any])
            commands = msgspec.convert(response["orders"], type=list[Command])
            if self.execute(response["mandate"], commands):
                self.lease_renewed_at = sent_at
                if commands:
                    self.next_heartbeat_at = min(self.next_heartbeat_at, sent_at + 0.5)
        elif status == 421 and answer.get("foreman") in CONTROLLERS:
            self.node = answer["foreman"]
            self.next_heartbeat_at = sent_at + STEP_S
        else:
            self._try_next_controller()

    def delay_commands(
        self, token: FencingToken, incarnation: int, commands: list[Command]
    ) -> None:
        """Store direct commands until `apply_delayed`, after their sender has timed out."""
        self._delayed_commands.append((token, incarnation, copy.deepcopy(commands)))

    def apply_delayed(self) -> None:
        """Execute the delayed direct commands whose token and incarnation still match."""
        delayed, self._delayed_commands = self._delayed_commands, []
        for token, incarnation, commands in delayed:
            if token >= self.token and incarnation == self.incarnation:
                self.execute(token, commands)

    def _try_next_controller(self) -> None:
        self.node = CONTROLLERS[(CONTROLLERS.index(self.node) + 1) % len(CONTROLLERS)]
        self.next_heartbeat_at = self._cluster.clock() + 1.0


class DirectLink:
    """Delivers direct commands of one controller, in place of `clients.workers.Workers`."""

    def __init__(self, cluster: SimulatedCluster, node: str) -> None:
        self._cluster = cluster
        self._node = node

    def send(
        self, address: str, token: FencingToken, incarnation: int, commands: list[Command]
    ) -> Heartbeat:
        matching = [w for w in self._cluster.workers.values() if w.address == address]
        if not matching:
            raise WorkerUnavailableError("deadline")
        [worker] = matching
        if worker.hangs or worker.replies_lost or self._node in worker.unreachable:
            raise WorkerUnavailableError("deadline")
        if worker.delays_commands:
            worker.delay_commands(token, incarnation, commands)
            raise WorkerUnavailableError("deadline")
        if token >= worker.token and incarnation == worker.incarnation:
            worker.execute(token, commands)
        return worker.heartbeat()

    def disconnect(self, address: str) -> None:
        """Do nothing, because there are no connections."""
