"""What there is room for during one scheduling cycle: machines, teams' limits, who may use what.

Pure: snapshots that a cycle claims from; nothing here decides where a task goes.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from ryewing.config.settings import Team
from ryewing.state.jobs import Job
from ryewing.state.machine import COLD, Assignment, Machine
from ryewing.state.resources import EPSILON, count_fitting
from ryewing.units import TeamName
from ryewing.wire.jobs import PRIORITIES, JobSpec

LARGE_SHARE = 0.125
"""A task that takes so much of a machine is large: a few replicas can be in its way."""


class GpuReserve(NamedTuple):
    """The most that recent tasks took beside each GPU.

    Without it, tasks that need no GPU fill the processors of machines with GPUs, and the
    dearest room of the fleet lies idle.
    """

    cpus: float = 0.0
    memory_gb: float = 0.0
    priority: int = len(PRIORITIES)
    """The most important rank of those tasks: more important work needs to leave nothing."""

    def widened(self, job: Job) -> GpuReserve:
        """Take a job into account."""
        spec = job.spec
        if spec.gpus <= 0:
            return self
        return GpuReserve(
            max(self.cpus, spec.cpus / spec.gpus),
            max(self.memory_gb, spec.memory_gb / spec.gpus),
            min(self.priority, job.priority),
        )

    def for_job(self, job: Job) -> GpuReserve:
        """Give what this job has to leave."""
        return self if job.spec.gpus <= 0 and job.priority >= self.priority else NO_RESERVE


NO_RESERVE = GpuReserve()
MANY = 1_000_000
NARROWER = 0.5
"""A list of machines that fit is kept beside the one it was found in if it is so much shorter."""


VictimKey = tuple[int, str | None, bool]
"""Who may stop something: a priority, the team whose guarantee it is for, and if for replicas."""


class MachineCapacity:
    """A machine's room during one cycle."""

    __slots__ = (
        "_beside_replicas",
        "_displaced",
        "_preemptible_cpus",
        "_replicas",
        "cpus",
        "fetching_here",
        "gpus",
        "machine",
        "memory_gb",
        "next_heartbeat_in_s",
        "number",
        "releasing_cpus",
        "releasing_gpus",
        "releasing_memory_gb",
        "reserved_s",
        "stopping",
        "victims",
        "wanted",
    )

    def __init__(self, machine: Machine, stopping: frozenset[Assignment] = frozenset()) -> None:
        self.machine = machine
        self.number = 0
        """Its place in the order of the cycle."""
        self.cpus = machine.cpus
        self.gpus = machine.gpus
        self.memory_gb = machine.memory_gb
        self.reserved_s: float | None = None
        """A gang waits for this machine, and for so long at the least."""
        self.next_heartbeat_in_s: float | None = None
        """How soon its worker is thought to heartbeat, found once a cycle."""
        self.stopping: set[Assignment] = set(stopping)
        self.victims: dict[VictimKey, list[Assignment]] = {}
        """Whom a job of some rank (or a team's guarantee) may stop here, found once a cycle."""
        self.fetching_here: set[str] = set()
        """Images for which this cycle has placed a task here."""
        self.wanted = {False: 0, True: 0}
        """How many images that waiting arrays want are here, without and with GPUs."""
        self._beside_replicas: tuple[float, float, float] | None = None
        """What is left beside the replicas here: what work that ends can count on."""
        self._displaced: dict[tuple[float, float, float], float] = {}
        self._replicas: int | None = None
        self._preemptible_cpus: float | None = None
        self.releasing_cpus = self.releasing_gpus = self.releasing_memory_gb = 0.0
        for assignment in stopping:
            self._add_releasing(assignment)

    def _add_releasing(self, assignment: Assignment) -> None:
        if assignment.job is not None:
            spec = assignment.job.spec
            self.releasing_cpus += spec.cpus
            self.releasing_gpus += spec.gpus
            self.releasing_memory_gb += spec.memory_gb

    def stop(self, assignment: Assignment) -> None:
        """Count a task as being stopped."""
        self.stopping.add(assignment)
        self._add_releasing(assignment)

    def has_victims(self, key: VictimKey) -> bool:
        """Tell whether any of those found for this key is not being stopped yet."""
        return any(assignment not in self.stopping for assignment in self.victims[key])

    def may_fit(self, spec: JobSpec) -> bool:
        """Tell, quickly, whether a task might fit once what is being stopped is gone."""
        return (
            self.cpus + self.releasing_cpus + EPSILON >= spec.cpus
            and self.memory_gb + self.releasing_memory_gb + EPSILON >= spec.memory_gb
            and self.gpus + self.releasing_gpus + EPSILON >= spec.gpus
        )

    def count(
        self,
        spec: JobSpec,
        limit: int,
        with_releasing: bool = False,
        gpu_reserve: GpuReserve = NO_RESERVE,
    ) -> int:
        """Tell how many tasks of this kind fit, up to a limit.

        Tasks without GPUs leave what the free GPUs' tasks will need.
        """
        cpus, gpus, memory_gb = self.cpus, self.gpus, self.memory_gb
        if gpus > 0:
            cpus -= gpus * gpu_reserve.cpus
            memory_gb -= gpus * gpu_reserve.memory_gb
        if with_releasing:
            cpus += self.releasing_cpus
            gpus += self.releasing_gpus
            memory_gb += self.releasing_memory_gb
        return count_fitting(spec, cpus, gpus, memory_gb, limit)

    def claim(self, spec: JobSpec, count: int) -> None:
        """Take room; it may become negative where room still has to be freed."""
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count

    def beside_replicas(self) -> tuple[float, float, float]:
        """Tell what room there would be with nothing but the replicas here."""
        if self._beside_replicas is None:
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = machine_type.cpus, machine_type.gpus, machine_type.memory_gb
            for assignment in self.machine.assignments.values():
                if assignment.job is not None and assignment.job.is_service:
                    cpus -= assignment.job.spec.cpus
                    gpus -= assignment.job.spec.gpus
                    memory_gb -= assignment.job.spec.memory_gb
            self._beside_replicas = cpus, gpus, memory_gb
        return self._beside_replicas

    def preemptible_cpus(self) -> float:
        """Count the processors that are free, or used by what replicas may stop."""
        if self._preemptible_cpus is None:
            self._preemptible_cpus = self.machine.machine_type.cpus
            for assignment in self.machine.assignments.values():
                job = assignment.job
                if job is not None and (
                    job.is_service or (job.is_gang and job.spec.task_count > 1)
                ):
                    self._preemptible_cpus -= job.spec.cpus
        return self._preemptible_cpus

    def replicas(self) -> int:
        """Count the replicas here, with those placed in this cycle."""
        if self._replicas is None:
            assignments = self.machine.assignments.values()
            self._replicas = sum(
                assignment.job is not None and assignment.job.is_service
                for assignment in assignments
            )
        return self._replicas

    def place_replicas(self, spec: JobSpec, count: int) -> None:
        """Replicas are placed here."""
        self._replicas = self.replicas() + count
        self.reserve(spec, count)

    def restore_reserved(self, lasting: tuple[float, float, float]) -> None:
        """Take back what `last` has counted since."""
        self._beside_replicas = lasting
        self._displaced.clear()

    def reserve(self, spec: JobSpec, count: int) -> None:
        """Count replicas as if they were here: they take their room for good."""
        cpus, gpus, memory_gb = self.beside_replicas()
        self._beside_replicas = (
            cpus - spec.cpus * count,
            gpus - spec.gpus * count,
            memory_gb - spec.memory_gb * count,
        )
        self._displaced.clear()

    def displaced(self, spec: JobSpec, kinds: Sequence[JobSpec]) -> float:
        """Tell how much room for large tasks, as a part of the machine, one more replica takes.

        Four replicas beside a gang's task of 60 processors of 64 are in nobody's way; the fifth
        keeps such tasks off the machine for as long as it runs, and the sixth costs nothing more.
        """
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        found = self._displaced.get(key)
        if found is None:
            found = 0.0
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = self.beside_replicas()
            for kind in kinds:
                share = kind.cpus / machine_type.cpus if machine_type.cpus else 0.0
                if kind.gpus > 0 and machine_type.gpus:
                    share = max(share, kind.gpus / machine_type.gpus)
                if share < LARGE_SHARE or share > 1.0:
                    continue
                before = count_fitting(kind, cpus, gpus, memory_gb, MANY)
                if before:
                    after = count_fitting(
                        kind, cpus - spec.cpus, gpus - spec.gpus, memory_gb - spec.memory_gb, MANY
                    )
                    found = max(found, (before - after) * share)
            self._displaced[key] = found
        return found

    def usable_gpus(self, beside: float) -> float:
        """Count the GPUs in use, and those free with processors left beside them."""
        free = min(self.gpus, max(0.0, self.cpus) // max(beside, 1e-3))
        return self.machine.machine_type.gpus - self.gpus + max(0.0, free)

    def fetch_order(self, spec: JobSpec, gang: bool) -> int:
        """Rank the machine by how soon it has the job's image; the smallest is the soonest.

        A gang avoids what is fetching already: fetches may share the rate, and where one member
        took more than `gang_wait_s` longer, the others gave up one after the other, for minutes.
        """
        warmth = self.machine.warmth(spec.image)
        return warmth + (warmth == COLD and gang and self.fetches_other(spec.image))

    def fetches_other(self, image: str) -> bool:
        """Tell whether another image is being fetched here, or is about to be."""
        here = self.machine
        return any(
            name != image and (count or name in self.fetching_here) and name not in here.images
            for name, count in here.images_in_use.items()
        ) or any(name != image and name not in here.images for name in self.fetching_here)

    def free_share(self) -> float:
        """Tell how empty the machine is; the smallest is the fullest."""
        machine_type = self.machine.machine_type
        share = self.cpus / machine_type.cpus if machine_type.cpus else 0.0
        if machine_type.memory_gb:
            share += self.memory_gb / machine_type.memory_gb
        if machine_type.gpus:
            share += 2.0 * self.gpus / machine_type.gpus
        return share


def allows(spec: JobSpec, machine: Machine) -> bool:
    """Tell whether the job may use this machine at all: type, zone, kind."""
    return (
        (spec.machine_types is None or machine.machine_type.name in spec.machine_types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )


def fetch_s(spec: JobSpec, gb_per_s: float) -> float:
    """Estimate how long a machine that fetches at this rate takes for the job's image."""
    return spec.image_gb / max(gb_per_s, 1e-3)


def stranded_gpus(spec: JobSpec, machine: Machine) -> float:
    """Tell beside how many GPUs a task without GPUs would sit."""
    return machine.machine_type.gpus if spec.gpus <= 0 else 0.0


def gpu_cost(spec: JobSpec, machine: Machine) -> float:
    """Tell how little a machine is worth keeping for the GPUs that a task doesn't need.

    Those with the dearest GPUs are the first to be unwanted: a replica there had to be moved.
    """
    machine_type = machine.machine_type
    if spec.gpus > 0 or not machine_type.gpus:
        return 0.0
    return machine_type.price / machine_type.gpus


class TeamQuota:
    """Teams' limits during one cycle.

    `unseen` is the room of machines of which it isn't known what they hold: any team might use
    all of it, so it counts against each.
    """

    def __init__(
        self,
        teams: dict[str, Team],
        cpus: dict[TeamName, float],
        gpus: dict[TeamName, float],
        unseen_cpus: float = 0.0,
        unseen_gpus: float = 0.0,
    ) -> None:
        self._teams = teams
        self._cpus = {name: used + unseen_cpus for name, used in cpus.items()}
        self._gpus = {name: used + unseen_gpus for name, used in gpus.items()}
        self._unseen = (unseen_cpus, unseen_gpus)

    def headroom(self, spec: JobSpec, wanted: int) -> int:
        """Tell how many more tasks the team's limit permits, up to `wanted`."""
        team = self._teams.get(spec.team)
        if team is None:
            return 0
        name = TeamName(spec.team)
        for need, limit, used in (
            (spec.cpus, team.cpus_max, self._cpus.get(name, self._unseen[0])),
            (spec.gpus, team.gpus_max, self._gpus.get(name, self._unseen[1])),
        ):
            if limit > 0 and need > 0:
                wanted = min(wanted, int((limit - used + EPSILON) / need))
        return max(0, wanted)

    def use(self, spec: JobSpec, count: int) -> None:
        """Count placed or claimed tasks."""
        name = TeamName(spec.team)
        self._cpus[name] = self._cpus.get(name, self._unseen[0]) + spec.cpus * count
        self._gpus[name] = self._gpus.get(name, self._unseen[1]) + spec.gpus * count


class Candidates:
    """The machines that jobs of one kind may use, and what this cycle found out about them.

    All lists are in the order of the cycle (`MachineCapacity.number`). What a cycle asks for again
    and again is kept in indexes, which the few machines touched since bring up to date: asked
    machine by machine for each job, a cycle at 4,000 machines and 190 waiting jobs took 20 times
    what it took at 600 machines and 28 jobs.
    """

    def __init__(self, capacities: list[MachineCapacity]) -> None:
        self.capacities = capacities
        self.slowest_fetch = min(
            (capacity.machine.machine_type.fetch_gb_per_s for capacity in capacities),
            default=math.inf,
        )
        self._quickest = max(
            (capacity.machine.machine_type.fetch_gb_per_s for capacity in capacities),
            default=math.inf,
        )
        self._free: dict[bool, list[MachineCapacity]] = {}
        self._fitting: list[tuple[JobSpec, list[MachineCapacity]]] = []
        self._with_image: dict[str, list[MachineCapacity]] | None = None
        self._preemptible: dict[VictimKey, list[MachineCapacity]] = {}
        self._gpu_counts: list[float] | None = None
        self._with_few_gpus: dict[float, Candidates] = {}
        self._unreserved: Candidates | None = None
        self.full: dict[tuple[int, bool, str | None], list[tuple[float, float, float]]] = {}
        """What, by what a job may stop for it, found not even room to be freed. A cycle only takes
        room, so whatever needs as much need not look."""

    # -- parts of them ----------------------------------------------------------------------

    def gpu_counts(self) -> list[float]:
        """List how many GPUs these machines have, each number once, the smallest first."""
        if self._gpu_counts is None:
            self._gpu_counts = sorted({c.machine.machine_type.gpus for c in self.capacities})
        return self._gpu_counts

    def with_few_gpus(self, most: float) -> Candidates:
        """Narrow down to the machines with so many GPUs at the most."""
        found = self._with_few_gpus.get(most)
        if found is None:
            found = Candidates([c for c in self.capacities if c.machine.machine_type.gpus <= most])
            self._with_few_gpus[most] = found
        return found

    def unreserved(self) -> Candidates:
        """Narrow down to the machines that are kept for nobody; they are reserved once a cycle."""
        if self._unreserved is None:
            free = [c for c in self.capacities if c.reserved_s is None]
            self._unreserved = Candidates(free) if len(free) < len(self.capacities) else self
        return self._unreserved

    def _parts(self) -> Iterator[Candidates]:
        yield from self._with_few_gpus.values()
        if self._unreserved is not None and self._unreserved is not self:
            yield self._unreserved

    # -- images -----------------------------------------------------------------------------

    def fetch_s(self, spec: JobSpec) -> float:
        """Estimate how long the slowest of these machines takes to fetch the job's image."""
        return fetch_s(spec, self.slowest_fetch)

    def quickest_s(self, spec: JobSpec) -> float:
        """Estimate how long the quickest of these machines takes to fetch the job's image."""
        return fetch_s(spec, self._quickest)

    def with_image(self, image: str) -> list[MachineCapacity]:
        """List the machines that have an image or are fetching it; a cycle does not change that."""
        if self._with_image is None:
            self._with_image = {}
            for capacity in self.capacities:
                for name in capacity.machine.present_images():
                    self._with_image.setdefault(name, []).append(capacity)
        return self._with_image.get(image, [])

    # -- room -------------------------------------------------------------------------------

    @staticmethod
    def _claim(job: Job) -> tuple[int, bool, str | None]:
        return (job.priority, job.spec.gpus > 0, job.spec.team if job.guaranteed else None)

    def fitting(self, spec: JobSpec) -> list[MachineCapacity]:
        """List the machines where a task might fit once what is being stopped is gone.

        Looked for among those that fitted a smaller task before: a cycle only takes room, but for
        what it stops (`note_stopping`).
        """
        among = self._narrowest(spec)
        found = [capacity for capacity in among if capacity.may_fit(spec)]
        if among is self.capacities or len(found) < NARROWER * len(among):
            self._fitting.append((spec, found))
        return found

    def fitting_with_image(self, spec: JobSpec) -> list[MachineCapacity]:
        """List those of them that have the task's image or are fetching it."""
        warm = self.with_image(spec.image)
        among = self._narrowest(spec)
        if among is self.capacities and warm:
            among = self.fitting(spec)
        if len(among) < len(warm):
            return [c for c in among if c.may_fit(spec) and c.machine.warmth(spec.image) < COLD]
        return [capacity for capacity in warm if capacity.may_fit(spec)]

    def _narrowest(self, spec: JobSpec) -> list[MachineCapacity]:
        """Find the shortest list that has every machine where a task might fit."""
        among = self.capacities
        for smaller, capacities in self._fitting:
            if (
                spec.cpus >= smaller.cpus
                and spec.gpus >= smaller.gpus
                and spec.memory_gb >= smaller.memory_gb
                and len(capacities) < len(among)
            ):
                among = capacities
        return among

    def preemptible(
        self, key: VictimKey, has_victims: Callable[[MachineCapacity], bool]
    ) -> list[MachineCapacity]:
        """List the machines where a job of this kind may stop something that isn't stopping yet."""
        found = self._preemptible.get(key)
        if found is None:
            found = [capacity for capacity in self.capacities if has_victims(capacity)]
            self._preemptible[key] = found
        return found

    def note_stopping(self, capacity: MachineCapacity) -> None:
        """Something is being stopped on a machine: more may fit there, and less be stopped."""
        if _position(self.capacities, capacity) is None:
            return
        for spec, capacities in self._fitting:
            if capacity.may_fit(spec):
                _insert(capacities, capacity)
        for key, capacities in self._preemptible.items():
            if not capacity.has_victims(key):
                _discard(capacities, capacity)
        for part in self._parts():
            part.note_stopping(capacity)

    def free(self, spec: JobSpec) -> list[MachineCapacity]:
        """List the machines that may still have room for a task, looked through once a kind."""
        key = spec.gpus > 0
        found = self._free.get(key)
        if found is None:
            found = [
                capacity
                for capacity in self.capacities
                if capacity.cpus > 0 and (capacity.gpus > 0 or not key)
            ]
            self._free[key] = found
        return [capacity for capacity in found if capacity.count(spec, 1)]

    def known_full(self, job: Job) -> bool:
        """Tell whether a job that needs no more has looked in vain."""
        spec = job.spec
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory_gb
            for cpus, gpus, memory_gb in self.full.get(self._claim(job), ())
        )

    def note_full(self, job: Job) -> None:
        """A job has looked in vain, at every machine."""
        spec = job.spec
        self.full.setdefault(self._claim(job), []).append((spec.cpus, spec.gpus, spec.memory_gb))


def _number(capacity: MachineCapacity) -> int:
    return capacity.number


def _position(capacities: list[MachineCapacity], capacity: MachineCapacity) -> int | None:
    """Find a machine in a list that is in the order of the cycle."""
    at = bisect_left(capacities, capacity.number, key=_number)
    return at if at < len(capacities) and capacities[at] is capacity else None


def _insert(capacities: list[MachineCapacity], capacity: MachineCapacity) -> None:
    if _position(capacities, capacity) is None:
        insort(capacities, capacity, key=_number)


def _discard(capacities: list[MachineCapacity], capacity: MachineCapacity) -> None:
    at = _position(capacities, capacity)
    if at is not None:
        del capacities[at]
