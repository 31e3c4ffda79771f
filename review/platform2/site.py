"""A small deployment: three controllers as processes, and the stand-ins that they use."""

from __future__ import annotations

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .cloud import Cloud
from .http11 import ask
from .record import Record
from .state import StateService
from .worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
SETTLED_S = 20.0
ZONES = ["beitbridge", "centurion", "ormarins", "umhlanga"]
FLAVOURS = [
    {
        "sku": "drakens32g",
        "vcpus": 32,
        "cards": 4,
        "mem_gb": 128,
        "local_gb": 50,
        "fetch_gb_per_s": 0.3,
        "price": 8.6,
        "spot_price": 2.36,
        "ready_s": 45,
        "sites": ZONES,
    },
    {
        "sku": "ashanti24g",
        "vcpus": 24,
        "cards": 4,
        "mem_gb": 192,
        "local_gb": 50,
        "fetch_gb_per_s": 0.5,
        "price": 10.33,
        "spot_price": 3.4,
        "ready_s": 60,
        "sites": ZONES,
    },
    {
        "sku": "veld64",
        "vcpus": 64,
        "cards": 0,
        "mem_gb": 256,
        "local_gb": 50,
        "fetch_gb_per_s": 0.3,
        "price": 4.24,
        "spot_price": 1.16,
        "ready_s": 20,
        "sites": ZONES,
    },
]
TIMES = {
    "report_s": 3.0,
    "lease_s": 20.0,
    "gang_wait_s": 35.0,
    "gang_peer_s": 4.0,
    "cancel_s": 40.0,
}
JOB: dict[str, Any] = {
    "jobclass": "ledgerrecon",
    "owner": "clearance",
    "shape": "batch",
    "rank": "idle",
    "pieces": 1,
    "vcpus": 1.0,
    "cards": 0.0,
    "mem_gb": 2.4,
    "bundle": "img-1",
    "image_gb": 1.5,
    "flavours": None,
    "site": None,
    "together": False,
    "spread": False,
    "loaner": True,
    "guess_s": 25.0,
    "savepoint_s": 0.0,
    "flush_s": 0.0,
    "due_s": None,
}
FINAL = ("done", "cancelled")


class CannotRunError(Exception):
    """The case could not run as planned; this says nothing about the rule."""


def end_in_order() -> None:
    """Let a request to terminate end the case by an exception, so that it ends its processes."""

    def stop(_signal: int, _frame: object) -> None:
        raise CannotRunError("the time is over")

    signal.signal(signal.SIGTERM, stop)


