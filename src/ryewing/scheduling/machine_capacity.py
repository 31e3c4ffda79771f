"""A machine's free room during one scheduling cycle.

A cycle takes one `MachineCapacity` per machine from the cluster state and claims room from it; the
machine itself changes only when the leader applies the plan.
"""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.scheduling.gpu_reserve import MIN_CPUS_PER_GPU, NO_RESERVE, GpuReserve
from ryewing.scheduling.preemption import VictimKey
from ryewing.state.machine import COLD, Assignment, Machine
from ryewing.state.resources import EPSILON, count_fitting
from ryewing.wire.jobs import JobSpec

LARGE_SHARE = 0.125
"""A task that takes at least this share of a machine is large: a few replicas can displace it."""
NO_LIMIT = 1_000_000
"""More tasks than fit on any machine."""

Room = tuple[float, float, float]
"""Processors, GPUs and memory in GB."""


class MachineCapacity:
    """A machine's room during one cycle."""

    __slots__ = (
        "_displaced_shares",
        "_preemptible_cpus",
        "_replicas",
        "_room_beside_replicas",
        "cpus",
        "gpus",
        "images_placed",
        "machine",
        "memory_gb",
        "next_heartbeat_in_s",
        "position",
        "releasing_cpus",
        "releasing_gpus",
        "releasing_memory_gb",
        "reserved_for_s",
        "stopping",
        "victims",
        "wanted_images",
    )

    def __init__(self, machine: Machine, stopping: frozenset[Assignment] = frozenset()) -> None:
        """Start from the machine's free room; `stopping` has its tasks with pending terminations.

        What those tasks use is `releasing`: not free yet, but about to be.
        """
        self.machine = machine
        self.position = 0
        """The machine's place in the order in which the cycle lists machines."""
        self.cpus = machine.free_cpus
        self.gpus = machine.free_gpus
        self.memory_gb = machine.free_memory_gb
        self.reserved_for_s: float | None = None
        """If the machine is reserved for a gang: the seconds until the gang could begin at the
        earliest."""
        self.next_heartbeat_in_s: float | None = None
        """Seconds until the next heartbeat is expected; cached, None until first needed."""
        self.stopping: set[Assignment] = set(stopping)
        self.victims: dict[VictimKey, list[Assignment]] = {}
        """The tasks here that jobs with this key may preempt; cached, first to stop first."""
        self.images_placed: set[str] = set()
        """Images of the tasks that this cycle has placed here."""
        self.wanted_images = {False: 0, True: 0}
        """How many of the images that waiting arrays need are here, by whether they need GPUs."""
        self._room_beside_replicas: Room | None = None
        self._displaced_shares: dict[Room, float] = {}
        """Cached results of `displaced_share`, by the replica's resources."""
        self._replicas: int | None = None
        self._preemptible_cpus: float | None = None
        self.releasing_cpus = self.releasing_gpus = self.releasing_memory_gb = 0.0
        for assignment in stopping:
            self._add_releasing(assignment)

    # -- room ---------------------------------------------------------------------------------

    def may_fit(self, spec: JobSpec) -> bool:
        """Return quickly whether one task might fit once the tasks being stopped are gone.

        Ignores the GPU reserve, so `count_fitting` may still return 0.
        """
        return (
            self.cpus + self.releasing_cpus + EPSILON >= spec.cpus
            and self.memory_gb + self.releasing_memory_gb + EPSILON >= spec.memory_gb
            and self.gpus + self.releasing_gpus + EPSILON >= spec.gpus
        )

    def count_fitting(
        self,
        spec: JobSpec,
        limit: int,
        with_releasing: bool = False,
        gpu_reserve: GpuReserve = NO_RESERVE,
    ) -> int:
        """Return how many tasks of this kind fit, at most `limit`.

        `with_releasing` counts the room of tasks being stopped as free; `gpu_reserve` is left
        free for each free GPU.
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
        """Claim room for tasks; what is free becomes negative where room is yet to be released."""
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count

    def usable_gpus(self, cpus_per_gpu: float) -> float:
        """Return the number of GPUs in use, plus the free ones with enough free processors."""
        free = min(self.gpus, max(0.0, self.cpus) // max(cpus_per_gpu, MIN_CPUS_PER_GPU))
        return self.machine.machine_type.gpus - self.gpus + max(0.0, free)

    def free_share(self) -> float:
        """Return how empty the machine is, for sorting: the smallest is the fullest.

        GPUs count twice as much as processors and memory.
        """
        machine_type = self.machine.machine_type
        share = self.cpus / machine_type.cpus if machine_type.cpus else 0.0
        if machine_type.memory_gb:
            share += self.memory_gb / machine_type.memory_gb
        if machine_type.gpus:
            share += 2.0 * self.gpus / machine_type.gpus
        return share

    # -- preemption ---------------------------------------------------------------------------

    def stop(self, assignment: Assignment) -> None:
        """Count a task as being stopped."""
        self.stopping.add(assignment)
        self._add_releasing(assignment)

    def _add_releasing(self, assignment: Assignment) -> None:
        if assignment.job is not None:
            spec = assignment.job.spec
            self.releasing_cpus += spec.cpus
            self.releasing_gpus += spec.gpus
            self.releasing_memory_gb += spec.memory_gb

    def has_victims(self, key: VictimKey) -> bool:
        """Return whether any cached victim for this key is not being stopped yet.

        `victims` must have an entry for the key.
        """
        return any(assignment not in self.stopping for assignment in self.victims[key])

    def preemptible_cpus(self) -> float:
        """Return the processors that are free or used by tasks that replicas may preempt."""
        if self._preemptible_cpus is None:
            self._preemptible_cpus = self.machine.machine_type.cpus
            for assignment in self.machine.assignments.values():
                job = assignment.job
                if job is not None and (
                    job.is_service or (job.is_gang and job.spec.task_count > 1)
                ):
                    self._preemptible_cpus -= job.spec.cpus
        return self._preemptible_cpus

    # -- replicas -----------------------------------------------------------------------------

    def replicas(self) -> int:
        """Return the number of replicas here, including those placed in this cycle."""
        if self._replicas is None:
            assignments = self.machine.assignments.values()
            self._replicas = sum(
                assignment.job is not None and assignment.job.is_service
                for assignment in assignments
            )
        return self._replicas

    def place_replicas(self, spec: JobSpec, count: int) -> None:
        """Count replicas that this cycle places here."""
        self._replicas = self.replicas() + count
        self.occupy_for_replicas(spec, count)

    def room_beside_replicas(self) -> Room:
        """Return the room there would be with only the replicas here.

        Replicas stay, so this is what work that ends can count on in the long run.
        """
        if self._room_beside_replicas is None:
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = machine_type.cpus, machine_type.gpus, machine_type.memory_gb
            for assignment in self.machine.assignments.values():
                if assignment.job is not None and assignment.job.is_service:
                    cpus -= assignment.job.spec.cpus
                    gpus -= assignment.job.spec.gpus
                    memory_gb -= assignment.job.spec.memory_gb
            self._room_beside_replicas = cpus, gpus, memory_gb
        return self._room_beside_replicas

    def occupy_for_replicas(self, spec: JobSpec, count: int) -> None:
        """Subtract replicas from the room beside replicas, as if they ran here."""
        cpus, gpus, memory_gb = self.room_beside_replicas()
        self._room_beside_replicas = (
            cpus - spec.cpus * count,
            gpus - spec.gpus * count,
            memory_gb - spec.memory_gb * count,
        )
        self._displaced_shares.clear()

    def restore_room_beside_replicas(self, room: Room) -> None:
        """Undo `occupy_for_replicas`, given what `room_beside_replicas` returned before it."""
        self._room_beside_replicas = room
        self._displaced_shares.clear()

    def displaced_share(self, spec: JobSpec, recent_specs: Sequence[JobSpec]) -> float:
        """Return the share of the machine that one more replica would take from large tasks.

        `recent_specs` has the tasks to keep room for. Four replicas beside a gang's task of 60
        processors of 64 displace nothing; the fifth keeps such tasks off the machine for as long
        as it runs, and the sixth costs nothing more.
        """
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        displaced = self._displaced_shares.get(key)
        if displaced is None:
            displaced = 0.0
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = self.room_beside_replicas()
            for recent in recent_specs:
                share = recent.cpus / machine_type.cpus if machine_type.cpus else 0.0
                if recent.gpus > 0 and machine_type.gpus:
                    share = max(share, recent.gpus / machine_type.gpus)
                if share < LARGE_SHARE or share > 1.0:
                    continue
                before = count_fitting(recent, cpus, gpus, memory_gb, NO_LIMIT)
                if before:
                    after = count_fitting(
                        recent,
                        cpus - spec.cpus,
                        gpus - spec.gpus,
                        memory_gb - spec.memory_gb,
                        NO_LIMIT,
                    )
                    displaced = max(displaced, (before - after) * share)
            self._displaced_shares[key] = displaced
        return displaced

    # -- images -------------------------------------------------------------------------------

    def fetch_order(self, spec: JobSpec, gang: bool) -> int:
        """Return a sort key for how soon the machine has the job's image: smallest is soonest.

        A gang avoids machines that are fetching already: fetches may share the rate, and where one
        member took more than `gang_wait_s` longer, the others gave up one after the other, for
        minutes.
        """
        warmth = self.machine.warmth(spec.image)
        return warmth + (warmth == COLD and gang and self.fetches_other(spec.image))

    def fetches_other(self, image: str) -> bool:
        """Return whether a different image is being fetched here, or is about to be."""
        machine = self.machine
        return any(
            name != image and (count or name in self.images_placed) and name not in machine.images
            for name, count in machine.images_in_use.items()
        ) or any(name != image and name not in machine.images for name in self.images_placed)
