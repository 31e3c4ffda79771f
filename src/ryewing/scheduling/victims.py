"""Chooses which tasks to preempt for the current job, and on which machines."""

from __future__ import annotations

from typing import NamedTuple

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import Choice, CycleState
from ryewing.scheduling.gpu_reserve import GpuReserve
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import stranded_gpus
from ryewing.scheduling.preemption import lost_work_s, may_preempt, saving_s, stop_order
from ryewing.state.image_cache import COLD, WARM
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment
from ryewing.state.resources import count_fitting
from ryewing.units import Zone
from ryewing.wire.jobs import JobSpec

PREEMPTING_TASKS_MAX = 64
"""How many tasks of one array or service may get resources by preemption in one cycle. This bounds
the length of a cycle."""


class _PreemptionOption(NamedTuple):
    """A machine on which tasks may be preempted; the smallest option is the best."""

    stranded_gpus: float
    start_rank: float
    """For a replica, the seconds until it would run; for a gang, the `fetch_order` of its image;
    for an array, the same for every machine."""
    lost_s: float
    """Seconds of run time lost by preempting all victims; for a replica, by preempting the victim
    that loses least."""
    tie_breaker: int
    """A different number for each option, so that the later fields are never compared."""
    capacity: MachineCapacity
    victims: list[Assignment]


class _Preemption(NamedTuple):
    """The tasks to stop on one machine, and how many tasks of the current job then fit."""

    capacity: MachineCapacity
    victims: list[Assignment]
    task_count: int


class Preemptor:
    """Preempts less important tasks for the current job, by the rules of `preemption`."""

    def __init__(self, state: CycleState) -> None:
        self._state = state
        self._lowest_running_priority: int | None = None
        """The largest priority number of all assigned tasks; None until first needed."""

    def may_preempt_any(self, job: Job) -> bool:
        """Return whether any task in the cluster might be preempted for the job.

        This is a quick check before the search.
        """
        if job.guaranteed:
            return True
        if self._lowest_running_priority is None:
            self._lowest_running_priority = max(
                (
                    assignment.job.priority
                    for capacity in self._state.snapshot.capacities
                    for assignment in capacity.machine.assignments.values()
                    if assignment.job is not None
                ),
                default=-1,
            )
        return self._lowest_running_priority > job.priority

    def preempt(
        self, job: Job, requested: int, candidates: Candidates, all_or_nothing: bool = False
    ) -> int:
        """Plan to stop less important tasks; return how many of the job's tasks then fit.

        For a gang (`all_or_nothing`), free resources are used too, because it may need both free
        and releasing ones. Machines with a gang's image come first, because a fetch delays the gang
        for longer than stopping a task does.
        """
        if not self.may_preempt_any(job):
            return 0
        if not all_or_nothing:
            requested = min(requested, PREEMPTING_TASKS_MAX)
        options = self._options(job, candidates, all_or_nothing)
        preemptions = self._choose(job, requested, options, all_or_nothing)
        count = sum(preemption.task_count for preemption in preemptions)
        if all_or_nothing and count < requested:
            return 0
        for preemption in preemptions:
            self._apply(job, preemption)
        return count

    def _apply(self, job: Job, preemption: _Preemption) -> None:
        for assignment in preemption.victims:
            preemption.capacity.mark_stopping(assignment)
            self._state.plan.preemptions.append(assignment)
        if preemption.victims:
            self._state.note_stopping(preemption.capacity)
        self._state.claim(job, [Choice(preemption.capacity, preemption.task_count)])

    def _options(
        self, job: Job, candidates: Candidates, all_or_nothing: bool
    ) -> list[_PreemptionOption]:
        """Return the options on a sample of the usable machines, the best first."""
        options = [
            self._option(job, capacity, tie_breaker, all_or_nothing)
            for tie_breaker, capacity in enumerate(
                self._state.sample(job, self.usable_machines(job, candidates, all_or_nothing))
            )
        ]
        return sorted(options, key=lambda option: option[:4])

    def usable_machines(
        self, job: Job, candidates: Candidates, all_or_nothing: bool
    ) -> list[MachineCapacity]:
        """Return the machines where the job may preempt.

        For a gang (`all_or_nothing`) they include those where a task might fit without preemption.
        """
        warm_only, image = self._state.limits.warm_only, job.spec.image
        if all_or_nothing:
            capacities = candidates.with_image(image) if warm_only else candidates.capacities
            return [c for c in capacities if self.victims_on(job, c) or c.may_fit(job.spec)]
        if warm_only and not job.is_service:
            return [c for c in candidates.with_image(image) if self.victims_on(job, c)]
        capacities = candidates.preemptible(
            self._state.limits.victim_key, lambda capacity: bool(self.victims_on(job, capacity))
        )
        if not job.is_service:
            return capacities
        return [capacity for capacity in capacities if self._starts_soon_enough(job, capacity)]

    def _starts_soon_enough(self, job: Job, capacity: MachineCapacity) -> bool:
        """Return whether a replica would start soon enough, including the time its victim saves."""
        if not self._state.meets_image_limits(job.spec, capacity):
            return False
        limits = self._state.limits
        return not limits.warm_only or self._start_s(job, capacity) <= limits.acceptable_wait_s

    def _option(
        self, job: Job, capacity: MachineCapacity, tie_breaker: int, all_or_nothing: bool
    ) -> _PreemptionOption:
        victims = self.victims_on(job, capacity)
        losses = [lost_work_s(assignment, self._state.now) for assignment in victims]
        if job.is_service:
            start_rank: float = round(self._start_s(job, capacity))
            lost_s = min(losses, default=0.0)
        else:
            start_rank = capacity.fetch_order(job.spec, True) if all_or_nothing else WARM
            lost_s = sum(losses)
        stranded = stranded_gpus(job.spec, capacity.machine)
        return _PreemptionOption(stranded, start_rank, lost_s, tie_breaker, capacity, victims)

    def _start_s(self, job: Job, capacity: MachineCapacity) -> float:
        """Estimate in how many seconds a replica would run on a machine if it preempts there."""
        victims = self.victims_on(job, capacity)
        save_s = saving_s(victims[0]) if victims else 0.0
        return self._state.start_s(job.spec, capacity) + save_s

    def victims_on(self, job: Job, capacity: MachineCapacity) -> list[Assignment]:
        """Return the tasks that the job may preempt on a machine, in the order of stopping them.

        Tasks that are already being stopped are excluded.
        """
        key = self._state.limits.victim_key
        victims = capacity.victims.get(key)
        if victims is None:
            now = self._state.now
            victims = [
                assignment
                for assignment in capacity.machine.assignments.values()
                if may_preempt(job, assignment)
            ]
            if job.is_service:
                # The time to save comes first because a replica starts only after its victim has
                # saved. In an incident, that delayed a start by five seconds.
                victims.sort(key=lambda a: (saving_s(a), stop_order(a), lost_work_s(a, now)))
            else:
                victims.sort(key=lambda a: (stop_order(a), lost_work_s(a, now)))
            capacity.victims[key] = victims
        if victims and capacity.stopping:
            return [assignment for assignment in victims if assignment not in capacity.stopping]
        return victims

    def _choose(
        self, job: Job, requested: int, options: list[_PreemptionOption], all_or_nothing: bool
    ) -> list[_Preemption]:
        """Choose the tasks to stop, all in one zone if the job has `same_zone`.

        The zone where the most tasks of the job fit is chosen; among equals, the one with the
        fewest fetches.
        """
        best: list[_Preemption] = []
        best_rank = (requested, 0)
        for zone in self._state.zones_for(job, [option.capacity for option in options]):
            preemptions = self._choose_in_zone(job, requested, options, zone)
            missing = requested - sum(preemption.task_count for preemption in preemptions)
            cold_count = sum(
                preemption.task_count
                for preemption in preemptions
                if preemption.capacity.machine.warmth(job.spec.image) == COLD
            )
            if (missing, cold_count) < best_rank and missing < requested:
                best, best_rank = preemptions, (missing, cold_count)
            if best_rank[0] == 0 and (cold_count == 0 or not all_or_nothing):
                break
        return best

    def _choose_in_zone(
        self, job: Job, requested: int, options: list[_PreemptionOption], zone: Zone | None
    ) -> list[_Preemption]:
        """Choose the tasks to stop on the best options, all in `zone` if it isn't None."""
        state = self._state
        preemptions: list[_Preemption] = []
        by_zone: dict[Zone, int] = {}
        remaining, cold_count = requested, 0
        for option in options:
            if remaining == 0:
                break
            capacity, machine = option.capacity, option.capacity.machine
            if zone is not None and machine.zone != zone:
                continue
            max_tasks = state.task_limit(job, capacity, remaining, by_zone, cold_count)
            gpu_reserve = state.gpu_reserve_on(capacity)
            victims, count = _choose_victims(
                capacity, job.spec, option.victims, max_tasks, gpu_reserve
            )
            if count > 0:
                preemptions.append(_Preemption(capacity, victims, count))
                by_zone[machine.zone] = by_zone.get(machine.zone, 0) + count
                remaining -= count
                if machine.warmth(job.spec.image) == COLD:
                    cold_count += count
        return preemptions


