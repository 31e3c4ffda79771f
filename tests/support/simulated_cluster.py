"""A simulated cluster: three controllers, store, workers and users, stepped by the test's clock.

The code of the service runs: records in the store, heartbeats and their responses, messages
between controllers, requests of users. Simulated are the store, the network and the workers, with
switches for their faults. Left out are sockets, latency and greenlets: each loop of a controller
runs once in a step, in a fixed order, and direct commands are sent within the step. `RuleChecker`
records what users were told and what workers ran.
"""

from __future__ import annotations

import io
import random
from collections.abc import Callable
from typing import Any

import msgspec

from ryewing.api.router import Api
from ryewing.clients.cloud import CloudUnavailableError
from ryewing.clients.peers import PeerUnavailableError, Request, Response
from ryewing.clients.store import Put, StoreUnavailableError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.config.policy import default_policy
from ryewing.config.settings import Settings
from ryewing.election.campaign import may_campaign
from ryewing.election.election_record import read_election_record
from ryewing.leader.leader import Leader
from ryewing.process.leader_elector import LeaderElector
from ryewing.process.node import Node
from ryewing.sharding.coordinator import Coordinator
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.registry import DivisionDiffersError
from ryewing.sharding.serve import build_coordinator
from ryewing.sharding.settings import ShardSettings
from ryewing.sharding.team_limits import ShardTeamLimits
from ryewing.units import MachineId, ShardName, is_job_id, parse_task_id
from ryewing.wire.cloud import MachineTypeList
from ryewing.wire.jobs import GANG
from ryewing.wire.workers import Heartbeat
from support import cluster_verdict
from support.fakes import CPU, GPU, RAW_SETTINGS, Clock, FakeCloud, job_spec, settings, submission
from support.harness import use_cloud
from support.rule_checker import RuleChecker
from support.timed_store import StoreLink, TimedStore
from support.timed_workers import CONTROLLERS, STEP_S, DirectLink, TimedWorker


class FakePeer:
    """Requests from one controller to another, encoded and decoded as on the wire."""

    def __init__(self, cluster: SimulatedCluster, here: str, there: str) -> None:
        self._cluster = cluster
        self._here, self._there = here, there

    def request(self, request: Request, _deadline_s: float) -> Response:
        cluster = self._cluster
        if (
            frozenset((self._here, self._there)) in cluster.partitions
            or self._there in cluster.dead
        ):
            raise PeerUnavailableError("cut")
        if self._there in cluster.frozen or self._here in cluster.frozen:
            raise PeerUnavailableError("deadline")
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=Request)
        answer = cluster.nodes[self._there].peer_requests.handle(sent)
        interrupt = cluster.before_peer_answer.pop(self._there, None)
        if interrupt is not None:
            interrupt()
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Response)


