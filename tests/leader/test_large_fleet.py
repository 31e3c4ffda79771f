"""About four thousand machines, played in one process: rules and counts of requests, no times."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec
import pytest
from support.fakes import FakeWorker, policy, settings
from support.harness import LeaderHarness

from ryewing.clients.cloud import (
    MAX_MACHINES_PER_PAGE,
    MAX_MACHINES_PER_RELEASE,
    MAX_MACHINES_PER_RENTAL,
)
from ryewing.clients.machine_listing import LIST_RATE_SHARE
from ryewing.clients.peers import FRAME_MAX, ImageLocality
from ryewing.config.settings import Settings
from ryewing.leader.direct_messages import BASE_SENDS_IN_FLIGHT, max_sends_in_flight
from ryewing.leader.machine_releaser import RELEASED_MACHINES_KEPT
from ryewing.leader.plan_applier import MIN_ATTEMPTS_LEFT
from ryewing.leader.scheduler import LOGGED_NAMES_MAX, abbreviate_names
from ryewing.state.attempts import TaskPhase
from ryewing.units import MAX_ATTEMPTS, JobId, MachineId, TermNumber, attempt_number
from ryewing.wire.cloud import ListedMachine
from ryewing.wire.workers import Command

MACHINES = 4000
MARGIN = 1.5
"""No fixed limit stands below so many times the machines."""
TASKS_A_MACHINE = 4
LOOKS = 14
"""Looks at the fleet, a heartbeat interval apart: longer than old hold and lease."""
TASKS = MACHINES * TASKS_A_MACHINE


class Fleet:
    """Stand-in workers by machine, and the tasks that each of them runs."""

    def __init__(self, harness: LeaderHarness) -> None:
        self.harness = harness
        self.workers: dict[str, FakeWorker] = {}
        self.silent: set[str] = set()
        self.placed: dict[str, str] = {}
        """Where each task is, as the workers have it."""
        self.started: Counter[str] = Counter()

    def rent(self) -> tuple[int, int]:
        """Rent what is wanted, and let it boot; count the requests, and writes once it is up."""
        harness, autoscaler = self.harness, self.harness.leader.autoscaler
        requests = len(harness.cloud.requests)
        while len(harness.leader.term.cluster.machines) < MACHINES:
            harness.place()
            autoscaler.scale_out()
        harness.write()
        self._boot()
        writes = harness.store.writes
        for _ in range(2):
            self.all_send_heartbeats()
        harness.write()
        writes = harness.store.writes - writes
        self.all_send_heartbeats()
        return len(harness.cloud.requests) - requests, writes

    def _boot(self) -> None:
        for name, machine in self.harness.leader.term.cluster.machines.items():
            if name not in self.workers:
                self.workers[name] = FakeWorker(
                    name, machine.machine_type.name, machine.zone, machine.spot
                )

    def all_send_heartbeats(self) -> None:
        """Let every worker that can speak report and execute its answer."""
        self.send_heartbeats(self.workers)

    def planned_send_heartbeats(self) -> None:
        """Let those report for which starts are planned."""
        machines = self.harness.leader.term.cluster.machines
        phases = {
            name: {assignment.phase for assignment in machine.assignments.values()}
            for name, machine in machines.items()
        }
        self.send_heartbeats([name for name, found in phases.items() if TaskPhase.PLANNED in found])

    def send_heartbeats(self, names: Iterable[str]) -> None:
        """Let some workers report, of those that can speak, and execute their answers."""
        for name in names:
            worker = self.workers[name]
            if name not in self.silent:
                answer = self.harness.leader.on_heartbeat(worker.heartbeat())
                assert answer is not None
                self._execute(name, worker, answer.token, answer.commands)

    def _execute(self, name: str, worker: FakeWorker, token: int, commands: list[Command]) -> None:
        for command in commands:
            assert command.verb == "start"
            assert command.task_id not in self.placed, "a task is started on a second machine"
            self.placed[command.task_id] = name
            self.started[command.task_id] += 1
        worker.execute(token, commands)

    def lease_over(self) -> None:
        """The silent workers kill and forget their tasks."""
        self.placed = {task: name for task, name in self.placed.items() if name not in self.silent}
        for name in self.silent:
            del self.workers[name]
        self.silent.clear()


def large_settings() -> Settings:
    """Give settings without limits of teams, and sockets for so many machines."""
    raw = msgspec.to_builtins(settings())
    for team in raw["params"]["teams"]:
        team.update(cpus_max=0.0, gpus_max=0.0)
    raw["params"]["resources"]["fd_limit"] = int(1.4 * MARGIN * MACHINES) + 100
    return msgspec.convert(raw, Settings)


@pytest.fixture
def fleet(harness: LeaderHarness) -> Fleet:
    """Rent, boot and record the machines that one large array wants, in two zones."""
    harness.settings = large_settings()
    harness.cloud.capacity = MACHINES
    harness.new_leader(6)
    harness.accept(task_count=TASKS, cpus=8.0, estimated_s=300.0, spot=True, spread=True)
    found = Fleet(harness)
    requests, writes = found.rent()
    assert requests <= MACHINES // MAX_MACHINES_PER_RENTAL + 2
    # A value holds some fifty machines; one write each would take minutes of the write rate.
    assert writes <= MACHINES // 40
    assert all(m.is_schedulable() for m in harness.leader.term.cluster.machines.values())
    return found


def fill(fleet: Fleet) -> None:
    """Place until every task runs; a cycle looks at a sample of the machines."""
    harness = fleet.harness
    passes = 0
    while len(fleet.placed) < TASKS:
        harness.place()
        passes += 1
        assert passes <= MACHINES / policy().sample + 1
        harness.later(0.1)
        fleet.planned_send_heartbeats()
    fleet.all_send_heartbeats()


def test_four_thousand_machines_through_a_take_over_and_a_mass_loss(fleet: Fleet) -> None:
    harness = fleet.harness
    fill(fleet)

    # A take-over: every machine is heard by its heartbeats, nothing is started again.
    asked: Counter[MachineId] = Counter()
    leader = harness.new_leader(7)
    leader.direct_messages.schedule = lambda machine: asked.update([machine.id])  # type: ignore[method-assign]
    job = leader.term.job_table.jobs[JobId("run-1")]
    assert len(leader.term.cluster.machines) == MACHINES
    assert not leader.scheduler.check_reconciled()
    for _ in range(2):
        fleet.all_send_heartbeats()
    harness.place()
    fleet.all_send_heartbeats()
    assert (job.running_count, job.shortfall) == (TASKS, 0)
    assert set(fleet.started.values()) == {1}
    leader.direct_messages.probe(harness.clock())
    assert not asked

    # A zone falls silent: too many at once to be released, so each is kept for as long as the
    # earlier leader may have answered it, and its lease after that.
    lost = {name for name, worker in fleet.workers.items() if worker.zone == "a"}
    stopped = {task for task, name in fleet.placed.items() if name in lost}
    assert MACHINES // 3 < len(lost) < 2 * MACHINES // 3
    fleet.silent = set(lost)
    for look in range(LOOKS):
        harness.later(3.0)
        fleet.all_send_heartbeats()
        leader.maintenance.run_once()
        harness.place()
        given_up = leader.autoscaler.unhealthy_machines(harness.clock())
        assert not any(machine.lease_expires_by for machine, _reason in given_up)
        assert max(asked.values(), default=0) <= look + 1
    fleet.lease_over()
    requests = 0
    while gone := leader.autoscaler.unhealthy_machines(harness.clock()):
        leader.autoscaler.releaser.release(gone)
        requests += 1
    assert requests == -(-len(lost) // MAX_MACHINES_PER_RELEASE)
    assert set(map(str, harness.cloud.released)) == lost

    # Its work runs again on new machines, and nothing else is touched.
    harness.cloud.capacity = len(lost)
    fleet.rent()
    fill(fleet)
    assert {task for task, count in fleet.started.items() if count == 2} == stopped
    assert set(fleet.started.values()) == {1, 2}
    assert (job.running_count, job.shortfall) == (TASKS, 0)


@pytest.mark.parametrize("machines", [400, 1000, int(MARGIN * MACHINES)])
def test_the_list_leaves_the_clouds_rate_to_rentals(harness: LeaderHarness, machines: int) -> None:
    """Of 6,000 machines a reading takes 12 requests; each 4 s that is beyond the rate."""
    harness.cloud.listed = [
        ListedMachine(f"i-{number:06d}", "c32", "a", "running", "", False, 5.0)
        for number in range(machines)
    ]
    autoscaler = harness.leader.autoscaler
    rps = harness.settings.params.cloud.rps
    pages = 0
    seconds = 60.0
    for _ in range(round(seconds / 0.5)):
        harness.clock.now += 0.5
        if autoscaler.inventory.listing.try_acquire_page(harness.clock()):
            autoscaler.inventory.read_page()
            pages += 1
    assert len(harness.leader.term.cluster.machines) == machines
    assert pages <= LIST_RATE_SHARE * rps * (seconds + 1) + 1
    assert pages >= -(-machines // MAX_MACHINES_PER_PAGE)


def test_a_term_that_has_used_up_its_attempts_ends(harness: LeaderHarness) -> None:
    """An attempt beyond its term's would be one of the next term's, and attempts never repeat."""
    harness.ready_worker()
    harness.accept(task_count=1)
    harness.leader.scheduler.plan_applier.attempts_used = MAX_ATTEMPTS - MIN_ATTEMPTS_LEFT
    harness.place()
    assert harness.assignments()
    assert not harness.end_reasons
    harness.place()
    assert harness.end_reasons == ["attempts-used-up"]
    assert attempt_number(TermNumber(5), MAX_ATTEMPTS) < attempt_number(TermNumber(6), 0)
    with pytest.raises(ValueError, match="another term"):
        attempt_number(TermNumber(5), MAX_ATTEMPTS + 1)


def test_fixed_limits_stand_above_the_fleet() -> None:
    fleet = int(MARGIN * MACHINES)
    images = [
        (f"registry/some-longer-image-name-{number:05d}:1.2.3", 1.0) for number in range(2000)
    ]
    machines = {f"i-{number:06d}": list(range(number % 1900, number % 1900 + 40))
                for number in range(fleet)}  # fmt: skip
    assert len(msgspec.msgpack.encode(ImageLocality(1, images, machines))) < FRAME_MAX / 2
    assert fleet < RELEASED_MACHINES_KEPT
    assert fleet * 2 * 32 < MIN_ATTEMPTS_LEFT  # a task for each half of a processor
    assert (
        max_sends_in_flight(large_settings().params.resources.fd_limit) > 5 * BASE_SENDS_IN_FLIGHT
    )
    names = [f"i-{number:06d}" for number in range(fleet)]
    assert len(abbreviate_names(names)) < 12 * LOGGED_NAMES_MAX
    assert abbreviate_names(names[:2]) == "i-000000,i-000001"
