"""A leader with fakes round it, driven step by step by a clock that the test moves."""

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
from ryewing.leader.term_context import TermContext
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


class DirectWorkers:
    """Direct commands to fake workers."""

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

    def forget(self, address: str) -> None:
        """Nothing is kept here."""


class LeaderHarness:
    """A leader with fakes round it, driven step by step."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.settings = settings()
        self.store = FakeStore()
        self.may_reject = False
        """The case is about a store that refuses what is too large."""
        self.cloud = FakeCloud()
        self.workers: dict[str, FakeWorker] = {}
        self.lost: list[str] = []
        self.finals: dict[JobId, str] = {}
        self.scope = WHOLE_FLEET
        self.leader = self.new_leader(5)

    def new_leader(self, term: int, image_locality: ImageLocality | None = None) -> Leader:
        lease_validity = LeaseValidity(3.0, policy().hold_s)
        lease_validity.confirm_renewal(self.clock())
        won = leadership(term, lease_validity)
        result = self.store.txn({}, [Put(TERM_KEY, {"term": term})])
        won.term_key_version = KeyVersion(result.revision)
        term_context = TermContext(
            self.settings,
            policy(),
            self.store,  # type: ignore[arg-type]
            won,
            self.lost.append,
            lambda _machine_types: None,
            self.scope,
        )
        leader = Leader(term_context, self.finals.__setitem__, image_locality)
        leader.autoscaler.cloud = leader.autoscaler.listing.cloud = self.cloud  # type: ignore[assignment]
        leader.worker_commands.workers = DirectWorkers(self.workers)  # type: ignore[assignment]
        leader.term.set_machine_types(self.cloud.machine_types())
        leader.worker_commands.schedule_direct_message = lambda machine: None  # type: ignore[method-assign]
        leader._load()
        leader.term.state_loaded.set()
        self.leader = leader
        return leader

    def announce(self, **limits: Any) -> None:
        """Announce the store's next limits, to leaders that begin from now on."""
        params = self.settings.params
        state = msgspec.structs.replace(params.state, next=NextLimits(**limits))
        self.settings = msgspec.structs.replace(
            self.settings, params=msgspec.structs.replace(params, state=state)
        )

    def narrow(self, **limits: Any) -> None:
        """Let the store's limits fall."""
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
        """One heartbeat and its answer, executed."""
        answer = self.leader.on_heartbeat(worker.heartbeat())
        assert answer is not None
        worker.execute(answer.token, answer.commands)
        return answer.commands

    def write(self) -> None:
        while self.leader.writer.write_once():
            pass

    def ready(self, *workers: FakeWorker) -> None:
        """Hear workers, record them and hear them again under our term."""
        for worker in workers * 2:
            self.exchange(worker)
        self.write()
        for worker in workers:
            self.exchange(worker)
        assert self.leader.scheduler.check_reconciled()

    def ready_worker(self) -> FakeWorker:
        """A worker to which tasks may be given."""
        worker = self.worker()
        self.ready(worker)
        return worker

    def ready_workers(self, count: int) -> list[FakeWorker]:
        """Several workers to which tasks may be given, heard together."""
        workers = [self.worker(f"i-{number:06d}") for number in range(count)]
        self.ready(*workers)
        return workers

    def begin(self, worker: FakeWorker, *names: str, **changes: Any) -> JobId:
        """Accept a job and let the worker fetch its starts."""
        job = self.accept(*names, **changes)
        self.place()
        self.exchange(worker)
        return job

    def end(self, worker: FakeWorker) -> None:
        """Finish everything on a worker, and report it."""
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
