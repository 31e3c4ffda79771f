"""Choosing victims: which tasks to preempt for the job at hand, and on which machines."""

from __future__ import annotations

from typing import NamedTuple

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import Choice, CycleState
from ryewing.scheduling.gpu_reserve import GpuReserve
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import stranded_gpus
from ryewing.scheduling.preemption import lost_work_s, may_preempt, saving_s, stop_order
from ryewing.state.jobs import Job
from ryewing.state.machine import COLD, WARM, Assignment
from ryewing.state.resources import count_fitting
from ryewing.units import Zone
from ryewing.wire.jobs import JobSpec

PREEMPT_MAX = 64
"""Tasks for which one array may preempt in one cycle: bounds the work of a cycle."""


class _Option(NamedTuple):
    """A machine on which tasks may be preempted; the smallest is the best."""

    stranded_gpus: float
    wait: float
    """For a replica the seconds until it would run, otherwise the `fetch_order` of the image."""
    lost_s: float
    """Run time that preempting all victims would lose; for a replica, the one that loses least."""
    number: int
    """Makes every option different, so that the fields after it are never compared."""
    capacity: MachineCapacity
    victims: list[Assignment]


class _Stop(NamedTuple):
    """The tasks to stop on one machine, and for how many tasks that makes room."""

    capacity: MachineCapacity
    victims: list[Assignment]
    tasks: int


class Preemptor:
    """Preempts less important work for the job at hand, by the rules of `preemption`."""

    def __init__(self, state: CycleState) -> None:
        self._state = state
        self._lowest_priority: int | None = None
        """The largest priority number of all tasks; found when first needed."""

    def may_preempt_any(self, job: Job) -> bool:
        """Return whether the job might preempt anything at all; a quick check before the search."""
        if job.guaranteed:
            return True
        if self._lowest_priority is None:
            self._lowest_priority = max(
                (
                    assignment.job.priority
                    for capacity in self._state.snapshot.capacities
                    for assignment in capacity.machine.assignments.values()
                    if assignment.job is not None
                ),
                default=-1,
            )
        return self._lowest_priority > job.priority

    def preempt(self, job: Job, wanted: int, candidates: Candidates, whole: bool = False) -> int:
        """Plan to stop less important tasks for the job; return for how many tasks it makes room.

        For a gang (`whole`) free room counts too: it and the released room make it whole together.
        A gang takes machines with its image first, since a fetch keeps it waiting for longer than
        a stopped task does.
        """
        if not self.may_preempt_any(job):
            return 0
        if not whole:
            wanted = min(wanted, PREEMPT_MAX)
        options = self._options(job, candidates, whole)
        stops = self._choose(job, wanted, options, whole)
        count = sum(stop.tasks for stop in stops)
        if whole and count < wanted:
            return 0
        for stop in stops:
            self._stop(job, stop)
        return count

    def _stop(self, job: Job, stop: _Stop) -> None:
        for assignment in stop.victims:
            stop.capacity.stop(assignment)
            self._state.plan.preemptions.append(assignment)
        if stop.victims:
            self._state.note_stopping(stop.capacity)
        self._state.claim(job, [Choice(stop.capacity, stop.tasks)])

    def _options(self, job: Job, candidates: Candidates, whole: bool) -> list[_Option]:
        """Return a sample of the usable machines, the best first."""
        options = [
            self._option(job, capacity, number, whole)
            for number, capacity in enumerate(
                self._state.sample(job, self.usable_machines(job, candidates, whole))
            )
        ]
        return sorted(options, key=lambda option: option[:4])

    def usable_machines(
        self, job: Job, candidates: Candidates, whole: bool
    ) -> list[MachineCapacity]:
        """Return where the job may preempt; for a gang (`whole`) also where it might just fit."""
        warm_only, image = self._state.limits.warm_only, job.spec.image
        if whole:
            found = candidates.with_image(image) if warm_only else candidates.capacities
            return [c for c in found if self.victims_on(job, c) or c.may_fit(job.spec)]
        if warm_only and not job.is_service:
            return [c for c in candidates.with_image(image) if self.victims_on(job, c)]
        found = candidates.preemptible(
            self._state.limits.victim_key, lambda capacity: bool(self.victims_on(job, capacity))
        )
        if not job.is_service:
            return found
        return [capacity for capacity in found if self._is_soon_enough(job, capacity)]

    def _is_soon_enough(self, job: Job, capacity: MachineCapacity) -> bool:
        """Return whether a replica would run here soon enough, victims' saving included."""
        if not self._state.is_warm_enough(job.spec, capacity):
            return False
        limits = self._state.limits
        return not limits.warm_only or self._start_s(job, capacity) <= limits.acceptable_wait_s

    def _option(self, job: Job, capacity: MachineCapacity, number: int, whole: bool) -> _Option:
        victims = self.victims_on(job, capacity)
        losses = [lost_work_s(assignment, self._state.now) for assignment in victims]
        if job.is_service:
            wait: float = round(self._start_s(job, capacity))
            lost_s = min(losses, default=0.0)
        else:
            wait = capacity.fetch_order(job.spec, True) if whole else WARM
            lost_s = sum(losses)
        stranded = stranded_gpus(job.spec, capacity.machine)
        return _Option(stranded, wait, lost_s, number, capacity, victims)

    def _start_s(self, job: Job, capacity: MachineCapacity) -> float:
        """Estimate in how many seconds a replica would run where it has to preempt first."""
        victims = self.victims_on(job, capacity)
        victim_saves_s = saving_s(victims[0]) if victims else 0.0
        return self._state.start_s(job.spec, capacity) + victim_saves_s

    def victims_on(self, job: Job, capacity: MachineCapacity) -> list[Assignment]:
        """Return the tasks that the job may preempt on a machine, those to stop first at the front.

        Tasks that are being stopped already are left out.
        """
        key = self._state.limits.victim_key
        found = capacity.victims.get(key)
        if found is None:
            now = self._state.now
            found = [
                assignment
                for assignment in capacity.machine.assignments.values()
                if may_preempt(job, assignment)
            ]
            if job.is_service:
                # Found in an incident: the victim saved its work first, and the replica was missed
                # for five seconds more.
                found.sort(key=lambda a: (saving_s(a), stop_order(a), lost_work_s(a, now)))
            else:
                found.sort(key=lambda a: (stop_order(a), lost_work_s(a, now)))
            capacity.victims[key] = found
        if found and capacity.stopping:
            return [assignment for assignment in found if assignment not in capacity.stopping]
        return found

    def _choose(self, job: Job, wanted: int, options: list[_Option], whole: bool) -> list[_Stop]:
        """Choose what to stop, in one zone if the job has to stay in one.

        The zone that takes the most tasks is chosen, and of those the one with the fewest fetches.
        """
        best: list[_Stop] = []
        best_rank = (wanted, 0)
        for zone in self._state.zones_for(job, [option.capacity for option in options]):
            stops = self._choose_in_zone(job, wanted, options, zone)
            short = wanted - sum(stop.tasks for stop in stops)
            cold = sum(
                stop.tasks for stop in stops if stop.capacity.machine.warmth(job.spec.image) == COLD
            )
            if (short, cold) < best_rank and short < wanted:
                best, best_rank = stops, (short, cold)
            if best_rank[0] == 0 and (cold == 0 or not whole):
                break
        return best

    def _choose_in_zone(
        self, job: Job, wanted: int, options: list[_Option], zone: Zone | None
    ) -> list[_Stop]:
        """Choose what to stop on the best options, all in `zone` if it isn't None."""
        state = self._state
        stops: list[_Stop] = []
        by_zone: dict[Zone, int] = {}
        left, cold = wanted, 0
        for option in options:
            if left == 0:
                break
            capacity, machine = option.capacity, option.capacity.machine
            if zone is not None and machine.zone != zone:
                continue
            most = state.task_limit(job, capacity, left, by_zone, cold)
            gpu_reserve = state.gpu_reserve_on(capacity)
            victims, count = _choose_victims(capacity, job.spec, option.victims, most, gpu_reserve)
            if count > 0:
                stops.append(_Stop(capacity, victims, count))
                by_zone[machine.zone] = by_zone.get(machine.zone, 0) + count
                left -= count
                if machine.warmth(job.spec.image) == COLD:
                    cold += count
        return stops


