"""One leader over a fake store, cloud and workers, driven step by step by the test's clock.

There is no election and no greenlet: the term is won from the start, and each of the leader's loops
runs only when the test calls it. Direct commands reach a worker at once, and only when a test sends
them.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import Put
from ryewing.config.settings import NextLimits
from ryewing.election.election_record import TERM_KEY
from ryewing.election.lease_validity import LeaseValidity
from ryewing.leader.leader import Leader
from ryewing.leader.scope import WHOLE_FLEET
from ryewing.leader.term_context import TermCallbacks, TermContext, TermEnvironment
from ryewing.state.job_records import JobRecord, live_key
from ryewing.units import FencingToken, JobId, KeyVersion, MachineId
from ryewing.wire.workers import Command, Heartbeat
from support.fakes import (
    Clock,
    FakeCloud,
    FakeStore,
    FakeWorker,
    job_spec,
    leadership,
    policy,
    settings,
)


def use_cloud(leader: Leader, cloud: Any) -> None:
    """Give all parts of a leader that make requests to the cloud a fake of it."""
    autoscaler = leader.autoscaler
    autoscaler.rentals.cloud = autoscaler.releaser.cloud = cloud
    autoscaler.inventory.listing.cloud = autoscaler.machine_type_refresher.cloud = cloud


class DirectWorkers:
    """Direct commands to fake workers, in place of `clients.workers.Workers`."""

    def __init__(self, workers: dict[str, FakeWorker]) -> None:
        self.workers = workers
        self.sent: list[Command] = []

    def send(
        self, address: str, term: FencingToken, incarnation: int, commands: list[Command]
    ) -> Heartbeat:
        worker = next(w for w in self.workers.values() if w.heartbeat().address == address)
        if term >= worker.token and incarnation == worker.incarnation:
            worker.execute(term, commands)
            self.sent.extend(commands)
        return worker.heartbeat()

    def disconnect(self, address: str) -> None:
        """Do nothing: no connections are kept."""


class LeaderHarness:
    """One leader with its fakes; what workers and users do is a method."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.settings = settings()
        self.store = FakeStore()
        self.may_reject = False
        """Whether the store may refuse a request as too large: else that fails the test."""
        self.cloud = FakeCloud()
        self.workers: dict[str, FakeWorker] = {}
        self.end_reasons: list[str] = []
        self.final_states: dict[JobId, str] = {}
        self.scope = WHOLE_FLEET
        self.leader = self.new_leader(5)

    def new_leader(self, term: int, image_locality: ImageLocality | None = None) -> Leader:
        lease_validity = LeaseValidity(3.0, policy().hold_s)
        lease_validity.confirm_renewal(self.clock())
        won = leadership(term, lease_validity)
        result = self.store.txn({}, [Put(TERM_KEY, {"term": term})])
        won.term_key_version = KeyVersion(result.revision)
        term_context = TermContext(
            TermEnvironment(self.settings, policy(), self.store, self.scope),  # type: ignore[arg-type]
            won,
            TermCallbacks(
                self.end_reasons.append, lambda _types: None, self.final_states.__setitem__
            ),
        )
        leader = Leader(term_context, image_locality)
        use_cloud(leader, self.cloud)
        leader.direct_messages.workers = DirectWorkers(self.workers)  # type: ignore[assignment]
        leader.term.set_machine_types(self.cloud.machine_types())
        leader.direct_messages.schedule = lambda machine: None  # type: ignore[method-assign]
        leader.load()
        leader.term.state_loaded.set()
        self.leader = leader
        return leader

    def announce_store_limits(self, **limits: Any) -> None:
        """Announce the store's next limits to leaders that start from now on."""
        params = self.settings.params
        state = msgspec.structs.replace(params.state, next=NextLimits(**limits))
        self.settings = msgspec.structs.replace(
            self.settings, params=msgspec.structs.replace(params, state=state)
        )

    def set_store_limits(self, **limits: Any) -> None:
        """Lower the store's limits."""
        self.store.limits = msgspec.structs.replace(self.store.limits, **limits)

    def later(self, seconds: float, renewed: bool = True) -> None:
        self.clock.now += seconds
        if renewed:
            self.leader.term.lease_validity.confirm_renewal(self.clock())
            self.leader.term.lease_validity.confirm_jobs(self.clock())

    def accept(self, ref: str = "run-1", **changes: Any) -> JobId:
        record = JobRecord(job_spec(ref, **changes), 0.0, shard=self.scope.shard)
        result = self.store.txn({}, [Put(live_key(JobId(ref)), record)])
        entry = self.store.get(live_key(JobId(ref)))
        assert entry is not None
        self.leader.job_watcher.apply_record(entry.key, entry.data, KeyVersion(result.revision))
        return JobId(ref)

    def worker(self, name: str = "i-000001", **kind: Any) -> FakeWorker:
        worker = FakeWorker(name, **kind)
        self.workers[name] = worker
        return worker

    def exchange(self, worker: FakeWorker) -> list[Command]:
        """Send one heartbeat, execute the response and return its commands."""
        answer = self.leader.on_heartbeat(worker.heartbeat())
        assert answer is not None
        worker.execute(answer.token, answer.commands)
        return answer.commands

    def write(self) -> None:
        while self.leader.writer.write_once():
            pass

    def ready(self, *workers: FakeWorker) -> None:
        """Let workers send heartbeats until they are recorded and acknowledge the term."""
        for worker in workers * 2:
            self.exchange(worker)
        self.write()
        for worker in workers:
            self.exchange(worker)
        assert self.leader.scheduler.check_reconciled()

    def ready_worker(self) -> FakeWorker:
        """Add a worker to which tasks may be given."""
        worker = self.worker()
        self.ready(worker)
        return worker

    def ready_workers(self, count: int) -> list[FakeWorker]:
        """Add several workers to which tasks may be given."""
        workers = [self.worker(f"i-{number:06d}") for number in range(count)]
        self.ready(*workers)
        return workers

    def start_job(self, worker: FakeWorker, *names: str, **changes: Any) -> JobId:
        """Accept a job, run a scheduling cycle and let the worker fetch its starts."""
        job = self.accept(*names, **changes)
        self.place()
        self.exchange(worker)
        return job

    def finish_tasks(self, worker: FakeWorker) -> None:
        """Finish all tasks of a worker, and let it send a heartbeat."""
        worker.finish()
        self.exchange(worker)

    def place(self) -> None:
        assert self.leader.scheduler.check_reconciled()
        self.leader.scheduler.run_cycle()

    def assignments(self, name: str = "i-000001") -> dict[str, str]:
        machine = self.leader.term.cluster.machines[MachineId(name)]
        return {str(task): assignment.phase for task, assignment in machine.assignments.items()}


def starts(commands: list[Command]) -> list[str]:
    return sorted(command.task_id for command in commands if command.verb == "start")


def verbs(commands: list[Command]) -> list[str]:
    return sorted(command.verb for command in commands)
