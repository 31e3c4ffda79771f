"""A machine's free resources during one scheduling cycle.

A cycle gets one `MachineCapacity` per machine and claims resources from it. The `Machine` itself
changes only when the leader applies the plan.
"""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.scheduling.gpu_reserve import MIN_CPUS_PER_GPU, NO_RESERVE, GpuReserve
from ryewing.scheduling.preemption import VictimKey
from ryewing.state.image_cache import COLD
from ryewing.state.machine import Assignment, Machine
from ryewing.state.resources import EPSILON, count_fitting
from ryewing.wire.jobs import JobSpec

LARGE_TASK_SHARE = 0.125
"""A task that needs at least this share of a machine's CPUs or GPUs is large. A few replicas can
displace such a task."""
NO_LIMIT = 1_000_000
"""A limit above the number of tasks that fit on any machine."""

ResourceAmounts = tuple[float, float, float]
"""CPUs, GPUs and memory in GB."""


class MachineCapacity:
    """A machine's free and releasing resources during one cycle, with values cached per machine."""

    __slots__ = (
        "_displaced_shares",
        "_preemptible_cpus",
        "_replica_count",
        "_resources_left_by_replicas",
        "free_cpus",
        "free_gpus",
        "free_memory_gb",
        "images_placed",
        "machine",
        "needed_image_counts",
        "next_heartbeat_in_s",
        "position",
        "releasing_cpus",
        "releasing_gpus",
        "releasing_memory_gb",
        "reservation_wait_s",
        "stopping",
        "victims",
    )

    def __init__(self, machine: Machine, stopping: frozenset[Assignment] = frozenset()) -> None:
        """Initialize with the machine's free resources.

        `stopping` contains the machine's tasks with pending terminations. Their resources count as
        releasing, because they are not free yet but will be soon.
        """
        self.machine = machine
        self.position = 0
        """The machine's index in the order in which the cycle lists machines."""
        self.free_cpus = machine.free_cpus
        self.free_gpus = machine.free_gpus
        self.free_memory_gb = machine.free_memory_gb
        self.reservation_wait_s: float | None = None
        """If the machine is reserved for a gang: the seconds until the gang could begin at the
        earliest."""
        self.next_heartbeat_in_s: float | None = None
        """Seconds until the next heartbeat is expected; cached, None until first needed."""
        self.stopping: set[Assignment] = set(stopping)
        self.victims: dict[VictimKey, list[Assignment]] = {}
        """Cached tasks on the machine that jobs with this key may preempt, in the order of stopping
        them."""
        self.images_placed: set[str] = set()
        """Images of the tasks that this cycle has placed on the machine."""
        self.needed_image_counts = {False: 0, True: 0}
        """How many images needed by waiting arrays the machine has, by whether they need GPUs."""
        self._resources_left_by_replicas: ResourceAmounts | None = None
        self._displaced_shares: dict[ResourceAmounts, float] = {}
        """Cached results of `displaced_share`, by the replica's resources."""
        self._replica_count: int | None = None
        self._preemptible_cpus: float | None = None
        self.releasing_cpus = self.releasing_gpus = self.releasing_memory_gb = 0.0
        for assignment in stopping:
            self._add_releasing(assignment)

    # -- resources ----------------------------------------------------------------------------

    def may_fit(self, spec: JobSpec) -> bool:
        """Return whether one task might fit once the tasks being stopped have ended.

        This quick check ignores the GPU reserve, so `count_fitting` may still return 0.
        """
        return (
            self.free_cpus + self.releasing_cpus + EPSILON >= spec.cpus
            and self.free_memory_gb + self.releasing_memory_gb + EPSILON >= spec.memory_gb
            and self.free_gpus + self.releasing_gpus + EPSILON >= spec.gpus
        )

    def count_fitting(
        self,
        spec: JobSpec,
        limit: int,
        include_releasing: bool = False,
        gpu_reserve: GpuReserve = NO_RESERVE,
    ) -> int:
        """Return how many tasks with these resources fit, at most `limit`.

        `include_releasing` counts the resources of tasks being stopped as free. `gpu_reserve` is
        kept free for each free GPU.
        """
        cpus, gpus, memory_gb = self.free_cpus, self.free_gpus, self.free_memory_gb
        if gpus > 0:
            cpus -= gpus * gpu_reserve.cpus
            memory_gb -= gpus * gpu_reserve.memory_gb
        if include_releasing:
            cpus += self.releasing_cpus
            gpus += self.releasing_gpus
            memory_gb += self.releasing_memory_gb
        return count_fitting(spec, cpus, gpus, memory_gb, limit)

    def claim(self, spec: JobSpec, count: int) -> None:
        """Claim resources for tasks.

        Free amounts become negative where the resources have yet to be released.
        """
        self.free_cpus -= spec.cpus * count
        self.free_gpus -= spec.gpus * count
        self.free_memory_gb -= spec.memory_gb * count

    def usable_gpus(self, cpus_per_gpu: float) -> float:
        """Return the number of GPUs in use, plus the free GPUs with enough free CPUs."""
        free = min(self.free_gpus, max(0.0, self.free_cpus) // max(cpus_per_gpu, MIN_CPUS_PER_GPU))
        return self.machine.machine_type.gpus - self.free_gpus + max(0.0, free)

    def free_share(self) -> float:
        """Return a sort key for how empty the machine is: the smallest is the fullest.

        It sums the free shares of CPUs, memory and GPUs; GPUs count twice.
        """
        machine_type = self.machine.machine_type
        share = self.free_cpus / machine_type.cpus if machine_type.cpus else 0.0
        if machine_type.memory_gb:
            share += self.free_memory_gb / machine_type.memory_gb
        if machine_type.gpus:
            share += 2.0 * self.free_gpus / machine_type.gpus
        return share

    # -- preemption ---------------------------------------------------------------------------

    def mark_stopping(self, assignment: Assignment) -> None:
        """Record that a task is being stopped, and count its resources as releasing."""
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

        Raises KeyError if `victims` has no entry for the key.
        """
        return any(assignment not in self.stopping for assignment in self.victims[key])

    def preemptible_cpus(self) -> float:
        """Return the CPUs not used by replicas or by gangs of several tasks.

        These are the CPUs that are free or used by tasks that replicas may preempt.
        """
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

    def replica_count(self) -> int:
        """Return the number of replicas on the machine, including those placed in this cycle."""
        if self._replica_count is None:
            assignments = self.machine.assignments.values()
            self._replica_count = sum(
                assignment.job is not None and assignment.job.is_service
                for assignment in assignments
            )
        return self._replica_count

    def add_replicas(self, spec: JobSpec, count: int) -> None:
        """Count replicas that this cycle places on the machine."""
        self._replica_count = self.replica_count() + count
        self.subtract_replicas(spec, count)

    def resources_left_by_replicas(self) -> ResourceAmounts:
        """Return the resources that would be free if only the replicas were on the machine.

        Replicas do not end, so arrays and gangs can get at most these resources in the long run.
        """
        if self._resources_left_by_replicas is None:
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = machine_type.cpus, machine_type.gpus, machine_type.memory_gb
            for assignment in self.machine.assignments.values():
                if assignment.job is not None and assignment.job.is_service:
                    cpus -= assignment.job.spec.cpus
                    gpus -= assignment.job.spec.gpus
                    memory_gb -= assignment.job.spec.memory_gb
            self._resources_left_by_replicas = cpus, gpus, memory_gb
        return self._resources_left_by_replicas

    def subtract_replicas(self, spec: JobSpec, count: int) -> None:
        """Subtract further replicas from the resources left by replicas."""
        cpus, gpus, memory_gb = self.resources_left_by_replicas()
        self._resources_left_by_replicas = (
            cpus - spec.cpus * count,
            gpus - spec.gpus * count,
            memory_gb - spec.memory_gb * count,
        )
        self._displaced_shares.clear()

    def restore_resources_left_by_replicas(self, resources: ResourceAmounts) -> None:
        """Undo `subtract_replicas`, given what `resources_left_by_replicas` returned before it."""
        self._resources_left_by_replicas = resources
        self._displaced_shares.clear()

    def displaced_share(self, spec: JobSpec, recent_specs: Sequence[JobSpec]) -> float:
        """Return the share of the machine that one more replica would take from large tasks.

        `recent_specs` are the specs of tasks for which resources should remain. Example: replicas
        that need 1 CPU each share a machine of 64 CPUs with a gang's task of 60 CPUs. Four replicas
        displace nothing, the fifth prevents such tasks on the machine for as long as it runs, and
        the sixth displaces nothing more.
        """
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        displaced = self._displaced_shares.get(key)
        if displaced is None:
            displaced = 0.0
            machine_type = self.machine.machine_type
            cpus, gpus, memory_gb = self.resources_left_by_replicas()
            for recent in recent_specs:
                share = recent.cpus / machine_type.cpus if machine_type.cpus else 0.0
                if recent.gpus > 0 and machine_type.gpus:
                    share = max(share, recent.gpus / machine_type.gpus)
                if share < LARGE_TASK_SHARE or share > 1.0:
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

        A gang avoids machines that are fetching another image, because fetches may share the rate.
        When one member's fetch took more than `gang_wait_s` longer than the others', the waits of
        the other members timed out one after another, and this continued for minutes.
        """
        warmth = self.machine.warmth(spec.image)
        return warmth + (warmth == COLD and gang and self.fetches_other_image(spec.image))

    def fetches_other_image(self, image: str) -> bool:
        """Return whether the machine is fetching a different image, or is about to."""
        machine = self.machine
        return any(
            name != image and (count or name in self.images_placed) and name not in machine.images
            for name, count in machine.images_in_use.items()
        ) or any(name != image and name not in machine.images for name in self.images_placed)