def _choose_victims(
    capacity: MachineCapacity,
    spec: JobSpec,
    candidates: list[Assignment],
    max_tasks: int,
    gpu_reserve: GpuReserve,
) -> tuple[list[Assignment], int]:
    """Choose victims on one machine until `max_tasks` tasks fit or there are no more victims.

    Return the victims and how many tasks then fit. Trailing victims that do not raise this number
    are dropped.
    """
    cpus = capacity.free_cpus + capacity.releasing_cpus
    gpus = capacity.free_gpus + capacity.releasing_gpus
    memory_gb = capacity.free_memory_gb + capacity.releasing_memory_gb

    def fitting() -> int:
        free_gpus = max(gpus, 0.0)
        free_cpus = cpus - free_gpus * gpu_reserve.cpus
        free_memory_gb = memory_gb - free_gpus * gpu_reserve.memory_gb
        return count_fitting(spec, free_cpus, gpus, free_memory_gb, max_tasks)

    chosen: list[Assignment] = []
    count, useful_count = fitting(), 0
    for assignment in candidates:
        if count >= max_tasks:
            break
        assert assignment.job is not None  # may_preempt is False without a job
        freed = assignment.job.spec
        if not _frees_needed_resource(spec, freed):
            continue
        cpus += freed.cpus
        gpus += freed.gpus
        memory_gb += freed.memory_gb
        chosen.append(assignment)
        count_now = fitting()
        if count_now > count:
            count, useful_count = count_now, len(chosen)
    return chosen[:useful_count], count


def _frees_needed_resource(spec: JobSpec, freed: JobSpec) -> bool:
    """Return whether stopping a task with `freed` releases any resource that `spec` needs."""
    return (
        (spec.cpus > 0 and freed.cpus > 0)
        or (spec.gpus > 0 and freed.gpus > 0)
        or (spec.memory_gb > 0 and freed.memory_gb > 0)
    )
