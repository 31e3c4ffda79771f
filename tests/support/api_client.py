"""A client of the HTTP API, over a fake node, leader and store; no sockets are opened."""

from __future__ import annotations

import io
from typing import Any

import msgspec

from ryewing.api.final_states import FinalStateCache
from ryewing.api.router import Api
from ryewing.clients.store import Put
from ryewing.clients.user_request_limiter import UserRequestLimiter
from ryewing.state.job_records import JobRecord, final_key, live_key
from ryewing.units import JobId, ShardName, Zone
from ryewing.wire.jobs import JobSpec, JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse
from support.fakes import CPU, GPU, FakeStore, job_spec, policy, protocol_keys, settings, submission

UNBOUNDED_RPS = 1e9
"""The rate of the store has tests of its own (`test_user_request_limiter.py`)."""


class FakeLeader:
    """A leader that knows the status of some jobs."""

    def __init__(self) -> None:
        self.statuses: dict[str, JobStatus] = {}

    def job_status(self, job: JobId) -> JobStatus | None:
        return self.statuses.get(job)

    def on_heartbeat(self, _heartbeat: Any) -> HeartbeatResponse | None:
        return None


class FakeNode:
    """The `Controller` protocol of the interface, without a process."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.user_limiter = UserRequestLimiter(UNBOUNDED_RPS, 1)
        self.policy = policy()
        self.final_states = FinalStateCache(capacity=3)
        self.leader: FakeLeader | None = None
        self.teams = {team.name: team for team in settings().params.teams}
        self.machine_types = {"c32": CPU, "g4": GPU}
        self.cancel_acknowledged = True
        self.is_job_memory_full = False
        self.remote_leader_name: str | None = "n-1"
        self.remote_statuses: dict[str, JobStatus] = {}

    def healthy(self) -> bool:
        return True

    def known_machine_types(self) -> dict[str, Any]:
        return self.machine_types

    def query_leader(self, job: JobId) -> JobStatus | None:
        return self.remote_statuses.get(job)

    def announce_cancel(self, _job: JobId, _shard: ShardName | None) -> bool:
        return self.cancel_acknowledged

    def remote_leader(self, _zone: Zone) -> str | None:
        return self.remote_leader_name

    def job_memory_full(self, _shard: ShardName | None) -> bool:
        return self.is_job_memory_full

    def choose_shard(self, _spec: JobSpec) -> ShardName | None:
        return None

    def local_status(self, job: JobId) -> JobStatus | None:
        return self.leader.job_status(job) if self.leader is not None else None

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        return self.leader.on_heartbeat(heartbeat) if self.leader is not None else None


class Client:
    """Calls the API as a WSGI server does."""

    def __init__(self) -> None:
        self.node = FakeNode()
        self.api = Api(self.node)  # type: ignore[arg-type]
        self.headers: dict[str, str] = {}

    def __call__(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        seen: list[str] = []

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            seen.append(status)
            self.headers = dict(headers)

        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
        }
        answer = b"".join(self.api(environ, start_response))
        return int(seen[0].split()[0]), msgspec.json.decode(answer)

    def submit(self, **changes: Any) -> tuple[int, Any]:
        body = {**submission(), **protocol_keys(changes)}
        return self("POST", "/v2/runs", msgspec.json.encode(body))

    def add_live_job(self, ref: str = "run-1", cancelled: bool = False) -> None:
        record = JobRecord(job_spec(ref), 0.0, cancelled)
        self.node.store.txn({}, [Put(live_key(JobId(ref)), record)])

    def add_final_record(self, ref: str, status: str) -> None:
        self.node.store.txn({}, [Put(final_key(JobId(ref)), {"status": status})])
