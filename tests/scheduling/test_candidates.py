"""The indexes of a cycle: the same as looking at every machine, without looking at every one."""

from __future__ import annotations

import random

import pytest
from support.fakes import CPU, GPU, policy, settings
from support.placement_world import T0, World

from ryewing import scheduling
from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.preemption import may_preempt
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.scheduling.victims import Preemptor
from ryewing.state.jobs import Job
from ryewing.state.machine import COLD, Machine
from ryewing.units import MonotonicTime

IMAGES = 6
CPUS = (1.0, 4.0, 16.0)


class RandomWorld(World):
    """Machines with images and tasks of all priorities, and jobs that wait."""

    def __init__(self, seed: int, size: int = 40) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.machines = [self._machine(number) for number in range(size)]
        for number in range(size // 2):
            job = self._job(f"run-1{number:04d}", 60)
            for machine in self.rng.sample(self.machines, size // 4):
                room = MachineCapacity(machine).count_fitting(job.spec, self.rng.randrange(1, 9))
                self.run_tasks(job, machine, min(room, job.shortfall))

    def _machine(self, number: int) -> Machine:
        kind = self.rng.choice((CPU, CPU, GPU))
        machine = self.machine(f"i-{number:06d}", kind, self.rng.choice("abc"), number % 3 == 0)
        for _ in range(2):
            machine.record_image(f"img-{self.rng.randrange(IMAGES)}", 1.0)
        return machine

    def _job(self, ref: str, tasks: int) -> Job:
        return self.job(
            ref,
            task_count=tasks,
            cpus=self.rng.choice(CPUS),
            image=f"img-{self.rng.randrange(IMAGES)}",
            image_gb=4.0,
            priority=self.rng.choice(("production", "urgent", "standard", "idle")),
            spot=True,
        )

    def waiting(self, count: int) -> list[Job]:
        """Make jobs that wait."""
        return [self._job(f"run-2{number:04d}", 12) for number in range(count)]

    def inputs(self, sample: int = 64) -> scheduling.SchedulingSnapshot:
        """Give what a cycle starts from."""
        teams = {team.name: team for team in settings().params.teams}
        capacities = [MachineCapacity(machine) for machine in self.machines]
        quota = TeamQuota(teams, {}, {})
        return scheduling.SchedulingSnapshot(
            capacities, quota, MonotonicTime(T0 + 100.0), random.Random(3), sample, gpus_kept=0.0
        )


@pytest.mark.parametrize("seed", range(8))
def test_indexes_tell_what_every_machine_would(seed: int) -> None:
    """Compared after each of many steps in which room is taken and tasks are stopped."""
    world = RandomWorld(seed)
    jobs = world.waiting(10)
    state = CycleState(world.inputs(), jobs)
    preemptor = Preemptor(state)
    for _ in range(60):
        job = world.rng.choice(jobs)
        state.begin(job)
        candidates = state.candidates(job)
        for part in (candidates, *map(candidates.with_few_gpus, candidates.gpu_counts())):
            _assert_same_as_a_scan(job, part, preemptor)
        chosen = world.rng.choice(candidates.capacities)
        victims = preemptor.victims_on(job, chosen)
        if victims:
            chosen.stop(victims[0])
            state.note_stopping(chosen)
        elif chosen.count_fitting(job.spec, 1):
            chosen.claim(job.spec, 1)


def _assert_same_as_a_scan(job: Job, part: Candidates, preemptor: Preemptor) -> None:
    image = job.spec.image
    here = part.capacities
    assert part.fitting(job.spec) == [c for c in here if c.may_fit(job.spec)]
    assert part.with_image(image) == [c for c in here if c.machine.warmth(image) < COLD]
    assert preemptor.usable_machines(job, part, whole=False) == [
        capacity
        for capacity in here
        if any(
            may_preempt(job, assignment) and assignment not in capacity.stopping
            for assignment in capacity.machine.assignments.values()
        )
    ]


def test_machines_that_a_single_job_avoids_are_left_out_for_it_alone() -> None:
    """What is stopped for it is seen by what it looks at next: found with a replica that stopped
    one task more than it needed."""
    world = RandomWorld(1)
    job = world.job("run-9", priority="production", cpus=16.0, spot=True)
    state = CycleState(world.inputs(), [job])
    state.begin(job)
    candidates = state.candidates(job)
    narrowed = state.narrowed(candidates, candidates.capacities[1:])
    preemptor = Preemptor(state)
    capacity = next(c for c in narrowed.capacities if _fits_after_stops(job, c, preemptor))
    assert state.narrowed(candidates, list(candidates.capacities)) is candidates
    for part in (candidates, narrowed):
        assert capacity not in part.fitting(job.spec)
    for victim in preemptor.victims_on(job, capacity):
        capacity.stop(victim)
    state.note_stopping(capacity)
    for part in (candidates, narrowed):
        assert capacity in part.fitting(job.spec)


def _fits_after_stops(job: Job, capacity: MachineCapacity, preemptor: Preemptor) -> bool:
    freed = sum(a.job.spec.cpus for a in preemptor.victims_on(job, capacity) if a.job is not None)
    return capacity.cpus < job.spec.cpus <= capacity.cpus + freed


@pytest.mark.parametrize("scale", [1, 4])
def test_a_cycle_asks_each_machine_a_bounded_number_of_times(
    monkeypatch: pytest.MonkeyPatch, scale: int
) -> None:
    """Of four times the machines and jobs, four times the questions, not sixteen times."""
    world = RandomWorld(5, 200 * scale)
    jobs = world.waiting(40 * scale)
    asked: list[int] = []
    may_fit = MachineCapacity.may_fit

    def counted(capacity: MachineCapacity, spec: object) -> bool:
        asked.append(1)
        return may_fit(capacity, spec)  # type: ignore[arg-type]

    monkeypatch.setattr(MachineCapacity, "may_fit", counted)
    scheduling.run_cycle(world.inputs(policy().sample), jobs)
    assert len(asked) <= 12 * len(world.machines) + 4 * policy().sample * len(jobs)
