"""A simulated cluster of three controllers, a store, workers and users, run in discrete steps.

The controllers run the real code, and their store records, heartbeats, peer messages and user
requests are encoded as in production. The store, the network and the workers are simulated, and
faults can be injected into them. There are no sockets, no latency and no greenlets: each loop of a
controller runs once per step, in a fixed order, and direct commands are delivered after each loop.
`RuleChecker` checks responses to users and tasks on workers.
"""

from __future__ import annotations

import io
import random
from collections.abc import Callable
from functools import partial
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
from ryewing.state.attempts import EndCause
from ryewing.state.machine import Machine
from ryewing.units import MachineId, ShardName, is_job_id, parse_task_id
from ryewing.wire.cloud import MachineTypeList
from ryewing.wire.jobs import GANG
from ryewing.wire.workers import Heartbeat, ReportedTask
from support import cluster_verdict
from support.fakes import CPU, GPU, RAW_SETTINGS, Clock, FakeCloud, job_spec, settings, submission
from support.harness import use_cloud
from support.late_copies import LateCopies
from support.rule_checker import RuleChecker
from support.timed_store import StoreLink, TimedStore
from support.timed_workers import CONTROLLERS, STEP_S, DirectLink, TimedWorker


class FakePeer:
    """Sends requests from one controller to another, encoded and decoded as on the wire."""

    def __init__(self, cluster: SimulatedCluster, sender: str, receiver: str) -> None:
        self._cluster = cluster
        self._sender, self._receiver = sender, receiver

    def request(self, request: Request, _deadline_s: float) -> Response:
        cluster = self._cluster
        if (
            frozenset((self._sender, self._receiver)) in cluster.partitions
            or self._receiver in cluster.dead
        ):
            raise PeerUnavailableError("partitioned")
        if self._receiver in cluster.frozen or self._sender in cluster.frozen:
            raise PeerUnavailableError("deadline")
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=Request)
        answer = cluster.nodes[self._receiver].peer_requests.handle(sent)
        cluster.deliver_direct_messages()
        hook = cluster.before_peer_answer.pop(self._receiver, None)
        if hook is not None:
            hook()
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Response)


