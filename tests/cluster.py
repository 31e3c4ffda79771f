"""Several controllers, their store, workers and users, played step by step by a clock of the test.

What happens goes by the code paths of the service: records in the store, reports and their
answers, frames between controllers, requests of users. Nothing waits and no thread runs; who can't
reach whom is a switch. `Referee` keeps what users were told and what workers ran, and holds it
against the rules of the protocol.
"""

from __future__ import annotations

import copy
import io
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from fakes import (
    CPU,
    GPU,
    RAW_SETTINGS,
    Clock,
    FakeCloud,
    FakeStore,
    FakeWorker,
    job_spec,
    settings,
    submission,
)

from ryewing.api import Api
from ryewing.budget import Budget
from ryewing.cloud import CloudUnavailableError
from ryewing.leader import Leader
from ryewing.leadership import may_campaign, read_view
from ryewing.mesh import PeerUnavailableError, Request, Response
from ryewing.node import Node
from ryewing.policy import defaults
from ryewing.settings import Settings
from ryewing.store import Put, Remove, StoreUnavailableError, TxnResult
from ryewing.units import KeyVersion, MachineId, Revision, Token, is_job_id, parse_task
from ryewing.wire import Change, ChangeLog, Command, Entry, MachineTypeList, Report
from ryewing.workers import WorkerUnavailableError

STEP_S = 0.25
PATIENCE_S = 10.0
"""How long a user who is refused asks again; the rules allow 75 s."""
NAMES = ("n-0", "n-1", "n-2")
DONE, CANCELLED = "done", "cancelled"


class TimedStore(FakeStore):
    """A store whose leases end by the clock, and get their full time again after an outage."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._ends: dict[int, tuple[float, float]] = {}

    def grant(self, ttl_s: float) -> int:
        lease = super().grant(ttl_s)
        self._ends[lease] = (self._clock() + ttl_s, ttl_s)
        return lease

    def renew(self, lease: int, deadline_s: float) -> None:
        super().renew(lease, deadline_s)
        _, ttl_s = self._ends[lease]
        self._ends[lease] = (self._clock() + ttl_s, ttl_s)

    def plant(self, key: str, data: bytes, lease: int | None = None) -> None:
        """Put something there that no controller wrote."""
        self.revision += 1
        self.data[key] = (data, self.revision, lease)
        self.log.append(Change(self.revision, set=key, data=msgspec.Raw(data)))

    def tend(self) -> None:
        """End the leases whose time is over."""
        now = self._clock()
        for lease in list(self.leases):
            until, ttl_s = self._ends[lease]
            if self.down:
                self._ends[lease] = (now + ttl_s, ttl_s)
            elif now >= until:
                self.expire(lease)


class StoreLink:
    """One controller's way to the store."""

    def __init__(self, store: TimedStore) -> None:
        self._store = store
        self.limits = store.limits
        self.on_throttled: Callable[[], None] | None = None
        self.refused = False
        """The store turns this controller away, with 503 or by silence."""
        self.mute_watch = False
        """Its watches alone hang; all else is answered."""
        self.during_watch: Callable[[], None] | None = None
        """Called while a watch is under way, after the store has answered it."""
        self.stale_watch: Revision | None = None
        """Its watches show nothing newer than this: answers that were long on their way."""
        self.answer_lost = False
        """Transactions are carried out, their answers don't arrive."""
        self.late = False
        """Transactions get no answer now and are carried out when `catch_up` is called."""
        self._held: list[tuple[dict[str, KeyVersion], list[Put | Remove]]] = []
        self.after_txn: Callable[[], None] | None = None
        """Called when a transaction has been carried out, before its answer arrives."""
        self.before_answer: Callable[[str], None] | None = None
        """Called with the key of a reading that is under way, after the store has read it."""

    def _check(self) -> None:
        if self.refused:
            raise StoreUnavailableError("503")

    def get(self, key: str) -> Entry | None:
        self._check()
        found = self._store.get(key)
        self._interrupt(key)
        return found

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        self._check()
        found = self._store.listing(prefix)
        self._interrupt(prefix)
        return found

    def _interrupt(self, key: str) -> None:
        if self.before_answer is not None:
            hook, self.before_answer = self.before_answer, None
            hook(key)
            if self.before_answer is None:
                self.before_answer = hook

    def txn(self, conditions: dict[str, KeyVersion], writes: list[Put | Remove]) -> TxnResult:
        self._check()
        if self.late:
            self._held.append((dict(conditions), copy.deepcopy(list(writes))))
            raise StoreUnavailableError("no answer")
        result = self._store.txn(conditions, writes)
        if self.after_txn is not None:
            meanwhile, self.after_txn = self.after_txn, None
            meanwhile()
        if self.answer_lost:
            raise StoreUnavailableError("the answer was lost")
        return result

    def catch_up(self) -> None:
        """Carry out what got no answer."""
        assignment, self._held = self._held, []
        self.late = False
        for conditions, writes in assignment:
            self._store.txn(conditions, writes)

    def grant(self, ttl_s: float) -> int:
        self._check()
        return self._store.grant(ttl_s)

    def renew(self, lease: int, deadline_s: float) -> None:
        self._check()
        self._store.renew(lease, deadline_s)

    def resign(self, lease: int) -> None:
        self._check()
        self._store.expire(lease)

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        self._check()
        if self.mute_watch:
            raise StoreUnavailableError("deadline")
        found = self._store.watch(prefix, since, wait_s)
        if self.during_watch is not None:
            meanwhile, self.during_watch = self.during_watch, None
            meanwhile()
        if self.stale_watch is not None:
            until = self.stale_watch
            log = [change for change in found.log if change.key_version <= until]
            return ChangeLog(int(max(since, min(found.revision, until))), log)
        return found


