#!/usr/bin/env python3
"""Runs a small cluster on loopback for the quick start: store, cloud, workers and controllers.

    python3 tests/support/loopback.py --controllers 3 --port 18000

The program writes settings files, starts the controllers as child processes, and simulates the
store, the cloud and the workers in its own process, in real time. Tasks run for their job's
`guess_s`, replicas of a `daemon` until they are stopped. Image fetches take no time, and the store
and the cloud have no rate limits. Faults can be injected through the cloud's port:

    curl -X POST "http://127.0.0.1:18001/trouble/end?piece=run-000001/0&cause=error"
    curl -X POST "http://127.0.0.1:18001/trouble/lose?host=i-000000"

With `--upgrade-from DIR` the controllers first run the program of another checkout, and are
restarted with this one's, one after the other; then the store lowers its limits. Ctrl-C ends all
processes.

With `--shards zones:2` the fleet is divided into two shards. `--folder DIR` writes the settings
files to that directory, for `run.py shards DIR/n-0.json`. `GET /trouble/starts` returns how often
each task was started, `/trouble/observed` the numbers of store requests and writes and the time and
zone of each task start.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
if (ROOT / "target" / "deps").is_dir():
    sys.path.insert(0, str(ROOT / "target" / "deps"))

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from ryewing.clients.cloud import NoCapacityError  # noqa: E402
from ryewing.clients.http_client import HttpClient, UnreachableError  # noqa: E402
from ryewing.clients.store import LeaseLostError, Put, RejectedError, Remove  # noqa: E402
from ryewing.state.job_records import JobRecord, live_key  # noqa: E402
from ryewing.units import JobId, KeyVersion, Revision  # noqa: E402
from ryewing.wire.cloud import (  # noqa: E402
    ListedMachine,
    MachineNames,
    MachinePage,
    MachineTypeList,
    RentalRequest,
)
from ryewing.wire.jobs import SERVICE  # noqa: E402
from ryewing.wire.workers import DirectCommands, HeartbeatResponse, ReportedTask  # noqa: E402
from support.fakes import RAW_SETTINGS, FakeCloud, FakeStore, FakeWorker  # noqa: E402

Handler = Any
BOOT_S = 1.0
REPORT_S = 1.0
UPGRADE_INTERVAL_S = 8.0
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 20.0}


def serve(port: int, handler: Handler) -> WSGIServer:
    """Start an HTTP server on a loopback port that answers in JSON; return the server."""

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        status, response = handler(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body)
        start(f"{status} -", [("Content-Type", "application/json")])
        return [msgspec.json.encode(response)]

    server = WSGIServer(("127.0.0.1", port), application, log=None)
    server.start()
    return server


class LoopbackCluster:
    """Simulates the store, the cloud and the workers for the controllers."""

    def __init__(self, port: int, controllers: int) -> None:
        self.port = port
        self.store = FakeStore()
        self.cloud = FakeCloud()
        self.controllers = [f"n-{n}" for n in range(controllers)]
        self.api = {name: port + 10 + 2 * n for n, name in enumerate(self.controllers)}
        self.expiries: dict[int, gevent.Greenlet] = {}
        """By lease, the greenlet that expires it."""
        self.ttl_s: dict[int, float] = {}
        self.starts: Counter[str] = Counter()
        self.store_requests = 0
        self.start_events: list[tuple[float, str]] = []
        """Time and zone of each task start."""
        self.live_workers: dict[str, FakeWorker] = {}
        """By machine id, the workers that have booted and were neither lost nor released."""

    def start(self) -> None:
        """Start the HTTP servers of the store and the cloud."""
        serve(self.port, self.on_store)
        serve(self.port + 1, self.on_cloud)

    def settings(self, name: str) -> dict[str, Any]:
        """Return the content of a controller's settings file."""
        raw: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(RAW_SETTINGS))
        raw.update(
            node=name,
            api_addr=f"127.0.0.1:{self.api[name]}",
            mesh_addr=f"127.0.0.1:{self.api[name] + 1}",
            members=[
                {"node": other, "domain": "a", "address": f"127.0.0.1:{port + 1}"}
                for other, port in self.api.items()
                if other != name
            ],
            endpoints={
                "state": f"127.0.0.1:{self.port}",
                "cloud": f"127.0.0.1:{self.port + 1}",
            },
        )
        raw["params"]["workers"]["report_s"] = REPORT_S
        raw["params"]["state"]["next"] = NEXT_LIMITS
        return raw

    # -- the store --------------------------------------------------------------------------

    def _expire_after(self, lease: int, ttl_s: float) -> None:
        gevent.sleep(ttl_s)
        self.store.expire(lease)

    def on_store(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Handle a request to the store; return the HTTP status and the body."""
        store = self.store
        self.store_requests += 1
        if path == "/holds":
            ttl_s = msgspec.json.decode(body)["ttl_ms"] / 1000
            lease = store.grant(ttl_s)
            self.ttl_s[lease] = ttl_s
            self.expiries[lease] = gevent.spawn(self._expire_after, lease, ttl_s)
            return 200, {"tenancy": lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            try:
                store.renew(lease, 1.0)
            except LeaseLostError:
                return 404, {}
            self.expiries[lease].kill()
            if method == "DELETE":
                store.expire(lease)
            else:
                self.expiries[lease] = gevent.spawn(self._expire_after, lease, self.ttl_s[lease])
            return 200, {}
        if path == "/txn":
            request = msgspec.json.decode(body)
            writes = [
                Put(w["set"], w["data"], w.get("tenancy")) if "set" in w else Remove(w["remove"])
                for w in request["writes"]
            ]
            try:
                result = store.txn({c["k"]: KeyVersion(c["stamp"]) for c in request["if"]}, writes)
            except LeaseLostError:
                return 400, {"error": "no such lease"}
            except RejectedError as error:
                return 400, {"error": str(error)}
            response = {"epoch": result.revision, "failed": sorted(result.failed_keys)}
            return (200 if result.ok else 409), response
        if path == "/changes":
            for _ in range(int(query.get("wait_ms", "0")) // 20 + 1):
                changes = store.watch(query["starts"], Revision(int(query["since"])), 0.0)
                if changes.log:
                    break
                gevent.sleep(0.02)
            return 200, changes
        if path == "/store":
            entries, revision = store.listing(query.get("starts", ""))
            return 200, {"pairs": entries, "has_next": False, "epoch": revision}
        entry = store.get(path.removeprefix("/store/"))
        return (200, entry) if entry is not None else (404, {"epoch": store.revision})

    # -- the cloud --------------------------------------------------------------------------

    def on_cloud(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Handle a request to the cloud, or inject a fault; return the HTTP status and the body."""
        if path == "/machine_types":
            return 200, MachineTypeList(self.cloud.machine_types())
        if path == "/machines" and method == "POST":
            request = msgspec.json.decode(body, type=RentalRequest)
            repeated = request.id in self.cloud.answers
            try:
                names = self.cloud.rent(request)
            except NoCapacityError:
                return 503, {"error": "no capacity"}
            for name in () if repeated else names:
                worker = FakeWorker(str(name), request.machine_type, request.zone, request.spot)
                gevent.spawn(self.run_worker, worker)
            return 200, MachineNames([str(name) for name in names])
        if path == "/trouble/end":
            for worker in self.live_workers.values():
                for key, reported in worker.tasks.items():
                    if reported.task_id == query["piece"] and reported.status == "running":
                        worker.tasks[key] = ReportedTask(*key, "ended", query["cause"])
            return 200, {}
        if path == "/trouble/starts":
            return 200, self.starts
        if path == "/trouble/observed":
            return 200, {
                "now": time.monotonic(),
                "store_requests": self.store_requests,
                "store_writes": self.store.writes,
                "starts": self.start_events,
            }
        if path == "/trouble/lose":
            return 200, {"lost": self.live_workers.pop(query["host"], None) is not None}
        if path == "/machines/release":
            for machine in msgspec.json.decode(body, type=MachineNames).machines:
                self.live_workers.pop(machine, None)
            return 200, {}
        listed = [
            ListedMachine(w.name, w.machine_type, w.zone, "running")
            for w in self.live_workers.values()
        ]
        return 200, MachinePage(listed)

    # -- the workers ------------------------------------------------------------------------

    def _run_task(self, worker: FakeWorker, key: tuple[str, int]) -> None:
        entry = self.store.get(live_key(JobId(key[0].split("/")[0])))
        if entry is not None:
            if msgspec.json.decode(entry.data, type=JobRecord).spec.shape == SERVICE:
                return
            gevent.sleep(msgspec.json.decode(entry.data, type=JobRecord).spec.estimated_s)
        reported = worker.tasks.get(key)
        if reported is not None and reported.status == "running":
            worker.tasks[key] = ReportedTask(reported.task_id, reported.attempt, "ended", "done")

    def _execute(self, worker: FakeWorker, token: int, commands: list[Any]) -> None:
        before = set(worker.tasks)
        worker.execute(token, commands)
        for key in set(worker.tasks) - before:
            self.starts[key[0]] += 1
            self.start_events.append((time.monotonic(), worker.zone))
            gevent.spawn(self._run_task, worker, key)

    def run_worker(self, worker: FakeWorker) -> None:
        """Simulate a machine (boot, commands, heartbeats) until it is lost or released."""
        gevent.sleep(BOOT_S)
        self.live_workers[worker.name] = worker
        port = self.port + 100 + int(worker.name[2:])

        def heartbeat() -> Any:
            message = worker.heartbeat()
            message.address = f"127.0.0.1:{port}"
            return message

        def commands(method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
            if path == "/orders":
                sent = msgspec.json.decode(body, type=DirectCommands)
                if sent.token < worker.token or sent.incarnation != worker.incarnation:
                    return 409, heartbeat()
                self._execute(worker, sent.token, sent.commands)
            return 200, heartbeat()

        server = serve(port, commands)
        clients = {name: HttpClient(("127.0.0.1", api), 1) for name, api in self.api.items()}
        node = self.controllers[0]
        while worker.name in self.live_workers:
            try:
                reply = clients[node].request(
                    "POST", "/v1/report", msgspec.json.encode(heartbeat()), 4.0
                )
            except UnreachableError:
                reply = None
            if reply is not None and reply.status == 200:
                response = msgspec.json.decode(reply.body, type=HeartbeatResponse)
                self._execute(worker, response.token, response.commands)
            elif reply is not None and reply.status == 421:
                node = msgspec.json.decode(reply.body).get("foreman") or node
                continue
            else:
                node = self.controllers[(self.controllers.index(node) + 1) % len(self.controllers)]
            gevent.sleep(REPORT_S)
        server.stop(timeout=0)


def upgrade(
    cluster: LoopbackCluster, processes: list[subprocess.Popen[bytes]], commands: list[list[str]]
) -> None:
    """Restart the controllers one after the other by `commands`; then lower the store's limits."""
    for n, command in enumerate(commands):
        gevent.sleep(UPGRADE_INTERVAL_S)
        processes[n].kill()
        processes[n].wait()
        print(f"{cluster.controllers[n]}: replaced", flush=True)
        processes[n] = subprocess.Popen(command, env=os.environ.copy())
    gevent.sleep(UPGRADE_INTERVAL_S)
    cluster.store.limits = msgspec.structs.replace(cluster.store.limits, **NEXT_LIMITS)
    print("the store's limits are lowered", flush=True)


def main() -> None:
    """Run the cluster until Ctrl-C."""
    # Shells start background processes with SIGINT ignored, and child processes inherit that.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--port", type=int, default=18000)
    parser.add_argument("--upgrade-from", type=Path, metavar="DIR")
    parser.add_argument("--shards", metavar="FILE|zones:N")
    parser.add_argument("--folder", type=Path, metavar="DIR")
    arguments = parser.parse_args()
    cluster = LoopbackCluster(arguments.port, arguments.controllers)
    cluster.start()
    processes: list[subprocess.Popen[bytes]] = []
    commands: list[list[str]] = []
    with tempfile.TemporaryDirectory() as folder:
        for name in cluster.controllers:
            file = (arguments.folder or Path(folder)) / f"{name}.json"
            file.write_bytes(msgspec.json.encode(cluster.settings(name)))
            shards_option = ["--shards", arguments.shards] if arguments.shards else []
            commands.append(
                [sys.executable, str(ROOT / "run.py"), *shards_option, "--config", str(file)]
            )
            command = list(commands[-1])
            if arguments.upgrade_from is not None:
                command[1] = str(arguments.upgrade_from / "run.py")
            processes.append(subprocess.Popen(command, env=os.environ.copy()))
            print(
                f"{name}: users at http://127.0.0.1:{cluster.api[name]}, "
                f"process {processes[-1].pid}",
                flush=True,
            )
        if arguments.upgrade_from is not None:
            gevent.spawn(upgrade, cluster, processes, commands)
        try:
            while True:
                gevent.sleep(1.0)
        except KeyboardInterrupt:
            pass
        finally:
            for process in processes:
                process.kill()
                process.wait()


if __name__ == "__main__":
    main()
