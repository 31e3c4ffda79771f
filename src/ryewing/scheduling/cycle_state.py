"""The state that the parts of a cycle share: the machines, the current job's limits, the plan."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import chain
from typing import NamedTuple

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.gpu_reserve import NO_RESERVE, GpuReserve
from ryewing.scheduling.image_survey import LONG_FETCH_S, ImageSurvey
from ryewing.scheduling.job_limits import JobLimits
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import allows_machine, fetch_s
from ryewing.scheduling.plan import Batch, BatchPart, Plan
from ryewing.scheduling.snapshot import SchedulingSnapshot
from ryewing.state.image_cache import COLD, FETCHING, WARM
from ryewing.state.jobs import Job
from ryewing.state.machine import MachineKind
from ryewing.units import MachineId, Zone
from ryewing.wire.jobs import SERVICE, JobSpec

MIN_REMAINING_FETCH_S = 0.2
"""The least number of seconds for which a fetch under way is expected to continue, even if it
should have ended."""
SHARED_FETCH_FACTOR = 2.0
"""How many times as long a fetch takes concurrently with another one if they share the machine's
rate."""


class Choice(NamedTuple):
    """How many tasks of the current job go to one machine."""

    capacity: MachineCapacity
    task_count: int


class CycleState:
    """The state of one cycle.

    Methods that use `limits` apply to the current job, which `begin_turn` sets.
    """

    def __init__(self, snapshot: SchedulingSnapshot, jobs: Sequence[Job]) -> None:
        self.snapshot = snapshot
        self.now = snapshot.now
        self.plan = Plan()
        self.image_survey = ImageSurvey(snapshot.capacities, snapshot.gpu_reserve, jobs)
        self.all_jobs_tried = False
        """Whether every job has been processed, so that the capacity left may go to fetches."""
        self.limits: JobLimits
        """The limits of the current job."""
        self._gpu_reserve_machines = _choose_gpu_reserve_machines(
            snapshot.capacities, snapshot.gpus_kept
        )
        self._by_kind: dict[MachineKind, list[MachineCapacity]] = {}
        for capacity in snapshot.capacities:
            self._by_kind.setdefault(capacity.machine.kind, []).append(capacity)
        for position, capacity in enumerate(chain.from_iterable(self._by_kind.values())):
            capacity.position = position
        self._candidates: dict[tuple[object, ...], Candidates] = {}
        self._narrowed: list[Candidates] = []
        """Subsets of candidates that were made for the current job only."""

    def begin_turn(self, job: Job) -> JobLimits:
        """Make a job the current one; return its limits, which the caller adjusts."""
        self.limits = JobLimits(job, self.snapshot.gpu_reserve)
        self._narrowed.clear()
        return self.limits

    # -- candidate machines -------------------------------------------------------------------

    def candidates(self, job: Job) -> Candidates:
        """Return the machines that a job may use.

        Jobs with equal constraints share one result, and the constraints are checked once for each
        kind of machine. Sampling comes after this (`sample`): a sample of all machines rarely had
        enough machines for a gang that needs several whole machines of one type in one zone.
        """
        spec = job.spec
        types = None if spec.machine_types is None else tuple(spec.machine_types)
        key = (types, spec.zone, spec.spot)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = Candidates(
                [
                    capacity
                    for members in self._by_kind.values()
                    if allows_machine(spec, members[0].machine)
                    for capacity in members
                ]
            )
            self._candidates[key] = candidates
        return candidates

    def narrowed(self, candidates: Candidates, capacities: list[MachineCapacity]) -> Candidates:
        """Return the candidates restricted to some of their machines, for the current job only."""
        if len(capacities) == len(candidates.capacities):
            return candidates
        subset = Candidates(capacities)
        self._narrowed.append(subset)
        return subset

    def note_stopping(self, capacity: MachineCapacity) -> None:
        """Update the indexes for a machine where a task is being stopped."""
        for candidates in chain(self._candidates.values(), self._narrowed):
            candidates.note_stopping(capacity)

    def sample(self, job: Job, capacities: list[MachineCapacity]) -> list[MachineCapacity]:
        """Return a random sample if there are more machines than a cycle examines for one job.

        Each cycle draws a new sample. A gang needs several machines at once, so it gets all.
        """
        size = self.snapshot.sample_size
        if job.is_gang or len(capacities) <= size:
            self.plan.machines_examined += len(capacities)
            return capacities
        self.plan.machines_examined += size
        self.limits.sampled_only = True
        return self.snapshot.rng.sample(capacities, size)

    def may_use(self, job: Job, capacity: MachineCapacity) -> bool:
        """Return whether a job neither avoids a machine nor would delay its reservation."""
        if self.snapshot.avoids(job, capacity.machine):
            return False
        wait_s = capacity.reservation_wait_s
        return wait_s is None or not delays_reservation(job, wait_s)

    def zones_for(self, job: Job, capacities: Iterable[MachineCapacity]) -> list[Zone | None]:
        """Return the zones to try one after the other; None stands for all zones together.

        A job with `same_zone` gets the zone where it has tasks, or each zone if it has none.
        """
        if not job.spec.same_zone:
            return [None]
        present: list[Zone | None] = [
            zone for zone, task_count in self.limits.tasks_by_zone.items() if task_count > 0
        ]
        return present[:1] or list(dict.fromkeys(capacity.machine.zone for capacity in capacities))

    # -- start times --------------------------------------------------------------------------

    def start_s(self, spec: JobSpec, capacity: MachineCapacity) -> float:
        """Estimate in how many seconds a replica would run on a machine.

        The worker gets the start command in the response to its next heartbeat, and may then have
        to fetch the image.
        """
        if capacity.next_heartbeat_in_s is None:
            capacity.next_heartbeat_in_s = self.snapshot.next_heartbeat_in_s(capacity.machine)
        return capacity.next_heartbeat_in_s + self._image_wait_s(spec, capacity)

    def _image_wait_s(self, spec: JobSpec, capacity: MachineCapacity) -> float:
        """Estimate the seconds until a machine has the job's image."""
        machine = capacity.machine
        if spec.image in machine.images:
            return 0.0
        whole_fetch_s = fetch_s(spec, machine.machine_type.fetch_gb_per_s)
        fetch = machine.fetches.get(spec.image)
        if fetch is not None and machine.images_in_use[spec.image]:
            return max(MIN_REMAINING_FETCH_S, whole_fetch_s - (self.now - fetch.started_at))
        shares_rate = self.snapshot.is_fetch_rate_shared and capacity.fetches_other_image(
            spec.image
        )
        return whole_fetch_s * (SHARED_FETCH_FACTOR if shares_rate else 1.0)

    def meets_image_limits(self, spec: JobSpec, capacity: MachineCapacity) -> bool:
        """Return whether a machine meets the current job's limits on warm machines.

        For a replica, the limits are on its estimated start and on the displaced share.
        """
        limits = self.limits
        if spec.shape != SERVICE:
            return not limits.warm_only or capacity.machine.warmth(spec.image) < COLD
        if limits.warm_only and self.start_s(spec, capacity) > limits.acceptable_wait_s:
            return False
        displaced = capacity.displaced_share(spec, self.snapshot.recent_specs)
        return displaced <= limits.displaced_share_max

    # -- task limits --------------------------------------------------------------------------

    def gpu_reserve_on(self, capacity: MachineCapacity) -> GpuReserve:
        """Return what the current job must leave free on a machine for each of its free GPUs."""
        return (
            self.limits.gpu_reserve
            if capacity.machine.id in self._gpu_reserve_machines
            else NO_RESERVE
        )

    def fetch_limit(self, job: Job, capacity: MachineCapacity) -> int:
        """Return how many of the job's tasks may go to a machine, considering fetches and faults.

        One task is enough to begin a long fetch. Until the fetch is done, the other resources of
        the machine remain available to jobs whose images it has. Gangs are exempt because they need
        all their tasks at once.
        """
        spec = job.spec
        machine = capacity.machine
        if machine.failed_jobs:
            # The machine failed a task and has finished none since, so it gets one task as a probe.
            return 0 if machine.assignments or capacity.images_placed else 1
        warmth = machine.warmth(spec.image)
        if job.is_gang or job.is_service or warmth == WARM or self.image_survey.is_plentiful(job):
            return spec.task_count
        if fetch_s(spec, machine.machine_type.fetch_gb_per_s) <= LONG_FETCH_S:
            return spec.task_count
        if warmth == FETCHING:
            return spec.task_count if self.all_jobs_tried else 0
        if self.snapshot.is_fetch_rate_shared and capacity.fetches_other_image(spec.image):
            return 0  # concurrent fetches that share the rate end no sooner than sequential ones
        return 0 if spec.image in capacity.images_placed else 1

    def task_limit(
        self,
        job: Job,
        capacity: MachineCapacity,
        remaining: int,
        chosen_by_zone: dict[Zone, int],
        chosen_cold: int,
    ) -> int:
        """Return how many of the `remaining` tasks may go to a machine.

        This ignores the machine's free resources. `chosen_by_zone` counts the tasks chosen so far
        in each zone; `chosen_cold` of them need a fetch.
        """
        limits = self.limits
        is_cold = capacity.machine.warmth(job.spec.image) == COLD
        max_tasks = min(remaining, self.fetch_limit(job, capacity))
        if not job.is_gang and is_cold:
            max_tasks = min(max_tasks, limits.cold_starts_left - chosen_cold)
        if job.spec.spread:
            zone = capacity.machine.zone
            max_tasks = min(
                max_tasks,
                job.max_tasks_per_zone - limits.tasks_by_zone[zone] - chosen_by_zone.get(zone, 0),
            )
        if job.is_service and limits.displaced_share_max < math.inf:
            if is_cold:
                # Replicas that need a fetch go to one machine each. They start no later, and more
                # machines then have the image for later replicas.
                max_tasks = min(max_tasks, 0 if job.spec.image in capacity.images_placed else 1)
            max_tasks = self._count_without_displacing(job.spec, capacity, max_tasks)
        return max_tasks

    def _count_without_displacing(
        self, spec: JobSpec, capacity: MachineCapacity, max_tasks: int
    ) -> int:
        """Return how many replicas a machine can take without exceeding `displaced_share_max`."""
        count = 0
        resources_before = capacity.resources_left_by_replicas()
        recent = self.snapshot.recent_specs
        displaced_max = self.limits.displaced_share_max
        while count < max_tasks and capacity.displaced_share(spec, recent) <= displaced_max:
            count += 1
            capacity.subtract_replicas(spec, 1)
        capacity.restore_resources_left_by_replicas(resources_before)
        return count

    # -- claims -------------------------------------------------------------------------------

    def claim(self, job: Job, choices: Iterable[Choice]) -> int:
        """Claim free or releasing resources for the current job; return for how many tasks."""
        spec = job.spec
        limits = self.limits
        total = 0
        for capacity, count in choices:
            capacity.claim(spec, count)
            if job.is_service:
                capacity.add_replicas(spec, count)
            limits.tasks_by_zone[capacity.machine.zone] += count
            if not job.is_gang and capacity.machine.warmth(spec.image) == COLD:
                limits.cold_starts_left -= count
                self.image_survey.note_placed_cold(job, count)
            capacity.images_placed.add(spec.image)
            self.snapshot.quota.use(spec, count)
            total += count
        return total

    def place(self, job: Job, choices: Sequence[Choice]) -> int:
        """Plan a batch of the choices and claim their resources; return for how many tasks."""
        if not choices:
            return 0
        parts = [BatchPart(capacity.machine, count) for capacity, count in choices]
        self.plan.batches.append(Batch(job, parts))
        return self.claim(job, choices)


def delays_reservation(job: Job, wait_s: float) -> bool:
    """Return whether a job might still run in `wait_s` seconds, when a gang needs the machine."""
    return job.is_gang or job.estimate_s() >= wait_s


def _choose_gpu_reserve_machines(
    capacities: Sequence[MachineCapacity], gpus: float
) -> frozenset[MachineId]:
    """Choose machines with `gpus` free GPUs in total, where the GPU reserve applies.

    All free GPUs of a chosen machine are kept usable, because a small reserve on every machine
    might fit no task on any of them. Machines with GPUs in use are chosen first.
    """
    chosen: set[MachineId] = set()
    with_gpus = [capacity for capacity in capacities if capacity.free_gpus > 0]
    with_gpus.sort(
        key=lambda c: (c.free_gpus >= c.machine.machine_type.gpus, c.machine.spot, c.machine.id)
    )
    for capacity in with_gpus:
        if gpus <= 0:
            break
        chosen.add(capacity.machine.id)
        gpus -= capacity.free_gpus
    return frozenset(chosen)