class SimulatedCluster:
    """Three controllers with their store, workers and users.

    `partitions` are pairs of controllers that can't reach each other, `dead` are controllers whose
    process has ended, and `frozen` those whose process stands still.
    """

    def __init__(self, clock: Clock, shards: ShardSettings | None = None) -> None:
        self.clock = clock
        self.shards = shards
        self.coordinators: dict[str, Coordinator] = {}
        self.settings = settings()
        self.store = TimedStore(clock)
        self.cloud = FakeCloud()
        self.cloud.release = self._release  # type: ignore[method-assign]
        self.cloud_down = False
        self.partitions: set[frozenset[str]] = set()
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.before_peer_answer: dict[str, Callable[[], None]] = {}
        self.workers: dict[str, TimedWorker] = {}
        self.rules = RuleChecker(self)
        self.links: dict[str, StoreLink] = {}
        self.nodes: dict[str, Node] = {}
        self.apis: dict[str, Api] = {}
        self.state_limits: dict[str, float] = {}
        """Limits of the store that differ from the settings, for controllers booted from now on."""
        self.after_load: Callable[[], None] | None = None
        """Called when a new leader has read the store, before anything else."""
        types = msgspec.to_builtins(MachineTypeList([CPU, GPU]))
        self.store.txn({}, [Put("flavours", types)])
        for name in CONTROLLERS:
            self.boot(name)

    def boot(self, name: str) -> None:
        """Start or restart a controller's process."""
        members = [
            {"node": other, "domain": "a", "address": f"127.0.0.1:{18082 + n}"}
            for n, other in enumerate(CONTROLLERS)
            if other != name
        ]
        params = {**RAW_SETTINGS["params"]}
        params["state"] = {**params["state"], **self.state_limits}
        raw = {**RAW_SETTINGS, "node": name, "members": members, "params": params}
        own = msgspec.convert(raw, Settings)
        shards = self.shards
        node = Node(
            own, default_policy(own), ShardDivision(shards, random.Random(1)) if shards else None
        )
        link = StoreLink(self.store)
        link.on_throttled = node.store.on_throttled
        node.store = link  # type: ignore[assignment]
        for elector in node.electors.values():
            elector.store = node.division.store_for(elector.scope, node.store)
        if shards is not None:
            self.coordinators[name] = build_coordinator(node, shards)
        for other in CONTROLLERS:
            if other != name:
                node.peers.members[other] = FakePeer(self, name, other)  # type: ignore[assignment]
        self.links[name] = link
        self.nodes[name] = node
        self.apis[name] = Api(node)
        self.dead.discard(name)

    # -- time -------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass, in steps of `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            self.store.expire_leases()
            for name, node in self.nodes.items():
                if name not in self.dead | self.frozen:
                    self._step_node(name, node)
            for worker in list(self.workers.values()):
                worker.step()
            self.rules.check()

    def _step_node(self, name: str, node: Node) -> None:
        if name in self.coordinators:
            self._coordinate(name)
        for elector in node.electors.values():
            self._step_term(node, elector)

    def _coordinate(self, name: str) -> None:
        try:
            self.coordinators[name].step()
        except (StoreUnavailableError, DivisionDiffersError):
            pass

    def _step_term(self, node: Node, elector: LeaderElector) -> None:
        if elector.leader is None:
            self._follow(node, elector)
        leader = elector.leader
        if leader is None:
            return
        if not leader.term.state_loaded.is_set() and not self.load(leader):
            leader.lease_keeper.renew_once()
            return
        for act in (
            leader.lease_keeper.renew_once,
            leader.job_watcher.watch_once,
            self._writing(leader),
            leader.maintenance.run_once,
            self._dividing_limits(leader),
            self._placing(leader),
            self._giving_up(leader),
        ):
            if elector.leader is leader:
                try:
                    act()
                except (StoreUnavailableError, CloudUnavailableError):
                    pass

    def load(self, leader: Leader) -> bool:
        """Let a new leader read the store; return whether it could."""
        try:
            leader.load()
        except StoreUnavailableError:
            return False
        leader.term.state_loaded.set()
        if self.after_load is not None:
            self.after_load()
        for machine in leader.term.cluster.machines.values():
            if machine.address:
                leader.direct_messages.schedule(machine)
        return True

    def _writing(self, leader: Leader) -> Callable[[], None]:
        def write() -> None:
            for _ in range(8):
                if not leader.term.has_authority() or not leader.writer.write_once():
                    return

        return write

    def _placing(self, leader: Leader) -> Callable[[], None]:
        def place() -> None:
            if leader.term.may_start_operations() and leader.scheduler.check_reconciled():
                leader.scheduler.run_cycle()

        return place

    def _dividing_limits(self, leader: Leader) -> Callable[[], None]:
        limits = leader.term.team_limits
        return limits.step if isinstance(limits, ShardTeamLimits) else lambda: None

    def _follow(self, node: Node, elector: LeaderElector) -> None:
        try:
            election = read_election_record(elector.store)
            elector.observe(election)
            if may_campaign(election, node.identity) and elector.eligible():
                elector.campaign(election)
        except StoreUnavailableError:
            return
        leader = elector.leader
        if leader is not None:
            use_cloud(leader, self.cloud)
            leader.writer.bucket = self._bucket(leader.writer.bucket)
            early = self._bucket(leader.early_heartbeats.bucket)
            leader.early_heartbeats.bucket = early
            leader.scheduler.rng = random.Random(int(leader.term.number))
            leader.direct_messages.workers = DirectLink(self, node.name)  # type: ignore[assignment]
            leader.direct_messages.schedule = leader.direct_messages.send  # type: ignore[method-assign]

    def _bucket(self, bucket: TokenBucket) -> TokenBucket:
        """Return a token bucket by the test's clock, so that a slow machine changes no result."""
        return TokenBucket(bucket.rate, bucket.burst, self.clock)

    def _release(self, machines: list[MachineId]) -> None:
        if self.cloud_down:
            raise CloudUnavailableError("503")
        for name in machines:
            self.workers.pop(name, None)

    def _giving_up(self, leader: Leader) -> Callable[[], None]:
        def give_up() -> None:
            gone = leader.autoscaler.unhealthy_machines(self.clock())
            if gone and leader.term.may_start_operations():
                leader.autoscaler.releaser.release(gone)

        return give_up

    # -- who does what ----------------------------------------------------------------------

    @property
    def leader_name(self) -> str:
        """Return the controller that holds the latest term."""
        return self.leader_of(None)

    def leader_of(self, shard: str | None) -> str:
        """Return the controller that holds the latest term of a shard."""
        found = [(self.leader(name, shard), name) for name in CONTROLLERS]
        leading = [(leader.term.number, name) for leader, name in found if leader is not None]
        return max(leading, default=(0, CONTROLLERS[0]))[1]

    def leader(self, name: str, shard: str | None = None) -> Leader | None:
        """Return the leader in a controller's process, if it leads."""
        return self.nodes[name].electors[ShardName(shard) if shard else None].leader

    def latest_leaders(self) -> list[Leader]:
        """Return the leader of the latest term of each shard."""
        found = [
            self.leader(self.leader_of(shard), shard)
            for shard in self.nodes[CONTROLLERS[0]].electors
        ]
        return [leader for leader in found if leader is not None]

    def worker(self, name: str = "i-000001", **kind: Any) -> TimedWorker:
        """Add a machine and its worker."""
        self.workers[name] = TimedWorker(self, name, **kind)
        return self.workers[name]

    def send_heartbeat(self, node: str, heartbeat: Heartbeat) -> tuple[int, Any]:
        """Deliver a heartbeat, or a copy of one, to a controller; return status and answer."""
        return self.send_http_request(node, "POST", "/v1/report", msgspec.json.encode(heartbeat))

    def submit(self, node: str, ref: str = "run-1", **changes: Any) -> int:
        """Submit a job as a user, or repeat its submission; return the HTTP status."""
        wanted = job_spec(ref, **{"task_count": 1, **changes})
        self.rules.job_specs.setdefault(ref, wanted)
        body = msgspec.json.encode(submission(ref, **{"task_count": 1, **changes}))
        return self._with_final_state(node, ref, "POST", "/v2/runs", body)

    def poll(self, node: str, ref: str = "run-1") -> int:
        """Ask for a job's status as a user; return the HTTP status."""
        return self._with_final_state(node, ref, "GET", f"/v2/runs/{ref}")

    def cancel(self, node: str, ref: str = "run-1") -> int:
        """Cancel a job as a user; return the HTTP status."""
        return self._with_final_state(node, ref, "POST", f"/v2/runs/{ref}/cancel")

    def poll_and_resubmit_everywhere(self, ref: str = "run-1") -> None:
        """Ask every controller for a job's status, and repeat its submission there."""
        for name in CONTROLLERS:
            self.poll(name, ref)
            self.submit(name, ref)

    def finish_tasks(self, worker: TimedWorker) -> None:
        """Finish all tasks of a worker, and let it send a heartbeat in the next step."""
        worker.finish()
        self.rules.check()
        worker.next_heartbeat_at = self.clock()

    def _with_final_state(
        self, node: str, ref: str, method: str, path: str, body: bytes = b""
    ) -> int:
        assert is_job_id(ref)
        if node in self.dead | self.frozen:
            return 0
        status, answer = self.send_http_request(node, method, path, body)
        self.rules.record_answer(node, ref, status, answer)
        return status

    def send_http_request(self, node: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Do one request at a controller's API; return the status and the decoded answer."""
        seen: list[str] = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO(body)}
        answer = b"".join(self.apis[node](environ, lambda status, _headers: seen.append(status)))
        return int(seen[0].split()[0]), msgspec.json.decode(answer)

    def is_gang(self, reported: str) -> bool:
        """Return whether a task is one of a gang, and starts only with the others."""
        task = parse_task_id(reported)
        wanted = self.rules.job_specs.get(task.job) if task is not None else None
        if wanted is None:
            return False
        return bool(wanted.shape == GANG) and bool(wanted.task_count > 1)

    def is_complete(self, key: tuple[str, int]) -> bool:
        """Return whether all tasks of a gang's attempt are on machines, or were."""
        task = parse_task_id(key[0])
        assert task is not None
        there = {
            other[0]
            for worker in self.workers.values()
            for other, found in worker.tasks.items()
            if other[1] == key[1]
            and other[0].startswith(f"{task.job}/")
            and (found.status in ("gathering", "running") or found.cause == "done")
        }
        return len(there) == int(self.rules.job_specs[task.job].task_count)

    def violations_after_settling(self, patience_s: float = 0.0) -> list[str]:
        """End all faults, and return the rules that were broken (`cluster_verdict`)."""
        return cluster_verdict.violations_after_settling(self, patience_s)
