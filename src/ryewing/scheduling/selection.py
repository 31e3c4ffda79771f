"""Choosing machines for tasks with room, free or to be released: by zone and in order."""

from __future__ import annotations

from functools import partial

from ryewing.scheduling.cycle_state import Choice, CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import gpu_cost, stranded_gpus
from ryewing.state.jobs import Job
from ryewing.state.machine import COLD
from ryewing.units import Zone

REPLICAS_TOGETHER = 4
"""Up to this many replicas the fullest machine comes first; beyond, others where a replica would
start as soon do, since a machine that dies takes all its replicas with it."""

SortKey = tuple[float, ...]
"""Orders machines: the smallest first."""


class _ZoneChoice:
    """What was chosen in one zone, or in all of them."""

    __slots__ = ("choices", "cold", "count")

    def __init__(self) -> None:
        self.choices: list[Choice] = []
        self.count = 0
        """How many tasks were chosen for."""
        self.cold = 0
        """How many of them would have to fetch their image."""


class Selector:
    """Chooses machines for the job at hand."""

    def __init__(self, state: CycleState) -> None:
        self._state = state

    def choose(
        self,
        job: Job,
        wanted: int,
        capacities: list[MachineCapacity],
        whole: bool = False,
        with_releasing: bool = False,
    ) -> list[Choice]:
        """Choose machines for up to `wanted` tasks, or for all of them or none if `whole`.

        `with_releasing`: room counts that tasks being stopped will release. Of several zones the
        one that takes the most tasks is chosen, and of those the one with the fewest fetches.
        """
        spec, gpu_reserve_on = job.spec, self._state.gpu_reserve_on
        fitting = [
            capacity
            for capacity in capacities
            if capacity.count_fitting(spec, 1, with_releasing, gpu_reserve_on(capacity))
        ]
        if not fitting:
            return []
        sort_key = self._replica_order if job.is_service else _task_order
        fitting.sort(key=partial(sort_key, job))
        best = _ZoneChoice()
        for zone in self._state.zones_for(job, fitting):
            found = self._choose_in_zone(job, wanted, fitting, zone, with_releasing)
            if found.count > best.count or (found.count == best.count and found.cold < best.cold):
                best = found
            if found.count == wanted and (found.cold == 0 or not whole):
                break
        if whole and best.count < wanted:
            return []
        return best.choices

    def _choose_in_zone(
        self,
        job: Job,
        wanted: int,
        fitting: list[MachineCapacity],
        zone: Zone | None,
        with_releasing: bool,
    ) -> _ZoneChoice:
        """Choose machines in order, all in `zone` if it isn't None."""
        state, spec = self._state, job.spec
        found = _ZoneChoice()
        by_zone: dict[Zone, int] = {}
        for capacity in fitting:
            machine = capacity.machine
            if zone is not None and machine.zone != zone:
                continue
            most = state.task_limit(job, capacity, wanted - found.count, by_zone, found.cold)
            if most <= 0:
                continue
            count = capacity.count_fitting(
                spec, most, with_releasing, state.gpu_reserve_on(capacity)
            )
            if count <= 0:
                continue
            found.choices.append(Choice(capacity, count))
            found.count += count
            by_zone[machine.zone] = by_zone.get(machine.zone, 0) + count
            if machine.warmth(spec.image) == COLD:
                found.cold += count
            if found.count == wanted:
                break
        return found

    def _replica_order(self, job: Job, capacity: MachineCapacity) -> SortKey:
        """Order machines for a replica.

        Healthy ones come first, then those where it takes no room from large tasks, starts
        soonest, and needs no machine with expensive GPUs.
        """
        spec, machine = job.spec, capacity.machine
        cold = machine.warmth(spec.image) == COLD
        return (
            bool(machine.failed_jobs),
            capacity.displaced_share(spec, self._state.snapshot.recent_specs),
            round(self._state.start_s(spec, capacity)),
            gpu_cost(spec, machine),
            max(0, capacity.replicas() - REPLICAS_TOGETHER),
            # Where it has to fetch, the next replicas should find room beside it.
            -capacity.preemptible_cpus() if cold else 0.0,
            spec.spot and not machine.spot,
            capacity.free_share(),
        )


def _task_order(job: Job, capacity: MachineCapacity) -> SortKey:
    """Order machines for tasks that end: the fullest first (bin packing; docs/design.md).

    More important than that are: machines that aren't slow; machines whose GPUs the task would not
    strand; the image, since a fetch takes longer than most tasks wait; and for jobs that may use
    spot machines those, since other jobs can only use the ordinary ones. A gang that lacks a
    member looks for the image first: all others wait, and give up in turn, until the new one has
    it.
    """
    spec, machine = job.spec, capacity.machine
    cold = machine.warmth(spec.image) == COLD
    return (
        # A job in backoff may go where it failed, but elsewhere its probe tells more.
        machine.id in job.failed_on,
        machine.is_straggler(),
        capacity.fetch_order(spec, True) if job.has_missing_members else 0,
        stranded_gpus(spec, machine),
        capacity.fetch_order(spec, job.is_gang),
        capacity.wanted_images[spec.gpus > 0] if cold else 0,
        spec.spot and not machine.spot,
        capacity.free_share(),
    )
