"""In-memory fakes of the store, the cloud and workers, for tests and for the quick start.

They implement the protocol as far as tests need it. Leases expire, tasks end and machines boot only
when the test calls for it.
"""

from __future__ import annotations

from typing import Any, NoReturn

import msgspec

from ryewing.clients.cloud import MAX_MACHINES_PER_PAGE, NoCapacityError
from ryewing.clients.store import (
    LeaseLostError,
    Put,
    RejectedError,
    Remove,
    StoreUnavailableError,
    TxnResult,
    WatchExpiredError,
)
from ryewing.config.policy import Policy, default_policy
from ryewing.config.settings import Settings
from ryewing.election.leadership import Leadership
from ryewing.election.lease_validity import LeaseValidity
from ryewing.state.job_records import JobRecord
from ryewing.state.jobs import Job
from ryewing.units import KeyVersion, MachineId, MonotonicTime, Revision, TermNumber
from ryewing.wire.cloud import ListedMachine, MachinePage, MachineType, RentalRequest
from ryewing.wire.jobs import JobSpec
from ryewing.wire.store import Change, ChangeLog, Entry
from ryewing.wire.workers import Command, Heartbeat, ReportedTask

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

CPU = MachineType("c32", 32.0, 128.0, 2.0, ("a", "b", "c"), 0.0, 0.7, 50.0, 0.2, 20.0)
GPU = MachineType("g4", 24.0, 192.0, 8.0, ("a", "b", "c"), 4.0, 3.0, 100.0, 0.2, 40.0)


def settings() -> Settings:
    """Return `RAW_SETTINGS` as decoded settings."""
    return msgspec.convert(RAW_SETTINGS, Settings)


def policy() -> Policy:
    """Return the default policy for `settings()`."""
    return default_policy(settings())