class SimulatedCluster:
    """Three controllers with their store, workers and users.

    `partitions` holds pairs of controllers that can't reach each other, `dead` the controllers
    whose process has ended, and `frozen` those whose process is suspended.
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
        """By controller, called once after it has handled a peer request, before the response."""
        self.workers: dict[str, TimedWorker] = {}
        self.machines_added = 0
        self._scheduled: list[tuple[Leader, Machine]] = []
        self._delivers = False
        self.rules = RuleChecker(self)
        self.late_copies = LateCopies(self, random.Random(1))
        self.links: dict[str, StoreLink] = {}
        self.nodes: dict[str, Node] = {}
        self.apis: dict[str, Api] = {}
        self.state_limits: dict[str, float] = {}
        """Store limits that override the settings of controllers booted from now on."""
        self.after_load: Callable[[], None] | None = None
        """Called when a new leader has loaded its state, before it does anything else."""
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
        node_settings = msgspec.convert(raw, Settings)
        shards = self.shards
        node = Node(
            node_settings,
            default_policy(node_settings),
            ShardDivision(shards, random.Random(1)) if shards else None,
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
        """Simulate `seconds`, in steps of `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            self.store.expire_leases()
            for name, node in self.nodes.items():
                if name not in self.dead | self.frozen:
                    self._step_node(name, node)
            self.late_copies.deliver_due()
            for worker in list(self.workers.values()):
                worker.step()
            self.rules.check()

    def _step_node(self, name: str, node: Node) -> None:
        if name in self.coordinators:
            self._step_coordinator(name)
        for elector in node.electors.values():
            self._step_elector(node, elector)

    def _step_coordinator(self, name: str) -> None:
        try:
            self.coordinators[name].step()
        except (StoreUnavailableError, DivisionDiffersError):
            pass

    def _step_elector(self, node: Node, elector: LeaderElector) -> None:
        if elector.leader is None:
            self._campaign(node, elector)
        leader = elector.leader
        if leader is None:
            return
        if not leader.term.state_loaded.is_set() and not self.load(leader):
            leader.lease_keeper.renew_once()
            return
        for step in (
            leader.lease_keeper.renew_once,
            leader.job_watcher.watch_once,
            self._write_step(leader),
            leader.maintenance.run_once,
            self._team_limits_step(leader),
            self._scheduling_step(leader),
            self._release_step(leader),
        ):
            if elector.leader is leader:
                try:
                    step()
                except (StoreUnavailableError, CloudUnavailableError):
                    pass
                self.deliver_direct_messages()

    def load(self, leader: Leader) -> bool:
        """Let a new leader load its state; return False if the store is unavailable."""
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

    def _write_step(self, leader: Leader) -> Callable[[], None]:
        def write() -> None:
            for _ in range(8):
                if not leader.term.has_authority() or not leader.writer.write_once():
                    return

        return write

    def _scheduling_step(self, leader: Leader) -> Callable[[], None]:
        def schedule() -> None:
            if leader.term.may_start_operations() and leader.scheduler.check_reconciled():
                leader.scheduler.run_cycle()

        return schedule

    def _team_limits_step(self, leader: Leader) -> Callable[[], None]:
        limits = leader.term.team_limits
        return limits.step if isinstance(limits, ShardTeamLimits) else lambda: None

    def _campaign(self, node: Node, elector: LeaderElector) -> None:
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
            early_bucket = self._bucket(leader.early_heartbeats.bucket)
            leader.early_heartbeats.bucket = early_bucket
            leader.scheduler.rng = random.Random(int(leader.term.number))
            leader.direct_messages.workers = DirectLink(self, node.name)  # type: ignore[assignment]
            leader.direct_messages.schedule = partial(self._schedule, leader)  # type: ignore[method-assign]

    def _schedule(self, leader: Leader, machine: Machine) -> None:
        self._scheduled.append((leader, machine))

    def deliver_direct_messages(self) -> None:
        """Send the direct messages that were scheduled in the step of a leader that now ends.

        The service also sends them from other greenlets, never in the middle of a decision.
        """
        if self._delivers:
            return
        self._delivers = True
        try:
            while self._scheduled:
                leader, machine = self._scheduled.pop(0)
                if not leader.term.stopped:
                    leader.direct_messages.send(machine)
        finally:
            self._delivers = False

    def _bucket(self, bucket: TokenBucket) -> TokenBucket:
        """Return a token bucket on the test's clock, so that results do not depend on real time."""
        return TokenBucket(bucket.rate, bucket.burst, self.clock)

    def _release(self, machines: list[MachineId]) -> None:
        if self.cloud_down:
            raise CloudUnavailableError("503")
        for name in machines:
            self.workers.pop(name, None)

    def _release_step(self, leader: Leader) -> Callable[[], None]:
        def release() -> None:
            unhealthy = leader.autoscaler.unhealthy_machines(self.clock())
            if unhealthy and leader.term.may_start_operations():
                leader.autoscaler.releaser.release(unhealthy)

        return release

    # -- leaders, workers and users ---------------------------------------------------------

    @property
    def leader_name(self) -> str:
        """Return the controller that leads the latest term of an undivided fleet, or else n-0."""
        return self.leader_of(None)

    def leader_of(self, shard: str | None) -> str:
        """Return the controller that leads the latest term of a shard, or n-0 if none leads."""
        leaders = [(self.leader(name, shard), name) for name in CONTROLLERS]
        leading = [(leader.term.number, name) for leader, name in leaders if leader is not None]
        return max(leading, default=(0, CONTROLLERS[0]))[1]

    def leader(self, name: str, shard: str | None = None) -> Leader | None:
        """Return the leader object of a controller, or None if it doesn't lead the shard."""
        return self.nodes[name].electors[ShardName(shard) if shard else None].leader

    def latest_leaders(self) -> list[Leader]:
        """Return the leader of the latest term of each shard that has a leader."""
        leaders = [
            self.leader(self.leader_of(shard), shard)
            for shard in self.nodes[CONTROLLERS[0]].electors
        ]
        return [leader for leader in leaders if leader is not None]

    def worker(self, name: str = "i-000001", **fields: Any) -> TimedWorker:
        """Add a machine and its worker."""
        self.machines_added += 1
        self.workers[name] = TimedWorker(self, name, **fields)
        return self.workers[name]

    def send_heartbeat(self, node: str, heartbeat: Heartbeat) -> tuple[int, Any]:
        """Deliver a heartbeat to a controller; return the HTTP status and the decoded body."""
        return self.send_http_request(node, "POST", "/v1/report", msgspec.json.encode(heartbeat))

    def send_heartbeat_to_all(self, heartbeat: Heartbeat) -> None:
        """Deliver a heartbeat, for example a late copy, to every controller that runs."""
        for name in CONTROLLERS:
            if name not in self.dead | self.frozen:
                self.send_heartbeat(name, heartbeat)

    def submit(self, node: str, ref: str = "run-1", **changes: Any) -> int:
        """Submit a job as a user, also repeatedly; return the HTTP status, 0 if unreachable."""
        spec = job_spec(ref, **{"task_count": 1, **changes})
        self.rules.job_specs.setdefault(ref, spec)
        body = msgspec.json.encode(submission(ref, **{"task_count": 1, **changes}))
        return self._send_user_request(node, ref, "POST", "/v2/runs", body)

    def poll(self, node: str, ref: str = "run-1") -> int:
        """Poll a job as a user; return the HTTP status, 0 if unreachable."""
        return self._send_user_request(node, ref, "GET", f"/v2/runs/{ref}")

    def cancel(self, node: str, ref: str = "run-1") -> int:
        """Cancel a job as a user; return the HTTP status, 0 if unreachable."""
        return self._send_user_request(node, ref, "POST", f"/v2/runs/{ref}/cancel")

    def poll_and_resubmit_everywhere(self, ref: str = "run-1") -> None:
        """Poll a job at every controller, and repeat its submission there."""
        for name in CONTROLLERS:
            self.poll(name, ref)
            self.submit(name, ref)

    def finish_tasks(self, worker: TimedWorker) -> None:
        """Finish all tasks of a worker, and make its next heartbeat due."""
        worker.finish()
        self.rules.check()
        worker.next_heartbeat_at = self.clock()

    def _send_user_request(
        self, node: str, ref: str, method: str, path: str, body: bytes = b""
    ) -> int:
        assert is_job_id(ref)
        if node in self.dead | self.frozen:
            return 0
        status, response = self.send_http_request(node, method, path, body)
        self.rules.record_response(node, ref, status, response)
        return status

    def send_http_request(self, node: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Send a request to a controller's API; return the HTTP status and the decoded body."""
        statuses: list[str] = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO(body)}
        response = b"".join(
            self.apis[node](environ, lambda status, _headers: statuses.append(status))
        )
        self.deliver_direct_messages()
        return int(statuses[0].split()[0]), msgspec.json.decode(response)

    def is_gang(self, task_id: str) -> bool:
        """Return whether a task belongs to a gang of several tasks, which start together."""
        task = parse_task_id(task_id)
        spec = self.rules.job_specs.get(task.job) if task is not None else None
        if spec is None:
            return False
        return bool(spec.shape == GANG) and bool(spec.task_count > 1)

    def _gang_members(self, key: tuple[str, int]) -> list[tuple[TimedWorker, ReportedTask]]:
        """Return the tasks of a gang's attempt that are on machines, each with its worker."""
        task = parse_task_id(key[0])
        assert task is not None
        return [
            (worker, reported)
            for worker in self.workers.values()
            for other, reported in worker.tasks.items()
            if other[1] == key[1] and other[0].startswith(f"{task.job}/")
        ]

    def is_gang_complete(self, key: tuple[str, int]) -> bool:
        """Return whether all tasks of a gang's attempt are gathering, running or done."""
        members = {
            reported.task_id
            for _, reported in self._gang_members(key)
            if reported.status in ("gathering", "running") or reported.cause == EndCause.DONE
        }
        task = parse_task_id(key[0])
        assert task is not None
        return len(members) == int(self.rules.job_specs[task.job].task_count)

    def complete_gang(self, key: tuple[str, int]) -> None:
        """End the running tasks of a gang's attempt as done."""
        for worker, reported in self._gang_members(key):
            if reported.status == "running":
                worker.end_task((reported.task_id, reported.attempt))

    def violations_after_settling(self, max_wait_s: float = 0.0) -> list[str]:
        """End all faults, let the cluster settle, and return all violations of the rules.

        See `cluster_verdict.violations_after_settling`.
        """
        return cluster_verdict.violations_after_settling(self, max_wait_s)