class FakePeer:
    """The way from one controller to another; what passes is encoded as on the wire."""

    def __init__(self, cluster: Cluster, here: str, there: str) -> None:
        self._cluster = cluster
        self._here, self._there = here, there

    def request(self, ask: Request, _deadline_s: float) -> Response:
        cluster = self._cluster
        if frozenset((self._here, self._there)) in cluster.cut or self._there in cluster.dead:
            raise PeerUnavailableError("cut")
        if self._there in cluster.frozen or self._here in cluster.frozen:
            raise PeerUnavailableError("deadline")
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(ask), type=Request)
        answer = cluster.nodes[self._there]._on_mesh(sent)
        interrupt = cluster.before_peer_answer.pop(self._there, None)
        if interrupt is not None:
            interrupt()
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=Response)


class TimedWorker(FakeWorker):
    """A worker with a lease, that reports to one controller at a time."""

    def __init__(self, cluster: Cluster, name: str, **kind: Any) -> None:
        super().__init__(name, **kind)
        self._cluster = cluster
        self.node = NAMES[0]
        self.lease_from: float = cluster.clock()
        self.next_report: float = cluster.clock()
        self.hangs = False
        self.unreachable: set[str] = set()
        """Controllers that it can't exchange anything with."""
        self.mute = False
        """It can't reach any controller; direct commands reach it."""
        self.deaf = False
        """Its reports arrive; answers and direct commands are lost."""
        self.holds_up = False
        """Direct commands get no answer, and are carried out when `catch_up` is called."""
        self._held_up: list[tuple[Token, int, list[Command]]] = []
        self.answer_s = 0.0
        """How long the answer to a report is on its way."""
        self._answer: tuple[float, Callable[[], None]] | None = None
        self.address = self.report().address

    def execute(self, token: int, commands: list[Command]) -> bool:
        before = set(self.tasks)
        done = super().execute(token, commands)
        for key in set(self.tasks) - before:
            self._cluster.rules.started(self, key)
        return done

    def tend(self) -> None:
        """Report when it is time; end the session when the lease is over."""
        now = self._cluster.clock()
        if self.hangs:
            return
        if self._answer is not None and now >= self._answer[0]:
            arrive, self._answer = self._answer[1], None
            arrive()
        if now > self.lease_from + self._cluster.settings.params.workers.lease_s:
            self.session += 1
            self.sequence = 0
            self.tasks.clear()
            self.lease_from = now
        if now >= self.next_report and self._answer is None:
            self.next_report = now + self._cluster.settings.params.workers.report_s
            self.report_now()

    def report_now(self) -> Report:
        """Send one report and heed the answer."""
        cluster = self._cluster
        sent_at = cluster.clock()
        sent = self.report()
        if self.mute or self.node in self.unreachable or self.node in cluster.dead | cluster.frozen:
            self._next()
            return sent
        status, answer = cluster.report(self.node, sent)
        if self.deaf:
            return sent
        if self.answer_s:
            session = self.session
            self._answer = (
                sent_at + self.answer_s,
                lambda: self._heed(sent_at, status, answer) if session == self.session else None,
            )
        else:
            self._heed(sent_at, status, answer)
        return sent

    def _heed(self, sent_at: float, status: int, answer: Any) -> None:
        if status == 200:
            response = msgspec.convert(answer, type=dict[str, Any])
            commands = msgspec.convert(response["orders"], type=list[Command])
            if self.execute(response["mandate"], commands):
                self.lease_from = sent_at
                if commands:
                    self.next_report = min(self.next_report, sent_at + 0.5)
        elif status == 421 and answer.get("foreman") in NAMES:
            self.node = answer["foreman"]
            self.next_report = sent_at + STEP_S
        else:
            self._next()

    def hold_up(self, token: Token, session: int, commands: list[Command]) -> None:
        """A direct command is on its way for longer than its sender waits."""
        self._held_up.append((token, session, copy.deepcopy(commands)))

    def catch_up(self) -> None:
        """Carry out the direct commands that were held up, if token and session still match."""
        held_up, self._held_up = self._held_up, []
        for token, session, commands in held_up:
            if token >= self.token and session == self.session:
                self.execute(token, commands)

    def _next(self) -> None:
        self.node = NAMES[(NAMES.index(self.node) + 1) % len(NAMES)]
        self.next_report = self._cluster.clock() + 1.0


