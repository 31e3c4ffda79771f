"""Stand-ins for store, cloud and workers, in memory: what tests and the quick start run against.

They keep to the protocol as far as the tests need it, and take the time from a clock that the
test moves by hand.
"""

from __future__ import annotations

from typing import Any, NoReturn

import msgspec

from ryewing.cloud import NoCapacity
from ryewing.jobs import Job, JobRecord
from ryewing.leadership import Authority, Leadership
from ryewing.policy import Policy, defaults
from ryewing.settings import Settings
from ryewing.store import Compacted, LeaseLost, Put, Rejected, Remove, StoreDown, TxnResult
from ryewing.units import Epoch, MachineId, Stamp, Steady, Term
from ryewing.wire import (
    Change,
    ChangeLog,
    Entry,
    Flavour,
    Hire,
    ListedHost,
    Order,
    Report,
    ReportedPiece,
    Run,
)

RAW_SETTINGS: dict[str, Any] = {
    "node": "n-0",
    "domain": "a",
    "api_addr": "127.0.0.1:18080",
    "mesh_addr": "127.0.0.1:18081",
    "members": [
        {"node": "n-1", "domain": "b", "address": "127.0.0.1:18082"},
        {"node": "n-2", "domain": "c", "address": "127.0.0.1:18083"},
    ],
    "endpoints": {"cloud": "127.0.0.1:18084", "state": "127.0.0.1:18085"},
    "params": {
        "count": 3,
        "zones": ["a", "b", "c"],
        "teams": [
            {"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 8.0},
            {"name": "blue", "cpus": 0.0, "cpus_max": 64.0, "gpus": 4.0, "gpus_max": 0.0},
        ],
        "objectives": [
            {"kind": "finished", "class": "scan", "within_s": 60.0, "share": 0.9},
            {"kind": "finished", "class": "scan", "within_s": 120.0, "share": 0.9},
            {"kind": "deadline", "class": "model", "share": 0.9, "times": 1.0},
        ],
        "workers": {
            "report_s": 3.0,
            "lease_s": 20.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 4.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 8},
        "cloud": {"rps": 3.0, "list_lag_s": 10.0},
        "resources": {"core_share": 0.5, "mem_mb": 150.0, "fd_limit": 800},
        "clock_off_ms": 1000.0,
    },
}

CPU = Flavour("c32", 32.0, 128.0, 2.0, ("a", "b", "c"), 0.0, 0.7, 50.0, 0.2, 20.0)
GPU = Flavour("g4", 24.0, 192.0, 8.0, ("a", "b", "c"), 4.0, 3.0, 100.0, 0.2, 40.0)


def settings() -> Settings:
    """Give settings for tests."""
    return msgspec.convert(RAW_SETTINGS, Settings)


def policy() -> Policy:
    """Give the default policy for these settings."""
    return defaults(settings())


def run(ref: str = "run-1", **changes: Any) -> Run:
    """Make a submission: an array of four small tasks, unless changed."""
    fields: dict[str, Any] = {
        "ref": ref,
        "jobclass": "scan",
        "owner": "red",
        "shape": "batch",
        "rank": "standard",
        "pieces": 4,
        "vcpus": 4.0,
        "cards": 0.0,
        "mem_gb": 8.0,
        "bundle": "img-1",
        "image_gb": 0.0,
        "guess_s": 30.0,
        "savepoint_s": 0.0,
        "flush_s": 0.0,
    }
    fields.update(changes)
    return Run(**fields)


def submission(ref: str = "run-1", **changes: Any) -> dict[str, Any]:
    """Give the body by which a user submits it, with what a stored job leaves out."""
    left_out = {"together": False, "spread": False, "loaner": False}
    return {**left_out, **msgspec.to_builtins(run(ref, **changes))}


def job(ref: str = "run-1", at: float = 0.0, **changes: Any) -> Job:
    """Make a live job."""
    return Job(JobRecord(run(ref, **changes), at), Stamp(1))


class Clock:
    """A steady clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> Steady:
        return Steady(self.now)


class FakeStore:
    """The state service in memory, with switches for its failures."""

    def __init__(self) -> None:
        self.limits = settings().params.state
        self.rejected: list[str] = []
        """What was refused for being too large, or too many changes at once."""
        self.data: dict[str, tuple[bytes, int, int | None]] = {}
        self.epoch = 0
        self.log: list[Change] = []
        self.leases: set[int] = set()
        self.down = False
        self.lose_answers = False
        self.writes = 0

    def _check(self) -> None:
        if self.down:
            raise StoreDown("503")

    def _reject(self, why: str) -> NoReturn:
        self.rejected.append(why)
        raise Rejected(f"400: {why}")

    def get(self, key: str) -> Entry | None:
        self._check()
        if key not in self.data:
            return None
        data, stamp, _ = self.data[key]
        return Entry(key, msgspec.Raw(data), stamp)

    def listing(self, prefix: str) -> tuple[list[Entry], Epoch]:
        self._check()
        found = [
            Entry(key, msgspec.Raw(value), stamp)
            for key, (value, stamp, _) in sorted(self.data.items())
            if key.startswith(prefix)
        ]
        return found, Epoch(self.epoch)

    def txn(self, conditions: dict[str, Stamp], writes: list[Put | Remove]) -> TxnResult:
        self._check()
        writes = list(writes)
        if len(writes) > self.limits.txn_ops:
            self._reject(f"{len(writes)} changes")
        for write in writes:
            if isinstance(write, Put):
                size = len(msgspec.json.encode(write.value))
                if size > self.limits.value_kb * 1024:
                    self._reject(f"{write.key}: {size} bytes")
        assert len({write.key for write in writes}) == len(writes), "a key is written twice"
        self.writes += len(writes)
        failed = {
            key
            for key, stamp in conditions.items()
            if (self.data[key][1] if key in self.data else 0) != stamp
        }
        if failed:
            return TxnResult(False, Epoch(self.epoch), frozenset(failed))
        for write in writes:
            if isinstance(write, Put) and write.lease and write.lease not in self.leases:
                raise LeaseLost(str(write.lease))
        self.epoch += 1
        for write in writes:
            if isinstance(write, Put):
                value = msgspec.json.encode(write.value)
                self.data[write.key] = (value, self.epoch, write.lease)
                self.log.append(Change(self.epoch, set=write.key, data=msgspec.Raw(value)))
            elif self.data.pop(write.key, None) is not None:
                self.log.append(Change(self.epoch, remove=write.key))
        if self.lose_answers:
            raise StoreDown("the answer was lost")
        return TxnResult(True, Epoch(self.epoch), frozenset())

    def grant(self, ttl_s: float) -> int:
        self._check()
        lease = len(self.leases) + 1
        self.leases.add(lease)
        return lease

    def renew(self, lease: int, deadline_s: float) -> None:
        self._check()
        if lease not in self.leases:
            raise LeaseLost(str(lease))

    def expire(self, lease: int) -> None:
        """End a lease, as its time would."""
        self.leases.discard(lease)
        for key in [k for k, v in self.data.items() if v[2] == lease]:
            del self.data[key]
            self.epoch += 1
            self.log.append(Change(self.epoch, remove=key))

    def watch(self, prefix: str, since: Epoch, wait_s: float) -> ChangeLog:
        self._check()
        if since < 0:
            raise Compacted
        log = [
            change
            for change in self.log
            if change.stamp > since and (change.set or change.remove or "").startswith(prefix)
        ]
        return ChangeLog(self.epoch, log)


class FakeCloud:
    """The cloud in memory."""

    def __init__(self) -> None:
        self.capacity = 100
        self.requests: list[Hire] = []
        self.answers: dict[str, list[MachineId]] = {}
        self.released: list[MachineId] = []
        self.listed: list[ListedHost] = []

    def flavours(self) -> list[Flavour]:
        return [CPU, GPU]

    def rent(self, hire: Hire) -> list[MachineId]:
        self.requests.append(hire)
        if hire.hire in self.answers:
            return self.answers[hire.hire]
        count = min(hire.how_many, self.capacity)
        if not count:
            raise NoCapacity
        self.capacity -= count
        at = sum(len(names) for names in self.answers.values())
        names = [MachineId(f"i-{at + n:06d}") for n in range(count)]
        self.answers[hire.hire] = names
        return names

    def release(self, machines: list[MachineId]) -> None:
        self.released.extend(machines)

    def machines(self) -> list[ListedHost]:
        return self.listed


class FakeWorker:
    """A worker: executes commands as the protocol says, without time passing by itself."""

    def __init__(self, name: str, flavour: str = "c32", site: str = "a", loaner: bool = False):
        self.name = name
        self.flavour = flavour
        self.site = site
        self.loaner = loaner
        self.mandate = 0
        self.tenure = 1
        self.tick = 0
        self.warning_s: float | None = None
        self.pieces: dict[tuple[str, int], ReportedPiece] = {}

    def report(self) -> Report:
        self.tick += 1
        return Report(
            self.name,
            self.tenure,
            self.tick,
            self.mandate,
            self.flavour,
            self.site,
            f"10.1.0.{int(self.name[2:]) + 1}:9000",
            self.loaner,
            self.warning_s,
            list(self.pieces.values()),
        )

    def execute(self, mandate: int, orders: list[Order]) -> bool:
        """Execute a response's commands; False if the token is too low."""
        if mandate < self.mandate:
            return False
        self.mandate = mandate
        for order in orders:
            key = (order.piece, order.attempt)
            if order.verb == "start":
                self.pieces.setdefault(key, ReportedPiece(order.piece, order.attempt, "running"))
            elif order.verb == "halt" and key in self.pieces:
                if self.pieces[key].status != "ended":
                    self.pieces[key] = ReportedPiece(order.piece, order.attempt, "ended", "stopped")
            elif order.verb == "clear":
                self.pieces.pop(key, None)
        return True

    def finish(self, cause: str = "done") -> None:
        """End everything that runs here."""
        for key, piece in self.pieces.items():
            if piece.status != "ended":
                self.end_task(key, cause)

    def end_task(self, key: tuple[str, int], cause: str = "done") -> None:
        """End one task."""
        self.pieces[key] = ReportedPiece(*key, "ended", cause)


def leadership(term: int = 5, authority: Authority | None = None) -> Leadership:
    """Make a won term whose lease was confirmed just now."""
    if authority is None:
        authority = Authority(3.0, 15.0)
    return Leadership(Term(term), Stamp(0), 1, authority)
