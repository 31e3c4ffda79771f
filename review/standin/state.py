"""A stand-in for the state service (PROTOCOL, "Controller nodes -> state service")."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from typing import Any

CHANGES_KEPT = 10_000
PAGE_ITEMS = 1000
PAGE_BYTES = 512 * 1024
TXN_BYTES = 64 * 1024
LATENCY_S = 0.004

Answer = tuple[int, Any]
TOO_MANY: Answer = (429, {"error": "too many"})


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = self._level = rate
        self._at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Take the amount if it is there."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class StateService:
    """Keys with versions, leases and watches, within the limits of the settings."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self._limits = limits
        self._requests = Bucket(limits["rps"])
        self._writes = Bucket(limits["write_rps"])
        self.epoch = 1
        self.keys: dict[str, dict[str, Any]] = {}
        self._log: deque[dict[str, Any]] = deque(maxlen=CHANGES_KEPT)
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        """Answer one request."""
        if not self._requests.take(1):
            return TOO_MANY
        await asyncio.sleep(LATENCY_S)
        self._expire()
        if path == "/txn":
            return self._transact(body)
        if path == "/changes":
            return await self._watch(query)
        if path == "/store":
            return self._list(query)
        if path.startswith("/store/"):
            entry = self.keys.get(path.removeprefix("/store/"))
            return (200, entry) if entry is not None else (404, {"epoch": self.epoch})
        if path.startswith("/holds"):
            return self._lease(method, path, body)
        return 400, {"error": "no such path"}

    async def expire_loop(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    # -- leases -----------------------------------------------------------------------------

    def _lease(self, method: str, path: str, body: Any) -> Answer:
        if path == "/holds":
            lease, ttl_s = self._next_lease, body["ttl_ms"] / 1000
            self._next_lease += 1
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"tenancy": lease}
        lease = int(path.split("/")[2])
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(lease)
        else:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {}

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (_, until) in self._leases.items() if until <= now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        attached = [key for key, entry in self.keys.items() if entry.get("tenancy") == lease]
        if attached:
            self._apply([{"remove": key} for key in attached])

    # -- keys -------------------------------------------------------------------------------

    def _transact(self, body: Any) -> Answer:
        writes, conditions = body.get("writes") or [], body.get("if") or []
        if not self._writes.take(len(writes)):
            return TOO_MANY
        too_large = any(
            len(json.dumps(write["data"], separators=(",", ":"))) > self._limits["value_kb"] * 1024
            for write in writes
            if "set" in write
        )
        ops = self._limits["txn_ops"]
        if too_large or len(writes) > ops or len(conditions) > 4 * ops:
            return 400, {"error": "above a limit"}
        if len(json.dumps(body, separators=(",", ":"))) > TXN_BYTES:
            return 400, {"error": "above 64 KiB"}
        if any(write.get("tenancy", 0) not in {0, None, *self._leases} for write in writes):
            return 400, {"error": "no such lease"}
        failed = [
            condition["k"]
            for condition in conditions
            if self.keys.get(condition["k"], {}).get("stamp", 0) != condition["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self._apply(writes)
        return 200, {"epoch": self.epoch}

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                entry = {"k": key, "data": write["data"], "stamp": self.epoch}
                if write.get("tenancy"):
                    entry["tenancy"] = write["tenancy"]
                self.keys[key] = entry
                self._log.append({"set": key, "data": write["data"], "stamp": self.epoch})
            elif self.keys.pop(write["remove"], None) is not None:
                self._log.append({"remove": write["remove"], "stamp": self.epoch})
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, query: dict[str, str]) -> Answer:
        prefix, since = query.get("starts", ""), query.get("since", "")
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(PAGE_ITEMS, int(query.get("page", PAGE_ITEMS)))]:
            size += len(json.dumps(self.keys[key]))
            if pairs and size > PAGE_BYTES:
                break
            pairs.append(self.keys[key])
        return 200, {"pairs": pairs, "has_next": len(pairs) < len(keys), "epoch": self.epoch}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, since = query.get("starts", ""), int(query.get("since", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if len(self._log) == CHANGES_KEPT and self._log[0]["stamp"] > since + 1:
                return 410, {"error": "too old"}
            log = [
                change
                for change in self._log
                if change["stamp"] > since
                and (change.get("set") or change.get("remove", "")).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if log or left_s <= 0:
                return 200, {"epoch": self.epoch, "log": log}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
