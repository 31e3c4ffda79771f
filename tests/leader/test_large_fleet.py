"""A fleet of 4,000 fake machines in one process: checks rules and request counts, not times."""

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
HEADROOM = 1.5
"""Every fixed limit must be sufficient for this many times `MACHINES`."""
TASKS_PER_MACHINE = 4
SILENT_INTERVALS = 14
"""Heartbeat intervals for which a zone is silent: longer than the earlier leader's hold and a
worker lease together."""
TASKS = MACHINES * TASKS_PER_MACHINE


class Fleet:
    """Fake workers by machine name, and the tasks that run on them."""

    def __init__(self, harness: LeaderHarness) -> None:
        self.harness = harness
        self.workers: dict[str, FakeWorker] = {}
        self.silent: set[str] = set()
        self.machine_by_task: dict[str, str] = {}
        """The machine of each task, according to the workers."""
        self.start_counts: Counter[str] = Counter()
        """How often each task was started."""

    def rent(self) -> tuple[int, int]:
        """Rent and boot the machines that waiting tasks need.

        Return the number of rental requests, and of store writes made for the booted machines.
        """
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
        """Deliver a heartbeat of every worker that is not silent; execute the responses."""
        self.send_heartbeats(self.workers)

    def send_heartbeats_for_planned_starts(self) -> None:
        """Deliver heartbeats of the workers for which starts are planned."""
        machines = self.harness.leader.term.cluster.machines
        phases_by_machine = {
            name: {assignment.phase for assignment in machine.assignments.values()}
            for name, machine in machines.items()
        }
        self.send_heartbeats(
            [name for name, phases in phases_by_machine.items() if TaskPhase.PLANNED in phases]
        )

    def send_heartbeats(self, names: Iterable[str]) -> None:
        """Deliver heartbeats of these workers unless they are silent; execute the responses."""
        for name in names:
            worker = self.workers[name]
            if name not in self.silent:
                answer = self.harness.leader.on_heartbeat(worker.heartbeat())
                assert answer is not None
                self._execute(name, worker, answer.token, answer.commands)

    def _execute(self, name: str, worker: FakeWorker, token: int, commands: list[Command]) -> None:
        for command in commands:
            assert command.verb == "start"
            assert command.task_id not in self.machine_by_task, (
                "a task is started on a second machine"
            )
            self.machine_by_task[command.task_id] = name
            self.start_counts[command.task_id] += 1
        worker.execute(token, commands)

    def expire_silent_workers(self) -> None:
        """Expire the leases of the silent workers, which then kill and forget their tasks."""
        self.machine_by_task = {
            task: name for task, name in self.machine_by_task.items() if name not in self.silent
        }
        for name in self.silent:
            del self.workers[name]
        self.silent.clear()


def large_settings() -> Settings:
    """Return settings without team limits, and with enough sockets for this fleet."""
    raw = msgspec.to_builtins(settings())
    for team in raw["params"]["teams"]:
        team.update(cpus_max=0.0, gpus_max=0.0)
    raw["params"]["resources"]["fd_limit"] = int(1.4 * HEADROOM * MACHINES) + 100
    return msgspec.convert(raw, Settings)


@pytest.fixture
def fleet(harness: LeaderHarness) -> Fleet:
    """Rent, boot and record the machines for one large array, in two zones."""
    harness.settings = large_settings()
    harness.cloud.capacity = MACHINES
    harness.new_leader(6)
    harness.accept(task_count=TASKS, cpus=8.0, estimated_s=300.0, spot=True, spread=True)
    new_fleet = Fleet(harness)
    requests, writes = new_fleet.rent()
    assert requests <= MACHINES // MAX_MACHINES_PER_RENTAL + 2
    # One value of the store holds about fifty machine records. One write per machine would use
    # up the write rate for minutes.
    assert writes <= MACHINES // 40
    assert all(m.is_schedulable() for m in harness.leader.term.cluster.machines.values())
    return new_fleet


def place_all_tasks(fleet: Fleet) -> None:
    """Run scheduling cycles until every task runs; each cycle examines a sample of the machines."""
    harness = fleet.harness
    cycles = 0
    while len(fleet.machine_by_task) < TASKS:
        harness.place()
        cycles += 1
        assert cycles <= MACHINES / policy().sample + 1
        harness.later(0.1)
        fleet.send_heartbeats_for_planned_starts()
    fleet.all_send_heartbeats()