def deploy_command(option: str | None = None) -> list[str]:
    """Return the command that starts a controller, without the settings file."""
    name = option or "service"
    deploy = tomllib.loads((ROOT / "deploy" / f"{name}.toml").read_text(encoding="utf-8"))
    return shlex.split(deploy["run"])


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Site:
    """The controllers, the stand-ins and the users of one run of a case."""

    def __init__(self, record: Record, capacity: int, controllers: int = 3) -> None:
        """Start the stand-ins; `start` starts the controllers."""
        self.record = record
        self.jobs: dict[str, dict[str, Any]] = {}
        """By id: what users have submitted, with the run time of its tasks in `runs_s`."""
        names = [f"worker-{number}" for number in range(controllers)]
        ports = free_ports(2 * controllers)
        self.api = {name: f"127.0.0.1:{ports[2 * n]}" for n, name in enumerate(names)}
        self.mesh = {name: f"127.0.0.1:{ports[2 * n + 1]}" for n, name in enumerate(names)}
        self.state = StateService()
        self.cloud = Cloud(FLAVOURS, capacity, self._make_worker)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="ryewing-case-"))
        self.params_changes: dict[str, Any] = {}

    def _make_worker(self, machine: dict[str, Any]) -> Worker:
        self.record.write(f"{machine['host']} is up, in {machine['site']}")
        return Worker(machine, TIMES, self.api, self.jobs, self.record)

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of one controller, as in `DEPLOY-ryewing.md`."""
        params = {
            "count": len(self.api),
            "zones": ZONES,
            "teams": [
                {"name": "clearance", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "objectives": [
                {"kind": "finished", "class": "ledgerrecon", "within_s": 60.0, "share": 0.82},
                {"kind": "finished", "class": "ledgerrecon", "within_s": 120.0, "share": 0.975},
            ],
            "workers": TIMES,
            "state": {"rps": 80.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8},
            "cloud": {"rps": 3.0, "list_lag_s": 10.0},
            "resources": {"core_share": 0.432, "mem_mb": 146.0, "fd_limit": 800},
            "clock_off_ms": 1000.0,
            **self.params_changes,
        }
        return {
            "node": name,
            "domain": ZONES[0],
            "api_addr": self.api[name],
            "mesh_addr": self.mesh[name],
            "members": [
                {"node": other, "domain": ZONES[0], "address": address}
                for other, address in self.mesh.items()
                if other != name
            ],
            "endpoints": {"cloud": self.cloud.address, "state": self.state.address},
            "params": params,
        }

    def start(self, deploy: str | None = None) -> None:
        """Start the controllers with the command of a deploy file."""
        for name in self.api:
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self.settings(name)), encoding="utf-8")
            log = (self._folder / f"{name}.log").open("ab")
            self.processes[name] = subprocess.Popen(
                [*deploy_command(deploy), str(path)],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "LOG_LEVEL": "info", "PYTHONDONTWRITEBYTECODE": "1"},
            )
        self.wait(SETTLED_S, "the controllers answer", self._all_answer)

    def _all_answer(self) -> bool:
        return all(
            ask(address, "GET", "/healthz", None, 1.0)[0] == 200 for address in self.api.values()
        )

    def stop(self) -> None:
        """End every process and every stand-in that this run has started."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in list(self.cloud.workers.values()):
            worker.stop()

    def remove_files(self) -> None:
        """Remove the settings and the logs of the controllers."""
        shutil.rmtree(self._folder, ignore_errors=True)

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of all controllers' logs that contain a text."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
            if event in line
        ]

    def wait(self, seconds: float, what: str, condition: Callable[[], bool]) -> None:
        """Wait for a condition; raise CannotRunError if it does not come true in time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"not within {seconds:g} s: {what}")
            time.sleep(0.25)

    # -- users ------------------------------------------------------------------------------

    def submit(self, ref: str, runs_s: float, **changes: Any) -> int:
        """Submit a job as a user does, and repeat it until it is answered; return the status."""
        body = {**JOB, "guess_s": runs_s, **changes, "ref": ref}
        self.jobs[ref] = {**body, "runs_s": runs_s}
        until = time.monotonic() + 60.0
        nodes = list(self.api)
        attempt = 0
        while True:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            status, answer = ask(self.api[node], "POST", "/v2/runs", body, 5.0)
            self.record.write(f"submit {json.dumps(body)} at {node}: {status} {answer}")
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            time.sleep(1.0)

    def poll(self, ref: str, node: str | None = None) -> tuple[int, Any]:
        """Ask a node for the state of a job; return status and body."""
        name = node or next(iter(self.api))
        status, answer = ask(self.api[name], "GET", f"/v2/runs/{ref}", None, 2.0)
        self.record.write(f"poll {ref} at {name}: {status} {answer}")
        return status, answer

    def running_on(self, ref: str) -> list[tuple[str, str]]:
        """Return the tasks of a job that run now, each with its machine."""
        return [
            (piece, host)
            for piece, hosts in list(self.record.on.items())
            if piece.startswith(ref + "/")
            for host in list(hosts)
        ]

    def finish(self, ref: str) -> None:
        """Let the running tasks of a job complete now."""
        for worker in list(self.cloud.workers.values()):
            worker.finish(ref)