def _choose_victims(
    capacity: MachineCapacity,
    spec: JobSpec,
    candidates: list[Assignment],
    most: int,
    gpu_reserve: GpuReserve,
) -> tuple[list[Assignment], int]:
    """Choose victims on one machine until `most` tasks fit, or as many as can.

    Return them and how many tasks fit then. Victims at the end that make no more tasks fit are
    left out.
    """
    cpus = capacity.cpus + capacity.releasing_cpus
    gpus = capacity.gpus + capacity.releasing_gpus
    memory_gb = capacity.memory_gb + capacity.releasing_memory_gb

    def fitting() -> int:
        free_gpus = max(gpus, 0.0)
        free_cpus = cpus - free_gpus * gpu_reserve.cpus
        free_memory_gb = memory_gb - free_gpus * gpu_reserve.memory_gb
        return count_fitting(spec, free_cpus, gpus, free_memory_gb, most)

    chosen: list[Assignment] = []
    count, useful = fitting(), 0
    for assignment in candidates:
        if count >= most:
            break
        assert assignment.job is not None  # may_preempt let it through
        freed = assignment.job.spec
        if not _helps(spec, freed):
            continue
        cpus += freed.cpus
        gpus += freed.gpus
        memory_gb += freed.memory_gb
        chosen.append(assignment)
        count_now = fitting()
        if count_now > count:
            count, useful = count_now, len(chosen)
    return chosen[:useful], count


def _helps(spec: JobSpec, freed: JobSpec) -> bool:
    """Return whether a stopped task releases any resource that the other one needs."""
    return (
        (spec.cpus > 0 and freed.cpus > 0)
        or (spec.gpus > 0 and freed.gpus > 0)
        or (spec.memory_gb > 0 and freed.memory_gb > 0)
    )
