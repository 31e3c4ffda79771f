"""Workers with leases that report to one controller at a time, and direct commands to them."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ryewing.clients.workers import WorkerUnavailableError
from ryewing.units import FencingToken
from ryewing.wire.workers import Command, Heartbeat, ReportedTask
from support.fakes import FakeWorker

STEP_S = 0.25
"""How much time passes at once."""
CONTROLLERS = ("n-0", "n-1", "n-2")
"""The controllers."""


if TYPE_CHECKING:
    from support.simulated_cluster import SimulatedCluster


class TimedWorker(FakeWorker):
    """A worker with a lease, that reports to one controller at a time."""

    def __init__(self, cluster: SimulatedCluster, name: str, **kind: Any) -> None:
        super().__init__(name, **kind)
        self._cluster = cluster
        self.node = CONTROLLERS[0]
        self.lease_renewed_at: float = cluster.clock()
        self.next_heartbeat_at: float = cluster.clock()
        self.hangs = False
        self.unreachable: set[str] = set()
        """Controllers that it can't exchange anything with."""
        self.heartbeats_lost = False
        """It can't reach any controller; direct commands reach it."""
        self.replies_lost = False
        """Its heartbeats arrive; answers and direct commands are lost."""
        self.delays_commands = False
        """Direct commands get no answer, and are carried out when `catch_up` is called."""
        self._delayed_commands: list[tuple[FencingToken, int, list[Command]]] = []
        self.answer_delay_s = 0.0
        """How long the answer to a heartbeat is on its way."""
        self._answer: tuple[float, Callable[[], None]] | None = None
        self._waiting_since: dict[tuple[str, int], float] = {}
        self.address = self.heartbeat().address

    def execute(self, token: int, commands: list[Command]) -> bool:
        before = dict(self.tasks)
        done = super().execute(token, commands)
        rules = self._cluster.rules
        for key in self.tasks.keys() - before.keys():
            rules.record_start(self, key)
            if self._cluster.is_gang(key[0]):
                self._set_status(key, "gathering")
                self._waiting_since[key] = self._cluster.clock()
        for key in self.tasks.keys() & before.keys():
            if before[key].status == "running" and self.tasks[key].cause == "stopped":
                rules.stopped_tasks.append(key[0])
        return done

    def _set_status(self, key: tuple[str, int], status: str, cause: str | None = None) -> None:
        self.tasks[key] = ReportedTask(*key, status, cause)
        self.next_heartbeat_at = min(self.next_heartbeat_at, self._cluster.clock() + 0.5)

    def finish(self, cause: str = "done") -> None:
        """End everything that runs here; what waits for its gang makes no progress."""
        for key, found in list(self.tasks.items()):
            if found.status not in ("ended", "gathering"):
                self.end_task(key, cause)

    def _step_gangs(self) -> None:
        """Begin the gangs that are complete; give up what has waited for too long."""
        for key, found in list(self.tasks.items()):
            if found.status != "gathering":
                continue
            if self._cluster.is_complete(key):
                self._set_status(key, "running")
            elif (
                self._cluster.clock() - self._waiting_since[key]
                > self._cluster.settings.params.workers.gang_wait_s
            ):
                self._set_status(key, "ended", "incomplete")

    def step(self) -> None:
        """Heartbeat when it is time; end the incarnation when the lease is over."""
        now = self._cluster.clock()
        if self.hangs:
            return
        self._step_gangs()
        if self._answer is not None and now >= self._answer[0]:
            arrive, self._answer = self._answer[1], None
            arrive()
        if now > self.lease_renewed_at + self._cluster.settings.params.workers.lease_s:
            self.incarnation += 1
            self.sequence = 0
            self.tasks.clear()
            self.lease_renewed_at = now
        if now >= self.next_heartbeat_at and self._answer is None:
            self.next_heartbeat_at = now + self._cluster.settings.params.workers.report_s
            self.send_heartbeat()

    def send_heartbeat(self) -> Heartbeat:
        """Send one heartbeat and heed the answer."""
        cluster = self._cluster
        sent_at = cluster.clock()
        sent = self.heartbeat()
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
            self._answer = (
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
        """A direct command is on its way for longer than its sender waits."""
        self._delayed_commands.append((token, incarnation, copy.deepcopy(commands)))

    def apply_delayed(self) -> None:
        """Carry out the direct commands that were held up, if token and incarnation still match."""
        delayed, self._delayed_commands = self._delayed_commands, []
        for token, incarnation, commands in delayed:
            if token >= self.token and incarnation == self.incarnation:
                self.execute(token, commands)

    def _try_next_controller(self) -> None:
        self.node = CONTROLLERS[(CONTROLLERS.index(self.node) + 1) % len(CONTROLLERS)]
        self.next_heartbeat_at = self._cluster.clock() + 1.0


class DirectLink:
    """Direct commands of one controller."""

    def __init__(self, cluster: SimulatedCluster, here: str) -> None:
        self._cluster = cluster
        self._here = here

    def send(
        self, address: str, token: FencingToken, incarnation: int, commands: list[Command]
    ) -> Heartbeat:
        found = [w for w in self._cluster.workers.values() if w.address == address]
        if not found:
            raise WorkerUnavailableError("deadline")
        [worker] = found
        if worker.hangs or worker.replies_lost or self._here in worker.unreachable:
            raise WorkerUnavailableError("deadline")
        if worker.delays_commands:
            worker.delay_commands(token, incarnation, commands)
            raise WorkerUnavailableError("deadline")
        if token >= worker.token and incarnation == worker.incarnation:
            worker.execute(token, commands)
        return worker.heartbeat()

    def forget(self, address: str) -> None:
        """Nothing is kept here."""
