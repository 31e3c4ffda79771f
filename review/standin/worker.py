"""A stand-in for a worker (PROTOCOL, "Workers -> controller nodes"), for arrays and services."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from .http import Client, encode

ANSWER_S = 4.0
"""How long a worker waits for the answer to a report."""
MIN_INTERVAL_S = 0.5
"""The least time between two reports."""
FAILS_AFTER_S = 0.3
"""How soon a task ends that a faulty machine fails."""
LIVE = ("fetching", "running")


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, piece: str, attempt: int, job: dict[str, Any] | None) -> None:
        self.piece = piece
        self.attempt = attempt
        self.job = job
        self.status = "fetching"
        self.cause: str | None = None
        self.run: asyncio.Task[None] | None = None

    def report(self) -> dict[str, Any]:
        """Return the task as it stands in a report."""
        entry = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            entry["cause"] = self.cause
        return entry

    def end(self, cause: str) -> None:
        """End the task."""
        if self.status != "ended":
            self.status, self.cause = "ended", cause
        if self.run is not None and self.run is not asyncio.current_task():
            self.run.cancel()


class Worker:
    """One machine: reports to the controllers and executes their commands."""

    def __init__(
        self,
        machine: dict[str, Any],
        flavour: dict[str, Any],
        times: dict[str, float],
        nodes: dict[str, int],
        jobs: dict[str, dict[str, Any]],
        note: Callable[..., None],
    ) -> None:
        self.host: str = machine["ref"]
        self.machine = machine
        self.flavour = flavour
        self.fails_tasks = False
        """Whether the machine fails every task that it starts."""
        self.tasks: dict[tuple[str, int], Task] = {}
        self.tenure, self.tick, self.mandate = 1, 0, 0
        self.statuses: dict[int, int] = {}
        """How often each status answered a report; 0 stands for no answer."""
        self.largest_report = 0
        self.lease_ends = 0
        self.node = random.choice(list(nodes))
        """The controller that it reports to."""
        self.started: dict[str, int] = {}
        """By job, how many of its tasks began to run here."""
        self._times = times
        self._names = list(nodes)
        self._clients = {name: Client(port) for name, port in nodes.items()}
        self._jobs = jobs
        self._note = note
        self._images: set[str] = set()
        self._lease_from = time.monotonic()
        self._change = asyncio.Event()

    # -- resources --------------------------------------------------------------------------

    def free(self, amount: str) -> float:
        """Return how much of `vcpus`, `cards` or `mem_gb` no task uses."""
        used = sum(task.job[amount] for task in self.tasks.values() if _is_live(task) and task.job)
        return float(self.flavour.get(amount, 0.0)) - used

    def running(self, job: str) -> int:
        """Return how many tasks of a job run here."""
        return sum(
            task.status == "running" and task.piece.startswith(job + "/")
            for task in self.tasks.values()
        )

    # -- messages ---------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tick += 1
        return {
            "host": self.host,
            "addr": self.machine["addr"],
            "flavour": self.machine["flavour"],
            "site": self.machine["site"],
            "loaner": self.machine["loaner"],
            "tenure": self.tenure,
            "tick": self.tick,
            "mandate": self.mandate,
            "warning_s": None,
            "pieces": [task.report() for task in self.tasks.values()],
        }

    async def on_direct(
        self, method: str, path: str, _query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Answer `/orders` or `/show`."""
        self._expire()
        if path == "/show" and method == "GET":
            return 200, self.report()
        if "mandate" not in body or "tenure" not in body:
            return 400, {"error": "mandate or tenure is missing"}
        if body["mandate"] < self.mandate or body["tenure"] != self.tenure:
            return 409, self.report()
        self._see(body["mandate"])
        self._execute(body["orders"])
        return 200, self.report()

    async def work(self) -> None:
        """Report until the machine is gone."""
        while True:
            self._expire()
            sent_at, tenure = time.monotonic(), self.tenure
            self._change.clear()
            status, answer = await self._send()
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status == 200:
                self._on_answer(answer, sent_at, tenure)
                await self._pause(sent_at)
            else:
                named = answer.get("foreman") if status == 421 and answer else None
                if named in self._clients and named != self.node:
                    self.node = named
                else:
                    await asyncio.sleep(1.0)
                    next_index = self._names.index(self.node) + 1
                    self.node = self._names[next_index % len(self._names)]

    async def _send(self) -> tuple[int, Any]:
        body = encode(self.report())
        self.largest_report = max(self.largest_report, len(body))
        try:
            return await self._clients[self.node].request("POST", "/v1/report", body, ANSWER_S)
        except (OSError, TimeoutError):
            return 0, None

    async def _pause(self, sent_at: float) -> None:
        """Wait until the next report is due, or something has changed."""
        interval_s = self._times["report_s"] * random.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout_at(sent_at + interval_s):
                await self._change.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(max(0.0, sent_at + MIN_INTERVAL_S - time.monotonic()))

    def _on_answer(self, answer: dict[str, Any], sent_at: float, tenure: int) -> None:
        self._expire()
        if tenure != self.tenure or answer.get("mandate", -1) < self.mandate:
            return
        self._see(answer["mandate"])
        self._lease_from = max(self._lease_from, sent_at)
        self._execute(answer["orders"])

    def _see(self, mandate: int) -> None:
        if mandate > self.mandate:
            self.mandate = mandate
            self._change.set()

    def _expire(self) -> None:
        """Kill all tasks and begin the next session if the lease is over."""
        if time.monotonic() - self._lease_from <= self._times["lease_s"]:
            return
        live = sum(_is_live(task) for task in self.tasks.values())
        if live:
            self.lease_ends += 1
            self._note("lease-over", host=self.host, tasks_killed=live)
        for task in self.tasks.values():
            task.end("killed")
        self.tasks.clear()
        self.tenure += 1
        self._lease_from = time.monotonic()
        self._change.set()

    def stop(self) -> None:
        """Kill everything: the machine is gone."""
        for task in self.tasks.values():
            task.end("killed")
        for client in self._clients.values():
            client.close()

    # -- commands ---------------------------------------------------------------------------

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "start":
                self._start(*key)
            elif order["verb"] == "halt" and key in self.tasks:
                self.tasks[key].end("stopped")
            elif order["verb"] == "clear" and key in self.tasks and not _is_live(self.tasks[key]):
                del self.tasks[key]
            self._change.set()

    def _start(self, piece: str, attempt: int) -> None:
        if (piece, attempt) in self.tasks:
            return
        job = self._jobs.get(piece.partition("/")[0])
        task = Task(piece, attempt, job)
        if job is None:
            task.end("unknown")
        elif any(_is_live(other) and other.piece == piece for other in self.tasks.values()):
            task.end("in_use")
        elif any(job[name] > self.free(name) + 1e-6 for name in ("vcpus", "cards", "mem_gb")):
            task.end("no_room")
        self.tasks[piece, attempt] = task
        if task.status != "ended":
            task.run = asyncio.create_task(self._run(task))

    async def _run(self, task: Task) -> None:
        """Fetch the image, and run the task to its end."""
        job = task.job
        assert job is not None
        if job["bundle"] not in self._images:
            await asyncio.sleep(job["image_gb"] / self.flavour["fetch_gb_per_s"])
            self._images.add(job["bundle"])
        task.status = "running"
        self.started[job["ref"]] = self.started.get(job["ref"], 0) + 1
        self._change.set()
        if self.fails_tasks:
            await asyncio.sleep(FAILS_AFTER_S)
            task.end("error")
        elif job["shape"] != "daemon":
            await asyncio.sleep(job["guess_s"])
            task.end("done")
        else:
            return
        self._change.set()


def _is_live(task: Task) -> bool:
    return task.status in LIVE
