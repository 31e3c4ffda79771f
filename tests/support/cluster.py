"""Several controllers, their store, workers and users, played step by step by a clock of the test.

What happens goes by the code paths of the service: records in the store, heartbeats and their
answers, frames between controllers, requests of users. Nothing waits and no thread runs; who can't
reach whom is a switch. `RuleChecker` keeps what users were told and what workers ran.
"""

from __future__ import annotations

import io
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from ryewing.api.api import Api
from ryewing.clients.cloud import CloudUnavailableError
from ryewing.clients.peers import PeerUnavailableError, Request, Response
from ryewing.clients.store import Put, StoreUnavailableError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.config.policy import defaults
from ryewing.config.settings import Settings
from ryewing.election.leadership import may_campaign, read_election_record
from ryewing.leader.leader import Leader
from ryewing.process.leader_elector import LeaderElector
from ryewing.process.node import Node
from ryewing.sharding.coordinator import Coordinator
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.registry import DivisionDiffersError
from ryewing.sharding.serve import coordinator
from ryewing.sharding.settings import ShardSettings
from ryewing.sharding.team_limits import ShardTeamLimits
from ryewing.units import MachineId, ShardName, is_job_id, parse_task
from ryewing.wire.cloud import MachineTypeList
from ryewing.wire.jobs import GANG, JobSpec
from ryewing.wire.workers import Heartbeat
from support.fakes import CPU, GPU, RAW_SETTINGS, Clock, FakeCloud, job_spec, settings, submission
from support.rule_checker import RuleChecker
from support.timed_store import StoreLink, TimedStore
from support.timed_workers import NAMES, STEP_S, DirectLink, TimedWorker

PATIENCE_S = 10.0
"""How long a user who is refused asks again; the rules allow 75 s."""


class FakePeer:
    """The way from one controller to another; what passes is encoded as on the wire."""

    def __init__(self, cluster: Cluster, here: str, there: str) -> None:
        self._cluster = cluster
        self._here, self._there = here, there

    def request(self, request: Request, _deadline_s: float) -> Response:
        cluster = self._cluster
        if frozenset((self._here, self._there)) in cluster.cut or self._there in cluster.dead:
            raise PeerUnavailableError("cut")
        if self._there in cluster.frozen or self._here in cluster.frozen:
            raise PeerUnavailableError("deadline")
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=Request)
        answer = cluster.nodes[self._there].handle_peer_request(sent)
        interrupt = cluster.before_peer_answer.pop(self._there, None)
        if interrupt is not None:
            interrupt()
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Response)