def job_spec(ref: str = "run-1", **changes: Any) -> JobSpec:
    """Return the spec of an array of four small tasks, with the given fields changed."""
    fields: dict[str, Any] = {
        "id": ref,
        "job_class": "scan",
        "team": "red",
        "shape": "batch",
        "priority": "standard",
        "task_count": 4,
        "cpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 8.0,
        "image": "img-1",
        "image_gb": 0.0,
        "estimated_s": 30.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    fields.update(changes)
    return JobSpec(**fields)


def protocol_keys(changes: dict[str, Any]) -> dict[str, Any]:
    """Rename fields of `JobSpec` to their JSON keys; other names stay."""
    keys = {field.name: field.encode_name for field in msgspec.structs.fields(JobSpec)}
    return {keys.get(name, name): value for name, value in changes.items()}


def submission(ref: str = "run-1", **changes: Any) -> dict[str, Any]:
    """Return the body of a submission, with the required flags that a stored spec omits."""
    required_flags = {"together": False, "spread": False, "loaner": False}
    return {**required_flags, **msgspec.to_builtins(job_spec(ref, **changes))}


def job(ref: str = "run-1", at: float = 0.0, **changes: Any) -> Job:
    """Return a live job."""
    return Job(JobRecord(job_spec(ref, **changes), at), KeyVersion(1))


class Clock:
    """A monotonic clock that the test advances by setting `now`, in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> MonotonicTime:
        return MonotonicTime(self.now)


class FakeStore:
    """An in-memory store that can inject faults; leases expire only through `expire`."""

    def __init__(self) -> None:
        self.limits = settings().params.state
        self.rejected: list[str] = []
        """Reasons for rejected transactions: a value too large, or too many changes."""
        self.data: dict[str, tuple[bytes, int, int | None]] = {}
        """By key: encoded value, version, and the lease it is attached to."""
        self.revision = 0
        self.log: list[Change] = []
        self.leases: set[int] = set()
        self.last_lease = 0
        self.down = False
        """Every request fails."""
        self.lose_answers = False
        """Transactions are applied, but their callers get an error."""
        self.writes = 0

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("503")

    def _reject(self, reason: str) -> NoReturn:
        self.rejected.append(reason)
        raise RejectedError(f"400: {reason}")

    def get(self, key: str) -> Entry | None:
        self._check()
        if key not in self.data:
            return None
        data, key_version, _ = self.data[key]
        return Entry(key, msgspec.Raw(data), key_version)

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        self._check()
        entries = [
            Entry(key, msgspec.Raw(value), key_version)
            for key, (value, key_version, _) in sorted(self.data.items())
            if key.startswith(prefix)
        ]
        return entries, Revision(self.revision)

    def txn(self, conditions: dict[str, KeyVersion], writes: list[Put | Remove]) -> TxnResult:
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
            for key, key_version in conditions.items()
            if (self.data[key][1] if key in self.data else 0) != key_version
        }
        if failed:
            return TxnResult(False, Revision(self.revision), frozenset(failed))
        for write in writes:
            if isinstance(write, Put) and write.lease and write.lease not in self.leases:
                raise LeaseLostError(str(write.lease))
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                value = msgspec.json.encode(write.value)
                self.data[write.key] = (value, self.revision, write.lease)
                self.log.append(Change(self.revision, set=write.key, data=msgspec.Raw(value)))
            elif self.data.pop(write.key, None) is not None:
                self.log.append(Change(self.revision, remove=write.key))
        if self.lose_answers:
            raise StoreUnavailableError("the answer was lost")
        return TxnResult(True, Revision(self.revision), frozenset())

    def grant(self, ttl_s: float) -> int:
        self._check()
        self.last_lease += 1  # lease numbers are never reused
        self.leases.add(self.last_lease)
        return self.last_lease

    def renew(self, lease: int, deadline_s: float) -> None:
        self._check()
        if lease not in self.leases:
            raise LeaseLostError(str(lease))

    def expire(self, lease: int) -> None:
        """Expire or revoke a lease, and remove the keys attached to it."""
        self.leases.discard(lease)
        for key in [k for k, v in self.data.items() if v[2] == lease]:
            del self.data[key]
            self.revision += 1
            self.log.append(Change(self.revision, remove=key))

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        self._check()
        if since < 0:
            raise WatchExpiredError
        log = [
            change
            for change in self.log
            if change.key_version > since and (change.set or change.remove or "").startswith(prefix)
        ]
        return ChangeLog(self.revision, log)


class FakeCloud:
    """An in-memory cloud that grants all requested machines at once, up to its capacity."""

    def __init__(self) -> None:
        self.capacity = 100
        self.requests: list[RentalRequest] = []
        self.answers: dict[str, list[MachineId]] = {}
        """By rental id, the machines granted; a repeated request gets the same answer."""
        self.released: list[MachineId] = []
        self.listed: list[ListedMachine] = []

    def machine_types(self) -> list[MachineType]:
        return [CPU, GPU]

    def rent(self, request: RentalRequest) -> list[MachineId]:
        self.requests.append(request)
        if request.id in self.answers:
            return self.answers[request.id]
        count = min(request.count, self.capacity)
        if not count:
            raise NoCapacityError
        self.capacity -= count
        first = sum(len(names) for names in self.answers.values())
        names = [MachineId(f"i-{first + n:06d}") for n in range(count)]
        self.answers[request.id] = names
        return names

    def release(self, machines: list[MachineId]) -> None:
        self.released.extend(machines)

    def machine_page(self, since: str) -> MachinePage:
        after = sorted((m for m in self.listed if m.id > since), key=lambda machine: machine.id)
        return MachinePage(after[:MAX_MACHINES_PER_PAGE], len(after) > MAX_MACHINES_PER_PAGE)


class FakeWorker:
    """A worker that executes commands as the protocol says; only the test ends its tasks."""

    def __init__(self, name: str, machine_type: str = "c32", zone: str = "a", spot: bool = False):
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.token = 0
        self.incarnation = 1
        self.sequence = 0
        self.notice_s: float | None = None
        """Seconds until the cloud reclaims the spot machine, once announced."""
        self.tasks: dict[tuple[str, int], ReportedTask] = {}

    def heartbeat(self) -> Heartbeat:
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.incarnation,
            self.sequence,
            self.token,
            self.machine_type,
            self.zone,
            f"10.1.0.{int(self.name[2:]) + 1}:9000",
            self.spot,
            self.notice_s,
            list(self.tasks.values()),
        )

    def execute(self, token: int, commands: list[Command]) -> bool:
        """Execute the commands of a response; return False if its fencing token is too low."""
        if token < self.token:
            return False
        self.token = token
        for command in commands:
            key = (command.task_id, command.attempt)
            if command.verb == "start":
                self.tasks.setdefault(
                    key, ReportedTask(command.task_id, command.attempt, "running")
                )
            elif command.verb == "halt" and key in self.tasks:
                if self.tasks[key].status != "ended":
                    self.tasks[key] = ReportedTask(
                        command.task_id, command.attempt, "ended", "stopped"
                    )
            elif command.verb == "clear":
                self.tasks.pop(key, None)
        return True

    def restart(self, keeps_counters: bool = False, keeps_token: bool = False) -> None:
        """Lose all tasks, and by default the counters and the token, as a machine that is back."""
        self.tasks.clear()
        if not keeps_counters:
            self.incarnation, self.sequence = 1, 0
        if not keeps_token:
            self.token = 0

    def finish(self, cause: str = "done") -> None:
        """End all tasks with a cause."""
        for key, reported in self.tasks.items():
            if reported.status != "ended":
                self.end_task(key, cause)

    def end_task(self, key: tuple[str, int], cause: str = "done") -> None:
        """End one task attempt with a cause."""
        self.tasks[key] = ReportedTask(*key, "ended", cause)


def leadership(term: int = 5, lease_validity: LeaseValidity | None = None) -> Leadership:
    """Return the leadership of a won term; the default validity has no confirmed renewal."""
    if lease_validity is None:
        lease_validity = LeaseValidity(3.0, 15.0)
    return Leadership(TermNumber(term), KeyVersion(0), 1, lease_validity)