def test_a_large_fleet_recovers_from_a_failover_and_the_loss_of_a_zone(fleet: Fleet) -> None:
    harness = fleet.harness
    place_all_tasks(fleet)

    # Failover: the new leader hears every machine by its heartbeats and starts no task again.
    contacted: Counter[MachineId] = Counter()
    leader = harness.new_leader(7)
    leader.direct_messages.schedule = lambda machine: contacted.update([machine.id])  # type: ignore[method-assign]
    job = leader.term.job_table.jobs[JobId("run-1")]
    assert len(leader.term.cluster.machines) == MACHINES
    assert not leader.scheduler.check_reconciled()
    for _ in range(2):
        fleet.all_send_heartbeats()
    harness.place()
    fleet.all_send_heartbeats()
    assert (job.running_count, job.shortfall) == (TASKS, 0)
    assert set(fleet.start_counts.values()) == {1}
    leader.direct_messages.probe(harness.clock())
    assert not contacted

    # A zone falls silent. These are too many machines to release at once, so each is kept until it
    # can no longer hold a task: until the earlier leader's hold and then a worker lease have ended.
    lost_machines = {name for name, worker in fleet.workers.items() if worker.zone == "a"}
    lost_tasks = {task for task, name in fleet.machine_by_task.items() if name in lost_machines}
    assert MACHINES // 3 < len(lost_machines) < 2 * MACHINES // 3
    fleet.silent = set(lost_machines)
    for interval in range(SILENT_INTERVALS):
        harness.later(3.0)
        fleet.all_send_heartbeats()
        leader.maintenance.run_once()
        harness.place()
        releases = leader.autoscaler.unhealthy_machines(harness.clock())
        assert not any(machine.lease_expires_by for machine, _reason in releases)
        assert max(contacted.values(), default=0) <= interval + 1
    fleet.expire_silent_workers()
    requests = 0
    while unhealthy := leader.autoscaler.unhealthy_machines(harness.clock()):
        leader.autoscaler.releaser.release(unhealthy)
        requests += 1
    assert requests == -(-len(lost_machines) // MAX_MACHINES_PER_RELEASE)
    assert set(map(str, harness.cloud.released)) == lost_machines

    # The tasks of the lost zone run again on new machines; no other task is started again.
    harness.cloud.capacity = len(lost_machines)
    fleet.rent()
    place_all_tasks(fleet)
    assert {task for task, count in fleet.start_counts.items() if count == 2} == lost_tasks
    assert set(fleet.start_counts.values()) == {1, 2}
    assert (job.running_count, job.shortfall) == (TASKS, 0)


@pytest.mark.parametrize("machines", [400, 1000, int(HEADROOM * MACHINES)])
def test_listing_machines_leaves_most_of_the_cloud_rate_to_rentals(
    harness: LeaderHarness, machines: int
) -> None:
    """Listing 6,000 machines takes 12 requests; every 4 s that would use up the cloud's rate."""
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


def test_a_term_that_has_used_up_its_attempt_numbers_ends(harness: LeaderHarness) -> None:
    """A higher attempt number would belong to the next term, and attempt numbers never repeat."""
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


def test_fixed_limits_are_sufficient_for_a_larger_fleet() -> None:
    machine_count = int(HEADROOM * MACHINES)
    images = [
        (f"registry/some-longer-image-name-{number:05d}:1.2.3", 1.0) for number in range(2000)
    ]
    images_by_machine = {f"i-{number:06d}": list(range(number % 1900, number % 1900 + 40))
                         for number in range(machine_count)}  # fmt: skip
    assert len(msgspec.msgpack.encode(ImageLocality(1, images, images_by_machine))) < FRAME_MAX / 2
    assert machine_count < RELEASED_MACHINES_KEPT
    assert machine_count * 2 * 32 < MIN_ATTEMPTS_LEFT  # two tasks per CPU
    assert (
        max_sends_in_flight(large_settings().params.resources.fd_limit) > 5 * BASE_SENDS_IN_FLIGHT
    )
    names = [f"i-{number:06d}" for number in range(machine_count)]
    assert len(abbreviate_names(names)) < 12 * LOGGED_NAMES_MAX
    assert abbreviate_names(names[:2]) == "i-000000,i-000001"
