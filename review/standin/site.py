"""A whole site on loopback: stand-ins, the controllers as processes, and users."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from .http import Client, encode, serve
from .state import StateService
from .worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_S = 10.0
SUBMIT_S, POLL_S = 5.0, 2.0
NODES = ("worker-0", "worker-1", "worker-2")
STATE_LIMITS = {"rps": 80.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8}
"""Those of Tariffgate (BRIEF)."""
TIMES = {
    "report_s": 3.0,
    "lease_s": 20.0,
    "gang_wait_s": 35.0,
    "gang_peer_s": 4.0,
    "cancel_s": 40.0,
}
LIST_LAG_S = 10.0
INTERESTING = ("event=leading", "event=stepped-down", "event=loop-failed", "event=lease-expired")


class CouldNotRunError(Exception):
    """The case could not run as planned."""


def reserve_ports(count: int) -> list[socket.socket]:
    """Return sockets bound to free loopback ports, on which a server can listen meanwhile.

    Nobody else gets these ports as long as the sockets are open.
    """
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    return sockets


class Site:
    """The cloud, the users' side, and the controllers' processes of one run."""

    def __init__(self, folder: Path, flavours: list[dict[str, Any]], teams: list[str]) -> None:
        self.flavours = {flavour["sku"]: flavour for flavour in flavours}
        self.capacity: dict[str, int] = {}
        """By machine type, how many more machines the cloud rents out."""
        self.boot_s = 1.5
        self.workers: dict[str, Worker] = {}
        self._all_workers: list[Worker] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        """The submitted jobs, which workers read by themselves."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._began_at = time.monotonic()
        self._record: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self._teams = teams
        self._asked = 0
        self.avoided: str | None = None
        """A node to which the load balancer gives no new connection of a user."""
        self._listed: dict[str, dict[str, Any]] = {}
        self._gone_at: dict[str, float] = {}
        self._rented: dict[str, list[str]] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._loops: dict[str, list[asyncio.Task[Any]]] = {"": []}
        self._servers: list[asyncio.Server] = []
        self._reserved = reserve_ports(2 + 2 * len(NODES))
        ports = [sock.getsockname()[1] for sock in self._reserved]
        self._state_port, self._cloud_port = ports[:2]
        self.api = dict(zip(NODES, ports[2::2], strict=True))
        self._mesh = dict(zip(NODES, ports[3::2], strict=True))
        self._state = StateService(STATE_LIMITS)

    # -- the record -------------------------------------------------------------------------

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began_at

    def note(self, what: str, /, **values: Any) -> None:
        """Write a line of the record."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._record.write(f"{self.now():8.3f} {what} {text}\n")
        self._record.flush()

    # -- beginning and end ------------------------------------------------------------------

    async def start(self, machines: dict[str, int]) -> None:
        """Start everything; `machines` are up already, by type."""
        self._servers.append(await serve(self._state_port, self._state.handle))
        self._servers.append(await serve(self._cloud_port, self._on_cloud))
        self._loops[""].append(asyncio.create_task(self._state.expire_loop()))
        for sku, count in machines.items():
            for _ in range(count):
                await self._boot(self._new_machine(sku, "a", False, 600.0), 0.0)
        for node in NODES:
            self._start_controller(node)
        until = time.monotonic() + START_S
        while not all([await self._is_healthy(node) for node in NODES]):
            if time.monotonic() >= until:
                raise CouldNotRunError("the controllers did not start")
            await asyncio.sleep(0.1)

    async def _is_healthy(self, node: str) -> bool:
        client = Client(self.api[node])
        try:
            return (await client.request("GET", "/healthz", None, 1.0))[0] == 200
        except (OSError, TimeoutError):
            return False
        finally:
            client.close()

    def _settings(self, node: str) -> dict[str, Any]:
        members = [
            {"node": other, "domain": "a", "address": f"127.0.0.1:{port}"}
            for other, port in self._mesh.items()
            if other != node
        ]
        none = {"cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        return {
            "node": node,
            "domain": "a",
            "api_addr": f"127.0.0.1:{self.api[node]}",
            "mesh_addr": f"127.0.0.1:{self._mesh[node]}",
            "members": members,
            "endpoints": {
                "cloud": f"127.0.0.1:{self._cloud_port}",
                "state": f"127.0.0.1:{self._state_port}",
            },
            "params": {
                "count": len(NODES),
                "zones": ["a"],
                "teams": [{"name": name, **none} for name in self._teams],
                "objectives": [],
                "workers": TIMES,
                "state": STATE_LIMITS,
                "cloud": {"rps": 3.0, "list_lag_s": LIST_LAG_S},
                "resources": {"core_share": 0.432, "mem_mb": 146.0, "fd_limit": 800},
                "clock_off_ms": 1000.0,
            },
        }

    def _start_controller(self, node: str) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        file = self._folder / f"{node}.json"
        file.write_text(json.dumps(self._settings(node)))
        with (self._folder / f"{node}.log").open("ab") as log:
            self._processes[node] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(file)],
                cwd=ROOT,
                env={**os.environ, "LOG_LEVEL": "info", "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note("controller-started", node=node)

    async def run(self, case: Callable[[Site], Awaitable[int]], machines: dict[str, int]) -> int:
        """Run a case, end all processes, and return its verdict."""
        loop = asyncio.get_running_loop()
        running = asyncio.current_task()
        assert running is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, running.cancel)
        with tempfile.TemporaryDirectory() as folder:
            self._folder = Path(folder)
            try:
                await self.start(machines)
                verdict = await case(self)
            except (Exception, asyncio.CancelledError) as error:  # every fault of the run itself
                self.note("could-not-run", error=repr(error))
                verdict = COULD_NOT_RUN
            finally:
                self._stop()
        self.note("verdict", exit=verdict, meaning=("held", "broken", "could not run")[verdict])
        self._record.close()
        return verdict

    def _stop(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
        for loops in self._loops.values():
            for task in loops:
                task.cancel()
        for server in self._servers:
            server.close()
        for worker in self.workers.values():
            worker.stop()
        for sock in self._reserved:
            sock.close()
        for node in NODES:
            for line in (self._folder / f"{node}.log").read_text(errors="replace").splitlines():
                if any(event in line for event in INTERESTING) or "Error" in line:
                    self._record.write(f"log of {node}: {line}\n")

    # -- the cloud --------------------------------------------------------------------------

    def _new_machine(self, sku: str, site: str, loaner: bool, age_s: float) -> dict[str, Any]:
        ref = f"i-{len(self._listed):06d}"
        self._reserved += reserve_ports(1)
        self._listed[ref] = {
            "ref": ref,
            "addr": f"127.0.0.1:{self._reserved[-1].getsockname()[1]}",
            "flavour": sku,
            "site": site,
            "loaner": loaner,
            "status": "booting",
            "rented_at": time.monotonic() - age_s,
        }
        return self._listed[ref]

    async def _boot(self, machine: dict[str, Any], boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine["ref"] in self._gone_at:
            return
        machine["status"] = "running"
        worker = Worker(
            machine, self.flavours[machine["flavour"]], TIMES, self.api, self.jobs, self.note
        )
        self.workers[worker.host] = worker
        self._all_workers.append(worker)
        server = await serve(int(machine["addr"].split(":")[1]), worker.on_direct)
        loops = [asyncio.create_task(worker.work()), asyncio.create_task(server.serve_forever())]
        self._loops[worker.host] = loops

    async def _on_cloud(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if path == "/machine_types":
            return 200, {"flavours": list(self.flavours.values())}
        if path == "/machines/release":
            self._release(body["hosts"])
            return 200, {}
        if method == "POST":
            return self._rent(body)
        return 200, {"hosts": self._list(query), "has_next": False}

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["hire"] not in self._rented:
            count = min(body["how_many"], self.capacity.get(body["flavour"], 0))
            if count == 0:
                return 503, {"error": "no capacity"}
            self.capacity[body["flavour"]] -= count
            machines = [
                self._new_machine(body["flavour"], body["site"], body["loaner"], 0.0)
                for _ in range(count)
            ]
            for machine in machines:
                self._loops[""].append(asyncio.create_task(self._boot(machine, self.boot_s)))
            self._rented[body["hire"]] = [machine["ref"] for machine in machines]
            self.note("rented", hire=body["hire"], hosts=",".join(self._rented[body["hire"]]))
        return 200, {"hosts": self._rented[body["hire"]]}

    def _release(self, hosts: list[str]) -> None:
        for ref in hosts:
            if ref in self._gone_at or ref not in self._listed:
                continue
            self._gone_at[ref] = time.monotonic()
            sku = self._listed[ref]["flavour"]
            self.capacity[sku] = self.capacity.get(sku, 0) + 1
            worker = self.workers.pop(ref, None)
            live = 0
            if worker is not None:
                live = sum(task.status in ("fetching", "running") for task in worker.tasks.values())
                worker.stop()
            self.note("released", host=ref, flavour=sku, tasks_killed=live)
            for task in self._loops.pop(ref, []):
                task.cancel()

    def _list(self, query: dict[str, str]) -> list[dict[str, Any]]:
        """Return the machines as they were some seconds ago."""
        then = time.monotonic() - LIST_LAG_S
        return [
            {
                **{name: value for name, value in machine.items() if name != "rented_at"},
                "age_s": round(then - machine["rented_at"], 1),
            }
            for ref, machine in sorted(self._listed.items())
            if ref > query.get("since", "")
            and machine["rented_at"] <= then
            and self._gone_at.get(ref, then + 1) > then
        ]

    # -- users ------------------------------------------------------------------------------

    async def _ask(
        self, method: str, path: str, body: Any, deadline_s: float
    ) -> tuple[int, Any, str]:
        """Send one request by a new connection to the next node."""
        self._asked += 1
        node = NODES[self._asked % len(NODES)]
        if node == self.avoided:
            self._asked += 1
            node = NODES[self._asked % len(NODES)]
        client = Client(self.api[node])
        try:
            data = encode(body) if body is not None else b"" if method == "POST" else None
            return *await client.request(method, path, data, deadline_s), node
        except (OSError, TimeoutError):
            return 0, None, node
        finally:
            client.close()

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job, with retries for up to 60 s."""
        self.jobs[spec["ref"]] = spec
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            status, answer, node = await self._ask("POST", "/v2/runs", spec, SUBMIT_S)
            self.note("submitted", job=spec["ref"], node=node, status=status, answer=answer)
            if status in (200, 201):
                return
            if status in (400, 422):
                break
            await asyncio.sleep(1.0)
        raise CouldNotRunError(f"{spec['ref']} was not accepted")

    async def poll(self, ref: str) -> str | None:
        """Ask for a job's status; return None without an answer."""
        status, answer, node = await self._ask("GET", f"/v2/runs/{ref}", None, POLL_S)
        self.note("polled", job=ref, node=node, status=status, answer=answer)
        return answer["status"] if status == 200 else None

    async def wait(self, what: str, is_so: Callable[[], bool], for_s: float) -> bool:
        """Wait until something is so; return whether it is, and note when."""
        until = time.monotonic() + for_s
        while not is_so():
            if time.monotonic() >= until:
                self.note("not-seen", what=repr(what), waited_s=for_s)
                return False
            await asyncio.sleep(0.05)
        self.note("seen", what=repr(what))
        return True

    async def require(self, what: str, is_so: Callable[[], bool], for_s: float) -> None:
        """Wait until something is so that a run needs."""
        if not await self.wait(what, is_so, for_s):
            raise CouldNotRunError(what)

    def running(self, job: str) -> int:
        """Return how many tasks of a job run on all machines."""
        return sum(worker.running(job) for worker in self.workers.values())

    def started(self, job: str) -> int:
        """Return how many tasks of a job began to run on any machine until now."""
        return sum(worker.started.get(job, 0) for worker in self._all_workers)


def job(ref: str, **changes: Any) -> dict[str, Any]:
    """Return a submission."""
    return {
        "ref": ref,
        "jobclass": "ledgerrecon",
        "owner": "clearance",
        "shape": "batch",
        "rank": "standard",
        "pieces": 1,
        "vcpus": 1.0,
        "cards": 0.0,
        "mem_gb": 2.0,
        "bundle": "img-01",
        "image_gb": 0.3,
        "flavours": None,
        "site": None,
        "together": False,
        "spread": False,
        "loaner": False,
        "guess_s": 3.0,
        "savepoint_s": 0.0,
        "flush_s": 0.0,
        "due_s": None,
        **changes,
    }


def main(case: Callable[[Site], Awaitable[int]], site: Site, machines: dict[str, int]) -> None:
    """Run a case and exit with its verdict."""
    sys.exit(asyncio.run(site.run(case, machines)))