class Cluster:
    """Three controllers and what is round them."""

    def __init__(self, clock: Clock, shards: ShardSettings | None = None) -> None:
        self.clock = clock
        self.shards = shards
        self.coordinators: dict[str, Coordinator] = {}
        self.settings = settings()
        self.store = TimedStore(clock)
        self.cloud = FakeCloud()
        self.cloud.release = self._release  # type: ignore[method-assign]
        self.cloud_down = False
        self.cut: set[frozenset[str]] = set()
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.before_peer_answer: dict[str, Callable[[], None]] = {}
        self.workers: dict[str, TimedWorker] = {}
        self.rules = RuleChecker(self)
        self.links: dict[str, StoreLink] = {}
        self.nodes: dict[str, Node] = {}
        self.apis: dict[str, Api] = {}
        self.state_limits: dict[str, float] = {}
        """Limits of the store, other than in the settings, for controllers booted from now on."""
        self.after_load: Callable[[], None] | None = None
        """Called when a new leader has read the store, before anything else."""
        types = msgspec.to_builtins(MachineTypeList([CPU, GPU]))
        self.store.txn({}, [Put("flavours", types)])
        for name in NAMES:
            self.boot(name)

    def boot(self, name: str) -> None:
        """Start a controller's process, or start it again."""
        members = [
            {"node": other, "domain": "a", "address": f"127.0.0.1:{18082 + n}"}
            for n, other in enumerate(NAMES)
            if other != name
        ]
        params = {**RAW_SETTINGS["params"]}
        params["state"] = {**params["state"], **self.state_limits}
        raw = {**RAW_SETTINGS, "node": name, "members": members, "params": params}
        own = msgspec.convert(raw, Settings)
        shards = self.shards
        node = Node(own, defaults(own), ShardDivision(shards, random.Random(1)) if shards else None)
        link = StoreLink(self.store)
        link.on_throttled = node.store.on_throttled
        node.store = link  # type: ignore[assignment]
        for elector in node.electors.values():
            elector.store = node.division.store_for(elector.scope, node.store)
        if shards is not None:
            self.coordinators[name] = coordinator(node, shards)
        for other in NAMES:
            if other != name:
                node.peers.members[other] = FakePeer(self, name, other)  # type: ignore[assignment]
        self.links[name] = link
        self.nodes[name] = node
        self.apis[name] = Api(node)
        self.dead.discard(name)

    # -- time -------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            self.store.tend()
            for name, node in self.nodes.items():
                if name not in self.dead | self.frozen:
                    self._step_node(name, node)
            for worker in list(self.workers.values()):
                worker.tend()
            self.rules.look()

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
            leader.renew_once()
            return
        for act in (
            leader.renew_once,
            leader.job_watcher.watch_once,
            self._writing(leader),
            leader.run_maintenance,
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
        """Let a new leader read the store."""
        try:
            leader._load()
        except StoreUnavailableError:
            return False
        leader.term.state_loaded.set()
        if self.after_load is not None:
            self.after_load()
        for machine in leader.term.cluster.machines.values():
            if machine.address:
                leader.worker_commands.schedule_direct_message(machine)
        return True

    def _writing(self, leader: Leader) -> Callable[[], None]:
        def write() -> None:
            for _ in range(8):
                if not leader.term.may_start() or not leader.writer.write_once():
                    return

        return write

    def _placing(self, leader: Leader) -> Callable[[], None]:
        def place() -> None:
            if leader.term.may_begin() and leader.scheduler.check_reconciled():
                leader.scheduler.run_cycle()

        return place

    def _dividing_limits(self, leader: Leader) -> Callable[[], None]:
        limits = leader.term.team_limits
        return limits.step if isinstance(limits, ShardTeamLimits) else lambda: None

    def _follow(self, node: Node, elector: LeaderElector) -> None:
        try:
            election = read_election_record(elector.store)
            elector.note(election)
            if may_campaign(election, node.name, node.boot_id) and elector.eligible():
                elector.campaign(election)
        except StoreUnavailableError:
            return
        leader = elector.leader
        if leader is not None:
            leader.autoscaler.cloud = leader.autoscaler.listing.cloud = self.cloud  # type: ignore[assignment]
            leader.writer._bucket = self._bucket(leader.writer._bucket)
            early = self._bucket(leader.worker_commands._early_heartbeat_bucket)
            leader.worker_commands._early_heartbeat_bucket = early
            leader.scheduler.rng = random.Random(int(leader.term.number))
            leader.worker_commands.workers = DirectLink(self, node.name)  # type: ignore[assignment]
            leader.worker_commands.schedule_direct_message = leader.worker_commands.send  # type: ignore[method-assign]

    def _bucket(self, bucket: TokenBucket) -> TokenBucket:
        """Give a token bucket that goes by the clock of the test: one verdict whatever the
        machine."""
        return TokenBucket(bucket.rate, bucket.burst, self.clock)

    def _release(self, machines: list[MachineId]) -> None:
        if self.cloud_down:
            raise CloudUnavailableError("503")
        for name in machines:
            self.workers.pop(name, None)

    def _giving_up(self, leader: Leader) -> Callable[[], None]:
        def give_up() -> None:
            gone = leader.autoscaler.unhealthy_machines(self.clock())
            if gone and leader.term.may_begin():
                leader.autoscaler.release(gone)

        return give_up

    # -- who does what ----------------------------------------------------------------------

    @property
    def leader_name(self) -> str:
        """The controller that holds the latest term."""
        return self.leader_of(None)

    def leader_of(self, shard: str | None) -> str:
        """The controller that holds the latest term of a shard."""
        found = [(self.leader(name, shard), name) for name in NAMES]
        leading = [(leader.term.number, name) for leader, name in found if leader is not None]
        return max(leading, default=(0, NAMES[0]))[1]

    def leader(self, name: str, shard: str | None = None) -> Leader | None:
        """The term that a controller leads, if it does."""
        return self.nodes[name].electors[ShardName(shard) if shard else None].leader

    def latest_leaders(self) -> list[Leader]:
        """The latest term of each shard."""
        found = [
            self.leader(self.leader_of(shard), shard) for shard in self.nodes[NAMES[0]].electors
        ]
        return [leader for leader in found if leader is not None]

    def worker(self, name: str = "i-000001", **kind: Any) -> TimedWorker:
        """Put up a machine."""
        self.workers[name] = TimedWorker(self, name, **kind)
        return self.workers[name]

    def send_heartbeat(self, node: str, heartbeat: Heartbeat) -> tuple[int, Any]:
        """Bring a heartbeat, or a copy of one, to a controller."""
        return self._http(node, "POST", "/v1/report", msgspec.json.encode(heartbeat))

    def submit(self, node: str, ref: str = "run-1", **changes: Any) -> int:
        """A user submits a job, or repeats its submission."""
        wanted = job_spec(ref, **{"task_count": 1, **changes})
        self.rules.runs.setdefault(ref, wanted)
        body = msgspec.json.encode(submission(ref, **{"task_count": 1, **changes}))
        return self._with_final_state(node, ref, "POST", "/v2/runs", body)

    def poll(self, node: str, ref: str = "run-1") -> int:
        """A user asks."""
        return self._with_final_state(node, ref, "GET", f"/v2/runs/{ref}")

    def cancel(self, node: str, ref: str = "run-1") -> int:
        """A user cancels."""
        return self._with_final_state(node, ref, "POST", f"/v2/runs/{ref}/cancel")

    def ask_all(self, ref: str = "run-1") -> None:
        """Users ask at all controllers, and repeat the submission there."""
        for name in NAMES:
            self.poll(name, ref)
            self.submit(name, ref)

    def end(self, worker: TimedWorker) -> None:
        """What runs on a worker completes."""
        worker.finish()
        self.rules.look()
        worker.next_report = self.clock()

    def _with_final_state(
        self, node: str, ref: str, method: str, path: str, body: bytes = b""
    ) -> int:
        assert is_job_id(ref)
        if node in self.dead | self.frozen:
            return 0
        status, answer = self._http(node, method, path, body)
        self.rules.told(node, ref, status, answer)
        return status

    def _http(self, node: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        seen: list[str] = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO(body)}
        answer = b"".join(self.apis[node](environ, lambda status, _headers: seen.append(status)))
        return int(seen[0].split()[0]), msgspec.json.decode(answer)

    def is_gang(self, reported: str) -> bool:
        """Tell whether a task waits for the others of its job."""
        task = parse_task(reported)
        wanted = self.rules.runs.get(task.job) if task is not None else None
        if wanted is None:
            return False
        return bool(wanted.shape == GANG) and bool(wanted.task_count > 1)

    def is_complete(self, key: tuple[str, int]) -> bool:
        """Tell whether all tasks of a gang's attempt are on machines, or have been."""
        task = parse_task(key[0])
        assert task is not None
        there = {
            other[0]
            for worker in self.workers.values()
            for other, found in worker.tasks.items()
            if other[1] == key[1]
            and other[0].startswith(f"{task.job}/")
            and (found.status in ("gathering", "running") or found.cause == "done")
        }
        return len(there) == int(self.rules.runs[task.job].task_count)

    # -- at the end -------------------------------------------------------------------------

    def settle(self, seconds: float = 60.0) -> None:
        """All troubles are over."""
        self.store.down = self.cloud_down = False
        self.cut.clear()
        self.frozen.clear()
        self.after_load = None
        for link in self.links.values():
            link.refused = link.mute_watch = link.answer_lost = False
            link.stale_watch = link.before_answer = None
            link.catch_up()
        for name in list(self.dead):
            self.boot(name)
        for worker in self.workers.values():
            worker.hangs = worker.mute = worker.deaf = False
            worker.unreachable.clear()
        self.run(seconds)

    def waiting_in_vain(self) -> list[str]:
        """Name the jobs that wait although a machine that fits has room."""
        leaders = self.latest_leaders()
        assert len(leaders) == len(self.nodes[NAMES[0]].electors)
        jobs = {job.id: job for leader in leaders for job in leader.term.job_table}
        used: dict[str, float] = defaultdict(float)
        for worker in self.workers.values():
            for task in (parse_task(reported) for reported, _ in worker.tasks):
                if task is not None and task.job in jobs:
                    used[jobs[task.job].spec.team] += jobs[task.job].spec.gpus
        found = []
        for leader in leaders:
            for job in leader.term.job_table:
                need = job.spec
                limit = leader.term.teams[need.team].gpus_max
                if job.shortfall <= 0 or job.backoff_s:
                    continue
                # A gang waits for all it needs of the limit, an array for one task's part.
                max_in_flight = job.shortfall if job.is_gang else 1
                if limit and used[need.team] + max_in_flight * need.gpus > limit:
                    continue
                found += [f"{job.id} beside {name}" for name in self._idle_for(leader, need)]
        return found

    def _waiting_for(self, seconds: float) -> list[str]:
        """Name the jobs that wait in vain for all of a time."""
        found = self.waiting_in_vain()
        until = self.clock() + seconds
        while found and self.clock() < until:
            self.run(2.0)
            waiting = {text.split()[0] for text in self.waiting_in_vain()}
            found = [text for text in found if text.split()[0] in waiting]
        return found

    def _idle_for(self, leader: Leader, need: JobSpec) -> list[str]:
        return [
            machine.id
            for machine in leader.term.cluster.machines.values()
            if machine.id in self.workers
            and self.workers[machine.id].tasks == {}
            and need.cpus <= machine.machine_type.cpus
            and need.gpus <= machine.machine_type.gpus
            and (need.zone is None or need.zone == machine.zone)
        ]

    def _poll_until_answered(self, node: str, job: str) -> int:
        """Ask as a user does, who is told 503 and when to come back; for a bounded time."""
        for _ in range(round(PATIENCE_S / STEP_S)):
            status = self.poll(node, job)
            if status != 503:
                break
            self.run(STEP_S)
        return status

    def verdict(self, patience_s: float = 0.0) -> list[str]:
        """Say which rules were broken, once troubles are over.

        A job may wait beside room for no longer than the given time.
        """
        self.settle()
        for job in sorted(self.rules.accepted):
            answers = {self._poll_until_answered(name, job) for name in NAMES}
            if answers != {200}:
                self.rules._violation("forgotten", f"{job}: {answers}")
        waits = [f"waits: {text}" for text in self._waiting_for(patience_s)]
        return self.rules.broken + waits
