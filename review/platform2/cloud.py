"""The cloud (PROTOCOL, "Controller nodes -> cloud")."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from .http11 import JsonServer
from .worker import Worker


class Cloud:
    """Machines of a few types; rented ones are up after the boot time of their type."""

    def __init__(
        self,
        flavours: list[dict[str, Any]],
        capacity: int,
        make_worker: Callable[[dict[str, Any]], Worker],
    ) -> None:
        """`capacity` is how many machines may exist at a time."""
        self._flavours = flavours
        self._capacity = capacity
        self._make_worker = make_worker
        self._lock = threading.RLock()
        self._hires: dict[str, list[str]] = {}
        self._next = 0
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.server = JsonServer(self._handle)
        self.address = self.server.address

    def add(self, flavour: str, site: str, loaner: bool) -> str:
        """Create a machine that is not up yet, and return its name."""
        with self._lock:
            name = f"i-{self._next:06d}"
            self._next += 1
            sku = next(each for each in self._flavours if each["sku"] == flavour)
            self.machines[name] = {
                "host": name,
                "flavour": flavour,
                "site": site,
                "loaner": loaner,
                "vcpus": sku["vcpus"],
                "cards": sku["cards"],
                "mem_gb": sku["mem_gb"],
                "fetch_gb_per_s": sku["fetch_gb_per_s"],
                "hired_at": time.monotonic(),
            }
            return name

    def boot(self, name: str) -> Worker | None:
        """Bring a machine up: its worker begins to report."""
        with self._lock:
            machine = self.machines.get(name)
            if machine is None:
                return None
            self.workers[name] = self._make_worker(machine)
            return self.workers[name]

    def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        with self._lock:
            if path == "/machine_types":
                return 200, {"flavours": self._flavours}
            if path == "/machines/release":
                return self._release(body["hosts"])
            return self._hire(body) if method == "POST" else self._list(query)

    def _hire(self, body: Any) -> tuple[int, Any]:
        if body["hire"] in self._hires:
            return 200, {"hosts": self._hires[body["hire"]]}
        count = min(int(body["how_many"]), self._capacity - len(self.machines))
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(body["flavour"], body["site"], body["loaner"]) for _ in range(count)]
        self._hires[body["hire"]] = names
        ready_s = next(f["ready_s"] for f in self._flavours if f["sku"] == body["flavour"])
        for name in names:
            timer = threading.Timer(ready_s, self.boot, (name,))
            timer.daemon = True
            timer.start()
        return 200, {"hosts": names}

    def _release(self, names: list[str]) -> tuple[int, Any]:
        for name in names:
            self.machines.pop(name, None)
            worker = self.workers.pop(name, None)
            if worker is not None:
                worker.stop()
        return 200, {}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        since = query.get("since", "")
        size = min(500, int(query.get("page", "500")))
        names = sorted(name for name in self.machines if name > since)
        hosts = []
        for name in names[:size]:
            machine, worker = self.machines[name], self.workers.get(name)
            hosts.append(
                {
                    "ref": name,
                    "addr": worker.server.address if worker is not None else "",
                    "flavour": machine["flavour"],
                    "site": machine["site"],
                    "loaner": machine["loaner"],
                    "status": "running" if worker is not None else "booting",
                    "age_s": time.monotonic() - machine["hired_at"],
                }
            )
        return 200, {"hosts": hosts, "has_next": len(names) > size}
