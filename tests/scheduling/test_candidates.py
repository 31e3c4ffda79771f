"""The indexes of `Candidates` match a scan of all machines, at a bounded cost."""

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
from ryewing.state.image_cache import COLD
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime

IMAGES = 6
CPUS = (1.0, 4.0, 16.0)


class RandomWorld(World):
    """Machines with random images and with tasks of all priorities, and waiting jobs."""

    def __init__(self, seed: int, size: int = 40) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.machines = [self._machine(number) for number in range(size)]
        for number in range(size // 2):
            job = self._job(f"run-1{number:04d}", 60)
            for machine in self.rng.sample(self.machines, size // 4):
                count = MachineCapacity(machine).count_fitting(job.spec, self.rng.randrange(1, 9))
                self.run_tasks(job, machine, min(count, job.shortfall))

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

    def waiting_jobs(self, count: int) -> list[Job]:
        """Add jobs without assigned tasks."""
        return [self._job(f"run-2{number:04d}", 12) for number in range(count)]

    def snapshot(self, sample: int = 64) -> scheduling.SchedulingSnapshot:
        """Return the input of a cycle, with all machines."""
        teams = {team.name: team for team in settings().params.teams}
        capacities = [MachineCapacity(machine) for machine in self.machines]
        quota = TeamQuota(teams, {}, {})
        return scheduling.SchedulingSnapshot(
            capacities, quota, MonotonicTime(T0 + 100.0), random.Random(3), sample, gpus_kept=0.0
        )


@pytest.mark.parametrize("seed", range(8))
def test_indexes_match_a_scan_of_all_machines(seed: int) -> None:
    """The results are compared after each of many steps that claim resources or stop a task."""
    world = RandomWorld(seed)
    jobs = world.waiting_jobs(10)
    state = CycleState(world.snapshot(), jobs)
    preemptor = Preemptor(state)
    for _ in range(60):
        job = world.rng.choice(jobs)
        state.begin_turn(job)
        candidates = state.candidates(job)
        for part in (candidates, *map(candidates.with_at_most_gpus, candidates.gpu_counts())):
            _assert_matches_scan(job, part, preemptor)
        chosen = world.rng.choice(candidates.capacities)
        victims = preemptor.victims_on(job, chosen)
        if victims:
            chosen.mark_stopping(victims[0])
            state.note_stopping(chosen)
        elif chosen.count_fitting(job.spec, 1):
            chosen.claim(job.spec, 1)


def _assert_matches_scan(job: Job, candidates: Candidates, preemptor: Preemptor) -> None:
    image = job.spec.image
    capacities = candidates.capacities
    assert candidates.fitting(job.spec) == [c for c in capacities if c.may_fit(job.spec)]
    assert candidates.with_image(image) == [c for c in capacities if c.machine.warmth(image) < COLD]
    assert preemptor.usable_machines(job, candidates, all_or_nothing=False) == [
        capacity
        for capacity in capacities
        if any(
            may_preempt(job, assignment) and assignment not in capacity.stopping
            for assignment in capacity.machine.assignments.values()
        )
    ]


def test_candidates_narrowed_for_one_job_see_its_preemptions() -> None:
    """Narrowing for one job leaves the shared candidates as they are.

    A job's next step must take into account the tasks that its previous step stopped. Otherwise, a
    replica preempted one task more than it needed.
    """
    world = RandomWorld(1)
    job = world.job("run-9", priority="production", cpus=16.0, spot=True)
    state = CycleState(world.snapshot(), [job])
    state.begin_turn(job)
    candidates = state.candidates(job)
    narrowed = state.narrowed(candidates, candidates.capacities[1:])
    preemptor = Preemptor(state)
    capacity = next(c for c in narrowed.capacities if _fits_after_stops(job, c, preemptor))
    assert state.narrowed(candidates, list(candidates.capacities)) is candidates
    for part in (candidates, narrowed):
        assert capacity not in part.fitting(job.spec)
    for victim in preemptor.victims_on(job, capacity):
        capacity.mark_stopping(victim)
    state.note_stopping(capacity)
    for part in (candidates, narrowed):
        assert capacity in part.fitting(job.spec)


def _fits_after_stops(job: Job, capacity: MachineCapacity, preemptor: Preemptor) -> bool:
    freed = sum(a.job.spec.cpus for a in preemptor.victims_on(job, capacity) if a.job is not None)
    return capacity.free_cpus < job.spec.cpus <= capacity.free_cpus + freed


@pytest.mark.parametrize("scale", [1, 4])
def test_the_checks_per_cycle_grow_linearly_with_machines_and_jobs(
    monkeypatch: pytest.MonkeyPatch, scale: int
) -> None:
    """With four times the machines and jobs, there are four times the checks, not sixteen times."""
    world = RandomWorld(5, 200 * scale)
    jobs = world.waiting_jobs(40 * scale)
    checks: list[int] = []
    may_fit = MachineCapacity.may_fit

    def counting_may_fit(capacity: MachineCapacity, spec: object) -> bool:
        checks.append(1)
        return may_fit(capacity, spec)  # type: ignore[arg-type]

    monkeypatch.setattr(MachineCapacity, "may_fit", counting_may_fit)
    scheduling.run_cycle(world.snapshot(policy().sample), jobs)
    assert len(checks) <= 12 * len(world.machines) + 4 * policy().sample * len(jobs)
