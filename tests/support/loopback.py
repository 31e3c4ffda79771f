#!/usr/bin/env python3
"""A small cluster on loopback for the quick start: store, cloud, workers and controllers.

    python3 tests/support/loopback.py --controllers 3 --port 18000

It writes the controllers' settings files, starts them as processes of their own, and simulates the
rest in this one, by the real clock. Tasks run for their job's `guess_s`, replicas of a `daemon`
until stopped; images take no time, and neither the store nor the cloud limits its requests. The
cloud's port also injects faults, to be tried by hand:

    curl -X POST "http://127.0.0.1:18001/trouble/end?piece=run-000001/0&cause=error"
    curl -X POST "http://127.0.0.1:18001/trouble/lose?host=i-000000"

With `--upgrade-from DIR` the controllers begin with the program of another checkout, and are
replaced by this one's one after the other; then the store's limits fall. Ctrl-C ends it all.

With `--shards zones:2` the controllers share the fleet; `--folder DIR` keeps the settings files
there, for `run.py shards DIR/n-0.json`. `GET /trouble/starts` tells how often each task was
started, `/trouble/observed` what else is counted.
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
UPGRADE_EVERY_S = 8.0
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 20.0}


def serve(port: int, handler: Handler) -> WSGIServer:
    """Serve JSON on a loopback port."""

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        status, answer = handler(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body)
        start(f"{status} -", [("Content-Type", "application/json")])
        return [msgspec.json.encode(answer)]

    server = WSGIServer(("127.0.0.1", port), application, log=None)
    server.start()
    return server


class LoopbackCluster:
    """The simulated store, cloud and workers of the controllers."""

    def __init__(self, port: int, controllers: int) -> None:
        self.port = port
        self.store = FakeStore()
        self.cloud = FakeCloud()
        self.controllers = [f"n-{n}" for n in range(controllers)]
        self.api = {name: port + 10 + 2 * n for n, name in enumerate(self.controllers)}
        self.renewals: dict[int, gevent.Greenlet] = {}
        self.ttl_s: dict[int, float] = {}
        self.starts: Counter[str] = Counter()
        self.store_requests = 0
        self.started: list[tuple[float, str]] = []
        """When and in which zone each task was started."""
        self.live: dict[str, FakeWorker] = {}

    def start(self) -> None:
        """Open the ports of store and cloud."""
        serve(self.port, self.on_store)
        serve(self.port + 1, self.on_cloud)

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of one controller."""
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

    def _expiry(self, tenancy: int, ttl_s: float) -> None:
        gevent.sleep(ttl_s)
        self.store.expire(tenancy)

    def on_store(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Answer as the store."""
        store = self.store
        self.store_requests += 1
        if path == "/holds":
            ttl_s = msgspec.json.decode(body)["ttl_ms"] / 1000
            tenancy = store.grant(ttl_s)
            self.ttl_s[tenancy] = ttl_s
            self.renewals[tenancy] = gevent.spawn(self._expiry, tenancy, ttl_s)
            return 200, {"tenancy": tenancy}
        if path.startswith("/holds/"):
            tenancy = int(path.split("/")[2])
            try:
                store.renew(tenancy, 1.0)
            except LeaseLostError:
                return 404, {}
            self.renewals[tenancy].kill()
            if method == "DELETE":
                store.expire(tenancy)
            else:
                self.renewals[tenancy] = gevent.spawn(self._expiry, tenancy, self.ttl_s[tenancy])
            return 200, {}
        if path == "/txn":
            ask = msgspec.json.decode(body)
            writes = [
                Put(w["set"], w["data"], w.get("tenancy")) if "set" in w else Remove(w["remove"])
                for w in ask["writes"]
            ]
            try:
                result = store.txn({c["k"]: KeyVersion(c["stamp"]) for c in ask["if"]}, writes)
            except LeaseLostError:
                return 400, {"error": "no such lease"}
            except RejectedError as error:
                return 400, {"error": str(error)}
            answer = {"epoch": result.revision, "failed": sorted(result.failed_keys)}
            return (200 if result.ok else 409), answer
        if path == "/changes":
            for _ in range(int(query.get("wait_ms", "0")) // 20 + 1):
                changes = store.watch(query["starts"], Revision(int(query["since"])), 0.0)
                if changes.log:
                    break
                gevent.sleep(0.02)
            return 200, changes
        if path == "/store":
            pairs, revision = store.listing(query.get("starts", ""))
            return 200, {"pairs": pairs, "has_next": False, "epoch": revision}
        entry = store.get(path.removeprefix("/store/"))
        return (200, entry) if entry is not None else (404, {"epoch": store.revision})

    # -- the cloud --------------------------------------------------------------------------

    def on_cloud(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Answer as the cloud."""
        if path == "/machine_types":
            return 200, MachineTypeList(self.cloud.machine_types())
        if path == "/machines" and method == "POST":
            request = msgspec.json.decode(body, type=RentalRequest)
            known = request.id in self.cloud.answers
            try:
                names = self.cloud.rent(request)
            except NoCapacityError:
                return 503, {"error": "no capacity"}
            for name in () if known else names:
                worker = FakeWorker(str(name), request.machine_type, request.zone, request.spot)
                gevent.spawn(self.work, worker)
            return 200, MachineNames([str(name) for name in names])
        if path == "/trouble/end":
            for worker in self.live.values():
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
                "starts": self.started,
            }
        if path == "/trouble/lose":
            return 200, {"lost": self.live.pop(query["host"], None) is not None}
        if path == "/machines/release":
            for gone in msgspec.json.decode(body, type=MachineNames).machines:
                self.live.pop(gone, None)
            return 200, {}
        listed = [
            ListedMachine(w.name, w.machine_type, w.zone, "running") for w in self.live.values()
        ]
        return 200, MachinePage(listed)

    # -- the workers ------------------------------------------------------------------------

    def _run(self, worker: FakeWorker, key: tuple[str, int]) -> None:
        entry = self.store.get(live_key(JobId(key[0].split("/")[0])))
        if entry is not None:
            if msgspec.json.decode(entry.data, type=JobRecord).spec.shape == SERVICE:
                return
            gevent.sleep(msgspec.json.decode(entry.data, type=JobRecord).spec.estimated_s)
        reported = worker.tasks.get(key)
        if reported is not None and reported.status == "running":
            worker.tasks[key] = ReportedTask(reported.task_id, reported.attempt, "ended", "done")

    def _obey(self, worker: FakeWorker, token: int, commands: list[Any]) -> None:
        before = set(worker.tasks)
        worker.execute(token, commands)
        for key in set(worker.tasks) - before:
            self.starts[key[0]] += 1
            self.started.append((time.monotonic(), worker.zone))
            gevent.spawn(self._run, worker, key)

    def work(self, worker: FakeWorker) -> None:
        """Simulate one machine: boot, serve direct commands, send heartbeats."""
        gevent.sleep(BOOT_S)
        self.live[worker.name] = worker
        port = self.port + 100 + int(worker.name[2:])

        def heartbeat() -> Any:
            message = worker.heartbeat()
            message.address = f"127.0.0.1:{port}"
            return message

        def commands(method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
            if path == "/orders":
                ask = msgspec.json.decode(body, type=DirectCommands)
                if ask.token < worker.token or ask.incarnation != worker.incarnation:
                    return 409, heartbeat()
                self._obey(worker, ask.token, ask.commands)
            return 200, heartbeat()

        server = serve(port, commands)
        clients = {name: HttpClient(("127.0.0.1", api), 1) for name, api in self.api.items()}
        at = self.controllers[0]
        while worker.name in self.live:
            try:
                reply = clients[at].request(
                    "POST", "/v1/report", msgspec.json.encode(heartbeat()), 4.0
                )
            except UnreachableError:
                reply = None
            if reply is not None and reply.status == 200:
                answer = msgspec.json.decode(reply.body, type=HeartbeatResponse)
                self._obey(worker, answer.token, answer.commands)
            elif reply is not None and reply.status == 421:
                at = msgspec.json.decode(reply.body).get("foreman") or at
                continue
            else:
                at = self.controllers[(self.controllers.index(at) + 1) % len(self.controllers)]
            gevent.sleep(REPORT_S)
        server.stop(timeout=0)


def upgrade(
    cluster: LoopbackCluster, processes: list[subprocess.Popen[bytes]], commands: list[list[str]]
) -> None:
    """Replace the controllers one after the other; then the store's limits fall."""
    for n, command in enumerate(commands):
        gevent.sleep(UPGRADE_EVERY_S)
        processes[n].kill()
        processes[n].wait()
        print(f"{cluster.controllers[n]}: replaced", flush=True)
        processes[n] = subprocess.Popen(command, env=os.environ.copy())
    gevent.sleep(UPGRADE_EVERY_S)
    cluster.store.limits = msgspec.structs.replace(cluster.store.limits, **NEXT_LIMITS)
    print("the store's limits have fallen", flush=True)


def main() -> None:
    """Run the cluster until it is interrupted."""
    # A shell lets what it starts in the background ignore Ctrl-C, and children inherit that.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--controllers", type=int, default=3)
    options.add_argument("--port", type=int, default=18000)
    options.add_argument("--upgrade-from", type=Path, metavar="DIR")
    options.add_argument("--shards", metavar="FILE|zones:N")
    options.add_argument("--folder", type=Path, metavar="DIR")
    chosen = options.parse_args()
    cluster = LoopbackCluster(chosen.port, chosen.controllers)
    cluster.start()
    processes: list[subprocess.Popen[bytes]] = []
    commands: list[list[str]] = []
    with tempfile.TemporaryDirectory() as folder:
        for name in cluster.controllers:
            file = (chosen.folder or Path(folder)) / f"{name}.json"
            file.write_bytes(msgspec.json.encode(cluster.settings(name)))
            division = ["--shards", chosen.shards] if chosen.shards else []
            commands.append(
                [sys.executable, str(ROOT / "run.py"), *division, "--config", str(file)]
            )
            command = list(commands[-1])
            if chosen.upgrade_from is not None:
                command[1] = str(chosen.upgrade_from / "run.py")
            processes.append(subprocess.Popen(command, env=os.environ.copy()))
            print(
                f"{name}: users at http://127.0.0.1:{cluster.api[name]}, "
                f"process {processes[-1].pid}",
                flush=True,
            )
        if chosen.upgrade_from is not None:
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