class DirectLink:
    """Direct commands of one controller."""

    def __init__(self, cluster: Cluster, here: str) -> None:
        self._cluster = cluster
        self._here = here

    def send(self, address: str, token: Token, session: int, commands: list[Command]) -> Report:
        found = [w for w in self._cluster.workers.values() if w.address == address]
        if not found:
            raise WorkerUnavailableError("deadline")
        [worker] = found
        if worker.hangs or worker.deaf or self._here in worker.unreachable:
            raise WorkerUnavailableError("deadline")
        if worker.holds_up:
            worker.hold_up(token, session, commands)
            raise WorkerUnavailableError("deadline")
        if token >= worker.token and session == worker.session:
            worker.execute(token, commands)
        return worker.report()

    def forget(self, address: str) -> None:
        """Nothing is kept here."""


class RuleChecker:
    """What users were told and what workers ran, against the rules."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.accepted: set[str] = set()
        self.final: dict[str, str] = {}
        """The final states that users were told."""
        self.told_cancelled: dict[str, float] = {}
        self.broken: list[str] = []
        self.ended_done: dict[str, set[int]] = {}
        self.runs: dict[str, Any] = {}

    def _violation(self, rule: str, what: str) -> None:
        self.broken.append(f"{rule} at {self._cluster.clock() - 1000:.2f}: {what}")

    def told(self, node: str, job: str, status: int, answer: Any) -> None:
        """A user was answered."""
        if status == 404 and job in self.accepted:
            self._violation("forgotten", f"{node}: {job}")
        if status not in (200, 201):
            return
        state = answer["status"]
        if job in self.final and state != self.final[job]:
            self._violation("went_back", f"{node}: {job} {self.final[job]} -> {state}")
        self.accepted.add(job)
        if state in (DONE, CANCELLED):
            self.final.setdefault(job, state)
        if state == CANCELLED:
            self.told_cancelled.setdefault(job, self._cluster.clock())
        if state == DONE and self.ended_done.get(job, set()) != set(
            range(self.runs[job].task_count)
        ):
            self._violation("not_done", f"{node}: {job}")

    def started(self, worker: TimedWorker, key: tuple[str, int]) -> None:
        """A worker has begun an attempt."""
        task = parse_task(key[0])
        assert task is not None
        if task.job in self.told_cancelled:
            self._violation("ran_cancelled", f"{worker.name} starts {key[0]}")
        for other in self._cluster.workers.values():
            for (reported, attempt), found in other.tasks.items():
                if (
                    reported == key[0]
                    and found.status != "ended"
                    and (other, attempt)
                    != (
                        worker,
                        key[1],
                    )
                ):
                    self._violation("ran_twice", f"{key[0]} on {other.name} and {worker.name}")

    def look(self) -> None:
        """Look at what is on the machines now."""
        cluster = self._cluster
        cancel_s = cluster.settings.params.workers.cancel_s
        used: Counter[str] = Counter()
        for worker in cluster.workers.values():
            for (reported, _attempt), found in worker.tasks.items():
                task = parse_task(reported)
                assert task is not None
                if found.status == "ended":
                    if found.cause == DONE:
                        self.ended_done.setdefault(task.job, set()).add(task.number)
                    continue
                told = self.told_cancelled.get(task.job)
                if told is not None and cluster.clock() > told + cancel_s:
                    self._violation("ran_cancelled", f"{reported} on {worker.name}")
                wanted = self.runs[task.job]
                used[wanted.team] += wanted.gpus
        for team in cluster.settings.params.teams:
            if team.gpus_max and used[team.name] > team.gpus_max:
                self._violation("quota", f"{team.name}: {used[team.name]} cards")


class Cluster:
    """Three controllers and what is round them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
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
        node = Node(own, defaults(own))
        link = StoreLink(self.store)
        link.on_throttled = node.store.on_throttled
        node.store = link  # type: ignore[assignment]
        for other in NAMES:
            if other != name:
                node._peers[other] = FakePeer(self, name, other)  # type: ignore[assignment]
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
        if node.leader is None:
            self._follow(node)
        leader = node.leader
        if leader is None:
            return
        if not leader.ctx.loaded.is_set() and not self.load(leader):
            leader.renew_once()
            return
        for act in (
            leader.renew_once,
            leader.intake.watch_once,
            self._writing(leader),
            leader.tend_once,
            self._placing(leader),
            self._giving_up(leader),
        ):
            if node.leader is leader:
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
        leader.ctx.loaded.set()
        if self.after_load is not None:
            self.after_load()
        for machine in leader.ctx.cluster.machines.values():
            if machine.address:
                leader.dispatch.send_soon(machine)
        return True

    def _writing(self, leader: Leader) -> Callable[[], None]:
        def write() -> None:
            for _ in range(8):
                if not leader.ctx.may_start() or not leader.writer.write_once():
                    return

        return write

    def _placing(self, leader: Leader) -> Callable[[], None]:
        def place() -> None:
            if leader.ctx.may_start() and leader.placer.ready_to_place():
                leader.placer.run_pass()

        return place

    def _follow(self, node: Node) -> None:
        try:
            view = read_view(node.store)
            node._note(view)
            if may_campaign(view, node.name, node.boot):
                node._campaign(view)
        except StoreUnavailableError:
            return
        leader = node.leader
        if leader is not None:
            leader.renter.cloud = leader.renter.listing.cloud = self.cloud  # type: ignore[assignment]
            leader.writer._budget = self._budget(leader.writer._budget)
            early = self._budget(leader.dispatch._early_report_budget)
            leader.dispatch._early_report_budget = early
            leader.placer._rng = random.Random(int(leader.term))
            leader.dispatch.workers = DirectLink(self, node.name)  # type: ignore[assignment]
            leader.dispatch.send_soon = leader.dispatch.send  # type: ignore[method-assign]

    def _budget(self, budget: Budget) -> Budget:
        """Give a budget that goes by the clock of the test: one verdict whatever the machine."""
        return Budget(budget.rate, budget.burst, self.clock)

    def _release(self, machines: list[MachineId]) -> None:
        if self.cloud_down:
            raise CloudUnavailableError("503")
        for name in machines:
            self.workers.pop(name, None)

    def _giving_up(self, leader: Leader) -> Callable[[], None]:
        def give_up() -> None:
            gone = leader.renter.to_give_up(self.clock())
            if gone and leader.ctx.may_start():
                leader.renter.release(gone)

        return give_up

    # -- who does what ----------------------------------------------------------------------

    @property
    def leader_name(self) -> str:
        """The controller that holds the latest term."""
        leading = [(n.leader.term, name) for name, n in self.nodes.items() if n.leader is not None]
        return max(leading, default=(0, NAMES[0]))[1]

    def worker(self, name: str = "i-000001", **kind: Any) -> TimedWorker:
        """Put up a machine."""
        self.workers[name] = TimedWorker(self, name, **kind)
        return self.workers[name]

    def report(self, node: str, report: Report) -> tuple[int, Any]:
        """Bring a report, or a copy of one, to a controller."""
        return self._http(node, "POST", "/v1/report", msgspec.json.encode(report))

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
        leader = self.nodes[self.leader_name].leader
        assert leader is not None
        found = []
        for job in leader.ctx.job_table:
            if job.shortfall <= 0 or job.backoff_s:
                continue
            need = job.spec
            limit = leader.ctx.teams[need.team].gpus_max
            used = sum(
                leader.ctx.job_table.jobs[task.job].spec.gpus
                for worker in self.workers.values()
                for task in (parse_task(reported) for reported, _ in worker.tasks)
                if task is not None and task.job in leader.ctx.job_table.jobs
            )
            if limit and used + need.gpus > limit:
                continue
            for machine in leader.ctx.cluster.machines.values():
                if (
                    machine.id in self.workers
                    and self.workers[machine.id].tasks == {}
                    and need.cpus <= machine.machine_type.cpus
                    and need.gpus <= machine.machine_type.gpus
                    and (need.zone is None or need.zone == machine.zone)
                ):
                    found.append(f"{job.id} beside {machine.id}")
        return found

    def _poll_until_answered(self, node: str, job: str) -> int:
        """Ask as a user does, who is told 503 and when to come back; for a bounded time."""
        for _ in range(round(PATIENCE_S / STEP_S)):
            status = self.poll(node, job)
            if status != 503:
                break
            self.run(STEP_S)
        return status

    def verdict(self) -> list[str]:
        """Say which rules were broken, once troubles are over."""
        self.settle()
        for job in sorted(self.rules.accepted):
            answers = {self._poll_until_answered(name, job) for name in NAMES}
            if answers != {200}:
                self.rules._violation("forgotten", f"{job}: {answers}")
        waits = [f"waits: {text}" for text in self.waiting_in_vain()]
        return self.rules.broken + waits
