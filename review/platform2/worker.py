"""A worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers")."""

from __future__ import annotations

import random
import threading
import time
from typing import Any

from .http11 import Client, JsonServer
from .record import Record

RESPONSE_S = 4.0
NEXT_NODE_S = 1.0
MIN_GAP_S = 0.5
STEP_S = 0.05


class Task:
    """One attempt of a task on a worker."""

    def __init__(self, piece: str, attempt: int, job: dict[str, Any]) -> None:
        self.piece = piece
        self.attempt = attempt
        self.job = job
        self.status = "fetching"
        self.cause: str | None = None
        self.until = 0.0
        """When the fetch or the run ends, by the monotonic clock."""

    def report(self) -> dict[str, Any]:
        """Return the attempt as it is in a report."""
        reported = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            reported["cause"] = self.cause
        return reported


class Worker:
    """The worker of one machine: reports, executes commands and runs tasks of arrays."""

    def __init__(
        self,
        machine: dict[str, Any],
        times: dict[str, float],
        nodes: dict[str, str],
        jobs: dict[str, dict[str, Any]],
        record: Record,
    ) -> None:
        """`machine` has host, flavour, site, loaner and the resources of its type."""
        self.machine = machine
        self.name: str = machine["host"]
        self._times = times
        self._nodes = nodes
        self._jobs = jobs
        self._record = record
        self._lock = threading.RLock()
        self._clients = {name: Client(address) for name, address in nodes.items()}
        self._images: set[str] = set()
        self._life = 0
        """Counts restarts, so that what a former life began has no effect on the next."""
        self.up = True
        self.sent: list[dict[str, Any]] = []
        """Every report that was sent."""
        self._begin_life()
        self.server = JsonServer(self._handle)
        threading.Thread(target=self._report_loop, daemon=True).start()
        threading.Thread(target=self._run_loop, daemon=True).start()

    def _begin_life(self) -> None:
        self.tenure = 1
        self.tick = 0
        self.mandate = 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self._answered_at = time.monotonic()
        self._changed = True
        self._token_change_at = -1e9

    def restart(self, away_s: float) -> None:
        """End the machine with all that is on it; it is back after `away_s` seconds."""
        with self._lock:
            self._life += 1
            self.up = False
            for task in self.tasks.values():
                self._leave(task, "the machine ended")
            self.tasks = {}
        self.server.reset_connections()
        self._record.write(f"{self.name} ends with all that is on it")
        time.sleep(away_s)
        with self._lock:
            self._begin_life()
            self.up = True
        self._record.write(f"{self.name} is back: tenure 1, tick 0, mandate 0, no tasks")

    def stop(self) -> None:
        """End the machine for good."""
        with self._lock:
            self._life += 1
            self.up = False
            for task in self.tasks.values():
                self._leave(task, "the machine is gone")
            self.tasks = {}
        self.server.reset_connections()

    # -- tasks ------------------------------------------------------------------------------

    def _leave(self, task: Task, why: str) -> None:
        """Record that an attempt is no longer on the machine."""
        if task.status == "running":
            self._record.left(task.piece, task.attempt, self.name, why)

    def _run_loop(self) -> None:
        while True:
            time.sleep(STEP_S)
            with self._lock:
                if not self.up:
                    continue
                self._check_lease()
                now = time.monotonic()
                for task in list(self.tasks.values()):
                    if task.status in ("fetching", "running") and now >= task.until:
                        self._advance(task, now)

    def finish(self, ref: str) -> None:
        """Let the running tasks of a job complete now."""
        with self._lock:
            for task in self.tasks.values():
                if task.status == "running" and task.piece.startswith(ref + "/"):
                    task.until = 0.0

    def _check_lease(self) -> None:
        if time.monotonic() - self._answered_at <= self._times["lease_s"]:
            return
        for task in self.tasks.values():
            self._leave(task, "the lease ended")
        self.tasks = {}
        self.tenure += 1
        self._answered_at = time.monotonic()
        self._changed = True

    def _advance(self, task: Task, now: float) -> None:
        self._changed = True
        if task.status == "fetching":
            self._images.add(task.job["bundle"])
            task.status = "running"
            task.until = now + task.job["runs_s"]
            self._record.started(task.piece, task.attempt, self.name)
            return
        self._leave(task, "done")
        task.status, task.cause = "ended", "done"

    def free(self, name: str) -> float:
        """Return how much of a resource no task uses."""
        used = sum(t.job[name] for t in list(self.tasks.values()) if t.status != "ended")
        return float(self.machine[name] - used)

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self._start(*key)
            elif order["verb"] == "halt" and task is not None and task.status != "ended":
                self._leave(task, "stopped by command")
                task.status, task.cause = "ended", "stopped"
                self._changed = True
            elif order["verb"] == "clear" and task is not None and task.status == "ended":
                del self.tasks[key]
                self._changed = True

    def _start(self, piece: str, attempt: int) -> None:
        self._changed = True
        job = self._jobs.get(piece.split("/")[0])
        task = Task(piece, attempt, job or {})
        refused = None
        if job is None:
            refused = "unknown"
        elif any(t.piece == piece and t.status != "ended" for t in self.tasks.values()):
            refused = "in_use"
        elif any(job[n] > self.free(n) + 1e-6 for n in ("vcpus", "cards", "mem_gb")):
            refused = "no_room"
        self.tasks[piece, attempt] = task
        if refused is not None or job is None:
            task.status, task.cause = "ended", refused
            return
        fetch_s = 0.0
        if job["bundle"] not in self._images:
            fetch_s = job["image_gb"] / self.machine["fetch_gb_per_s"]
        task.until = time.monotonic() + fetch_s

    # -- messages ---------------------------------------------------------------------------

    def _see(self, token: int) -> None:
        if token <= self.mandate:
            return
        self.mandate = token
        now = time.monotonic()
        if now - self._token_change_at >= self._times["lease_s"] / 2:
            self._token_change_at = now
            self._changed = True

    def _report(self) -> dict[str, Any]:
        self.tick += 1
        return {
            "host": self.name,
            "addr": self.server.address,
            "flavour": self.machine["flavour"],
            "site": self.machine["site"],
            "loaner": self.machine["loaner"],
            "tenure": self.tenure,
            "tick": self.tick,
            "mandate": self.mandate,
            "warning_s": None,
            "pieces": [task.report() for task in self.tasks.values()],
        }

    def _handle(
        self, _method: str, path: str, _query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        with self._lock:
            if not self.up:
                return None
            if path != "/orders":
                return 200, self._report()
            if "mandate" not in body or "tenure" not in body:
                return 400, {"error": "mandate or tenure is missing"}
            if body["mandate"] < self.mandate:
                return 409, self._report()
            self._see(body["mandate"])
            if body["tenure"] != self.tenure:
                return 409, self._report()
            self._execute(body["orders"])
            return 200, self._report()

    def _wait_for_report(self, last_at: float) -> None:
        """Wait until a report is due: by time, or because something has changed."""
        pause_s = self._times["report_s"] * random.uniform(0.75, 1.25)
        while True:
            since_s = time.monotonic() - last_at
            if self.up and since_s >= MIN_GAP_S and (self._changed or since_s >= pause_s):
                return
            time.sleep(0.02)

    def _report_loop(self) -> None:
        names = list(self._nodes)
        node = names[0]
        last_at = -1e9
        while True:
            self._wait_for_report(last_at)
            with self._lock:
                if not self.up:
                    continue
                self._changed = False
                report, life = self._report(), self._life
                self.sent.append(report)
            last_at = time.monotonic()
            try:
                status, body = self._clients[node].request("POST", "/v1/report", report, RESPONSE_S)
            except OSError:
                status, body = 0, None
            if status == 200:
                self._on_answer(report, life, last_at, body)
                continue
            foreman = body.get("foreman") if status == 421 else None
            if foreman in self._nodes and foreman != node:
                self._clients[node].close()
                node, self._changed = foreman, True
                continue
            time.sleep(NEXT_NODE_S)
            node, self._changed = names[(names.index(node) + 1) % len(names)], True

    def _on_answer(self, report: dict[str, Any], life: int, sent_at: float, body: Any) -> None:
        with self._lock:
            if life != self._life or report["tenure"] != self.tenure:
                return
            if body.get("mandate", -1) < self.mandate:
                return
            self._answered_at = sent_at
            self._see(body["mandate"])
            self._execute(body["orders"])
