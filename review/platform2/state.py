"""The state service (PROTOCOL, "Controller nodes -> state service")."""

from __future__ import annotations

import threading
import time
from typing import Any

from .http11 import JsonServer

WATCH_POLL_S = 0.02
PAGE_MAX = 1000


class StateService:
    """A consistent key-value store with leases, conditional transactions and watches."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self.epoch = 0
        self._data: dict[str, tuple[Any, int, int | None]] = {}
        """By key: value, version, and the lease that it is attached to."""
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        """By lease: when it ends, and for how long it is renewed."""
        self._last_lease = 0
        self.server = JsonServer(self._handle)
        self.address = self.server.address

    def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        if path == "/changes":
            return self._changes(query)
        with self._lock:
            self._expire()
            if path == "/txn":
                return self._txn(body)
            if path == "/holds":
                return self._grant(body)
            if path.startswith("/holds/"):
                return self._lease(method, int(path.split("/")[2]))
            if path == "/store":
                return self._page(query)
            return self._get(path.removeprefix("/store/"))

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (ends, _) in self._leases.items() if ends <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, entry in self._data.items() if entry[2] == lease]
        if keys:
            self.epoch += 1
        for key in keys:
            del self._data[key]
            self._log.append((self.epoch, {"remove": key, "stamp": self.epoch}))

    def _grant(self, body: Any) -> tuple[int, Any]:
        self._last_lease += 1
        ttl_s = body["ttl_ms"] / 1000
        self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"tenancy": self._last_lease}

    def _lease(self, method: str, lease: int) -> tuple[int, Any]:
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {}

    def _get(self, key: str) -> tuple[int, Any]:
        entry = self._data.get(key)
        if entry is None:
            return 404, {"epoch": self.epoch}
        return 200, {"k": key, "data": entry[0], "stamp": entry[1], "tenancy": entry[2]}

    def _page(self, query: dict[str, str]) -> tuple[int, Any]:
        starts, since = query.get("starts", ""), query.get("since", "")
        size = min(PAGE_MAX, int(query.get("page", PAGE_MAX)))
        keys = sorted(key for key in self._data if key.startswith(starts) and key > since)
        pairs = [
            {"k": key, "data": self._data[key][0], "stamp": self._data[key][1]}
            for key in keys[:size]
        ]
        return 200, {"pairs": pairs, "has_next": len(keys) > size, "epoch": self.epoch}

    def _txn(self, body: Any) -> tuple[int, Any]:
        failed = [
            c["k"]
            for c in body.get("if", ())
            if (self._data[c["k"]][1] if c["k"] in self._data else 0) != c["stamp"]
        ]
        writes = body.get("writes") or ()
        if any(w.get("tenancy") and w["tenancy"] not in self._leases for w in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                self._data[key] = (write["data"], self.epoch, write.get("tenancy"))
                change = {"set": key, "data": write["data"], "stamp": self.epoch}
                self._log.append((self.epoch, change))
            elif self._data.pop(write["remove"], None) is not None:
                change = {"remove": write["remove"], "stamp": self.epoch}
                self._log.append((self.epoch, change))
        return 200, {"epoch": self.epoch}

    def _changes(self, query: dict[str, str]) -> tuple[int, Any]:
        starts, since = query.get("starts", ""), int(query["since"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            with self._lock:
                self._expire()
                log = [
                    change
                    for epoch, change in self._log
                    if epoch > since and (change.get("set") or change["remove"]).startswith(starts)
                ]
                if log or time.monotonic() >= until:
                    return 200, {"epoch": self.epoch, "log": log}
            time.sleep(WATCH_POLL_S)
