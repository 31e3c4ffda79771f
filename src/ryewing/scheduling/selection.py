"""Chooses machines with enough free or releasing resources for a job's tasks."""

from __future__ import annotations

from functools import partial

from ryewing.scheduling.cycle_state import Choice, CycleState
from ryewing.scheduling.machine_capacity import MachineCapacity
from ryewing.scheduling.machine_suitability import gpu_cost, stranded_gpus
from ryewing.state.image_cache import COLD
from ryewing.state.jobs import Job
from ryewing.units import Zone

PACKED_REPLICAS_MAX = 4
"""How many replicas are packed onto the fullest machine. Machines with more replicas come after
others where a replica would start as soon, because a machine failure stops all replicas on it."""

SortKey = tuple[float, ...]
"""A sort key for machines: the smallest is chosen first."""


class _ZoneSelection:
    """The machines chosen in one zone, or in all zones together."""

    __slots__ = ("choices", "cold_count", "count")

    def __init__(self) -> None:
        self.choices: list[Choice] = []
        self.count = 0
        """How many tasks the choices are for."""
        self.cold_count = 0
        """How many of these tasks go to machines that have to fetch the image."""


class Selector:
    """Chooses machines for the current job."""

    def __init__(self, state: CycleState) -> None:
        self._state = state

    def choose(
        self,
        job: Job,
        requested: int,
        capacities: list[MachineCapacity],
        all_or_nothing: bool = False,
        include_releasing: bool = False,
    ) -> list[Choice]:
        """Choose machines for at most `requested` tasks; with `all_or_nothing`, for all or none.

        `include_releasing` counts the resources of tasks being stopped as free. Of several zones,
        the one where the most tasks fit is chosen; among equals, the one with the fewest fetches.
        """
        spec, gpu_reserve_on = job.spec, self._state.gpu_reserve_on
        fitting = [
            capacity
            for capacity in capacities
            if capacity.count_fitting(spec, 1, include_releasing, gpu_reserve_on(capacity))
        ]
        if not fitting:
            return []
        sort_key = self._replica_order if job.is_service else _task_order
        fitting.sort(key=partial(sort_key, job))
        best = _ZoneSelection()
        for zone in self._state.zones_for(job, fitting):
            selection = self._choose_in_zone(job, requested, fitting, zone, include_releasing)
            if selection.count > best.count or (
                selection.count == best.count and selection.cold_count < best.cold_count
            ):
                best = selection
            if selection.count == requested and (selection.cold_count == 0 or not all_or_nothing):
                break
        if all_or_nothing and best.count < requested:
            return []
        return best.choices

    def _choose_in_zone(
        self,
        job: Job,
        requested: int,
        fitting: list[MachineCapacity],
        zone: Zone | None,
        include_releasing: bool,
    ) -> _ZoneSelection:
        """Choose machines in the order of `fitting`, all in `zone` if it isn't None."""
        state, spec = self._state, job.spec
        selection = _ZoneSelection()
        by_zone: dict[Zone, int] = {}
        for capacity in fitting:
            machine = capacity.machine
            if zone is not None and machine.zone != zone:
                continue
            max_tasks = state.task_limit(
                job, capacity, requested - selection.count, by_zone, selection.cold_count
            )
            if max_tasks <= 0:
                continue
            count = capacity.count_fitting(
                spec, max_tasks, include_releasing, state.gpu_reserve_on(capacity)
            )
            if count <= 0:
                continue
            selection.choices.append(Choice(capacity, count))
            selection.count += count
            by_zone[machine.zone] = by_zone.get(machine.zone, 0) + count
            if machine.warmth(spec.image) == COLD:
                selection.cold_count += count
            if selection.count == requested:
                break
        return selection

    def _replica_order(self, job: Job, capacity: MachineCapacity) -> SortKey:
        """Return a machine's sort key for a replica.

        The criteria in order: no recent failures, the least displacement of large tasks, the
        soonest start, the lowest cost of GPUs that the replica would not use, few replicas already
        there, the most preemptible CPUs if the machine has to fetch the image, a spot machine if
        the job may use one, and the fullest machine.
        """
        spec, machine = job.spec, capacity.machine
        is_cold = machine.warmth(spec.image) == COLD
        return (
            bool(machine.failed_jobs),
            capacity.displaced_share(spec, self._state.snapshot.recent_specs),
            round(self._state.start_s(spec, capacity)),
            gpu_cost(spec, machine),
            max(0, capacity.replica_count() - PACKED_REPLICAS_MAX),
            # After a fetch, later replicas of the service should fit on the same machine.
            -capacity.preemptible_cpus() if is_cold else 0.0,
            spec.spot and not machine.spot,
            capacity.free_share(),
        )


def _task_order(job: Job, capacity: MachineCapacity) -> SortKey:
    """Return a machine's sort key for tasks of arrays and gangs.

    The fullest machine comes first (bin packing; docs/design.md), but these criteria come before
    that, in this order:

    - the job has not failed on the machine;
    - the machine is not a straggler;
    - the task strands no GPUs;
    - the machine has the image, because a fetch takes longer than most tasks wait;
    - if it does not, it has few of the images that waiting arrays need;
    - the machine is a spot machine if the job may use them, because some jobs can use only
      on-demand machines.

    For a gang with missing members, the image comes before the GPUs. Until the new member has its
    image, the other members wait for it, and they end one after another when their wait times out.
    """
    spec, machine = job.spec, capacity.machine
    is_cold = machine.warmth(spec.image) == COLD
    return (
        # A job in backoff may use machines where it failed, but a probe on another machine is more
        # informative.
        machine.id in job.failed_on,
        machine.is_straggler(),
        capacity.fetch_order(spec, True) if job.has_missing_members else 0,
        stranded_gpus(spec, machine),
        capacity.fetch_order(spec, job.is_gang),
        capacity.needed_image_counts[spec.gpus > 0] if is_cold else 0,
        spec.spot and not machine.spot,
        capacity.free_share(),
    )
